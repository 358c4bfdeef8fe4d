package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/dispatcher"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/messenger"
)

// The methods between routers.
const (
	MethodSubmit   messenger.Method = "request.submit"
	MethodStatus   messenger.Method = "request.status"
	MethodCancel   messenger.Method = "request.cancel"
	MethodOutcomes messenger.Method = "request.outcomes"
)

// ForwardRequest asks the owner for an operation on a request.
type ForwardRequest struct {
	Submission dispatcher.Submission `json:"submission"`
	// ReplyTo is the peer address that the outcome is sent to.
	ReplyTo string `json:"replyTo"`
	// Attempt numbers the attempts of the sender. The outcome carries it.
	Attempt uint64 `json:"attempt,omitempty"`
}

// ForwardReply is the answer of the instance that was asked. Exactly one of the
// fields is set.
type ForwardReply struct {
	Accepted bool                  `json:"accepted,omitempty"`
	Outcome  *descriptor.Outcome   `json:"outcome,omitempty"`
	Owner    descriptor.InstanceID `json:"owner,omitempty"` // another instance owns the request
	Missing  bool                  `json:"missing,omitempty"`
	Reason   descriptor.Reason     `json:"reason,omitempty"`
}

// KeyedOutcome is the outcome of a request that was accepted earlier.
type KeyedOutcome struct {
	Key     descriptor.Key     `json:"key"`
	Outcome descriptor.Outcome `json:"outcome"`
	// Attempt is the attempt of the receiver that was accepted.
	Attempt uint64 `json:"attempt,omitempty"`
}

// OutcomesRequest carries outcomes to the instance that callers wait at.
type OutcomesRequest struct {
	Outcomes []KeyedOutcome `json:"outcomes"`
}

// Empty is a reply without content.
type Empty struct{}

// Register adds the methods of the router to the peer server.
func (r *Router) Register(s *messenger.Server) {
	handle := func(op operation) func(context.Context, descriptor.InstanceID, ForwardRequest) (ForwardReply, error) {
		return func(ctx context.Context, _ descriptor.InstanceID, req ForwardRequest) (ForwardReply, error) {
			return r.serve(ctx, op, req), nil
		}
	}
	messenger.Handle(s, MethodSubmit, handle(opSubmit))
	messenger.Handle(s, MethodStatus, handle(opStatus))
	messenger.Handle(s, MethodCancel, handle(opCancel))
	messenger.Handle(s, MethodOutcomes, r.serveOutcomes)
}

// serve carries out a forwarded operation. It never forwards again.
func (r *Router) serve(ctx context.Context, op operation, req ForwardRequest) ForwardReply {
	key := req.Submission.Key
	ctx, cancel := context.WithTimeout(ctx, r.cfg.HopTimeout/2)
	defer cancel()
	h, err := r.operate(ctx, op, req.Submission)
	switch {
	case errors.Is(err, dispatcher.ErrNotOwner):
		owner, _, _ := r.cfg.Owner(key.Slice())
		return ForwardReply{Owner: owner, Reason: descriptor.ReasonOwnerUnreachable}
	case errors.Is(err, dispatcher.ErrNotFound):
		return ForwardReply{Missing: true}
	case err != nil:
		return ForwardReply{Reason: reasonOf(err)}
	}
	select {
	case <-h.Done():
		if o, err := h.Result(); err == nil {
			return ForwardReply{Outcome: &o}
		}
		return ForwardReply{Reason: descriptor.ReasonOwnerUnreachable}
	default:
	}
	r.wg.Go(func() { r.sendWhenDone(h, req) })
	return ForwardReply{Accepted: true}
}

// sendWhenDone queues the outcome for the instance that forwarded the request.
func (r *Router) sendWhenDone(h dispatcher.Handle, req ForwardRequest) {
	select {
	case <-h.Done():
	case <-r.ctx.Done():
		return
	}
	if o, err := h.Result(); err == nil {
		r.outbox.add(req.ReplyTo, KeyedOutcome{req.Submission.Key, o, req.Attempt})
	}
}

func methodOf(op operation) messenger.Method {
	switch op {
	case opStatus:
		return MethodStatus
	case opCancel:
		return MethodCancel
	}
	return MethodSubmit
}

// call asks another instance. An answer that got lost is harmless: asking again
// joins the first submission.
func (r *Router) call(ctx context.Context, op operation, s dispatcher.Submission, m heartbeater.Member) place {
	p, _ := r.callOnce(ctx, op, s, m)
	return p
}

func (r *Router) callOnce(ctx context.Context, op operation, s dispatcher.Submission, m heartbeater.Member) (place, descriptor.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.HopTimeout)
	defer cancel()
	req := ForwardRequest{Submission: s, ReplyTo: r.selfAddress(), Attempt: attemptOf(ctx)}
	reply, err := messenger.Call[ForwardRequest, ForwardReply](ctx, r.cfg.Pool, m.PeerAddress, methodOf(op), req)
	if err != nil {
		r.cfg.Scope.Tagged(map[string]string{"reason": callReason(err)}).Counter("forward_errors").Inc(1)
		return place{reason: descriptor.ReasonOwnerUnreachable}, ""
	}
	p := place{accepted: reply.Accepted, missing: reply.Missing, reason: reply.Reason}
	if reply.Outcome != nil {
		p.outcome = *reply.Outcome
	}
	return p, reply.Owner
}

func callReason(err error) string {
	switch {
	case errors.Is(err, messenger.ErrPeerBusy):
		return "peerBusy"
	case errors.Is(err, messenger.ErrPeerUnreachable):
		return "peerUnreachable"
	case errors.Is(err, messenger.ErrPeerTimeout):
		return "peerTimeout"
	}
	return "peerError"
}

func (r *Router) selfAddress() string {
	for _, m := range r.cfg.Members.Members(r.cfg.DataCentre) {
		if m.ID == r.cfg.Self {
			return m.PeerAddress
		}
	}
	return ""
}

// tryRemote asks another instance of the home data centre of the caller. If that
// names the owner, the owner is asked next.
func (r *Router) tryRemote(ctx context.Context, op operation, s dispatcher.Submission, home descriptor.DataCentreID) place {
	h := homeSlice{home, s.Key.Slice()}
	m, ok := r.candidate(h)
	switch {
	case !ok && home == r.cfg.DataCentre:
		return place{reason: descriptor.ReasonOwnerUnreachable}
	case !ok:
		return place{reason: descriptor.ReasonHomeUnreachable, final: true}
	}
	p, owner := r.callOnce(ctx, op, s, m)
	if p.accepted || p.missing || !p.outcome.IsZero() {
		r.owners.set(h, m.ID)
		return p
	}
	r.owners.drop(h, m.ID)
	if owner == "" || owner == m.ID || owner == r.cfg.Self {
		return p
	}
	r.owners.set(h, owner)
	next, ok := r.candidate(h)
	if !ok || next.ID != owner {
		return p
	}
	p, _ = r.callOnce(ctx, op, s, next)
	return p
}

// attemptKey marks the context of an attempt.
type attemptKey struct{}

func withAttempt(ctx context.Context, n uint64) context.Context {
	return context.WithValue(ctx, attemptKey{}, n)
}

func attemptOf(ctx context.Context) uint64 {
	n, _ := ctx.Value(attemptKey{}).(uint64)
	return n
}

// waiter is a caller that waits at this instance for the outcome of a request.
type waiter struct {
	ch chan descriptor.Outcome
	// attempt is the last attempt made for it; guarded by waiters.mu. A refusal of
	// an earlier attempt says nothing about a later one, which may have been
	// accepted and run meanwhile.
	attempt uint64
}

// waiters are the callers that wait at this instance, by request.
type waiters struct {
	mu       sync.Mutex
	byKey    map[descriptor.Key][]*waiter
	attempts uint64
}

// register returns a waiter that gets the outcome, and a function that ends the
// registration.
func (w *waiters) register(k descriptor.Key) (*waiter, func()) {
	v := &waiter{ch: make(chan descriptor.Outcome, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byKey[k] = append(w.byKey[k], v)
	return v, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.byKey[k] = slices.DeleteFunc(w.byKey[k], func(o *waiter) bool { return o == v })
		if len(w.byKey[k]) == 0 {
			delete(w.byKey, k)
		}
	}
}

// begin numbers the next attempt for a waiter and drops a refusal of an earlier
// one that was not taken yet.
func (w *waiters) begin(v *waiter) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts++
	v.attempt = w.attempts
	select {
	case o := <-v.ch:
		if o.Kind() != descriptor.Refused {
			v.ch <- o
		}
	default:
	}
	return v.attempt
}

// deliver gives the outcome to all callers that wait for the request.
func (w *waiters) deliver(o KeyedOutcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.byKey[o.Key] {
		if o.Outcome.Kind() == descriptor.Refused && o.Attempt != v.attempt {
			continue
		}
		select {
		case v.ch <- o.Outcome:
		default: // a duplicate of an outcome that was delivered
		}
	}
}

func (r *Router) serveOutcomes(_ context.Context, _ descriptor.InstanceID, req OutcomesRequest) (Empty, error) {
	for _, o := range req.Outcomes {
		r.waiters.deliver(o)
	}
	return Empty{}, nil
}

const (
	// outboxBatch bounds the outcomes of one message, so that it stays below the
	// frame limit.
	outboxBatch = 64
	// outboxLimit bounds the outcomes that wait for one instance. Beyond it they
	// are dropped and fetched by the receiver.
	outboxLimit = 16384
	// outboxInterval gathers outcomes into batches. It adds at most this much to
	// the time of an answer.
	outboxInterval = 2 * time.Millisecond
)

// outbox holds outcomes on their way to other instances.
type outbox struct {
	mu      sync.Mutex
	pending map[string][]KeyedOutcome
	busy    map[string]bool
	wake    chan struct{}
}

func (o *outbox) add(address string, k KeyedOutcome) {
	o.mu.Lock()
	if len(o.pending[address]) < outboxLimit {
		o.pending[address] = append(o.pending[address], k)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take returns the next batch for each address that has no batch under way.
func (o *outbox) take() map[string][]KeyedOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy == nil {
		o.busy = map[string]bool{}
	}
	batches := map[string][]KeyedOutcome{}
	for address, all := range o.pending {
		if o.busy[address] {
			continue
		}
		n := min(len(all), outboxBatch)
		batches[address] = all[:n:n]
		if n == len(all) {
			delete(o.pending, address)
		} else {
			o.pending[address] = all[n:]
		}
		o.busy[address] = true
	}
	return batches
}

func (o *outbox) finish(address string) {
	o.mu.Lock()
	delete(o.busy, address)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// sendOutcomes sends batches until the router closes. A batch that is lost is
// not sent again, since the receiver asks for outcomes that it misses.
func (r *Router) sendOutcomes() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.outbox.wake:
		}
		for address, batch := range r.outbox.take() {
			r.wg.Go(func() {
				defer r.outbox.finish(address)
				ctx, cancel := context.WithTimeout(r.ctx, r.cfg.HopTimeout)
				defer cancel()
				_, err := messenger.Call[OutcomesRequest, Empty](ctx, r.cfg.Pool, address, MethodOutcomes, OutcomesRequest{batch})
				if err != nil {
					r.cfg.Scope.Counter("outcomes_lost").Inc(int64(len(batch)))
				}
			})
		}
		r.cfg.Clock.Sleep(outboxInterval)
	}
}
