// Package throttler limits the rate at which jobs of a tenant are accepted while more
// of them wait than the tenant is entitled to. The Allocator, in the leader, decides
// which tenants are limited and splits their rates over the instances. The Throttle,
// in each instance, enforces the rates. Neither does I/O or reads a clock.
package throttler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// window is the time over which arrivals are counted.
	window = 2 * time.Second
	// slotLength is the resolution of the window.
	slotLength = 100 * time.Millisecond
	windowSlot = int(window / slotLength)
	// learningTime is the time after its start for which an Allocator limits no tenant.
	// It does not know yet through which instances the jobs arrive, and instances still
	// apply the allowances of the previous leader.
	learningTime = 1 * time.Second
	// minRate is the lowest allowance in jobs per second, so that an instance through
	// which jobs begin to arrive refuses only some of them until the next update.
	minRate = 0.2
	// pressureSeconds is the waiting excess, in seconds of the tenant's rate, beyond
	// which a tenant is limited, and minPressure its lower bound in jobs.
	pressureSeconds = 2
	minPressure     = 10
	// maxLimited bounds the number of limited tenants. With 2,000 tenants and 300
	// instances, allowances for all of them would take 40 MB/s.
	maxLimited = 200
	// minGain and maxGain bound the correction of a tenant's allowances. Each update
	// corrects the power gainExponent of the deviation. It is well below 1, since the
	// window delays the measured rate by three updates.
	minGain, maxGain = 0.5, 4
	gainExponent     = 0.2
)

// TenantLoad is the entitlement of a tenant and its waiting work.
type TenantLoad struct {
	Name          w.TenantName
	Weight        float64 // jobs per second to which the tenant is entitled
	WaitingExcess int     // waiting jobs beyond what the tenant is entitled to
}

// UnderPressure reports whether so much of the tenant's excess waits that its jobs are
// to be accepted only at its rate.
func (t *TenantLoad) UnderPressure() bool {
	return float64(t.WaitingExcess) > max(minPressure, pressureSeconds*t.Weight)
}

// source is a tenant whose jobs arrive through an instance.
type source struct {
	tenant   w.TenantName
	instance w.InstanceID
}

// arrivals counts the jobs of a source.
type arrivals struct{ admitted, refused int }

// Allocator computes the allowances of the tenants. It is used by one goroutine.
type Allocator struct {
	startedAt time.Time
	slots     [windowSlot]map[source]arrivals
	lastSlot  int64 // number of the current slot since the Unix epoch
	totals    map[source]arrivals
	gains     map[w.TenantName]float64 // correction of each limited tenant
}

// NewAllocator returns an Allocator without arrivals.
func NewAllocator(now time.Time) *Allocator {
	return &Allocator{startedAt: now, lastSlot: slotNumber(now), totals: make(map[source]arrivals), gains: make(map[w.TenantName]float64)}
}

func slotNumber(now time.Time) int64 { return now.UnixMilli() / slotLength.Milliseconds() }

// Admitted records that an instance accepted a job of a tenant.
func (a *Allocator) Admitted(tenant w.TenantName, instance w.InstanceID, now time.Time) {
	a.record(source{tenant, instance}, arrivals{admitted: 1}, now)
}

// Refused records that an instance refused n jobs of a tenant because of its allowance.
func (a *Allocator) Refused(tenant w.TenantName, instance w.InstanceID, n int, now time.Time) {
	if n > 0 {
		a.record(source{tenant, instance}, arrivals{refused: n}, now)
	}
}

func (a *Allocator) record(s source, n arrivals, now time.Time) {
	a.expire(now)
	slot := &a.slots[a.lastSlot%int64(windowSlot)]
	if *slot == nil {
		*slot = make(map[source]arrivals)
	}
	for _, m := range [...]map[source]arrivals{*slot, a.totals} {
		sum := m[s]
		sum.admitted += n.admitted
		sum.refused += n.refused
		m[s] = sum
	}
}

// expire removes the arrivals that have left the window.
func (a *Allocator) expire(now time.Time) {
	current := slotNumber(now)
	for steps := 0; a.lastSlot < current && steps < windowSlot; steps++ {
		a.lastSlot++
		slot := &a.slots[a.lastSlot%int64(windowSlot)]
		for s, n := range *slot {
			sum := a.totals[s]
			sum.admitted -= n.admitted
			sum.refused -= n.refused
			if sum == (arrivals{}) {
				delete(a.totals, s)
			} else {
				a.totals[s] = sum
			}
		}
		*slot = nil
	}
	a.lastSlot = max(a.lastSlot, current)
}

// Limited reports whether a tenant was limited by the last call of Allocate.
func (a *Allocator) Limited(tenant w.TenantName) bool {
	_, ok := a.gains[tenant]
	return ok
}

// Allocate returns the allowances of each instance for the tenants under pressure,
// ordered by tenant. It is called once per update.
func (a *Allocator) Allocate(tenants []TenantLoad, instances []w.InstanceID, now time.Time) map[w.InstanceID][]linker.Allowance {
	a.expire(now)
	limited := a.selectLimited(tenants, now)
	gains := make(map[w.TenantName]float64, len(limited))
	out := make(map[w.InstanceID][]linker.Allowance, len(instances))
	for i := range limited {
		t := &limited[i]
		sum := a.sum(t.Name, instances)
		gains[t.Name] = a.gain(t, sum)
		applied := gains[t.Name]
		if float64(sum.admitted+sum.refused) <= t.Weight*window.Seconds() {
			// Only excess that was accepted before waits. The split rate would refuse
			// some of the jobs to which the tenant is entitled.
			applied = maxGain
		}
		a.split(t, applied, instances, out)
	}
	a.gains = gains
	return out
}

// selectLimited returns the tenants under pressure, ordered by name. If there are more
// than maxLimited, it returns those with the most waiting excess.
func (a *Allocator) selectLimited(tenants []TenantLoad, now time.Time) []TenantLoad {
	if now.Sub(a.startedAt) < learningTime {
		return nil
	}
	var out []TenantLoad
	for i := range tenants {
		if tenants[i].UnderPressure() {
			out = append(out, tenants[i])
		}
	}
	if len(out) > maxLimited {
		slices.SortFunc(out, func(x, y TenantLoad) int {
			return cmp.Or(cmp.Compare(y.WaitingExcess, x.WaitingExcess), cmp.Compare(x.Name, y.Name))
		})
		out = out[:maxLimited]
	}
	slices.SortFunc(out, func(x, y TenantLoad) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// sum returns the arrivals of a tenant at all instances.
func (a *Allocator) sum(tenant w.TenantName, instances []w.InstanceID) arrivals {
	var out arrivals
	for _, instance := range instances {
		n := a.totals[source{tenant, instance}]
		out.admitted += n.admitted
		out.refused += n.refused
	}
	return out
}

// gain returns the factor by which the allowances of a tenant are raised or lowered, so
// that the jobs admitted by all instances together approach its rate. Without it,
// a tenant that sends 1.5 times its rate to 42 instances got 0.87 of it: a bucket of one
// job loses what it would gain while it is full. The lower bounds of allowances add up
// to the contrary. The gain stays while the tenant sends less than its rate, so that it
// is not given too much when it sends more again.
func (a *Allocator) gain(t *TenantLoad, sum arrivals) float64 {
	g, ok := a.gains[t.Name]
	if !ok {
		return 1
	}
	if t.Weight <= 0 || float64(sum.admitted+sum.refused) <= t.Weight*window.Seconds() {
		return g
	}
	ratio := t.Weight * window.Seconds() / math.Max(1, float64(sum.admitted))
	return min(maxGain, max(minGain, g*math.Pow(ratio, gainExponent)))
}

// split adds the allowances of a tenant to out. Each instance gets the part of the
// tenant's rate that corresponds to its part of the arrivals, or equal parts if there
// were none.
func (a *Allocator) split(t *TenantLoad, gain float64, instances []w.InstanceID, out map[w.InstanceID][]linker.Allowance) {
	sum := a.sum(t.Name, instances)
	total := sum.admitted + sum.refused
	for _, instance := range instances {
		part := 1 / float64(len(instances))
		if total > 0 {
			n := a.totals[source{t.Name, instance}]
			part = float64(n.admitted+n.refused) / float64(total)
		}
		rate := max(minRate, part*gain*max(0, t.Weight))
		out[instance] = append(out[instance], linker.Allowance{Tenant: t.Name, JobsPerSec: rate})
	}
}
