package coordinator

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// restart lists target "a" with a new incarnation.
func (x *testCell) restart(incarnation w.Incarnation) {
	list := []w.Target{x.c.targets["a"].Target}
	list[0].Incarnation = incarnation
	x.c.SetTargets(list, false, x.now)
}

// reportSynced reports a complete list of the runs on target "a" in its incarnation.
func (x *testCell) reportSynced(runs ...w.Run) {
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "a", Incarnation: x.c.targets["a"].Incarnation, Complete: true, Runs: runs}}})
}

// TestUnansweredStartAfterRestart guards against starting a task elsewhere while the next
// incarnation of its target may still carry out an earlier start order.
func TestUnansweredStartAfterRestart(t *testing.T) {
	for name, outcome := range map[string][]linker.Result{"no result": nil, "no answer": {{Target: "a", Task: w.TaskID{Job: "j"}, Outcome: linker.Indeterminate}}} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1, 2, nil)
			x.reportRuns("a")
			x.submit(singleTaskJob("j"))
			f := x.advance(0)
			require.Len(t, f.Starts, 1)
			order := f.Starts[0]
			for _, r := range outcome {
				r.Run = order.Run
				x.receive(&linker.Frame{Results: []linker.Result{r}})
			}
			x.reportRuns("b")
			x.advance(5 * time.Second)
			x.restart(w.Incarnation(x.now.UnixMilli()))
			f = x.advance(0)
			require.Empty(t, f.Starts)
			require.Contains(t, f.Stops, linker.Stop{Target: "a", Task: order.Task, Run: order.Run})
			for range 4 {
				x.reportSynced()
				require.Empty(t, x.advance(2*time.Second).Starts)
			}
			x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Task: order.Task, Run: order.Run, Outcome: linker.NotStarted}}})
			require.Len(t, x.advance(0).Starts, 1)
		})
	}
}

// TestStopsAreRepeatedAfterRestart guards against a late copy of a start order that the
// next incarnation carries out, because it does not know the stop that the earlier one
// answered, nor that the run has ended.
func TestStopsAreRepeatedAfterRestart(t *testing.T) {
	for name, age := range map[string]time.Duration{"recent": 5 * time.Second, "old": lateStartAge + time.Second} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1, 1, nil)
			x.reportRuns("a")
			j := singleTaskJob("j")
			j.Steps[0].Count = 2
			x.submit(j)
			f := x.advance(0)
			require.Len(t, f.Starts, 2)
			x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Task: f.Starts[0].Task, Run: f.Starts[0].Run, Outcome: linker.NotStarted}}})
			x.confirmStart(f.Starts[1])
			x.reportEnd("a", f.Starts[1], w.EndedDone)
			x.c.Advance(x.now.Add(age))
			x.now = x.now.Add(age)
			x.restart(2)
			stops := x.advance(0).Stops
			for _, s := range f.Starts {
				stop := linker.Stop{Target: "a", Task: s.Task, Run: s.Run}
				require.Equal(t, name == "recent", slices.Contains(stops, stop))
			}
		})
	}
}

// TestUnansweredRequestAfterRestart guards against starting a task elsewhere while the next
// incarnation of its target may still carry out the first of two start requests, of which
// the earlier incarnation answered the second.
func TestUnansweredRequestAfterRestart(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	order := x.advance(0).Starts[0]
	x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Task: order.Task, Run: order.Run, Outcome: linker.Started, Unanswered: true}}})
	x.reportRuns("a", w.Run{Task: order.Task, Run: order.Run})
	x.reportRuns("b")
	x.restart(2)
	f := x.advance(0)
	require.Empty(t, f.Starts)
	require.Equal(t, []linker.Stop{{Target: "a", Task: order.Task, Run: order.Run}}, f.Stops)
}

// TestRunsOfRestartedTarget guards against waiting for the result of a run that ended with
// its target.
func TestRunsOfRestartedTarget(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	order := x.advance(0).Starts[0]
	x.confirmStart(order)
	x.advance(survivalTime)
	x.reportRuns("a", w.Run{Task: order.Task, Run: order.Run})
	x.reportRuns("b")
	x.restart(2)
	require.Len(t, x.advance(0).Starts, 1)
}

// TestRepeatedStartAfterRestart guards against starting a task elsewhere while the next
// incarnation of its target may still carry out a start request that got no answer,
// although the previous one answered its repetition and listed the run.
func TestRepeatedStartAfterRestart(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	order := x.advance(0).Starts[0]
	x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Task: order.Task, Run: order.Run, Outcome: linker.Started, Unanswered: true}}})
	x.advance(survivalTime)
	x.reportRuns("a", w.Run{Task: order.Task, Run: order.Run})
	x.reportRuns("b")
	x.restart(2)
	f := x.advance(0)
	require.Empty(t, f.Starts)
	require.Contains(t, f.Stops, linker.Stop{Target: "a", Task: order.Task, Run: order.Run})
	x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Task: order.Task, Run: order.Run, Outcome: linker.NotStarted}}})
	require.Len(t, x.advance(0).Starts, 1)
}

// TestBatchOfEarlierIncarnationAcknowledgesNothing guards against discarding ends of a
// restarted target unread, by the numbers of ends that its earlier incarnation listed.
func TestBatchOfEarlierIncarnationAcknowledgesNothing(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	order := x.advance(0).Starts[0]
	x.reportEnd("a", order, w.EndedFailed)
	x.c.progressDue = time.Time{}
	b := x.c.Flush()
	require.NotNil(t, b)
	x.restart(2)
	x.c.Stored(b)
	require.Empty(t, x.advance(0).Acks)
}

// TestRestartedTargetWaitsForList guards against placing a task by the labels and the
// capacity of the incarnation before, which may be of another kind.
func TestRestartedTargetWaitsForList(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "a", Incarnation: 2, Gone: true}}})
	x.reportSynced()
	require.Empty(t, x.advance(0).Starts)
	x.restart(2)
	require.Len(t, x.advance(0).Starts, 1)
}

// TestLateStartOutlivesSilence guards against starting a task elsewhere while its target,
// which was silent since its restart, may have carried out an earlier start late and with
// its longest lease.
func TestLateStartOutlivesSilence(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.c.MaxLease = 10 * time.Second
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	require.Len(t, x.advance(0).Starts, 1)
	x.restart(2)
	for range 24 {
		x.reportRuns("b")
		require.Empty(t, x.advance(time.Second).Starts)
	}
	x.reportRuns("b")
	require.Len(t, x.advance(2*time.Second).Starts, 1)
}

// TestEarlyCancelOutlivesLeader guards against a job that runs although it was cancelled:
// it was stored only after its cancellation and after a change of the leader.
func TestEarlyCancelOutlivesLeader(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{
		Cancelled: map[w.JobID]bool{"known": true}, EarlyCancels: []keeper.EarlyCancel{{ID: "own", Tenant: "t"}, {ID: "other", Tenant: "t"}, {ID: "never"}},
	})
	x.reportRuns("a")
	for id, tenant := range map[w.JobID]w.TenantName{"known": "", "own": "t", "other": "u"} {
		j := singleTaskJob(id)
		j.Tenant = tenant
		x.c.AddJob(&j, false)
	}
	x.c.Advance(x.now)
	require.Equal(t, w.Cancelled, x.jobState("known"))
	require.Equal(t, w.Cancelled, x.jobState("own"))
	require.NotEqual(t, w.Cancelled, x.jobState("other"), "it belongs to another tenant than the cancellation")
	x.c.CancelEarly("other", "t")
	require.NotEqual(t, w.Cancelled, x.jobState("other"))
	x.c.Advance(x.now.Add(time.Second))
	x.c.Stored(x.c.Flush())
	x.c.Advance(x.now.Add(x.c.Retention + sweepPeriod + time.Second))
	require.Equal(t, []w.JobID{"never"}, x.c.Flush().RemoveCancels)
}
