// Package gateway accepts jobs from clients, stores them, forwards them to the
// coordinator and reports their states.
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

	"github.com/masticlead/masticlead/authenticator"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/meter"
	w "github.com/masticlead/masticlead/workload"
)

// RefusedError reports that a request had no effect. A job that was submitted with it was
// certainly not stored and will never run.
type RefusedError struct {
	Reason     string
	Overload   bool // the cell is full; otherwise a dependency is unavailable
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return "gateway: refused: " + e.Reason }

const (
	// maxStoreRetries is the number of retries of a submission that the store
	// certainly did not execute.
	maxStoreRetries = 2
	// storeRetryDelay is the delay between attempts to store a cancellation, and
	// the initial delay of the exponential backoff between attempts to store a
	// job.
	storeRetryDelay = 40 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that clients are given
	// while the store is unavailable.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 5 * time.Second
	// failFastAfter is the time without any response from the store after which
	// submissions are refused without an attempt to store them.
	failFastAfter = 300 * time.Millisecond
	// probeInterval is the minimum interval between submissions that are attempted
	// despite failFastAfter, to probe whether the store has recovered.
	probeInterval = 250 * time.Millisecond
	// minCancelBudget is the time that must remain before the client's deadline for
	// another attempt to store a cancellation.
	minCancelBudget = 500 * time.Millisecond
	// earlyTimeoutFraction is the fraction of a client's timeout after which a
	// submission fails with an unknown outcome if the store is unreachable, so
	// that the client has time to try another instance. While the store is only
	// slow, the submission keeps waiting, since it may still succeed in time.
	earlyTimeoutFraction = 0.4
	// storeCheckInterval is the interval between checks for an unreachable store
	// once earlyTimeoutFraction has passed.
	storeCheckInterval = 100 * time.Millisecond
	// maxPendingAge is the time after the loss of the coordinator up to which the
	// last pending counts are still reported. It is below the 2 s by which a
	// reported count may be out of date.
	maxPendingAge = 1500 * time.Millisecond
	// maxForwardAge is the age above which an unconfirmed job is no longer forwarded. A
	// coordinator has then found its row in the store. Forwarding it after its end was
	// removed from the store, which takes at least 30 s, would run it again.
	maxForwardAge = 10 * time.Second
	// retriesWithinDeadline is the number of retries that a refused client should
	// have time for before its deadline.
	retriesWithinDeadline = 3
)

// Gateway handles the job requests that clients send to an instance.
type Gateway struct {
	Keeper *keeper.Keeper
	Log    *slog.Logger
	// StoreFailingFor returns the time for which direct calls of this instance to
	// the store have failed or got no response, or 0 if they succeed.
	StoreFailingFor func() time.Duration
	// StoreAnsweringFor returns the time for which all direct calls of this instance to the
	// store have been answered. A nil function stands for 0.
	StoreAnsweringFor func() time.Duration
	// StoreUnreachableFor returns the time for which no call to the store got a
	// response, neither directly nor through the leader, or 0 if one did recently.
	StoreUnreachableFor func() time.Duration
	// RerouteDelay returns the time until the load balancer sends retrying clients
	// to other instances, or 0 if this instance is not isolated.
	RerouteDelay func() time.Duration
	Meter        *meter.Meter
	// QuotaExcess returns the fraction by which a gang may exceed its tenant's cap. A nil
	// function stands for 0.
	QuotaExcess func() float64
	// Freshness holds the configuration and decides whether it is recent enough to
	// accept keys.
	Freshness authenticator.Freshness

	acceptor  *acceptor
	admission admission
	lastProbe atomic.Int64 // Unix time of the last submission that probed an unreachable store, ns

	mu   sync.Mutex
	conn *linker.Conn // to the coordinator; nil while disconnected
	// leader is the version of the row of the leader that conn leads or has led to.
	leader keeper.Version

	joinedAt time.Time // when the coordinator last sent the states of all jobs whose end is not stored
	joins    int       // number of times that it did

	states             map[w.JobID]w.State
	owners             map[w.JobID]w.TenantName // tenants of the jobs in states, as far as they are known; "" for jobs without one
	pending            map[string]int
	pendingCurrent     bool               // the coordinator that conn leads to sends changes of pending
	pendingStaleSince  time.Time          // when it last ceased to
	unconfirmedCounts  map[string]int     // number of unconfirmedJobs by queue
	unconfirmedJobs    map[w.JobID]*w.Job // accepted here and not yet confirmed by the coordinator
	unconfirmedCancels map[w.JobID]bool
	unsavedEnds        map[w.JobID]*unsavedEnd
	acceptedHere       map[w.JobID]struct{} // jobs that this instance accepted and whose retention has not expired
	ownEnds            chan struct{}        // see OwnEnds
}

// Init initializes the gateway. It must be called before jobs are submitted.
func (g *Gateway) Init() {
	g.acceptor = newAcceptor(g.Keeper)
	g.admission.init()
	g.pendingStaleSince = time.Now()
	g.states = make(map[w.JobID]w.State)
	g.owners = make(map[w.JobID]w.TenantName)
	g.pending = make(map[string]int)
	g.unconfirmedCounts = make(map[string]int)
	g.unconfirmedJobs = make(map[w.JobID]*w.Job)
	g.unconfirmedCancels = make(map[w.JobID]bool)
	g.unsavedEnds = make(map[w.JobID]*unsavedEnd)
	g.acceptedHere = make(map[w.JobID]struct{})
	g.ownEnds = make(chan struct{}, 1)
}

// Config returns the current configuration, or nil if none is set.
func (g *Gateway) Config() *w.Config {
	if s := g.Freshness.Snapshot(); s != nil {
		return s.Config
	}
	return nil
}

// Configure replaces the configuration if c has a higher version, and reports
// whether it did. It does not confirm that c is current.
func (g *Gateway) Configure(c *w.Config) bool { return g.Freshness.Apply(c, 0) }

// Connect makes c the connection to the coordinator and sends it the jobs and
// cancellations that no coordinator has confirmed, and the published final states
// that are not stored yet. The row of the leader that runs the coordinator has the given
// version.
func (g *Gateway) Connect(c *linker.Conn, leader keeper.Version) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conn, g.leader, g.pendingCurrent = c, leader, false
	f := &linker.Frame{Again: true}
	for id, j := range g.unconfirmedJobs {
		if time.Since(time.UnixMilli(j.Accepted)) > maxForwardAge {
			g.confirmJob(id)
			continue
		}
		f.Jobs = append(f.Jobs, *j)
	}
	for id := range g.unconfirmedCancels {
		f.Cancels = append(f.Cancels, id)
	}
	for id, e := range g.unsavedEnds {
		s := linker.JobState{Job: id, State: e.state}
		f.Ended = append(f.Ended, s)
		if e.written {
			f.SavedEnds = append(f.SavedEnds, s)
		}
	}
	if len(f.Jobs) > 0 || len(f.Cancels) > 0 || len(f.Ended) > 0 {
		c.Send(f)
	}
}

// Disconnect drops c, which has ended, unless a newer connection has replaced it.
func (g *Gateway) Disconnect(c *linker.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == c {
		g.conn = nil
		if g.pendingCurrent {
			g.pendingStaleSince = time.Now()
		}
		g.pendingCurrent = false
	}
}

// Receive applies the job states, confirmations, pending counts and allowances in a
// frame from the coordinator.
func (g *Gateway) Receive(f *linker.Frame) {
	g.applyAllowances(f)
	if len(f.States) == 0 && f.Pending == nil && len(f.Received) == 0 && !f.Reset {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Reset {
		g.joinedAt = time.Now()
		g.joins++
		// Final states never change, so they survive a reset.
		for id, s := range g.states {
			if !s.Final() {
				delete(g.states, id)
			}
		}
	}
	for _, s := range f.States {
		switch {
		case s.Unsaved:
			g.keepUnsaved(s)
			s.State = w.Running
		case s.State.Final() || s.State == w.Unknown:
			delete(g.unsavedEnds, s.Job)
		}
		if s.State == w.Unknown {
			// The job's retention has expired and its rows are deleted.
			delete(g.states, s.Job)
			delete(g.acceptedHere, s.Job)
			continue
		}
		if !g.states[s.Job].Final() {
			g.states[s.Job] = s.State
		}
	}
	g.recordOwners(f)
	for _, id := range f.Received {
		g.confirmJob(id)
		delete(g.unconfirmedCancels, id)
	}
	if f.Pending != nil {
		clear(g.pending)
		g.pendingCurrent = g.conn != nil
		for _, p := range f.Pending.Queues {
			g.pending[p.Queue] = p.Jobs
		}
	}
}

// confirmJob forgets that a job has to be forwarded. g.mu must be held.
func (g *Gateway) confirmJob(id w.JobID) {
	if j := g.unconfirmedJobs[id]; j != nil {
		g.unconfirmedCounts[j.Queue]--
		delete(g.unconfirmedJobs, id)
	}
}

// Submit accepts a job. It returns an error that wraps workload.ErrInvalid if the job
// is invalid or larger than the store takes, a RefusedError if the job was certainly not
// stored, an error that wraps authenticator.ErrUnknownKey if the caller's key is not valid,
// or ErrForbidden if the ID belongs to a job of another tenant. In these cases the
// submission never runs. After any other error the job may be stored.
func (g *Gateway) Submit(ctx context.Context, q *w.Queue, j *w.Job) error {
	if err := j.Validate(); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	j.Queue, j.Service, j.Attempts, j.Priority, j.Advice = q.Name, q.Service, q.Attempts, q.Priority, q.Advice
	j.Tenant = submissionTenant(ctx)
	j.Accepted = time.Now().UnixMilli()
	start := time.Now()
	stored, err := j, g.admit(ctx, j)
	if err == nil {
		stored, err = g.accept(ctx, j)
	}
	if err != nil {
		g.noteUnclear(j.ID, err)
		g.recordFailure(j, err, time.Since(start))
		return err
	}
	g.Meter.Count("request", "accepted")
	g.countTenant(j.Tenant, "accepted")
	g.Meter.ObserveDuration("accept", time.Since(start))
	g.Log.Info("job accepted", "job", j.ID, "queue", q.Name, "tenant", j.Tenant, "configuration", g.Config().Version, "took", time.Since(start))
	if !stored.Ended {
		g.forward(stored, stored != j)
	}
	return nil
}

// accept stores a job. An attempt with an unknown outcome is repeated with the same
// content; the repetition finds the job if an earlier attempt stored it.
func (g *Gateway) accept(ctx context.Context, j *w.Job) (*w.Job, error) {
	remaining := time.Duration(math.MaxInt64)
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		timer := time.AfterFunc(time.Duration(earlyTimeoutFraction*float64(remaining)), func() { g.cancelWhenUnreachable(ctx, cancel) })
		defer timer.Stop()
	}
	if g.StoreUnreachableFor() > failFastAfter {
		last, now := g.lastProbe.Load(), time.Now().UnixNano()
		if now-last < int64(probeInterval) || !g.lastProbe.CompareAndSwap(last, now) {
			return nil, &RefusedError{Reason: "storeAway", RetryAfter: g.retryAfter(remaining)}
		}
	}
	maybeStored := false
	for attempt := 0; ; attempt++ {
		if !maybeStored {
			if err := g.verify(ctx); err != nil {
				return nil, err
			}
		}
		stored, err := g.acceptor.accept(ctx, j)
		if err == nil {
			err = g.checkOwner(ctx, stored.Tenant)
			if refused := (*RefusedError)(nil); errors.As(err, &refused) {
				// The stored job may be the caller's, so it can't be said never to run.
				err = errors.New("gateway: accept: " + refused.Reason)
			}
			return stored, err
		}
		if errors.Is(err, keeper.ErrRejected) && !maybeStored {
			return nil, fmt.Errorf("gateway: accept: %w: %w", w.ErrInvalid, err)
		}
		if !errors.Is(err, keeper.ErrNotExecuted) {
			maybeStored = true
		}
		if ctx.Err() != nil || (!maybeStored && attempt >= maxStoreRetries) {
			if maybeStored {
				return nil, fmt.Errorf("gateway: accept: %w", err)
			}
			return nil, &RefusedError{Reason: "storeUnavailable", RetryAfter: g.retryAfter(remaining)}
		}
		g.Meter.Count("retry", "storeNotDone")
		select {
		case <-time.After(storeRetryDelay << min(attempt, 4)):
		case <-ctx.Done():
		}
	}
}

// cancelWhenUnreachable calls cancel once the store is unreachable, unless ctx ends
// first.
func (g *Gateway) cancelWhenUnreachable(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(storeCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if g.StoreUnreachableFor() > 0 {
			cancel()
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// retryAfter returns the delay after which a refused client should retry. An outage
// is expected to last as long again as it has lasted so far, but the delay leaves the
// client time for retriesWithinDeadline retries. If only this instance is isolated,
// clients are asked to retry once the load balancer routes them to other instances.
func (g *Gateway) retryAfter(remaining time.Duration) time.Duration {
	if g.RerouteDelay != nil {
		if d := g.RerouteDelay(); d > 0 {
			return max(minRetryAfter, d)
		}
	}
	return max(minRetryAfter, min(maxRetryAfter, g.StoreFailingFor(), remaining/retriesWithinDeadline))
}

// forward sends a stored job to the coordinator. Until the job is confirmed, it is
// sent again to each new coordinator. maybeForwarded is set for a job that another
// submission stored, since a previous coordinator may have started it.
func (g *Gateway) forward(j *w.Job, maybeForwarded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.states[j.ID] == w.Unknown {
		g.states[j.ID] = w.Queued
	}
	g.owners[j.ID] = j.Tenant
	if g.unconfirmedJobs[j.ID] != nil || g.states[j.ID].Final() {
		return
	}
	g.acceptedHere[j.ID] = struct{}{}
	g.unconfirmedJobs[j.ID] = j
	g.unconfirmedCounts[j.Queue]++
	if g.conn != nil {
		g.conn.Send(&linker.Frame{Jobs: []w.Job{*j}, Again: maybeForwarded})
	}
}

// state returns the state of a job, or workload.Unknown if the job does not exist.
func (g *Gateway) state(ctx context.Context, id w.JobID) (w.State, error) {
	g.mu.Lock()
	s, joins := g.states[id], g.joins
	g.mu.Unlock()
	if s != w.Unknown {
		return s, nil
	}
	for {
		s, err := g.Keeper.State(ctx, id)
		if err != nil {
			return w.Unknown, fmt.Errorf("gateway: state: %w", err)
		}
		if s == w.Unknown {
			return w.Unknown, nil
		}
		g.mu.Lock()
		if g.states[id] == w.Unknown && (s.Final() || g.joins == joins) {
			g.states[id] = s
		}
		known, now := g.states[id], g.joins
		g.mu.Unlock()
		if known != w.Unknown {
			return known, nil
		}
		// The job may have ended before the join, which then left it out.
		joins = now
	}
}

// cancelEarly cancels a job that is not stored. A submission of it may have got no answer,
// and the store may perform it later.
func (g *Gateway) cancelEarly(ctx context.Context, id w.JobID) error {
	c := keeper.EarlyCancel{ID: id, Tenant: submissionTenant(ctx)}
	if err := g.retryStore(ctx, func() error { return g.Keeper.CancelEarly(ctx, c) }); err != nil {
		return err
	}
	g.Log.Info("job cancelled that is not stored", "job", id, "tenant", c.Tenant)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		g.conn.Send(&linker.Frame{EarlyCancels: []linker.EarlyCancel{{Job: id, Tenant: c.Tenant}}})
	}
	return nil
}

// cancel cancels a job and reports whether the job exists.
func (g *Gateway) cancel(ctx context.Context, id w.JobID) (bool, error) {
	g.mu.Lock()
	s, unsaved := g.states[id], g.unsavedEnds[id]
	g.mu.Unlock()
	if s.Final() {
		return true, nil
	}
	if unsaved != nil {
		// If all instances that know the end were lost, the job would run again.
		err := g.retryStore(ctx, func() error { return g.saveEnd(ctx, id) })
		if !errors.Is(err, errNotSent) {
			return true, err
		}
	}
	if s == w.Unknown {
		s, err := g.state(ctx, id)
		switch {
		case err != nil:
			return false, err
		case s == w.Unknown:
			return false, g.cancelEarly(ctx, id)
		case s.Final():
			return true, nil
		}
	}
	if err := g.verify(ctx); err != nil {
		return false, err
	}
	if err := g.retryStore(ctx, func() error { return g.Keeper.Cancel(ctx, id) }); err != nil {
		return false, err
	}
	g.mu.Lock()
	unsaved = g.unsavedEnds[id]
	if unsaved == nil && !g.states[id].Final() {
		g.states[id] = w.Cancelled
	}
	g.unconfirmedCancels[id] = true
	if g.conn != nil {
		g.conn.Send(&linker.Frame{Cancels: []w.JobID{id}})
	}
	g.mu.Unlock()
	if unsaved != nil {
		// The job ended while its cancellation was written.
		if err := g.retryStore(ctx, func() error { return g.saveEnd(ctx, id) }); !errors.Is(err, errNotSent) {
			return true, err
		}
	}
	return true, nil
}

// retryStore repeats a write that a cancellation depends on until it succeeds or the
// client's deadline is near.
func (g *Gateway) retryStore(ctx context.Context, write func() error) error {
	for {
		err := write()
		if err == nil || errors.Is(err, errNotSent) {
			return err
		}
		if deadline, ok := ctx.Deadline(); ctx.Err() != nil || (ok && time.Until(deadline) < minCancelBudget) {
			return fmt.Errorf("gateway: cancel: %w", err)
		}
		select {
		case <-time.After(storeRetryDelay):
		case <-ctx.Done():
		}
	}
}

// Pending returns the number of jobs of a queue that have no started task. It reports
// false if no coordinator has sent the number, or a change of it, on the current connection
// and the last one to do so was lost more than maxPendingAge ago.
func (g *Gateway) Pending(queue string) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pendingCurrent && time.Since(g.pendingStaleSince) > maxPendingAge {
		return 0, false
	}
	return g.pending[queue] + g.unconfirmedCounts[queue], true
}
