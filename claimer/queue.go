package claimer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/leaser"
)

const (
	// maxInFlight bounds the concurrent transactions. It is greater than one so
	// that a store with high latency still accepts several batches per round trip.
	maxInFlight = 4
	// maxQueued bounds the queue to 64 full batches, several seconds of load.
	maxQueued = 64 * connector.MaxTransactionRows
	// closeTimeout bounds the time that Close spends on flushing the queue.
	closeTimeout = 5 * time.Second
)

type writeKind uint8

const (
	insertClaim writeKind = iota
	recordOutcome
	deleteClaim
)

// write is a pending write of one claim row.
type write struct {
	kind    writeKind
	row     connector.RowKey
	session leaser.Session
	claim   Claim
	// version is the version that the row must have; 0 means that it must be
	// absent, as for insertClaim.
	version connector.RowVersion
	result  chan result // buffered

	// ambiguous is set when an attempt may have taken effect or may still do so.
	// It is owned by the goroutine that handles the write.
	ambiguous bool

	mu        sync.Mutex
	abandoned bool // the caller no longer waits
	sent      bool
}

// result is what a finished write delivers to its caller.
type result struct {
	won      bool
	existing Claim
	err      error
}

// errRowChanged means that the row has changed since it was read. update then
// reads the row again and retries.
var errRowChanged = errors.New("claimer: row has changed since it was read")

func newWrite(kind writeKind, row connector.RowKey, s leaser.Session, claim Claim, ambiguous bool) *write {
	return &write{kind: kind, row: row, session: s, claim: claim, ambiguous: ambiguous, result: make(chan result, 1)}
}

// abandon records that the caller no longer waits and reports whether the write
// may have been sent.
func (w *write) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	return w.sent
}

func (w *write) isAbandoned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abandoned
}

// markSent marks the write as sent unless the caller has abandoned it, and reports
// whether it did so.
func (w *write) markSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.sent = true
	return true
}

func (c *Claimer) enqueue(w *write) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	if len(c.queue) >= maxQueued {
		return ErrQueueFull
	}
	c.queue = append(c.queue, w)
	c.notify()
	return nil
}

func (c *Claimer) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// send queues a write and waits for its result.
func (c *Claimer) send(ctx context.Context, w *write) result {
	if err := c.enqueue(w); err != nil {
		return w.failure(err)
	}
	return c.await(ctx, w)
}

// failure returns the result of a write that was not sent or whose last attempt
// definitely had no effect. It reports connector.ErrAmbiguous if an earlier
// attempt may still have one.
func (w *write) failure(err error) result {
	if w.ambiguous && !errors.Is(err, connector.ErrAmbiguous) {
		err = fmt.Errorf("%w: %v", connector.ErrAmbiguous, err)
	}
	return result{err: err}
}

// await waits for the result of a write or for the end of ctx. Once the write may
// have been sent, the end of ctx results in connector.ErrAmbiguous.
func (c *Claimer) await(ctx context.Context, w *write) result {
	select {
	case r := <-w.result:
		return r
	case <-ctx.Done():
	}
	sent := w.abandon()
	select {
	case r := <-w.result:
		return r
	default:
	}
	if sent {
		return result{err: fmt.Errorf("%w: %w", connector.ErrAmbiguous, ctx.Err())}
	}
	return w.failure(fmt.Errorf("%w: %w", connector.ErrUnavailable, ctx.Err()))
}

// Run sends queued writes and sweeps expired claims until ctx ends or Close is
// called. Writes that are still queued when ctx ends fail.
func (c *Claimer) Run(ctx context.Context) error {
	c.mu.Lock()
	if c.started || c.closed {
		c.mu.Unlock()
		return ErrClosed
	}
	c.started = true
	c.mu.Unlock()
	defer close(c.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sweepCtx, stopSweep := context.WithCancel(ctx)
	var sweeper, flushes sync.WaitGroup
	sweeper.Go(func() { c.sweepLoop(sweepCtx) })
	for c.sendNextBatch(ctx, &flushes) {
	}
	stopSweep()
	c.drain(ctx, cancel, &flushes)
	sweeper.Wait()
	return nil
}

// sendNextBatch waits for a batch and for the write budget, and starts to flush
// the batch. It returns false once the Claimer is closed or ctx has ended.
func (c *Claimer) sendNextBatch(ctx context.Context, flushes *sync.WaitGroup) bool {
	if !c.canSend() {
		select {
		case <-c.wake:
			return true
		case <-c.stop:
			return false
		case <-ctx.Done():
			return false
		}
	}
	if !c.waitForToken(ctx) {
		return false
	}
	c.startFlush(ctx, flushes)
	return true
}

// canSend reports whether another transaction is allowed and a queued write has a
// row that no transaction in flight writes.
func (c *Claimer) canSend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= maxInFlight {
		return false
	}
	for _, w := range c.queue {
		if !c.inFlightRows[w.row] {
			return true
		}
	}
	return false
}

// waitForToken waits for a token of the rate limiter, whose limit is this
// instance's share of the write budget. It returns false if ctx ends first.
func (c *Claimer) waitForToken(ctx context.Context) bool {
	now := c.cfg.Clock.Now()
	limit := rate.Limit(c.cfg.WritesPerSecond / float64(max(c.cfg.Instances(), 1)))
	if c.limiter.Limit() != limit {
		c.limiter.SetLimitAt(now, limit)
	}
	return c.sleep(ctx, c.limiter.ReserveN(now, 1).DelayFrom(now))
}

func (c *Claimer) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := c.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// startFlush takes the next batch and flushes it in the background.
func (c *Claimer) startFlush(ctx context.Context, flushes *sync.WaitGroup) {
	batch := c.takeBatch()
	if len(batch) == 0 {
		return
	}
	flushes.Go(func() {
		c.flush(ctx, slices.Clone(batch))
		c.flushDone(batch)
	})
}

// takeBatch removes the writes of one transaction from the queue. They share a
// session, and no two of them, nor any transaction in flight, write the same row.
// Abandoned writes are dropped.
func (c *Claimer) takeBatch() []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*write
	rest := c.queue[:0]
	for _, w := range c.queue {
		fits := len(batch) < connector.MaxTransactionRows && !c.inFlightRows[w.row] &&
			(len(batch) == 0 || w.session == batch[0].session)
		if !fits {
			rest = append(rest, w)
			continue
		}
		if w.markSent() {
			c.inFlightRows[w.row] = true
			batch = append(batch, w)
		}
	}
	clear(c.queue[len(rest):])
	c.queue = rest
	if len(batch) > 0 {
		c.inFlight++
	}
	return batch
}

func (c *Claimer) flushDone(batch []*write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	for _, w := range batch {
		delete(c.inFlightRows, w.row)
	}
	c.notify()
}

// drain flushes the queue after Close. Writes that are still queued when ctx or
// closeTimeout ends fail with ErrClosed.
func (c *Claimer) drain(ctx context.Context, cancel func(), flushes *sync.WaitGroup) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	timer := c.cfg.Clock.AfterFunc(closeTimeout, cancel)
	defer timer.Stop()
	for ctx.Err() == nil && c.hasPending() {
		if c.canSend() {
			if c.waitForToken(ctx) {
				c.startFlush(ctx, flushes)
			}
			continue
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
		}
	}
	flushes.Wait()
	c.mu.Lock()
	queue := c.queue
	c.queue = nil
	c.mu.Unlock()
	for _, w := range queue {
		w.result <- w.failure(ErrClosed)
	}
}

func (c *Claimer) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 || c.inFlight > 0
}

// Close stops accepting writes, flushes the queue and returns when the last write
// has finished.
func (c *Claimer) Close() error {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.closed = true
		started := c.started
		c.mu.Unlock()
		close(c.stop)
		if started {
			<-c.done
		}
	})
	return nil
}
