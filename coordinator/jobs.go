package coordinator

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

type phase uint8

const (
	waiting phase = iota
	starting
	running
	stopping
	finished
)

type task struct {
	phase        phase
	run          w.RunID
	target       *target
	avoid        *target   // target of the last failed run
	failedRuns   []w.RunID // failed runs that count as attempts
	checkpoint   string
	fullRun      bool      // started by this coordinator without a checkpoint, so its run time can be learned
	phaseSince   time.Time // when phase last changed
	percent      int
	progressedAt time.Time // when percent last changed
	missedLists  int       // consecutive complete lists without the run
	preemptions  int       // runs that were stopped for more urgent work
}

// step is a step of one occurrence of a job.
type step struct {
	*w.Step
	job                *job
	occurrence         *occurrence
	index              int
	name               string
	tasks              []task
	done               int
	waiting            int
	open               bool // all preceding steps are done
	openedAt           time.Time
	active             bool
	triedRound         int64 // placement round of the last attempt; -1 forces another
	advice             map[w.TargetID]*targetAdvice
	permitted          []*target // targets that the queue's policy permits
	openCalls          int
	namedTargets       []*target // targets named in the last request for advice
	askedAt            time.Time
	searchedAt         time.Time     // last search for targets to request advice on
	nextPreemption     time.Time     // earliest time of the next preemption
	remainingEstimate  time.Duration // declared run time of the longest chain from this step on
	chainLength        int           // number of steps in that chain
	lateness           lateness
	heldTargets        []*target
	bookedTargets      []*target     // targets with resources booked for the gang
	bookedAt           time.Time     // when the booking was last planned
	plannedAt          time.Time     // last attempt to place the gang
	ticketsDue         time.Time     // when the tickets of the gang's plan are expected
	expectedEnd        time.Time     // estimated end of a running gang
	endEstimatedAt     time.Time     // when expectedEnd was computed
	expectedRunTime    time.Duration // estimated run time of a task, with a margin
	runTimeEstimatedAt time.Time     // when expectedRunTime was computed
}

type occurrence struct {
	job           *job
	index         int
	due           time.Time
	steps         []*step
	stepsLeft     int           // steps that are not done
	chainEstimate time.Duration // declared run time of the longest chain of steps
	chainLength   int           // number of steps in the longest chain
}

type job struct {
	w.Job
	occurrences     []*occurrence
	occurrencesLeft int // occurrences that are not done
	state           w.State
	cancelled       bool
	started         bool
	endPublished    bool // callers were told of its end
	endStored       bool // its end is in the store
	fresh           bool // no earlier coordinator can have started it
	addedLate       bool // stored earlier, but not known when the cell was loaded
	addedAt         time.Time
	arrivedAt       time.Time    // when the cell accepted the job
	gateway         w.InstanceID // instance whose callers wait for the job, if known
	stats           jobStats
	endedAt         time.Time
	queue           *w.Queue  // cached queue of the job, or nil
	queueConfig     *w.Config // configuration for which queue was looked up
}

// jobStats is the history of a job that is logged when it ends.
type jobStats struct {
	adviceCalls   int       // requests for advice
	firstAdviceAt time.Time // first answer to a request for advice
	firstOrderAt  time.Time // first start order
	firstStartAt  time.Time // first start that a target confirmed
	runs          int
	preemptions   int // runs preempted for more urgent work
	lostRuns      int // runs that ended without a known result
}

func (c *Coordinator) logEnd(j *job) {
	if j.addedAt.IsZero() {
		return
	}
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1
		}
		return t.Sub(j.addedAt).Round(time.Millisecond)
	}
	c.Meter.Count("job", j.state.String())
	c.Log.Info("job ended", "job", j.ID, "queue", j.Queue, "state", j.state, "age", c.now.UnixMilli()-j.Accepted,
		"since", c.now.Sub(j.addedAt).Round(time.Millisecond), "advised", since(j.stats.firstAdviceAt), "ordered", since(j.stats.firstOrderAt),
		"begun", since(j.stats.firstStartAt), "asks", j.stats.adviceCalls, "runs", j.stats.runs, "stops", j.stats.preemptions, "lost", j.stats.lostRuns,
		"epoch", c.Epoch)
}

func (s *step) id(i int) w.TaskID {
	return w.TaskID{Job: s.job.ID, Occurrence: s.occurrence.index, Step: s.index, Index: i}
}

func (c *Coordinator) queue(j *job) *w.Queue {
	if j.queueConfig != c.cfg {
		j.queueConfig, j.queue = c.cfg, c.cfg.Queue(j.Queue)
	}
	return j.queue
}

func (c *Coordinator) maxAttempts(j *job) int {
	if q := c.queue(j); q != nil {
		return max(1, q.Attempts)
	}
	return max(1, j.Attempts)
}

func (c *Coordinator) priority(j *job) int {
	if q := c.queue(j); q != nil {
		return q.Priority
	}
	return j.Priority
}

func (c *Coordinator) addJob(rec *w.Job, p keeper.Progress, cancelled, fresh bool) {
	if c.jobs[rec.ID] != nil {
		return
	}
	j := &job{Job: *rec, cancelled: cancelled, fresh: fresh, addedAt: c.now, arrivedAt: c.jobArrivalTime(rec, fresh), state: w.Queued, started: p.Started}
	c.jobs[j.ID] = j
	switch {
	case p.State.Final():
		j.state, j.endStored = p.State, true
	case cancelled:
		j.state = w.Cancelled
		c.dirty[j.ID] = j
	}
	if j.state.Final() {
		j.endedAt = c.now
		c.publish(linker.JobState{Job: j.ID, State: j.state})
		return
	}
	if err := j.Validate(); err != nil {
		// An instance of another version accepted a job that is invalid here.
		delete(c.jobs, j.ID)
		c.Meter.Count("unread", "job")
		c.Log.Error("job not taken over", "job", j.ID, "error", err, "epoch", c.Epoch)
		return
	}
	j.occurrencesLeft = j.Occurrences()
	j.occurrences = make([]*occurrence, j.occurrencesLeft)
	for k := range j.occurrences {
		o := &occurrence{job: j, index: k, stepsLeft: len(j.Steps)}
		if j.Repeat > 0 {
			o.due = time.UnixMilli(j.StartMs + int64(k)*j.EveryMs)
		}
		j.occurrences[k] = o
		for i := range j.Steps {
			s := &step{Step: &j.Steps[i], job: j, occurrence: o, index: i}
			s.tasks = make([]task, s.Count)
			s.waiting = s.Count
			s.name = s.id(0).StepName()
			o.steps = append(o.steps, s)
		}
		o.computeCriticalPath()
		c.restoreProgress(o, &p)
		if j.state.Final() {
			return
		}
		if o.stepsLeft > 0 {
			c.unopened = append(c.unopened, o)
		}
	}
	if j.started {
		j.state = w.Running
	}
	c.publish(linker.JobState{Job: j.ID, State: j.state})
	c.openDueOccurrences()
}

// restoreProgress applies the stored progress of an occurrence.
func (c *Coordinator) restoreProgress(o *occurrence, p *keeper.Progress) {
	for _, s := range o.steps {
		sp := p.Step(o.index, s.index)
		if sp == nil {
			continue
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			t.failedRuns = sp.FailedRuns[i]
			t.checkpoint = sp.Checkpoints[i]
			if sp.Done(i) {
				t.phase = finished
				s.done++
				s.waiting--
			}
		}
		if s.done == s.Count {
			c.completeStep(s)
		}
	}
}

// progress returns the part of a job's state that is kept in the store.
func (j *job) progress() keeper.Progress {
	p := keeper.Progress{ID: j.ID, State: j.state, Started: j.started}
	if j.state.Final() {
		return p
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			var sp *keeper.StepProgress
			for i := range s.tasks {
				t := &s.tasks[i]
				if t.phase != finished && len(t.failedRuns) == 0 && t.checkpoint == "" {
					continue
				}
				if sp == nil {
					sp = p.AddStep(o.index, s.index)
				}
				sp.SetTask(i, t.phase == finished, t.failedRuns, t.checkpoint)
			}
		}
	}
	return p
}

// openDueOccurrences opens the occurrences whose start time has passed.
func (c *Coordinator) openDueOccurrences() {
	rest := c.unopened[:0]
	for _, o := range c.unopened {
		switch {
		case o.job.state.Final():
		case !o.due.IsZero() && c.now.Before(o.due):
			rest = append(rest, o)
		default:
			for _, s := range o.steps {
				c.openStep(s)
			}
		}
	}
	for i := len(rest); i < len(c.unopened); i++ {
		c.unopened[i] = nil
	}
	c.unopened = rest
}

// openStep makes a step eligible for placement if all preceding steps are done.
func (c *Coordinator) openStep(s *step) {
	if s.open || s.done == s.Count || (!s.occurrence.due.IsZero() && c.now.Before(s.occurrence.due)) {
		return
	}
	for _, a := range s.After {
		if a < 0 || a >= len(s.occurrence.steps) || s.occurrence.steps[a].done < s.occurrence.steps[a].Count {
			return
		}
	}
	s.open = true
	s.openedAt = c.now
	if !s.occurrence.due.IsZero() {
		s.openedAt = s.occurrence.due
	}
	c.activate(s)
}

func (c *Coordinator) activate(s *step) {
	s.triedRound = -1
	if s.open && !s.active && s.waiting > 0 {
		s.active = true
		c.activeSteps = append(c.activeSteps, s)
		c.unsorted = true
	}
}

// setPhase moves a task to another phase and keeps the count of waiting tasks.
func (c *Coordinator) setPhase(s *step, i int, p phase) {
	t := &s.tasks[i]
	if t.phase == waiting {
		s.waiting--
	}
	t.phase = p
	t.phaseSince = c.now
	if p == waiting {
		s.waiting++
		t.target = nil
		c.activate(s)
	}
}

// markStarted records that a task of a job has started.
func (c *Coordinator) markStarted(j *job) {
	if j.stats.firstStartAt.IsZero() {
		j.stats.firstStartAt = c.now
	}
	if !j.started {
		j.started = true
		c.dirty[j.ID] = j
	}
	if j.state == w.Queued {
		j.state = w.Running
		c.publish(linker.JobState{Job: j.ID, State: j.state})
	}
}

// taskDone marks a task as successfully completed.
func (c *Coordinator) taskDone(s *step, i int) {
	if s.tasks[i].phase == finished {
		return
	}
	c.setPhase(s, i, finished)
	s.done++
	c.dirty[s.job.ID] = s.job
	if s.done == s.Count {
		c.completeStep(s)
	}
}

// completeStep handles the completion of the last task of a step: it opens the steps
// that depend on it, or completes the job.
func (c *Coordinator) completeStep(s *step) {
	s.clearAdvice()
	o := s.occurrence
	o.stepsLeft--
	if o.stepsLeft == 0 {
		s.job.occurrencesLeft--
		if s.job.occurrencesLeft == 0 {
			c.finish(s.job, w.Completed)
		}
		return
	}
	if c.now.Before(o.due) {
		return
	}
	for _, next := range o.steps {
		if !next.open && len(next.After) > 0 {
			c.openStep(next)
		}
	}
}

// finish moves a job to a final state and stops the runs that it still has.
func (c *Coordinator) finish(j *job, state w.State) {
	j.state = state
	j.endedAt = c.now
	c.dirty[j.ID] = j
	c.logEnd(j)
	change := linker.JobState{Job: j.ID, State: state}
	if state == w.Cancelled {
		c.publish(change)
	} else {
		c.unstoredStates = append(c.unstoredStates, change)
		if c.storeSlow {
			c.publishUnstored([]linker.JobState{change})
		}
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.releaseReservations(s)
			s.clearAdvice()
			for i := range s.tasks {
				switch s.tasks[i].phase {
				case starting, running:
					c.stopTask(s, i)
				}
			}
		}
	}
}

// slowStepAge is the age from which an unfinished step is logged with its details.
const slowStepAge = 10 * time.Second

// logSlowSteps logs the steps that have been open for longer than slowStepAge, with the
// data that explains why they are not done.
func (c *Coordinator) logSlowSteps() {
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.open || s.done == s.Count || s.Lasting || c.now.Sub(s.openedAt) < slowStepAge {
					continue
				}
				var phases [finished + 1]int
				var at []w.TargetID
				for i := range s.tasks {
					p := s.tasks[i].phase
					phases[p]++
					if t := s.tasks[i].target; t != nil && (p == starting || p == stopping) && !slices.Contains(at, t.ID) {
						at = append(at, t.ID)
					}
				}
				good, places, ticketed := 0, 0, 0
				for _, t := range s.permitted {
					if !s.permits(t) {
						continue
					}
					good++
					if n := s.fitCount(t, t.free()); c.eligible(s, t) && n > 0 {
						places += n
						if c.hasValidTicket(s, t, 0) {
							ticketed += n
						}
					}
				}
				c.Log.Info("step takes long", "step", s.name, "queue", j.Queue, "open", c.now.Sub(s.openedAt), "gang", s.Gang,
					"waiting", phases[waiting], "starting", phases[starting], "running", phases[running], "stopping", phases[stopping],
					"unclear", at, "asking", s.openCalls, "advised", len(s.advice), "good", good,
					"places", places, "ticketed", ticketed, "fresh", j.fresh, "unread", len(c.unsynced))
			}
		}
	}
}

// reportGauges logs the capacity and load of the cell and updates the gauges.
func (c *Coordinator) reportGauges() {
	var capacity, used, releasing, reserved, usable float64
	for _, t := range c.sortedTargets {
		if c.usable(t) {
			usable++
			capacity += float64(t.Capacity.CPU)
			used += float64(t.used.CPU)
			releasing += float64(t.releasing.CPU)
			if t.reserved {
				reserved += float64(t.Capacity.CPU)
			}
		}
	}
	var waits [tooLate + 1]int64
	for _, s := range c.activeSteps {
		waits[s.lateness] += int64(s.waiting) * s.Need.CPU
	}
	c.Log.Info("room of the cell", "targets", len(c.sortedTargets), "usable", usable, "cpu", capacity, "used", used, "stopping", releasing,
		"reserved", reserved, "steps", len(c.activeSteps), "waitingInTime", waits[inTime], "waitingLate", waits[late], "waitingTooLate", waits[tooLate],
		"asks", len(c.calls), "asksWaiting", len(c.queuedCalls))
	c.Meter.SetGauge("targets", float64(len(c.sortedTargets)))
	c.Meter.SetGauge("targetsUsable", usable)
	c.Meter.SetGauge("cpuUsable", capacity)
	c.Meter.SetGauge("cpuUsed", used)
	c.Meter.SetGauge("stepsWaiting", float64(len(c.activeSteps)))
	c.Meter.SetGauge("members", float64(len(c.sortedMembers)))
}

// sweep removes ended jobs, early cancellations and early ends after the retention
// period. It also drops expired orphans and logs slow steps.
func (c *Coordinator) sweep() {
	c.logSlowSteps()
	c.expireOrphans()
	for id, at := range c.earlyCancels {
		if c.now.Sub(at) > c.Retention {
			delete(c.earlyCancels, id)
		}
	}
	for id, e := range c.earlyEnds {
		if c.now.Sub(e.at) > c.Retention {
			delete(c.earlyEnds, id)
		}
	}
	for id, j := range c.jobs {
		if j.state.Final() && c.now.Sub(j.endedAt) > c.Retention && !j.mayBeRunning() {
			delete(c.jobs, id)
			delete(c.dirty, id)
			c.expiredJobs = append(c.expiredJobs, id)
			c.publish(linker.JobState{Job: id})
			if len(c.expiredJobs) >= maxSweepRemovals {
				return
			}
		}
	}
}

// maxSweepRemovals bounds the number of rows that one sweep removes.
const maxSweepRemovals = 200

// mayBeRunning reports whether a target may still run a task of the job.
func (j *job) mayBeRunning() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				if p := s.tasks[i].phase; p == starting || p == running || p == stopping {
					return true
				}
			}
		}
	}
	return false
}

func (c *Coordinator) publish(states ...linker.JobState) {
	if len(states) == 0 {
		return
	}
	for _, s := range states {
		if j := c.jobs[s.Job]; j != nil && s.State.Final() {
			j.endPublished = true
		}
	}
	for _, s := range states {
		var gateway w.InstanceID
		if j := c.jobs[s.Job]; j != nil {
			gateway = j.gateway
		}
		for _, m := range c.sortedMembers {
			m.pendingStates = append(m.pendingStates, s)
			m.sendStatesNow = m.sendStatesNow || m.id == gateway
		}
	}
}

// publishPendingCounts sends the number of jobs per queue that wait for their first
// start to members whose counts are out of date.
func (c *Coordinator) publishPendingCounts() {
	counts := make(map[string]int)
	for _, j := range c.jobs {
		if !j.started && !j.state.Final() {
			counts[j.Queue]++
		}
	}
	if c.cfg == nil {
		return
	}
	list := make([]linker.Pending, 0, len(c.cfg.Queues))
	for i := range c.cfg.Queues {
		if n := counts[c.cfg.Queues[i].Name]; n > 0 {
			list = append(list, linker.Pending{Queue: c.cfg.Queues[i].Name, Jobs: n})
		}
	}
	for _, m := range c.sortedMembers {
		if m.pendingCounts != nil && slices.Equal(m.pendingCounts, list) {
			continue
		}
		m.pendingCounts = list
		m.nextFrame().Pending = &linker.PendingCounts{Queues: list}
	}
}
