package sharer

import (
	w "github.com/masticlead/masticlead/workload"
)

// Rates decides which jobs are within their tenant's rate, by a token bucket per tenant
// with the rate of the tenant's weight in jobs per second.
type Rates struct {
	buckets map[w.TenantName]*bucket
}

// bucket is the token bucket of a tenant. It starts full.
type bucket struct {
	rate   float64 // tokens per second
	tokens float64
	at     int64 // Unix time up to which tokens were added, ms
}

// depth returns the capacity of a bucket: the tokens of one second, and at least one
// since a smaller bucket would never admit a job.
func (b *bucket) depth() float64 { return max(1, b.rate) }

// Configure replaces the rates by those of the tenants, with full buckets. Of several
// entries with the same name the first one counts.
func (r *Rates) Configure(tenants []w.Tenant) {
	r.buckets = make(map[w.TenantName]*bucket, len(tenants))
	for i := range tenants {
		t := &tenants[i]
		if r.buckets[t.Name] != nil {
			continue
		}
		b := &bucket{rate: max(0, t.Weight)}
		if b.rate > 0 {
			b.tokens = b.depth()
		}
		r.buckets[t.Name] = b
	}
}

// Take reports whether a job of a tenant that was accepted at a Unix time in ms is within
// the tenant's rate. It must be called once for each job, in the order of acceptance as
// far as it is known; an earlier time than the last one adds no tokens. Tenants that are
// not configured, and jobs without a tenant, have no rate limit.
func (r *Rates) Take(tenant w.TenantName, accepted int64) bool {
	b := r.buckets[tenant]
	if b == nil {
		return true
	}
	if accepted > b.at {
		if b.at > 0 {
			b.tokens = min(b.depth(), b.tokens+b.rate*float64(accepted-b.at)/1000)
		}
		b.at = accepted
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
