package measurer

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name: "crest",
		Doc:  "demand swings from 0.2 to 3 times the capacity in a second, for 10 s, and back",
		Run:  crest,
	})
}

// The crest: 50 workers, as a whole data centre has them today. Route builds are
// urgent, week plans normal; both must be answered in 3.7 s. Settlements run in
// the background and can be checkpointed.
const (
	crestTargets  = 50
	crestSlots    = crestTargets * 8
	crestRun      = 400 * time.Millisecond
	crestStart    = 60 * time.Second
	crestLength   = 10 * time.Second
	crestRamp     = time.Second
	crestEnd      = crestStart + crestLength
	crestLow      = 0.2
	crestHigh     = 3.0
	crestUrgent   = 0.6 // of the interactive work
	crestDeadline = 3700 * time.Millisecond
	crestTail     = 60 * time.Second
)

// crestLoad returns the offered load at a time, as a multiple of the capacity.
func crestLoad(at time.Duration) float64 {
	rise := min(max((at-crestStart).Seconds()/crestRamp.Seconds(), 0), 1)
	fall := min(max((at-crestEnd).Seconds()/crestRamp.Seconds(), 0), 1)
	return crestLow + (crestHigh-crestLow)*(rise-fall)
}

func crestWork(env Env) []*Job {
	const background = 0.1
	interactive := func(kind descriptor.KindName, p descriptor.Priority, part float64) Flow {
		scale := part * crestSlots / crestRun.Seconds()
		return Flow{
			Kind: kind, Priority: p, Team: OneTeam("salons"), Caller: SomeCaller("stylist", 500),
			Run: Around(crestRun), Deadline: crestDeadline,
			Rate:    func(at time.Duration) float64 { return scale * (crestLoad(at) - background) },
			MaxRate: scale * (crestHigh - background),
		}
	}
	settlement := Flow{
		Kind: "settlement", Policy: descriptor.Batch, Priority: descriptor.Bulk, Checkpointable: true,
		Team: OneTeam("franchisees"), Caller: SomeCaller("franchisee", 50),
		Run: Around(15 * time.Second), Deadline: time.Hour,
		Rate: Constant(background * crestSlots / 15), MaxRate: background * crestSlots / 15,
	}
	return Generate(env.Rand(1), 0, crestEnd+crestTail,
		interactive("routeBuild", descriptor.Urgent, crestUrgent),
		interactive("weekPlan", descriptor.Normal, 1-crestUrgent), settlement)
}

// crestResult holds the figures of one run.
type crestResult struct {
	jobs    []*Job
	drained time.Duration // after the crest
}

func runCrest(env Env, cfg scheduler.Config, rules *descriptor.Rules, work []*Job) crestResult {
	res := crestResult{jobs: Clone(work), drained: -1}
	c := NewCell(cfg, rules, crestTargets, Slots8, env.Rand(2))
	c.Add(res.jobs)
	c.Every(10*time.Millisecond, func() bool {
		if res.drained < 0 && c.Elapsed() > crestEnd+crestRamp && c.Queued() == 0 {
			res.drained = c.Elapsed() - crestEnd - crestRamp
		}
		return true
	})
	c.Run(crestEnd + crestTail + 2*time.Minute)
	return res
}

// served returns the capacity used during the crest for work that ended in time.
func (r crestResult) served() float64 {
	return BusySeconds(r.jobs, crestStart+crestRamp, crestEnd, (*Job).InTime) /
		(crestSlots * (crestLength - crestRamp).Seconds())
}

// missed counts the admitted requests that missed their deadline.
func (r crestResult) missed() float64 {
	n := 0
	for _, j := range r.jobs {
		if j.Late() {
			n++
		}
	}
	return float64(n)
}

func urgentAtCrest(j *Job) bool {
	return j.Request.Priority == descriptor.Urgent && j.At >= crestStart && j.At < crestEnd+crestRamp
}

func normalAtCrest(j *Job) bool {
	return j.Request.Kind == "weekPlan" && j.At >= crestStart && j.At < crestEnd+crestRamp
}

// part returns the fraction of the selected requests that ended in time.
func (r crestResult) part(keep func(*Job) bool) float64 {
	var all, done float64
	for _, j := range r.jobs {
		if keep(j) {
			all++
			if j.InTime() {
				done++
			}
		}
	}
	return done / all
}

// retrySpread returns the largest number of refused requests that return within
// one second, over the mean number per second during the time of all returns.
func (r crestResult) retrySpread() float64 {
	counts := map[int]float64{}
	first, last, n := math.MaxInt, 0, 0.0
	for _, j := range r.jobs {
		if j.Refusal == nil || j.Refusal.RetryAfter == 0 {
			continue
		}
		second := int((j.At + j.Refusal.RetryAfter) / time.Second)
		counts[second]++
		first, last = min(first, second), max(last, second)
		n++
	}
	most := 0.0
	for _, c := range counts {
		most = max(most, c)
	}
	return most / (n / float64(last-first+1))
}

func crest(env Env) ([]Metric, error) {
	work := crestWork(env)
	plain := runCrest(env, scheduler.Baseline(scheduler.Config{}), &descriptor.Rules{}, work)
	ours := runCrest(env, scheduler.Config{}, &descriptor.Rules{}, work)
	weighted := runCrest(env, scheduler.Config{}, &descriptor.Rules{Weights: descriptor.Weights{Crest: 3}}, work)
	wait := func(r crestResult) float64 { return Quantile(Waits(r.jobs, urgentAtCrest), 0.99) }
	drained := func(r crestResult) float64 {
		if r.drained < 0 {
			return math.NaN()
		}
		return r.drained.Seconds()
	}
	return []Metric{
		{Name: "served", Value: ours.served(), Unit: "capacity", Baseline: plain.served(), Bound: AtLeast(0.95)},
		{Name: "missed", Value: ours.missed(), Unit: "requests", Baseline: plain.missed(), Bound: AtMost(0)},
		{Name: "urgentWaitP99", Value: wait(ours), Unit: "s", Baseline: wait(plain), Bound: AtMost(3.7)},
		{Name: "drained", Value: drained(ours), Unit: "s", Baseline: drained(plain), Bound: AtMost(5)},
		{Name: "urgentInTime", Value: ours.part(urgentAtCrest), Unit: "fraction", Baseline: plain.part(urgentAtCrest)},
		{Name: "normalInTime", Value: ours.part(normalAtCrest), Unit: "fraction", Baseline: plain.part(normalAtCrest)},
		{Name: "retryPeakToMean", Value: ours.retrySpread(), Unit: "ratio", Baseline: None()},
		{Name: "urgentWaitP99Crest3", Value: wait(weighted), Unit: "s", Baseline: wait(ours)},
		{Name: "urgentWaitP99Crest3Ratio", Value: wait(weighted) / wait(ours), Unit: "ratio", Baseline: 1, Bound: AtMost(0.9)},
		{Name: "servedCrest3", Value: weighted.served(), Unit: "capacity", Baseline: ours.served()},
		{Name: "missedCrest3", Value: weighted.missed(), Unit: "requests", Baseline: ours.missed(), Bound: AtMost(0)},
		{Name: "urgentInTimeCrest3", Value: weighted.part(urgentAtCrest), Unit: "fraction", Baseline: ours.part(urgentAtCrest)},
	}, nil
}
