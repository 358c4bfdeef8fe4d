package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

// start sends the start orders of a placement.
func (d *Dispatcher) start(p scheduler.Placement) {
	if g := d.guests.get(p.Request.Key); g != nil && g.request == p.Request {
		d.startGuest(g, p)
		return
	}
	r := d.record(p.Request.Key)
	if r == nil || r.request != p.Request {
		d.releaseAll(p)
		return
	}
	if r.claim != nil && !d.claimed(r) {
		d.releaseAll(p)
		if d.ctx.Err() == nil {
			d.endUnclaimed(r)
		}
		return
	}
	attempt, ok := d.prepare(r, p)
	if !ok {
		return
	}
	var wg sync.WaitGroup
	for i := range p.Tasks {
		wg.Go(func() { d.send(r, p, attempt, i) })
	}
	wg.Wait()
	d.conclude(r, attempt)
}

// claimed waits for the claim and reports whether it was won.
func (d *Dispatcher) claimed(r *record) bool {
	select {
	case <-r.claim.done:
		return r.claim.err == nil && r.claim.won
	case <-d.ctx.Done():
		return false
	}
}

// releaseAll gives back the capacity of a placement that was not sent.
func (d *Dispatcher) releaseAll(p scheduler.Placement) {
	for _, a := range p.Tasks {
		d.cfg.Scheduler.Ended(p.Request.Key, p.Attempt, a.Index, a.Target, scheduler.Result{})
	}
}

// prepare turns the request into a started one before the first order leaves,
// and returns the number of the attempt. It reports false if the request must not
// be started any more.
func (d *Dispatcher) prepare(r *record, p scheduler.Placement) (descriptor.Attempt, bool) {
	grant, ok := d.cfg.Owners.Grant(r.request.Slice())
	if !ok {
		d.releaseAll(p)
		d.retry(r, "ownerUnconfirmed", nil)
		return 0, false
	}
	targets := make([]descriptor.TargetID, len(p.Tasks))
	for _, a := range p.Tasks {
		targets[a.Index] = a.Target
	}
	r.mu.Lock()
	if r.isDone() || r.cancelled || !r.settled() {
		cancelled := r.cancelled && !r.isDone()
		r.mu.Unlock()
		d.releaseAll(p)
		if cancelled {
			d.finishCancelled(r)
		}
		return 0, false
	}
	defer r.mu.Unlock()
	r.placed = p.Attempt
	d.beginAttempt(r, grant.Epoch, targets)
	return r.attempt, true
}

// beginAttempt starts the next attempt. It needs r.mu.
func (d *Dispatcher) beginAttempt(r *record, e descriptor.Epoch, targets []descriptor.TargetID) {
	r.firstAttempt = r.unstarted != nil
	if r.firstAttempt {
		r.started = r.unstarted.Start()
		r.unstarted = nil
		r.firstSent = d.cfg.Clock.Now()
	}
	r.attempt++
	r.concluded = false
	r.tasks = make([]taskRun, len(targets))
	for i, target := range targets {
		r.tasks[i] = taskRun{id: descriptor.NewTaskID(r.request.Key, e, r.attempt, i), target: target}
	}
}

// finishCancelled ends a cancelled request of which no task is running.
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
		r.finish(r.started.Cancel(d.runOf(r, "")), d.cfg.Clock.Now())
		r.started = nil
	}
	r.mu.Unlock()
	d.ended(r)
}

// send sends the start order of one task and notes what is known afterwards. An
// order whose answer was lost stays pending; the target's worker resolves it.
func (d *Dispatcher) send(r *record, p scheduler.Placement, attempt descriptor.Attempt, i int) {
	a := p.Tasks[i]
	w := d.worker(a.Target)
	order, ok := d.order(r, attempt, a.Index)
	if w == nil || !ok || !w.addPending(order, p.Attempt) {
		d.notStarted(r, p.Attempt, order, a)
		return
	}
	grant, ok := d.cfg.Owners.Grant(order.Key.Slice())
	err := errNotSent
	if ok {
		order.Epoch = grant.Epoch
		err = d.transmit(w, grant.Until, &order)
	}
	if errors.Is(err, connector.ErrRejected) {
		r.avoidTarget(a.Target)
	}
	if d.sent(w, order.Task, err) {
		d.notStarted(r, p.Attempt, order, a)
	}
}

// sent counts the result of a start order. It reports true if the task surely
// did not start and this is not known from elsewhere.
func (d *Dispatcher) sent(w *targetWorker, id descriptor.TaskID, err error) bool {
	switch {
	case err == nil:
		d.cfg.Scope.Counter("starts").Inc(1)
		return false
	case errors.Is(err, connector.ErrRejected), errors.Is(err, connector.ErrUnavailable), errors.Is(err, errNotSent):
		d.cfg.Scope.Tagged(map[string]string{"reason": rejectionReason(err)}).Counter("starts_rejected").Inc(1)
		if errors.Is(err, connector.ErrUnavailable) {
			w.noteUnavailable()
		}
		return w.dropPending(id)
	}
	d.cfg.Scope.Counter("starts_ambiguous").Inc(1)
	d.cfg.Log.Warn("dispatcher: start order without an answer", "target", w.target.ID, "task", id, "error", err)
	return false
}

func rejectionReason(err error) string {
	switch {
	case errors.Is(err, connector.ErrRejected):
		return "rejected"
	case errors.Is(err, errNotSent):
		return "grantEnded"
	}
	return "unreachable"
}

// errNotSent means that the grant did not allow the order to be sent.
var errNotSent = errors.New("start order not sent")

// order builds the start order of one task. It reports false if the attempt is
// not the current one any more.
func (d *Dispatcher) order(r *record, attempt descriptor.Attempt, index int) (connector.StartOrder, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt || index >= len(r.tasks) {
		return connector.StartOrder{Key: r.request.Key}, false
	}
	req := r.request
	return connector.StartOrder{
		Task: r.tasks[index].id, Key: req.Key, Attempt: attempt, Index: index, Of: len(r.tasks),
		Idempotent: req.Idempotent, Kind: req.Kind, Resources: req.Resources,
		LeaseMs: d.cfg.TaskLease.Milliseconds(), Payload: req.Payload, Resume: r.resume,
	}, true
}

// transmit sends the order if the grants of the key, which ends at keyUntil, and
// of the target hold. The start deadline is computed directly before the send,
// so that a pause in between makes the order late and not wrong.
func (d *Dispatcher) transmit(w *targetWorker, keyUntil time.Time, o *connector.StartOrder) error {
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.StartWindow+time.Second)
	defer cancel()
	var ok bool
	if o.StartBeforeMs, ok = w.startDeadline(o.Task, keyUntil); !ok {
		return errNotSent
	}
	status, err := w.conn.Start(ctx, *o)
	if err == nil {
		w.noteStatus(status, d.cfg.Clock.Now())
	}
	return err
}

// notStarted notes that a task surely did not start and never will.
func (d *Dispatcher) notStarted(r *record, placed descriptor.Attempt, o connector.StartOrder, a placer.Assignment) {
	d.cfg.Scheduler.Ended(r.request.Key, placed, a.Index, a.Target, scheduler.Result{})
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.find(o.Task); i >= 0 && !r.tasks[i].state.settled() {
		r.tasks[i].state = runNotStarted
	}
}

// observe notes the state of a task as its target reported it.
func (d *Dispatcher) observe(t connector.ListedTask) {
	r := d.record(t.Key)
	if r == nil {
		d.observeGuest(t)
		return
	}
	r.mu.Lock()
	i := r.find(t.Task)
	if i < 0 || r.tasks[i].state.settled() {
		r.mu.Unlock()
		return
	}
	r.tasks[i].listed = t
	r.tasks[i].state = runRunning
	if t.State.Ended() {
		r.tasks[i].state = runEnded
	}
	attempt := r.attempt
	r.mu.Unlock()
	if t.State.Ended() {
		d.conclude(r, attempt)
	}
}

// settle notes that a task has no result: it surely never started, or it ended
// with its lease out of this instance's sight.
func (d *Dispatcher) settle(key descriptor.Key, id descriptor.TaskID, s runState) {
	r := d.record(key)
	if r == nil {
		d.settleGuest(key, id, s)
		return
	}
	r.mu.Lock()
	i := r.find(id)
	if i < 0 || r.tasks[i].state.settled() {
		r.mu.Unlock()
		return
	}
	r.tasks[i].state = s
	r.tasks[i].lost = s == runEnded
	attempt := r.attempt
	r.mu.Unlock()
	d.conclude(r, attempt)
}

// find returns the index of a task of the current attempt, or -1. It needs r.mu.
func (r *record) find(id descriptor.TaskID) int {
	for i := range r.tasks {
		if r.tasks[i].id == id {
			return i
		}
	}
	return -1
}
