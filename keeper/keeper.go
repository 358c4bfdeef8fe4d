// Package keeper keeps what must outlast all instances: jobs, their progress,
// cancellations, the leader of the cell and the targets that may run something.
package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	w "github.com/masticlead/masticlead/workload"
)

// Version is the version of a row. Zero stands for a row that doesn't exist.
type Version int64

// Key names a row.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row of the store.
type Row struct {
	Key
	Value   []byte
	Version Version
	Deleted bool // only in changes
}

// Check is a condition of a transaction.
type Check struct {
	Key
	Version Version
}

// Tx is an atomic change.
type Tx struct {
	Checks []Check
	Writes []Row
	Drops  []Key
}

// Conflict is returned by a transaction whose conditions don't hold.
type Conflict struct {
	Rows []Row // current rows of the conditions
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("keeper: conditions of the transaction don't hold; %d rows are current", len(c.Rows))
}

// Errors of the store.
var (
	// ErrNotDone tells that the store certainly did nothing.
	ErrNotDone = errors.New("keeper: the store did nothing")
	// ErrUnknown tells that a change may have been made, now or later.
	ErrUnknown = errors.New("keeper: the store gave no answer")
	// ErrHistoryLost tells that changes can't be read from the given version on.
	ErrHistoryLost = errors.New("keeper: the store no longer has that history")
)

// Store is the platform's store.
type Store interface {
	Commit(ctx context.Context, tx *Tx) (Version, error)
	// Scan reads the rows of a part whose names are in [from, to). An empty to
	// stands for the end.
	Scan(ctx context.Context, table, part, from, to string) ([]Row, Version, error)
	// Changes waits for changes of a table after a version.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error)
	// Clock returns the time on the store's steady clock. It may lag by the
	// time that an answer takes.
	Clock() time.Duration
}

// Tables of the keeper.
const (
	TableJobs     = "jobs"
	TableProgress = "progress"
	TableCancels  = "cancels"
	TableControl  = "control"
)

const (
	leaderName = "leader"
	rosterName = "roster"
	// txRows is the number of rows that one transaction writes.
	txRows = 90
	// txBytes keeps a transaction well below the store's limit of 1 MB.
	txBytes = 600 << 10
)

// Parts tells into how many parts the rows of jobs are spread, so that the rate
// of one part doesn't bind.
type Parts int

// Of returns the part of a job.
func (p Parts) Of(id w.JobID) string {
	if p <= 1 {
		return ""
	}
	return strconv.Itoa(int(xxhash.Sum64String(string(id)) % uint64(p)))
}

// All lists the parts.
func (p Parts) All() []string {
	if p <= 1 {
		return []string{""}
	}
	all := make([]string, p)
	for i := range all {
		all[i] = strconv.Itoa(i)
	}
	return all
}

// Keeper reads and writes the rows of a cell.
type Keeper struct {
	Store Store
	Parts Parts
}

// JobKey returns the key of a job's row.
func (k *Keeper) JobKey(id w.JobID) Key {
	return Key{TableJobs, k.Parts.Of(id), string(id)}
}

// progressKey returns the key of the row of a job's progress. Progress is in the
// part of the leader row, which each save checks: a transaction over several
// parts takes twice as long, and holds up the jobs that are accepted in them.
func progressKey(id w.JobID) Key {
	return Key{Table: TableProgress, Name: string(id)}
}

// Accept stores new jobs of one part. It returns the stored jobs, which differ
// from the given ones where an id was in use.
func (k *Keeper) Accept(ctx context.Context, jobs []*w.Job) ([]*w.Job, error) {
	stored := make([]*w.Job, len(jobs))
	for {
		var tx Tx
		index := make(map[Key][]int, len(jobs))
		for i, j := range jobs {
			if stored[i] != nil {
				continue
			}
			key := k.JobKey(j.ID)
			if index[key] = append(index[key], i); len(index[key]) > 1 {
				continue
			}
			value, err := json.Marshal(j)
			if err != nil {
				return nil, fmt.Errorf("keeper: encode job %s: %w", j.ID, err)
			}
			tx.Checks = append(tx.Checks, Check{Key: key})
			tx.Writes = append(tx.Writes, Row{Key: key, Value: value})
		}
		if len(tx.Writes) == 0 {
			return stored, nil
		}
		_, err := k.Store.Commit(ctx, &tx)
		var c *Conflict
		switch {
		case err == nil:
			for _, same := range index {
				for _, i := range same {
					stored[i] = jobs[same[0]]
				}
			}
		case errors.As(err, &c):
			found := 0
			for i := range c.Rows {
				for _, n := range index[c.Rows[i].Key] {
					if c.Rows[i].Version == 0 {
						continue
					}
					if stored[n], err = decodeJob(&c.Rows[i]); err != nil {
						return nil, err
					}
					found++
				}
			}
			if found == 0 {
				return nil, fmt.Errorf("keeper: accept %d jobs: conflict without a row: %w", len(jobs), ErrUnknown)
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
	if err := j.Validate(); err != nil {
		return nil, fmt.Errorf("keeper: row of job %s: %w", r.Name, err)
	}
	return j, nil
}

// get reads one row, or nil.
func (k *Keeper) get(ctx context.Context, key Key) (*Row, error) {
	rows, _, err := k.Store.Scan(ctx, key.Table, key.Part, key.Name, key.Name+"\x00")
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	return &rows[0], nil
}

// State reads the state of a job. A job that doesn't exist is Unknown.
func (k *Keeper) State(ctx context.Context, id w.JobID) (w.State, error) {
	key := k.JobKey(id)
	row, err := k.get(ctx, key)
	if err != nil {
		return w.Unknown, fmt.Errorf("keeper: read job %s: %w", id, err)
	}
	if row == nil {
		return w.Unknown, nil
	}
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
	key.Table = TableCancels
	row, err = k.get(ctx, key)
	switch {
	case err != nil:
		return w.Unknown, fmt.Errorf("keeper: read cancellation of %s: %w", id, err)
	case row != nil:
		return w.Cancelled, nil
	case p.Begun:
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

// Cancel stores the cancellation of a job.
func (k *Keeper) Cancel(ctx context.Context, id w.JobID) error {
	key := k.JobKey(id)
	key.Table = TableCancels
	if _, err := k.Store.Commit(ctx, &Tx{Writes: []Row{{Key: key, Value: []byte("1")}}}); err != nil {
		return fmt.Errorf("keeper: cancel job %s: %w", id, err)
	}
	return nil
}
