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

// Drain takes no new work, withdraws the claims of requests that still wait, and
// waits until nothing is running, or ctx ends. It returns an error that counts
// what is left.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.setDraining(true)
	d.releaseClaimed()
	for {
		waiting, running := d.Open()
		if running == 0 && d.recording.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests waiting and %d running at the end of the drain time", waiting, running)
		case <-d.cfg.Clock.After(20 * time.Millisecond):
		}
	}
}

// releaseClaimed lets go of the non-idempotent requests that still wait, while
// this instance has the session that its claims are fenced by. Otherwise the next
// owner would find a claim without an outcome, and could not tell that nothing
// was started under it.
func (d *Dispatcher) releaseClaimed() {
	var wg sync.WaitGroup
	for i := range d.shards {
		sh := &d.shards[i]
		for _, r := range sh.claimedWaiting() {
			if !d.cfg.Scheduler.Cancel(r.request.Key) && !r.idleAtHosts() {
				continue
			}
			wg.Go(func() {
				d.withdraw(r)
				d.forget(r)
				r.move()
			})
		}
	}
	wg.Wait()
}

// Open returns the number of requests without an outcome.
func (d *Dispatcher) Open() (waiting, running int) {
	for i := range d.shards {
		w, r := d.shards[i].open()
		waiting, running = waiting+w, running+r
	}
	return waiting, running
}
