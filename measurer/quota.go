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
		Doc:  "220 teams, some of which demand more than their quota and some of which are idle",
		Run:  quota,
	})
}

// In the quota scenario a third of the teams demands four times its quota, a third
// demands 0.6 times its quota, and the rest is idle. The total demand is about 1.4
// times the capacity.
const (
	quotaTeams       = 220
	quotaTargets     = 50
	quotaSlots       = quotaTargets * 8
	teamQuota        = 0.9 / quotaTeams
	overQuotaDemand  = 4.0
	underQuotaDemand = 0.6
	quotaRunTime     = 400 * time.Millisecond
	quotaDeadline    = 10 * time.Second
	quotaWarmUp      = 10 * time.Second
	quotaEnd         = 60 * time.Second
)

// quotaMonitor counts the starts for teams that have reached their quota while a team
// below its quota has queued requests.
type quotaMonitor struct {
	running, waiting map[descriptor.TeamID]int
	violations       int
	starts           int
}

func (m *quotaMonitor) reachedQuota(id descriptor.TeamID) bool {
	return float64(m.running[id])/quotaSlots >= teamQuota
}

func (m *quotaMonitor) onPlace(j *Job) {
	m.starts++
	team := j.Request.Team
	m.waiting[team]--
	if m.reachedQuota(team) {
		for other, n := range m.waiting {
			if n > 0 && !m.reachedQuota(other) {
				m.violations++
				break
			}
		}
	}
	m.running[team]++
}

func runQuota(env Env, cfg scheduler.Config, rules *descriptor.Rules, work []*Job) ([]*Job, *quotaMonitor) {
	jobs := Clone(work)
	monitor := &quotaMonitor{running: map[descriptor.TeamID]int{}, waiting: map[descriptor.TeamID]int{}}
	c := NewCell(cfg, rules, quotaTargets, EightSlots, env.Rand(9))
	c.OnAdmit = func(j *Job) { monitor.waiting[j.Request.Team]++ }
	c.OnPlace = func(j *Job, _ scheduler.Placement) { monitor.onPlace(j) }
	c.OnEnd = func(j *Job) {
		if j.Expired {
			monitor.waiting[j.Request.Team]--
		} else {
			monitor.running[j.Request.Team]--
		}
	}
	c.Add(jobs)
	c.Run(quotaEnd)
	return jobs, monitor
}

func quota(env Env) ([]Metric, error) {
	rules := &descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{}}
	var flows []Flow
	for i := range quotaTeams {
		id := descriptor.TeamID(fmt.Sprintf("team-%03d", i))
		rules.Teams[id] = descriptor.Team{ID: id, Weight: float64(1 + i%3), Quota: teamQuota}
		load := 0.0
		switch i % 3 {
		case 0:
			load = overQuotaDemand * teamQuota
		case 1:
			load = underQuotaDemand * teamQuota
		default:
			continue
		}
		rate := load * quotaSlots / quotaRunTime.Seconds()
		flows = append(flows, Flow{
			Kind: "routeBuild", Priority: descriptor.Priority(i % 2 * 2), Team: FixedTeam(id),
			Caller: func(rng *rand.Rand) descriptor.CallerID {
				return descriptor.CallerID(fmt.Sprintf("%s-%d", id, rng.IntN(5)))
			},
			RunTime: UniformAround(quotaRunTime), Deadline: quotaDeadline, Rate: ConstantRate(rate), MaxRate: rate,
		})
	}
	work := Generate(env.Rand(1), 0, quotaEnd, flows...)
	measured, monitor := runQuota(env, scheduler.Config{}, rules, work)
	baseline, baselineMonitor := runQuota(env, scheduler.Baseline(scheduler.Config{}), rules, work)
	all := func(*Job) bool { return true }
	utilisation := func(jobs []*Job) float64 {
		return BusySeconds(jobs, quotaWarmUp, quotaEnd, all) / (quotaSlots * (quotaEnd - quotaWarmUp).Seconds())
	}
	isUnderQuota := func(j *Job) bool {
		var i int
		_, err := fmt.Sscanf(string(j.Request.Team), "team-%d", &i)
		return err == nil && i%3 == 1 && j.Arrival > quotaWarmUp && j.Arrival < quotaEnd-quotaDeadline
	}
	p99 := func(jobs []*Job) float64 { return Quantile(WaitSeconds(jobs, isUnderQuota), 0.99) }
	return []Metric{
		{Name: "startsAheadOfTeamsUnderQuota", Value: float64(monitor.violations), Unit: "starts", Baseline: float64(baselineMonitor.violations), Bound: AtMost(0)},
		{Name: "utilisation", Value: utilisation(measured), Unit: "capacity", Baseline: utilisation(baseline), Bound: AtLeast(0.95)},
		{Name: "underQuotaWaitP99", Value: p99(measured), Unit: "s", Baseline: p99(baseline)},
		{Name: "starts", Value: float64(monitor.starts), Unit: "starts", Baseline: float64(baselineMonitor.starts)},
	}, nil
}
