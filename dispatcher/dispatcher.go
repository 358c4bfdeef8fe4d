// Package dispatcher runs requests: it keeps a record for each request of the
// slices that its instance owns, sends start orders to the targets that it owns,
// follows the tasks until they end, and finds running work again after a change
// of owner.
//
// Safety rests on three rules. A start order is sent only under a valid grant
// for both the slice of the request and the slice of the target, and its start
// deadline ends inside both. A request runs again only after every task of its
// earlier attempts has surely ended. A slice answers for its requests only after
// all current owners of targets have reported the tasks that belong to it.
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

// Errors of Submit, Status and Cancel.
var (
	// ErrPending means that the request has no outcome yet.
	ErrPending = errors.New("request has no outcome yet")
	// ErrRecovering means that the owner doesn't know yet what runs.
	ErrRecovering = errors.New("slice is recovering")
	// ErrNotFound means that the owner has no record of the request.
	ErrNotFound = errors.New("request not found")
	// ErrNotOwner means that this instance doesn't own the request.
	ErrNotOwner = errors.New("instance does not own the slice of the request")
	// ErrNoRules means that the instance has no rules yet.
	ErrNoRules = errors.New("no rules are in force yet")
)

// Owners tells which slices this instance and others own.
type Owners interface {
	Grant(s descriptor.SliceID) (leaser.Grant, bool)
	Owner(s descriptor.SliceID) (descriptor.InstanceID, descriptor.Epoch, bool)
	Changes() <-chan leaser.Change
}

// Claims makes non-idempotent work durable before its first start.
type Claims interface {
	Claim(ctx context.Context, key descriptor.Key) (won bool, existing claimer.Claim, err error)
	Record(ctx context.Context, key descriptor.Key, o descriptor.Outcome) error
	Withdraw(ctx context.Context, key descriptor.Key) error
}

// Peers reaches the other instances of the data centre.
type Peers interface {
	SliceTasks(ctx context.Context, to descriptor.InstanceID, req SliceTasksRequest) (SliceTasksReply, error)
	Offer(ctx context.Context, to descriptor.InstanceID, req OfferRequest) (OfferReply, error)
	Confirm(ctx context.Context, to descriptor.InstanceID, req ConfirmRequest) (ConfirmReply, error)
	Report(ctx context.Context, to descriptor.InstanceID, req ReportRequest) (ReportReply, error)
	Stop(ctx context.Context, to descriptor.InstanceID, req StopRequest) (StopReply, error)
}

// Config is what a Dispatcher needs. Zero durations take the defaults.
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
	// Loads returns what the other instances of the data centre say about their
	// load; nil if nothing is offered to them.
	Loads func() []PeerLoad
	Scope tally.Scope
	Log   *slog.Logger

	// TaskLease is how long a task runs without a renewal. It must be longer
	// than a takeover, or running work ends when its owner dies.
	TaskLease time.Duration
	// PollWait is how long a target may hold a poll for events, and so the time
	// after which a leaving target is noticed.
	PollWait time.Duration
	// StartWindow bounds how long a start order may be under way.
	StartWindow time.Duration
	// DirectoryInterval is how often the list of targets is read.
	DirectoryInterval time.Duration
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
	// MaxOutcomes bounds the outcomes kept for late callers.
	MaxOutcomes int
	// MaxAttempts bounds the attempts at an idempotent request.
	MaxAttempts int
}

func (c *Config) setDefaults() {
	c.TaskLease = cmp.Or(c.TaskLease, 18*time.Second) // as the settings: three leases
	c.PollWait = cmp.Or(c.PollWait, 2*time.Second)
	c.StartWindow = cmp.Or(c.StartWindow, 2*time.Second)
	c.DirectoryInterval = cmp.Or(c.DirectoryInterval, 3*time.Second)
	c.ClaimTimeout = cmp.Or(c.ClaimTimeout, 3*time.Second)
	c.MaxOutcomes = cmp.Or(c.MaxOutcomes, 100_000)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 3)
}

// outcomeRetention is how long an outcome is kept. Targets keep results for as
// long, so a new owner can still answer.
const outcomeRetention = 10 * time.Minute

// Dispatcher runs the requests of one instance.
type Dispatcher struct {
	cfg    Config
	shards [descriptor.SliceCount]shard
	// ctx ends when Close is called, and bounds all background work.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	workers   map[descriptor.TargetID]*targetWorker
	listed    map[descriptor.TargetID]descriptor.Target
	listKnown bool
	draining  bool

	recoverNow chan struct{}
	guests     guests
	offered    atomic.Int64
	recording  atomic.Int64 // outcomes that are being made durable
}

// retryReasons are the reasons of the counter of retries. They are registered at
// the start, so that a reason that has not occurred is shown as 0.
var retryReasons = []string{
	"ownerUnconfirmed", "notStarted", "checkpointed", "failed", "targetLost", "gangIncomplete", "leaseExpired",
}

// New returns a dispatcher that does nothing until Run.
func New(cfg Config) *Dispatcher {
	cfg.setDefaults()
	d := &Dispatcher{
		cfg:        cfg,
		workers:    map[descriptor.TargetID]*targetWorker{},
		listed:     map[descriptor.TargetID]descriptor.Target{},
		recoverNow: make(chan struct{}, 1),
		guests:     guests{byKey: map[descriptor.Key]*guest{}},
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

// Run works until ctx ends or Close is called.
func (d *Dispatcher) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.cancel)
	defer stop()
	loops := []func(){d.followOwnership, d.followDirectory, d.dispatch, d.maintain, d.recover, d.followForeign}
	for _, loop := range loops {
		d.wg.Go(loop)
	}
	<-d.ctx.Done()
	d.wg.Wait()
	return nil
}

// Close stops all background work and waits for it. Tasks go on running at
// their targets, where the next owner finds them.
func (d *Dispatcher) Close() error {
	d.cancel()
	d.wg.Wait()
	return nil
}

// sleep waits for the duration. It reports false when the dispatcher closes.
func (d *Dispatcher) sleep(wait time.Duration) bool {
	select {
	case <-d.cfg.Clock.After(wait):
		return true
	case <-d.ctx.Done():
		return false
	}
}

// followOwnership applies the changes of slice owners in their order.
func (d *Dispatcher) followOwnership() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case c, ok := <-d.cfg.Owners.Changes():
			if !ok {
				return
			}
			if c.Owned {
				d.gain(c)
			} else {
				d.lose(c.Slice)
			}
		}
	}
}

// gain starts to recover a slice and to follow its targets. Guests of the slice
// that wait are dropped: the scheduler knows a request by its key, so a guest would
// stand in the way of the request that is now our own.
func (d *Dispatcher) gain(c leaser.Change) {
	for _, key := range d.guests.takeWaiting(c.Slice) {
		d.cfg.Scheduler.Cancel(key)
	}
	d.shards[c.Slice].gain(c.Epoch, c.SafeFrom)
	d.startWorkers(nil)
	d.wakeRecovery()
}

// lose drops everything of a slice. Waiting submitters are sent to the new
// owner; running tasks go on and are found by it.
func (d *Dispatcher) lose(s descriptor.SliceID) {
	d.stopWorkers(func(t descriptor.TargetID) bool { return t.Slice() == s })
	for _, r := range d.shards[s].lose() {
		d.cfg.Scheduler.Cancel(r.request.Key)
		unstarted := r.move()
		if unstarted && r.claim != nil {
			d.wg.Go(func() { d.withdraw(r) })
		}
	}
	d.cfg.Log.Debug("dispatcher: slice lost", "slice", s)
}

func (d *Dispatcher) wakeRecovery() {
	select {
	case d.recoverNow <- struct{}{}:
	default:
	}
}

// batchSize bounds the placements that are taken from the scheduler at once.
const batchSize = 64

// dispatchInterval is the time after which the scheduler is asked without a
// signal, since time alone makes some work placeable.
const dispatchInterval = 100 * time.Millisecond

// dispatch starts what the scheduler places.
func (d *Dispatcher) dispatch() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.cfg.Scheduler.Ready():
		case <-d.cfg.Clock.After(dispatchInterval):
		}
		if d.isDraining() {
			continue
		}
		for {
			placements := d.cfg.Scheduler.Next(batchSize)
			for _, p := range placements {
				d.wg.Go(func() { d.start(p) })
			}
			if len(placements) < batchSize {
				break
			}
		}
	}
}

// maintain ends waiting requests that can't make their deadline, sends
// directives to running work, and forgets old outcomes.
func (d *Dispatcher) maintain() {
	nextPrune := d.cfg.Clock.Now()
	for d.sleep(50 * time.Millisecond) {
		for _, e := range d.cfg.Scheduler.Expire() {
			if r := d.record(e.Key); r != nil {
				d.refuse(r, e.Refusal)
			} else {
				d.expireGuest(e.Key)
			}
		}
		for _, o := range d.cfg.Scheduler.Directives() {
			d.wg.Go(func() { d.direct(o) })
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

// pruneInterval is the time between two looks for old outcomes.
const pruneInterval = 5 * time.Second

// direct sends a directive to a running task of this owner.
func (d *Dispatcher) direct(o scheduler.Directive) {
	w := d.worker(o.Target)
	r := d.record(o.Key)
	if w == nil || r == nil {
		return
	}
	id, ok := r.taskID(o.Attempt, o.Index)
	if !ok {
		return
	}
	d.cfg.Scope.Tagged(map[string]string{"directive": string(o.Directive)}).Counter("directives").Inc(1)
	ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
	defer cancel()
	if _, err := w.conn.Direct(ctx, id, o.Directive); err != nil {
		d.cfg.Log.Warn("dispatcher: directive failed", "target", o.Target, "task", id, "error", err)
	}
}

// Recovered reports how many of the owned slices have been recovered.
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

// combine returns the result of a request from the results of its tasks: that
// of the only task, or a list in the order of the tasks.
func combine(tasks []taskRun) json.RawMessage {
	if len(tasks) == 1 {
		return tasks[0].listed.Result
	}
	results := make([]json.RawMessage, len(tasks))
	for i, t := range tasks {
		results[i] = t.listed.Result
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
