package dispatcher

import (
	"sync"
	"time"

	"github.com/masticlead/masticlead/claimer"
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// runState is the known state of a task of the current attempt.
type runState uint8

const (
	runPending runState = iota // the start order was sent or is about to be
	runRunning
	runEnded
	runNotStarted // certainly never ran
)

// terminal reports whether the task certainly no longer uses its target.
func (s runState) terminal() bool { return s == runEnded || s == runNotStarted }

// taskRun is one task of the current attempt.
type taskRun struct {
	id       descriptor.TaskID
	target   descriptor.TargetID
	state    runState
	reported connector.ListedTask // latest report of the target
	// lost is set if the task ended without a result, because its target was
	// unreachable or no longer has the task.
	lost        bool
	targetMoved bool // the target changed its address before the end of the task was known
}

// claimState is the durable claim of a non-idempotent request.
type claimState struct {
	done     chan struct{} // closed once the fields below are set
	won      bool
	existing claimer.Claim
	err      error
}

// record is the owner's state of a request.
type record struct {
	request *descriptor.Request
	claim   *claimState // nil for idempotent work
	done    chan struct{}

	mu        sync.Mutex
	unstarted *descriptor.Unstarted // set while no task can have run
	started   *descriptor.Started   // set otherwise
	// attempt counts the attempts on all instances. schedulerAttempt is the number
	// that the local scheduler assigned to the current one.
	attempt, schedulerAttempt descriptor.Attempt
	tasks                     []taskRun
	firstSentAt               time.Time
	// firstAttempt is set if no earlier attempt can have run.
	firstAttempt bool
	// evaluated is set once the action after the current attempt is decided.
	evaluated bool
	// recovered is set if the record was rebuilt from the tasks of the request.
	recovered bool
	// spilled is set if the request is not in the local scheduler. offering is set
	// while spill offers the request to hosts.
	spilled, offering bool
	failures          int
	avoid             []descriptor.TargetID
	resume            bool
	cancelled         bool
	ownerChanged      bool
	outcome           descriptor.Outcome
	endedAt           time.Time
}

func newRecord(req *descriptor.Request) *record {
	r := &record{request: req, done: make(chan struct{}), unstarted: descriptor.NewUnstarted()}
	if !req.Idempotent {
		r.claim = &claimState{done: make(chan struct{})}
	}
	return r
}

// markStarted records that an earlier attempt has run, after which the request can
// no longer be refused.
func (r *record) markStarted() {
	r.started = r.unstarted.Start()
	r.unstarted = nil
}

// finish sets the outcome. The caller holds r.mu.
func (r *record) finish(o descriptor.Outcome, now time.Time) {
	if r.isDone() {
		return
	}
	r.outcome = o
	r.endedAt = now
	close(r.done)
}

// markOwnerChanged notifies waiting submitters that this instance no longer owns
// the request. It reports whether the request was open and none of its tasks can
// have run.
func (r *record) markOwnerChanged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone() {
		return false
	}
	r.ownerChanged = true
	close(r.done)
	return r.unstarted != nil
}

// waitingOnlyAtHosts reports whether the request is neither running nor in the
// local scheduler, so that it can only wait at hosts that it was offered to.
func (r *record) waitingOnlyAtHosts() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spilled && r.allTasksTerminal()
}

// avoidTarget excludes a target from later attempts.
func (r *record) avoidTarget(id descriptor.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid = append(r.avoid, id)
}

func (r *record) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// result returns the outcome. It is called after done is closed.
func (r *record) result() (descriptor.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownerChanged {
		return descriptor.Outcome{}, ErrNotOwner
	}
	return r.outcome, nil
}

// allTasksTerminal reports whether no task of the current attempt can be running.
// The caller holds r.mu.
func (r *record) allTasksTerminal() bool {
	for i := range r.tasks {
		if !r.tasks[i].state.terminal() {
			return false
		}
	}
	return true
}

// taskID returns the ID of a task of the given scheduler attempt, if that attempt
// is current and the task may be running.
func (r *record) taskID(schedulerAttempt descriptor.Attempt, index int) (descriptor.TaskID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.schedulerAttempt != schedulerAttempt || index >= len(r.tasks) || r.tasks[index].state.terminal() {
		return "", false
	}
	return r.tasks[index].id, true
}

// shard holds the records of one slice.
type shard struct {
	slice       descriptor.SliceID
	maxFinished int

	mu            sync.Mutex
	owned         bool
	epoch         descriptor.Epoch
	maxEpochSeen  descriptor.Epoch // highest epoch under which this instance acquired the slice
	safeFrom      time.Time
	recovered     bool
	ready         chan struct{} // closed once the slice is recovered or lost
	covered       [descriptor.SliceCount]bool
	reportedTasks map[descriptor.Key][]reportedTask
	records       map[descriptor.Key]*record
	finished      []*record // records with an outcome, oldest first
	// previouslyRun holds requests that have no record but of which an attempt has
	// run, with the time at which this was noticed. They may run again, but can't
	// be refused.
	previouslyRun map[descriptor.Key]time.Time
}

// reportedTask is a task that the owner of its target reports to other instances.
type reportedTask struct {
	connector.ListedTask
	Target descriptor.TargetID `json:"target"`
	// Pending is set if the result of the start order is not known.
	Pending bool `json:"pending,omitempty"`
}

func (s *shard) init(slice descriptor.SliceID, maxFinished int) {
	s.slice, s.maxFinished = slice, maxFinished
	s.records = map[descriptor.Key]*record{}
	s.previouslyRun = map[descriptor.Key]time.Time{}
	s.ready = make(chan struct{})
}

// acquire resets the shard for recovery when the slice is acquired under a new
// epoch.
func (s *shard) acquire(e descriptor.Epoch, safeFrom time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned, s.recovered = true, false
	s.epoch, s.safeFrom = e, safeFrom
	s.maxEpochSeen = max(s.maxEpochSeen, e)
	s.covered = [descriptor.SliceCount]bool{}
	s.reportedTasks = map[descriptor.Key][]reportedTask{}
	s.ready = make(chan struct{})
}

// lose drops all records when the slice is lost, and returns those without an
// outcome.
func (s *shard) lose() []*record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned && !s.recovered {
		close(s.ready)
	}
	s.owned, s.recovered = false, false
	var open []*record
	for _, r := range s.records {
		if !r.isDone() {
			open = append(open, r)
		}
	}
	s.records = map[descriptor.Key]*record{}
	s.previouslyRun = map[descriptor.Key]time.Time{}
	s.finished = nil
	s.reportedTasks = nil
	return open
}

func (s *shard) ownership() (descriptor.Epoch, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.safeFrom, s.owned
}

// countOpen counts the waiting and the running requests without an outcome.
func (s *shard) countOpen() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if r.isDone() {
			continue
		}
		r.mu.Lock()
		if r.unstarted != nil {
			waiting++
		} else {
			running++
		}
		r.mu.Unlock()
	}
	return waiting, running
}

// claimedWaiting returns the open records of non-idempotent requests none of whose
// tasks can have run.
func (s *shard) claimedWaiting() []*record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var waiting []*record
	for _, r := range s.records {
		r.mu.Lock()
		if r.claim != nil && r.unstarted != nil && !r.isDone() {
			waiting = append(waiting, r)
		}
		r.mu.Unlock()
	}
	return waiting
}

// retainFinished adds a record with an outcome to the retained records. The record
// of a refused request is dropped at once, so that the request can be submitted
// again.
func (s *shard) retainFinished(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[r.request.Key] != r {
		return
	}
	if r.outcome.Kind() == descriptor.Refused {
		delete(s.records, r.request.Key)
		return
	}
	s.finished = append(s.finished, r)
	if len(s.finished) > s.maxFinished {
		s.evictOldest()
	}
}

func (s *shard) evictOldest() {
	r := s.finished[0]
	s.finished = s.finished[1:]
	if s.records[r.request.Key] == r {
		delete(s.records, r.request.Key)
	}
}

// prune removes outcomes that are older than outcomeRetention.
func (s *shard) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.finished) > 0 && now.Sub(s.finished[0].endedAt) > outcomeRetention {
		s.evictOldest()
	}
	for key, seen := range s.previouslyRun {
		if now.Sub(seen) > outcomeRetention {
			delete(s.previouslyRun, key)
		}
	}
}

// record returns the record of a request, or nil.
func (d *Dispatcher) record(k descriptor.Key) *record {
	s := &d.shards[k.Slice()]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[k]
}
