package sequencer

// BeginPass starts a pass.
func (q *FairQueue[T]) BeginPass() { q.pass++ }

// EndPass ends the pass and reactivates the skipped flows.
func (q *FairQueue[T]) EndPass() {
	for i, f := range q.skipped {
		if f.first != nil {
			q.activateFlow(f)
		}
		q.skipped[i] = nil
	}
	q.skipped = q.skipped[:0]
}

// SkipFlow skips the item's flow for the rest of the pass.
func (q *FairQueue[T]) SkipFlow(it *Item[T]) {
	q.deactivateFlow(it.flow)
	q.skipped = append(q.skipped, it.flow)
}

// SkipClass skips a class for the rest of the pass.
func (q *FairQueue[T]) SkipClass(c Class) {
	if cq, ok := q.classes[c]; ok {
		cq.skippedPass = q.pass
	}
}

// Peek returns the first item of the lane, team and caller with the lowest
// virtual times, or nil. It considers teams below their entitlement first.
func (q *FairQueue[T]) Peek() *Item[T] {
	for tier := range 2 {
		if tq := q.nextInTier(tier); tq != nil {
			return tq.flows.top().first
		}
	}
	return nil
}

// nextInTier returns the teamQueue to be served next among those in a tier.
func (q *FairQueue[T]) nextInTier(tier int) *teamQueue[T] {
	var best *teamQueue[T]
	bestTime := 0.0
	for i := range q.lanes {
		l := &q.lanes[i]
		if l.queued == 0 || best != nil && l.virtualTime >= bestTime {
			continue
		}
		if tq := l.nextInTier(tier, q.pass); tq != nil {
			best, bestTime = tq, l.virtualTime
		}
	}
	return best
}

func (l *lane[T]) nextInTier(tier int, pass uint64) *teamQueue[T] {
	var best *teamQueue[T]
	for _, cq := range l.classes {
		if cq.skippedPass == pass || cq.tiers[tier].len() == 0 {
			continue
		}
		tq := cq.tiers[tier].top()
		if best == nil || tq.team.virtualTime < best.team.virtualTime ||
			tq.team == best.team && tq.flows.top().less(best.flows.top()) {
			best = tq
		}
	}
	return best
}

// Serve removes an item that starts now and advances the virtual clocks.
func (q *FairQueue[T]) Serve(it *Item[T]) {
	f := it.flow
	t := f.queue.team
	q.laneClock = max(q.laneClock, q.lanes[it.Class.Lane()].virtualTime)
	q.teamClock = max(q.teamClock, t.virtualTime)
	t.callerClock = max(t.callerClock, f.caller.virtualTime)
	q.Remove(it)
}
