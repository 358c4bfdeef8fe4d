// Package coordinator decides what runs where in a cell. It has no input or
// output of its own: callers hand it what happened together with the time, and
// collect the frames, rows and state changes that follow.
package coordinator

import (
	"log/slog"
	"maps"
	"math"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/meter"
	w "github.com/masticlead/masticlead/workload"
)

// Settings are the bounds that the platform states and the limits of the
// coordinator.
type Settings struct {
	Epoch       w.Epoch
	Self        w.InstanceID
	Lease       time.Duration // time for which a target may run without contact
	StopTimeout time.Duration // longest time that a stop takes
	Restore     time.Duration // time that a start from a checkpoint takes
	Retention   time.Duration // time for which the state of an ended job is kept
	Log         *slog.Logger
	Meter       *meter.Meter
}

// Batch is a set of changes for the store.
type Batch struct {
	Progress      []keeper.Progress
	Remove        []w.JobID
	Roster        keeper.Roster // written if RosterChanged
	RosterChanged bool

	seen    map[w.TargetID]int64 // highest end included, by target
	publish []linker.JobState    // states to publish once stored
	roster  roster
}

// Empty reports whether nothing is to be written.
func (b *Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.Remove) == 0 && !b.RosterChanged
}

// Coordinator holds all that is believed about a cell.
type Coordinator struct {
	Settings

	now     time.Time
	began   time.Time
	renewed time.Time // when the last call was sent that confirmed the leadership
	cfg     *w.Config
	jobs    map[w.JobID]*job
	targets map[w.TargetID]*target
	order   []*target // sorted by id
	members map[w.InstanceID]*member
	ordered []*member // sorted by id
	active  []*step   // steps with waiting tasks
	timed   []*occurrence
	nextRun w.RunID
	nextAsk int64
	asks    map[int64]*ask
	waiting []*ask

	dirty       map[w.JobID]*job
	endsSeen    map[w.TargetID]int64
	publishing  []linker.JobState
	expired     []w.JobID
	roster      roster // targets that the store lists as possibly running something
	inFlight    *Batch // the batch that is being stored
	storeSlow   bool
	suspended   bool
	assignDue   bool
	pendingDue  time.Time
	statesDue   time.Time
	rosterDue   time.Time
	progressDue time.Time
	levelsDue   time.Time
	sweepDue    time.Time
	goodShare   map[string]float64
	unread      map[w.TargetID]unread
	generation  int64
	unsorted    bool // steps became active since they were sorted

	// What survey notes for one round of placement.
	most        w.Resources
	leastUrgent int
	roomy       []roomOf  // usable targets by free CPU, once a step has asked
	usableCPU   int64     // of all usable targets
	sorting     []roomOf  // scratch space of byRoom
	urgent      int       // priority of the most urgent queues
	turn        int       // number of the step after which the turns of the others go on
	fullDue     time.Time // when all waiting steps are tried next

	bookedCPU int64 // kept for gangs

	early      map[w.JobID]time.Time // cancelled before they were known
	earlyEnds  map[w.JobID]earlyEnd  // ended before they were known
	reserves   map[string]*reserve   // by service
	ratios     map[string]float64    // of run times to their declarations, by queue
	orderDue   time.Time
	reserveDue time.Time
}

// New returns a coordinator that knows nothing yet.
func New(s Settings, now time.Time) *Coordinator {
	return &Coordinator{
		Settings:  s,
		now:       now,
		began:     now,
		jobs:      make(map[w.JobID]*job),
		targets:   make(map[w.TargetID]*target),
		members:   make(map[w.InstanceID]*member),
		nextRun:   w.FirstRunID(s.Epoch),
		asks:      make(map[int64]*ask),
		dirty:     make(map[w.JobID]*job),
		endsSeen:  make(map[w.TargetID]int64),
		roster:    make(roster),
		goodShare: make(map[string]float64),
		unread:    make(map[w.TargetID]unread),
		early:     make(map[w.JobID]time.Time),
		earlyEnds: make(map[w.JobID]earlyEnd),
		reserves:  make(map[string]*reserve),
		ratios:    make(map[string]float64),
	}
}

// Load takes over what the store holds. The roster names the targets that may
// run something that an earlier coordinator started.
func (c *Coordinator) Load(s *keeper.Snapshot) {
	for i := range s.Jobs {
		c.addJob(&s.Jobs[i], s.Progress[s.Jobs[i].ID], s.Cancelled[s.Jobs[i].ID], false)
	}
	c.loadRoster(&s.Roster)
}

// Configure puts a configuration in force.
func (c *Coordinator) Configure(cfg *w.Config) {
	if c.cfg != nil && cfg.Version <= c.cfg.Version {
		return
	}
	c.cfg = cfg
	c.unsorted = true
	c.urgent = math.MaxInt
	for i := range cfg.Queues {
		c.urgent = min(c.urgent, cfg.Queues[i].Priority)
	}
	c.generation++
}

// AddJob takes over a stored job. A fresh one was never handed to an earlier
// coordinator.
func (c *Coordinator) AddJob(j *w.Job, fresh bool) {
	_, cancelled := c.early[j.ID]
	delete(c.early, j.ID)
	known := c.jobs[j.ID] != nil
	c.addJob(j, keeper.Progress{}, cancelled, fresh)
	if e, ok := c.earlyEnds[j.ID]; ok {
		delete(c.earlyEnds, j.ID)
		c.Ended(linker.JobState{Job: j.ID, State: e.state})
	}
	if added := c.jobs[j.ID]; added != nil && !known {
		added.found = !fresh
	}
	c.adoptOrphans(j.ID)
}

// Renewed reports that the store confirmed the leadership by a call that was sent at
// the given time.
func (c *Coordinator) Renewed(sent time.Time) {
	if sent.After(c.renewed) {
		c.renewed = sent
		c.generation++
	}
}

// Cancel ends a job on request of its caller. The cancellation is stored.
func (c *Coordinator) Cancel(id w.JobID) {
	j := c.jobs[id]
	if j == nil {
		// The job itself is still on its way from another instance.
		c.early[id] = c.now
		return
	}
	if j.state.Final() {
		return
	}
	j.cancelled = true
	c.finish(j, w.Cancelled)
}

// Knows reports whether the job was taken over.
func (c *Coordinator) Knows(id w.JobID) bool { return c.jobs[id] != nil }

// SetStoreSlow tells whether the store is failing or slow. While it is, ends of
// jobs are shown before they are stored. All instances then remember them for the
// next coordinator until they are told that they are stored.
func (c *Coordinator) SetStoreSlow(slow bool) {
	c.storeSlow = slow
	if !slow {
		return
	}
	if c.inFlight != nil {
		c.showUnsaved(c.inFlight.publish)
	}
	c.showUnsaved(c.publishing)
}

// showUnsaved publishes the ends among the states that have not been shown yet.
func (c *Coordinator) showUnsaved(states []linker.JobState) {
	for _, s := range states {
		if j := c.jobs[s.Job]; j != nil && s.State.Final() && !j.published {
			c.publish(linker.JobState{Job: s.Job, State: s.State, Unsaved: true})
		}
	}
}

// Ended takes over an end that an earlier coordinator has shown. The job does not
// run again, also if neither the store nor a target knows of the end any more.
func (c *Coordinator) Ended(e linker.JobState) {
	if e.State != w.Completed && e.State != w.Failed {
		return
	}
	j := c.jobs[e.Job]
	if j == nil {
		// The job itself is still on its way from another instance.
		c.earlyEnds[e.Job] = earlyEnd{e.State, c.now}
		return
	}
	if j.state.Final() {
		return
	}
	c.Log.Info("end shown by an earlier coordinator", "job", e.Job, "state", e.State, "epoch", c.Epoch)
	c.finish(j, e.State)
	j.published = true
}

// earlyEnd is the end of a job that is not known yet.
type earlyEnd struct {
	state w.State
	at    time.Time
}

// Suspend tells whether the coordinator may have been replaced without knowing.
// While it may, it starts nothing and extends no lease.
func (c *Coordinator) Suspend(suspended bool) {
	if c.suspended == suspended {
		return
	}
	c.suspended = suspended
	c.Log.Warn("coordination suspended or resumed", "epoch", c.Epoch, "suspended", suspended, "members", len(c.ordered))
	for _, m := range c.ordered {
		m.given = ""
	}
	c.assignDue = true
	c.generation++
}

// Advance makes all decisions that are due. The frames of the members can be
// collected afterwards.
func (c *Coordinator) Advance(now time.Time) {
	c.now = now
	c.expireTargets()
	c.openTimed()
	if c.assignDue {
		c.assign()
	}
	c.checkHealth()
	c.place()
	c.dispatchAsks()
	if !now.Before(c.pendingDue) {
		c.pendingDue = now.Add(pendingPeriod)
		c.publishPending()
	}
	if !now.Before(c.levelsDue) {
		c.levelsDue = now.Add(levelsPeriod)
		c.levels()
	}
	if !now.Before(c.sweepDue) {
		c.sweepDue = now.Add(sweepPeriod)
		c.sweep()
	}
}

const (
	// pendingPeriod is well inside the 2 s that a count may be old.
	pendingPeriod = 300 * time.Millisecond
	// statesPeriod is the longest time for which a change of a job's state waits
	// for other news to an instance that did not accept the job.
	statesPeriod = 60 * time.Millisecond
	// progressPeriod is the time between two batches with the progress of jobs that
	// go on. Targets repeat ends that are not acknowledged after 150 ms.
	progressPeriod = 100 * time.Millisecond
	// rosterPeriod is the time between two looks at whether the roster has changed.
	rosterPeriod = 40 * time.Millisecond
	// levelsPeriod is the time between two looks at the room of the cell.
	levelsPeriod = 1 * time.Second
	// sweepPeriod is the time between two searches for jobs whose states need
	// not be kept any longer.
	sweepPeriod = 5 * time.Second
)

// Frames returns the frames that are due, by member. States go at once to the
// instance that accepted the job; the others get them with what else is due, or
// after statesPeriod. One frame for each change to each instance took most of a
// leader's time with 147 of them.
func (c *Coordinator) Frames() map[w.InstanceID]*linker.Frame {
	var out map[w.InstanceID]*linker.Frame
	all := !c.now.Before(c.statesDue)
	if all {
		c.statesDue = c.now.Add(statesPeriod)
	}
	for id, m := range c.members {
		if len(m.states) > 0 && (all || m.hurry || m.frame != nil) {
			f := m.due()
			f.States = append(f.States, m.states...)
			m.states, m.hurry = nil, false
		}
		if m.frame == nil {
			continue
		}
		if out == nil {
			out = make(map[w.InstanceID]*linker.Frame, len(c.members))
		}
		out[id] = m.frame
		m.frame = nil
	}
	return out
}

// Flush returns what has to be stored next, or nil if nothing has or the last
// batch is not yet reported as stored. Ends of jobs are stored at once, since callers
// wait for them, the progress of other jobs every progressPeriod: a job of 100 tasks
// is written once for many of their ends.
func (c *Coordinator) Flush() *Batch {
	if c.inFlight != nil {
		return nil
	}
	var b *Batch
	if c.now.Before(c.progressDue) {
		b = c.endedBatch()
	} else {
		b = c.fullBatch()
	}
	if b.Empty() && len(b.seen) == 0 && len(b.publish) == 0 {
		return nil
	}
	c.inFlight = b
	return b
}

// endedBatch holds the ends of jobs only. It acknowledges no ends of runs and leaves
// the roster as it is, since both need the progress that it lacks.
func (c *Coordinator) endedBatch() *Batch {
	b := &Batch{publish: c.publishing}
	c.publishing = nil
	for _, s := range b.publish {
		if j := c.dirty[s.Job]; j != nil && j.state.Final() {
			b.Progress = append(b.Progress, j.progress())
			delete(c.dirty, s.Job)
		}
	}
	return b
}

// fullBatch holds all that has changed.
func (c *Coordinator) fullBatch() *Batch {
	c.progressDue = c.now.Add(progressPeriod)
	b := &Batch{seen: c.endsSeen, publish: c.publishing, Remove: c.expired}
	for _, j := range c.dirty {
		b.Progress = append(b.Progress, j.progress())
	}
	if !c.now.Before(c.rosterDue) {
		// A roster that is late lists more than it needs to, which is safe.
		c.rosterDue = c.now.Add(rosterPeriod)
		b.roster = c.neededRoster()
		if b.RosterChanged = !maps.Equal(b.roster, c.roster); b.RosterChanged {
			b.Roster = b.roster.stored()
		}
	}
	c.dirty = make(map[w.JobID]*job)
	c.endsSeen = make(map[w.TargetID]int64)
	c.publishing = nil
	c.expired = nil
	return b
}

// Stored reports that a batch is in the store.
func (c *Coordinator) Stored(b *Batch) {
	c.inFlight = nil
	if b.RosterChanged {
		c.roster = b.roster
		c.generation++
	}
	for id, seq := range b.seen {
		t := c.targets[id]
		if t == nil {
			continue
		}
		if seq = t.ackable(seq); seq <= t.acked {
			continue
		}
		t.acked = seq
		if t.member != nil {
			f := t.member.due()
			f.Acks = append(f.Acks, linker.Ack{Target: id, Incarnation: t.Incarnation, Seq: seq})
		}
	}
	for i := range b.Progress {
		if j := c.jobs[b.Progress[i].ID]; j != nil && b.Progress[i].State.Final() {
			j.saved = true
		}
	}
	c.publish(b.publish...)
}

// officeSlack is the time for which an earlier coordinator that does not know of
// its successor may still extend leases: it suspends itself AuthorityTime after
// its last renewal, and its calls take up to a long poll.
const officeSlack = AuthorityTime + 1500*time.Millisecond

// AuthorityTime is the time after its last renewal for which a leader without
// most of its instances goes on.
const AuthorityTime = 1500 * time.Millisecond

// leaseBound is the time after which a lease has surely ended on a target whose
// clock is up to 2% slow.
func (c *Coordinator) leaseBound() time.Duration { return c.Lease * 103 / 100 }
