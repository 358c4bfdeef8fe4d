package keeper

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// TestSilentPartitionHoldsUpNoRemovals guards against a leader that stores nothing until a
// silent partition answers, because a job is to be removed there, and against a job that
// counts as new because its progress was removed before its row.
func TestSilentPartitionHoldsUpNoRemovals(t *testing.T) {
	s := &silentPartition{&fakeStore{rows: make(map[Key]Row)}, ""}
	k := &Keeper{Store: s, Partitions: 4}
	s.partition = "none"
	leadership, err := k.TakeOver(t.Context(), Leadership{}, Leadership{Instance: "i"})
	require.NoError(t, err)
	var ids, silent []w.JobID
	var progress []Progress
	for i := range 80 {
		id := w.JobID(fmt.Sprintf("%016x", i))
		ids = append(ids, id)
		progress = append(progress, Progress{ID: id, State: w.Completed})
		if k.Partitions.Of(id) == "3" {
			silent = append(silent, id)
		}
	}
	_, err = k.Accept(t.Context(), jobsOf(ids, k, "3"))
	require.NoError(t, err)
	require.NoError(t, k.Save(t.Context(), &leadership, &ChangeSet{Progress: progress}))

	s.partition = "3"
	rest, err := k.RemoveJobs(t.Context(), leadership.Removals(ids))
	require.Error(t, err)
	require.Len(t, rest, len(silent))
	require.NoError(t, k.Save(t.Context(), &leadership, &ChangeSet{Progress: []Progress{{ID: "new", State: w.Completed}}}))
	for key := range s.rows {
		if key.Table == TableJobs {
			require.Contains(t, s.rows, progressKey(w.JobID(key.Name)), "a job without progress would run again")
		}
	}

	s.partition = "none"
	rest, err = k.RemoveJobs(t.Context(), rest)
	require.NoError(t, err)
	require.Empty(t, rest)
	for key := range s.rows {
		require.NotEqual(t, TableJobs, key.Table)
	}
	require.Contains(t, s.rows, progressKey("new"))
}

// jobsOf returns the jobs of one partition.
func jobsOf(ids []w.JobID, k *Keeper, partition string) []*w.Job {
	var jobs []*w.Job
	for _, id := range ids {
		if k.Partitions.Of(id) == partition {
			jobs = append(jobs, &w.Job{ID: id, Queue: "q", Steps: []w.Step{{Count: 1}}})
		}
	}
	return jobs
}
