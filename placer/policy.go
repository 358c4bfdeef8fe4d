// Package placer assigns the tasks of requests to targets.
package placer

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

//go:generate go tool stringer -type=TargetState,Verdict -linecomment -output=enums_string.go

// TargetState determines whether a target accepts new tasks.
type TargetState uint8

// Values of TargetState.
const (
	Placeable   TargetState = iota // placeable
	Leaving                        // leaving
	Quarantined                    // quarantined
	Unreachable                    // unreachable
	// Probing means that the target accepts ProbeTasks tasks, whose outcomes
	// determine whether it returns to service.
	Probing // probing
)

// ProbeTasks is the number of tasks that a target accepts after its state has
// changed to Probing.
const ProbeTasks = 3

// Verdict is the result of an attempt to place a request.
type Verdict uint8

// Values of Verdict.
const (
	Placed Verdict = iota // placed
	NoRoom                // noRoom
	// Reserved means that targets are reserved for the request, which waits until
	// its tasks fit.
	Reserved // reserved
)

// Assignment assigns the task with the given index to a target.
type Assignment struct {
	Index  int
	Target descriptor.TargetID
}

// Demand describes a request to be placed.
type Demand struct {
	Request *descriptor.Request
	// RunTime is the estimated run time of a task.
	RunTime time.Duration
	// Avoid lists targets on which earlier attempts of the request have failed.
	Avoid []descriptor.TargetID
}

// Policy places tasks on targets and tracks the capacity in use. Callers pass in
// the current time; a policy reads no clock. Implementations are safe for
// concurrent use.
type Policy interface {
	// AddTarget adds a target or updates a known one, for example its capacity.
	// The usage of a known target is kept.
	AddTarget(t descriptor.Target)
	// RemoveTarget removes a target and its usage.
	RemoveTarget(id descriptor.TargetID)
	// SetState sets the state of a target.
	SetState(id descriptor.TargetID, s TargetState)
	// Place assigns either all tasks of the request to targets or none, and
	// allocates the resources of assigned tasks.
	Place(now time.Time, d Demand) ([]Assignment, Verdict)
	// AddRunning allocates the resources of a task that already runs on the
	// target. The usage may then exceed the target's capacity.
	AddRunning(id descriptor.TargetID, r descriptor.Resources)
	// Release frees the resources of one task.
	Release(now time.Time, id descriptor.TargetID, r descriptor.Resources)
	// CancelReservation cancels the reservation of a request that no longer
	// waits to be placed.
	CancelReservation(key descriptor.Key)
	// NeverFits returns the reason why the request could not run even if all
	// known targets were placeable and empty, or "" if it could.
	NeverFits(r *descriptor.Request) string
	// Totals returns the total capacity and usage of the placeable targets.
	Totals() (capacity, used descriptor.Resources)
}
