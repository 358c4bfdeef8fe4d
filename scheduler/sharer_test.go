package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// feed submits short and long work at a constant load for the given duration. The
// load is a fraction of 100 slots.
func feed(s *DemandReserve, from time.Time, length time.Duration, short, long float64) time.Time {
	const step = 100 * time.Millisecond
	due := 0.0 // long requests
	for range int(length / step) {
		from = from.Add(step)
		for range int(short * 100 * step.Seconds() / 0.1) {
			s.Arrived(from, Arrival{Share: 0.01, Run: 100 * time.Millisecond, Admitted: true})
		}
		for due += long * 100 * step.Seconds() / 100; due >= 1; due-- {
			s.Arrived(from, Arrival{Share: 0.01, Run: 100 * time.Second, Long: true, Admitted: true})
		}
	}
	return from
}

// TestReserveFollowsDemand guards against a reserve that does not grow or shrink
// with the load of short work, or that starves long work.
func TestReserveFollowsDemand(t *testing.T) {
	s := NewDemandReserve()
	now := feed(s, time.Unix(0, 0), 10*time.Minute, 0.2, 0.3)
	steady := s.LongAllowance(now)
	require.Greater(t, steady.Base, 0.3)
	require.Less(t, steady.Base, 0.8)
	now = feed(s, now, 10*time.Second, 0.6, 0.3)
	peak := s.LongAllowance(now)
	require.Less(t, peak.Base, 0.45)
	now = feed(s, now, 5*time.Minute, 0.2, 0.3)
	require.InDelta(t, steady.Base, s.LongAllowance(now).Base, 0.05)
	now = feed(s, now, time.Minute, 3, 0.3)
	require.GreaterOrEqual(t, s.LongAllowance(now).Base, minLongAllowance)
}

// TestSlowdownRaisesAllowance guards against starvation of long work by a reserve
// that does not depend on its slowdown.
func TestSlowdownRaisesAllowance(t *testing.T) {
	a := Allowance{Base: 0.4, Max: 0.6}
	require.Equal(t, 0.4, a.ForSlowdown(0))
	require.InDelta(t, 0.5, a.ForSlowdown((slowdownRaiseStart+slowdownRaiseEnd)/2), 1e-9)
	require.InDelta(t, 0.6, a.ForSlowdown(10), 1e-9)
}

// TestLongThresholdFollowsMedian guards against a fixed threshold between short and
// long work, which is wrong for workloads with other run times.
func TestLongThresholdFollowsMedian(t *testing.T) {
	for _, typical := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
		s := NewDemandReserve()
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

// TestShortFirstShrinksAllowance guards against a ShortFirst weight without effect.
func TestShortFirstShrinksAllowance(t *testing.T) {
	base := func(weight float64) float64 {
		s := NewDemandReserve()
		s.SetWeights(descriptor.Weights{ShortFirst: weight})
		return s.LongAllowance(feed(s, time.Unix(0, 0), 10*time.Minute, 0.3, 0.3)).Base
	}
	require.Less(t, base(3), base(1))
}
