package sequencer

// Begin starts a pass.
func (q *Fair[T]) Begin() { q.pass++ }

// End puts back what was set aside.
func (q *Fair[T]) End() {
	for i, f := range q.aside {
		if f.first != nil {
			q.enter(f)
		}
		q.aside[i] = nil
	}
	q.aside = q.aside[:0]
}

// SetAside skips the flow of the item for the rest of the pass.
func (q *Fair[T]) SetAside(it *Item[T]) {
	q.leave(it.flow)
	q.aside = append(q.aside, it.flow)
}

// Block skips a class for the rest of the pass.
func (q *Fair[T]) Block(c Class) {
	if k, ok := q.classes[c]; ok {
		k.blocked = q.pass
	}
}

// Peek returns the first item of the caller, team and lane that have used least.
func (q *Fair[T]) Peek() *Item[T] {
	for tier := range 2 {
		if e := q.first(tier); e != nil {
			return e.flows.top().first
		}
	}
	return nil
}

// first returns the first entry of a tier.
func (q *Fair[T]) first(tier int) *entry[T] {
	var best *entry[T]
	bestUsed := 0.0
	for i := range q.lanes {
		l := &q.lanes[i]
		if l.queued == 0 || best != nil && l.used >= bestUsed {
			continue
		}
		if e := l.first(tier, q.pass); e != nil {
			best, bestUsed = e, l.used
		}
	}
	return best
}

func (l *lane[T]) first(tier int, pass uint64) *entry[T] {
	var best *entry[T]
	for _, k := range l.classes {
		if k.blocked == pass || k.tiers[tier].len() == 0 {
			continue
		}
		e := k.tiers[tier].top()
		if best == nil || e.team.used < best.team.used ||
			e.team == best.team && e.flows.top().less(best.flows.top()) {
			best = e
		}
	}
	return best
}

// Serve takes out an item that starts now and moves the virtual clocks on.
func (q *Fair[T]) Serve(it *Item[T]) {
	f := it.flow
	t := f.entry.team
	q.laneClock = max(q.laneClock, q.lanes[it.Class.Lane()].used)
	q.teamClock = max(q.teamClock, t.used)
	t.clock = max(t.clock, f.caller.used)
	q.Remove(it)
}
