// Package connector defines what masticlead needs of the platform and holds the
// clients that speak to it. Everything else reaches the platform through the
// interfaces of this package, so that another platform can be put behind them.
package connector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Errors of the table service and the object store.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the service surely did not carry out the call.
	ErrUnavailable = errors.New("service unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect.
	ErrAmbiguous = errors.New("outcome of the write is not known")
)

// RowKey is the primary key of a table row.
type RowKey string

// RowVersion changes with every write to a row. 0 means that the row is absent.
type RowVersion uint64

// Row is a row of the table service.
type Row struct {
	Key     RowKey          `json:"key"`
	Version RowVersion      `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Condition requires a row to have a version; version 0 requires its absence.
type Condition struct {
	Key     RowKey     `json:"key"`
	Version RowVersion `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   RowKey          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is a set of writes that take effect together if all conditions
// hold. It has at most MaxTransactionRows puts and deletes.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []RowKey    `json:"deletes,omitempty"`
}

// MaxTransactionRows is the largest number of writes in one transaction.
const MaxTransactionRows = 128

// ConditionError lists the rows whose conditions did not hold, as they are now.
// A row with version 0 is absent. Nothing was written.
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
// linearizable. Calls end with the context.
type Table interface {
	// Get returns a row or ErrNotFound.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater
	// than after, in key order.
	Scan(ctx context.Context, prefix, after RowKey, limit int) ([]Row, error)
	// Commit carries out a transaction. It returns the new versions of the rows
	// put, in their order. It fails with *ConditionError, ErrUnavailable or
	// ErrAmbiguous.
	Commit(ctx context.Context, t Transaction) ([]RowVersion, error)
}

// Objects is an object store. Objects do not change once written.
type Objects interface {
	PutObject(ctx context.Context, key string, body []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// ListedInstance is an entry instance as the platform lists it.
type ListedInstance struct {
	ID         descriptor.InstanceID   `json:"id"`
	DataCentre descriptor.DataCentreID `json:"dataCentre"`
	// PeerAddress is the host:port that other instances connect to.
	PeerAddress string `json:"peerAddress"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Listing is the platform's lagging list of instances and targets.
type Listing struct {
	Instances []ListedInstance    `json:"instances"`
	Targets   []descriptor.Target `json:"targets"`
}

// Directory returns the platform's lagging list for one data centre, or for all
// of them if dataCentre is empty.
type Directory interface {
	List(ctx context.Context, dataCentre descriptor.DataCentreID) (Listing, error)
}

// TargetClock is a time on the monotonic clock of a target.
type TargetClock int64

// StartOrder asks a target to run a task.
type StartOrder struct {
	Task    descriptor.TaskID  `json:"task"`
	Key     descriptor.Key     `json:"key"`
	Epoch   descriptor.Epoch   `json:"epoch"`
	Attempt descriptor.Attempt `json:"attempt"`
	// Index is the position of the task in its request, from 0.
	Index int `json:"index"`
	// Of is the number of tasks of the request.
	Of         int                  `json:"of"`
	Idempotent bool                 `json:"idempotent"`
	Kind       descriptor.KindName  `json:"kind"`
	Resources  descriptor.Resources `json:"resources"`
	// StartBeforeMs is the last moment at which the target may start the task,
	// on its own clock.
	StartBeforeMs TargetClock `json:"startBeforeMs"`
	// LeaseMs is how long the task may run without a renewal.
	LeaseMs int64           `json:"leaseMs"`
	Payload json.RawMessage `json:"payload,omitempty"`
	// Resume continues from the task's last checkpoint.
	Resume bool `json:"resume,omitempty"`
}

// ErrRejected means that the target did not start the task and never will.
var ErrRejected = errors.New("target rejected the task")

// ListedTask is a task in a target's own list.
type ListedTask struct {
	Task       descriptor.TaskID    `json:"task"`
	Key        descriptor.Key       `json:"key"`
	Epoch      descriptor.Epoch     `json:"epoch"`
	Attempt    descriptor.Attempt   `json:"attempt"`
	Index      int                  `json:"index"`
	Of         int                  `json:"of"`
	Idempotent bool                 `json:"idempotent"`
	Kind       descriptor.KindName  `json:"kind"`
	Resources  descriptor.Resources `json:"resources"`
	State      descriptor.TaskState `json:"state"`
	StartedMs  TargetClock          `json:"startedMs"`
	EndedMs    TargetClock          `json:"endedMs,omitempty"`
	Result     json.RawMessage      `json:"result,omitempty"`
	Error      string               `json:"error,omitempty"`
	// Checkpointed says that the task can be resumed on this data centre's
	// targets.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// TargetStatus is part of every answer of a target.
type TargetStatus struct {
	Target   descriptor.TargetID  `json:"target"`
	NowMs    TargetClock          `json:"nowMs"`
	Leaving  bool                 `json:"leaving,omitempty"`
	Capacity descriptor.Resources `json:"capacity"`
	// Used is the target's own usage report, which lags.
	Used descriptor.Resources `json:"used"`
	// Sequence is the number of the last task event of the target.
	Sequence uint64 `json:"sequence"`
}

// TaskList is a target's answer with tasks.
type TaskList struct {
	TargetStatus
	Tasks []ListedTask `json:"tasks"`
}

// Directive changes a running task.
type Directive string

// The directives that targets know.
const (
	StopTask       Directive = "stop"
	CheckpointTask Directive = "checkpoint" // saves the task's state and stops it
	ThrottleTask   Directive = "throttle"
	UnthrottleTask Directive = "unthrottle"
)

// TargetConn is a connection to one target.
type TargetConn interface {
	// Start sends a start order. It returns nil error if the task runs,
	// ErrRejected or ErrUnavailable if it surely does not, and ErrAmbiguous if
	// it may.
	Start(ctx context.Context, o StartOrder) (TargetStatus, error)
	// Tasks lists all running tasks and the ended ones that the target still
	// remembers.
	Tasks(ctx context.Context) (TaskList, error)
	// Events returns the tasks that changed after the given sequence number,
	// waiting up to wait for the first. It is idempotent.
	Events(ctx context.Context, after uint64, wait time.Duration) (TaskList, error)
	// Renew extends the leases of all given tasks, or of all running tasks if
	// there are none given, until a time on the target's clock. It never shortens
	// a lease, so a renewal that arrives late does no harm.
	Renew(ctx context.Context, tasks []descriptor.TaskID, until TargetClock) (TargetStatus, error)
	// Direct changes a running task. A task that has ended is no error.
	Direct(ctx context.Context, task descriptor.TaskID, d Directive) (TargetStatus, error)
	// Close releases the connection.
	Close() error
}

// Dialer connects to targets.
type Dialer interface {
	Dial(t descriptor.Target) TargetConn
}
