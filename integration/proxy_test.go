package integration

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zone is a location in the network under test: a data centre, the platform or the
// callers.
type zone string

const (
	platformZone zone = "platform"
	callerZone   zone = "callers"
)

// path identifies the connections that one zone opens to another.
type path struct{ from, to zone }

// fault describes the faults of a path. The zero value is a healthy path.
type fault struct {
	// cut resets established connections, and new ones as soon as they are accepted.
	cut bool
	// dropRequests and dropResponses keep connections open, but no data arrives in
	// that direction. Since TCP retransmits lost data, it is delivered after the end
	// of the fault, unless the connection has been closed.
	dropRequests, dropResponses bool
	// delay is added to each piece of data, in both directions.
	delay time.Duration
	// loseResponses is the number of subsequent responses on this path that are lost:
	// the request is delivered, but the connection is reset when the response comes.
	loseResponses int
}

// network is a TCP proxy for all connections between the processes of a test. It
// injects the faults that are set for the zones of client and server. It identifies
// the zone of the client by its source address: each zone has its own loopback
// address.
type network struct {
	mu            sync.Mutex
	zoneByIP      map[string]zone
	faults        map[path]*fault
	lostResponses atomic.Int64 // number of responses lost so far

	wg        sync.WaitGroup
	listeners []net.Listener
	conns     map[*proxiedConn]struct{}
}

func newNetwork(t *testing.T) *network {
	n := &network{zoneByIP: map[string]zone{}, faults: map[path]*fault{}, conns: map[*proxiedConn]struct{}{}}
	t.Cleanup(n.close)
	return n
}

// setFault replaces the fault of a path. A cut resets the path's open connections.
func (n *network) setFault(p path, f fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[p] = &f
	if f.cut {
		for l := range n.conns {
			if l.path == p {
				l.reset()
			}
		}
	}
}

// disconnect cuts the paths between two zones in both directions.
func (n *network) disconnect(a, b zone) {
	n.setFault(path{a, b}, fault{cut: true})
	n.setFault(path{b, a}, fault{cut: true})
}

// heal clears all faults between two zones.
func (n *network) heal(a, b zone) {
	n.setFault(path{a, b}, fault{})
	n.setFault(path{b, a}, fault{})
}

// faultOn returns the current fault of a path.
func (n *network) faultOn(p path) fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f := n.faults[p]; f != nil {
		return *f
	}
	return fault{}
}

// consumeResponseLoss reports whether the next response on the path is to be lost. If
// so, it decrements the number of responses left to lose.
func (n *network) consumeResponseLoss(p path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[p]
	if f == nil || f.loseResponses == 0 {
		return false
	}
	f.loseResponses--
	n.lostResponses.Add(1)
	return true
}

// expose forwards connections from a newly opened port to an address in the given
// zone. It returns the proxied address.
func (n *network) expose(t *testing.T, to zone, address string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.forward(c, to, address) })
		}
	})
	return l.Addr().String()
}

// sourceZone returns the zone of the client that opened a connection. Clients with an
// unknown source address are callers.
func (n *network) sourceZone(c net.Conn) zone {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	n.mu.Lock()
	defer n.mu.Unlock()
	if z, ok := n.zoneByIP[host]; ok {
		return z
	}
	return callerZone
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	n              *network
	path           path
	client, server net.Conn
	once           sync.Once
	closed         chan struct{} // closed by reset
}

// reset closes the connections to client and server with a TCP reset.
func (pc *proxiedConn) reset() {
	pc.once.Do(func() {
		close(pc.closed)
		for _, c := range []net.Conn{pc.client, pc.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// forward connects the client connection c to the address and relays data until the
// connection ends.
func (n *network) forward(c net.Conn, to zone, address string) {
	p := path{n.sourceZone(c), to}
	if n.faultOn(p).cut {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", address)
	if err != nil {
		_ = c.Close()
		return
	}
	pc := &proxiedConn{n: n, path: p, client: c, server: s, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[pc] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, pc)
		n.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { pc.relay(s, c, true) })
	wg.Go(func() { pc.relay(c, s, false) })
	wg.Wait()
	pc.reset()
}

// relay copies the data of one direction until the connection ends.
func (pc *proxiedConn) relay(dst, src net.Conn, request bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !pc.deliver(dst, buf[:n], request) {
			pc.reset()
			return
		}
		if err == io.EOF {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			pc.reset()
			return
		}
	}
}

// deliver forwards one piece of data, subject to the faults of the path. It returns
// false if the connection is to be reset.
func (pc *proxiedConn) deliver(dst net.Conn, b []byte, request bool) bool {
	f := pc.n.faultOn(pc.path)
	if f.delay > 0 {
		time.Sleep(f.delay)
	}
	for (request && f.dropRequests) || (!request && f.dropResponses) {
		select {
		case <-pc.closed:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		f = pc.n.faultOn(pc.path)
	}
	if !request && f.loseResponses > 0 && pc.n.consumeResponseLoss(pc.path) {
		return false
	}
	_, err := dst.Write(b)
	return err == nil
}

func (n *network) close() {
	n.mu.Lock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for l := range n.conns {
		l.reset()
	}
	n.mu.Unlock()
	n.wg.Wait()
}
