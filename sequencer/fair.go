package sequencer

import (
	"cmp"
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// The lane weights. Urgent work gets four times the share of normal work
	// when both wait, and normal four times that of bulk, so that none starves.
	// Short work gets four times the share of long work of its priority.
	priorityStep = 4.0
	shortStep    = 4.0
	// remainderFloor is the least fraction of the capacity that teams without a
	// quota are entitled to together, even if the quotas add up to more than 1.
	remainderFloor = 0.05
	// sweepSlack is the number of idle accounts that are kept before they are
	// swept out.
	sweepSlack = 1024
)

// LaneWeights returns the share of each lane relative to the others when all of
// them have work waiting.
func LaneWeights(weights descriptor.Weights) [LaneCount]float64 {
	var out [LaneCount]float64
	crest, short := weightOr1(weights.PeakWait), weightOr1(weights.ShortFirst)
	for i := range out {
		w := 1.0
		for range int(descriptor.Bulk) - i/2 {
			w *= priorityStep
		}
		if i/2 == int(descriptor.Urgent) {
			w *= crest
		}
		if i%2 == 0 {
			w *= shortStep * short
		}
		out[i] = w
	}
	return out
}

// Fair is a hierarchical fair queue by virtual time, as start-time fair queueing
// (Goyal, Vin, Cheng, SIGCOMM 1996): whoever has used least for its weight is
// next, and whoever returns from idle starts at the virtual time of the last
// one served. The levels are lane, team, caller; a caller's requests of one
// class are served in the order of arrival. Teams that use less than they are
// entitled to come before all others, whatever the lane.
type Fair[T any] struct {
	lanes     [LaneCount]lane[T]
	laneClock float64
	teamClock float64
	teams     map[descriptor.TeamID]*team[T]
	classes   map[Class]*class[T]
	rules     *descriptor.Rules
	remainder remainder
	pass      uint64
	aside     []*flow[T]
	n         int
	order     uint64
	accounts  int
	busy      int
}

// remainder is the entitlement of the teams without a quota.
type remainder struct{ share, weight float64 }

type lane[T any] struct {
	classes []*class[T]
	queued  int
	used    float64
	weight  float64
}

// class holds the teams that have work of the class waiting.
type class[T any] struct {
	Class
	// tiers hold the teams below their entitlement and the others.
	tiers   [2]indexed[*entry[T]]
	entries map[*team[T]]*entry[T]
	blocked uint64 // the pass in which the class is skipped
}

// entry is a team within a class. It is in one of the class's tiers while it
// has a flow that is neither empty nor set aside.
type entry[T any] struct {
	team  *team[T]
	class *class[T]
	flows indexed[*flow[T]]
	tier  int
	pos   int
}

func (e *entry[T]) position() *int { return &e.pos }

func (e *entry[T]) less(o *entry[T]) bool {
	if e.team.used != o.team.used {
		return e.team.used < o.team.used
	}
	return e.team.order < o.team.order
}

type team[T any] struct {
	id       descriptor.TeamID
	weight   float64
	entitled float64
	share    float64
	used     float64 // virtual time
	clock    float64 // virtual time of the caller served last
	queued   int
	order    uint64
	entries  []*entry[T]
	callers  map[descriptor.CallerID]*caller[T]
}

func (t *team[T]) tier() int {
	if t.share < t.entitled {
		return 0
	}
	return 1
}

type caller[T any] struct {
	used   float64
	queued int
	order  uint64
	flows  []*flow[T]
}

// flow holds a caller's waiting items of one class. It is in its entry's heap
// unless it is empty or set aside.
type flow[T any] struct {
	caller      *caller[T]
	entry       *entry[T]
	first, last *Item[T]
	pos         int
}

func (f *flow[T]) position() *int { return &f.pos }

func (f *flow[T]) less(o *flow[T]) bool {
	if f.caller.used != o.caller.used {
		return f.caller.used < o.caller.used
	}
	return f.caller.order < o.caller.order
}

// NewFair returns an empty queue without rules.
func NewFair[T any]() *Fair[T] {
	q := &Fair[T]{teams: map[descriptor.TeamID]*team[T]{}, classes: map[Class]*class[T]{}}
	q.SetRules(&descriptor.Rules{})
	return q
}

// SetRules takes over weights and quotas. Virtual times stay as they are.
func (q *Fair[T]) SetRules(r *descriptor.Rules) {
	q.rules = r
	for i, w := range LaneWeights(r.Weights) {
		q.lanes[i].weight = w
	}
	quotas := 0.0
	q.remainder.weight = 0
	for _, t := range sortedTeams(r) {
		quotas += t.Quota
		if t.Quota == 0 {
			q.remainder.weight += weightOr1(t.Weight)
		}
	}
	q.remainder.share = max(1-quotas, remainderFloor)
	for _, t := range q.teams {
		q.entitle(t)
		q.rank(t)
	}
}

// sortedTeams returns the teams in a fixed order, since sums of floating-point
// numbers depend on it.
func sortedTeams(r *descriptor.Rules) []descriptor.Team {
	teams := make([]descriptor.Team, 0, len(r.Teams))
	for _, t := range r.Teams {
		teams = append(teams, t)
	}
	slices.SortFunc(teams, func(a, b descriptor.Team) int { return cmp.Compare(a.ID, b.ID) })
	return teams
}

func weightOr1(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

func (q *Fair[T]) entitle(t *team[T]) {
	rule, ok := q.rules.Teams[t.id]
	t.weight = weightOr1(rule.Weight)
	t.entitled = rule.Quota
	if rule.Quota == 0 {
		all := q.remainder.weight
		if !ok {
			all += t.weight
		}
		t.entitled = q.remainder.share * t.weight / all
	}
}

// Len returns the number of items.
func (q *Fair[T]) Len() int { return q.n }

// Push adds an item to its caller's flow.
func (q *Fair[T]) Push(it *Item[T]) {
	t := q.team(it.Team)
	c := t.caller(it.Caller, q)
	l := &q.lanes[it.Class.Lane()]
	// Whoever had nothing waiting starts at the present virtual time, so that
	// idle time earns no credit.
	if l.queued == 0 {
		l.used = max(l.used, q.laneClock)
	}
	if t.queued == 0 {
		t.used = max(t.used, q.teamClock)
		q.reorderTeam(t)
	}
	if c.queued == 0 {
		c.used = max(c.used, t.clock)
		q.busy++
		reorderCaller(c)
	}
	f := q.flow(t, c, it.Class)
	it.flow, it.queued = f, true
	it.prev, it.next = f.last, nil
	if f.last == nil {
		f.first = it
		q.enter(f)
	} else {
		f.last.next = it
	}
	f.last = it
	l.queued++
	t.queued++
	c.queued++
	q.n++
}

// Remove takes an item out. It costs O(1), plus the logarithm of the number of
// callers if the caller has no other item of the class.
func (q *Fair[T]) Remove(it *Item[T]) {
	if !it.queued {
		return
	}
	f := it.flow
	if it.prev == nil {
		f.first = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.last = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next, it.flow, it.queued = nil, nil, nil, false
	t, c := f.entry.team, f.caller
	q.lanes[it.Class.Lane()].queued--
	t.queued--
	c.queued--
	q.n--
	if f.first == nil {
		q.leave(f)
		f.drop()
	}
	if c.queued == 0 {
		q.idle(t, it.Caller, c)
	}
}

// drop detaches an empty flow from its caller.
func (f *flow[T]) drop() {
	i := slices.Index(f.caller.flows, f)
	f.caller.flows = slices.Delete(f.caller.flows, i, i+1)
}

// Charge adds work to the virtual times of caller, team and lane.
func (q *Fair[T]) Charge(tid descriptor.TeamID, cid descriptor.CallerID, cl Class, work float64) {
	t := q.team(tid)
	t.used += work / t.weight
	q.reorderTeam(t)
	l := &q.lanes[cl.Lane()]
	l.used += work / l.weight
	if _, ok := t.callers[cid]; !ok && work <= 0 {
		return // an idle caller gets no credit
	}
	c := t.caller(cid, q)
	c.used += work
	reorderCaller(c)
	if q.crowded() {
		q.sweep()
	}
}

// SetUsage moves the team to the tier of its usage.
func (q *Fair[T]) SetUsage(id descriptor.TeamID, share float64) {
	t := q.team(id)
	t.share = share
	q.rank(t)
}

// OverQuota reports whether the team uses as much as it is entitled to.
func (q *Fair[T]) OverQuota(id descriptor.TeamID) bool { return q.team(id).tier() > 0 }

// rank moves the team's entries to its present tier.
func (q *Fair[T]) rank(t *team[T]) {
	tier := t.tier()
	for _, e := range t.entries {
		if e.tier == tier {
			continue
		}
		if e.pos >= 0 {
			e.class.tiers[e.tier].remove(e)
			e.class.tiers[tier].push(e)
		}
		e.tier = tier
	}
}

func (q *Fair[T]) reorderTeam(t *team[T]) {
	for _, e := range t.entries {
		if e.pos >= 0 {
			e.class.tiers[e.tier].fix(e)
		}
	}
}

func reorderCaller[T any](c *caller[T]) {
	for _, f := range c.flows {
		if f.pos >= 0 {
			f.entry.flows.fix(f)
		}
	}
}
