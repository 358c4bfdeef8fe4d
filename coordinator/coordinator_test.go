package coordinator

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// cell drives a coordinator without any input or output.
type cell struct {
	t   *testing.T
	c   *Coordinator
	now time.Time
	seq map[w.TargetID]int64
}

const testQueue = "q"

// newCell returns a coordinator of the epoch with two instances and n targets of
// 8 cores that have been read and are empty.
func newCell(t *testing.T, epoch w.Epoch, n int, snap *keeper.Snapshot) *cell {
	t.Helper()
	x := &cell{t: t, now: time.Unix(1_800_000_000, 0), seq: make(map[w.TargetID]int64)}
	x.c = New(Settings{
		Epoch: epoch, Self: "self", Lease: 6 * time.Second, StopTimeout: 200 * time.Millisecond,
		Retention: time.Minute, Log: slog.New(slog.DiscardHandler),
	}, x.now)
	if snap != nil {
		x.c.Load(snap)
	}
	x.c.Configure(&w.Config{Version: 1, Queues: []w.Queue{{Name: testQueue, Service: "s", Attempts: 4, Priority: 1}, {Name: "urgent", Service: "s", Attempts: 4}}})
	x.c.Join(&linker.Hello{Instance: "self"})
	x.c.Join(&linker.Hello{Instance: "other"})
	var list []w.Target
	for i := range n {
		list = append(list, w.Target{ID: w.TargetID(rune('a' + i)), Service: "s", Address: "x", Incarnation: 1, Capacity: w.Resources{CPU: 8000, Mem: 8000}})
	}
	x.c.SetTargets(list, true, x.now)
	x.step(0)
	return x
}

// step lets time pass, stores everything that is due and returns the frame for
// the instance that calls the targets.
func (x *cell) step(d time.Duration) *linker.Frame {
	x.now = x.now.Add(d)
	x.c.Advance(x.now)
	for b := x.c.Flush(); b != nil; b = x.c.Flush() {
		x.c.Stored(b)
	}
	x.c.Advance(x.now)
	f := x.c.Frames()["other"]
	if f == nil {
		f = new(linker.Frame)
	}
	return f
}

func (x *cell) receive(f *linker.Frame) { x.c.Receive("other", f, x.now) }

// list reports all runs of a target.
func (x *cell) list(id w.TargetID, runs ...w.Run) {
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: id, Incarnation: 1, Complete: true, Runs: runs}}})
}

// end reports the end of a run.
func (x *cell) end(id w.TargetID, s linker.Start, how w.Ending) {
	x.seq[id]++
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: id, Incarnation: 1, Ends: []w.End{
		{Seq: x.seq[id], Task: s.Task, Run: s.Run, How: how},
	}}}})
}

func (x *cell) started(s linker.Start) {
	x.receive(&linker.Frame{Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.Started}}})
}

func oneTask(id w.JobID) w.Job {
	return w.Job{ID: id, Queue: testQueue, Service: "s", Attempts: 4, Priority: 1, Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 1000, Mem: 100}}}}
}

func (x *cell) submit(j w.Job) { x.receive(&linker.Frame{Jobs: []w.Job{j}}) }

func (x *cell) state(id w.JobID) w.State { return x.c.jobs[id].state }

// TestRunsToCompletion guards the plain way of a job.
func TestRunsToCompletion(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.list("a")
	x.list("b")
	x.submit(oneTask("j"))
	f := x.step(0)
	require.Len(t, f.Starts, 1)
	x.started(f.Starts[0])
	require.Equal(t, w.Running, x.state("j"))
	x.end(f.Starts[0].Target, f.Starts[0], w.EndedDone)
	f = x.step(0)
	require.Equal(t, w.Completed, x.state("j"))
	require.Contains(t, f.States, linker.JobState{Job: "j", State: w.Completed})
	require.NotEmpty(t, f.Acks)
}

// TestCancelBeforeJob guards against the loss of a cancellation that another
// instance hands over before the job itself arrives.
func TestCancelBeforeJob(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.list("a")
	x.receive(&linker.Frame{Cancels: []w.JobID{"j"}})
	x.submit(oneTask("j"))
	require.Empty(t, x.step(0).Starts)
	require.Equal(t, w.Cancelled, x.state("j"))
}

// TestFailureCountsOnce guards against a failed run being counted again by a new
// coordinator, to which the target repeats what was stored but not acknowledged.
func TestFailureCountsOnce(t *testing.T) {
	p := keeper.Progress{ID: "j", Begun: true}
	p.AddStep(0, 0).Set(0, false, []w.RunID{7, 8, 9}, "")
	x := newCell(t, 2, 1, &keeper.Snapshot{Jobs: []w.Job{oneTask("j")}, Progress: map[w.JobID]keeper.Progress{"j": p}, Roster: []w.TargetID{"a"}})
	x.end("a", linker.Start{Task: w.TaskID{Job: "j"}, Run: 9}, w.EndedFailed)
	x.list("a")
	require.Equal(t, w.Running, x.state("j"))
	require.Len(t, x.step(0).Starts, 1)
}

// TestEarlierFailureCounts guards against a start beyond the attempts of a task:
// a target that is read late tells of a run that failed before the current one.
func TestEarlierFailureCounts(t *testing.T) {
	p := keeper.Progress{ID: "j", Begun: true}
	p.AddStep(0, 0).Set(0, false, []w.RunID{6, 7, 8}, "")
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{oneTask("j")}, Progress: map[w.JobID]keeper.Progress{"j": p}, Roster: []w.TargetID{"a", "b"}})
	x.list("b", w.Run{Task: w.TaskID{Job: "j"}, Run: 10})
	x.end("a", linker.Start{Task: w.TaskID{Job: "j"}, Run: 9}, w.EndedFailed)
	require.Equal(t, w.Failed, x.state("j"))
	require.Len(t, x.step(0).Stops, 1)
}

// TestOldTaskWaitsForUnreadTarget guards against two runs of a task: a target
// that the earlier coordinator used and that has not been read may run it.
func TestOldTaskWaitsForUnreadTarget(t *testing.T) {
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{oneTask("j")}, Progress: map[w.JobID]keeper.Progress{}, Roster: []w.TargetID{"a", "b"}})
	x.list("a")
	require.Empty(t, x.step(time.Second).Starts)
	x.submit(oneTask("new"))
	require.Len(t, x.step(0).Starts, 1, "a new job can't run anywhere yet")
	for range 12 {
		x.list("a")
		x.step(500 * time.Millisecond)
	}
	x.list("a")
	x.step(2 * time.Second)
	require.NotEqual(t, waiting, x.c.jobs["j"].occs[0].steps[0].tasks[0].phase, "the lease has surely ended")
}

// TestEndBeforeItsJob guards against a second run after 'done': a job that the
// earlier coordinator ran is found in the store only after its end was listed.
func TestEndBeforeItsJob(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Roster: []w.TargetID{"a"}})
	x.end("a", linker.Start{Task: w.TaskID{Job: "j"}, Run: 5}, w.EndedDone)
	x.list("a")
	require.Empty(t, x.step(0).Acks, "the end would be forgotten before it is stored")
	j := oneTask("j")
	x.c.AddJob(&j, false)
	f := x.step(0)
	require.Empty(t, f.Starts)
	require.NotEmpty(t, f.Acks)
	require.Equal(t, w.Completed, x.state("j"))
}
