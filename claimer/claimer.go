// Package claimer persists claims and outcomes of work that must run at most
// once.
//
// A claim is a row that is inserted only if it is absent, in a transaction that
// is fenced by the writer's session row. Writes are batched: a single write is
// sent immediately; under load the interval between transactions grows with the
// number of live instances, which keeps their combined rate within the write
// budget.
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

// DefaultWritesPerSecond is the combined write budget of all instances for
// claims and outcomes. Of 300 writes/s in total, 90 are reserved for lease
// renewals and 30 for all other writes, which would otherwise be starved by
// claims under sustained load.
const DefaultWritesPerSecond = 180

// callTimeout bounds each call to the store.
const callTimeout = 2 * time.Second

// Errors returned by Claimer. All except ErrRecorded mean that nothing was
// written.
var (
	// ErrClosed means that the Claimer accepts no more writes.
	ErrClosed = fmt.Errorf("claimer: closed: %w", connector.ErrUnavailable)
	// ErrNoSession means that this instance has no session or has lost it.
	ErrNoSession = fmt.Errorf("claimer: no session: %w", connector.ErrUnavailable)
	// ErrQueueFull means that too many writes are waiting for the store.
	ErrQueueFull = fmt.Errorf("claimer: queue full: %w", connector.ErrUnavailable)
	// ErrRecorded means that an outcome is already recorded for the claim and
	// remains unchanged.
	ErrRecorded = errors.New("claimer: an outcome is already recorded for the claim")
	// ErrNotHolder means that the claim belongs to another session.
	ErrNotHolder = errors.New("claimer: claim belongs to another session")
)

// Holder identifies the session that made a claim.
type Holder struct {
	Instance    descriptor.InstanceID  `json:"instance"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
}

// Claim is its holder's exclusive right to run a request once.
type Claim struct {
	Holder Holder `json:"holder"`
	// Sequence numbers the claims of a holder.
	Sequence   uint64                  `json:"sequence"`
	DataCentre descriptor.DataCentreID `json:"dataCentre"`
	// ClaimedMs is the wall clock time of the claim in Unix milliseconds. It
	// determines when the claim expires.
	ClaimedMs int64 `json:"claimedMs"`
	// Outcome is nil until it is recorded.
	Outcome *descriptor.Outcome `json:"outcome,omitempty"`
}

// Config holds the settings of a Claimer. Rand, Instances, Scope and Log may be
// nil.
type Config struct {
	Clock clockwork.Clock
	// Rand supplies the jitter that keeps instances from sweeping in step.
	Rand  *rand.Rand
	Table connector.Table
	// Session returns the session whose row fences this instance's writes.
	Session    func() (leaser.Session, bool)
	DataCentre descriptor.DataCentreID
	// Instances returns the number of live instances that share the write budget.
	Instances func() int
	// WritesPerSecond is the combined write budget of all instances for claims
	// and outcomes; 0 means DefaultWritesPerSecond.
	WritesPerSecond float64
	// Retention is how long claims are kept; 0 means DefaultRetention.
	Retention time.Duration
	Scope     tally.Scope
	Log       *slog.Logger
}

// Claimer batches the claim and outcome writes of one instance.
type Claimer struct {
	cfg       Config
	metrics   metrics
	limiter   *rate.Limiter
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	mu           sync.Mutex
	queue        []*write
	inFlightRows map[connector.RowKey]bool // rows written by transactions in flight
	inFlight     int
	holder       Holder // session of the most recent claim
	sequence     uint64
	closed       bool
	started      bool
	// ambiguousClaims holds claims that may exist because their insert ended with
	// connector.ErrAmbiguous. The next call for the key removes the entry and
	// repeats the insert, so a claim is won at most once.
	ambiguousClaims map[connector.RowKey]Claim
	// openClaims caches the claims of this session that have no outcome, with
	// their row versions.
	openClaims map[connector.RowKey]versionedClaim
}

// versionedClaim is a claim together with the version of its row.
type versionedClaim struct {
	claim   Claim
	version connector.RowVersion
}

// New returns a Claimer. It writes nothing until Run is called.
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
		cfg:             cfg,
		metrics:         newMetrics(cfg.Scope),
		limiter:         rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), 1),
		wake:            make(chan struct{}, 1),
		stop:            make(chan struct{}),
		done:            make(chan struct{}),
		inFlightRows:    map[connector.RowKey]bool{},
		ambiguousClaims: map[connector.RowKey]Claim{},
		openClaims:      map[connector.RowKey]versionedClaim{},
	}
}

// Claim inserts the claim for a key and reports whether this call won it. If
// not, existing is the claim that is already stored.
//
// An error that wraps connector.ErrUnavailable means that nothing was claimed.
// After connector.ErrAmbiguous the claim may exist; a later call for the same
// key under the same session resolves it.
func (c *Claimer) Claim(ctx context.Context, key descriptor.Key) (won bool, existing Claim, err error) {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	session, ok := c.cfg.Session()
	if !ok {
		return false, Claim{}, ErrNoSession
	}
	w := c.newClaimWrite(key, session)
	r := c.send(ctx, w)
	if errors.Is(r.err, connector.ErrAmbiguous) {
		c.mu.Lock()
		c.ambiguousClaims[w.row] = w.claim
		c.mu.Unlock()
	}
	return r.won, r.existing, r.err
}

// newClaimWrite returns the insert of a claim. If an earlier insert for the same
// key is ambiguous, it is repeated unchanged, so that the claim is won at most
// once.
func (c *Claimer) newClaimWrite(key descriptor.Key, session leaser.Session) *write {
	holder := Holder{Instance: session.Instance, Incarnation: session.Incarnation}
	row := rowKey(key)
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != holder {
		// Claims of an earlier session are fenced off and can no longer be written.
		c.holder = holder
		clear(c.ambiguousClaims)
		clear(c.openClaims)
	}
	ambiguous, found := c.ambiguousClaims[row]
	delete(c.ambiguousClaims, row)
	if found {
		return newWrite(insertClaim, row, session, ambiguous, true)
	}
	c.sequence++
	claim := Claim{Holder: holder, Sequence: c.sequence, DataCentre: c.cfg.DataCentre, ClaimedMs: now.UnixMilli()}
	return newWrite(insertClaim, row, session, claim, false)
}

// Record writes the outcome of a claim. The first recorded outcome is final; a
// different one fails with ErrRecorded. After connector.ErrAmbiguous the call
// can be retried.
func (c *Claimer) Record(ctx context.Context, key descriptor.Key, o descriptor.Outcome) error {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	return c.update(ctx, key, func(vc versionedClaim, session leaser.Session) (*write, error) {
		if vc.claim.Outcome != nil {
			return nil, checkSameOutcome(*vc.claim.Outcome, o)
		}
		vc.claim.Outcome = &o
		w := newWrite(recordOutcome, rowKey(key), session, vc.claim, false)
		w.version = vc.version
		return w, nil
	})
}

// Withdraw deletes a claim of this session. The caller must have proof that
// nothing was started under the claim. It is not an error if the claim does not
// exist.
func (c *Claimer) Withdraw(ctx context.Context, key descriptor.Key) error {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	err := c.update(ctx, key, func(vc versionedClaim, session leaser.Session) (*write, error) {
		if vc.claim.Holder != (Holder{Instance: session.Instance, Incarnation: session.Incarnation}) {
			return nil, ErrNotHolder
		}
		if vc.claim.Outcome != nil {
			return nil, ErrRecorded
		}
		w := newWrite(deleteClaim, rowKey(key), session, vc.claim, false)
		w.version = vc.version
		return w, nil
	})
	if errors.Is(err, connector.ErrNotFound) {
		return nil
	}
	return err
}

// update writes a change to an existing claim and retries if the row has changed
// since it was read. If prepare returns no write, update returns its error.
func (c *Claimer) update(ctx context.Context, key descriptor.Key, prepare func(versionedClaim, leaser.Session) (*write, error)) error {
	row := rowKey(key)
	for {
		session, ok := c.cfg.Session()
		if !ok {
			return ErrNoSession
		}
		current, err := c.currentClaim(ctx, row)
		if err != nil {
			return err
		}
		w, err := prepare(current, session)
		if w == nil {
			return err
		}
		if r := c.send(ctx, w); !errors.Is(r.err, errRowChanged) {
			return r.err
		}
	}
}

// currentClaim returns a claim from openClaims if it is there, and from the store
// otherwise.
func (c *Claimer) currentClaim(ctx context.Context, row connector.RowKey) (versionedClaim, error) {
	c.mu.Lock()
	vc, ok := c.openClaims[row]
	c.mu.Unlock()
	if ok {
		return vc, nil
	}
	return c.readClaim(ctx, row)
}

// readClaim reads a claim from the store. It returns connector.ErrNotFound if the
// row does not exist.
func (c *Claimer) readClaim(ctx context.Context, key connector.RowKey) (versionedClaim, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	row, err := c.cfg.Table.Get(ctx, key)
	if err != nil {
		return versionedClaim{}, err
	}
	claim, err := decodeClaim(row)
	return versionedClaim{claim: claim, version: row.Version}, err
}

// Lookup reads the claim for a key from the store and reports whether it exists.
func (c *Claimer) Lookup(ctx context.Context, key descriptor.Key) (Claim, bool, error) {
	ctx = storer.WithClass(ctx, storer.ClassClaim)
	vc, err := c.readClaim(ctx, rowKey(key))
	if errors.Is(err, connector.ErrNotFound) {
		return Claim{}, false, nil
	}
	return vc.claim, err == nil, err
}

// withTimeout applies callTimeout to a store call, measured by the configured
// clock.
func (c *Claimer) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := c.cfg.Clock.AfterFunc(callTimeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
