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
		Doc:  "1,000 callers of one reseller, of which one sends 100 times its share",
		Run:  fairness,
	})
}

// The cell of fairness: 50 workers, and 1,000 callers whose load swings around
// the capacity every few seconds, so that there are queues to compare.
const (
	fairTargets  = 50
	fairSlots    = fairTargets * 8
	fairCallers  = 1000
	fairRun      = 400 * time.Millisecond
	fairLoad     = 0.95
	fairSwing    = 0.25
	fairPeriod   = 20 * time.Second
	fairDeadline = 20 * time.Second
	fairWarm     = 20 * time.Second
	fairEnd      = 140 * time.Second
	fairFlood    = 100
)

// fairCapacity is the number of requests per second that the cell can run.
var fairCapacity = fairSlots / fairRun.Seconds()

const flooder = descriptor.CallerID("flooder")

func fairFlow(load func(time.Duration) float64, most float64, caller func(*rand.Rand) descriptor.CallerID) Flow {
	return Flow{
		Kind: "weekPlan", Priority: descriptor.Normal, Team: OneTeam("reseller"), Caller: caller,
		Run: Around(fairRun), Deadline: fairDeadline,
		Rate:    func(at time.Duration) float64 { return fairCapacity * load(at) },
		MaxRate: fairCapacity * most,
	}
}

func runFair(env Env, cfg scheduler.Config, until time.Duration, sets ...[]*Job) []*Job {
	c := NewCell(cfg, &descriptor.Rules{}, fairTargets, Slots8, env.Rand(9))
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
	swing := func(at time.Duration) float64 {
		if at%fairPeriod < fairPeriod/2 {
			return fairLoad - fairSwing
		}
		return fairLoad + fairSwing
	}
	others := Generate(env.Rand(1), 0, fairEnd, fairFlow(swing, fairLoad+fairSwing, SomeCaller("salon", fairCallers-1)))
	flood := fairLoad / fairCallers * fairFlood
	one := func(*rand.Rand) descriptor.CallerID { return flooder }
	surplus := Generate(env.Rand(2), 0, fairEnd, fairFlow(Constant(flood), flood, one))
	for _, j := range surplus {
		j.Request.ID = "flood." + j.Request.ID
	}
	isOther := func(j *Job) bool { return j.Request.Caller != flooder && j.At > fairWarm }
	p99 := func(jobs []*Job) float64 { return Quantile(Waits(jobs, isOther), 0.99) }
	refusedOthers := func(jobs []*Job) float64 {
		n := 0.0
		for _, j := range jobs {
			if isOther(j) && (j.Refusal != nil || j.Expired) {
				n++
			}
		}
		return n
	}

	calm := runFair(env, scheduler.Config{}, fairEnd, others)
	flooded := runFair(env, scheduler.Config{}, fairEnd, others, surplus)
	plainCalm := runFair(env, scheduler.Baseline(scheduler.Config{}), fairEnd, others)
	plainFlooded := runFair(env, scheduler.Baseline(scheduler.Config{}), fairEnd, others, surplus)
	ours, plain := jainOfBacklogged(env)
	return []Metric{
		{Name: "othersWaitP99", Value: p99(flooded), Unit: "s", Baseline: p99(plainFlooded)},
		{Name: "othersWaitP99ToCalm", Value: p99(flooded) / p99(calm), Unit: "ratio", Baseline: p99(plainFlooded) / p99(plainCalm), Bound: AtMost(1.1)},
		{Name: "othersRefusedMore", Value: (refusedOthers(flooded) - refusedOthers(calm)) / float64(len(others)), Unit: "fraction", Baseline: (refusedOthers(plainFlooded) - refusedOthers(plainCalm)) / float64(len(others)), Bound: AtMost(0.001)},
		{Name: "jainTeams", Value: jainOfTeams(env), Unit: "index", Baseline: None(), Bound: AtLeast(0.99)},
		{Name: "jainBacklogged", Value: ours, Unit: "index", Baseline: plain, Bound: AtLeast(0.99)},
	}, nil
}

// jainOfBacklogged returns the fairness index of the run time that callers got
// who all ask for more than their share, some for twice and some for ten times.
func jainOfBacklogged(env Env) (ours, plain float64) {
	const callers, length = 100, 30 * time.Second
	var flows []Flow
	for i := range callers {
		id := descriptor.CallerID(fmt.Sprintf("salon-%04d", i))
		load := float64(2+8*i/callers) / callers
		flows = append(flows, fairFlow(Constant(load), load, func(*rand.Rand) descriptor.CallerID { return id }))
	}
	work := Generate(env.Rand(3), 0, length, flows...)
	index := func(cfg scheduler.Config) float64 {
		jobs := runFair(env, cfg, length, work)
		got := map[descriptor.CallerID]float64{}
		for _, j := range jobs {
			if d := BusySeconds([]*Job{j}, length/3, length, func(*Job) bool { return true }); d > 0 {
				got[j.Request.Caller] += d
			}
		}
		shares := make([]float64, callers)
		for i := range shares {
			shares[i] = got[descriptor.CallerID(fmt.Sprintf("salon-%04d", i))]
		}
		return Jain(shares)
	}
	return index(scheduler.Config{}), index(scheduler.Baseline(scheduler.Config{}))
}

// jainOfTeams returns the fairness index of the run time per weight of two teams
// that both ask for more than they get: a single caller, and a reseller of twice
// its weight with 100 callers.
func jainOfTeams(env Env) float64 {
	const length = 30 * time.Second
	one := fairFlow(Constant(1), 1, func(*rand.Rand) descriptor.CallerID { return "single" })
	one.Team = OneTeam("single")
	work := Generate(env.Rand(4), 0, length, one, fairFlow(Constant(2), 2, SomeCaller("salon", 100)))
	rules := &descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{
		"single": {ID: "single", Weight: 1}, "reseller": {ID: "reseller", Weight: 2},
	}}
	jobs := Clone(work)
	c := NewCell(scheduler.Config{}, rules, fairTargets, Slots8, env.Rand(9))
	c.Add(jobs)
	c.Run(length)
	busy := func(team descriptor.TeamID) float64 {
		return BusySeconds(jobs, length/3, length, func(j *Job) bool { return j.Request.Team == team })
	}
	return Jain([]float64{busy("single"), busy("reseller") / 2})
}
