// Package coordinator schedules the tasks of a cell onto its targets. It does no I/O
// and reads no clock: callers pass in events together with the current time, and
// collect the resulting frames, store rows and state changes.
package coordinator

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticlead/masticlead/blamer"
	"github.com/masticlead/masticlead/delayer"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/meter"
	w "github.com/masticlead/masticlead/workload"
)

// Settings configures a coordinator. The durations are the bounds that the platform
// guarantees and the limits that apply to this cell.
type Settings struct {
	Epoch       w.Epoch
	Self        w.InstanceID
	Lease       time.Duration // time for which a target that is not called keeps running its tasks
	MaxLease    time.Duration // longest lease that a target grants
	StopTimeout time.Duration // upper bound of the time to stop a run
	RestoreTime time.Duration // time to restore a run from a checkpoint
	Retention   time.Duration // time for which the state of an ended job is kept
	// CheckpointMemory is the memory for the checkpoints of tasks in bytes. Zero means no
	// limit.
	CheckpointMemory int64
	// QuotaExcess is the fraction by which a tenant's runs may exceed its cap.
	QuotaExcess float64
	// RemoteFactor is the ratio of a task's run time away from its data, or of a gang's
	// spread over racks, to that near it.
	RemoteFactor float64
	LoadProgress func() // called for each job that Load adds, if it is not nil
	Log          *slog.Logger
	Meter        *meter.Meter
}

// Batch is a set of changes to be written to the store.
type Batch struct {
	Progress      []keeper.Progress
	Remove        []w.JobID
	RemoveEnds    []w.JobID     // rows of keeper.TableEnds that are no longer needed
	RemoveCancels []w.JobID     // early cancellations whose jobs never arrived
	DropContent   []w.JobID     // completed jobs whose content is no longer needed
	Roster        keeper.Roster // written only if RosterChanged is set
	RosterChanged bool

	endSeqs map[w.TargetID]endSeq // highest sequence number of the included run ends, by target
	states  []linker.JobState     // published once the batch is stored
	roster  roster
	// suspicions holds, for the included jobs, the number of changes of their crash
	// records.
	suspicions map[w.JobID]int
	refused    map[w.JobID]bool // see Exclude
}

// Exclude records that the store refuses some rows of the batch, which is stored without
// them. Nothing in them counts as stored: neither ends of runs and jobs nor the roster.
func (b *Batch) Exclude(jobs []w.JobID, roster bool) {
	b.refused = make(map[w.JobID]bool, len(jobs))
	for _, id := range jobs {
		b.refused[id] = true
	}
	b.RosterChanged = b.RosterChanged && !roster
}

func (b *Batch) addProgress(j *job) {
	b.Progress = append(b.Progress, j.progress())
	if j.suspicions == j.suspicionsStored {
		return
	}
	if b.suspicions == nil {
		b.suspicions = make(map[w.JobID]int)
	}
	b.suspicions[j.ID] = j.suspicions
}

// endSeq is the sequence number of an end. Each incarnation of a target numbers its ends
// from 1.
type endSeq struct {
	incarnation w.Incarnation
	seq         int64
}

// Empty reports whether the batch writes nothing to the store.
func (b *Batch) Empty() bool {
	return len(b.Progress) == 0 && len(b.Remove) == 0 && len(b.RemoveEnds) == 0 && len(b.RemoveCancels) == 0 && len(b.DropContent) == 0 && !b.RosterChanged
}

// Coordinator holds the scheduling state of a cell.
type Coordinator struct {
	Settings

	now                 time.Time
	startedAt           time.Time
	renewedAt           time.Time // when the last request that confirmed the leadership was sent
	jobsReadAt          time.Time // see JobsRead
	cfg                 *w.Config
	jobs                map[w.JobID]*job
	targets             map[w.TargetID]*target
	sortedTargets       []*target // by ID
	members             map[w.InstanceID]*member
	sortedMembers       []*member             // by ID
	backlog             []*step               // ready steps with waiting tasks
	upcomingOccurrences []*occurrence         // occurrences whose start time has not passed
	lastRunID           w.RunID               // last assigned run ID; the IDs increase
	lastSession         int64                 // session of the last assignment of a target
	lastCallID          int64                 // ID of the last advice call
	sentCalls           map[int64]*adviceCall // advice calls that were sent and not answered, by ID
	queuedCalls         []*adviceCall         // advice calls that were not sent yet
	advisers            []*member             // instances that may make advice calls in this round, by ID
	adviserFailures     map[w.InstanceID]adviserFailures

	dirty            map[w.JobID]*job      // changed since they were last included in a batch
	unstored         map[w.JobID]bool      // jobs whose progress the store refused
	checkpointBytes  int64                 // total size of the checkpoints of all tasks
	checkpointsFull  bool                  // a checkpoint was not kept for the size of all others
	endSeqs          map[w.TargetID]endSeq // highest sequence number of the received ends, for the next batch
	unstoredStates   []linker.JobState     // published once the next batch is stored
	expiredJobs      []w.JobID             // removed with the next batch
	endRows          map[w.JobID]bool      // jobs with a row of keeper.TableEnds
	expiredEnds      []w.JobID             // jobs whose such rows are removed with the next batch
	expiredCancels   []w.JobID             // early cancellations that are removed with the next batch
	droppedContent   []w.JobID             // jobs whose content is removed from the store with the next batch
	roster           roster                // roster as last stored: targets that may be running something
	inFlight         *Batch                // batch that is being stored, or nil
	storeSlow        bool
	suspended        bool
	assignmentsStale bool
	pendingDue       time.Time
	statesDue        time.Time
	rosterDue        time.Time
	progressDue      time.Time
	gaugesDue        time.Time
	sweepDue         time.Time
	removalDue       time.Time
	permittedShares  map[string]float64            // share of targets that the policy permits, by queue
	unsynced         map[w.TargetID]unsyncedTarget // targets of the previous roster that are not synced yet, see target.synced
	generation       int64                         // counts the changes that may allow further placements
	backlogUnsorted  bool                          // backlog must be sorted again

	// State of placement. The first four fields are recomputed for each placement round.
	maxFree             w.Resources
	leastUrgentPriority int
	byFreeCPU           []freeTarget // usable targets by descending free CPU; filled on first use in a round
	usableCPU           int64        // total CPU capacity of the usable targets
	sortBuffer          []freeTarget // scratch space for sorting targets
	mostUrgentPriority  int          // priority value of the most urgent queues; lower values are more urgent
	rotation            int          // position among the steps below the highest priority at which the next full pass continues
	fullPassDue         time.Time    // when the next full pass over the backlog is due

	bookedCPU int64 // total CPU booked for gangs

	earlyCancels  map[w.JobID]earlyCancel // cancellations that arrived before their jobs
	earlyEnds     map[w.JobID]earlyEnd    // ends that arrived before their jobs
	reserves      map[string]*reserve     // by service
	runTimeRatios map[string]float64      // ratio of actual to estimated run times, by queue
	speedRatios   map[ratioKey]*speedRatio
	speeds        map[string]*serviceSpeeds // by service
	speedsDue     time.Time
	latenessDue   time.Time
	reserveDue    time.Time
	tenants       tenancy
	admission     *admission
	delays        delayer.Policy // decides whether work waits for a place near its data

	losses         blamer.Ledger
	probing        []*target       // targets with a probe
	contained      map[string]bool // queues whose jobs start with a single task
	riskBudgets    map[string]int  // further starts under suspicion that are allowed, by service
	containmentDue time.Time

	// Rates at which the jobs of contained queues are tried, by queue.
	probeRates      map[string]float64
	firstProbes     map[string]int // first starts of jobs as probes since probesCountedAt
	probesCountedAt time.Time
}

// New returns a coordinator without jobs, targets or members.
func New(s Settings, now time.Time) *Coordinator {
	c := &Coordinator{
		Settings:        s,
		now:             now,
		startedAt:       now,
		jobs:            make(map[w.JobID]*job),
		targets:         make(map[w.TargetID]*target),
		members:         make(map[w.InstanceID]*member),
		lastRunID:       w.FirstRunID(s.Epoch),
		sentCalls:       make(map[int64]*adviceCall),
		adviserFailures: make(map[w.InstanceID]adviserFailures),
		dirty:           make(map[w.JobID]*job),
		unstored:        make(map[w.JobID]bool),
		endSeqs:         make(map[w.TargetID]endSeq),
		roster:          make(roster),
		permittedShares: make(map[string]float64),
		unsynced:        make(map[w.TargetID]unsyncedTarget),
		earlyCancels:    make(map[w.JobID]earlyCancel),
		earlyEnds:       make(map[w.JobID]earlyEnd),
		endRows:         make(map[w.JobID]bool),
		reserves:        make(map[string]*reserve),
		runTimeRatios:   make(map[string]float64),
		admission:       newAdmission(now),
		delays:          delayer.New(),
		speedRatios:     make(map[ratioKey]*speedRatio),
		speeds:          make(map[string]*serviceSpeeds),
		contained:       make(map[string]bool),
		probeRates:      make(map[string]float64),
		firstProbes:     make(map[string]int),
		riskBudgets:     make(map[string]int),
	}
	c.tenants.init(s.QuotaExcess)
	return c
}

// Load initializes the coordinator from a snapshot of the store. The roster in it names
// the targets on which tasks started by an earlier coordinator may still be running.
func (c *Coordinator) Load(s *keeper.Snapshot) {
	for id := range s.Cancelled {
		c.earlyCancels[id] = earlyCancel{at: c.now}
	}
	for _, e := range s.EarlyCancels {
		c.earlyCancels[e.ID] = earlyCancel{at: c.now, ofTenant: true, tenant: e.Tenant}
	}
	for i := range s.Jobs {
		id := s.Jobs[i].ID
		// A job that callers have seen ended before its cancellation was stored stays
		// in that state.
		_, ended := s.Ends[id]
		cancelled := c.takeEarlyCancel(&s.Jobs[i])
		c.addJob(&s.Jobs[i], s.Progress[id], cancelled && !ended, false)
		if c.LoadProgress != nil {
			c.LoadProgress()
		}
	}
	for id, state := range s.Ends {
		c.RestoreStoredEnd(id, state)
	}
	c.loadRoster(&s.Roster)
	c.classifyJobs()
}

// Configure applies a configuration, unless one of the same or a later version is
// already in force.
func (c *Coordinator) Configure(cfg *w.Config) {
	if c.cfg != nil && cfg.Version <= c.cfg.Version {
		return
	}
	old := c.cfg
	c.cfg = cfg
	c.configureTenants(old)
	c.admission.configure(cfg)
	c.backlogUnsorted = true
	c.mostUrgentPriority = math.MaxInt
	for i := range cfg.Queues {
		c.mostUrgentPriority = min(c.mostUrgentPriority, cfg.Queues[i].Priority)
	}
	c.generation++
}

// AddJob adds a job, which is already stored. It must be called with fresh set only if
// no earlier coordinator received the job.
func (c *Coordinator) AddJob(j *w.Job, fresh bool) {
	cancelled := c.takeEarlyCancel(j)
	known := c.jobs[j.ID] != nil
	c.addJob(j, keeper.Progress{}, cancelled, fresh)
	if e, ok := c.earlyEnds[j.ID]; ok {
		delete(c.earlyEnds, j.ID)
		if c.endRows[j.ID] {
			c.RestoreStoredEnd(j.ID, e.state)
		} else {
			c.RestoreEnd(linker.JobState{Job: j.ID, State: e.state})
		}
	}
	if added := c.jobs[j.ID]; added != nil && !known {
		added.missingFromSnapshot = !fresh
	}
	c.adoptOrphans(j.ID)
}

// JobsRead records that all jobs that were in the store at the given time were passed to
// AddJob.
func (c *Coordinator) JobsRead(at time.Time) { c.jobsReadAt = at }

// Renewed records that the store confirmed the leadership in response to a request sent
// at the given time.
func (c *Coordinator) Renewed(sent time.Time) {
	if sent.After(c.renewedAt) {
		c.renewedAt = sent
		c.generation++
	}
}

// HasJob reports whether the job is known.
func (c *Coordinator) HasJob(id w.JobID) bool { return c.jobs[id] != nil }

// SetSuspended records whether another coordinator may have taken over unnoticed. While
// suspended, this coordinator starts no tasks and extends no leases.
func (c *Coordinator) SetSuspended(suspended bool) {
	if c.suspended == suspended {
		return
	}
	c.suspended = suspended
	c.Log.Warn("coordination suspended or resumed", "epoch", c.Epoch, "suspended", suspended, "members", len(c.sortedMembers))
	for _, m := range c.sortedMembers {
		m.assignmentKey = ""
	}
	c.assignmentsStale = true
	c.generation++
}

// Advance makes all decisions that are due at the given time. Call Frames afterwards to
// collect the resulting frames.
func (c *Coordinator) Advance(now time.Time) {
	c.now = now
	c.expireTargets()
	c.activateDueOccurrences()
	if c.assignmentsStale {
		c.assignTargets()
	}
	c.stopStalledRuns()
	c.checkProbes()
	c.updateAdvisers()
	c.placeSteps()
	c.dispatchAdviceCalls()
	if !now.Before(c.pendingDue) {
		c.pendingDue = now.Add(pendingPeriod)
		c.publishPendingCounts()
		c.publishAllowances()
	}
	if !now.Before(c.gaugesDue) {
		c.gaugesDue = now.Add(gaugePeriod)
		c.reportGauges()
		c.reportTenants()
	}
	if !now.Before(c.sweepDue) {
		c.sweepDue = now.Add(sweepPeriod)
		c.sweep()
	}
	if !now.Before(c.removalDue) {
		c.removalDue = now.Add(removalPeriod)
		c.removeExpiredJobs()
		c.dropContent()
	}
}

const (
	// pendingPeriod is the interval between updates of the pending counts. It is well
	// below the 2 s by which a count may be out of date.
	pendingPeriod = 300 * time.Millisecond
	// statesPeriod is the longest time for which a job's state change is delayed to be
	// sent together with other data. It applies to instances that did not accept the
	// job.
	statesPeriod = 60 * time.Millisecond
	// progressPeriod is the interval between batches with the progress of unfinished
	// jobs. It is below the 150 ms after which targets resend unacknowledged ends.
	progressPeriod = 100 * time.Millisecond
	// rosterPeriod is the interval between checks for changes of the roster.
	rosterPeriod = 40 * time.Millisecond
	// gaugePeriod is the interval between reports of the cell's capacity and load.
	gaugePeriod = 1 * time.Second
	// sweepPeriod is the interval between removals of expired records.
	sweepPeriod = 5 * time.Second
)

// Frames returns the frames to send now, by member. The state change of a job is sent
// at once to the instance that accepted the job. Other instances get it with the next
// frame that is sent to them anyway, or after statesPeriod: with 147 instances, sending
// one frame per change to each of them took most of the leader's time.
func (c *Coordinator) Frames() map[w.InstanceID]*linker.Frame {
	var out map[w.InstanceID]*linker.Frame
	all := !c.now.Before(c.statesDue)
	if all {
		c.statesDue = c.now.Add(statesPeriod)
	}
	for id, m := range c.members {
		if len(m.pendingStates) > 0 && (all || m.sendStatesNow || m.frame != nil) {
			f := m.nextFrame()
			f.States = append(f.States, m.pendingStates...)
			f.NamesTenants = true
			m.pendingStates, m.sendStatesNow = nil, false
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

// Flush returns the next batch to be stored. It returns nil if nothing has changed or
// Stored was not called for the previous batch yet. Ends of jobs are stored at once,
// since callers wait for them. The progress of other jobs is stored every
// progressPeriod, so that a job of 100 tasks is written once for many task ends.
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
	if b.Empty() && len(b.endSeqs) == 0 && len(b.states) == 0 {
		return nil
	}
	c.inFlight = b
	return b
}

// endedBatch returns a batch with the ends of jobs only. It neither causes ends of runs
// to be acknowledged nor updates the roster, since both are safe only once the progress
// that it leaves out is stored.
func (c *Coordinator) endedBatch() *Batch {
	b := &Batch{states: c.unstoredStates}
	c.unstoredStates = nil
	for _, s := range b.states {
		if j := c.dirty[s.Job]; j != nil && j.state.Final() {
			b.addProgress(j)
			delete(c.dirty, s.Job)
		}
	}
	return b
}

// fullBatch returns a batch with all changes.
func (c *Coordinator) fullBatch() *Batch {
	c.progressDue = c.now.Add(progressPeriod)
	b := &Batch{endSeqs: c.endSeqs, states: c.unstoredStates, Remove: c.expiredJobs, RemoveEnds: c.expiredEnds, RemoveCancels: c.expiredCancels, DropContent: c.droppedContent}
	for _, j := range c.dirty {
		b.addProgress(j)
	}
	if !c.now.Before(c.rosterDue) {
		// Until it is updated, the roster lists too many targets, which is safe.
		c.rosterDue = c.now.Add(rosterPeriod)
		b.roster = c.requiredRoster()
		if b.RosterChanged = !maps.Equal(b.roster, c.roster); b.RosterChanged {
			b.Roster = b.roster.toKeeper()
		}
	}
	c.dirty = make(map[w.JobID]*job)
	c.endSeqs = make(map[w.TargetID]endSeq)
	c.unstoredStates = nil
	c.expiredJobs, c.expiredEnds, c.expiredCancels, c.droppedContent = nil, nil, nil, nil
	return b
}

// Stored records that a batch was written to the store.
func (c *Coordinator) Stored(b *Batch) {
	c.inFlight = nil
	if b.RosterChanged {
		c.roster = b.roster
		c.generation++
	}
	for id, n := range b.suspicions {
		if j := c.jobs[id]; j != nil && !b.refused[id] {
			j.suspicionsStored = n
			c.generation++
		}
	}
	c.recordRefused(b)
	for id, stored := range b.endSeqs {
		t := c.targets[id]
		if t == nil || t.Incarnation != stored.incarnation {
			continue
		}
		seq := c.ackableSeq(t, stored.seq)
		if seq <= t.ackedSeq {
			continue
		}
		t.acknowledge(seq)
		if t.member != nil {
			f := t.member.nextFrame()
			f.Acks = append(f.Acks, linker.Ack{Target: id, Incarnation: t.Incarnation, Seq: seq})
		}
	}
	for i := range b.Progress {
		if j := c.jobs[b.Progress[i].ID]; j != nil && b.Progress[i].State.Final() && !b.refused[j.ID] {
			j.endStored = true
			c.expireEndRow(j.ID)
		}
	}
	stored := slices.DeleteFunc(b.states, func(s linker.JobState) bool {
		if !b.refused[s.Job] {
			return false
		}
		c.publishUnstored([]linker.JobState{s})
		return true
	})
	c.publish(stored...)
}

// handoverMargin is the time for which an earlier coordinator that has not noticed its
// replacement may still extend leases: it suspends itself LeadershipGrace after its last
// renewal, and reports that it has confirmed until then extend leases for renewalMargin.
const handoverMargin = LeadershipGrace + renewalMargin

// LeadershipGrace is the time after its last renewal for which a leader that has lost
// most of its instances continues to act.
const LeadershipGrace = 1500 * time.Millisecond

// maxLease returns the time after which a lease has certainly expired, even on a target
// whose clock is up to 2% slow.
func (c *Coordinator) maxLease() time.Duration { return c.Lease * 103 / 100 }

// longestStop returns the time within which a run ends that its target stops, by the clocks
// of instances. Targets may list it neither as running nor as ended meanwhile.
func (c *Coordinator) longestStop() time.Duration { return c.StopTimeout * 103 / 100 }
