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
		Doc:  "number of targets used for tasks of mixed sizes, relative to the lower bound",
		Run:  runPacking,
	})
}

// packingCase is a cell of equal targets and the shapes of the tasks that fill it.
type packingCase struct {
	name     string
	targets  int
	capacity descriptor.Resources
	shapes   []taskShape
}

// complementaryShapes need either much memory or much CPU, so that a target is fully
// used only if it runs tasks of both kinds.
var complementaryShapes = []taskShape{
	{resources: oneSlotResources(6000, 2048), weight: 10},
	{resources: oneSlotResources(4000, 1024), weight: 20},
	{resources: oneSlotResources(1000, 16384), weight: 20},
	{resources: oneSlotResources(500, 12288), weight: 20},
	{resources: oneSlotResources(2000, 8192), weight: 10},
	{resources: oneSlotResources(500, 512), weight: 20},
}

var packingCases = []packingCase{
	{"Mixed", mediumCellTargets, descriptor.Resources{CPU: 32000, Memory: 131072, Accelerators: 2, Slots: 32}, mixedShapes},
	{"Opposed", mediumCellTargets, descriptor.Resources{CPU: 32000, Memory: 131072, Slots: 32}, complementaryShapes},
	{"SmallCell", smallCellTargets, descriptor.Resources{CPU: 32000, Memory: 131072, Accelerators: 2, Slots: 8}, mixedShapes},
}

// packingLoad is the lower bound as a fraction of the number of targets in the cell.
// A policy that uses 1.05 times the lower bound just fills the cell.
const packingLoad = 0.95

func runPacking(env Env) ([]Metric, error) {
	var metrics []Metric
	for i, c := range packingCases {
		work, lowerBound := packingWork(c, env.Rand(uint64(i)))
		metrics = append(metrics, Metric{
			Name: "targetsUsed" + c.name, Unit: "ratio", Bound: AtMost(1.05),
			Value:    targetsUsed(c, placer.NewPacker(placer.PackerConfig{}), work) / lowerBound,
			Baseline: targetsUsed(c, placer.NewFirstFit(), work) / lowerBound,
		})
	}
	return append(metrics, churnMetrics(env)...), nil
}

// churnMetrics measures the cell after many random ends and starts of tasks, which
// fragment the free capacity of the targets.
func churnMetrics(env Env) []Metric {
	const (
		load  = 0.85
		steps = 100_000
	)
	run := func(policy placer.Policy) (used, unplaced, halfFree float64) {
		c := &churn{policy: policy, rng: env.Rand(10), shapes: mixedShapes, load: load, now: NewDriver().Clock.Now()}
		for i := range churnTargets {
			t := cellTarget(i, packingCases[0].capacity)
			policy.AddTarget(t)
			c.capacity = c.capacity.Add(t.Capacity)
		}
		for range steps {
			before := len(c.running)
			if c.place(c.nextDemand()); len(c.running) == before {
				unplaced++
			}
			c.endTasks()
		}
		targets := make(map[descriptor.TargetID]bool)
		for _, task := range c.running {
			targets[task.target] = true
		}
		lowerBound := math.Ceil(c.used.DominantShare(packingCases[0].capacity))
		return float64(len(targets)) / lowerBound, unplaced, freeHalfTargets(c)
	}
	measured, measuredUnplaced, measuredHalfFree := run(placer.NewPacker(placer.PackerConfig{}))
	baseline, baselineUnplaced, baselineHalfFree := run(placer.NewFirstFit())
	return []Metric{
		{Name: "targetsUsedAfterChurn", Unit: "ratio", Value: measured, Baseline: baseline, Bound: AtMost(1.05)},
		{Name: "noRoomInChurn", Unit: "tasks", Value: measuredUnplaced, Baseline: baselineUnplaced},
		{Name: "halfTargetsFreeAfterChurn", Unit: "tasks", Value: measuredHalfFree, Baseline: baselineHalfFree},
	}
}

// churnTargets is the number of targets of the cell in churnMetrics.
const churnTargets = 400

// freeHalfTargets places tasks with half the CPU and memory of a target until none
// fits, and returns their number.
func freeHalfTargets(c *churn) float64 {
	half := descriptor.Resources{CPU: 16000, Memory: 65536, Slots: 1}
	for n := 0.0; ; n++ {
		r := &descriptor.Request{Key: descriptor.Key{Caller: "bench"}, Tasks: 1, Resources: half}
		if _, verdict := c.policy.Place(c.now, placer.Demand{Request: r}); verdict != placer.Placed {
			return n
		}
	}
}

// packingWork generates the demands of the tasks that fill the cell, and returns them
// with the lower bound of the number of targets for them.
func packingWork(c packingCase, rng *rand.Rand) (work []descriptor.Resources, lowerBound float64) {
	var sum descriptor.Resources
	for {
		resources := randomShape(rng, c.shapes).resources
		sum = sum.Add(resources)
		bound := sum.DominantShare(c.capacity)
		if bound > packingLoad*float64(c.targets) {
			return work, lowerBound
		}
		work, lowerBound = append(work, resources), math.Ceil(bound)
	}
}

// targetsUsed returns the number of targets that run a task. Each task that could not
// be placed counts as one more target.
func targetsUsed(c packingCase, policy placer.Policy, work []descriptor.Resources) float64 {
	now := NewDriver().Clock.Now()
	for i := range c.targets {
		policy.AddTarget(cellTarget(i, c.capacity))
	}
	used := make(map[descriptor.TargetID]bool)
	unplaced := 0
	for i, resources := range work {
		r := &descriptor.Request{
			Key:   descriptor.Key{Caller: "bench", ID: descriptor.RequestID(strconv.Itoa(i))},
			Tasks: 1, Resources: resources,
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
