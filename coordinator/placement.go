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
	// retryPeriod is the time after which placing a step is attempted again although
	// nothing relevant to it has changed.
	retryPeriod = 100 * time.Millisecond
	// adviceTargetMargin is the ratio of places asked about to those expected to be
	// needed.
	adviceTargetMargin = 1.4
	// minSearchPeriod is the minimum time between two searches for targets to ask
	// about, and maxSearchPeriod its limit for long calls. After an answer, the next
	// search is due immediately.
	minSearchPeriod = 40 * time.Millisecond
	maxSearchPeriod = 150 * time.Millisecond
	// fullPassPeriod is the time between two passes over the steps below the highest
	// priority that have been tried already and have not changed since. Each pass
	// tries the first fixedStepsPerPass of them and, in rotation,
	// rotatedStepsPerPass of the others.
	fullPassPeriod      = 20 * time.Millisecond
	fixedStepsPerPass   = 50
	rotatedStepsPerPass = 50
	// minPermittedTargets is the number of permitted targets that a waiting step
	// should know.
	minPermittedTargets = 3
	// initialReadPeriod is the time within which a new coordinator has read the runs
	// of most targets.
	initialReadPeriod = 1500 * time.Millisecond
	// maxFullTargetsPerCall limits the targets without sufficient free resources that
	// a step asks about, so that it already has advice when some are freed.
	maxFullTargetsPerCall = 40
	// heldTargetPenalty is the score penalty of a target held for another step, so
	// that more urgent tasks use resources freed by preemption only as a last resort.
	heldTargetPenalty = 4
)

// placeSteps runs one placement round: it starts the tasks of waiting steps that can
// be started, in the order of sortActive.
func (c *Coordinator) placeSteps() {
	if c.cfg == nil || len(c.sortedTargets) == 0 || c.suspended {
		return
	}
	kept := c.activeSteps[:0]
	for _, s := range c.activeSteps {
		if s.waiting == 0 || s.job.state.Final() {
			s.active = false
			c.releaseReservations(s)
			continue
		}
		kept = append(kept, s)
	}
	for i := len(kept); i < len(c.activeSteps); i++ {
		c.activeSteps[i] = nil
	}
	c.activeSteps = kept
	c.sortActive()
	c.updateTargetSummary()
	c.updateReserves()
	round := c.generation + int64(c.now.Sub(c.startedAt)/retryPeriod)
	fullPass := !c.now.Before(c.fullRoundDue)
	if fullPass {
		c.fullRoundDue = c.now.Add(fullPassPeriod)
	}
	others := 0
	for _, s := range c.activeSteps {
		if s.triedRound == round {
			continue
		}
		if c.priority(s.job) > c.mostUrgentPriority {
			others++
			if s.triedRound >= 0 && !(fullPass && c.triedInPass(others)) {
				continue
			}
		}
		s.triedRound = round
		if c.mayRunElsewhere(s) {
			c.prefetchAdvice(s)
			continue
		}
		c.placeStep(s)
	}
	if fullPass {
		c.rotation += rotatedStepsPerPass
		if c.rotation >= others {
			c.rotation = fixedStepsPerPass
		}
	}
}

// triedInPass reports whether a full pass tries the nth step below the highest
// priority: the first ones always, the others in rotation. Trying a backlog of hundreds
// of steps takes longer than resources stay free.
func (c *Coordinator) triedInPass(n int) bool {
	return n <= fixedStepsPerPass || (n > c.rotation && n <= c.rotation+rotatedStepsPerPass)
}

// prefetchAdvice requests advice for a step that may not start yet, since a target that
// has not been read may still run its tasks. Once it may start, it already knows the
// permitted targets and at most needs new tickets.
func (c *Coordinator) prefetchAdvice(s *step) {
	if s.job.started && c.now.Sub(c.startedAt) < initialReadPeriod {
		// Its tasks are probably running on targets that are about to be read.
		return
	}
	q := c.queue(s.job)
	if q == nil || q.Advice == nil || s.openCalls > 0 || len(s.advice) > 0 || !c.hasSpareCallCapacity(classOf(q.Advice.BaseLatency)) {
		return
	}
	if s.Gang && s.Count > 1 {
		c.enqueueParallelAdviceCalls(s, q.Advice, c.gangAdviceTargets(s, q.Advice, func(t *target) w.Resources { return t.Capacity }))
		return
	}
	fresh := c.unadvisedTargetsByCapacity(s)
	c.enqueueAdviceCall(s, q.Advice, fresh[:min(len(fresh), targetsPerCall(q.Advice))])
}

// updateTargetSummary computes, for a placement round, the usable targets, the maximum
// of each free resource, and the lowest priority of their runs. The maximum is an upper
// bound throughout the round, since starts only reduce free resources.
func (c *Coordinator) updateTargetSummary() {
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

// candidates returns the targets to consider for a step: all of them, or the few that
// the queue's policy permits if the step needs advice.
func (c *Coordinator) candidates(s *step, needsAdvice bool) []*target {
	if needsAdvice {
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
		c.refreshAdvice(s, cost, s.waiting)
	}
	c.preemptFor(s, cost != nil)
}

// placeTasks starts waiting tasks of a step until no target is found for one.
func (c *Coordinator) placeTasks(s *step, needsAdvice bool) {
	for i := range s.tasks {
		if s.tasks[i].phase != waiting {
			continue
		}
		t := c.bestTarget(s, i, needsAdvice)
		if t == nil {
			return
		}
		c.startTask(s, i, t)
	}
}

// eligible reports whether a target may run tasks of the step, apart from its free
// resources and the queue's policy.
func (c *Coordinator) eligible(s *step, t *target) bool {
	if (s.Fills && t.servingSlots > 0) || (s.TailMs > 0 && t.fillSlots > 0) {
		// Tasks that use unused processor capacity slow down serving tasks by
		// amounts that change within seconds, so the two never share a target.
		return false
	}
	return t.usableNow && t.Service == c.serviceOf(s.job) && c.reserveAdmits(s, t) &&
		(s.Label == "" || slices.Contains(t.Labels, s.Label)) && !c.blocked(s, t)
}

func (c *Coordinator) serviceOf(j *job) string {
	if q := c.queue(j); q != nil {
		return q.Service
	}
	return j.Service
}

// blocked reports whether a target is held for another step of the same or a higher
// priority.
func (c *Coordinator) blocked(s *step, t *target) bool {
	return c.heldByOther(s, t) && c.priority(t.heldFor.job) <= c.priority(s.job)
}

// heldByOther reports whether a target is held for another step.
func (c *Coordinator) heldByOther(s *step, t *target) bool {
	return t.heldFor != nil && t.heldFor != s && c.now.Before(t.heldUntil)
}

// spareResources returns the unclaimed resources of a target, or none if it is held for
// another step.
func (c *Coordinator) spareResources(s *step, t *target) w.Resources {
	if c.heldByOther(s, t) {
		return w.Resources{}
	}
	return c.unclaimedResources(s, t)
}

// unclaimedResources returns the resources of a target that a step can use and that
// earlier steps of the round have not claimed.
func (c *Coordinator) unclaimedResources(s *step, t *target) w.Resources {
	return c.availableResources(s, t).Sub(t.claimed)
}

// claimResources marks resources for n tasks of a step on the targets that it asks
// about, so that later steps of the round do not make calls for the same resources.
// Without claims, a hundred waiting steps made calls for resources that only one of
// them could use.
func (c *Coordinator) claimResources(s *step, targets []*target, n int) {
	need := s.Demand()
	for _, t := range targets {
		for k := min(n, s.fitCount(t, c.unclaimedResources(s, t))); k > 0; k-- {
			t.claimed = t.claimed.Add(need)
			n--
		}
		if n == 0 {
			return
		}
	}
}

// sortBySpareCPU sorts targets by spare CPU in descending order.
func (c *Coordinator) sortBySpareCPU(s *step, list []*target) {
	c.sortBuffer = c.sortBuffer[:0]
	for _, t := range list {
		c.sortBuffer = append(c.sortBuffer, freeTarget{t, c.spareResources(s, t).CPU})
	}
	slices.SortStableFunc(c.sortBuffer, func(a, b freeTarget) int { return cmp.Compare(b.freeCPU, a.freeCPU) })
	for i := range list {
		list[i] = c.sortBuffer[i].target
	}
}

// tasksOn returns how many tasks of the step are starting, running or stopping on a
// target.
func (s *step) tasksOn(t *target) int {
	n := 0
	for i := range s.tasks {
		if p := s.tasks[i].phase; s.tasks[i].target == t && p != waiting && p != finished {
			n++
		}
	}
	return n
}

// fitCount returns how many further tasks of the step fit into the resources of a
// target, at most Spread in total if that is set.
func (s *step) fitCount(t *target, resources w.Resources) int {
	limit := s.Count
	if s.Spread > 0 {
		limit = s.Spread - s.tasksOn(t)
	}
	return s.Demand().FitCount(resources, max(0, limit))
}

// bestTarget returns the target with the lowest score for a task, or nil if none is
// available. It packs tasks onto the fullest targets to keep resources for large tasks.
func (c *Coordinator) bestTarget(s *step, i int, needsAdvice bool) *target {
	var best *target
	bestScore := math.Inf(1)
	need := s.Demand()
	for _, t := range c.candidates(s, needsAdvice) {
		free := c.availableResources(s, t)
		if !need.Fits(free) || !c.eligible(s, t) || (needsAdvice && !c.hasValidTicket(s, t, 0)) || (s.Spread > 0 && s.tasksOn(t) >= s.Spread) {
			continue
		}
		score := float64(free.CPU-need.CPU) / float64(max(1, t.Capacity.CPU))
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
			score += heldTargetPenalty
		}
		score += 2 * float64(t.health.consecutiveFailures)
		if score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// startTask starts a task under a new run id.
func (c *Coordinator) startTask(s *step, i int, t *target) {
	c.lastRun++
	c.startRun(s, i, t, c.lastRun)
}

// startRun allocates the resources of a run and queues its start order.
func (c *Coordinator) startRun(s *step, i int, t *target, run w.RunID) {
	tk := &s.tasks[i]
	id := s.id(i)
	tk.run, tk.target, tk.percent, tk.missedLists, tk.fullRun = run, t, 0, 0, tk.checkpoint == ""
	c.setPhase(s, i, starting)
	s.job.stats.runs++
	if s.job.stats.firstOrderAt.IsZero() {
		s.job.stats.firstOrderAt = c.now
		c.Meter.ObserveDuration("placement", c.now.Sub(s.openedAt))
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

// refreshAdvice requests advice for n waiting tasks: new tickets if a permitted target
// has free or preemptible resources, otherwise advice on further targets.
func (c *Coordinator) refreshAdvice(s *step, cost *w.AdviceTiming, n int) {
	if s.openCalls > 0 {
		c.claimResources(s, s.namedTargets, n)
		return
	}
	class := classOf(cost.BaseLatency)
	if c.now.Sub(s.searchedAt) < adviceSearchPeriod(cost) || (class != shortCall && c.callCapacity(class) <= 0) {
		return
	}
	s.searchedAt = c.now
	need := s.Demand()
	var stale []*target
	covered, known, valid, renew := 0, 0, 0, false
	for _, t := range s.permitted {
		if !c.eligible(s, t) || !s.permits(t) || !need.Fits(t.Capacity) {
			continue
		}
		known++
		k := s.fitCount(t, c.unclaimedResources(s, t))
		covered += k
		if c.hasValidTicket(s, t, 0) {
			valid++
			continue
		}
		stale = append(stale, t)
		renew = renew || k > 0
	}
	if renew || (valid == 0 && known > 0 && c.canPreempt(s)) {
		// Renew the tickets of full targets as well, so that resources freed soon
		// need no further call.
		c.sortBySpareCPU(s, stale)
		c.enqueueAdviceCall(s, cost, stale[:min(len(stale), max(n, targetsPerCall(cost)))])
		c.claimResources(s, s.namedTargets, n)
		return
	}
	if covered >= n || (known >= minPermittedTargets && !c.hasUnadvisedCapacity(s)) {
		return
	}
	fresh := c.unadvisedTargetsByCapacity(s)
	share := c.permittedShare(s.job.Queue)
	want, named := float64(n-covered)*adviceTargetMargin/share, 0
	for named < len(fresh) && want > 0 {
		k := s.fitCount(fresh[named], c.spareResources(s, fresh[named]))
		if k == 0 && known+int(float64(named)*share) >= minPermittedTargets {
			break
		}
		want -= float64(max(k, 1))
		named++
	}
	if named == 0 {
		return
	}
	c.enqueueAdviceCall(s, cost, fresh[:min(len(fresh), max(named, targetsPerCall(cost)))])
	c.claimResources(s, s.namedTargets, n-covered)
}

// adviceSearchPeriod returns the time between two searches for targets to ask about.
func adviceSearchPeriod(cost *w.AdviceTiming) time.Duration {
	return min(maxSearchPeriod, max(minSearchPeriod, cost.BaseLatency/2))
}

// hasUnadvisedCapacity reports whether an eligible target without advice for the step
// has unclaimed resources for one of its tasks.
func (c *Coordinator) hasUnadvisedCapacity(s *step) bool {
	need := s.Demand()
	if !need.Fits(c.maxFree) {
		return false
	}
	for _, r := range c.targetsByFreeCPU() {
		if r.freeCPU < need.CPU {
			return false
		}
		if need.Fits(c.unclaimedResources(s, r.target)) && !s.hasAdvice(r.target) && c.eligible(s, r.target) {
			return true
		}
	}
	return false
}

// targetsByFreeCPU returns the usable targets in descending order of free CPU, as of the
// first call in this round.
func (c *Coordinator) targetsByFreeCPU() []freeTarget {
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

// unadvisedTargetsByCapacity returns up to about maxTargetsPerCall eligible targets
// without advice for a step: those with spare resources for a task first, then up to
// maxFullTargetsPerCall others. It stops searching then, since it runs many times a
// second for each waiting step.
func (c *Coordinator) unadvisedTargetsByCapacity(s *step) []*target {
	var with, without []*target
	need := s.Demand()
	for _, r := range c.targetsByFreeCPU() {
		if len(with) >= maxTargetsPerCall || (r.freeCPU < need.CPU && len(with)+len(without) >= maxFullTargetsPerCall) {
			break
		}
		if s.hasAdvice(r.target) || !c.eligible(s, r.target) || !need.Fits(r.target.Capacity) {
			continue
		}
		if need.Fits(c.spareResources(s, r.target)) {
			with = append(with, r.target)
		} else if len(without) < maxFullTargetsPerCall {
			without = append(without, r.target)
		}
	}
	return append(with, without...)
}

// roomOf is a target with its free CPU at the time of sorting.
type freeTarget struct {
	target  *target
	freeCPU int64
}

// unadvisedTargets returns the eligible targets without advice for the step whose
// capacity fits one of its tasks.
func (c *Coordinator) unadvisedTargets(s *step) []*target {
	var list []*target
	for _, t := range c.sortedTargets {
		if !s.hasAdvice(t) && c.eligible(s, t) && s.Demand().Fits(t.Capacity) {
			list = append(list, t)
		}
	}
	return list
}

// rack returns the target's rack, which is its last label.
func (t *target) rack() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Labels[len(t.Labels)-1]
}
