package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// retryPeriod is the longest time between two attempts to place a step.
	retryPeriod = 100 * time.Millisecond
	// holdSlack is added to the time of a stop for which room is reserved.
	holdSlack = 300 * time.Millisecond
	// askMargin is the share of targets named beyond those expected to be
	// needed.
	askMargin = 1.4
	// gangMargin is the same for gangs, which a single missing place holds up.
	gangMargin = 2.5
	// leastKnownGood is the number of permitted targets that a waiting step
	// wants to know.
	leastKnownGood = 3
	// heldPenalty makes more urgent work take the room that a stopped run leaves
	// to another step only if there is no other.
	heldPenalty = 4
)

// place starts what can be started, by priority and then by age.
func (c *Coordinator) place() {
	if c.cfg == nil || len(c.order) == 0 || c.suspended {
		return
	}
	kept := c.active[:0]
	for _, s := range c.active {
		if s.waiting == 0 || s.job.state.Final() {
			s.active = false
			c.release(s)
			continue
		}
		kept = append(kept, s)
	}
	for i := len(kept); i < len(c.active); i++ {
		c.active[i] = nil
	}
	c.active = kept
	if c.unsorted {
		c.unsorted = false
		slices.SortStableFunc(c.active, func(a, b *step) int {
			return cmp.Or(
				cmp.Compare(c.priority(a.job), c.priority(b.job)),
				a.openAt.Compare(b.openAt),
			)
		})
	}
	c.survey()
	round := c.generation + int64(c.now.Sub(c.began)/retryPeriod)
	for _, s := range c.active {
		if s.tried == round || (!s.job.fresh && len(c.unread) > 0) {
			continue
		}
		s.tried = round
		c.placeStep(s)
	}
}

// survey notes for a round of placement which targets may be used, the most that
// any of them has free, and how urgent the least urgent of their runs is. What
// the round itself starts only lowers the room.
func (c *Coordinator) survey() {
	c.most, c.leastUrgent = w.Resources{}, math.MinInt
	for _, t := range c.order {
		t.open = c.usable(t)
		if !t.open {
			continue
		}
		free := t.free()
		c.most = w.Resources{CPU: max(c.most.CPU, free.CPU), Mem: max(c.most.Mem, free.Mem), GPU: max(c.most.GPU, free.GPU)}
		c.leastUrgent = max(c.leastUrgent, t.leastUrgent)
	}
}

// candidates returns the targets that may get a task of the step. The policy of a
// queue leaves few of them.
func (c *Coordinator) candidates(s *step, advice bool) []*target {
	if advice {
		return s.permitted
	}
	return c.order
}

func (c *Coordinator) placeStep(s *step) {
	q := c.queue(s.job)
	var cost *w.AdviceCost
	if q != nil {
		cost = q.Advice
	}
	if s.Gang && s.Count > 1 {
		c.placeGang(s, cost)
		return
	}
	for i := range s.tasks {
		if s.tasks[i].phase != waiting {
			continue
		}
		if !s.Room().Fits(c.most) {
			break
		}
		t := c.best(s, i, cost != nil)
		if t == nil {
			break
		}
		c.start(s, i, t)
	}
	if s.waiting == 0 {
		return
	}
	if cost != nil {
		c.askFor(s, cost, s.waiting)
	}
	c.preemptFor(s, cost != nil)
}

// allowed reports whether a target may run a task of the step at all.
func (c *Coordinator) allowed(s *step, t *target) bool {
	if (s.Fills && t.serving > 0) || (s.TailMs > 0 && t.fills > 0) {
		// Work that fills disturbs tasks that serve by amounts that change within
		// seconds, so the two don't share a target.
		return false
	}
	return t.open && t.Service == c.service(s.job) && c.reservedFor(s, t) &&
		(s.Label == "" || slices.Contains(t.Labels, s.Label)) && !c.blocked(s, t)
}

func (c *Coordinator) service(j *job) string {
	if q := c.queue(j); q != nil {
		return q.Service
	}
	return j.Service
}

// blocked reports whether the room of a target is reserved for other work.
func (c *Coordinator) blocked(s *step, t *target) bool {
	return c.heldByOther(s, t) && (t.held.Gang || c.priority(t.held.job) <= c.priority(s.job))
}

// heldByOther reports whether the room of a target is reserved for another step.
func (c *Coordinator) heldByOther(s *step, t *target) bool {
	return t.held != nil && t.held != s && c.now.Before(t.heldTill)
}

// spare is the room of a target as far as no other step waits for it.
func (c *Coordinator) spare(s *step, t *target) w.Resources {
	if c.heldByOther(s, t) {
		return w.Resources{}
	}
	return t.free()
}

// byRoom sorts targets by the room that they have to spare, most first.
func (c *Coordinator) byRoom(s *step, list []*target) {
	slices.SortStableFunc(list, func(a, b *target) int {
		return cmp.Compare(c.spare(s, b).CPU, c.spare(s, a).CPU)
	})
}

// count returns how many tasks of the step a target runs.
func (s *step) count(t *target) int {
	n := 0
	for i := range s.tasks {
		if p := s.tasks[i].phase; s.tasks[i].target == t && p != waiting && p != finished {
			n++
		}
	}
	return n
}

// times returns how many further tasks of the step fit into the room.
func (s *step) times(t *target, room w.Resources) int {
	limit := s.Count
	if s.Spread > 0 {
		limit = s.Spread - s.count(t)
	}
	return s.Room().Times(room, max(0, limit))
}

// best returns the target on which a task starts, or nil. Of those that fit it
// takes the fullest, which keeps room for large tasks.
func (c *Coordinator) best(s *step, i int, advice bool) *target {
	var best *target
	bestScore := math.Inf(1)
	room := s.Room()
	for _, t := range c.candidates(s, advice) {
		free := t.free()
		if !room.Fits(free) || !c.allowed(s, t) || (advice && !c.holds(s, t, 0)) || (s.Spread > 0 && s.count(t) >= s.Spread) {
			continue
		}
		score := float64(free.CPU-room.CPU) / float64(max(1, t.Capacity.CPU))
		if s.Rack != "" && !slices.Contains(t.Labels, s.Rack) {
			score += 4
		}
		if s.tasks[i].avoid == t {
			score += 8
		}
		if t.reserved {
			score--
		}
		if c.heldByOther(s, t) {
			score += heldPenalty
		}
		score += 2 * float64(t.health.streak)
		if score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// start orders a run.
func (c *Coordinator) start(s *step, i int, t *target) {
	c.nextRun++
	c.startRun(s, i, t, c.nextRun)
}

func (c *Coordinator) startRun(s *step, i int, t *target, run w.RunID) {
	tk := &s.tasks[i]
	id := s.id(i)
	tk.run, tk.target, tk.percent, tk.missing = run, t, 0, 0
	c.setPhase(s, i, starting)
	s.job.story.runs++
	if s.job.story.started.IsZero() {
		s.job.story.started = c.now
		c.Meter.Wait("placement", c.now.Sub(s.openAt))
	}
	c.occupy(t, id, &slot{step: s, i: i, run: run, room: s.Room()})
	o := linker.Start{Target: t.ID, Task: id, Run: run, Checkpoint: tk.saved}
	if a := s.advice[t.ID]; a != nil {
		o.Ticket = a.ticket
	}
	f := t.member.due()
	f.Starts = append(f.Starts, o)
	for k := range f.Specs {
		if f.Specs[k].Job == s.job.ID {
			return
		}
	}
	f.Specs = append(f.Specs, linker.Spec{Job: s.job.ID, Text: s.job.Spec})
}

// askFor requests advice for n waiting tasks: new tickets once a permitted target
// has room or less urgent work, or else advice on further targets.
func (c *Coordinator) askFor(s *step, cost *w.AdviceCost, n int) {
	if s.asking > 0 {
		return
	}
	room := s.Room()
	var stale []*target
	covered, known, valid, renew := 0, 0, 0, false
	for _, t := range s.permitted {
		if !c.allowed(s, t) || !s.good(t) || !room.Fits(t.Capacity) {
			continue
		}
		known++
		k := s.times(t, t.free())
		covered += k
		if c.holds(s, t, 0) {
			valid++
			continue
		}
		stale = append(stale, t)
		renew = renew || k > 0
	}
	if renew || (valid == 0 && known > 0 && c.canPreempt(s)) {
		// All are named, so that room that gets free soon needs no further call.
		c.byRoom(s, stale)
		c.request(s, cost, stale[:min(len(stale), max(n, namedAtOnce(cost)))])
		return
	}
	if covered >= n || (known >= leastKnownGood && !room.Fits(c.most)) {
		return
	}
	fresh := c.fresh(s)
	c.byRoom(s, fresh)
	share := c.shareGood(s.job.Queue)
	want, named := float64(n-covered)*askMargin/share, 0
	for named < len(fresh) && want > 0 {
		k := s.times(fresh[named], c.spare(s, fresh[named]))
		if k == 0 && known+int(float64(named)*share) >= leastKnownGood {
			break
		}
		want -= float64(max(k, 1))
		named++
	}
	if named == 0 {
		return
	}
	c.request(s, cost, fresh[:min(len(fresh), max(named, namedAtOnce(cost)))])
}

// fresh returns the targets that could run a task of the step and on which its
// policy is not known.
func (c *Coordinator) fresh(s *step) []*target {
	var list []*target
	for _, t := range c.order {
		if !s.knows(t) && c.allowed(s, t) && s.Room().Fits(t.Capacity) {
			list = append(list, t)
		}
	}
	return list
}

// victims returns runs of less important work on a target that free enough room
// for k tasks of the step, cheapest first, and the work that is lost.
func (c *Coordinator) victims(s *step, t *target, k int) (ids []*slot, lost float64) {
	own := c.priority(s.job)
	room := t.free().Add(t.coming)
	if s.times(t, room) >= k {
		return nil, 0
	}
	var list []*slot
	for _, sl := range t.slots {
		if sl.step == nil || sl.ending || sl.step.Gang || sl.step.Lasting || c.priority(sl.step.job) <= own {
			continue
		}
		if sl.step.tasks[sl.i].phase == running {
			list = append(list, sl)
		}
	}
	slices.SortFunc(list, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(c.unsaved(a), c.unsaved(b)), cmp.Compare(a.run, b.run))
	})
	for _, sl := range list {
		ids = append(ids, sl)
		lost += c.unsaved(sl)
		room = room.Add(sl.room)
		if s.times(t, room) >= k {
			return ids, lost
		}
	}
	return nil, math.Inf(1)
}

// unsaved estimates the work that a stop of a run throws away, in core-seconds.
func (c *Coordinator) unsaved(sl *slot) float64 {
	age := c.now.Sub(sl.step.tasks[sl.i].since)
	if sl.step.Saves {
		age = min(age, c.Restore)
	}
	return age.Seconds() * float64(sl.room.CPU) / 1000
}

// preemptible returns the room that less important work takes on a target.
func (c *Coordinator) preemptible(s *step, t *target) w.Resources {
	own := c.priority(s.job)
	var r w.Resources
	for _, sl := range t.slots {
		if sl.step != nil && !sl.ending && !sl.step.Gang && !sl.step.Lasting &&
			c.priority(sl.step.job) > own && sl.step.tasks[sl.i].phase == running {
			r = r.Add(sl.room)
		}
	}
	return r
}

// canPreempt reports whether any target may run less urgent work.
func (c *Coordinator) canPreempt(s *step) bool { return c.priority(s.job) < c.leastUrgent }

// preemptFor frees room for the waiting tasks of a step by stopping less
// important work.
func (c *Coordinator) preemptFor(s *step, advice bool) {
	if c.now.Before(s.preempt) || !c.canPreempt(s) {
		return
	}
	n := s.waiting
	for n > 0 {
		var best *target
		var stops []*slot
		bestLost := math.Inf(1)
		for _, t := range c.candidates(s, advice) {
			if (t.held == s && c.now.Before(t.heldTill)) || !c.allowed(s, t) ||
				(advice && !c.holds(s, t, c.StopTimeout)) || (s.Spread > 0 && s.count(t) >= s.Spread) {
				continue
			}
			ids, lost := c.victims(s, t, 1)
			if lost < bestLost {
				best, stops, bestLost = t, ids, lost
			}
		}
		if best == nil {
			return
		}
		c.hold(s, best, c.StopTimeout+holdSlack)
		c.preemptSlots(s, best, stops)
		s.preempt = c.now.Add(c.StopTimeout / 2)
		n -= max(1, s.times(best, best.free().Add(best.coming)))
	}
}

func (c *Coordinator) preemptSlots(s *step, t *target, stops []*slot) {
	for _, sl := range stops {
		sl.step.job.story.stops++
		c.Meter.Count("stop", "preempted")
		c.Log.Info("run preempted", "task", sl.step.id(sl.i), "target", t.ID, "for", s.name, "unsaved", c.unsaved(sl))
		c.stop(sl.step, sl.i)
	}
}

// hold reserves the room of a target for a step.
func (c *Coordinator) hold(s *step, t *target, d time.Duration) {
	t.held, t.heldTill = s, c.now.Add(d)
	s.reserved = append(s.reserved, t)
}

// release gives up the reservations of a step.
func (c *Coordinator) release(s *step) {
	for _, t := range s.reserved {
		if t.held == s {
			t.held = nil
			c.generation++
		}
	}
	s.reserved = nil
}

// share is a part of a gang on one target.
type share struct {
	t *target
	n int
}

// plan spreads a gang over targets with the given room, or returns nil.
func (c *Coordinator) plan(s *step, among []*target, fits func(*target) bool, room func(*target) w.Resources) []share {
	var list []share
	sum := 0
	for _, t := range among {
		if !fits(t) || !c.allowed(s, t) {
			continue
		}
		if n := s.times(t, room(t)); n > 0 {
			list = append(list, share{t, n})
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
	slices.SortStableFunc(list, func(a, b share) int {
		return cmp.Or(cmp.Compare(a.t.health.streak, b.t.health.streak), cmp.Compare(b.n, a.n))
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

// rack returns the label that names the target's rack.
func (t *target) rack() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Labels[len(t.Labels)-1]
}

// placeGang starts all tasks of a step at once, or none.
func (c *Coordinator) placeGang(s *step, cost *w.AdviceCost) {
	if s.waiting < s.Count {
		return
	}
	free := (*target).free
	among := c.candidates(s, cost != nil)
	valid := func(spare time.Duration) func(*target) bool {
		return func(t *target) bool { return cost == nil || c.holds(s, t, spare) }
	}
	permitted := func(t *target) bool { return cost == nil || s.good(t) }
	if p := c.plan(s, among, valid(0), free); p != nil {
		c.startGang(s, p)
		return
	}
	withStops := func(t *target) w.Resources { return t.free().Add(t.coming).Add(c.preemptible(s, t)) }
	if c.now.Before(s.preempt) {
		return
	}
	if p := c.plan(s, among, valid(c.StopTimeout+ticketMargin), withStops); p != nil {
		c.release(s)
		for _, sh := range p {
			if ids, lost := c.victims(s, sh.t, sh.n); !math.IsInf(lost, 1) {
				c.preemptSlots(s, sh.t, ids)
			}
			c.hold(s, sh.t, c.StopTimeout+holdSlack)
		}
		s.preempt = c.now.Add(c.StopTimeout + holdSlack/2)
		return
	}
	if cost == nil || s.asking > 0 {
		return
	}
	if p := c.plan(s, among, permitted, withStops); p != nil {
		// New tickets for the plan, and for some more targets in case the room
		// is gone when they arrive.
		var ts []*target
		in := make(map[*target]bool)
		for _, sh := range p {
			ts = append(ts, sh.t)
			in[sh.t] = true
		}
		for _, t := range s.permitted {
			if len(ts) >= max(len(p)*3/2+1, namedAtOnce(cost)) {
				break
			}
			if !in[t] && s.good(t) && c.allowed(s, t) && s.times(t, withStops(t)) > 0 {
				ts = append(ts, t)
			}
		}
		c.request(s, cost, ts)
		return
	}
	c.request(s, cost, c.gangNames(s, cost, withStops))
}

// gangNames returns the targets to ask about for a gang: as many as are expected
// to hold it, those with most room first.
func (c *Coordinator) gangNames(s *step, cost *w.AdviceCost, room func(*target) w.Resources) []*target {
	type fit struct {
		t     *target
		times int
	}
	var list []fit
	for _, t := range c.fresh(s) {
		list = append(list, fit{t, s.times(t, room(t))})
	}
	slices.SortStableFunc(list, func(a, b fit) int { return cmp.Compare(b.times, a.times) })
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
		want -= float64(f.times)
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
