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
		Name: "quota",
		Doc:  "220 teams, of which some ask for more than their quota and some are idle",
		Run:  quota,
	})
}

// The teams of quota: a third asks for four times its quota, a third for six
// tenths of it, the rest is idle. The demand is 1.3 times the capacity.
const (
	quotaTeams    = 220
	quotaTargets  = 50
	quotaSlots    = quotaTargets * 8
	quotaEach     = 0.9 / quotaTeams
	quotaOver     = 4.0
	quotaUnder    = 0.6
	quotaRun      = 400 * time.Millisecond
	quotaDeadline = 10 * time.Second
	quotaWarm     = 10 * time.Second
	quotaEnd      = 60 * time.Second
)

// quotaWatch counts starts of teams above their quota while a team below its
// quota waits.
type quotaWatch struct {
	running, waiting map[descriptor.TeamID]int
	violations       int
	starts           int
}

func (w *quotaWatch) above(id descriptor.TeamID) bool {
	return float64(w.running[id])/quotaSlots >= quotaEach
}

func (w *quotaWatch) placed(j *Job) {
	w.starts++
	team := j.Request.Team
	w.waiting[team]--
	if w.above(team) {
		for other, n := range w.waiting {
			if n > 0 && !w.above(other) {
				w.violations++
				break
			}
		}
	}
	w.running[team]++
}

func runQuota(env Env, cfg scheduler.Config, rules *descriptor.Rules, work []*Job) ([]*Job, *quotaWatch) {
	jobs := Clone(work)
	w := &quotaWatch{running: map[descriptor.TeamID]int{}, waiting: map[descriptor.TeamID]int{}}
	c := NewCell(cfg, rules, quotaTargets, Slots8, env.Rand(9))
	c.OnArrive = func(j *Job) { w.waiting[j.Request.Team]++ }
	c.OnPlace = func(j *Job, _ scheduler.Placement) { w.placed(j) }
	c.OnEnd = func(j *Job) {
		if j.Expired {
			w.waiting[j.Request.Team]--
		} else {
			w.running[j.Request.Team]--
		}
	}
	c.Add(jobs)
	c.Run(quotaEnd)
	return jobs, w
}

func quota(env Env) ([]Metric, error) {
	rules := &descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{}}
	var flows []Flow
	for i := range quotaTeams {
		id := descriptor.TeamID(fmt.Sprintf("team-%03d", i))
		rules.Teams[id] = descriptor.Team{ID: id, Weight: float64(1 + i%3), Quota: quotaEach}
		load := 0.0
		switch i % 3 {
		case 0:
			load = quotaOver * quotaEach
		case 1:
			load = quotaUnder * quotaEach
		default:
			continue
		}
		rate := load * quotaSlots / quotaRun.Seconds()
		flows = append(flows, Flow{
			Kind: "routeBuild", Priority: descriptor.Priority(i % 2 * 2), Team: OneTeam(id),
			Caller: func(rng *rand.Rand) descriptor.CallerID {
				return descriptor.CallerID(fmt.Sprintf("%s-%d", id, rng.IntN(5)))
			},
			Run: Around(quotaRun), Deadline: quotaDeadline, Rate: Constant(rate), MaxRate: rate,
		})
	}
	work := Generate(env.Rand(1), 0, quotaEnd, flows...)
	ours, watch := runQuota(env, scheduler.Config{}, rules, work)
	plain, plainWatch := runQuota(env, scheduler.Baseline(scheduler.Config{}), rules, work)
	all := func(*Job) bool { return true }
	used := func(jobs []*Job) float64 {
		return BusySeconds(jobs, quotaWarm, quotaEnd, all) / (quotaSlots * (quotaEnd - quotaWarm).Seconds())
	}
	modest := func(j *Job) bool {
		var i int
		_, err := fmt.Sscanf(string(j.Request.Team), "team-%d", &i)
		return err == nil && i%3 == 1 && j.At > quotaWarm && j.At < quotaEnd-quotaDeadline
	}
	p99 := func(jobs []*Job) float64 { return Quantile(Waits(jobs, modest), 0.99) }
	return []Metric{
		{Name: "startsAheadOfTeamsUnderQuota", Value: float64(watch.violations), Unit: "starts", Baseline: float64(plainWatch.violations), Bound: AtMost(0)},
		{Name: "utilisation", Value: used(ours), Unit: "capacity", Baseline: used(plain), Bound: AtLeast(0.95)},
		{Name: "underQuotaWaitP99", Value: p99(ours), Unit: "s", Baseline: p99(plain)},
		{Name: "starts", Value: float64(watch.starts), Unit: "starts", Baseline: float64(plainWatch.starts)},
	}, nil
}
