package sequencer

import "github.com/masticlead/masticlead/descriptor"

// team returns the account of a team, which is opened on first use.
func (q *Fair[T]) team(id descriptor.TeamID) *team[T] {
	t, ok := q.teams[id]
	if !ok {
		q.order++
		t = &team[T]{id: id, used: q.teamClock, order: q.order, callers: map[descriptor.CallerID]*caller[T]{}}
		q.entitle(t)
		q.teams[id] = t
	}
	return t
}

// caller returns the account of a caller of the team, which is opened on first
// use.
func (t *team[T]) caller(id descriptor.CallerID, q *Fair[T]) *caller[T] {
	c, ok := t.callers[id]
	if !ok {
		q.order++
		c = &caller[T]{used: t.clock, order: q.order}
		t.callers[id] = c
		q.accounts++
	}
	return c
}

// idle closes the account of a caller that has nothing waiting, unless it has
// debt. A caller that is not ahead of its team's clock would start anew there
// anyway, so that nothing is lost with its account.
func (q *Fair[T]) idle(t *team[T], id descriptor.CallerID, c *caller[T]) {
	q.busy--
	if c.used <= t.clock {
		delete(t.callers, id)
		q.accounts--
	} else if q.crowded() {
		q.sweep()
	}
}

// crowded reports whether idle accounts outnumber the busy ones by far.
func (q *Fair[T]) crowded() bool { return q.accounts > 2*q.busy+sweepSlack }

// sweep closes idle accounts once they outnumber the busy ones: those whose debt
// the clock has reached, and if that is not enough all, which forgives the rest.
// It bounds the accounts when callers come once and never again. The maps are
// rebuilt, because Go maps never shrink.
func (q *Fair[T]) sweep() {
	for _, forgive := range []bool{false, true} {
		for _, t := range q.teams {
			kept := make(map[descriptor.CallerID]*caller[T])
			for id, c := range t.callers {
				if c.queued > 0 || c.used > t.clock && !forgive {
					kept[id] = c
				}
			}
			q.accounts -= len(t.callers) - len(kept)
			t.callers = kept
		}
		if q.accounts <= q.busy+sweepSlack/2 {
			return
		}
	}
}

// flow returns the caller's flow of a class, which is opened if needed.
func (q *Fair[T]) flow(t *team[T], c *caller[T], cl Class) *flow[T] {
	for _, f := range c.flows {
		if f.entry.class.Class == cl {
			return f
		}
	}
	f := &flow[T]{caller: c, entry: q.entry(t, cl), pos: -1}
	c.flows = append(c.flows, f)
	return f
}

func (q *Fair[T]) entry(t *team[T], cl Class) *entry[T] {
	k, ok := q.classes[cl]
	if !ok {
		k = &class[T]{Class: cl, entries: map[*team[T]]*entry[T]{}}
		q.classes[cl] = k
		l := &q.lanes[cl.Lane()]
		l.classes = append(l.classes, k)
	}
	e, ok := k.entries[t]
	if !ok {
		e = &entry[T]{team: t, class: k, tier: t.tier(), pos: -1}
		k.entries[t] = e
		t.entries = append(t.entries, e)
	}
	return e
}

// enter puts a flow into its entry's heap, and the entry into its class's.
func (q *Fair[T]) enter(f *flow[T]) {
	if f.pos >= 0 {
		return
	}
	e := f.entry
	e.flows.push(f)
	if e.pos < 0 {
		e.class.tiers[e.tier].push(e)
	}
}

// leave takes a flow out of its entry's heap.
func (q *Fair[T]) leave(f *flow[T]) {
	if f.pos < 0 {
		return
	}
	e := f.entry
	e.flows.remove(f)
	if e.flows.len() == 0 {
		e.class.tiers[e.tier].remove(e)
	}
}

// Share divides the class by the weights of the teams that wait, and the team's
// part by its callers that wait. Teams above their entitlement are left out for
// a team below it.
func (q *Fair[T]) Share(tid descriptor.TeamID, cid descriptor.CallerID, cl Class) float64 {
	k, ok := q.classes[cl]
	if !ok {
		return 1
	}
	t := q.team(tid)
	weight, callers := t.weight, 1
	for tier := range t.tier() + 1 {
		for _, e := range k.tiers[tier].elements {
			if e.team != t {
				weight += e.team.weight
			}
		}
	}
	if e, ok := k.entries[t]; ok {
		callers = max(e.flows.len(), 1)
		if c, ok := t.callers[cid]; !ok || c.queued == 0 {
			callers = e.flows.len() + 1
		}
	}
	return t.weight / weight / float64(callers)
}
