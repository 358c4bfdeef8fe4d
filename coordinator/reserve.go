package coordinator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reservePeriod is the time between two choices of reserved targets.
	reservePeriod = 100 * time.Millisecond
	// demandWindow is the time for which a peak of urgent demand is expected to
	// come again.
	demandWindow = 4 * time.Second
	// maxReserved is the largest share of a service's capacity that is reserved.
	maxReserved = 0.5
	// scarceShare is the share of a service's capacity in use below which other
	// work may use reserved targets too.
	scarceShare = 0.6
)

// demand keeps the peak of a quantity over the last demandWindow.
type demand struct {
	peaks  [4]int64
	bucket int64
}

// observe notes the present value and returns the peak.
func (d *demand) observe(now time.Time, value int64) int64 {
	n := int64(len(d.peaks))
	slot := now.UnixNano() / (int64(demandWindow) / n)
	for skip := min(n, slot-d.bucket); skip > 0; skip-- {
		d.peaks[(slot-skip+1)%n] = 0
	}
	d.bucket = max(d.bucket, slot)
	d.peaks[d.bucket%n] = max(d.peaks[d.bucket%n], value)
	return slices.Max(d.peaks[:])
}

// reserve keeps some targets of a service free of all but its most urgent work.
// It answers small urgent work that arrives while longer work takes all room:
// without it, room that urgent work leaves is taken at once and has to be won
// back by stopping runs, which takes longer than the goal of urgent work allows.
// Late work does not count: the backlog of an outage does not come again, and would
// keep half of a service empty after it.
type reserve struct {
	queues    int
	priority  int  // priority of the most urgent queues
	mixed     bool // there are less urgent ones
	demand    demand
	urgentCPU int64 // CPU of urgent runs and waiting tasks that are in time
	usedCPU   int64 // CPU of all runs
	totalCPU  int64 // CPU of the usable targets
	targets   []*target
}

// updateReserves chooses the reserved targets of each service.
func (c *Coordinator) updateReserves() {
	if c.now.Before(c.reserveDue) {
		return
	}
	c.reserveDue = c.now.Add(reservePeriod)
	for _, r := range c.reserves {
		r.queues, r.mixed, r.urgentCPU, r.usedCPU, r.totalCPU, r.targets = 0, false, 0, 0, 0, r.targets[:0]
	}
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		r := c.reserves[q.Service]
		if r == nil {
			r = new(reserve)
			c.reserves[q.Service] = r
		}
		if r.queues == 0 {
			r.priority = q.Priority
		}
		r.queues++
		r.mixed = r.mixed || q.Priority != r.priority
		r.priority = min(r.priority, q.Priority)
	}
	for _, t := range c.sortedTargets {
		t.reserved = false
		r := c.reserves[t.Service]
		if r == nil || !t.usableNow {
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
	for _, s := range c.activeSteps {
		if r := c.reserves[c.service(s.job)]; r != nil && s.lateness == inTime && c.priority(s.job) == r.priority {
			r.urgentCPU += int64(s.waiting) * s.Demand().CPU
		}
	}
	for _, r := range c.reserves {
		r.choose(r.demand.observe(c.now, r.urgentCPU))
	}
}

// choose reserves targets that can hold the demand. It takes whole racks, so
// that the others can hold work that needs one rack.
func (r *reserve) choose(peak int64) {
	if !r.mixed || float64(r.usedCPU) < scarceShare*float64(r.totalCPU) {
		return
	}
	slices.SortFunc(r.targets, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.rack(), b.rack()), cmp.Compare(a.ID, b.ID))
	})
	left := min(peak, int64(maxReserved*float64(r.totalCPU)))
	for _, t := range r.targets {
		if left < t.Capacity.CPU {
			return
		}
		t.reserved = true
		left -= t.Capacity.CPU
	}
}

// reservedFor reports whether a reserved target may run a step.
func (c *Coordinator) reservedFor(s *step, t *target) bool {
	r := c.reserves[t.Service]
	return !t.reserved || r == nil || c.priority(s.job) == r.priority
}
