package coordinator

import (
	"fmt"
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
	x.c.fullDue = time.Time{}
	x.c.Advance(x.now)
	x.c.fullDue = time.Time{}
	x.c.progressDue, x.c.rosterDue = time.Time{}, time.Time{}
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

// TestNewInstanceKnowsEnds guards against an instance that starts later and shows
// ended jobs as running for ever.
func TestNewInstanceKnowsEnds(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.list("a")
	x.submit(oneTask("j"))
	f := x.step(0)
	x.end("a", f.Starts[0], w.EndedDone)
	x.step(0)
	x.c.Join(&linker.Hello{Instance: "late"})
	require.Contains(t, x.c.Frames()["late"].States, linker.JobState{Job: "j", State: w.Completed})
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
	p := keeper.Progress{ID: "j", Started: true}
	p.AddStep(0, 0).SetTask(0, false, []w.RunID{7, 8, 9}, "")
	x := newCell(t, 2, 1, &keeper.Snapshot{Jobs: []w.Job{oneTask("j")}, Progress: map[w.JobID]keeper.Progress{"j": p}, Roster: keeper.Roster{Open: []w.TargetID{"a"}}})
	x.end("a", linker.Start{Task: w.TaskID{Job: "j"}, Run: 9}, w.EndedFailed)
	x.list("a")
	require.Equal(t, w.Running, x.state("j"))
	require.Len(t, x.step(0).Starts, 1)
}

// TestEarlierFailureCounts guards against a start beyond the attempts of a task:
// a target that is read late tells of a run that failed before the current one.
func TestEarlierFailureCounts(t *testing.T) {
	p := keeper.Progress{ID: "j", Started: true}
	p.AddStep(0, 0).SetTask(0, false, []w.RunID{6, 7, 8}, "")
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{oneTask("j")}, Progress: map[w.JobID]keeper.Progress{"j": p}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}})
	x.list("b", w.Run{Task: w.TaskID{Job: "j"}, Run: 10})
	x.end("a", linker.Start{Task: w.TaskID{Job: "j"}, Run: 9}, w.EndedFailed)
	require.Equal(t, w.Failed, x.state("j"))
	require.Len(t, x.step(0).Stops, 1)
}

// TestOldTaskWaitsForUnreadTarget guards against two runs of a task: a target
// that the earlier coordinator used and that has not been read may run it.
func TestOldTaskWaitsForUnreadTarget(t *testing.T) {
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{oneTask("j")}, Progress: map[w.JobID]keeper.Progress{}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}})
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
	x := newCell(t, 2, 1, &keeper.Snapshot{Roster: keeper.Roster{Open: []w.TargetID{"a"}}})
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

// TestUnfoundEndExpires guards against a target that keeps its ends for ever since
// one of them belongs to a job whose rows are removed.
func TestUnfoundEndExpires(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Roster: keeper.Roster{Open: []w.TargetID{"a"}}})
	x.end("a", linker.Start{Task: w.TaskID{Job: "removed"}, Run: 5}, w.EndedDone)
	x.list("a")
	require.Empty(t, x.step(0).Acks)
	acks := 0
	for range 6 {
		x.list("a")
		acks += len(x.step(5 * time.Second).Acks)
	}
	require.Positive(t, acks)
}

// TestRunBeforeItsJob guards against two runs of a task: the run of a job that the
// earlier coordinator started is listed before the job is found in the store.
func TestRunBeforeItsJob(t *testing.T) {
	x := newCell(t, 2, 2, &keeper.Snapshot{Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}})
	x.list("a", w.Run{Task: w.TaskID{Job: "j"}, Run: 5})
	x.list("b")
	j := oneTask("j")
	x.c.AddJob(&j, false)
	require.Empty(t, x.step(0).Starts)
	x.end("a", linker.Start{Task: w.TaskID{Job: "j"}, Run: 5}, w.EndedDone)
	require.Empty(t, x.step(0).Starts)
	require.Equal(t, w.Completed, x.state("j"))
}

// TestSlowStoreShowsEnds guards against ready answers that are held back: an end
// whose write is on its way is shown once the store counts as slow.
func TestSlowStoreShowsEnds(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.list("a")
	x.submit(oneTask("j"))
	f := x.step(0)
	x.end("a", f.Starts[0], w.EndedDone)
	x.c.Advance(x.now)
	require.NotNil(t, x.c.Flush())
	x.c.Frames()
	x.c.SetStoreSlow(true)
	shown := linker.JobState{Job: "j", State: w.Completed, Unsaved: true}
	require.Contains(t, x.c.Frames()["other"].States, shown)
	x.c.SetStoreSlow(true)
	require.NotContains(t, x.c.members["other"].due().States, shown, "it is shown once")
	x.c.Join(&linker.Hello{Instance: "late"})
	require.Contains(t, x.c.Frames()["late"].States, shown)
}

// TestShownEndSurvivesItsLeader guards against a second run of a job that callers
// saw as completed: the store was silent, the leader handed over and the target
// with the end was replaced, so that only the instances knew of it.
func TestShownEndSurvivesItsLeader(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.list("a")
	x.submit(oneTask("j"))
	f := x.step(0)
	x.end("a", f.Starts[0], w.EndedDone)
	x.c.Advance(x.now)
	b := x.c.Flush()
	x.c.Frames()
	x.c.SetStoreSlow(true)
	shown := x.c.Frames()["other"].States[0]
	require.True(t, shown.Unsaved)

	for name, jobFirst := range map[string]bool{"job in the store": true, "job handed over later": false} {
		t.Run(name, func(t *testing.T) {
			y := newCell(t, 2, 1, &keeper.Snapshot{Roster: keeper.Roster{Open: []w.TargetID{"a"}}})
			job := oneTask("j")
			if jobFirst {
				y.c.AddJob(&job, false)
			}
			y.receive(&linker.Frame{Ended: []linker.JobState{shown}})
			if !jobFirst {
				y.c.AddJob(&job, false)
			}
			y.list("a")
			require.Equal(t, w.Completed, y.state("j"))
			y.c.Advance(y.now)
			for _, m := range y.c.Frames() {
				require.Empty(t, m.Starts)
			}
			b := y.c.Flush()
			require.NotNil(t, b)
			require.Equal(t, w.Completed, b.Progress[0].State, "the end is stored now")
			y.c.Stored(b)
			y.c.Advance(y.now.Add(statesPeriod))
			require.Contains(t, y.c.Frames()["other"].States, linker.JobState{Job: "j", State: w.Completed}, "nobody has to remember it any more")
		})
	}

	// The leader itself may store it after all.
	x.c.Stored(b)
	require.Contains(t, x.c.Frames()["other"].States, linker.JobState{Job: "j", State: w.Completed})
}

// TestFillsKeepsAway guards against work that fills unused room and disturbs
// tasks that serve on the same target.
func TestFillsKeepsAway(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.list("a")
	x.list("b")
	serve := oneTask("serve")
	serve.Steps[0].Lasting, serve.Steps[0].TailMs = true, 50
	x.submit(serve)
	first := x.step(0).Starts
	require.Len(t, first, 1)
	fill := oneTask("fill")
	fill.Steps[0].Count, fill.Steps[0].Fills, fill.Steps[0].Lasting = 3, true, true
	x.submit(fill)
	for _, s := range x.step(0).Starts {
		require.NotEqual(t, first[0].Target, s.Target)
	}
}

// TestGangStartsWhole guards against members of a gang that wait for others: all
// start with one run, or none does.
func TestGangStartsWhole(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.list("a")
	x.list("b")
	gang := oneTask("gang")
	gang.Steps[0].Count, gang.Steps[0].Gang, gang.Steps[0].Need.CPU = 5, true, 4000
	x.submit(gang)
	require.Empty(t, x.step(0).Starts, "only four members fit")
	gang.ID, gang.Steps = "fits", []w.Step{gang.Steps[0]}
	gang.Steps[0].Count = 4
	x.submit(gang)
	f := x.step(0)
	require.Len(t, f.Starts, 4)
	for _, s := range f.Starts {
		require.Equal(t, f.Starts[0].Run, s.Run)
	}
	x.receive(&linker.Frame{Results: []linker.Result{{Target: f.Starts[0].Target, Task: f.Starts[0].Task, Run: f.Starts[0].Run, Outcome: linker.NoRoom}}})
	require.Len(t, x.step(0).Stops, 3, "the others would wait for the one that was rejected")
}

// TestPreemptsForUrgent guards against urgent work that waits for batch work.
func TestPreemptsForUrgent(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.list("a")
	batch := oneTask("batch")
	batch.Steps[0].Count = 8
	x.submit(batch)
	f := x.step(0)
	require.Len(t, f.Starts, 8)
	for _, s := range f.Starts {
		x.started(s)
	}
	urgent := oneTask("urgent")
	urgent.Queue = "urgent"
	x.submit(urgent)
	f = x.step(10 * time.Millisecond)
	require.Len(t, f.Stops, 1)
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "a", Incarnation: 1, Ends: []w.End{{Seq: 1, Task: f.Stops[0].Task, Run: f.Stops[0].Run, How: w.EndedStopped}}}}})
	f = x.step(10 * time.Millisecond)
	require.Len(t, f.Starts, 1)
	require.Equal(t, w.JobID("urgent"), f.Starts[0].Task.Job)
}

// TestStalledTargetIsEmptied guards against work that stands still on a target
// while its heartbeats are good.
func TestStalledTargetIsEmptied(t *testing.T) {
	x := newCell(t, 1, 5, nil)
	for _, id := range []w.TargetID{"a", "b", "c", "d", "e"} {
		x.list(id)
	}
	x.submit(oneTask("j"))
	s := x.step(0).Starts[0]
	x.started(s)
	stops := 0
	for range 6 {
		x.list(s.Target, w.Run{Task: s.Task, Run: s.Run, Percent: 7})
		stops += len(x.step(400 * time.Millisecond).Stops)
	}
	require.Equal(t, 1, stops)
}

// TestGangStopsCheapWork guards against a gang that stops runs whose work is lost
// although others can go on from a checkpoint.
func TestGangStopsCheapWork(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.list("a")
	x.list("b")
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: "gang", Service: "s", Attempts: 4, Priority: 1},
		{Name: "low", Service: "s", Attempts: 4, Priority: 2},
	}})
	for _, saves := range []bool{false, true} {
		x.submit(w.Job{ID: w.JobID(fmt.Sprint("saves-", saves)), Queue: "low", Attempts: 4, Steps: []w.Step{{Count: 2, Saves: saves, Need: w.Resources{CPU: 4000}}}})
		for _, s := range x.step(0).Starts {
			x.started(s)
		}
	}
	x.now = x.now.Add(2 * time.Second)
	x.list("a", w.Run{Task: w.TaskID{Job: "saves-false"}, Run: x.c.jobs["saves-false"].occs[0].steps[0].tasks[0].run, Percent: 40},
		w.Run{Task: w.TaskID{Job: "saves-false", Index: 1}, Run: x.c.jobs["saves-false"].occs[0].steps[0].tasks[1].run, Percent: 40})
	x.submit(w.Job{ID: "gang", Queue: "gang", Attempts: 4, Steps: []w.Step{{Count: 2, Gang: true, Need: w.Resources{CPU: 4000}}}})
	stops := x.step(0).Stops
	require.Len(t, stops, 2)
	for _, s := range stops {
		require.Equal(t, w.JobID("saves-true"), s.Task.Job)
	}
}

// TestSlowRunIsNotStopped guards against work that is stopped and begun again since
// its target is slow: a percent of a long task takes longer there than the time
// after which a target counts as standing still.
func TestSlowRunIsNotStopped(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.list("a")
	j := oneTask("j")
	j.Steps[0].Estimate = 100 * time.Second
	x.submit(j)
	s := x.step(0).Starts[0]
	x.started(s)
	percent := 0
	for at := time.Duration(0); at < 30*time.Second; at += 400 * time.Millisecond {
		if at%(4*time.Second) == 0 {
			percent++
		}
		x.list("a", w.Run{Task: s.Task, Run: s.Run, Percent: percent})
		require.Empty(t, x.step(400*time.Millisecond).Stops, "after %v", at)
	}
	// A run that does stand still is moved.
	stops := 0
	for at := time.Duration(0); at < 30*time.Second; at += 400 * time.Millisecond {
		x.list("a", w.Run{Task: s.Task, Run: s.Run, Percent: percent})
		stops += len(x.step(400 * time.Millisecond).Stops)
	}
	require.Equal(t, 1, stops)
}

// TestOversizedJobIsDropped guards against a job of an instance of another version
// that ends every leader to which it is handed (found by FuzzFrame).
func TestOversizedJobIsDropped(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.list("a")
	x.receive(&linker.Frame{Jobs: []w.Job{{ID: "huge", Queue: testQueue, Steps: []w.Step{{Count: 1 << 60}}}}})
	require.Empty(t, x.c.jobs)
	x.submit(oneTask("j"))
	require.Len(t, x.step(0).Starts, 1)
}

// TestStatesShareFrames guards against a leader that sends a frame to every instance
// for each change of a job: the instance that accepted the job hears of it at once, the
// others in batches.
func TestStatesShareFrames(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.c.Join(&linker.Hello{Instance: "third"})
	x.c.Advance(x.now)
	x.c.Frames()
	x.list("a")
	frames := 0
	for i := range 60 {
		x.now = x.now.Add(5 * time.Millisecond)
		x.submit(oneTask(w.JobID(fmt.Sprint("j", i))))
		x.c.Advance(x.now)
		out := x.c.Frames()
		require.NotNil(t, out["other"])
		require.NotEmpty(t, out["other"].States, "its caller waits")
		if out["third"] != nil {
			frames++
		}
	}
	require.InDelta(t, 300*time.Millisecond/statesPeriod, frames, 2)
}

// TestProgressSharesBatches guards against a leader that stores a wide job anew with
// each of its ends: the ends of jobs are stored at once, progress in batches, and no
// end is acknowledged before its progress is stored.
func TestProgressSharesBatches(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.list("a")
	x.list("b")
	wide := oneTask("wide")
	wide.Steps[0].Count = 10
	x.submit(wide)
	x.submit(oneTask("short"))
	starts := x.step(0).Starts
	require.Len(t, starts, 11)
	for _, s := range starts {
		x.started(s)
	}
	x.step(progressPeriod)
	written, acked := 0, 0
	count := func(f map[w.InstanceID]*linker.Frame) {
		for _, fr := range f {
			acked += len(fr.Acks)
		}
	}
	for _, s := range starts[:9] {
		x.now = x.now.Add(5 * time.Millisecond)
		x.end(s.Target, s, w.EndedDone)
		x.c.Advance(x.now)
		if b := x.c.Flush(); b != nil {
			written += len(b.Progress)
			x.c.Stored(b)
		}
		count(x.c.Frames())
	}
	require.LessOrEqual(t, written, 1)
	require.Zero(t, acked)
	for _, s := range starts[9:] {
		x.end(s.Target, s, w.EndedDone)
	}
	x.c.Advance(x.now)
	b := x.c.Flush()
	require.NotNil(t, b)
	require.Len(t, b.Progress, 2, "both jobs have ended")
	x.c.Stored(b)
	require.Equal(t, w.Completed, x.state("short"))
	count(x.c.Frames())
	require.Zero(t, acked, "acknowledgements wait for all progress")
	x.now = x.now.Add(progressPeriod)
	x.c.Advance(x.now)
	b = x.c.Flush()
	require.NotNil(t, b)
	x.c.Stored(b)
	count(x.c.Frames())
	require.NotZero(t, acked)
}
