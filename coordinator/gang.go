package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// gangTargetMargin is the ratio of places asked about for a gang to those expected to
// be needed. A single missing place prevents a gang from starting.
const gangTargetMargin = 2.5

// share is the part of a gang placed on one target.
type gangShare struct {
	target   *target
	tasks    int
	lostWork float64 // work discarded by the necessary preemptions, in core-seconds per task
}

// planGang distributes a gang over targets with the given resources, or returns nil if
// it does not fit. It prefers targets without recent failures, then those where the
// necessary preemptions discard the least work.
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
	if s.OneRack {
		if one := largestRack(list, s.Count); one != nil {
			list = one
		}
	}
	for i := range list {
		if sh := &list[i]; s.fitCount(sh.target, c.availableResources(s, sh.target)) < sh.tasks {
			_, lost := c.selectVictims(s, sh.target, sh.tasks)
			sh.lostWork = lost / float64(sh.tasks)
		}
	}
	slices.SortStableFunc(list, func(a, b gangShare) int {
		return cmp.Or(cmp.Compare(a.target.health.consecutiveFailures, b.target.health.consecutiveFailures), cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(b.tasks, a.tasks))
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

// largestRack returns the targets of the rack with the most places, or nil if it has
// fewer than n.
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

// placeGang starts all tasks of a step at once, or none. If resources suffice only
// after preemption, it stops the victims and books their resources. Otherwise a gang
// that needs advice books resources of permitted targets for the time at which they
// are expected to be free and all tickets valid.
func (c *Coordinator) placeGang(s *step, cost *w.AdviceTiming) {
	if s.waiting < s.Count || c.now.Sub(s.plannedAt) < c.gangRetryPeriod(s, cost) {
		return
	}
	s.plannedAt = c.now
	targets := c.candidates(s, cost != nil)
	ticketed := func(margin time.Duration) func(*target) bool {
		return func(t *target) bool { return cost == nil || c.hasValidTicket(s, t, margin) }
	}
	if p := c.planGang(s, targets, ticketed(0), func(t *target) w.Resources { return c.availableResources(s, t) }); p != nil {
		c.startGang(s, p)
		return
	}
	if c.now.Before(s.nextPreemption) {
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
		c.book(s, p, start, start.Add(holdSlack))
		s.nextPreemption = c.now.Add(c.StopTimeout + holdSlack/2)
		return
	}
	if cost != nil {
		c.prepareGang(s, cost, afterPreemption)
	}
}

// gangRetryPeriod returns the time between two attempts to place a gang. In a large
// cell, resources are freed a hundred times a second, and planning a gang examines
// hundreds of targets.
func (c *Coordinator) gangRetryPeriod(s *step, cost *w.AdviceTiming) time.Duration {
	switch {
	case cost == nil:
		return 0
	case len(s.bookedTargets) > 0:
		return min(bookedGangPlanPeriod, ticketLeadTime(cost)/8)
	}
	return min(gangPlanPeriod, ticketLeadTime(cost)/8)
}

// prepareGang books resources for a gang and requests missing tickets, or advice on
// further targets.
func (c *Coordinator) prepareGang(s *step, cost *w.AdviceTiming, resources func(*target) w.Resources) {
	if c.now.Before(s.ticketsDue) || (len(s.bookedTargets) > 0 && c.now.Sub(s.bookedAt) < gangPlanPeriod) {
		// Tickets have been requested, or the last plan is recent.
		return
	}
	class := classOf(cost.BaseLatency)
	lead := ticketLeadTime(cost)
	permitted := func(t *target) bool { return s.permits(t) }
	if c.canBook(s) {
		if p, at := c.planEarliestStart(s, s.permitted, permitted, lead); p != nil {
			if len(s.bookedTargets) == 0 {
				c.Meter.Count("booking", "made")
			}
			c.book(s, p, at, at.Add(bookingSlack))
			if at.Sub(c.now) <= lead && c.callCapacity(class) > 0 {
				s.ticketsDue = c.now.Add(lead)
				c.enqueueParallelAdviceCalls(s, cost, c.addSpareTargets(s, cost, p, resources))
			}
			return
		}
	}
	if s.openCalls > 0 || c.callCapacity(class) <= 0 {
		return
	}
	if len(s.advice) == 0 || c.hasSpareCallCapacity(class) {
		// Targets are chosen only when a call can be dispatched immediately, since
		// their free resources change faster than calls are answered.
		c.enqueueParallelAdviceCalls(s, cost, c.gangAdviceTargets(s, cost, resources))
	}
}

// addSpareTargets returns the targets of a plan and some spare ones, in case other
// work takes places of the plan before the tickets arrive.
func (c *Coordinator) addSpareTargets(s *step, cost *w.AdviceTiming, plan []gangShare, resources func(*target) w.Resources) []*target {
	var ts []*target
	planned := make(map[*target]bool)
	for _, sh := range plan {
		ts = append(ts, sh.target)
		planned[sh.target] = true
	}
	for _, t := range s.permitted {
		if len(ts) >= max(len(plan)+len(plan)/4+1, targetsPerCall(cost)) {
			break
		}
		if !planned[t] && s.permits(t) && c.eligible(s, t) && s.fitCount(t, resources(t)) > 0 {
			ts = append(ts, t)
		}
	}
	return ts
}

// gangAdviceTargets returns the targets to ask about for a gang: as many as are
// expected to be needed, those with the most places first.
func (c *Coordinator) gangAdviceTargets(s *step, cost *w.AdviceTiming, resources func(*target) w.Resources) []*target {
	var list []gangShare
	for _, t := range c.unadvisedTargets(s) {
		list = append(list, gangShare{target: t, tasks: s.fitCount(t, resources(t))})
	}
	slices.SortStableFunc(list, func(a, b gangShare) int { return cmp.Compare(b.tasks, a.tasks) })
	want := float64(s.Count) * gangTargetMargin / c.permittedShare(s.job.Queue)
	for _, t := range s.permitted {
		if c.eligible(s, t) {
			want -= gangTargetMargin * float64(s.fitCount(t, resources(t)))
		}
	}
	var names []*target
	for _, f := range list {
		if want <= 0 && len(names) >= targetsPerCall(cost) {
			break
		}
		want -= float64(f.tasks)
		names = append(names, f.target)
	}
	return names
}

// startGang starts all tasks of a gang under one run id.
func (c *Coordinator) startGang(s *step, plan []gangShare) {
	c.releaseReservations(s)
	c.lastRun++
	// All members start from the same checkpoint, the latest one.
	saved := ""
	for i := range s.tasks {
		if s.tasks[i].checkpoint > saved {
			saved = s.tasks[i].checkpoint
		}
	}
	i := 0
	for _, sh := range plan {
		for range sh.tasks {
			s.tasks[i].checkpoint = saved
			c.startRun(s, i, sh.target, c.lastRun)
			i++
		}
	}
}
