package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// holdSlack is added to the time of a stop for which room is reserved.
const holdSlack = 300 * time.Millisecond

const (
	// yieldProgress is the time for which a run that replaces a preempted one may
	// not be preempted, for each earlier time. Without it one task was preempted
	// six times in 3 s and made no progress.
	yieldProgress = 500 * time.Millisecond
	// maxYields bounds how often that time adds up.
	maxYields = 4
)

// stoppable reports whether a run may be stopped for the step.
func (c *Coordinator) stoppable(s *step, sl *slot) bool {
	if sl.step == nil || sl.stopping || sl.step.Gang || sl.step.Lasting || c.priority(sl.step.job) <= c.priority(s.job) {
		return false
	}
	tk := &sl.step.tasks[sl.index]
	return tk.phase == running && c.now.Sub(tk.phaseSince) >= time.Duration(min(tk.preemptions, maxYields))*yieldProgress
}

// victims returns runs of less important work on a target that free enough room
// for k tasks of the step, cheapest first, and the work that is lost.
func (c *Coordinator) victims(s *step, t *target, k int) (ids []*slot, lost float64) {
	room := t.free().Add(t.releasing).Sub(c.bookedFor(s, t))
	if s.times(t, room) >= k {
		return nil, 0
	}
	var list []*slot
	for _, sl := range t.slots {
		if c.stoppable(s, sl) {
			list = append(list, sl)
		}
	}
	slices.SortFunc(list, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(c.unsaved(a), c.unsaved(b)), cmp.Compare(a.run, b.run))
	})
	for _, sl := range list {
		ids = append(ids, sl)
		lost += c.unsaved(sl)
		room = room.Add(sl.resources)
		if s.times(t, room) >= k {
			return ids, lost
		}
	}
	return nil, math.Inf(1)
}

// unsaved estimates the work that a stop of a run throws away, in core-seconds.
func (c *Coordinator) unsaved(sl *slot) float64 {
	age := c.now.Sub(sl.step.tasks[sl.index].phaseSince)
	if sl.step.Saves {
		age = min(age, c.RestoreTime)
	}
	return age.Seconds() * float64(sl.resources.CPU) / 1000
}

// preemptible returns the room that less important work takes on a target.
func (c *Coordinator) preemptible(s *step, t *target) w.Resources {
	var r w.Resources
	for _, sl := range t.slots {
		if c.stoppable(s, sl) {
			r = r.Add(sl.resources)
		}
	}
	return r
}

// canPreempt reports whether any target may run less urgent work.
func (c *Coordinator) canPreempt(s *step) bool { return c.priority(s.job) < c.leastUrgentPriority }

// preemptFor frees room for the waiting tasks of a step by stopping less
// important work.
func (c *Coordinator) preemptFor(s *step, advice bool) {
	if c.now.Before(s.nextPreemption) || !c.canPreempt(s) {
		return
	}
	n := s.waiting
	for n > 0 {
		var best *target
		var stops []*slot
		bestLost := math.Inf(1)
		for _, t := range c.candidates(s, advice) {
			if (t.heldFor == s && c.now.Before(t.heldUntil)) || !c.allowed(s, t) ||
				(advice && !c.holds(s, t, c.StopTimeout)) || (s.Spread > 0 && s.count(t) >= s.Spread) {
				continue
			}
			ids, lost := c.victims(s, t, 1)
			if lost < bestLost {
				best, stops, bestLost = t, ids, lost
			}
		}
		if best == nil {
			return
		}
		c.hold(s, best, c.StopTimeout+holdSlack)
		c.preemptSlots(s, best, stops)
		s.nextPreemption = c.now.Add(c.StopTimeout / 2)
		n -= max(1, s.times(best, best.free().Add(best.releasing)))
	}
}

func (c *Coordinator) preemptSlots(s *step, t *target, stops []*slot) {
	for _, sl := range stops {
		sl.step.job.stats.preemptions++
		sl.step.tasks[sl.index].preemptions++
		c.Meter.Count("stop", "preempted")
		c.Log.Info("run preempted", "task", sl.step.id(sl.index), "target", t.ID, "for", s.name, "unsaved", c.unsaved(sl))
		c.stopTask(sl.step, sl.index)
	}
}

// hold reserves the room of a target for a step.
func (c *Coordinator) hold(s *step, t *target, d time.Duration) {
	t.heldFor, t.heldUntil = s, c.now.Add(d)
	s.heldTargets = append(s.heldTargets, t)
}

// release gives up the reservations of a step.
func (c *Coordinator) release(s *step) {
	c.unbook(s)
	for _, t := range s.heldTargets {
		if t.heldFor == s {
			t.heldFor = nil
			c.generation++
		}
	}
	s.heldTargets = nil
}
