package coordinator

import (
	"cmp"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// lateFactor is the multiple of its goal up to which the end of a job is
	// still of use to its caller.
	lateFactor = 3
	// goalNames is the number of targets that the goal of a job allows one call
	// for advice to name, for each step of its longest chain.
	goalNames = 30
	// ratioWeight is the weight of one run in the learned ratio of run times to
	// their declarations.
	ratioWeight = 0.05
	// minRatio and maxRatio bound what one run can teach.
	minRatio, maxRatio = 0.1, 10
	// orderPeriod is the time between two looks at which jobs have become late.
	orderPeriod = 100 * time.Millisecond
)

// lateness tells what the end of a job is still worth to its caller.
type lateness uint8

const (
	inTime  lateness = iota // it can still meet its goal
	late                    // it can end within lateFactor times its goal
	tooLate                 // it can't
)

// chains notes for each step how long it and what follows it are declared to
// take, and how many steps that are.
func (o *occurrence) chains() {
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		for _, next := range o.steps[i+1:] {
			if slices.Contains(next.After, i) {
				s.remainingEstimate, s.chainLength = max(s.remainingEstimate, next.remainingEstimate), max(s.chainLength, next.chainLength)
			}
		}
		s.remainingEstimate += s.Estimate
		s.chainLength++
		o.chainEstimate, o.chainLength = max(o.chainEstimate, s.remainingEstimate), max(o.chainLength, s.chainLength)
	}
}

// lateness reports what the end of a step's occurrence is still worth, if the step
// starts now.
func (c *Coordinator) lateness(s *step) lateness {
	q := c.queue(s.job)
	if q == nil || q.Stretch <= 0 || s.Lasting {
		return inTime
	}
	ratio := c.runRatio(q.Name)
	goal := q.LatencyGoal + time.Duration(q.Stretch*ratio*float64(s.occurrence.chainEstimate))
	if a := q.Advice; a != nil {
		goal += time.Duration(s.occurrence.chainLength) * (a.BaseLatency + goalNames*a.LatencyPerTarget)
	}
	end := c.now.Sub(s.occurrence.arrived()) + time.Duration(ratio*float64(s.remainingEstimate))
	switch {
	case end <= goal:
		return inTime
	case end <= lateFactor*goal:
		return late
	}
	return tooLate
}

// arrived is the time from which an occurrence is judged.
func (o *occurrence) arrived() time.Time {
	if !o.due.IsZero() {
		return o.due
	}
	return o.job.arrivedAt
}

// runRatio returns the ratio of run times to their declarations.
func (c *Coordinator) runRatio(queue string) float64 {
	if r, ok := c.runTimeRatios[queue]; ok {
		return r
	}
	return 1
}

// learnRun takes note of how long a whole run took.
func (c *Coordinator) learnRun(s *step, ran time.Duration) {
	if s.Estimate <= 0 || s.Lasting || ran <= 0 {
		return
	}
	sample := min(maxRatio, max(minRatio, float64(ran)/float64(s.Estimate)))
	old := c.runRatio(s.job.Queue)
	c.runTimeRatios[s.job.Queue] = old + ratioWeight*(sample-old)
}

// sortActive puts the steps that wait in order: the most urgent queues first, and
// among their jobs those that can still meet their goal before those that can't.
// It answers a crest that asks for more than all room: in order of arrival alone,
// each job would wait for the whole backlog, and all would be late.
func (c *Coordinator) sortActive() {
	if !c.now.Before(c.latenessDue) {
		c.latenessDue = c.now.Add(orderPeriod)
		for _, s := range c.activeSteps {
			if l := c.lateness(s); l != s.lateness {
				s.lateness = l
				c.unsorted = true
			}
		}
	}
	if !c.unsorted {
		return
	}
	c.unsorted = false
	slices.SortStableFunc(c.activeSteps, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(c.priority(a.job), c.priority(b.job)),
			cmp.Compare(a.lateness, b.lateness),
			a.openedAt.Compare(b.openedAt),
		)
	})
}

// arrival returns when a job arrived, on the coordinator's clock.
func (c *Coordinator) arrival(rec *w.Job, fresh bool) time.Time {
	if fresh || rec.Accepted == 0 {
		return c.now
	}
	age := time.Duration(c.now.UnixMilli()-rec.Accepted) * time.Millisecond
	return c.now.Add(-min(max(age, 0), c.Retention))
}
