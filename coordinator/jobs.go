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
	phase   phase
	run     w.RunID
	target  *target
	avoid   *target   // the target of the last failed run
	failed  []w.RunID // counted
	saved   string
	whole   bool      // the run began here and without a checkpoint
	since   time.Time // of the phase
	percent int
	movedAt time.Time // of the last change of percent
	missing int       // complete reports that lack the run
	yields  int       // runs that were stopped for more urgent work
}

// step is a step of one occurrence of a job.
type step struct {
	*w.Step
	job       *job
	occ       *occurrence
	index     int
	name      string
	tasks     []task
	done      int
	waiting   int
	open      bool // the steps before it are done
	openAt    time.Time
	active    bool
	tried     int64 // generation of the last attempt to place it
	advice    map[w.TargetID]*advised
	permitted []*target // by the queue's policy
	asking    int
	named     []*target // in its last call for advice
	asked     time.Time
	searched  time.Time     // for targets to ask about
	preempt   time.Time     // no further preemption before
	rest      time.Duration // declared for it and what follows it
	depth     int           // steps of that chain
	lateness  lateness
	reserved  []*target
	booked    []*target     // with room that is kept for the gang
	bookedAt  time.Time     // when that was last planned
	planned   time.Time     // when it was last tried to place the gang
	renewal   time.Time     // when the tickets of its plan are expected
	end       time.Time     // estimated, of a gang that runs
	endKnown  time.Time     // when that was estimated
	ran       time.Duration // expected of a task, with a margin
	ranKnown  time.Time     // when that was estimated
}

type occurrence struct {
	job   *job
	k     int
	due   time.Time
	steps []*step
	left  int           // steps that are not done
	chain time.Duration // declared for its longest chain
	depth int           // steps of that chain
}

type job struct {
	w.Job
	occs      []*occurrence
	left      int // occurrences that are not done
	state     w.State
	cancelled bool
	begun     bool
	published bool // its end was shown to callers
	saved     bool // its end is stored
	fresh     bool // no earlier coordinator can have started it
	found     bool // it was stored before, but not known when the cell was loaded
	took      time.Time
	arrived   time.Time    // at the cell
	gateway   w.InstanceID // whose callers ask for it first, if known
	story     story
	endedAt   time.Time
	queue     *w.Queue  // its queue, or nil
	queueOf   *w.Config // the configuration that the queue belongs to
}

// story is what the log tells of a job when it ends.
type story struct {
	asks    int       // calls for advice
	advised time.Time // first answer
	started time.Time // first order to start
	begun   time.Time // first start that a target confirmed
	runs    int
	stops   int // runs stopped for other work or a bad target
	lost    int // runs that ended without a result
}

func (c *Coordinator) tell(j *job) {
	if j.took.IsZero() {
		return
	}
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1
		}
		return t.Sub(j.took).Round(time.Millisecond)
	}
	c.Meter.Count("job", j.state.String())
	c.Log.Info("job ended", "job", j.ID, "queue", j.Queue, "state", j.state, "age", c.now.UnixMilli()-j.Accepted,
		"since", c.now.Sub(j.took).Round(time.Millisecond), "advised", since(j.story.advised), "ordered", since(j.story.started),
		"begun", since(j.story.begun), "asks", j.story.asks, "runs", j.story.runs, "stops", j.story.stops, "lost", j.story.lost,
		"epoch", c.Epoch)
}

func (s *step) id(i int) w.TaskID {
	return w.TaskID{Job: s.job.ID, Occurrence: s.occ.k, Step: s.index, Index: i}
}

func (c *Coordinator) queue(j *job) *w.Queue {
	if j.queueOf != c.cfg {
		j.queueOf, j.queue = c.cfg, c.cfg.Queue(j.Queue)
	}
	return j.queue
}

func (c *Coordinator) attempts(j *job) int {
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
	j := &job{Job: *rec, cancelled: cancelled, fresh: fresh, took: c.now, arrived: c.arrival(rec, fresh), state: w.Queued, begun: p.Started}
	c.jobs[j.ID] = j
	switch {
	case p.State.Final():
		j.state, j.saved = p.State, true
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
		// An instance of another version accepted it.
		delete(c.jobs, j.ID)
		c.Meter.Count("unread", "job")
		c.Log.Error("job not taken over", "job", j.ID, "error", err, "epoch", c.Epoch)
		return
	}
	j.left = j.Occurrences()
	j.occs = make([]*occurrence, j.left)
	for k := range j.occs {
		o := &occurrence{job: j, k: k, left: len(j.Steps)}
		if j.Repeat > 0 {
			o.due = time.UnixMilli(j.StartMs + int64(k)*j.EveryMs)
		}
		j.occs[k] = o
		for i := range j.Steps {
			s := &step{Step: &j.Steps[i], job: j, occ: o, index: i}
			s.tasks = make([]task, s.Count)
			s.waiting = s.Count
			s.name = s.id(0).StepName()
			o.steps = append(o.steps, s)
		}
		o.chains()
		c.restore(o, &p)
		if j.state.Final() {
			return
		}
		if o.left > 0 {
			c.timed = append(c.timed, o)
		}
	}
	if j.begun {
		j.state = w.Running
	}
	c.publish(linker.JobState{Job: j.ID, State: j.state})
	c.openTimed()
}

// restore applies the stored progress of an occurrence.
func (c *Coordinator) restore(o *occurrence, p *keeper.Progress) {
	for _, s := range o.steps {
		sp := p.Step(o.k, s.index)
		if sp == nil {
			continue
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			t.failed = sp.FailedRuns[i]
			t.saved = sp.Checkpoints[i]
			if sp.Done(i) {
				t.phase = finished
				s.done++
				s.waiting--
			}
		}
		if s.done == s.Count {
			c.closeStep(s)
		}
	}
}

// progress returns the part of a job's state that the store keeps.
func (j *job) progress() keeper.Progress {
	p := keeper.Progress{ID: j.ID, State: j.state, Started: j.begun}
	if j.state.Final() {
		return p
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			var sp *keeper.StepProgress
			for i := range s.tasks {
				t := &s.tasks[i]
				if t.phase != finished && len(t.failed) == 0 && t.saved == "" {
					continue
				}
				if sp == nil {
					sp = p.AddStep(o.k, s.index)
				}
				sp.SetTask(i, t.phase == finished, t.failed, t.saved)
			}
		}
	}
	return p
}

// openTimed opens the occurrences whose time has come.
func (c *Coordinator) openTimed() {
	rest := c.timed[:0]
	for _, o := range c.timed {
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
	for i := len(rest); i < len(c.timed); i++ {
		c.timed[i] = nil
	}
	c.timed = rest
}

// openStep lets a step start if the steps before it are done.
func (c *Coordinator) openStep(s *step) {
	if s.open || s.done == s.Count || (!s.occ.due.IsZero() && c.now.Before(s.occ.due)) {
		return
	}
	for _, a := range s.After {
		if a < 0 || a >= len(s.occ.steps) || s.occ.steps[a].done < s.occ.steps[a].Count {
			return
		}
	}
	s.open = true
	s.openAt = c.now
	if !s.occ.due.IsZero() {
		s.openAt = s.occ.due
	}
	c.activate(s)
}

func (c *Coordinator) activate(s *step) {
	s.tried = -1
	if s.open && !s.active && s.waiting > 0 {
		s.active = true
		c.active = append(c.active, s)
		c.unsorted = true
	}
}

// setPhase moves a task to another phase.
func (c *Coordinator) setPhase(s *step, i int, p phase) {
	t := &s.tasks[i]
	if t.phase == waiting {
		s.waiting--
	}
	t.phase = p
	t.since = c.now
	if p == waiting {
		s.waiting++
		t.target = nil
		c.activate(s)
	}
}

// begin notes that a task of a job has started.
func (c *Coordinator) begin(j *job) {
	if j.story.begun.IsZero() {
		j.story.begun = c.now
	}
	if !j.begun {
		j.begun = true
		c.dirty[j.ID] = j
	}
	if j.state == w.Queued {
		j.state = w.Running
		c.publish(linker.JobState{Job: j.ID, State: j.state})
	}
}

// taskDone takes note of a task that ended as done.
func (c *Coordinator) taskDone(s *step, i int) {
	if s.tasks[i].phase == finished {
		return
	}
	c.setPhase(s, i, finished)
	s.done++
	c.dirty[s.job.ID] = s.job
	if s.done == s.Count {
		c.closeStep(s)
	}
}

// closeStep follows the end of the last task of a step.
func (c *Coordinator) closeStep(s *step) {
	s.forgetAdvice()
	o := s.occ
	o.left--
	if o.left == 0 {
		s.job.left--
		if s.job.left == 0 {
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

// finish ends a job and stops what still runs for it.
func (c *Coordinator) finish(j *job, state w.State) {
	j.state = state
	j.endedAt = c.now
	c.dirty[j.ID] = j
	c.tell(j)
	change := linker.JobState{Job: j.ID, State: state}
	if state == w.Cancelled {
		c.publish(change)
	} else {
		c.publishing = append(c.publishing, change)
		if c.storeSlow {
			c.showUnsaved([]linker.JobState{change})
		}
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			c.release(s)
			s.forgetAdvice()
			for i := range s.tasks {
				switch s.tasks[i].phase {
				case starting, running:
					c.stop(s, i)
				}
			}
		}
	}
}

// longWait is the time after which the log tells why a step waits.
const longWait = 10 * time.Second

// tellWaiting logs the steps that wait for long.
func (c *Coordinator) tellWaiting() {
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		for _, o := range j.occs {
			for _, s := range o.steps {
				if !s.open || s.done == s.Count || s.Lasting || c.now.Sub(s.openAt) < longWait {
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
					if !s.good(t) {
						continue
					}
					good++
					if n := s.times(t, t.free()); c.allowed(s, t) && n > 0 {
						places += n
						if c.holds(s, t, 0) {
							ticketed += n
						}
					}
				}
				c.Log.Info("step takes long", "step", s.name, "queue", j.Queue, "open", c.now.Sub(s.openAt), "gang", s.Gang,
					"waiting", phases[waiting], "starting", phases[starting], "running", phases[running], "stopping", phases[stopping],
					"unclear", at, "asking", s.asking, "advised", len(s.advice), "good", good,
					"places", places, "ticketed", ticketed, "fresh", j.fresh, "unread", len(c.unread))
			}
		}
	}
}

// levels shows what is believed of the cell.
func (c *Coordinator) levels() {
	var room, used, coming, reserved, usable float64
	for _, t := range c.order {
		if c.usable(t) {
			usable++
			room += float64(t.Capacity.CPU)
			used += float64(t.used.CPU)
			coming += float64(t.coming.CPU)
			if t.reserved {
				reserved += float64(t.Capacity.CPU)
			}
		}
	}
	var waits [tooLate + 1]int64
	for _, s := range c.active {
		waits[s.lateness] += int64(s.waiting) * s.Need.CPU
	}
	c.Log.Info("room of the cell", "targets", len(c.order), "usable", usable, "cpu", room, "used", used, "stopping", coming,
		"reserved", reserved, "steps", len(c.active), "waitingInTime", waits[inTime], "waitingLate", waits[late], "waitingTooLate", waits[tooLate],
		"asks", len(c.asks), "asksWaiting", len(c.waiting))
	c.Meter.Level("targets", float64(len(c.order)))
	c.Meter.Level("targetsUsable", usable)
	c.Meter.Level("cpuUsable", room)
	c.Meter.Level("cpuUsed", used)
	c.Meter.Level("stepsWaiting", float64(len(c.active)))
	c.Meter.Level("members", float64(len(c.ordered)))
}

// sweep drops ended jobs whose retention is over.
func (c *Coordinator) sweep() {
	c.tellWaiting()
	c.expireOrphans()
	for id, at := range c.early {
		if c.now.Sub(at) > c.Retention {
			delete(c.early, id)
		}
	}
	for id, e := range c.earlyEnds {
		if c.now.Sub(e.at) > c.Retention {
			delete(c.earlyEnds, id)
		}
	}
	for id, j := range c.jobs {
		if j.state.Final() && c.now.Sub(j.endedAt) > c.Retention && !j.occupies() {
			delete(c.jobs, id)
			delete(c.dirty, id)
			c.expired = append(c.expired, id)
			c.publish(linker.JobState{Job: id})
			if len(c.expired) >= maxRemovals {
				return
			}
		}
	}
}

// maxRemovals bounds the rows that one sweep removes.
const maxRemovals = 200

// occupies reports whether a task of the job may still run.
func (j *job) occupies() bool {
	for _, o := range j.occs {
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
			j.published = true
		}
	}
	for _, s := range states {
		var gateway w.InstanceID
		if j := c.jobs[s.Job]; j != nil {
			gateway = j.gateway
		}
		for _, m := range c.ordered {
			m.states = append(m.states, s)
			m.hurry = m.hurry || m.id == gateway
		}
	}
}

// publishPending sends the number of jobs that wait for their first start.
func (c *Coordinator) publishPending() {
	counts := make(map[string]int)
	for _, j := range c.jobs {
		if !j.begun && !j.state.Final() {
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
	for _, m := range c.ordered {
		if m.pending != nil && slices.Equal(m.pending, list) {
			continue
		}
		m.pending = list
		m.due().Pending = &linker.PendingCounts{Queues: list}
	}
}
