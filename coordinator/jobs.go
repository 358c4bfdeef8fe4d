package coordinator

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// phase is the phase of a task between its starts.
//
//go:generate go tool stringer -type=phase
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
	slots        int       // runs of the task that occupy targets, including earlier ones
	avoid        *target   // target of the last failed run
	failedRuns   []w.RunID // failed runs that count as attempts
	checkpoint   string
	fullRun      bool      // run was started by this coordinator without a checkpoint, so its duration updates the run time ratio
	phaseSince   time.Time // when phase last changed
	percent      int
	progressedAt time.Time // when percent last changed
	missedLists  int       // consecutive complete lists without the run
	missedSince  time.Time // when the first of them was received
	preemptions  int       // number of runs that were preempted
	waitLogged   bool      // its wait for a near target was logged
	released     *release  // why the last run was taken for ended, or nil
	crashRecord
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
	ready              bool // the occurrence is due and all preceding steps are done
	readyAt            time.Time
	inBacklog          bool
	triedGeneration    int64 // generation at the last attempt to place the step, see placeSteps; -1 forces another attempt
	advice             map[w.TargetID]*targetAdvice
	permittedTargets   []*target // targets that the queue's policy permits
	unansweredCalls    int
	namedTargets       []*target // targets named in the last advice call
	askedAt            time.Time
	searchedAt         time.Time     // last search for targets to name in an advice call
	nextPreemption     time.Time     // earliest time of the next preemption
	remainingEstimate  time.Duration // estimated run time of the longest chain of steps that starts with this one
	chainLength        int           // maximum number of steps of a chain that starts with this one
	lateness           lateness
	nominatedTargets   []*target
	bookedTargets      []*target     // targets with a booking for the gang
	bookedAt           time.Time     // when the current booking was made
	plannedAt          time.Time     // last attempt to place the gang
	ticketsDue         time.Time     // when the tickets of the gang's plan are expected
	expectedEnd        time.Time     // estimated end of a running gang
	endEstimatedAt     time.Time     // when expectedEnd was computed
	expectedRunTime    time.Duration // estimated run time of a task, including backfillMargin
	runTimeEstimatedAt time.Time     // when expectedRunTime was computed
	account            slotAccount   // what a run of a task counts for the tenant
	probe              bool          // the gang starts as a probe
	probesMissing      int           // probes for which there was no target in the last placement round
	held               int           // tasks that were kept from starting in the last placement round, see probes
	capHeld            bool          // its tenant's cap kept it from starting in the last placement round
	localityState
	waitState
}

type occurrence struct {
	job           *job
	index         int
	due           time.Time
	steps         []*step
	stepsLeft     int           // steps that are not done
	chainEstimate time.Duration // estimated run time of the longest chain of steps
	chainLength   int           // maximum number of steps of a chain
}

type job struct {
	w.Job
	occurrences         []*occurrence
	occurrencesLeft     int // occurrences that are not done
	state               w.State
	cancelled           bool
	started             bool
	endPublished        bool // its end was published to the members
	endStored           bool // its end is in the store
	contentDropped      bool // its content was removed from the store, or soon will be
	fresh               bool // no earlier coordinator can have started it
	missingFromSnapshot bool // not fresh, but was not in the snapshot that the coordinator loaded
	addedAt             time.Time
	arrivedAt           time.Time    // when the cell accepted the job
	gateway             w.InstanceID // instance that handed the job over, whose caller waits for it, or ""
	stats               jobStats
	endedAt             time.Time
	queue               *w.Queue     // cached queue of the job, or nil
	queueConfig         *w.Config    // configuration for which queue was looked up
	survived            bool         // one of its runs has survived its start, see jobSurvived
	survivalRound       int64        // placement round in which jobSurvived last looked at all tasks
	open                bool         // result of that: a task was starting or running, or has started since
	suspicions          int          // changes of its crash records
	suspicionsStored    int          // changes of its crash records that are in the store
	excess              bool         // beyond its tenant's rate
	tenantState         *tenantState // cached state of the tenant, or nil
}

// jobStats is the history of a job that is logged when it ends.
type jobStats struct {
	adviceCalls   int
	firstAdviceAt time.Time // first answer to an advice call
	firstOrderAt  time.Time // first start order
	firstStartAt  time.Time // first start that a target confirmed
	runs          int
	preemptions   int
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

// adviceTiming returns the timing of the advice that a job needs, or nil if it needs none.
func (c *Coordinator) adviceTiming(j *job) *w.AdviceTiming {
	if q := c.queue(j); q != nil {
		return q.Advice
	}
	return j.Advice
}

func (c *Coordinator) maxAttempts(j *job) int {
	if q := c.queue(j); q != nil {
		return max(1, q.Attempts)
	}
	return max(1, j.Attempts)
}

// priority returns the priority value of a job. Jobs beyond their tenant's rate come
// behind those of all queues, so that others may preempt them and they preempt nothing.
func (c *Coordinator) priority(j *job) int {
	if j.excess {
		return c.tenants.excessPriority
	}
	return c.queuePriority(j)
}

// queuePriority returns the priority value of a job's queue.
func (c *Coordinator) queuePriority(j *job) int {
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
	c.classifyJob(j)
	c.tenants.uncertainStale = c.tenants.uncertainStale || !fresh
	switch {
	case p.State.Final():
		j.state, j.endStored, j.contentDropped = p.State, true, rec.Ended
	case rec.Ended:
		j.state, j.endStored, j.contentDropped = w.Completed, true, true
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
	stored := p.StepIndex()
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
			s.account = slotAccount{j.Tenant, s.Need}
			o.steps = append(o.steps, s)
		}
		o.computeCriticalPath()
		c.restoreProgress(o, stored)
		if j.state.Final() {
			return
		}
		if o.stepsLeft > 0 {
			c.upcomingOccurrences = append(c.upcomingOccurrences, o)
		}
	}
	if j.started {
		j.state = w.Running
	}
	c.publish(linker.JobState{Job: j.ID, State: j.state})
	c.activateDueOccurrences()
}

// activateDueOccurrences marks the steps without predecessors as ready in all
// occurrences whose start time has passed.
func (c *Coordinator) activateDueOccurrences() {
	rest := c.upcomingOccurrences[:0]
	for _, o := range c.upcomingOccurrences {
		switch {
		case o.job.state.Final():
		case !o.due.IsZero() && c.now.Before(o.due):
			rest = append(rest, o)
		default:
			for _, s := range o.steps {
				c.markIfReady(s)
			}
		}
	}
	for i := len(rest); i < len(c.upcomingOccurrences); i++ {
		c.upcomingOccurrences[i] = nil
	}
	c.upcomingOccurrences = rest
}

// markIfReady marks a step as ready, and adds it to the backlog, if its occurrence is
// due and all preceding steps are done.
func (c *Coordinator) markIfReady(s *step) {
	if s.ready || s.done == s.Count || (!s.occurrence.due.IsZero() && c.now.Before(s.occurrence.due)) {
		return
	}
	for _, a := range s.After {
		if a < 0 || a >= len(s.occurrence.steps) || s.occurrence.steps[a].done < s.occurrence.steps[a].Count {
			return
		}
	}
	s.ready = true
	s.readyAt = c.now
	if !s.occurrence.due.IsZero() {
		s.readyAt = s.occurrence.due
	}
	c.addToBacklog(s)
}

// addToBacklog adds a step to the backlog if it is ready and has waiting tasks, and lets
// the next placement round try it.
func (c *Coordinator) addToBacklog(s *step) {
	s.triedGeneration = -1
	if s.ready && !s.inBacklog && s.waiting > 0 {
		s.inBacklog = true
		c.backlog = append(c.backlog, s)
		c.backlogUnsorted = true
	}
}

// setPhase moves a task to another phase and updates the number of waiting tasks.
func (c *Coordinator) setPhase(s *step, i int, p phase) {
	tk := &s.tasks[i]
	if tk.phase == waiting {
		s.waiting--
	}
	tk.phase = p
	tk.phaseSince = c.now
	if p == waiting {
		s.waiting++
		c.tenants.uncertainStale = c.tenants.uncertainStale || !s.job.fresh
		tk.target = nil
		c.addToBacklog(s)
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
	c.setCheckpoint(&s.tasks[i], "")
	s.done++
	c.dirty[s.job.ID] = s.job
	if s.done == s.Count {
		c.completeStep(s)
	}
}

// completeStep handles the completion of the last task of a step: it marks the steps
// that became ready, or completes the job.
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
		if !next.ready && len(next.After) > 0 {
			c.markIfReady(next)
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
			c.cancelBookingAndNominations(s)
			s.clearAdvice()
			for i := range s.tasks {
				c.setCheckpoint(&s.tasks[i], "")
				switch s.tasks[i].phase {
				case starting, running:
					c.stopTask(s, i)
				}
			}
		}
	}
}

// slowStepAge is the time since it became ready from which an unfinished step is
// logged.
const slowStepAge = 10 * time.Second

// logSlowSteps logs the steps that became ready more than slowStepAge ago and are not
// done, with the data that explains why.
func (c *Coordinator) logSlowSteps() {
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.ready || s.done == s.Count || s.Lasting || c.now.Sub(s.readyAt) < slowStepAge {
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
				permitted, free, ticketed := 0, 0, 0
				for _, t := range s.permittedTargets {
					if !s.permits(t) {
						continue
					}
					permitted++
					if n := s.fitCount(t, t.free()); c.eligible(s, t) && n > 0 {
						free += n
						if c.hasValidTicket(s, t, 0) {
							ticketed += n
						}
					}
				}
				reason, age := c.waitReason(s)
				c.Log.Info("step takes long", "step", s.name, "queue", j.Queue, "tenant", j.Tenant, "held", c.holdUp(s),
					"reason", reason, "reasonAge", age.Round(time.Millisecond), "tried", c.now.Sub(later(s.attemptedAt, s.readyAt)).Round(time.Millisecond), "expired", s.expiredBookings, "open", c.now.Sub(s.readyAt), "gang", s.Gang,
					"waiting", phases[waiting], "starting", phases[starting], "running", phases[running], "stopping", phases[stopping],
					"unclear", at, "asking", s.unansweredCalls, "advised", len(s.advice), "good", permitted,
					"places", free, "ticketed", ticketed, "fresh", j.fresh, "unread", len(c.unsynced), "slow", s.runsOnSlowTargets(), "waitsNear", s.nearWaits)
			}
		}
	}
}

// reportGauges logs the capacity and load of the cell and updates the gauges.
func (c *Coordinator) reportGauges() {
	var capacityCPU, usedCPU, stoppingCPU, reservedCPU, usableTargets float64
	for _, t := range c.sortedTargets {
		if c.usable(t) {
			usableTargets++
			capacityCPU += float64(t.Capacity.CPU)
			usedCPU += float64(t.used.CPU)
			stoppingCPU += float64(t.stoppingResources.CPU)
			if t.reserved {
				reservedCPU += float64(t.Capacity.CPU)
			}
		}
	}
	var waitingCPU [tooLate + 1]int64
	for _, s := range c.backlog {
		waitingCPU[s.lateness] += int64(s.waiting) * s.Need.CPU
	}
	c.Log.Info("room of the cell", "targets", len(c.sortedTargets), "usable", usableTargets, "cpu", capacityCPU, "used", usedCPU, "stopping", stoppingCPU,
		"reserved", reservedCPU, "steps", len(c.backlog), "waitingInTime", waitingCPU[inTime], "waitingLate", waitingCPU[late], "waitingTooLate", waitingCPU[tooLate],
		"asks", len(c.sentCalls), "asksWaiting", len(c.queuedCalls))
	c.Meter.SetGauge("targets", float64(len(c.sortedTargets)))
	c.Meter.SetGauge("targetsUsable", usableTargets)
	c.Meter.SetGauge("cpuUsable", capacityCPU)
	c.Meter.SetGauge("cpuUsed", usedCPU)
	c.Meter.SetGauge("stepsWaiting", float64(len(c.backlog)))
	c.Meter.SetGauge("members", float64(len(c.sortedMembers)))
	c.reportSpeeds()
}

// sweep removes early cancellations and early ends after the retention period. It also discards expired orphaned ends and logs slow steps.
func (c *Coordinator) sweep() {
	c.logSlowSteps()
	c.expireOrphans()
	c.delays.Expire(c.now.Add(-waitRetention))
	for id, e := range c.earlyCancels {
		if c.now.Sub(e.at) > c.Retention {
			delete(c.earlyCancels, id)
			if e.ofTenant {
				c.expiredCancels = append(c.expiredCancels, id)
			}
		}
	}
	for id, e := range c.earlyEnds {
		// While the leadership is confirmed, scans of the store would have found the
		// job by now if it still existed, so the instances need not keep its end.
		if c.now.Sub(e.at) > c.Retention && c.now.Sub(c.renewedAt) < LeadershipGrace {
			delete(c.earlyEnds, id)
			c.expireEndRow(id)
			c.publish(linker.JobState{Job: id})
		}
	}
}

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

// publish sends states of jobs to all members.
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
			gateway, s.Tenant = j.gateway, j.Tenant
		}
		saver := c.saver(&s)
		for _, m := range c.sortedMembers {
			s.Save = m == saver
			m.pendingStates = append(m.pendingStates, s)
			m.sendStatesNow = m.sendStatesNow || m.id == gateway
		}
	}
}

// publishPendingCounts sends the number of jobs per queue of which no task has started
// yet to the members whose counts are out of date.
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
