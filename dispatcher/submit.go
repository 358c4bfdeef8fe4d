package dispatcher

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Submission is a request as submitted by a caller.
type Submission struct {
	Key         descriptor.Key        `json:"key"`
	Kind        descriptor.KindName   `json:"kind"`
	Tasks       int                   `json:"tasks,omitempty"`
	Resources   *descriptor.Resources `json:"resources,omitempty"`
	DeclaredRun time.Duration         `json:"declaredRunNs,omitempty"`
	// Remaining is the time left until the caller's deadline; 0 selects the
	// deadline of the kind.
	Remaining time.Duration   `json:"remainingNs,omitempty"`
	Payload   json.RawMessage `json:"payload,omitempty"`
}

// defaultDeadline is the deadline for kinds whose rule sets none.
const defaultDeadline = time.Minute

// Handle refers to a submitted request.
type Handle struct{ r *record }

// Done returns a channel that is closed once the request has an outcome or this
// instance no longer owns it.
func (h Handle) Done() <-chan struct{} { return h.r.done }

// Result returns the outcome, or ErrNotOwner if this instance no longer owns the
// request. It must be called only after Done is closed.
func (h Handle) Result() (descriptor.Outcome, error) { return h.r.result() }

// Begin submits a request, or joins an earlier submission with the same key. ctx
// bounds only the wait for the recovery of the slice. Begin returns ErrRecovering,
// ErrNoRules, or ErrNotOwner if this instance has no grant for the key or is draining.
func (d *Dispatcher) Begin(ctx context.Context, s Submission) (Handle, error) {
	r, err := d.admit(ctx, s)
	return Handle{r}, err
}

// Submit calls Begin and waits for the outcome. It returns ErrPending if ctx ends
// first.
func (d *Dispatcher) Submit(ctx context.Context, s Submission) (descriptor.Outcome, error) {
	h, err := d.Begin(ctx, s)
	if err != nil {
		return descriptor.Outcome{}, err
	}
	return h.wait(ctx)
}

func (h Handle) wait(ctx context.Context) (descriptor.Outcome, error) {
	select {
	case <-h.Done():
		return h.Result()
	default:
	}
	select {
	case <-h.Done():
		return h.Result()
	case <-ctx.Done():
		return descriptor.Outcome{}, ErrPending
	}
}

// recoveredShard returns the shard of the key if this instance owns it. It waits
// for the recovery of the shard until ctx ends.
func (d *Dispatcher) recoveredShard(ctx context.Context, k descriptor.Key) (*shard, error) {
	sh := &d.shards[k.Slice()]
	for {
		sh.mu.Lock()
		owned, recovered, ready := sh.owned, sh.recovered, sh.ready
		sh.mu.Unlock()
		switch {
		case !owned:
			return nil, ErrNotOwner
		case recovered:
			return sh, nil
		}
		select {
		case <-ready:
		case <-ctx.Done():
			return nil, ErrRecovering
		}
	}
}

// admit returns the record of the key, and creates and schedules it if there is
// none.
func (d *Dispatcher) admit(ctx context.Context, s Submission) (*record, error) {
	sh, err := d.recoveredShard(ctx, s.Key)
	if err != nil {
		return nil, err
	}
	rules := d.cfg.Rules()
	if rules == nil {
		return nil, ErrNoRules
	}
	sh.mu.Lock()
	if old, ok := sh.records[s.Key]; ok {
		sh.mu.Unlock()
		d.cfg.Scope.Counter("requests_joined").Inc(1)
		return old, nil
	}
	if _, ok := d.cfg.Owners.Grant(sh.slice); !ok || !sh.owned || d.isDraining() {
		sh.mu.Unlock()
		return nil, ErrNotOwner
	}
	req, refusal := d.buildRequest(rules, s)
	r := newRecord(req)
	if _, ok := sh.previouslyRun[s.Key]; ok {
		r.markStarted()
	}
	sh.records[s.Key] = r
	sh.mu.Unlock()

	d.cfg.Scope.Counter("requests").Inc(1)
	if refusal == nil {
		refusal = d.cfg.Scheduler.Submit(req)
	}
	switch {
	case refusal == nil:
		d.offerIfQueued(r)
	case d.canSpill(req, refusal):
		d.wg.Go(func() { d.spill(r, *refusal) })
	default:
		r.claim = nil
		d.refuse(r, *refusal)
		return r, nil
	}
	if r.claim != nil {
		d.wg.Go(func() { d.acquireClaim(r) })
	}
	return r, nil
}

// buildRequest applies the rules to a submission.
func (d *Dispatcher) buildRequest(rules *descriptor.Rules, s Submission) (*descriptor.Request, *descriptor.Refusal) {
	now := d.cfg.Clock.Now()
	req := &descriptor.Request{Key: s.Key, Kind: s.Kind, Arrived: now, Payload: s.Payload, Idempotent: true, Tasks: 1}
	kind, ok := rules.Kinds[s.Kind]
	if !ok {
		return req, &descriptor.Refusal{Reason: descriptor.ReasonUnknownKind, Detail: fmt.Sprintf("no rule for kind %q", s.Kind)}
	}
	caller, ok := rules.CallerRule(s.Key.Caller)
	if !ok || !rules.Allowed(s.Key.Caller, s.Kind) {
		return req, &descriptor.Refusal{
			Reason: descriptor.ReasonNotAllowed,
			Detail: fmt.Sprintf("caller %q may not run kind %q", s.Key.Caller, s.Kind),
		}
	}
	req.Team = caller.Team
	req.Policy, req.Priority = kind.Policy, kind.Priority
	req.Idempotent, req.Checkpointable = kind.Idempotent, kind.Checkpointable
	req.Tasks = max(1, kind.Tasks)
	if s.Tasks > 0 {
		req.Tasks = s.Tasks
	}
	req.Resources = kind.Resources
	if s.Resources != nil {
		req.Resources = *s.Resources
	}
	req.Resources.Slots = max(1, req.Resources.Slots)
	req.DeclaredRun = kind.DeclaredRun
	if s.DeclaredRun > 0 {
		req.DeclaredRun = s.DeclaredRun
	}
	req.Deadline = now.Add(relativeDeadline(s, kind))
	return req, nil
}

func relativeDeadline(s Submission, kind descriptor.Kind) time.Duration {
	switch {
	case s.Remaining > 0:
		return s.Remaining
	case kind.Deadline > 0:
		return kind.Deadline
	}
	return defaultDeadline
}

// Find returns the handle of a request that was submitted earlier. It returns
// ErrRecovering, ErrNotOwner or ErrNotFound.
func (d *Dispatcher) Find(ctx context.Context, k descriptor.Key) (Handle, error) {
	sh, err := d.recoveredShard(ctx, k)
	if err != nil {
		return Handle{}, err
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.records[k]
	if !ok {
		return Handle{}, ErrNotFound
	}
	return Handle{r}, nil
}

// refuse ends a request that the scheduler no longer holds. A request of which an
// earlier attempt has run can't be refused and fails instead.
func (d *Dispatcher) refuse(r *record, f descriptor.Refusal) {
	r.mu.Lock()
	switch {
	case r.isDone() || !r.allTasksTerminal():
		// A host has started the request in the meantime.
		r.mu.Unlock()
		return
	case r.unstarted != nil:
		u := r.unstarted
		r.unstarted = nil
		r.finish(u.Refuse(f), d.cfg.Clock.Now())
	default:
		s := r.started
		r.started = nil
		r.finish(s.Fail(d.describeRun(r, "no further attempt: "+f.Reason.String())), d.cfg.Clock.Now())
	}
	refused := r.outcome.Kind() == descriptor.Refused
	r.mu.Unlock()
	if refused {
		d.cfg.Scope.Tagged(map[string]string{"reason": f.Reason.String()}).Counter("refusals").Inc(1)
	}
	d.finalize(r)
}

// finalize counts the outcome of a request, removes the request from the
// scheduler, updates its claim, and retains or drops its record.
func (d *Dispatcher) finalize(r *record) {
	o, err := r.result()
	if err != nil {
		return
	}
	d.cfg.Scope.Tagged(map[string]string{"outcome": o.Kind().String()}).Counter("outcomes").Inc(1)
	d.cfg.Scheduler.Done(r.request.Key)
	switch {
	case r.claim == nil:
		d.shards[r.request.Slice()].retainFinished(r)
	case o.Kind() == descriptor.Refused:
		d.wg.Go(func() { d.withdrawAndForget(r) })
	default:
		d.shards[r.request.Slice()].retainFinished(r)
		d.wg.Go(func() { d.recordOutcome(r, o) })
	}
}

// forgetAfterRun drops the record of a request that has run without a result, so
// that a later submission runs it again.
func (d *Dispatcher) forgetAfterRun(r *record) {
	sh := &d.shards[r.request.Slice()]
	sh.mu.Lock()
	sh.previouslyRun[r.request.Key] = d.cfg.Clock.Now()
	sh.mu.Unlock()
	d.forget(r)
}

// forget drops a record, so that a later submission is admitted anew and checks
// the claim again.
func (d *Dispatcher) forget(r *record) {
	sh := &d.shards[r.request.Slice()]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.records[r.request.Key] == r {
		delete(sh.records, r.request.Key)
	}
}
