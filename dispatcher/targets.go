package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// pollDirectory polls the platform directory for the list of targets. While the
// directory is unavailable, the last list remains in use.
func (d *Dispatcher) pollDirectory() {
	for {
		ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
		l, err := d.cfg.Directory.List(ctx, d.cfg.DataCentre)
		cancel()
		if err != nil {
			d.cfg.Scope.Counter("directory_errors").Inc(1)
			d.cfg.Log.Warn("dispatcher: failed to read directory", "error", err)
		} else {
			d.applyListing(l.Targets)
		}
		wait := d.cfg.DirectoryInterval
		if err != nil {
			wait /= 3
		}
		if !d.sleep(wait) {
			return
		}
	}
}

// applyListing starts workers for new targets and for targets whose address has
// changed. A target that is no longer listed is treated as leaving and keeps its
// worker, since the list may be temporarily wrong.
func (d *Dispatcher) applyListing(targets []descriptor.Target) {
	d.mu.Lock()
	d.directoryRead = true
	current := make(map[descriptor.TargetID]descriptor.Target, len(targets))
	var moved []descriptor.TargetID
	for _, t := range targets {
		current[t.ID] = t
		w, ok := d.workers[t.ID]
		switch {
		case ok && w.target.Address != t.Address:
			moved = append(moved, t.ID)
		case ok:
			w.setListedLeaving(t.Leaving)
		}
	}
	for id, w := range d.workers {
		if _, ok := current[id]; !ok {
			w.setListedLeaving(true)
			current[id] = w.target
		}
	}
	d.listedTargets = current
	d.mu.Unlock()
	inherited := make(map[descriptor.TargetID]map[descriptor.TaskID]*pendingStart)
	if len(moved) > 0 {
		for _, w := range d.stopWorkers(func(id descriptor.TargetID) bool { return slices.Contains(moved, id) }) {
			inherited[w.target.ID] = w.unresolvedOrders()
		}
	}
	d.startWorkers(inherited)
	d.triggerRecovery()
}

// startWorkers starts the missing workers of listed targets whose slices this
// instance owns. The inherited orders were sent to earlier addresses of the
// targets.
func (d *Dispatcher) startWorkers(inherited map[descriptor.TargetID]map[descriptor.TaskID]*pendingStart) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	for id, t := range d.listedTargets {
		if _, ok := d.workers[id]; ok {
			continue
		}
		sh := &d.shards[id.Slice()]
		epoch, safeFrom, owned := sh.ownership()
		if !owned {
			continue
		}
		w := newTargetWorker(d, t, epoch, safeFrom, inherited[id])
		d.workers[id] = w
		d.wg.Go(func() {
			defer close(w.done)
			w.run()
		})
	}
}

// stopWorkers stops the workers of the matching targets, releases the capacity in
// use on these targets, and returns the workers.
func (d *Dispatcher) stopWorkers(match func(descriptor.TargetID) bool) []*targetWorker {
	d.mu.Lock()
	var stopped []*targetWorker
	for id, w := range d.workers {
		if match(id) {
			delete(d.workers, id)
			stopped = append(stopped, w)
		}
	}
	d.mu.Unlock()
	for _, w := range stopped {
		w.stop()
		w.releaseTasks()
		d.cfg.Scheduler.RemoveTarget(w.target.ID)
	}
	return stopped
}

// worker returns the worker of a target that this instance owns, or nil.
func (d *Dispatcher) worker(id descriptor.TargetID) *targetWorker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.workers[id]
}

// allWorkers returns the workers of all targets that this instance owns.
func (d *Dispatcher) allWorkers() []*targetWorker {
	d.mu.Lock()
	defer d.mu.Unlock()
	workers := make([]*targetWorker, 0, len(d.workers))
	for _, w := range d.workers {
		workers = append(workers, w)
	}
	return workers
}

// TargetInfo describes a target that this instance owns.
type TargetInfo struct {
	descriptor.Target
	Used    descriptor.Resources `json:"used"`
	Running int                  `json:"running"`
	Synced  bool                 `json:"synced"`
	Leaving bool                 `json:"leaving"`
	Reached bool                 `json:"reached"`
}

// Targets returns the targets that this instance owns.
func (d *Dispatcher) Targets() []TargetInfo {
	workers := d.allWorkers()
	infos := make([]TargetInfo, 0, len(workers))
	for _, w := range workers {
		infos = append(infos, w.info())
	}
	return infos
}
