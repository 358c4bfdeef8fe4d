// Package leaser gives an instance exclusive ownership of slices of its data
// centre by leases in the table service.
//
// The instance owns a session row, which fences its writes, and rewrites a
// renewal row every renewal period. Slice rows name their owner and epoch. A
// slice is only moved by its owner, or together with the removal of its owner's
// session after the owner's lease has surely ended.
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

// Default durations for a cell of a few instances.
const (
	DefaultLease        = 6 * time.Second
	DefaultRenewal      = 2 * time.Second
	DefaultPromise      = 3 * time.Second
	DefaultMaxExtension = time.Hour
)

// ErrClosed means that the leaser has been closed.
var ErrClosed = errors.New("leaser: closed")

// Session identifies an incarnation of this instance. Row and Version are the
// fence for writes that only this incarnation may make.
type Session struct {
	Instance    descriptor.InstanceID  `json:"instance"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	Row         connector.RowKey       `json:"row"`
	Version     connector.RowVersion   `json:"version"`
}

// Grant is the right to use a slice until a time on the injected clock. An
// order sent under it must not be started after Until. The conversion to a
// target's clock must subtract the clock margin of 1%.
type Grant struct {
	Slice descriptor.SliceID
	Epoch descriptor.Epoch
	Until time.Time
}

// Change says that a slice was gained or lost.
type Change struct {
	Slice descriptor.SliceID
	Epoch descriptor.Epoch
	Owned bool
	// SafeFrom is when no order of a previous owner can be started any more.
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

	// Lease is how long a successful renewal is valid, from its send.
	Lease time.Duration
	// Renewal is the mean time between renewals.
	Renewal time.Duration
	// Promise is how long a promise is valid, from the send of its request.
	Promise time.Duration
	// MaxExtension bounds the time without a successful renewal.
	MaxExtension time.Duration

	// Alive lists the live instances of this data centre by heartbeats.
	Alive func() []descriptor.InstanceID
	Scope tally.Scope
	Log   *slog.Logger
}

// Leaser holds the session and the slices of one instance.
type Leaser struct {
	cfg     Config
	metrics metrics
	changes *changeQueue

	rngMu sync.Mutex

	// view is what Grant reads without a lock.
	view atomic.Pointer[view]
	// granted holds for each slice the latest end of a grant that was handed
	// out, in nanoseconds after base.
	granted [descriptor.SliceCount]atomic.Int64
	base    time.Time

	mu      sync.Mutex
	current *incarnation // nil while there is no session
	// last is the highest incarnation number that this process has tried.
	last    descriptor.Incarnation
	slices  [descriptor.SliceCount]sliceState
	pledges pledges
	members map[descriptor.InstanceID]*member
	// alive holds the live instances by heartbeats; nil if they are not known.
	alive map[descriptor.InstanceID]bool
	// planned is the assignment of the last round.
	planned assignment
	// closing is set by Close; no slice is taken any more.
	closing bool
	started bool

	wake chan struct{} // asks for a read
	stop chan struct{} // closed by Close
	done chan struct{} // closed when Run has ended
	once sync.Once
}

// incarnation is the state that is dropped when the session is lost. It is
// guarded by Leaser.mu.
type incarnation struct {
	session Session
	// renewalVersion is the version of the last renewal row known to be ours.
	renewalVersion connector.RowVersion
	sequence       uint64
	// acked is the sequence of the last renewal known to have succeeded, and
	// ackedSent is when it was sent.
	acked     uint64
	ackedSent time.Time
	// attempts holds the renewals that may have taken effect, by sequence. It
	// includes the acknowledged one.
	attempts map[uint64]attempt
	// scanned is set once the renewal rows have been read after the session was
	// registered.
	scanned bool
	// extended is the end of the extension by promises.
	extended time.Time
	// promised is the end of the last promise of each instance.
	promised map[descriptor.InstanceID]time.Time
	owned    map[descriptor.SliceID]ownedSlice
}

// attempt is a renewal that was sent.
type attempt struct {
	sent   time.Time
	roster []descriptor.InstanceID
}

// ownedSlice is a slice that the slice row assigns to this incarnation.
type ownedSlice struct {
	epoch    descriptor.Epoch
	version  connector.RowVersion
	safeFrom time.Time
	// withheld is set while a write that moves the slice away may still take
	// effect. No grant is given for it.
	withheld bool
}

// New returns a Leaser that does nothing until Run.
func New(cfg Config) *Leaser {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	cfg.Log = cfg.Log.With("component", "leaser", "instance", cfg.Instance)
	// An extension that outlasts the lease would hold against takers that have
	// not yet read the roster it is based on.
	cfg.Promise = min(cfg.Promise, cfg.Lease)
	now := cfg.Clock.Now()
	l := &Leaser{
		cfg:     cfg,
		metrics: newMetrics(cfg.Scope),
		changes: newChangeQueue(),
		base:    now,
		members: map[descriptor.InstanceID]*member{},
		pledges: newPledges(now),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	l.view.Store(&view{})
	return l
}

// Run registers a session, renews it and takes part in the distribution of
// slices until the context ends or Close is called. A lost session is replaced
// by a new one.
func (l *Leaser) Run(ctx context.Context) error {
	if err := l.begin(); err != nil {
		return err
	}
	defer close(l.done)
	// Takeovers and handovers go before claims too: claims may use all of the
	// instance's share for as long as there is load.
	ctx, cancel := context.WithCancel(storer.WithClass(ctx, storer.ClassRenewal))
	defer cancel()
	go func() {
		select {
		case <-l.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	// Instances of a data centre that restart together share its part of the
	// write budget, about one write per instance and second.
	l.sleep(ctx, l.jitter(l.cfg.Renewal/4, 1))
	for ctx.Err() == nil {
		if !l.register(ctx) {
			break
		}
		l.runSession(ctx)
	}
	l.suspend()
	return nil
}

func (l *Leaser) begin() error {
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

// runSession works under the current session until it is lost.
func (l *Leaser) runSession(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { l.promiseLoop(ctx) })
	wg.Go(func() {
		defer cancel()
		l.renewLoop(ctx)
	})
	l.watchLoop(ctx)
	cancel()
	wg.Wait()
}

// Session returns the current session. Writes that are conditional on its row
// fail once the session has been removed.
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

// Wake asks for a read of the rows soon. It is called when heartbeats show that
// an instance of the data centre joined, is leaving or has died, so that its
// slices don't wait for the next regular read. Calls are cheap.
func (l *Leaser) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Changes returns the gains and losses of slices in their order. All of them
// are delivered, so the channel must be read until it is closed after Close.
func (l *Leaser) Changes() <-chan Change { return l.changes.out }

// gain records a slice that the row assigns to this incarnation. The caller
// holds mu.
func (l *Leaser) gain(s descriptor.SliceID, o ownedSlice) {
	if l.closing {
		o.withheld = true
		l.current.owned[s] = o
		return
	}
	l.current.owned[s] = o
	l.publish()
	l.changes.push(Change{Slice: s, Epoch: o.epoch, Owned: true, SafeFrom: o.safeFrom})
}

// lose drops a slice. The caller holds mu.
func (l *Leaser) lose(s descriptor.SliceID) {
	o, ok := l.current.owned[s]
	if !ok {
		return
	}
	delete(l.current.owned, s)
	l.publish()
	if !o.withheld {
		l.changes.push(Change{Slice: s, Epoch: o.epoch})
	}
}

// drop forgets the session and all its slices. The caller holds mu.
func (l *Leaser) drop(c *incarnation) {
	if l.current != c {
		return
	}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		l.lose(s)
	}
	l.current = nil
	l.publish()
}

// deposed drops a session whose row is gone.
func (l *Leaser) deposed(c *incarnation) {
	l.cfg.Log.Warn("session was removed by another instance", "incarnation", c.session.Incarnation)
	l.metrics.deposed.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(c)
}

// jitter returns a random duration from d-d/part to d+d/part.
func (l *Leaser) jitter(d time.Duration, part int64) time.Duration {
	span := int64(d) / part
	if span <= 0 {
		return d
	}
	l.rngMu.Lock()
	defer l.rngMu.Unlock()
	return d - time.Duration(span) + time.Duration(l.cfg.Rand.Int64N(2*span+1))
}

// nap is sleep, shortened by Wake.
func (l *Leaser) nap(ctx context.Context, d time.Duration) bool {
	timer := l.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	case <-l.wake:
		// All instances of the data centre are woken at the same time.
		return l.sleep(ctx, min(d, l.jitter(l.cfg.Renewal/16, 1)))
	}
}

// sleep waits for d or for the end of the context.
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
