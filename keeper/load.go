package keeper

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	w "github.com/masticlead/masticlead/workload"
)

// Snapshot is all that a new coordinator takes over.
type Snapshot struct {
	Jobs      []w.Job
	Progress  map[w.JobID]Progress
	Cancelled map[w.JobID]bool
	Roster    Roster
	Versions  map[string]Version // of each table, for reading changes
	Unread    []error            // rows that could not be decoded; their jobs are left out

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
	// One row that can't be decoded must not keep the cell from being led.
	each := func(table string, take func(*Row) error) {
		for _, p := range scanned[table] {
			for i := range p.rows {
				if err := take(&p.rows[i]); err != nil {
					s.Unread = append(s.Unread, err)
				}
			}
		}
	}
	unread := make(map[w.JobID]bool)
	each(TableProgress, func(r *Row) error {
		p, err := decodeProgress(r)
		if err != nil {
			unread[w.JobID(r.Name)] = true
			return err
		}
		s.Progress[p.ID] = p
		return nil
	})
	each(TableJobs, func(r *Row) error {
		id := w.JobID(r.Name)
		if unread[id] {
			// What has run of it is not known, so nothing of it may start.
			return nil
		}
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
	if save != nil {
		s.saved = save.Version
	}
	if s.Roster, err = decodeRoster(roster); err != nil {
		return nil, err
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

// nameRanges bound the ranges of names in which the rows of one part are read at
// the same time. Ids of jobs are hexadecimal; others are read as well.
const nameRanges = "123456789abcdef"

// loadCalls is the number of scans that a load makes at the same time.
const loadCalls = 48

// nameRange is a range of names in a part.
type nameRange struct{ part, from, to string }

// ranges returns the ranges in which a table is read.
func (k *Keeper) ranges(table string) []nameRange {
	var list []nameRange
	if table != TableProgress {
		for _, part := range k.Parts.All() {
			list = append(list, nameRange{part: part})
		}
		return list
	}
	from := ""
	for _, c := range nameRanges {
		list = append(list, nameRange{from: from, to: string(c)})
		from = string(c)
	}
	return append(list, nameRange{from: from})
}

// scanAll reads all parts of the tables, and the roster.
func (k *Keeper) scanAll(ctx context.Context, roster, save **Row, tables ...string) (map[string][]scanned, error) {
	out := make(map[string][]scanned, len(tables))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(loadCalls)
	for _, table := range tables {
		ranges := k.ranges(table)
		list := make([]scanned, len(ranges))
		out[table] = list
		for i, r := range ranges {
			g.Go(func() error {
				rows, ver, err := k.Store.Scan(ctx, table, r.part, r.from, r.to)
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
	Unread  []error // rows that could not be decoded
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
					n.Unread = append(n.Unread, err)
					continue
				}
				n.Jobs = append(n.Jobs, *j)
			}
		}
		versions[table] = ver
	}
	return n, nil
}
