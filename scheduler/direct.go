package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// Directive is an instruction to the target of a running task.
type Directive struct {
	Key       descriptor.Key
	Attempt   descriptor.Attempt
	Index     int
	Target    descriptor.TargetID
	Directive connector.Directive
}

const (
	// preemptDelay is how long short work must be blocked for lack of capacity
	// before long work is preempted. It is divided by the PeakWait weight.
	preemptDelay = 200 * time.Millisecond
	// unthrottleDelay is how long short work must have been unblocked before
	// throttled work is unthrottled.
	unthrottleDelay = 2 * time.Second
	// preemptCooldown is how long after a preemption checkpointable long work may
	// not start beyond the long allowance. Without it the preempted work restarts
	// as soon as the short work has ended and is preempted again a second later.
	preemptCooldown = 10 * time.Second
	// cooldownMaxIdle is the fraction of the capacity that may stay idle because
	// of the cooldown.
	cooldownMaxIdle = 0.25
	// directiveTimeout is how long a checkpoint directive may take. A task that
	// still runs after it may be preempted again, because directives can be lost.
	directiveTimeout = 30 * time.Second
	// minCheckpointInterval is the minimum run time of a task before it may be
	// checkpointed, so that it makes progress between checkpoints.
	minCheckpointInterval = 5 * time.Second
)

// demandPeak is the state of a demand peak, during which short work is blocked for
// lack of capacity.
type demandPeak struct {
	// blockedSince is when the peak began; zero outside of a peak.
	blockedSince   time.Time
	lastBlocked    time.Time
	lastPreemption time.Time
	// throttled holds the tasks that were sent a throttle directive.
	throttled map[*task]struct{}
}

func (p *demandPeak) end(time.Time) { p.blockedSince = time.Time{} }

// updatePeak starts, continues or ends the demand peak after a pass. A pass that
// reached its limit of placements does not show that capacity is lacking.
func (s *Scheduler) updatePeak(p *pass) {
	if s.waiting.shortResources == (descriptor.Resources{}) || len(p.placements) == p.limit {
		s.peak.end(p.now)
		return
	}
	if s.peak.blockedSince.IsZero() {
		s.peak.blockedSince = p.now
	}
	s.peak.lastBlocked = p.now
}

// Directives returns the directives to send for running tasks. During a demand
// peak, checkpointable long work is preempted, in the order of lowest priority,
// fewest earlier preemptions and latest start, and other long bulk work is
// throttled.
func (s *Scheduler) Directives() []Directive {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	if s.peak.blockedSince.IsZero() {
		return s.unthrottle(now)
	}
	delay := time.Duration(float64(preemptDelay) / weightOr1(s.rules.Weights.PeakWait))
	if now.Sub(s.peak.blockedSince) < delay {
		return nil
	}
	return append(s.preemptLong(now), s.throttleBulk()...)
}

func weightOr1(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// preemptLong checkpoints as much long work as the waiting short work needs.
func (s *Scheduler) preemptLong(now time.Time) []Directive {
	var pending descriptor.Resources // to be freed by earlier directives
	var candidates []*task
	for t := range s.preemptible {
		if t.rec != nil && t.rec.preempted && now.Sub(t.rec.preemptedAt) > directiveTimeout {
			t.rec.preempted = false
		}
		switch {
		case t.rec != nil && t.rec.preempted:
			pending = pending.Add(t.resources)
		case t.long && t.rec != nil && now.Sub(t.started) >= minCheckpointInterval:
			candidates = append(candidates, t)
		}
	}
	// Long work is preempted only down to its allowance, because otherwise every
	// chance burst of short requests would preempt it. The PeakWait weight lowers
	// the allowance.
	allowance := s.cfg.CapacityPolicy.LongAllowance(now).Base / max(weightOr1(s.rules.Weights.PeakWait), 1)
	need := min(s.share(s.waiting.shortResources), s.share(s.usage.longNonPreemptible.Add(s.usage.longPreemptible))-allowance) - s.share(pending)
	slices.SortFunc(candidates, func(a, b *task) int {
		return cmp.Or(
			-cmp.Compare(a.class.Priority, b.class.Priority),
			cmp.Compare(a.rec.preemptions, b.rec.preemptions),
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
		if t.rec.preempted {
			continue // preempted with another task of its gang
		}
		t.rec.preempted, t.rec.preemptedAt = true, now
		t.rec.preemptions++
		s.peak.lastPreemption = now
		for _, member := range t.rec.tasks {
			need -= member.share
			out = append(out, member.directive(connector.CheckpointTask))
		}
	}
	s.counters.directives.Inc(int64(len(out)))
	return out
}

// throttleBulk throttles long bulk work that can't be checkpointed.
func (s *Scheduler) throttleBulk() []Directive {
	var out []Directive
	for _, t := range s.overruns {
		if !t.long || t.preemptible || t.throttled || t.class.Priority != descriptor.Bulk {
			continue
		}
		t.throttled, t.everThrottled = true, true
		if s.peak.throttled == nil {
			s.peak.throttled = map[*task]struct{}{}
		}
		s.peak.throttled[t] = struct{}{}
		out = append(out, t.directive(connector.ThrottleTask))
	}
	s.counters.directives.Inc(int64(len(out)))
	return out
}

// unthrottle ends the throttling once unthrottleDelay has passed since the peak.
func (s *Scheduler) unthrottle(now time.Time) []Directive {
	if len(s.peak.throttled) == 0 || now.Sub(s.peak.lastBlocked) < unthrottleDelay {
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
	s.counters.directives.Inc(int64(len(out)))
	return out
}

func (t *task) directive(d connector.Directive) Directive {
	return Directive{
		Key: t.ref.key, Attempt: t.ref.attempt, Index: t.ref.index, Target: t.ref.target, Directive: d,
	}
}
