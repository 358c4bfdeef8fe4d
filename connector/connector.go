// Package connector defines the interfaces to the platform and to its targets, and
// implements their HTTP clients. All other packages access the platform only
// through these interfaces, so that another platform can be substituted.
package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Errors returned by calls to the platform and to targets.
var (
	// ErrNotFound is returned if the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable is returned if the call was certainly not executed.
	ErrUnavailable = errors.New("service unavailable")
	// ErrAmbiguous is returned if it is unknown whether a write took effect.
	ErrAmbiguous = errors.New("outcome of the write is not known")
)

// RowKey is the primary key of a table row.
type RowKey string

// RowVersion is the version of a row, which changes with every write to it. 0
// stands for an absent row.
type RowVersion uint64

// Row is a row of the table service.
type Row struct {
	Key     RowKey          `json:"key"`
	Version RowVersion      `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Condition is a precondition of a transaction: the row must have the given
// version, or must be absent if the version is 0.
type Condition struct {
	Key     RowKey     `json:"key"`
	Version RowVersion `json:"version"`
}

// Put is a write of one row in a transaction.
type Put struct {
	Key   RowKey          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is a set of writes that is applied atomically if all conditions
// hold. It may contain at most MaxTransactionRows puts and deletes in total.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []RowKey    `json:"deletes,omitempty"`
}

// MaxTransactionRows is the maximum number of writes in a transaction.
const MaxTransactionRows = 128

// ConditionError is returned if conditions of a transaction did not hold; nothing
// was written. Rows holds the current state of the rows concerned, with version 0
// for absent rows.
type ConditionError struct {
	Rows []Row `json:"rows"`
}

// Error implements error.
func (e *ConditionError) Error() string {
	if len(e.Rows) == 0 {
		return "transaction condition failed"
	}
	return fmt.Sprintf("transaction condition failed on %d rows, first %q at version %d",
		len(e.Rows), e.Rows[0].Key, e.Rows[0].Version)
}

// Table is a transactional table service. Reads and transactions are
// linearizable. Calls return when their context is done.
type Table interface {
	// Get returns a row, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater
	// than after, in key order.
	Scan(ctx context.Context, prefix, after RowKey, limit int) ([]Row, error)
	// Commit executes a transaction and returns the new versions of the rows put,
	// in the order of Puts. It fails with *ConditionError, ErrUnavailable or
	// ErrAmbiguous.
	Commit(ctx context.Context, t Transaction) ([]RowVersion, error)
}

// ObjectStore is a store of immutable objects.
type ObjectStore interface {
	PutObject(ctx context.Context, key string, body []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// ListedInstance is an instance in a directory listing.
type ListedInstance struct {
	ID         descriptor.InstanceID   `json:"id"`
	DataCentre descriptor.DataCentreID `json:"dataCentre"`
	// PeerAddress is the host:port at which other instances connect to it.
	PeerAddress string `json:"peerAddress"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Listing is a directory listing of instances and targets. It may be out of date.
type Listing struct {
	Instances []ListedInstance    `json:"instances"`
	Targets   []descriptor.Target `json:"targets"`
}

// Directory is the platform's eventually consistent directory of instances and
// targets. List returns the listing of one data centre, or of all data centres if
// dataCentre is empty.
type Directory interface {
	List(ctx context.Context, dataCentre descriptor.DataCentreID) (Listing, error)
}

// TargetTime is a time in milliseconds on the monotonic clock of a target.
type TargetTime int64

// StartOrder is a request to a target to start a task.
type StartOrder struct {
	Task    descriptor.TaskID  `json:"task"`
	Key     descriptor.Key     `json:"key"`
	Epoch   descriptor.Epoch   `json:"epoch"`
	Attempt descriptor.Attempt `json:"attempt"`
	// Index is the zero-based position of the task in its request.
	Index int `json:"index"`
	// TaskCount is the number of tasks in the request.
	TaskCount  int                  `json:"of"`
	Idempotent bool                 `json:"idempotent"`
	Kind       descriptor.KindName  `json:"kind"`
	Resources  descriptor.Resources `json:"resources"`
	// StartBeforeMs is the deadline on the target's clock for starting the task.
	// The target rejects the order after it.
	StartBeforeMs TargetTime `json:"startBeforeMs"`
	// LeaseMs is the duration of the task's initial lease. The target stops the
	// task when the lease expires without a renewal.
	LeaseMs int64           `json:"leaseMs"`
	Payload json.RawMessage `json:"payload,omitempty"`
	// Resume makes the task continue from its last checkpoint.
	Resume bool `json:"resume,omitempty"`
}

// ErrRejected is returned if the target did not start the task and will not start
// it later.
var ErrRejected = errors.New("target rejected the task")

// ListedTask is the state of a task as reported by its target.
type ListedTask struct {
	Task       descriptor.TaskID    `json:"task"`
	Key        descriptor.Key       `json:"key"`
	Epoch      descriptor.Epoch     `json:"epoch"`
	Attempt    descriptor.Attempt   `json:"attempt"`
	Index      int                  `json:"index"`
	TaskCount  int                  `json:"of"`
	Idempotent bool                 `json:"idempotent"`
	Kind       descriptor.KindName  `json:"kind"`
	Resources  descriptor.Resources `json:"resources"`
	State      descriptor.TaskState `json:"state"`
	StartedMs  TargetTime           `json:"startedMs"`
	EndedMs    TargetTime           `json:"endedMs,omitempty"`
	Result     json.RawMessage      `json:"result,omitempty"`
	Error      string               `json:"error,omitempty"`
	// Checkpointed is set if the task can be resumed on any target of the same data
	// centre.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// TargetStatus is the target state included in every response of a target.
type TargetStatus struct {
	Target   descriptor.TargetID  `json:"target"`
	NowMs    TargetTime           `json:"nowMs"`
	Leaving  bool                 `json:"leaving,omitempty"`
	Capacity descriptor.Resources `json:"capacity"`
	// Used is the resource usage measured by the target. It lags behind the actual
	// usage.
	Used descriptor.Resources `json:"used"`
	// Sequence is the sequence number of the target's latest task event.
	Sequence uint64 `json:"sequence"`
}

// TaskList is a response of a target that contains tasks.
type TaskList struct {
	TargetStatus
	Tasks []ListedTask `json:"tasks"`
}

// Directive is a command to a running task.
type Directive string

// Directives supported by targets.
const (
	StopTask       Directive = "stop"
	CheckpointTask Directive = "checkpoint" // saves the state of the task, then stops it
	ThrottleTask   Directive = "throttle"
	UnthrottleTask Directive = "unthrottle"
)

// TargetConn is a connection to one target.
type TargetConn interface {
	// Start sends a start order. The error is nil if the task was started,
	// ErrRejected or ErrUnavailable if it was certainly not, and ErrAmbiguous if
	// that is unknown.
	Start(ctx context.Context, o StartOrder) (TargetStatus, error)
	// Tasks lists all running tasks, and the ended tasks that the target still
	// retains.
	Tasks(ctx context.Context) (TaskList, error)
	// Events returns the tasks that changed after the given sequence number. If
	// there are none, it waits for a change for at most the duration wait. It is
	// idempotent.
	Events(ctx context.Context, after uint64, wait time.Duration) (TaskList, error)
	// Renew extends the leases of the given tasks, or of all running tasks if none
	// are given, until a time on the target's clock. It never shortens a lease, so a
	// delayed renewal is harmless.
	Renew(ctx context.Context, tasks []descriptor.TaskID, until TargetTime) (TargetStatus, error)
	// SendDirective sends a directive to a running task. It is not an error if the
	// task has already ended.
	SendDirective(ctx context.Context, task descriptor.TaskID, d Directive) (TargetStatus, error)
	// Close releases the connection.
	Close() error
}

// Dialer creates connections to targets.
type Dialer interface {
	Dial(t descriptor.Target) TargetConn
}
