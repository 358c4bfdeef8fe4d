package coordinator

import (
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// failuresToBar is the number of failed runs of different jobs in a row
	// after which a target gets no new work.
	failuresToBar = 3
	// firstBar and longestBar bound the time for which a target gets no new
	// work. Each further failure doubles it.
	firstBar   = 1 * time.Second
	longestBar = 8 * time.Second
	// barredShare bounds the share of the targets that are set aside, so that
	// a fault of the work can't empty the cell.
	barredShare = 0.25
	// wholePercent is the progress of a member of a gang that waits for the
	// others to end with it.
	wholePercent = 99
	// stallAfter is the time without any progress of any run after which a
	// target counts as standing still. Slow long tasks advance by a percent
	// every 0.6 s.
	stallAfter = 1600 * time.Millisecond
	// stallPercents is the number of percents for which a run must have had time,
	// at the pace that it has shown, to count as standing still.
	stallPercents = 6
)

// health is what is believed of a target's ability to work.
type health struct {
	unreachable bool
	barred      time.Time
	bars        int
	streak      int // failures since the last success
	lastJob     w.JobID
	moved       time.Time // of the last progress of any run
	busySince   time.Time // since when it has run something
}

func (h *health) succeeded() {
	h.streak, h.bars, h.lastJob = 0, 0, ""
}

func (h *health) bar(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.barred) {
		h.barred = until
	}
}

func (h *health) observe(now time.Time, runs int) {
	if runs == 0 {
		h.busySince = time.Time{}
	} else if h.busySince.IsZero() {
		h.busySince = now
		h.moved = now
	}
}

// targetFailed counts a failure of a target. Failures of one job in a row count
// once, since they may be its own fault.
func (c *Coordinator) targetFailed(t *target, id w.JobID) {
	h := &t.health
	if id == h.lastJob {
		return
	}
	h.lastJob = id
	h.streak++
	if h.streak >= failuresToBar {
		c.setAside(t, "failures")
	}
}

// setAside keeps new work from a target for a while.
func (c *Coordinator) setAside(t *target, reason string) {
	barred := 0
	for _, o := range c.order {
		if c.now.Before(o.health.barred) {
			barred++
		}
	}
	if float64(barred) >= barredShare*float64(len(c.order)) {
		return
	}
	d := min(longestBar, firstBar<<t.health.bars)
	t.health.bars++
	t.health.bar(c.now, d)
	c.Meter.Count("setAside", reason)
	c.Log.Warn("target set aside", "target", t.ID, "reason", reason, "for", d, "failures", t.health.streak)
}

// checkHealth finds targets on which all runs stand still and moves their work
// elsewhere.
func (c *Coordinator) checkHealth() {
	for _, t := range c.order {
		h := &t.health
		if h.busySince.IsZero() || h.unreachable || c.now.Sub(h.moved) < stallAfter ||
			c.now.Sub(h.busySince) < stallAfter || c.now.Sub(t.reported) > linker.Silence || c.now.Before(h.barred) {
			continue
		}
		stalled := 0
		for _, sl := range t.slots {
			if sl.step == nil || sl.step.Lasting || sl.step.Fills {
				continue
			}
			tk := &sl.step.tasks[sl.i]
			if tk.phase == running && tk.percent < wholePercent && c.now.Sub(tk.movedAt) >= c.stallTime(sl) && !c.gangWaits(sl.step) {
				stalled++
			}
		}
		if stalled == 0 {
			continue
		}
		c.setAside(t, "stalled")
		if !c.now.Before(h.barred) {
			continue
		}
		for _, sl := range t.slots {
			if sl.step == nil || sl.step.Lasting || sl.step.Fills {
				continue
			}
			if tk := &sl.step.tasks[sl.i]; tk.phase == running && tk.target == t && tk.percent < wholePercent {
				tk.avoid = t
				c.stop(sl.step, sl.i)
				if sl.step.Gang {
					c.stopGang(sl.step)
				}
			}
		}
	}
}

// stallTime is the time without progress after which a run counts as standing still.
func (c *Coordinator) stallTime(sl *slot) time.Duration {
	tk := &sl.step.tasks[sl.i]
	percent := time.Duration(c.runRatio(sl.step.job.Queue)*float64(sl.step.Estimate)) / 100
	if tk.percent > 0 && tk.movedAt.After(tk.since) {
		percent = max(percent, tk.movedAt.Sub(tk.since)/time.Duration(tk.percent))
	}
	return max(stallAfter, stallPercents*percent)
}

// gangWaits reports whether a member of a gang has not started yet.
func (c *Coordinator) gangWaits(s *step) bool {
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
