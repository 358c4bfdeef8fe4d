package heartbeater

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// view holds the members of the local data centre as known to this instance. It has
// no goroutines and no clock: the Heartbeater synchronises access to it and passes
// in times.
//
// An instance becomes a member only by a heartbeat of its own. An instance that
// others list becomes a candidate, which is called.
type view struct {
	cfg        *Config
	self       descriptor.InstanceID
	members    map[descriptor.InstanceID]*entry
	candidates map[descriptor.InstanceID]*candidate
	departures map[descriptor.InstanceID]departure
	lastTick   time.Time
	// syncWith is a member whose view differs. It is asked for its members.
	syncWith descriptor.InstanceID
}

// entry is a member with the state that only the view needs.
type entry struct {
	Member
	sequence uint64
	reached  uint64
	// sentStatusVersion is the statusVersion that was last sent to the member.
	sentStatusVersion uint64
	callInProgress    bool
}

// candidate is an instance that may be alive but is not a member.
type candidate struct {
	address        string
	expires        time.Time
	nextCall       time.Time
	callInProgress bool
}

// departure records that an incarnation has left.
type departure struct {
	incarnation descriptor.Incarnation
	at          time.Time
}

func newView(cfg *Config) *view {
	return &view{
		cfg: cfg, self: cfg.Self.ID,
		members:    map[descriptor.InstanceID]*entry{},
		candidates: map[descriptor.InstanceID]*candidate{},
		departures: map[descriptor.InstanceID]departure{},
	}
}

// heartbeatResult is the result of applying a heartbeat to the view.
type heartbeatResult uint8

const (
	accepted heartbeatResult = iota
	unknown                  // the sender is not a member and its record is needed
	outdated                 // the incarnation has been replaced or has left
)

// applyHeartbeat updates the view with a heartbeat. changed reports whether the
// membership or the state of the sender changed.
func (v *view) applyHeartbeat(id descriptor.InstanceID, hb *heartbeat, now time.Time) (result heartbeatResult, changed bool) {
	if departed, ok := v.departures[id]; ok && hb.Beat.Incarnation <= departed.incarnation {
		return outdated, false
	}
	e := v.members[id]
	if e != nil && hb.Beat.Incarnation < e.Incarnation {
		return outdated, false
	}
	if hb.Leaving {
		return accepted, v.leave(id, hb.Beat.Incarnation, now)
	}
	isNew := e == nil || hb.Beat.Incarnation > e.Incarnation
	if isNew && hb.Record == nil {
		return unknown, false
	}
	if hb.Record != nil && hb.Record.DataCentre != v.cfg.Self.DataCentre {
		return outdated, false
	}
	if isNew {
		e = &entry{}
		v.members[id] = e
		delete(v.candidates, id)
		delete(v.departures, id)
	} else if hb.Beat.Sequence <= e.sequence {
		return accepted, false // out of order
	}
	changed = isNew || e.State != Alive
	e.update(id, hb, now)
	return accepted, changed
}

// update copies a heartbeat into the entry.
func (e *entry) update(id descriptor.InstanceID, hb *heartbeat, now time.Time) {
	b := hb.Beat
	e.ID, e.Incarnation, e.State, e.LastHeard = id, b.Incarnation, Alive, now
	e.sequence = b.Sequence
	if s := b.Status; s != nil {
		e.Load, e.reached = s.Load, s.Reached
		e.Rules, e.RulesSince = s.Rules, fromUnixMs(s.RulesSinceMs)
	}
	if r := hb.Record; r != nil {
		e.DataCentre, e.PeerAddress, e.HTTPAddress = r.DataCentre, r.PeerAddress, r.HTTPAddress
	}
}

// leave removes a member that announced its departure. It reports whether it was a
// member.
func (v *view) leave(id descriptor.InstanceID, incarnation descriptor.Incarnation, now time.Time) bool {
	v.departures[id] = departure{incarnation, now}
	delete(v.candidates, id)
	_, known := v.members[id]
	delete(v.members, id)
	return known
}

// addCandidate adds or renews a candidate, unless the instance is a member or has
// left.
func (v *view) addCandidate(id descriptor.InstanceID, address string, now time.Time) {
	if id == v.self || address == "" || v.members[id] != nil {
		return
	}
	if _, departed := v.departures[id]; departed {
		return // a new incarnation sends heartbeats of its own
	}
	c := v.candidates[id]
	if c == nil {
		c = &candidate{nextCall: now}
		v.candidates[id] = c
	}
	c.address, c.expires = address, now.Add(v.cfg.RetainFor)
}

// tick suspects and removes silent members. If this instance was paused, the silence
// of members during the pause is ignored.
func (v *view) tick(now time.Time) (changed bool) {
	gap := now.Sub(v.lastTick)
	if !v.lastTick.IsZero() && gap > 2*v.cfg.Interval {
		for _, e := range v.members {
			e.LastHeard = e.LastHeard.Add(gap)
		}
	}
	v.lastTick = now
	for id, e := range v.members {
		silence := now.Sub(e.LastHeard)
		switch {
		case silence >= v.cfg.RemoveAfter:
			delete(v.members, id)
			v.addCandidate(id, e.PeerAddress, now)
			v.cfg.Log.Info("heartbeater: removed a silent member", "member", id, "silent", silence)
			v.cfg.Scope.Counter("removed").Inc(1)
			changed = true
		case silence >= v.cfg.SuspectAfter && e.State == Alive:
			e.State = Suspect
			v.cfg.Scope.Counter("suspected").Inc(1)
			changed = true
		}
	}
	v.expire(now)
	return changed
}

// expire drops candidates and departures that are older than RetainFor.
func (v *view) expire(now time.Time) {
	for id, c := range v.candidates {
		if now.After(c.expires) {
			delete(v.candidates, id)
		}
	}
	for id, departed := range v.departures {
		if now.Sub(departed.at) > v.cfg.RetainFor {
			delete(v.departures, id)
		}
	}
}

// heartbeatCall is a heartbeat to send.
type heartbeatCall struct {
	id          descriptor.InstanceID
	address     string
	isMember    bool
	wantMembers bool
}

// dueCalls returns the heartbeats that are due and marks them as in progress. Only
// one side of each pair calls, since the reply is a heartbeat too. A member that has
// been silent for two intervals is called by both sides, since the path may work in
// one direction only; its reply refutes the suspicion.
func (v *view) dueCalls(now time.Time) []heartbeatCall {
	var calls []heartbeatCall
	for id, e := range v.members {
		wantMembers := id == v.syncWith
		silent := now.Sub(e.LastHeard) >= 2*v.cfg.Interval
		if e.callInProgress || !(wantMembers || silent || initiates(v.self, id)) {
			continue
		}
		e.callInProgress = true
		calls = append(calls, heartbeatCall{id, e.PeerAddress, true, wantMembers})
	}
	v.syncWith = ""
	for id, c := range v.candidates {
		if c.callInProgress || now.Before(c.nextCall) {
			continue
		}
		c.callInProgress, c.nextCall = true, now.Add(v.cfg.CandidateInterval)
		calls = append(calls, heartbeatCall{id, c.address, false, true})
	}
	slices.SortFunc(calls, func(a, b heartbeatCall) int { return cmp.Compare(a.id, b.id) })
	return calls
}

// finishCall marks a heartbeat as no longer in progress.
func (v *view) finishCall(id descriptor.InstanceID) {
	if e := v.members[id]; e != nil {
		e.callInProgress = false
	}
	if c := v.candidates[id]; c != nil {
		c.callInProgress = false
	}
}

// ids returns the sorted IDs of all members, including this instance.
func (v *view) ids() []descriptor.InstanceID {
	ids := make([]descriptor.InstanceID, 0, len(v.members)+1)
	ids = append(ids, v.self)
	for id := range v.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// hash returns a hash of the members and their incarnations.
func (v *view) hash(own descriptor.Incarnation) uint32 {
	parts := make([]string, 0, 2*len(v.members)+2)
	for _, id := range v.ids() {
		incarnation := own
		if e := v.members[id]; e != nil {
			incarnation = e.Incarnation
		}
		parts = append(parts, string(id), strconv.FormatUint(uint64(incarnation), 10))
	}
	return uint32(hashStrings(parts...))
}

// memberAddresses returns the other members, for a member whose view differs.
func (v *view) memberAddresses() []memberAddress {
	all := make([]memberAddress, 0, len(v.members))
	for _, id := range v.ids() {
		if e := v.members[id]; e != nil {
			all = append(all, memberAddress{id, e.PeerAddress})
		}
	}
	return all
}
