package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnswerTime guards against calls that wait long for an answer that a sound
// dependency has lost, and against repeated calls to one that is only slow.
func TestAnswerTime(t *testing.T) {
	const least, most = 400 * time.Millisecond, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		took []time.Duration
		want time.Duration
	}{
		"nothing known":        {nil, least},
		"quick":                {repeat(5*time.Millisecond, 100), least},
		"one lost":             {append(repeat(5*time.Millisecond, 100), least), 810 * time.Millisecond},
		"slow":                 {repeat(300*time.Millisecond, 10), 1199 * time.Millisecond},
		"silent":               {repeat(most, 5), most},
		"quick again, a while": {append(repeat(most, 5), repeat(5*time.Millisecond, 60)...), least},
	} {
		t.Run(name, func(t *testing.T) {
			a := AnswerTime{Least: least, Most: most}
			for _, d := range c.took {
				a.Observe(d)
			}
			require.InDelta(t, c.want.Seconds(), a.Timeout().Seconds(), 0.002)
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}
