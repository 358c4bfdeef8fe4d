package heartbeater

import (
	"context"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// codeOutdated is the error code for a heartbeat of an incarnation that has been
// replaced by a later one or has announced its departure.
const codeOutdated = "outdatedIncarnation"

var errMissingHeartbeat = &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: "no heartbeat"}

// startHeartbeats starts the given calls. The lock must be held.
func (h *Heartbeater) startHeartbeats(calls []heartbeatCall) {
	for _, call := range calls {
		if !h.spawn(func(ctx context.Context) { h.exchangeHeartbeats(ctx, call) }) {
			return
		}
	}
}

// exchangeHeartbeats sends a heartbeat and processes the reply. If the receiver does
// not know this instance, it asks for its record, which a second heartbeat carries.
func (h *Heartbeater) exchangeHeartbeats(ctx context.Context, call heartbeatCall) {
	defer func() {
		h.mu.Lock()
		h.view.finishCall(call.id)
		h.mu.Unlock()
	}()
	reply, err := h.sendHeartbeat(ctx, call, !call.isMember)
	if err == nil && reply.NeedRecord {
		_, err = h.sendHeartbeat(ctx, call, true)
	}
	if err != nil {
		h.cfg.Scope.Counter("heartbeat_errors").Inc(1)
	}
}

// sendHeartbeat makes one call of membership.heartbeat.
func (h *Heartbeater) sendHeartbeat(ctx context.Context, call heartbeatCall, withRecord bool) (*heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	h.mu.Lock()
	req, statusVersion := h.newHeartbeat(call.id), h.statusVersion
	req.WantMembers, req.NeedRecord = call.wantMembers, !call.isMember
	if withRecord {
		req.Record = h.ownRecord()
	}
	h.mu.Unlock()
	reply, err := messenger.CallControl[*heartbeat, *heartbeat](ctx, h.cfg.Pool, call.address, methodHeartbeat, req)
	if err != nil {
		return nil, err
	}
	if reply == nil {
		return nil, errMissingHeartbeat
	}
	h.applyHeartbeat(call.id, reply)
	h.mu.Lock()
	if !reply.NeedRecord {
		h.markStatusSent(call.id, statusVersion)
	}
	h.mu.Unlock()
	return reply, nil
}

// newHeartbeat returns a heartbeat for a member. It includes the status if that has
// not been sent to the member. The lock must be held.
func (h *Heartbeater) newHeartbeat(to descriptor.InstanceID) *heartbeat {
	h.sequence++
	hb := &heartbeat{Leaving: h.closing}
	hb.Beat = beat{Incarnation: h.self.Incarnation, Sequence: h.sequence, View: h.view.hash(h.self.Incarnation)}
	if e := h.view.members[to]; e == nil || e.sentStatusVersion != h.statusVersion {
		s := h.status
		hb.Beat.Status = &s
	}
	return hb
}

// markStatusSent records the status version that was sent to a member. The lock
// must be held.
func (h *Heartbeater) markStatusSent(id descriptor.InstanceID, statusVersion uint64) {
	if e := h.view.members[id]; e != nil {
		e.sentStatusVersion = statusVersion
	}
}

func (h *Heartbeater) ownRecord() *record {
	return &record{h.self.DataCentre, h.self.PeerAddress, h.self.HTTPAddress}
}

// applyHeartbeat updates the view with a heartbeat and adds the members that it
// lists as candidates.
func (h *Heartbeater) applyHeartbeat(id descriptor.InstanceID, hb *heartbeat) heartbeatResult {
	if hb == nil || id == h.cfg.Self.ID {
		return outdated
	}
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	previousRules := descriptor.RulesVersion(0)
	if e := h.view.members[id]; e != nil {
		previousRules = e.Rules
	}
	result, changed := h.view.applyHeartbeat(id, hb, now)
	h.invalidate(h.cfg.Self.DataCentre)
	if result == accepted && !hb.Leaving && hb.Beat.View != h.view.hash(h.self.Incarnation) {
		h.view.syncWith = id
	}
	for _, m := range hb.Members {
		h.view.addCandidate(m.ID, m.PeerAddress, now)
	}
	h.mu.Unlock()
	if changed {
		h.signalChange()
	}
	if s := hb.Beat.Status; result == accepted && s != nil && s.Rules > previousRules {
		h.cfg.OnRulesVersion(id, s.Rules)
	}
	return result
}

// onHeartbeat handles membership.heartbeat.
func (h *Heartbeater) onHeartbeat(_ context.Context, from descriptor.InstanceID, req *heartbeat) (*heartbeat, error) {
	if req == nil {
		return nil, errMissingHeartbeat
	}
	result := h.applyHeartbeat(from, req)
	if result == outdated {
		h.cfg.Scope.Counter("outdated_heartbeats").Inc(1)
		return nil, &messenger.RemoteError{Code: codeOutdated}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := h.newHeartbeat(from)
	if reply.NeedRecord = result == unknown; !reply.NeedRecord {
		// The delivery of the reply is not confirmed. If it is lost, the member
		// receives the next status instead.
		h.markStatusSent(from, h.statusVersion)
	}
	if req.NeedRecord {
		reply.Record = h.ownRecord()
	}
	if req.WantMembers {
		reply.Members = h.view.memberAddresses()
	}
	return reply, nil
}

// announceLeave notifies all members that this instance is leaving. It waits no
// longer than the timeout of a heartbeat, since members that do not receive the
// notice remove this instance a little later because of its silence.
func (h *Heartbeater) announceLeave() {
	h.mu.Lock()
	var calls []heartbeatCall
	for id, e := range h.view.members {
		calls = append(calls, heartbeatCall{id: id, address: e.PeerAddress, isMember: true})
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), min(h.cfg.CallTimeout, time.Second))
	defer cancel()
	var wg sync.WaitGroup
	for _, call := range calls {
		wg.Go(func() { _, _ = h.sendHeartbeat(ctx, call, false) })
	}
	wg.Wait()
}
