package messenger

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func newHealth() *health {
	return &health{
		suspectAfter: 3, probeInterval: 500 * time.Millisecond,
		backoffMin: 50 * time.Millisecond, backoffMax: 2 * time.Second,
	}
}

// TestSuspectedPeer guards against calls that each wait for their deadline while
// the peer is paused, and against a peer that stays suspected after a frame was
// received from it.
func TestSuspectedPeer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHealth()
	for range 3 {
		require.True(t, h.allowCall(clock.Now()))
		sent := clock.Now()
		clock.Advance(time.Second)
		h.recordTimeout(sent, clock.Now())
	}
	require.True(t, h.suspected())
	require.False(t, h.allowCall(clock.Now()))
	clock.Advance(500 * time.Millisecond)
	require.True(t, h.allowCall(clock.Now()), "one probe per interval must be allowed")
	require.False(t, h.allowCall(clock.Now()))
	h.recordReceived(clock.Now())
	require.False(t, h.suspected())
	require.True(t, h.allowCall(clock.Now()))
}

// TestSlowHandlerNotSuspected guards against an instance that becomes suspected
// because one of its handlers is slow while it answers other calls.
func TestSlowHandlerNotSuspected(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHealth()
	for range 10 {
		sent := clock.Now()
		clock.Advance(500 * time.Millisecond)
		h.recordReceived(clock.Now())
		clock.Advance(500 * time.Millisecond)
		h.recordTimeout(sent, clock.Now())
	}
	require.False(t, h.suspected())
}

// TestDialBackoff guards against a reconnect storm: the backoff must grow to the
// maximum, have jitter and end with the first successful dial.
func TestDialBackoff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	rng := rand.New(rand.NewPCG(1, 2))
	h := newHealth()
	backoff := 50 * time.Millisecond
	delays := map[time.Duration]bool{}
	for range 100 {
		h.recordDial(false, clock.Now(), rng)
		delay := h.nextDial.Sub(clock.Now())
		require.GreaterOrEqual(t, delay, backoff/2)
		require.LessOrEqual(t, delay, backoff)
		delays[delay] = true
		require.False(t, h.allowDial(clock.Now()))
		clock.Advance(delay)
		require.True(t, h.allowDial(clock.Now()))
		backoff = min(2*backoff, 2*time.Second)
	}
	require.Greater(t, len(delays), 90)
	h.recordDial(true, clock.Now(), rng)
	require.True(t, h.allowDial(clock.Now()))
}
