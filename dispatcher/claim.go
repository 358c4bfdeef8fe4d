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

// acquireClaim writes the claim of a non-idempotent request while the request
// waits in the queue.
func (d *Dispatcher) acquireClaim(r *record) {
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.ClaimTimeout)
	defer cancel()
	c := r.claim
	c.won, c.existing, c.err = d.cfg.Claims.Claim(ctx, r.request.Key)
	close(c.done)
	if c.err == nil && c.won {
		return
	}
	if d.cfg.Scheduler.Cancel(r.request.Key) || r.waitingOnlyAtHosts() {
		d.handleClaimFailure(r)
	}
}

// handleClaimFailure ends a request that was not started because its claim was
// not won.
func (d *Dispatcher) handleClaimFailure(r *record) {
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
		d.finishFromClaim(r, *c.existing.Outcome)
		d.shards[r.request.Slice()].retainFinished(r)
		return
	}
	f := descriptor.Refusal{
		Reason: descriptor.ReasonRecovering, RetryAfter: 2 * time.Second,
		Detail: fmt.Sprintf("claimed by instance %s, which left no outcome", c.existing.Holder.Instance),
	}
	// The slice has been recovered, so no target has a task of the request. The
	// holder may still withdraw the claim until the grace period has passed.
	age := d.cfg.Clock.Now().Sub(time.UnixMilli(c.existing.ClaimedMs))
	final := age > d.cfg.TaskLease+claimGracePeriod
	if final {
		f.RetryAfter = 0
	}
	o := descriptor.Undetermined(f)
	d.finishFromClaim(r, o)
	if !final {
		d.forget(r)
		return
	}
	d.shards[r.request.Slice()].retainFinished(r)
	d.wg.Go(func() { d.recordOutcome(r, o) })
}

// claimGracePeriod is how long the holder of a claim may still record an outcome
// or withdraw the claim after it has lost the slice.
const claimGracePeriod = 10 * time.Second

// finishFromClaim ends a request with an outcome derived from the claim of
// another holder.
func (d *Dispatcher) finishFromClaim(r *record, o descriptor.Outcome) {
	r.mu.Lock()
	r.finish(o, d.cfg.Clock.Now())
	r.mu.Unlock()
	d.cfg.Scheduler.Done(r.request.Key)
	d.cfg.Scope.Tagged(map[string]string{"outcome": o.Kind().String()}).Counter("outcomes").Inc(1)
}

// withdrawAndForget removes the claim of a refused request and then drops its
// record. Dropping the record first would let the withdrawal remove the claim of
// the next submission.
func (d *Dispatcher) withdrawAndForget(r *record) {
	defer d.forget(r)
	d.withdraw(r)
}

// withdraw removes the claim of a request none of whose tasks can have run.
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
		d.cfg.Log.Warn("dispatcher: failed to withdraw claim", "request", r.request.Key, "error", err)
	}
}

// recordOutcome stores the outcome of a non-idempotent request in its claim. It
// retries with exponential backoff until the delay reaches the time for which
// outcomes are retained in memory.
func (d *Dispatcher) recordOutcome(r *record, o descriptor.Outcome) {
	d.pendingOutcomeWrites.Add(1)
	defer d.pendingOutcomeWrites.Add(-1)
	for wait := time.Second; wait < outcomeRetention; wait *= 2 {
		ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
		err := d.cfg.Claims.Record(ctx, r.request.Key, o)
		cancel()
		if err == nil || errors.Is(err, claimer.ErrRecorded) || errors.Is(err, connector.ErrNotFound) {
			return
		}
		d.cfg.Scope.Counter("outcome_record_retries").Inc(1)
		d.cfg.Log.Warn("dispatcher: failed to record outcome", "request", r.request.Key, "error", err)
		if !d.sleep(wait) {
			return
		}
	}
}
