package descriptor

import (
	"encoding/json"
	"time"
)

// Policy determines how a kind of work is queued and placed.
type Policy uint8

// Scheduling policies.
const (
	Interactive Policy = iota // interactive
	Batch                     // batch
	Gang                      // gang
	Service                   // service
)

// Priority orders the requests within a team.
type Priority uint8

// Priorities, from highest to lowest.
const (
	Urgent Priority = iota // urgent
	Normal                 // normal
	Bulk                   // bulk
)

// Request is a unit of work submitted by a caller, after the rules have been
// applied to it.
type Request struct {
	Key
	Team     TeamID   `json:"team"`
	Kind     KindName `json:"kind"`
	Policy   Policy   `json:"policy"`
	Priority Priority `json:"priority"`

	// Idempotent means that the request may run again after an earlier run has
	// ended.
	Idempotent bool `json:"idempotent"`
	// Checkpointable means that the request can be stopped and resumed later.
	Checkpointable bool `json:"checkpointable,omitempty"`

	// Tasks is the number of tasks that must run concurrently; at least 1.
	Tasks int `json:"tasks"`
	// Resources is the amount of resources that each task requires.
	Resources Resources `json:"resources"`
	// DeclaredRun is the run time declared by the caller or the rules. It is
	// often inaccurate and serves only as a prior for the estimate.
	DeclaredRun time.Duration `json:"declaredRunNs"`
	// Arrived is the time at which the owner accepted the request, by the
	// owner's clock.
	Arrived time.Time `json:"-"`
	// Deadline is the time by which the caller needs the outcome, by the owner's
	// clock.
	Deadline time.Time `json:"-"`
	// Payload is forwarded to the target without being interpreted.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Size returns the approximate memory that a queued request occupies.
func (r *Request) Size() Bytes {
	const overhead = 256 // struct fields, queue node and map entry
	return Bytes(overhead + len(r.Caller) + len(r.ID) + len(r.Payload))
}

// TaskState is the state of a task on its target.
type TaskState uint8

// Task states.
const (
	TaskRunning   TaskState = iota // running
	TaskCompleted                  // completed
	TaskFailed                     // failed
	TaskStopped                    // stopped
	TaskExpired                    // expired
)

// Ended reports whether the state is terminal, so that the task no longer uses
// its target.
func (s TaskState) Ended() bool { return s != TaskRunning }
