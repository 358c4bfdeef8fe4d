package coordinator

import (
	"time"

	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/sharer"
	"github.com/masticlead/masticlead/throttler"
	w "github.com/masticlead/masticlead/workload"
)

// admission holds what the coordinator knows of the tenants of the configuration to limit
// the rates at which their jobs are accepted.
type admission struct {
	tenants   map[w.TenantName]*w.Tenant // empty if the configuration has none
	allocator *throttler.Allocator
	queues    *throttler.Allocator         // of the contained queues, by name
	waiting   map[w.TenantName]waitingJobs // as of the last update of the allowances
}

// waitingJobs counts the jobs of a tenant of which no task has started although their
// time has come.
type waitingJobs struct{ all, excess int }

func newAdmission(now time.Time) *admission {
	return &admission{allocator: throttler.NewAllocator(now), queues: throttler.NewAllocator(now)}
}

// configure applies the tenants of a configuration. Of entries with the same name, the
// first counts.
func (a *admission) configure(cfg *w.Config) {
	a.tenants = make(map[w.TenantName]*w.Tenant, len(cfg.Tenants))
	for i := range cfg.Tenants {
		if t := &cfg.Tenants[i]; a.tenants[t.Name] == nil {
			a.tenants[t.Name] = t
		}
	}
}

// countArrival counts a job that an instance hands over for the first time. Jobs that
// were accepted while another coordinator led are no measure of the present arrivals.
func (c *Coordinator) countArrival(instance w.InstanceID, j *w.Job, again bool) {
	if !again && c.admission.tenants[j.Tenant] != nil {
		c.admission.allocator.Admitted(j.Tenant, instance, c.now)
	}
	if !again && c.contained[j.Queue] {
		c.admission.queues.Admitted(w.TenantName(j.Queue), instance, c.now)
	}
}

// countRefusals counts the jobs that an instance refused because of an allowance.
func (c *Coordinator) countRefusals(instance w.InstanceID, s *linker.Status) {
	if s == nil {
		return
	}
	for _, r := range s.Refusals {
		switch {
		case r.Queue != "" && c.contained[r.Queue]:
			c.admission.queues.Refused(w.TenantName(r.Queue), instance, r.Jobs, c.now)
		case r.Queue == "" && c.admission.tenants[r.Tenant] != nil:
			c.admission.allocator.Refused(r.Tenant, instance, r.Jobs, c.now)
		}
	}
}

// countWaiting counts the waiting jobs of the configured tenants.
func (c *Coordinator) countWaiting() {
	c.admission.waiting = make(map[w.TenantName]waitingJobs, len(c.admission.tenants))
	for _, j := range c.jobs {
		if c.admission.tenants[j.Tenant] == nil || j.started || j.state.Final() || (j.Repeat > 0 && j.StartMs > c.now.UnixMilli()) {
			continue
		}
		n := c.admission.waiting[j.Tenant]
		n.all++
		if j.excess {
			n.excess++
		}
		c.admission.waiting[j.Tenant] = n
	}
}

// publishAllowances sends the allowances of the tenants and contained queues under pressure
// to all members.
// They are repeated with each update while a tenant is limited, since instances drop
// allowances that are not renewed.
func (c *Coordinator) publishAllowances() {
	var loads []throttler.TenantLoad
	if len(c.admission.tenants) > 0 {
		c.countWaiting()
		loads = make([]throttler.TenantLoad, 0, len(c.admission.tenants))
		for name, t := range c.admission.tenants {
			loads = append(loads, throttler.TenantLoad{Name: name, Weight: t.Weight, WaitingExcess: c.admission.waiting[name].excess})
		}
	}
	instances := make([]w.InstanceID, len(c.sortedMembers))
	for i, m := range c.sortedMembers {
		instances[i] = m.id
	}
	before := c.admission.limited(loads)
	allowances := c.admission.allocator.Allocate(loads, instances, c.now)
	c.logLimited(loads, before)
	queues := c.admission.queues.Allocate(c.containedLoads(), instances, c.now)
	for _, m := range c.sortedMembers {
		a := &linker.Allowances{Tenants: allowances[m.id]}
		for _, q := range queues[m.id] {
			a.Queues = append(a.Queues, linker.QueueAllowance{Queue: string(q.Tenant), JobsPerSec: q.JobsPerSec})
		}
		limited := len(a.Tenants)+len(a.Queues) > 0
		if !limited && !m.limited {
			continue
		}
		m.limited = limited
		m.nextFrame().Allowances = a
	}
}

// limited reports which of the tenants are limited.
func (a *admission) limited(loads []throttler.TenantLoad) []bool {
	out := make([]bool, len(loads))
	for i := range loads {
		out[i] = a.allocator.Limited(loads[i].Name)
	}
	return out
}

// logLimited logs the tenants that are limited from now on, or no longer.
func (c *Coordinator) logLimited(loads []throttler.TenantLoad, before []bool) {
	for i := range loads {
		l := &loads[i]
		if now := c.admission.allocator.Limited(l.Name); now != before[i] {
			c.Log.Info("tenant limited or released", "tenant", l.Name, "limited", now, "waiting", c.admission.waiting[l.Name].all,
				"excess", l.WaitingExcess, "rate", l.Weight, "configuration", c.cfg.Version, "epoch", c.Epoch)
		}
	}
}

// reportTenants updates the metrics of the tenants.
func (c *Coordinator) reportTenants() {
	a := c.admission
	if len(a.tenants) == 0 {
		return
	}
	running := c.tenants.limits.Usages()
	var capacity w.Resources
	for _, t := range c.sortedTargets {
		if c.usable(t) {
			capacity = capacity.Add(t.Capacity)
		}
	}
	cpu, caps, waiting, rates, limited, shares := a.levels(), a.levels(), a.levels(), a.levels(), a.levels(), a.levels()
	for name, t := range a.tenants {
		cpu[name] = float64(running[name].Resources.CPU)
		shares[name] = sharer.DominantShare(running[name].Resources, capacity)
		waiting[name] = float64(a.waiting[name].all)
		rates[name] = max(0, t.Weight)
		if t.Cap.CPU > 0 {
			caps[name] = float64(t.Cap.CPU)
		}
		if a.allocator.Limited(name) {
			limited[name] = 1
		}
	}
	c.Meter.SetTenants(c.cfg.Tenants)
	c.Meter.SetTenantLevels("runningCpu", cpu)
	c.Meter.SetTenantLevels("capCpu", caps)
	c.Meter.SetTenantLevels("waitingJobs", waiting)
	c.Meter.SetTenantLevels("rate", rates)
	c.Meter.SetTenantLevels("limited", limited)
	c.Meter.SetTenantLevels("share", shares)
	// Former leaders keep their last values. The epoch tells which are current.
	c.Meter.SetGauge("tenantsEpoch", float64(c.Epoch))
}

func (a *admission) levels() map[w.TenantName]float64 {
	return make(map[w.TenantName]float64, len(a.tenants))
}
