// Package claimer writes the durable claims and outcomes of work that must run
// at most once.
//
// A claim is a row that is inserted if absent, under the fence of the writer's
// session. Writes are batched: a lone one is sent at once; under load the
// interval between transactions grows with the number of live instances, so
// that all of them together stay within the write budget.
package claimer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/leaser"
	"github.com/masticlead/masticlead/storer"
)

// DefaultWritesPerSecond is the write budget of the claims and outcomes of all
// instances together: 300 writes/s less 90 for renewals and 30 for everything
// else, which would otherwise wait behind claims for as long as there is load.
const DefaultWritesPerSecond = 180

// callTimeout bounds each call of the store.
const callTimeout = 2 * time.Second

// Errors of the claimer. All but ErrRecorded mean that nothing was written.
var (
	ErrClosed = fmt.Errorf("claimer: closed: %w", connector.ErrUnavailable)
	// ErrNoSession means that this instance has no session, or lost it.
	ErrNoSession = fmt.Errorf("claimer: no session: %w", connector.ErrUnavailable)
	// ErrQueueFull means that too many writes wait for the store.
	ErrQueueFull = fmt.Errorf("claimer: queue full: %w", connector.ErrUnavailable)
	// ErrRecorded means that the claim already has another outcome, which stands.
	ErrRecorded = errors.New("claimer: claim has another outcome")
	// ErrNotHolder means that the claim belongs to another session.
	ErrNotHolder = errors.New("claimer: claim belongs to another session")
)

// Holder is the session that made a claim.
type Holder struct {
	Instance    descriptor.InstanceID  `json:"instance"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
}

// Claim is the right of its holder to run a request once.
type Claim struct {
	Holder Holder `json:"holder"`
	// Sequence numbers the claims of a holder.
	Sequence   uint64                  `json:"sequence"`
	DataCentre descriptor.DataCentreID `json:"dataCentre"`
	// ClaimedMs is the wall clock time of the claim in milliseconds. It only
	// serves to remove old claims.
	ClaimedMs int64 `json:"claimedMs"`
	// Outcome is nil until it has been recorded.
	Outcome *descriptor.Outcome `json:"outcome,omitempty"`
}

// Config holds the settings of a Claimer. Rand, Instances, Scope and Log may be
// nil.
type Config struct {
	Clock clockwork.Clock
	// Rand spreads the sweeps of the instances.
	Rand  *rand.Rand
	Table connector.Table
	// Session returns the fence of this instance's writes.
	Session    func() (leaser.Session, bool)
	DataCentre descriptor.DataCentreID
	// Instances returns the number of live instances that share the budget.
	Instances func() int
	// WritesPerSecond is the claims' budget of all instances together; 0 means
	// DefaultWritesPerSecond.
	WritesPerSecond float64
	// Retention is how long claims are kept; 0 means DefaultRetention.
	Retention time.Duration
	Scope     tally.Scope
	Log       *slog.Logger
}

// Claimer batches the claims and outcomes of one instance.
type Claimer struct {
	cfg     Config
	metrics metrics
	limiter *rate.Limiter
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu       sync.Mutex
	queue    []*write
	flying   map[connector.RowKey]bool // rows of transactions in flight
	flights  int
	holder   Holder // the last session that claimed
	sequence uint64
	closed   bool
	started  bool
	// unsettled holds claims that may exist although their caller was not told
	// so. The next caller takes the entry, so a claim is won at most once.
	unsettled map[connector.RowKey]Claim
	// held holds the versions of our claims without an outcome.
	held map[connector.RowKey]heldClaim
}

// heldClaim is a claim of this instance as last written.
type heldClaim struct {
	claim   Claim
	version connector.RowVersion
}

// New returns a Claimer that writes nothing until Run.
func New(cfg Config) *Claimer {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.Retention <= 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	cfg.Log = cfg.Log.With("component", "claimer")
	return &Claimer{
		cfg:       cfg,
		metrics:   newMetrics(cfg.Scope),
		limiter:   rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), 1),
		wake:      make(chan struct{}, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		flying:    map[connector.RowKey]bool{},
		unsettled: map[connector.RowKey]Claim{},
		held:      map[connector.RowKey]heldClaim{},
	}
}

// Claim inserts the claim for a key. It reports whether this call won it; if
// not, existing is the claim that stands.
//
// After an error that wraps connector.ErrUnavailable nothing was claimed. After
// connector.ErrAmbiguous the claim may exist; a later call for the same key
// under the same session settles it.
func (c *Claimer) Claim(ctx context.Context, key descriptor.Key) (won bool, existing Claim, err error) {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	session, ok := c.cfg.Session()
	if !ok {
		return false, Claim{}, ErrNoSession
	}
	w := c.newClaim(key, session)
	r := c.send(ctx, w)
	if errors.Is(r.err, connector.ErrAmbiguous) {
		c.mu.Lock()
		c.unsettled[w.row] = w.claim
		c.mu.Unlock()
	}
	return r.won, r.existing, r.err
}

// newClaim prepares a claim. If an earlier one for the same key has no known
// outcome, it is repeated as it was, so that it can only be won once.
func (c *Claimer) newClaim(key descriptor.Key, session leaser.Session) *write {
	holder := Holder{Instance: session.Instance, Incarnation: session.Incarnation}
	row := rowKey(key)
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != holder {
		// What an earlier session left can't be written any more.
		c.holder = holder
		clear(c.unsettled)
		clear(c.held)
	}
	earlier, again := c.unsettled[row]
	delete(c.unsettled, row)
	if again {
		return newWrite(insertClaim, row, session, earlier, true)
	}
	c.sequence++
	claim := Claim{Holder: holder, Sequence: c.sequence, DataCentre: c.cfg.DataCentre, ClaimedMs: now.UnixMilli()}
	return newWrite(insertClaim, row, session, claim, false)
}

// Record writes the outcome of a claim. The first outcome stands. After
// connector.ErrAmbiguous it can be called again.
func (c *Claimer) Record(ctx context.Context, key descriptor.Key, o descriptor.Outcome) error {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	return c.update(ctx, key, func(h heldClaim, session leaser.Session) (*write, error) {
		if h.claim.Outcome != nil {
			return nil, sameOutcome(*h.claim.Outcome, o)
		}
		h.claim.Outcome = &o
		w := newWrite(recordOutcome, rowKey(key), session, h.claim, false)
		w.version = h.version
		return w, nil
	})
}

// Withdraw removes the claim of this session. It is only called with proof that
// nothing was started under the claim. An absent claim is no error.
func (c *Claimer) Withdraw(ctx context.Context, key descriptor.Key) error {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	err := c.update(ctx, key, func(h heldClaim, session leaser.Session) (*write, error) {
		if h.claim.Holder != (Holder{Instance: session.Instance, Incarnation: session.Incarnation}) {
			return nil, ErrNotHolder
		}
		if h.claim.Outcome != nil {
			return nil, ErrRecorded
		}
		w := newWrite(deleteClaim, rowKey(key), session, h.claim, false)
		w.version = h.version
		return w, nil
	})
	if errors.Is(err, connector.ErrNotFound) {
		return nil
	}
	return err
}

// update changes an existing claim. prepare returns no write if there is
// nothing to do.
func (c *Claimer) update(ctx context.Context, key descriptor.Key, prepare func(heldClaim, leaser.Session) (*write, error)) error {
	row := rowKey(key)
	for {
		session, ok := c.cfg.Session()
		if !ok {
			return ErrNoSession
		}
		held, err := c.find(ctx, row)
		if err != nil {
			return err
		}
		w, err := prepare(held, session)
		if w == nil {
			return err
		}
		if r := c.send(ctx, w); !errors.Is(r.err, errMoved) {
			return r.err
		}
	}
}

// find returns the version of a claim, from memory if it is ours.
func (c *Claimer) find(ctx context.Context, row connector.RowKey) (heldClaim, error) {
	c.mu.Lock()
	h, ok := c.held[row]
	c.mu.Unlock()
	if ok {
		return h, nil
	}
	return c.read(ctx, row)
}

// read returns a claim from the store, or connector.ErrNotFound.
func (c *Claimer) read(ctx context.Context, key connector.RowKey) (heldClaim, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	row, err := c.cfg.Table.Get(ctx, key)
	if err != nil {
		return heldClaim{}, err
	}
	claim, err := decodeClaim(row)
	return heldClaim{claim: claim, version: row.Version}, err
}

// Lookup returns the claim for a key, if there is one.
func (c *Claimer) Lookup(ctx context.Context, key descriptor.Key) (Claim, bool, error) {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	h, err := c.read(ctx, rowKey(key))
	if errors.Is(err, connector.ErrNotFound) {
		return Claim{}, false, nil
	}
	return h.claim, err == nil, err
}

// withTimeout bounds a call of the store.
func (c *Claimer) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := c.cfg.Clock.AfterFunc(callTimeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
