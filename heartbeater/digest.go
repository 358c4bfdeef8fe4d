package heartbeater

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// carrierAttempts is how many members of another data centre a link tries in one
// interval when the first does not answer.
const carrierAttempts = 3

// ownDigest describes the own data centre, without the fixed part if that has the
// hash have. The lock must be held.
func (h *Heartbeater) ownDigest(have uint32) *digest {
	members := h.membersLocked(h.cfg.Self.DataCentre)
	h.digests++
	d := &digest{
		DataCentre: h.cfg.Self.DataCentre, Carrier: h.self.ID, Incarnation: h.self.Incarnation,
		Number: h.digests, Loads: make([][6]int64, len(members)),
	}
	fixed := make([]fixedPart, len(members))
	parts := make([]string, 0, 4*len(members))
	for i, m := range members {
		fixed[i] = fixedPart{m.ID, m.Incarnation, m.PeerAddress, m.HTTPAddress, m.Rules, unixMs(m.RulesSince)}
		d.Loads[i] = [6]int64{
			int64(m.Load.Queued), int64(m.Load.Running), thousandths(m.Load.FreeFraction), m.Load.WaitMs,
			int64(m.Rules), int64(m.State),
		}
		parts = append(parts, string(m.ID), strconv.FormatUint(uint64(m.Incarnation), 10), m.PeerAddress, m.HTTPAddress)
	}
	d.Static = uint32(hashStrings(parts...))
	if d.Static != have {
		d.Fixed = fixed
	}
	return d
}

// startLinks exchanges digests on the links that this instance carries and
// initiates. The lock must be held.
func (h *Heartbeater) startLinks(now time.Time) {
	if now.Before(h.nextLinks) {
		return
	}
	h.nextLinks = now.Add(h.cfg.DigestInterval)
	for _, dc := range h.dataCentres {
		r := h.remotes[dc]
		if r == nil {
			continue
		}
		r.prune(now, 2*h.cfg.RelayInterval)
		h.invalidate(dc)
		h.startPull(dc, r, now)
		place := h.place(dc)
		if place < 0 || h.linkCalls[dc] {
			continue
		}
		// The other side calls, unless it has been silent.
		silent := now.Sub(r.direct) >= 2*h.cfg.DigestInterval
		if !silent && !initiates(h.cfg.Self.DataCentre, dc) {
			continue
		}
		h.linkCalls[dc] = h.spawn(func(ctx context.Context) { h.link(ctx, dc, place) })
	}
}

// place returns which link to the data centre this instance carries, or -1. The
// lock must be held.
func (h *Heartbeater) place(dc descriptor.DataCentreID) int {
	ranked := carriers(h.view.ids(), h.cfg.Self.DataCentre, dc)
	for i := range min(linksPerPair, len(ranked)) {
		if ranked[i] == h.self.ID {
			return i
		}
	}
	return -1
}

// link exchanges digests with the carrier of the same link on the other side, or
// with the next in order if it doesn't answer.
func (h *Heartbeater) link(ctx context.Context, dc descriptor.DataCentreID, place int) {
	defer func() {
		h.mu.Lock()
		h.linkCalls[dc] = false
		h.mu.Unlock()
	}()
	h.mu.Lock()
	members := h.linkTargets(dc)
	h.mu.Unlock()
	ids := make([]descriptor.InstanceID, len(members))
	address := map[descriptor.InstanceID]string{}
	for i, m := range members {
		ids[i], address[m.ID] = m.ID, m.PeerAddress
	}
	ranked := carriers(ids, dc, h.cfg.Self.DataCentre)
	for i := range min(carrierAttempts, len(ranked)) {
		id := ranked[(place+i)%len(ranked)]
		if h.exchangeDigests(ctx, dc, address[id]) {
			return
		}
	}
	h.cfg.Scope.Counter("link_errors").Inc(1)
}

// linkTargets returns whom a link to the data centre can call. Without a digest
// for some time its members may all have been replaced, so those that the
// platform lists are added. The lock must be held.
func (h *Heartbeater) linkTargets(dc descriptor.DataCentreID) []Member {
	members := h.membersLocked(dc)
	r := h.remotes[dc]
	if h.cfg.Clock.Now().Sub(r.direct) < h.cfg.ReachableFor {
		return members
	}
	for _, m := range r.seeds {
		known := slices.ContainsFunc(members, func(o Member) bool { return o.ID == m.ID })
		if !known {
			members = append(members, m)
		}
	}
	return members
}

// exchangeDigests sends our digest and takes in the other's. The fixed part of
// ours is left out as long as it is the one that was last sent on this link.
func (h *Heartbeater) exchangeDigests(ctx context.Context, dc descriptor.DataCentreID, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	for range 2 {
		h.mu.Lock()
		r := h.remotes[dc]
		d := h.ownDigest(r.sent)
		msg := digestMessage{Digest: d, Have: r.lastStatic}
		h.mu.Unlock()
		reply, err := messenger.CallControl[digestMessage, digestReply](ctx, h.cfg.Pool, address, methodDigest, msg)
		if err != nil {
			return false
		}
		if reply.Digest != nil {
			h.takeDigest(reply.Digest, true)
		}
		h.mu.Lock()
		r.sent = d.Static
		if reply.Want {
			r.sent = 0
		}
		h.mu.Unlock()
		if !reply.Want {
			return true
		}
	}
	return true
}

// startPull asks a member for the digest of a data centre of which none has come
// in for longer than a relay takes, as after a start or a lost relay. The lock
// must be held.
func (h *Heartbeater) startPull(dc descriptor.DataCentreID, r *remote, now time.Time) {
	if now.Sub(r.heard) < h.freshFor() || now.Before(r.nextPull) || len(h.view.members) == 0 {
		return
	}
	// A data centre that nobody reaches is asked about as seldom as it would
	// be relayed.
	r.nextPull = now.Add(h.cfg.RelayInterval)
	if len(r.sources) == 0 {
		r.nextPull = now.Add(h.cfg.DigestInterval)
	}
	members := h.membersLocked(h.cfg.Self.DataCentre)
	m := members[h.cfg.Rand.IntN(len(members))]
	if m.ID == h.self.ID {
		r.nextPull = time.Time{}
		return
	}
	have := r.lastStatic
	h.spawn(func(ctx context.Context) { h.pull(ctx, m.PeerAddress, dc, have) })
}

// pull asks a member for a digest.
func (h *Heartbeater) pull(ctx context.Context, address string, dc descriptor.DataCentreID, have uint32) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	msg := digestMessage{Pull: dc, Have: have}
	reply, err := messenger.CallControl[digestMessage, digestReply](ctx, h.cfg.Pool, address, methodDigest, msg)
	if err == nil && reply.Digest != nil {
		h.takeDigest(reply.Digest, false)
	}
}

// onDigest handles membership.digest.
func (h *Heartbeater) onDigest(_ context.Context, _ descriptor.InstanceID, req digestMessage) (digestReply, error) {
	if req.Pull != "" {
		return digestReply{Digest: h.lastDigest(req.Pull, req.Have)}, nil
	}
	if req.Digest == nil {
		return digestReply{}, &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: "no digest"}
	}
	want := h.takeDigest(req.Digest, !req.Relay)
	if req.Relay {
		return digestReply{Want: want}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return digestReply{Want: want, Digest: h.ownDigest(req.Have)}, nil
}

// lastDigest returns the last digest of another data centre, if it is fresh.
func (h *Heartbeater) lastDigest(dc descriptor.DataCentreID, have uint32) *digest {
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.remotes[dc]
	if r == nil {
		return nil
	}
	s := r.last()
	if s == nil || now.Sub(s.at) > h.freshFor() {
		return nil
	}
	d := s.digest
	d.AgeMs = now.Sub(s.at).Milliseconds()
	if d.Static == have {
		d.Fixed = nil
	}
	return &d
}

// takeDigest stores a digest, and relays it if it came in on a link. It reports
// whether the fixed part is needed.
func (h *Heartbeater) takeDigest(d *digest, direct bool) (want bool) {
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	r := h.remotes[d.DataCentre]
	if r == nil {
		h.mu.Unlock()
		return false // our own, or one that is not in the settings
	}
	want, changed, fresh := r.take(d, now)
	h.invalidate(d.DataCentre)
	if direct && (fresh || want) {
		r.direct = now
	}
	if !direct && fresh {
		r.relayed, r.relayedStatic = now, d.Static
	}
	if direct && fresh && (changed || now.Sub(r.relayed) >= h.cfg.RelayInterval) {
		// The members may have the fixed part already, by way of the other
		// link. They still need the digest, as they merge those of both.
		withFixed := changed && d.Static != r.relayedStatic
		r.relayed, r.relayedStatic = now, d.Static
		h.startRelay(r.sources[d.Carrier].digest, withFixed)
	}
	h.mu.Unlock()
	if changed {
		h.signal()
	}
	if fresh {
		h.reportVersions(d.DataCentre)
	}
	return want
}

// reportVersions passes on the highest rules version of another data centre.
func (h *Heartbeater) reportVersions(dc descriptor.DataCentreID) {
	var best Member
	for _, m := range h.Members(dc) {
		if m.Rules > best.Rules {
			best = m
		}
	}
	if best.Rules > 0 {
		h.cfg.OnVersion(best.ID, best.Rules)
	}
}

// startRelay passes a digest on to the members of the own data centre. The lock
// must be held.
func (h *Heartbeater) startRelay(full digest, withFixed bool) {
	for _, e := range h.view.members {
		address := e.PeerAddress
		h.spawn(func(ctx context.Context) { h.relay(ctx, address, full, withFixed) })
	}
}

// relay sends a digest to one member, without the fixed part if that is not
// likely to be needed.
func (h *Heartbeater) relay(ctx context.Context, address string, full digest, withFixed bool) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	short := full
	short.Fixed = nil
	msg := digestMessage{Relay: true, Digest: &short}
	if withFixed {
		msg.Digest = &full
	}
	for range 2 {
		reply, err := messenger.CallControl[digestMessage, digestReply](ctx, h.cfg.Pool, address, methodDigest, msg)
		if err != nil || !reply.Want {
			return
		}
		msg.Digest = &full
	}
}
