package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// followDirectory reads the platform's list of targets. While it can't be read
// the last list stays in use.
func (d *Dispatcher) followDirectory() {
	for {
		ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
		l, err := d.cfg.Directory.List(ctx, d.cfg.DataCentre)
		cancel()
		if err != nil {
			d.cfg.Scope.Counter("directory_errors").Inc(1)
			d.cfg.Log.Warn("dispatcher: directory not read", "error", err)
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

// applyListing follows new targets. A target that is no longer listed is
// followed until it can't be reached and nothing runs on it, since the list may
// be wrong for a while.
func (d *Dispatcher) applyListing(targets []descriptor.Target) {
	d.mu.Lock()
	d.listKnown = true
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
	d.listed = current
	d.mu.Unlock()
	inherited := make(map[descriptor.TargetID]map[descriptor.TaskID]*pendingStart)
	if len(moved) > 0 {
		for _, w := range d.stopWorkers(func(id descriptor.TargetID) bool { return slices.Contains(moved, id) }) {
			inherited[w.target.ID] = w.unresolved()
		}
	}
	d.startWorkers(inherited)
	d.wakeRecovery()
}

// startWorkers follows each listed target whose slice this instance owns. The
// inherited orders went to targets at earlier addresses.
func (d *Dispatcher) startWorkers(inherited map[descriptor.TargetID]map[descriptor.TaskID]*pendingStart) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	for id, t := range d.listed {
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

// stopWorkers stops the workers of the chosen targets and forgets what is in
// use on them. It returns the stopped workers.
func (d *Dispatcher) stopWorkers(choose func(descriptor.TargetID) bool) []*targetWorker {
	d.mu.Lock()
	var stopped []*targetWorker
	for id, w := range d.workers {
		if choose(id) {
			delete(d.workers, id)
			stopped = append(stopped, w)
		}
	}
	d.mu.Unlock()
	for _, w := range stopped {
		w.stop()
		w.abandon()
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

// ownWorkers returns all workers.
func (d *Dispatcher) ownWorkers() []*targetWorker {
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

// Targets lists the targets that this instance owns.
func (d *Dispatcher) Targets() []TargetInfo {
	workers := d.ownWorkers()
	infos := make([]TargetInfo, 0, len(workers))
	for _, w := range workers {
		infos = append(infos, w.info())
	}
	return infos
}
