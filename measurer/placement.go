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
		Doc:  "cost of a placement at 50, 1,700 and 27,000 targets of mixed sizes",
		Run:  runPlacement,
	})
}

// The sizes of a cell: one user's data centres today, the targets of one data
// centre in two years, and all targets in two years.
const (
	smallCell  = 50
	middleCell = 1_700
	largeCell  = 27_000
)

// workShape is a size of tasks and how often it occurs.
type workShape struct {
	need   descriptor.Resources
	weight int
	run    time.Duration
}

// cores returns resources in thousandths of a core and MiB, with one slot.
func cores(cpu descriptor.MilliCPU, memory descriptor.MiB) descriptor.Resources {
	return descriptor.Resources{CPU: cpu, Memory: memory, Slots: 1}
}

// mixedWork is the mix of both users: door-code checks, route builds,
// settlements, wiring plans, week plans and a few tasks with accelerators.
var mixedWork = []workShape{
	{cores(100, 64), 30, 50 * time.Millisecond},
	{cores(1000, 512), 30, 800 * time.Millisecond},
	{cores(2000, 4096), 15, 5 * time.Second},
	{cores(3000, 2048), 10, 2 * time.Second},
	{cores(4000, 24576), 10, 30 * time.Second},
	{descriptor.Resources{CPU: 4000, Memory: 16384, Accelerators: 1, Slots: 1}, 5, 10 * time.Second},
}

// mixedTargets are the capacities of a cell of mixed sizes.
var mixedTargets = []descriptor.Resources{
	{CPU: 32000, Memory: 131072, Slots: 32},
	{CPU: 32000, Memory: 131072, Slots: 32},
	{CPU: 16000, Memory: 65536, Slots: 16},
	{CPU: 64000, Memory: 262144, Accelerators: 8, Slots: 48},
}

// targetsPerRack is the same for both users.
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

// pickShape returns a random shape according to the weights.
func pickShape(rnd *rand.Rand, shapes []workShape) workShape {
	total := 0
	for _, s := range shapes {
		total += s.weight
	}
	n := rnd.IntN(total)
	for _, s := range shapes {
		if n -= s.weight; n < 0 {
			return s
		}
	}
	panic("measurer: no shape picked")
}

// placedTask is a task that runs on a target.
type placedTask struct {
	target descriptor.TargetID
	need   descriptor.Resources
}

// churn keeps a cell at a load: each step places a task and ends random ones
// while the load is above the given one.
type churn struct {
	policy  placer.Policy
	rnd     *rand.Rand
	shapes  []workShape
	load    float64
	now     time.Time
	running []placedTask
	count   int

	capacity, used descriptor.Resources
}

// newChurn adds the targets to the policy and fills them up to the load.
func newChurn(policy placer.Policy, rnd *rand.Rand, targets int, load float64) *churn {
	c := &churn{policy: policy, rnd: rnd, shapes: mixedWork, load: load, now: NewDriver().Clock.Now()}
	c.addTargets(targets)
	for !c.full() {
		c.place(c.demand())
	}
	return c
}

// copyTo returns a churn of another policy with the same targets and tasks,
// which are where first fit would have put them. First fit would take minutes to
// fill a large cell by itself; here the search for each size goes on where it
// ended, since nothing becomes free meanwhile.
func (c *churn) copyTo(policy placer.Policy, rnd *rand.Rand, targets int) *churn {
	other := &churn{policy: policy, rnd: rnd, shapes: c.shapes, load: c.load, now: c.now, count: c.count}
	other.addTargets(targets)
	free := make([]descriptor.Resources, targets)
	for i := range free {
		free[i] = mixedTarget(i).Capacity
	}
	first := make(map[descriptor.Resources]int)
	for _, task := range c.running {
		i := first[task.need]
		for i < targets && !task.need.Fits(free[i]) {
			i++
		}
		first[task.need] = i
		if i == targets {
			continue // first fit finds no room for it
		}
		free[i] = free[i].Sub(task.need)
		id := mixedTarget(i).ID
		policy.AddRunning(id, task.need)
		other.running = append(other.running, placedTask{id, task.need})
		other.used = other.used.Add(task.need)
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

func (c *churn) full() bool { return c.used.DominantShare(c.capacity) >= c.load }

func (c *churn) demand() placer.Demand {
	shape := pickShape(c.rnd, c.shapes)
	c.count++
	return placer.Demand{
		Request: &descriptor.Request{
			Key:   descriptor.Key{Caller: "bench", ID: descriptor.RequestID(strconv.Itoa(c.count))},
			Tasks: 1, Resources: shape.need,
		},
		RunTime: shape.run,
	}
}

func (c *churn) place(d placer.Demand) {
	placed, _ := c.policy.Place(c.now, d)
	for _, a := range placed {
		c.running = append(c.running, placedTask{a.Target, d.Request.Resources})
		c.used = c.used.Add(d.Request.Resources)
	}
}

// end releases random tasks until the cell is below its load.
func (c *churn) end() {
	for c.full() {
		i := c.rnd.IntN(len(c.running))
		task := c.running[i]
		last := len(c.running) - 1
		c.running[i] = c.running[last]
		c.running = c.running[:last]
		c.used = c.used.Sub(task.need)
		c.policy.Release(c.now, task.target, task.need)
	}
}

// placementCost collects the cost of decisions on one core. The means are those
// of the fastest batch, since other processes can only make a batch slower.
type placementCost struct {
	// decide is the mean time of a decision, release that of the releases that
	// belong to it.
	decide, release time.Duration
	// single holds the time of every decision.
	single *hdrhistogram.Histogram
}

func newPlacementCost() *placementCost {
	const forever = time.Duration(1<<63 - 1)
	return &placementCost{
		decide: forever, release: forever,
		single: hdrhistogram.New(1, int64(time.Minute), 3),
	}
}

// measure runs a batch of n decisions.
func (m *placementCost) measure(c *churn, n int) {
	var decide, release time.Duration
	for range n {
		d := c.demand()
		begin := time.Now()
		c.place(d)
		decided := time.Now()
		c.end()
		release += time.Since(decided)
		decide += decided.Sub(begin)
		_ = m.single.RecordValue(int64(decided.Sub(begin)))
	}
	m.decide = min(m.decide, decide/time.Duration(n))
	m.release = min(m.release, release/time.Duration(n))
}

func (m *placementCost) p99() float64 { return inMs(time.Duration(m.single.ValueAtQuantile(99))) }

// placementSize is a cell under both policies.
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
	for _, targets := range []int{smallCell, middleCell, largeCell} {
		c := newChurn(placer.NewPacker(placer.PackerConfig{}), env.Rand(1), targets, load)
		sizes = append(sizes, &placementSize{
			targets: targets, packer: c, baseline: c.copyTo(placer.NewFirstFit(), env.Rand(2), targets),
			cost: newPlacementCost(), firstFit: newPlacementCost(),
		})
	}
	runtime.GC()
	for range batches { // in turn, so that a busy machine affects all sizes
		for _, s := range sizes {
			s.cost.measure(s.packer, decisions)
			s.firstFit.measure(s.baseline, slowDecisions)
		}
	}
	var metrics []Metric
	for _, s := range sizes {
		rate, p99 := Bound{}, Bound{}
		if s.targets == middleCell {
			rate, p99 = AtLeast(decisionsBound), AtMost(1)
		}
		metrics = append(
			metrics,
			Metric{
				Name: fmt.Sprintf("decisions%d", s.targets), Unit: "1/s", Bound: rate,
				Value: perSecond(s.cost.decide + s.cost.release), Baseline: perSecond(s.firstFit.decide + s.firstFit.release),
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
			Value:    ratioOf(large.cost.decide, small.cost.decide),
			Baseline: ratioOf(large.firstFit.decide, small.firstFit.decide),
		},
		Metric{
			Name: "releaseRatio27000To50", Unit: "ratio",
			Value:    ratioOf(large.cost.release, small.cost.release),
			Baseline: ratioOf(large.firstFit.release, small.firstFit.release),
		},
	), nil
}

func ratioOf(a, b time.Duration) float64 { return float64(a) / float64(b) }

func perSecond(d time.Duration) float64 { return float64(time.Second) / float64(d) }

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
