package coordinator

import (
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// quarantineFailures is the number of consecutive failures, counting successive
	// ones of the same job once, after which a target is quarantined, that is, gets no
	// new tasks for some time.
	quarantineFailures = 3
	// minQuarantine and maxQuarantine bound the duration of a quarantine, which doubles
	// each time until a run on the target succeeds.
	minQuarantine = 1 * time.Second
	maxQuarantine = 8 * time.Second
	// maxQuarantinedShare bounds the share of targets that are quarantined at the same
	// time, so that failures caused by the jobs cannot take all targets out of use.
	maxQuarantinedShare = 0.25
	// gangWaitPercent is the progress at which a member of a gang waits for the other
	// members before it ends.
	gangWaitPercent = 99
	// minStallTime is the minimum time without progress after which a run, and a target
	// on which no run makes progress, counts as stalled. Long tasks on slow targets
	// advance by one percent every 0.6 s.
	minStallTime = 1600 * time.Millisecond
	// stallPercents is the number of percent that a run should have advanced, at the
	// pace it has shown so far, before it counts as stalled.
	stallPercents = 6
)

// health tracks failures and stalls of a target.
type health struct {
	unreachable         bool
	quarantinedUntil    time.Time
	quarantines         int
	consecutiveFailures int // failures since the last success
	lastFailedJob       w.JobID
	progressedAt        time.Time // last progress of any run
	busySince           time.Time // since when it has had at least one run, or zero
}

func (h *health) recordSuccess() {
	h.consecutiveFailures, h.quarantines, h.lastFailedJob = 0, 0, ""
}

func (h *health) quarantine(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.quarantinedUntil) {
		h.quarantinedUntil = until
	}
}

func (h *health) updateBusy(now time.Time, runs int) {
	if runs == 0 {
		h.busySince = time.Time{}
	} else if h.busySince.IsZero() {
		h.busySince = now
		h.progressedAt = now
	}
}

// recordTargetFailure counts a failure of a target. Consecutive failures of the same
// job count once, since the job itself may be the cause.
func (c *Coordinator) recordTargetFailure(t *target, id w.JobID) {
	h := &t.health
	if id == h.lastFailedJob {
		return
	}
	h.lastFailedJob = id
	h.consecutiveFailures++
	if h.consecutiveFailures >= quarantineFailures {
		c.quarantineTarget(t, "failures")
	}
}

// quarantineTarget excludes a target from placement for a limited time, unless too many
// targets are quarantined already.
func (c *Coordinator) quarantineTarget(t *target, reason string) {
	quarantined := 0
	for _, o := range c.sortedTargets {
		if c.now.Before(o.health.quarantinedUntil) {
			quarantined++
		}
	}
	if float64(quarantined) >= maxQuarantinedShare*float64(len(c.sortedTargets)) {
		return
	}
	d := min(maxQuarantine, minQuarantine<<t.health.quarantines)
	t.health.quarantines++
	t.health.quarantine(c.now, d)
	c.Meter.Count("setAside", reason)
	c.Log.Warn("target set aside", "target", t.ID, "reason", reason, "for", d, "failures", t.health.consecutiveFailures)
}

// stopStalledRuns quarantines targets on which no run makes progress, and stops their
// runs so that the tasks are placed elsewhere. It ignores long-running tasks and tasks
// that run on idle CPU only.
func (c *Coordinator) stopStalledRuns() {
	for _, t := range c.sortedTargets {
		h := &t.health
		if h.busySince.IsZero() || h.unreachable || c.now.Sub(h.progressedAt) < minStallTime ||
			c.now.Sub(h.busySince) < minStallTime || c.now.Sub(t.reportedAt) > linker.HeartbeatTimeout || c.now.Before(h.quarantinedUntil) {
			continue
		}
		stalled := 0
		for _, sl := range t.slots {
			if sl.step == nil || sl.step.Lasting || sl.step.Fills {
				continue
			}
			tk := &sl.step.tasks[sl.index]
			if tk.phase == running && tk.percent < gangWaitPercent && c.now.Sub(tk.progressedAt) >= c.stallTime(sl) && !c.gangIncomplete(sl.step) {
				stalled++
			}
		}
		if stalled == 0 {
			continue
		}
		c.quarantineTarget(t, "stalled")
		if !c.now.Before(h.quarantinedUntil) {
			continue
		}
		for _, sl := range t.slots {
			if sl.step == nil || sl.step.Lasting || sl.step.Fills {
				continue
			}
			if tk := &sl.step.tasks[sl.index]; tk.phase == running && tk.target == t && tk.percent < gangWaitPercent {
				tk.avoid = t
				c.stopTask(sl.step, sl.index)
				if sl.step.Gang {
					c.stopGang(sl.step)
				}
			}
		}
	}
}

// stallTime returns the time without progress after which a run counts as stalled.
func (c *Coordinator) stallTime(sl *slot) time.Duration {
	tk := &sl.step.tasks[sl.index]
	percent := time.Duration(c.runTimeRatio(sl.step.job.Queue)*float64(sl.step.Estimate)*c.slowdown(sl.step, tk.target)) / 100
	if tk.percent > 0 && tk.progressedAt.After(tk.phaseSince) {
		percent = max(percent, tk.progressedAt.Sub(tk.phaseSince)/time.Duration(tk.percent))
	}
	return max(minStallTime, stallPercents*percent)
}

// gangIncomplete reports whether a member of the step's gang is not running. It is
// false for steps that are not gangs.
func (c *Coordinator) gangIncomplete(s *step) bool {
	if !s.Gang {
		return false
	}
	for i := range s.tasks {
		if s.tasks[i].phase != running {
			return true
		}
	}
	return false
}
