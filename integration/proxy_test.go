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

// zone is one end of a path through the network: a data centre, the platform or
// the callers.
type zone string

const (
	platformZone zone = "platform"
	callerZone   zone = "callers"
)

// path is a direction through the network, from the side that dials.
type path struct{ from, to zone }

// fault is what happens on a path. The zero value is a healthy one.
type fault struct {
	// cut refuses new connections and resets the old ones.
	cut bool
	// dropRequests and dropAnswers keep connections open, but nothing arrives in
	// that direction. What was sent arrives after the end of the fault, as TCP sends
	// it again, unless the receiver has closed the connection.
	dropRequests, dropAnswers bool
	// delay is added in each direction.
	delay time.Duration
	// loseAnswers is the number of coming answers on this path that are lost:
	// the request arrives, and the connection is closed instead of the answer.
	loseAnswers int
}

// network forwards all connections between the processes of a test and causes
// faults by the zones of their ends. The zone of a dialling process is known by
// its source address, one loopback address for each zone.
type network struct {
	mu     sync.Mutex
	zones  map[string]zone // by source IP
	faults map[path]*fault
	lost   atomic.Int64 // answers lost so far

	wg        sync.WaitGroup
	listeners []net.Listener
	conns     map[*link]struct{}
}

func newNetwork(t *testing.T) *network {
	n := &network{zones: map[string]zone{}, faults: map[path]*fault{}, conns: map[*link]struct{}{}}
	t.Cleanup(n.close)
	return n
}

// set replaces the fault of a path. A cut resets its open connections.
func (n *network) set(p path, f fault) {
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

// cutBoth cuts two zones off from each other.
func (n *network) cutBoth(a, b zone) {
	n.set(path{a, b}, fault{cut: true})
	n.set(path{b, a}, fault{cut: true})
}

// healBoth ends all faults between two zones.
func (n *network) healBoth(a, b zone) {
	n.set(path{a, b}, fault{})
	n.set(path{b, a}, fault{})
}

func (n *network) get(p path) fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f := n.faults[p]; f != nil {
		return *f
	}
	return fault{}
}

// takeLostAnswer reports whether the coming answer on the path is to be lost.
func (n *network) takeLostAnswer(p path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[p]
	if f == nil || f.loseAnswers == 0 {
		return false
	}
	f.loseAnswers--
	n.lost.Add(1)
	return true
}

// expose listens on a port of its own and forwards to the address, which lies in
// the given zone. It returns the address to dial.
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

func (n *network) zoneOf(c net.Conn) zone {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	n.mu.Lock()
	defer n.mu.Unlock()
	if z, ok := n.zones[host]; ok {
		return z
	}
	return callerZone
}

// link is one forwarded connection.
type link struct {
	n              *network
	path           path
	client, server net.Conn
	once           sync.Once
	closed         chan struct{} // closed by reset
}

// reset closes both ends with a TCP reset.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.closed)
		for _, c := range []net.Conn{l.client, l.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

func (n *network) forward(c net.Conn, to zone, address string) {
	p := path{n.zoneOf(c), to}
	if n.get(p).cut {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp", address)
	if err != nil {
		_ = c.Close()
		return
	}
	l := &link{n: n, path: p, client: c, server: s, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[l] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, l)
		n.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(s, c, true) })
	wg.Go(func() { l.pump(c, s, false) })
	wg.Wait()
	l.reset()
}

// pump copies one direction until the connection ends.
func (l *link) pump(dst, src net.Conn, request bool) {
	buf := make([]byte, 64<<10)
	for {
		k, err := src.Read(buf)
		if k > 0 && !l.deliver(dst, buf[:k], request) {
			l.reset()
			return
		}
		if err == io.EOF {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			l.reset()
			return
		}
	}
}

// deliver applies the faults to one piece of data. It reports false if the
// connection is to be reset.
func (l *link) deliver(dst net.Conn, b []byte, request bool) bool {
	f := l.n.get(l.path)
	if f.delay > 0 {
		time.Sleep(f.delay)
	}
	for (request && f.dropRequests) || (!request && f.dropAnswers) {
		select {
		case <-l.closed:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		f = l.n.get(l.path)
	}
	if !request && f.loseAnswers > 0 && l.n.takeLostAnswer(l.path) {
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
