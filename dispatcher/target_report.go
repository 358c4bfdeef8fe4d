package dispatcher

import (
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// tasksInSlices returns the tasks whose request keys are in the wanted slices. It
// returns false until the worker is synced.
func (w *targetWorker) tasksInSlices(wanted *[descriptor.SliceCount]bool) ([]reportedTask, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return nil, false
	}
	var found []reportedTask
	for _, t := range w.tasks {
		if wanted[t.Key.Slice()] {
			found = append(found, reportedTask{ListedTask: t, Target: w.target.ID})
		}
	}
	for _, p := range w.pending {
		if o := &p.order; wanted[o.Key.Slice()] {
			found = append(found, reportedTask{Target: w.target.ID, Pending: true, ListedTask: connector.ListedTask{
				Task: o.Task, Key: o.Key, Epoch: o.Epoch, Attempt: o.Attempt, Index: o.Index, TaskCount: o.TaskCount,
				Idempotent: o.Idempotent, Kind: o.Kind, Resources: o.Resources,
			}})
		}
	}
	return found, true
}

func (w *targetWorker) info() TargetInfo {
	w.mu.Lock()
	defer w.mu.Unlock()
	info := TargetInfo{
		Target: w.target, Running: w.runningTasks, Synced: w.synced, Leaving: w.reportedLeaving || w.listedLeaving,
		Reached: w.state != placer.Unreachable,
	}
	for _, t := range w.tasks {
		if !t.State.Ended() {
			info.Used = info.Used.Add(t.Resources)
		}
	}
	return info
}
