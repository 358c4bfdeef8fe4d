package measurer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

func init() {
	Register(Scenario{
		Name: "placement",
		Doc:  "cost of a placement with 50, 1,700 and 27,000 targets of mixed sizes",
		Run:  runPlacement,
	})
}

// Numbers of targets of a cell: the data centres of one user today, one data centre
// in two years, and all data centres in two years.
const (
	smallCellTargets  = 50
	mediumCellTargets = 1_700
	largeCellTargets  = 27_000
)

// taskShape is the demand and the run time of a type of task, with its relative
// frequency.
type taskShape struct {
	resources descriptor.Resources
	weight    int
	runTime   time.Duration
}

// oneSlotResources returns the given CPU and memory with one slot.
func oneSlotResources(cpu descriptor.MilliCPU, memory descriptor.MiB) descriptor.Resources {
	return descriptor.Resources{CPU: cpu, Memory: memory, Slots: 1}
}

// mixedShapes is a mix of the tasks of both users for which the system is designed:
// door-code checks, route builds, settlements, wiring plans, week plans and a few
// tasks with accelerators.
var mixedShapes = []taskShape{
	{oneSlotResources(100, 64), 30, 50 * time.Millisecond},
	{oneSlotResources(1000, 512), 30, 800 * time.Millisecond},
	{oneSlotResources(2000, 4096), 15, 5 * time.Second},
	{oneSlotResources(3000, 2048), 10, 2 * time.Second},
	{oneSlotResources(4000, 24576), 10, 30 * time.Second},
	{descriptor.Resources{CPU: 4000, Memory: 16384, Accelerators: 1, Slots: 1}, 5, 10 * time.Second},
}

// mixedTargets holds the capacities of the targets in a cell of mixed sizes.
var mixedTargets = []descriptor.Resources{
	{CPU: 32000, Memory: 131072, Slots: 32},
	{CPU: 32000, Memory: 131072, Slots: 32},
	{CPU: 16000, Memory: 65536, Slots: 16},
	{CPU: 64000, Memory: 262144, Accelerators: 8, Slots: 48},
}

// targetsPerRack is the same in the data centres of both users.
const targetsPerRack = 8

// cellTarget returns target i of a cell.
func cellTarget(i int, capacity descriptor.Resources) descriptor.Target {
	return descriptor.Target{
		ID:       descriptor.TargetID("target-" + strconv.Itoa(i)),
		Rack:     descriptor.RackID("rack-" + strconv.Itoa(i/targetsPerRack)),
		Capacity: capacity,
	}
}

// mixedTarget returns target i of a cell of mixed sizes.
func mixedTarget(i int) descriptor.Target { return cellTarget(i, mixedTargets[i%len(mixedTargets)]) }

// randomShape returns a random shape according to the weights.
func randomShape(rng *rand.Rand, shapes []taskShape) taskShape {
	total := 0
	for _, s := range shapes {
		total += s.weight
	}
	n := rng.IntN(total)
	for _, s := range shapes {
		if n -= s.weight; n < 0 {
			return s
		}
	}
	panic("measurer: no task shape selected")
}

// placedTask is a task that occupies resources of a target.
type placedTask struct {
	target    descriptor.TargetID
	resources descriptor.Resources
}

// churn keeps a cell at a constant load: each step places a task, and then ends random
// tasks until the load is below the given one.
type churn struct {
	policy  placer.Policy
	rng     *rand.Rand
	shapes  []taskShape
	load    float64
	now     time.Time
	running []placedTask
	lastID  int

	capacity, used descriptor.Resources
}

// newChurn adds the targets to the policy and places tasks until the load is reached.
func newChurn(policy placer.Policy, rng *rand.Rand, targets int, load float64) *churn {
	c := &churn{policy: policy, rng: rng, shapes: mixedShapes, load: load, now: NewDriver().Clock.Now()}
	c.addTargets(targets)
	for !c.atLoad() {
		c.place(c.nextDemand())
	}
	return c
}

// copyTo returns a churn with another policy and the same targets and tasks. The
// tasks are assigned as first fit would place them. First fit itself would take
// minutes to fill a large cell; here the search for each task size continues where
// the last one ended, because no capacity is released in between.
func (c *churn) copyTo(policy placer.Policy, rng *rand.Rand, targets int) *churn {
	other := &churn{policy: policy, rng: rng, shapes: c.shapes, load: c.load, now: c.now, lastID: c.lastID}
	other.addTargets(targets)
	free := make([]descriptor.Resources, targets)
	for i := range free {
		free[i] = mixedTarget(i).Capacity
	}
	first := make(map[descriptor.Resources]int)
	for _, task := range c.running {
		i := first[task.resources]
		for i < targets && !task.resources.Fits(free[i]) {
			i++
		}
		first[task.resources] = i
		if i == targets {
			continue // it fits on no target
		}
		free[i] = free[i].Sub(task.resources)
		id := mixedTarget(i).ID
		policy.AddRunning(id, task.resources)
		other.running = append(other.running, placedTask{id, task.resources})
		other.used = other.used.Add(task.resources)
	}
	return other
}

func (c *churn) addTargets(n int) {
	for i := range n {
		t := mixedTarget(i)
		c.policy.AddTarget(t)
		c.capacity = c.capacity.Add(t.Capacity)
	}
}

func (c *churn) atLoad() bool { return c.used.DominantShare(c.capacity) >= c.load }

func (c *churn) nextDemand() placer.Demand {
	shape := randomShape(c.rng, c.shapes)
	c.lastID++
	return placer.Demand{
		Request: &descriptor.Request{
			Key:   descriptor.Key{Caller: "bench", ID: descriptor.RequestID(strconv.Itoa(c.lastID))},
			Tasks: 1, Resources: shape.resources,
		},
		RunTime: shape.runTime,
	}
}

func (c *churn) place(d placer.Demand) {
	placed, _ := c.policy.Place(c.now, d)
	for _, a := range placed {
		c.running = append(c.running, placedTask{a.Target, d.Request.Resources})
		c.used = c.used.Add(d.Request.Resources)
	}
}

// endTasks ends random tasks until the cell is below its load.
func (c *churn) endTasks() {
	for c.atLoad() {
		i := c.rng.IntN(len(c.running))
		task := c.running[i]
		last := len(c.running) - 1
		c.running[i] = c.running[last]
		c.running = c.running[:last]
		c.used = c.used.Sub(task.resources)
		c.policy.Release(c.now, task.target, task.resources)
	}
}

// placementCost holds the cost of placement decisions on one core. The means are
// those of the fastest batch, because other processes can only slow a batch down.
type placementCost struct {
	// meanDecision is the mean time of a decision, meanRelease that of the releases
	// per decision.
	meanDecision, meanRelease time.Duration
	// decisionTimes holds the time of every decision.
	decisionTimes *hdrhistogram.Histogram
}

func newPlacementCost() *placementCost {
	const maxDuration = time.Duration(1<<63 - 1)
	return &placementCost{
		meanDecision: maxDuration, meanRelease: maxDuration,
		decisionTimes: hdrhistogram.New(1, int64(time.Minute), 3),
	}
}

// measure runs a batch of n decisions and records their times.
func (pc *placementCost) measure(c *churn, n int) {
	var decide, release time.Duration
	for range n {
		d := c.nextDemand()
		begin := time.Now()
		c.place(d)
		decided := time.Now()
		c.endTasks()
		release += time.Since(decided)
		decide += decided.Sub(begin)
		_ = pc.decisionTimes.RecordValue(int64(decided.Sub(begin)))
	}
	pc.meanDecision = min(pc.meanDecision, decide/time.Duration(n))
	pc.meanRelease = min(pc.meanRelease, release/time.Duration(n))
}

func (pc *placementCost) p99() float64 {
	return milliseconds(time.Duration(pc.decisionTimes.ValueAtQuantile(99)))
}

// placementSize is a cell of one size under both policies.
type placementSize struct {
	targets          int
	packer, baseline *churn
	cost, firstFit   *placementCost
}

func runPlacement(env Env) ([]Metric, error) {
	const (
		load           = 0.85
		batches        = 100
		decisions      = 1_000
		slowDecisions  = 20 // first fit is slow on a large cell
		decisionsBound = 15_000
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // figures are per core
	var sizes []*placementSize
	for _, targets := range []int{smallCellTargets, mediumCellTargets, largeCellTargets} {
		c := newChurn(placer.NewPacker(placer.PackerConfig{}), env.Rand(1), targets, load)
		sizes = append(sizes, &placementSize{
			targets: targets, packer: c, baseline: c.copyTo(placer.NewFirstFit(), env.Rand(2), targets),
			cost: newPlacementCost(), firstFit: newPlacementCost(),
		})
	}
	runtime.GC()
	for range batches { // interleaved, so that a busy machine affects all sizes
		for _, s := range sizes {
			s.cost.measure(s.packer, decisions)
			s.firstFit.measure(s.baseline, slowDecisions)
		}
	}
	var metrics []Metric
	for _, s := range sizes {
		rate, p99 := Bound{}, Bound{}
		if s.targets == mediumCellTargets {
			rate, p99 = AtLeast(decisionsBound), AtMost(1)
		}
		metrics = append(
			metrics,
			Metric{
				Name: fmt.Sprintf("decisions%d", s.targets), Unit: "1/s", Bound: rate,
				Value: perSecond(s.cost.meanDecision + s.cost.meanRelease), Baseline: perSecond(s.firstFit.meanDecision + s.firstFit.meanRelease),
			},
			Metric{
				Name: fmt.Sprintf("p99Decision%d", s.targets), Unit: "ms", Bound: p99,
				Value: s.cost.p99(), Baseline: s.firstFit.p99(),
			},
		)
	}
	small, large := sizes[0], sizes[len(sizes)-1]
	return append(
		metrics,
		Metric{
			Name: "costRatio27000To50", Unit: "ratio", Bound: AtMost(2),
			Value:    ratioOf(large.cost.meanDecision, small.cost.meanDecision),
			Baseline: ratioOf(large.firstFit.meanDecision, small.firstFit.meanDecision),
		},
		Metric{
			Name: "releaseRatio27000To50", Unit: "ratio",
			Value:    ratioOf(large.cost.meanRelease, small.cost.meanRelease),
			Baseline: ratioOf(large.firstFit.meanRelease, small.firstFit.meanRelease),
		},
	), nil
}

func ratioOf(a, b time.Duration) float64 { return float64(a) / float64(b) }

func perSecond(d time.Duration) float64 { return float64(time.Second) / float64(d) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
