package sequencer

import "github.com/masticlead/masticlead/descriptor"

// team returns the account of a team and creates it on first use.
func (q *FairQueue[T]) team(id descriptor.TeamID) *team[T] {
	t, ok := q.teams[id]
	if !ok {
		q.lastSeq++
		t = &team[T]{id: id, virtualTime: q.teamClock, seq: q.lastSeq, callers: map[descriptor.CallerID]*caller[T]{}}
		q.updateEntitlement(t)
		q.teams[id] = t
	}
	return t
}

// caller returns the account of a caller of the team and creates it on first
// use.
func (t *team[T]) caller(id descriptor.CallerID, q *FairQueue[T]) *caller[T] {
	c, ok := t.callers[id]
	if !ok {
		q.lastSeq++
		c = &caller[T]{virtualTime: t.callerClock, seq: q.lastSeq}
		t.callers[id] = c
		q.callerAccounts++
	}
	return c
}

// releaseCaller deletes the account of a caller without queued items, unless the
// caller has debt, that is, a virtual time ahead of its team's clock. A caller
// without debt would resume at the clock anyway, so deleting its account loses
// nothing.
func (q *FairQueue[T]) releaseCaller(t *team[T], id descriptor.CallerID, c *caller[T]) {
	q.activeCallers--
	if c.virtualTime <= t.callerClock {
		delete(t.callers, id)
		q.callerAccounts--
	} else if q.tooManyIdleAccounts() {
		q.evictIdleAccounts()
	}
}

// tooManyIdleAccounts reports whether idle caller accounts outnumber the active
// callers by more than idleAccountSlack.
func (q *FairQueue[T]) tooManyIdleAccounts() bool {
	return q.callerAccounts > 2*q.activeCallers+idleAccountSlack
}

// evictIdleAccounts deletes idle caller accounts: first those without remaining
// debt, and if too many are left, all of them, which cancels their debt. It bounds
// memory when many callers submit requests only once. The maps are rebuilt
// because Go maps never shrink.
func (q *FairQueue[T]) evictIdleAccounts() {
	for _, evictIndebted := range []bool{false, true} {
		for _, t := range q.teams {
			kept := make(map[descriptor.CallerID]*caller[T])
			for id, c := range t.callers {
				if c.queued > 0 || c.virtualTime > t.callerClock && !evictIndebted {
					kept[id] = c
				}
			}
			q.callerAccounts -= len(t.callers) - len(kept)
			t.callers = kept
		}
		if q.callerAccounts <= q.activeCallers+idleAccountSlack/2 {
			return
		}
	}
}

// flow returns the caller's flow of a class and creates it if needed.
func (q *FairQueue[T]) flow(t *team[T], c *caller[T], cl Class) *flow[T] {
	for _, f := range c.flows {
		if f.queue.class.Class == cl {
			return f
		}
	}
	f := &flow[T]{caller: c, queue: q.teamQueue(t, cl), pos: -1}
	c.flows = append(c.flows, f)
	return f
}

func (q *FairQueue[T]) teamQueue(t *team[T], cl Class) *teamQueue[T] {
	cq, ok := q.classes[cl]
	if !ok {
		cq = &classQueue[T]{Class: cl, teamQueues: map[*team[T]]*teamQueue[T]{}}
		q.classes[cl] = cq
		l := &q.lanes[cl.Lane()]
		l.classes = append(l.classes, cq)
	}
	tq, ok := cq.teamQueues[t]
	if !ok {
		tq = &teamQueue[T]{team: t, class: cq, tier: t.tier(), pos: -1}
		cq.teamQueues[t] = tq
		t.queues = append(t.queues, tq)
	}
	return tq
}

// activateFlow adds a flow to the heap of its teamQueue, and the teamQueue to its
// tier of the class, unless they are there already.
func (q *FairQueue[T]) activateFlow(f *flow[T]) {
	if f.pos >= 0 {
		return
	}
	tq := f.queue
	tq.flows.push(f)
	if tq.pos < 0 {
		tq.class.tiers[tq.tier].push(tq)
	}
}

// deactivateFlow removes a flow from the heap of its teamQueue, and the teamQueue
// from its tier of the class if it has no other active flow.
func (q *FairQueue[T]) deactivateFlow(f *flow[T]) {
	if f.pos < 0 {
		return
	}
	tq := f.queue
	tq.flows.remove(f)
	if tq.flows.len() == 0 {
		tq.class.tiers[tq.tier].remove(tq)
	}
}

// Share divides the service of the class among the backlogged teams in
// proportion to their weights, and the team's part equally among its backlogged
// callers. For a team below its entitlement, teams that have reached theirs are
// not counted.
func (q *FairQueue[T]) Share(tid descriptor.TeamID, cid descriptor.CallerID, cl Class) float64 {
	cq, ok := q.classes[cl]
	if !ok {
		return 1
	}
	t := q.team(tid)
	weight, callers := t.weight, 1
	for tier := range t.tier() + 1 {
		for _, tq := range cq.tiers[tier].elements {
			if tq.team != t {
				weight += tq.team.weight
			}
		}
	}
	if tq, ok := cq.teamQueues[t]; ok {
		callers = max(tq.flows.len(), 1)
		if c, ok := t.callers[cid]; !ok || c.queued == 0 {
			callers = tq.flows.len() + 1
		}
	}
	return t.weight / weight / float64(callers)
}
