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
	// maxFlights bounds the transactions in flight, so that a slow store still
	// takes several batches per answer time.
	maxFlights = 4
	// maxQueued bounds the waiting writes to several seconds of full batches.
	maxQueued = 64 * connector.MaxTransactionRows
	// closeTimeout bounds the flush on Close.
	closeTimeout = 5 * time.Second
)

type writeKind uint8

const (
	insertClaim writeKind = iota
	recordOutcome
	deleteClaim
)

// write is one row of a transaction to come.
type write struct {
	kind    writeKind
	row     connector.RowKey
	session leaser.Session
	claim   Claim
	// version is the present version of the row; 0 for a claim.
	version connector.RowVersion
	result  chan result // buffered

	// ambiguous is set when an attempt may have taken effect or may still do so.
	// It belongs to the goroutine that handles the write.
	ambiguous bool

	mu        sync.Mutex
	abandoned bool // the caller no longer waits
	sent      bool
}

// result is the end of a write.
type result struct {
	won      bool
	existing Claim
	err      error
}

// errMoved means that the row has changed since it was read.
var errMoved = errors.New("claimer: row has changed")

func newWrite(kind writeKind, row connector.RowKey, s leaser.Session, claim Claim, ambiguous bool) *write {
	return &write{kind: kind, row: row, session: s, claim: claim, ambiguous: ambiguous, result: make(chan result, 1)}
}

// abandon ends the wait of the caller. It reports whether the write was sent.
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

// markSent reports whether the caller still waits, and if so marks the write as
// sent.
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

// send hands a write to Run and waits for its end.
func (c *Claimer) send(ctx context.Context, w *write) result {
	if err := c.enqueue(w); err != nil {
		return w.failure(err)
	}
	return c.await(ctx, w)
}

// failure returns the result of a write that was not sent, or whose last attempt
// surely had no effect. An earlier attempt may still have one.
func (w *write) failure(err error) result {
	if w.ambiguous && !errors.Is(err, connector.ErrAmbiguous) {
		err = fmt.Errorf("%w: %v", connector.ErrAmbiguous, err)
	}
	return result{err: err}
}

// await waits for the end of a write or of its context.
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

// Run sends the writes until the context ends or Close is called. Writes that
// still wait when the context ends fail.
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
	var sweeping, flights sync.WaitGroup
	sweeping.Go(func() { c.sweepLoop(sweepCtx) })
	for c.turn(ctx, &flights) {
	}
	stopSweep()
	c.drain(ctx, cancel, &flights)
	sweeping.Wait()
	return nil
}

// turn sends one batch, waiting for work and for the budget. It returns false
// at the end.
func (c *Claimer) turn(ctx context.Context, flights *sync.WaitGroup) bool {
	if !c.ready() {
		select {
		case <-c.wake:
			return true
		case <-c.stop:
			return false
		case <-ctx.Done():
			return false
		}
	}
	if !c.pace(ctx) {
		return false
	}
	c.launch(ctx, flights)
	return true
}

// ready reports whether a batch can be sent.
func (c *Claimer) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flights >= maxFlights {
		return false
	}
	for _, w := range c.queue {
		if !c.flying[w.row] {
			return true
		}
	}
	return false
}

// pace waits for this instance's share of the write budget.
func (c *Claimer) pace(ctx context.Context) bool {
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

// launch sends the next batch.
func (c *Claimer) launch(ctx context.Context, flights *sync.WaitGroup) {
	batch := c.takeBatch()
	if len(batch) == 0 {
		return
	}
	flights.Go(func() {
		c.flush(ctx, slices.Clone(batch))
		c.landed(batch)
	})
}

// takeBatch removes up to a transaction of writes from the queue. All have the
// same session and different rows that no other transaction in flight writes.
func (c *Claimer) takeBatch() []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*write
	rest := c.queue[:0]
	for _, w := range c.queue {
		fits := len(batch) < connector.MaxTransactionRows && !c.flying[w.row] &&
			(len(batch) == 0 || w.session == batch[0].session)
		if !fits {
			rest = append(rest, w)
			continue
		}
		if w.markSent() {
			c.flying[w.row] = true
			batch = append(batch, w)
		}
	}
	clear(c.queue[len(rest):])
	c.queue = rest
	if len(batch) > 0 {
		c.flights++
	}
	return batch
}

func (c *Claimer) landed(batch []*write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flights--
	for _, w := range batch {
		delete(c.flying, w.row)
	}
	c.notify()
}

// drain flushes the queue after Close, or fails it after the context's end.
func (c *Claimer) drain(ctx context.Context, cancel func(), flights *sync.WaitGroup) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	timer := c.cfg.Clock.AfterFunc(closeTimeout, cancel)
	defer timer.Stop()
	for ctx.Err() == nil && c.waiting() {
		if c.ready() {
			if c.pace(ctx) {
				c.launch(ctx, flights)
			}
			continue
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
		}
	}
	flights.Wait()
	c.mu.Lock()
	queue := c.queue
	c.queue = nil
	c.mu.Unlock()
	for _, w := range queue {
		w.result <- w.failure(ErrClosed)
	}
}

func (c *Claimer) waiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 || c.flights > 0
}

// Close accepts no more writes, sends those that wait and returns after the
// last one has ended.
func (c *Claimer) Close() error {
	c.once.Do(func() {
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
