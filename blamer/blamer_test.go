package blamer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLedger(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_800_000_000_000 + ms)) }
	var l Ledger
	l.Add(Loss{Target: "a", Pool: "s", At: at(0), Blame: map[string]float64{"q": 0.5, "r": 0.5}})
	l.Add(Loss{Target: "a", Pool: "s", At: at(10), Blame: map[string]float64{"q": 1}})
	l.Add(Loss{Target: "b", Pool: "s", At: at(2000), Blame: map[string]float64{"q": 1}})
	require.InDelta(t, 1.5, l.Score("q"), 1e-9, "the second loss of a target doesn't count")
	require.Equal(t, 1, l.Recent("s", at(1000)))

	l.Add(Loss{Target: "c", Pool: "s", At: at(2200)})
	require.True(t, l.Common(at(2000)), "nothing had just started on c")
	require.InDelta(t, 0.5, l.Score("q"), 1e-9)
	l.Retract("c")
	require.False(t, l.Common(at(2000)))

	l.Expire(at(9000))
	require.InDelta(t, 1, l.Score("q"), 1e-9)
}
