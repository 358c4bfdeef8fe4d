package coordinator

import (
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// bookingSlack is added to the planned start of a gang for the way of answers
	// and the length of a round. The room of a gang that has not started by then
	// is given back.
	bookingSlack = 250 * time.Millisecond
	// maxBooked is the share of the usable capacity that gangs may keep at the
	// same time.
	maxBooked = 0.25
	// longestLead is the longest time before a planned start for which room is
	// kept.
	longestLead = 2 * time.Second
	// leadStep is the time between the starts that are considered.
	leadStep = 500 * time.Millisecond
	// planPeriod is the longest time between two attempts to place a gang, and
	// bookedPeriod that of a gang whose room is booked.
	planPeriod   = 100 * time.Millisecond
	bookedPeriod = 20 * time.Millisecond
	// backfillMargin is the factor by which declared run times may be too short
	// for work that has to end before a booking begins.
	backfillMargin = 1.5
	// leastProgress is the progress in percent from which the end of a run is
	// estimated by it.
	leastProgress = 5
)

// booking is room on a target that is kept for a gang until its planned start.
type booking struct {
	step      *step
	resources w.Resources
	start     time.Time
	until     time.Time
}

// book keeps the room of a plan for a gang until its start. It replaces an
// earlier booking of the gang. It answers gangs of which each found some room
// that smaller work took again before their tickets were there, so that none had
// all its room at any moment.
func (c *Coordinator) book(s *step, p []gangShare, start, till time.Time) {
	c.unbook(s)
	s.bookedAt = c.now
	room := s.Demand()
	for _, sh := range p {
		b := booking{step: s, start: start, until: till}
		for range sh.tasks {
			b.resources = b.resources.Add(room)
		}
		sh.target.bookings = append(sh.target.bookings, b)
		s.bookedTargets = append(s.bookedTargets, sh.target)
		c.bookedCPU += b.resources.CPU
	}
}

// unbook gives back the room that is kept for a gang.
func (c *Coordinator) unbook(s *step) {
	if len(s.bookedTargets) == 0 {
		return
	}
	for _, t := range s.bookedTargets {
		t.bookings = slices.DeleteFunc(t.bookings, func(b booking) bool {
			if b.step == s {
				c.bookedCPU -= b.resources.CPU
			}
			return b.step == s
		})
	}
	s.bookedTargets = nil
	c.generation++
}

// expireBookings gives back room whose gang has not started in time.
func (c *Coordinator) expireBookings() {
	for _, t := range c.sortedTargets {
		for i := 0; i < len(t.bookings); {
			b := t.bookings[i]
			if !c.now.After(b.until) {
				i++
				continue
			}
			c.Meter.Count("booking", "expired")
			c.Log.Info("booking expired", "step", b.step.name, "targets", len(b.step.bookedTargets), "tasks", b.step.Count,
				"planned", c.now.Sub(b.start), "asking", b.step.openCalls)
			c.unbook(b.step)
			i = 0
		}
	}
}

// bookedFor returns the room of a target that is kept for gangs other than the
// step. Work that ends before their start may use it.
func (c *Coordinator) bookedFor(s *step, t *target) w.Resources {
	var r w.Resources
	for i := range t.bookings {
		b := &t.bookings[i]
		if b.step != s && !c.endsBefore(s, b.start) {
			r = r.Add(b.resources)
		}
	}
	return r
}

// endsBefore reports whether a task of a step that starts now ends before a time,
// with some margin.
func (c *Coordinator) endsBefore(s *step, at time.Time) bool {
	if s.Gang || s.Lasting || s.Estimate <= 0 {
		return false
	}
	if c.now.Sub(s.runTimeEstimatedAt) >= planPeriod {
		s.runTimeEstimatedAt = c.now
		s.expectedRunTime = time.Duration(backfillMargin * c.runRatio(s.job.Queue) * float64(s.Estimate))
	}
	return c.now.Add(s.expectedRunTime).Before(at)
}

// freeFor is the room that a target has for a step now. Room that is booked for
// others is taken from what stops will free first.
func (c *Coordinator) freeFor(s *step, t *target) w.Resources {
	free := t.free()
	if len(t.bookings) == 0 {
		return free
	}
	rest := free.Add(t.releasing).Sub(c.bookedFor(s, t))
	return w.Resources{CPU: min(free.CPU, rest.CPU), Mem: min(free.Mem, rest.Mem), GPU: min(free.GPU, rest.GPU)}
}

// withStops is the room that a target has for a step once less important work has
// been stopped.
func (c *Coordinator) withStops(s *step, t *target) w.Resources {
	room := t.free().Add(t.releasing).Add(c.preemptible(s, t))
	if len(t.bookings) > 0 {
		room = room.Sub(c.bookedFor(s, t))
	}
	return room
}

// roomAt is the room that a target is expected to have for a step at a time, also
// by runs that end until then.
func (c *Coordinator) roomAt(s *step, t *target, at time.Time) w.Resources {
	room := c.withStops(s, t)
	for _, sl := range t.slots {
		if sl.step != nil && !sl.stopping && !c.stoppable(s, sl) && c.expectedEnd(sl).Before(at) {
			room = room.Add(sl.resources)
		}
	}
	return room
}

// expectedEnd estimates when a run ends, by its progress if that says enough. The
// members of a gang end with the slowest.
func (c *Coordinator) expectedEnd(sl *slot) time.Time {
	s := sl.step
	if !s.Gang {
		return c.taskEnd(s, sl.index)
	}
	if c.now.Sub(s.endEstimatedAt) >= planPeriod {
		s.endEstimatedAt, s.expectedEnd = c.now, time.Time{}
		for i := range s.tasks {
			s.expectedEnd = later(s.expectedEnd, c.taskEnd(s, i))
		}
	}
	return s.expectedEnd
}

func (c *Coordinator) taskEnd(s *step, i int) time.Time {
	tk := &s.tasks[i]
	switch {
	case s.Lasting:
	case tk.phase == running && tk.percent >= leastProgress && tk.progressedAt.After(tk.phaseSince):
		return tk.phaseSince.Add(tk.progressedAt.Sub(tk.phaseSince) * 100 / time.Duration(tk.percent))
	case s.Estimate > 0:
		return later(tk.phaseSince.Add(time.Duration(c.runRatio(s.job.Queue)*float64(s.Estimate))), c.now)
	}
	return c.now.Add(2 * longestLead) // unknown
}

// planAhead returns the earliest start at which permitted targets are expected to
// have room for a gang, and its plan.
func (c *Coordinator) planAhead(s *step, among []*target, permitted func(*target) bool, lead time.Duration) ([]gangShare, time.Time) {
	planAt := func(at time.Time) []gangShare {
		return c.plan(s, among, permitted, func(t *target) w.Resources { return c.roomAt(s, t, at) })
	}
	last := c.now.Add(lead + longestLead)
	found := planAt(last)
	if found == nil {
		return nil, last
	}
	for at := c.now.Add(lead); at.Before(last); at = at.Add(leadStep) {
		if p := planAt(at); p != nil {
			return p, at
		}
	}
	return found, last
}

// mayBook reports whether further room may be kept for gangs.
func (c *Coordinator) mayBook(s *step) bool {
	need := int64(s.Count) * s.Demand().CPU
	return len(s.bookedTargets) > 0 || c.bookedCPU == 0 || float64(c.bookedCPU+need) <= maxBooked*float64(c.usableCPU)
}

// ticketLead is the time until all tickets of a plan can be valid, with as many
// names in each of the parallel calls as cost half of it.
func ticketLead(cost *w.AdviceTiming) time.Duration {
	return cost.BaseLatency + time.Duration(namedAtOnce(cost))*cost.LatencyPerTarget + ticketMargin
}

// requestWide asks about the targets of a wide step in parallel calls of several
// instances. Their tickets are valid at the same time: those of one call after
// another had run out when the third was answered.
func (c *Coordinator) requestWide(s *step, cost *w.AdviceTiming, targets []*target) {
	lanes := c.freeLanes(classOf(cost.BaseLatency))
	if len(targets) == 0 || lanes <= 0 {
		return
	}
	targets = targets[:min(len(targets), lanes*maxNamed)]
	calls := min(lanes, (len(targets)+namedAtOnce(cost)-1)/max(1, namedAtOnce(cost)))
	per := (len(targets) + calls - 1) / max(1, calls)
	for part := range slices.Chunk(targets, min(maxNamed, max(1, per))) {
		c.request(s, cost, part)
	}
	s.namedTargets = targets
}
