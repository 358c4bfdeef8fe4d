package measurer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name: "gang",
		Doc:  "gangs, whose tasks must all start at the same time, mixed with small tasks at load 0.9",
		Run:  runGang,
	})
}

const (
	gangLoad      = 0.9
	gangShare     = 0.3 // fraction of the load
	gangRunTime   = 2 * time.Second
	gangWarmUp    = 10 * time.Second
	gangEnd       = 70 * time.Second
	gangDrain     = time.Minute
	gangWaitBound = 5 // bound of the longest wait, in mean run times
)

// gangCase is a mix of gangs and small tasks.
type gangCase struct {
	name             string
	tasks            int
	resources        descriptor.Resources
	smallRunTime     func(*rand.Rand) time.Duration
	smallMeanRunTime time.Duration
	declaredRunTime  func(*rand.Rand, time.Duration) time.Duration
}

// gangTaskResources is the demand of one task of a gang: half of the slots and the
// CPU of a target.
var gangTaskResources = descriptor.Resources{CPU: 16000, Memory: 16384, Slots: 4}

// smallTaskResources is the demand of a small task: an eighth of the slots and the
// CPU of a target.
var smallTaskResources = descriptor.Resources{CPU: 4000, Memory: 4096, Slots: 1}

var gangCases = []gangCase{
	{"", 6, gangTaskResources, UniformAround(500 * time.Millisecond), 500 * time.Millisecond, nil},
	{"Large", 24, gangTaskResources, UniformAround(500 * time.Millisecond), 500 * time.Millisecond, nil},
	{"Uneven", 6, gangTaskResources, Lognormal(time.Second, 1), time.Second, nil},
	{"Misdeclared", 6, gangTaskResources, UniformAround(500 * time.Millisecond), 500 * time.Millisecond, misdeclareTenfold},
}

// workload generates the jobs of the case.
func (g gangCase) workload(rng *rand.Rand) []*Job {
	const slots = smallCellTargets * 8
	smallRate := (1 - gangShare) * gangLoad * slots / g.smallMeanRunTime.Seconds()
	gangRate := gangShare * gangLoad * slots / (gangRunTime.Seconds() * float64(g.tasks*g.resources.Slots))
	small := Flow{
		Kind: "doorCheck", Team: FixedTeam("fitters"), Caller: RandomCaller("fitter", 100),
		RunTime: g.smallRunTime, DeclaredRunTime: g.declaredRunTime, Rate: ConstantRate(smallRate), MaxRate: smallRate, Resources: smallTaskResources,
	}
	gang := Flow{
		Kind: "wiringPlan", Policy: descriptor.Gang, Team: FixedTeam("administrators"), Caller: RandomCaller("admin", 20),
		RunTime: UniformAround(gangRunTime), DeclaredRunTime: g.declaredRunTime, Resources: g.resources,
	}
	jobs := append(Generate(rng, 0, gangEnd, small), g.gangJobs(rng, gang, gangRate)...)
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return jobs
}

// gangJobs generates a fixed number of gangs at random times and scales their run
// times to the exact mean. With a Poisson number of so few large jobs, the load of
// a run would vary by 10% between seeds.
func (g gangCase) gangJobs(rng *rand.Rand, flow Flow, rate float64) []*Job {
	jobs := make([]*Job, int(math.Round(rate*gangEnd.Seconds())))
	var sum time.Duration
	for i := range jobs {
		at := time.Duration(rng.Int64N(int64(gangEnd)))
		jobs[i] = flow.job(rng, at, fmt.Sprintf("gang.%d", i))
		jobs[i].Request.Tasks = g.tasks
		sum += jobs[i].RunTime
	}
	scale := float64(gangRunTime) * float64(len(jobs)) / float64(sum)
	for _, j := range jobs {
		j.RunTime = time.Duration(float64(j.RunTime) * scale)
		j.Request.DeclaredRun = time.Duration(float64(j.Request.DeclaredRun) * scale)
	}
	return jobs
}

func isGang(j *Job) bool { return j.Request.Policy == descriptor.Gang }

// gangResult holds the figures of one run.
type gangResult struct {
	maxWait       float64 // in mean run times of a gang
	utilisation   float64
	smallWaitP99  float64 // in seconds
	heldPastLimit float64 // gangs that reserved a target beyond the time limit
	partialStarts float64 // gangs that started with too few tasks
}

func (g gangCase) run(env Env, policy placer.Policy, work []*Job) gangResult {
	jobs := Clone(work)
	var res gangResult
	c := NewCell(scheduler.Config{Placer: policy}, &descriptor.Rules{}, smallCellTargets, EightSlots, env.Rand(2))
	c.OnPlace = func(j *Job, p scheduler.Placement) {
		if len(p.Tasks) != j.Request.Tasks {
			res.partialStarts++
		}
	}
	monitor := newReservationMonitor(policy)
	c.Every(5*time.Millisecond, func() bool {
		monitor.check(c.Clock.Now())
		return true
	})
	c.Add(jobs)
	c.Run(gangEnd + gangDrain)
	res.heldPastLimit = float64(len(monitor.overdue))
	for _, j := range jobs {
		if !isGang(j) || j.Arrival < gangWarmUp {
			continue
		}
		wait := gangEnd + gangDrain - j.Arrival // never started
		if j.Started >= 0 {
			wait = j.Wait()
		}
		res.maxWait = max(res.maxWait, float64(wait)/float64(gangRunTime))
	}
	window := (gangEnd - gangWarmUp).Seconds() * smallCellTargets * 8
	busy := 0.0
	for _, ofGangs := range []bool{false, true} {
		slots := smallTaskResources.Slots
		if ofGangs {
			slots = g.resources.Slots
		}
		busy += float64(slots) * BusySeconds(jobs, gangWarmUp, gangEnd, func(j *Job) bool { return isGang(j) == ofGangs })
	}
	res.utilisation = busy / window
	res.smallWaitP99 = Quantile(WaitSeconds(jobs, func(j *Job) bool { return !isGang(j) && j.Arrival >= gangWarmUp }), 0.99)
	return res
}

// reserver is a placement policy that reserves targets.
type reserver interface {
	Reservations(now time.Time) []placer.Reservation
}

// reservationMonitor finds gangs that reserve a target without interruption beyond
// the time limit of their first reservation of it.
type reservationMonitor struct {
	policy  reserver
	limits  map[reservedTarget]time.Time
	overdue map[descriptor.Key]bool
}

type reservedTarget struct {
	key    descriptor.Key
	target descriptor.TargetID
}

func newReservationMonitor(policy placer.Policy) *reservationMonitor {
	r, _ := policy.(reserver)
	return &reservationMonitor{policy: r, limits: make(map[reservedTarget]time.Time), overdue: make(map[descriptor.Key]bool)}
}

func (m *reservationMonitor) check(now time.Time) {
	if m.policy == nil {
		return
	}
	limits := make(map[reservedTarget]time.Time)
	for _, r := range m.policy.Reservations(now) {
		for target := range r.Targets {
			reserved := reservedTarget{r.Key, target}
			limits[reserved] = r.Expiry
			if first, ok := m.limits[reserved]; ok {
				limits[reserved] = first
			}
			if !now.Before(limits[reserved]) {
				m.overdue[r.Key] = true
			}
		}
	}
	m.limits = limits
}

func runGang(env Env) ([]Metric, error) {
	var metrics []Metric
	for i, g := range gangCases {
		work := g.workload(env.Rand(uint64(100 + i)))
		measured := g.run(env, placer.NewPacker(placer.PackerConfig{}), work)
		baseline := g.run(env, placer.NewFirstFit(), work)
		metrics = append(
			metrics,
			Metric{Name: "longestWaitToRun" + g.name, Unit: "ratio", Value: measured.maxWait, Baseline: baseline.maxWait, Bound: AtMost(gangWaitBound)},
			Metric{Name: "utilisation" + g.name, Unit: "capacity", Value: measured.utilisation, Baseline: baseline.utilisation, Bound: AtLeast(0.85)},
			Metric{Name: "heldPastLimit" + g.name, Unit: "gangs", Value: measured.heldPastLimit, Baseline: NoBaseline(), Bound: AtMost(0)},
			Metric{Name: "partialStarts" + g.name, Unit: "gangs", Value: measured.partialStarts, Baseline: baseline.partialStarts, Bound: AtMost(0)},
			Metric{Name: "smallWaitP99" + g.name, Unit: "s", Value: measured.smallWaitP99, Baseline: baseline.smallWaitP99},
		)
	}
	return metrics, nil
}
