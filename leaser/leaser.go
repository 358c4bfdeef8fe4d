// Package leaser gives an instance exclusive ownership of slices of its data
// centre through leases that are stored in the table service.
//
// Each instance has a session row, whose version fences its writes, and a renewal
// row, which it rewrites every renewal interval. A slice row names the owner of
// the slice and the epoch, which is the fencing token of the owner. A slice is
// transferred either by its owner or in the transaction that removes the owner's
// session, which is only sent after the owner's lease has ended.
package leaser

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/storer"
)

// Default durations for an installation of a few instances.
const (
	DefaultLeaseDuration   = 6 * time.Second
	DefaultRenewalInterval = 2 * time.Second
	DefaultPromiseDuration = 3 * time.Second
	DefaultMaxExtension    = time.Hour
)

// ErrClosed means that the leaser has been closed or, from Forget, that it has no
// session.
var ErrClosed = errors.New("leaser: closed")

// Session identifies an incarnation of this instance. A write that only this
// incarnation may make must be conditional on Row having Version.
type Session struct {
	Instance    descriptor.InstanceID  `json:"instance"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	Row         connector.RowKey       `json:"row"`
	Version     connector.RowVersion   `json:"version"`
}

// Grant permits the use of a slice until a time on Config.Clock. An order sent
// under it must not be started after Until. The conversion of Until to a target's
// clock must subtract a margin of 1% for the difference in clock rates.
type Grant struct {
	Slice descriptor.SliceID
	Epoch descriptor.Epoch
	Until time.Time
}

// Change reports that this instance acquired or lost a slice.
type Change struct {
	Slice descriptor.SliceID
	Epoch descriptor.Epoch
	Owned bool
	// SafeFrom is the time from which no order of a previous owner can be
	// started. It is set if Owned is true.
	SafeFrom time.Time
}

// Config holds the settings of a Leaser. Alive, Scope and Log may be nil.
type Config struct {
	Clock       clockwork.Clock
	Rand        *rand.Rand
	Table       connector.Table
	Peers       Peers
	Instance    descriptor.InstanceID
	DataCentre  descriptor.DataCentreID
	PeerAddress string

	// LeaseDuration is how long a renewal is valid after it was sent.
	LeaseDuration time.Duration
	// RenewalInterval is the mean time between renewals.
	RenewalInterval time.Duration
	// PromiseDuration is how long a promise is valid after its request was sent.
	// New limits it to LeaseDuration.
	PromiseDuration time.Duration
	// MaxExtension bounds how long promises can extend a lease after the last
	// successful renewal was sent.
	MaxExtension time.Duration

	// Alive lists the instances of this data centre that the failure detector
	// considers alive.
	Alive func() []descriptor.InstanceID
	Scope tally.Scope
	Log   *slog.Logger
}

// Leaser maintains the session and the slice ownership of one instance.
type Leaser struct {
	cfg     Config
	metrics metrics
	changes *changeQueue

	randMu sync.Mutex

	// snapshot lets Grant run without locking mu.
	snapshot atomic.Pointer[grantSnapshot]
	// latestGrantEnd is, for each slice, the latest end of any grant issued for
	// it, in nanoseconds after baseTime.
	latestGrantEnd [descriptor.SliceCount]atomic.Int64
	baseTime       time.Time

	mu      sync.Mutex
	current *sessionState // nil while there is no session
	// lastIncarnation is the highest incarnation that this process has tried to
	// register.
	lastIncarnation descriptor.Incarnation
	slices          [descriptor.SliceCount]sliceState
	commitments     commitments
	members         map[descriptor.InstanceID]*member
	// alive is the result of the last call of Config.Alive; nil if there is none.
	alive map[descriptor.InstanceID]bool
	// lastPlan is the assignment computed by the last call of rebalance.
	lastPlan assignment
	// closing is set when Close is called or Run returns; no grants are issued and
	// no slices are acquired any more.
	closing bool
	started bool

	wake      chan struct{} // signalled by Wake
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when Run returns
	closeOnce sync.Once
}

// sessionState is the state of one incarnation, discarded when its session is
// lost. It is guarded by Leaser.mu.
type sessionState struct {
	session Session
	// renewalVersion is the version of the last renewal row known to have been
	// written by this incarnation.
	renewalVersion connector.RowVersion
	sequence       uint64 // of the last renewal sent
	// ackedSequence is the sequence of the last renewal known to have succeeded,
	// and ackedSentAt is when it was sent.
	ackedSequence uint64
	ackedSentAt   time.Time
	// attempts holds the renewals that may have taken effect, by sequence,
	// including the last one known to have succeeded.
	attempts map[uint64]renewalAttempt
	// membersScanned is set once the renewal rows have been read after the
	// session was registered.
	membersScanned bool
	// extendedUntil is the end of the lease extension that promises allow.
	extendedUntil time.Time
	// promisedUntil is the end of the last promise of each instance.
	promisedUntil map[descriptor.InstanceID]time.Time
	owned         map[descriptor.SliceID]ownedSlice
}

// renewalAttempt is a renewal that was sent. members is the list in its row.
type renewalAttempt struct {
	sentAt  time.Time
	members []descriptor.InstanceID
}

// ownedSlice is a slice that the slice row assigns to this incarnation.
type ownedSlice struct {
	epoch    descriptor.Epoch
	version  connector.RowVersion
	safeFrom time.Time
	// withheld is set while no grants may be issued for the slice, because a
	// write that transfers it may still take effect or the leaser is closing.
	withheld bool
}

// New returns a Leaser. It does nothing until Run is called.
func New(cfg Config) *Leaser {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	cfg.Log = cfg.Log.With("component", "leaser", "instance", cfg.Instance)
	// An extension relies on promises from the members listed in the renewals sent
	// so far. If it could outlast a lease, an instance could take over after
	// waiting for the lease of a later renewal with a different member list.
	cfg.PromiseDuration = min(cfg.PromiseDuration, cfg.LeaseDuration)
	now := cfg.Clock.Now()
	l := &Leaser{
		cfg:         cfg,
		metrics:     newMetrics(cfg.Scope),
		changes:     newChangeQueue(),
		baseTime:    now,
		members:     map[descriptor.InstanceID]*member{},
		commitments: newCommitments(now),
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	l.snapshot.Store(&grantSnapshot{})
	return l
}

// Run registers a session, renews it and acquires, hands over and takes over
// slices until the context is done or Close is called. It replaces a lost session
// by a new one.
func (l *Leaser) Run(ctx context.Context) error {
	if err := l.markStarted(); err != nil {
		return err
	}
	defer close(l.done)
	// All store calls of the leaser have the renewal class, takeovers and
	// handovers too: under load, claims can use up the instance's share of the
	// store budget and would starve calls of a lower class.
	ctx, cancel := context.WithCancel(storer.WithClass(ctx, storer.ClassRenewal))
	defer cancel()
	go func() {
		select {
		case <-l.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	// Spread out registration: instances that restart together share the write
	// budget of the data centre, about one write per second and instance.
	l.sleep(ctx, l.jitter(l.cfg.RenewalInterval/4, 1))
	for ctx.Err() == nil {
		if !l.register(ctx) {
			break
		}
		l.runSession(ctx)
	}
	l.revokeGrants()
	return nil
}

func (l *Leaser) markStarted() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return ErrClosed
	}
	if l.started {
		return errors.New("leaser: Run called twice")
	}
	l.started = true
	return nil
}

// runSession runs the loops of the current session until it is lost.
func (l *Leaser) runSession(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { l.promiseLoop(ctx) })
	wg.Go(func() {
		defer cancel()
		l.renewLoop(ctx)
	})
	l.reconcileLoop(ctx)
	cancel()
	wg.Wait()
}

// Session returns the current session, if there is one. Writes that are
// conditional on its row fail once the session has been removed.
func (l *Leaser) Session() (Session, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return Session{}, false
	}
	return l.current.session, true
}

// Owner returns the last known owner of a slice.
func (l *Leaser) Owner(s descriptor.SliceID) (descriptor.InstanceID, descriptor.Epoch, bool) {
	if int(s) >= descriptor.SliceCount {
		return "", 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.slices[s].row
	return row.Owner, row.Epoch, row.Owner != ""
}

// Wake triggers a read of the rows ahead of schedule. Callers use it when the
// failure detector reports that an instance of the data centre joined, is leaving
// or has failed, so that its slices don't wait for the next regular read. It never
// blocks.
func (l *Leaser) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Changes returns the channel of ownership changes, in order. No change is
// dropped, so the channel must be read until it is closed, after Close.
func (l *Leaser) Changes() <-chan Change { return l.changes.out }

// addOwned records that this incarnation owns a slice and publishes the change.
// The caller holds mu.
func (l *Leaser) addOwned(s descriptor.SliceID, o ownedSlice) {
	if l.closing {
		o.withheld = true
		l.current.owned[s] = o
		return
	}
	l.current.owned[s] = o
	l.publishSnapshot()
	l.changes.push(Change{Slice: s, Epoch: o.epoch, Owned: true, SafeFrom: o.safeFrom})
}

// removeOwned records that this incarnation no longer owns a slice and publishes
// the change. The caller holds mu.
func (l *Leaser) removeOwned(s descriptor.SliceID) {
	o, ok := l.current.owned[s]
	if !ok {
		return
	}
	delete(l.current.owned, s)
	l.publishSnapshot()
	if !o.withheld {
		l.changes.push(Change{Slice: s, Epoch: o.epoch})
	}
}

// dropSession discards the session and all its slices. The caller holds mu.
func (l *Leaser) dropSession(c *sessionState) {
	if l.current != c {
		return
	}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		l.removeOwned(s)
	}
	l.current = nil
	l.publishSnapshot()
}

// handleSessionLoss discards a session whose row no longer exists.
func (l *Leaser) handleSessionLoss(c *sessionState) {
	l.cfg.Log.Warn("session was removed by another instance", "incarnation", c.session.Incarnation)
	l.metrics.sessionsLost.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSession(c)
}

// jitter returns a random duration from d-d/divisor to d+d/divisor.
func (l *Leaser) jitter(d time.Duration, divisor int64) time.Duration {
	span := int64(d) / divisor
	if span <= 0 {
		return d
	}
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return d - time.Duration(span) + time.Duration(l.cfg.Rand.Int64N(2*span+1))
}

// sleepOrWake is like sleep, but returns early after a call of Wake.
func (l *Leaser) sleepOrWake(ctx context.Context, d time.Duration) bool {
	timer := l.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	case <-l.wake:
		// Add jitter: all instances of the data centre are woken at the same time.
		return l.sleep(ctx, min(d, l.jitter(l.cfg.RenewalInterval/16, 1)))
	}
}

// sleep waits for d and reports whether the context is still active.
func (l *Leaser) sleep(ctx context.Context, d time.Duration) bool {
	timer := l.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
