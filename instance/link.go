package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/masticlead/masticlead/elector"
	"github.com/masticlead/masticlead/executor"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// accept accepts connections from instances.
func (in *Instance) accept(ln net.Listener) {
	for in.ctx.Err() == nil {
		nc, err := ln.Accept()
		if err != nil {
			if in.ctx.Err() == nil {
				in.Log.Warn("could not accept connection from an instance", "error", err)
				in.sleep(retryDelay)
			}
			continue
		}
		in.spawn(func() { in.serveConn(nc) })
	}
}

// serveConn serves a connection from an instance. The first frame in each direction
// identifies its sender, except on a connection that is used for calls to the store only.
func (in *Instance) serveConn(nc net.Conn) {
	m := member{in: in, conn: linker.NewConn(nc)}
	err := m.conn.Receive(m.receive)
	m.abandonAll()
	if l := m.leader(); l != nil {
		l.leave(m.id, m.conn, err)
	}
}

// member is an instance that has connected to this one.
type member struct {
	in   *Instance
	conn *linker.Conn
	id   w.InstanceID // empty before the first frame

	mu     sync.Mutex
	joined *leader                      // nil until the member has joined it
	reads  map[int64]context.CancelFunc // reads from the store that are being made for the member
}

// receive processes a frame. Before the member has joined, only its calls to the store are
// served.
func (m *member) receive(f *linker.Frame) {
	if f.Hello != nil && m.id == "" {
		m.id = f.Hello.Instance
		m.in.spawn(func() { m.join(f.Hello) })
	}
	m.serveCalls(f.Calls)
	m.abandon(f.Abandoned)
	if l := m.leader(); l != nil {
		l.receive(m.id, m.conn, f)
	}
}

// join lets the member join the leader of this instance once it has loaded the cell.
func (m *member) join(hello *linker.Hello) {
	m.in.waitingConns.Add(1)
	l := m.in.awaitLeader(m.conn)
	m.in.waitingConns.Add(-1)
	// What the member sends in reply to the frame is received after it has joined.
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.conn.Done():
		return // serveConn has found no leader to leave
	default:
	}
	m.conn.Send(&linker.Frame{Hello: &linker.Hello{Instance: m.in.id, Zone: m.in.Zone, Strength: m.in.Cores, Leads: l != nil}})
	if l == nil {
		m.in.spawn(func() {
			// Leave time to send the frame before the connection is closed.
			m.in.sleep(linker.HeartbeatInterval)
			m.conn.Close()
		})
		return
	}
	m.joined = l
	l.join(hello, m.conn)
}

// leader returns the leader that the member has joined, or nil.
func (m *member) leader() *leader {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// awaitLeader returns the leader running in this instance, or nil if it doesn't lead.
// While the leader is still loading the cell, the connection is kept waiting, since
// a new connection costs both sides more than many frames.
func (in *Instance) awaitLeader(c *linker.Conn) *leader {
	const period = 20 * time.Millisecond
	for {
		l := in.leader.Load()
		in.electorMu.Lock()
		loading := l == nil && in.elector.Leader().Instance == in.id
		in.electorMu.Unlock()
		if !loading {
			return l
		}
		select {
		case <-c.Done():
			return nil
		case <-in.ctx.Done():
			return nil
		case <-time.After(period):
		}
	}
}

// followLeader keeps a connection to the current leader open. While connections keep
// ending soon, it waits longer and longer, by amounts that differ between the instances.
func (in *Instance) followLeader() {
	for in.ctx.Err() == nil {
		in.electorMu.Lock()
		leadership := in.elector.Leader()
		in.electorMu.Unlock()
		if leadership.Epoch == 0 {
			select {
			case <-in.leaderChanged:
			case <-in.ctx.Done():
			}
			continue
		}
		if leadership.Address == in.LinkAddr && leadership.Instance != in.id {
			in.connLost(leadership, elector.Replaced)
		} else {
			in.connLost(leadership, in.serveLeader(leadership))
		}
		in.electorMu.Lock()
		shortConns := in.elector.ShortConns()
		in.electorMu.Unlock()
		timer := time.NewTimer(reconnectDelay(shortConns, rand.Float64()))
		select {
		case <-timer.C:
		case <-in.leaderChanged:
		case <-in.ctx.Done():
		}
		timer.Stop()
	}
}

// reconnectDelay returns the time before the next connection to the leader after a number
// of connections that ended soon. random is in [0, 1).
func reconnectDelay(shortConns int, random float64) time.Duration {
	const (
		first   = 60 * time.Millisecond
		longest = 1 * time.Second
	)
	if shortConns <= 1 {
		return first
	}
	limit := min(longest, first<<min(shortConns, 5))
	return first + time.Duration(random*float64(limit-first))
}

func (in *Instance) connLost(leadership keeper.Leadership, result elector.ConnResult) {
	in.electorMu.Lock()
	defer in.electorMu.Unlock()
	if in.elector.Leader().Epoch == leadership.Epoch {
		in.elector.SetDisconnected(result, time.Now())
	}
}

// serveLeader connects to a leader and carries out its orders until the connection
// ends. It returns the result of the connection for the elector.
func (in *Instance) serveLeader(leadership keeper.Leadership) elector.ConnResult {
	d := net.Dialer{Timeout: linker.HeartbeatTimeout / 2, KeepAlive: -1}
	nc, err := d.DialContext(in.ctx, "tcp", leadership.Address)
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return elector.NoAnswer
		}
		return elector.Refused
	}
	c := linker.NewConn(nc)
	in.leaderConn.Store(c)
	if in.ctx.Err() != nil {
		// Run may have looked for a connection to close just before this one was
		// stored.
		c.Close()
	}
	e := &executor.Executor{TargetClient: in.TargetClient, StopTimeout: in.bounds.Load().StopTimeout, Log: in.Log, Meter: in.Meter, Send: c.Send}
	e.Run()
	c.Send(&linker.Frame{Hello: &linker.Hello{Instance: in.id, Zone: in.Zone, Strength: in.Cores, Address: in.LinkAddr}})
	result := elector.NoAnswer
	joined := false
	stop := make(chan struct{})
	go in.sendStatus(c, stop)
	err = c.Receive(func(f *linker.Frame) {
		if f.Hello != nil {
			if f.Hello.Instance != leadership.Instance {
				result = elector.Replaced
				c.Close()
				return
			}
			if !f.Hello.Leads {
				return
			}
			joined = true
			in.joinedConn.Store(c)
			in.electorMu.Lock()
			in.elector.SetConnected(time.Now())
			in.electorMu.Unlock()
			in.disconnectedSince.Store(0)
			in.Gateway.Connect(c, leadership.Version)
		}
		in.deliverReplies(f.Replies)
		if !joined {
			return
		}
		if len(f.Peers) > 0 {
			in.learnPeers(f.Peers)
		}
		if f.Retire && !in.draining.Load() {
			in.spawn(func() { in.takeOver(leadership, "the leader requested a handover") })
		}
		in.Gateway.Receive(f)
		e.Receive(f)
	})
	close(stop)
	in.disconnectedSince.CompareAndSwap(0, time.Now().UnixNano())
	in.Gateway.Disconnect(c)
	in.leaderConn.CompareAndSwap(c, nil)
	in.joinedConn.CompareAndSwap(c, nil)
	e.Close()
	in.Log.Info("connection to the leader closed", append([]any{"leader", leadership.Instance, "epoch", leadership.Epoch, "joined", joined}, connAttrs(c, err)...)...)
	return result
}

// connAttrs returns the log attributes of a connection that has ended: why, how old it was
// and what it carried. They tell a silent peer from one whose data is on its way.
func connAttrs(c *linker.Conn, err error) []any {
	s := c.Stats()
	return []any{
		"age", s.Age, "sentBytes", s.Sent, "receivedBytes", s.Received, "frames", s.Frames, "silentFor", s.SilentFor, "queued", s.Queued,
		"sendError", c.SendErr(), "error", err,
	}
}

// sendStatus periodically reports the status of this instance to the leader.
func (in *Instance) sendStatus(c *linker.Conn, stop chan struct{}) {
	const period = 500 * time.Millisecond
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.Send(&linker.Frame{Status: &linker.Status{StoreAge: in.Store.FailingFor(), Leaving: in.draining.Load(), Refusals: in.Gateway.TakeRefusals()}})
		case <-stop:
			return
		}
	}
}
