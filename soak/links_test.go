package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

// linkFault is a fault of the connections that one instance opens to another. The first
// of two values holds for what the opening side sends, the second for what it receives.
type linkFault struct {
	delay   [2]time.Duration // of each piece of data, which it reaches gradually
	growth  float64          // delay that is reached per second; 0 stands for delayGrowth
	stalled [2]bool          // nothing is delivered until the end of the fault
	rate    [2]int           // bytes per second, 0 for no limit
}

// link is a TCP proxy for the connections that one instance opens to another.
type link struct {
	to       string
	listener net.Listener
	mu       sync.Mutex
	fault    linkFault
	since    time.Time // start of the fault
	conns    map[net.Conn]bool
}

func (l *link) setFault(f linkFault) {
	l.mu.Lock()
	if l.fault.delay != f.delay {
		l.since = time.Now()
	}
	l.fault = f
	l.mu.Unlock()
}

// reset closes the current connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) run() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(from)
	}
}

// linkBufferSize bounds what waits in the proxy's sockets, as routers hold little.
const linkBufferSize = 32 << 10

func (l *link) forward(from net.Conn) {
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = from.Close()
		return
	}
	pair := [2]net.Conn{from, to}
	l.mu.Lock()
	for _, c := range pair {
		// Connections with buffers of the default size work as well.
		_ = c.(*net.TCPConn).SetReadBuffer(linkBufferSize)
		_ = c.(*net.TCPConn).SetWriteBuffer(linkBufferSize)
		l.conns[c] = true
	}
	l.mu.Unlock()
	var wg sync.WaitGroup
	for direction := range pair {
		wg.Go(func() { l.pump(direction, pair[direction], pair[1-direction]) })
	}
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// packet is data that waits to be delivered, or the end of a connection if it is empty.
type packet struct {
	data []byte
	due  time.Time
}

// maxQueuedPackets bounds the data that waits in a link, in packets of up to 1 KB.
const maxQueuedPackets = 256

// pump delivers the data of one direction, and then the end of the connection, which
// waits behind the data.
func (l *link) pump(direction int, src io.Reader, dst io.WriteCloser) {
	queue := make(chan packet, maxQueuedPackets)
	go func() {
		defer close(queue)
		due := time.Now()
		for {
			buf := make([]byte, 1<<10)
			n, err := src.Read(buf)
			now := time.Now()
			due = l.dueTime(direction, n, now, due)
			if err != nil {
				queue <- packet{nil, due}
				return
			}
			queue <- packet{buf[:n], due}
		}
	}()
	for p := range queue {
		time.Sleep(time.Until(p.due))
		for l.stalls(direction) {
			time.Sleep(5 * time.Millisecond)
		}
		if p.data == nil {
			_ = dst.Close()
			continue
		}
		// The reader notices a closed connection as well.
		_, _ = dst.Write(p.data)
	}
}

// delayGrowth is the delay that a link reaches per second, unless its fault sets another.
const delayGrowth = 0.5

// dueTime returns when data that was read now is delivered, after earlier data.
func (l *link) dueTime(direction, n int, now, earlier time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := &l.fault
	growth := cmp.Or(f.growth, delayGrowth)
	due := now.Add(min(f.delay[direction], time.Duration(growth*float64(now.Sub(l.since)))))
	if due.Before(earlier) {
		due = earlier
	}
	if f.rate[direction] > 0 {
		due = due.Add(time.Duration(n) * time.Second / time.Duration(f.rate[direction]))
	}
	return due
}

func (l *link) stalls(direction int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault.stalled[direction]
}

// links are the links between all instances, by the opening and the accepting one.
type links [][]*link

// newLinks starts links and stores in storeAddrs the address of a store for each instance
// that shows it the links in place of the addresses of the other instances.
func newLinks(t *testing.T, sim *standin.Platform, count int) (all links, storeAddrs []string) {
	t.Helper()
	for i := range count {
		var row []*link
		for j := range count {
			listener, err := net.Listen("tcp", standin.FreeAddr())
			require.NoError(t, err)
			l := &link{to: linkAddr(j, count), listener: listener, conns: make(map[net.Conn]bool)}
			go l.run()
			t.Cleanup(func() {
				_ = listener.Close()
				l.setFault(linkFault{})
				l.reset()
			})
			row = append(row, l)
		}
		all = append(all, row)
		addr, err := sim.Serve(sim.Store.View(func(value []byte) []byte {
			for j, l := range row {
				if j != i {
					value = bytes.ReplaceAll(value, []byte(`"`+l.to+`"`), []byte(`"`+l.listener.Addr().String()+`"`))
				}
			}
			return value
		}))
		require.NoError(t, err)
		storeAddrs = append(storeAddrs, addr)
	}
	return all, storeAddrs
}

// disturb makes the links of some instances faulty until end is called. With lateOnly, all
// data is delivered in the end, but late.
func (l links) disturb(rng *rand.Rand, lateOnly bool) (what string, end func()) {
	var chosen []*link
	i := rng.IntN(len(l))
	for j := range l {
		chosen = append(chosen, l[j][i], l[i][j])
	}
	if rng.IntN(3) == 0 {
		// Those of another instance, too.
		k := rng.IntN(len(l))
		for j := range l {
			chosen = append(chosen, l[j][k], l[k][j])
		}
	}
	var f linkFault
	direction := rng.IntN(2)
	kinds := 5
	if lateOnly {
		kinds = 2
	}
	switch rng.IntN(kinds) {
	case 0:
		what = "narrow"
		f.rate[direction] = 1000 << rng.IntN(6)
	case 1:
		what = "delayed"
		f.delay[direction] = time.Duration(50+rng.IntN(4000)) * time.Millisecond
	case 2:
		what = "stalled one way"
		f.stalled[direction] = true
	case 3:
		what = "stalled"
		f.stalled = [2]bool{true, true}
	case 4:
		what = "reset"
	}
	what = fmt.Sprintf("of n%d %s in direction %d, %v", i, what, direction, f)
	for _, x := range chosen {
		x.setFault(f)
		if f == (linkFault{}) {
			x.reset()
		}
	}
	return what, func() {
		for _, x := range chosen {
			x.setFault(linkFault{})
		}
	}
}
