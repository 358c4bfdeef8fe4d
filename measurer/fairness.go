package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name: "fairness",
		Doc:  "1,000 callers of one reseller, one of which sends 100 times its share",
		Run:  fairness,
	})
}

// The fairness scenario has 50 targets and 1,000 callers. Their load is a square
// wave around the capacity, so that queues form every few seconds.
const (
	fairTargets     = 50
	fairSlots       = fairTargets * 8
	fairCallers     = 1000
	fairRunTime     = 400 * time.Millisecond
	fairLoad        = 0.95
	fairLoadSwing   = 0.25
	fairSwingPeriod = 20 * time.Second
	fairDeadline    = 20 * time.Second
	fairWarmUp      = 20 * time.Second
	fairEnd         = 140 * time.Second
	floodFactor     = 100
)

// fairCapacity is the throughput of the cell in requests per second.
var fairCapacity = fairSlots / fairRunTime.Seconds()

const floodingCaller = descriptor.CallerID("flooder")

func fairFlow(load func(time.Duration) float64, maxLoad float64, caller func(*rand.Rand) descriptor.CallerID) Flow {
	return Flow{
		Kind: "weekPlan", Priority: descriptor.Normal, Team: FixedTeam("reseller"), Caller: caller,
		RunTime: UniformAround(fairRunTime), Deadline: fairDeadline,
		Rate:    func(at time.Duration) float64 { return fairCapacity * load(at) },
		MaxRate: fairCapacity * maxLoad,
	}
}

func runFairness(env Env, cfg scheduler.Config, until time.Duration, sets ...[]*Job) []*Job {
	c := NewCell(cfg, &descriptor.Rules{}, fairTargets, EightSlots, env.Rand(9))
	var all []*Job
	for _, set := range sets {
		jobs := Clone(set)
		c.Add(jobs)
		all = append(all, jobs...)
	}
	c.Run(until + fairDeadline)
	return all
}

func fairness(env Env) ([]Metric, error) {
	squareWave := func(at time.Duration) float64 {
		if at%fairSwingPeriod < fairSwingPeriod/2 {
			return fairLoad - fairLoadSwing
		}
		return fairLoad + fairLoadSwing
	}
	others := Generate(env.Rand(1), 0, fairEnd, fairFlow(squareWave, fairLoad+fairLoadSwing, RandomCaller("salon", fairCallers-1)))
	floodLoad := fairLoad / fairCallers * floodFactor
	onlyFlooding := func(*rand.Rand) descriptor.CallerID { return floodingCaller }
	floodJobs := Generate(env.Rand(2), 0, fairEnd, fairFlow(ConstantRate(floodLoad), floodLoad, onlyFlooding))
	for _, j := range floodJobs {
		j.Request.ID = "flood." + j.Request.ID
	}
	isOther := func(j *Job) bool { return j.Request.Caller != floodingCaller && j.Arrival > fairWarmUp }
	p99 := func(jobs []*Job) float64 { return Quantile(WaitSeconds(jobs, isOther), 0.99) }
	refusedOthers := func(jobs []*Job) float64 {
		n := 0.0
		for _, j := range jobs {
			if isOther(j) && (j.Refusal != nil || j.Expired) {
				n++
			}
		}
		return n
	}

	noFlood := runFairness(env, scheduler.Config{}, fairEnd, others)
	withFlood := runFairness(env, scheduler.Config{}, fairEnd, others, floodJobs)
	baselineNoFlood := runFairness(env, scheduler.Baseline(scheduler.Config{}), fairEnd, others)
	baselineWithFlood := runFairness(env, scheduler.Baseline(scheduler.Config{}), fairEnd, others, floodJobs)
	measured, baseline := jainOfBacklogged(env)
	return []Metric{
		{Name: "othersWaitP99", Value: p99(withFlood), Unit: "s", Baseline: p99(baselineWithFlood)},
		{Name: "othersWaitP99ToCalm", Value: p99(withFlood) / p99(noFlood), Unit: "ratio", Baseline: p99(baselineWithFlood) / p99(baselineNoFlood), Bound: AtMost(1.1)},
		{Name: "othersRefusedMore", Value: (refusedOthers(withFlood) - refusedOthers(noFlood)) / float64(len(others)), Unit: "fraction", Baseline: (refusedOthers(baselineWithFlood) - refusedOthers(baselineNoFlood)) / float64(len(others)), Bound: AtMost(0.001)},
		{Name: "jainTeams", Value: jainOfTeams(env), Unit: "index", Baseline: NoBaseline(), Bound: AtLeast(0.99)},
		{Name: "jainBacklogged", Value: measured, Unit: "index", Baseline: baseline, Bound: AtLeast(0.99)},
	}, nil
}

// jainOfBacklogged returns Jain's fairness index of the run times of callers that
// all request more than their share, from two to nine times as much.
func jainOfBacklogged(env Env) (measured, baseline float64) {
	const callers, length = 100, 30 * time.Second
	var flows []Flow
	for i := range callers {
		id := descriptor.CallerID(fmt.Sprintf("salon-%04d", i))
		load := float64(2+8*i/callers) / callers
		flows = append(flows, fairFlow(ConstantRate(load), load, func(*rand.Rand) descriptor.CallerID { return id }))
	}
	work := Generate(env.Rand(3), 0, length, flows...)
	jainIndex := func(cfg scheduler.Config) float64 {
		jobs := runFairness(env, cfg, length, work)
		runSeconds := map[descriptor.CallerID]float64{}
		for _, j := range jobs {
			if d := BusySeconds([]*Job{j}, length/3, length, func(*Job) bool { return true }); d > 0 {
				runSeconds[j.Request.Caller] += d
			}
		}
		shares := make([]float64, callers)
		for i := range shares {
			shares[i] = runSeconds[descriptor.CallerID(fmt.Sprintf("salon-%04d", i))]
		}
		return Jain(shares)
	}
	return jainIndex(scheduler.Config{}), jainIndex(scheduler.Baseline(scheduler.Config{}))
}

// jainOfTeams returns Jain's fairness index of the run time per weight of two
// overloaded teams: a single caller, and a reseller with twice the weight and 100
// callers.
func jainOfTeams(env Env) float64 {
	const length = 30 * time.Second
	singleCaller := fairFlow(ConstantRate(1), 1, func(*rand.Rand) descriptor.CallerID { return "single" })
	singleCaller.Team = FixedTeam("single")
	work := Generate(env.Rand(4), 0, length, singleCaller, fairFlow(ConstantRate(2), 2, RandomCaller("salon", 100)))
	rules := &descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{
		"single": {ID: "single", Weight: 1}, "reseller": {ID: "reseller", Weight: 2},
	}}
	jobs := Clone(work)
	c := NewCell(scheduler.Config{}, rules, fairTargets, EightSlots, env.Rand(9))
	c.Add(jobs)
	c.Run(length)
	busy := func(team descriptor.TeamID) float64 {
		return BusySeconds(jobs, length/3, length, func(j *Job) bool { return j.Request.Team == team })
	}
	return Jain([]float64{busy("single"), busy("reseller") / 2})
}
