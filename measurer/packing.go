package measurer

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

func init() {
	Register(Scenario{
		Name: "packing",
		Doc:  "targets used for work of mixed shapes, against the lower bound",
		Run:  runPacking,
	})
}

// packingCase is a cell of equal targets and the work that fills it.
type packingCase struct {
	name     string
	targets  int
	capacity descriptor.Resources
	shapes   []workShape
}

// opposedWork needs either much memory or much processor time, so that a target
// is full only if both kinds meet on it.
var opposedWork = []workShape{
	{need: cores(6000, 2048), weight: 10},
	{need: cores(4000, 1024), weight: 20},
	{need: cores(1000, 16384), weight: 20},
	{need: cores(500, 12288), weight: 20},
	{need: cores(2000, 8192), weight: 10},
	{need: cores(500, 512), weight: 20},
}

var packingCases = []packingCase{
	{"Mixed", middleCell, descriptor.Resources{CPU: 32000, Memory: 131072, Accelerators: 2, Slots: 32}, mixedWork},
	{"Opposed", middleCell, descriptor.Resources{CPU: 32000, Memory: 131072, Slots: 32}, opposedWork},
	{"SmallCell", smallCell, descriptor.Resources{CPU: 32000, Memory: 131072, Accelerators: 2, Slots: 8}, mixedWork},
}

// packingLoad is the lower bound as a fraction of the cell's targets. A policy
// that needs 1.05 times the lower bound just fills the cell.
const packingLoad = 0.95

func runPacking(env Env) ([]Metric, error) {
	var metrics []Metric
	for i, c := range packingCases {
		work, least := packingWork(c, env.Rand(uint64(i)))
		metrics = append(metrics, Metric{
			Name: "targetsUsed" + c.name, Unit: "ratio", Bound: AtMost(1.05),
			Value:    targetsUsed(c, placer.NewPacker(placer.PackerConfig{}), work) / least,
			Baseline: targetsUsed(c, placer.NewFirstFit(), work) / least,
		})
	}
	return append(metrics, churnMetrics(env)...), nil
}

// churnMetrics measures the cell after many random ends and starts, when holes
// of all sizes have opened on its targets.
func churnMetrics(env Env) []Metric {
	const (
		load  = 0.85
		steps = 100_000
	)
	run := func(policy placer.Policy) (used, noRoom, large float64) {
		c := &churn{policy: policy, rnd: env.Rand(10), shapes: mixedWork, load: load, now: NewDriver().Clock.Now()}
		for i := range packingChurn {
			t := cellTarget(i, packingCases[0].capacity)
			policy.AddTarget(t)
			c.capacity = c.capacity.Add(t.Capacity)
		}
		for range steps {
			before := len(c.running)
			if c.place(c.demand()); len(c.running) == before {
				noRoom++
			}
			c.end()
		}
		targets := make(map[descriptor.TargetID]bool)
		for _, task := range c.running {
			targets[task.target] = true
		}
		least := math.Ceil(c.used.DominantShare(packingCases[0].capacity))
		return float64(len(targets)) / least, noRoom, largeTasks(c)
	}
	ours, oursNoRoom, oursLarge := run(placer.NewPacker(placer.PackerConfig{}))
	plain, plainNoRoom, plainLarge := run(placer.NewFirstFit())
	return []Metric{
		{Name: "targetsUsedAfterChurn", Unit: "ratio", Value: ours, Baseline: plain, Bound: AtMost(1.05)},
		{Name: "noRoomInChurn", Unit: "tasks", Value: oursNoRoom, Baseline: plainNoRoom},
		{Name: "halfTargetsFreeAfterChurn", Unit: "tasks", Value: oursLarge, Baseline: plainLarge},
	}
}

// packingChurn is the number of targets of the cell after churn.
const packingChurn = 400

// largeTasks returns how many tasks of half a target the cell still has room for.
func largeTasks(c *churn) float64 {
	half := descriptor.Resources{CPU: 16000, Memory: 65536, Slots: 1}
	for n := 0.0; ; n++ {
		r := &descriptor.Request{Key: descriptor.Key{Caller: "bench"}, Tasks: 1, Resources: half}
		if _, verdict := c.policy.Place(c.now, placer.Demand{Request: r}); verdict != placer.Placed {
			return n
		}
	}
}

// packingWork returns the tasks that fill the cell and the lower bound of the
// number of targets for them.
func packingWork(c packingCase, rnd *rand.Rand) (work []descriptor.Resources, least float64) {
	var sum descriptor.Resources
	for {
		need := pickShape(rnd, c.shapes).need
		sum = sum.Add(need)
		bound := sum.DominantShare(c.capacity)
		if bound > packingLoad*float64(c.targets) {
			return work, least
		}
		work, least = append(work, need), math.Ceil(bound)
	}
}

// targetsUsed returns the number of targets that run a task. A task that finds
// no room counts as one more target.
func targetsUsed(c packingCase, policy placer.Policy, work []descriptor.Resources) float64 {
	now := NewDriver().Clock.Now()
	for i := range c.targets {
		policy.AddTarget(cellTarget(i, c.capacity))
	}
	used := make(map[descriptor.TargetID]bool)
	unplaced := 0
	for i, need := range work {
		r := &descriptor.Request{
			Key:   descriptor.Key{Caller: "bench", ID: descriptor.RequestID(strconv.Itoa(i))},
			Tasks: 1, Resources: need,
		}
		placed, verdict := policy.Place(now, placer.Demand{Request: r})
		if verdict != placer.Placed {
			unplaced++
			continue
		}
		used[placed[0].Target] = true
	}
	return float64(len(used) + unplaced)
}
