package heartbeater

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// remote is what this instance knows about another data centre. Like view it has
// no clock. Each link brings the digests of one carrier; they are kept apart,
// because a carrier that is cut off from its own data centre would otherwise
// replace the list of one that is not.
type remote struct {
	sources map[descriptor.InstanceID]*source
	// floors holds the highest rules version seen of each member, so that a
	// digest whose carrier lags behind another's never takes one back.
	floors map[descriptor.InstanceID]floor
	// direct is when the last digest came in on a link of our own.
	direct time.Time
	// relayed is when anyone last relayed a digest within our data centre.
	relayed time.Time
	// heard is when the last digest came in, on whichever way.
	heard time.Time
	// nextPull is when a member may be asked for a digest.
	nextPull time.Time
	// lastStatic is the hash of the fixed part that came in last, and sent that
	// of our own that the other side has.
	lastStatic, sent uint32
	// relayedStatic is the hash of the fixed part that was relayed last.
	relayedStatic uint32
	seeds         []Member // from the platform's list, until a digest comes in
}

// floor is the highest rules version that was seen of a member.
type floor struct {
	incarnation descriptor.Incarnation
	rules       descriptor.RulesVersion
	since, seen time.Time
}

// floorFor is how long a floor outlives the last digest that lists its member.
const floorFor = 10 * time.Minute

// raise takes the versions of a digest into the floors.
func (r *remote) raise(members []Member, now time.Time) {
	if r.floors == nil {
		r.floors = map[descriptor.InstanceID]floor{}
	}
	for _, m := range members {
		f := r.floors[m.ID]
		if m.Incarnation > f.incarnation || m.Incarnation == f.incarnation && m.Rules > f.rules {
			f = floor{incarnation: m.Incarnation, rules: m.Rules, since: m.RulesSince}
		}
		f.seen = now
		r.floors[m.ID] = f
	}
}

// lift raises the versions of members to their floors.
func (r *remote) lift(members []Member) {
	for i := range members {
		m := &members[i]
		if f := r.floors[m.ID]; m.Incarnation <= f.incarnation && m.Rules < f.rules {
			m.Rules, m.RulesSince = f.rules, f.since
		}
	}
}

// source is the last digest of a carrier.
type source struct {
	incarnation descriptor.Incarnation
	number      uint64
	static      uint32
	fixed       []fixedPart
	digest      digest
	members     []Member
	at          time.Time
}

// take stores a digest. want reports that its fixed part is needed first;
// changed that the members differ from what the same carrier said before.
func (r *remote) take(d *digest, now time.Time) (want, changed, fresh bool) {
	s := r.sources[d.Carrier]
	if s != nil && (d.Incarnation < s.incarnation || d.Incarnation == s.incarnation && d.Number <= s.number) {
		return false, false, false
	}
	fixed := d.Fixed
	if fixed == nil && len(d.Loads) > 0 {
		if fixed = r.fixedPart(d.Static); fixed == nil {
			return true, false, false
		}
	}
	if len(fixed) != len(d.Loads) {
		return true, false, false
	}
	changed = s == nil || s.static != d.Static
	full := *d
	full.Fixed, full.AgeMs = fixed, 0
	at := now.Add(-time.Duration(max(0, d.AgeMs)) * time.Millisecond)
	members := full.membersAt(at)
	r.raise(members, now)
	if r.sources == nil {
		r.sources = map[descriptor.InstanceID]*source{}
	}
	r.sources[d.Carrier] = &source{
		incarnation: d.Incarnation, number: d.Number, static: d.Static, fixed: fixed,
		digest: full, members: members, at: at,
	}
	r.lastStatic = d.Static
	if at.After(r.heard) {
		r.heard = at
	}
	return false, changed, true
}

// last returns the digest that came in last, or nil.
func (r *remote) last() *source {
	var last *source
	for _, s := range r.sources {
		if last == nil || s.at.After(last.at) {
			last = s
		}
	}
	return last
}

// fixedPart returns the fixed part with a hash, from whichever carrier.
func (r *remote) fixedPart(static uint32) []fixedPart {
	for _, s := range r.sources {
		if s.static == static {
			return s.fixed
		}
	}
	return nil
}

// membersAt returns the members that a complete digest lists.
func (d *digest) membersAt(now time.Time) []Member {
	members := make([]Member, len(d.Fixed))
	for i, f := range d.Fixed {
		l := d.Loads[i]
		m := Member{
			ID: f.ID, Incarnation: f.Incarnation, DataCentre: d.DataCentre,
			PeerAddress: f.PeerAddress, HTTPAddress: f.HTTPAddress,
			Load: loadOf(l[:4]), Rules: descriptor.RulesVersion(l[4]), State: State(l[5]), LastHeard: now,
		}
		if m.Rules == f.Rules {
			m.RulesSince = fromUnixMs(f.RulesSinceMs)
		}
		members[i] = m
	}
	return members
}

// covers reports whether s lists all members of o except o's carrier. Then o's
// carrier has failed, or is cut off from its data centre.
func (s *source) covers(o *source, carrier descriptor.InstanceID) bool {
	for _, m := range o.members {
		if m.ID != carrier && !s.lists(m.ID) {
			return false
		}
	}
	return !s.lists(carrier)
}

func (s *source) lists(id descriptor.InstanceID) bool {
	_, found := slices.BinarySearchFunc(s.members, id, func(m Member, id descriptor.InstanceID) int { return cmp.Compare(m.ID, id) })
	return found
}

// current returns the members by the digests that came in within fresh, or by
// the last one if all are older.
func (r *remote) current(now time.Time, fresh time.Duration) []Member {
	if len(r.sources) == 0 {
		return slices.Clone(r.seeds)
	}
	last := r.last()
	merged := map[descriptor.InstanceID]Member{}
	for carrier, s := range r.sources {
		if s != last && (now.Sub(s.at) > fresh || last.covers(s, carrier)) {
			continue
		}
		for _, m := range s.members {
			if old, ok := merged[m.ID]; !ok || newer(m, old) {
				merged[m.ID] = m
			}
		}
	}
	all := make([]Member, 0, len(merged))
	for _, m := range merged {
		all = append(all, m)
	}
	sortMembers(all)
	r.lift(all)
	return all
}

// newer reports whether a was said later than b.
func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.LastHeard.After(b.LastHeard)
}

// prune drops digests that are too old to be merged, except the last.
func (r *remote) prune(now time.Time, keep time.Duration) {
	for id, f := range r.floors {
		if now.Sub(f.seen) > floorFor {
			delete(r.floors, id)
		}
	}
	if len(r.sources) < 2 {
		return
	}
	last := r.last()
	for carrier, s := range r.sources {
		if s != last && now.Sub(s.at) > keep {
			delete(r.sources, carrier)
		}
	}
}

func sortMembers(all []Member) {
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}
