package coordinator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reserveUpdatePeriod is the time between two updates of the reserved targets.
	reserveUpdatePeriod = 100 * time.Millisecond
	// demandWindow is the time within which a peak of urgent demand is expected to
	// recur.
	demandWindow = 4 * time.Second
	// maxReservedShare is the maximum share of a service's CPU capacity that is
	// reserved.
	maxReservedShare = 0.5
	// scarcityThreshold is the share of a service's CPU capacity in use below which no
	// targets are reserved.
	scarcityThreshold = 0.6
)

// demand tracks the peak of a quantity over the last demandWindow in a ring of
// intervals.
type demand struct {
	peaks  [4]int64
	bucket int64 // number of the current interval
}

// observe records the current value and returns the peak.
func (d *demand) observe(now time.Time, value int64) int64 {
	n := int64(len(d.peaks))
	bucket := now.UnixNano() / (int64(demandWindow) / n)
	for skip := min(n, bucket-d.bucket); skip > 0; skip-- {
		d.peaks[(bucket-skip+1)%n] = 0
	}
	d.bucket = max(d.bucket, bucket)
	d.peaks[d.bucket%n] = max(d.peaks[d.bucket%n], value)
	return slices.Max(d.peaks[:])
}

// reserve describes the targets of a service that only tasks of its highest priority may
// use. Without reserved targets, long tasks immediately take the resources that urgent
// tasks free, and regaining them by preemption takes longer than the goal of urgent jobs
// allows. Late tasks do not count as demand: the backlog of an outage does not recur,
// and would keep half of a service empty after the outage.
type reserve struct {
	queueCount int  // queues of the service
	priority   int  // highest priority of the service's queues, which has the lowest value
	mixed      bool // some queues have a lower priority
	demand     demand
	urgentCPU  int64     // CPU of the highest-priority running and waiting tasks that are in time
	usedCPU    int64     // CPU used on the usable targets
	totalCPU   int64     // CPU capacity of the usable targets
	targets    []*target // usable targets
}

// updateReserves selects the reserved targets of each service.
func (c *Coordinator) updateReserves() {
	if c.now.Before(c.reserveDue) {
		return
	}
	c.reserveDue = c.now.Add(reserveUpdatePeriod)
	for _, r := range c.reserves {
		r.queueCount, r.mixed, r.urgentCPU, r.usedCPU, r.totalCPU, r.targets = 0, false, 0, 0, 0, r.targets[:0]
	}
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		r := c.reserves[q.Service]
		if r == nil {
			r = new(reserve)
			c.reserves[q.Service] = r
		}
		if r.queueCount == 0 {
			r.priority = q.Priority
		}
		r.queueCount++
		r.mixed = r.mixed || q.Priority != r.priority
		r.priority = min(r.priority, q.Priority)
	}
	for _, t := range c.sortedTargets {
		t.reserved = false
		r := c.reserves[t.Service]
		if r == nil || !t.usableInRound {
			continue
		}
		r.targets = append(r.targets, t)
		r.totalCPU += t.Capacity.CPU
		r.usedCPU += t.used.CPU
		for _, sl := range t.slots {
			if sl.step != nil && sl.step.lateness == inTime && c.priority(sl.step.job) == r.priority {
				r.urgentCPU += sl.resources.CPU
			}
		}
	}
	for _, s := range c.backlog {
		if r := c.reserves[c.serviceOf(s.job)]; r != nil && s.lateness == inTime && c.priority(s.job) == r.priority {
			r.urgentCPU += int64(c.urgentDemand(s)) * s.Demand().CPU
		}
	}
	for _, r := range c.reserves {
		r.selectTargets(r.demand.observe(c.now, r.urgentCPU))
	}
}

// selectTargets reserves targets for the peak demand. It reserves rack by rack, so that
// the other racks remain free of reserved targets for steps that need a single rack. Slow
// targets come last, since urgent tasks have little slack.
func (r *reserve) selectTargets(peak int64) {
	if !r.mixed || float64(r.usedCPU) < scarcityThreshold*float64(r.totalCPU) {
		return
	}
	slices.SortFunc(r.targets, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.speedRank(), b.speedRank()), cmp.Compare(a.rack(), b.rack()), cmp.Compare(a.ID, b.ID))
	})
	left := min(peak, int64(maxReservedShare*float64(r.totalCPU)))
	for _, t := range r.targets {
		if left < t.Capacity.CPU {
			return
		}
		t.reserved = true
		left -= t.Capacity.CPU
	}
}

// reserveAdmits reports whether a target is unreserved or the step has the priority that
// it is reserved for.
func (c *Coordinator) reserveAdmits(s *step, t *target) bool {
	r := c.reserves[t.Service]
	return !t.reserved || r == nil || c.priority(s.job) == r.priority
}
