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

// TestRunAndClose uses the real clock. It guards against a Run that does not tick by
// itself, and against a Close that does not announce the departure or does not end
// Run.
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
			if len(c.memberStates(id, "a")) != 3 {
				return false
			}
		}
		return true
	}, time.Minute, time.Millisecond)
	require.NoError(t, c.members["a-1"].h.Close())
	require.NoError(t, <-runs["a-1"])
	require.Equal(t, allAlive("a-0", "a-2"), c.memberStates("a-0", "a"), "the departure must be known before a-1 is suspected")
	for _, id := range []descriptor.InstanceID{"a-0", "a-2"} {
		require.NoError(t, c.members[id].h.Close())
		require.NoError(t, <-runs[id])
	}
}

// stoppedConn is a connection of a process that can be stopped. While the process is
// stopped, reads do not return, so that no request is processed.
type stoppedConn struct {
	net.Conn
	running func() <-chan struct{}
}

func (c stoppedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	<-c.running()
	return n, err
}

// stoppingListener wraps accepted connections in stoppedConn.
type stoppingListener struct {
	net.Listener
	running func() <-chan struct{}
}

func (l stoppingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return stoppedConn{conn, l.running}, err
}

// TestStoppedProcess guards against a heartbeat to a stopped member, whose kernel
// still accepts connections and data, that does not time out or delays heartbeats to
// other members.
func TestStoppedProcess(t *testing.T) {
	c := newCluster(t, 11, "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	resumed := make(chan struct{})
	s := &messenger.Server{Listener: stoppingListener{l, func() <-chan struct{} { return resumed }}}
	messenger.HandleControl(s, methodHeartbeat, func(context.Context, descriptor.InstanceID, *heartbeat) (*heartbeat, error) {
		return &heartbeat{Beat: beat{Incarnation: 1, Sequence: 1}, Record: &record{DataCentre: "a", PeerAddress: l.Addr().String()}}, nil
	})
	done := make(chan error, 1)
	go func() { done <- s.Run(context.Background()) }()
	defer func() {
		close(resumed)
		require.NoError(t, s.Close())
		require.NoError(t, <-done)
	}()
	c.directory = append(c.directory, connector.ListedInstance{ID: "a-9", DataCentre: "a", PeerAddress: l.Addr().String()})
	c.start("a-0", "a", 1, true)
	c.start("a-1", "a", 1, true)
	// Calls to a-9 end with a timeout, for which step waits.
	c.step(3)
	require.Equal(t, allAlive("a-0", "a-1"), c.memberStates("a-0", "a"))
	require.Positive(t, c.members["a-0"].pool.ConsecutiveTimeouts(l.Addr().String()))
}
