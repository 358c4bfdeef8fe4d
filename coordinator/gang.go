package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// gangTargetMargin is the ratio of the tasks that fit on the targets named in advice
// calls for a gang to the number expected to suffice. It exceeds adviceTargetMargin,
// since a gang cannot start if resources for a single task are missing.
const gangTargetMargin = 2.5

// gangShare is the part of a gang that is planned for one target.
type gangShare struct {
	target   *target
	tasks    int
	lostWork float64 // work lost by the necessary preemptions, in core-seconds per task
	avoided  int     // 1 if a task avoids the target, else 0
}

// avoidedTargets returns the targets on which the last run of a task of the step was lost or
// not started, with 1 each.
func (s *step) avoidedTargets() map[*target]int {
	var avoided map[*target]int
	for i := range s.tasks {
		if t := s.tasks[i].avoid; t != nil {
			if avoided == nil {
				avoided = make(map[*target]int)
			}
			avoided[t] = 1
		}
	}
	return avoided
}

// planGang distributes a gang over the permitted targets, of which it may use the
// given resources, or returns nil if the gang does not fit. It prefers targets that no task
// avoids, then those with few consecutive failures, then those where the necessary
// preemptions lose the least work.
func (c *Coordinator) planGang(s *step, targets []*target, permitted func(*target) bool, resources func(*target) w.Resources) []gangShare {
	var list []gangShare
	sum := 0
	for _, t := range targets {
		if !permitted(t) || !c.eligible(s, t) {
			continue
		}
		if n := s.fitCount(t, resources(t)); n > 0 {
			list = append(list, gangShare{target: t, tasks: n})
			sum += n
		}
	}
	if sum < s.Count {
		return nil
	}
	list = c.gangTargets(s, list)
	avoided := s.avoidedTargets()
	for i := range list {
		if sh := &list[i]; s.fitCount(sh.target, c.availableResources(s, sh.target)) < sh.tasks {
			_, lost := c.selectVictims(s, sh.target, sh.tasks)
			sh.lostWork = lost / float64(sh.tasks)
		}
		list[i].avoided = avoided[list[i].target]
	}
	slices.SortStableFunc(list, func(a, b gangShare) int {
		return cmp.Or(cmp.Compare(a.avoided, b.avoided), cmp.Compare(a.target.health.consecutiveFailures, b.target.health.consecutiveFailures), cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(b.tasks, a.tasks))
	})
	left := s.Count
	for i := range list {
		list[i].tasks = min(list[i].tasks, left)
		left -= list[i].tasks
		if left == 0 {
			return list[:i+1]
		}
	}
	return nil
}

// largestRack returns the shares on the rack that fits the most tasks, or nil if it
// fits fewer than n.
func largestRack(list []gangShare, n int) []gangShare {
	sums := make(map[string]int)
	best := ""
	for _, sh := range list {
		r := sh.target.rack()
		sums[r] += sh.tasks
		if sums[r] > sums[best] || best == "" {
			best = r
		}
	}
	if sums[best] < n {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(sh gangShare) bool { return sh.target.rack() != best })
}

// placeGang starts all tasks of a gang at once, or none. If resources suffice only
// after preemption, it stops the victims and books the resources. Otherwise a gang that
// needs advice books resources of permitted targets for the time at which they are
// expected to be free and all its tickets to be valid.
func (c *Coordinator) placeGang(s *step, timing *w.AdviceTiming) {
	if s.waiting < s.Count || s.hasSlots() {
		c.noteWait(s, waitsForSlot)
		return
	}
	if c.now.Sub(s.plannedAt) < c.gangRetryPeriod(s, timing) {
		return
	}
	if !c.capAllows(s) {
		c.noteWait(s, waitsForCap)
		return
	}
	var wait bool
	if s.probe, wait = c.probes(s, 0); wait {
		c.noteWait(s, s.probeWait(0))
		return
	}
	if s.probe && c.riskBudgets[c.serviceOf(s.job)] <= 0 {
		c.noteWait(s, waitsForBudget)
		return
	}
	s.plannedAt = c.now
	targets := c.candidates(s, timing != nil)
	ticketed := func(margin time.Duration) func(*target) bool {
		return func(t *target) bool { return timing == nil || c.hasValidTicket(s, t, margin) }
	}
	available := func(t *target) w.Resources { return c.availableResources(s, t) }
	startable := func(t *target) bool { return ticketed(0)(t) && (!s.probe || len(t.suspects()) == 0) }
	if p := c.planGang(s, targets, startable, available); p != nil {
		if c.delayGang(s, timing, targets, p) {
			c.noteWait(s, waitsForRack)
			return
		}
		c.startGang(s, p)
		return
	}
	if s.probe {
		c.clearTargets(s, targets, ticketed(0))
	}
	if c.now.Before(s.nextPreemption) {
		c.noteWait(s, waitsForStops)
		return
	}
	afterPreemption := func(t *target) w.Resources { return c.resourcesAfterPreemption(s, t) }
	if p := c.planGang(s, targets, ticketed(c.StopTimeout+ticketMargin), afterPreemption); p != nil {
		for _, sh := range p {
			if victims, lost := c.selectVictims(s, sh.target, sh.tasks); !math.IsInf(lost, 1) {
				c.preemptRuns(s, sh.target, victims)
			}
		}
		start := c.now.Add(c.StopTimeout)
		c.book(s, p, start, start.Add(preemptionSlack))
		s.nextPreemption = c.now.Add(c.StopTimeout + preemptionSlack/2)
		c.noteWait(s, waitsForStops)
		return
	}
	r := waitsForRoom
	if timing != nil {
		r = c.prepareGang(s, timing, afterPreemption)
	}
	c.noteWait(s, r)
}

// hasSlots reports whether any run of the step occupies a target.
func (s *step) hasSlots() bool {
	return slices.ContainsFunc(s.tasks, func(tk task) bool { return tk.slots > 0 })
}

// clearTargets keeps other starts away from targets for a gang that starts as a probe,
// until the runs that have just started there have survived.
func (c *Coordinator) clearTargets(s *step, targets []*target, permitted func(*target) bool) {
	for _, t := range s.nominatedTargets {
		if t.nominatedStep == s && c.now.Before(t.nominatedUntil) {
			return
		}
	}
	for _, sh := range c.planGang(s, targets, permitted, func(t *target) w.Resources { return c.availableResources(s, t) }) {
		c.nominateTarget(s, sh.target, clearingTime)
	}
}

// gangRetryPeriod returns the time between two attempts to place a gang. In a large
// cell, resources are freed a hundred times a second, and planning a gang examines
// hundreds of targets.
func (c *Coordinator) gangRetryPeriod(s *step, timing *w.AdviceTiming) time.Duration {
	switch {
	case timing == nil:
		return 0
	case len(s.bookedTargets) > 0:
		return min(bookedGangPlanPeriod, ticketLeadTime(timing)/8)
	}
	return min(gangPlanPeriod, ticketLeadTime(timing)/8)
}

// prepareGang books resources for a gang and requests tickets shortly before the
// planned start. If no booking is possible, it requests advice on further targets. It
// returns what the gang waits for.
func (c *Coordinator) prepareGang(s *step, timing *w.AdviceTiming, resources func(*target) w.Resources) waitReason {
	switch {
	case c.now.Before(s.ticketsDue):
		return waitsForTickets
	case len(s.bookedTargets) > 0 && c.now.Sub(s.bookedAt) < gangPlanPeriod:
		return waitsForBooking
	}
	class := classOf(timing.BaseLatency)
	lead := ticketLeadTime(timing)
	permitted := func(t *target) bool { return s.permits(t) }
	r := waitsForBooker
	if c.canBook(s) {
		r = waitsForRoom
		if p, at := c.planEarliestStart(s, s.permittedTargets, permitted, lead); p != nil {
			if len(s.bookedTargets) == 0 {
				c.Meter.Count("booking", "made")
			}
			c.book(s, p, at, at.Add(bookingSlack))
			switch {
			case at.Sub(c.now) > lead:
				return waitsForBooking
			case c.callCapacity(class) <= 0:
				return waitsForCall
			}
			s.ticketsDue = c.now.Add(lead)
			c.enqueueParallelAdviceCalls(s, timing, c.addSpareTargets(s, timing, p, resources))
			return waitsForTickets
		}
	}
	switch {
	case s.unansweredCalls > 0:
		return waitsForAdvice
	case !c.hasUnadvisedTarget(s):
		return r
	case c.callCapacity(class) <= 0:
		return waitsForCall
	case len(s.advice) > 0 && c.now.Sub(s.askedAt) < maxCallDeferral && !c.hasSpareCallCapacity(class):
		return waitsForSpareCall
	}
	// Targets are chosen only when a call can be dispatched immediately, since their free
	// resources change faster than calls are answered.
	c.enqueueParallelAdviceCalls(s, timing, c.gangAdviceTargets(s, timing, resources))
	return waitsForAdvice
}

// addSpareTargets returns the targets of a plan and some spare ones, in case other
// tasks take resources of the plan before the tickets arrive.
func (c *Coordinator) addSpareTargets(s *step, timing *w.AdviceTiming, plan []gangShare, resources func(*target) w.Resources) []*target {
	var ts []*target
	planned := make(map[*target]bool)
	for _, sh := range plan {
		ts = append(ts, sh.target)
		planned[sh.target] = true
	}
	for _, t := range s.permittedTargets {
		if len(ts) >= max(len(plan)+len(plan)/4+1, targetsPerCall(timing)) {
			break
		}
		if !planned[t] && s.permits(t) && c.eligible(s, t) && s.fitCount(t, resources(t)) > 0 {
			ts = append(ts, t)
		}
	}
	return ts
}

// gangAdviceTargets returns the targets to name in advice calls for a gang: as many as
// are expected to be needed, those that fit the most tasks first.
func (c *Coordinator) gangAdviceTargets(s *step, timing *w.AdviceTiming, resources func(*target) w.Resources) []*target {
	var list []gangShare
	for _, t := range c.unadvisedTargets(s) {
		list = append(list, gangShare{target: t, tasks: s.fitCount(t, resources(t))})
	}
	slices.SortStableFunc(list, func(a, b gangShare) int {
		return cmp.Or(cmp.Compare(a.target.speedRank(), b.target.speedRank()), cmp.Compare(b.tasks, a.tasks))
	})
	want := float64(s.Count) * gangTargetMargin / c.permittedShare(s.job.Queue)
	for _, t := range s.permittedTargets {
		if c.eligible(s, t) {
			want -= gangTargetMargin * float64(s.fitCount(t, resources(t)))
		}
	}
	var chosen []*target
	for _, sh := range list {
		if want <= 0 && len(chosen) >= targetsPerCall(timing) {
			break
		}
		want -= float64(sh.tasks)
		chosen = append(chosen, sh.target)
	}
	return chosen
}

// startGang starts all tasks of a gang under one run ID.
func (c *Coordinator) startGang(s *step, plan []gangShare) {
	c.cancelBookingAndNominations(s)
	s.spreadOut = s.OneRack && !oneRack(plan)
	c.endWait(s, 0, !s.spreadOut)
	run := c.nextRun(s, 0)
	// All members start from the same checkpoint, the latest one.
	checkpoint := ""
	for i := range s.tasks {
		if s.tasks[i].checkpoint > checkpoint {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	if s.probe {
		c.riskBudgets[c.serviceOf(s.job)] -= len(plan)
	}
	i := 0
	for _, sh := range plan {
		for range sh.tasks {
			c.setCheckpoint(&s.tasks[i], checkpoint)
			c.startRun(s, i, sh.target, run, s.probe)
			i++
		}
	}
}
