package estimator

import (
	"math"
	"time"
)

// Bounds of the estimated speed of a target and of the speed that a single run shows.
const (
	MinSpeed = 0.2
	MaxSpeed = 5.0
)

const (
	// speedPrior is the weight of the prior, a speed of 1, as a number of runs.
	speedPrior = 4
	// speedWindow is the number of runs from which on older ones are discounted. A
	// target of 16 cores ends that many runs of 2 s in about ten seconds.
	speedWindow = 24
)

// Speed estimates how fast a target runs tasks: the geometric moving average of the
// ratio of expected to actual run times. The zero value has no runs and a speed of 1.
type Speed struct {
	logMean float64
	weight  float64 // number of runs that the average covers, at most speedWindow
	runs    int
}

// Observe adds a run that executed its task from start to end.
func (s *Speed) Observe(expected, actual time.Duration) {
	if expected <= 0 || actual <= 0 {
		return
	}
	s.add(expected, actual, 1)
	s.weight = min(s.weight, speedWindow)
	s.runs++
}

// WithPartial returns the estimate with a part of a run, which counts as the given
// share of a run. The part is not kept: the run is added by Observe when it ends.
func (s Speed) WithPartial(expected, actual time.Duration, share float64) Speed {
	if expected > 0 && actual > 0 && share > 0 {
		s.add(expected, actual, min(share, 1))
	}
	return s
}

func (s *Speed) add(expected, actual time.Duration, weight float64) {
	ratio := min(MaxSpeed, max(MinSpeed, expected.Seconds()/actual.Seconds()))
	s.weight += weight
	s.logMean += weight / (speedPrior + s.weight) * (math.Log(ratio) - s.logMean)
}

// Restart halves the weight of the earlier runs. A new incarnation of a target is often
// on the same machine, but may be on another.
func (s *Speed) Restart() {
	s.logMean *= (speedPrior + s.weight) / (2*speedPrior + s.weight)
	s.weight /= 2
	s.runs /= 2
}

// Value returns the estimated speed.
func (s Speed) Value() float64 { return math.Exp(s.logMean) }

// Runs returns the number of runs that were observed. Restart halves it.
func (s Speed) Runs() int { return s.runs }
