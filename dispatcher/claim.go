package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/claimer"
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// makeClaim claims a non-idempotent request while it waits in the queue.
func (d *Dispatcher) makeClaim(r *record) {
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.ClaimTimeout)
	defer cancel()
	c := r.claim
	c.won, c.existing, c.err = d.cfg.Claims.Claim(ctx, r.request.Key)
	close(c.done)
	if c.err == nil && c.won {
		return
	}
	if d.cfg.Scheduler.Cancel(r.request.Key) || r.idleAtHosts() {
		d.endUnclaimed(r)
	}
}

// endUnclaimed ends a request that was not started because its claim was not
// won.
func (d *Dispatcher) endUnclaimed(r *record) {
	c := r.claim
	if c.err != nil {
		d.cfg.Log.Warn("dispatcher: claim not made", "request", r.request.Key, "error", c.err)
		d.refuse(r, descriptor.Refusal{
			Reason: descriptor.ReasonStoreUnavailable, RetryAfter: 5 * time.Second,
			Detail: "the claim that keeps the work from running twice could not be made durable",
		})
		return
	}
	if c.existing.Outcome != nil {
		d.finishUnclaimed(r, *c.existing.Outcome)
		d.shards[r.request.Slice()].keepOutcome(r)
		return
	}
	f := descriptor.Refusal{
		Reason: descriptor.ReasonRecovering, RetryAfter: 2 * time.Second,
		Detail: fmt.Sprintf("claimed by instance %s, which left no outcome", c.existing.Holder.Instance),
	}
	// The slice has been recovered, so no task of the request is known to any
	// target. The holder may still withdraw the claim for a while.
	age := d.cfg.Clock.Now().Sub(time.UnixMilli(c.existing.ClaimedMs))
	final := age > d.cfg.TaskLease+claimSettleTime
	if final {
		f.RetryAfter = 0
	}
	o := descriptor.Undetermined(f)
	d.finishUnclaimed(r, o)
	if !final {
		d.forget(r)
		return
	}
	d.shards[r.request.Slice()].keepOutcome(r)
	d.wg.Go(func() { d.recordOutcome(r, o) })
}

// claimSettleTime is how long a claim whose holder lost its slice may still get an
// outcome or be withdrawn.
const claimSettleTime = 10 * time.Second

// finishUnclaimed ends a request with the outcome of another claim.
func (d *Dispatcher) finishUnclaimed(r *record, o descriptor.Outcome) {
	r.mu.Lock()
	r.finish(o, d.cfg.Clock.Now())
	r.mu.Unlock()
	d.cfg.Scheduler.Done(r.request.Key)
	d.cfg.Scope.Tagged(map[string]string{"outcome": o.Kind().String()}).Counter("outcomes").Inc(1)
}

// withdrawClaim removes the claim of a refused request and then forgets the
// request. It is not forgotten earlier, or the withdrawal could remove the claim
// of the next submission.
func (d *Dispatcher) withdrawClaim(r *record) {
	defer d.forget(r)
	d.withdraw(r)
}

// withdraw removes the claim of a request of which no task can have run.
func (d *Dispatcher) withdraw(r *record) {
	select {
	case <-r.claim.done:
	case <-d.ctx.Done():
		return
	}
	lost := r.claim.err == nil && !r.claim.won
	if lost || errors.Is(r.claim.err, connector.ErrUnavailable) {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.ClaimTimeout)
	defer cancel()
	if err := d.cfg.Claims.Withdraw(ctx, r.request.Key); err != nil {
		d.cfg.Log.Warn("dispatcher: claim not withdrawn", "request", r.request.Key, "error", err)
	}
}

// recordOutcome makes the outcome of non-idempotent work durable. It tries for
// as long as the outcome is kept in memory.
func (d *Dispatcher) recordOutcome(r *record, o descriptor.Outcome) {
	d.recording.Add(1)
	defer d.recording.Add(-1)
	for wait := time.Second; wait < outcomeRetention; wait *= 2 {
		ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
		err := d.cfg.Claims.Record(ctx, r.request.Key, o)
		cancel()
		if err == nil || errors.Is(err, claimer.ErrRecorded) || errors.Is(err, connector.ErrNotFound) {
			return
		}
		d.cfg.Scope.Counter("outcome_record_retries").Inc(1)
		d.cfg.Log.Warn("dispatcher: outcome not recorded", "request", r.request.Key, "error", err)
		if !d.sleep(wait) {
			return
		}
	}
}
