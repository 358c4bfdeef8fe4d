package coordinator

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestCheckpointsExhaustNoMemory guards against a leader that runs out of memory for the
// checkpoints of all tasks, and against counting those of ended jobs.
func TestCheckpointsExhaustNoMemory(t *testing.T) {
	const size, limit = 1000, 2500
	x := newCell(t, 1, 1, nil)
	x.c.CheckpointMemory = limit
	x.reportRuns("a")
	for _, id := range []w.JobID{"j", "k"} {
		j := singleTaskJob(id)
		j.Steps[0].Count, j.Steps[0].Saves = 2, true
		x.submit(j)
	}
	starts := x.advance(0).Starts
	require.Len(t, starts, 4)
	report := func(starts []linker.Start, text string) {
		var runs []w.Run
		for _, s := range starts {
			runs = append(runs, w.Run{Task: s.Task, Run: s.Run, Checkpoint: strings.Repeat(text, size)})
		}
		x.reportRuns("a", runs...)
	}
	for _, s := range starts {
		x.confirmStart(s)
	}
	report(starts, "a")
	require.EqualValues(t, 2*size, x.c.checkpointBytes)
	report(starts, "b")
	require.EqualValues(t, 2*size, x.c.checkpointBytes, "known checkpoints are replaced")
	for _, s := range starts {
		x.reportEnd("a", s, w.EndedDone)
	}
	require.Zero(t, x.c.checkpointBytes)
}
