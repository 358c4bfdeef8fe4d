package messenger

import (
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// PeerClass groups peers for the traffic counters.
type PeerClass uint8

// The classes of peers.
const (
	SameDataCentre  PeerClass = iota // sameDataCentre
	OtherDataCentre                  // otherDataCentre
)

// String returns the class as it appears in metrics.
func (c PeerClass) String() string {
	if c == OtherDataCentre {
		return "otherDataCentre"
	}
	return "sameDataCentre"
}

// Traffic counts bytes on connections, by class of the peer. It counts frames
// as written to and read from TCP, without the headers of TCP and IP. A Pool
// and a Server may share one.
type Traffic struct {
	in, out [2]atomic.Int64
}

// In returns the bytes read from peers of the class.
func (t *Traffic) In(c PeerClass) int64 { return t.in[c].Load() }

// Out returns the bytes written to peers of the class.
func (t *Traffic) Out(c PeerClass) int64 { return t.out[c].Load() }

// countedConn counts the bytes of a connection. The class of an accepted
// connection is not known before its first call; what was counted until then
// moves to the class once it is.
type countedConn struct {
	net.Conn
	traffic *Traffic
	scope   tally.Scope

	class            atomic.Int32 // -1: not known
	earlyIn          atomic.Int64
	earlyOut         atomic.Int64
	inCount, ouCount [2]tally.Counter
}

func newCountedConn(conn net.Conn, t *Traffic, scope tally.Scope) *countedConn {
	c := &countedConn{Conn: conn, traffic: t, scope: scope}
	for _, class := range []PeerClass{SameDataCentre, OtherDataCentre} {
		tagged := scope.Tagged(map[string]string{"peer": class.String()})
		c.inCount[class] = tagged.Counter("bytes_in")
		c.ouCount[class] = tagged.Counter("bytes_out")
	}
	c.class.Store(-1)
	return c
}

// setClass states the class of the peer. Only the first call has an effect.
func (c *countedConn) setClass(class PeerClass) {
	if !c.class.CompareAndSwap(-1, int32(class)) {
		return
	}
	c.addIn(c.earlyIn.Swap(0))
	c.addOut(c.earlyOut.Swap(0))
}

func (c *countedConn) addIn(n int64) {
	class := c.class.Load()
	if class < 0 {
		c.earlyIn.Add(n)
		return
	}
	c.traffic.in[class].Add(n)
	c.inCount[class].Inc(n)
}

func (c *countedConn) addOut(n int64) {
	class := c.class.Load()
	if class < 0 {
		c.earlyOut.Add(n)
		return
	}
	c.traffic.out[class].Add(n)
	c.ouCount[class].Inc(n)
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.addIn(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.addOut(int64(n))
	return n, err
}
