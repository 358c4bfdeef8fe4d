package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// gangMargin is the share of targets named for a gang beyond those expected to be
// needed. A single missing place holds a gang up.
const gangMargin = 2.5

// share is a part of a gang on one target.
type gangShare struct {
	target   *target
	tasks    int
	lostWork float64 // work that stops for it throw away, in core-seconds for each task
}

// plan spreads a gang over targets with the given room, or returns nil. It takes
// targets first where room for a task costs least of other work.
func (c *Coordinator) plan(s *step, among []*target, fits func(*target) bool, room func(*target) w.Resources) []gangShare {
	var list []gangShare
	sum := 0
	for _, t := range among {
		if !fits(t) || !c.allowed(s, t) {
			continue
		}
		if n := s.times(t, room(t)); n > 0 {
			list = append(list, gangShare{target: t, tasks: n})
			sum += n
		}
	}
	if sum < s.Count {
		return nil
	}
	if s.OneRack {
		if one := oneRack(list, s.Count); one != nil {
			list = one
		}
	}
	for i := range list {
		if sh := &list[i]; s.times(sh.target, c.freeFor(s, sh.target)) < sh.tasks {
			_, lost := c.victims(s, sh.target, sh.tasks)
			sh.lostWork = lost / float64(sh.tasks)
		}
	}
	slices.SortStableFunc(list, func(a, b gangShare) int {
		return cmp.Or(cmp.Compare(a.target.health.consecutiveFailures, b.target.health.consecutiveFailures), cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(b.tasks, a.tasks))
	})
	left := s.Count
	for i := range list {
		list[i].tasks = min(list[i].tasks, left)
		left -= list[i].tasks
		if left == 0 {
			return list[:i+1]
		}
	}
	return nil
}

// oneRack returns the targets of the rack with the most room, if it holds n.
func oneRack(list []gangShare, n int) []gangShare {
	sums := make(map[string]int)
	best := ""
	for _, sh := range list {
		r := sh.target.rack()
		sums[r] += sh.tasks
		if sums[r] > sums[best] || best == "" {
			best = r
		}
	}
	if sums[best] < n {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(sh gangShare) bool { return sh.target.rack() != best })
}

// placeGang starts all tasks of a step at once, or none. A gang that can't start
// yet books the room of permitted targets for the time at which it is expected to
// be free and all its tickets valid.
func (c *Coordinator) placeGang(s *step, cost *w.AdviceTiming) {
	if s.waiting < s.Count || c.now.Sub(s.plannedAt) < c.gangPeriod(s, cost) {
		return
	}
	s.plannedAt = c.now
	among := c.candidates(s, cost != nil)
	valid := func(spare time.Duration) func(*target) bool {
		return func(t *target) bool { return cost == nil || c.holds(s, t, spare) }
	}
	if p := c.plan(s, among, valid(0), func(t *target) w.Resources { return c.freeFor(s, t) }); p != nil {
		c.startGang(s, p)
		return
	}
	if c.now.Before(s.nextPreemption) {
		return
	}
	withStops := func(t *target) w.Resources { return c.withStops(s, t) }
	if p := c.plan(s, among, valid(c.StopTimeout+ticketMargin), withStops); p != nil {
		for _, sh := range p {
			if ids, lost := c.victims(s, sh.target, sh.tasks); !math.IsInf(lost, 1) {
				c.preemptSlots(s, sh.target, ids)
			}
		}
		start := c.now.Add(c.StopTimeout)
		c.book(s, p, start, start.Add(holdSlack))
		s.nextPreemption = c.now.Add(c.StopTimeout + holdSlack/2)
		return
	}
	if cost != nil {
		c.prepareGang(s, cost, withStops)
	}
}

// gangPeriod is the time between two attempts to place a gang. Room comes free a
// hundred times a second in a large cell, and a plan looks at hundreds of targets.
func (c *Coordinator) gangPeriod(s *step, cost *w.AdviceTiming) time.Duration {
	switch {
	case cost == nil:
		return 0
	case len(s.bookedTargets) > 0:
		return min(bookedPeriod, ticketLead(cost)/8)
	}
	return min(planPeriod, ticketLead(cost)/8)
}

// prepareGang books room for a gang and asks for the tickets or the targets that
// it lacks.
func (c *Coordinator) prepareGang(s *step, cost *w.AdviceTiming, room func(*target) w.Resources) {
	if c.now.Before(s.ticketsDue) || (len(s.bookedTargets) > 0 && c.now.Sub(s.bookedAt) < planPeriod) {
		// Tickets are on their way, or the last plan is still good.
		return
	}
	class := classOf(cost.BaseLatency)
	lead := ticketLead(cost)
	permitted := func(t *target) bool { return s.good(t) }
	if c.mayBook(s) {
		if p, at := c.planAhead(s, s.permitted, permitted, lead); p != nil {
			if len(s.bookedTargets) == 0 {
				c.Meter.Count("booking", "made")
			}
			c.book(s, p, at, at.Add(bookingSlack))
			if at.Sub(c.now) <= lead && c.freeLanes(class) > 0 {
				s.ticketsDue = c.now.Add(lead)
				c.requestWide(s, cost, c.withSpares(s, cost, p, room))
			}
			return
		}
	}
	if s.openCalls > 0 || c.freeLanes(class) <= 0 {
		return
	}
	if len(s.advice) == 0 || c.lanesToSpare(class) {
		// A call names targets as they are when a lane is free, not when the gang
		// began to wait for one: their room changes faster than calls take.
		c.requestWide(s, cost, c.gangNames(s, cost, room))
	}
}

// withSpares returns the targets of a plan and some more in case one of them is
// lost before the tickets arrive.
func (c *Coordinator) withSpares(s *step, cost *w.AdviceTiming, p []gangShare, room func(*target) w.Resources) []*target {
	var ts []*target
	in := make(map[*target]bool)
	for _, sh := range p {
		ts = append(ts, sh.target)
		in[sh.target] = true
	}
	for _, t := range s.permitted {
		if len(ts) >= max(len(p)+len(p)/4+1, namedAtOnce(cost)) {
			break
		}
		if !in[t] && s.good(t) && c.allowed(s, t) && s.times(t, room(t)) > 0 {
			ts = append(ts, t)
		}
	}
	return ts
}

// gangNames returns the targets to ask about for a gang: as many as are expected
// to hold it, those with most room first.
func (c *Coordinator) gangNames(s *step, cost *w.AdviceTiming, room func(*target) w.Resources) []*target {
	var list []gangShare
	for _, t := range c.fresh(s) {
		list = append(list, gangShare{target: t, tasks: s.times(t, room(t))})
	}
	slices.SortStableFunc(list, func(a, b gangShare) int { return cmp.Compare(b.tasks, a.tasks) })
	want := float64(s.Count) * gangMargin / c.shareGood(s.job.Queue)
	for _, t := range s.permitted {
		if c.allowed(s, t) {
			want -= gangMargin * float64(s.times(t, room(t)))
		}
	}
	var names []*target
	for _, f := range list {
		if want <= 0 && len(names) >= namedAtOnce(cost) {
			break
		}
		want -= float64(f.tasks)
		names = append(names, f.target)
	}
	return names
}

// startGang starts all tasks with one run id.
func (c *Coordinator) startGang(s *step, p []gangShare) {
	c.release(s)
	c.lastRun++
	// All members carry the same checkpoint.
	saved := ""
	for i := range s.tasks {
		if s.tasks[i].checkpoint > saved {
			saved = s.tasks[i].checkpoint
		}
	}
	i := 0
	for _, sh := range p {
		for range sh.tasks {
			s.tasks[i].checkpoint = saved
			c.startRun(s, i, sh.target, c.lastRun)
			i++
		}
	}
}
