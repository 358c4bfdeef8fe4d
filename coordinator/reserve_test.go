package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// TestReserveKeepsCapacity guards against long tasks that take the resources of urgent
// tasks between two arrivals, so that the next urgent task has to wait for preemption.
func TestReserveKeepsCapacity(t *testing.T) {
	x := newCell(t, 1, 4, nil)
	for _, id := range []w.TargetID{"a", "b", "c", "d"} {
		x.reportRuns(id)
	}
	job := func(id w.JobID, queue string, n int) w.Job {
		return w.Job{ID: id, Queue: queue, Service: "s", Attempts: 4, Steps: []w.Step{{Count: n, Need: w.Resources{CPU: 4000}}}}
	}
	x.submit(job("urgent-1", "urgent", 2))
	urgent := x.advance(0).Starts
	require.Len(t, urgent, 2)
	x.submit(job("long", testQueue, 10))
	long := x.advance(0).Starts
	require.Len(t, long, 6)
	x.advance(reserveUpdatePeriod)
	for _, s := range append(urgent, long...) {
		x.confirmStart(s)
	}
	for _, s := range urgent {
		x.reportEnd(s.Target, s, w.EndedDone)
	}
	require.Empty(t, x.advance(reserveUpdatePeriod).Starts, "the resources are reserved for urgent tasks")
	x.submit(job("urgent-2", "urgent", 2))
	f := x.advance(0)
	require.Len(t, f.Starts, 2)
	require.Empty(t, f.Stops)

	for _, s := range f.Starts {
		x.confirmStart(s)
		x.reportEnd(s.Target, s, w.EndedDone)
	}
	require.Len(t, x.advance(demandWindow+time.Second).Starts, 2, "no targets should stay reserved when urgent demand does not recur")
}

// TestReserveOnlyWhenScarce guards against capacity that is reserved, and thus unused by
// waiting tasks, although the service has little load.
func TestReserveOnlyWhenScarce(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	x.reportRuns("b")
	x.submit(w.Job{ID: "urgent-1", Queue: "urgent", Service: "s", Attempts: 4, Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 8000}}}})
	s := x.advance(0).Starts[0]
	x.advance(reserveUpdatePeriod)
	x.confirmStart(s)
	x.reportEnd(s.Target, s, w.EndedDone)
	x.submit(w.Job{ID: "long", Queue: testQueue, Service: "s", Attempts: 4, Steps: []w.Step{{Count: 2, Need: w.Resources{CPU: 8000}}}})
	require.Len(t, x.advance(reserveUpdatePeriod).Starts, 2)
}

// TestReserveIgnoresBacklog guards against a service that stays half empty after an
// outage because the urgent backlog of the outage counts as recurring demand.
func TestReserveIgnoresBacklog(t *testing.T) {
	x := newCell(t, 1, 4, nil)
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: testQueue, Service: "s", Attempts: 4, Priority: 1},
		{Name: "urgent", Service: "s", Attempts: 4, Stretch: 1.5, LatencyGoal: 250 * time.Millisecond},
	}})
	x.submit(w.Job{ID: "urgent", Queue: "urgent", Service: "s", Attempts: 4, Steps: []w.Step{{Count: 3, Need: w.Resources{CPU: 4000}, Estimate: 100 * time.Millisecond}}})
	x.submit(w.Job{ID: "long", Queue: testQueue, Service: "s", Attempts: 4, Steps: []w.Step{{Count: 8, Need: w.Resources{CPU: 4000}}}})
	x.now = x.now.Add(10 * time.Second)
	for _, id := range []w.TargetID{"a", "b", "c", "d"} {
		x.reportRuns(id)
	}
	starts := x.advance(0).Starts
	require.Len(t, starts, 8)
	for _, s := range starts {
		x.confirmStart(s)
	}
	x.advance(reserveUpdatePeriod)
	for _, s := range starts {
		if s.Task.Job == "urgent" {
			x.reportEnd(s.Target, s, w.EndedDone)
		}
	}
	require.Len(t, x.advance(reserveUpdatePeriod).Starts, 3, "the long tasks should get all freed resources")
}
