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
	// retryPeriod is the time after which a step is tried again although nothing that
	// affects its placement has changed.
	retryPeriod = 100 * time.Millisecond
	// adviceTargetMargin is the ratio of the tasks that fit on the targets named in an
	// advice call to the number expected to suffice.
	adviceTargetMargin = 1.4
	// minSearchPeriod and maxSearchPeriod bound the time between two searches for
	// targets to name in an advice call. After an answer, the next search is due
	// immediately.
	minSearchPeriod = 40 * time.Millisecond
	maxSearchPeriod = 150 * time.Millisecond
	// fullPassPeriod is the time between two full passes. A full pass is a placement
	// round that also tries steps below the highest priority that were tried before
	// and have not changed since. It tries the first fixedStepsPerPass steps below the
	// highest priority and, in rotation, rotatedStepsPerPass of the others.
	fullPassPeriod      = 20 * time.Millisecond
	fixedStepsPerPass   = 50
	rotatedStepsPerPass = 50
	// minPermittedTargets is the number of permitted targets up to which a waiting
	// step requests advice on further targets, even if none of them has free resources.
	minPermittedTargets = 3
	// initialSyncPeriod is the time within which most targets are synced with a new
	// coordinator.
	initialSyncPeriod = 1500 * time.Millisecond
	// maxFullTargetsPerCall limits the targets without sufficient free resources in an
	// advice call. They are named so that the step already has advice on them when
	// resources are freed.
	maxFullTargetsPerCall = 40
	// nominatedTargetPenalty is the score penalty of a target that is nominated for
	// another step, so that more urgent tasks use the resources freed there by
	// preemption only as a last resort.
	nominatedTargetPenalty = 4
)

// placeSteps runs one placement round: it tries the steps of the backlog in the order of
// sortBacklog and starts the tasks that can be started. A step that was tried is tried
// again when the generation or, every retryPeriod, the time has advanced.
func (c *Coordinator) placeSteps() {
	if c.cfg == nil || len(c.sortedTargets) == 0 || c.suspended {
		return
	}
	kept := c.backlog[:0]
	for _, s := range c.backlog {
		if s.waiting == 0 || s.job.state.Final() {
			s.inBacklog = false
			c.cancelBookingAndNominations(s)
			continue
		}
		kept = append(kept, s)
	}
	for i := len(kept); i < len(c.backlog); i++ {
		c.backlog[i] = nil
	}
	c.backlog = kept
	c.updateUncertain()
	c.sortBacklog()
	c.tenants.round++
	c.updateTargetSummary()
	c.updateSpeeds()
	c.updateReserves()
	c.updateContainment()
	generation := c.generation + int64(c.now.Sub(c.startedAt)/retryPeriod)
	fullPass := !c.now.Before(c.fullPassDue)
	if fullPass {
		c.fullPassDue = c.now.Add(fullPassPeriod)
	}
	lessUrgent := 0 // steps below the highest priority so far
	for _, s := range c.backlog {
		if c.heldByCap(s) {
			c.noteWait(s, waitsForCap)
			continue
		}
		if s.triedGeneration != generation {
			if c.priority(s.job) > c.mostUrgentPriority {
				lessUrgent++
			}
			c.tryStep(s, generation, fullPass, lessUrgent)
		}
		c.promisePrepared(s)
	}
	if fullPass {
		c.rotation += rotatedStepsPerPass
		if c.rotation >= lessUrgent {
			c.rotation = fixedStepsPerPass
		}
	}
}

// tryStep tries the nth step below the highest priority, or a step of that priority,
// unless it has to wait for a full pass.
func (c *Coordinator) tryStep(s *step, generation int64, fullPass bool, n int) {
	if c.priority(s.job) > c.mostUrgentPriority && s.triedGeneration >= 0 && !(fullPass && c.triedInPass(n)) {
		return
	}
	s.triedGeneration = generation
	if c.mayRunElsewhere(s) {
		c.noteWait(s, waitsForHandover)
		c.prefetchAdvice(s)
		return
	}
	c.placeStep(s)
}

// triedInPass reports whether a full pass tries the nth step below the highest
// priority: the first ones always, the others in rotation. Trying all steps of a backlog
// of hundreds takes longer than freed resources remain available.
func (c *Coordinator) triedInPass(n int) bool {
	return n <= fixedStepsPerPass || (n > c.rotation && n <= c.rotation+rotatedStepsPerPass)
}

// prefetchAdvice requests advice for a step that may not start yet, since its tasks may
// be running on an unsynced target. Once it may start, its permitted targets are known
// and it needs at most new tickets.
func (c *Coordinator) prefetchAdvice(s *step) {
	if s.job.started && c.now.Sub(c.startedAt) < initialSyncPeriod {
		// Its tasks are probably running on targets that are about to be synced.
		return
	}
	timing := c.adviceTiming(s.job)
	if timing == nil || s.unansweredCalls > 0 || len(s.advice) > 0 || !c.hasSpareCallCapacity(classOf(timing.BaseLatency)) {
		return
	}
	if s.Gang && s.Count > 1 {
		c.enqueueParallelAdviceCalls(s, timing, c.gangAdviceTargets(s, timing, func(t *target) w.Resources { return t.Capacity }))
		return
	}
	targets := c.unadvisedTargetsByCapacity(s)
	c.enqueueAdviceCall(s, timing, targets[:min(len(targets), targetsPerCall(timing))])
}

// updateTargetSummary computes, for a placement round, the usable targets, the maximum
// of each free resource over them, and a bound on the lowest priority of their runs. It
// also expires bookings. The maxima hold throughout the round, since starts only reduce
// free resources.
func (c *Coordinator) updateTargetSummary() {
	c.maxFree, c.leastUrgentPriority, c.byFreeCPU, c.usableCPU = w.Resources{}, math.MinInt, c.byFreeCPU[:0], 0
	c.expireBookings()
	for _, t := range c.sortedTargets {
		t.usableInRound = c.usable(t)
		t.claimed = w.Resources{}
		if !t.usableInRound {
			continue
		}
		c.usableCPU += t.Capacity.CPU
		free := t.free()
		c.maxFree = w.Resources{CPU: max(c.maxFree.CPU, free.CPU), Mem: max(c.maxFree.Mem, free.Mem), GPU: max(c.maxFree.GPU, free.GPU)}
		c.leastUrgentPriority = max(c.leastUrgentPriority, t.leastUrgentPriority)
	}
}

// candidates returns the targets to consider for a step: all of them or, if the step
// needs advice, those that its queue's policy permits.
func (c *Coordinator) candidates(s *step, needsAdvice bool) []*target {
	if needsAdvice {
		return s.permittedTargets
	}
	return c.sortedTargets
}

// placeStep starts the waiting tasks of a step for which there are resources. For the
// others, it requests advice and preempts runs as needed.
func (c *Coordinator) placeStep(s *step) {
	timing := c.adviceTiming(s.job)
	if s.Gang && s.Count > 1 {
		c.placeGang(s, timing)
		return
	}
	s.nearWaits, s.held, s.probesMissing = 0, 0, 0
	r := waitsForRoom
	if s.Demand().Fits(c.maxFree) {
		r = c.placeTasks(s, timing != nil)
	} else if c.holdProbes(s) {
		r = waitsAfterCrash
	}
	n := min(c.capRoom(s), s.waiting-s.nearWaits-s.held)
	if timing != nil && (n > 0 || s.probesMissing > 0) {
		full := c.refreshAdvice(s, timing, n+s.probesMissing)
		if r == waitsForRoom || r == waitsForTarget {
			switch {
			case s.unansweredCalls > 0:
				r = waitsForAdvice
			case full:
				r = waitsForCall
			}
		}
	}
	c.noteWait(s, r)
	if n == 0 && s.probesMissing > 0 && c.riskBudgets[c.serviceOf(s.job)] > 0 {
		n = min(1, c.capRoom(s))
	}
	if n > 0 {
		c.preemptFor(s, timing != nil, n)
	}
}

// placeTasks starts waiting tasks of a step until no target is found for one. It returns
// what the last task that it has not started waits for.
func (c *Coordinator) placeTasks(s *step, needsAdvice bool) waitReason {
	r := waitsForSlot
	for i := range s.tasks {
		if s.tasks[i].phase != waiting || s.tasks[i].slots > 0 {
			continue
		}
		if !c.capAllows(s) {
			return waitsForCap
		}
		if probe, wait := c.probes(s, i); probe {
			switch {
			case wait:
				s.held++
				r = s.probeWait(i)
			case c.placeProbe(s, i, needsAdvice):
				s.held++
				s.probesMissing++
				r = waitsForTarget
			case s.tasks[i].phase == waiting:
				s.held++
				r = waitsForBudget
			}
			continue
		}
		t := c.bestTarget(s, i, needsAdvice)
		if t == nil {
			return waitsForTarget
		}
		if c.waitsForNear(s, i, t, needsAdvice) {
			r = waitsNear
			continue
		}
		c.startTask(s, i, t)
	}
	return r
}

// eligible reports whether a target may run tasks of the step, apart from its free
// resources and the queue's policy.
func (c *Coordinator) eligible(s *step, t *target) bool {
	if (s.Fills && t.servingSlots > 0) || (s.TailMs > 0 && t.fillSlots > 0) {
		// Tasks that run on idle CPU slow down serving tasks by amounts that change
		// within seconds, so the two never share a target.
		return false
	}
	return t.usableInRound && t.probe == nil && t.Service == c.serviceOf(s.job) && c.reserveAdmits(s, t) &&
		(s.Label == "" || slices.Contains(t.Labels, s.Label)) && !c.blockedByNomination(s, t)
}

func (c *Coordinator) serviceOf(j *job) string {
	if q := c.queue(j); q != nil {
		return q.Service
	}
	return j.Service
}

// blockedByNomination reports whether a target is nominated for another step of the
// same or a higher priority.
func (c *Coordinator) blockedByNomination(s *step, t *target) bool {
	return c.nominatedForOther(s, t) && c.priority(t.nominatedStep.job) <= c.priority(s.job)
}

// nominatedForOther reports whether a target is nominated for another step.
func (c *Coordinator) nominatedForOther(s *step, t *target) bool {
	return t.nominatedStep != nil && t.nominatedStep != s && c.now.Before(t.nominatedUntil)
}

// spareResources returns the unclaimed resources of a target, or none if it is nominated
// for another step.
func (c *Coordinator) spareResources(s *step, t *target) w.Resources {
	if c.nominatedForOther(s, t) {
		return w.Resources{}
	}
	return c.unclaimedResources(s, t)
}

// unclaimedResources returns the resources of a target that a step can use and that
// earlier steps of the placement round have not claimed.
func (c *Coordinator) unclaimedResources(s *step, t *target) w.Resources {
	return c.availableResources(s, t).Sub(t.claimed)
}

// claimResources claims resources for n tasks of a step on the targets named in its
// advice call, so that later steps of the placement round make no calls for the same
// resources. Without claims, a hundred waiting steps made calls for resources that only
// one of them could use.
func (c *Coordinator) claimResources(s *step, targets []*target, n int) {
	need, wanted := s.Demand(), n
	defer func() { c.noteAsked(s, wanted-n) }()
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

// tasksOn returns how many tasks of the step have a run on a target that is starting,
// running or stopping. It includes runs that are being stopped because their task is
// done or runs elsewhere.
func (s *step) tasksOn(t *target) int {
	n := 0
	for _, sl := range t.slots {
		if sl.step == s {
			n++
		}
	}
	return n
}

// fitCount returns how many further tasks of the step fit into the given resources of a
// target. If Spread is set, it limits the number of the step's tasks on the target.
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
	preference := c.speedPreference(s)
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
		if c.nominatedForOther(s, t) {
			score += nominatedTargetPenalty
		}
		score += 2*float64(t.health.consecutiveFailures) + preference.score(t)
		if score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// startTask starts a task under a new run ID.
func (c *Coordinator) startTask(s *step, i int, t *target) {
	c.endWait(s, i, s.near(t))
	c.lastRunID++
	c.startRun(s, i, t, c.lastRunID, false)
}

// startRun allocates the resources of a run and queues its start order. While a probe has
// not survived its start, nothing else starts on its target.
func (c *Coordinator) startRun(s *step, i int, t *target, run w.RunID, probe bool) {
	tk := &s.tasks[i]
	id := s.id(i)
	tk.run, tk.target, tk.percent, tk.missedLists, tk.fullRun = run, t, 0, 0, tk.checkpoint == ""
	c.logRestart(id, tk)
	c.setPhase(s, i, starting)
	s.job.open = true
	s.job.stats.runs++
	if s.job.stats.firstOrderAt.IsZero() {
		s.job.stats.firstOrderAt = c.now
		c.Meter.ObserveDuration("placement", c.now.Sub(s.readyAt))
	}
	c.addSlot(t, id, &slot{step: s, index: i, run: run, resources: s.Demand(), orderedAt: c.now})
	t.forgetStarts(c.now)
	t.recentStarts = append(t.recentStarts, recentStart{id, run, c.now})
	order := linker.Start{Target: t.ID, Task: id, Run: run, Checkpoint: tk.checkpoint, Probe: probe}
	if probe {
		if s.job.stats.runs == 1 {
			c.firstProbes[s.job.Queue]++
		}
		c.probeOn(t, t.slots[id])
	}
	if a := s.advice[t.ID]; a != nil {
		order.Ticket = a.ticket
	}
	f := t.member.nextFrame()
	f.Starts = append(f.Starts, order)
	for k := range f.Specs {
		if f.Specs[k].Job == s.job.ID {
			return
		}
	}
	f.Specs = append(f.Specs, linker.Spec{Job: s.job.ID, Text: s.job.Spec})
}

// refreshAdvice requests advice for n waiting tasks: new tickets if a permitted target
// has free or preemptible resources, otherwise advice on further targets. It reports
// whether no instance accepts a further call.
func (c *Coordinator) refreshAdvice(s *step, timing *w.AdviceTiming, n int) (full bool) {
	if s.unansweredCalls > 0 {
		c.claimResources(s, s.namedTargets, n)
		return false
	}
	if c.now.Sub(s.searchedAt) < adviceSearchPeriod(timing) {
		return s.reason == waitsForCall
	}
	if class := classOf(timing.BaseLatency); class != shortCall && c.callCapacity(class) <= 0 {
		return true
	}
	s.searchedAt = c.now
	need := s.Demand()
	var stale []*target
	covered, known, valid, renew := 0, 0, 0, false
	for _, t := range s.permittedTargets {
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
		// Renew the tickets for full targets as well, so that no further call is
		// needed if resources are freed there soon.
		c.sortBySpareCPU(s, stale)
		c.enqueueAdviceCall(s, timing, stale[:min(len(stale), max(n, targetsPerCall(timing)))])
		c.claimResources(s, s.namedTargets, n)
		return false
	}
	if covered >= n || (known >= minPermittedTargets && !c.hasUnadvisedCapacity(s)) {
		return false
	}
	unadvised := c.unadvisedTargetsByCapacity(s)
	share := c.permittedShare(s.job.Queue)
	want, named := float64(n-covered)*adviceTargetMargin/share, 0
	for named < len(unadvised) && want > 0 {
		k := s.fitCount(unadvised[named], c.spareResources(s, unadvised[named]))
		if k == 0 && known+int(float64(named)*share) >= minPermittedTargets {
			break
		}
		want -= float64(max(k, 1))
		named++
	}
	if named == 0 {
		return false
	}
	c.enqueueAdviceCall(s, timing, unadvised[:min(len(unadvised), max(named, targetsPerCall(timing)))])
	c.claimResources(s, s.namedTargets, n-covered)
	return false
}

// adviceSearchPeriod returns the time between two searches for targets to name in an
// advice call.
func adviceSearchPeriod(timing *w.AdviceTiming) time.Duration {
	return min(maxSearchPeriod, max(minSearchPeriod, timing.BaseLatency/2))
}

// hasUnadvisedCapacity reports whether an eligible target without advice for the step
// has unclaimed resources for one of its tasks.
func (c *Coordinator) hasUnadvisedCapacity(s *step) bool {
	need := s.Demand()
	if !need.Fits(c.maxFree) {
		return false
	}
	for _, f := range c.targetsByFreeCPU() {
		if f.freeCPU < need.CPU {
			return false
		}
		if need.Fits(c.unclaimedResources(s, f.target)) && !s.hasAdvice(f.target) && c.eligible(s, f.target) {
			return true
		}
	}
	return false
}

// targetsByFreeCPU returns the usable targets in descending order of free CPU, as of its
// first call in the placement round.
func (c *Coordinator) targetsByFreeCPU() []freeTarget {
	if len(c.byFreeCPU) == 0 {
		for _, t := range c.sortedTargets {
			if t.usableInRound {
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
// maxFullTargetsPerCall others. It searches no further, since it runs many times a
// second for each waiting step.
func (c *Coordinator) unadvisedTargetsByCapacity(s *step) []*target {
	var with, without []*target
	need := s.Demand()
	for _, f := range c.targetsByFreeCPU() {
		if len(with) >= maxTargetsPerCall || (f.freeCPU < need.CPU && len(with)+len(without) >= maxFullTargetsPerCall) {
			break
		}
		if s.hasAdvice(f.target) || !c.eligible(s, f.target) || !need.Fits(f.target.Capacity) {
			continue
		}
		if need.Fits(c.spareResources(s, f.target)) {
			with = append(with, f.target)
		} else if len(without) < maxFullTargetsPerCall {
			without = append(without, f.target)
		}
	}
	c.slowAfterFast(s, with)
	return append(with, without...)
}

// freeTarget is a target with its free CPU at the time of sorting.
type freeTarget struct {
	target  *target
	freeCPU int64
}

// unadvisedTargets returns the eligible targets without advice for the step whose
// capacity fits one of its tasks.
func (c *Coordinator) unadvisedTargets(s *step) []*target {
	var list []*target
	for _, t := range c.sortedTargets {
		if c.unadvised(s, t) {
			list = append(list, t)
		}
	}
	return list
}

func (c *Coordinator) hasUnadvisedTarget(s *step) bool {
	return slices.ContainsFunc(c.sortedTargets, func(t *target) bool { return c.unadvised(s, t) })
}

func (c *Coordinator) unadvised(s *step, t *target) bool {
	return !s.hasAdvice(t) && c.eligible(s, t) && s.Demand().Fits(t.Capacity)
}

// rack returns the target's rack, which is its last label.
func (t *target) rack() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Labels[len(t.Labels)-1]
}
