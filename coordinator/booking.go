package coordinator

import (
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// bookingSlack is the time after the planned start of a gang at which its
	// booking expires. It covers message delivery and the duration of a placement
	// round.
	bookingSlack = 250 * time.Millisecond
	// maxBookedShare is the share of the usable CPU that may be booked at the same
	// time.
	maxBookedShare = 0.25
	// maxBookingLead limits how far ahead of its planned start, beyond the ticket
	// lead time, a gang may book resources.
	maxBookingLead = 2 * time.Second
	// startCandidateInterval is the interval between the start times that are tried
	// for a gang.
	startCandidateInterval = 500 * time.Millisecond
	// gangPlanPeriod is the maximum time between two attempts to place a gang that
	// needs advice, and bookedGangPlanPeriod that of a gang with a booking.
	gangPlanPeriod       = 100 * time.Millisecond
	bookedGangPlanPeriod = 20 * time.Millisecond
	// backfillMargin is the safety factor on the expected run time of backfilled
	// tasks, which run on booked resources and must end before the booking starts.
	backfillMargin = 1.5
	// minProgressPercent is the progress from which the end of a run is
	// extrapolated.
	minProgressPercent = 5
)

// booking is an advance reservation: it keeps resources of a target available for the
// planned start of a gang.
type booking struct {
	step      *step
	resources w.Resources
	start     time.Time // planned start of the gang
	expiresAt time.Time
}

// book books the resources of a plan for a gang and replaces its earlier booking.
// Without bookings, gangs starve: smaller tasks take the planned resources before the
// gang has its tickets, so that it never has all resources at the same time.
func (c *Coordinator) book(s *step, plan []gangShare, start, expiresAt time.Time) {
	c.cancelBooking(s)
	s.bookedAt = c.now
	need := s.Demand()
	for _, sh := range plan {
		b := booking{step: s, start: start, expiresAt: expiresAt}
		for range sh.tasks {
			b.resources = b.resources.Add(need)
		}
		sh.target.bookings = append(sh.target.bookings, b)
		s.bookedTargets = append(s.bookedTargets, sh.target)
		c.bookedCPU += b.resources.CPU
	}
}

// cancelBooking cancels the booking of a gang, if it has one.
func (c *Coordinator) cancelBooking(s *step) {
	if len(s.bookedTargets) == 0 {
		return
	}
	for _, t := range s.bookedTargets {
		t.bookings = slices.DeleteFunc(t.bookings, func(b booking) bool {
			if b.step == s {
				c.bookedCPU -= b.resources.CPU
			}
			return b.step == s
		})
	}
	s.bookedTargets = nil
	c.generation++
}

// expireBookings cancels the bookings of gangs that have not started in time.
func (c *Coordinator) expireBookings() {
	for _, t := range c.sortedTargets {
		for i := 0; i < len(t.bookings); {
			b := t.bookings[i]
			if !c.now.After(b.expiresAt) {
				i++
				continue
			}
			c.Meter.Count("booking", "expired")
			b.step.expiredBookings++
			c.Log.Info("booking expired", "step", b.step.name, "targets", len(b.step.bookedTargets), "tasks", b.step.Count,
				"planned", c.now.Sub(b.start), "asking", b.step.unansweredCalls)
			c.cancelBooking(b.step)
			i = 0
		}
	}
}

// bookedByOthers returns the resources of a target that are booked for other gangs
// and that the step may not backfill.
func (c *Coordinator) bookedByOthers(s *step, t *target) w.Resources {
	var r w.Resources
	for i := range t.bookings {
		b := &t.bookings[i]
		if b.step != s && !c.endsBefore(s, t, b.start) {
			r = r.Add(b.resources)
		}
	}
	return r
}

// endsBefore reports whether a task of a step that starts now on a target is expected to
// end before the given time, even if it runs longer by backfillMargin.
func (c *Coordinator) endsBefore(s *step, t *target, at time.Time) bool {
	if s.Gang || s.Lasting || s.Estimate <= 0 {
		return false
	}
	if c.now.Sub(s.runTimeEstimatedAt) >= gangPlanPeriod {
		s.runTimeEstimatedAt = c.now
		s.expectedRunTime = time.Duration(backfillMargin * c.runTimeRatio(s.job.Queue) * float64(s.Estimate))
	}
	return c.now.Add(time.Duration(float64(s.expectedRunTime) * c.slowdown(s, t))).Before(at)
}

// availableResources returns the resources of a target that a step can use now.
// Bookings of other gangs take up the resources of runs that are being stopped first,
// and free resources only beyond them.
func (c *Coordinator) availableResources(s *step, t *target) w.Resources {
	free := t.free()
	if len(t.bookings) == 0 {
		return free
	}
	rest := free.Add(t.stoppingResources).Sub(c.bookedByOthers(s, t))
	return w.Resources{CPU: min(free.CPU, rest.CPU), Mem: min(free.Mem, rest.Mem), GPU: min(free.GPU, rest.GPU)}
}

// resourcesAfterPreemption returns the resources of a target that a step could use if
// all runs that it may preempt were stopped.
func (c *Coordinator) resourcesAfterPreemption(s *step, t *target) w.Resources {
	available := t.free().Add(t.stoppingResources).Add(c.preemptibleResources(s, t))
	if len(t.bookings) > 0 {
		available = available.Sub(c.bookedByOthers(s, t))
	}
	return available
}

// expectedResourcesAt returns the resources of a target that a step is expected to be
// able to use at a time, including those of runs that end before it.
func (c *Coordinator) expectedResourcesAt(s *step, t *target, at time.Time) w.Resources {
	available := c.resourcesAfterPreemption(s, t)
	for _, sl := range t.slots {
		if sl.step != nil && !sl.stopping && !c.canPreemptRun(s, sl) && c.expectedEnd(sl).Before(at) {
			available = available.Add(sl.resources)
		}
	}
	return available
}

// expectedEnd estimates when a run ends. All members of a gang end with the slowest
// one.
func (c *Coordinator) expectedEnd(sl *slot) time.Time {
	s := sl.step
	if !s.Gang {
		return c.expectedTaskEnd(s, sl.index)
	}
	if c.now.Sub(s.endEstimatedAt) >= gangPlanPeriod {
		s.endEstimatedAt, s.expectedEnd = c.now, time.Time{}
		for i := range s.tasks {
			s.expectedEnd = later(s.expectedEnd, c.expectedTaskEnd(s, i))
		}
	}
	return s.expectedEnd
}

// expectedTaskEnd estimates the end of a task from its progress or, if there is too
// little progress, from the estimated run time of its step.
func (c *Coordinator) expectedTaskEnd(s *step, i int) time.Time {
	tk := &s.tasks[i]
	switch {
	case s.Lasting:
	case tk.phase == running && tk.percent >= minProgressPercent && tk.progressedAt.After(tk.phaseSince):
		return tk.phaseSince.Add(tk.progressedAt.Sub(tk.phaseSince) * 100 / time.Duration(tk.percent))
	case s.Estimate > 0:
		return later(tk.phaseSince.Add(time.Duration(c.runTimeRatio(s.job.Queue)*float64(s.Estimate)*c.slowdown(s, tk.target))), c.now)
	}
	return c.now.Add(2 * maxBookingLead) // unknown, so later than any planned start
}

// planEarliestStart returns the plan with the earliest start at which permitted
// targets are expected to have the resources for a gang, and that start. It considers
// starts between lead and lead + maxBookingLead from now, and returns a nil plan if
// there is none.
func (c *Coordinator) planEarliestStart(s *step, targets []*target, permitted func(*target) bool, lead time.Duration) ([]gangShare, time.Time) {
	planAt := func(at time.Time) []gangShare {
		return c.planGang(s, targets, permitted, func(t *target) w.Resources { return c.expectedResourcesAt(s, t, at) })
	}
	last := c.now.Add(lead + maxBookingLead)
	latest := planAt(last)
	if latest == nil {
		return nil, last
	}
	for at := c.now.Add(lead); at.Before(last); at = at.Add(startCandidateInterval) {
		if p := planAt(at); p != nil {
			return p, at
		}
	}
	return latest, last
}

// canBook reports whether a gang may book resources. A gang with a booking may
// replace it, and the only booking of the cell may exceed maxBookedShare.
func (c *Coordinator) canBook(s *step) bool {
	need := int64(s.Count) * s.Demand().CPU
	return len(s.bookedTargets) > 0 || c.bookedCPU == 0 || float64(c.bookedCPU+need) <= maxBookedShare*float64(c.usableCPU)
}

// ticketLeadTime returns the time needed to obtain all tickets of a plan by parallel
// calls of targetsPerCall targets each.
func ticketLeadTime(timing *w.AdviceTiming) time.Duration {
	return timing.BaseLatency + time.Duration(targetsPerCall(timing))*timing.LatencyPerTarget + ticketMargin
}

// enqueueParallelAdviceCalls spreads the targets of a wide step over parallel calls
// by several instances, so that all tickets are valid at the same time. With
// sequential calls, the first tickets expired before the third call was answered.
func (c *Coordinator) enqueueParallelAdviceCalls(s *step, timing *w.AdviceTiming, targets []*target) {
	capacity := c.callCapacity(classOf(timing.BaseLatency))
	if len(targets) == 0 || capacity <= 0 {
		return
	}
	targets = targets[:min(len(targets), capacity*maxTargetsPerCall)]
	calls := min(capacity, (len(targets)+targetsPerCall(timing)-1)/max(1, targetsPerCall(timing)))
	perCall := (len(targets) + calls - 1) / max(1, calls)
	for part := range slices.Chunk(targets, min(maxTargetsPerCall, max(1, perCall))) {
		c.enqueueAdviceCall(s, timing, part)
	}
	s.namedTargets = targets
}
