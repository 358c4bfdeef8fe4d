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
	return metrics, nil
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
