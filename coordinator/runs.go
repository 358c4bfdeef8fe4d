package coordinator

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// list compares what a target runs with what is believed.
func (c *Coordinator) list(t *target, runs []w.Run) {
	t.health.observe(c.now, len(runs))
	for i := range runs {
		r := &runs[i]
		sl := t.slots[r.Task]
		if sl == nil || sl.run < r.Run {
			c.adopt(t, r)
			continue
		}
		sl.seen = c.now
		if sl.step == nil || sl.run != r.Run {
			continue
		}
		tk := &sl.step.tasks[sl.i]
		if tk.run != r.Run || tk.target != t {
			continue
		}
		tk.missing = 0
		if tk.phase == starting {
			c.setPhase(sl.step, sl.i, running)
			tk.movedAt = c.now
			c.begin(sl.step.job)
		}
		if r.Percent != tk.percent {
			tk.percent = r.Percent
			tk.movedAt = c.now
			t.health.moved = c.now
		}
		if r.Checkpoint != "" {
			tk.saved = r.Checkpoint
		}
	}
	for id, sl := range t.slots {
		if sl.seen.Equal(c.now) {
			continue
		}
		if sl.step == nil {
			c.free(t, id, sl)
			continue
		}
		tk := &sl.step.tasks[sl.i]
		if tk.phase == starting || c.now.Sub(tk.since) < vanishAfter {
			continue
		}
		if tk.missing++; tk.missing >= vanishLists {
			c.Log.Warn("run vanished", "task", id, "target", t.ID, "run", sl.run)
			c.lose(t, id, sl)
		}
	}
}

const (
	// vanishAfter and vanishLists bound the time for which a run that its
	// target no longer lists is believed in: an order may still be on its way.
	vanishAfter = 3 * time.Second
	vanishLists = 3
)

// adopt takes over a run that an earlier coordinator started.
func (c *Coordinator) adopt(t *target, r *w.Run) {
	old := t.slots[r.Task]
	if old != nil {
		c.free(t, r.Task, old)
	}
	sl := &slot{run: r.Run, seen: c.now}
	j := c.jobs[r.Task.Job]
	if j == nil {
		c.occupy(t, r.Task, sl)
		c.Log.Warn("run of an unknown job", "task", r.Task, "target", t.ID)
		return
	}
	s := j.step(r.Task)
	if s == nil {
		c.occupy(t, r.Task, sl)
		c.sendStop(t, r.Task, r.Run)
		return
	}
	sl.step, sl.i, sl.room = s, r.Task.Index, s.Demand()
	c.occupy(t, r.Task, sl)
	tk := &s.tasks[sl.i]
	if j.state.Final() || tk.phase != waiting {
		// A second run of a task, or a run of a task that is no longer wanted.
		c.sendStop(t, r.Task, r.Run)
		return
	}
	tk.run, tk.target, tk.percent, tk.movedAt, tk.whole = r.Run, t, r.Percent, c.now, false
	if r.Checkpoint != "" {
		tk.saved = r.Checkpoint
	}
	c.setPhase(s, sl.i, running)
	c.begin(j)
}

func (j *job) step(id w.TaskID) *step {
	if id.Occurrence >= len(j.occs) || id.Step >= len(j.occs[id.Occurrence].steps) {
		return nil
	}
	s := j.occs[id.Occurrence].steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s
}

// end takes note of an ended run.
func (c *Coordinator) end(t *target, e *w.End) {
	if e.Seq <= t.seen {
		return
	}
	t.seen = e.Seq
	c.endsSeen[t.ID] = e.Seq
	c.Meter.Count("end", e.How.String())
	sl := t.slots[e.Task]
	if sl != nil && sl.run == e.Run {
		c.free(t, e.Task, sl)
	}
	if c.jobs[e.Task.Job] == nil {
		c.Log.Warn("end of an unknown job", "task", e.Task, "target", t.ID, "run", e.Run, "how", e.How)
		t.orphans = append(t.orphans, orphan{end: *e, at: c.now})
		return
	}
	c.apply(t, e)
}

// orphan is an end of a job that an earlier coordinator started and that has not
// been found in the store yet. It must not be acknowledged until then.
type orphan struct {
	end w.End
	at  time.Time
}

// orphanLife is the time after which a job that no search has found counts as
// removed from the store.
const orphanLife = 15 * time.Second

// ackable returns the highest end up to seq that the target may forget.
func (t *target) ackable(seq int64) int64 {
	for i := range t.orphans {
		seq = min(seq, t.orphans[i].end.Seq-1)
	}
	return seq
}

// adoptOrphans takes over the runs and ends that were listed before their job was
// known.
func (c *Coordinator) adoptOrphans(id w.JobID) {
	for _, t := range c.order {
		if t.foreign > 0 {
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
		c.filterOrphans(t, func(o *orphan) bool {
			if o.end.Task.Job != id {
				return true
			}
			c.apply(t, &o.end)
			return false
		})
	}
}

// expireOrphans drops the ends of jobs that no search has found, so that their
// targets can forget them.
func (c *Coordinator) expireOrphans() {
	for _, t := range c.order {
		c.filterOrphans(t, func(o *orphan) bool { return c.now.Sub(o.at) < orphanLife })
	}
}

// filterOrphans keeps the orphans for which keep returns true; the others can be
// acknowledged.
func (c *Coordinator) filterOrphans(t *target, keep func(*orphan) bool) {
	before := len(t.orphans)
	t.orphans = slices.DeleteFunc(t.orphans, func(o orphan) bool { return !keep(&o) })
	if len(t.orphans) < before {
		c.endsSeen[t.ID] = t.seen
	}
}

// apply lets the end of a run change its job.
func (c *Coordinator) apply(t *target, e *w.End) {
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
	if s.Saves && e.Checkpoint != "" && (current || tk.phase == waiting) {
		tk.saved = e.Checkpoint
		c.dirty[j.ID] = j
	}
	switch e.How {
	case w.EndedDone:
		t.health.succeeded()
		if current && tk.phase == running && tk.whole {
			c.learnRun(s, c.now.Sub(tk.since))
		}
		if s.Lasting {
			c.settle(s, e.Task.Index)
			return
		}
		if s.Gang {
			c.gangDone(s)
			return
		}
		if !current && (tk.phase == running || tk.phase == starting) {
			c.stop(s, e.Task.Index)
		}
		c.taskDone(s, e.Task.Index)
	case w.EndedFailed:
		c.failed(t, s, e, current)
	default:
		if current {
			c.settle(s, e.Task.Index)
			if s.Gang {
				c.stopGang(s)
			}
		}
	}
}

// settle lets a task that no longer runs wait for its next start.
func (c *Coordinator) settle(s *step, i int) {
	if s.tasks[i].phase != waiting && s.tasks[i].phase != finished {
		c.setPhase(s, i, waiting)
	}
}

// failed counts a failed run. A target that is read late may tell of a run
// before the current one, which counts as well.
func (c *Coordinator) failed(t *target, s *step, e *w.End, current bool) {
	c.targetFailed(t, e.Task.Job)
	tk := &s.tasks[e.Task.Index]
	j := s.job
	if current {
		c.settle(s, e.Task.Index)
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
	// Each member of a gang may report the failure of a run, and a target
	// repeats it to a new coordinator until it is acknowledged.
	if slices.Contains(counted.failed, e.Run) {
		return
	}
	counted.failed = append(counted.failed, e.Run)
	c.dirty[j.ID] = j
	c.Log.Info("task failed", "task", e.Task, "target", t.ID, "run", e.Run, "failures", len(counted.failed))
	if len(counted.failed) >= c.attempts(j) {
		c.finish(j, w.Failed)
	}
}

// gangDone ends a step whose gang has ended: one end stands for all.
func (c *Coordinator) gangDone(s *step) {
	for i := range s.tasks {
		if s.tasks[i].phase != finished {
			c.taskDone(s, i)
		}
	}
}

// stopGang stops the members of a gang that can no longer work.
func (c *Coordinator) stopGang(s *step) {
	for i := range s.tasks {
		if p := s.tasks[i].phase; p == starting || p == running {
			c.stop(s, i)
		}
	}
}

// stop orders the end of a run.
func (c *Coordinator) stop(s *step, i int) {
	tk := &s.tasks[i]
	t := tk.target
	id := s.id(i)
	if tk.phase == stopping || t == nil {
		return
	}
	c.setPhase(s, i, stopping)
	tk.missing = 0
	if sl := t.slots[id]; sl != nil && sl.run == tk.run && !sl.ending {
		sl.ending = true
		t.coming = t.coming.Add(sl.room)
	}
	c.sendStop(t, id, tk.run)
}

func (c *Coordinator) sendStop(t *target, id w.TaskID, run w.RunID) {
	if t.member == nil {
		return
	}
	f := t.member.due()
	f.Stops = append(f.Stops, linker.Stop{Target: t.ID, Task: id, Run: run})
}

// Result takes over the answer to a start or a stop order.
func (c *Coordinator) Result(r *linker.Result) {
	t := c.targets[r.Target]
	if t == nil {
		return
	}
	sl := t.slots[r.Task]
	if sl == nil || sl.run != r.Run {
		return
	}
	if sl.step == nil {
		if r.Outcome == linker.NotStarted {
			c.free(t, r.Task, sl)
		}
		return
	}
	s := sl.step
	tk := &s.tasks[sl.i]
	current := tk.run == r.Run && tk.target == t
	c.Meter.Count("start", r.Outcome.String())
	c.Meter.Wait("start", c.now.Sub(tk.since))
	switch r.Outcome {
	case linker.Started:
		if current && tk.phase == starting {
			c.setPhase(s, sl.i, running)
			tk.percent = 0
			tk.movedAt = c.now
			t.health.moved = c.now
			c.begin(s.job)
		}
		return
	case linker.Unsettled:
		t.health.unreachable = true
		return
	case linker.Refused:
		c.targetFailed(t, r.Task.Job)
	case linker.BadTicket:
		if a := s.advice[t.ID]; a != nil {
			a.until = time.Time{}
		}
	case linker.NoRoom:
		c.Log.Warn("target had no room", "target", t.ID, "task", r.Task, "free", t.free())
		t.health.bar(c.now, noRoomPause)
	case linker.NotStarted, linker.Fenced, linker.OtherLife:
	}
	if current && tk.phase == finished {
		c.free(t, r.Task, sl)
		return
	}
	c.lose(t, r.Task, sl)
	if current {
		tk.avoid = t
	}
}

// noRoomPause keeps new work from a target that rejected a start for want of
// room, until its next list is read.
const noRoomPause = 300 * time.Millisecond
