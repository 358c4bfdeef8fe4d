package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// spreadJob returns a job with n tasks, of which at most one may run on each target.
func spreadJob(n int) w.Job {
	j := singleTaskJob("j")
	j.Steps[0].Count, j.Steps[0].Spread = n, 1
	return j
}

// startsOn returns the start orders for a target.
func startsOn(id w.TargetID, f *linker.Frame) (starts []linker.Start) {
	for _, s := range f.Starts {
		if s.Target == id {
			starts = append(starts, s)
		}
	}
	return starts
}

// TestSpreadCountsRunOfFinishedTask guards against starting a task of a step beside
// another one whose run is still being stopped, since an earlier run of it was done.
func TestSpreadCountsRunOfFinishedTask(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Jobs: []w.Job{spreadJob(2)}, Roster: keeper.Roster{Open: []w.TargetID{"a"}}})
	x.reportRuns("a")
	f := x.advance(0)
	require.Len(t, f.Starts, 1)
	x.reportEnd("a", linker.Start{Task: f.Starts[0].Task, Run: f.Starts[0].Run - 1}, w.EndedDone)
	f = x.advance(retryPeriod)
	require.Len(t, f.Stops, 1)
	require.Empty(t, f.Starts)
	x.reportEnd("a", linker.Start{Task: f.Stops[0].Task, Run: f.Stops[0].Run}, w.EndedStopped)
	require.Len(t, x.advance(0).Starts, 1)
}

// TestSpreadCountsStoppedDuplicate guards against starting a task of a step beside a run
// that is being stopped since its task runs elsewhere.
func TestSpreadCountsStoppedDuplicate(t *testing.T) {
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{spreadJob(2)}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}})
	task := w.TaskID{Job: "j"}
	x.reportRuns("b", w.Run{Task: task, Run: 2})
	x.reportRuns("a", w.Run{Task: task, Run: 1})
	f := x.advance(0)
	require.Equal(t, []linker.Stop{{Target: "a", Task: task, Run: 1}}, f.Stops)
	require.Empty(t, startsOn("a", f))
	x.reportEnd("a", linker.Start{Task: task, Run: 1}, w.EndedStopped)
	require.Len(t, startsOn("a", x.advance(0)), 1)
}

// TestStopOfAdoptedRunIsRepeated guards against a duplicate, or a run of a cancelled job,
// that works on because the instance that was to stop it is gone.
func TestStopOfAdoptedRunIsRepeated(t *testing.T) {
	snap := &keeper.Snapshot{Jobs: []w.Job{spreadJob(1), singleTaskJob("k")}, Cancelled: map[w.JobID]bool{"k": true}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}}
	x := newCell(t, 2, 2, snap)
	x.reportRuns("b", w.Run{Task: w.TaskID{Job: "j"}, Run: 2})
	x.reportRuns("a", w.Run{Task: w.TaskID{Job: "j"}, Run: 1}, w.Run{Task: w.TaskID{Job: "k"}, Run: 3})
	require.Len(t, x.advance(0).Stops, 2)
	x.c.Leave("other")
	x.c.Join(&linker.Hello{Instance: "other"})
	require.Len(t, x.advance(0).Stops, 2)
}

// TestNoStartBesideStoppedDuplicate guards against starting a task while an earlier run of
// it, which was a duplicate of the one just lost, is still being stopped.
func TestNoStartBesideStoppedDuplicate(t *testing.T) {
	for _, gang := range []bool{false, true} {
		j := singleTaskJob("j")
		j.Steps[0].Count, j.Steps[0].Gang = 2, gang
		x := newCell(t, 2, 3, &keeper.Snapshot{Jobs: []w.Job{j}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b", "c"}}})
		first, second := w.TaskID{Job: "j"}, w.TaskID{Job: "j", Index: 1}
		x.reportRuns("a", w.Run{Task: first, Run: 2}, w.Run{Task: second, Run: 2})
		x.reportRuns("b", w.Run{Task: first, Run: 1})
		x.reportRuns("c")
		require.Len(t, x.advance(0).Stops, 1)
		x.advance(survivalTime)
		x.reportRuns("a", w.Run{Task: first, Run: 2}, w.Run{Task: second, Run: 2})
		x.restart(2)
		x.reportSynced()
		for _, s := range x.advance(0).Starts {
			require.NotEqual(t, first, s.Task)
		}
		x.reportEnd("b", linker.Start{Task: first, Run: 1}, w.EndedStopped)
		require.NotEmpty(t, x.advance(0).Starts)
	}
}

// TestDuplicateOfLastingTaskEnds guards against starting a task again that still runs,
// because a duplicate of it ended.
func TestDuplicateOfLastingTaskEnds(t *testing.T) {
	j := singleTaskJob("j")
	j.Steps[0].Lasting = true
	x := newCell(t, 2, 3, &keeper.Snapshot{Jobs: []w.Job{j}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b", "c"}}})
	task := w.TaskID{Job: "j"}
	x.reportRuns("a", w.Run{Task: task, Run: 2})
	x.reportRuns("b", w.Run{Task: task, Run: 1})
	x.reportRuns("c")
	x.advance(0)
	x.reportEnd("b", linker.Start{Task: task, Run: 1}, w.EndedDone)
	require.Empty(t, x.advance(retryPeriod).Starts)
	require.Equal(t, running, x.c.jobs["j"].step(task).tasks[0].phase)
}

// TestGangDoneByEarlierRun guards against members that work on although an earlier run of
// their gang was done.
func TestGangDoneByEarlierRun(t *testing.T) {
	j := singleTaskJob("j")
	j.Steps[0].Count, j.Steps[0].Gang = 2, true
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{j}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}})
	x.reportRuns("a", w.Run{Task: w.TaskID{Job: "j"}, Run: 2}, w.Run{Task: w.TaskID{Job: "j", Index: 1}, Run: 2})
	x.reportEnd("b", linker.Start{Task: w.TaskID{Job: "j"}, Run: 1}, w.EndedDone)
	require.Len(t, x.advance(0).Stops, 2)
	require.Equal(t, w.Completed, x.jobState("j"))
}
