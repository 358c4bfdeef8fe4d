package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

// Job is one request of a workload together with its result.
type Job struct {
	// Arrival is the arrival time relative to the start of the run.
	Arrival time.Duration
	Request descriptor.Request
	// Deadline is relative to the arrival; 0 means none.
	Deadline time.Duration
	// RunTime is the actual run time of each task.
	RunTime time.Duration

	// Refusal is set if the request was refused at admission.
	Refusal *descriptor.Refusal
	// Expired is set if the request was admitted but removed without being
	// completed: its deadline passed in the queue, or it could not be requeued.
	Expired bool
	// Started is the time of the first start and Ended that of the completion,
	// relative to the start of the run; -1 if there was none.
	Started, Ended time.Duration
	// Checkpoints counts the attempts that ended with a checkpoint.
	Checkpoints int

	remaining time.Duration
	attempts  []interval
}

type interval struct{ start, end time.Duration }

// Wait returns the time from arrival to the first start.
func (j *Job) Wait() time.Duration { return j.Started - j.Arrival }

// Late reports whether an admitted request missed its deadline.
func (j *Job) Late() bool {
	if j.Refusal != nil || j.Deadline == 0 {
		return false
	}
	return j.Expired || j.Ended < 0 || j.Ended-j.Arrival > j.Deadline
}

// InTime reports whether the request was completed before its deadline.
func (j *Job) InTime() bool {
	return j.Ended >= 0 && (j.Deadline == 0 || j.Ended-j.Arrival <= j.Deadline)
}

// Cell simulates a cell: it submits a workload to a scheduler and runs each placed
// task on its target for exactly the run time of the job.
type Cell struct {
	*Driver
	Scheduler *scheduler.Scheduler
	// OnPlace is called for each placement, after its capacity has been allocated.
	OnPlace func(*Job, scheduler.Placement)
	// AttemptOutcome returns how long an attempt runs and whether it succeeds; if
	// it is nil, every attempt runs for the remaining run time of the job and
	// succeeds. A failed attempt is retried on other targets if the scheduler
	// allows it.
	AttemptOutcome func(*Job, scheduler.Placement) (run time.Duration, succeeds bool)
	// OnAdmit is called for each admitted request, OnEnd when it has been
	// completed or has expired.
	OnAdmit, OnEnd func(*Job)

	jobs             map[descriptor.Key]*Job
	running          map[descriptor.Key]int // number of tasks of the current attempt
	placementPending bool
}

// tickInterval is the period at which the scheduler is polled for expired
// requests, for directives, and for work that becomes placeable without an event.
const tickInterval = 20 * time.Millisecond

// checkpointDuration is how long a target takes to checkpoint a task.
const checkpointDuration = 50 * time.Millisecond

// EightSlots is the capacity of a target with 8 slots; each slot has room for a
// task of the size OneSlot.
var EightSlots = descriptor.Resources{CPU: 32000, Memory: 128 << 10, Slots: 8}

// NewCell returns a cell with n targets of the given capacity, 8 to a rack. It
// replaces the clock and the random source of cfg and uses a packer if cfg has no
// placer.
func NewCell(cfg scheduler.Config, rules *descriptor.Rules, n int, capacity descriptor.Resources, rng *rand.Rand) *Cell {
	c := &Cell{Driver: NewDriver(), jobs: map[descriptor.Key]*Job{}, running: map[descriptor.Key]int{}}
	cfg.Clock, cfg.Rand = c.Clock, rng
	if cfg.Placer == nil {
		cfg.Placer = placer.NewPacker(placer.PackerConfig{})
	}
	c.Scheduler = scheduler.New(cfg)
	c.Scheduler.SetRules(rules)
	for i := range n {
		c.Scheduler.AddTarget(descriptor.Target{
			ID:       descriptor.TargetID(fmt.Sprintf("t%05d", i)),
			Rack:     descriptor.RackID(fmt.Sprintf("r%04d", i/8)),
			Capacity: capacity,
		})
	}
	c.Every(tickInterval, func() bool {
		c.tick()
		return true
	})
	return c
}

// Add schedules the arrival of the jobs. The run modifies the jobs, so each cell
// needs its own copy.
func (c *Cell) Add(jobs []*Job) {
	for _, j := range jobs {
		j.Started, j.Ended, j.remaining = -1, -1, j.RunTime
		c.At(j.Arrival, func() { c.arrive(j) })
	}
}

func (c *Cell) arrive(j *Job) {
	now := c.Clock.Now()
	j.Request.Arrived = now
	if j.Deadline > 0 {
		j.Request.Deadline = now.Add(j.Deadline)
	}
	c.jobs[j.Request.Key] = j
	if j.Refusal = c.Scheduler.Submit(&j.Request); j.Refusal != nil {
		delete(c.jobs, j.Request.Key)
		return
	}
	if c.OnAdmit != nil {
		c.OnAdmit(j)
	}
	c.schedulePlacement()
}

// schedulePlacement places work after all other events of the current time.
func (c *Cell) schedulePlacement() {
	if !c.placementPending {
		c.placementPending = true
		c.After(0, func() {
			c.placementPending = false
			c.place()
		})
	}
}

func (c *Cell) tick() {
	for _, e := range c.Scheduler.Expire() {
		c.expire(c.jobs[e.Key])
	}
	c.place()
	for _, d := range c.Scheduler.Directives() {
		c.applyDirective(d)
	}
}

func (c *Cell) expire(j *Job) {
	j.Expired = true
	delete(c.jobs, j.Request.Key)
	if c.OnEnd != nil {
		c.OnEnd(j)
	}
}

func (c *Cell) place() {
	const batch = 64
	for {
		placements := c.Scheduler.Next(batch)
		for _, p := range placements {
			c.start(p)
		}
		if len(placements) < batch {
			return
		}
	}
}

func (c *Cell) start(p scheduler.Placement) {
	j := c.jobs[p.Request.Key]
	now := c.Elapsed()
	if j.Started < 0 {
		j.Started = now
	}
	if c.OnPlace != nil {
		c.OnPlace(j, p)
	}
	c.running[p.Request.Key] = len(p.Tasks)
	j.attempts = append(j.attempts, interval{start: now, end: -1})
	attempt := len(j.attempts)
	run, succeeds := j.remaining, true
	if c.AttemptOutcome != nil {
		run, succeeds = c.AttemptOutcome(j, p)
	}
	c.After(run, func() {
		switch {
		case len(j.attempts) != attempt || j.attempts[attempt-1].end >= 0:
		case succeeds:
			j.remaining = 0
			c.endAttempt(j, p, true)
		default:
			c.endAttempt(j, p, false)
			c.retry(j, p)
		}
	})
}

// retry requeues a failed job and excludes the targets of the failed attempt.
func (c *Cell) retry(j *Job, p scheduler.Placement) {
	var avoid []descriptor.TargetID
	for _, a := range p.Tasks {
		avoid = append(avoid, a.Target)
	}
	if refusal := c.Scheduler.Requeue(p.Request.Key, avoid); refusal != nil {
		c.Scheduler.Done(p.Request.Key)
		c.expire(j)
	}
}

// endAttempt reports the end of all tasks of a placement to the scheduler.
func (c *Cell) endAttempt(j *Job, p scheduler.Placement, succeeded bool) {
	run := &j.attempts[len(j.attempts)-1]
	run.end = c.Elapsed()
	for _, a := range p.Tasks {
		c.Scheduler.Ended(p.Request.Key, p.Attempt, a.Index, a.Target,
			scheduler.Result{Succeeded: succeeded, Started: true, Ran: run.end - run.start})
	}
	delete(c.running, p.Request.Key)
	if succeeded {
		j.Ended = run.end
		c.Scheduler.Done(p.Request.Key)
		delete(c.jobs, p.Request.Key)
		if c.OnEnd != nil {
			c.OnEnd(j)
		}
	}
	c.schedulePlacement()
}

// applyDirective executes a checkpoint directive. Throttle directives are ignored,
// because throttling does not change the simulated run time.
func (c *Cell) applyDirective(d scheduler.Directive) {
	j := c.jobs[d.Key]
	if d.Directive != connector.CheckpointTask || j == nil || d.Index > 0 {
		return
	}
	attempt := len(j.attempts)
	c.After(checkpointDuration, func() {
		if len(j.attempts) != attempt || j.attempts[attempt-1].end >= 0 {
			return
		}
		j.Checkpoints++
		j.remaining -= c.Elapsed() - j.attempts[attempt-1].start
		p := scheduler.Placement{Request: &j.Request, Attempt: d.Attempt, Tasks: []placer.Assignment{{Index: 0, Target: d.Target}}}
		c.endAttempt(j, p, false)
		if refusal := c.Scheduler.Requeue(d.Key, nil); refusal != nil {
			c.expire(j)
		}
	})
}

// Queued returns the number of queued requests.
func (c *Cell) Queued() int { return c.Scheduler.Load().Queued }

// Clone returns copies of the jobs for use in another cell.
func Clone(jobs []*Job) []*Job {
	out := make([]*Job, len(jobs))
	for i, j := range jobs {
		k := *j
		out[i] = &k
	}
	return out
}

// WaitSeconds returns the waiting times, in seconds, of the admitted jobs for which
// keep returns true. A job that was never started counts with the time from its
// arrival to its deadline, and is left out if it has none.
func WaitSeconds(jobs []*Job, keep func(*Job) bool) []float64 {
	var out []float64
	for _, j := range jobs {
		switch {
		case j.Refusal != nil || !keep(j):
		case j.Started >= 0:
			out = append(out, j.Wait().Seconds())
		case j.Deadline > 0:
			out = append(out, j.Deadline.Seconds())
		}
	}
	return out
}

// BusySeconds returns the run time between from and to of the jobs for which keep
// returns true, in task-seconds.
func BusySeconds(jobs []*Job, from, to time.Duration, keep func(*Job) bool) float64 {
	sum := 0.0
	for _, j := range jobs {
		if !keep(j) {
			continue
		}
		for _, r := range j.attempts {
			end := r.end
			if end < 0 {
				end = to
			}
			if d := min(end, to) - max(r.start, from); d > 0 {
				sum += d.Seconds() * float64(j.Request.Tasks)
			}
		}
	}
	return sum
}
