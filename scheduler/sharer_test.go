package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// offer feeds a sharer with constant short and long demand on 100 slots.
func offer(s *Reserve, from time.Time, length time.Duration, short, long float64) time.Time {
	const step = 100 * time.Millisecond
	owed := 0.0
	for range int(length / step) {
		from = from.Add(step)
		for range int(short * 100 * step.Seconds() / 0.1) {
			s.Arrived(from, Arrival{Share: 0.01, Run: 100 * time.Millisecond, Admitted: true})
		}
		for owed += long * 100 * step.Seconds() / 100; owed >= 1; owed-- {
			s.Arrived(from, Arrival{Share: 0.01, Run: 100 * time.Second, Long: true, Admitted: true})
		}
	}
	return from
}

// TestReserveFollowsDemand guards against a reserve for short work that stays
// small when its demand rises, stays large when it falls, or starves long work.
func TestReserveFollowsDemand(t *testing.T) {
	s := NewReserve()
	now := offer(s, time.Unix(0, 0), 10*time.Minute, 0.2, 0.3)
	calm := s.LongAllowance(now)
	require.Greater(t, calm.Usual, 0.3)
	require.Less(t, calm.Usual, 0.8)
	now = offer(s, now, 10*time.Second, 0.6, 0.3)
	peak := s.LongAllowance(now)
	require.Less(t, peak.Usual, 0.45)
	now = offer(s, now, 5*time.Minute, 0.2, 0.3)
	require.InDelta(t, calm.Usual, s.LongAllowance(now).Usual, 0.05)
	now = offer(s, now, time.Minute, 3, 0.3)
	require.GreaterOrEqual(t, s.LongAllowance(now).Usual, longFloor)
}

// TestPatienceRaisesAllowance guards against long work that waits without end
// because the reserve never yields.
func TestPatienceRaisesAllowance(t *testing.T) {
	a := Allowance{Usual: 0.4, Most: 0.6}
	require.Equal(t, 0.4, a.After(0))
	require.InDelta(t, 0.5, a.After((patience+limit)/2), 1e-9)
	require.InDelta(t, 0.6, a.After(10), 1e-9)
}

// TestLongIsRelative guards against a fixed border between short and long work
// that is wrong for one of the users.
func TestLongIsRelative(t *testing.T) {
	for _, typical := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
		s := NewReserve()
		for i := range 200 {
			run := typical
			if i%100 == 0 {
				run *= 100
			}
			s.Arrived(time.Unix(0, 0), Arrival{Share: 0.01, Run: run, Admitted: true})
		}
		require.False(t, s.IsLong(3*typical))
		require.True(t, s.IsLong(50*typical))
	}
}

// TestShortFirstShrinksAllowance guards against a weight without effect.
func TestShortFirstShrinksAllowance(t *testing.T) {
	usual := func(weight float64) float64 {
		s := NewReserve()
		s.SetWeights(descriptor.Weights{ShortFirst: weight})
		return s.LongAllowance(offer(s, time.Unix(0, 0), 10*time.Minute, 0.3, 0.3)).Usual
	}
	require.Less(t, usual(3), usual(1))
}
