package scheduler

import (
	"time"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/sequencer"
)

// Placement is a request that starts now. Its capacity is taken.
type Placement struct {
	Request *descriptor.Request
	Attempt descriptor.Attempt
	Tasks   []placer.Assignment
	// Run is the expected run time of a task.
	Run time.Duration
}

const (
	// maxMisses is the number of requests of one class that are tried in a pass
	// without room. More would let a full cell cost time in proportion to the
	// queue.
	maxMisses = 4
	// rescuePart is the part of the time from arrival to deadline before the latest
	// start in which a request may overtake others. Large work needs some time
	// until there is room for it on one target.
	rescuePart = 0.1
	// urgentRescue is the same for the bound of urgent work.
	urgentRescue = admitter.UrgentStart * 9 / 10
	// maxRescueTries bounds the time that a pass spends on late requests.
	maxRescueTries = 64
	// maxRescues is how many rescues can be saved up. Each placement in fair
	// order allows one, so that rescues are at most half of all placements.
	maxRescues = 64
)

// pass is the state of one call of Next.
type pass struct {
	now    time.Time
	limit  int
	out    []Placement
	full   bool
	misses map[sequencer.Class]int
	// shapes are the demands that found no room.
	shapes []descriptor.Resources
	// longFull says that long work has reached its allowance.
	longFull  bool
	allowance Allowance
}

// Next returns up to n placements to send now, with their capacity taken.
func (s *Scheduler) Next(n int) []Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	s.tick(now)
	if s.cfg.Sequencer.Len() == 0 || n <= 0 {
		s.peak.over(now)
		return nil
	}
	p := &pass{now: now, limit: n, allowance: s.cfg.Sharer.LongAllowance(now)}
	s.cfg.Sequencer.Begin()
	if !s.cfg.NoRescue {
		s.rescueLate(p)
	}
	for !p.full && len(p.out) < n {
		it := s.cfg.Sequencer.Peek()
		if it == nil {
			break
		}
		s.try(p, it.Value)
	}
	s.cfg.Sequencer.End()
	s.watchPeak(p)
	if len(p.out) == n {
		s.signal() // there may be more
	}
	return p.out
}

// tick does what is due by time.
func (s *Scheduler) tick(now time.Time) {
	s.applyChanges(now)
	s.expire(now)
	s.checkOverruns(now)
}

// applyChanges passes the detector's findings on to the placer.
func (s *Scheduler) applyChanges(now time.Time) {
	if s.cfg.Detector == nil {
		return
	}
	changes := s.cfg.Detector.Changes(now)
	for _, c := range changes {
		s.cfg.Placer.SetState(c.Target, c.State)
	}
	if len(changes) > 0 {
		s.resize()
	}
}

// rescueLate places requests whose latest start is near, the nearest first, whatever
// their turn. Admission makes sure that these are few; half of the placements
// stay in fair order in any case.
func (s *Scheduler) rescueLate(p *pass) {
	tries := 0
	s.rescue.visit(p.now, p.now, func(rec *Record) bool {
		tries++
		if s.rescues < 1 || tries > maxRescueTries || p.full || len(p.out) >= p.limit {
			return false
		}
		if s.crowding(rec) || s.cfg.Sequencer.OverQuota(rec.req.Team) || s.barred(p, rec) {
			return true
		}
		if s.place(p, rec) == placer.Placed {
			s.rescues--
			s.counters.rescued.Inc(1)
		}
		return true
	})
}

// crowding reports whether the caller has more work waiting than most. Its late
// requests are late by its own doing, and rescuing them would take the turns of
// the others.
func (s *Scheduler) crowding(rec *Record) bool {
	// A caller may have some requests more than the mean by chance.
	const few, excess = 8, 4
	k := s.waiting.class(rec.item.Class)
	own := s.waiting.caller(rec.req.Caller, s.rules).classes[rec.item.Class]
	return own.Requests > few && own.Work*float64(k.callers) > excess*k.Work
}

// try places the record or skips it for this pass.
func (s *Scheduler) try(p *pass, rec *Record) {
	if s.barred(p, rec) {
		s.cfg.Sequencer.Block(rec.item.Class)
		return
	}
	if s.place(p, rec) == placer.Placed {
		s.rescues = min(s.rescues+1, maxRescues)
		return
	}
	if p.misses == nil {
		p.misses = map[sequencer.Class]int{}
	}
	p.misses[rec.item.Class]++
	if p.misses[rec.item.Class] >= maxMisses {
		s.cfg.Sequencer.Block(rec.item.Class)
		return
	}
	s.cfg.Sequencer.SetAside(&rec.item)
}

// barred reports whether a limit keeps the record from starting now.
func (s *Scheduler) barred(p *pass, rec *Record) bool {
	need := rec.need()
	kind := rec.req.Kind
	if limit := s.rules.Kinds[kind].Limit; limit > 0 && limit < 1 &&
		s.share(s.usage.kinds[kind].Add(need)) > limit {
		return true
	}
	if !rec.item.Class.Long {
		return false
	}
	if rec.req.Checkpointable {
		// Lent capacity is not taken back and lent out again at once.
		recent := p.now.Sub(s.peak.ordered) < relendPause && s.usage.share+rec.share > 1-relendFree
		return (s.waiting.short != (descriptor.Resources{}) || recent) && s.share(s.usage.long.Add(s.usage.lent).Add(need)) > p.allowance.Usual
	}
	if p.longFull {
		return true
	}
	// The first long request always gets a place, or a large one would never run.
	slowdown := p.now.Sub(rec.arrived).Seconds() / rec.run.Mean.Seconds()
	if s.usage.long != (descriptor.Resources{}) && s.share(s.usage.long.Add(need)) > p.allowance.After(slowdown) {
		// Later long requests don't overtake this one, or a large one would wait
		// for ever.
		p.longFull = true
		return true
	}
	return false
}

// place asks the placer and starts the record if there is room.
func (s *Scheduler) place(p *pass, rec *Record) placer.Verdict {
	req := rec.req
	if s.overtaken(p, rec) {
		if rec.gang == nil {
			gang := *rec.req
			gang.Policy = descriptor.Gang
			rec.gang = &gang
		}
		req = rec.gang
	} else if req.Tasks <= 1 {
		for _, shape := range p.shapes {
			if shape.Fits(req.Resources) {
				return placer.NoRoom // at least as large as one without room
			}
		}
	}
	assignments, verdict := s.cfg.Placer.Place(p.now, placer.Demand{
		Request: req, Run: rec.run.Mean, Avoid: rec.avoid,
	})
	switch verdict {
	case placer.Placed:
		s.start(p.now, rec, assignments)
		p.out = append(p.out, Placement{Request: rec.req, Attempt: rec.attempt, Tasks: assignments, Run: rec.run.Mean})
	case placer.Reserved:
		rec.reserved = true
	case placer.NoRoom:
		if rec.req.Tasks <= 1 && len(rec.avoid) == 0 {
			p.shapes = append(p.shapes, rec.req.Resources)
		}
		// Every task takes a slot, so that without a free one the pass is over.
		capacity, used := s.cfg.Placer.Totals()
		p.full = rec.req.Resources.Slots > 0 && capacity.Slots <= used.Slots
	}
	return verdict
}

// overtaken reports whether smaller work keeps a large single task from ever
// finding room on one target.
func (s *Scheduler) overtaken(p *pass, rec *Record) bool {
	const (
		large    = 2 // times the mean of the running tasks
		patience = time.Second
	)
	if rec.req.Tasks > 1 || rec.req.Policy == descriptor.Service || s.tasks.n == 0 {
		return false
	}
	waited := p.now.Sub(rec.arrived)
	return waited >= max(patience, rec.run.Mean) && rec.share*float64(s.tasks.n) >= large*s.usage.share
}

// start turns a waiting record into running tasks and charges for them.
func (s *Scheduler) start(now time.Time, rec *Record, assignments []placer.Assignment) {
	class := rec.item.Class
	s.unwatch(rec)
	s.waiting.remove(rec, s.rules)
	s.cfg.Sequencer.Serve(&rec.item)
	s.cfg.Admitter.Served(now, class, rec.queuedWork, s.waiting.class(class).Backlog)
	rec.attempt++
	if rec.reserved {
		// Work that was placed without its reservation must not leave it behind.
		s.cfg.Placer.Withdraw(rec.req.Key)
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
			long: class.Long, movable: rec.req.Checkpointable,
			pos: -1,
		}
		rec.tasks = append(rec.tasks, t)
		s.charge(t, min(rec.run.Mean, maxCharge))
		t.checkAt = now.Add(min(rec.run.High, maxCharge))
		s.track(t)
	}
	s.usageChanged(rec.req.Team)
	s.counters.placed.Inc(1)
}
