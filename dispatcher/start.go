package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/leaser"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

// startPlacement sends the start orders of a placement.
func (d *Dispatcher) startPlacement(p scheduler.Placement) {
	if hr := d.hosted.get(p.Request.Key); hr != nil && hr.request == p.Request {
		d.startHosted(hr, p)
		return
	}
	r := d.record(p.Request.Key)
	if r == nil || r.request != p.Request {
		d.releasePlacement(p)
		return
	}
	if r.claim != nil && !d.waitForClaim(r) {
		d.releasePlacement(p)
		if d.ctx.Err() == nil {
			d.handleClaimFailure(r)
		}
		return
	}
	grant, attempt, ok := d.prepareAttempt(r, p)
	if !ok {
		return
	}
	starts, ok := d.prepareStarts(p, grant.Until, func(a placer.Assignment) (connector.StartOrder, bool) {
		return d.buildStartOrder(r, grant.Epoch, attempt, a.Index)
	})
	if ok {
		d.sendStarts(r, p, starts)
	} else {
		withdrawStarts(starts, func(s preparedStart) { d.markNotStarted(r, p.Attempt, s.order, s.assignment) })
	}
	d.evaluateAttempt(r, attempt)
}

// waitForClaim waits for the claim and reports whether it was won.
func (d *Dispatcher) waitForClaim(r *record) bool {
	select {
	case <-r.claim.done:
		return r.claim.err == nil && r.claim.won
	case <-d.ctx.Done():
		return false
	}
}

// releasePlacement releases the capacity of a placement for which no order was
// sent.
func (d *Dispatcher) releasePlacement(p scheduler.Placement) {
	for _, a := range p.Tasks {
		d.cfg.Scheduler.Ended(p.Request.Key, p.Attempt, a.Index, a.Target, scheduler.Result{})
	}
}

// prepareAttempt marks the request as started before the first order is sent, and
// returns the grant for the request and the number of the attempt. It returns false
// if the request must not be started any more.
func (d *Dispatcher) prepareAttempt(r *record, p scheduler.Placement) (leaser.Grant, descriptor.Attempt, bool) {
	grant, ok := d.cfg.Owners.Grant(r.request.Slice())
	if !ok {
		d.releasePlacement(p)
		d.retry(r, "ownerUnconfirmed", nil)
		return grant, 0, false
	}
	targets := make([]descriptor.TargetID, len(p.Tasks))
	for _, a := range p.Tasks {
		targets[a.Index] = a.Target
	}
	r.mu.Lock()
	if r.isDone() || r.cancelled || !r.allTasksTerminal() {
		cancelled := r.cancelled && !r.isDone()
		r.mu.Unlock()
		d.releasePlacement(p)
		if cancelled {
			d.finishCancelled(r)
		}
		return grant, 0, false
	}
	defer r.mu.Unlock()
	r.schedulerAttempt = p.Attempt
	d.beginAttempt(r, grant.Epoch, targets)
	return grant, r.attempt, true
}

// beginAttempt begins the next attempt. The caller holds r.mu.
func (d *Dispatcher) beginAttempt(r *record, e descriptor.Epoch, targets []descriptor.TargetID) {
	r.firstAttempt = r.unstarted != nil
	if r.firstAttempt {
		r.started = r.unstarted.Start()
		r.unstarted = nil
		r.firstSentAt = d.cfg.Clock.Now()
	}
	r.attempt++
	r.evaluated = false
	r.tasks = make([]taskRun, len(targets))
	for i, target := range targets {
		r.tasks[i] = taskRun{id: descriptor.NewTaskID(r.request.Key, e, r.attempt, i), target: target}
	}
}

// finishCancelled ends a cancelled request that has no running task.
func (d *Dispatcher) finishCancelled(r *record) {
	r.mu.Lock()
	if r.isDone() {
		r.mu.Unlock()
		return
	}
	if r.unstarted != nil {
		r.finish(r.unstarted.Cancel(), d.cfg.Clock.Now())
		r.unstarted = nil
	} else {
		r.finish(r.started.Cancel(d.describeRun(r, "")), d.cfg.Clock.Now())
		r.started = nil
	}
	r.mu.Unlock()
	d.finalize(r)
}

// preparedStart is the start order of one task of a placement.
type preparedStart struct {
	order      connector.StartOrder
	assignment placer.Assignment
	// worker is the worker that has recorded the order as pending, or nil.
	worker *targetWorker
}

// prepareStarts records the orders of all tasks of a placement as pending and sets
// their start deadlines. The grant for the request ends at keyUntil. It returns
// false if one of the orders must not be sent. The caller must then withdraw all of
// them: if the others were sent, the started part of a gang would be stopped and run
// again, even in a planned handover of slices.
//
// An order may be sent after its grants have been given up: the next owner of a
// slice waits until no order that was prepared under an earlier grant can start.
func (d *Dispatcher) prepareStarts(p scheduler.Placement, keyUntil time.Time, build func(placer.Assignment) (connector.StartOrder, bool)) ([]preparedStart, bool) {
	starts := make([]preparedStart, len(p.Tasks))
	complete := true
	for i, a := range p.Tasks {
		var ok bool
		s := &starts[i]
		s.assignment = a
		s.order, ok = build(a)
		complete = complete && ok && d.prepareStart(s, p.Attempt, keyUntil)
	}
	return starts, complete
}

// prepareStart records one order as pending and sets its start deadline. It returns
// false if the order must not be sent.
func (d *Dispatcher) prepareStart(s *preparedStart, schedulerAttempt descriptor.Attempt, keyUntil time.Time) bool {
	w := d.worker(s.assignment.Target)
	if w == nil || !w.addPending(s.order, schedulerAttempt) {
		return false
	}
	s.worker = w
	var ok bool
	if s.order.StartBeforeMs, ok = w.startDeadline(s.order.Task, keyUntil); !ok {
		d.countRejectedStart("grantEnded")
	}
	return ok
}

// withdrawStarts calls markNotStarted for each of the orders, none of which has been
// sent, unless its worker has already resolved it.
func withdrawStarts(starts []preparedStart, markNotStarted func(preparedStart)) {
	for _, s := range starts {
		if s.worker == nil || s.worker.removePending(s.order.Task) {
			markNotStarted(s)
		}
	}
}

// sendStarts sends the orders and records the results. An order without a response
// stays pending until the worker of the target resolves it.
func (d *Dispatcher) sendStarts(r *record, p scheduler.Placement, starts []preparedStart) {
	var wg sync.WaitGroup
	for _, s := range starts {
		wg.Go(func() {
			err := d.transmitOrder(s)
			if errors.Is(err, connector.ErrRejected) {
				r.avoidTarget(s.assignment.Target)
			}
			if d.handleStartResult(s.worker, s.order.Task, err) {
				d.markNotStarted(r, p.Attempt, s.order, s.assignment)
			}
		})
	}
	wg.Wait()
}

// handleStartResult counts the result of a start order. It returns true if the
// task certainly did not start and the order had not been resolved before.
func (d *Dispatcher) handleStartResult(w *targetWorker, id descriptor.TaskID, err error) bool {
	switch {
	case err == nil:
		d.cfg.Scope.Counter("starts").Inc(1)
		return false
	case errors.Is(err, connector.ErrRejected), errors.Is(err, connector.ErrUnavailable):
		d.countRejectedStart(rejectionReason(err))
		d.cfg.Log.Debug("dispatcher: start order rejected", "target", w.target.ID, "task", id, "error", err)
		if errors.Is(err, connector.ErrUnavailable) {
			w.markUnavailable()
		}
		return w.removePending(id)
	}
	d.cfg.Scope.Counter("starts_ambiguous").Inc(1)
	d.cfg.Log.Warn("dispatcher: start order without an answer", "target", w.target.ID, "task", id, "error", err)
	return false
}

func rejectionReason(err error) string {
	if errors.Is(err, connector.ErrRejected) {
		return "rejected"
	}
	return "unreachable"
}

func (d *Dispatcher) countRejectedStart(reason string) {
	d.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("starts_rejected").Inc(1)
}

// buildStartOrder returns the start order of one task. It returns false if the
// attempt is no longer the current one.
func (d *Dispatcher) buildStartOrder(r *record, e descriptor.Epoch, attempt descriptor.Attempt, index int) (connector.StartOrder, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt || index >= len(r.tasks) {
		return connector.StartOrder{Key: r.request.Key}, false
	}
	req := r.request
	return connector.StartOrder{
		Task: r.tasks[index].id, Key: req.Key, Epoch: e, Attempt: attempt, Index: index, TaskCount: len(r.tasks),
		Idempotent: req.Idempotent, Kind: req.Kind, Resources: req.Resources,
		LeaseMs: d.cfg.TaskLease.Milliseconds(), Payload: req.Payload, Resume: r.resume,
	}, true
}

// transmitOrder sends the order. After a pause of the process since the start
// deadline was set, the target rejects the order as late.
func (d *Dispatcher) transmitOrder(s preparedStart) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.StartWindow+time.Second)
	defer cancel()
	status, err := s.worker.conn.Start(ctx, s.order)
	if err == nil {
		s.worker.updateStatus(status, d.cfg.Clock.Now())
	}
	return err
}

// markNotStarted records that a task certainly did not start and never will.
func (d *Dispatcher) markNotStarted(r *record, schedulerAttempt descriptor.Attempt, o connector.StartOrder, a placer.Assignment) {
	d.cfg.Scheduler.Ended(r.request.Key, schedulerAttempt, a.Index, a.Target, scheduler.Result{})
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.taskIndex(o.Task); i >= 0 && !r.tasks[i].state.terminal() {
		r.tasks[i].state = runNotStarted
	}
}

// updateTask applies the state of a task that its target reported.
func (d *Dispatcher) updateTask(t connector.ListedTask) {
	r := d.record(t.Key)
	if r == nil {
		d.updateHostedTask(t)
		return
	}
	r.mu.Lock()
	i := r.taskIndex(t.Task)
	if i < 0 || r.tasks[i].state.terminal() {
		r.mu.Unlock()
		return
	}
	r.tasks[i].reported = t
	r.tasks[i].state = runRunning
	if t.State.Ended() {
		r.tasks[i].state = runEnded
	}
	attempt := r.attempt
	r.mu.Unlock()
	if t.State.Ended() {
		d.evaluateAttempt(r, attempt)
	}
}

// resolveTask records that a task has no result, because it certainly never
// started, or because its lease expired or its target no longer has it.
func (d *Dispatcher) resolveTask(key descriptor.Key, id descriptor.TaskID, s runState) {
	r := d.record(key)
	if r == nil {
		d.resolveHostedTask(key, id, s)
		return
	}
	r.mu.Lock()
	i := r.taskIndex(id)
	if i < 0 || r.tasks[i].state.terminal() {
		r.mu.Unlock()
		return
	}
	r.tasks[i].state = s
	r.tasks[i].lost = s == runEnded
	attempt := r.attempt
	r.mu.Unlock()
	d.evaluateAttempt(r, attempt)
}

// taskIndex returns the index of a task of the current attempt, or -1. The caller
// holds r.mu.
func (r *record) taskIndex(id descriptor.TaskID) int {
	for i := range r.tasks {
		if r.tasks[i].id == id {
			return i
		}
	}
	return -1
}
