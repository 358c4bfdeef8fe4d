package estimator

import (
	"sync"
	"time"
)

const (
	// slower and faster are the weights of an answer that took more or less than
	// expected. Slow answers count at once, so that a dependency that turns slow
	// is not asked twice for long.
	slower = 0.5
	faster = 0.05
	// answerMargin is the ratio of the time after which an answer counts as lost
	// to the expected time.
	answerMargin = 4
)

// AnswerTime predicts how long a dependency takes to answer. Its exported fields
// are set before its first use.
type AnswerTime struct {
	// Least and Most bound the time after which an answer counts as lost.
	Least, Most time.Duration

	mu       sync.Mutex
	expected time.Duration
}

// Observe notes that an answer took a time, or did not come within it.
func (a *AnswerTime) Observe(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	weight := faster
	if took > a.expected {
		weight = slower
	}
	a.expected += time.Duration(weight * float64(took-a.expected))
}

// Timeout returns the time after which an answer counts as lost.
func (a *AnswerTime) Timeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(a.Most, max(a.Least, answerMargin*a.expected))
}
