package storer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/masticlead/masticlead/connector"
)

const (
	// maxAttempts limits the attempts of one call, including the first.
	maxAttempts = 4
	// initialBackoff and maxBackoff are the first and the longest interval of the
	// exponential backoff between attempts, before jitter.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// retryRatio is the number of retries that each call adds to the retry budget,
	// which holds at most retryBurst. Without the budget, retries would multiply
	// the load on a store that is slow because it is overloaded.
	retryRatio = 0.1
	retryBurst = 10
)

// operation describes how calls of one kind are limited and retried.
type operation struct {
	name    string
	limiter *priorityLimiter
	breaker *breaker
	// idempotent operations are retried even if the failed attempt may have taken
	// effect.
	idempotent bool
	// noResponseErr is the error of an attempt that got no response.
	noResponseErr error
}

// withRetries calls f until it succeeds or must not be retried. It returns the
// result of the last attempt.
func withRetries[T any](ctx context.Context, s *Store, op operation, f func(context.Context) (T, error)) (T, error) {
	class := classOf(ctx)
	s.retryBudget.deposit()
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval, intervals.MaxInterval = initialBackoff, maxBackoff
	intervals.RandomizationFactor = 0 // Store.jitter adds the jitter, from Config.Rand
	for attempt := 1; ; attempt++ {
		v, err := attemptOnce(ctx, s, op, class, f)
		if !s.shouldRetry(ctx, op, class, attempt, err) {
			return v, err
		}
		if !s.sleep(ctx, s.jitter(intervals.NextBackOff())) {
			return v, err
		}
	}
}

// shouldRetry reports whether a call is retried after the given attempt returned
// err. If so, it takes a retry from the budget.
func (s *Store) shouldRetry(ctx context.Context, op operation, class Class, attempt int, err error) bool {
	if processed(err) || ctx.Err() != nil || errors.Is(err, errBreakerOpen) {
		return false
	}
	reason := "unavailable"
	if !errors.Is(err, connector.ErrUnavailable) {
		reason = "ambiguous"
		if !op.idempotent {
			return false
		}
	}
	// The leaser retries renewals itself, each with a new send time.
	if class == ClassRenewal || attempt >= maxAttempts {
		return false
	}
	if !s.retryBudget.withdraw() {
		s.metrics.refused("retryBudget").Inc(1)
		return false
	}
	s.metrics.retried(op.name, reason).Inc(1)
	return true
}

// errBreakerOpen means that the circuit breaker rejected the call.
var errBreakerOpen = errors.New("circuit breaker is open")

// attemptOnce makes one attempt of a call. Renewals bypass an open breaker: the
// session expires without them, and they are few.
func attemptOnce[T any](ctx context.Context, s *Store, op operation, class Class, f func(context.Context) (T, error)) (T, error) {
	var zero T
	done, err := op.breaker.Allow()
	if err != nil {
		if class != ClassRenewal {
			s.metrics.refused("breakerOpen").Inc(1)
			return zero, notSentError("%w", errBreakerOpen)
		}
		done = func(error) {}
	}
	if err := op.limiter.wait(ctx, class); err != nil {
		s.metrics.refused("budget").Inc(1)
		done(errAbandoned)
		return zero, notSentError("no share of the budget in time: %w", err)
	}
	v, err := withTimeout(ctx, s, f)
	err = classify(op, err)
	if err != nil && ctx.Err() != nil {
		done(errAbandoned)
		return v, err
	}
	done(err)
	return v, err
}

// withTimeout calls f with a context that is cancelled after Config.Timeout. It
// uses a timer of Config.Clock, because context.WithTimeout uses the system clock.
func withTimeout[T any](ctx context.Context, s *Store, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.cfg.Clock.AfterFunc(s.cfg.Timeout, cancel)
	defer timer.Stop()
	return f(ctx)
}

// classify wraps errors of unknown kind, such as timeouts, in the noResponseErr
// of the operation.
func classify(op operation, err error) error {
	if processed(err) || errors.Is(err, connector.ErrUnavailable) || errors.Is(err, connector.ErrAmbiguous) {
		return err
	}
	return fmt.Errorf("storer: %s: %w: %w", op.name, op.noResponseErr, err)
}

// jitter returns a random duration between d/2 and 3d/2.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return d/2 + time.Duration(s.cfg.Rand.Int64N(int64(d)+1))
}

// sleep waits for d. It reports false if the context ends first.
func (s *Store) sleep(ctx context.Context, d time.Duration) bool {
	timer := s.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// retryBudget limits retries to a fraction of the calls: each call deposits
// retryRatio, each retry withdraws 1.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
	limit   float64
}

func newRetryBudget() *retryBudget { return &retryBudget{balance: retryBurst, limit: retryBurst} }

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryRatio, b.limit)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
