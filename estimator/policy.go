// Package estimator predicts the run times of tasks and the response times of
// dependencies.
package estimator

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Estimate is a prediction of the run time of a task.
type Estimate struct {
	// Low and High are approximately the 1st and the 99th percentile of the run
	// time, Mean is approximately its expected value.
	Low, Mean, High time.Duration
}

// Policy predicts run times. It is not safe for concurrent use.
type Policy interface {
	// Estimate predicts the run time of a task of the request r.
	Estimate(r *descriptor.Request) Estimate
	// Observe records the run time of a completed task of the request r.
	Observe(r *descriptor.Request, runTime time.Duration)
}

// Declared is the baseline policy. It predicts the declared run time.
type Declared struct{}

// Estimate returns the declared run time, or MinRunTime if that is longer.
func (Declared) Estimate(r *descriptor.Request) Estimate {
	declared := max(r.DeclaredRun, MinRunTime)
	return Estimate{Low: declared, Mean: declared, High: declared}
}

// Observe does nothing.
func (Declared) Observe(*descriptor.Request, time.Duration) {}
