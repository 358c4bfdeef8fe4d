package dispatcher

import (
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

// A target that restarts has lost its tasks and their results, and its clock and
// the numbers of its events begin anew. Without notice of this, new tasks would
// have event numbers that were read already, and an order whose task does not show
// up would count as one that never started.

// restarted reports whether the list comes from a later process of the target than
// the one before. The lists of a worker are read one after another, so within one
// process neither the clock nor the event number goes back.
func (w *targetWorker) restarted(list connector.TaskList) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return list.Sequence < w.sequence || list.NowMs < w.listedMs
}

// resync forgets the earlier process of the target and reads the list of the new
// one. What ran before has ended without a result. An order without an answer may
// have started before the restart, or may start until its start window is over.
// It reports false if the worker ends.
func (w *targetWorker) resync(list connector.TaskList) bool {
	w.mu.Lock()
	w.synced = false
	w.anchor, w.anchorMs, w.leaseEnd = time.Time{}, 0, 0
	w.sequence, w.listedMs = 0, 0
	lost := w.expireRunning(0)
	for _, p := range w.pending {
		if p.moved() {
			continue
		}
		p.lost = true
		p.startBefore = list.NowMs + connector.TargetClock((w.d.cfg.StartWindow + time.Second).Milliseconds())
	}
	w.mu.Unlock()
	w.d.cfg.Scope.Counter("target_restarts").Inc(1)
	w.d.cfg.Log.Warn("dispatcher: target has restarted", "target", w.target.ID, "tasks", len(lost))
	w.settleLost(lost)
	return w.sync()
}

// expireRunning marks all running tasks as ended without a result at the given
// time, or at their start if that is later, and returns them. It needs w.mu.
func (w *targetWorker) expireRunning(at connector.TargetClock) []connector.ListedTask {
	var lost []connector.ListedTask
	for id, t := range w.tasks {
		if !t.State.Ended() {
			t.State, t.EndedMs = descriptor.TaskExpired, max(at, t.StartedMs, 1)
			w.tasks[id] = t
			lost = append(lost, t)
		}
	}
	w.running = 0
	return lost
}

// expire notes an order that may have run, without a result, so that other owners
// of requests learn of it. It needs w.mu.
func (w *targetWorker) expire(p *pendingStart, at connector.TargetClock) {
	o := &p.order
	w.tasks[o.Task] = connector.ListedTask{
		Task: o.Task, Key: o.Key, Epoch: o.Epoch, Attempt: o.Attempt, Index: o.Index, Of: o.Of,
		Idempotent: o.Idempotent, Kind: o.Kind, Resources: o.Resources,
		State: descriptor.TaskExpired, StartedMs: at, EndedMs: max(at, 1),
	}
}

// unresolved returns the orders and tasks whose ends are not known, for the worker
// of the target's new address. The worker must have stopped.
func (w *targetWorker) unresolved() map[descriptor.TaskID]*pendingStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	until := w.d.cfg.Clock.Now().Add(time.Duration(float64(w.d.cfg.StartWindow+w.d.cfg.TaskLease)/driftMargin) + time.Second)
	all := make(map[descriptor.TaskID]*pendingStart)
	for id, p := range w.pending {
		all[id] = &pendingStart{order: p.order, placed: p.placed, movedUntil: until}
		if p.moved() {
			all[id].movedUntil = p.movedUntil
		}
	}
	for id, t := range w.tasks {
		if t.State.Ended() {
			continue
		}
		placed, ok := w.placed[id]
		if !ok {
			placed = t.Attempt
		}
		all[id] = &pendingStart{placed: placed, movedUntil: until, order: connector.StartOrder{
			Task: id, Key: t.Key, Epoch: t.Epoch, Attempt: t.Attempt, Index: t.Index, Of: t.Of,
			Idempotent: t.Idempotent, Kind: t.Kind, Resources: t.Resources,
		}}
	}
	return all
}

// expireMoved ends the orders to an earlier address that the target does not list
// once their leases have surely ended. They may have run.
func (w *targetWorker) expireMoved(now time.Time) {
	var lost []*pendingStart
	w.mu.Lock()
	for id, p := range w.pending {
		if p.moved() && now.After(p.movedUntil) {
			delete(w.pending, id)
			w.expire(p, w.listedMs)
			lost = append(lost, p)
		}
	}
	w.mu.Unlock()
	for _, p := range lost {
		w.d.cfg.Log.Warn("dispatcher: order to the earlier address of a target has ended", "target", w.target.ID, "task", p.order.Task)
		w.d.noteMoved(p.order.Key, p.order.Task)
		w.settlePending(p, runEnded)
	}
}

// noteMoved notes that a task was lost since its target moved, which is no reason
// to avoid that target.
func (d *Dispatcher) noteMoved(key descriptor.Key, id descriptor.TaskID) {
	r := d.record(key)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.find(id); i >= 0 {
		r.tasks[i].moved = true
	}
}

// settleLost releases tasks that ended without a result.
func (w *targetWorker) settleLost(lost []connector.ListedTask) {
	for _, t := range lost {
		w.release(t)
		w.d.settle(t.Key, t.Task, runEnded)
	}
}

// settlePending releases an order of which it is now known what became of it.
func (w *targetWorker) settlePending(p *pendingStart, s runState) {
	w.d.cfg.Scheduler.Ended(p.order.Key, p.placed, p.order.Index, w.target.ID, scheduler.Result{})
	w.d.settle(p.order.Key, p.order.Task, s)
}

// unreached notes a failed poll. When all leases have surely ended, the tasks
// have ended too.
func (w *targetWorker) unreached(now time.Time) {
	w.expireMoved(now)
	w.updateState(now)
	w.mu.Lock()
	if w.anchor.IsZero() {
		w.mu.Unlock()
		return
	}
	elapsed := time.Duration(float64(now.Sub(w.anchor)) * driftMargin)
	latest := w.anchorMs + connector.TargetClock(elapsed.Milliseconds())
	if latest <= w.leaseEnd || (w.running == 0 && len(w.pending) == 0) {
		w.mu.Unlock()
		return
	}
	lost := w.expireRunning(w.leaseEnd)
	var pending []*pendingStart
	for id, p := range w.pending {
		if p.moved() {
			continue // its lease is not part of leaseEnd
		}
		delete(w.pending, id)
		w.expire(p, w.leaseEnd)
		pending = append(pending, p)
	}
	w.mu.Unlock()
	w.d.cfg.Log.Warn("dispatcher: target unreachable until its leases expired", "target", w.target.ID, "tasks", len(lost))
	w.settleLost(lost)
	for _, p := range pending {
		w.settlePending(p, runEnded)
	}
}
