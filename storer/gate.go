package storer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// gate is a token bucket whose waiters are served by class, then in order of
// arrival.
type gate struct {
	clock clockwork.Clock

	mu      sync.Mutex
	limiter *rate.Limiter
	waiting [classCount][]*waiter
	pumping bool
}

// waiter is a call that waits for a token.
type waiter struct{ ready chan struct{} }

func newGate(clock clockwork.Clock, perSecond float64) *gate {
	g := &gate{clock: clock, limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
	return g
}

// burst allows a quarter of a second's tokens at once, and at least two: a share
// of about one per second would otherwise delay every second call.
func burst(perSecond float64) int { return max(2, int(perSecond/4)) }

func (g *gate) setRate(perSecond float64) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetLimitAt(now, rate.Limit(perSecond))
	g.limiter.SetBurstAt(now, burst(perSecond))
}

// wait returns when the call may be sent, or with the context's error. A renewal
// is sent at once; its token is taken from the calls after it.
func (g *gate) wait(ctx context.Context, class Class) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := g.clock.Now()
	g.mu.Lock()
	if class == ClassRenewal {
		g.limiter.ReserveN(now, 1)
		g.mu.Unlock()
		return nil
	}
	if !g.pumping && g.limiter.AllowN(now, 1) {
		g.mu.Unlock()
		return nil
	}
	w := &waiter{ready: make(chan struct{})}
	g.waiting[class] = append(g.waiting[class], w)
	if !g.pumping {
		g.pumping = true
		go g.pump()
	}
	g.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		g.leave(class, w)
		return ctx.Err()
	}
}

// leave removes a waiter whose context has ended. A token that it was given
// meanwhile is lost.
func (g *gate) leave(class Class, w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting[class], w); i >= 0 {
		g.waiting[class] = slices.Delete(g.waiting[class], i, i+1)
	}
}

// pump hands out tokens until nobody waits.
func (g *gate) pump() {
	for {
		delay, more := g.serve()
		if !more {
			return
		}
		if delay > 0 {
			g.clock.Sleep(delay)
		}
	}
}

// serve gives a token to the first waiter, or returns the time until there is
// one.
func (g *gate) serve() (time.Duration, bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	class := slices.IndexFunc(g.waiting[:], func(q []*waiter) bool { return len(q) > 0 })
	if class < 0 {
		g.pumping = false
		return 0, false
	}
	if !g.limiter.AllowN(now, 1) {
		missing := 1 - g.limiter.TokensAt(now)
		delay := time.Duration(missing / float64(g.limiter.Limit()) * float64(time.Second))
		return min(max(delay, time.Millisecond), maxNap), true
	}
	first := g.waiting[class][0]
	g.waiting[class] = g.waiting[class][1:]
	close(first.ready)
	return 0, true
}

// maxNap bounds the time until a raised rate takes effect.
const maxNap = 100 * time.Millisecond
