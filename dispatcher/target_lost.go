package dispatcher

import (
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

// A target that restarts loses its tasks and their results, and its clock and event
// sequence start again. If a restart went unnoticed, events of new tasks would have
// sequence numbers that were already read, and an order whose task is not listed
// would count as never started.

// hasRestarted reports whether the list comes from a later process of the target
// than the previous list. A worker reads lists one after another, so within one
// process neither the clock nor the event sequence goes back.
func (w *targetWorker) hasRestarted(list connector.TaskList) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return list.Sequence < w.lastSequence || list.NowMs < w.lastListMs
}

// resync drops the state of the earlier process of the target and reads the list
// of the new one. The tasks that were running have ended without a result. An
// order without a response may have started before the restart, or may still start
// until its start window ends. resync returns false if the worker ends.
func (w *targetWorker) resync(list connector.TaskList) bool {
	w.mu.Lock()
	w.synced = false
	w.clockReadAt, w.clockMs, w.maxLeaseEnd = time.Time{}, 0, 0
	w.lastSequence, w.lastListMs = 0, 0
	lost := w.expireRunning(0)
	for _, p := range w.pending {
		if p.targetMoved() {
			continue
		}
		p.targetRestarted = true
		p.startBefore = list.NowMs + connector.TargetTime((w.d.cfg.StartWindow + time.Second).Milliseconds())
	}
	w.mu.Unlock()
	w.d.cfg.Scope.Counter("target_restarts").Inc(1)
	w.d.cfg.Log.Warn("dispatcher: target has restarted", "target", w.target.ID, "tasks", len(lost))
	w.resolveLost(lost)
	return w.sync()
}

// expireRunning marks all running tasks as expired at the given time, or at their
// start if that is later, and returns them. The caller holds w.mu.
func (w *targetWorker) expireRunning(at connector.TargetTime) []connector.ListedTask {
	var lost []connector.ListedTask
	for id, t := range w.tasks {
		if !t.State.Ended() {
			t.State, t.EndedMs = descriptor.TaskExpired, max(at, t.StartedMs, 1)
			w.tasks[id] = t
			lost = append(lost, t)
		}
	}
	w.runningTasks = 0
	return lost
}

// recordExpired adds an expired task for an order that may have run, so that it is
// reported to the owner of the request. The caller holds w.mu.
func (w *targetWorker) recordExpired(p *pendingStart, at connector.TargetTime) {
	o := &p.order
	w.tasks[o.Task] = connector.ListedTask{
		Task: o.Task, Key: o.Key, Epoch: o.Epoch, Attempt: o.Attempt, Index: o.Index, TaskCount: o.TaskCount,
		Idempotent: o.Idempotent, Kind: o.Kind, Resources: o.Resources,
		State: descriptor.TaskExpired, StartedMs: at, EndedMs: max(at, 1),
	}
}

// unresolvedOrders returns the pending orders, and orders for the running tasks,
// for the worker of the target's new address. This worker must have stopped.
func (w *targetWorker) unresolvedOrders() map[descriptor.TaskID]*pendingStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	until := w.d.cfg.Clock.Now().Add(time.Duration(float64(w.d.cfg.StartWindow+w.d.cfg.TaskLease)/clockDriftFactor) + time.Second)
	orders := make(map[descriptor.TaskID]*pendingStart)
	for id, p := range w.pending {
		orders[id] = &pendingStart{order: p.order, schedulerAttempt: p.schedulerAttempt, moveExpiry: until}
		if p.targetMoved() {
			orders[id].moveExpiry = p.moveExpiry
		}
	}
	for id, t := range w.tasks {
		if t.State.Ended() {
			continue
		}
		attempt, ok := w.schedulerAttempts[id]
		if !ok {
			attempt = t.Attempt
		}
		orders[id] = &pendingStart{schedulerAttempt: attempt, moveExpiry: until, order: connector.StartOrder{
			Task: id, Key: t.Key, Epoch: t.Epoch, Attempt: t.Attempt, Index: t.Index, TaskCount: t.TaskCount,
			Idempotent: t.Idempotent, Kind: t.Kind, Resources: t.Resources,
		}}
	}
	return orders
}

// expireMovedOrders resolves the orders to an earlier address that the target does
// not list, once their leases have certainly ended. Their tasks may have run.
func (w *targetWorker) expireMovedOrders(now time.Time) {
	var lost []*pendingStart
	w.mu.Lock()
	for id, p := range w.pending {
		if p.targetMoved() && now.After(p.moveExpiry) {
			delete(w.pending, id)
			w.recordExpired(p, w.lastListMs)
			lost = append(lost, p)
		}
	}
	w.mu.Unlock()
	for _, p := range lost {
		w.d.cfg.Log.Warn("dispatcher: lease of order to the earlier address of a target expired", "target", w.target.ID, "task", p.order.Task)
		w.d.markTargetMoved(p.order.Key, p.order.Task)
		w.resolvePending(p, runEnded)
	}
}

// markTargetMoved records that a task was lost because its target changed its
// address, which is no reason to avoid that target.
func (d *Dispatcher) markTargetMoved(key descriptor.Key, id descriptor.TaskID) {
	r := d.record(key)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.taskIndex(id); i >= 0 {
		r.tasks[i].targetMoved = true
	}
}

// resolveLost releases and resolves tasks that ended without a result.
func (w *targetWorker) resolveLost(lost []connector.ListedTask) {
	for _, t := range lost {
		w.releaseTask(t)
		w.d.resolveTask(t.Key, t.Task, runEnded)
	}
}

// resolvePending releases the capacity of an order and resolves its task.
func (w *targetWorker) resolvePending(p *pendingStart, s runState) {
	w.d.cfg.Scheduler.Ended(p.order.Key, p.schedulerAttempt, p.order.Index, w.target.ID, scheduler.Result{})
	w.d.resolveTask(p.order.Key, p.order.Task, s)
}

// handlePollFailure updates the state of the target after a failed poll. Once all
// leases have certainly ended, it resolves the tasks as lost.
func (w *targetWorker) handlePollFailure(now time.Time) {
	w.expireMovedOrders(now)
	w.updateState(now)
	w.mu.Lock()
	if w.clockReadAt.IsZero() {
		w.mu.Unlock()
		return
	}
	elapsed := time.Duration(float64(now.Sub(w.clockReadAt)) * clockDriftFactor)
	minTargetClock := w.clockMs + connector.TargetTime(elapsed.Milliseconds())
	if minTargetClock <= w.maxLeaseEnd || (w.runningTasks == 0 && len(w.pending) == 0) {
		w.mu.Unlock()
		return
	}
	lost := w.expireRunning(w.maxLeaseEnd)
	var pending []*pendingStart
	for id, p := range w.pending {
		if p.targetMoved() {
			continue // its lease is not covered by maxLeaseEnd
		}
		delete(w.pending, id)
		w.recordExpired(p, w.maxLeaseEnd)
		pending = append(pending, p)
	}
	w.mu.Unlock()
	w.d.cfg.Log.Warn("dispatcher: target unreachable; its leases have expired", "target", w.target.ID, "tasks", len(lost))
	w.resolveLost(lost)
	for _, p := range pending {
		w.resolvePending(p, runEnded)
	}
}
