package coordinator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// replay simulates targets of different speeds. Targets list their runs every 100 ms, and
// the members of a gang wait for each other at 99%.
type replay struct {
	*testCell
	rng     *rand.Rand
	speed   map[w.TargetID]float64
	factor  func(s *step, t *target) float64 // slowdown by the distance from the data, or nil
	runs    []*replayRun
	arrived map[w.JobID]time.Time
	inGoal  map[string]int
	total   map[string]int
	down    map[w.TargetID]time.Time // when crashed targets return
	orders  []string                 // start orders
	spent   map[string]time.Duration // time from arrival to end of all jobs, by queue
}

type replayRun struct {
	linker.Start
	begin   time.Time
	length  time.Duration
	stopped time.Time
}

func newReplay(t *testing.T, speeds []float64, racks int) *replay {
	x := &replay{
		testCell: newCell(t, 1, 0, nil), rng: rand.New(rand.NewPCG(7, 7)), speed: make(map[w.TargetID]float64),
		arrived: make(map[w.JobID]time.Time), inGoal: make(map[string]int), total: make(map[string]int), spent: make(map[string]time.Duration),
	}
	x.c.Configure(&w.Config{Version: 2, Queues: []w.Queue{
		{Name: "urgent", Service: "s", Attempts: 4, Stretch: 1.5, LatencyGoal: 300 * time.Millisecond},
		{Name: "gang", Service: "s", Attempts: 4, Priority: 1, Stretch: 2.2, LatencyGoal: time.Second},
		{Name: "batch", Service: "s", Attempts: 4, Priority: 2, Stretch: 4, LatencyGoal: 3 * time.Second},
	}})
	var list []w.Target
	for i, speed := range speeds {
		id := w.TargetID(fmt.Sprintf("t%02d", i))
		x.speed[id] = speed
		list = append(list, w.Target{
			ID: id, Service: "s", Address: "x", Incarnation: 1, Capacity: w.Resources{CPU: 16000, Mem: 64000},
			Labels: []string{fmt.Sprintf("r%d", i%racks)},
		})
	}
	x.c.SetTargets(list, true, x.now)
	x.advance(0)
	for _, t := range list {
		x.reportRuns(t.ID)
	}
	return x
}

// job submits a job of one step.
func (x *replay) job(queue string, s w.Step) {
	id := w.JobID(fmt.Sprintf("%s%d", queue, len(x.arrived)))
	x.arrived[id] = x.now
	x.total[queue]++
	x.submit(w.Job{ID: id, Queue: queue, Service: "s", Attempts: 4, Steps: []w.Step{s}})
}

// step simulates one tick of 20 ms.
func (x *replay) step() {
	f := x.advance(20 * time.Millisecond)
	for _, s := range f.Starts {
		step := &x.c.jobs[s.Task.Job].Steps[0]
		length := step.Estimate.Seconds() * math.Exp(0.1*x.rng.NormFloat64()) / x.speed[s.Target]
		if x.factor != nil {
			length *= x.factor(x.c.jobs[s.Task.Job].occurrences[0].steps[0], x.c.targets[s.Target])
		}
		x.runs = append(x.runs, &replayRun{Start: s, begin: x.now, length: time.Duration(length * float64(time.Second))})
		x.orders = append(x.orders, fmt.Sprint(s.Task, "@", s.Target))
		x.confirmStart(s)
	}
	for _, s := range f.Stops {
		for _, r := range x.runs {
			if r.Task == s.Task && r.Run == s.Run && r.stopped.IsZero() {
				r.stopped = x.now.Add(100 * time.Millisecond)
			}
		}
	}
	waits := make(map[w.RunID]bool) // gangs with an unfinished member
	for _, r := range x.runs {
		waits[r.Run] = waits[r.Run] || x.now.Sub(r.begin) < r.length
	}
	lists := make(map[w.TargetID][]w.Run)
	x.runs = slices.DeleteFunc(x.runs, func(r *replayRun) bool {
		if !r.stopped.IsZero() && !x.now.Before(r.stopped) {
			x.reportEnd(r.Target, r.Start, w.EndedStopped)
			return true
		}
		if !waits[r.Run] {
			x.end(r)
			return true
		}
		percent := int(100 * x.now.Sub(r.begin) / r.length)
		lists[r.Target] = append(lists[r.Target], w.Run{Task: r.Task, Run: r.Run, Percent: min(percent, gangWaitPercent)})
		return false
	})
	if x.now.UnixMilli()%100 != 0 {
		return
	}
	for _, t := range x.c.sortedTargets {
		if _, down := x.down[t.ID]; !down {
			x.reportRuns(t.ID, lists[t.ID]...)
		}
	}
}

// end reports the end of a run and, if its job ends, counts it.
func (x *replay) end(r *replayRun) {
	j := x.c.jobs[r.Task.Job]
	ended := j.state.Final()
	x.reportEnd(r.Target, r.Start, w.EndedDone)
	if ended || !j.state.Final() {
		return
	}
	x.spent[j.Queue] += x.now.Sub(x.arrived[j.ID])
	q := x.c.cfg.Queue(j.Queue)
	if x.now.Sub(x.arrived[j.ID]) <= q.LatencyGoal+time.Duration(q.Stretch*float64(j.Steps[0].Estimate)) {
		x.inGoal[j.Queue]++
	}
}

// share returns the share of jobs that met their goal.
func (x *replay) share() float64 {
	return float64(x.inGoal["urgent"]+x.inGoal["gang"]+x.inGoal["batch"]) / float64(len(x.arrived))
}

// play runs a minute, and 15 s without arrivals, of the load of urgent jobs, gangs and batch jobs that the work page
// states for uneven targets, with the given arrivals per second.
func (x *replay) play(urgent, gangs, batch float64) {
	arrivals := rand.New(rand.NewPCG(3, 3))
	for range 60 * 50 {
		for _, a := range []struct {
			rate  float64
			queue string
			step  w.Step
		}{
			{urgent, "urgent", w.Step{Count: 3, Estimate: 850 * time.Millisecond, Need: w.Resources{CPU: 2500}}},
			{gangs, "gang", w.Step{Count: 20, Gang: true, Estimate: 3400 * time.Millisecond, Need: w.Resources{CPU: 4500}}},
			{batch, "batch", w.Step{Count: 25, Estimate: 1900 * time.Millisecond, Need: w.Resources{CPU: 1700}}},
		} {
			if arrivals.Float64() < a.rate/50 {
				x.job(a.queue, a.step)
			}
		}
		x.step()
	}
	for range 15 * 50 {
		x.step()
	}
}

// quarterSlow returns n speeds, a quarter of them 0.55 and the others 1.2.
func quarterSlow(n int) []float64 {
	speeds := slices.Repeat([]float64{1.2}, n)
	for i := 0; i < n; i += 4 {
		speeds[i] = 0.55
	}
	return speeds
}

// ignoreSpeeds turns off the use of the learned speeds.
func (x *replay) ignoreSpeeds() { x.c.speedsDue = x.now.Add(time.Hour) }

// TestGoalsOnUnevenTargets guards against jobs that miss their goals because urgent tasks
// and single members of gangs run on slow targets.
func TestGoalsOnUnevenTargets(t *testing.T) {
	for name, c := range map[string]struct{ urgent, gangs, batch float64 }{
		"moderate load": {12, 0.6, 3},
		"high load":     {14, 0.8, 4},
		"peak":          {16, 1, 5},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := newReplay(t, quarterSlow(48), 6), newReplay(t, quarterSlow(48), 6)
			before.ignoreSpeeds()
			for _, x := range []*replay{before, after} {
				x.play(c.urgent, c.gangs, c.batch)
				t.Logf("in goal: %.3f, %v of %v", x.share(), x.inGoal, x.total)
			}
			require.Greater(t, after.share(), before.share())
			for q := range before.total {
				require.GreaterOrEqual(t, after.inGoal[q], before.inGoal[q], q)
			}
			for _, q := range []string{"urgent", "batch"} {
				require.InEpsilon(t, 1/1.2, after.c.runTimeRatio(q), 0.1, "the ratio of queue %s absorbs the speed of its targets", q)
			}
			for id, tg := range after.c.targets {
				require.InEpsilon(t, after.speed[id]/1.2, tg.relative(), 0.2, "speed of %s", id)
			}
		})
	}
}

// TestEvenTargetsAsBefore guards against placement that changes although the speeds of the
// targets do not really differ: all orders must be the same as without learned speeds.
func TestEvenTargetsAsBefore(t *testing.T) {
	speeds := make([]float64, 48)
	for i := range speeds {
		speeds[i] = 0.9 + 0.2*float64(i%2)
	}
	before, after := newReplay(t, speeds, 6), newReplay(t, speeds, 6)
	before.ignoreSpeeds()
	before.play(16, 1, 5)
	after.play(16, 1, 5)
	require.Greater(t, len(after.orders), 5000)
	require.Equal(t, strings.Join(before.orders, "\n"), strings.Join(after.orders, "\n"))
}

// newUnevenCell returns a cell of n targets of 8 cores and relative speed 1 apart from the
// given ones, on racks of four.
func newUnevenCell(t *testing.T, n int, speeds map[int]float64) *testCell {
	x := newCell(t, 1, n, nil)
	x.c.speedsDue = x.now.Add(time.Hour)
	x.c.speeds["s"] = &serviceSpeeds{uneven: true}
	for i, tg := range x.c.sortedTargets {
		tg.Labels = []string{fmt.Sprint("r", i/4)}
		tg.relativeSpeed = cmp.Or(speeds[i], 1)
		x.reportRuns(tg.ID)
	}
	x.c.cfg.Queues = []w.Queue{
		{Name: testQueue, Service: "s", Attempts: 4, Priority: 1, Stretch: 8},
		{Name: "urgent", Service: "s", Attempts: 4, Stretch: 1.5, LatencyGoal: 300 * time.Millisecond},
	}
	return x
}

// startedOn submits a job and returns the targets of the started tasks.
func (x *testCell) startedOn(id w.JobID, queue string, s w.Step) []w.TargetID {
	x.submit(w.Job{ID: id, Queue: queue, Service: "s", Attempts: 4, Steps: []w.Step{s}})
	var on []w.TargetID
	for _, s := range x.advance(0).Starts {
		x.confirmStart(s)
		on = append(on, s.Target)
	}
	return on
}

// TestUrgentTaskOnSlowTarget guards against urgent tasks that run on a slow target although
// a fast one is free, or that wait for a fast one while a slow one is free.
func TestUrgentTaskOnSlowTarget(t *testing.T) {
	x := newUnevenCell(t, 2, map[int]float64{0: 0.5})
	urgent := w.Step{Count: 1, Estimate: time.Second, Need: w.Resources{CPU: 4000}}
	require.Equal(t, []w.TargetID{"a"}, x.startedOn("batch", testQueue, urgent), "work with slack uses the slow target")
	require.Equal(t, []w.TargetID{"b"}, x.startedOn("u1", "urgent", urgent), "the slow target is fuller")
	require.Equal(t, []w.TargetID{"b"}, x.startedOn("u2", "urgent", urgent))
	require.Equal(t, []w.TargetID{"a"}, x.startedOn("u3", "urgent", urgent))
	require.WithinDuration(t, x.now.Add(2*time.Second), x.c.expectedTaskEnd(x.c.jobs["u3"].occurrences[0].steps[0], 0), 0)
	require.False(t, x.c.endsBefore(x.c.jobs["u3"].occurrences[0].steps[0], x.c.targets["a"], x.now.Add(2*time.Second)))
}

// TestGangUsesSimilarTargets guards against a gang that waits for a member on a slow
// target, and against one that is slow in any case and takes fast targets from others.
func TestGangUsesSimilarTargets(t *testing.T) {
	gang := func(n int, oneRack bool) w.Step {
		return w.Step{Count: n, Gang: true, OneRack: oneRack, Estimate: time.Second, Need: w.Resources{CPU: 8000}}
	}
	near := gang(3, false)
	near.Rack = "r0"
	slow := map[int]float64{0: 0.5, 1: 0.5, 2: 0.5, 3: 0.5, 4: 0.5}
	for name, c := range map[string]struct {
		step w.Step
		want string
	}{
		"fast targets suffice":       {gang(3, false), "f g h"},
		"one slow target is needed":  {gang(4, false), "a b c d"},
		"all slow, some fast needed": {gang(6, false), "a b c d e f"},
		"rack without slow targets":  {gang(3, true), "f g h"},
		"data on the slow rack":      {near, "a b c"},
		"only the slow rack fits":    {gang(4, true), "a b c d"},
	} {
		t.Run(name, func(t *testing.T) {
			x := newUnevenCell(t, 8, slow)
			x.c.RemoteFactor = 2
			on := x.startedOn("g", testQueue, c.step)
			slices.Sort(on)
			require.Equal(t, c.want, strings.Trim(fmt.Sprint(on), "[]"))
		})
	}
}

// TestSlowRunInProgressCounts guards against a target that becomes slow and keeps getting
// urgent tasks until its first slow run has ended.
func TestSlowRunInProgressCounts(t *testing.T) {
	x := newReplay(t, slices.Repeat([]float64{1}, 8), 1)
	x.play(4, 0, 0.5)
	require.False(t, x.c.uneven("s"))
	x.speed["t05"] = 0.2
	for range 20 {
		x.job("batch", w.Step{Count: 25, Estimate: 1900 * time.Millisecond, Need: w.Resources{CPU: 1700}})
		x.step()
	}
	for range 100 {
		x.step()
	}
	require.True(t, x.c.targets["t05"].slow(), "runs in progress show 0.2 of the speed for 2 s")
}
