package dispatcher

import (
	"context"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// pendingStart is a start order for which it is not known whether the task started.
type pendingStart struct {
	order connector.StartOrder
	// schedulerAttempt is the number that the scheduler assigned to the attempt.
	schedulerAttempt descriptor.Attempt
	// startBefore is the start deadline on the target's clock. It is 0 until the
	// order is about to be sent.
	startBefore connector.TargetTime
	// targetRestarted is set if the target has restarted since the order was
	// sent. The task may then have run without being listed.
	targetRestarted bool
	// moveExpiry is set if the order was sent to an earlier address of the target.
	// By that time the task has ended or can no longer start, unless the target
	// lists it.
	moveExpiry time.Time
}

func (p *pendingStart) targetMoved() bool { return !p.moveExpiry.IsZero() }

// takeExpiredPending removes and returns the orders that the target can no longer
// start and did not list. A response holds a consistent pair of list and clock,
// and every start is an event, so an order that is missing after its start
// deadline never started. The caller holds w.mu.
func (w *targetWorker) takeExpiredPending(now connector.TargetTime) []*pendingStart {
	var expired []*pendingStart
	for id, p := range w.pending {
		if !p.targetMoved() && p.startBefore != 0 && now > p.startBefore {
			delete(w.pending, id)
			expired = append(expired, p)
			if p.targetRestarted {
				w.recordExpired(p, now)
			}
		}
	}
	return expired
}

// startDeadline computes, records and returns the start deadline of a pending
// order on the target's clock. The deadline is within both grants and at most the
// start window ahead. The target read its clock no later than clockReadAt, so the
// deadline is never after the end of the grants.
func (w *targetWorker) startDeadline(id descriptor.TaskID, keyUntil time.Time) (connector.TargetTime, bool) {
	grant, ok := w.d.cfg.Owners.Grant(w.target.ID.Slice())
	if !ok || grant.Epoch != w.epoch {
		return 0, false
	}
	now := w.d.cfg.Clock.Now()
	until := now.Add(w.d.cfg.StartWindow)
	for _, end := range []time.Time{grant.Until, keyUntil} {
		if end.Before(until) {
			until = end
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !until.After(now) || w.clockReadAt.IsZero() {
		return 0, false
	}
	ahead := time.Duration(float64(until.Sub(w.clockReadAt)) * clockDriftFactor)
	end := w.clockMs + connector.TargetTime(ahead.Milliseconds())
	w.maxLeaseEnd = max(w.maxLeaseEnd, end+connector.TargetTime(w.d.cfg.TaskLease.Milliseconds()))
	if p, ok := w.pending[id]; ok {
		p.startBefore = end
	}
	return end, true
}

// addPending records an order before it is sent. It returns false if the target
// accepts no new tasks.
func (w *targetWorker) addPending(o connector.StartOrder, schedulerAttempt descriptor.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced || w.reportedLeaving || w.ctx.Err() != nil {
		return false
	}
	w.pending[o.Task] = &pendingStart{order: o, schedulerAttempt: schedulerAttempt}
	return true
}

// removePending removes an order that certainly did not start. It returns false if
// the order had already been resolved.
func (w *targetWorker) removePending(id descriptor.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.pending[id]
	delete(w.pending, id)
	return ok
}

// renewLeases extends the leases of all tasks on the target, three times per lease
// duration. It requires a valid grant, so a deposed owner extends nothing. After
// half a lease without a response no renewals are sent: each could take effect
// unnoticed, so the time at which the tasks have certainly expired would be
// postponed indefinitely.
func (w *targetWorker) renewLeases() {
	grant, ok := w.d.cfg.Owners.Grant(w.target.ID.Slice())
	now := w.d.cfg.Clock.Now()
	w.mu.Lock()
	due := ok && grant.Epoch == w.epoch && w.runningTasks > 0 && !now.Before(w.nextRenew) &&
		now.Sub(w.lastResponseAt) < w.d.cfg.TaskLease/2
	if !due {
		w.mu.Unlock()
		return
	}
	until := w.clockMs + connector.TargetTime((now.Sub(w.clockReadAt) + w.d.cfg.TaskLease).Milliseconds())
	w.maxLeaseEnd = max(w.maxLeaseEnd, until)
	w.nextRenew = now.Add(w.d.cfg.TaskLease / 3)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	status, err := w.conn.Renew(ctx, nil, until)
	if err != nil {
		w.d.cfg.Scope.Counter("renew_errors").Inc(1)
		w.mu.Lock()
		w.nextRenew = now.Add(time.Second)
		w.mu.Unlock()
		return
	}
	w.updateStatus(status, w.d.cfg.Clock.Now())
}
