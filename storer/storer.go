// Package storer wraps clients of the platform's table service and object store
// with timeouts, retries, circuit breakers and rate limits. The rate limit of an
// instance is its share of a budget common to all instances.
package storer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sony/gobreaker/v2"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/connector"
)

// Default values for Config.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 1500
)

// Config holds the dependencies and settings of a Store. Zero durations and rates
// take the defaults. Scope and Log may be nil.
type Config struct {
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Table   connector.Table
	Objects connector.ObjectStore
	// Timeout applies to each attempt of a call.
	Timeout time.Duration
	// WritesPerSecond and ReadsPerSecond are the combined limits for all
	// instances. They cover both table and object calls.
	WritesPerSecond, ReadsPerSecond float64
	Scope                           tally.Scope
	Log                             *slog.Logger
}

// Store implements connector.Table and connector.ObjectStore by wrapping
// Config.Table and Config.Objects.
type Store struct {
	cfg     Config
	metrics metrics

	readLimiter, writeLimiter                 *priorityLimiter
	readBreaker, writeBreaker, objectsBreaker *breaker
	retryBudget                               *retryBudget

	rngMu sync.Mutex
}

type breaker = gobreaker.TwoStepCircuitBreaker[struct{}]

var (
	_ connector.Table       = (*Store)(nil)
	_ connector.ObjectStore = (*Store)(nil)
)

// New returns a Store that uses the whole budget until SetInstanceCount is called.
func New(cfg Config) *Store {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.ReadsPerSecond <= 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	cfg.Log = cfg.Log.With("component", "storer")
	s := &Store{
		cfg:          cfg,
		metrics:      newMetrics(cfg.Scope),
		readLimiter:  newPriorityLimiter(cfg.Clock, cfg.ReadsPerSecond),
		writeLimiter: newPriorityLimiter(cfg.Clock, cfg.WritesPerSecond),
		retryBudget:  newRetryBudget(),
	}
	s.readBreaker = s.newBreaker("tableReads")
	s.writeBreaker = s.newBreaker("tableWrites")
	s.objectsBreaker = s.newBreaker("objects")
	return s
}

// SetInstanceCount sets the number of live instances, among which the budget is
// divided evenly.
func (s *Store) SetInstanceCount(n int) {
	n = max(n, 1)
	s.readLimiter.setRate(s.cfg.ReadsPerSecond / float64(n))
	s.writeLimiter.setRate(s.cfg.WritesPerSecond / float64(n))
}

// Get implements connector.Table.
func (s *Store) Get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	return withRetries(ctx, s, s.readOperation("get"), func(ctx context.Context) (connector.Row, error) {
		return s.cfg.Table.Get(ctx, key)
	})
}

// Scan implements connector.Table.
func (s *Store) Scan(ctx context.Context, prefix, after connector.RowKey, limit int) ([]connector.Row, error) {
	return withRetries(ctx, s, s.readOperation("scan"), func(ctx context.Context) ([]connector.Row, error) {
		return s.cfg.Table.Scan(ctx, prefix, after, limit)
	})
}

// Commit implements connector.Table. A commit that may have taken effect is not
// retried; the caller gets ErrAmbiguous and has to resolve it.
func (s *Store) Commit(ctx context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	op := operation{name: "commit", limiter: s.writeLimiter, breaker: s.writeBreaker, noResponseErr: connector.ErrAmbiguous}
	return withRetries(ctx, s, op, func(ctx context.Context) ([]connector.RowVersion, error) {
		return s.cfg.Table.Commit(ctx, t)
	})
}

// PutObject implements connector.ObjectStore. Objects are content-addressed, so a
// put is idempotent and can be retried.
func (s *Store) PutObject(ctx context.Context, key string, body []byte) error {
	op := operation{name: "putObject", limiter: s.writeLimiter, breaker: s.objectsBreaker, idempotent: true, noResponseErr: connector.ErrAmbiguous}
	_, err := withRetries(ctx, s, op, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.cfg.Objects.PutObject(ctx, key, body)
	})
	return err
}

// GetObject implements connector.ObjectStore.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	op := s.readOperation("getObject")
	op.breaker = s.objectsBreaker
	return withRetries(ctx, s, op, func(ctx context.Context) ([]byte, error) {
		return s.cfg.Objects.GetObject(ctx, key)
	})
}

// readOperation returns an operation with the rate limit and the breaker of table
// reads.
func (s *Store) readOperation(name string) operation {
	return operation{name: name, limiter: s.readLimiter, breaker: s.readBreaker, idempotent: true, noResponseErr: connector.ErrUnavailable}
}

const (
	// breakerThreshold is the number of consecutive failures that open a breaker.
	breakerThreshold = 5
	// breakerTimeout is how long a breaker stays open before it lets a probe
	// through. It is short so that the end of an outage is detected within a
	// renewal period.
	breakerTimeout = time.Second
)

func (s *Store) newBreaker(name string) *breaker {
	scope := s.cfg.Scope.Tagged(map[string]string{"breaker": name})
	state := scope.Gauge("breaker_state") // 0: closed, 1: half open, 2: open
	return gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        name,
		Timeout:     breakerTimeout,
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerThreshold },
		OnStateChange: func(name string, _, to gobreaker.State) {
			state.Update(float64(to))
			s.cfg.Log.Info("circuit breaker changed", "breaker", name, "state", to.String())
		},
		IsSuccessful: processed,
		IsExcluded:   func(err error) bool { return errors.Is(err, errAbandoned) },
	})
}

// errAbandoned is reported to the breaker for calls whose context ended. It is
// excluded from the counts, because it says nothing about the health of the store.
var errAbandoned = errors.New("call abandoned")

// processed reports whether the store processed the call. A missing row or object
// and a failed condition are regular results, not failures.
func processed(err error) bool {
	var conflict *connector.ConditionError
	return err == nil || errors.Is(err, connector.ErrNotFound) || errors.As(err, &conflict)
}

// notSentError returns an error that wraps connector.ErrUnavailable, for a call that
// was not sent.
func notSentError(format string, args ...any) error {
	return fmt.Errorf("storer: %w: %w", connector.ErrUnavailable, fmt.Errorf(format, args...))
}
