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

// Methods that routers call on each other.
const (
	MethodSubmit   messenger.Method = "request.submit"
	MethodStatus   messenger.Method = "request.status"
	MethodCancel   messenger.Method = "request.cancel"
	MethodOutcomes messenger.Method = "request.outcomes"
)

// ForwardRequest asks another instance to execute an operation on a request.
type ForwardRequest struct {
	Submission dispatcher.Submission `json:"submission"`
	// ReplyTo is the peer address to which the outcome is sent.
	ReplyTo string `json:"replyTo"`
	// Attempt is the sender's number for this attempt. It is returned with the
	// outcome.
	Attempt uint64 `json:"attempt,omitempty"`
}

// ForwardReply is the reply to a ForwardRequest. Exactly one of Accepted, Outcome,
// Missing and Reason is set. Owner may accompany Reason.
type ForwardReply struct {
	Accepted bool                  `json:"accepted,omitempty"`
	Outcome  *descriptor.Outcome   `json:"outcome,omitempty"`
	Owner    descriptor.InstanceID `json:"owner,omitempty"` // the owner, if it is not the replying instance
	Missing  bool                  `json:"missing,omitempty"`
	Reason   descriptor.Reason     `json:"reason,omitempty"`
}

// KeyedOutcome is the outcome of a request that was accepted without an outcome.
type KeyedOutcome struct {
	Key     descriptor.Key     `json:"key"`
	Outcome descriptor.Outcome `json:"outcome"`
	// Attempt is the Attempt of the ForwardRequest that was accepted.
	Attempt uint64 `json:"attempt,omitempty"`
}

// OutcomesRequest sends outcomes to the instance at which callers wait for them.
type OutcomesRequest struct {
	Outcomes []KeyedOutcome `json:"outcomes"`
}

// OutcomesReply is the empty reply to an OutcomesRequest.
type OutcomesReply struct{}

// Register registers the methods of the router with the peer server.
func (r *Router) Register(s *messenger.Server) {
	handler := func(op operation) func(context.Context, descriptor.InstanceID, ForwardRequest) (ForwardReply, error) {
		return func(ctx context.Context, _ descriptor.InstanceID, req ForwardRequest) (ForwardReply, error) {
			return r.handleForward(ctx, op, req), nil
		}
	}
	messenger.Handle(s, MethodSubmit, handler(opSubmit))
	messenger.Handle(s, MethodStatus, handler(opStatus))
	messenger.Handle(s, MethodCancel, handler(opCancel))
	messenger.Handle(s, MethodOutcomes, r.handleOutcomes)
}

// handleForward executes a forwarded operation locally. It never forwards the
// request again; if another instance owns it, the reply names the owner.
func (r *Router) handleForward(ctx context.Context, op operation, req ForwardRequest) ForwardReply {
	key := req.Submission.Key
	ctx, cancel := context.WithTimeout(ctx, r.cfg.HopTimeout/2)
	defer cancel()
	h, err := r.execute(ctx, op, req.Submission)
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
	r.wg.Go(func() { r.enqueueWhenDone(h, req) })
	return ForwardReply{Accepted: true}
}

// enqueueWhenDone waits for the outcome and enqueues it for the instance that
// forwarded the request.
func (r *Router) enqueueWhenDone(h dispatcher.Handle, req ForwardRequest) {
	select {
	case <-h.Done():
	case <-r.ctx.Done():
		return
	}
	if o, err := h.Result(); err == nil {
		r.outbox.enqueue(req.ReplyTo, KeyedOutcome{req.Submission.Key, o, req.Attempt})
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

// forwardToOwner forwards the operation to the owner. A lost reply is harmless,
// since a repeated submission joins the first one.
func (r *Router) forwardToOwner(ctx context.Context, op operation, s dispatcher.Submission, m heartbeater.Member) attemptResult {
	res, _ := r.forward(ctx, op, s, m)
	return res
}

// forward forwards the operation to m. It also returns the owner that m named, if
// any.
func (r *Router) forward(ctx context.Context, op operation, s dispatcher.Submission, m heartbeater.Member) (attemptResult, descriptor.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.HopTimeout)
	defer cancel()
	req := ForwardRequest{Submission: s, ReplyTo: r.selfAddress(), Attempt: attemptFromContext(ctx)}
	reply, err := messenger.Call[ForwardRequest, ForwardReply](ctx, r.cfg.Pool, m.PeerAddress, methodOf(op), req)
	if err != nil {
		r.cfg.Scope.Tagged(map[string]string{"reason": callErrorReason(err)}).Counter("forward_errors").Inc(1)
		return attemptResult{reason: descriptor.ReasonOwnerUnreachable}, ""
	}
	res := attemptResult{accepted: reply.Accepted, notFound: reply.Missing, reason: reply.Reason}
	if reply.Outcome != nil {
		res.outcome = *reply.Outcome
	}
	return res, reply.Owner
}

// callErrorReason returns the value of the reason tag of the forward_errors counter.
func callErrorReason(err error) string {
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

// selfAddress returns the peer address of this instance.
func (r *Router) selfAddress() string {
	for _, m := range r.cfg.Membership.Members(r.cfg.DataCentre) {
		if m.ID == r.cfg.Self {
			return m.PeerAddress
		}
	}
	return ""
}

// attemptPeers forwards the operation to another instance of the caller's home
// data centre. If that instance names a different owner, the operation is
// forwarded once more, to the owner.
func (r *Router) attemptPeers(ctx context.Context, op operation, s dispatcher.Submission, home descriptor.DataCentreID) attemptResult {
	k := sliceKey{home, s.Key.Slice()}
	m, ok := r.selectPeer(k)
	switch {
	case !ok && home == r.cfg.DataCentre:
		return attemptResult{reason: descriptor.ReasonOwnerUnreachable}
	case !ok:
		return attemptResult{reason: descriptor.ReasonHomeUnreachable, final: true}
	}
	res, owner := r.forward(ctx, op, s, m)
	if res.accepted || res.notFound || !res.outcome.IsZero() {
		r.owners.set(k, m.ID)
		return res
	}
	r.owners.invalidate(k, m.ID)
	if owner == "" || owner == m.ID || owner == r.cfg.Self {
		return res
	}
	r.owners.set(k, owner)
	next, ok := r.selectPeer(k)
	if !ok || next.ID != owner {
		return res
	}
	res, _ = r.forward(ctx, op, s, next)
	return res
}

// attemptKey is the context key of the attempt number.
type attemptKey struct{}

func withAttempt(ctx context.Context, n uint64) context.Context {
	return context.WithValue(ctx, attemptKey{}, n)
}

func attemptFromContext(ctx context.Context) uint64 {
	n, _ := ctx.Value(attemptKey{}).(uint64)
	return n
}

// waiter is a caller waiting at this instance for the outcome of a request.
type waiter struct {
	ch chan descriptor.Outcome
	// lastAttempt is the number of the latest attempt, guarded by waiters.mu. A
	// refusal of an earlier attempt does not apply to a later one, which may have
	// been accepted and run in the meantime.
	lastAttempt uint64
}

// waiters holds the callers waiting at this instance, by request.
type waiters struct {
	mu           sync.Mutex
	byKey        map[descriptor.Key][]*waiter
	attemptCount uint64
}

// register adds a waiter for the outcome of a request. The returned function
// removes it.
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

// beginAttempt assigns a number to the waiter's next attempt and discards an
// unread refusal of an earlier attempt.
func (w *waiters) beginAttempt(v *waiter) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attemptCount++
	v.lastAttempt = w.attemptCount
	select {
	case o := <-v.ch:
		if o.Kind() != descriptor.Refused {
			v.ch <- o
		}
	default:
	}
	return v.lastAttempt
}

// deliver passes the outcome to all callers waiting for the request. A refusal is
// passed only to those whose latest attempt it belongs to.
func (w *waiters) deliver(o KeyedOutcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.byKey[o.Key] {
		if o.Outcome.Kind() == descriptor.Refused && o.Attempt != v.lastAttempt {
			continue
		}
		select {
		case v.ch <- o.Outcome:
		default: // an outcome was already delivered
		}
	}
}

func (r *Router) handleOutcomes(_ context.Context, _ descriptor.InstanceID, req OutcomesRequest) (OutcomesReply, error) {
	for _, o := range req.Outcomes {
		r.waiters.deliver(o)
	}
	return OutcomesReply{}, nil
}

const (
	// maxOutboxBatch is the maximum number of outcomes in one message. It keeps the
	// message below the frame size limit.
	maxOutboxBatch = 64
	// maxOutboxPending is the maximum number of outcomes queued for one instance.
	// Further outcomes are dropped, and the receiver fetches them.
	maxOutboxPending = 16384
	// outboxFlushInterval is the interval during which outcomes are collected into
	// batches. It is also the maximum latency that batching adds to an outcome.
	outboxFlushInterval = 2 * time.Millisecond
)

// outbox queues outcomes for other instances, by peer address.
type outbox struct {
	mu       sync.Mutex
	pending  map[string][]KeyedOutcome
	inFlight map[string]bool
	wake     chan struct{}
}

func (o *outbox) enqueue(address string, k KeyedOutcome) {
	o.mu.Lock()
	if len(o.pending[address]) < maxOutboxPending {
		o.pending[address] = append(o.pending[address], k)
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// takeBatches removes and returns the next batch of each address that has no
// batch in flight.
func (o *outbox) takeBatches() map[string][]KeyedOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight == nil {
		o.inFlight = map[string]bool{}
	}
	batches := map[string][]KeyedOutcome{}
	for address, queued := range o.pending {
		if o.inFlight[address] {
			continue
		}
		n := min(len(queued), maxOutboxBatch)
		batches[address] = queued[:n:n]
		if n == len(queued) {
			delete(o.pending, address)
		} else {
			o.pending[address] = queued[n:]
		}
		o.inFlight[address] = true
	}
	return batches
}

// batchDone allows the next batch to be sent to the address.
func (o *outbox) batchDone(address string) {
	o.mu.Lock()
	delete(o.inFlight, address)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// sendOutcomes sends batches of outcomes until the router is closed. Lost batches
// are not resent, since receivers fetch the outcomes that they miss.
func (r *Router) sendOutcomes() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.outbox.wake:
		}
		for address, batch := range r.outbox.takeBatches() {
			r.wg.Go(func() {
				defer r.outbox.batchDone(address)
				ctx, cancel := context.WithTimeout(r.ctx, r.cfg.HopTimeout)
				defer cancel()
				_, err := messenger.Call[OutcomesRequest, OutcomesReply](ctx, r.cfg.Pool, address, MethodOutcomes, OutcomesRequest{batch})
				if err != nil {
					r.cfg.Scope.Counter("outcomes_lost").Inc(int64(len(batch)))
				}
			})
		}
		r.cfg.Clock.Sleep(outboxFlushInterval)
	}
}
