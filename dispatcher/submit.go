package dispatcher

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Submission is a request as a caller sent it.
type Submission struct {
	Key         descriptor.Key        `json:"key"`
	Kind        descriptor.KindName   `json:"kind"`
	Tasks       int                   `json:"tasks,omitempty"`
	Resources   *descriptor.Resources `json:"resources,omitempty"`
	DeclaredRun time.Duration         `json:"declaredRunNs,omitempty"`
	// Remaining is the time until the caller needs the answer; 0 takes the
	// deadline of the kind.
	Remaining time.Duration   `json:"remainingNs,omitempty"`
	Payload   json.RawMessage `json:"payload,omitempty"`
}

// defaultDeadline is the deadline of a kind whose rule has none.
const defaultDeadline = time.Minute

// Handle follows one request.
type Handle struct{ r *record }

// Done is closed when the request has an outcome or another owner.
func (h Handle) Done() <-chan struct{} { return h.r.done }

// Result returns the outcome, or ErrNotOwner if another instance owns the
// request now. It is called after Done is closed.
func (h Handle) Result() (descriptor.Outcome, error) { return h.r.result() }

// Begin runs the request, or joins an earlier submission of the same key. ctx
// bounds only the wait for the recovery of the slice. Its errors are
// ErrRecovering, ErrNoRules, and ErrNotOwner if another instance owns the key.
func (d *Dispatcher) Begin(ctx context.Context, s Submission) (Handle, error) {
	r, err := d.admit(ctx, s)
	return Handle{r}, err
}

// Submit does the same as Begin and waits for the outcome until ctx ends. It
// then returns ErrPending.
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

// ownedShard returns the shard of the key when this instance owns it and knows
// what runs, waiting for the recovery until ctx ends.
func (d *Dispatcher) ownedShard(ctx context.Context, k descriptor.Key) (*shard, error) {
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

// admit returns the record of the key, new or old.
func (d *Dispatcher) admit(ctx context.Context, s Submission) (*record, error) {
	sh, err := d.ownedShard(ctx, s.Key)
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
	req, refusal := d.resolve(rules, s)
	r := newRecord(req)
	if _, ok := sh.ran[s.Key]; ok {
		r.markRan()
	}
	sh.records[s.Key] = r
	sh.mu.Unlock()

	d.cfg.Scope.Counter("requests").Inc(1)
	if refusal == nil {
		refusal = d.cfg.Scheduler.Submit(req)
	}
	switch {
	case refusal == nil:
		d.offerIfBusy(r)
	case d.spillable(req, refusal):
		d.wg.Go(func() { d.spill(r, *refusal) })
	default:
		r.claim = nil
		d.refuse(r, *refusal)
		return r, nil
	}
	if r.claim != nil {
		d.wg.Go(func() { d.makeClaim(r) })
	}
	return r, nil
}

// resolve applies the rules to a submission.
func (d *Dispatcher) resolve(rules *descriptor.Rules, s Submission) (*descriptor.Request, *descriptor.Refusal) {
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
	req.DeclaredRun = kind.Run
	if s.DeclaredRun > 0 {
		req.DeclaredRun = s.DeclaredRun
	}
	req.Deadline = now.Add(deadlineOf(s, kind))
	return req, nil
}

func deadlineOf(s Submission, kind descriptor.Kind) time.Duration {
	switch {
	case s.Remaining > 0:
		return s.Remaining
	case kind.Deadline > 0:
		return kind.Deadline
	}
	return defaultDeadline
}

// Find returns the handle of a request that was submitted earlier. Its errors
// are those of Begin, and ErrNotFound.
func (d *Dispatcher) Find(ctx context.Context, k descriptor.Key) (Handle, error) {
	sh, err := d.ownedShard(ctx, k)
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

// refuse ends a request that the scheduler no longer holds. Work of which an
// earlier attempt has run can't be refused and has failed instead.
func (d *Dispatcher) refuse(r *record, f descriptor.Refusal) {
	r.mu.Lock()
	switch {
	case r.isDone() || !r.settled():
		// A host has started it in the meantime.
		r.mu.Unlock()
		return
	case r.unstarted != nil:
		u := r.unstarted
		r.unstarted = nil
		r.finish(u.Refuse(f), d.cfg.Clock.Now())
	default:
		s := r.started
		r.started = nil
		r.finish(s.Fail(d.runOf(r, "no further attempt: "+f.Reason.String())), d.cfg.Clock.Now())
	}
	refused := r.outcome.Kind() == descriptor.Refused
	r.mu.Unlock()
	if refused {
		d.cfg.Scope.Tagged(map[string]string{"reason": f.Reason.String()}).Counter("refusals").Inc(1)
	}
	d.ended(r)
}

// ended does what follows an outcome.
func (d *Dispatcher) ended(r *record) {
	o, err := r.result()
	if err != nil {
		return
	}
	d.cfg.Scope.Tagged(map[string]string{"outcome": o.Kind().String()}).Counter("outcomes").Inc(1)
	d.cfg.Scheduler.Done(r.request.Key)
	switch {
	case r.claim == nil:
		d.shards[r.request.Slice()].keepOutcome(r)
	case o.Kind() == descriptor.Refused:
		d.wg.Go(func() { d.withdrawClaim(r) })
	default:
		d.shards[r.request.Slice()].keepOutcome(r)
		d.wg.Go(func() { d.recordOutcome(r, o) })
	}
}

// forgetRan drops the record of a request that has run without a result, so that
// a later submission runs it again.
func (d *Dispatcher) forgetRan(r *record) {
	sh := &d.shards[r.request.Slice()]
	sh.mu.Lock()
	sh.ran[r.request.Key] = d.cfg.Clock.Now()
	sh.mu.Unlock()
	d.forget(r)
}

// forget drops a record, so that a later submission looks at the claim again.
func (d *Dispatcher) forget(r *record) {
	sh := &d.shards[r.request.Slice()]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.records[r.request.Key] == r {
		delete(sh.records, r.request.Key)
	}
}
