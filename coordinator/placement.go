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
	// askMargin is the share of targets named beyond those expected to be
	// needed.
	askMargin = 1.4
	// searchPeriod is the least time between two searches for targets to ask about,
	// and longestSearch the most for calls that take long. An answer brings the next
	// one forward.
	searchPeriod  = 40 * time.Millisecond
	longestSearch = 150 * time.Millisecond
	// fullPeriod is the time between two rounds that try steps which are not urgent
	// and have no news: the first headSteps of them, and turnSteps others in turns.
	fullPeriod = 20 * time.Millisecond
	headSteps  = 50
	turnSteps  = 50
	// leastKnownGood is the number of permitted targets that a waiting step
	// wants to know.
	leastKnownGood = 3
	// readPeriod is the time within which a new coordinator has read most targets.
	readPeriod = 1500 * time.Millisecond
	// fewNames is the number of targets without room that a step may ask about, so
	// that it knows some when they get room.
	fewNames = 40
	// heldPenalty makes more urgent work take the room that a stopped run leaves
	// to another step only if there is no other.
	heldPenalty = 4
)

// place starts what can be started, by priority and then by age.
func (c *Coordinator) place() {
	if c.cfg == nil || len(c.sortedTargets) == 0 || c.suspended {
		return
	}
	kept := c.activeSteps[:0]
	for _, s := range c.activeSteps {
		if s.waiting == 0 || s.job.state.Final() {
			s.active = false
			c.release(s)
			continue
		}
		kept = append(kept, s)
	}
	for i := len(kept); i < len(c.activeSteps); i++ {
		c.activeSteps[i] = nil
	}
	c.activeSteps = kept
	c.sortActive()
	c.survey()
	c.updateReserves()
	round := c.generation + int64(c.now.Sub(c.startedAt)/retryPeriod)
	full := !c.now.Before(c.fullRoundDue)
	if full {
		c.fullRoundDue = c.now.Add(fullPeriod)
	}
	others := 0
	for _, s := range c.activeSteps {
		if s.triedRound == round {
			continue
		}
		if c.priority(s.job) > c.mostUrgentPriority {
			others++
			if s.triedRound >= 0 && !(full && c.inTurn(others)) {
				continue
			}
		}
		s.triedRound = round
		if c.mayRunElsewhere(s) {
			c.prepare(s)
			continue
		}
		c.placeStep(s)
	}
	if full {
		c.rotation += turnSteps
		if c.rotation >= others {
			c.rotation = headSteps
		}
	}
}

// inTurn reports whether the nth step that is not urgent is tried in this round: the
// first ones always are, the others in turns. It answers a backlog of hundreds of
// steps, which takes longer to look through than room stays free.
func (c *Coordinator) inTurn(n int) bool {
	return n <= headSteps || (n > c.rotation && n <= c.rotation+turnSteps)
}

// prepare asks for advice for a step that may not start yet, since a target that
// has not been read may still run its tasks. What is known of the policy then
// saves the longer part of the calls when it may.
func (c *Coordinator) prepare(s *step) {
	if s.job.started && c.now.Sub(c.startedAt) < readPeriod {
		// Its tasks probably run on targets that are about to be read.
		return
	}
	q := c.queue(s.job)
	if q == nil || q.Advice == nil || s.openCalls > 0 || len(s.advice) > 0 || !c.lanesToSpare(classOf(q.Advice.BaseLatency)) {
		return
	}
	if s.Gang && s.Count > 1 {
		c.requestWide(s, q.Advice, c.gangNames(s, q.Advice, func(t *target) w.Resources { return t.Capacity }))
		return
	}
	fresh := c.freshByRoom(s)
	c.request(s, q.Advice, fresh[:min(len(fresh), namedAtOnce(q.Advice))])
}

// survey notes for a round of placement which targets may be used, the most that
// any of them has free, and how urgent the least urgent of their runs is. What
// the round itself starts only lowers the room.
func (c *Coordinator) survey() {
	c.maxFree, c.leastUrgentPriority, c.byFreeCPU, c.usableCPU = w.Resources{}, math.MinInt, c.byFreeCPU[:0], 0
	c.expireBookings()
	for _, t := range c.sortedTargets {
		t.usableNow = c.usable(t)
		t.claimed = w.Resources{}
		if !t.usableNow {
			continue
		}
		c.usableCPU += t.Capacity.CPU
		free := t.free()
		c.maxFree = w.Resources{CPU: max(c.maxFree.CPU, free.CPU), Mem: max(c.maxFree.Mem, free.Mem), GPU: max(c.maxFree.GPU, free.GPU)}
		c.leastUrgentPriority = max(c.leastUrgentPriority, t.leastUrgentPriority)
	}
}

// candidates returns the targets that may get a task of the step. The policy of a
// queue leaves few of them.
func (c *Coordinator) candidates(s *step, advice bool) []*target {
	if advice {
		return s.permitted
	}
	return c.sortedTargets
}

func (c *Coordinator) placeStep(s *step) {
	q := c.queue(s.job)
	var cost *w.AdviceTiming
	if q != nil {
		cost = q.Advice
	}
	if s.Gang && s.Count > 1 {
		c.placeGang(s, cost)
		return
	}
	if s.Demand().Fits(c.maxFree) {
		c.placeTasks(s, cost != nil)
	}
	if s.waiting == 0 {
		return
	}
	if cost != nil {
		c.askFor(s, cost, s.waiting)
	}
	c.preemptFor(s, cost != nil)
}

// placeTasks starts waiting tasks of a step until there is no target for one.
func (c *Coordinator) placeTasks(s *step, advice bool) {
	for i := range s.tasks {
		if s.tasks[i].phase != waiting {
			continue
		}
		t := c.best(s, i, advice)
		if t == nil {
			return
		}
		c.start(s, i, t)
	}
}

// allowed reports whether a target may run a task of the step at all.
func (c *Coordinator) allowed(s *step, t *target) bool {
	if (s.Fills && t.servingSlots > 0) || (s.TailMs > 0 && t.fillSlots > 0) {
		// Work that fills disturbs tasks that serve by amounts that change within
		// seconds, so the two don't share a target.
		return false
	}
	return t.usableNow && t.Service == c.service(s.job) && c.reservedFor(s, t) &&
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
	return c.heldByOther(s, t) && c.priority(t.heldFor.job) <= c.priority(s.job)
}

// heldByOther reports whether the room of a target is reserved for another step.
func (c *Coordinator) heldByOther(s *step, t *target) bool {
	return t.heldFor != nil && t.heldFor != s && c.now.Before(t.heldUntil)
}

// spare is the room of a target as far as no other step waits for it.
func (c *Coordinator) spare(s *step, t *target) w.Resources {
	if c.heldByOther(s, t) {
		return w.Resources{}
	}
	return c.unclaimed(s, t)
}

// unclaimed is the room of a target for a step for which no earlier step of the
// round asks for advice.
func (c *Coordinator) unclaimed(s *step, t *target) w.Resources {
	return c.freeFor(s, t).Sub(t.claimed)
}

// claim notes that n tasks of a step may get room on targets about which it asks,
// so that the steps after it do not ask for the same room. While little room comes
// free, each of some hundred waiting steps asked for it, and one could have it.
func (c *Coordinator) claim(s *step, targets []*target, n int) {
	room := s.Demand()
	for _, t := range targets {
		for k := min(n, s.times(t, c.unclaimed(s, t))); k > 0; k-- {
			t.claimed = t.claimed.Add(room)
			n--
		}
		if n == 0 {
			return
		}
	}
}

// byRoom sorts targets by the room that they have to spare, most first.
func (c *Coordinator) byRoom(s *step, list []*target) {
	c.sortBuffer = c.sortBuffer[:0]
	for _, t := range list {
		c.sortBuffer = append(c.sortBuffer, freeTarget{t, c.spare(s, t).CPU})
	}
	slices.SortStableFunc(c.sortBuffer, func(a, b freeTarget) int { return cmp.Compare(b.freeCPU, a.freeCPU) })
	for i := range list {
		list[i] = c.sortBuffer[i].target
	}
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
	return s.Demand().FitCount(room, max(0, limit))
}

// best returns the target on which a task starts, or nil. Of those that fit it
// takes the fullest, which keeps room for large tasks.
func (c *Coordinator) best(s *step, i int, advice bool) *target {
	var best *target
	bestScore := math.Inf(1)
	room := s.Demand()
	for _, t := range c.candidates(s, advice) {
		free := c.freeFor(s, t)
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
		score += 2 * float64(t.health.consecutiveFailures)
		if score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// start orders a run.
func (c *Coordinator) start(s *step, i int, t *target) {
	c.lastRun++
	c.startRun(s, i, t, c.lastRun)
}

func (c *Coordinator) startRun(s *step, i int, t *target, run w.RunID) {
	tk := &s.tasks[i]
	id := s.id(i)
	tk.run, tk.target, tk.percent, tk.missedLists, tk.fullRun = run, t, 0, 0, tk.checkpoint == ""
	c.setPhase(s, i, starting)
	s.job.stats.runs++
	if s.job.stats.firstOrderAt.IsZero() {
		s.job.stats.firstOrderAt = c.now
		c.Meter.Wait("placement", c.now.Sub(s.openedAt))
	}
	c.addSlot(t, id, &slot{step: s, index: i, run: run, resources: s.Demand()})
	o := linker.Start{Target: t.ID, Task: id, Run: run, Checkpoint: tk.checkpoint}
	if a := s.advice[t.ID]; a != nil {
		o.Ticket = a.ticket
	}
	f := t.member.nextFrame()
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
func (c *Coordinator) askFor(s *step, cost *w.AdviceTiming, n int) {
	if s.openCalls > 0 {
		c.claim(s, s.namedTargets, n)
		return
	}
	class := classOf(cost.BaseLatency)
	if c.now.Sub(s.searchedAt) < searchTime(cost) || (class != shortCall && c.freeLanes(class) <= 0) {
		return
	}
	s.searchedAt = c.now
	room := s.Demand()
	var stale []*target
	covered, known, valid, renew := 0, 0, 0, false
	for _, t := range s.permitted {
		if !c.allowed(s, t) || !s.good(t) || !room.Fits(t.Capacity) {
			continue
		}
		known++
		k := s.times(t, c.unclaimed(s, t))
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
		c.claim(s, s.namedTargets, n)
		return
	}
	if covered >= n || (known >= leastKnownGood && !c.freshRoom(s)) {
		return
	}
	fresh := c.freshByRoom(s)
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
	c.claim(s, s.namedTargets, n-covered)
}

// searchTime is the time between two searches for targets to ask about.
func searchTime(cost *w.AdviceTiming) time.Duration {
	return min(longestSearch, max(searchPeriod, cost.BaseLatency/2))
}

// freshRoom reports whether a target on which the policy of the step is not known
// has room for one of its tasks.
func (c *Coordinator) freshRoom(s *step) bool {
	room := s.Demand()
	if !room.Fits(c.maxFree) {
		return false
	}
	for _, r := range c.byFree() {
		if r.freeCPU < room.CPU {
			return false
		}
		if room.Fits(c.unclaimed(s, r.target)) && !s.knows(r.target) && c.allowed(s, r.target) {
			return true
		}
	}
	return false
}

// byFree returns the usable targets by what they had free when a step of this round
// first asked, most first.
func (c *Coordinator) byFree() []freeTarget {
	if len(c.byFreeCPU) == 0 {
		for _, t := range c.sortedTargets {
			if t.usableNow {
				c.byFreeCPU = append(c.byFreeCPU, freeTarget{t, t.free().CPU})
			}
		}
		slices.SortFunc(c.byFreeCPU, func(a, b freeTarget) int {
			return cmp.Or(cmp.Compare(b.freeCPU, a.freeCPU), cmp.Compare(a.target.ID, b.target.ID))
		})
	}
	return c.byFreeCPU
}

// freshByRoom returns targets on which the policy of a step is not known, as many as
// a call may name: those with room for a task first, then some others. It looks no
// further than that, since each waiting step asks many times a second.
func (c *Coordinator) freshByRoom(s *step) []*target {
	var with, without []*target
	room := s.Demand()
	for _, r := range c.byFree() {
		if len(with) >= maxNamed || (r.freeCPU < room.CPU && len(with)+len(without) >= fewNames) {
			break
		}
		if s.knows(r.target) || !c.allowed(s, r.target) || !room.Fits(r.target.Capacity) {
			continue
		}
		if room.Fits(c.spare(s, r.target)) {
			with = append(with, r.target)
		} else if len(without) < fewNames {
			without = append(without, r.target)
		}
	}
	return append(with, without...)
}

// roomOf is a target and what it had free when a round of placement first asked.
type freeTarget struct {
	target  *target
	freeCPU int64
}

// fresh returns the targets that could run a task of the step and on which its
// policy is not known.
func (c *Coordinator) fresh(s *step) []*target {
	var list []*target
	for _, t := range c.sortedTargets {
		if !s.knows(t) && c.allowed(s, t) && s.Demand().Fits(t.Capacity) {
			list = append(list, t)
		}
	}
	return list
}

// rack returns the label that names the target's rack.
func (t *target) rack() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Labels[len(t.Labels)-1]
}
