package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// holdSlack is added to the stop timeout to obtain the time for which resources freed by
// preemption are held.
const holdSlack = 300 * time.Millisecond

const (
	// preemptionGrace is the time for which a run cannot be preempted, multiplied by
	// the number of earlier preemptions of its task. Without it, one task was
	// preempted six times in 3 s and made no progress.
	preemptionGrace = 500 * time.Millisecond
	// maxCountedPreemptions limits the number of preemptions that extend the grace
	// time.
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

// selectVictims returns lower-priority runs on a target whose preemption frees the
// resources for k tasks of the step, those with the least unsaved work first, and the
// total work lost. If all of them do not suffice, it returns nil and +Inf.
func (c *Coordinator) selectVictims(s *step, t *target, k int) (victims []*slot, lost float64) {
	available := t.free().Add(t.releasing).Sub(c.bookedByOthers(s, t))
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

// unsavedWork estimates the work lost by stopping a run, in core-seconds.
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

// preemptFor frees resources for the waiting tasks of a step by preempting
// lower-priority runs, and holds the targets for the step.
func (c *Coordinator) preemptFor(s *step, needsAdvice bool) {
	if c.now.Before(s.nextPreemption) || !c.canPreempt(s) {
		return
	}
	n := s.waiting
	for n > 0 {
		var best *target
		var victims []*slot
		bestLost := math.Inf(1)
		for _, t := range c.candidates(s, needsAdvice) {
			if (t.heldFor == s && c.now.Before(t.heldUntil)) || !c.eligible(s, t) ||
				(needsAdvice && !c.hasValidTicket(s, t, c.StopTimeout)) || (s.Spread > 0 && s.tasksOn(t) >= s.Spread) {
				continue
			}
			list, lost := c.selectVictims(s, t, 1)
			if lost < bestLost {
				best, victims, bestLost = t, list, lost
			}
		}
		if best == nil {
			return
		}
		c.holdTarget(s, best, c.StopTimeout+holdSlack)
		c.preemptRuns(s, best, victims)
		s.nextPreemption = c.now.Add(c.StopTimeout / 2)
		n -= max(1, s.fitCount(best, best.free().Add(best.releasing)))
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

// holdTarget reserves the free resources of a target for a step. Steps of a higher
// priority may still use them.
func (c *Coordinator) holdTarget(s *step, t *target, d time.Duration) {
	t.heldFor, t.heldUntil = s, c.now.Add(d)
	s.heldTargets = append(s.heldTargets, t)
}

// releaseReservations cancels the booking and releases the held targets of a step.
func (c *Coordinator) releaseReservations(s *step) {
	c.cancelBooking(s)
	for _, t := range s.heldTargets {
		if t.heldFor == s {
			t.heldFor = nil
			c.generation++
		}
	}
	s.heldTargets = nil
}
