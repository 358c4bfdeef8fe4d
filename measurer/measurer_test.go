package measurer

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNaNKeepsNoBound guards against a scenario that measured nothing and still
// passes.
func TestNaNKeepsNoBound(t *testing.T) {
	for _, b := range []Bound{AtMost(1), AtLeast(1)} {
		m := Metric{Value: math.NaN(), Baseline: None(), Bound: b}
		require.False(t, m.Holds())
		line, err := json.Marshal(m)
		require.NoError(t, err)
		require.Contains(t, string(line), `"value":null`)
		require.Contains(t, string(line), `"holds":false`)
	}
}

// TestDriverOrdersEvents guards against events that run out of order, which
// would make figures depend on the heap's layout.
func TestDriverOrdersEvents(t *testing.T) {
	d := NewDriver()
	var got []int
	d.At(2*time.Second, func() { got = append(got, 3) })
	d.At(time.Second, func() {
		got = append(got, 1)
		d.After(0, func() { got = append(got, 2) })
	})
	d.At(2*time.Second, func() { got = append(got, 4) })
	d.Run(3 * time.Second)
	require.Equal(t, []int{1, 2, 3, 4}, got)
	require.Equal(t, 3*time.Second, d.Elapsed())
}

// TestQuantileNearestRank guards against a quantile that is off by one.
func TestQuantileNearestRank(t *testing.T) {
	values := make([]float64, 100)
	for i := range values {
		values[i] = float64(100 - i)
	}
	require.Equal(t, 99.0, Quantile(values, 0.99))
	require.Equal(t, 100.0, Quantile(values, 1))
	require.InDelta(t, 0.5, Jain([]float64{1, 0}), 1e-9)
}

// TestSameSeedSameFigures guards against decisions that depend on the order of a
// map or on the machine, which would make a published figure impossible to
// repeat.
func TestSameSeedSameFigures(t *testing.T) {
	for _, name := range []string{"crest", "quota"} {
		first, err := Run(name, Env{Seed: 7})
		require.NoError(t, err)
		second, err := Run(name, Env{Seed: 7})
		require.NoError(t, err)
		a, err := json.Marshal(first)
		require.NoError(t, err)
		b, err := json.Marshal(second)
		require.NoError(t, err)
		require.Equal(t, string(a), string(b))
	}
}
