package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// preemptionSlack is the time after the stop timeout at which the nomination of a target,
// or the booking of a gang, that was made for a preemption expires.
const preemptionSlack = 300 * time.Millisecond

const (
	// preemptionGrace is the time after its start for which a run cannot be preempted,
	// for each earlier preemption of its task. Without it, one task was preempted six
	// times in 3 s and made no progress.
	preemptionGrace = 500 * time.Millisecond
	// maxCountedPreemptions limits the number of preemptions that extend this time.
	maxCountedPreemptions = 4
)

// canPreemptRun reports whether a run may be preempted for the step.
func (c *Coordinator) canPreemptRun(s *step, sl *slot) bool {
	if sl.step == nil || sl.stopping || sl.step.Gang || sl.step.Lasting || c.priority(sl.step.job) <= c.priority(s.job) {
		return false
	}
	tk := &sl.step.tasks[sl.index]
	return tk.phase == running && c.now.Sub(tk.phaseSince) >= time.Duration(min(tk.preemptions, maxCountedPreemptions))*preemptionGrace
}

// selectVictims returns runs on a target whose preemption frees the resources for k
// tasks of the step, and the work that is lost with them. It selects the runs with the
// least unsaved work first. If preempting all runs does not suffice, it returns nil and
// +Inf.
func (c *Coordinator) selectVictims(s *step, t *target, k int) (victims []*slot, lost float64) {
	available := t.free().Add(t.stoppingResources).Sub(c.bookedByOthers(s, t))
	if s.fitCount(t, available) >= k {
		return nil, 0
	}
	var list []*slot
	for _, sl := range t.slots {
		if c.canPreemptRun(s, sl) {
			list = append(list, sl)
		}
	}
	slices.SortFunc(list, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(c.unsavedWork(a), c.unsavedWork(b)), cmp.Compare(a.run, b.run))
	})
	for _, sl := range list {
		victims = append(victims, sl)
		lost += c.unsavedWork(sl)
		available = available.Add(sl.resources)
		if s.fitCount(t, available) >= k {
			return victims, lost
		}
	}
	return nil, math.Inf(1)
}

// unsavedWork estimates the work that is lost if a run is stopped, in core-seconds.
func (c *Coordinator) unsavedWork(sl *slot) float64 {
	age := c.now.Sub(sl.step.tasks[sl.index].phaseSince)
	if sl.step.Saves {
		age = min(age, c.RestoreTime)
	}
	return age.Seconds() * float64(sl.resources.CPU) / 1000
}

// preemptibleResources returns the resources of the runs on a target that may be
// preempted for the step.
func (c *Coordinator) preemptibleResources(s *step, t *target) w.Resources {
	var r w.Resources
	for _, sl := range t.slots {
		if c.canPreemptRun(s, sl) {
			r = r.Add(sl.resources)
		}
	}
	return r
}

// canPreempt reports whether any usable target may run lower-priority tasks.
func (c *Coordinator) canPreempt(s *step) bool { return c.priority(s.job) < c.leastUrgentPriority }

// preemptFor frees resources for n waiting tasks of a step by preempting lower-priority
// runs, and nominates their targets for the step.
func (c *Coordinator) preemptFor(s *step, needsAdvice bool, n int) {
	if c.now.Before(s.nextPreemption) || !c.canPreempt(s) {
		return
	}
	for n > 0 {
		var best *target
		var victims []*slot
		bestLost := math.Inf(1)
		for _, t := range c.candidates(s, needsAdvice) {
			if (t.nominatedStep == s && c.now.Before(t.nominatedUntil)) || !c.eligible(s, t) ||
				(needsAdvice && !c.hasValidTicket(s, t, c.StopTimeout)) || (s.Spread > 0 && s.tasksOn(t) >= s.Spread) {
				continue
			}
			list, lost := c.selectVictims(s, t, 1)
			lost += c.slowdownWork(s, t)
			if lost < bestLost {
				best, victims, bestLost = t, list, lost
			}
		}
		if best == nil {
			return
		}
		c.nominateTarget(s, best, c.StopTimeout+preemptionSlack)
		c.preemptRuns(s, best, victims)
		s.nextPreemption = c.now.Add(c.StopTimeout / 2)
		n -= max(1, s.fitCount(best, best.free().Add(best.stoppingResources)))
	}
}

// preemptRuns orders the stop of runs on a target for a step.
func (c *Coordinator) preemptRuns(s *step, t *target, victims []*slot) {
	for _, sl := range victims {
		sl.step.job.stats.preemptions++
		sl.step.tasks[sl.index].preemptions++
		c.Meter.Count("stop", "preempted")
		c.Log.Info("run preempted", "task", sl.step.id(sl.index), "target", t.ID, "for", s.name, "unsaved", c.unsavedWork(sl))
		c.stopTask(sl.step, sl.index)
	}
}

// nominateTarget nominates a target, on which runs are preempted for a step, for that
// step: until the nomination expires, other steps start no tasks there unless they have
// a higher priority.
func (c *Coordinator) nominateTarget(s *step, t *target, d time.Duration) {
	t.nominatedStep, t.nominatedUntil = s, c.now.Add(d)
	s.nominatedTargets = append(s.nominatedTargets, t)
}

// cancelBookingAndNominations cancels the booking of a step and the nominations of
// targets for it.
func (c *Coordinator) cancelBookingAndNominations(s *step) {
	c.cancelBooking(s)
	for _, t := range s.nominatedTargets {
		if t.nominatedStep == s {
			t.nominatedStep = nil
			c.generation++
		}
	}
	s.nominatedTargets = nil
}
