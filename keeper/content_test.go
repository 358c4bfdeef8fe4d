package keeper

import (
	"strings"
	"testing"

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
	before, err := k.Load(t.Context())
	require.NoError(t, err)
	require.NoError(t, k.DropContent(t.Context(), []w.JobID{"ended"}))

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
	updates, err := k.Updates(t.Context(), before.Versions)
	require.NoError(t, err)
	require.Empty(t, updates.Jobs)
	require.Empty(t, updates.DecodeErrors)
}
