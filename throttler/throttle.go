package throttler

import (
	"sync"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// expiry is the time for which allowances apply after the leader last sent them.
	expiry = 3 * time.Second
	// bucketTime is the time of its allowance that a bucket holds.
	bucketTime = 1 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry time of a refused job.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 5 * time.Second
	// maxJitter is the upper bound of the random part of a retry time. It spreads the
	// retries of callers that were refused at the same time.
	maxJitter = 2 * time.Second
)

// Throttle admits the jobs that arrive at one instance at the rates that the leader
// allows. Its methods may be called concurrently.
type Throttle struct {
	random func() float64

	mu         sync.Mutex
	receivedAt time.Time
	buckets    map[w.TenantName]*bucket // of the tenants under an allowance
}

type bucket struct {
	rate    float64 // tokens per second
	tokens  float64
	at      time.Time // when tokens was computed
	refused int       // refusals that were not reported yet
}

// NewThrottle returns a Throttle that admits all jobs until it receives allowances.
// random returns numbers in [0, 1).
func NewThrottle(random func() float64) *Throttle { return &Throttle{random: random} }

func (b *bucket) depth() float64 { return max(1, b.rate*bucketTime.Seconds()) }

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens += b.rate * d.Seconds()
		b.at = now
	}
	b.tokens = min(b.depth(), b.tokens)
}

// Apply replaces the allowances. The bucket of a tenant that had one keeps its tokens.
func (t *Throttle) Apply(list []linker.Allowance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.receivedAt = now
	buckets := make(map[w.TenantName]*bucket, len(list))
	for _, a := range list {
		b := t.buckets[a.Tenant]
		if b == nil {
			b = &bucket{rate: a.JobsPerSec, at: now}
			b.tokens = b.depth()
		}
		b.refill(now)
		b.rate = a.JobsPerSec
		buckets[a.Tenant] = b
	}
	t.buckets = buckets
}

// expire drops the allowances if the leader has not renewed them.
func (t *Throttle) expire(now time.Time) {
	if t.buckets != nil && now.Sub(t.receivedAt) > expiry {
		t.buckets = nil
	}
}

// Admit reports whether a job of a tenant is admitted, and otherwise the time after
// which its caller should try again.
func (t *Throttle) Admit(tenant w.TenantName, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	b := t.buckets[tenant]
	if b == nil {
		return 0, true
	}
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	b.refused++
	return t.retryAfter(b), false
}

// retryAfter returns the time until the bucket has a token, with jitter. The time is
// limited before the jitter is added, since callers of a bucket that refills slowly
// would otherwise all be given the upper bound.
func (t *Throttle) retryAfter(b *bucket) time.Duration {
	wait := maxRetryAfter - maxJitter
	if b.rate > 0 {
		wait = time.Duration(min(wait.Seconds(), (1-b.tokens)/b.rate) * float64(time.Second))
	}
	return min(maxRetryAfter, max(minRetryAfter, wait+time.Duration(t.random()*float64(maxJitter))))
}

// TakeRefusals returns the number of refusals by tenant since the last call.
func (t *Throttle) TakeRefusals() []linker.Refusals {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []linker.Refusals
	for name, b := range t.buckets {
		if b.refused > 0 {
			out = append(out, linker.Refusals{Tenant: name, Jobs: b.refused})
			b.refused = 0
		}
	}
	return out
}
