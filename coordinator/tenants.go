package coordinator

import (
	"time"

	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/throttler"
	w "github.com/masticlead/masticlead/workload"
)

// tenants holds what the coordinator knows of the tenants of the configuration.
type tenants struct {
	byName      map[w.TenantName]*w.Tenant // empty if the configuration has none
	totalWeight float64
	allocator   *throttler.Allocator
	waiting     map[w.TenantName]int // jobs without a started task, as of the last update of the allowances
	running     map[w.TenantName]w.Resources
	shares      map[w.TenantName]float64 // dominant shares of the running tasks
}

func newTenants(now time.Time) *tenants {
	return &tenants{allocator: throttler.NewAllocator(now)}
}

// configure applies the tenants of a configuration. Of entries with the same name, the
// first counts.
func (t *tenants) configure(cfg *w.Config) {
	t.byName = make(map[w.TenantName]*w.Tenant, len(cfg.Tenants))
	t.totalWeight = 0
	for i := range cfg.Tenants {
		if n := &cfg.Tenants[i]; t.byName[n.Name] == nil {
			t.byName[n.Name] = n
			t.totalWeight += max(0, n.Weight)
		}
	}
}

// countArrival counts a job that an instance hands over for the first time. Jobs that
// were accepted while another coordinator led are no measure of the present arrivals.
func (c *Coordinator) countArrival(instance w.InstanceID, j *w.Job, again bool) {
	if !again && c.tenants.byName[j.Tenant] != nil {
		c.tenants.allocator.Admitted(j.Tenant, instance, c.now)
	}
}

// countRefusals counts the jobs that an instance refused because of an allowance.
func (c *Coordinator) countRefusals(instance w.InstanceID, s *linker.Status) {
	if s == nil {
		return
	}
	for _, r := range s.Refusals {
		if c.tenants.byName[r.Tenant] != nil {
			c.tenants.allocator.Refused(r.Tenant, instance, r.Jobs, c.now)
		}
	}
}

// waitingExcess returns the number of waiting jobs beyond those that a tenant may
// submit at its rate in 2 s.
func (c *Coordinator) waitingExcess(t *w.Tenant) int {
	const entitledSeconds = 2
	return max(0, c.tenants.waiting[t.Name]-int(entitledSeconds*max(0, t.Weight)))
}

// countWaiting counts the jobs by tenant of which no task has started although their
// time has come.
func (c *Coordinator) countWaiting() {
	c.tenants.waiting = make(map[w.TenantName]int, len(c.tenants.byName))
	for _, j := range c.jobs {
		if j.Tenant == "" || j.started || j.state.Final() || (j.Repeat > 0 && j.StartMs > c.now.UnixMilli()) {
			continue
		}
		c.tenants.waiting[j.Tenant]++
	}
}

// publishAllowances sends the allowances of the tenants under pressure to all members.
// They are repeated with each update while a tenant is limited, since instances drop
// allowances that are not renewed.
func (c *Coordinator) publishAllowances() {
	var loads []throttler.TenantLoad
	if len(c.tenants.byName) > 0 {
		c.countWaiting()
		loads = make([]throttler.TenantLoad, 0, len(c.tenants.byName))
		for name, t := range c.tenants.byName {
			loads = append(loads, throttler.TenantLoad{Name: name, Weight: t.Weight, WaitingExcess: c.waitingExcess(t)})
		}
	}
	instances := make([]w.InstanceID, len(c.sortedMembers))
	for i, m := range c.sortedMembers {
		instances[i] = m.id
	}
	before := c.tenants.limited(loads)
	allowances := c.tenants.allocator.Allocate(loads, instances, c.now)
	c.logLimited(loads, before)
	for _, m := range c.sortedMembers {
		list := allowances[m.id]
		if len(list) == 0 && !m.limited {
			continue
		}
		m.limited = len(list) > 0
		m.nextFrame().Allowances = &linker.Allowances{Tenants: list}
	}
}

// limited reports which of the tenants are limited.
func (t *tenants) limited(loads []throttler.TenantLoad) []bool {
	out := make([]bool, len(loads))
	for i := range loads {
		out[i] = t.allocator.Limited(loads[i].Name)
	}
	return out
}

// logLimited logs the tenants that are limited from now on, or no longer.
func (c *Coordinator) logLimited(loads []throttler.TenantLoad, before []bool) {
	for i := range loads {
		l := &loads[i]
		if now := c.tenants.allocator.Limited(l.Name); now != before[i] {
			c.Log.Info("tenant limited or released", "tenant", l.Name, "limited", now, "waiting", c.tenants.waiting[l.Name],
				"excess", l.WaitingExcess, "rate", l.Weight, "configuration", c.cfg.Version, "epoch", c.Epoch)
		}
	}
}

// reportTenants updates the metrics of the tenants.
func (c *Coordinator) reportTenants() {
	t := c.tenants
	if len(t.byName) == 0 {
		return
	}
	c.measureUsage()
	cpu, caps, waiting, rates, limited := t.level(), t.level(), t.level(), t.level(), t.level()
	for name, n := range t.byName {
		cpu[name] = float64(t.running[name].CPU)
		waiting[name] = float64(t.waiting[name])
		rates[name] = max(0, n.Weight)
		if n.Cap.CPU > 0 {
			caps[name] = float64(n.Cap.CPU)
		}
		if t.allocator.Limited(name) {
			limited[name] = 1
		}
	}
	c.Meter.SetTenantLevels("runningCpu", cpu)
	c.Meter.SetTenantLevels("capCpu", caps)
	c.Meter.SetTenantLevels("waitingJobs", waiting)
	c.Meter.SetTenantLevels("rate", rates)
	c.Meter.SetTenantLevels("limited", limited)
	c.Meter.SetTenantLevels("share", t.shares)
	// Former leaders keep their last values. The epoch tells which are current.
	c.Meter.SetGauge("tenantsEpoch", float64(c.Epoch))
}

func (t *tenants) level() map[w.TenantName]float64 {
	return make(map[w.TenantName]float64, len(t.byName))
}

// measureUsage sums up what the tenants have running, and their dominant shares of the
// usable targets.
func (c *Coordinator) measureUsage() {
	t := c.tenants
	t.running = make(map[w.TenantName]w.Resources, len(t.byName))
	var capacity w.Resources
	for _, target := range c.sortedTargets {
		if c.usable(target) {
			capacity = capacity.Add(target.Capacity)
		}
		for _, sl := range target.slots {
			if sl.step != nil && sl.step.job.Tenant != "" {
				t.running[sl.step.job.Tenant] = t.running[sl.step.job.Tenant].Add(sl.resources)
			}
		}
	}
	t.shares = t.level()
	for name := range t.byName {
		t.shares[name] = dominantShare(t.running[name], capacity)
	}
}

// dominantShare returns the largest of the fractions of a capacity's dimensions that
// are used.
func dominantShare(used, capacity w.Resources) float64 {
	share := 0.0
	for _, d := range [...]struct{ used, capacity int64 }{
		{used.CPU, capacity.CPU}, {used.Mem, capacity.Mem}, {used.GPU, capacity.GPU},
	} {
		if d.capacity > 0 {
			share = max(share, float64(d.used)/float64(d.capacity))
		}
	}
	return share
}

// tenantAttributes returns log attributes of a step's tenant and of the limit that
// delays the step, or none if its job has no tenant.
func (c *Coordinator) tenantAttributes(s *step) []any {
	if s.job.Tenant == "" {
		return nil
	}
	return []any{"tenant", s.job.Tenant, "delayedBy", c.tenantDelay(s)}
}

// tenantDelay returns which limit of its tenant delays the waiting tasks of a step: its
// cap, its excess over its rate, its share of the cell, or "none".
func (c *Coordinator) tenantDelay(s *step) string {
	t := c.tenants.byName[s.job.Tenant]
	switch {
	case t == nil || s.waiting == 0:
		return "none"
	case exceedsCap(c.tenants.running[t.Name].Add(s.Demand()), t.Cap):
		return "cap"
	case c.waitingExcess(t) > 0:
		return "excess"
	case c.tenants.totalWeight > 0 && c.tenants.shares[t.Name] > max(0, t.Weight)/c.tenants.totalWeight:
		return "share"
	default:
		return "none"
	}
}

// exceedsCap reports whether usage is above a cap, in which 0 means no limit.
func exceedsCap(usage, limit w.Resources) bool {
	return (limit.CPU > 0 && usage.CPU > limit.CPU) || (limit.Mem > 0 && usage.Mem > limit.Mem) || (limit.GPU > 0 && usage.GPU > limit.GPU)
}
