package heartbeater

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// maxLinkAttempts is the number of members of the other data centre that are
// called on a link in one interval until one responds.
const maxLinkAttempts = 3

// ownDigest returns a digest of the local data centre. It omits the member records
// if their hash is knownHash. The lock must be held.
func (h *Heartbeater) ownDigest(knownHash uint32) *digest {
	members := h.membersLocked(h.cfg.Self.DataCentre)
	h.digestSequence++
	d := &digest{
		DataCentre: h.cfg.Self.DataCentre, Origin: h.self.ID, Incarnation: h.self.Incarnation,
		Sequence: h.digestSequence, Loads: make([][6]int64, len(members)),
	}
	records := make([]memberRecord, len(members))
	parts := make([]string, 0, 4*len(members))
	for i, m := range members {
		records[i] = memberRecord{m.ID, m.Incarnation, m.PeerAddress, m.HTTPAddress, m.Rules, unixMs(m.RulesSince)}
		d.Loads[i] = [6]int64{
			int64(m.Load.Queued), int64(m.Load.Running), toThousandths(m.Load.FreeFraction), m.Load.WaitMs,
			int64(m.Rules), int64(m.State),
		}
		parts = append(parts, string(m.ID), strconv.FormatUint(uint64(m.Incarnation), 10), m.PeerAddress, m.HTTPAddress)
	}
	d.RecordsHash = uint32(hashStrings(parts...))
	if d.RecordsHash != knownHash {
		d.Records = records
	}
	return d
}

// startLinkExchanges starts an exchange of digests on each link of which this
// instance is an endpoint and which it initiates. It also prunes old digests and
// starts pulls. The lock must be held.
func (h *Heartbeater) startLinkExchanges(now time.Time) {
	if now.Before(h.nextLinkExchange) {
		return
	}
	h.nextLinkExchange = now.Add(h.cfg.DigestInterval)
	for _, dc := range h.dataCentres {
		r := h.remotes[dc]
		if r == nil {
			continue
		}
		r.prune(now, 2*h.cfg.RelayInterval)
		h.invalidate(dc)
		h.startPull(dc, r, now)
		index := h.linkIndex(dc)
		if index < 0 || h.linkInProgress[dc] {
			continue
		}
		// If the other side initiates, call it only after two intervals without
		// a digest from it.
		silent := now.Sub(r.lastDirect) >= 2*h.cfg.DigestInterval
		if !silent && !initiates(h.cfg.Self.DataCentre, dc) {
			continue
		}
		h.linkInProgress[dc] = h.spawn(func(ctx context.Context) { h.exchangeOnLink(ctx, dc, index) })
	}
}

// linkIndex returns the index of the link to the data centre of which this
// instance is the endpoint, or -1. The lock must be held.
func (h *Heartbeater) linkIndex(dc descriptor.DataCentreID) int {
	ranked := rankEndpoints(h.view.ids(), h.cfg.Self.DataCentre, dc)
	for i := range min(linksPerPair, len(ranked)) {
		if ranked[i] == h.self.ID {
			return i
		}
	}
	return -1
}

// exchangeOnLink exchanges digests with the remote endpoint of a link, or with the
// next in rank if that does not respond.
func (h *Heartbeater) exchangeOnLink(ctx context.Context, dc descriptor.DataCentreID, index int) {
	defer func() {
		h.mu.Lock()
		h.linkInProgress[dc] = false
		h.mu.Unlock()
	}()
	h.mu.Lock()
	members := h.linkPeers(dc)
	h.mu.Unlock()
	ids := make([]descriptor.InstanceID, len(members))
	addresses := map[descriptor.InstanceID]string{}
	for i, m := range members {
		ids[i], addresses[m.ID] = m.ID, m.PeerAddress
	}
	ranked := rankEndpoints(ids, dc, h.cfg.Self.DataCentre)
	for i := range min(maxLinkAttempts, len(ranked)) {
		id := ranked[(index+i)%len(ranked)]
		if h.exchangeDigests(ctx, dc, addresses[id]) {
			return
		}
	}
	h.cfg.Scope.Counter("link_errors").Inc(1)
}

// linkPeers returns the members of the data centre that can be called on a link.
// If no digest has been received for ReachableFor, all its members may have been
// replaced, so the instances in the platform's directory are added. The lock must
// be held.
func (h *Heartbeater) linkPeers(dc descriptor.DataCentreID) []Member {
	members := h.membersLocked(dc)
	r := h.remotes[dc]
	if h.cfg.Clock.Now().Sub(r.lastDirect) < h.cfg.ReachableFor {
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

// exchangeDigests sends the local digest and stores the one in the reply. The
// local digest omits the member records while they are those that were last sent
// to the data centre. It reports whether the peer responded.
func (h *Heartbeater) exchangeDigests(ctx context.Context, dc descriptor.DataCentreID, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	for range 2 {
		h.mu.Lock()
		r := h.remotes[dc]
		d := h.ownDigest(r.sentRecordsHash)
		msg := digestMessage{Digest: d, KnownHash: r.lastRecordsHash}
		h.mu.Unlock()
		reply, err := messenger.CallControl[digestMessage, digestReply](ctx, h.cfg.Pool, address, methodDigest, msg)
		if err != nil {
			return false
		}
		if reply.Digest != nil {
			h.applyDigest(reply.Digest, true)
		}
		h.mu.Lock()
		r.sentRecordsHash = d.RecordsHash
		if reply.NeedRecords {
			r.sentRecordsHash = 0
		}
		h.mu.Unlock()
		if !reply.NeedRecords {
			return true
		}
	}
	return true
}

// startPull pulls the digest of a data centre from a random local member if none
// has been received for longer than a relay takes, for example after a start or
// the loss of a relay. The lock must be held.
func (h *Heartbeater) startPull(dc descriptor.DataCentreID, r *remoteDataCentre, now time.Time) {
	if now.Sub(r.latestReceived) < h.digestFreshness() || now.Before(r.nextPull) || len(h.view.members) == 0 {
		return
	}
	// While no member reaches the data centre, pulls are no more frequent than
	// relays would be.
	r.nextPull = now.Add(h.cfg.RelayInterval)
	if len(r.digests) == 0 {
		r.nextPull = now.Add(h.cfg.DigestInterval)
	}
	members := h.membersLocked(h.cfg.Self.DataCentre)
	m := members[h.cfg.Rand.IntN(len(members))]
	if m.ID == h.self.ID {
		r.nextPull = time.Time{}
		return
	}
	knownHash := r.lastRecordsHash
	h.spawn(func(ctx context.Context) { h.pull(ctx, m.PeerAddress, dc, knownHash) })
}

// pull requests the digest of a data centre from a local member and stores it.
func (h *Heartbeater) pull(ctx context.Context, address string, dc descriptor.DataCentreID, knownHash uint32) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	msg := digestMessage{Pull: dc, KnownHash: knownHash}
	reply, err := messenger.CallControl[digestMessage, digestReply](ctx, h.cfg.Pool, address, methodDigest, msg)
	if err == nil && reply.Digest != nil {
		h.applyDigest(reply.Digest, false)
	}
}

// onDigest handles membership.digest.
func (h *Heartbeater) onDigest(_ context.Context, _ descriptor.InstanceID, req digestMessage) (digestReply, error) {
	if req.Pull != "" {
		return digestReply{Digest: h.latestDigest(req.Pull, req.KnownHash)}, nil
	}
	if req.Digest == nil {
		return digestReply{}, &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: "no digest"}
	}
	needRecords := h.applyDigest(req.Digest, !req.Relay)
	if req.Relay {
		return digestReply{NeedRecords: needRecords}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return digestReply{NeedRecords: needRecords, Digest: h.ownDigest(req.KnownHash)}, nil
}

// latestDigest returns the latest digest of another data centre, or nil if it is
// older than digestFreshness. It omits the member records if their hash is
// knownHash.
func (h *Heartbeater) latestDigest(dc descriptor.DataCentreID, knownHash uint32) *digest {
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.remotes[dc]
	if r == nil {
		return nil
	}
	latest := r.latest()
	if latest == nil || now.Sub(latest.receivedAt) > h.digestFreshness() {
		return nil
	}
	d := latest.digest
	d.AgeMs = now.Sub(latest.receivedAt).Milliseconds()
	if d.RecordsHash == knownHash {
		d.Records = nil
	}
	return &d
}

// applyDigest stores a digest, and relays it if direct is set, which means that it
// was received on a link. It reports whether the member records are needed.
func (h *Heartbeater) applyDigest(d *digest, direct bool) (needRecords bool) {
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	r := h.remotes[d.DataCentre]
	if r == nil {
		h.mu.Unlock()
		return false // the local data centre, or one that is not configured
	}
	needRecords, changed, stored := r.applyDigest(d, now)
	h.invalidate(d.DataCentre)
	if direct && (stored || needRecords) {
		r.lastDirect = now
	}
	if !direct && stored {
		r.lastRelay, r.relayedRecordsHash = now, d.RecordsHash
	}
	if direct && stored && (changed || now.Sub(r.lastRelay) >= h.cfg.RelayInterval) {
		// The members may already have the records from a relay of the other
		// link. They still need this digest, since they merge those of both links.
		withRecords := changed && d.RecordsHash != r.relayedRecordsHash
		r.lastRelay, r.relayedRecordsHash = now, d.RecordsHash
		h.startRelay(r.digests[d.Origin].digest, withRecords)
	}
	h.mu.Unlock()
	if changed {
		h.signalChange()
	}
	if stored {
		h.reportRulesVersion(d.DataCentre)
	}
	return needRecords
}

// reportRulesVersion calls OnRulesVersion with the highest rules version in another
// data centre.
func (h *Heartbeater) reportRulesVersion(dc descriptor.DataCentreID) {
	var highest Member
	for _, m := range h.Members(dc) {
		if m.Rules > highest.Rules {
			highest = m
		}
	}
	if highest.Rules > 0 {
		h.cfg.OnRulesVersion(highest.ID, highest.Rules)
	}
}

// startRelay sends a digest to all members of the local data centre. The lock must
// be held.
func (h *Heartbeater) startRelay(full digest, withRecords bool) {
	for _, e := range h.view.members {
		address := e.PeerAddress
		h.spawn(func(ctx context.Context) { h.relay(ctx, address, full, withRecords) })
	}
}

// relay sends a digest to one member. Without withRecords, it sends the member
// records only if the member asks for them.
func (h *Heartbeater) relay(ctx context.Context, address string, full digest, withRecords bool) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.CallTimeout)
	defer cancel()
	withoutRecords := full
	withoutRecords.Records = nil
	msg := digestMessage{Relay: true, Digest: &withoutRecords}
	if withRecords {
		msg.Digest = &full
	}
	for range 2 {
		reply, err := messenger.CallControl[digestMessage, digestReply](ctx, h.cfg.Pool, address, methodDigest, msg)
		if err != nil || !reply.NeedRecords {
			return
		}
		msg.Digest = &full
	}
}
