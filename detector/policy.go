// Package detector finds targets that fail whatever they start. Such a target
// looks fast and idle, so it draws more and more work.
package detector

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// Change asks for a new state of a target.
type Change struct {
	Target descriptor.TargetID
	// State is Quarantined, Probing or Placeable.
	State placer.TargetState
	// Reason is a word for logs and metrics, such as probeFailed.
	Reason string
	// Score is the evidence against the target at the change.
	Score float64
}

// Policy judges targets by the results of their tasks. It has no clock of its
// own and is safe for concurrent use.
type Policy interface {
	// AddTarget adds a target; a known one is unchanged.
	AddTarget(id descriptor.TargetID)
	// RemoveTarget forgets a target.
	RemoveTarget(id descriptor.TargetID)
	// Observe takes the result of a task that ran for the given time. Tasks that
	// were stopped by us have no result.
	Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName, succeeded bool, ran time.Duration, now time.Time)
	// Changes returns the changes of state since the last call, ordered by
	// target. It is to be called at least once a second, and after failures.
	Changes(now time.Time) []Change
}

var _ Policy = None{}

// None is the plain baseline: no target is ever quarantined.
type None struct{}

// AddTarget implements Policy.
func (None) AddTarget(descriptor.TargetID) {}

// RemoveTarget implements Policy.
func (None) RemoveTarget(descriptor.TargetID) {}

// Observe implements Policy.
func (None) Observe(descriptor.TargetID, descriptor.Key, descriptor.KindName, bool, time.Duration, time.Time) {
}

// Changes implements Policy.
func (None) Changes(time.Time) []Change { return nil }
