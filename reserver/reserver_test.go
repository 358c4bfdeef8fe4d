package reserver

import (
	"net"
	"net/http"
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

	// A client that sends little all the time is behind, too.
	for range 10 {
		c.advance(100 * time.Millisecond)
		slow.Received(minRate / 10)
		next.Received(1)
	}
	require.True(t, b.DisplaceStalled())
	require.False(t, b.DisplaceStalled())
	require.Equal(t, map[string]int{"stalled": 1, "next": 1}, displaced)
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

// fakeConn notes whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// TestWaitingConnectionsGiveWay guards against clients without a request that hold all
// connections, and against closing connections in use.
func TestWaitingConnectionsGiveWay(t *testing.T) {
	c := &clock{now: time.Unix(1, 0)}
	stalled := false
	var reasons []Reason
	conns := &Conns{
		Max: 3, Now: c.Now, DisplaceStalled: func() bool { return stalled },
		Refused: func(r Reason) { reasons = append(reasons, r) },
	}
	open := func(states ...http.ConnState) *fakeConn {
		nc := new(fakeConn)
		conns.Track(nc, http.StateNew)
		for _, s := range states {
			conns.Track(nc, s)
		}
		c.advance(time.Millisecond)
		return nc
	}
	active, idle, fresh := open(http.StateActive), open(http.StateActive, http.StateIdle), open()
	second := open(http.StateActive)
	require.True(t, idle.closed, "a connection that has just been opened is about to be used")
	conns.Track(second, http.StateIdle)
	c.advance(time.Second)
	third := open(http.StateActive)
	require.True(t, fresh.closed)
	require.False(t, second.closed)
	fourth := open(http.StateActive)
	require.True(t, second.closed)
	require.True(t, open().closed, "all connections are in use")
	stalled = true
	require.False(t, open(http.StateActive).closed)
	for _, nc := range []*fakeConn{active, third, fourth} {
		require.False(t, nc.closed)
		conns.Track(nc, http.StateClosed)
	}
	require.Len(t, conns.conns, 1)
	require.Equal(t, []Reason{ReasonWaiting, ReasonWaiting, ReasonWaiting, ReasonAllActive}, reasons)
}

// TestListenerLimit guards against slots that are lost, or returned twice, when connections
// are closed.
func TestListenerLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Listener{Listener: inner, Max: 1}
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- nc
		}
	}()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		return nc
	}
	for range 3 {
		first := dial()
		served := <-accepted
		second := dial()
		_, err := second.Read(make([]byte, 1))
		require.Error(t, err, "the connection over the limit is closed")
		require.NoError(t, served.Close())
		_ = served.Close()
		require.NoError(t, first.Close())
		require.NoError(t, second.Close())
	}
	require.NoError(t, l.Close())
	<-accepted
	require.Zero(t, l.open.Load())
}
