// Package gateway takes jobs from callers, stores them, hands them to the
// coordinator and answers for their states.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/meter"
	w "github.com/masticlead/masticlead/workload"
)

// RefusedError tells that a job was not accepted and never runs.
type RefusedError struct {
	Reason     string
	Overload   bool // the cell is full; otherwise a dependency is missing
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "gateway: refused: " + e.Reason }

const (
	// storeRetries is the number of times that a submission is tried again
	// when the store did nothing.
	storeRetries = 2
	// storePause is the time between two such attempts.
	storePause = 40 * time.Millisecond
	// firstRetry and lastRetry bound the time after which callers are asked to
	// return while the store is unavailable.
	firstRetry = 1 * time.Second
	lastRetry  = 5 * time.Second
	// knownAway is the time without any answer of the store after which
	// submissions are refused without being tried.
	knownAway = 300 * time.Millisecond
	// probePause is the time between two that are tried nevertheless.
	probePause = 250 * time.Millisecond
	// minRest is the time that a caller must have left for another attempt at a
	// cancellation.
	minRest = 500 * time.Millisecond
	// answerShare is the share of a caller's time after which it is told that
	// nothing is known of its job, so that it can ask another instance. While
	// the store answers others, only slowly, waiting serves the caller better.
	answerShare = 0.4
	// silentPeriod is the time between two looks at whether the store answers.
	silentPeriod = 100 * time.Millisecond
	// pendingLife is the age up to which the number of waiting jobs is told, less
	// than the 2 s that it may be old.
	pendingLife = 1500 * time.Millisecond
	// returns is the number of times that a refused caller should be able to
	// return within its time.
	returns = 3
)

// Gateway is the part of an instance that callers reach.
type Gateway struct {
	Keeper       *keeper.Keeper
	Log          *slog.Logger
	StoreFailing func() time.Duration
	StoreAway    func() time.Duration
	// Unrouted returns the time after which callers that return reach other
	// instances, 0 while this one serves.
	Unrouted func() time.Duration
	Meter    *meter.Meter

	acceptor *acceptor
	probed   atomic.Int64 // Unix time of the last submission that tried a store that is away, ns

	cfg  atomic.Pointer[w.Config]
	mu   sync.Mutex
	conn *linker.Conn // to the coordinator, nil while there is none

	alone time.Time // since when there is no coordinator

	states  map[w.JobID]w.State
	pending map[string]int
	own     map[string]int // jobs accepted here that the coordinator doesn't know yet, by queue
	jobs    map[w.JobID]*w.Job
	cancels map[w.JobID]bool
	unsaved map[w.JobID]w.State // ends that were shown before they were stored
}

// Init prepares the gateway for use.
func (g *Gateway) Init() {
	g.acceptor = newAcceptor(g.Keeper)
	g.alone = time.Now()
	g.states = make(map[w.JobID]w.State)
	g.pending = make(map[string]int)
	g.own = make(map[string]int)
	g.jobs = make(map[w.JobID]*w.Job)
	g.cancels = make(map[w.JobID]bool)
	g.unsaved = make(map[w.JobID]w.State)
}

// Config returns the configuration in force, or nil.
func (g *Gateway) Config() *w.Config { return g.cfg.Load() }

// Configure puts a newer configuration in force and reports whether it did.
func (g *Gateway) Configure(c *w.Config) bool {
	for {
		old := g.cfg.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if g.cfg.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Connect hands over what the coordinator behind a new connection may not know.
func (g *Gateway) Connect(c *linker.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conn = c
	f := &linker.Frame{Again: true}
	for _, j := range g.jobs {
		f.Jobs = append(f.Jobs, *j)
	}
	for id := range g.cancels {
		f.Cancels = append(f.Cancels, id)
	}
	for id, s := range g.unsaved {
		f.Ended = append(f.Ended, linker.JobState{Job: id, State: s})
	}
	if len(f.Jobs) > 0 || len(f.Cancels) > 0 || len(f.Ended) > 0 {
		c.Send(f)
	}
}

// Disconnect forgets a connection that has ended.
func (g *Gateway) Disconnect(c *linker.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == c {
		g.conn = nil
		g.alone = time.Now()
	}
}

// Receive takes over the states in a frame of the coordinator.
func (g *Gateway) Receive(f *linker.Frame) {
	if len(f.States) == 0 && f.Pending == nil && len(f.Received) == 0 && !f.Reset {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Reset {
		// Final states never change, so those that are known stay.
		for id, s := range g.states {
			if !s.Final() {
				delete(g.states, id)
			}
		}
	}
	for _, s := range f.States {
		switch {
		case s.Unsaved:
			g.unsaved[s.Job] = s.State
		case s.State.Final() || s.State == w.Unknown:
			delete(g.unsaved, s.Job)
		}
		if s.State == w.Unknown {
			// Its retention is over, and its rows are removed.
			delete(g.states, s.Job)
			continue
		}
		if !g.states[s.Job].Final() {
			g.states[s.Job] = s.State
		}
	}
	for _, id := range f.Received {
		if j := g.jobs[id]; j != nil {
			g.own[j.Queue]--
			delete(g.jobs, id)
		}
		delete(g.cancels, id)
	}
	if f.Pending != nil {
		clear(g.pending)
		for _, p := range f.Pending.Queues {
			g.pending[p.Queue] = p.Jobs
		}
	}
}

// Submit accepts a job, or returns a RefusedError if it certainly never runs.
// After any other error the job may be stored.
func (g *Gateway) Submit(ctx context.Context, q *w.Queue, j *w.Job) error {
	if err := j.Validate(); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	j.Queue, j.Service, j.Attempts, j.Priority = q.Name, q.Service, q.Attempts, q.Priority
	j.Accepted = time.Now().UnixMilli()
	began := time.Now()
	stored, err := g.accept(ctx, j)
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) {
			g.Meter.Count("request", refused.Reason)
		} else {
			g.Meter.Count("request", "unclear")
		}
		g.Log.Warn("job not accepted", "job", j.ID, "queue", q.Name, "took", time.Since(began), "error", err)
		return err
	}
	g.Meter.Count("request", "accepted")
	g.Meter.Wait("accept", time.Since(began))
	g.Log.Info("job accepted", "job", j.ID, "queue", q.Name, "configuration", g.Config().Version, "took", time.Since(began))
	g.handOver(stored, stored != j)
	return nil
}

// accept stores a job. An attempt without an answer is repeated with the same
// content, which tells whether the job is stored.
func (g *Gateway) accept(ctx context.Context, j *w.Job) (*w.Job, error) {
	rest := time.Duration(math.MaxInt64)
	if deadline, ok := ctx.Deadline(); ok {
		rest = time.Until(deadline)
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		stop := time.AfterFunc(time.Duration(answerShare*float64(rest)), func() { g.endIfSilent(ctx, cancel) })
		defer stop.Stop()
	}
	if g.StoreAway() > knownAway {
		last, now := g.probed.Load(), time.Now().UnixNano()
		if now-last < int64(probePause) || !g.probed.CompareAndSwap(last, now) {
			return nil, &RefusedError{Reason: "storeAway", RetryAfter: g.retryAfter(rest)}
		}
	}
	unclear := false
	for try := 0; ; try++ {
		stored, err := g.acceptor.accept(ctx, j)
		if err == nil {
			return stored, nil
		}
		if !errors.Is(err, keeper.ErrNotExecuted) {
			unclear = true
		}
		if ctx.Err() != nil || (!unclear && try >= storeRetries) {
			if unclear {
				return nil, fmt.Errorf("gateway: accept: %w", err)
			}
			return nil, &RefusedError{Reason: "storeUnavailable", RetryAfter: g.retryAfter(rest)}
		}
		g.Meter.Count("retry", "storeNotDone")
		select {
		case <-time.After(storePause << min(try, 4)):
		case <-ctx.Done():
		}
	}
}

// endIfSilent ends a submission as soon as the store answers nobody.
func (g *Gateway) endIfSilent(ctx context.Context, cancel context.CancelFunc) {
	tick := time.NewTicker(silentPeriod)
	defer tick.Stop()
	for ctx.Err() == nil {
		if g.StoreAway() > 0 {
			cancel()
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// retryAfter returns the time after which a caller should return: an outage is
// expected to last as long again as it has lasted, but a caller that still waits
// is given some returns within its time. Callers of an instance that is cut off
// alone return when the balancer sends them elsewhere.
func (g *Gateway) retryAfter(rest time.Duration) time.Duration {
	if g.Unrouted != nil {
		if d := g.Unrouted(); d > 0 {
			return max(firstRetry, d)
		}
	}
	return max(firstRetry, min(lastRetry, g.StoreFailing(), rest/returns))
}

// handOver sends a stored job to the coordinator. Until it has confirmed the
// job, each new coordinator gets it again. An earlier coordinator may have started
// a job that another submission stored.
func (g *Gateway) handOver(j *w.Job, again bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.states[j.ID] == w.Unknown {
		g.states[j.ID] = w.Queued
	}
	if g.jobs[j.ID] != nil || g.states[j.ID].Final() {
		return
	}
	g.jobs[j.ID] = j
	g.own[j.Queue]++
	if g.conn != nil {
		g.conn.Send(&linker.Frame{Jobs: []w.Job{*j}, Again: again})
	}
}

// State returns the state of a job, Unknown if there is no such job.
func (g *Gateway) State(ctx context.Context, id w.JobID) (w.State, error) {
	g.mu.Lock()
	s := g.states[id]
	g.mu.Unlock()
	if s != w.Unknown {
		return s, nil
	}
	s, err := g.Keeper.State(ctx, id)
	if err != nil {
		return w.Unknown, fmt.Errorf("gateway: state: %w", err)
	}
	if s != w.Unknown {
		g.mu.Lock()
		if g.states[id] == w.Unknown {
			g.states[id] = s
		}
		s = g.states[id]
		g.mu.Unlock()
	}
	return s, nil
}

// Cancel ends a job and reports whether it exists.
func (g *Gateway) Cancel(ctx context.Context, id w.JobID) (bool, error) {
	g.mu.Lock()
	s := g.states[id]
	g.mu.Unlock()
	if s.Final() {
		return true, nil
	}
	if s == w.Unknown {
		found, err := g.Keeper.Exists(ctx, id)
		if err != nil || !found {
			return false, err
		}
	}
	for {
		err := g.Keeper.Cancel(ctx, id)
		if err == nil {
			break
		}
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || (ok && time.Until(deadline) < minRest) {
			return false, fmt.Errorf("gateway: cancel: %w", err)
		}
		select {
		case <-time.After(storePause):
		case <-ctx.Done():
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.states[id] = w.Cancelled
	g.cancels[id] = true
	if g.conn != nil {
		g.conn.Send(&linker.Frame{Cancels: []w.JobID{id}})
	}
	return true, nil
}

// Pending returns the number of jobs of a queue without a started task, and whether
// it is known: without a coordinator it gets old.
func (g *Gateway) Pending(queue string) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == nil && time.Since(g.alone) > pendingLife {
		return 0, false
	}
	return g.pending[queue] + g.own[queue], true
}
