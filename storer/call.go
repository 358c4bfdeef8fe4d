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
	// maxTries bounds the attempts of one call.
	maxTries = 4
	// firstDelay and maxDelay bound the exponential delay between attempts.
	firstDelay = 50 * time.Millisecond
	maxDelay   = time.Second
	// retryRatio is the number of retries that each call adds to the budget, up
	// to retryBurst. Without it, retries would multiply the load on a store that
	// is slow because of its load.
	retryRatio = 0.1
	retryBurst = 10
)

// call describes one kind of call.
type call struct {
	name    string
	gate    *gate
	breaker *breaker
	// repeatable calls may be sent again after an attempt that may have taken
	// effect.
	repeatable bool
	// lost is the error of an attempt whose answer did not arrive.
	lost error
}

// do carries out a call with retries.
func do[T any](ctx context.Context, s *Store, c call, f func(context.Context) (T, error)) (T, error) {
	class := classOf(ctx)
	s.retries.add()
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstDelay, maxDelay
	delays.RandomizationFactor = 0 // the jitter comes from the store's own source
	for try := 1; ; try++ {
		v, err := attempt(ctx, s, c, class, f)
		if !s.retry(ctx, c, class, try, err) {
			return v, err
		}
		if !s.sleep(ctx, s.jitter(delays.NextBackOff())) {
			return v, err
		}
	}
}

// retry reports whether a call is sent again after an error.
func (s *Store) retry(ctx context.Context, c call, class Class, try int, err error) bool {
	if answered(err) || ctx.Err() != nil || errors.Is(err, errBreakerOpen) {
		return false
	}
	reason := "unavailable"
	if !errors.Is(err, connector.ErrUnavailable) {
		reason = "ambiguous"
		if !c.repeatable {
			return false
		}
	}
	// The leaser repeats a renewal itself, with a new time of sending.
	if class == ClassRenewal || try >= maxTries {
		return false
	}
	if !s.retries.take() {
		s.metrics.refused("retryBudget").Inc(1)
		return false
	}
	s.metrics.retried(c.name, reason).Inc(1)
	return true
}

// errBreakerOpen means that the breaker refused the call.
var errBreakerOpen = errors.New("circuit breaker is open")

// attempt sends a call once. A renewal is sent even if the breaker is open: the
// session ends without it, and there are few of them.
func attempt[T any](ctx context.Context, s *Store, c call, class Class, f func(context.Context) (T, error)) (T, error) {
	var zero T
	done, err := c.breaker.Allow()
	if err != nil {
		if class != ClassRenewal {
			s.metrics.refused("breakerOpen").Inc(1)
			return zero, refuse("%w", errBreakerOpen)
		}
		done = func(error) {}
	}
	if err := c.gate.wait(ctx, class); err != nil {
		s.metrics.refused("budget").Inc(1)
		done(errAbandoned)
		return zero, refuse("no share of the budget in time: %w", err)
	}
	v, err := timed(ctx, s, f)
	err = classify(c, err)
	if err != nil && ctx.Err() != nil {
		done(errAbandoned)
		return v, err
	}
	done(err)
	return v, err
}

// timed bounds the time of an attempt.
func timed[T any](ctx context.Context, s *Store, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.cfg.Clock.AfterFunc(s.cfg.Timeout, cancel)
	defer timer.Stop()
	return f(ctx)
}

// classify gives errors of another kind, such as a timeout, the meaning that the
// call's answer was lost.
func classify(c call, err error) error {
	if answered(err) || errors.Is(err, connector.ErrUnavailable) || errors.Is(err, connector.ErrAmbiguous) {
		return err
	}
	return fmt.Errorf("storer: %s: %w: %w", c.name, c.lost, err)
}

// jitter returns a random duration from d/2 to 3d/2.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return d/2 + time.Duration(s.cfg.Rand.Int64N(int64(d)+1))
}

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

// retryBudget allows retries in proportion to the calls.
type retryBudget struct {
	mu    sync.Mutex
	left  float64
	limit float64
}

func newRetryBudget() *retryBudget { return &retryBudget{left: retryBurst, limit: retryBurst} }

func (b *retryBudget) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryRatio, b.limit)
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
