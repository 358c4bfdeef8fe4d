package coordinator

import (
	"cmp"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// lateFactor is the multiple of its goal up to which the completion of a job is
	// still of use to its caller.
	lateFactor = 3
	// goalTargetsPerCall is the number of targets per advice call that the goal of a
	// job allows for. It allows for one call for each step of the longest chain.
	goalTargetsPerCall = 30
	// runTimeRatioWeight is the weight of one run in the moving average of the ratio
	// of actual to estimated run times.
	runTimeRatioWeight = 0.05
	// minRunTimeRatio and maxRunTimeRatio bound the ratio of a single run.
	minRunTimeRatio, maxRunTimeRatio = 0.1, 10
	// latenessCheckPeriod is the time between two updates of the lateness of the
	// steps in the backlog.
	latenessCheckPeriod = 100 * time.Millisecond
)

// lateness classifies whether the completion of a job is still of use to its caller.
type lateness uint8

const (
	inTime  lateness = iota // can still meet its goal
	late                    // can still complete within lateFactor times its goal
	tooLate                 // can do neither
)

// computeCriticalPath sets, for each step, the estimated duration and the number of
// steps of the longest chain of dependent steps that starts with it. The two are
// maximized separately, so they may belong to different chains. The maxima over all
// steps describe the critical path of the occurrence.
func (o *occurrence) computeCriticalPath() {
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

// stepLateness returns the expected lateness of a step's occurrence if the step starts
// now.
func (c *Coordinator) stepLateness(s *step) lateness {
	goal, end, ok := c.goalAndEnd(s)
	switch {
	case !ok, end <= goal:
		return inTime
	case end <= lateFactor*goal:
		return late
	}
	return tooLate
}

// goalAndEnd returns the goal of a step's occurrence and its expected duration if the step
// starts now. It returns false if the occurrence has no goal.
func (c *Coordinator) goalAndEnd(s *step) (goal, end time.Duration, ok bool) {
	q := c.queue(s.job)
	if q == nil || q.Stretch <= 0 || s.Lasting {
		return 0, 0, false
	}
	ratio := c.runTimeRatio(q.Name)
	goal = q.LatencyGoal + time.Duration(q.Stretch*ratio*float64(s.occurrence.chainEstimate))
	if a := q.Advice; a != nil {
		goal += time.Duration(s.occurrence.chainLength) * (a.BaseLatency + goalTargetsPerCall*a.LatencyPerTarget)
	}
	return goal, c.now.Sub(s.occurrence.arrivalTime()) + time.Duration(ratio*float64(s.remainingEstimate)), true
}

// arrivalTime returns the time from which the goal of an occurrence is measured.
func (o *occurrence) arrivalTime() time.Time {
	if !o.due.IsZero() {
		return o.due
	}
	return o.job.arrivedAt
}

// runTimeRatio returns the moving average of the ratio of actual to estimated run times
// of a queue, or 1 if none was recorded.
func (c *Coordinator) runTimeRatio(queue string) float64 {
	if r, ok := c.runTimeRatios[queue]; ok {
		return r
	}
	return 1
}

// recordRunTime updates the run time ratio of the step's queue with the duration of a
// run that executed its task from start to end, on a target of median speed.
func (c *Coordinator) recordRunTime(s *step, duration time.Duration) {
	if s.Estimate <= 0 || s.Lasting || duration <= 0 {
		return
	}
	sample := min(maxRunTimeRatio, max(minRunTimeRatio, float64(duration)/float64(s.Estimate)))
	old := c.runTimeRatio(s.job.Queue)
	c.runTimeRatios[s.job.Queue] = old + runTimeRatioWeight*(sample-old)
}

// sortBacklog orders the backlog by the priority of the steps' queues, then lateness,
// then the time at which the steps became ready. Under overload, first-come, first-served
// order alone would make every job wait for the whole backlog and miss its goal. If the
// configuration has tenants, their rates and shares count as well, see sortByShare.
func (c *Coordinator) sortBacklog() {
	if !c.now.Before(c.latenessDue) {
		c.latenessDue = c.now.Add(latenessCheckPeriod)
		for _, s := range c.backlog {
			if l := c.stepLateness(s); l != s.lateness {
				s.lateness = l
				c.backlogUnsorted = true
			}
		}
	}
	if !c.backlogUnsorted && !c.tenants.needsSort(c.now) {
		return
	}
	c.backlogUnsorted = false
	if c.tenants.active {
		c.sortByShare()
		return
	}
	slices.SortStableFunc(c.backlog, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(c.priority(a.job), c.priority(b.job)),
			cmp.Compare(a.lateness, b.lateness),
			a.readyAt.Compare(b.readyAt),
		)
	})
}

// jobArrivalTime returns the time at which the cell accepted a job, on the coordinator's
// clock. It is not in the future and at most the retention period ago.
func (c *Coordinator) jobArrivalTime(rec *w.Job, fresh bool) time.Time {
	if fresh || rec.Accepted == 0 {
		return c.now
	}
	age := time.Duration(c.now.UnixMilli()-rec.Accepted) * time.Millisecond
	return c.now.Add(-min(max(age, 0), c.Retention))
}
