// Package keeper stores the state of a cell that must survive the loss of all
// instances: jobs, their progress, cancellations, the leader of the cell and the
// targets that may run tasks.
package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	w "github.com/masticlead/masticlead/workload"
)

// Version is the version of a row. Zero means that the row does not exist.
type Version int64

// Key names a row.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a row of the store.
type Row struct {
	Key
	Value   []byte
	Version Version
	Deleted bool // set only in the results of Store.Changes
}

// Precondition is the version that a row must have for a transaction to commit.
type Precondition struct {
	Key
	Version Version
}

// Tx is a transaction. Its writes and deletes are applied together or not at all.
type Tx struct {
	Preconditions []Precondition
	Writes        []Row
	Deletes       []Key
}

// ConflictError is returned for a transaction whose preconditions do not hold.
type ConflictError struct {
	Rows []Row // current rows of the preconditions
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("keeper: transaction preconditions failed; %d current rows returned", len(c.Rows))
}

// Errors returned by a Store.
var (
	// ErrNotExecuted means that the store certainly did not execute the request.
	ErrNotExecuted = errors.New("keeper: request not executed by the store")
	// ErrOutcomeUnknown means that the store may have applied a change or may
	// still apply it.
	ErrOutcomeUnknown = errors.New("keeper: no valid response from the store")
	// ErrRejected means that the store refuses the request as it is, so that a repetition
	// is of no use. Such errors wrap ErrNotExecuted as well.
	ErrRejected = errors.New("keeper: request rejected by the store")
	// ErrHistoryTruncated means that the store no longer has the changes after
	// the given version.
	ErrHistoryTruncated = errors.New("keeper: requested version is no longer in the history of the store")
)

// Store is the platform's transactional row store.
type Store interface {
	// Commit applies a transaction and returns the version of the rows written.
	Commit(ctx context.Context, tx *Tx) (Version, error)
	// Scan reads the rows of a partition whose names are in [from, to). An empty
	// to means no upper bound.
	Scan(ctx context.Context, table, partition, from, to string) ([]Row, Version, error)
	// Changes waits up to wait for changes to a table after a version.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error)
	// Clock returns the time of the store's monotonic clock. It may lag by the
	// latency of a response.
	Clock() time.Duration
}

// Tables of the store.
const (
	TableJobs          = "jobs"
	TableProgress      = "progress"
	TableCancellations = "cancels"
	TableControl       = "control"
)

const (
	leaderName = "leader"
	rosterName = "roster"
	// maxTxRows is the number of rows at which Save commits a transaction.
	maxTxRows = 90
	// maxTxBytes is the encoded size at which Save commits a transaction. It is
	// well below the store's limit of 1 MB.
	maxTxBytes = 600 << 10
)

// Partitions is the number of partitions over which the rows of jobs are spread,
// so that the rate limit of a single partition is not the bottleneck.
type Partitions int

// Of returns the partition of a job.
func (p Partitions) Of(id w.JobID) string {
	if p <= 1 {
		return ""
	}
	return strconv.Itoa(int(xxhash.Sum64String(string(id)) % uint64(p)))
}

// All returns the names of all partitions.
func (p Partitions) All() []string {
	if p <= 1 {
		return []string{""}
	}
	names := make([]string, p)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return names
}

// Keeper reads and writes the rows of a cell.
type Keeper struct {
	Store      Store
	Partitions Partitions
	// Urgent is the store for takeovers and heartbeats. It is the same store over a
	// connection of its own, so that they do not wait behind other calls, as those of
	// a load. If it is nil, Store is used.
	Urgent Store
	// MaxRowBytes is the size of the largest value that the store takes, or 0 if it is not
	// known.
	MaxRowBytes int

	endPartition atomic.Int64 // index of the last of the endPartitions that answered a write
}

func (k *Keeper) urgent() Store {
	if k.Urgent != nil {
		return k.Urgent
	}
	return k.Store
}

// JobKey returns the key of a job's row.
func (k *Keeper) JobKey(id w.JobID) Key {
	return Key{TableJobs, k.Partitions.Of(id), string(id)}
}

// progressKey returns the key of the row of a job's progress. Progress is in the
// partition of the leader row, which is a precondition of every save: a
// transaction that spans partitions takes twice as long and delays the jobs that
// are accepted in them.
func progressKey(id w.JobID) Key {
	return Key{Table: TableProgress, Name: string(id)}
}

// Accept stores new jobs of one partition. It returns the stored jobs, which
// differ from the given ones where a job ID was already in use. The error wraps
// ErrRejected if the row of one of them is larger than the store takes.
func (k *Keeper) Accept(ctx context.Context, jobs []*w.Job) ([]*w.Job, error) {
	stored := make([]*w.Job, len(jobs))
	replaced := make(map[Key]Version) // versions of rows that are left of removed jobs
	for {
		var tx Tx
		positions := make(map[Key][]int, len(jobs))
		for i, j := range jobs {
			if stored[i] != nil {
				continue
			}
			key := k.JobKey(j.ID)
			if positions[key] = append(positions[key], i); len(positions[key]) > 1 {
				continue
			}
			value, err := json.Marshal(j)
			if err != nil {
				return nil, fmt.Errorf("keeper: encode job %s: %w", j.ID, err)
			}
			if k.MaxRowBytes > 0 && len(value) > k.MaxRowBytes {
				return nil, fmt.Errorf("keeper: job %s of %d steps takes %d bytes, limit %d: %w: %w", j.ID, len(j.Steps), len(value), k.MaxRowBytes, ErrRejected, ErrNotExecuted)
			}
			tx.Preconditions = append(tx.Preconditions, Precondition{Key: key, Version: replaced[key]})
			tx.Writes = append(tx.Writes, Row{Key: key, Value: value})
		}
		if len(tx.Writes) == 0 {
			return stored, nil
		}
		_, err := k.Store.Commit(ctx, &tx)
		var conflict *ConflictError
		switch {
		case err == nil:
			for _, duplicates := range positions {
				for _, i := range duplicates {
					stored[i] = jobs[duplicates[0]]
				}
			}
		case errors.As(err, &conflict):
			existing := 0
			for i := range conflict.Rows {
				for _, n := range positions[conflict.Rows[i].Key] {
					if conflict.Rows[i].Version == 0 {
						continue
					}
					existingJob, err := decodeJob(&conflict.Rows[i])
					if err != nil {
						return nil, err
					}
					removed, err := k.isRemoved(ctx, existingJob)
					if err != nil {
						return nil, fmt.Errorf("keeper: read progress of %s: %w", existingJob.ID, err)
					}
					if removed {
						key := conflict.Rows[i].Key
						if replaced[key] != conflict.Rows[i].Version {
							existing++
							replaced[key] = conflict.Rows[i].Version
						}
						continue
					}
					existing++
					stored[n] = existingJob
				}
			}
			if existing == 0 {
				return nil, fmt.Errorf("keeper: accept %d jobs: conflict names no existing row: %w", len(jobs), ErrOutcomeUnknown)
			}
		default:
			return nil, fmt.Errorf("keeper: accept %d jobs: %w", len(jobs), err)
		}
	}
}

func decodeJob(r *Row) (*w.Job, error) {
	j := new(w.Job)
	if err := json.Unmarshal(r.Value, j); err != nil {
		return nil, fmt.Errorf("keeper: decode job %s: %w", r.Name, err)
	}
	j.ID = w.JobID(r.Name)
	if j.Ended {
		return j, nil
	}
	if err := j.Validate(); err != nil {
		return nil, fmt.Errorf("keeper: invalid row of job %s: %w", r.Name, err)
	}
	return j, nil
}

// get reads one row. It returns nil if the row does not exist.
func (k *Keeper) get(ctx context.Context, key Key) (*Row, error) {
	rows, _, err := k.Store.Scan(ctx, key.Table, key.Partition, key.Name, key.Name+"\x00")
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return &rows[0], nil
}

// State returns the state of a job, which is workload.Unknown if the job does not
// exist.
func (k *Keeper) State(ctx context.Context, id w.JobID) (w.State, error) {
	key := k.JobKey(id)
	row, err := k.get(ctx, key)
	if err != nil {
		return w.Unknown, fmt.Errorf("keeper: read job %s: %w", id, err)
	}
	if row == nil {
		return w.Unknown, nil
	}
	job := row
	row, err = k.get(ctx, progressKey(id))
	if err != nil {
		return w.Unknown, fmt.Errorf("keeper: read progress of %s: %w", id, err)
	}
	var p Progress
	if row != nil {
		if p, err = decodeProgress(row); err != nil {
			return w.Unknown, err
		}
		if p.State.Final() {
			return p.State, nil
		}
	}
	if isEnded(job.Value) {
		// It was written after the job's removal.
		return w.Unknown, nil
	}
	key.Table = TableCancellations
	cancel, err := k.get(ctx, key)
	switch {
	case err != nil:
		return w.Unknown, fmt.Errorf("keeper: read cancellation of %s: %w", id, err)
	case cancel != nil && cancels(cancel, job):
		return w.Cancelled, nil
	case p.Started:
		return w.Running, nil
	default:
		return w.Queued, nil
	}
}

// Exists reports whether a job is stored.
func (k *Keeper) Exists(ctx context.Context, id w.JobID) (bool, error) {
	row, err := k.get(ctx, k.JobKey(id))
	if err != nil {
		return false, fmt.Errorf("keeper: read job %s: %w", id, err)
	}
	return row != nil, nil
}
