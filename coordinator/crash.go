package coordinator

import (
	"math"
	"slices"
	"time"

	"github.com/masticlead/masticlead/blamer"
	w "github.com/masticlead/masticlead/workload"
)

// A task may crash each target that starts it. When a target crashes, the runs that had
// just started there are suspects: their tasks start again one at a time on a target on
// which nothing else has just started. A task under which a target crashes again is given
// up. Only a part of the targets is used for such starts.

const (
	// survivalTime is the time after the start of a run for which its target must still
	// answer for the run not to be a suspect when the target crashes.
	survivalTime = 150 * time.Millisecond
	// maxCrashes is the number of targets that crash under a task before its job fails,
	// if the last one had no other suspect. Without that, one more.
	maxCrashes = 2
	// minRiskShare is the share of a service's targets that may be lost to, or used for,
	// starts of suspects and first tasks at the same time. It grows with the share of
	// the capacity that is free, to at most maxRiskShare.
	minRiskShare = 0.25
	maxRiskShare = 0.75
	// returnTime is the time within which a crashed target is usually back.
	returnTime = 4 * time.Second
	// clearingTime is the time for which targets are kept free of other starts for a gang
	// that starts as a probe. Runs are seen to survive within a full report.
	clearingTime = time.Second
)

// crashRecord is what is known of the targets that were lost under a task or, for a
// gang, under all of its tasks. crashed and unclear are kept in the store.
type crashRecord struct {
	crashed []w.RunID // runs under which a target crashed shortly after their start
	unclear []w.RunID // runs of a suspect whose fate is not known
	nextRun w.RunID   // the run in unclear that starts next, or 0
	retryAt time.Time // when the task may start again
}

func (r *crashRecord) suspect() bool { return len(r.crashed)+len(r.unclear) > 0 }

// pause returns the time before the next start of a suspect. Runs whose fate is not known
// don't extend it further, since leaders that were replaced leave such runs behind.
func (r *crashRecord) pause() time.Duration {
	switch {
	case len(r.crashed)+len(r.unclear) <= 1:
		return 0
	case len(r.crashed) < maxCrashes:
		return 2 * time.Second
	}
	return 8 * time.Second
}

// crashes returns the crash record that counts for a task.
func (s *step) crashes(i int) *crashRecord {
	if s.Gang {
		i = 0
	}
	return &s.tasks[i].crashRecord
}

// survived reports whether the target of a slot has answered long enough after the start
// of its run. The times at the member are not changed by reports that wait to be processed.
func (t *target) survived(sl *slot) bool {
	if sl.startedAtMember > 0 && t.answeredAtMember > 0 {
		return t.answeredAtMember-sl.startedAtMember >= survivalTime
	}
	return !sl.startedAt.IsZero() && t.answeredAt.Sub(sl.startedAt) >= survivalTime
}

// suspects returns the slots of the runs that have just started on a target. If the
// target was lost, orders that were sent after that are left out.
func (t *target) suspects() []*slot {
	var list []*slot
	for _, sl := range t.slots {
		if sl.step != nil && !t.survived(sl) && (t.closedAt.IsZero() || !sl.orderedAt.After(t.closedAt)) {
			list = append(list, sl)
		}
	}
	return list
}

// allSurvived reports whether a run of the step has survived its start: that of a task
// or, for a gang, that of all its tasks.
func (s *step) allSurvived(i int) bool {
	if !s.Gang {
		return s.tasks[i].phase == running
	}
	for i := range s.tasks {
		t := s.tasks[i].target
		if t == nil {
			return false
		}
		if sl := t.slots[s.id(i)]; sl == nil || sl.run != s.tasks[i].run || !t.survived(sl) {
			return false
		}
	}
	return true
}

// recordClosed records that a target closed its connection, as it does when it crashes.
func (c *Coordinator) recordClosed(t *target) {
	t.closed = true
	if !t.closedAt.IsZero() {
		return
	}
	t.closedAt = c.now
	suspects := t.suspects()
	c.addLoss(t, suspects)
	c.Log.Info("target closed its connection", "target", t.ID, "incarnation", t.Incarnation, "slots", len(t.slots), "suspects", len(suspects))
}

func (c *Coordinator) addLoss(t *target, suspects []*slot) {
	if t.State == w.TargetDraining {
		return
	}
	loss := blamer.Loss{Target: string(t.ID), Pool: t.Service, At: t.closedAt, Blame: make(map[string]float64)}
	for _, sl := range suspects {
		if sl.step.crashes(sl.index).suspect() {
			// What is known of a suspect says nothing about the other jobs of its queue.
			loss.Blame[""] += 1 / float64(len(suspects))
		} else {
			loss.Blame[sl.step.job.Queue] += 1 / float64(len(suspects))
		}
	}
	c.losses.Add(loss)
}

// recordAnswer records that a target has answered, at the given time at its member.
func (c *Coordinator) recordAnswer(t *target, at time.Duration) {
	t.answeredAtMember = max(t.answeredAtMember, at)
	t.answeredAt, t.replaced, t.closed, t.absent = c.now, false, false, false
	if !t.closedAt.IsZero() {
		t.closedAt = time.Time{}
		c.losses.Retract(string(t.ID))
	}
}

// recordCrash records, before its runs are lost, that a target has ended. If it is not
// certain that it has crashed, or it did not close its connection, as it may have been cut
// off before, the fate of its runs is unclear. Runs that may not even have reached it are
// then no suspects.
func (c *Coordinator) recordCrash(t *target, certain bool) {
	if t.State == w.TargetDraining {
		return
	}
	suspects := t.suspects()
	if t.closedAt.IsZero() {
		t.closedAt = c.now
		c.addLoss(t, suspects)
	}
	common := c.losses.Common(t.closedAt)
	alone := true
	for _, sl := range suspects[:min(1, len(suspects))] {
		alone = !slices.ContainsFunc(suspects, func(o *slot) bool { return o.step != sl.step || (!sl.step.Gang && o != sl) })
	}
	var given []*job
	for _, sl := range suspects {
		r := sl.step.crashes(sl.index)
		if sl.step.job.state.Final() || slices.Contains(r.crashed, sl.run) {
			continue
		}
		if (common || (!t.closed && sl.startedAt.IsZero())) && !slices.Contains(r.unclear, sl.run) {
			continue
		}
		c.removeUnclear(sl.step, sl.index, sl.run)
		if certain && !common && t.closed {
			r.crashed = append(r.crashed, sl.run)
		} else {
			r.unclear = append(r.unclear, sl.run)
		}
		r.nextRun = 0
		r.retryAt = c.now.Add(r.pause())
		c.changeSuspicion(sl.step.job)
		c.Meter.Count("crash", "suspect")
		c.Log.Info("target crashed under a run", "task", sl.step.id(sl.index), "run", sl.run, "target", t.ID, "incarnation", t.Incarnation, "certain", certain,
			"common", common, "suspects", len(suspects), "crashes", len(r.crashed), "unclear", len(r.unclear), "queue", sl.step.job.Queue, "epoch", c.Epoch)
		if n := len(r.crashed); n > maxCrashes || (n == maxCrashes && alone) {
			given = append(given, sl.step.job)
		}
	}
	for _, j := range given {
		if !j.state.Final() {
			c.Meter.Count("crash", "givenUp")
			c.finish(j, w.Failed)
		}
	}
}

// changeSuspicion marks a change of a job's crash records that must be stored before a
// suspect of the job starts.
func (c *Coordinator) changeSuspicion(j *job) {
	j.suspicions++
	c.dirty[j.ID] = j
}

// removeUnclear removes a run from the unclear ones of a task.
func (c *Coordinator) removeUnclear(s *step, i int, run w.RunID) {
	r := s.crashes(i)
	if k := slices.Index(r.unclear, run); k >= 0 {
		r.unclear = slices.Delete(r.unclear, k, k+1)
		c.changeSuspicion(s.job)
	}
	if r.nextRun == run {
		r.nextRun = 0
	}
}

// clearSuspicion removes the suspicion of a task whose run has survived its start.
func (c *Coordinator) clearSuspicion(s *step, i int) {
	s.job.survived = true
	if r := s.crashes(i); r.suspect() {
		*r = crashRecord{}
		c.changeSuspicion(s.job)
	}
}

// checkProbes ends the probes whose runs have survived their start or have ended.
func (c *Coordinator) checkProbes() {
	c.probing = slices.DeleteFunc(c.probing, func(t *target) bool {
		sl := t.probe
		switch {
		case t.slots[sl.step.id(sl.index)] != sl:
		case t.survived(sl):
			if sl.step.allSurvived(sl.index) {
				c.clearSuspicion(sl.step, sl.index)
				c.Meter.Count("crash", "survived")
			}
		default:
			return false
		}
		t.probe = nil
		c.generation++
		return true
	})
}

// probeOn records that a run starts under suspicion on a target. Until it has survived,
// nothing else starts there.
func (c *Coordinator) probeOn(t *target, sl *slot) {
	if t.probe == nil {
		c.probing = append(c.probing, t)
	}
	t.probe = sl
	c.Meter.Count("crash", "probe")
}

// probes reports whether a waiting task must start as a probe, or must wait.
func (c *Coordinator) probes(s *step, i int) (probe, wait bool) {
	if r := s.crashes(i); r.suspect() {
		return true, !c.retryReady(s, r)
	}
	if !c.contained[s.job.Queue] {
		return false, false
	}
	survived, open := c.jobSurvived(s.job)
	return !survived, !survived && open
}

// retryReady reports whether a suspect may start again. Its next run must be in the store
// before, so that it counts even if this coordinator is lost.
func (c *Coordinator) retryReady(s *step, r *crashRecord) bool {
	if c.now.Before(r.retryAt) {
		return false
	}
	if r.nextRun == 0 {
		c.lastRunID++
		r.nextRun = c.lastRunID
		r.unclear = append(r.unclear, r.nextRun)
		c.changeSuspicion(s.job)
	}
	return s.job.suspicionsStored == s.job.suspicions
}

// placeProbe starts a waiting task as a probe on the target with the least work, if
// there is one on which nothing has just started. It reports whether a target is missing.
func (c *Coordinator) placeProbe(s *step, i int, needsAdvice bool) (missing bool) {
	service := c.serviceOf(s.job)
	if c.riskBudgets[service] <= 0 {
		return false
	}
	var best *target
	bestUsed := math.Inf(1)
	for _, t := range c.candidates(s, needsAdvice) {
		if !s.Demand().Fits(c.availableResources(s, t)) || !c.eligible(s, t) || (needsAdvice && !c.hasValidTicket(s, t, 0)) ||
			(s.Spread > 0 && s.tasksOn(t) >= s.Spread) || len(t.suspects()) > 0 {
			continue
		}
		if used := float64(t.used.CPU) / float64(max(1, t.Capacity.CPU)); used < bestUsed {
			best, bestUsed = t, used
		}
	}
	if best == nil {
		return true
	}
	c.riskBudgets[service]--
	c.endWait(s, i, s.near(best))
	c.startRun(s, i, best, c.nextRun(s, i), true)
	return false
}

// nextRun returns the run ID for the next start of a task: that of its crash record, or a
// new one.
func (c *Coordinator) nextRun(s *step, i int) w.RunID {
	r := s.crashes(i)
	run := r.nextRun
	if run == 0 {
		c.lastRunID++
		run = c.lastRunID
	}
	r.nextRun = 0
	return run
}

// holdProbes counts the waiting tasks of a step that may start only as probes, if no
// target has free resources for one. It reports whether one of them may not start yet.
func (c *Coordinator) holdProbes(s *step) (waits bool) {
	for i := range s.tasks {
		if s.tasks[i].phase != waiting {
			continue
		}
		if probe, wait := c.probes(s, i); probe {
			s.held++
			if !wait {
				s.probesMissing++
			}
			waits = waits || wait
		}
	}
	return waits
}
