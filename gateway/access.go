package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/authenticator"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// ErrForbidden reports that a job belongs to another tenant.
var ErrForbidden = errors.New("gateway: the job belongs to another tenant")

// ErrUnknownQueue reports that no queue has the host and path of a request.
var ErrUnknownQueue = errors.New("gateway: unknown queue")

// Caller is the sender of a request. The zero value has no key.
type Caller struct {
	// Tenant is the tenant whose jobs the caller may see, besides jobs without a
	// tenant.
	Tenant     w.TenantName
	credential authenticator.Credential
	exempt     bool // the queue needs no key
}

type callerContextKey struct{}

// WithCaller returns a context for requests of a caller. Without one, Submit, State and
// Cancel fail while the configuration requires keys.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerContextKey{}, c)
}

func callerOf(ctx context.Context) Caller {
	c, _ := ctx.Value(callerContextKey{}).(Caller)
	return c
}

// Authenticate returns the sender of a request for a job of a queue of a snapshot. It
// returns an error that wraps authenticator.ErrUnknownKey if the queue needs a key and the
// credential has none that is valid, and a RefusedError if the snapshot is too old to tell,
// or to serve the request.
func (g *Gateway) Authenticate(ctx context.Context, s *authenticator.Snapshot, q *w.Queue, id w.JobID, credential authenticator.Credential) (Caller, error) {
	c := Caller{credential: credential, exempt: q.AuthExempt}
	if err := g.checkServing(ctx, s); err != nil {
		g.reportRefusal(s, q, id, err)
		return Caller{}, err
	}
	if !requiresKeys(s) {
		return c, nil
	}
	tenant, err := g.tenant(ctx, s, credential)
	if err != nil && !c.exempt {
		g.reportRefusal(s, q, id, err)
		return Caller{}, err
	}
	c.Tenant = tenant
	return c, nil
}

// checkServing returns a RefusedError if a snapshot, by which a request is allowed, is
// Outdated.
func (g *Gateway) checkServing(ctx context.Context, s *authenticator.Snapshot) error {
	if g.Outdated(s) {
		return g.staleError(ctx)
	}
	return nil
}

// Outdated reports whether a snapshot is too old to serve any request although the store
// answers, since queues may have been removed. While the store is away, or has been until
// now, known queues are served.
func (g *Gateway) Outdated(s *authenticator.Snapshot) bool {
	return g.StoreAnsweringFor != nil && g.Freshness.RefusalBound != nil &&
		g.StoreAnsweringFor() >= g.Freshness.RefusalBound() && g.Freshness.CheckRefusal(s) != nil
}

func requiresKeys(s *authenticator.Snapshot) bool { return s != nil && s.Config.RequiresKeys }

// tenant returns the tenant of a credential, with the errors of Authenticate.
func (g *Gateway) tenant(ctx context.Context, s *authenticator.Snapshot, c authenticator.Credential) (w.TenantName, error) {
	tenant, err := g.Freshness.Authenticate(s, c)
	switch {
	case errors.Is(err, authenticator.ErrStale):
		return "", g.staleError(ctx)
	case err != nil:
		return "", fmt.Errorf("gateway: %w", err)
	}
	return tenant, nil
}

// staleError returns the refusal of a request that the configuration is too old to decide.
func (g *Gateway) staleError(ctx context.Context) error {
	remaining := maxRetryAfter * retriesWithinDeadline
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	return &RefusedError{Reason: "staleConfiguration", RetryAfter: g.retryAfter(remaining)}
}

// CheckRefusal returns a RefusedError if a snapshot, by which a request is not allowed, is
// too old to refuse the request for good.
func (g *Gateway) CheckRefusal(ctx context.Context, s *authenticator.Snapshot) error {
	if g.Freshness.CheckRefusal(s) != nil {
		return g.staleError(ctx)
	}
	return nil
}

// RefuseUnknownQueue refuses a request that matches no queue of a snapshot. It returns
// ErrUnknownQueue, or a RefusedError if the snapshot is too old to tell.
func (g *Gateway) RefuseUnknownQueue(ctx context.Context, s *authenticator.Snapshot, path string) error {
	err := g.CheckRefusal(ctx, s)
	if err == nil {
		err = ErrUnknownQueue
	}
	reason := refusalReason(err)
	g.Meter.Count("request", reason)
	g.Log.Warn("request refused", append([]any{"path", path[:min(len(path), maxLoggedPath)], "reason", reason}, g.freshnessAttributes(s)...)...)
	return err
}

// reportRefusal counts and logs a request that was refused before it reached a job.
func (g *Gateway) reportRefusal(s *authenticator.Snapshot, q *w.Queue, id w.JobID, err error) {
	reason := refusalReason(err)
	g.Meter.Count("request", reason)
	g.Log.Warn("request refused", append([]any{"job", id, "queue", q.Name, "reason", reason}, g.freshnessAttributes(s)...)...)
}

// freshnessAttributes returns log attributes that tell by which configuration a request was
// refused, and how long ago it was confirmed; a negative time stands for never.
func (g *Gateway) freshnessAttributes(s *authenticator.Snapshot) []any {
	age, err := g.Freshness.Age(s)
	if err != nil {
		age = -1
	}
	return []any{"configuration", s.Config.Version, "confirmed", age}
}

// maxLoggedPath bounds the length in bytes of a client's path on a line.
const maxLoggedPath = 64

// reportDenial counts and logs a request for a job's state or cancellation that was refused,
// and returns err.
func (g *Gateway) reportDenial(ctx context.Context, id w.JobID, err error) error {
	reason := refusalReason(err)
	g.Meter.Count("request", reason)
	attributes := []any{"job", id, "tenant", callerOf(ctx).Tenant, "reason", reason}
	if s := g.Freshness.Snapshot(); s != nil {
		attributes = append(attributes, g.freshnessAttributes(s)...)
	}
	g.Log.Warn("request refused", attributes...)
	return err
}

// reasonUnclear is counted for requests without a known outcome.
const reasonUnclear = "unclear"

// refusalReason returns the reason under which a request that was not accepted is counted.
func refusalReason(err error) string {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return refused.Reason
	case errors.Is(err, authenticator.ErrUnknownKey):
		return "unknownKey"
	case errors.Is(err, ErrUnknownQueue):
		return "unknownQueue"
	case errors.Is(err, ErrForbidden):
		return "otherTenant"
	default:
		return reasonUnclear
	}
}

// verify checks the key of a request again, right before the request takes effect.
func (g *Gateway) verify(ctx context.Context) error {
	s := g.Freshness.Snapshot()
	c := callerOf(ctx)
	if c.exempt || !requiresKeys(s) {
		return nil
	}
	tenant, err := g.tenant(ctx, s, c.credential)
	if err != nil {
		return err
	}
	if tenant != c.Tenant {
		return errTenantChanged()
	}
	return nil
}

// checkOwner returns ErrForbidden if the caller may not see the jobs of a tenant, or a
// RefusedError if the configuration is too old to tell or the caller's key has moved to
// that tenant since the request was received.
func (g *Gateway) checkOwner(ctx context.Context, owner w.TenantName) error {
	s, c := g.Freshness.Snapshot(), callerOf(ctx)
	if owner == "" || owner == c.Tenant || !requiresKeys(s) {
		return nil
	}
	if err := g.CheckRefusal(ctx, s); err != nil {
		return err
	}
	if tenant, err := g.Freshness.Authenticate(s, c.credential); err == nil && tenant == owner {
		return errTenantChanged()
	}
	return ErrForbidden
}

// errTenantChanged returns the refusal of a request whose key has moved to another tenant
// since the request was received.
func errTenantChanged() error {
	return &RefusedError{Reason: "tenantChanged", RetryAfter: minRetryAfter}
}

// submissionTenant returns the tenant of a job that the caller submits.
func submissionTenant(ctx context.Context) w.TenantName {
	c := callerOf(ctx)
	if c.exempt {
		return ""
	}
	return c.Tenant
}

// ownership is the result of a look-up of a job's tenant.
type ownership struct {
	tenant w.TenantName
	found  bool // the job exists
	err    error
}

// lookUpOwner returns a function that waits for a job's tenant. The row is read, while the
// caller goes on, only if the configuration requires keys and no coordinator has sent the
// tenant.
func (g *Gateway) lookUpOwner(ctx context.Context, id w.JobID) func() ownership {
	if !requiresKeys(g.Freshness.Snapshot()) {
		return func() ownership { return ownership{found: true} }
	}
	g.mu.Lock()
	tenant, known := g.owners[id]
	g.mu.Unlock()
	if known {
		return func() ownership { return ownership{tenant: tenant, found: true} }
	}
	done := make(chan ownership, 1)
	go func() {
		tenant, found, err := g.Keeper.JobTenant(ctx, id)
		done <- ownership{tenant, found, err}
	}()
	return func() ownership {
		o := <-done
		g.mu.Lock()
		defer g.mu.Unlock()
		if o.err == nil && o.found && g.states[id] != w.Unknown {
			g.owners[id] = o.tenant
		}
		return o
	}
}

// State returns the state of a job, or workload.Unknown if the job does not exist. It
// fails with ErrForbidden if the job belongs to another tenant than the caller, and with
// the errors of Authenticate if the caller's key has become invalid.
func (g *Gateway) State(ctx context.Context, id w.JobID) (w.State, error) {
	owner := g.lookUpOwner(ctx, id)
	s, err := g.state(ctx, id)
	if err != nil {
		return w.Unknown, err
	}
	if s == w.Unknown {
		return w.Unknown, nil
	}
	o := owner()
	switch {
	case o.err != nil:
		return w.Unknown, fmt.Errorf("gateway: state: %w", o.err)
	case !o.found:
		return w.Unknown, nil
	}
	// Reading the row may have taken long.
	if err := g.verify(ctx); err != nil {
		return w.Unknown, g.reportDenial(ctx, id, err)
	}
	if err := g.checkOwner(ctx, o.tenant); err != nil {
		return w.Unknown, g.reportDenial(ctx, id, err)
	}
	return s, nil
}

// Cancel cancels a job and reports whether the job exists. It fails like State if the
// caller may not see the job. After any other error that is not a RefusedError, the
// cancellation may be stored.
func (g *Gateway) Cancel(ctx context.Context, id w.JobID) (bool, error) {
	if err := g.verify(ctx); err != nil {
		return false, g.reportDenial(ctx, id, err)
	}
	o := g.lookUpOwner(ctx, id)()
	if o.err != nil {
		return false, o.err
	}
	if !o.found {
		return false, g.cancelEarly(ctx, id)
	}
	if err := g.checkOwner(ctx, o.tenant); err != nil {
		return false, g.reportDenial(ctx, id, err)
	}
	return g.cancel(ctx, id)
}

// recordOwners keeps the tenants of the jobs whose states a frame contains, and drops
// those of jobs without a state. g.mu must be held.
func (g *Gateway) recordOwners(f *linker.Frame) {
	for i := range f.States {
		s := &f.States[i]
		switch {
		case s.State == w.Unknown:
			delete(g.owners, s.Job)
		case f.NamesTenants:
			g.owners[s.Job] = s.Tenant
		}
	}
	if f.Reset {
		for id := range g.owners {
			if g.states[id] == w.Unknown {
				delete(g.owners, id)
			}
		}
	}
}
