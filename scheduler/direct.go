package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// Directive is an order to change a running task.
type Directive struct {
	Key       descriptor.Key
	Attempt   descriptor.Attempt
	Index     int
	Target    descriptor.TargetID
	Directive connector.Directive
}

const (
	// peakDelay is how long short work must wait without room before long work
	// is moved away. A weight for the crest shortens it.
	peakDelay = 200 * time.Millisecond
	// peakEnd is how long short work must have had room before throttled work is
	// set free.
	peakEnd = 2 * time.Second
	// relendPause is how long after an order to checkpoint no capacity beyond the
	// allowance is lent again. Without it the stopped work starts again as soon as
	// the short work has ended, and is stopped again a second later.
	relendPause = 10 * time.Second
	// relendFree is the part of the capacity that may stay idle because of the
	// pause.
	relendFree = 0.25
	// orderTimeout is how long an order may take. A task that still runs after it
	// may be ordered again, since the order can get lost.
	orderTimeout = 30 * time.Second
	// checkpointPause is how long a task runs at least between checkpoints, so
	// that it makes progress.
	checkpointPause = 5 * time.Second
)

// peak is the state of a demand peak.
type peak struct {
	// since is when short work began to wait without room; zero if it doesn't.
	since time.Time
	last  time.Time
	// ordered is when work was last told to checkpoint.
	ordered time.Time
	// throttled holds the tasks that were told to slow down.
	throttled map[*task]struct{}
}

// over ends the peak.
func (k *peak) over(time.Time) { k.since = time.Time{} }

// watchPeak notes whether short work was left without room.
func (s *Scheduler) watchPeak(p *pass) {
	if s.waiting.short == (descriptor.Resources{}) || len(p.out) == p.limit {
		s.peak.over(p.now)
		return
	}
	if s.peak.since.IsZero() {
		s.peak.since = p.now
	}
	s.peak.last = p.now
}

// Directives returns orders for running work. At a demand peak, when short work
// waits without room, checkpointable long work is told to make room, the lowest
// priority, the least often stopped and the latest start first, and other bulk work is throttled.
func (s *Scheduler) Directives() []Directive {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if s.peak.since.IsZero() {
		return s.relax(now)
	}
	delay := time.Duration(float64(peakDelay) / weightOr1(s.rules.Weights.Crest))
	if now.Sub(s.peak.since) < delay {
		return nil
	}
	return append(s.checkpoint(now), s.throttle()...)
}

func weightOr1(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// checkpoint selects as much long work as the waiting short work needs.
func (s *Scheduler) checkpoint(now time.Time) []Directive {
	var leaving descriptor.Resources // on its way out already
	var candidates []*task
	for t := range s.movable {
		if t.rec != nil && t.rec.directed && now.Sub(t.rec.directedAt) > orderTimeout {
			t.rec.directed = false
		}
		switch {
		case t.rec != nil && t.rec.directed:
			leaving = leaving.Add(t.resources)
		case t.long && t.rec != nil && now.Sub(t.started) >= checkpointPause:
			candidates = append(candidates, t)
		}
	}
	// Only what long work takes beyond its allowance is called back, or each
	// chance coincidence of short requests would stop long work. A weight for the
	// crest lowers the allowance.
	allowance := s.cfg.Sharer.LongAllowance(now).Usual / max(weightOr1(s.rules.Weights.Crest), 1)
	need := min(s.share(s.waiting.short), s.share(s.usage.long.Add(s.usage.lent))-allowance) - s.share(leaving)
	slices.SortFunc(candidates, func(a, b *task) int {
		return cmp.Or(
			-cmp.Compare(a.class.Priority, b.class.Priority),
			cmp.Compare(a.rec.stops, b.rec.stops),
			-a.started.Compare(b.started),
			cmp.Compare(a.ref.key.String(), b.ref.key.String()),
			cmp.Compare(a.ref.index, b.ref.index),
		)
	})
	var out []Directive
	for _, t := range candidates {
		if need <= 0 {
			break
		}
		if t.rec.directed {
			continue // with another task of its gang
		}
		t.rec.directed, t.rec.directedAt = true, now
		t.rec.stops++
		s.peak.ordered = now
		for _, member := range t.rec.tasks {
			need -= member.share
			out = append(out, member.directive(connector.CheckpointTask))
		}
	}
	s.counters.direct.Inc(int64(len(out)))
	return out
}

// throttle slows bulk work down that can't be moved away.
func (s *Scheduler) throttle() []Directive {
	var out []Directive
	for _, t := range s.overruns {
		if !t.long || t.movable || t.throttled || t.class.Priority != descriptor.Bulk {
			continue
		}
		t.throttled, t.throttledEver = true, true
		if s.peak.throttled == nil {
			s.peak.throttled = map[*task]struct{}{}
		}
		s.peak.throttled[t] = struct{}{}
		out = append(out, t.directive(connector.ThrottleTask))
	}
	s.counters.direct.Inc(int64(len(out)))
	return out
}

// relax sets throttled work free some time after the peak.
func (s *Scheduler) relax(now time.Time) []Directive {
	if len(s.peak.throttled) == 0 || now.Sub(s.peak.last) < peakEnd {
		return nil
	}
	var out []Directive
	for _, t := range s.overruns {
		if t.throttled {
			t.throttled = false
			out = append(out, t.directive(connector.UnthrottleTask))
		}
	}
	clear(s.peak.throttled)
	s.counters.direct.Inc(int64(len(out)))
	return out
}

func (t *task) directive(d connector.Directive) Directive {
	return Directive{
		Key: t.ref.key, Attempt: t.ref.attempt, Index: t.ref.index, Target: t.ref.target, Directive: d,
	}
}
