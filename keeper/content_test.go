package keeper

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// TestDroppedContent guards against loads that read the content of all jobs that have
// ended, and against a job that counts as new once its content was dropped.
func TestDroppedContent(t *testing.T) {
	s := &fakeStore{rows: make(map[Key]Row)}
	k := &Keeper{Store: s, Partitions: 4}
	job := func(id w.JobID) *w.Job {
		return &w.Job{ID: id, Queue: "q", Spec: strings.Repeat("x", 4000), Steps: []w.Step{{Count: 1}}}
	}
	_, err := k.Accept(t.Context(), []*w.Job{job("ended"), job("open")})
	require.NoError(t, err)
	leadership, err := k.TakeOver(t.Context(), Leadership{}, Leadership{Instance: "i"})
	require.NoError(t, err)
	require.NoError(t, k.Save(t.Context(), &leadership, &ChangeSet{Progress: []Progress{{ID: "ended", State: w.Completed}}}))
	failed, err := k.DropContent(t.Context(), []w.JobID{"ended"})
	require.NoError(t, err)
	require.Empty(t, failed)

	require.Less(t, len(s.rows[k.JobKey("ended")].Value), 50)
	snapshot, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Empty(t, snapshot.DecodeErrors)
	require.ElementsMatch(t, []w.Job{{ID: "ended", Ended: true}, *job("open")}, snapshot.Jobs)
	require.Equal(t, w.Completed, snapshot.Progress["ended"].State)

	state, err := k.State(t.Context(), "ended")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state)
	stored, err := k.Accept(t.Context(), []*w.Job{job("ended")})
	require.NoError(t, err)
	require.True(t, stored[0].Ended)
}

// changedRows is a store whose changes are the rows of jobs.
type changedRows struct{ *fakeStore }

func (s changedRows) Changes(_ context.Context, table string, _ Version, _ time.Duration) ([]Row, Version, error) {
	var rows []Row
	for key, r := range s.rows {
		if key.Table == table {
			rows = append(rows, r)
		}
	}
	return rows, s.ver, nil
}

// TestDroppedContentIsNoNewJob guards against a job that is taken for a new one because its
// row was changed.
func TestDroppedContentIsNoNewJob(t *testing.T) {
	s := changedRows{&fakeStore{rows: make(map[Key]Row)}}
	k := &Keeper{Store: s, Partitions: 4}
	_, err := k.DropContent(t.Context(), []w.JobID{"j"})
	require.NoError(t, err)
	updates, err := k.Updates(t.Context(), make(map[string]Version))
	require.NoError(t, err)
	require.Empty(t, updates.Jobs)
	require.Empty(t, updates.DecodeErrors)
}

// TestLateDropOfContent guards against a job that is accepted, shown as queued and never
// run, because a write that got no answer wrote the row of an earlier job of that ID again
// after its removal.
func TestLateDropOfContent(t *testing.T) {
	s := &fakeStore{rows: make(map[Key]Row)}
	k := &Keeper{Store: s, Partitions: 4}
	job := func() []*w.Job { return []*w.Job{{ID: "j", Queue: "q", Steps: []w.Step{{Count: 1}}}} }
	_, err := k.Accept(t.Context(), job())
	require.NoError(t, err)
	leadership, err := k.TakeOver(t.Context(), Leadership{}, Leadership{Instance: "i"})
	require.NoError(t, err)
	require.NoError(t, k.Save(t.Context(), &leadership, &ChangeSet{Progress: []Progress{{ID: "j", State: w.Completed}}}))
	s.delayCommits = true
	failed, err := k.DropContent(t.Context(), []w.JobID{"j"})
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.Equal(t, []w.JobID{"j"}, failed)
	s.delayCommits = false
	_, err = k.RemoveJobs(t.Context(), leadership.Removals([]w.JobID{"j"}))
	require.NoError(t, err)
	for _, tx := range s.delayed {
		_, err = s.apply(tx)
		require.NoError(t, err)
	}
	state, err := k.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Unknown, state)
	stored, err := k.Accept(t.Context(), job())
	require.NoError(t, err)
	require.False(t, stored[0].Ended)
	state, err = k.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Queued, state)
}

// silentPartition is a store with a partition that doesn't answer.
type silentPartition struct {
	*fakeStore
	partition string
}

func (s *silentPartition) Commit(ctx context.Context, tx *Tx) (Version, error) {
	silent := func(p string) bool { return p == s.partition }
	if slices.ContainsFunc(tx.Writes, func(r Row) bool { return silent(r.Partition) }) || slices.ContainsFunc(tx.Deletes, func(k Key) bool { return silent(k.Partition) }) {
		return 0, ErrOutcomeUnknown
	}
	return s.fakeStore.Commit(ctx, tx)
}

// TestSilentPartitionHoldsUpNoOtherContent guards against content that stays in all
// partitions because one of them is silent.
func TestSilentPartitionHoldsUpNoOtherContent(t *testing.T) {
	s := &silentPartition{&fakeStore{rows: make(map[Key]Row)}, "3"}
	k := &Keeper{Store: s, Partitions: 4}
	var ids, silent []w.JobID
	for i := range 80 {
		id := w.JobID(fmt.Sprintf("%016x", i))
		ids = append(ids, id)
		if k.Partitions.Of(id) == s.partition {
			silent = append(silent, id)
		}
	}
	failed, err := k.DropContent(t.Context(), ids)
	require.Error(t, err)
	require.ElementsMatch(t, silent, failed)
	require.Len(t, s.rows, len(ids)-len(silent))
}
