package storer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// priorityLimiter is a token-bucket rate limiter that serves waiting calls by
// class, and within a class in order of arrival.
type priorityLimiter struct {
	clock clockwork.Clock

	mu          sync.Mutex
	bucket      *rate.Limiter
	queues      [classCount][]*waiter
	dispatching bool
}

// waiter is a call that waits for a token. Its channel is closed when the token is
// granted.
type waiter struct{ ready chan struct{} }

func newPriorityLimiter(clock clockwork.Clock, perSecond float64) *priorityLimiter {
	l := &priorityLimiter{clock: clock, bucket: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
	return l
}

// burst returns the bucket size for a rate: the tokens of 250 ms, but at least
// two. With a bucket of one, a rate of about one per second would delay every
// second call.
func burst(perSecond float64) int { return max(2, int(perSecond/4)) }

func (l *priorityLimiter) setRate(perSecond float64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst(perSecond))
}

// wait blocks until the call may be sent or the context ends, and returns the
// error of the context in that case. Renewals never wait: they reserve a token in
// advance, which delays later calls of other classes.
func (l *priorityLimiter) wait(ctx context.Context, class Class) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := l.clock.Now()
	l.mu.Lock()
	if class == ClassRenewal {
		l.bucket.ReserveN(now, 1)
		l.mu.Unlock()
		return nil
	}
	if !l.dispatching && l.bucket.AllowN(now, 1) {
		l.mu.Unlock()
		return nil
	}
	w := &waiter{ready: make(chan struct{})}
	l.queues[class] = append(l.queues[class], w)
	if !l.dispatching {
		l.dispatching = true
		go l.dispatch()
	}
	l.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		l.removeWaiter(class, w)
		return ctx.Err()
	}
}

// removeWaiter removes a waiter whose context has ended from its queue. If it has
// been granted a token in the meantime, that token is lost.
func (l *priorityLimiter) removeWaiter(class Class, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.queues[class], w); i >= 0 {
		l.queues[class] = slices.Delete(l.queues[class], i, i+1)
	}
}

// dispatch grants tokens to waiters until the queues are empty.
func (l *priorityLimiter) dispatch() {
	for {
		delay, waiting := l.dispatchNext()
		if !waiting {
			return
		}
		if delay > 0 {
			l.clock.Sleep(delay)
		}
	}
}

// dispatchNext grants a token to the first waiter of the highest-priority class. If
// no token is available, it returns how long to sleep before the next try. It
// reports false if there is no waiter.
func (l *priorityLimiter) dispatchNext() (time.Duration, bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	class := slices.IndexFunc(l.queues[:], func(q []*waiter) bool { return len(q) > 0 })
	if class < 0 {
		l.dispatching = false
		return 0, false
	}
	if !l.bucket.AllowN(now, 1) {
		deficit := 1 - l.bucket.TokensAt(now)
		delay := time.Duration(deficit / float64(l.bucket.Limit()) * float64(time.Second))
		return min(max(delay, time.Millisecond), maxDispatchDelay), true
	}
	first := l.queues[class][0]
	l.queues[class] = l.queues[class][1:]
	close(first.ready)
	return 0, true
}

// maxDispatchDelay limits each sleep of dispatch, and so the time until an
// increased rate takes effect.
const maxDispatchDelay = 100 * time.Millisecond
