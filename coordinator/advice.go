package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// longCallThreshold is the minimum expected duration of a long call.
	longCallThreshold = 250 * time.Millisecond
	// shortCallThreshold is the expected duration below which a call is short. It
	// is also the longest time for which a long call may queue behind other calls at
	// an instance.
	shortCallThreshold = 50 * time.Millisecond
	// maxCallsPerInstance limits the unanswered calls at an instance, so that a
	// more urgent call does not queue behind many others.
	maxCallsPerInstance = 2
	// ticketMargin is the remaining validity that a ticket needs so that the start
	// order reaches its target in time.
	ticketMargin = 60 * time.Millisecond
	// maxTargetsPerCall limits the targets named in one call.
	maxTargetsPerCall = 100
	// minSpareCallShare is the share of the eligible instances that must accept a
	// further call before a deferrable call is made.
	minSpareCallShare = 0.4
	// maxCallDeferral is the time since the last call of a gang from which its next one
	// is no longer deferred. Other gangs may always use most of the lanes.
	maxCallDeferral = 5 * time.Second
	// adviceCallSlack is the margin beyond its expected duration after which a
	// call counts as lost.
	adviceCallSlack = 1500 * time.Millisecond
)

// targetAdvice is the decision of the queue's policy on a target for one step.
type targetAdvice struct {
	target      *target // a target that was removed and is listed again has another record
	permitted   bool
	ticket      string
	expiresAt   time.Time
	incarnation w.Incarnation
}

// adviceCall is a call to the advice service for one step.
type adviceCall struct {
	id               int64
	step             *step
	targets          []*target
	expectedDuration time.Duration
	member           *member
	deadline         time.Time // when the call counts as lost
}

// hasValidTicket reports whether the step has a ticket for the target that is still
// valid after margin and the delivery of a start order.
func (c *Coordinator) hasValidTicket(s *step, t *target, margin time.Duration) bool {
	a := s.adviceOn(t)
	return a != nil && a.permitted && a.expiresAt.After(c.now.Add(ticketMargin+margin))
}

// permits reports whether the queue's policy is known to permit the target.
func (s *step) permits(t *target) bool {
	a := s.adviceOn(t)
	return a != nil && a.permitted
}

// hasAdvice reports whether the policy's decision on the target is known.
func (s *step) hasAdvice(t *target) bool { return s.adviceOn(t) != nil }

// adviceOn returns the policy's decision on the present incarnation of a target, or nil.
func (s *step) adviceOn(t *target) *targetAdvice {
	if a := s.advice[t.ID]; a != nil && a.target == t && a.incarnation == t.Incarnation {
		return a
	}
	return nil
}

// clearAdvice frees the advice of a step that starts no more tasks, since its job
// stays in memory for minutes after its end.
func (s *step) clearAdvice() { s.advice, s.permittedTargets = nil, nil }

// enqueueAdviceCall queues an advice call that names the first maxTargetsPerCall of
// the targets.
func (c *Coordinator) enqueueAdviceCall(s *step, timing *w.AdviceTiming, targets []*target) {
	if len(targets) == 0 {
		return
	}
	if len(targets) > maxTargetsPerCall {
		targets = targets[:maxTargetsPerCall]
	}
	s.unansweredCalls++
	s.askedAt = c.now
	s.job.stats.adviceCalls++
	s.namedTargets = slices.Clone(targets)
	c.lastCallID++
	c.queuedCalls = append(c.queuedCalls, &adviceCall{
		id: c.lastCallID, step: s, targets: s.namedTargets,
		expectedDuration: timing.BaseLatency + time.Duration(len(targets))*timing.LatencyPerTarget,
	})
}

// targetsPerCall returns the number of targets whose additional latency is half the
// base latency of a call. Naming fewer would save little time and require more calls.
func targetsPerCall(timing *w.AdviceTiming) int {
	if timing.LatencyPerTarget <= 0 {
		return maxTargetsPerCall
	}
	return min(maxTargetsPerCall, int(timing.BaseLatency/(2*timing.LatencyPerTarget)))
}

// dispatchAdviceCalls removes the calls whose deadline has passed and assigns queued
// ones to instances by priority.
func (c *Coordinator) dispatchAdviceCalls() {
	for id, a := range c.sentCalls {
		if c.now.After(a.deadline) {
			a.member.adviceCalls--
			c.recordAdviceFailure(a.member)
			c.closeAdviceCall(id, a)
		}
	}
	if len(c.queuedCalls) == 0 || len(c.sortedMembers) == 0 {
		return
	}
	c.updateAdvisers()
	slices.SortStableFunc(c.queuedCalls, func(a, b *adviceCall) int {
		return cmp.Compare(c.priority(a.step.job), c.priority(b.step.job))
	})
	var exhausted [numCallClasses]bool // classes without call capacity
	rest := c.queuedCalls[:0]
	for _, a := range c.queuedCalls {
		if a.step.job.state.Final() {
			a.step.unansweredCalls--
			continue
		}
		if a.step.capHeld {
			c.closeAdviceCall(a.id, a)
			continue
		}
		class := classOf(a.expectedDuration)
		if exhausted[class] {
			rest = append(rest, a)
			continue
		}
		m := c.selectInstance(class)
		if m == nil {
			exhausted[class] = true
			rest = append(rest, a)
			continue
		}
		a.member = m
		m.adviceCalls++
		m.freeAt = later(m.freeAt, c.now).Add(a.expectedDuration)
		a.deadline = m.freeAt.Add(a.expectedDuration + adviceCallSlack)
		c.sentCalls[a.id] = a
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

// closeAdviceCall removes an answered or lost call and allows its step to make the
// next one immediately.
func (c *Coordinator) closeAdviceCall(id int64, a *adviceCall) {
	delete(c.sentCalls, id)
	a.step.unansweredCalls--
	a.step.triedGeneration = -1
	a.step.searchedAt, a.step.plannedAt = time.Time{}, time.Time{}
}

// callClass classifies advice calls by expected duration.
type callClass int

const (
	shortCall callClass = iota
	mediumCall
	longCall
	numCallClasses
)

func classOf(duration time.Duration) callClass {
	switch {
	case duration >= longCallThreshold:
		return longCall
	case duration >= shortCallThreshold:
		return mediumCall
	}
	return shortCall
}

// eligibleInstances returns the instances that may make calls of a class. Long and
// medium calls are each restricted to a subset, so that every class has instances
// that the others do not use.
func (c *Coordinator) eligibleInstances(class callClass) []*member {
	n := len(c.advisers)
	switch class {
	case longCall:
		return c.advisers[:(n+1)/2]
	case mediumCall:
		return c.advisers[n/4 : (3*n+3)/4]
	}
	return c.advisers
}

// callCapacity returns how many calls of a class can be dispatched now in addition to
// the queued ones. It is negative if not all queued calls can be dispatched.
func (c *Coordinator) callCapacity(class callClass) int {
	n := 0
	for _, m := range c.eligibleInstances(class) {
		if c.acceptsCall(m, class) {
			n++
		}
	}
	for _, a := range c.queuedCalls {
		if classOf(a.expectedDuration) == class {
			n--
		}
	}
	return n
}

// hasSpareCallCapacity reports whether enough instances accept calls of a class to
// make calls that can be deferred.
func (c *Coordinator) hasSpareCallCapacity(class callClass) bool {
	return float64(c.callCapacity(class)) > minSpareCallShare*float64(len(c.eligibleInstances(class)))
}

// acceptsCall reports whether an instance may be given another call of a class.
func (c *Coordinator) acceptsCall(m *member, class callClass) bool {
	return m.adviceCalls < maxCallsPerInstance && (class != longCall || m.freeAt.Sub(c.now) <= shortCallThreshold)
}

// selectInstance returns the instance expected to answer a call of a class first, or
// nil if none accepts one.
func (c *Coordinator) selectInstance(class callClass) *member {
	var best *member
	for _, m := range c.eligibleInstances(class) {
		if !c.acceptsCall(m, class) {
			continue
		}
		if best == nil || later(m.freeAt, c.now).Before(later(best.freeAt, c.now)) ||
			// For shorter calls, prefer the last of several idle instances, since
			// long calls use only the first ones.
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

// handleAdvice processes an answer of the advice service.
func (c *Coordinator) handleAdvice(m *member, r *linker.Advice) {
	a := c.sentCalls[r.ID]
	if a == nil || a.member != m {
		return
	}
	m.adviceCalls--
	if m.adviceCalls == 0 {
		m.freeAt = c.now
	}
	c.closeAdviceCall(r.ID, a)
	s := a.step
	c.Meter.ObserveDuration("advice", c.now.Sub(s.askedAt))
	if r.Failed || len(r.Tickets) < len(r.Good) {
		c.recordAdviceFailure(m)
		s.searchedAt, s.plannedAt = c.now, c.now // no call at once, since the next one may fail as well
		return
	}
	delete(c.adviserFailures, m.id)
	if s.job.state.Final() || s.done == s.Count {
		return
	}
	if s.job.stats.firstAdviceAt.IsZero() {
		s.job.stats.firstAdviceAt = c.now
	}
	timing := c.adviceTiming(s.job)
	if timing == nil {
		return
	}
	if s.advice == nil {
		s.advice = make(map[w.TargetID]*targetAdvice, len(a.targets))
	}
	for _, t := range a.targets {
		if t == c.targets[t.ID] && !s.hasAdvice(t) {
			s.setAdvice(t, targetAdvice{})
		}
	}
	for i, id := range r.Good {
		if t := c.targets[id]; t != nil {
			s.setAdvice(t, targetAdvice{permitted: true, ticket: r.Tickets[i], expiresAt: c.now.Add(timing.TicketValidity)})
		}
	}
	const weight = 0.1 // of one answer in the moving average
	share := c.permittedShare(s.job.Queue)
	c.permittedShares[s.job.Queue] = share + weight*(float64(len(r.Good))/float64(len(a.targets))-share)
}

// setAdvice records the policy's decision on a target, in place of one on an earlier
// record of it.
func (s *step) setAdvice(t *target, a targetAdvice) {
	if old := s.advice[t.ID]; old != nil && old.target != t {
		s.permittedTargets = slices.DeleteFunc(s.permittedTargets, func(o *target) bool { return o == old.target })
	}
	if a.permitted && !slices.Contains(s.permittedTargets, t) {
		s.permittedTargets = append(s.permittedTargets, t)
	}
	a.target, a.incarnation = t, t.Incarnation
	s.advice[t.ID] = &a
}

// permittedShare returns the estimated share of targets that the queue's policy
// permits: a moving average over its answers, at least 0.05, or 0.5 before the first one.
func (c *Coordinator) permittedShare(queue string) float64 {
	if v, ok := c.permittedShares[queue]; ok {
		return max(0.05, v)
	}
	return 0.5
}
