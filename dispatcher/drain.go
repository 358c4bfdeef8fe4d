package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func (d *Dispatcher) setDraining(draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = draining
}

func (d *Dispatcher) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// beginStarts counts a round of placements as a start in progress. It returns false
// if the dispatcher is draining. Drain then misses no start: it sees either the
// count or a round that never begins.
func (d *Dispatcher) beginStarts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.startsInProgress.Add(1)
	return true
}

// Drain stops accepting requests, withdraws the claims of waiting requests, and
// waits until no request is running, no order is being sent for this or another
// owner, and all outcomes are stored, or until ctx ends. In the latter case the
// error states how many requests are left.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.setDraining(true)
	d.withdrawWaitingClaims()
	for {
		// Read the starts first: one that ends after that counts as running.
		starting := d.startsInProgress.Load()
		waiting, running := d.CountOpen()
		if running == 0 && starting == 0 && d.pendingOutcomeWrites.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain incomplete: %d requests waiting, %d running", waiting, running)
		case <-d.cfg.Clock.After(20 * time.Millisecond):
		}
	}
}

// withdrawWaitingClaims drops the non-idempotent requests that are still waiting
// and withdraws their claims, while this instance still has the session that
// fences its claims. Otherwise the next owner would find a claim without an
// outcome and could not tell that nothing was started under it.
func (d *Dispatcher) withdrawWaitingClaims() {
	var wg sync.WaitGroup
	for i := range d.shards {
		sh := &d.shards[i]
		for _, r := range sh.claimedWaiting() {
			if !d.cfg.Scheduler.Cancel(r.request.Key) && !r.waitingOnlyAtHosts() {
				continue
			}
			wg.Go(func() {
				d.withdraw(r)
				d.forget(r)
				r.markOwnerChanged()
			})
		}
	}
	wg.Wait()
}

// CountOpen returns the numbers of waiting and of running requests that have no
// outcome yet.
func (d *Dispatcher) CountOpen() (waiting, running int) {
	for i := range d.shards {
		w, r := d.shards[i].countOpen()
		waiting, running = waiting+w, running+r
	}
	return waiting, running
}
