package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const validity = 2 * time.Second

// advisedCell returns a cell of n empty targets whose queues have policies.
func advisedCell(t *testing.T, n int) *testCell {
	t.Helper()
	x := newCell(t, 1, n, nil)
	cost := &w.AdviceTiming{BaseLatency: 100 * time.Millisecond, LatencyPerTarget: 10 * time.Millisecond, TicketValidity: validity}
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: testQueue, Service: "s", Attempts: 4, Priority: 1, Advice: cost},
		{Name: "urgent", Service: "s", Attempts: 4, Advice: cost},
	}})
	for _, target := range x.c.sortedTargets {
		x.reportRuns(target.ID)
	}
	return x
}

// asks collects the calls for advice of all instances.
func (x *testCell) asks(d time.Duration) (list []linker.Ask, starts []linker.Start) {
	x.now = x.now.Add(d)
	x.c.fullRoundDue = time.Time{}
	x.c.Advance(x.now)
	x.c.fullRoundDue = time.Time{}
	for b := x.c.Flush(); b != nil; b = x.c.Flush() {
		x.c.Stored(b)
	}
	x.c.Advance(x.now)
	for _, f := range x.c.Frames() {
		list = append(list, f.Asks...)
		starts = append(starts, f.Starts...)
	}
	return list, starts
}

// permit answers a call with tickets for all targets.
func (x *testCell) permit(a linker.Ask) {
	r := linker.Advice{ID: a.ID, Good: a.Targets}
	for range a.Targets {
		r.Tickets = append(r.Tickets, "ticket")
	}
	for id := range x.c.members {
		x.c.Receive(id, &linker.Frame{Advice: []linker.Advice{r}}, x.now)
	}
}

// fill runs a task on each of four targets of an advised cell.
func (x *testCell) fill() []linker.Start {
	x.t.Helper()
	x.submit(w.Job{ID: "first", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 4, Need: w.Resources{CPU: 8000}}}})
	list, _ := x.asks(0)
	x.permit(list[0])
	_, runs := x.asks(0)
	require.Len(x.t, runs, 4)
	for _, s := range runs {
		x.confirmStart(s)
	}
	return runs
}

// TestAdviceNamesSeveral guards against many short calls: a second call costs
// more than the names of a few further targets.
func TestAdviceNamesSeveral(t *testing.T) {
	x := advisedCell(t, 8)
	j := singleTaskJob("a")
	x.submit(j)
	list, _ := x.asks(0)
	require.Len(t, list, 1)
	require.Len(t, list[0].Targets, 5, "as many as cost half of the call")
}

// TestAdviceForgotten guards against a leader whose memory grows with the advice
// for jobs that have ended, also if an answer comes late.
func TestAdviceForgotten(t *testing.T) {
	x := advisedCell(t, 8)
	x.submit(singleTaskJob("a"))
	list, _ := x.asks(0)
	x.permit(list[0])
	_, starts := x.asks(0)
	x.confirmStart(starts[0])
	s := x.c.jobs["a"].occurrences[0].steps[0]
	require.NotEmpty(t, s.advice)
	x.reportEnd(starts[0].Target, starts[0], w.EndedDone)
	require.Empty(t, s.advice)
	require.Empty(t, s.permitted)

	x.submit(singleTaskJob("b"))
	list, _ = x.asks(0)
	x.c.Cancel("b")
	x.permit(list[0])
	require.Empty(t, x.c.jobs["b"].occurrences[0].steps[0].advice)
}

// TestNoAdviceWithoutRoom guards against calls that cannot help: in a full cell
// each waiting step asked about one target after another, and the calls of other
// steps waited behind these.
func TestNoAdviceWithoutRoom(t *testing.T) {
	x := advisedCell(t, 8)
	x.submit(w.Job{ID: "first", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 16, Need: w.Resources{CPU: 4000}}}})
	for range 8 {
		list, starts := x.asks(10 * time.Millisecond)
		for _, a := range list {
			x.permit(a)
		}
		for _, s := range starts {
			x.confirmStart(s)
		}
	}
	for _, target := range x.c.sortedTargets {
		require.Zero(t, target.free().CPU)
	}
	x.submit(w.Job{ID: "second", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 4, Need: w.Resources{CPU: 4000}}}})
	calls := 0
	for range 40 {
		list, _ := x.asks(retryPeriod)
		for _, a := range list {
			x.permit(a)
		}
		calls += len(list)
	}
	require.Equal(t, 1, calls, "enough permitted targets are known")
}

// TestTicketsRenewedTogether guards against a call for each place that gets
// free: one call renews the tickets of all permitted targets.
func TestTicketsRenewedTogether(t *testing.T) {
	x := advisedCell(t, 4)
	runs := x.fill()
	x.submit(w.Job{ID: "second", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 4, Need: w.Resources{CPU: 8000}}}})
	list, _ := x.asks(0)
	require.Len(t, list, 1)
	x.permit(list[0])
	x.asks(validity)
	x.reportEnd(runs[0].Target, runs[0], w.EndedDone)
	list, _ = x.asks(searchTime(x.c.queue(x.c.jobs["second"]).Advice))
	require.Len(t, list, 1)
	require.Len(t, list[0].Targets, 4)
	x.permit(list[0])
	for _, s := range runs[1:] {
		x.reportEnd(s.Target, s, w.EndedDone)
	}
	list, starts := x.asks(0)
	require.Empty(t, list)
	require.Len(t, starts, 4)
}

// TestGangKeepsRoomOfStops guards against urgent work that takes places of which
// a gang has emptied the rest: its stops would have been for nothing.
func TestGangKeepsRoomOfStops(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	x.reportRuns("b")
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: "urgent", Service: "s", Attempts: 4},
		{Name: "gang", Service: "s", Attempts: 4, Priority: 1},
		{Name: "low", Service: "s", Attempts: 4, Priority: 2},
	}})
	x.submit(w.Job{ID: "low", Queue: "low", Attempts: 4, Steps: []w.Step{{Count: 4, Need: w.Resources{CPU: 4000}}}})
	for _, s := range x.advance(0).Starts {
		x.confirmStart(s)
	}
	x.submit(w.Job{ID: "gang", Queue: "gang", Attempts: 4, Steps: []w.Step{{Count: 2, Gang: true, Need: w.Resources{CPU: 8000}}}})
	stops := x.advance(10 * time.Millisecond).Stops
	require.Len(t, stops, 4)
	x.submit(w.Job{ID: "urgent", Queue: "urgent", Attempts: 4, Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 1000}}}})
	for _, s := range stops {
		x.reportEnd(s.Target, linker.Start{Task: s.Task, Run: s.Run}, w.EndedStopped)
		f := x.advance(10 * time.Millisecond)
		for _, start := range f.Starts {
			require.Equal(t, w.JobID("gang"), start.Task.Job)
		}
	}
	require.Len(t, x.c.jobs["gang"].occurrences[0].steps[0].tasks, 2)
	require.Zero(t, x.c.jobs["gang"].occurrences[0].steps[0].waiting)
}

// TestGangRenewsSpareTickets guards against gangs that never start although room
// is free: while a call for the tickets of one plan is made, other gangs take a
// part of its places.
func TestGangRenewsSpareTickets(t *testing.T) {
	x := advisedCell(t, 8)
	gang := func(id w.JobID, n int) w.Job {
		return w.Job{ID: id, Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: n, Gang: true, Need: w.Resources{CPU: 8000}}}}
	}
	x.submit(gang("first", 8))
	list, _ := x.asks(0)
	for _, a := range list {
		x.permit(a)
	}
	_, runs := x.asks(0)
	require.Len(t, runs, 8)
	for _, s := range runs {
		x.confirmStart(s)
	}
	x.submit(gang("second", 2))
	list, _ = x.asks(0)
	for _, a := range list {
		x.permit(a)
	}
	x.asks(validity)
	for _, s := range runs {
		x.reportEnd(s.Target, s, w.EndedDone)
	}
	list, _ = x.asks(planPeriod)
	require.Len(t, list, 1)
	require.Len(t, list[0].Targets, 5, "two places would do")
}

// TestShortAdviceHasLanes guards against urgent work that waits for advice behind
// longer calls at every instance.
func TestShortAdviceHasLanes(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	for _, id := range []w.InstanceID{"a", "b", "c", "d", "e", "f"} {
		x.c.Join(&linker.Hello{Instance: id})
	}
	s := &step{Step: &w.Step{}, job: &job{}}
	target := x.c.sortedTargets[:1]
	longer := &w.AdviceTiming{BaseLatency: shortAdvice}
	for range 2 * laneDepth * len(x.c.sortedMembers) {
		x.c.request(s, longer, target)
	}
	x.c.dispatchAsks()
	require.NotEmpty(t, x.c.queuedCalls)
	x.c.request(s, &w.AdviceTiming{BaseLatency: shortAdvice / 10}, target)
	x.c.dispatchAsks()
	for _, a := range x.c.queuedCalls {
		require.Equal(t, longer.BaseLatency, a.cost, "the short call is on its way")
	}
	for _, m := range x.c.sortedMembers[6:] {
		require.LessOrEqual(t, m.adviceCalls, 1)
	}
}

// TestLongAdviceHasLanes guards against gangs that get no advice while a backlog
// of shorter calls keeps every instance busy.
func TestLongAdviceHasLanes(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	for _, id := range []w.InstanceID{"a", "b", "c", "d", "e", "f"} {
		x.c.Join(&linker.Hello{Instance: id})
	}
	s := &step{Step: &w.Step{}, job: &job{}}
	for range 2 * laneDepth * len(x.c.sortedMembers) {
		x.c.request(s, &w.AdviceTiming{BaseLatency: longAdvice - 1}, x.c.sortedTargets[:1])
	}
	x.c.dispatchAsks()
	x.c.request(s, &w.AdviceTiming{BaseLatency: longAdvice}, x.c.sortedTargets[:1])
	x.c.dispatchAsks()
	for _, a := range x.c.queuedCalls {
		require.Less(t, a.cost, longAdvice, "the long call is on its way")
	}
}

// TestRoomIsAskedForOnce guards against a call of each waiting step when room for
// one task gets free: some hundred steps kept all lanes busy for room that one of
// them got.
func TestRoomIsAskedForOnce(t *testing.T) {
	x := advisedCell(t, 4)
	for _, id := range []w.InstanceID{"i", "j", "k", "l", "m", "n", "o", "p"} {
		x.c.Join(&linker.Hello{Instance: id, Zone: "another"})
	}
	runs := x.fill()
	for _, id := range []w.JobID{"a", "b", "c", "d", "e", "f"} {
		x.submit(w.Job{ID: id, Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 8000}}}})
		list, _ := x.asks(searchPeriod)
		for _, a := range list {
			x.permit(a)
		}
	}
	x.asks(validity)
	x.reportEnd(runs[0].Target, runs[0], w.EndedDone)
	calls := 0
	for range 5 {
		list, _ := x.asks(searchPeriod)
		calls += len(list)
	}
	require.Equal(t, 1, calls)
}

// TestAdviceBeforeOldJobsStart guards against steps that begin to ask for advice
// only when the last silent target of the earlier coordinator has lapsed, 9 s
// after a loss of power: their calls then kept the lanes busy for 10 s more.
func TestAdviceBeforeOldJobsStart(t *testing.T) {
	x := newCell(t, 2, 4, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("old")}, Roster: keeper.Roster{Open: []w.TargetID{"a", "gone"}}})
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{{
		Name: testQueue, Service: "s", Attempts: 4,
		Advice: &w.AdviceTiming{BaseLatency: 100 * time.Millisecond, LatencyPerTarget: 10 * time.Millisecond, TicketValidity: validity},
	}}})
	for _, target := range x.c.sortedTargets {
		x.reportRuns(target.ID)
	}
	list, starts := x.asks(0)
	require.Empty(t, starts)
	require.Len(t, list, 1)
	x.permit(list[0])
	for range 10 {
		list, starts = x.asks(retryPeriod)
		require.Empty(t, starts, "the silent target may run the task")
		require.Empty(t, list, "the policy is known, and tickets would run out")
	}
}

// TestNoAdviceForRunningWork guards against calls for work that still runs: a new
// leader asked for every old step before it had read the targets, and the calls of
// work that did wait came seconds later.
func TestNoAdviceForRunningWork(t *testing.T) {
	begun, waits := singleTaskJob("begun"), singleTaskJob("waits")
	x := newCell(t, 2, 0, &keeper.Snapshot{
		Jobs: []w.Job{begun, waits}, Progress: map[w.JobID]keeper.Progress{"begun": {ID: "begun", Started: true}},
		Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}},
	})
	x.c.Configure(&w.Config{Version: 3, Queues: []w.Queue{{
		Name: testQueue, Service: "s", Attempts: 4, Advice: &w.AdviceTiming{BaseLatency: 100 * time.Millisecond, TicketValidity: validity},
	}}})
	x.c.SetTargets([]w.Target{{ID: "a", Service: "s", Address: "x", Incarnation: 1, Capacity: w.Resources{CPU: 8000, Mem: 8000}}}, true, x.now)
	x.asks(0)
	x.reportRuns("a")
	list, _ := x.asks(retryPeriod)
	require.Len(t, list, 1)
	require.Equal(t, "waits.0.0", list[0].Step)
	list, _ = x.asks(readPeriod)
	require.Len(t, list, 1, "it did not run")
	require.Equal(t, "begun.0.0", list[0].Step)
}
