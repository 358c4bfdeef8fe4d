package coordinator

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/throttler"
	w "github.com/masticlead/masticlead/workload"
)

// While many targets are lost to new work of a queue, the queue is contained: each of its
// jobs first starts a single task or gang as a probe, and jobs beyond the rate at which
// they can be tried are refused.

const (
	// minContainedLosses and containedShare give the number of targets that are lost
	// to new work of a queue before its jobs start with a single task: the larger of
	// the number and the share of the usable targets.
	minContainedLosses = 4
	containedShare     = 0.05
	// containmentPeriod is the time between two updates of the contained queues.
	containmentPeriod = 50 * time.Millisecond
	// probeRateWeight is the weight of the last second in the moving average of the rate
	// at which jobs of a contained queue are tried.
	probeRateWeight = 0.3
)

// updateContainment updates the contained queues, and the number of starts under
// suspicion that are allowed by service.
func (c *Coordinator) updateContainment() {
	if c.now.Before(c.containmentDue) {
		return
	}
	c.containmentDue = c.now.Add(containmentPeriod)
	c.losses.Expire(c.now)
	usable, usedCPU, totalCPU := make(map[string]int), make(map[string]int64), make(map[string]int64)
	for _, t := range c.sortedTargets {
		if t.usableInRound {
			usable[t.Service]++
			usedCPU[t.Service] += t.used.CPU
			totalCPU[t.Service] += t.Capacity.CPU
		}
	}
	contained := make(map[string]bool)
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		limit := math.Max(minContainedLosses, containedShare*float64(usable[q.Service]))
		if c.losses.Score(q.Name) >= limit {
			contained[q.Name] = true
		}
		if contained[q.Name] != c.contained[q.Name] {
			c.Log.Warn("jobs of a queue start with a single task, or no longer do", "queue", q.Name, "contained", contained[q.Name],
				"losses", c.losses.Score(q.Name), "limit", limit, "usable", usable[q.Service])
		}
	}
	c.contained = contained
	c.Meter.SetGauge("queuesContained", float64(len(c.contained)))
	c.Meter.SetGauge("targetsProbed", float64(len(c.probing)))
	clear(c.riskBudgets)
	for service, n := range usable {
		lost := c.losses.Recent(service, c.now.Add(-returnTime))
		// Targets that no other work needs may be risked as well.
		share := max(minRiskShare, maxRiskShare*(1-float64(usedCPU[service])/float64(max(1, totalCPU[service]))))
		c.riskBudgets[service] = max(1, int(share*float64(n+lost))) - lost
	}
	for _, t := range c.probing {
		if t.closedAt.IsZero() {
			c.riskBudgets[t.Service]--
		}
	}
}

// updateProbeRates updates the rates at which the jobs of contained queues are tried.
func (c *Coordinator) updateProbeRates() {
	if c.now.Sub(c.probesCountedAt) < time.Second {
		return
	}
	elapsed := c.now.Sub(c.probesCountedAt).Seconds()
	c.probesCountedAt = c.now
	for queue := range c.probeRates {
		if !c.contained[queue] {
			delete(c.probeRates, queue)
		}
	}
	for queue := range c.contained {
		rate := float64(c.firstProbes[queue]) / elapsed
		if old, ok := c.probeRates[queue]; ok {
			rate = old + probeRateWeight*(rate-old)
		}
		c.probeRates[queue] = rate
	}
	clear(c.firstProbes)
}

// containedLoads returns the rates at which the jobs of contained queues are tried, and
// the numbers of those that wait. Jobs beyond that rate would wait for longer and longer.
func (c *Coordinator) containedLoads() []throttler.TenantLoad {
	c.updateProbeRates()
	if len(c.probeRates) == 0 {
		return nil
	}
	waiting := make(map[string]int)
	for _, j := range c.jobs {
		if !j.started && !j.state.Final() {
			waiting[j.Queue]++
		}
	}
	var loads []throttler.TenantLoad
	for queue, rate := range c.probeRates {
		loads = append(loads, throttler.TenantLoad{Name: w.TenantName(queue), Weight: max(1, rate), WaitingExcess: waiting[queue]})
	}
	return loads
}

// jobSurvived reports whether a run of the job has survived its start, or is about to
// show whether it does.
func (c *Coordinator) jobSurvived(j *job) (survived, open bool) {
	if j.survived {
		return true, false
	}
	if j.survivalRound == c.tenants.round {
		return false, j.open
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				tk := &s.tasks[i]
				if tk.phase != starting && tk.phase != running {
					j.survived = j.survived || tk.phase == finished
					continue
				}
				open = true
				if sl := tk.target.slots[s.id(i)]; sl != nil && sl.run == tk.run && tk.target.survived(sl) {
					j.survived = true
				}
			}
		}
	}
	j.survivalRound, j.open = c.tenants.round, open
	return j.survived, open
}
