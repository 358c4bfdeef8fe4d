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

// TestListedCheckpointOfEndIsStored guards against losing the checkpoint of a run that its
// target has listed before: after the acknowledgement of the end, nobody else has it.
func TestListedCheckpointOfEndIsStored(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.reportRuns("a")
	j := singleTaskJob("j")
	j.Steps[0].Saves = true
	x.submit(j)
	start := x.advance(0).Starts[0]
	x.confirmStart(start)
	x.reportRuns("a", w.Run{Task: start.Task, Run: start.Run, Checkpoint: "saved"})
	x.advance(0)
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "a", Incarnation: 1, Ends: []w.End{
		{Seq: 1, Task: start.Task, Run: start.Run, How: w.EndedStopped, Checkpoint: "saved"},
	}}}})
	x.c.progressDue = x.now
	b := x.c.Flush()
	require.NotNil(t, b)
	require.Len(t, b.Progress, 1)
	require.Equal(t, "saved", b.Progress[0].Steps[0].Checkpoints[0])
}
