package heartbeater

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testInterval = 400 * time.Millisecond

// cluster is a set of members in one process that communicate over loopback TCP.
// They share a fake clock. A step ticks every member that is not paused and waits
// for all calls.
type cluster struct {
	t         testing.TB
	clock     *clockwork.FakeClock
	directory []connector.ListedInstance
	seed      uint64
	dcs       []descriptor.DataCentreID

	mu      sync.Mutex
	members map[descriptor.InstanceID]*node
	byAddr  map[string]descriptor.InstanceID
	blocked func(from, to descriptor.InstanceID) bool
	conns   map[*trackedConn]struct{}
}

// node is one member of a cluster.
type node struct {
	h      *Heartbeater
	server *messenger.Server
	pool   *messenger.Pool
	rules  atomic.Uint64
	queued atomic.Int64
	paused bool
	done   chan error
}

// trackedConn is a connection that setBlocked closes if it is between members whose
// network is blocked.
type trackedConn struct {
	net.Conn
	from, to descriptor.InstanceID
}

func newCluster(t testing.TB, seed uint64, dcs ...descriptor.DataCentreID) *cluster {
	t.Helper()
	return &cluster{
		t: t, clock: clockwork.NewFakeClock(), seed: seed, dcs: dcs,
		members: map[descriptor.InstanceID]*node{}, byAddr: map[string]descriptor.InstanceID{}, conns: map[*trackedConn]struct{}{},
		blocked: func(descriptor.InstanceID, descriptor.InstanceID) bool { return false },
	}
}

// List implements connector.Directory.
func (c *cluster) List(context.Context, descriptor.DataCentreID) (connector.Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connector.Listing{Instances: c.directory}, nil
}

// dial returns a dial function for a member. It fails if the network to the other
// member is blocked.
func (c *cluster) dial(from descriptor.InstanceID) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c.mu.Lock()
		to := c.byAddr[address]
		blocked := c.blocked(from, to)
		c.mu.Unlock()
		if blocked {
			return nil, errors.New("network blocked by the test")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{conn, from, to}
		c.mu.Lock()
		c.conns[tracked] = struct{}{}
		c.mu.Unlock()
		return tracked, nil
	}
}

// setBlocked blocks the network in the given directions and closes the connections
// that were dialled in them.
func (c *cluster) setBlocked(blocked func(from, to descriptor.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = blocked
	for conn := range c.conns {
		if blocked(conn.from, conn.to) {
			conn.Close()
			delete(c.conns, conn)
		}
	}
}

// start starts a member and adds it to the directory if listed is set.
func (c *cluster) start(id descriptor.InstanceID, dc descriptor.DataCentreID, incarnation descriptor.Incarnation, listed bool) *node {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	address := l.Addr().String()
	n := &node{server: &messenger.Server{Listener: l, Traffic: &messenger.Traffic{}}, done: make(chan error, 1)}
	n.pool = &messenger.Pool{
		Self: id, Dial: c.dial(id), Clock: c.clock, BackoffMin: time.Millisecond, BackoffMax: time.Millisecond,
		Traffic: &messenger.Traffic{},
		ClassOf: func(address string) messenger.PeerClass {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.peerClass(id, c.byAddr[address])
		},
	}
	n.server.ClassOf = func(from descriptor.InstanceID) messenger.PeerClass { return c.peerClass(id, from) }
	c.seed++
	n.h = New(Config{
		Clock: c.clock, Rand: rand.New(rand.NewPCG(c.seed, c.seed)),
		Self:        Member{ID: id, Incarnation: incarnation, DataCentre: dc, PeerAddress: address, HTTPAddress: "http-" + string(id)},
		DataCentres: c.dcs, Directory: c, Pool: n.pool,
		LocalStatus: func() (descriptor.RulesVersion, LoadReport) {
			return descriptor.RulesVersion(n.rules.Load()), LoadReport{Queued: int(n.queued.Load()), FreeFraction: 0.25, Running: 7 * int(n.queued.Load()), WaitMs: 11 * n.queued.Load()}
		},
	})
	n.h.Register(n.server)
	go func() { n.done <- n.server.Run(context.Background()) }()
	c.mu.Lock()
	c.members[id] = n
	c.byAddr[address] = id
	if listed {
		c.directory = append(c.directory, connector.ListedInstance{ID: id, DataCentre: dc, PeerAddress: address})
	}
	c.mu.Unlock()
	c.t.Cleanup(func() { c.kill(id) })
	return n
}

// peerClass compares the data centres of two members, which are the prefixes of
// their IDs.
func (c *cluster) peerClass(a, b descriptor.InstanceID) messenger.PeerClass {
	dcA, _, _ := strings.Cut(string(a), "-")
	dcB, _, _ := strings.Cut(string(b), "-")
	if dcA == dcB {
		return messenger.SameDataCentre
	}
	return messenger.OtherDataCentre
}

// kill stops a member without announcing its departure.
func (c *cluster) kill(id descriptor.InstanceID) {
	c.mu.Lock()
	n := c.members[id]
	delete(c.members, id)
	c.mu.Unlock()
	if n == nil {
		return
	}
	n.server.Close()
	<-n.done
	n.pool.Close()
	n.h.cancelBase()
	n.h.wg.Wait()
}

// step advances the clock by the given number of intervals. After each, it ticks
// every member that is not paused and waits until no call is in progress.
func (c *cluster) step(times int) {
	for range times {
		c.clock.Advance(testInterval)
		c.mu.Lock()
		nodes := make([]*node, 0, len(c.members))
		for _, n := range c.members {
			nodes = append(nodes, n)
		}
		c.mu.Unlock()
		for _, n := range nodes {
			if !n.paused {
				n.h.tick()
			}
		}
		c.waitIdle(nodes)
	}
}

// waitIdle waits until no call is in progress. A call may start further calls at its
// receiver, so all members must be idle in several consecutive checks.
func (c *cluster) waitIdle(nodes []*node) {
	for idle := 0; idle < 4; {
		idle++
		for _, n := range nodes {
			if n.h.activeCalls.Load() > 0 {
				idle = 0
			}
		}
		if idle == 0 {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// memberStates returns the states of the members of a data centre in the view of a
// member.
func (c *cluster) memberStates(id descriptor.InstanceID, dc descriptor.DataCentreID) map[descriptor.InstanceID]State {
	got := map[descriptor.InstanceID]State{}
	for _, m := range c.members[id].h.Members(dc) {
		got[m.ID] = m.State
	}
	return got
}

func allAlive(ids ...descriptor.InstanceID) map[descriptor.InstanceID]State {
	want := map[descriptor.InstanceID]State{}
	for _, id := range ids {
		want[id] = Alive
	}
	return want
}

// startAll starts n members in each data centre and checks that they discover each
// other.
func (c *cluster) startAll(n int) map[descriptor.DataCentreID][]descriptor.InstanceID {
	ids := map[descriptor.DataCentreID][]descriptor.InstanceID{}
	for _, dc := range c.dcs {
		for i := range n {
			id := descriptor.InstanceID(fmt.Sprintf("%s-%d", dc, i))
			c.start(id, dc, 1, true)
			ids[dc] = append(ids[dc], id)
		}
	}
	c.step(10)
	for id := range c.members {
		for _, dc := range c.dcs {
			require.Equal(c.t, allAlive(ids[dc]...), c.memberStates(id, dc), "members in the view of %s, data centre %s", id, dc)
		}
	}
	return ids
}
