package dispatcher

import (
	"sync"
	"time"

	"github.com/masticlead/masticlead/claimer"
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// runState is what is known of one task of the current attempt.
type runState uint8

const (
	runPending runState = iota // ordered, or about to be
	runRunning
	runEnded
	runNotStarted // surely never ran
)

// settled reports whether the task surely uses no target any more.
func (s runState) settled() bool { return s == runEnded || s == runNotStarted }

// taskRun is one task of the current attempt.
type taskRun struct {
	id     descriptor.TaskID
	target descriptor.TargetID
	state  runState
	listed connector.ListedTask // as last seen at the target
	// lost says that the task ended without a result, because its target could
	// not be reached or forgot it.
	lost  bool
	moved bool // its target moved before its end was known
}

// claimState is the durable claim of a non-idempotent request.
type claimState struct {
	done     chan struct{} // closed when the fields below are set
	won      bool
	existing claimer.Claim
	err      error
}

// record is what the owner knows of a request.
type record struct {
	request *descriptor.Request
	claim   *claimState // nil for idempotent work
	done    chan struct{}

	mu        sync.Mutex
	unstarted *descriptor.Unstarted // set while no task can have run
	started   *descriptor.Started   // set otherwise
	// attempt counts the attempts at any instance. placed is the number that the
	// own scheduler gave to the current one.
	attempt, placed descriptor.Attempt
	tasks           []taskRun
	firstSent       time.Time
	// firstAttempt says that no earlier attempt may have run.
	firstAttempt bool
	// concluded says that what follows the current attempt has been decided.
	concluded bool
	// recovered says that the request is known only from its tasks.
	recovered bool
	// spilled says that the own scheduler doesn't hold the request, and offering
	// that a loop offers it to hosts.
	spilled, offering bool
	failures          int
	avoid             []descriptor.TargetID
	resume            bool
	cancelled         bool
	moved             bool
	outcome           descriptor.Outcome
	ended             time.Time
}

func newRecord(req *descriptor.Request) *record {
	r := &record{request: req, done: make(chan struct{}), unstarted: descriptor.NewUnstarted()}
	if !req.Idempotent {
		r.claim = &claimState{done: make(chan struct{})}
	}
	return r
}

// markRan notes that an earlier attempt has run, so that the request can't be
// refused any more.
func (r *record) markRan() {
	r.started = r.unstarted.Start()
	r.unstarted = nil
}

// finish sets the outcome. It needs r.mu.
func (r *record) finish(o descriptor.Outcome, now time.Time) {
	if r.isDone() {
		return
	}
	r.outcome = o
	r.ended = now
	close(r.done)
}

// move tells the waiting submitters that another instance owns the request now.
// It reports whether no task of the request can have run.
func (r *record) move() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone() {
		return false
	}
	r.moved = true
	close(r.done)
	return r.unstarted != nil
}

// idleAtHosts reports whether the request waits only at hosts that it was
// offered to.
func (r *record) idleAtHosts() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spilled && r.settled()
}

// avoidTarget keeps later attempts from a target.
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

// result returns the outcome after done is closed.
func (r *record) result() (descriptor.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moved {
		return descriptor.Outcome{}, ErrNotOwner
	}
	return r.outcome, nil
}

// settled reports whether no task of the current attempt can be running. It
// needs r.mu.
func (r *record) settled() bool {
	for i := range r.tasks {
		if !r.tasks[i].state.settled() {
			return false
		}
	}
	return true
}

// taskID returns the id of a task of the scheduler's current attempt that is not
// settled.
func (r *record) taskID(placed descriptor.Attempt, index int) (descriptor.TaskID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placed != placed || index >= len(r.tasks) || r.tasks[index].state.settled() {
		return "", false
	}
	return r.tasks[index].id, true
}

// shard holds the records of one slice.
type shard struct {
	slice descriptor.SliceID
	limit int

	mu        sync.Mutex
	owned     bool
	epoch     descriptor.Epoch
	seen      descriptor.Epoch // highest epoch seen of any owner
	safeFrom  time.Time
	recovered bool
	ready     chan struct{} // closed when recovered or lost
	covered   [descriptor.SliceCount]bool
	found     map[descriptor.Key][]foundTask
	records   map[descriptor.Key]*record
	past      []*record // ended records, oldest first
	// ran holds requests without a record of which an attempt has run, with the
	// time when that was seen. They may run again, but can't be refused.
	ran map[descriptor.Key]time.Time
}

// foundTask is a task that a target owner reported during recovery.
type foundTask struct {
	connector.ListedTask
	Target descriptor.TargetID `json:"target"`
	// Pending says that its start order may still be under way.
	Pending bool `json:"pending,omitempty"`
}

func (s *shard) init(slice descriptor.SliceID, limit int) {
	s.slice, s.limit = slice, limit
	s.records = map[descriptor.Key]*record{}
	s.ran = map[descriptor.Key]time.Time{}
	s.ready = make(chan struct{})
}

// gain takes the slice over under a new epoch.
func (s *shard) gain(e descriptor.Epoch, safeFrom time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned, s.recovered = true, false
	s.epoch, s.safeFrom = e, safeFrom
	s.seen = max(s.seen, e)
	s.covered = [descriptor.SliceCount]bool{}
	s.found = map[descriptor.Key][]foundTask{}
	s.ready = make(chan struct{})
}

// lose drops all records and returns those without an outcome.
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
	s.ran = map[descriptor.Key]time.Time{}
	s.past = nil
	s.found = nil
	return open
}

func (s *shard) ownership() (descriptor.Epoch, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.safeFrom, s.owned
}

// open counts the records without an outcome.
func (s *shard) open() (waiting, running int) {
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

// claimedWaiting returns the records of non-idempotent requests of which no task
// can have run.
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

// keepOutcome lets the record age. A refused request is forgotten at once, so
// that it can be sent again.
func (s *shard) keepOutcome(r *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[r.request.Key] != r {
		return
	}
	if r.outcome.Kind() == descriptor.Refused {
		delete(s.records, r.request.Key)
		return
	}
	s.past = append(s.past, r)
	if len(s.past) > s.limit {
		s.forgetOldest()
	}
}

func (s *shard) forgetOldest() {
	r := s.past[0]
	s.past = s.past[1:]
	if s.records[r.request.Key] == r {
		delete(s.records, r.request.Key)
	}
}

// prune forgets outcomes older than the retention time.
func (s *shard) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.past) > 0 && now.Sub(s.past[0].ended) > outcomeRetention {
		s.forgetOldest()
	}
	for key, seen := range s.ran {
		if now.Sub(seen) > outcomeRetention {
			delete(s.ran, key)
		}
	}
}

// record returns the record of a key, or nil.
func (d *Dispatcher) record(k descriptor.Key) *record {
	s := &d.shards[k.Slice()]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[k]
}
