package descriptor

import (
	"encoding/json"
	"time"
)

// Policy selects how a kind of work is queued and placed.
type Policy uint8

// The policies.
const (
	Interactive Policy = iota // interactive
	Batch                     // batch
	Gang                      // gang
	Service                   // service
)

// Priority orders work within its team.
type Priority uint8

// The priorities, from first to last.
const (
	Urgent Priority = iota // urgent
	Normal                 // normal
	Bulk                   // bulk
)

// Request is work that a caller asked for, after the rules have been applied.
type Request struct {
	Key
	Team     TeamID   `json:"team"`
	Kind     KindName `json:"kind"`
	Policy   Policy   `json:"policy"`
	Priority Priority `json:"priority"`

	// Idempotent work may run again after an earlier run has ended.
	Idempotent bool `json:"idempotent"`
	// Checkpointable work can be stopped and continued later.
	Checkpointable bool `json:"checkpointable,omitempty"`

	// Tasks is the number of tasks that must run at once; at least 1.
	Tasks int `json:"tasks"`
	// Resources is what each task needs.
	Resources Resources `json:"resources"`
	// DeclaredRun is the run time that the caller or the rules declare. It is
	// often far off and serves only as a prior.
	DeclaredRun time.Duration `json:"declaredRunNs"`
	// Arrived is when the owner accepted the request, on the owner's clock.
	Arrived time.Time `json:"-"`
	// Deadline is when the caller needs the answer, on the owner's clock.
	Deadline time.Time `json:"-"`
	// Payload is passed on to the target unread.
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Size returns the memory that the request takes in a queue.
func (r *Request) Size() Bytes {
	const fixed = 256 // fields, queue node and map entry
	return Bytes(fixed + len(r.Caller) + len(r.ID) + len(r.Payload))
}

// TaskState is the state of a task at its target.
type TaskState uint8

// The states of a task.
const (
	TaskRunning   TaskState = iota // running
	TaskCompleted                  // completed
	TaskFailed                     // failed
	TaskStopped                    // stopped
	TaskExpired                    // expired
)

// Ended reports whether the task no longer uses its target.
func (s TaskState) Ended() bool { return s != TaskRunning }
