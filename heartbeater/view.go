package heartbeater

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// view is what this instance knows about the members of its own data centre. It
// has no goroutines and no clock; the Heartbeater guards it and passes in times.
//
// A member enters the view only by a message of its own. What others say makes a
// candidate, which is called.
type view struct {
	cfg        *Config
	self       descriptor.InstanceID
	members    map[descriptor.InstanceID]*entry
	candidates map[descriptor.InstanceID]*candidate
	left       map[descriptor.InstanceID]departure
	lastTick   time.Time
	// ask is a member whose view differs from ours.
	ask descriptor.InstanceID
}

// entry is a member with what only the view needs.
type entry struct {
	Member
	sequence uint64
	reached  uint64
	// sentStatus is the number of our status that the member has.
	sentStatus uint64
	calling    bool
}

// candidate is an instance that may be a member.
type candidate struct {
	address string
	until   time.Time
	next    time.Time
	calling bool
}

// departure says that an incarnation has left.
type departure struct {
	incarnation descriptor.Incarnation
	at          time.Time
}

func newView(cfg *Config) *view {
	return &view{
		cfg: cfg, self: cfg.Self.ID,
		members:    map[descriptor.InstanceID]*entry{},
		candidates: map[descriptor.InstanceID]*candidate{},
		left:       map[descriptor.InstanceID]departure{},
	}
}

// verdict says what became of a beat.
type verdict uint8

const (
	accepted verdict = iota
	unknown          // the sender's record is needed
	outdated         // an earlier incarnation, or one that has left
)

// hear takes in a beat. changed reports whether the membership changed.
func (v *view) hear(id descriptor.InstanceID, hb *heartbeat, now time.Time) (what verdict, changed bool) {
	if gone, ok := v.left[id]; ok && hb.Beat.Incarnation <= gone.incarnation {
		return outdated, false
	}
	e := v.members[id]
	if e != nil && hb.Beat.Incarnation < e.Incarnation {
		return outdated, false
	}
	if hb.Leaving {
		return accepted, v.leave(id, hb.Beat.Incarnation, now)
	}
	fresh := e == nil || hb.Beat.Incarnation > e.Incarnation
	if fresh && hb.Record == nil {
		return unknown, false
	}
	if hb.Record != nil && hb.Record.DataCentre != v.cfg.Self.DataCentre {
		return outdated, false
	}
	if fresh {
		e = &entry{}
		v.members[id] = e
		delete(v.candidates, id)
		delete(v.left, id)
	} else if hb.Beat.Sequence <= e.sequence {
		return accepted, false // overtaken by a later one
	}
	changed = fresh || e.State != Alive
	e.take(id, hb, now)
	return accepted, changed
}

// take copies a beat into the entry.
func (e *entry) take(id descriptor.InstanceID, hb *heartbeat, now time.Time) {
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

// leave removes a member that announced its end.
func (v *view) leave(id descriptor.InstanceID, incarnation descriptor.Incarnation, now time.Time) bool {
	v.left[id] = departure{incarnation, now}
	delete(v.candidates, id)
	_, known := v.members[id]
	delete(v.members, id)
	return known
}

// suggest makes an instance a candidate.
func (v *view) suggest(id descriptor.InstanceID, address string, now time.Time) {
	if id == v.self || address == "" || v.members[id] != nil {
		return
	}
	if _, gone := v.left[id]; gone {
		return // a new incarnation calls by itself
	}
	c := v.candidates[id]
	if c == nil {
		c = &candidate{next: now}
		v.candidates[id] = c
	}
	c.address, c.until = address, now.Add(v.cfg.ForgetAfter)
}

// tick suspects and removes silent members. If this instance itself was paused,
// nobody's silence during the pause counts.
func (v *view) tick(now time.Time) (changed bool) {
	gap := now.Sub(v.lastTick)
	if !v.lastTick.IsZero() && gap > 2*v.cfg.Interval {
		for _, e := range v.members {
			e.LastHeard = e.LastHeard.Add(gap)
		}
	}
	v.lastTick = now
	for id, e := range v.members {
		silent := now.Sub(e.LastHeard)
		switch {
		case silent >= v.cfg.RemoveAfter:
			delete(v.members, id)
			v.suggest(id, e.PeerAddress, now)
			v.cfg.Log.Info("heartbeater: removed a silent member", "member", id, "silent", silent)
			v.cfg.Scope.Counter("removed").Inc(1)
			changed = true
		case silent >= v.cfg.SuspectAfter && e.State == Alive:
			e.State = Suspect
			v.cfg.Scope.Counter("suspected").Inc(1)
			changed = true
		}
	}
	v.forget(now)
	return changed
}

// forget drops candidates and departures that are too old to matter.
func (v *view) forget(now time.Time) {
	for id, c := range v.candidates {
		if now.After(c.until) {
			delete(v.candidates, id)
		}
	}
	for id, gone := range v.left {
		if now.Sub(gone.at) > v.cfg.ForgetAfter {
			delete(v.left, id)
		}
	}
}

// duty is a heartbeat to send.
type duty struct {
	id      descriptor.InstanceID
	address string
	member  bool
	ask     bool
}

// duties returns the heartbeats that are due, and marks them as in progress.
// Of each pair one side calls, as the reply is a heartbeat too. A member that
// has been silent for two intervals is called by both, since the path may work
// in one direction only; its reply refutes the suspicion.
func (v *view) duties(now time.Time) []duty {
	var due []duty
	for id, e := range v.members {
		ask := id == v.ask
		silent := now.Sub(e.LastHeard) >= 2*v.cfg.Interval
		if e.calling || !(ask || silent || initiates(v.self, id)) {
			continue
		}
		e.calling = true
		due = append(due, duty{id, e.PeerAddress, true, ask})
	}
	v.ask = ""
	for id, c := range v.candidates {
		if c.calling || now.Before(c.next) {
			continue
		}
		c.calling, c.next = true, now.Add(v.cfg.CandidateInterval)
		due = append(due, duty{id, c.address, false, true})
	}
	slices.SortFunc(due, func(a, b duty) int { return cmp.Compare(a.id, b.id) })
	return due
}

// done marks a heartbeat as no longer in progress.
func (v *view) done(id descriptor.InstanceID) {
	if e := v.members[id]; e != nil {
		e.calling = false
	}
	if c := v.candidates[id]; c != nil {
		c.calling = false
	}
}

// ids returns the ids of all members with this instance, sorted.
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

// list returns the members for one whose view differs.
func (v *view) list() []listed {
	all := make([]listed, 0, len(v.members))
	for _, id := range v.ids() {
		if e := v.members[id]; e != nil {
			all = append(all, listed{id, e.PeerAddress})
		}
	}
	return all
}
