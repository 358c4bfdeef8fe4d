// Package storer wraps the platform's table service and object store with
// timeouts, retries, a circuit breaker and the instance's share of the budget.
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

// Defaults of Config.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 1500
)

// Config holds the settings of a Store. Zero durations and rates select the
// defaults. Scope and Log may be nil.
type Config struct {
	Clock   clockwork.Clock
	Rand    *rand.Rand
	Table   connector.Table
	Objects connector.Objects
	// Timeout bounds each attempt of a call.
	Timeout time.Duration
	// WritesPerSecond and ReadsPerSecond are the budgets of all instances
	// together. The calls for objects count too.
	WritesPerSecond, ReadsPerSecond float64
	Scope                           tally.Scope
	Log                             *slog.Logger
}

// Store implements connector.Table and connector.Objects on top of those of its
// Config.
type Store struct {
	cfg     Config
	metrics metrics

	reads, writes                             *gate
	readBreaker, writeBreaker, objectsBreaker *breaker
	retries                                   *retryBudget

	rngMu sync.Mutex
}

type breaker = gobreaker.TwoStepCircuitBreaker[struct{}]

var (
	_ connector.Table   = (*Store)(nil)
	_ connector.Objects = (*Store)(nil)
)

// New returns a Store with the whole budget; see SetInstances.
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
		cfg:     cfg,
		metrics: newMetrics(cfg.Scope),
		reads:   newGate(cfg.Clock, cfg.ReadsPerSecond),
		writes:  newGate(cfg.Clock, cfg.WritesPerSecond),
		retries: newRetryBudget(),
	}
	s.readBreaker = s.newBreaker("tableReads")
	s.writeBreaker = s.newBreaker("tableWrites")
	s.objectsBreaker = s.newBreaker("objects")
	return s
}

// SetInstances sets the number of live instances that share the budget.
func (s *Store) SetInstances(n int) {
	n = max(n, 1)
	s.reads.setRate(s.cfg.ReadsPerSecond / float64(n))
	s.writes.setRate(s.cfg.WritesPerSecond / float64(n))
}

// Get implements connector.Table.
func (s *Store) Get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	return do(ctx, s, s.read("get"), func(ctx context.Context) (connector.Row, error) {
		return s.cfg.Table.Get(ctx, key)
	})
}

// Scan implements connector.Table.
func (s *Store) Scan(ctx context.Context, prefix, after connector.RowKey, limit int) ([]connector.Row, error) {
	return do(ctx, s, s.read("scan"), func(ctx context.Context) ([]connector.Row, error) {
		return s.cfg.Table.Scan(ctx, prefix, after, limit)
	})
}

// Commit implements connector.Table. A commit that may have taken effect is not
// repeated: the caller has to decide with ErrAmbiguous in hand.
func (s *Store) Commit(ctx context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	c := call{name: "commit", gate: s.writes, breaker: s.writeBreaker, lost: connector.ErrAmbiguous}
	return do(ctx, s, c, func(ctx context.Context) ([]connector.RowVersion, error) {
		return s.cfg.Table.Commit(ctx, t)
	})
}

// PutObject implements connector.Objects. Objects are keyed by their content, so
// a put can be repeated.
func (s *Store) PutObject(ctx context.Context, key string, body []byte) error {
	c := call{name: "putObject", gate: s.writes, breaker: s.objectsBreaker, repeatable: true, lost: connector.ErrAmbiguous}
	_, err := do(ctx, s, c, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.cfg.Objects.PutObject(ctx, key, body)
	})
	return err
}

// GetObject implements connector.Objects.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	c := s.read("getObject")
	c.breaker = s.objectsBreaker
	return do(ctx, s, c, func(ctx context.Context) ([]byte, error) {
		return s.cfg.Objects.GetObject(ctx, key)
	})
}

func (s *Store) read(name string) call {
	return call{name: name, gate: s.reads, breaker: s.readBreaker, repeatable: true, lost: connector.ErrUnavailable}
}

const (
	// breakerFailures is the number of failures in a row that open a breaker.
	breakerFailures = 5
	// breakerOpen is short, because the end of an outage should be noticed within
	// a renewal period.
	breakerOpen = time.Second
)

func (s *Store) newBreaker(name string) *breaker {
	scope := s.cfg.Scope.Tagged(map[string]string{"breaker": name})
	state := scope.Gauge("breaker_state") // 0: closed, 1: half open, 2: open
	return gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        name,
		Timeout:     breakerOpen,
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
		OnStateChange: func(name string, _, to gobreaker.State) {
			state.Update(float64(to))
			s.cfg.Log.Info("circuit breaker changed", "breaker", name, "state", to.String())
		},
		IsSuccessful: answered,
		IsExcluded:   func(err error) bool { return errors.Is(err, errAbandoned) },
	})
}

// errAbandoned marks a call that its caller gave up, which says nothing about
// the store.
var errAbandoned = errors.New("call abandoned")

// answered reports whether the store carried out its part of a call.
func answered(err error) bool {
	var conflict *connector.ConditionError
	return err == nil || errors.Is(err, connector.ErrNotFound) || errors.As(err, &conflict)
}

// refuse returns the error of a call that was not sent.
func refuse(format string, args ...any) error {
	return fmt.Errorf("storer: %w: %w", connector.ErrUnavailable, fmt.Errorf(format, args...))
}
