package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/masticlead/masticlead/limiter"
	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/throttler"
	w "github.com/masticlead/masticlead/workload"
)

// reasonTenantRate is the reason of refusals because the tenant exceeds its rate while
// its jobs wait.
const reasonTenantRate = "tenantRate"

// reasonQueueCrashes is the reason of refusals because jobs of the queue crash targets, and
// more of them wait than can be tried.
const reasonQueueCrashes = "queueCrashes"

// admission holds what the gateway needs to admit jobs by tenant and to explain
// refusals.
type admission struct {
	unclear  map[w.JobID]time.Time // when submissions without a known outcome failed; guarded by Gateway.mu
	throttle *throttler.Throttle
	queues   *throttler.Throttle // by name of the queue

	mu        sync.Mutex
	config    *w.Config // as of the last call of noteConfig
	changedAt time.Time // when it came into force here
}

func (a *admission) init() {
	a.throttle = throttler.NewThrottle(rand.Float64)
	a.queues = throttler.NewThrottle(rand.Float64)
	a.unclear = make(map[w.JobID]time.Time)
}

// noteConfig returns the configuration, or nil if none is set, and the time since it was
// first noted here. It makes its tenants those that have metrics of their own.
func (g *Gateway) noteConfig() (*w.Config, time.Duration) {
	a := &g.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := g.Config(); c != a.config {
		a.config, a.changedAt = c, time.Now()
		g.Meter.SetTenants(c.Tenants)
	}
	return a.config, time.Since(a.changedAt)
}

// applyAllowances applies the allowances in a frame from the coordinator.
func (g *Gateway) applyAllowances(f *linker.Frame) {
	if f.Allowances == nil {
		return
	}
	g.admission.throttle.Apply(f.Allowances.Tenants, time.Now())
	queues := make([]linker.Allowance, len(f.Allowances.Queues))
	for i, q := range f.Allowances.Queues {
		queues[i] = linker.Allowance{Tenant: w.TenantName(q.Queue), JobsPerSec: q.JobsPerSec}
	}
	g.admission.queues.Apply(queues, time.Now())
}

// TakeRefusals returns the number of jobs refused by tenant and by queue because of an
// allowance since the last call.
func (g *Gateway) TakeRefusals() []linker.Refusals {
	g.noteConfig()
	out := g.admission.throttle.TakeRefusals()
	for _, r := range g.admission.queues.TakeRefusals() {
		out = append(out, linker.Refusals{Queue: string(r.Tenant), Jobs: r.Jobs})
	}
	return out
}

// admit returns a RefusedError if the job's queue or tenant exceeds its allowance, or if
// the tenant's cap can never admit the job. A job that is known to be stored is always admitted: its caller has
// sent it again because it got no response, and a refusal would say that the job never
// runs.
func (g *Gateway) admit(ctx context.Context, j *w.Job) error {
	if g.knows(j.ID) {
		return nil
	}
	err := g.checkAllowances(ctx, j)
	if err == nil || !g.joinedLately() {
		return err
	}
	// The job may have been accepted elsewhere and ended before this instance joined.
	switch stored, readErr := g.Keeper.Exists(ctx, j.ID); {
	case readErr != nil:
		return fmt.Errorf("gateway: check whether a job that exceeds an allowance is stored: %w", readErr)
	case stored:
		return nil
	}
	return err
}

// joinedLately reports whether this instance joined the coordinator within the time in
// which the submission of a job may be repeated.
func (g *Gateway) joinedLately() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.joinedAt) < repetitionTime
}

// checkAllowances returns the errors of admit for a job that is not known to be stored.
func (g *Gateway) checkAllowances(ctx context.Context, j *w.Job) error {
	if retryAfter, ok := g.admission.queues.Admit(w.TenantName(j.Queue), time.Now()); !ok {
		return &RefusedError{Reason: reasonQueueCrashes, Overload: true, RetryAfter: retryAfter}
	}
	if j.Tenant == "" {
		return nil
	}
	if err := g.checkCap(ctx, j); err != nil {
		return err
	}
	retryAfter, ok := g.admission.throttle.Admit(j.Tenant, time.Now())
	if ok {
		return nil
	}
	return &RefusedError{Reason: reasonTenantRate, Overload: true, RetryAfter: retryAfter}
}

// knows reports whether a job is known to be stored.
func (g *Gateway) knows(id w.JobID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, unclear := g.admission.unclear[id]
	return g.states[id] != w.Unknown || g.unconfirmedJobs[id] != nil || (unclear && time.Since(at) < unclearFor)
}

const (
	// repetitionTime is the time after its acceptance within which a submission may arrive
	// once more.
	repetitionTime = 30 * time.Second
	// unclearFor is the time for which a submission without a known outcome counts as
	// stored. By then the leader has found the job, if it is.
	unclearFor = 10 * time.Second
	// maxUnclear bounds the number of such submissions that are kept.
	maxUnclear = 4096
)

// noteUnclear keeps the ID of a job that may be stored although its submission failed.
func (g *Gateway) noteUnclear(id w.JobID, err error) {
	if refusalReason(err) != reasonUnclear {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	unclear := g.admission.unclear
	if len(unclear) >= maxUnclear {
		for known, at := range unclear {
			if time.Since(at) >= unclearFor {
				delete(unclear, known)
			}
		}
	}
	if len(unclear) < maxUnclear {
		unclear[id] = time.Now()
	}
}

// recordFailure counts and logs a submission that was not accepted. Refusals because of
// an allowance have a message of their own, since they are frequent and the rate limit
// of log lines applies to each message.
func (g *Gateway) recordFailure(j *w.Job, err error, took time.Duration) {
	reason := refusalReason(err)
	var refused *RefusedError
	errors.As(err, &refused)
	g.Meter.Count("request", reason)
	g.countTenant(j.Tenant, reason)
	attributes := append([]any{"job", j.ID, "queue", j.Queue}, g.configAttributes(j.Tenant, reason)...)
	switch {
	case reason == reasonTenantRate && refused != nil:
		g.Log.Info("job over its tenant's rate refused", append(attributes, "retryAfter", refused.RetryAfter)...)
		return
	case reason == reasonQueueCrashes && refused != nil:
		g.Log.Info("job of a queue that crashes targets refused", append(attributes, "retryAfter", refused.RetryAfter)...)
		return
	}
	g.Log.Warn("job not accepted", append(attributes, "took", took, "error", err)...)
}

// configAttributes returns log attributes that tell by which configuration a request of
// a tenant was refused.
func (g *Gateway) configAttributes(tenant w.TenantName, reason string) []any {
	c, age := g.noteConfig()
	if c == nil {
		return nil
	}
	out := []any{"reason", reason, "configuration", c.Version, "configurationAge", age.Round(time.Millisecond)}
	if tenant != "" {
		out = append(out, "tenant", tenant)
	}
	return out
}

// countTenant counts a submission of a tenant. Jobs without one are counted by queue
// only.
func (g *Gateway) countTenant(tenant w.TenantName, result string) {
	if tenant != "" {
		g.noteConfig()
		g.Meter.CountTenant(tenant, result)
	}
}

// capRetryAfter is the retry delay of a job that its tenant's cap can never admit. It is
// the longest one, since only a new configuration changes the answer.
const capRetryAfter = 5 * time.Second

// checkCap refuses a job with a gang that can never fit its tenant's cap. A job that was
// stored before the cap was lowered is not refused, since it may run.
func (g *Gateway) checkCap(ctx context.Context, j *w.Job) error {
	t, excess := g.Config().Tenant(j.Tenant), 0.0
	if g.QuotaExcess != nil {
		excess = g.QuotaExcess()
	}
	if t == nil || !limiter.JobNeverFits(t.Cap, excess, j) {
		return nil
	}
	stored, err := g.Keeper.Exists(ctx, j.ID)
	if err != nil {
		return fmt.Errorf("gateway: check whether a job over its tenant's cap is stored: %w", err)
	}
	if stored {
		return nil
	}
	return &RefusedError{Reason: "tenantCap", Overload: true, RetryAfter: capRetryAfter}
}
