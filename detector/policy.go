// Package detector quarantines targets that fail every task they start. Such a
// target appears fast and idle, so the scheduler would keep sending it more work.
package detector

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// StateChange requests that a target be set to a new state.
type StateChange struct {
	Target descriptor.TargetID
	// State is Quarantined, Probing or Placeable.
	State placer.TargetState
	// Reason identifies the cause in logs and metrics, such as probeFailed.
	Reason string
	// Score is the suspicion score of the target at the time of the change.
	Score float64
}

// Policy decides from the results of tasks which targets are in service. It does
// not read a clock; callers pass in the time. It is safe for concurrent use.
type Policy interface {
	// AddTarget adds a target. It has no effect if the target is already present.
	AddTarget(id descriptor.TargetID)
	// RemoveTarget discards the state of a target.
	RemoveTarget(id descriptor.TargetID)
	// Observe records the result of a task that ran for the duration ran. Tasks
	// stopped by the instance itself have no result and are not reported.
	Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName, succeeded bool, ran time.Duration, now time.Time)
	// Changes returns the state changes since the last call, ordered by target. It
	// must be called at least once a second, and after failures.
	Changes(now time.Time) []StateChange
}

var _ Policy = NoopPolicy{}

// NoopPolicy never quarantines a target. It is the baseline for comparisons.
type NoopPolicy struct{}

// AddTarget implements Policy.
func (NoopPolicy) AddTarget(descriptor.TargetID) {}

// RemoveTarget implements Policy.
func (NoopPolicy) RemoveTarget(descriptor.TargetID) {}

// Observe implements Policy.
func (NoopPolicy) Observe(descriptor.TargetID, descriptor.Key, descriptor.KindName, bool, time.Duration, time.Time) {
}

// Changes implements Policy.
func (NoopPolicy) Changes(time.Time) []StateChange { return nil }
