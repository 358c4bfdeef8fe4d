package keeper

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	w "github.com/masticlead/masticlead/workload"
)

// Snapshot is the state of the cell that a new coordinator starts from.
type Snapshot struct {
	Jobs         []w.Job
	Progress     map[w.JobID]Progress
	Cancelled    map[w.JobID]bool
	EarlyCancels []EarlyCancel
	Ends         map[w.JobID]w.State // ends that callers have seen and that may not be in Progress
	Roster       Roster
	Versions     map[string]Version // version of each table from which to read changes
	DecodeErrors []error            // one per row that could not be decoded; the jobs of these rows are omitted

	saveSeqVersion Version // version of the row with the save sequence number
	chunks         map[w.JobID]*jobChunks
	rosterChunks   rosterHashes
}

// Load reads the state of the cell. Only the loading leader writes progress, so it
// does not change meanwhile. The content of completed jobs is omitted. That of failed and
// cancelled ones is needed to account for runs that have not been stopped yet.
func (k *Keeper) Load(ctx context.Context) (*Snapshot, error) {
	return k.LoadMonitored(ctx, new(LoadMonitor))
}

// LoadMonitored is Load with a monitor that shows its progress and limits its scans.
func (k *Keeper) LoadMonitored(ctx context.Context, m *LoadMonitor) (*Snapshot, error) {
	m.begin()
	s := &Snapshot{
		Ends:         make(map[w.JobID]w.State),
		Progress:     make(map[w.JobID]Progress),
		Cancelled:    make(map[w.JobID]bool),
		Versions:     make(map[string]Version),
		chunks:       make(map[w.JobID]*jobChunks),
		rosterChunks: make(rosterHashes),
	}
	var roster, saveSeq *Row
	scans, err := k.scanAll(m.WithProgress(ctx), m, &roster, &saveSeq)
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
				m.Advance()
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
	forEachRow(tableProgressChunks, func(r *Row) error {
		id, err := s.addChunk(r)
		undecodable[id] = undecodable[id] || err != nil
		return err
	})
	// Without a checkpoint, a task starts from the beginning.
	forEachRow(tableCheckpoints, func(r *Row) error {
		_, err := s.addChunk(r)
		return err
	})
	forEachRow(TableJobs, func(r *Row) error {
		id := w.JobID(r.Name)
		if undecodable[id] {
			// It is not known which of its tasks have run, so none may start.
			return nil
		}
		state := s.Progress[id].State
		if state == w.Completed && !namesTenant(r.Value) {
			s.Jobs = append(s.Jobs, w.Job{ID: id, Ended: isEnded(r.Value)})
			return nil
		}
		j, err := decodeJob(r)
		if err != nil && state.Final() {
			j, err = &w.Job{ID: id}, nil
		}
		if err == nil {
			if state == w.Completed {
				j.Spec = ""
			}
			s.Jobs = append(s.Jobs, *j)
		}
		return err
	})
	forEachRow(TableCancellations, func(r *Row) error {
		if c, early := decodeEarlyCancel(r); early {
			s.EarlyCancels = append(s.EarlyCancels, c)
		} else {
			s.Cancelled[w.JobID(r.Name)] = true
		}
		return nil
	})
	forEachRow(TableEnds, func(r *Row) error {
		e, err := decodeEnd(r)
		if err == nil {
			s.Ends[e.ID] = e.State
		}
		return err
	})
	if saveSeq != nil {
		s.saveSeqVersion = saveSeq.Version
	}
	if s.Roster, err = decodeRoster(roster); err != nil {
		s.DecodeErrors = append(s.DecodeErrors, err)
	}
	forEachRow(tableRosterChunks, s.addRosterChunk)
	slices.SortFunc(s.Jobs, func(a, b w.Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), strings.Compare(string(a.ID), string(b.ID)))
	})
	return s, nil
}

// addChunk adds a chunk of a job's progress to that in the job's own row.
func (s *Snapshot) addChunk(r *Row) (w.JobID, error) {
	id, n, err := parseChunkKey(r.Key)
	if err != nil {
		return id, err
	}
	stored := s.chunks[id]
	if stored == nil {
		stored = newJobChunks()
		s.chunks[id] = stored
	}
	if r.Table == tableCheckpoints {
		stored.checkpoints[n] = checkpointChunk{}
	} else {
		stored.progress[n] = 0
	}
	chunk, err := decodeProgress(r)
	if err != nil {
		return id, err
	}
	p := s.Progress[id]
	p.ID = id
	p.merge(&chunk)
	s.Progress[id] = p
	return id, nil
}

// scanResult holds the rows of one scan and the table version they were read at.
type scanResult struct {
	rows    []Row
	version Version
}

// nameRangeBounds separates the name ranges of one partition that are scanned
// concurrently. The bounds suit hexadecimal job IDs; the ranges cover all names.
const nameRangeBounds = "123456789abcdef"

const (
	// maxConcurrentScans is the maximum number of concurrent scans of one load.
	maxConcurrentScans = 16
	// throttledScans is the maximum while the renewals of the loading leader are
	// slow. With 48 scans, the time between two heartbeats was 1.5 s on a link of
	// 10 Mbit/s (TestRenewalsDuringLoad); it is 0.7 s with 16.
	throttledScans = 4
	// scanAttempts is the number of attempts of each scan, so that one failure does
	// not make the load read everything again.
	scanAttempts = 4
	// scanRetryDelay is the delay between two of them.
	scanRetryDelay = 100 * time.Millisecond
)

// LoadMonitor shows the progress of a load and limits its concurrent scans. Its zero
// value is ready for use by one load at a time.
type LoadMonitor struct {
	// Busy returns a channel until whose end, or for maxScanDelay, no further scan begins,
	// or nil if scans may begin. It lets what is more urgent have the link. It may be nil
	// itself.
	Busy func() <-chan struct{}

	progress atomic.Int64
	attempt  atomic.Int64 // progress of the current attempt
	bytes    atomic.Int64 // received

	mu        sync.Mutex
	throttled bool
	scans     int           // in progress
	freed     chan struct{} // closed when another scan may begin; nil if none waits
}

// begin starts another attempt of the load.
func (m *LoadMonitor) begin() { m.attempt.Store(0) }

// Advance records a unit of progress. An attempt counts only from where the earlier ones
// got to: otherwise a leader whose load fails again and again would never be replaced.
func (m *LoadMonitor) Advance() {
	n := m.attempt.Add(1)
	for known := m.progress.Load(); n > known; known = m.progress.Load() {
		if m.progress.CompareAndSwap(known, n) {
			return
		}
	}
}

// progressBytes is the amount of data that counts as a unit of progress.
const progressBytes = 32 << 10

// Receive records data that has arrived, which counts as progress.
func (m *LoadMonitor) Receive(bytes int) {
	total := m.bytes.Add(int64(bytes))
	if total/progressBytes > (total-int64(bytes))/progressBytes {
		m.Advance()
	}
}

// WithProgress returns a context for reads whose data counts as progress when it arrives.
func (m *LoadMonitor) WithProgress(ctx context.Context) context.Context {
	return WithProgress(ctx, m.Receive)
}

// Progress returns a number that grows while the load makes progress.
func (m *LoadMonitor) Progress() int64 { return m.progress.Load() }

// SetThrottled sets whether the load limits its scans to few at a time.
func (m *LoadMonitor) SetThrottled(throttled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.throttled = throttled
	m.wake()
}

func (m *LoadMonitor) wake() {
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// maxScanDelay is the longest time for which a scan waits for more urgent data.
const maxScanDelay = 2 * time.Second

// yield waits while more urgent data arrives.
func (m *LoadMonitor) yield(ctx context.Context) error {
	if m.Busy == nil {
		return nil
	}
	timer := time.NewTimer(maxScanDelay)
	defer timer.Stop()
	for ended := m.Busy(); ended != nil; ended = m.Busy() {
		select {
		case <-ended:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// beginScan waits until another scan may begin.
func (m *LoadMonitor) beginScan(ctx context.Context) error {
	if err := m.yield(ctx); err != nil {
		return err
	}
	for {
		m.mu.Lock()
		if m.scans < throttledScans || (!m.throttled && m.scans < maxConcurrentScans) {
			m.scans++
			m.mu.Unlock()
			return nil
		}
		if m.freed == nil {
			m.freed = make(chan struct{})
		}
		freed := m.freed
		m.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *LoadMonitor) endScan() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scans--
	m.wake()
}

// nameRange is the range [from, to) of names in a partition.
type nameRange struct{ partition, from, to string }

// scanRanges returns the ranges in which a table is scanned.
func (k *Keeper) scanRanges(table string) []nameRange {
	var ranges []nameRange
	partitions := k.Partitions.All()
	switch table {
	case TableEnds:
		partitions = k.endPartitions()
	case tableProgressChunks, tableCheckpoints, tableRosterChunks:
		partitions = []string{""}
	}
	if table != TableProgress {
		for _, partition := range partitions {
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

// loadOrder lists the tables in the order in which they are scanned: what decides
// which jobs and tasks may not run, before the jobs themselves, which are the largest.
var loadOrder = [...]string{TableEnds, TableProgress, tableProgressChunks, tableCheckpoints, tableRosterChunks, TableCancellations, TableJobs}

// scanAll scans all partitions of the tables, and reads the roster row and the row
// with the save sequence number.
func (k *Keeper) scanAll(ctx context.Context, m *LoadMonitor, roster, saveSeq **Row) (map[string][]scanResult, error) {
	results := make(map[string][]scanResult, len(loadOrder))
	parent := ctx
	g, ctx := errgroup.WithContext(ctx)
	scan := func(what string, read func() error) {
		if m.beginScan(ctx) != nil {
			return // g.Wait returns the error that ended ctx, or ctx is the caller's
		}
		g.Go(func() error {
			defer m.endScan()
			if err := retryScan(ctx, read); err != nil {
				return fmt.Errorf("keeper: load %s: %w", what, err)
			}
			m.Advance()
			return nil
		})
	}
	scan("roster", func() (err error) {
		*roster, err = k.get(ctx, Key{Table: TableControl, Name: rosterName})
		return err
	})
	scan("save sequence number", func() (err error) {
		*saveSeq, err = k.get(ctx, saveSeqKey)
		return err
	})
	for _, table := range loadOrder {
		ranges := k.scanRanges(table)
		tableResults := make([]scanResult, len(ranges))
		results[table] = tableResults
		for i, r := range ranges {
			scan(table, func() error {
				rows, ver, err := k.Store.Scan(ctx, table, r.partition, r.from, r.to)
				tableResults[i] = scanResult{rows, ver}
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if err := parent.Err(); err != nil {
		return nil, fmt.Errorf("keeper: load: %w", err)
	}
	return results, nil
}

// retryScan repeats a read that fails, up to scanAttempts times.
func retryScan(ctx context.Context, read func() error) error {
	for attempt := 1; ; attempt++ {
		err := read()
		if err == nil || attempt == scanAttempts || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(scanRetryDelay):
		case <-ctx.Done():
		}
	}
}

// Updates holds the jobs, cancellations and ends that were stored after a version.
type Updates struct {
	Jobs          []w.Job
	Cancellations []w.JobID
	EarlyCancels  []EarlyCancel
	Ends          map[w.JobID]w.State // see Snapshot.Ends
	DecodeErrors  []error             // one per row that could not be decoded
}

// Updates reads the jobs, cancellations and ends stored after the given versions of the
// tables, and advances the versions unless it fails.
func (k *Keeper) Updates(ctx context.Context, versions map[string]Version) (*Updates, error) {
	updates := &Updates{Ends: make(map[w.JobID]w.State)}
	next := make(map[string]Version)
	for _, table := range [...]string{TableJobs, TableCancellations, TableEnds} {
		rows, ver, err := k.Store.Changes(ctx, table, versions[table], 0)
		if err != nil {
			return nil, fmt.Errorf("keeper: read changes of %s: %w", table, err)
		}
		// A job that was removed after it was stored must not be added again.
		removed := make(map[string]Version)
		for i := range rows {
			if rows[i].Deleted {
				removed[rows[i].Name] = rows[i].Version
			}
		}
		for i := range rows {
			switch {
			case rows[i].Deleted || rows[i].Version < removed[rows[i].Name]:
			case table == TableEnds:
				e, err := decodeEnd(&rows[i])
				if err != nil {
					updates.DecodeErrors = append(updates.DecodeErrors, err)
					continue
				}
				updates.Ends[e.ID] = e.State
			case table == TableCancellations:
				if c, early := decodeEarlyCancel(&rows[i]); early {
					updates.EarlyCancels = append(updates.EarlyCancels, c)
				} else {
					updates.Cancellations = append(updates.Cancellations, w.JobID(rows[i].Name))
				}
			default:
				j, err := decodeJob(&rows[i])
				if err != nil {
					updates.DecodeErrors = append(updates.DecodeErrors, err)
					continue
				}
				if !j.Ended {
					updates.Jobs = append(updates.Jobs, *j)
				}
			}
		}
		next[table] = ver
	}
	maps.Copy(versions, next)
	return updates, nil
}

// isEnded reports whether the row of a completed job is one that DropContent wrote.
func isEnded(value []byte) bool { return bytes.Equal(value, endedJob) }

// namesTenant reports whether the row of a job may name its tenant. The content of
// completed jobs is needed only for their tenant and what their last runs count for it.
func namesTenant(value []byte) bool { return bytes.Contains(value, []byte(`"u":`)) }
