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
		suspectAfter: 3, probeEvery: 500 * time.Millisecond,
		backoffMin: 50 * time.Millisecond, backoffMax: 2 * time.Second,
	}
}

// TestSuspicion guards against calls that wait for a paused peer one after the
// other, and against a peer that stays suspected after it answered.
func TestSuspicion(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHealth()
	for range 3 {
		require.True(t, h.admit(clock.Now()))
		sent := clock.Now()
		clock.Advance(time.Second)
		h.timedOut(sent, clock.Now())
	}
	require.True(t, h.suspected())
	require.False(t, h.admit(clock.Now()))
	clock.Advance(500 * time.Millisecond)
	require.True(t, h.admit(clock.Now()), "one probe per interval")
	require.False(t, h.admit(clock.Now()))
	h.heard(clock.Now())
	require.False(t, h.suspected())
	require.True(t, h.admit(clock.Now()))
}

// TestSlowHandlerIsNoSuspicion guards against an instance that is suspected
// because one of its handlers is slow while it answers other calls.
func TestSlowHandlerIsNoSuspicion(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := newHealth()
	for range 10 {
		sent := clock.Now()
		clock.Advance(500 * time.Millisecond)
		h.heard(clock.Now())
		clock.Advance(500 * time.Millisecond)
		h.timedOut(sent, clock.Now())
	}
	require.False(t, h.suspected())
}

// TestDialBackoff guards against a reconnect storm: waits grow to the maximum,
// are spread, and end with the first success.
func TestDialBackoff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	random := rand.New(rand.NewPCG(1, 2))
	h := newHealth()
	want := 50 * time.Millisecond
	seen := map[time.Duration]bool{}
	for range 100 {
		h.dialed(false, clock.Now(), random)
		wait := h.nextDial.Sub(clock.Now())
		require.GreaterOrEqual(t, wait, want/2)
		require.LessOrEqual(t, wait, want)
		seen[wait] = true
		require.False(t, h.mayDial(clock.Now()))
		clock.Advance(wait)
		require.True(t, h.mayDial(clock.Now()))
		want = min(2*want, 2*time.Second)
	}
	require.Greater(t, len(seen), 90)
	h.dialed(true, clock.Now(), random)
	require.True(t, h.mayDial(clock.Now()))
}
