package dispatcher

import (
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// report returns the tasks whose keys lie in the wanted slices. It reports false
// until the target's list was read.
func (w *targetWorker) report(wanted *[descriptor.SliceCount]bool) ([]foundTask, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		return nil, false
	}
	var found []foundTask
	for _, t := range w.tasks {
		if wanted[t.Key.Slice()] {
			found = append(found, foundTask{ListedTask: t, Target: w.target.ID})
		}
	}
	for _, p := range w.pending {
		if o := &p.order; wanted[o.Key.Slice()] {
			found = append(found, foundTask{Target: w.target.ID, Pending: true, ListedTask: connector.ListedTask{
				Task: o.Task, Key: o.Key, Epoch: o.Epoch, Attempt: o.Attempt, Index: o.Index, Of: o.Of,
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
		Target: w.target, Running: w.running, Synced: w.synced, Leaving: w.leaving || w.listedLv,
		Reached: w.state != placer.Unreachable,
	}
	for _, t := range w.tasks {
		if !t.State.Ended() {
			info.Used = info.Used.Add(t.Resources)
		}
	}
	return info
}
