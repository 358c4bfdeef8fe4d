package heartbeater

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// TestRunAndClose guards against a member that runs only when it is driven by a
// test, on the real clock, and against a Close that leaves the others to find
// out by silence or does not end Run.
func TestRunAndClose(t *testing.T) {
	c := newCluster(t, 10, "a")
	runs := map[descriptor.InstanceID]chan error{}
	for i, id := range []descriptor.InstanceID{"a-0", "a-1", "a-2"} {
		n := c.start(id, "a", 1, true)
		cfg := n.h.cfg
		cfg.Clock, cfg.Rand = clockwork.NewRealClock(), rand.New(rand.NewPCG(10, uint64(i)))
		cfg.Interval, cfg.SuspectAfter, cfg.RemoveAfter = 20*time.Millisecond, time.Hour, 2*time.Hour
		n.h = New(cfg)
		n.h.Register(n.server)
		done := make(chan error, 1)
		runs[id] = done
		go func() { done <- n.h.Run(context.Background()) }()
	}
	require.Eventually(t, func() bool {
		for id := range c.members {
			if len(c.sees(id, "a")) != 3 {
				return false
			}
		}
		return true
	}, time.Minute, time.Millisecond)
	require.NoError(t, c.members["a-1"].h.Close())
	require.NoError(t, <-runs["a-1"])
	require.Equal(t, alive("a-0", "a-2"), c.sees("a-0", "a"), "long before the silence of a-1 is noticed")
	for _, id := range []descriptor.InstanceID{"a-0", "a-2"} {
		require.NoError(t, c.members[id].h.Close())
		require.NoError(t, <-runs[id])
	}
}

// stoppedConn is a connection of a process that can be stopped: while it is,
// nothing is read or written.
type stoppedConn struct {
	net.Conn
	running func() <-chan struct{}
}

func (c stoppedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	<-c.running()
	return n, err
}

// stoppingListener accepts stoppedConns.
type stoppingListener struct {
	net.Listener
	running func() <-chan struct{}
}

func (l stoppingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return stoppedConn{conn, l.running}, err
}

// TestStoppedProcess guards against a heartbeat that hangs on a stopped member,
// whose kernel still accepts connections and data, and holds up the others.
func TestStoppedProcess(t *testing.T) {
	c := newCluster(t, 11, "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gate := make(chan struct{})
	s := &messenger.Server{Listener: stoppingListener{l, func() <-chan struct{} { return gate }}}
	messenger.HandleControl(s, methodHeartbeat, func(context.Context, descriptor.InstanceID, *heartbeat) (*heartbeat, error) {
		return &heartbeat{Beat: beat{Incarnation: 1, Sequence: 1}, Record: &record{DataCentre: "a", PeerAddress: l.Addr().String()}}, nil
	})
	done := make(chan error, 1)
	go func() { done <- s.Run(context.Background()) }()
	defer func() {
		close(gate)
		require.NoError(t, s.Close())
		require.NoError(t, <-done)
	}()
	c.listing = append(c.listing, connector.ListedInstance{ID: "a-9", DataCentre: "a", PeerAddress: l.Addr().String()})
	c.start("a-0", "a", 1, true)
	c.start("a-1", "a", 1, true)
	// The calls to a-9 end by their timeout; a step waits for them.
	c.step(3)
	require.Equal(t, alive("a-0", "a-1"), c.sees("a-0", "a"))
	require.Positive(t, c.members["a-0"].pool.ConsecutiveTimeouts(l.Addr().String()))
}
