package heartbeater

import (
	"context"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// codeOutdated tells an instance that a later incarnation of it is known, or
// that it has announced its leave.
const codeOutdated = "outdatedIncarnation"

var errNoHeartbeat = &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: "no heartbeat"}

// startCalls sends the heartbeats that are due. The lock must be held.
func (h *Heartbeater) startCalls(due []duty) {
	for _, d := range due {
		if !h.spawn(func(ctx context.Context) { h.exchange(ctx, d) }) {
			return
		}
	}
}

// exchange sends a heartbeat and takes in the reply. An instance that doesn't
// know us asks for our record, which a second heartbeat brings.
func (h *Heartbeater) exchange(ctx context.Context, d duty) {
	defer func() {
		h.mu.Lock()
		h.view.done(d.id)
		h.mu.Unlock()
	}()
	reply, err := h.beatTo(ctx, d, !d.member)
	if err == nil && reply.Want {
		_, err = h.beatTo(ctx, d, true)
	}
	if err != nil {
		h.cfg.Scope.Counter("heartbeat_errors").Inc(1)
	}
}

// beatTo makes one call of membership.heartbeat.
func (h *Heartbeater) beatTo(ctx context.Context, d duty, introduce bool) (*heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	h.mu.Lock()
	req, number := h.compose(d.id), h.statusNumber
	req.Ask, req.Want = d.ask, !d.member
	if introduce {
		req.Record = h.record()
	}
	h.mu.Unlock()
	reply, err := messenger.CallControl[*heartbeat, *heartbeat](ctx, h.cfg.Pool, d.address, methodHeartbeat, req)
	if err != nil {
		return nil, err
	}
	if reply == nil {
		return nil, errNoHeartbeat
	}
	h.hear(d.id, reply)
	h.mu.Lock()
	if !reply.Want {
		h.confirm(d.id, number)
	}
	h.mu.Unlock()
	return reply, nil
}

// compose returns a heartbeat for a member. The lock must be held.
func (h *Heartbeater) compose(to descriptor.InstanceID) *heartbeat {
	h.sequence++
	hb := &heartbeat{Leaving: h.closing}
	hb.Beat = beat{Incarnation: h.self.Incarnation, Sequence: h.sequence, View: h.view.hash(h.self.Incarnation)}
	if e := h.view.members[to]; e == nil || e.sentStatus != h.statusNumber {
		s := h.status
		hb.Beat.Status = &s
	}
	return hb
}

// confirm notes that a member has a status. The lock must be held.
func (h *Heartbeater) confirm(id descriptor.InstanceID, number uint64) {
	if e := h.view.members[id]; e != nil {
		e.sentStatus = number
	}
}

func (h *Heartbeater) record() *record {
	return &record{h.self.DataCentre, h.self.PeerAddress, h.self.HTTPAddress}
}

// hear takes in a heartbeat of a member and what it says about others.
func (h *Heartbeater) hear(id descriptor.InstanceID, hb *heartbeat) verdict {
	if hb == nil || id == h.cfg.Self.ID {
		return outdated
	}
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	before := descriptor.RulesVersion(0)
	if e := h.view.members[id]; e != nil {
		before = e.Rules
	}
	what, changed := h.view.hear(id, hb, now)
	h.invalidate(h.cfg.Self.DataCentre)
	if what == accepted && !hb.Leaving && hb.Beat.View != h.view.hash(h.self.Incarnation) {
		h.view.ask = id
	}
	for _, l := range hb.List {
		h.view.suggest(l.ID, l.PeerAddress, now)
	}
	h.mu.Unlock()
	if changed {
		h.signal()
	}
	if s := hb.Beat.Status; what == accepted && s != nil && s.Rules > before {
		h.cfg.OnVersion(id, s.Rules)
	}
	return what
}

// onHeartbeat handles membership.heartbeat.
func (h *Heartbeater) onHeartbeat(_ context.Context, from descriptor.InstanceID, req *heartbeat) (*heartbeat, error) {
	if req == nil {
		return nil, errNoHeartbeat
	}
	what := h.hear(from, req)
	if what == outdated {
		h.cfg.Scope.Counter("outdated_heartbeats").Inc(1)
		return nil, &messenger.RemoteError{Code: codeOutdated}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := h.compose(from)
	if reply.Want = what == unknown; !reply.Want {
		// Not confirmed, but a lost reply is made good by the next status.
		h.confirm(from, h.statusNumber)
	}
	if req.Want {
		reply.Record = h.record()
	}
	if req.Ask {
		reply.List = h.view.list()
	}
	return reply, nil
}

// announceLeave tells all members that this instance ends. It waits for each at
// most a heartbeat's timeout, as silence has the same effect a little later.
func (h *Heartbeater) announceLeave() {
	h.mu.Lock()
	var due []duty
	for id, e := range h.view.members {
		due = append(due, duty{id: id, address: e.PeerAddress, member: true})
	}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), min(h.cfg.CallTimeout, time.Second))
	defer cancel()
	var wg sync.WaitGroup
	for _, d := range due {
		wg.Go(func() { _, _ = h.beatTo(ctx, d, false) })
	}
	wg.Wait()
}
