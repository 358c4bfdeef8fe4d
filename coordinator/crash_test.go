package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// syncTargets reports that targets are alive and run what the coordinator believes.
func (x *testCell) syncTargets() {
	for id, t := range x.c.targets {
		if !t.health.unreachable && t.listed {
			runs := make([]w.Run, 0, len(t.slots))
			for task, sl := range t.slots {
				runs = append(runs, w.Run{Task: task, Run: sl.run})
			}
			x.receive(&linker.Frame{Reports: []linker.Report{{Target: id, Incarnation: t.Incarnation, Complete: true, Runs: runs}}})
		}
	}
}

// startsOf advances until a task of the job is ordered to start, for at most the given
// time, and confirms the starts of that frame.
func (x *testCell) startsOf(id w.JobID, within time.Duration) []linker.Start {
	for range within / (50 * time.Millisecond) {
		f := x.advance(50 * time.Millisecond)
		x.syncTargets()
		var list []linker.Start
		if f != nil {
			for _, s := range f.Starts {
				x.confirmStart(s)
				if s.Task.Job == id {
					list = append(list, s)
				}
			}
		}
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// crash lets a target close its connection, and its machine return with a new target
// after 3 s.
func (x *testCell) crash(id w.TargetID) {
	t := x.c.targets[id]
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: id, Incarnation: t.Incarnation, Unreachable: true, Closed: true, Absent: true}}})
	for range 30 {
		require.Empty(x.t, x.advance(100*time.Millisecond).Starts, "nothing starts again before the crash is certain")
		x.syncTargets()
	}
	var list []w.Target
	for other, o := range x.c.targets {
		if o.listed && other != id {
			list = append(list, o.Target)
		}
	}
	next := t.Target
	next.ID, next.Incarnation = id+"'", t.Incarnation+1
	x.c.SetTargets(append(list, next), true, x.now)
	require.Empty(x.t, x.advance(0).Starts, "nothing starts again before the next target has answered")
	x.syncTargets()
}

// newCrashCell returns a cell of n targets on machines of their own.
func newCrashCell(t *testing.T, epoch w.Epoch, n int, snap *keeper.Snapshot) *testCell {
	x := newCell(t, epoch, n, snap)
	list := make([]w.Target, 0, n)
	for _, o := range x.c.sortedTargets {
		o.Machine = "m-" + string(o.ID)
		list = append(list, o.Target)
	}
	x.c.SetTargets(list, true, x.now)
	x.syncTargets()
	x.advance(0)
	return x
}

// Guards against a task that crashes target after target.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for _, gang := range []bool{false, true} {
		x := newCrashCell(t, 1, 6, nil)
		j := singleTaskJob("bad")
		if gang {
			j.Steps[0].Gang, j.Steps[0].Count = true, 2
		}
		x.submit(j)
		starts := 0
		for x.jobState("bad") != w.Failed {
			list := x.startsOf("bad", 10*time.Second)
			require.NotEmpty(t, list, "a suspect starts again")
			starts++
			require.LessOrEqual(t, starts, 3, "gang %v", gang)
			x.crash(list[0].Target)
		}
		require.Equal(t, 2, starts, "gang %v", gang)
	}
}

// Guards against jobs that fail because of a neighbour that crashes their targets.
func TestNeighbourOfCrashingTaskCompletes(t *testing.T) {
	x := newCrashCell(t, 1, 4, nil)
	x.submit(singleTaskJob("bad"))
	x.submit(singleTaskJob("good"))
	bad := x.startsOf("bad", time.Second)
	require.Len(t, bad, 1)
	require.Same(t, x.c.jobs["bad"].occurrences[0].steps[0].tasks[0].target, x.c.jobs["good"].occurrences[0].steps[0].tasks[0].target)
	x.crash(bad[0].Target)

	var good []linker.Start
	bad = x.startsOf("bad", time.Second)
	require.Len(t, bad, 1)
	for task, run := range map[w.JobID]*[]linker.Start{"good": &good} {
		tk := &x.c.jobs[task].occurrences[0].steps[0].tasks[0]
		require.NotNil(t, tk.target, "the neighbour starts again at the same time, elsewhere")
		*run = []linker.Start{{Target: tk.target.ID, Task: x.c.jobs[task].occurrences[0].steps[0].id(0), Run: tk.run}}
	}
	require.NotEqual(t, bad[0].Target, good[0].Target)
	x.crash(bad[0].Target)
	require.Equal(t, w.Failed, x.jobState("bad"))
	require.False(t, x.c.jobs["good"].occurrences[0].steps[0].tasks[0].suspect(), "it has survived its start")
	x.reportEnd(good[0].Target, good[0], w.EndedDone)
	require.Equal(t, w.Completed, x.jobState("good"))
}

// Guards against a new leader that begins to count crashes at zero.
func TestCrashesOutliveLeader(t *testing.T) {
	x := newCrashCell(t, 1, 4, nil)
	j := singleTaskJob("bad")
	x.submit(j)
	x.crash(x.startsOf("bad", time.Second)[0].Target)
	x.c.dirty[j.ID] = x.c.jobs[j.ID]
	p := x.c.jobs[j.ID].progress()
	require.Len(t, p.Steps, 1)

	y := newCrashCell(t, 2, 4, &keeper.Snapshot{Jobs: []w.Job{j}, Progress: map[w.JobID]keeper.Progress{j.ID: p}})
	y.crash(y.startsOf("bad", 20*time.Second)[0].Target)
	require.Equal(t, w.Failed, y.jobState("bad"))
}

// Guards against a start that no later leader would know of.
func TestSuspectStartsOnceStored(t *testing.T) {
	x := newCrashCell(t, 1, 4, nil)
	x.submit(singleTaskJob("bad"))
	x.crash(x.startsOf("bad", time.Second)[0].Target)
	r := x.c.jobs["bad"].occurrences[0].steps[0].crashes(0)
	x.startsOf("other", 100*time.Millisecond)
	require.Len(t, r.unclear, 1, "the next run is stored before it starts")
	require.Equal(t, x.c.jobs["bad"].suspicions, x.c.jobs["bad"].suspicionsStored)

	s := x.c.jobs["bad"].occurrences[0].steps[0]
	s.job.suspicions++
	require.False(t, x.c.retryReady(s, &crashRecord{crashed: []w.RunID{1}}))
}

// Guards against work that is blamed for the failure of a rack.
func TestFailedRackIsNoEvidence(t *testing.T) {
	x := newCrashCell(t, 1, 3, nil)
	x.submit(singleTaskJob("j"))
	s := x.startsOf("j", time.Second)[0]
	for _, o := range x.c.sortedTargets {
		if o.ID != s.Target && o.ID != "c" {
			x.receive(&linker.Frame{Reports: []linker.Report{{Target: o.ID, Incarnation: 1, Unreachable: true, Closed: true}}})
		}
	}
	x.crash(s.Target)
	require.False(t, x.c.jobs["j"].occurrences[0].steps[0].tasks[0].suspect())
	require.NotEmpty(t, x.startsOf("j", time.Second))
}

// Guards against runs that wait for the lease of a target whose machine is back.
func TestReplacedTargetLosesItsRuns(t *testing.T) {
	x := newCrashCell(t, 1, 2, nil)
	x.submit(singleTaskJob("j"))
	s := x.startsOf("j", time.Second)[0]
	x.startsOf("none", time.Second) // it survives its start
	x.crash(s.Target)
	again := x.startsOf("j", 200*time.Millisecond)
	require.Len(t, again, 1, "at once, not after the lease of 6 s")
	require.False(t, again[0].Probe)
}

// crashTargets crashes the targets on which a deadly task has started in this step, and
// lets the machines of earlier ones return with new targets.
func (x *replay) crashTargets(deadly func(w.TaskID) bool) (crashed int) {
	for _, r := range slices.Clone(x.runs) {
		if _, down := x.down[r.Target]; down || !deadly(r.Task) {
			continue
		}
		crashed++
		x.down[r.Target] = x.now.Add(3 * time.Second)
		x.runs = slices.DeleteFunc(x.runs, func(o *replayRun) bool { return o.Target == r.Target })
		x.receive(&linker.Frame{Reports: []linker.Report{{Target: r.Target, Incarnation: x.incarnation(r.Target), Unreachable: true, Closed: true, Absent: true}}})
	}
	if x.now.UnixMilli()%1000 != 0 {
		return crashed
	}
	var list []w.Target
	for _, t := range x.c.sortedTargets {
		back, down := x.down[t.ID]
		if t.listed && (!down || x.now.Before(back)) {
			list = append(list, t.Target)
		} else if t.listed {
			next := t.Target
			next.ID, next.Incarnation = w.TargetID(fmt.Sprint(t.Machine, "-", t.Incarnation+1)), t.Incarnation+1
			x.speed[next.ID] = 1
			list = append(list, next)
		}
	}
	x.c.SetTargets(list, true, x.now)
	return crashed
}

// TestCrashingKindIsContained guards against one kind of work that takes nearly all
// targets from the others: for 20 s, a fifth of the urgent jobs crash their targets.
func TestCrashingKindIsContained(t *testing.T) {
	play := func(contain bool) (share float64, crashed int) {
		x := newReplay(t, slices.Repeat([]float64{1}, 48), 6)
		x.down = make(map[w.TargetID]time.Time)
		for _, o := range x.c.sortedTargets {
			o.Machine = string(o.ID)
		}
		arrivals := rand.New(rand.NewPCG(5, 5))
		deadly := make(map[w.JobID]bool)
		for tick := range 40 * 50 {
			if !contain {
				x.c.containmentDue = x.now.Add(time.Hour)
				x.c.riskBudgets["s"] = 48
			}
			if tick < 30*50 {
				if arrivals.Float64() < 0.6 {
					id := w.JobID(fmt.Sprintf("urgent%d", len(x.arrived)))
					deadly[id] = tick > 2*50 && tick < 22*50 && arrivals.Float64() < 0.2
					x.job("urgent", w.Step{Count: 2, Estimate: 700 * time.Millisecond, Need: w.Resources{CPU: 1400}})
				}
				if arrivals.Float64() < 0.12 {
					x.job("batch", w.Step{Count: 15, Estimate: 1900 * time.Millisecond, Need: w.Resources{CPU: 1000}})
				}
			}
			x.step()
			crashed += x.crashTargets(func(id w.TaskID) bool { return deadly[id.Job] && id.Index == 0 })
		}
		for id, j := range x.c.jobs {
			require.False(t, j.state == w.Failed && !deadly[id], "%s failed without cause", id)
		}
		return float64(x.inGoal["batch"]) / float64(x.total["batch"]), crashed
	}
	before, crashedBefore := play(false)
	after, crashed := play(true)
	t.Logf("batch jobs in their goal: %.3f, %.3f contained; crashed targets: %d, %d contained", before, after, crashedBefore, crashed)
	require.Greater(t, after, before+0.1)
}

// Guards against jobs that fail although none of their runs started: twice, the target is
// cut off before the start order arrives and returns as another incarnation.
func TestUnstartedRunIsNoCrash(t *testing.T) {
	x := newCrashCell(t, 1, 4, nil)
	x.submit(singleTaskJob("j"))
	for range 2 {
		var list []linker.Start
		for k := 0; k < 200 && len(list) == 0; k++ {
			x.syncTargets()
			list = x.advance(50 * time.Millisecond).Starts
		}
		require.Len(t, list, 1)
		s := list[0]
		x.receive(&linker.Frame{
			Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.Indeterminate}},
			Reports: []linker.Report{{Target: s.Target, Incarnation: x.incarnation(s.Target), Unreachable: true}},
		})
		for range 40 {
			x.advance(100 * time.Millisecond)
			x.syncTargets()
		}
		next := x.c.targets[s.Target].Target
		next.Incarnation++
		x.c.SetTargets([]w.Target{next}, false, x.now)
		x.receive(&linker.Frame{Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.NotStarted}}})
		x.syncTargets()
	}
	require.NotEqual(t, w.Failed, x.jobState("j"))
	require.Empty(t, x.c.jobs["j"].occurrences[0].steps[0].crashes(0).crashed)
}

// Guards against work that is suspected since its target crashes shortly after a new
// leader has found it there.
func TestFoundRunAtWorkIsNoSuspect(t *testing.T) {
	j := singleTaskJob("j")
	j.Steps[0].Estimate = 4 * time.Second
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{j}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}})
	x.c.targets["a"].Machine = "m"
	x.reportRuns("a", w.Run{Task: w.TaskID{Job: "j"}, Run: 5, Percent: 50})
	x.reportRuns("b")
	x.advance(50 * time.Millisecond)
	x.crash("a")
	require.False(t, x.c.jobs["j"].occurrences[0].steps[0].crashes(0).suspect())
	require.Len(t, x.startsOf("j", time.Second), 1)
}

// Guards against running the tasks of a target twice that is only slow to answer, because
// another row of its machine has a later start: an odd row, or one from before a clock
// went back.
func TestLivingTargetIsNotReplaced(t *testing.T) {
	x := newCrashCell(t, 1, 2, nil)
	other := x.c.targets["a"].Target
	other.ID, other.Incarnation = "odd", 1000
	x.c.SetTargets([]w.Target{other}, false, x.now)
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "odd", Incarnation: 1000, Unreachable: true}}})
	x.submit(singleTaskJob("j"))
	s := x.startsOf("j", time.Second)
	require.Equal(t, w.TargetID("a"), s[0].Target)
	x.startsOf("none", time.Second)
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "a", Incarnation: 1, Unreachable: true}}})
	x.c.SetTargets([]w.Target{other}, false, x.now)
	require.Empty(t, x.advance(0).Starts)
}

// Guards against running the tasks of a target twice that resets a connection, because
// another target that answers names the same machine.
func TestSharedMachineReplacesNothing(t *testing.T) {
	x := newCrashCell(t, 1, 2, nil)
	x.submit(singleTaskJob("j"))
	s := x.startsOf("j", time.Second)
	require.Equal(t, w.TargetID("a"), s[0].Target)
	x.startsOf("none", time.Second)
	other := x.c.targets["b"].Target
	other.Machine, other.Incarnation = "m-a", 2
	x.restart(1)
	x.c.SetTargets([]w.Target{x.c.targets["a"].Target, other}, true, x.now)
	x.syncTargets()
	report := linker.Report{Target: "a", Incarnation: 1, Unreachable: true, Closed: true}
	x.receive(&linker.Frame{Reports: []linker.Report{report}})
	x.advance(time.Second)
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "b", Incarnation: 2, Complete: true}}})
	x.c.SetTargets([]w.Target{x.c.targets["a"].Target, other}, true, x.now)
	require.Empty(t, x.advance(0).Starts)
	report.Absent = true
	x.receive(&linker.Frame{Reports: []linker.Report{report}})
	x.c.SetTargets([]w.Target{x.c.targets["a"].Target, other}, true, x.now)
	require.Len(t, x.startsOf("j", time.Second), 1, "its address refuses connections")
}

// Guards against rounds of decisions that take time with the square of the tasks of a
// contained job.
func TestContainedJobIsExaminedOnce(t *testing.T) {
	round := func(tasks int) time.Duration {
		x := newCrashCell(t, 1, 1, nil)
		x.c.contained[testQueue], x.c.riskBudgets["s"] = true, 1
		x.c.containmentDue = x.now.Add(time.Hour)
		j := singleTaskJob("j")
		j.Steps[0].Count = tasks
		x.submit(j)
		require.Len(t, x.advance(0).Starts, 1)
		best := time.Hour
		for range 10 {
			x.now = x.now.Add(retryPeriod)
			start := time.Now()
			x.c.Advance(x.now)
			best = min(best, time.Since(start))
		}
		return best
	}
	few, many := round(1000), round(10_000)
	require.Less(t, many, 40*few, "ten times the tasks: %v, %v", few, many)
}

// Guards against an urgent suspect that waits for as long as less urgent work fills the
// cell.
func TestUrgentSuspectPreempts(t *testing.T) {
	x := newCrashCell(t, 1, 1, nil)
	low := singleTaskJob("low")
	low.Steps[0].Need.CPU = 8000
	x.submit(low)
	require.Len(t, x.startsOf("low", time.Second), 1)
	x.startsOf("none", time.Second)
	u := singleTaskJob("u")
	u.Queue = "urgent"
	x.submit(u)
	x.c.jobs["u"].occurrences[0].steps[0].crashes(0).crashed = []w.RunID{1}
	for range 10 {
		x.syncTargets()
		if stops := x.advance(50 * time.Millisecond).Stops; len(stops) > 0 {
			x.reportEnd(stops[0].Target, linker.Start{Task: stops[0].Task, Run: stops[0].Run}, w.EndedStopped)
			break
		}
	}
	require.Len(t, x.startsOf("u", time.Second), 1)
}

// Guards against a job that counts as harmless since the next incarnation of a target
// answers, on which its run had been listed but whose start had got no answer.
func TestAnswerOfNextIncarnationIsNoSurvival(t *testing.T) {
	x := newCrashCell(t, 1, 1, nil)
	x.submit(singleTaskJob("j"))
	s := x.advance(0).Starts[0]
	x.syncTargets()
	x.restart(2)
	x.advance(time.Second)
	x.reportRuns("a")
	x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Task: s.Task, Run: s.Run, Outcome: linker.NotStarted}}})
	require.False(t, x.c.jobs["j"].survived)
}

// Guards against a suspect that is cleared by a report from before the crash, which a
// paused leader processes late.
func TestLateReportShowsNoSurvival(t *testing.T) {
	x := newCrashCell(t, 1, 4, nil)
	x.submit(singleTaskJob("bad"))
	x.crash(x.startsOf("bad", time.Second)[0].Target)
	var s linker.Start
	for s.Target == "" {
		x.syncTargets()
		if f := x.advance(50 * time.Millisecond); len(f.Starts) > 0 {
			s = f.Starts[0]
		}
	}
	const started = 5 * time.Second
	x.receive(&linker.Frame{Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.Started, At: started}}})
	x.now = x.now.Add(time.Second)
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: s.Target, Incarnation: x.incarnation(s.Target), At: started + 25*time.Millisecond}}})
	x.advance(0)
	x.crash(s.Target)
	require.Equal(t, w.Failed, x.jobState("bad"))
}

// Guards against a suspected gang that never starts, since other runs have always just
// started on some of the targets that it needs.
func TestSuspectedGangStartsAmongShortRuns(t *testing.T) {
	x := newCrashCell(t, 1, 4, nil)
	g := singleTaskJob("g")
	g.Steps[0].Gang, g.Steps[0].Count, g.Steps[0].Spread = true, 4, 1
	x.submit(g)
	x.c.jobs["g"].occurrences[0].steps[0].crashes(0).crashed = []w.RunID{1}
	ends := make(map[linker.Start]time.Time)
	for n := range 1000 {
		if n%5 == 0 {
			j := singleTaskJob(w.JobID(fmt.Sprint("short", n)))
			j.Steps[0].Count, j.Steps[0].Need.CPU = 4, 3000
			x.submit(j)
		}
		for _, s := range x.advance(20 * time.Millisecond).Starts {
			if s.Task.Job == "g" {
				return
			}
			x.confirmStart(s)
			ends[s] = x.now.Add(180 * time.Millisecond)
		}
		for s, at := range ends {
			if !x.now.Before(at) {
				x.reportEnd(s.Target, s, w.EndedDone)
				delete(ends, s)
			}
		}
		if n%20 == 0 {
			x.syncTargets()
		}
	}
	require.Fail(t, "the gang has not started in 20 s")
}

// Guards against a suspect that waits longer after each change of the leader.
func TestPauseOfSuspect(t *testing.T) {
	runs := []w.RunID{1, 2, 3, 4, 5}
	for _, c := range []struct {
		crashed, unclear int
		want             time.Duration
	}{{0, 0, 0}, {1, 0, 0}, {0, 1, 0}, {1, 1, 2 * time.Second}, {0, 5, 2 * time.Second}, {1, 5, 2 * time.Second}, {2, 0, 8 * time.Second}} {
		r := crashRecord{crashed: runs[:c.crashed], unclear: runs[:c.unclear]}
		require.Equal(t, c.want, r.pause(), "%+v", c)
	}
}
