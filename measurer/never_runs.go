package measurer

import (
	"math/rand/v2"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name: "neverRuns",
		Doc:  "10% of the work can never run; it must be refused at once and delay nothing",
		Run:  neverRuns,
	})
}

// impossible makes a request that can never run, in one of four ways.
func impossible(rng *rand.Rand, j *Job) {
	switch rng.IntN(4) {
	case 0:
		j.Request.Resources.CPU = 64000 // twice a target
	case 1:
		j.Request.Resources.Accelerators = 1 // no target has one
	case 2:
		j.Request.Tasks, j.Request.Policy = 10_000, descriptor.Gang // more than the cell
	case 3:
		j.Request.Kind, j.Request.Tasks = "limited", 100 // above the kind's limit
	}
}

func neverRuns(env Env) ([]Metric, error) {
	const (
		targets = 50
		run     = 400 * time.Millisecond
		load    = 0.95
		end     = 2 * time.Minute
	)
	rate := load * targets * 8 / run.Seconds()
	flow := Flow{
		Kind: "routeBuild", Priority: descriptor.Urgent, Team: OneTeam("salons"), Caller: SomeCaller("stylist", 200),
		Run: Around(run), Deadline: 3700 * time.Millisecond, Rate: Constant(rate), MaxRate: rate,
	}
	possible := Generate(env.Rand(1), 0, end, flow)
	flow.Rate, flow.MaxRate = Constant(rate/9), rate/9
	bad := Generate(env.Rand(2), 0, end, flow)
	rng := env.Rand(3)
	for _, j := range bad {
		j.Request.ID = "bad." + j.Request.ID
		impossible(rng, j)
	}
	rules := &descriptor.Rules{Kinds: map[descriptor.KindName]descriptor.Kind{"limited": {Limit: 0.1}}}
	cell := func(cfg scheduler.Config, sets ...[]*Job) []*Job {
		var all []*Job
		c := NewCell(cfg, rules, targets, Slots8, env.Rand(4))
		for _, set := range sets {
			jobs := Clone(set)
			c.Add(jobs)
			all = append(all, jobs...)
		}
		c.Run(end + 10*time.Second)
		return all
	}
	alone := cell(scheduler.Config{}, possible)
	mixed := cell(scheduler.Config{}, possible, bad)
	plain := cell(scheduler.Baseline(scheduler.Config{}), possible, bad)

	wrong := 0
	for _, j := range mixed[len(possible):] {
		if j.Refusal == nil || j.Refusal.Reason != descriptor.ReasonNeverFits || j.Refusal.Detail == "" || j.Refusal.RetryAfter != 0 {
			wrong++
		}
	}
	later := 0
	for i, j := range mixed[:len(possible)] {
		if j.Started < 0 || j.Started > alone[i].Started {
			later++
		}
	}
	all := func(*Job) bool { return true }
	p99 := func(jobs []*Job) float64 { return Quantile(Waits(jobs[:len(possible)], all), 0.99) }
	return []Metric{
		{Name: "notRefusedWithReason", Value: float64(wrong), Unit: "requests", Baseline: None(), Bound: AtMost(0)},
		{Name: "delayedOthers", Value: float64(later), Unit: "requests", Baseline: None(), Bound: AtMost(0)},
		{Name: "waitP99", Value: p99(mixed), Unit: "s", Baseline: p99(plain), Bound: AtMost(p99(alone))},
	}, nil
}
