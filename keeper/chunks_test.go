package keeper

import (
	"context"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// maxRowBytes is the limit of the platform's store.
const maxRowBytes = 64 << 10

// limitedStore rejects what is over the limits of the platform's store.
type limitedStore struct {
	Store
	refuseAll   bool
	refuseTable string // writes to this table are refused
	refusals    int
}

var errOverLimit = fmt.Errorf("%w: %w", ErrRejected, ErrNotExecuted)

func (s *limitedStore) Commit(ctx context.Context, tx *Tx) (Version, error) {
	size := 0
	oversized := slices.ContainsFunc(tx.Writes, func(r Row) bool {
		size += base64.StdEncoding.EncodedLen(len(r.Value)) + 100
		return len(r.Value) > maxRowBytes || r.Table == s.refuseTable
	})
	if s.refuseAll || oversized || size > 1_000_000 || len(tx.Preconditions)+len(tx.Writes)+len(tx.Deletes) > 100 {
		s.refusals++
		return 0, errOverLimit
	}
	return s.Store.Commit(ctx, tx)
}

// largeProgress returns the progress of a job of steps with count tasks each, of which all
// but the last one are done.
func largeProgress(occurrences, count int) Progress {
	p := Progress{ID: "large", Started: true}
	for o := range occurrences {
		s := p.AddStep(StepKey{Occurrence: o}, o*count, count)
		for task := range count - 1 {
			s.SetTask(task, true, nil, "")
		}
		s.SetTask(count-1, false, []w.RunID{1 << 50, 1<<50 + 1}, "0123456789abcdef")
	}
	return p
}

// TestLargeProgressFitsRows guards against a job whose progress outgrows a row: the store
// refused each save that included it, and no end of any job was stored any more.
func TestLargeProgressFitsRows(t *testing.T) {
	unfinished := Progress{ID: "large"}
	s := unfinished.AddStep(StepKey{}, 0, 20_000)
	for task := range 20_000 {
		s.SetTask(task, task%7 == 0, []w.RunID{1 << 50, 1<<50 + 1, 1<<50 + 2}, "0123456789abcdef")
	}
	for name, p := range map[string]Progress{
		"many occurrences": largeProgress(2500, 2), "wide steps": largeProgress(3, 6000), "many failures": unfinished,
	} {
		t.Run(name, func(t *testing.T) {
			s, k, leadership := newLeader(t)
			_, err := k.Accept(t.Context(), []*w.Job{{ID: "large", Steps: []w.Step{{Count: 1}}}})
			require.NoError(t, err)
			k.Store = &limitedStore{Store: s}
			require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{p}}))
			for key, r := range s.rows {
				require.LessOrEqual(t, len(r.Value), maxRowBytes, key)
			}
			requireProgress := func() {
				t.Helper()
				snap, err := k.Load(t.Context())
				require.NoError(t, err)
				require.Empty(t, snap.DecodeErrors)
				loaded := snap.Progress["large"]
				require.Equal(t, p.Started, loaded.Started)
				want, got := p.StepIndex(), loaded.StepIndex()
				require.Len(t, got, len(want))
				for key, step := range want {
					step.First, step.Count = 0, 0
					require.Equal(t, step, got[key])
				}
			}
			before := s.ver
			require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{p}}))
			for key, r := range s.rows {
				require.False(t, key.Table == tableProgressChunks && r.Version > before, "an unchanged chunk is written again")
			}
			requireProgress()

			// Another leader knows the chunks from its load.
			next, err := k.TakeOver(t.Context(), *leadership, Leadership{Instance: "b"})
			require.NoError(t, err)
			snap, err := k.Load(t.Context())
			require.NoError(t, err)
			next.InitSaves(snap)
			require.NoError(t, k.Save(t.Context(), &next, &ChangeSet{Progress: []Progress{{ID: "large", State: w.Completed}}}))
			for key := range s.rows {
				require.NotEqual(t, tableProgressChunks, key.Table, "the job has ended")
			}
			snap, err = k.Load(t.Context())
			require.NoError(t, err)
			require.Equal(t, Progress{ID: "large", State: w.Completed}, snap.Progress["large"])
		})
	}
}

// TestProgressChunkNames guards against a chunk that is taken for that of another job.
func TestProgressChunkNames(t *testing.T) {
	for _, id := range []w.JobID{"0123456789abcdef", "urgent/0123456789abcdef", "a/1"} {
		for _, n := range []chunkNumber{12, newChunkNumber(12, 1), newChunkNumber(0, 511)} {
			got, number, err := parseChunkKey(chunkKey(tableProgressChunks, id, n))
			require.NoError(t, err)
			require.Equal(t, id, got)
			require.Equal(t, n, number)
		}
	}
	for _, name := range []string{"", "a", "a/", "a/x", "a/0", "a/-1"} {
		_, _, err := parseChunkKey(Key{Table: tableProgressChunks, Name: name})
		require.Error(t, err, fmt.Sprintf("%q", name))
	}
}

// TestRefusedRowHoldsUpNoOthers guards against a row that the store refuses for good and
// that the leader writes again and again, together with those of all other jobs.
func TestRefusedRowHoldsUpNoOthers(t *testing.T) {
	s, k, leadership := newLeader(t)
	store := &limitedStore{Store: s}
	k.Store = store
	odd := Progress{ID: "odd"}
	odd.AddStep(StepKey{}, 0, 1).SetTask(0, false, slices.Repeat([]w.RunID{1 << 50}, 5000), "")
	changes := func() *ChangeSet {
		c := &ChangeSet{Roster: Roster{Open: []w.TargetID{"a"}}, RosterChanged: true}
		for i := range 20 {
			c.Progress = append(c.Progress, Progress{ID: w.JobID(fmt.Sprint("j", i)), State: w.Completed})
		}
		c.Progress[7] = odd
		return c
	}
	for _, limit := range []int{0, maxRowBytes} {
		k.MaxRowBytes = limit
		c := changes()
		require.NoError(t, k.Save(t.Context(), leadership, c))
		require.Len(t, c.SetAside, 1)
		require.Equal(t, []w.JobID{"odd"}, c.RefusedJobs())
		require.False(t, c.RosterRefused())
		snap, err := k.Load(t.Context())
		require.NoError(t, err)
		require.Len(t, snap.Progress, 19)
		require.Equal(t, []w.TargetID{"a"}, snap.Roster.Open)
	}
	k.MaxRowBytes = 0
	before, refusals := s.ver, store.refusals
	save := func(p Progress) *ChangeSet {
		c := &ChangeSet{Progress: []Progress{p}}
		require.NoError(t, k.Save(t.Context(), leadership, c))
		return c
	}
	c := save(odd)
	require.True(t, c.SetAside[0].Repeated)
	require.Equal(t, refusals, store.refusals, "a refused row is not written again")
	require.Equal(t, before, s.ver)
	for range refusedRetryInterval {
		save(odd)
	}
	require.Greater(t, store.refusals, refusals, "it is after a while")
	refusals = store.refusals
	save(Progress{ID: "odd", State: w.Failed})
	require.Contains(t, s.rows, progressKey("odd"))
	require.Equal(t, refusals, store.refusals)

	// A store that refuses everything does so for another reason than the rows.
	k.Store = &limitedStore{refuseAll: true}
	require.ErrorIs(t, k.Save(t.Context(), leadership, changes()), ErrRejected)
}

// TestRefusedChunkKeepsFormerProgress guards against losing progress that was stored and
// acknowledged before, when the store refuses the row to which it moves.
func TestRefusedChunkKeepsFormerProgress(t *testing.T) {
	s, k, leadership := newLeader(t)
	_, err := k.Accept(t.Context(), []*w.Job{{ID: "j", Steps: []w.Step{{Count: 600}}}})
	require.NoError(t, err)
	progress := func(done, failures int) Progress {
		p := Progress{ID: "j"}
		step := p.AddStep(StepKey{}, 0, 600)
		for task := range 600 {
			step.SetTask(task, task < done, slices.Repeat([]w.RunID{1 << 50}, failures), "")
		}
		return p
	}
	limits := []int{maxRowBytes, maxRowBytes, 8 << 10}
	for i, p := range []Progress{progress(10, 2), progress(20, 6), progress(30, 6)} {
		k.MaxRowBytes = limits[i]
		require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{p}}))
		k.Store = &limitedStore{Store: s, refuseTable: tableProgressChunks}
		k.MaxRowBytes = 4 << 10
		c := &ChangeSet{Progress: []Progress{progress(50, 7)}}
		require.NoError(t, k.Save(t.Context(), leadership, c))
		require.Contains(t, c.RefusedJobs(), w.JobID("j"))
		k.Store = s
		clear(leadership.refused)
		snap, err := k.Load(t.Context())
		require.NoError(t, err)
		stored := snap.Progress["j"]
		loaded := stored.StepIndex()[StepKey{}]
		require.NotNil(t, loaded)
		for task := range 10 * (i + 1) {
			require.True(t, loaded.Done(task), "task %d of save %d", task, i)
		}
	}
}

// TestLongCheckpointsRefuseNoProgress guards against progress that is not stored for the
// size or the number of checkpoints.
func TestLongCheckpointsRefuseNoProgress(t *testing.T) {
	for name, test := range map[string]struct{ rowBytes, tasks, size, stored int }{
		"many":             {maxRowBytes, 180, 400, 168},
		"long":             {maxRowBytes, 36, 20_000, 24},
		"longer than rows": {maxRowBytes, 36, 70_000, 0},
		"small rows":       {4 << 10, 300, 400, 288},
	} {
		t.Run(name, func(t *testing.T) {
			s, k, leadership := newLeader(t)
			k.Store, k.MaxRowBytes = &limitedStore{Store: s}, test.rowBytes
			_, err := k.Accept(t.Context(), []*w.Job{{ID: "j", Steps: []w.Step{{Count: test.tasks}}}})
			require.NoError(t, err)
			p := Progress{ID: "j", Started: true}
			step := p.AddStep(StepKey{}, 0, test.tasks)
			for task := range test.tasks {
				step.SetTask(task, task < 12, []w.RunID{1 << 50, 1<<50 + 1, 1<<50 + 2}, strings.Repeat("x", test.size))
				step.SetCrashes(task, []w.RunID{1 << 50}, []w.RunID{1<<50 + 1})
			}
			c := &ChangeSet{Progress: []Progress{p}}
			require.NoError(t, k.Save(t.Context(), leadership, c))
			require.Empty(t, c.RefusedJobs())
			for key, r := range s.rows {
				require.LessOrEqual(t, len(r.Value), test.rowBytes, key)
			}
			snap, err := k.Load(t.Context())
			require.NoError(t, err)
			require.Empty(t, snap.DecodeErrors)
			stored := snap.Progress["j"]
			loaded := stored.StepIndex()[StepKey{}]
			require.Equal(t, step.DoneBits, loaded.DoneBits[:len(step.DoneBits)])
			require.Equal(t, step.FailedRuns, loaded.FailedRuns)
			require.Equal(t, step.CrashedRuns, loaded.CrashedRuns)
			require.Equal(t, step.UnclearRuns, loaded.UnclearRuns)
			require.Len(t, loaded.Checkpoints, test.stored)
		})
	}
}

// TestCheckpointsOfRunningTasksAreSavedSeldom guards against writing all long checkpoints
// of a job whenever one of its tasks ends.
func TestCheckpointsOfRunningTasksAreSavedSeldom(t *testing.T) {
	s, k, leadership := newLeader(t)
	save := func(waiting int, text string) (written int) {
		p := Progress{ID: "j"}
		step := p.AddStep(StepKey{}, 0, 36)
		for task := range 36 {
			step.SetTask(task, false, nil, strings.Repeat(text, 7000))
		}
		if waiting >= 0 {
			step.SetWaiting(waiting)
		}
		before := s.ver
		require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{p}}))
		for key, row := range s.rows {
			if key.Table == tableCheckpoints && row.Version > before {
				written++
			}
		}
		return written
	}
	all := save(-1, "a")
	require.Greater(t, all, 1)
	require.Zero(t, save(-1, "b"), "the targets have the checkpoints of running tasks")
	require.Equal(t, 1, save(30, "c"), "nobody else has that of a waiting task")
	require.Zero(t, save(30, "c"))
}

// TestOverlappingChunks guards against losing progress when a leader is replaced after it
// has spread a chunk over others and before it has deleted it.
func TestOverlappingChunks(t *testing.T) {
	s, k, leadership := newLeader(t)
	_, err := k.Accept(t.Context(), []*w.Job{{ID: "j", Steps: []w.Step{{Count: 1200}}}})
	require.NoError(t, err)
	progress := func(done, failures int) Progress {
		p := Progress{ID: "j"}
		step := p.AddStep(StepKey{}, 0, 1200)
		runs := slices.Repeat([]w.RunID{1 << 50}, failures)
		for i := range runs {
			runs[i] += w.RunID(i)
		}
		for task := range 1200 {
			step.SetTask(task, task < done, runs, "")
		}
		return p
	}
	require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{progress(300, 2)}}))
	before := maps.Clone(s.rows)
	k.MaxRowBytes = 8 << 10
	require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{progress(600, 3)}}))
	overlapping := 0
	for key, row := range before {
		if _, ok := s.rows[key]; !ok && key.Table == tableProgressChunks {
			s.rows[key] = row
			overlapping++
		}
	}
	require.NotZero(t, overlapping)

	next, err := k.TakeOver(t.Context(), *leadership, Leadership{Instance: "b"})
	require.NoError(t, err)
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Empty(t, snap.DecodeErrors)
	stored := snap.Progress["j"]
	loaded := stored.StepIndex()[StepKey{}]
	for task := range 1200 {
		require.Equal(t, task < 600, loaded.Done(task), task)
		if task >= 600 {
			require.Len(t, loaded.FailedRuns[task], 3, task)
		}
	}
	next.InitSaves(snap)
	require.NoError(t, k.Save(t.Context(), &next, &ChangeSet{Progress: []Progress{{ID: "j", State: w.Completed}}}))
	for key := range s.rows {
		require.NotEqual(t, tableProgressChunks, key.Table, "the job has ended")
	}
}

// TestOversizedJobIsRejected guards against a job that can't be stored and is submitted
// again and again, together with other jobs of its partition.
func TestOversizedJobIsRejected(t *testing.T) {
	_, k, _ := newLeader(t)
	k.MaxRowBytes = maxRowBytes
	large := &w.Job{ID: "large", Spec: strings.Repeat("x", maxRowBytes), Steps: []w.Step{{Count: 1}}}
	_, err := k.Accept(t.Context(), []*w.Job{large})
	require.ErrorIs(t, err, ErrRejected)
	require.ErrorIs(t, err, ErrNotExecuted)
}

// TestLargeRosterFitsRows guards against a roster that outgrows its row in a large cell, so
// that no target gets its first start.
func TestLargeRosterFitsRows(t *testing.T) {
	s, k, leadership := newLeader(t)
	k.Store = &limitedStore{Store: s}
	var r Roster
	requireStored := func() {
		t.Helper()
		c := &ChangeSet{Roster: r, RosterChanged: true}
		require.NoError(t, k.Save(t.Context(), leadership, c))
		require.Empty(t, c.SetAside)
		snap, err := k.Load(t.Context())
		require.NoError(t, err)
		require.Empty(t, snap.DecodeErrors)
		require.Equal(t, slices.Sorted(slices.Values(r.Open)), slices.Sorted(slices.Values(snap.Roster.Open)))
		require.Equal(t, r.Closed, snap.Roster.Closed)
	}
	for range 27_000 {
		r.Open = append(r.Open, w.TargetID(fmt.Sprintf("i-%08x", len(r.Open)*0x9e3779b1&0xffffffff)))
	}
	r.Closed = map[w.TargetID][]string{"i-00000000closed": {"job.0.0", "job.0.1"}}
	requireStored()
	before := s.ver
	r.Open = r.Open[1:]
	requireStored()
	written := 0
	for key, row := range s.rows {
		if row.Version > before && (key == rosterChunkKey(0) || key.Table == tableRosterChunks) {
			written++
		}
	}
	require.Equal(t, 1, written, "unchanged chunks are written again")

	// The next leader removes the chunks that a smaller roster doesn't need.
	next, err := k.TakeOver(t.Context(), *leadership, Leadership{Instance: "b"})
	require.NoError(t, err)
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	next.InitSaves(snap)
	leadership = &next
	r = Roster{Open: r.Open[:10]}
	requireStored()
	for key := range s.rows {
		require.NotEqual(t, tableRosterChunks, key.Table)
	}
}
