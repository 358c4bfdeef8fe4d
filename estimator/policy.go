// Package estimator predicts how long work will run.
package estimator

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Estimate is a prediction of the run time of a task.
type Estimate struct {
	// Low, Mean and High are about the 1%, the expected and the 99% run time.
	Low, Mean, High time.Duration
}

// Policy predicts run times. It is not safe for concurrent use.
type Policy interface {
	// Estimate predicts the run time of a task of the request.
	Estimate(r *descriptor.Request) Estimate
	// Observe learns from a task of the request that ran to its end.
	Observe(r *descriptor.Request, ran time.Duration)
}

// Declared is the plain baseline: it believes the declaration.
type Declared struct{}

// Estimate returns the declared run time.
func (Declared) Estimate(r *descriptor.Request) Estimate {
	d := max(r.DeclaredRun, MinRun)
	return Estimate{Low: d, Mean: d, High: d}
}

// Observe ignores the observation.
func (Declared) Observe(*descriptor.Request, time.Duration) {}
