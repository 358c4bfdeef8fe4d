package reserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clock is a virtual clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time          { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// TestStalledRequestsGiveWay guards against requests that stall and hold the budget, and
// against displacing those that make progress or are whole.
func TestStalledRequestsGiveWay(t *testing.T) {
	c := &clock{now: time.Unix(1, 0)}
	b := &Budget{Bytes: 400_000, Now: c.Now}
	displaced := make(map[string]int)
	reserve := func(name string, n int64) *Reservation { return b.Reserve(n, func() { displaced[name]++ }) }

	slow, stalled, whole := reserve("slow", 100_000), reserve("stalled", 100_000), reserve("whole", 100_000)
	require.True(t, whole.Settle())
	require.Nil(t, reserve("early", 100_000), "nobody has stalled yet")
	small := reserve("small", 5000)
	require.NotNil(t, small, "a share is left to small requests")
	require.True(t, small.Settle())
	stalled.Received(20_000)
	for range 10 {
		c.advance(100 * time.Millisecond)
		slow.Received(minRate / 10)
	}
	next := reserve("next", 80_000)
	require.NotNil(t, next)
	require.Equal(t, map[string]int{"stalled": 1}, displaced)
	require.False(t, stalled.Settle())
	require.False(t, stalled.Grow(1))
	stalled.Close()
	require.Nil(t, reserve("late", 100_000))

	for _, r := range []*Reservation{slow, whole, small, next} {
		r.Close()
	}
	require.Zero(t, b.used)
	require.Empty(t, b.receiving)
}

// TestRequestAloneIsAlwaysAdmitted guards against a limit that refuses a single request.
func TestRequestAloneIsAlwaysAdmitted(t *testing.T) {
	b := &Budget{Bytes: 1000}
	alone := b.Reserve(5000, func() {})
	require.True(t, alone.Grow(5000))
	require.Nil(t, b.Reserve(1, func() {}))
	alone.Shrink(9500)
	require.NotNil(t, b.Reserve(100, func() {}))
}
