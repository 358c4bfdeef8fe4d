package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestResponseTimeout guards against a long wait for a lost response of a healthy
// dependency, and against repeated calls to a dependency that is only slow.
func TestResponseTimeout(t *testing.T) {
	const minTimeout, maxTimeout = 400 * time.Millisecond, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		observed []time.Duration
		want     time.Duration
	}{
		"no observations":               {nil, minTimeout},
		"fast responses":                {repeated(5*time.Millisecond, 100), minTimeout},
		"one timeout":                   {append(repeated(5*time.Millisecond, 100), minTimeout), 810 * time.Millisecond},
		"slow responses":                {repeated(300*time.Millisecond, 10), 1199 * time.Millisecond},
		"only timeouts":                 {repeated(maxTimeout, 5), maxTimeout},
		"fast responses after timeouts": {append(repeated(maxTimeout, 5), repeated(5*time.Millisecond, 60)...), minTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			r := ResponseTime{MinTimeout: minTimeout, MaxTimeout: maxTimeout}
			for _, d := range c.observed {
				r.Observe(d)
			}
			require.InDelta(t, c.want.Seconds(), r.Timeout().Seconds(), 0.002)
		})
	}
}

func repeated(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}
