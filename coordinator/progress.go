package coordinator

import (
	"github.com/masticlead/masticlead/keeper"
)

// restoreProgress applies the stored progress of an occurrence.
func (c *Coordinator) restoreProgress(o *occurrence, stored map[keeper.StepKey]*keeper.StepProgress) {
	for _, s := range o.steps {
		sp := stored[keeper.StepKey{Occurrence: o.index, Index: s.index}]
		if sp == nil {
			continue
		}
		for i := range s.tasks {
			tk := &s.tasks[i]
			tk.failedRuns = sp.FailedRuns[i]
			c.setCheckpoint(tk, sp.Checkpoints[i])
			tk.crashed, tk.unclear = sp.CrashedRuns[i], sp.UnclearRuns[i]
			tk.retryAt = c.now.Add(tk.pause())
			if sp.Done(i) {
				tk.phase = finished
				s.done++
				s.waiting--
			}
		}
		if s.done == s.Count {
			c.completeStep(s)
		}
	}
}

// progress returns the part of a job's state that is kept in the store.
func (j *job) progress() keeper.Progress {
	p := keeper.Progress{ID: j.ID, State: j.state, Started: j.started}
	if j.state.Final() {
		return p
	}
	first := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			var sp *keeper.StepProgress
			for i := range s.tasks {
				tk := &s.tasks[i]
				if tk.phase != finished && len(tk.failedRuns) == 0 && tk.checkpoint == "" && !tk.suspect() {
					continue
				}
				if sp == nil {
					sp = p.AddStep(keeper.StepKey{Occurrence: o.index, Index: s.index}, first, s.Count)
				}
				sp.SetTask(i, tk.phase == finished, tk.failedRuns, tk.checkpoint)
				if tk.phase == waiting && tk.checkpoint != "" {
					sp.SetWaiting(i)
				}
				if tk.phase != finished {
					sp.SetCrashes(i, tk.crashed, tk.unclear)
				}
			}
			first += s.Count
		}
	}
	return p
}
