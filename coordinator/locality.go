package coordinator

import (
	"math"
	"slices"
	"time"

	"github.com/masticlead/masticlead/delayer"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// maxOpenings limits the expected openings that are collected for a step.
	maxOpenings = 64
	// rackSearchSteps is the number of bisections in the search for the time at which a
	// gang fits on one rack. With 5, it is found to a 32nd of the longest wait.
	rackSearchSteps = 5
	// waitRetention is the time for which work whose wait has ended is remembered if it
	// does not start. After it, the work may wait again.
	waitRetention = 10 * time.Second
)

// localityState is the part of a step's state that concerns the place of its data.
type localityState struct {
	spreadOut  bool              // the gang was started on several racks
	nearWaits  int               // waiting tasks that wait for a near target, as of the last attempt to place the step
	openings   []delayer.Opening // expected openings on near targets
	openingsAt time.Time         // when openings was computed
}

// near reports whether a target is near the data of a step. Each target is near a step
// that names no rack.
func (s *step) near(t *target) bool { return s.Rack == "" || slices.Contains(t.Labels, s.Rack) }

// distanceFactor returns the ratio of the run time of a step's task on a target to that
// near its data or, for a gang that prefers one rack, on one rack.
func (c *Coordinator) distanceFactor(s *step, t *target) float64 {
	if c.RemoteFactor > 1 && (!s.near(t) || s.spreadOut) {
		return c.RemoteFactor
	}
	return 1
}

// slowdown returns the expected ratio of the run time of a step's task on a target to that
// on a near target of median speed. The target may be nil.
func (c *Coordinator) slowdown(s *step, t *target) float64 {
	if t == nil {
		return 1
	}
	return c.distanceFactor(s, t) / t.relative()
}

// hasPlaces reports whether the place of a step's tasks affects their run time.
func (c *Coordinator) hasPlaces(s *step) bool {
	return c.RemoteFactor > 1 && !s.Lasting && !s.Fills && s.Estimate > 0 && (s.Rack != "" || (s.Gang && s.OneRack))
}

// oneRack reports whether a plan uses targets of a single rack.
func oneRack(plan []gangShare) bool {
	for _, sh := range plan {
		if sh.target.rack() != plan[0].target.rack() {
			return false
		}
	}
	return true
}

// delayRequest returns the request to decide whether a task or gang of the step waits for
// a near place, if it runs longer far by the given factor.
func (c *Coordinator) delayRequest(s *step, i int, factor float64) *delayer.Request {
	near := c.typicalRunTime(s)
	r := &delayer.Request{Work: s.id(i), Near: near, Far: time.Duration(factor * float64(near)), Slack: math.MaxInt64 / 2}
	if goal, end, ok := c.goalAndEnd(s); ok {
		r.Slack = goal - end
	}
	return r
}

// waitsForNear reports whether a task waits for a near target although the given target,
// the best available one, is free.
func (c *Coordinator) waitsForNear(s *step, i int, t *target, needsAdvice bool) bool {
	if !c.hasPlaces(s) || s.near(t) {
		return false
	}
	r := c.delayRequest(s, i, c.slowdown(s, t))
	r.Openings = c.nearOpenings(s, needsAdvice, r.Far-r.Near)
	d := c.delays.Decide(c.now, r)
	if d.Action == delayer.PlaceFar {
		return false
	}
	s.nearWaits++
	c.logWait(s, i, s.Rack, d)
	return true
}

// logWait logs a wait if it is new.
func (c *Coordinator) logWait(s *step, i int, rack string, d delayer.Decision) {
	if tk := &s.tasks[i]; !tk.waitLogged {
		tk.waitLogged = true
		c.Log.Info("task waits for a near target", "task", s.id(i), "gang", s.Gang, "rack", rack,
			"until", d.Until.Sub(c.now), "expected", d.Opening.At.Sub(c.now), "target", d.Opening.ID.Target)
	}
}

// endWait records that a task or gang starts, near its data or not, and counts whether its
// wait, if any, has paid.
func (c *Coordinator) endWait(s *step, i int, near bool) {
	if c.RemoteFactor <= 1 {
		return
	}
	since := c.delays.Release(s.id(i))
	s.tasks[i].waitLogged = false
	if since.IsZero() {
		return
	}
	waited := c.now.Sub(since)
	run := c.typicalRunTime(s)
	result := "unpaid"
	if near && float64(waited+run) < c.RemoteFactor*float64(run) {
		result = "paid"
	}
	c.Meter.Count("nearWait", result)
	c.Meter.ObserveDuration("nearWait", waited)
	c.Log.Info("wait for a near target ended", "task", s.id(i), "gang", s.Gang, "waited", waited, "near", near, "result", result)
}

// nearOpenings returns the expected openings on the step's near targets within the given
// time, in order of time.
func (c *Coordinator) nearOpenings(s *step, needsAdvice bool, within time.Duration) []delayer.Opening {
	if s.openingsAt.Equal(c.now) {
		return s.openings
	}
	s.openingsAt, s.openings = c.now, s.openings[:0]
	for _, t := range c.candidates(s, needsAdvice) {
		if !s.near(t) || !c.expectsOpenings(s, t) {
			continue
		}
		before := c.now.Add(within)
		if needsAdvice {
			// Without a ticket at the opening, the task could not use it.
			before = c.ticketedUntil(s, t, before)
		}
		s.openings = c.appendOpenings(s.openings, s, t, before)
	}
	slices.SortStableFunc(s.openings, func(a, b delayer.Opening) int { return a.At.Compare(b.At) })
	s.openings = s.openings[:min(len(s.openings), maxOpenings)]
	return s.openings
}

// ticketedUntil returns the time, at most the given one, until which a step can start tasks
// on a target with its present ticket.
func (c *Coordinator) ticketedUntil(s *step, t *target, at time.Time) time.Time {
	if !c.hasValidTicket(s, t, 0) {
		return c.now
	}
	if last := s.advice[t.ID].expiresAt.Add(-ticketMargin); last.Before(at) {
		return last
	}
	return at
}

// nearShares returns the shares on near targets if they fit all tasks of a gang that names
// a rack, and otherwise all shares.
func (c *Coordinator) nearShares(s *step, list []gangShare) []gangShare {
	if c.RemoteFactor <= 1 || s.Rack == "" {
		return list
	}
	near := slices.DeleteFunc(slices.Clone(list), func(sh gangShare) bool { return !s.near(sh.target) })
	if sumTasks(near) < s.Count {
		return list
	}
	return near
}

// expectsOpenings reports whether a target may run tasks of the step when its runs end. It
// is false for targets that are draining, set aside or have not reported lately.
func (c *Coordinator) expectsOpenings(s *step, t *target) bool {
	return c.eligible(s, t) && !c.nominatedForOther(s, t) && s.Demand().Fits(t.Capacity) &&
		c.now.Sub(t.reportedAt) <= linker.HeartbeatTimeout
}

// appendOpenings appends the expected openings on a target before the given time.
func (c *Coordinator) appendOpenings(list []delayer.Opening, s *step, t *target, before time.Time) []delayer.Opening {
	// Openings beyond the tasks of the step count as well, since other steps may be
	// promised the earlier ones.
	limit := maxOpenings
	if s.Spread > 0 {
		limit = max(0, s.Spread-s.tasksOn(t))
	}
	available := c.availableResources(s, t)
	fits := s.Demand().FitCount(available, limit)
	for _, e := range c.expectedEnds(t, before) {
		available = available.Add(e.slot.resources)
		for ; fits < s.Demand().FitCount(available, limit); fits++ {
			id := delayer.OpeningID{Target: t.ID, Run: e.slot.step.id(e.slot.index), N: fits}
			list = append(list, delayer.Opening{ID: id, At: e.at})
		}
	}
	return list
}

// slotEnd is the expected end of a run.
type slotEnd struct {
	slot *slot
	at   time.Time
}

// expectedEnds returns the runs on a target that are expected to end before the given
// time, in order of time. Runs whose end is not known and those that are being stopped for
// other work are left out.
func (c *Coordinator) expectedEnds(t *target, before time.Time) []slotEnd {
	var ends []slotEnd
	for _, sl := range t.slots {
		if sl.step == nil || sl.stopping || sl.step.Lasting {
			continue
		}
		if sl.step.Estimate <= 0 && sl.step.tasks[sl.index].percent < minProgressPercent {
			continue
		}
		if at := later(c.expectedEnd(sl), c.now); at.Before(before) {
			ends = append(ends, slotEnd{sl, at})
		}
	}
	slices.SortFunc(ends, func(a, b slotEnd) int {
		if x := a.at.Compare(b.at); x != 0 {
			return x
		}
		return int(a.slot.run - b.slot.run)
	})
	return ends
}

// delayGang reports whether a gang that could start now on several racks waits until it
// fits on one. It books the rack, since smaller work would take it meanwhile, and does not
// wait if it may not book.
func (c *Coordinator) delayGang(s *step, timing *w.AdviceTiming, targets []*target, plan []gangShare) bool {
	s.nearWaits = 0
	if !c.hasPlaces(s) || !s.OneRack || oneRack(plan) {
		return false
	}
	if len(s.bookedTargets) > 0 && c.now.Sub(s.bookedAt) < gangPlanPeriod {
		s.nearWaits = s.Count
		return true
	}
	permitted := func(t *target) bool { return timing == nil || s.permits(t) }
	r := c.delayRequest(s, 0, c.RemoteFactor)
	r.Bookable = c.canBook(s)
	near, at := c.earliestOneRackPlan(s, targets, permitted, r.Far-r.Near)
	if near != nil && r.Bookable {
		r.Openings = []delayer.Opening{{ID: delayer.OpeningID{Target: near[0].target.ID, Run: s.id(0)}, At: at}}
	}
	d := c.delays.Decide(c.now, r)
	if d.Action == delayer.PlaceFar {
		c.cancelBooking(s)
		return false
	}
	s.nearWaits = s.Count
	if d.Action == delayer.BookNear {
		c.logWait(s, 0, near[0].target.rack(), d)
		c.book(s, near, at, d.Until.Add(bookingSlack))
		c.renewGangTickets(s, timing, near, at)
	}
	return true
}

// earliestOneRackPlan returns the plan with the earliest start within the given time at
// which a gang is expected to fit on one rack, and that start, or a nil plan.
func (c *Coordinator) earliestOneRackPlan(s *step, targets []*target, permitted func(*target) bool, within time.Duration) ([]gangShare, time.Time) {
	planAt := func(after time.Duration) []gangShare {
		p := c.planGang(s, targets, func(t *target) bool { return permitted(t) && c.expectsOpenings(s, t) },
			func(t *target) w.Resources { return c.expectedFreeAt(s, t, c.now.Add(after)) })
		if len(p) > 0 && !oneRack(p) {
			return nil
		}
		return p
	}
	best := planAt(within)
	if best == nil {
		return nil, c.now
	}
	low, high := time.Duration(0), within
	for range rackSearchSteps {
		middle := (low + high) / 2
		if p := planAt(middle); p != nil {
			best, high = p, middle
		} else {
			low = middle
		}
	}
	return best, c.now.Add(high)
}

// expectedFreeAt returns the resources of a target that a step is expected to be able to
// use at a time without preemption.
func (c *Coordinator) expectedFreeAt(s *step, t *target, at time.Time) w.Resources {
	available := c.availableResources(s, t)
	for _, e := range c.expectedEnds(t, at) {
		available = available.Add(e.slot.resources)
	}
	return available
}

// renewGangTickets requests tickets for the targets of a waiting gang shortly before its
// planned start.
func (c *Coordinator) renewGangTickets(s *step, timing *w.AdviceTiming, plan []gangShare, at time.Time) {
	if timing == nil || s.unansweredCalls > 0 || at.Sub(c.now) > ticketLeadTime(timing) {
		return
	}
	var stale []*target
	for _, sh := range plan {
		if !c.hasValidTicket(s, sh.target, at.Sub(c.now)) {
			stale = append(stale, sh.target)
		}
	}
	c.enqueueParallelAdviceCalls(s, timing, stale)
}
