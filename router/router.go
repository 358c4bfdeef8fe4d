// Package router brings a request to the instance that owns it and the outcome
// back to the instance that the caller waits at.
//
// A request is forwarded once, to the owner of its slice in the caller's home
// data centre. A stale view of the owner costs another try: the instance that
// was asked names the owner that it knows. The owner sends outcomes in batches;
// an outcome that is lost on the way is fetched by submitting the request again,
// which joins the first submission.
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

// Local is the dispatcher of this instance.
type Local interface {
	Begin(ctx context.Context, s dispatcher.Submission) (dispatcher.Handle, error)
	Find(ctx context.Context, k descriptor.Key) (dispatcher.Handle, error)
	Cancel(ctx context.Context, k descriptor.Key) (dispatcher.Handle, error)
}

// Members tells which instances live.
type Members interface {
	Members(dc descriptor.DataCentreID) []heartbeater.Member
	Reachable(dc descriptor.DataCentreID) bool
}

// Config is what a Router needs. Zero durations take the defaults.
type Config struct {
	Clock       clockwork.Clock
	Rand        *rand.Rand
	Self        descriptor.InstanceID
	DataCentre  descriptor.DataCentreID
	DataCentres []descriptor.DataCentreID
	Local       Local
	Members     Members
	// Owner returns the last known owner of a slice of this data centre.
	Owner func(s descriptor.SliceID) (descriptor.InstanceID, descriptor.Epoch, bool)
	Pool  *messenger.Pool
	Rules func() *descriptor.Rules
	Scope tally.Scope
	Log   *slog.Logger

	// Resubmit is how long the router waits for the outcome of an accepted
	// request before it asks for it again.
	Resubmit time.Duration
	// Takeover is how long the slices of a dead instance have no owner.
	Takeover time.Duration
	// HopTimeout bounds one call to another instance.
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

// New returns a router. Register adds its methods to the peer server.
func New(cfg Config) *Router {
	cfg.Resubmit = cmp.Or(cfg.Resubmit, 2*time.Second)
	cfg.Takeover = cmp.Or(cfg.Takeover, 8*time.Second)
	cfg.HopTimeout = cmp.Or(cfg.HopTimeout, 2*time.Second)
	r := &Router{cfg: cfg, rand: cfg.Rand}
	for reason := range retryHints {
		cfg.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("route_retries")
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.waiters.byKey = map[descriptor.Key][]*waiter{}
	r.outbox.pending = map[string][]KeyedOutcome{}
	r.outbox.wake = make(chan struct{}, 1)
	r.owners.byslice = map[homeSlice]descriptor.InstanceID{}
	return r
}

// Run sends outcomes until ctx ends or Close is called.
func (r *Router) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	r.sendOutcomes()
	r.wg.Wait()
	return nil
}

// Close stops the background work and waits for it.
func (r *Router) Close() error {
	r.cancel()
	r.wg.Wait()
	return nil
}

// place is the answer of one try to reach the owner of a request.
type place struct {
	handle   *dispatcher.Handle // set if this instance owns the request
	accepted bool               // the owner has the request
	outcome  descriptor.Outcome // set if the owner knows the outcome
	reason   descriptor.Reason  // why the owner could not be reached
	final    bool               // no further try can change the answer in time
	missing  bool               // the owner has no record of the request
}

// operation is what is asked of the owner.
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
	a, _, err := r.follow(ctx, opSubmit, sub, s.Wait)
	return a, err
}

// Status implements server.Requests.
func (r *Router) Status(ctx context.Context, key descriptor.Key, wait time.Duration) (server.RequestState, bool, error) {
	return r.follow(ctx, opStatus, dispatcher.Submission{Key: key}, wait)
}

// cancelWait is how long a cancellation waits for the tasks to stop.
const cancelWait = 5 * time.Second

// Cancel implements server.Requests.
func (r *Router) Cancel(ctx context.Context, key descriptor.Key) (server.RequestState, bool, error) {
	return r.follow(ctx, opCancel, dispatcher.Submission{Key: key}, cancelWait)
}

// follow brings the operation to the owner and waits for the outcome. It
// reports false if the owner doesn't know the request.
func (r *Router) follow(ctx context.Context, op operation, s dispatcher.Submission, wait time.Duration) (server.RequestState, bool, error) {
	waiter, unregister := r.waiters.register(s.Key)
	defer unregister()
	start := r.cfg.Clock.Now()
	// A status without a wait still needs time to reach the owner.
	ctx, cancel := context.WithTimeout(ctx, max(wait, r.cfg.HopTimeout/2))
	defer cancel()
	accepted := false
	backoff := 20 * time.Millisecond
	for {
		attempt := withAttempt(ctx, r.waiters.begin(waiter))
		p := r.try(attempt, op, r.remaining(s, start))
		switch {
		case !p.outcome.IsZero():
			return server.RequestState{Outcome: p.outcome}, true, nil
		case p.missing:
			return server.RequestState{}, false, nil
		case p.accepted:
			accepted = true
			if wait <= 0 {
				return server.RequestState{Pending: true}, true, nil
			}
			if o, ok := r.await(ctx, p, waiter.ch); ok {
				return server.RequestState{Outcome: o}, true, nil
			}
			op = afterFirst(op)
		case p.final:
			return server.RequestState{Outcome: r.undetermined(p.reason)}, true, nil
		}
		if ctx.Err() != nil {
			if accepted {
				return server.RequestState{Pending: true}, true, nil
			}
			return server.RequestState{Outcome: r.undetermined(p.reason)}, true, nil
		}
		if !p.accepted {
			r.cfg.Scope.Tagged(map[string]string{"reason": p.reason.String()}).Counter("route_retries").Inc(1)
			backoff = r.pause(ctx, backoff)
		}
	}
}

// afterFirst returns the operation that follows an accepted one. A cancellation
// is only watched afterwards.
func afterFirst(op operation) operation {
	if op == opCancel {
		return opStatus
	}
	return op
}

// remaining returns the submission with the time left since start.
func (r *Router) remaining(s dispatcher.Submission, start time.Time) dispatcher.Submission {
	if s.Remaining > 0 {
		s.Remaining = max(time.Millisecond, s.Remaining-r.cfg.Clock.Since(start))
	}
	return s
}

// pause waits a jittered backoff and returns the next one.
func (r *Router) pause(ctx context.Context, backoff time.Duration) time.Duration {
	r.mu.Lock()
	wait := backoff/2 + time.Duration(r.rand.Int64N(int64(backoff)))
	r.mu.Unlock()
	select {
	case <-r.cfg.Clock.After(wait):
	case <-ctx.Done():
	}
	return min(2*backoff, 500*time.Millisecond)
}

// await waits for the outcome of an accepted request. It reports false if the
// request must be asked for again.
func (r *Router) await(ctx context.Context, p place, ch <-chan descriptor.Outcome) (descriptor.Outcome, bool) {
	var local <-chan struct{}
	var resubmit <-chan time.Time
	if p.handle != nil {
		local = p.handle.Done()
	} else {
		resubmit = r.cfg.Clock.After(r.cfg.Resubmit)
	}
	select {
	case o := <-ch:
		return o, true
	case <-local:
		o, err := p.handle.Result()
		return o, err == nil
	case <-resubmit:
	case <-ctx.Done():
	}
	return descriptor.Outcome{}, false
}

// retryHints are the times after which an undetermined request is worth another
// try.
var retryHints = map[descriptor.Reason]time.Duration{
	descriptor.ReasonHomeUnreachable:  5 * time.Second,
	descriptor.ReasonOwnerUnreachable: 2 * time.Second,
	descriptor.ReasonRecovering:       time.Second,
	descriptor.ReasonNoRules:          2 * time.Second,
}

// undetermined is the answer when the owner can't be reached. It says nothing
// about an earlier submission.
func (r *Router) undetermined(reason descriptor.Reason) descriptor.Outcome {
	if reason == descriptor.ReasonNone {
		reason = descriptor.ReasonOwnerUnreachable
	}
	r.cfg.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("undetermined").Inc(1)
	hint, ok := retryHints[reason]
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

// try makes one attempt to reach the owner.
func (r *Router) try(ctx context.Context, op operation, s dispatcher.Submission) place {
	rules := r.cfg.Rules()
	if rules == nil {
		return place{reason: descriptor.ReasonNoRules}
	}
	home := r.Home(rules, s.Key.Caller)
	if home == r.cfg.DataCentre {
		return r.tryOwn(ctx, op, s)
	}
	if r.cfg.Members.Reachable(home) {
		return r.tryRemote(ctx, op, s, home)
	}
	return place{reason: descriptor.ReasonHomeUnreachable, final: true}
}

// tryOwn asks the owner in this data centre.
func (r *Router) tryOwn(ctx context.Context, op operation, s dispatcher.Submission) place {
	owner, _, ok := r.cfg.Owner(s.Key.Slice())
	if !ok {
		return place{reason: descriptor.ReasonOwnerUnreachable}
	}
	if owner == r.cfg.Self {
		p, stale := r.tryLocal(ctx, op, s)
		if stale {
			// The view of the owners stands still once this instance has released
			// its slices at a stop, while callers are still served. Peers know.
			return r.tryRemote(ctx, op, s, r.cfg.DataCentre)
		}
		return p
	}
	for _, m := range r.cfg.Members.Members(r.cfg.DataCentre) {
		if m.ID == owner {
			return r.call(ctx, op, s, m)
		}
	}
	late := s.Remaining > 0 && s.Remaining < r.cfg.Takeover/2
	return place{reason: descriptor.ReasonOwnerUnreachable, final: late}
}

// tryLocal asks the dispatcher of this instance. It reports true if this instance
// doesn't own the request.
func (r *Router) tryLocal(ctx context.Context, op operation, s dispatcher.Submission) (place, bool) {
	h, err := r.operate(ctx, op, s)
	if err != nil {
		return place{reason: reasonOf(err), missing: errors.Is(err, dispatcher.ErrNotFound)}, errors.Is(err, dispatcher.ErrNotOwner)
	}
	return place{accepted: true, handle: &h}, false
}

func (r *Router) operate(ctx context.Context, op operation, s dispatcher.Submission) (dispatcher.Handle, error) {
	switch op {
	case opStatus:
		return r.cfg.Local.Find(ctx, s.Key)
	case opCancel:
		return r.cfg.Local.Cancel(ctx, s.Key)
	}
	return r.cfg.Local.Begin(ctx, s)
}

func reasonOf(err error) descriptor.Reason {
	switch {
	case errors.Is(err, dispatcher.ErrRecovering):
		return descriptor.ReasonRecovering
	case errors.Is(err, dispatcher.ErrNoRules):
		return descriptor.ReasonNoRules
	}
	return descriptor.ReasonOwnerUnreachable
}
