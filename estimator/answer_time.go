package estimator

import (
	"sync"
	"time"
)

const (
	// slowerWeight and fasterWeight are the smoothing factors for response times
	// above and below the expected one. Slow responses raise the timeout quickly,
	// so that requests to a dependency that becomes slow are not sent twice for long.
	slowerWeight = 0.5
	fasterWeight = 0.05
	// timeoutFactor is the ratio of the timeout to the expected response time.
	timeoutFactor = 4
)

// ResponseTime derives a timeout from the response times of a dependency. It is
// safe for concurrent use. The exported fields must be set before the first use.
type ResponseTime struct {
	// MinTimeout and MaxTimeout bound the result of Timeout.
	MinTimeout, MaxTimeout time.Duration

	mu       sync.Mutex
	expected time.Duration
}

// Observe records the time that a response took, or the time after which a call
// without a response timed out.
func (r *ResponseTime) Observe(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	weight := fasterWeight
	if elapsed > r.expected {
		weight = slowerWeight
	}
	r.expected += time.Duration(weight * float64(elapsed-r.expected))
}

// Timeout returns the time after which a response counts as lost.
func (r *ResponseTime) Timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(r.MaxTimeout, max(r.MinTimeout, timeoutFactor*r.expected))
}
