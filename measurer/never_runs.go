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
		Doc:  "10% of the requests can never run; they must be refused at once and delay no other request",
		Run:  neverRuns,
	})
}

// makeUnschedulable changes a request in one of four ways so that it can never run.
func makeUnschedulable(rng *rand.Rand, j *Job) {
	switch rng.IntN(4) {
	case 0:
		j.Request.Resources.CPU = 64000 // twice the capacity of a target
	case 1:
		j.Request.Resources.Accelerators = 1 // no target has accelerators
	case 2:
		j.Request.Tasks, j.Request.Policy = 10_000, descriptor.Gang // more than the cell can run at once
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
		Kind: "routeBuild", Priority: descriptor.Urgent, Team: FixedTeam("salons"), Caller: RandomCaller("stylist", 200),
		RunTime: UniformAround(run), Deadline: 3700 * time.Millisecond, Rate: ConstantRate(rate), MaxRate: rate,
	}
	schedulable := Generate(env.Rand(1), 0, end, flow)
	flow.Rate, flow.MaxRate = ConstantRate(rate/9), rate/9
	unschedulable := Generate(env.Rand(2), 0, end, flow)
	rng := env.Rand(3)
	for _, j := range unschedulable {
		j.Request.ID = "bad." + j.Request.ID
		makeUnschedulable(rng, j)
	}
	rules := &descriptor.Rules{Kinds: map[descriptor.KindName]descriptor.Kind{"limited": {CapacityLimit: 0.1}}}
	runCell := func(cfg scheduler.Config, sets ...[]*Job) []*Job {
		var all []*Job
		c := NewCell(cfg, rules, targets, EightSlots, env.Rand(4))
		for _, set := range sets {
			jobs := Clone(set)
			c.Add(jobs)
			all = append(all, jobs...)
		}
		c.Run(end + 10*time.Second)
		return all
	}
	alone := runCell(scheduler.Config{}, schedulable)
	mixed := runCell(scheduler.Config{}, schedulable, unschedulable)
	baseline := runCell(scheduler.Baseline(scheduler.Config{}), schedulable, unschedulable)

	wrongRefusals := 0
	for _, j := range mixed[len(schedulable):] {
		if j.Refusal == nil || j.Refusal.Reason != descriptor.ReasonNeverFits || j.Refusal.Detail == "" || j.Refusal.RetryAfter != 0 {
			wrongRefusals++
		}
	}
	delayed := 0
	for i, j := range mixed[:len(schedulable)] {
		if j.Started < 0 || j.Started > alone[i].Started {
			delayed++
		}
	}
	all := func(*Job) bool { return true }
	p99 := func(jobs []*Job) float64 { return Quantile(WaitSeconds(jobs[:len(schedulable)], all), 0.99) }
	return []Metric{
		{Name: "notRefusedWithReason", Value: float64(wrongRefusals), Unit: "requests", Baseline: NoBaseline(), Bound: AtMost(0)},
		{Name: "delayedOthers", Value: float64(delayed), Unit: "requests", Baseline: NoBaseline(), Bound: AtMost(0)},
		{Name: "waitP99", Value: p99(mixed), Unit: "s", Baseline: p99(baseline), Bound: AtMost(p99(alone))},
	}, nil
}
