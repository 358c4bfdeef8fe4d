package coordinator

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// reconcileRuns updates the slots and tasks of a target from a complete list of its
// runs.
func (c *Coordinator) reconcileRuns(t *target, runs []w.Run) {
	t.health.updateBusy(c.now, len(runs))
	for i := range runs {
		r := &runs[i]
		sl := t.slots[r.Task]
		if sl == nil || sl.run < r.Run {
			c.adopt(t, r)
			continue
		}
		sl.listedAt, sl.missedSince = c.now, time.Time{}
		if sl.startedAt.IsZero() && sl.run == r.Run {
			sl.startedAt = c.now
		}
		if sl.step == nil || sl.run != r.Run {
			continue
		}
		tk := &sl.step.tasks[sl.index]
		if tk.run != r.Run || tk.target != t {
			continue
		}
		tk.missedLists = 0
		if tk.phase == starting {
			c.setPhase(sl.step, sl.index, running)
			tk.progressedAt = c.now
			c.markStarted(sl.step.job)
		}
		if r.Percent != tk.percent {
			tk.percent = r.Percent
			tk.progressedAt = c.now
			t.health.progressedAt = c.now
		}
		c.keepCheckpoint(tk, r.Checkpoint)
	}
	for id, sl := range t.slots {
		if sl.listedAt.Equal(c.now) {
			continue
		}
		if sl.step == nil {
			if sl.missedSince.IsZero() {
				sl.missedSince = c.now
			}
			if !sl.stopping || c.now.Sub(sl.missedSince) > c.longestStop() {
				c.removeSlot(t, id, sl)
			}
			continue
		}
		tk := &sl.step.tasks[sl.index]
		age := missingRunAge
		if sl.listedAt.IsZero() && !sl.answered {
			age = lateStartAge
		}
		if tk.phase == starting || c.now.Sub(tk.phaseSince) < age {
			continue
		}
		if tk.missedLists == 0 {
			tk.missedSince = c.now
		}
		if tk.missedLists++; tk.missedLists >= missingRunLists && c.now.Sub(tk.missedSince) > c.longestStop() {
			c.Log.Warn("run missing from the lists of its target", "task", id, "target", t.ID, "run", sl.run)
			c.loseRun(t, id, sl, "unlisted")
		}
	}
}

const (
	// A run counts as lost if it is missing from missingRunLists successive complete
	// lists of its target, for longer than a stop takes, and its task entered its phase
	// at least missingRunAge ago. Before that, its start order may still be in transit. A
	// run that was never listed and whose start got no answer may start until lateStartAge
	// or the answer to its stop.
	missingRunAge   = 3 * time.Second
	missingRunLists = 3
)

// adopt adds a run that this coordinator has no record of, since an earlier coordinator
// started it.
func (c *Coordinator) adopt(t *target, r *w.Run) {
	old := t.slots[r.Task]
	if old != nil {
		c.removeSlot(t, r.Task, old)
	}
	sl := &slot{run: r.Run, listedAt: c.now, orderedAt: c.now, startedAt: c.now, answered: true}
	j := c.jobs[r.Task.Job]
	if j == nil {
		c.addSlot(t, r.Task, sl)
		c.Log.Warn("target lists a run of an unknown job", "task", r.Task, "target", t.ID)
		return
	}
	s := j.step(r.Task)
	if s == nil {
		sl.account = endedJobAccount(j, r.Task)
		c.addSlot(t, r.Task, sl)
		c.stopSlot(t, r.Task, sl)
		return
	}
	sl.step, sl.index, sl.resources = s, r.Task.Index, s.Demand()
	sl.startedAt = c.now.Add(-time.Duration(r.Percent) * s.Estimate / 100)
	c.addSlot(t, r.Task, sl)
	tk := &s.tasks[sl.index]
	c.checkReleased(t, r.Task, tk, r.Run, "running")
	if j.state.Final() || tk.phase != waiting {
		// The task already runs elsewhere or no longer needs to run.
		c.Meter.Count("adopted", "stopped")
		c.Log.Info("stopped a run found on a target", "task", r.Task, "run", r.Run, "target", t.ID, "incarnation", t.Incarnation,
			"state", j.state, "phase", tk.phase, "currentRun", tk.run, "epoch", c.Epoch)
		c.stopSlot(t, r.Task, sl)
		return
	}
	tk.run, tk.target, tk.percent, tk.progressedAt, tk.fullRun = r.Run, t, r.Percent, c.now, false
	c.keepCheckpoint(tk, r.Checkpoint)
	c.setPhase(s, sl.index, running)
	c.markStarted(j)
	if slices.Contains(s.crashes(sl.index).unclear, r.Run) {
		c.probeOn(t, sl)
	}
}

// stepOf returns the step of a task, or nil if its job is not known or has ended.
func (c *Coordinator) stepOf(id w.TaskID) *step {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.step(id)
}

func (j *job) step(id w.TaskID) *step {
	if id.Occurrence >= len(j.occurrences) || id.Step >= len(j.occurrences[id.Occurrence].steps) {
		return nil
	}
	s := j.occurrences[id.Occurrence].steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s
}

// handleEnd processes the end of a run.
func (c *Coordinator) handleEnd(t *target, e *w.End) {
	if e.Seq <= t.endSeq {
		return
	}
	t.endSeq = e.Seq
	t.unackedEnds = append(t.unackedEnds, unackedEnd{e.Seq, e.Task.Job})
	c.endSeqs[t.ID] = endSeq{t.Incarnation, e.Seq}
	c.Meter.Count("end", e.How.String())
	sl := t.slots[e.Task]
	if sl != nil && sl.run == e.Run {
		c.removeSlot(t, e.Task, sl)
		if sl.step != nil && (e.How != w.EndedDone || sl.step.Lasting) {
			c.recordRelease(sl, t, e.How.String())
		}
	} else if s := c.stepOf(e.Task); s != nil {
		c.checkReleased(t, e.Task, &s.tasks[e.Task.Index], e.Run, e.How.String())
	}
	if c.jobs[e.Task.Job] == nil {
		c.Log.Warn("target reported the end of a run of an unknown job", "task", e.Task, "target", t.ID, "run", e.Run, "how", e.How)
		t.orphans = append(t.orphans, orphanEnd{end: *e, receivedAt: c.now})
		return
	}
	c.applyEnd(t, e)
}

// orphanEnd is the end of a run whose job is unknown, since an earlier coordinator
// started it and it has not been found in the store yet. The target would discard the
// end if it were acknowledged before the job is found.
type orphanEnd struct {
	end        w.End
	receivedAt time.Time
}

// orphanTimeout is the time after which a job that was not found is assumed to have
// been removed from the store, if the store was read meanwhile.
const orphanTimeout = 15 * time.Second

// adoptOrphans applies the runs and ends that targets reported before their job was
// known.
func (c *Coordinator) adoptOrphans(id w.JobID) {
	for _, t := range c.sortedTargets {
		if t.unknownSlots > 0 {
			var runs []w.Run
			for task, sl := range t.slots {
				if sl.step == nil && task.Job == id {
					runs = append(runs, w.Run{Task: task, Run: sl.run})
				}
			}
			for i := range runs {
				c.adopt(t, &runs[i])
			}
		}
		c.filterOrphans(t, func(o *orphanEnd) bool {
			if o.end.Task.Job != id {
				return true
			}
			c.applyEnd(t, &o.end)
			return false
		})
	}
}

// expireOrphans discards the ends whose jobs were not found within orphanTimeout, so
// that they are acknowledged and their targets can discard them, too.
func (c *Coordinator) expireOrphans() {
	for _, t := range c.sortedTargets {
		c.filterOrphans(t, func(o *orphanEnd) bool {
			return c.now.Sub(o.receivedAt) < orphanTimeout || !c.jobsReadAt.After(o.receivedAt)
		})
	}
}

// filterOrphans removes the orphaned ends of a target for which keep returns false, and
// lets them be acknowledged.
func (c *Coordinator) filterOrphans(t *target, keep func(*orphanEnd) bool) {
	before := len(t.orphans)
	t.orphans = slices.DeleteFunc(t.orphans, func(o orphanEnd) bool { return !keep(&o) })
	if len(t.orphans) < before {
		c.endSeqs[t.ID] = endSeq{t.Incarnation, t.endSeq}
	}
}

// applyEnd updates a job with the end of one of its runs.
func (c *Coordinator) applyEnd(t *target, e *w.End) {
	j := c.jobs[e.Task.Job]
	if j.state.Final() {
		return
	}
	s := j.step(e.Task)
	if s == nil {
		return
	}
	tk := &s.tasks[e.Task.Index]
	current := tk.run == e.Run && tk.target == t
	if tk.phase == finished {
		return
	}
	c.removeUnclear(s, e.Task.Index, e.Run)
	if s.Saves && e.Checkpoint != "" && (current || tk.phase == waiting) {
		c.keepCheckpoint(tk, e.Checkpoint)
		c.dirty[j.ID] = j
	}
	switch e.How {
	case w.EndedDone:
		t.health.recordSuccess()
		if current && tk.phase == running && tk.fullRun {
			c.recordRun(s, e.Task.Index)
		}
		if s.Lasting {
			if current {
				c.requeueTask(s, e.Task.Index)
			}
			return
		}
		if s.Gang {
			c.completeGang(s, e.Run)
			return
		}
		if !current && (tk.phase == running || tk.phase == starting) {
			c.stopTask(s, e.Task.Index)
		}
		c.taskDone(s, e.Task.Index)
	case w.EndedFailed:
		c.clearSuspicion(s, e.Task.Index)
		c.recordTaskFailure(t, s, e, current)
	default:
		if current {
			c.requeueTask(s, e.Task.Index)
			if s.Gang {
				c.stopGang(s)
			}
		}
	}
}

// requeueTask puts a task that no longer runs back into the waiting phase.
func (c *Coordinator) requeueTask(s *step, i int) {
	if s.tasks[i].phase != waiting && s.tasks[i].phase != finished {
		c.setPhase(s, i, waiting)
	}
}

// recordTaskFailure counts a failed run. A target that is synced late may report the
// failure of a run before the current one, which counts as well.
func (c *Coordinator) recordTaskFailure(t *target, s *step, e *w.End, current bool) {
	c.recordTargetFailure(t, e.Task.Job)
	tk := &s.tasks[e.Task.Index]
	j := s.job
	if current {
		c.requeueTask(s, e.Task.Index)
		tk.avoid = t
		if s.Gang {
			c.stopGang(s)
		}
	}
	if s.Lasting {
		return
	}
	counted := tk
	if s.Gang {
		counted = &s.tasks[0]
	}
	// Each member of a gang may report the failure of the same run, and targets resend
	// ends to a new coordinator until they are acknowledged.
	if slices.Contains(counted.failedRuns, e.Run) {
		return
	}
	counted.failedRuns = append(counted.failedRuns, e.Run)
	c.dirty[j.ID] = j
	c.Log.Info("task failed", "task", e.Task, "target", t.ID, "run", e.Run, "failures", len(counted.failedRuns))
	if len(counted.failedRuns) >= c.maxAttempts(j) {
		c.finish(j, w.Failed)
	}
}

// completeGang marks all tasks of a gang as done and stops its other runs. A run of the
// gang ends as a whole, so the end of one member stands for all.
func (c *Coordinator) completeGang(s *step, run w.RunID) {
	for i := range s.tasks {
		if tk := &s.tasks[i]; tk.run != run && (tk.phase == starting || tk.phase == running) {
			c.stopTask(s, i)
		}
		if s.tasks[i].phase != finished {
			c.taskDone(s, i)
		}
	}
}

// stopGang stops the remaining members of a gang, which cannot continue without the
// missing one.
func (c *Coordinator) stopGang(s *step) {
	for i := range s.tasks {
		if p := s.tasks[i].phase; p == starting || p == running {
			c.stopTask(s, i)
		}
	}
}

// stopTask orders the stop of a task's current run.
func (c *Coordinator) stopTask(s *step, i int) {
	tk := &s.tasks[i]
	t := tk.target
	id := s.id(i)
	if tk.phase == stopping || t == nil {
		return
	}
	c.setPhase(s, i, stopping)
	tk.missedLists = 0
	if sl := t.slots[id]; sl != nil && sl.run == tk.run {
		c.stopSlot(t, id, sl)
		return
	}
	c.sendStop(t, id, tk.run)
}

// stopSlot orders the stop of a run, again if it was ordered before. If the target is
// assigned to another instance, the order is repeated.
func (c *Coordinator) stopSlot(t *target, id w.TaskID, sl *slot) {
	if !sl.stopping {
		sl.stopping = true
		t.stoppingResources = t.stoppingResources.Add(sl.resources)
	}
	c.sendStop(t, id, sl.run)
}

// sendStop queues a stop order.
func (c *Coordinator) sendStop(t *target, id w.TaskID, run w.RunID) {
	if t.member == nil {
		return
	}
	f := t.member.nextFrame()
	f.Stops = append(f.Stops, linker.Stop{Target: t.ID, Task: id, Run: run})
}

// HandleResult processes the result of a start or stop order.
func (c *Coordinator) HandleResult(r *linker.Result) {
	t := c.targets[r.Target]
	if t == nil || (r.Incarnation != 0 && r.Incarnation != t.Incarnation) {
		return
	}
	sl := t.slots[r.Task]
	if sl == nil || sl.run != r.Run {
		return
	}
	if sl.step == nil {
		if r.Outcome == linker.NotStarted {
			c.removeSlot(t, r.Task, sl)
		}
		return
	}
	s := sl.step
	tk := &s.tasks[sl.index]
	current := tk.run == r.Run && tk.target == t
	c.Meter.Count("start", r.Outcome.String())
	c.Meter.ObserveDuration("start", c.now.Sub(tk.phaseSince))
	switch r.Outcome {
	case linker.Started:
		sl.answered = !r.Unanswered
		c.recordAnswer(t, r.At)
		if sl.startedAt.IsZero() {
			sl.startedAt, sl.startedAtMember = c.now, r.At
		}
		if current && tk.phase == starting {
			c.setPhase(s, sl.index, running)
			tk.percent = 0
			tk.progressedAt = c.now
			t.health.progressedAt = c.now
			c.markStarted(s.job)
		}
		return
	case linker.Indeterminate:
		t.health.unreachable = true
		return
	case linker.TargetUnavailable:
		c.recordTargetFailure(t, r.Task.Job)
	case linker.InvalidTicket:
		if a := s.advice[t.ID]; a != nil {
			a.expiresAt = time.Time{}
		}
	case linker.InsufficientResources:
		c.Log.Warn("start rejected: not enough free resources on the target", "target", t.ID, "task", r.Task, "free", t.free())
		t.health.quarantine(c.now, rejectionQuarantine)
	case linker.NotStarted, linker.Fenced, linker.IncarnationMismatch:
	}
	if current && tk.phase == finished {
		c.removeSlot(t, r.Task, sl)
		return
	}
	c.removeUnclear(s, sl.index, r.Run)
	c.loseRun(t, r.Task, sl, r.Outcome.String())
	if current {
		tk.avoid = t
	}
}

// rejectionQuarantine is the duration of the quarantine after a target rejected a start
// for lack of resources. Its next list of runs is expected by then.
const rejectionQuarantine = 300 * time.Millisecond
