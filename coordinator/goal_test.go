package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// crest replays arrivals of jobs of one task that fills a target, and returns
// how many of them end within their goal and how many end at all.
func crest(t *testing.T, stretch float64, arrivals []time.Duration, run time.Duration) (inGoal, ended int) {
	const goal = time.Second
	x := newCell(t, 1, 4, nil)
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{{Name: testQueue, Service: "s", Attempts: 4, Stretch: stretch, LatencyGoal: goal}}})
	for _, id := range []w.TargetID{"a", "b", "c", "d"} {
		x.reportRuns(id)
	}
	type running struct {
		start linker.Start
		until time.Duration
	}
	var live []running
	submitted := make(map[w.JobID]time.Duration)
	const tick = 20 * time.Millisecond
	for at := time.Duration(0); at < 40*time.Second; at += tick {
		for len(arrivals) > 0 && arrivals[0] <= at {
			id := w.JobID(fmt.Sprint("j", len(submitted)))
			submitted[id] = at
			x.submit(w.Job{ID: id, Queue: testQueue, Service: "s", Attempts: 4, Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 8000}, Estimate: run}}})
			arrivals = arrivals[1:]
		}
		var rest []running
		for _, r := range live {
			if at < r.until {
				rest = append(rest, r)
				continue
			}
			x.reportEnd(r.start.Target, r.start, w.EndedDone)
			ended++
			if at-submitted[r.start.Task.Job] <= goal+2*run {
				inGoal++
			}
		}
		live = rest
		for _, s := range x.advance(tick).Starts {
			x.confirmStart(s)
			live = append(live, running{s, at + run})
		}
	}
	return inGoal, ended
}

// TestCrestKeepsGoals guards against a crest at which every job waits for the
// whole backlog: for 8 s work arrives at twice the rate that the cell serves.
// Half of it can be in time, and all of it has to end. The baseline serves in
// order of arrival.
func TestCrestKeepsGoals(t *testing.T) {
	const run = 2 * time.Second
	var arrivals []time.Duration
	for at := time.Duration(0); at < 8*time.Second; at += run / 8 {
		arrivals = append(arrivals, at)
	}
	plain, ended := crest(t, 0, arrivals, run)
	require.Equal(t, len(arrivals), ended)
	inGoal, ended := crest(t, 2, arrivals, run)
	require.Equal(t, len(arrivals), ended, "late jobs end, too")
	t.Logf("of %d jobs %d are in time, %d in order of arrival", len(arrivals), inGoal, plain)
	require.GreaterOrEqual(t, 2*inGoal, len(arrivals))
	require.Greater(t, inGoal, plain)
}

// TestLearnedRunTime guards against goals that follow a declaration which is
// wrong by a constant factor.
func TestLearnedRunTime(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.reportRuns("a")
	for i := range 60 {
		j := singleTaskJob(w.JobID(fmt.Sprint("j", i)))
		j.Steps[0].Estimate = 100 * time.Millisecond
		x.submit(j)
		s := x.advance(0).Starts[0]
		x.confirmStart(s)
		x.now = x.now.Add(400 * time.Millisecond)
		x.reportEnd("a", s, w.EndedDone)
		x.advance(0)
	}
	require.InDelta(t, 4, x.c.runRatio(testQueue), 0.3)
}
