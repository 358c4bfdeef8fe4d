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
		Doc:  "stairwell plans that need all tasks at once among small work at load 0.9",
		Run:  runGang,
	})
}

const (
	gangLoad   = 0.9
	gangPart   = 0.3 // of the load
	gangRun    = 2 * time.Second
	gangWarm   = 10 * time.Second
	gangEnd    = 70 * time.Second
	gangDrain  = time.Minute
	gangWindow = 5 // the bound of the wait, in mean run times
)

// gangCase is a mix of gangs and small work.
type gangCase struct {
	name     string
	tasks    int
	need     descriptor.Resources
	smallRun func(*rand.Rand) time.Duration
	small    time.Duration // mean
	declare  func(*rand.Rand, time.Duration) time.Duration
}

// halfTarget is the need of a gang's task: half of a target of 8 slots.
var halfTarget = descriptor.Resources{CPU: 16000, Memory: 16384, Slots: 4}

// smallNeed is the need of the small work: an eighth of a target.
var smallNeed = descriptor.Resources{CPU: 4000, Memory: 4096, Slots: 1}

var gangCases = []gangCase{
	{"", 6, halfTarget, Around(500 * time.Millisecond), 500 * time.Millisecond, nil},
	{"Large", 24, halfTarget, Around(500 * time.Millisecond), 500 * time.Millisecond, nil},
	{"Uneven", 6, halfTarget, Lognormal(time.Second, 1), time.Second, nil},
	{"Misdeclared", 6, halfTarget, Around(500 * time.Millisecond), 500 * time.Millisecond, wrongTenfold},
}

// work draws the jobs of the case.
func (g gangCase) work(rnd *rand.Rand) []*Job {
	const slots = smallCell * 8
	smallRate := (1 - gangPart) * gangLoad * slots / g.small.Seconds()
	gangRate := gangPart * gangLoad * slots / (gangRun.Seconds() * float64(g.tasks*g.need.Slots))
	small := Flow{
		Kind: "doorCheck", Team: OneTeam("fitters"), Caller: SomeCaller("fitter", 100),
		Run: g.smallRun, Declare: g.declare, Rate: Constant(smallRate), MaxRate: smallRate, Resources: smallNeed,
	}
	gang := Flow{
		Kind: "wiringPlan", Policy: descriptor.Gang, Team: OneTeam("administrators"), Caller: SomeCaller("admin", 20),
		Run: Around(gangRun), Declare: g.declare, Resources: g.need,
	}
	jobs := append(Generate(rnd, 0, gangEnd, small), g.gangs(rnd, gang, gangRate)...)
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.At, b.At) })
	return jobs
}

// gangs draws as many gangs as make the load, at random times, with run times
// that have exactly the mean. A Poisson number of so few large jobs would make
// the load of a run differ by a tenth between seeds.
func (g gangCase) gangs(rnd *rand.Rand, flow Flow, rate float64) []*Job {
	jobs := make([]*Job, int(math.Round(rate*gangEnd.Seconds())))
	var sum time.Duration
	for i := range jobs {
		at := time.Duration(rnd.Int64N(int64(gangEnd)))
		jobs[i] = flow.job(rnd, at, fmt.Sprintf("gang.%d", i))
		jobs[i].Request.Tasks = g.tasks
		sum += jobs[i].Run
	}
	scale := float64(gangRun) * float64(len(jobs)) / float64(sum)
	for _, j := range jobs {
		j.Run = time.Duration(float64(j.Run) * scale)
		j.Request.DeclaredRun = time.Duration(float64(j.Request.DeclaredRun) * scale)
	}
	return jobs
}

func isGang(j *Job) bool { return j.Request.Policy == descriptor.Gang }

// gangResult holds the figures of one run.
type gangResult struct {
	wait        float64 // the longest, in mean run times
	utilisation float64
	smallWait   float64 // p99 in seconds
	heldLong    float64 // gangs that held a target past their limit
	partial     float64 // gangs that started with fewer tasks
}

func (g gangCase) run(env Env, policy placer.Policy, work []*Job) gangResult {
	jobs := Clone(work)
	var res gangResult
	c := NewCell(scheduler.Config{Placer: policy}, &descriptor.Rules{}, smallCell, Slots8, env.Rand(2))
	c.OnPlace = func(j *Job, p scheduler.Placement) {
		if len(p.Tasks) != j.Request.Tasks {
			res.partial++
		}
	}
	watch := newHoldWatch(policy)
	c.Every(5*time.Millisecond, func() bool {
		watch.look(c.Clock.Now())
		return true
	})
	c.Add(jobs)
	c.Run(gangEnd + gangDrain)
	res.heldLong = float64(len(watch.overdue))
	for _, j := range jobs {
		if !isGang(j) || j.At < gangWarm {
			continue
		}
		wait := gangEnd + gangDrain - j.At // never started
		if j.Started >= 0 {
			wait = j.Wait()
		}
		res.wait = max(res.wait, float64(wait)/float64(gangRun))
	}
	window := (gangEnd - gangWarm).Seconds() * smallCell * 8
	busy := 0.0
	for _, kind := range []bool{false, true} {
		slots := smallNeed.Slots
		if kind {
			slots = g.need.Slots
		}
		busy += float64(slots) * BusySeconds(jobs, gangWarm, gangEnd, func(j *Job) bool { return isGang(j) == kind })
	}
	res.utilisation = busy / window
	res.smallWait = Quantile(Waits(jobs, func(j *Job) bool { return !isGang(j) && j.At >= gangWarm }), 0.99)
	return res
}

// reserver is a policy that reserves targets.
type reserver interface {
	Reservations(now time.Time) []placer.Reservation
}

// holdWatch finds gangs that hold a target without a break past the limit of the
// reservation with which they began to hold it.
type holdWatch struct {
	policy  reserver
	limits  map[heldTarget]time.Time
	overdue map[descriptor.Key]bool
}

type heldTarget struct {
	key    descriptor.Key
	target descriptor.TargetID
}

func newHoldWatch(policy placer.Policy) *holdWatch {
	r, _ := policy.(reserver)
	return &holdWatch{policy: r, limits: make(map[heldTarget]time.Time), overdue: make(map[descriptor.Key]bool)}
}

func (w *holdWatch) look(now time.Time) {
	if w.policy == nil {
		return
	}
	limits := make(map[heldTarget]time.Time)
	for _, r := range w.policy.Reservations(now) {
		for target := range r.Targets {
			held := heldTarget{r.Key, target}
			limits[held] = r.Expiry
			if first, ok := w.limits[held]; ok {
				limits[held] = first
			}
			if !now.Before(limits[held]) {
				w.overdue[r.Key] = true
			}
		}
	}
	w.limits = limits
}

func runGang(env Env) ([]Metric, error) {
	var metrics []Metric
	for i, g := range gangCases {
		work := g.work(env.Rand(uint64(100 + i)))
		ours := g.run(env, placer.NewPacker(placer.PackerConfig{}), work)
		plain := g.run(env, placer.NewFirstFit(), work)
		metrics = append(
			metrics,
			Metric{Name: "longestWaitToRun" + g.name, Unit: "ratio", Value: ours.wait, Baseline: plain.wait, Bound: AtMost(gangWindow)},
			Metric{Name: "utilisation" + g.name, Unit: "capacity", Value: ours.utilisation, Baseline: plain.utilisation, Bound: AtLeast(0.85)},
			Metric{Name: "heldPastLimit" + g.name, Unit: "gangs", Value: ours.heldLong, Baseline: None(), Bound: AtMost(0)},
			Metric{Name: "partialStarts" + g.name, Unit: "gangs", Value: ours.partial, Baseline: plain.partial, Bound: AtMost(0)},
			Metric{Name: "smallWaitP99" + g.name, Unit: "s", Value: ours.smallWait, Baseline: plain.smallWait},
		)
	}
	return metrics, nil
}
