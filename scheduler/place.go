package scheduler

import (
	"time"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/sequencer"
)

// Placement is the assignment of a request's tasks to targets, whose capacity is
// already allocated.
type Placement struct {
	Request *descriptor.Request
	Attempt descriptor.Attempt
	Tasks   []placer.Assignment
	// Run is the expected run time of a task.
	Run time.Duration
}

const (
	// maxMissesPerClass is the number of requests of one class that a pass may fail
	// to place before it skips the class. Without it the time of a pass on a full
	// cell would grow with the length of the queue.
	maxMissesPerClass = 4
	// boostWindowFraction is the length of the boost window before the latest start,
	// as a fraction of the time from arrival to deadline. It is not zero because
	// it takes some time until one target has room for a large task.
	boostWindowFraction = 0.1
	// urgentBoostDelay is the time from arrival after which urgent requests are
	// boosted, so that they start within the bound for urgent work.
	urgentBoostDelay = admitter.MaxUrgentWait * 9 / 10
	// maxBoostAttempts is the number of boosted requests that a pass tries, which
	// bounds the time that it spends on them.
	maxBoostAttempts = 64
	// maxBoostTokens is the number of boost tokens that can accumulate. Each
	// placement in fair order adds one and each boosted placement takes one, so
	// that boosted placements are at most half of all placements.
	maxBoostTokens = 64
)

// pass is the state of one scheduling pass, a call of Next.
type pass struct {
	now            time.Time
	limit          int
	placements     []Placement
	slotsExhausted bool
	misses         map[sequencer.Class]int
	// unplaceable holds the resources of tasks that no target has room for.
	unplaceable []descriptor.Resources
	// longBlocked is set once a long request that can't be checkpointed exceeds
	// the long allowance.
	longBlocked bool
	allowance   Allowance
}

// Next allocates capacity for up to n requests and returns their placements.
func (s *Scheduler) Next(n int) []Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.runTimers(now)
	if s.cfg.Sequencer.Len() == 0 || n <= 0 {
		s.peak.end(now)
		return nil
	}
	p := &pass{now: now, limit: n, allowance: s.cfg.CapacityPolicy.LongAllowance(now)}
	s.cfg.Sequencer.BeginPass()
	if !s.cfg.NoDeadlineBoost {
		s.placeBoosted(p)
	}
	for !p.slotsExhausted && len(p.placements) < n {
		it := s.cfg.Sequencer.Peek()
		if it == nil {
			break
		}
		s.tryPlace(p, it.Value)
	}
	s.cfg.Sequencer.EndPass()
	s.updatePeak(p)
	if len(p.placements) == n {
		s.signalReady() // there may be more to place
	}
	return p.placements
}

// runTimers applies the state changes that depend on time.
func (s *Scheduler) runTimers(now time.Time) {
	s.applyTargetChanges(now)
	s.expireWaiting(now)
	s.checkOverruns(now)
}

// applyTargetChanges passes the detector's state changes on to the placer.
func (s *Scheduler) applyTargetChanges(now time.Time) {
	if s.cfg.Detector == nil {
		return
	}
	changes := s.cfg.Detector.Changes(now)
	for _, c := range changes {
		s.cfg.Placer.SetState(c.Target, c.State)
	}
	if len(changes) > 0 {
		s.updateCapacity()
	}
}

// placeBoosted places requests whose boost time has passed, the earliest first,
// ahead of the fair order. Admission control keeps these few, and boostTokens
// leave at least half of the placements in fair order in any case.
func (s *Scheduler) placeBoosted(p *pass) {
	attempts := 0
	s.boostIndex.visit(p.now, p.now, func(rec *Record) bool {
		attempts++
		if s.boostTokens < 1 || attempts > maxBoostAttempts || p.slotsExhausted || len(p.placements) >= p.limit {
			return false
		}
		if s.hasExcessBacklog(rec) || s.cfg.Sequencer.OverQuota(rec.req.Team) || s.overLimit(p, rec) {
			return true
		}
		if s.place(p, rec) == placer.Placed {
			s.boostTokens--
			s.counters.boosted.Inc(1)
		}
		return true
	})
}

// hasExcessBacklog reports whether the caller has much more work of the class
// waiting than the mean caller. Its requests are late because of its own backlog,
// and boosting them would take capacity from the other callers.
func (s *Scheduler) hasExcessBacklog(rec *Record) bool {
	// A few requests more than the mean may be due to chance.
	const minRequests, excessFactor = 8, 4
	k := s.waiting.class(rec.item.Class)
	own := s.waiting.caller(rec.req.Caller, s.rules).classes[rec.item.Class]
	return own.Requests > minRequests && own.Work*float64(k.callers) > excessFactor*k.Work
}

// tryPlace places the record or skips it for the rest of the pass.
func (s *Scheduler) tryPlace(p *pass, rec *Record) {
	if s.overLimit(p, rec) {
		s.cfg.Sequencer.SkipClass(rec.item.Class)
		return
	}
	if s.place(p, rec) == placer.Placed {
		s.boostTokens = min(s.boostTokens+1, maxBoostTokens)
		return
	}
	if p.misses == nil {
		p.misses = map[sequencer.Class]int{}
	}
	p.misses[rec.item.Class]++
	if p.misses[rec.item.Class] >= maxMissesPerClass {
		s.cfg.Sequencer.SkipClass(rec.item.Class)
		return
	}
	s.cfg.Sequencer.SkipFlow(&rec.item)
}

// overLimit reports whether starting the record now would exceed the limit of its
// kind or the long allowance.
func (s *Scheduler) overLimit(p *pass, rec *Record) bool {
	need := rec.totalResources()
	kind := rec.req.Kind
	if limit := s.rules.Kinds[kind].CapacityLimit; limit > 0 && limit < 1 &&
		s.share(s.usage.kinds[kind].Add(need)) > limit {
		return true
	}
	if !rec.item.Class.Long {
		return false
	}
	if rec.req.Checkpointable {
		// Capacity freed by a preemption is not given to preemptible work at once.
		coolingDown := p.now.Sub(s.peak.lastPreemption) < preemptCooldown && s.usage.share+rec.share > 1-cooldownMaxIdle
		return (s.waiting.shortResources != (descriptor.Resources{}) || coolingDown) && s.share(s.usage.longNonPreemptible.Add(s.usage.longPreemptible).Add(need)) > p.allowance.Base
	}
	if p.longBlocked {
		return true
	}
	// One long request may always exceed the allowance, because a large one would
	// never run otherwise.
	slowdown := p.now.Sub(rec.arrived).Seconds() / rec.run.Mean.Seconds()
	if s.usage.longNonPreemptible != (descriptor.Resources{}) && s.share(s.usage.longNonPreemptible.Add(need)) > p.allowance.ForSlowdown(slowdown) {
		// Later long requests don't overtake this one, because a large one would
		// starve otherwise.
		p.longBlocked = true
		return true
	}
	return false
}

// place starts the record if the placer finds targets for all of its tasks.
func (s *Scheduler) place(p *pass, rec *Record) placer.Verdict {
	req := rec.req
	if s.needsReservation(p, rec) {
		if rec.gangRequest == nil {
			gang := *rec.req
			gang.Policy = descriptor.Gang
			rec.gangRequest = &gang
		}
		req = rec.gangRequest
	} else if req.Tasks <= 1 {
		for _, r := range p.unplaceable {
			if r.Fits(req.Resources) {
				return placer.NoRoom // at least as large as a task without room
			}
		}
	}
	assignments, verdict := s.cfg.Placer.Place(p.now, placer.Demand{
		Request: req, RunTime: rec.run.Mean, Avoid: rec.avoid,
	})
	switch verdict {
	case placer.Placed:
		s.start(p.now, rec, assignments)
		p.placements = append(p.placements, Placement{Request: rec.req, Attempt: rec.attempt, Tasks: assignments, Run: rec.run.Mean})
	case placer.Reserved:
		rec.reserved = true
	case placer.NoRoom:
		if rec.req.Tasks <= 1 && len(rec.avoid) == 0 {
			p.unplaceable = append(p.unplaceable, rec.req.Resources)
		}
		// Every task takes a slot, so the pass ends when none is free.
		capacity, used := s.cfg.Placer.Totals()
		p.slotsExhausted = rec.req.Resources.Slots > 0 && capacity.Slots <= used.Slots
	}
	return verdict
}

// needsReservation reports whether a single task is so large that smaller tasks
// could starve it by taking every slot that becomes free.
func (s *Scheduler) needsReservation(p *pass, rec *Record) bool {
	const (
		sizeFactor = 2 // times the mean of the running tasks
		minWait    = time.Second
	)
	if rec.req.Tasks > 1 || rec.req.Policy == descriptor.Service || s.tasks.size == 0 {
		return false
	}
	waited := p.now.Sub(rec.arrived)
	return waited >= max(minWait, rec.run.Mean) && rec.share*float64(s.tasks.size) >= sizeFactor*s.usage.share
}

// start turns a waiting record into running tasks and charges their expected run
// times.
func (s *Scheduler) start(now time.Time, rec *Record, assignments []placer.Assignment) {
	class := rec.item.Class
	s.unindexDeadlines(rec)
	s.waiting.remove(rec, s.rules)
	s.cfg.Sequencer.Serve(&rec.item)
	s.cfg.Admitter.RecordStart(now, class, rec.queuedWork, s.waiting.class(class).Backlog)
	rec.attempt++
	if rec.reserved {
		// The record may have been placed without using its reservation, which
		// would then keep capacity.
		s.cfg.Placer.CancelReservation(rec.req.Key)
		rec.reserved = false
	}
	rec.tasks = rec.tasks[:0]
	share := s.share(rec.req.Resources)
	for _, a := range assignments {
		t := &task{
			ref:  taskRef{rec.req.Key, rec.attempt, a.Index, a.Target},
			rec:  rec,
			team: rec.req.Team, caller: rec.req.Caller, class: class,
			resources: rec.req.Resources, share: share, started: now,
			long: class.Long, preemptible: rec.req.Checkpointable,
			heapIndex: -1,
		}
		rec.tasks = append(rec.tasks, t)
		s.charge(t, min(rec.run.Mean, maxAdvanceCharge))
		t.checkAt = now.Add(min(rec.run.High, maxAdvanceCharge))
		s.track(t)
	}
	s.updateTeamUsage(rec.req.Team)
	s.counters.placed.Inc(1)
}
