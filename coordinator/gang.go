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
type share struct {
	t    *target
	n    int
	lost float64 // work that stops for it throw away, in core-seconds for each task
}

// plan spreads a gang over targets with the given room, or returns nil. It takes
// targets first where room for a task costs least of other work.
func (c *Coordinator) plan(s *step, among []*target, fits func(*target) bool, room func(*target) w.Resources) []share {
	var list []share
	sum := 0
	for _, t := range among {
		if !fits(t) || !c.allowed(s, t) {
			continue
		}
		if n := s.times(t, room(t)); n > 0 {
			list = append(list, share{t: t, n: n})
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
		if sh := &list[i]; s.times(sh.t, c.freeFor(s, sh.t)) < sh.n {
			_, lost := c.victims(s, sh.t, sh.n)
			sh.lost = lost / float64(sh.n)
		}
	}
	slices.SortStableFunc(list, func(a, b share) int {
		return cmp.Or(cmp.Compare(a.t.health.streak, b.t.health.streak), cmp.Compare(a.lost, b.lost), cmp.Compare(b.n, a.n))
	})
	left := s.Count
	for i := range list {
		list[i].n = min(list[i].n, left)
		left -= list[i].n
		if left == 0 {
			return list[:i+1]
		}
	}
	return nil
}

// oneRack returns the targets of the rack with the most room, if it holds n.
func oneRack(list []share, n int) []share {
	sums := make(map[string]int)
	best := ""
	for _, sh := range list {
		r := sh.t.rack()
		sums[r] += sh.n
		if sums[r] > sums[best] || best == "" {
			best = r
		}
	}
	if sums[best] < n {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(sh share) bool { return sh.t.rack() != best })
}

// placeGang starts all tasks of a step at once, or none. A gang that can't start
// yet books the room of permitted targets for the time at which it is expected to
// be free and all its tickets valid.
func (c *Coordinator) placeGang(s *step, cost *w.AdviceTiming) {
	if s.waiting < s.Count || c.now.Sub(s.planned) < c.gangPeriod(s, cost) {
		return
	}
	s.planned = c.now
	among := c.candidates(s, cost != nil)
	valid := func(spare time.Duration) func(*target) bool {
		return func(t *target) bool { return cost == nil || c.holds(s, t, spare) }
	}
	if p := c.plan(s, among, valid(0), func(t *target) w.Resources { return c.freeFor(s, t) }); p != nil {
		c.startGang(s, p)
		return
	}
	if c.now.Before(s.preempt) {
		return
	}
	withStops := func(t *target) w.Resources { return c.withStops(s, t) }
	if p := c.plan(s, among, valid(c.StopTimeout+ticketMargin), withStops); p != nil {
		for _, sh := range p {
			if ids, lost := c.victims(s, sh.t, sh.n); !math.IsInf(lost, 1) {
				c.preemptSlots(s, sh.t, ids)
			}
		}
		start := c.now.Add(c.StopTimeout)
		c.book(s, p, start, start.Add(holdSlack))
		s.preempt = c.now.Add(c.StopTimeout + holdSlack/2)
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
	case len(s.booked) > 0:
		return min(bookedPeriod, ticketLead(cost)/8)
	}
	return min(planPeriod, ticketLead(cost)/8)
}

// prepareGang books room for a gang and asks for the tickets or the targets that
// it lacks.
func (c *Coordinator) prepareGang(s *step, cost *w.AdviceTiming, room func(*target) w.Resources) {
	if c.now.Before(s.renewal) || (len(s.booked) > 0 && c.now.Sub(s.bookedAt) < planPeriod) {
		// Tickets are on their way, or the last plan is still good.
		return
	}
	class := classOf(cost.BaseLatency)
	lead := ticketLead(cost)
	permitted := func(t *target) bool { return s.good(t) }
	if c.mayBook(s) {
		if p, at := c.planAhead(s, s.permitted, permitted, lead); p != nil {
			if len(s.booked) == 0 {
				c.Meter.Count("booking", "made")
			}
			c.book(s, p, at, at.Add(bookingSlack))
			if at.Sub(c.now) <= lead && c.freeLanes(class) > 0 {
				s.renewal = c.now.Add(lead)
				c.requestWide(s, cost, c.withSpares(s, cost, p, room))
			}
			return
		}
	}
	if s.asking > 0 || c.freeLanes(class) <= 0 {
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
func (c *Coordinator) withSpares(s *step, cost *w.AdviceTiming, p []share, room func(*target) w.Resources) []*target {
	var ts []*target
	in := make(map[*target]bool)
	for _, sh := range p {
		ts = append(ts, sh.t)
		in[sh.t] = true
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
	var list []share
	for _, t := range c.fresh(s) {
		list = append(list, share{t: t, n: s.times(t, room(t))})
	}
	slices.SortStableFunc(list, func(a, b share) int { return cmp.Compare(b.n, a.n) })
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
		want -= float64(f.n)
		names = append(names, f.t)
	}
	return names
}

// startGang starts all tasks with one run id.
func (c *Coordinator) startGang(s *step, p []share) {
	c.release(s)
	c.nextRun++
	// All members carry the same checkpoint.
	saved := ""
	for i := range s.tasks {
		if s.tasks[i].saved > saved {
			saved = s.tasks[i].saved
		}
	}
	i := 0
	for _, sh := range p {
		for range sh.n {
			s.tasks[i].saved = saved
			c.startRun(s, i, sh.t, c.nextRun)
			i++
		}
	}
}
