package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// longAdvice is the least expected time of a long call.
	longAdvice = 250 * time.Millisecond
	// shortAdvice is the time below which a call is short, and may delay another
	// one on the same instance.
	shortAdvice = 50 * time.Millisecond
	// laneDepth is the number of calls that may wait at an instance, so that a
	// more urgent one is not far behind.
	laneDepth = 2
	// ticketMargin covers the way of an order to its target.
	ticketMargin = 60 * time.Millisecond
	// maxNamed is the number of targets that one call may name.
	maxNamed = 100
	// spareShare is the share of the lanes that calls which can wait leave free.
	spareShare = 0.4
	// adviceSlack is added to the expected time of a call before it counts as
	// lost.
	adviceSlack = 1500 * time.Millisecond
)

// advised is what the queue's policy said of a target for one step.
type targetAdvice struct {
	permitted   bool
	ticket      string
	expiresAt   time.Time
	incarnation w.Incarnation
}

// ask is a call to the advice service.
type adviceCall struct {
	id       int64
	step     *step
	targets  []*target
	cost     time.Duration
	member   *member
	deadline time.Time // when its answer is given up
}

// holds reports whether a start on the target can carry a valid ticket.
func (c *Coordinator) holds(s *step, t *target, spare time.Duration) bool {
	a := s.advice[t.ID]
	return a != nil && a.permitted && a.incarnation == t.Incarnation && a.expiresAt.After(c.now.Add(ticketMargin+spare))
}

// good reports whether the policy permits a target.
func (s *step) good(t *target) bool {
	a := s.advice[t.ID]
	return a != nil && a.permitted && a.incarnation == t.Incarnation
}

// knows reports whether the policy's word on a target is known.
func (s *step) knows(t *target) bool {
	a := s.advice[t.ID]
	return a != nil && a.incarnation == t.Incarnation
}

// forgetAdvice drops what the policy said once no task of the step starts any
// more. Jobs stay in memory for minutes after their end.
func (s *step) forgetAdvice() { s.advice, s.permitted = nil, nil }

// request asks for advice on targets for a step.
func (c *Coordinator) request(s *step, cost *w.AdviceTiming, targets []*target) {
	if len(targets) == 0 {
		return
	}
	if len(targets) > maxNamed {
		targets = targets[:maxNamed]
	}
	s.openCalls++
	s.askedAt = c.now
	s.job.stats.adviceCalls++
	s.namedTargets = slices.Clone(targets)
	c.lastCall++
	c.queuedCalls = append(c.queuedCalls, &adviceCall{
		id: c.lastCall, step: s, targets: s.namedTargets,
		cost: cost.BaseLatency + time.Duration(len(targets))*cost.LatencyPerTarget,
	})
}

// namedAtOnce returns the number of targets whose names cost half as much as the
// call itself. Fewer names would save little, and leave more calls to make.
func namedAtOnce(cost *w.AdviceTiming) int {
	if cost.LatencyPerTarget <= 0 {
		return maxNamed
	}
	return min(maxNamed, int(cost.BaseLatency/(2*cost.LatencyPerTarget)))
}

// dispatchAsks hands the waiting calls to instances.
func (c *Coordinator) dispatchAsks() {
	for id, a := range c.calls {
		if c.now.After(a.deadline) {
			a.member.adviceCalls--
			c.closeAsk(id, a)
		}
	}
	if len(c.queuedCalls) == 0 || len(c.sortedMembers) == 0 {
		return
	}
	slices.SortStableFunc(c.queuedCalls, func(a, b *adviceCall) int {
		return cmp.Compare(c.priority(a.step.job), c.priority(b.step.job))
	})
	var full [callClasses]bool // classes without a lane
	rest := c.queuedCalls[:0]
	for _, a := range c.queuedCalls {
		if a.step.job.state.Final() {
			a.step.openCalls--
			continue
		}
		class := classOf(a.cost)
		if full[class] {
			rest = append(rest, a)
			continue
		}
		m := c.lane(class)
		if m == nil {
			full[class] = true
			rest = append(rest, a)
			continue
		}
		a.member = m
		m.adviceCalls++
		m.freeAt = later(m.freeAt, c.now).Add(a.cost)
		a.deadline = m.freeAt.Add(a.cost + adviceSlack)
		c.calls[a.id] = a
		out := linker.Ask{ID: a.id, Step: a.step.name}
		for _, t := range a.targets {
			out.Targets = append(out.Targets, t.ID)
		}
		f := m.nextFrame()
		f.Asks = append(f.Asks, out)
	}
	for i := len(rest); i < len(c.queuedCalls); i++ {
		c.queuedCalls[i] = nil
	}
	c.queuedCalls = rest
}

// closeAsk notes that a call has ended, with or without an answer. Its step may ask
// again at once.
func (c *Coordinator) closeAsk(id int64, a *adviceCall) {
	delete(c.calls, id)
	a.step.openCalls--
	a.step.triedRound = -1
	a.step.searchedAt, a.step.plannedAt = time.Time{}, time.Time{}
}

// callClass tells how long calls for advice take.
type callClass int

const (
	shortCall callClass = iota
	mediumCall
	longCall
	callClasses // number of classes
)

func classOf(cost time.Duration) callClass {
	switch {
	case cost >= longAdvice:
		return longCall
	case cost >= shortAdvice:
		return mediumCall
	}
	return shortCall
}

// lanes returns the instances that may make calls of a class. Each class has some
// that the longer or shorter ones leave free.
func (c *Coordinator) lanes(class callClass) []*member {
	n := len(c.sortedMembers)
	switch class {
	case longCall:
		return c.sortedMembers[:(n+1)/2]
	case mediumCall:
		return c.sortedMembers[n/4 : (3*n+3)/4]
	}
	return c.sortedMembers
}

// freeLanes returns how many further calls of a class can be made at once.
func (c *Coordinator) freeLanes(class callClass) int {
	n := 0
	for _, m := range c.lanes(class) {
		if c.takes(m, class) {
			n++
		}
	}
	for _, a := range c.queuedCalls {
		if classOf(a.cost) == class {
			n--
		}
	}
	return n
}

// lanesToSpare reports whether enough lanes of a class are free for calls that
// nothing waits for yet.
func (c *Coordinator) lanesToSpare(class callClass) bool {
	return float64(c.freeLanes(class)) > spareShare*float64(len(c.lanes(class)))
}

// takes reports whether an instance may get one more call of a class.
func (c *Coordinator) takes(m *member, class callClass) bool {
	return m.adviceCalls < laneDepth && (class != longCall || m.freeAt.Sub(c.now) <= shortAdvice)
}

// lane returns the instance that can answer a call of a class first, or nil if
// the call should wait.
func (c *Coordinator) lane(class callClass) *member {
	var best *member
	for _, m := range c.lanes(class) {
		if !c.takes(m, class) {
			continue
		}
		if best == nil || later(m.freeAt, c.now).Before(later(best.freeAt, c.now)) ||
			// Among free lanes short calls prefer those that no long call uses.
			(class != longCall && !later(m.freeAt, c.now).After(later(best.freeAt, c.now))) {
			best = m
		}
	}
	return best
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// advise takes over an answer of the advice service.
func (c *Coordinator) advise(m *member, r *linker.Advice) {
	a := c.calls[r.ID]
	if a == nil || a.member != m {
		return
	}
	m.adviceCalls--
	if m.adviceCalls == 0 {
		m.freeAt = c.now
	}
	c.closeAsk(r.ID, a)
	s := a.step
	c.Meter.Wait("advice", c.now.Sub(s.askedAt))
	if r.Failed || len(r.Tickets) < len(r.Good) || s.job.state.Final() || s.done == s.Count {
		return
	}
	if s.job.stats.firstAdviceAt.IsZero() {
		s.job.stats.firstAdviceAt = c.now
	}
	q := c.queue(s.job)
	if q == nil || q.Advice == nil {
		return
	}
	if s.advice == nil {
		s.advice = make(map[w.TargetID]*targetAdvice, len(a.targets))
	}
	for _, t := range a.targets {
		if !s.knows(t) {
			s.advice[t.ID] = &targetAdvice{incarnation: t.Incarnation}
		}
	}
	for i, id := range r.Good {
		if t := c.targets[id]; t != nil {
			if !slices.Contains(s.permitted, t) {
				s.permitted = append(s.permitted, t)
			}
			s.advice[id] = &targetAdvice{permitted: true, ticket: r.Tickets[i], expiresAt: c.now.Add(q.Advice.TicketValidity), incarnation: t.Incarnation}
		}
	}
	const weight = 0.1
	share := c.shareGood(q.Name)
	c.permittedShares[q.Name] = share + weight*(float64(len(r.Good))/float64(len(a.targets))-share)
}

// shareGood returns the share of targets that the queue's policy permits.
func (c *Coordinator) shareGood(queue string) float64 {
	if v, ok := c.permittedShares[queue]; ok {
		return max(0.05, v)
	}
	return 0.5
}
