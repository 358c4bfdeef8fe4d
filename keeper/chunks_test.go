package keeper

import (
	"context"
	"encoding/base64"
	"fmt"
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
	refuseAll bool
}

var errOverLimit = fmt.Errorf("%w: %w", ErrRejected, ErrNotExecuted)

func (s *limitedStore) Commit(ctx context.Context, tx *Tx) (Version, error) {
	if s.refuseAll {
		return 0, errOverLimit
	}
	size := 0
	for _, r := range tx.Writes {
		if len(r.Value) > maxRowBytes {
			return 0, errOverLimit
		}
		size += base64.StdEncoding.EncodedLen(len(r.Value)) + 100
	}
	if size > 1_000_000 || len(tx.Preconditions)+len(tx.Writes)+len(tx.Deletes) > 100 {
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
		got, n, err := parseProgressChunk(progressChunkKey(id, 12).Name)
		require.NoError(t, err)
		require.Equal(t, id, got)
		require.Equal(t, 12, n)
	}
	for _, name := range []string{"", "a", "a/", "a/x", "a/0", "a/-1"} {
		_, _, err := parseProgressChunk(name)
		require.Error(t, err, fmt.Sprintf("%q", name))
	}
}

// TestRefusedRowHoldsUpNoOthers guards against a row that the store refuses for good and
// that the leader writes again and again, together with those of all other jobs.
func TestRefusedRowHoldsUpNoOthers(t *testing.T) {
	s, k, leadership := newLeader(t)
	k.Store = &limitedStore{Store: s}
	odd := Progress{ID: "odd"}
	odd.AddStep(StepKey{}, 0, 1).SetTask(0, false, nil, strings.Repeat("x", maxRowBytes))
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
	before := s.ver
	c := &ChangeSet{Progress: []Progress{odd}}
	require.NoError(t, k.Save(t.Context(), leadership, c))
	require.True(t, c.SetAside[0].Repeated)
	require.Equal(t, before, s.ver, "a refused row is not written again")
	require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{{ID: "odd", State: w.Failed}}}))
	require.Contains(t, s.rows, progressKey("odd"))

	// A store that refuses everything does so for another reason than the rows.
	k.Store = &limitedStore{refuseAll: true}
	require.ErrorIs(t, k.Save(t.Context(), leadership, changes()), ErrRejected)
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
