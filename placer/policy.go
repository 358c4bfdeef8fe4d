// Package placer decides which targets the tasks of a request run on.
package placer

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

//go:generate go tool stringer -type=TargetState,Verdict -linecomment -output=enums_string.go

// TargetState says whether a target takes new tasks.
type TargetState uint8

// The states of a target.
const (
	Placeable   TargetState = iota // placeable
	Leaving                        // leaving
	Quarantined                    // quarantined
	Unreachable                    // unreachable
	// Probing means that the target takes ProbeTasks tasks, which show whether it
	// can return to service.
	Probing // probing
)

// ProbeTasks is the number of tasks that a target takes after its state has
// changed to Probing.
const ProbeTasks = 3

// Verdict is the answer to one attempt to place a request.
type Verdict uint8

// The verdicts.
const (
	Placed Verdict = iota // placed
	NoRoom                // noRoom
	// Reserved means that a request of several tasks waits for its reservation.
	Reserved // reserved
)

// Assignment is the target of one task.
type Assignment struct {
	Index  int
	Target descriptor.TargetID
}

// Demand is what a policy needs to know of a request that it places.
type Demand struct {
	Request *descriptor.Request
	// Run is the estimated run time of a task.
	Run time.Duration
	// Avoid lists targets that an earlier attempt of the request failed on.
	Avoid []descriptor.TargetID
}

// Policy places tasks on targets and accounts for their capacity. All times are
// passed in; a policy has no clock of its own. It is safe for concurrent use.
type Policy interface {
	// AddTarget adds a target or changes the capacity of a known one. What is
	// in use stays accounted for.
	AddTarget(t descriptor.Target)
	// RemoveTarget forgets a target and everything that is in use on it.
	RemoveTarget(id descriptor.TargetID)
	// SetState says whether the target takes new tasks.
	SetState(id descriptor.TargetID, s TargetState)
	// Place finds targets for all tasks of the request, or for none, and takes
	// their capacity.
	Place(now time.Time, d Demand) ([]Assignment, Verdict)
	// Take accounts for a task that was found running on the target. It may
	// exceed the target's capacity.
	Take(id descriptor.TargetID, r descriptor.Resources)
	// Release gives back what one task had taken.
	Release(now time.Time, id descriptor.TargetID, r descriptor.Resources)
	// Withdraw drops the reservation of a request that no longer waits.
	Withdraw(key descriptor.Key)
	// NeverFits returns the reason why the request can't run on any known
	// target, whatever their state, or "" if it can.
	NeverFits(r *descriptor.Request) string
	// Totals returns the capacity of all placeable targets and what is in use
	// on them.
	Totals() (capacity, used descriptor.Resources)
}
