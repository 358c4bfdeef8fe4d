package scheduler

import (
	"container/heap"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/sequencer"
)

// maxCharge is the longest run that is charged in advance. Charging a service
// or a long plan for its whole run at once would keep its team out for as long.
const maxCharge = 30 * time.Second

// usage sums the resources of running tasks.
type usage struct {
	teams map[descriptor.TeamID]descriptor.Resources
	kinds map[descriptor.KindName]descriptor.Resources
	// share sums the shares of all running tasks.
	share float64
	// tasks counts the running tasks of each target.
	tasks map[descriptor.TargetID]int
	// long is used by long work that can't be moved away, lent by long work that
	// can be checkpointed.
	long, lent descriptor.Resources
}

func newUsage() usage {
	return usage{
		teams: map[descriptor.TeamID]descriptor.Resources{},
		kinds: map[descriptor.KindName]descriptor.Resources{},
		tasks: map[descriptor.TargetID]int{},
	}
}

func (u *usage) add(t *task, r descriptor.Resources) {
	u.teams[t.team] = u.teams[t.team].Add(r)
	u.kinds[t.class.Kind] = u.kinds[t.class.Kind].Add(r)
	u.addLong(t, r)
}

func (u *usage) addLong(t *task, r descriptor.Resources) {
	switch {
	case t.long && t.movable:
		u.lent = u.lent.Add(r)
	case t.long:
		u.long = u.long.Add(r)
	}
}

// Result is the end of a task.
type Result struct {
	Succeeded bool
	// Started is false if the task surely did not run.
	Started bool
	Ran     time.Duration
}

// Ended frees the capacity of one task, once. Repeats and tasks of other
// attempts or targets are ignored.
func (s *Scheduler) Ended(key descriptor.Key, attempt descriptor.Attempt, index int,
	target descriptor.TargetID, res Result,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks.get(taskRef{key, attempt, index, target})
	if !ok {
		return
	}
	now := s.cfg.Clock.Now()
	s.untrack(t)
	s.cfg.Placer.Release(now, target, t.resources)
	s.usageChanged(t.team)
	s.settle(now, t, res)
	if t.rec != nil {
		s.detach(t)
	}
	s.applyChanges(now)
	s.signal()
}

// settle corrects the charge to the observed run and learns from it.
func (s *Scheduler) settle(now time.Time, t *task, res Result) {
	ran := res.Ran
	if !res.Started {
		s.charge(t, -t.charged)
		return
	}
	if ran <= 0 {
		ran = now.Sub(t.started)
	}
	s.charge(t, ran-t.charged)
	directed := t.rec != nil && t.rec.directed
	if s.cfg.Detector != nil && !directed {
		s.cfg.Detector.Observe(t.ref.target, t.ref.key, t.class.Kind, res.Succeeded, ran, now)
	}
	// A failure may come early and a throttled task late, so that neither says
	// how long such work runs.
	if t.rec != nil && res.Succeeded && !t.throttledEver {
		s.cfg.Estimator.Observe(t.rec.req, ran+t.rec.spent)
	}
}

// detach takes an ended task from its record.
func (s *Scheduler) detach(t *task) {
	rec := t.rec
	for i, other := range rec.tasks {
		if other == t {
			rec.tasks[i] = rec.tasks[len(rec.tasks)-1]
			rec.tasks = rec.tasks[:len(rec.tasks)-1]
			break
		}
	}
	if len(rec.tasks) > 0 {
		return
	}
	if rec.directed {
		rec.spent += s.cfg.Clock.Now().Sub(t.started)
	}
	if current, ok := s.records.get(rec.req.Key); rec.done && ok && current == rec {
		s.records.remove(rec.req.Key)
	}
}

// charge adds run time to what the task's caller, team and lane have used.
func (s *Scheduler) charge(t *task, run time.Duration) {
	t.charged += run
	s.cfg.Sequencer.Charge(t.team, t.caller, t.class, t.share*run.Seconds())
}

// track counts a task as running.
func (s *Scheduler) track(t *task) {
	s.tasks.put(t.ref, t)
	s.usage.add(t, t.resources)
	s.usage.tasks[t.ref.target]++
	s.usage.share += t.share
	if t.movable {
		s.movable[t] = struct{}{}
	}
	heap.Push(&s.overruns, t)
}

func (s *Scheduler) untrack(t *task) {
	s.tasks.remove(t.ref)
	s.usage.add(t, descriptor.Resources{}.Sub(t.resources))
	if s.usage.tasks[t.ref.target]--; s.usage.tasks[t.ref.target] == 0 {
		delete(s.usage.tasks, t.ref.target)
	}
	if s.usage.share -= t.share; s.tasks.n == 0 {
		s.usage.share = 0 // drops the rounding error
	}
	delete(s.movable, t)
	delete(s.peak.throttled, t)
	heap.Remove(&s.overruns, t.pos)
}

func (s *Scheduler) usageChanged(team descriptor.TeamID) {
	used := s.usage.teams[team]
	if used == (descriptor.Resources{}) {
		delete(s.usage.teams, team)
	}
	s.cfg.Sequencer.SetUsage(team, s.share(used))
}

// Adopt counts a task that was found on a target's own list. Its request is not
// known, so that it is charged to the team but teaches nothing.
func (s *Scheduler) Adopt(target descriptor.TargetID, key descriptor.Key, team descriptor.TeamID,
	kind descriptor.KindName, attempt descriptor.Attempt, index int, r descriptor.Resources, running time.Duration,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ref := taskRef{key, attempt, index, target}
	if _, ok := s.tasks.get(ref); ok {
		return
	}
	now := s.cfg.Clock.Now()
	rule := s.rules.Kinds[kind]
	long := rule.Policy == descriptor.Service || s.cfg.Sharer.IsLong(max(running, rule.Run))
	t := &task{
		ref: ref, team: team, caller: key.Caller, resources: r, share: s.share(r),
		class:   sequencer.Class{Kind: kind, Priority: rule.Priority, Long: long},
		started: now.Add(-running), charged: running,
		checkAt: now.Add(min(max(running, time.Second), maxCharge)),
		long:    long, movable: rule.Checkpointable, adopted: true, pos: -1,
	}
	s.cfg.Placer.Take(target, r)
	s.track(t)
	s.usageChanged(team)
}

// checkOverruns charges tasks that run on beyond their charge. Short work that
// turns out to be long no longer counts as short, so that it loses its place in
// the capacity kept for short work.
func (s *Scheduler) checkOverruns(now time.Time) {
	for len(s.overruns) > 0 && !s.overruns[0].checkAt.After(now) {
		t := s.overruns[0]
		elapsed := now.Sub(t.started)
		s.charge(t, max(elapsed-t.charged, 0)+min(elapsed, maxCharge))
		t.checkAt = now.Add(min(max(elapsed, time.Millisecond), maxCharge))
		heap.Fix(&s.overruns, 0)
		if !t.long && s.cfg.Sharer.IsLong(elapsed) {
			t.long = true
			s.usage.addLong(t, t.resources)
			s.counters.overran.Inc(1)
		}
	}
}

// overruns is a heap of running tasks by the time of their next check.
type overruns []*task

func (h overruns) Len() int           { return len(h) }
func (h overruns) Less(i, j int) bool { return h[i].checkAt.Before(h[j].checkAt) }

func (h overruns) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *overruns) Push(x any) {
	t := x.(*task)
	t.pos = len(*h)
	*h = append(*h, t)
}

func (h *overruns) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
