package coordinator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/delayer"
	w "github.com/masticlead/masticlead/workload"
)

// TestWaitsForNearPlaces guards against work that runs far although a near place opens
// soon, and against work that waits for near places that open late. Work runs twice as long
// away from its data. At a small peak of the demand for one rack waiting pays, at a large
// one, or with racks half full of long tasks, it harms.
func TestWaitsForNearPlaces(t *testing.T) {
	task := w.Step{Count: 1, Rack: "r0", Estimate: 2 * time.Second, Need: w.Resources{CPU: 4000}}
	gang := w.Step{Count: 14, Gang: true, OneRack: true, Estimate: 2 * time.Second, Need: w.Resources{CPU: 4000}}
	long := w.Step{Count: 48, Estimate: 20 * time.Second, Need: w.Resources{CPU: 4000}}
	for name, c := range map[string]struct {
		queue string
		step  w.Step
		rate  float64 // jobs per second
		long  bool
		pays  bool
	}{
		"tasks, waiting pays":  {"urgent", task, 12.5, false, true},
		"tasks, waiting harms": {"urgent", task, 28, false, false},
		"gangs, waiting pays":  {"gang", gang, 1, false, true},
		"gangs, waiting harms": {"gang", gang, 0.6, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			mean, inGoal := make(map[string]float64), make(map[string]int)
			for policy, p := range map[string]delayer.Policy{
				"delayer": delayer.New(), "never": delayer.NewFixed(0), "fixed": delayer.NewFixed(time.Second), "always": delayer.NewFixed(time.Hour),
			} {
				x := newReplay(t, slices.Repeat([]float64{1}, 24), 4)
				x.c.RemoteFactor, x.factor, x.c.delays = 2, x.c.distanceFactor, p
				if c.long {
					x.job("urgent", long)
				}
				arrivals := rand.New(rand.NewPCG(5, 5))
				for tick := range 60 * 50 {
					if tick < 20*50 && arrivals.Float64() < c.rate/50 {
						x.job(c.queue, c.step)
					}
					x.step()
				}
				mean[policy], inGoal[policy] = x.spent[c.queue].Seconds()/float64(x.total[c.queue]), x.inGoal[c.queue]
				t.Logf("%s: mean %.2f s, %d of %d in goal", policy, mean[policy], inGoal[policy], x.total[c.queue])
				require.Less(t, x.c.runTimeRatio(c.queue), 1.3, "the ratio absorbs the distance from the data")
			}
			if c.pays {
				require.Less(t, mean["delayer"], mean["never"])
				require.GreaterOrEqual(t, inGoal["delayer"], inGoal["never"])
				return
			}
			require.LessOrEqual(t, mean["delayer"], 1.05*mean["never"])
			require.Less(t, mean["delayer"], min(mean["fixed"], mean["always"]))
			require.GreaterOrEqual(t, inGoal["delayer"], max(inGoal["never"], inGoal["fixed"], inGoal["always"]))
		})
	}
}

// newNearCell returns a cell of which target a, on rack r0, is full of two tasks that end
// after 1 s, while target b is free.
func newNearCell(t *testing.T, factor float64) *testCell {
	x := newUnevenCell(t, 5, nil)
	x.c.RemoteFactor = factor
	x.c.targets["a"].Labels = []string{"near"}
	for i, id := range []w.TargetID{"c", "d", "e"} {
		x.c.targets[id].Labels, x.c.targets[id].State = nil, w.TargetState(min(i+1, 1))
	}
	filler := w.Step{Count: 2, Rack: "near", Estimate: time.Second, Need: w.Resources{CPU: 4000}}
	require.Equal(t, []w.TargetID{"a", "a"}, x.startedOn("filler", testQueue, filler))
	x.advance(400 * time.Millisecond)
	return x
}

// TestOpeningsOfNearTarget guards against waits for openings that are promised to other
// tasks, that are too late or on a target that is out of use, against preemption for tasks
// that wait, and against any wait without a setting or a named rack.
func TestOpeningsOfNearTarget(t *testing.T) {
	near := w.Step{Count: 3, Rack: "near", Estimate: 1200 * time.Millisecond, Need: w.Resources{CPU: 4000}}
	elsewhere, short, wide := near, near, near
	elsewhere.Rack, short.Estimate, wide.Count = "", 500*time.Millisecond, 4
	for name, c := range map[string]struct {
		queue  string
		step   w.Step
		factor float64
		change func(x *testCell)
		waits  int
		stops  int // a task that finds no room and does not wait preempts
	}{
		"near needed for the goal": {"urgent", near, 3, nil, 1, 0},
		"enough slack":             {testQueue, near, 3, nil, 1, 0},
		"one more than fits":       {"urgent", wide, 3, nil, 1, 1},
		"opening too late":         {"urgent", short, 1.5, nil, 0, 1},
		"no setting":               {"urgent", near, 1, nil, 0, 1},
		"no rack named":            {"urgent", elsewhere, 3, nil, 0, 1},
		"target draining":          {"urgent", near, 3, func(x *testCell) { x.c.targets["a"].State = w.TargetDraining }, 0, 0},
		"target unreachable":       {"urgent", near, 3, func(x *testCell) { x.c.targets["a"].health.unreachable = true }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := newNearCell(t, c.factor)
			if c.change != nil {
				c.change(x)
			}
			x.submit(w.Job{ID: "j", Queue: c.queue, Service: "s", Attempts: 4, Steps: []w.Step{c.step}})
			f := x.advance(0)
			require.Len(t, f.Starts, 2)
			require.Equal(t, c.waits, x.c.jobs["j"].occurrences[0].steps[0].nearWaits)
			require.Len(t, f.Stops, c.stops)
		})
	}
}

// TestWaitNeedsTicket guards against a task that waits for an opening at which its ticket
// has run out.
func TestWaitNeedsTicket(t *testing.T) {
	for validity, waits := range map[time.Duration]int{2 * time.Second: 1, 300 * time.Millisecond: 0} {
		x := newNearCell(t, 3)
		x.c.cfg.Queues[1].Advice = &w.AdviceTiming{}
		x.submit(w.Job{ID: "j", Queue: "urgent", Service: "s", Attempts: 4, Steps: []w.Step{
			{Count: 2, Rack: "near", Estimate: 1200 * time.Millisecond, Need: w.Resources{CPU: 4000}},
		}})
		s := x.c.jobs["j"].occurrences[0].steps[0]
		s.permittedTargets = []*target{x.c.targets["a"], x.c.targets["b"]}
		s.advice = map[w.TargetID]*targetAdvice{
			"a": {target: x.c.targets["a"], permitted: true, incarnation: 1, expiresAt: x.now.Add(validity)},
			"b": {target: x.c.targets["b"], permitted: true, incarnation: 1, expiresAt: x.now.Add(2 * time.Second)},
		}
		require.Len(t, x.advance(0).Starts, 2-waits)
	}
}
