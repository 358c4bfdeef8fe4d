// Package dispatcher executes requests. It keeps a record of each request in the
// slices that its instance owns, sends start orders to the targets that the
// instance owns, tracks the tasks until they end, and recovers running tasks
// after a change of owner.
//
// Three rules keep execution safe:
//
//   - A start order is sent only under valid grants for the slice of the request
//     and the slice of the target, and its start deadline is within both.
//   - A request is attempted again only once every task of its earlier attempts
//     has certainly ended.
//   - The owner of a slice accepts submissions and queries for its requests only
//     after all current owners of targets have reported the tasks of that slice.
package dispatcher

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/claimer"
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/leaser"
	"github.com/masticlead/masticlead/scheduler"
)

// Errors returned by Begin, Submit, Find and Cancel.
var (
	// ErrPending means that the request has no outcome yet.
	ErrPending = errors.New("request has no outcome yet")
	// ErrRecovering means that the owner does not know yet which tasks of the
	// slice are running.
	ErrRecovering = errors.New("slice is recovering")
	// ErrNotFound means that the owner has no record of the request.
	ErrNotFound = errors.New("request not found")
	// ErrNotOwner means that this instance does not own the slice of the request.
	ErrNotOwner = errors.New("instance does not own the slice of the request")
	// ErrNoRules means that the instance has not loaded any rules yet.
	ErrNoRules = errors.New("no rules are in force yet")
)

// Owners provides the ownership of slices by this and other instances.
type Owners interface {
	Grant(s descriptor.SliceID) (leaser.Grant, bool)
	Owner(s descriptor.SliceID) (descriptor.InstanceID, descriptor.Epoch, bool)
	Changes() <-chan leaser.Change
}

// Claims stores durable claims, which keep a non-idempotent request from being
// started more than once.
type Claims interface {
	Claim(ctx context.Context, key descriptor.Key) (won bool, existing claimer.Claim, err error)
	Record(ctx context.Context, key descriptor.Key, o descriptor.Outcome) error
	Withdraw(ctx context.Context, key descriptor.Key) error
}

// Peers calls the other instances of the data centre.
type Peers interface {
	SliceTasks(ctx context.Context, to descriptor.InstanceID, req SliceTasksRequest) (SliceTasksReply, error)
	Offer(ctx context.Context, to descriptor.InstanceID, req OfferRequest) (OfferReply, error)
	Confirm(ctx context.Context, to descriptor.InstanceID, req ConfirmRequest) (ConfirmReply, error)
	Report(ctx context.Context, to descriptor.InstanceID, req ReportRequest) (ReportReply, error)
	Stop(ctx context.Context, to descriptor.InstanceID, req StopRequest) (StopReply, error)
}

// Config holds the dependencies and settings of a Dispatcher. Zero durations and
// limits take the defaults.
type Config struct {
	Clock      clockwork.Clock
	Self       descriptor.InstanceID
	DataCentre descriptor.DataCentreID
	Scheduler  *scheduler.Scheduler
	Owners     Owners
	Claims     Claims
	Peers      Peers
	Directory  connector.Directory
	Dialer     connector.Dialer
	Rules      func() *descriptor.Rules
	// Loads returns the load that the other instances of the data centre report.
	// If nil, no requests are offered to them.
	Loads func() []PeerLoad
	Scope tally.Scope
	Log   *slog.Logger

	// TaskLease is how long a task runs without a renewal. It must be longer
	// than a takeover, or running tasks expire when their owner fails.
	TaskLease time.Duration
	// PollWait is the long-poll timeout for target events. It bounds the delay
	// until a leaving target is noticed.
	PollWait time.Duration
	// StartWindow is the maximum time between sending a start order and its start
	// deadline.
	StartWindow time.Duration
	// DirectoryInterval is the polling interval of the platform directory.
	DirectoryInterval time.Duration
	// ClaimTimeout is the timeout for writing or withdrawing a claim.
	ClaimTimeout time.Duration
	// MaxOutcomes is the maximum number of outcomes that are retained for late or
	// repeated submissions.
	MaxOutcomes int
	// MaxAttempts is the number of failed attempts after which an idempotent
	// request fails.
	MaxAttempts int
}

func (c *Config) setDefaults() {
	c.TaskLease = cmp.Or(c.TaskLease, 18*time.Second) // three instance leases, as in the default settings
	c.PollWait = cmp.Or(c.PollWait, 2*time.Second)
	c.StartWindow = cmp.Or(c.StartWindow, 2*time.Second)
	c.DirectoryInterval = cmp.Or(c.DirectoryInterval, 3*time.Second)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, 3*time.Second)
	c.MaxOutcomes = cmp.Or(c.MaxOutcomes, 100_000)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 3)
}

// outcomeRetention is how long outcomes are retained in memory. Targets retain
// results for the same time, so that a new owner can still return them.
const outcomeRetention = 10 * time.Minute

// Dispatcher executes the requests of one instance.
type Dispatcher struct {
	cfg    Config
	shards [descriptor.SliceCount]shard
	// ctx is cancelled by Close and bounds all background work.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	workers       map[descriptor.TargetID]*targetWorker
	listedTargets map[descriptor.TargetID]descriptor.Target
	directoryRead bool
	draining      bool

	recoverySignal       chan struct{}
	hosted               hostedRequests
	spilledRequests      atomic.Int64
	pendingOutcomeWrites atomic.Int64 // outcomes that are being stored in claims
	// startsInProgress counts the placements whose orders are being sent, and the
	// rounds in which placements are taken from the scheduler.
	startsInProgress atomic.Int64
}

// retryReasons are the values of the reason tag of the retries counter. They are
// registered at startup, so that a reason that has not occurred is exported as 0.
var retryReasons = []string{
	"ownerUnconfirmed", "notStarted", "checkpointed", "failed", "targetLost", "gangIncomplete", "leaseExpired",
}

// New returns a Dispatcher. It does no work until Run is called.
func New(cfg Config) *Dispatcher {
	cfg.setDefaults()
	d := &Dispatcher{
		cfg:            cfg,
		workers:        map[descriptor.TargetID]*targetWorker{},
		listedTargets:  map[descriptor.TargetID]descriptor.Target{},
		recoverySignal: make(chan struct{}, 1),
		hosted:         hostedRequests{byKey: map[descriptor.Key]*hostedRequest{}},
	}
	for _, reason := range retryReasons {
		cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("retries")
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	for i := range d.shards {
		d.shards[i].init(descriptor.SliceID(i), max(1, cfg.MaxOutcomes/descriptor.SliceCount))
	}
	return d
}

// Run runs the background loops until ctx ends or Close is called.
func (d *Dispatcher) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.cancel)
	defer stop()
	loops := []func(){d.watchOwnership, d.pollDirectory, d.dispatchLoop, d.maintenanceLoop, d.recoveryLoop, d.pollRemoteTasks}
	for _, loop := range loops {
		d.wg.Go(loop)
	}
	<-d.ctx.Done()
	d.wg.Wait()
	return nil
}

// Close stops all background work and waits for it to end. Tasks keep running on
// their targets, from which the next owner recovers them.
func (d *Dispatcher) Close() error {
	d.cancel()
	d.wg.Wait()
	return nil
}

// sleep waits for the given duration. It returns false if the dispatcher is
// closed first.
func (d *Dispatcher) sleep(wait time.Duration) bool {
	select {
	case <-d.cfg.Clock.After(wait):
		return true
	case <-d.ctx.Done():
		return false
	}
}

// watchOwnership applies changes of slice ownership in order.
func (d *Dispatcher) watchOwnership() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case c, ok := <-d.cfg.Owners.Changes():
			if !ok {
				return
			}
			if c.Owned {
				d.acquireSlice(c)
			} else {
				d.loseSlice(c.Slice)
			}
		}
	}
}

// acquireSlice starts the recovery of a slice and the workers of its targets.
// Waiting hosted requests of the slice are dropped: the scheduler identifies
// requests by key, so a hosted request would block the same request once this
// instance owns it.
func (d *Dispatcher) acquireSlice(c leaser.Change) {
	for _, key := range d.hosted.removeWaiting(c.Slice) {
		d.cfg.Scheduler.Cancel(key)
	}
	d.shards[c.Slice].acquire(c.Epoch, c.SafeFrom)
	d.startWorkers(nil)
	d.triggerRecovery()
}

// loseSlice drops the state of a slice. Waiting submitters get ErrNotOwner;
// running tasks continue and are recovered by the new owner.
func (d *Dispatcher) loseSlice(s descriptor.SliceID) {
	d.stopWorkers(func(t descriptor.TargetID) bool { return t.Slice() == s })
	for _, r := range d.shards[s].lose() {
		d.cfg.Scheduler.Cancel(r.request.Key)
		unstarted := r.markOwnerChanged()
		if unstarted && r.claim != nil {
			d.wg.Go(func() { d.withdraw(r) })
		}
	}
	d.cfg.Log.Debug("dispatcher: slice lost", "slice", s)
}

func (d *Dispatcher) triggerRecovery() {
	select {
	case d.recoverySignal <- struct{}{}:
	default:
	}
}

// maxPlacementBatch is the maximum number of placements taken from the scheduler
// in one call.
const maxPlacementBatch = 64

// dispatchInterval is the interval at which the scheduler is polled without a
// ready signal, since some requests become placeable merely as time passes.
const dispatchInterval = 100 * time.Millisecond

// dispatchLoop starts the placements made by the scheduler.
func (d *Dispatcher) dispatchLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.cfg.Scheduler.Ready():
		case <-d.cfg.Clock.After(dispatchInterval):
		}
		if d.beginStarts() {
			d.startPlacements()
			d.startsInProgress.Add(-1)
		}
	}
}

// startPlacements starts all placements that the scheduler can make now.
func (d *Dispatcher) startPlacements() {
	for {
		placements := d.cfg.Scheduler.Next(maxPlacementBatch)
		for _, p := range placements {
			d.startsInProgress.Add(1)
			d.wg.Go(func() {
				defer d.startsInProgress.Add(-1)
				d.startPlacement(p)
			})
		}
		if len(placements) < maxPlacementBatch {
			return
		}
	}
}

// maintenanceLoop refuses waiting requests that can no longer meet their
// deadline, sends directives to running tasks, and prunes old outcomes.
func (d *Dispatcher) maintenanceLoop() {
	nextPrune := d.cfg.Clock.Now()
	for d.sleep(50 * time.Millisecond) {
		for _, e := range d.cfg.Scheduler.Expire() {
			if r := d.record(e.Key); r != nil {
				d.refuse(r, e.Refusal)
			} else {
				d.expireHosted(e.Key)
			}
		}
		for _, directive := range d.cfg.Scheduler.Directives() {
			d.wg.Go(func() { d.sendDirective(directive) })
		}
		now := d.cfg.Clock.Now()
		if now.Before(nextPrune) {
			continue
		}
		nextPrune = now.Add(pruneInterval)
		for i := range d.shards {
			d.shards[i].prune(now)
		}
	}
}

// pruneInterval is the interval at which old outcomes are pruned.
const pruneInterval = 5 * time.Second

// sendDirective sends a directive to a running task if this instance owns both
// the request and the target.
func (d *Dispatcher) sendDirective(directive scheduler.Directive) {
	w := d.worker(directive.Target)
	r := d.record(directive.Key)
	if w == nil || r == nil {
		return
	}
	id, ok := r.taskID(directive.Attempt, directive.Index)
	if !ok {
		return
	}
	d.cfg.Scope.Tagged(map[string]string{"directive": string(directive.Directive)}).Counter("directives").Inc(1)
	ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
	defer cancel()
	if _, err := w.conn.SendDirective(ctx, id, directive.Directive); err != nil {
		d.cfg.Log.Warn("dispatcher: failed to send directive", "target", directive.Target, "task", id, "error", err)
	}
}

// Recovered returns the number of owned slices that have been recovered and the
// number of owned slices.
func (d *Dispatcher) Recovered() (recovered, owned int) {
	for i := range d.shards {
		sh := &d.shards[i]
		sh.mu.Lock()
		if sh.owned {
			owned++
			if sh.recovered {
				recovered++
			}
		}
		sh.mu.Unlock()
	}
	return recovered, owned
}

// combineResults returns the result of a request: the result of its only task, or
// a JSON array of the results of all tasks in order.
func combineResults(tasks []taskRun) json.RawMessage {
	if len(tasks) == 1 {
		return tasks[0].reported.Result
	}
	results := make([]json.RawMessage, len(tasks))
	for i, t := range tasks {
		results[i] = t.reported.Result
		if results[i] == nil {
			results[i] = json.RawMessage("null")
		}
	}
	b, err := json.Marshal(results)
	if err != nil {
		return nil
	}
	return b
}
