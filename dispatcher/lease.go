package dispatcher

import (
	"context"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// pendingStart is a start order of which it is not known whether it started.
type pendingStart struct {
	order connector.StartOrder
	// placed is the number that the scheduler gave to the attempt.
	placed descriptor.Attempt
	// startBefore is the last moment at which the target may start it; 0 until
	// the order is about to be sent.
	startBefore connector.TargetClock
	// lost says that the target has restarted since, so that the task may have
	// run without being listed.
	lost bool
	// movedUntil is set if the order went to the target at an earlier address. By
	// that time it has ended or never started, unless the target lists it.
	movedUntil time.Time
}

func (p *pendingStart) moved() bool { return !p.movedUntil.IsZero() }

// expiredPending removes the orders that the target can't start any more and did
// not list. The list and the clock of one answer belong together, and each start
// is an event, so an order that is missing after its start deadline never
// started. It needs w.mu.
func (w *targetWorker) expiredPending(now connector.TargetClock) []*pendingStart {
	var expired []*pendingStart
	for id, p := range w.pending {
		if !p.moved() && p.startBefore != 0 && now > p.startBefore {
			delete(w.pending, id)
			expired = append(expired, p)
			if p.lost {
				w.expire(p, now)
			}
		}
	}
	return expired
}

// startDeadline returns the last moment, on the target's clock, at which a
// pending order may start, and notes it: inside both grants and at most the start window ahead. The
// target read its clock before the anchor, so the result is never after the end
// of the grants.
func (w *targetWorker) startDeadline(id descriptor.TaskID, keyUntil time.Time) (connector.TargetClock, bool) {
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
	if !until.After(now) || w.anchor.IsZero() {
		return 0, false
	}
	ahead := time.Duration(float64(until.Sub(w.anchor)) * driftMargin)
	end := w.anchorMs + connector.TargetClock(ahead.Milliseconds())
	w.leaseEnd = max(w.leaseEnd, end+connector.TargetClock(w.d.cfg.TaskLease.Milliseconds()))
	if p, ok := w.pending[id]; ok {
		p.startBefore = end
	}
	return end, true
}

// addPending notes an order before it is sent. It reports false if the target
// takes no new work.
func (w *targetWorker) addPending(o connector.StartOrder, placed descriptor.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced || w.leaving || w.ctx.Err() != nil {
		return false
	}
	w.pending[o.Task] = &pendingStart{order: o, placed: placed}
	return true
}

// dropPending removes an order that surely did not start. It reports false if
// the order was resolved already.
func (w *targetWorker) dropPending(id descriptor.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.pending[id]
	delete(w.pending, id)
	return ok
}

// renew extends the leases of all tasks on the target, three times in each task
// lease. It needs a valid grant, so a deposed owner extends nothing. A target that
// does not answer gets no renewals after half a lease: each may take effect
// unseen, so the end of its tasks could never be known.
func (w *targetWorker) renew() {
	grant, ok := w.d.cfg.Owners.Grant(w.target.ID.Slice())
	now := w.d.cfg.Clock.Now()
	w.mu.Lock()
	due := ok && grant.Epoch == w.epoch && w.running > 0 && !now.Before(w.nextRenew) &&
		now.Sub(w.lastSeen) < w.d.cfg.TaskLease/2
	if !due {
		w.mu.Unlock()
		return
	}
	until := w.anchorMs + connector.TargetClock((now.Sub(w.anchor) + w.d.cfg.TaskLease).Milliseconds())
	w.leaseEnd = max(w.leaseEnd, until)
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
	w.noteStatus(status, w.d.cfg.Clock.Now())
}
