package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// simulateLoadPeak simulates four targets and jobs with one task that fills a target. It
// returns how many of the jobs complete within their goal and how many complete at all.
func simulateLoadPeak(t *testing.T, stretch float64, arrivals []time.Duration, run time.Duration) (inGoal, ended int) {
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

// TestLoadPeakKeepsGoals guards against overload in which every job waits for the whole
// backlog and misses its goal. For 8 s, jobs arrive at twice the rate at which the cell
// completes them: half of them can meet their goal, and all must complete. The baseline
// without a stretch serves first-come, first-served.
func TestLoadPeakKeepsGoals(t *testing.T) {
	const run = 2 * time.Second
	var arrivals []time.Duration
	for at := time.Duration(0); at < 8*time.Second; at += run / 8 {
		arrivals = append(arrivals, at)
	}
	baseline, ended := simulateLoadPeak(t, 0, arrivals, run)
	require.Equal(t, len(arrivals), ended)
	inGoal, ended := simulateLoadPeak(t, 2, arrivals, run)
	require.Equal(t, len(arrivals), ended, "late jobs must complete too")
	t.Logf("of %d jobs, %d met their goal, and %d in order of arrival", len(arrivals), inGoal, baseline)
	require.GreaterOrEqual(t, 2*inGoal, len(arrivals))
	require.Greater(t, inGoal, baseline)
}

// TestRunTimeRatioConverges guards against goals derived from estimates that are wrong
// by a constant factor.
func TestRunTimeRatioConverges(t *testing.T) {
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
	require.InDelta(t, 4, x.c.runTimeRatio(testQueue), 0.3)
}
