// Package keeper keeps what must outlast all instances: jobs, their progress,
// cancellations, the leader of the cell and the targets that may run something.
package keeper

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

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
	key.Table = TableProgress
	row, err = k.get(ctx, key)
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

// Snapshot is all that a new coordinator takes over.
type Snapshot struct {
	Jobs      []w.Job
	Progress  map[w.JobID]Progress
	Cancelled map[w.JobID]bool
	Roster    []w.TargetID
	Versions  map[string]Version // of each table, for reading changes

	saved Version // of the row that numbers the saves
}

// Load reads everything. Nobody but the loading leader writes progress, so it is
// read first, and the content of jobs that have ended is left out.
func (k *Keeper) Load(ctx context.Context) (*Snapshot, error) {
	s := &Snapshot{
		Progress:  make(map[w.JobID]Progress),
		Cancelled: make(map[w.JobID]bool),
		Versions:  make(map[string]Version),
	}
	var roster, save *Row
	scanned, err := k.scanAll(ctx, &roster, &save, TableProgress, TableJobs, TableCancels)
	if err != nil {
		return nil, err
	}
	for table, parts := range scanned {
		for _, p := range parts {
			if v, ok := s.Versions[table]; !ok || p.version < v {
				s.Versions[table] = p.version
			}
		}
	}
	each := func(table string, take func(*Row) error) {
		for _, p := range scanned[table] {
			for i := range p.rows {
				if err == nil {
					err = take(&p.rows[i])
				}
			}
		}
	}
	each(TableProgress, func(r *Row) error {
		p, err := decodeProgress(r)
		s.Progress[p.ID] = p
		return err
	})
	each(TableJobs, func(r *Row) error {
		id := w.JobID(r.Name)
		if s.Progress[id].State.Final() {
			s.Jobs = append(s.Jobs, w.Job{ID: id})
			return nil
		}
		j, err := decodeJob(r)
		if err == nil {
			s.Jobs = append(s.Jobs, *j)
		}
		return err
	})
	each(TableCancels, func(r *Row) error {
		s.Cancelled[w.JobID(r.Name)] = true
		return nil
	})
	if err != nil {
		return nil, err
	}
	if save != nil {
		s.saved = save.Version
	}
	if roster != nil {
		if err := json.Unmarshal(roster.Value, &s.Roster); err != nil {
			return nil, fmt.Errorf("keeper: decode roster: %w", err)
		}
	}
	slices.SortFunc(s.Jobs, func(a, b w.Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), strings.Compare(string(a.ID), string(b.ID)))
	})
	return s, nil
}

// scanned is a part of a table as of a version.
type scanned struct {
	rows    []Row
	version Version
}

// loadCalls is the number of scans that a load makes at the same time.
const loadCalls = 16

// scanAll reads all parts of the tables, and the roster.
func (k *Keeper) scanAll(ctx context.Context, roster, save **Row, tables ...string) (map[string][]scanned, error) {
	out := make(map[string][]scanned, len(tables))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(loadCalls)
	parts := k.Parts.All()
	for _, table := range tables {
		list := make([]scanned, len(parts))
		out[table] = list
		for i, part := range parts {
			g.Go(func() error {
				rows, ver, err := k.Store.Scan(ctx, table, part, "", "")
				if err != nil {
					return fmt.Errorf("keeper: load %s: %w", table, err)
				}
				list[i] = scanned{rows, ver}
				return nil
			})
		}
	}
	g.Go(func() error {
		row, err := k.get(ctx, Key{Table: TableControl, Name: rosterName})
		if err != nil {
			return fmt.Errorf("keeper: load roster: %w", err)
		}
		*roster = row
		return nil
	})
	g.Go(func() error {
		row, err := k.get(ctx, saveKey)
		if err != nil {
			return fmt.Errorf("keeper: load the last save: %w", err)
		}
		*save = row
		return nil
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return out, nil
}

// News are the jobs and cancellations that were stored since a version.
type News struct {
	Jobs    []w.Job
	Cancels []w.JobID
}

// News reads the jobs and cancellations stored since the versions of the
// snapshot, and moves the versions on.
func (k *Keeper) News(ctx context.Context, versions map[string]Version) (*News, error) {
	n := new(News)
	for _, table := range [...]string{TableJobs, TableCancels} {
		rows, ver, err := k.Store.Changes(ctx, table, versions[table], 0)
		if err != nil {
			return nil, fmt.Errorf("keeper: changes of %s: %w", table, err)
		}
		for i := range rows {
			switch {
			case rows[i].Deleted:
			case table == TableCancels:
				n.Cancels = append(n.Cancels, w.JobID(rows[i].Name))
			default:
				j, err := decodeJob(&rows[i])
				if err != nil {
					return nil, err
				}
				n.Jobs = append(n.Jobs, *j)
			}
		}
		versions[table] = ver
	}
	return n, nil
}

// Change is a set of changes of a coordinator.
type Change struct {
	Progress      []Progress
	Remove        []w.JobID
	Roster        []w.TargetID // written if RosterChanged
	RosterChanged bool
}

// saveNext commits the next transaction of a leader. Its answer may be lost, and
// the store may carry it out seconds later: the row that numbers the
// transactions keeps a late one from undoing those that were repeated or came
// after it.
func (k *Keeper) saveNext(ctx context.Context, lead *Leadership, tx *Tx) error {
	if !lead.unsure {
		lead.number++
	}
	value := fmt.Sprintf("%d/%d", lead.Epoch, lead.number)
	full := Tx{
		Checks: []Check{{Key: leaderKey, Version: lead.Version}, {Key: saveKey, Version: lead.saved}},
		Writes: append(slices.Clip(tx.Writes), Row{Key: saveKey, Value: []byte(value)}),
		Drops:  tx.Drops,
	}
	ver, err := k.Store.Commit(ctx, &full)
	var c *Conflict
	if errors.As(err, &c) {
		led := false
		for i := range c.Rows {
			led = led || (c.Rows[i].Key == leaderKey && c.Rows[i].Version == lead.Version)
		}
		for i := range c.Rows {
			if led && c.Rows[i].Key == saveKey && c.Rows[i].Version != lead.saved {
				// An attempt without an answer was carried out after all. The
				// content may have grown since, so it is written once more.
				lead.saved, lead.unsure = c.Rows[i].Version, false
				return fmt.Errorf("an earlier attempt was carried out: %w", ErrNotDone)
			}
		}
		return err
	}
	if err != nil {
		lead.unsure = lead.unsure || !errors.Is(err, ErrNotDone)
		return err
	}
	lead.saved, lead.unsure = ver, false
	return nil
}

// Save writes changes under the condition that the leader row has the version
// of the writer. It returns a Conflict if another leader took over.
func (k *Keeper) Save(ctx context.Context, lead *Leadership, ch *Change) error {
	var tx Tx
	size := 0
	flush := func() error {
		if len(tx.Writes) == 0 && len(tx.Drops) == 0 {
			return nil
		}
		if err := k.saveNext(ctx, lead, &tx); err != nil {
			return fmt.Errorf("keeper: save %d rows: %w", len(tx.Writes), err)
		}
		tx, size = Tx{}, 0
		return nil
	}
	if ch.RosterChanged {
		value, err := json.Marshal(ch.Roster)
		if err != nil {
			return fmt.Errorf("keeper: encode roster: %w", err)
		}
		tx.Writes = append(tx.Writes, Row{Key: Key{Table: TableControl, Name: rosterName}, Value: value})
		size += len(value)
	}
	for i := range ch.Progress {
		value, err := json.Marshal(&ch.Progress[i])
		if err != nil {
			return fmt.Errorf("keeper: encode progress: %w", err)
		}
		key := k.JobKey(ch.Progress[i].ID)
		key.Table = TableProgress
		tx.Writes = append(tx.Writes, Row{Key: key, Value: value})
		if size += len(value); len(tx.Writes) >= txRows || size >= txBytes {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	for _, id := range ch.Remove {
		key := k.JobKey(id)
		for _, table := range [...]string{TableJobs, TableProgress, TableCancels} {
			key.Table = table
			tx.Drops = append(tx.Drops, key)
		}
		if len(tx.Drops)+len(tx.Writes) >= txRows {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}
