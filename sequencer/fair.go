package sequencer

import (
	"cmp"
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// Ratios between lane weights. When lanes compete, urgent work gets four
	// times the share of normal work, and normal work four times that of bulk,
	// so that no priority starves. Within a priority, short work gets four times
	// the share of long work.
	priorityWeightRatio = 4.0
	shortWeightRatio    = 4.0
	// minUnreservedShare is the minimum fraction of the capacity that all teams
	// without a quota are entitled to together, even if the quotas add up to more
	// than 1.
	minUnreservedShare = 0.05
	// idleAccountSlack is the number of idle caller accounts, in excess of the
	// number of active callers, that are kept before idle accounts are evicted.
	idleAccountSlack = 1024
)

// LaneWeights returns the relative weight of each lane, which is its share of
// the service when all lanes are backlogged.
func LaneWeights(weights descriptor.Weights) [LaneCount]float64 {
	var out [LaneCount]float64
	peak, short := weightOr1(weights.PeakWait), weightOr1(weights.ShortFirst)
	for i := range out {
		w := 1.0
		for range int(descriptor.Bulk) - i/2 {
			w *= priorityWeightRatio
		}
		if i/2 == int(descriptor.Urgent) {
			w *= peak
		}
		if i%2 == 0 {
			w *= shortWeightRatio * short
		}
		out[i] = w
	}
	return out
}

// FairQueue is a hierarchical fair queue based on virtual time, like start-time
// fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996). At each level, the entity
// with the lowest weighted usage is served next, and an entity that was idle
// resumes at the virtual time of the entity served last. The levels are lane,
// team and caller; requests of one caller and class are served in FIFO order.
// Teams that use less than their entitlement are served before all others,
// regardless of lane.
type FairQueue[T any] struct {
	lanes          [LaneCount]lane[T]
	laneClock      float64
	teamClock      float64
	teams          map[descriptor.TeamID]*team[T]
	classes        map[Class]*classQueue[T]
	rules          *descriptor.Rules
	unreserved     unreservedPool
	pass           uint64
	skipped        []*flow[T]
	n              int
	lastSeq        uint64
	callerAccounts int
	activeCallers  int
}

// unreservedPool is the fraction of the capacity that the teams without a quota
// share, and the sum of their weights.
type unreservedPool struct{ share, weight float64 }

type lane[T any] struct {
	classes     []*classQueue[T]
	queued      int
	virtualTime float64
	weight      float64
}

// classQueue holds the items of one class, grouped by team.
type classQueue[T any] struct {
	Class
	// tiers[0] holds the teams below their entitlement, tiers[1] the others.
	tiers       [2]indexedHeap[*teamQueue[T]]
	teamQueues  map[*team[T]]*teamQueue[T]
	skippedPass uint64 // the last pass in which the class was skipped
}

// teamQueue holds the active flows of one team in one class. It is in one of
// the class's tiers while it has a flow that is neither empty nor skipped.
type teamQueue[T any] struct {
	team  *team[T]
	class *classQueue[T]
	flows indexedHeap[*flow[T]]
	tier  int
	pos   int
}

func (tq *teamQueue[T]) position() *int { return &tq.pos }

func (tq *teamQueue[T]) less(o *teamQueue[T]) bool {
	if tq.team.virtualTime != o.team.virtualTime {
		return tq.team.virtualTime < o.team.virtualTime
	}
	return tq.team.seq < o.team.seq
}

type team[T any] struct {
	id          descriptor.TeamID
	weight      float64
	entitlement float64
	usage       float64
	virtualTime float64
	callerClock float64 // highest virtual time of the callers served so far
	queued      int
	seq         uint64
	queues      []*teamQueue[T]
	callers     map[descriptor.CallerID]*caller[T]
}

func (t *team[T]) tier() int {
	if t.usage < t.entitlement {
		return 0
	}
	return 1
}

type caller[T any] struct {
	virtualTime float64
	queued      int
	seq         uint64
	flows       []*flow[T]
}

// flow is the FIFO queue of one caller's items of one class. It is in the heap
// of its teamQueue unless it is empty or skipped.
type flow[T any] struct {
	caller      *caller[T]
	queue       *teamQueue[T]
	first, last *Item[T]
	pos         int
}

func (f *flow[T]) position() *int { return &f.pos }

func (f *flow[T]) less(o *flow[T]) bool {
	if f.caller.virtualTime != o.caller.virtualTime {
		return f.caller.virtualTime < o.caller.virtualTime
	}
	return f.caller.seq < o.caller.seq
}

// NewFairQueue returns an empty queue without rules.
func NewFairQueue[T any]() *FairQueue[T] {
	q := &FairQueue[T]{teams: map[descriptor.TeamID]*team[T]{}, classes: map[Class]*classQueue[T]{}}
	q.SetRules(&descriptor.Rules{})
	return q
}

// SetRules applies new weights and quotas. It leaves virtual times unchanged.
func (q *FairQueue[T]) SetRules(r *descriptor.Rules) {
	q.rules = r
	for i, w := range LaneWeights(r.Weights) {
		q.lanes[i].weight = w
	}
	quotas := 0.0
	q.unreserved.weight = 0
	for _, t := range sortedTeams(r) {
		quotas += t.Quota
		if t.Quota == 0 {
			q.unreserved.weight += weightOr1(t.Weight)
		}
	}
	q.unreserved.share = max(1-quotas, minUnreservedShare)
	for _, t := range q.teams {
		q.updateEntitlement(t)
		q.updateTier(t)
	}
}

// sortedTeams returns the teams ordered by ID, since floating-point sums depend
// on the order of summation.
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

func (q *FairQueue[T]) updateEntitlement(t *team[T]) {
	rule, ok := q.rules.Teams[t.id]
	t.weight = weightOr1(rule.Weight)
	t.entitlement = rule.Quota
	if rule.Quota == 0 {
		all := q.unreserved.weight
		if !ok {
			all += t.weight
		}
		t.entitlement = q.unreserved.share * t.weight / all
	}
}

// Len returns the number of queued items.
func (q *FairQueue[T]) Len() int { return q.n }

// Push appends an item to the flow of its caller and class.
func (q *FairQueue[T]) Push(it *Item[T]) {
	t := q.team(it.Team)
	c := t.caller(it.Caller, q)
	l := &q.lanes[it.Class.Lane()]
	// A lane, team or caller that had no items queued starts at the current
	// virtual time, so that idle time earns no credit.
	if l.queued == 0 {
		l.virtualTime = max(l.virtualTime, q.laneClock)
	}
	if t.queued == 0 {
		t.virtualTime = max(t.virtualTime, q.teamClock)
		q.reorderTeam(t)
	}
	if c.queued == 0 {
		c.virtualTime = max(c.virtualTime, t.callerClock)
		q.activeCallers++
		reorderCaller(c)
	}
	f := q.flow(t, c, it.Class)
	it.flow, it.queued = f, true
	it.prev, it.next = f.last, nil
	if f.last == nil {
		f.first = it
		q.activateFlow(f)
	} else {
		f.last.next = it
	}
	f.last = it
	l.queued++
	t.queued++
	c.queued++
	q.n++
}

// Remove removes an item if it is queued. It takes O(1) time, plus time
// logarithmic in the number of callers if the caller has no other item of the
// class.
func (q *FairQueue[T]) Remove(it *Item[T]) {
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
	t, c := f.queue.team, f.caller
	q.lanes[it.Class.Lane()].queued--
	t.queued--
	c.queued--
	q.n--
	if f.first == nil {
		q.deactivateFlow(f)
		f.detach()
	}
	if c.queued == 0 {
		q.releaseCaller(t, it.Caller, c)
	}
}

// detach removes an empty flow from its caller.
func (f *flow[T]) detach() {
	i := slices.Index(f.caller.flows, f)
	f.caller.flows = slices.Delete(f.caller.flows, i, i+1)
}

// Charge adds work to the virtual times of the caller, the team and the lane.
func (q *FairQueue[T]) Charge(tid descriptor.TeamID, cid descriptor.CallerID, cl Class, work float64) {
	t := q.team(tid)
	t.virtualTime += work / t.weight
	q.reorderTeam(t)
	l := &q.lanes[cl.Lane()]
	l.virtualTime += work / l.weight
	if _, ok := t.callers[cid]; !ok && work <= 0 {
		return // a caller without an account gets no credit
	}
	c := t.caller(cid, q)
	c.virtualTime += work
	reorderCaller(c)
	if q.tooManyIdleAccounts() {
		q.evictIdleAccounts()
	}
}

// SetUsage sets the fraction of the capacity that the team uses and updates its
// tier.
func (q *FairQueue[T]) SetUsage(id descriptor.TeamID, usage float64) {
	t := q.team(id)
	t.usage = usage
	q.updateTier(t)
}

// OverQuota reports whether the team's usage has reached its entitlement.
func (q *FairQueue[T]) OverQuota(id descriptor.TeamID) bool { return q.team(id).tier() > 0 }

// updateTier moves the team's queues to the tier that matches its usage.
func (q *FairQueue[T]) updateTier(t *team[T]) {
	tier := t.tier()
	for _, tq := range t.queues {
		if tq.tier == tier {
			continue
		}
		if tq.pos >= 0 {
			tq.class.tiers[tq.tier].remove(tq)
			tq.class.tiers[tier].push(tq)
		}
		tq.tier = tier
	}
}

func (q *FairQueue[T]) reorderTeam(t *team[T]) {
	for _, tq := range t.queues {
		if tq.pos >= 0 {
			tq.class.tiers[tq.tier].fix(tq)
		}
	}
}

func reorderCaller[T any](c *caller[T]) {
	for _, f := range c.flows {
		if f.pos >= 0 {
			f.queue.flows.fix(f)
		}
	}
}
