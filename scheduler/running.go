package scheduler

import (
	"container/heap"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/sequencer"
)

// maxAdvanceCharge is the longest run time that is charged in advance. Charging a
// service or a long batch run in full at its start would keep its team from being
// served for as long.
const maxAdvanceCharge = 30 * time.Second

// usage sums the resources of running tasks.
type usage struct {
	teams map[descriptor.TeamID]descriptor.Resources
	kinds map[descriptor.KindName]descriptor.Resources
	// share sums the shares of all running tasks.
	share float64
	// targetTasks counts the running tasks of each target.
	targetTasks map[descriptor.TargetID]int
	// longNonPreemptible and longPreemptible sum the resources of long tasks
	// without and with support for checkpoints.
	longNonPreemptible, longPreemptible descriptor.Resources
}

func newUsage() usage {
	return usage{
		teams:       map[descriptor.TeamID]descriptor.Resources{},
		kinds:       map[descriptor.KindName]descriptor.Resources{},
		targetTasks: map[descriptor.TargetID]int{},
	}
}

func (u *usage) add(t *task, r descriptor.Resources) {
	u.teams[t.team] = u.teams[t.team].Add(r)
	u.kinds[t.class.Kind] = u.kinds[t.class.Kind].Add(r)
	u.addLong(t, r)
}

func (u *usage) addLong(t *task, r descriptor.Resources) {
	switch {
	case t.long && t.preemptible:
		u.longPreemptible = u.longPreemptible.Add(r)
	case t.long:
		u.longNonPreemptible = u.longNonPreemptible.Add(r)
	}
}

// Result is the result of a task.
type Result struct {
	Succeeded bool
	// Started is false only if the task certainly did not run.
	Started bool
	Ran     time.Duration
}

// Ended releases the capacity of a task that has ended. It ignores repeated calls
// and unknown tasks, such as those of other attempts or targets.
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
	s.updateTeamUsage(t.team)
	s.recordResult(now, t, res)
	if t.rec != nil {
		s.detach(t)
	}
	s.applyTargetChanges(now)
	s.signalReady()
}

// recordResult corrects the charge to the actual run time and passes the result to
// the detector and the estimator.
func (s *Scheduler) recordResult(now time.Time, t *task, res Result) {
	ran := res.Ran
	if !res.Started {
		s.charge(t, -t.charged)
		return
	}
	if ran <= 0 {
		ran = now.Sub(t.started)
	}
	s.charge(t, ran-t.charged)
	preempted := t.rec != nil && t.rec.preempted
	if s.cfg.Detector != nil && !preempted {
		s.cfg.Detector.Observe(t.ref.target, t.ref.key, t.class.Kind, res.Succeeded, ran, now)
	}
	// Failed tasks may end early and throttled tasks late, so neither is a valid
	// sample of the run time.
	if t.rec != nil && res.Succeeded && !t.everThrottled {
		s.cfg.Estimator.Observe(t.rec.req, ran+t.rec.checkpointedRun)
	}
}

// detach removes an ended task from its record, and the record once its last task
// has ended and it is done.
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
	if rec.preempted {
		rec.checkpointedRun += s.cfg.Clock.Now().Sub(t.started)
	}
	if current, ok := s.records.get(rec.req.Key); rec.done && ok && current == rec {
		s.records.remove(rec.req.Key)
	}
}

// charge adds run time to the usage of the task's caller, team and lane.
func (s *Scheduler) charge(t *task, run time.Duration) {
	t.charged += run
	s.cfg.Sequencer.Charge(t.team, t.caller, t.class, t.share*run.Seconds())
}

// track adds a task to the running tasks.
func (s *Scheduler) track(t *task) {
	s.tasks.put(t.ref, t)
	s.usage.add(t, t.resources)
	s.usage.targetTasks[t.ref.target]++
	s.usage.share += t.share
	if t.preemptible {
		s.preemptible[t] = struct{}{}
	}
	heap.Push(&s.overruns, t)
}

func (s *Scheduler) untrack(t *task) {
	s.tasks.remove(t.ref)
	s.usage.add(t, descriptor.Resources{}.Sub(t.resources))
	if s.usage.targetTasks[t.ref.target]--; s.usage.targetTasks[t.ref.target] == 0 {
		delete(s.usage.targetTasks, t.ref.target)
	}
	if s.usage.share -= t.share; s.tasks.size == 0 {
		s.usage.share = 0 // discards the accumulated rounding error
	}
	delete(s.preemptible, t)
	delete(s.peak.throttled, t)
	heap.Remove(&s.overruns, t.heapIndex)
}

func (s *Scheduler) updateTeamUsage(team descriptor.TeamID) {
	used := s.usage.teams[team]
	if used == (descriptor.Resources{}) {
		delete(s.usage.teams, team)
	}
	s.cfg.Sequencer.SetUsage(team, s.share(used))
}

// Adopt adds a running task that a target has reported but that the scheduler did
// not start. Its request is unknown, so its run is charged to the team but does not
// train the estimator.
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
	long := rule.Policy == descriptor.Service || s.cfg.CapacityPolicy.IsLong(max(running, rule.DeclaredRun))
	t := &task{
		ref: ref, team: team, caller: key.Caller, resources: r, share: s.share(r),
		class:   sequencer.Class{Kind: kind, Priority: rule.Priority, Long: long},
		started: now.Add(-running), charged: running,
		checkAt: now.Add(min(max(running, time.Second), maxAdvanceCharge)),
		long:    long, preemptible: rule.Checkpointable, adopted: true, heapIndex: -1,
	}
	s.cfg.Placer.AddRunning(target, r)
	s.track(t)
	s.updateTeamUsage(team)
}

// checkOverruns charges tasks that run longer than charged so far. Short tasks whose
// run exceeds the threshold are reclassified as long, so that they no longer use
// the capacity reserved for short work.
func (s *Scheduler) checkOverruns(now time.Time) {
	for len(s.overruns) > 0 && !s.overruns[0].checkAt.After(now) {
		t := s.overruns[0]
		elapsed := now.Sub(t.started)
		s.charge(t, max(elapsed-t.charged, 0)+min(elapsed, maxAdvanceCharge))
		t.checkAt = now.Add(min(max(elapsed, time.Millisecond), maxAdvanceCharge))
		heap.Fix(&s.overruns, 0)
		if !t.long && s.cfg.CapacityPolicy.IsLong(elapsed) {
			t.long = true
			s.usage.addLong(t, t.resources)
			s.counters.overran.Inc(1)
		}
	}
}

// overrunHeap is a heap of running tasks, ordered by checkAt.
type overrunHeap []*task

func (h overrunHeap) Len() int           { return len(h) }
func (h overrunHeap) Less(i, j int) bool { return h[i].checkAt.Before(h[j].checkAt) }

func (h overrunHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *overrunHeap) Push(x any) {
	t := x.(*task)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

func (h *overrunHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
