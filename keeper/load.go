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

// Snapshot is the state of the cell that a new coordinator starts from.
type Snapshot struct {
	Jobs         []w.Job
	Progress     map[w.JobID]Progress
	Cancelled    map[w.JobID]bool
	Roster       Roster
	Versions     map[string]Version // version of each table from which to read changes
	DecodeErrors []error            // one per row that could not be decoded; the jobs of these rows are omitted

	saveSeqVersion Version // version of the row with the save sequence number
}

// Load reads the state of the cell. Only the loading leader writes progress, so it
// does not change meanwhile. The content of completed jobs is omitted. That of failed and
// cancelled ones is needed to account for runs that have not been stopped yet.
func (k *Keeper) Load(ctx context.Context) (*Snapshot, error) {
	s := &Snapshot{
		Progress:  make(map[w.JobID]Progress),
		Cancelled: make(map[w.JobID]bool),
		Versions:  make(map[string]Version),
	}
	var roster, saveSeq *Row
	scans, err := k.scanAll(ctx, &roster, &saveSeq, TableProgress, TableJobs, TableCancellations)
	if err != nil {
		return nil, err
	}
	for table, results := range scans {
		for _, result := range results {
			if v, ok := s.Versions[table]; !ok || result.version < v {
				s.Versions[table] = result.version
			}
		}
	}
	// A row that cannot be decoded must not prevent the instance from leading the
	// cell, so its error is collected.
	forEachRow := func(table string, fn func(*Row) error) {
		for _, result := range scans[table] {
			for i := range result.rows {
				if err := fn(&result.rows[i]); err != nil {
					s.DecodeErrors = append(s.DecodeErrors, err)
				}
			}
		}
	}
	undecodable := make(map[w.JobID]bool)
	forEachRow(TableProgress, func(r *Row) error {
		p, err := decodeProgress(r)
		if err != nil {
			undecodable[w.JobID(r.Name)] = true
			return err
		}
		s.Progress[p.ID] = p
		return nil
	})
	forEachRow(TableJobs, func(r *Row) error {
		id := w.JobID(r.Name)
		if undecodable[id] {
			// It is not known which of its tasks have run, so none may start.
			return nil
		}
		state := s.Progress[id].State
		if state == w.Completed {
			s.Jobs = append(s.Jobs, w.Job{ID: id})
			return nil
		}
		j, err := decodeJob(r)
		if err != nil && state.Final() {
			j, err = &w.Job{ID: id}, nil
		}
		if err == nil {
			s.Jobs = append(s.Jobs, *j)
		}
		return err
	})
	forEachRow(TableCancellations, func(r *Row) error {
		s.Cancelled[w.JobID(r.Name)] = true
		return nil
	})
	if saveSeq != nil {
		s.saveSeqVersion = saveSeq.Version
	}
	if s.Roster, err = decodeRoster(roster); err != nil {
		return nil, err
	}
	slices.SortFunc(s.Jobs, func(a, b w.Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), strings.Compare(string(a.ID), string(b.ID)))
	})
	return s, nil
}

// scanResult holds the rows of one scan and the table version they were read at.
type scanResult struct {
	rows    []Row
	version Version
}

// nameRangeBounds separates the name ranges of one partition that are scanned
// concurrently. The bounds suit hexadecimal job IDs; the ranges cover all names.
const nameRangeBounds = "123456789abcdef"

// maxConcurrentScans is the maximum number of concurrent scans of one load.
const maxConcurrentScans = 48

// nameRange is the range [from, to) of names in a partition.
type nameRange struct{ partition, from, to string }

// scanRanges returns the ranges in which a table is scanned.
func (k *Keeper) scanRanges(table string) []nameRange {
	var ranges []nameRange
	if table != TableProgress {
		for _, partition := range k.Partitions.All() {
			ranges = append(ranges, nameRange{partition: partition})
		}
		return ranges
	}
	from := ""
	for _, c := range nameRangeBounds {
		ranges = append(ranges, nameRange{from: from, to: string(c)})
		from = string(c)
	}
	return append(ranges, nameRange{from: from})
}

// scanAll scans all partitions of the tables, and reads the roster row and the row
// with the save sequence number.
func (k *Keeper) scanAll(ctx context.Context, roster, saveSeq **Row, tables ...string) (map[string][]scanResult, error) {
	results := make(map[string][]scanResult, len(tables))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentScans)
	for _, table := range tables {
		ranges := k.scanRanges(table)
		tableResults := make([]scanResult, len(ranges))
		results[table] = tableResults
		for i, r := range ranges {
			g.Go(func() error {
				rows, ver, err := k.Store.Scan(ctx, table, r.partition, r.from, r.to)
				if err != nil {
					return fmt.Errorf("keeper: load %s: %w", table, err)
				}
				tableResults[i] = scanResult{rows, ver}
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
		row, err := k.get(ctx, saveSeqKey)
		if err != nil {
			return fmt.Errorf("keeper: load save sequence number: %w", err)
		}
		*saveSeq = row
		return nil
	})
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

// Updates holds the jobs and cancellations that were stored after a version.
type Updates struct {
	Jobs          []w.Job
	Cancellations []w.JobID
	DecodeErrors  []error // one per row that could not be decoded
}

// Updates reads the jobs and cancellations stored after the given versions of the
// tables, and advances the versions.
func (k *Keeper) Updates(ctx context.Context, versions map[string]Version) (*Updates, error) {
	updates := new(Updates)
	for _, table := range [...]string{TableJobs, TableCancellations} {
		rows, ver, err := k.Store.Changes(ctx, table, versions[table], 0)
		if err != nil {
			return nil, fmt.Errorf("keeper: read changes of %s: %w", table, err)
		}
		for i := range rows {
			switch {
			case rows[i].Deleted:
			case table == TableCancellations:
				updates.Cancellations = append(updates.Cancellations, w.JobID(rows[i].Name))
			default:
				j, err := decodeJob(&rows[i])
				if err != nil {
					updates.DecodeErrors = append(updates.DecodeErrors, err)
					continue
				}
				updates.Jobs = append(updates.Jobs, *j)
			}
		}
		versions[table] = ver
	}
	return updates, nil
}
