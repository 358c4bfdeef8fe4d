package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const ticketValidity = 2 * time.Second

// newAdvisedCell returns a cell of n empty targets whose queues use an advice service.
func newAdvisedCell(t *testing.T, n int) *testCell {
	t.Helper()
	x := newCell(t, 1, n, nil)
	timing := &w.AdviceTiming{BaseLatency: 100 * time.Millisecond, LatencyPerTarget: 10 * time.Millisecond, TicketValidity: ticketValidity}
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: testQueue, Service: "s", Attempts: 4, Priority: 1, Advice: timing},
		{Name: "urgent", Service: "s", Attempts: 4, Advice: timing},
	}})
	for _, target := range x.c.sortedTargets {
		x.reportRuns(target.ID)
	}
	return x
}

// nextOrders moves the clock forward, stores all pending batches and returns the advice
// calls and start orders for all instances.
func (x *testCell) nextOrders(d time.Duration) (calls []linker.Ask, starts []linker.Start) {
	x.now = x.now.Add(d)
	x.c.fullPassDue = time.Time{}
	x.c.Advance(x.now)
	x.c.fullPassDue = time.Time{}
	for b := x.c.Flush(); b != nil; b = x.c.Flush() {
		x.c.Stored(b)
	}
	x.c.Advance(x.now)
	for _, f := range x.c.Frames() {
		calls = append(calls, f.Asks...)
		starts = append(starts, f.Starts...)
	}
	return calls, starts
}

// permitAll answers an advice call with tickets for all its targets.
func (x *testCell) permitAll(a linker.Ask) {
	r := linker.Advice{ID: a.ID, Good: a.Targets}
	for range a.Targets {
		r.Tickets = append(r.Tickets, "ticket")
	}
	for id := range x.c.members {
		x.c.Receive(id, &linker.Frame{Advice: []linker.Advice{r}}, x.now)
	}
}

// fillTargets runs one task that fills a target on each of four targets.
func (x *testCell) fillTargets() []linker.Start {
	x.t.Helper()
	x.submit(w.Job{ID: "first", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 4, Need: w.Resources{CPU: 8000}}}})
	asks, _ := x.nextOrders(0)
	x.permitAll(asks[0])
	_, runs := x.nextOrders(0)
	require.Len(x.t, runs, 4)
	for _, s := range runs {
		x.confirmStart(s)
	}
	return runs
}

// TestAdviceCallBatchesTargets guards against many small calls: a second call takes
// longer than naming a few further targets in the first one.
func TestAdviceCallBatchesTargets(t *testing.T) {
	x := newAdvisedCell(t, 8)
	j := singleTaskJob("a")
	x.submit(j)
	asks, _ := x.nextOrders(0)
	require.Len(t, asks, 1)
	require.Len(t, asks[0].Targets, 5, "the named targets should add half of the base latency of a call")
}

// TestAdviceClearedWhenStepEnds guards against memory growth by advice kept for jobs
// that have ended, including answers that arrive after the end.
func TestAdviceClearedWhenStepEnds(t *testing.T) {
	x := newAdvisedCell(t, 8)
	x.submit(singleTaskJob("a"))
	asks, _ := x.nextOrders(0)
	x.permitAll(asks[0])
	_, starts := x.nextOrders(0)
	x.confirmStart(starts[0])
	s := x.c.jobs["a"].occurrences[0].steps[0]
	require.NotEmpty(t, s.advice)
	x.reportEnd(starts[0].Target, starts[0], w.EndedDone)
	require.Empty(t, s.advice)
	require.Empty(t, s.permittedTargets)

	x.submit(singleTaskJob("b"))
	asks, _ = x.nextOrders(0)
	x.c.Cancel("b")
	x.permitAll(asks[0])
	require.Empty(t, x.c.jobs["b"].occurrences[0].steps[0].advice)
}

// TestNoAdviceCallsInFullCell guards against useless calls: in a full cell, each waiting
// step made calls for one target after another and delayed the calls of other steps.
func TestNoAdviceCallsInFullCell(t *testing.T) {
	x := newAdvisedCell(t, 8)
	x.submit(w.Job{ID: "first", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 16, Need: w.Resources{CPU: 4000}}}})
	for range 8 {
		asks, starts := x.nextOrders(10 * time.Millisecond)
		for _, a := range asks {
			x.permitAll(a)
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
		asks, _ := x.nextOrders(retryPeriod)
		for _, a := range asks {
			x.permitAll(a)
		}
		calls += len(asks)
	}
	require.Equal(t, 1, calls, "no further calls once enough permitted targets are known")
}

// TestTicketsRenewedInOneCall guards against a separate call for each target on which
// resources are freed: a single call renews the tickets for all permitted targets.
func TestTicketsRenewedInOneCall(t *testing.T) {
	x := newAdvisedCell(t, 4)
	runs := x.fillTargets()
	x.submit(w.Job{ID: "second", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 4, Need: w.Resources{CPU: 8000}}}})
	asks, _ := x.nextOrders(0)
	require.Len(t, asks, 1)
	x.permitAll(asks[0])
	x.nextOrders(ticketValidity)
	x.reportEnd(runs[0].Target, runs[0], w.EndedDone)
	asks, _ = x.nextOrders(adviceSearchPeriod(x.c.queue(x.c.jobs["second"]).Advice))
	require.Len(t, asks, 1)
	require.Len(t, asks[0].Targets, 4)
	x.permitAll(asks[0])
	for _, s := range runs[1:] {
		x.reportEnd(s.Target, s, w.EndedDone)
	}
	asks, starts := x.nextOrders(0)
	require.Empty(t, asks)
	require.Len(t, starts, 4)
}

// TestGangKeepsPreemptedResources guards against wasted preemptions: urgent tasks must
// not take resources that a gang is freeing by preemption.
func TestGangKeepsPreemptedResources(t *testing.T) {
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

// TestGangRenewsSpareTickets guards against gangs that never start although resources
// are free, because other gangs take planned resources while tickets are requested.
func TestGangRenewsSpareTickets(t *testing.T) {
	x := newAdvisedCell(t, 8)
	gang := func(id w.JobID, n int) w.Job {
		return w.Job{ID: id, Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: n, Gang: true, Need: w.Resources{CPU: 8000}}}}
	}
	x.submit(gang("first", 8))
	asks, _ := x.nextOrders(0)
	for _, a := range asks {
		x.permitAll(a)
	}
	_, runs := x.nextOrders(0)
	require.Len(t, runs, 8)
	for _, s := range runs {
		x.confirmStart(s)
	}
	x.submit(gang("second", 2))
	asks, _ = x.nextOrders(0)
	for _, a := range asks {
		x.permitAll(a)
	}
	x.nextOrders(ticketValidity)
	for _, s := range runs {
		x.reportEnd(s.Target, s, w.EndedDone)
	}
	asks, _ = x.nextOrders(gangPlanPeriod)
	require.Len(t, asks, 1)
	require.Len(t, asks[0].Targets, 5, "the call should name spare targets beyond the two needed")
}

// TestShortAdviceCallsNotBlocked guards against urgent tasks whose advice calls queue
// behind longer calls at every instance.
func TestShortAdviceCallsNotBlocked(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	for _, id := range []w.InstanceID{"a", "b", "c", "d", "e", "f"} {
		x.c.Join(&linker.Hello{Instance: id})
	}
	s := &step{Step: &w.Step{}, job: &job{}}
	target := x.c.sortedTargets[:1]
	mediumTiming := &w.AdviceTiming{BaseLatency: shortCallThreshold}
	for range 2 * maxCallsPerInstance * len(x.c.sortedMembers) {
		x.c.enqueueAdviceCall(s, mediumTiming, target)
	}
	x.c.dispatchAdviceCalls()
	require.NotEmpty(t, x.c.queuedCalls)
	x.c.enqueueAdviceCall(s, &w.AdviceTiming{BaseLatency: shortCallThreshold / 10}, target)
	x.c.dispatchAdviceCalls()
	for _, a := range x.c.queuedCalls {
		require.Equal(t, mediumTiming.BaseLatency, a.expectedDuration, "the short call should have been dispatched")
	}
	for _, m := range x.c.sortedMembers[6:] {
		require.LessOrEqual(t, m.adviceCalls, 1)
	}
}

// TestLongAdviceCallsNotStarved guards against gangs that get no advice while a backlog
// of shorter calls occupies every instance.
func TestLongAdviceCallsNotStarved(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	for _, id := range []w.InstanceID{"a", "b", "c", "d", "e", "f"} {
		x.c.Join(&linker.Hello{Instance: id})
	}
	s := &step{Step: &w.Step{}, job: &job{}}
	for range 2 * maxCallsPerInstance * len(x.c.sortedMembers) {
		x.c.enqueueAdviceCall(s, &w.AdviceTiming{BaseLatency: longCallThreshold - 1}, x.c.sortedTargets[:1])
	}
	x.c.dispatchAdviceCalls()
	x.c.enqueueAdviceCall(s, &w.AdviceTiming{BaseLatency: longCallThreshold}, x.c.sortedTargets[:1])
	x.c.dispatchAdviceCalls()
	for _, a := range x.c.queuedCalls {
		require.Less(t, a.expectedDuration, longCallThreshold, "the long call should have been dispatched")
	}
}

// TestOneAdviceCallPerFreedTarget guards against a call by each waiting step when
// resources for one task are freed: a hundred steps occupied all instances with calls
// for resources that only one of them could use.
func TestOneAdviceCallPerFreedTarget(t *testing.T) {
	x := newAdvisedCell(t, 4)
	for _, id := range []w.InstanceID{"i", "j", "k", "l", "m", "n", "o", "p"} {
		x.c.Join(&linker.Hello{Instance: id, Zone: "another"})
	}
	runs := x.fillTargets()
	for _, id := range []w.JobID{"a", "b", "c", "d", "e", "f"} {
		x.submit(w.Job{ID: id, Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 8000}}}})
		asks, _ := x.nextOrders(minSearchPeriod)
		for _, a := range asks {
			x.permitAll(a)
		}
	}
	x.nextOrders(ticketValidity)
	x.reportEnd(runs[0].Target, runs[0], w.EndedDone)
	calls := 0
	for range 5 {
		asks, _ := x.nextOrders(minSearchPeriod)
		calls += len(asks)
	}
	require.Equal(t, 1, calls)
}

// TestAdvicePrefetchedAfterTakeover guards against steps that first request advice when
// the leases of unsynced targets have expired. After a power loss that took 9 s, and the
// calls then occupied the instances for 10 s more.
func TestAdvicePrefetchedAfterTakeover(t *testing.T) {
	x := newCell(t, 2, 4, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("old")}, Roster: keeper.Roster{Open: []w.TargetID{"a", "gone"}}})
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{{
		Name: testQueue, Service: "s", Attempts: 4,
		Advice: &w.AdviceTiming{BaseLatency: 100 * time.Millisecond, LatencyPerTarget: 10 * time.Millisecond, TicketValidity: ticketValidity},
	}}})
	for _, target := range x.c.sortedTargets {
		x.reportRuns(target.ID)
	}
	asks, starts := x.nextOrders(0)
	require.Empty(t, starts)
	require.Len(t, asks, 1)
	x.permitAll(asks[0])
	for range 10 {
		asks, starts = x.nextOrders(retryPeriod)
		require.Empty(t, starts, "the unsynced target may still run the task")
		require.Empty(t, asks, "the permitted targets are known, and new tickets would expire unused")
	}
}

// TestNoAdviceForRunningTasks guards against calls for tasks that are still running: a
// new leader requested advice for every step before the targets were synced, which
// delayed the calls for waiting tasks by seconds.
func TestNoAdviceForRunningTasks(t *testing.T) {
	begun, waits := singleTaskJob("begun"), singleTaskJob("waits")
	x := newCell(t, 2, 0, &keeper.Snapshot{
		Jobs: []w.Job{begun, waits}, Progress: map[w.JobID]keeper.Progress{"begun": {ID: "begun", Started: true}},
		Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}},
	})
	x.c.Configure(&w.Config{Version: 3, Queues: []w.Queue{{
		Name: testQueue, Service: "s", Attempts: 4, Advice: &w.AdviceTiming{BaseLatency: 100 * time.Millisecond, TicketValidity: ticketValidity},
	}}})
	x.c.SetTargets([]w.Target{{ID: "a", Service: "s", Address: "x", Incarnation: 1, Capacity: w.Resources{CPU: 8000, Mem: 8000}}}, true, x.now)
	x.nextOrders(0)
	x.reportRuns("a")
	asks, _ := x.nextOrders(retryPeriod)
	require.Len(t, asks, 1)
	require.Equal(t, "waits.0.0", asks[0].Step)
	asks, _ = x.nextOrders(initialSyncPeriod)
	require.Len(t, asks, 1, "no synced target runs the task")
	require.Equal(t, "begun.0.0", asks[0].Step)
}

// TestAdviceOutlivesQueue guards against starts without tickets, which targets reject, of
// a job whose queue the configuration no longer has.
func TestAdviceOutlivesQueue(t *testing.T) {
	x := newAdvisedCell(t, 2)
	timing := x.c.cfg.Queue(testQueue).Advice
	x.c.Configure(&w.Config{Version: 3})
	j := singleTaskJob("j")
	j.Advice = timing
	x.submit(j)
	calls, starts := x.nextOrders(10 * time.Millisecond)
	require.Empty(t, starts)
	require.Len(t, calls, 1)
	x.permitAll(calls[0])
	_, starts = x.nextOrders(10 * time.Millisecond)
	require.Len(t, starts, 1)
	require.Equal(t, "ticket", starts[0].Ticket)
}

// TestTargetThatReturnsUnchangedIsUsed guards against a step that never starts on a target
// that was not reached for longer than a lease, left the list and came back unchanged: the
// step knew that it is permitted, and had only the record that was removed.
func TestTargetThatReturnsUnchangedIsUsed(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "tasks": false} {
		t.Run(name, func(t *testing.T) {
			x := newAdvisedCell(t, 4)
			runs := x.fillTargets()
			x.submit(w.Job{ID: "second", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 4, Gang: gang, Need: w.Resources{CPU: 8000}}}})
			asks, _ := x.nextOrders(0)
			x.permitAll(asks[0])
			for _, r := range runs {
				x.reportEnd(r.Target, r, w.EndedDone)
				x.reportRuns(r.Target)
			}
			var list []w.Target
			for _, tg := range x.c.sortedTargets {
				list = append(list, tg.Target)
				tg.health.unreachable = true
			}
			x.c.SetTargets(nil, true, x.now)
			x.nextOrders(0)
			x.nextOrders(10 * time.Second)
			require.Empty(t, x.c.targets)

			x.c.SetTargets(list, true, x.now)
			started := 0
			for range 200 {
				asks, starts := x.nextOrders(10 * time.Millisecond)
				for i := range list {
					x.reportRuns(list[i].ID)
				}
				for _, a := range asks {
					x.permitAll(a)
				}
				started += len(starts)
				if started >= 4 {
					return
				}
			}
			t.Errorf("%d of 4 tasks started", started)
		})
	}
}
