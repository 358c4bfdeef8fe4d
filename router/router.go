// Package router routes each request to the instance that owns it and returns the
// outcome to the instance at which the caller waits.
//
// A request is forwarded once, to the owner of its slice in the caller's home
// data centre. If the sender's view of ownership is stale, another attempt is
// needed: the instance that received the request replies with the owner it knows.
// Owners send outcomes in batches. A lost outcome is fetched by submitting the
// request again, which joins the first submission.
package router

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/dispatcher"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/messenger"
	"github.com/masticlead/masticlead/server"
)

// Dispatcher executes the requests that this instance owns.
type Dispatcher interface {
	Begin(ctx context.Context, s dispatcher.Submission) (dispatcher.Handle, error)
	Find(ctx context.Context, k descriptor.Key) (dispatcher.Handle, error)
	Cancel(ctx context.Context, k descriptor.Key) (dispatcher.Handle, error)
}

// Membership provides the known members of a data centre and whether the data
// centre is reachable.
type Membership interface {
	Members(dc descriptor.DataCentreID) []heartbeater.Member
	Reachable(dc descriptor.DataCentreID) bool
}

// Config holds the dependencies and settings of a Router. Zero durations take the
// defaults.
type Config struct {
	Clock       clockwork.Clock
	Rand        *rand.Rand
	Self        descriptor.InstanceID
	DataCentre  descriptor.DataCentreID
	DataCentres []descriptor.DataCentreID
	Dispatcher  Dispatcher
	Membership  Membership
	// Owner returns the last known owner of a slice of this data centre.
	Owner func(s descriptor.SliceID) (descriptor.InstanceID, descriptor.Epoch, bool)
	Pool  *messenger.Pool
	Rules func() *descriptor.Rules
	Scope tally.Scope
	Log   *slog.Logger

	// ResubmitInterval is how long the router waits for the outcome of a request
	// accepted by another instance before it sends the request again.
	ResubmitInterval time.Duration
	// TakeoverTime is how long the slices of a failed instance have no owner.
	TakeoverTime time.Duration
	// HopTimeout is the timeout of one call to another instance.
	HopTimeout time.Duration
}

// Router implements server.Requests.
type Router struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	waiters waiters
	outbox  outbox
	owners  ownerCache

	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a Router. Call Register to add its methods to the peer server.
func New(cfg Config) *Router {
	cfg.ResubmitInterval = cmp.Or(cfg.ResubmitInterval, 2*time.Second)
	cfg.TakeoverTime = cmp.Or(cfg.TakeoverTime, 8*time.Second)
	cfg.HopTimeout = cmp.Or(cfg.HopTimeout, 2*time.Second)
	r := &Router{cfg: cfg, rand: cfg.Rand}
	for reason := range retryAfterHints {
		cfg.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("route_retries")
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.waiters.byKey = map[descriptor.Key][]*waiter{}
	r.outbox.pending = map[string][]KeyedOutcome{}
	r.outbox.wake = make(chan struct{}, 1)
	r.owners.bySlice = map[sliceKey]descriptor.InstanceID{}
	return r
}

// Run sends outcomes to other instances until ctx ends or Close is called.
func (r *Router) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	r.sendOutcomes()
	r.wg.Wait()
	return nil
}

// Close stops all background work and waits for it to end.
func (r *Router) Close() error {
	r.cancel()
	r.wg.Wait()
	return nil
}

// attemptResult is the result of one attempt to reach the owner of a request.
type attemptResult struct {
	handle   *dispatcher.Handle // set if this instance owns the request
	accepted bool               // the owner has accepted or knows the request
	outcome  descriptor.Outcome // set if the owner knows the outcome
	reason   descriptor.Reason  // why the owner could not be reached
	final    bool               // further attempts cannot succeed in time
	notFound bool               // the owner has no record of the request
}

// operation is an operation that the owner of a request executes.
type operation uint8

const (
	opSubmit operation = iota
	opStatus
	opCancel
)

// Submit implements server.Requests.
func (r *Router) Submit(ctx context.Context, s server.Submission) (server.RequestState, error) {
	sub := dispatcher.Submission{
		Key: s.Key, Kind: s.Kind, Tasks: s.Tasks, Resources: s.Resources,
		DeclaredRun: s.DeclaredRun, Remaining: s.Deadline, Payload: s.Payload,
	}
	state, _, err := r.route(ctx, opSubmit, sub, s.Wait)
	return state, err
}

// Status implements server.Requests.
func (r *Router) Status(ctx context.Context, key descriptor.Key, wait time.Duration) (server.RequestState, bool, error) {
	return r.route(ctx, opStatus, dispatcher.Submission{Key: key}, wait)
}

// cancelWait is how long Cancel waits for the outcome while tasks are stopped.
const cancelWait = 5 * time.Second

// Cancel implements server.Requests.
func (r *Router) Cancel(ctx context.Context, key descriptor.Key) (server.RequestState, bool, error) {
	return r.route(ctx, opCancel, dispatcher.Submission{Key: key}, cancelWait)
}

// route sends the operation to the owner and waits for the outcome. It returns
// false if the owner has no record of the request.
func (r *Router) route(ctx context.Context, op operation, s dispatcher.Submission, wait time.Duration) (server.RequestState, bool, error) {
	w, unregister := r.waiters.register(s.Key)
	defer unregister()
	start := r.cfg.Clock.Now()
	// A status query without a wait still needs time to reach the owner.
	ctx, cancel := context.WithTimeout(ctx, max(wait, r.cfg.HopTimeout/2))
	defer cancel()
	accepted := false
	backoff := 20 * time.Millisecond
	for {
		attemptCtx := withAttempt(ctx, r.waiters.beginAttempt(w))
		res := r.attempt(attemptCtx, op, r.withRemaining(s, start))
		switch {
		case !res.outcome.IsZero():
			return server.RequestState{Outcome: res.outcome}, true, nil
		case res.notFound:
			return server.RequestState{}, false, nil
		case res.accepted:
			accepted = true
			if wait <= 0 {
				return server.RequestState{Pending: true}, true, nil
			}
			if o, ok := r.awaitOutcome(ctx, res, w.ch); ok {
				return server.RequestState{Outcome: o}, true, nil
			}
			op = nextOperation(op)
		case res.final:
			return server.RequestState{Outcome: r.undeterminedOutcome(res.reason)}, true, nil
		}
		if ctx.Err() != nil {
			if accepted {
				return server.RequestState{Pending: true}, true, nil
			}
			return server.RequestState{Outcome: r.undeterminedOutcome(res.reason)}, true, nil
		}
		if !res.accepted {
			r.cfg.Scope.Tagged(map[string]string{"reason": res.reason.String()}).Counter("route_retries").Inc(1)
			backoff = r.waitBackoff(ctx, backoff)
		}
	}
}

// nextOperation returns the operation to send after op was accepted. An accepted
// cancellation is not repeated; only its status is queried.
func nextOperation(op operation) operation {
	if op == opCancel {
		return opStatus
	}
	return op
}

// withRemaining returns s with the time elapsed since start subtracted from its
// remaining time.
func (r *Router) withRemaining(s dispatcher.Submission, start time.Time) dispatcher.Submission {
	if s.Remaining > 0 {
		s.Remaining = max(time.Millisecond, s.Remaining-r.cfg.Clock.Since(start))
	}
	return s
}

// waitBackoff waits for the backoff with jitter and returns the next backoff.
func (r *Router) waitBackoff(ctx context.Context, backoff time.Duration) time.Duration {
	r.mu.Lock()
	wait := backoff/2 + time.Duration(r.rand.Int64N(int64(backoff)))
	r.mu.Unlock()
	select {
	case <-r.cfg.Clock.After(wait):
	case <-ctx.Done():
	}
	return min(2*backoff, 500*time.Millisecond)
}

// awaitOutcome waits for the outcome of an accepted request. It returns false if
// no outcome arrived and the operation must be sent again.
func (r *Router) awaitOutcome(ctx context.Context, res attemptResult, ch <-chan descriptor.Outcome) (descriptor.Outcome, bool) {
	var localDone <-chan struct{}
	var resubmit <-chan time.Time
	if res.handle != nil {
		localDone = res.handle.Done()
	} else {
		resubmit = r.cfg.Clock.After(r.cfg.ResubmitInterval)
	}
	select {
	case o := <-ch:
		return o, true
	case <-localDone:
		o, err := res.handle.Result()
		return o, err == nil
	case <-resubmit:
	case <-ctx.Done():
	}
	return descriptor.Outcome{}, false
}

// retryAfterHints are the minimum retry delays that callers are given with an
// undetermined outcome.
var retryAfterHints = map[descriptor.Reason]time.Duration{
	descriptor.ReasonHomeUnreachable:  5 * time.Second,
	descriptor.ReasonOwnerUnreachable: 2 * time.Second,
	descriptor.ReasonRecovering:       time.Second,
	descriptor.ReasonNoRules:          2 * time.Second,
}

// undeterminedOutcome returns the outcome reported when the owner cannot be
// reached. It gives no information about an earlier submission of the request.
func (r *Router) undeterminedOutcome(reason descriptor.Reason) descriptor.Outcome {
	if reason == descriptor.ReasonNone {
		reason = descriptor.ReasonOwnerUnreachable
	}
	r.cfg.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("undetermined").Inc(1)
	hint, ok := retryAfterHints[reason]
	if !ok {
		hint = time.Second
	}
	r.mu.Lock()
	hint += time.Duration(r.rand.Int64N(int64(hint)))
	r.mu.Unlock()
	return descriptor.Undetermined(descriptor.Refusal{
		Reason: reason, RetryAfter: hint,
		Detail: "the instance that decides on the request could not be reached; send the same request again",
	})
}

// attempt makes one attempt to have the owner execute the operation.
func (r *Router) attempt(ctx context.Context, op operation, s dispatcher.Submission) attemptResult {
	rules := r.cfg.Rules()
	if rules == nil {
		return attemptResult{reason: descriptor.ReasonNoRules}
	}
	home := r.Home(rules, s.Key.Caller)
	if home == r.cfg.DataCentre {
		return r.attemptOwnDataCentre(ctx, op, s)
	}
	if r.cfg.Membership.Reachable(home) {
		return r.attemptPeers(ctx, op, s, home)
	}
	return attemptResult{reason: descriptor.ReasonHomeUnreachable, final: true}
}

// attemptOwnDataCentre makes an attempt for a request whose home is this data
// centre. If the owner is not a known member, the result is final if the remaining
// time is less than half of a takeover.
func (r *Router) attemptOwnDataCentre(ctx context.Context, op operation, s dispatcher.Submission) attemptResult {
	owner, _, ok := r.cfg.Owner(s.Key.Slice())
	if !ok {
		return attemptResult{reason: descriptor.ReasonOwnerUnreachable}
	}
	if owner == r.cfg.Self {
		res, notOwner := r.attemptLocal(ctx, op, s)
		if notOwner {
			// While shutting down, this instance still serves callers after it has
			// released its slices, but its view of ownership is no longer updated.
			// Peers know the current owners.
			return r.attemptPeers(ctx, op, s, r.cfg.DataCentre)
		}
		return res
	}
	for _, m := range r.cfg.Membership.Members(r.cfg.DataCentre) {
		if m.ID == owner {
			return r.forwardToOwner(ctx, op, s, m)
		}
	}
	tooLate := s.Remaining > 0 && s.Remaining < r.cfg.TakeoverTime/2
	return attemptResult{reason: descriptor.ReasonOwnerUnreachable, final: tooLate}
}

// attemptLocal executes the operation on this instance. It returns true if this
// instance does not own the request.
func (r *Router) attemptLocal(ctx context.Context, op operation, s dispatcher.Submission) (attemptResult, bool) {
	h, err := r.execute(ctx, op, s)
	if err != nil {
		return attemptResult{reason: reasonOf(err), notFound: errors.Is(err, dispatcher.ErrNotFound)}, errors.Is(err, dispatcher.ErrNotOwner)
	}
	return attemptResult{accepted: true, handle: &h}, false
}

// execute calls the method of the local dispatcher for the operation.
func (r *Router) execute(ctx context.Context, op operation, s dispatcher.Submission) (dispatcher.Handle, error) {
	switch op {
	case opStatus:
		return r.cfg.Dispatcher.Find(ctx, s.Key)
	case opCancel:
		return r.cfg.Dispatcher.Cancel(ctx, s.Key)
	}
	return r.cfg.Dispatcher.Begin(ctx, s)
}

// reasonOf returns the reason for an error of the local dispatcher.
func reasonOf(err error) descriptor.Reason {
	switch {
	case errors.Is(err, dispatcher.ErrRecovering):
		return descriptor.ReasonRecovering
	case errors.Is(err, dispatcher.ErrNoRules):
		return descriptor.ReasonNoRules
	}
	return descriptor.ReasonOwnerUnreachable
}
