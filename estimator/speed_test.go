package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func observedSpeed(actual time.Duration, runs int) Speed {
	return observedMore(Speed{}, actual, runs)
}

func observedMore(s Speed, actual time.Duration, runs int) Speed {
	for range runs {
		s.Observe(time.Second, actual)
	}
	return s
}

// TestSpeedLearnsFromRuns guards against an estimate that jumps with the first runs, that
// stays biased towards the prior or towards runs of long ago, or that leaves its bounds.
func TestSpeedLearnsFromRuns(t *testing.T) {
	for name, c := range map[string]struct {
		speed, low, high float64
	}{
		"no runs":                  {Speed{}.Value(), 1, 1},
		"prior weighs four runs":   {observedSpeed(4*time.Second, 4).Value(), 0.499, 0.501},
		"one run":                  {observedSpeed(2*time.Second, 1).Value(), 0.86, 0.88},
		"eight runs":               {observedSpeed(2*time.Second, 8).Value(), 0.62, 0.64},
		"many runs":                {observedSpeed(2*time.Second, 200).Value(), 0.499, 0.501},
		"24 slow runs after many":  {observedMore(observedSpeed(time.Second, 200), 2*time.Second, 24).Value(), 0.6, 0.8},
		"many fast runs":           {observedSpeed(800*time.Millisecond, 200).Value(), 1.24, 1.251},
		"run times beyond bounds":  {observedSpeed(time.Hour, 500).Value(), MinSpeed, MinSpeed + 0.001},
		"run times of nanoseconds": {observedSpeed(1, 500).Value(), MaxSpeed - 0.001, MaxSpeed + 1e-9},
		"invalid run times":        {observedSpeed(0, 500).Value(), 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.GreaterOrEqual(t, c.speed, c.low-1e-9)
			require.LessOrEqual(t, c.speed, c.high)
		})
	}
}

// TestSpeedRestart guards against a new incarnation that starts with the full confidence
// in the earlier one, or with none.
func TestSpeedRestart(t *testing.T) {
	s := observedSpeed(2*time.Second, 8)
	s.Restart()
	require.Equal(t, 4, s.Runs())
	require.InDelta(t, observedSpeed(2*time.Second, 4).Value(), s.Value(), 0.001)
}

// TestSpeedOfPartialRun guards against parts of runs that count more than whole runs, or
// that remain in the estimate after the run has ended.
func TestSpeedOfPartialRun(t *testing.T) {
	s := observedSpeed(time.Second, 8)
	half := s.WithPartial(time.Second, 5*time.Second, 0.5).Value()
	whole := s.WithPartial(time.Second, 5*time.Second, 7).Value()
	require.Less(t, whole, half)
	require.Less(t, half, s.Value())
	require.InDelta(t, 1, s.Value(), 1e-9)
	s.Observe(time.Second, 5*time.Second)
	require.InDelta(t, s.Value(), whole, 1e-9)
}
