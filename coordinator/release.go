package coordinator

import (
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// release is the evidence on which the last run of a task was taken for ended, so that the
// task may start again.
type release struct {
	run         w.RunID
	target      w.TargetID
	incarnation w.Incarnation
	reason      string        // how the run ended, or why it counts as lost
	at          time.Time     // when it was taken for ended
	silentFor   time.Duration // age of the target's last report at that time
	unlistedFor time.Duration // time since the target last listed the run, or -1 if it never did
}

// recordRelease records why a task may start again after its run in a slot.
func (c *Coordinator) recordRelease(sl *slot, t *target, reason string) {
	r := &release{run: sl.run, target: t.ID, incarnation: t.Incarnation, reason: reason, at: c.now, silentFor: c.now.Sub(t.reportedAt), unlistedFor: -1}
	if !sl.listedAt.IsZero() {
		r.unlistedFor = c.now.Sub(sl.listedAt)
	}
	sl.step.tasks[sl.index].released = r
}

// logRestart logs the evidence on which a task starts again.
func (c *Coordinator) logRestart(id w.TaskID, tk *task) {
	r := tk.released
	if r == nil {
		return
	}
	c.Meter.Count("restart", r.reason)
	c.Log.Info("task starts again", "task", id, "run", tk.run, "target", tk.target.ID, "incarnation", tk.target.Incarnation, "earlierRun", r.run,
		"earlierTarget", r.target, "earlierIncarnation", r.incarnation, "reason", r.reason, "releasedFor", c.now.Sub(r.at), "silentFor", r.silentFor, "unlistedFor", r.unlistedFor,
		"epoch", c.Epoch)
}

// checkReleased logs that a target reports a run that was taken for ended: it still runs,
// or it has ended since in the given way.
func (c *Coordinator) checkReleased(t *target, id w.TaskID, tk *task, run w.RunID, how string) {
	r := tk.released
	if r == nil || r.run != run || r.target != t.ID || r.incarnation != t.Incarnation {
		return
	}
	c.Meter.Count("releasedRun", how)
	c.Log.Warn("target reports a run that was taken for ended", "task", id, "run", run, "target", t.ID, "incarnation", t.Incarnation, "how", how,
		"reason", r.reason, "releasedFor", c.now.Sub(r.at), "silentFor", r.silentFor, "unlistedFor", r.unlistedFor, "phase", tk.phase, "currentRun", tk.run, "epoch", c.Epoch)
}
