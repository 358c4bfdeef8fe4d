package messenger

import (
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// PeerClass is the class of a peer in the traffic counters.
type PeerClass uint8

// Peer classes.
const (
	SameDataCentre  PeerClass = iota // sameDataCentre
	OtherDataCentre                  // otherDataCentre
)

// String returns the value of the metrics tag peer.
func (c PeerClass) String() string {
	if c == OtherDataCentre {
		return "otherDataCentre"
	}
	return "sameDataCentre"
}

// Traffic counts the bytes read from and written to connections, by class of the
// peer. TCP and IP headers are not included. A Pool and a Server may share a
// Traffic.
type Traffic struct {
	in, out [2]atomic.Int64
}

// In returns the number of bytes read from peers of the class.
func (t *Traffic) In(c PeerClass) int64 { return t.in[c].Load() }

// Out returns the number of bytes written to peers of the class.
func (t *Traffic) Out(c PeerClass) int64 { return t.out[c].Load() }

// countingConn counts the bytes of a connection. The class of an accepted
// connection is unknown until its first call; setClass then adds the bytes counted
// so far to the class.
type countingConn struct {
	net.Conn
	traffic *Traffic
	scope   tally.Scope

	class                   atomic.Int32 // a PeerClass; -1 if unknown
	unclassifiedIn          atomic.Int64
	unclassifiedOut         atomic.Int64
	inCounters, outCounters [2]tally.Counter
}

func newCountingConn(conn net.Conn, t *Traffic, scope tally.Scope) *countingConn {
	c := &countingConn{Conn: conn, traffic: t, scope: scope}
	for _, class := range []PeerClass{SameDataCentre, OtherDataCentre} {
		tagged := scope.Tagged(map[string]string{"peer": class.String()})
		c.inCounters[class] = tagged.Counter("bytes_in")
		c.outCounters[class] = tagged.Counter("bytes_out")
	}
	c.class.Store(-1)
	return c
}

// setClass sets the class of the peer. Only the first call has an effect.
func (c *countingConn) setClass(class PeerClass) {
	if !c.class.CompareAndSwap(-1, int32(class)) {
		return
	}
	c.addIn(c.unclassifiedIn.Swap(0))
	c.addOut(c.unclassifiedOut.Swap(0))
}

func (c *countingConn) addIn(n int64) {
	class := c.class.Load()
	if class < 0 {
		c.unclassifiedIn.Add(n)
		return
	}
	c.traffic.in[class].Add(n)
	c.inCounters[class].Inc(n)
}

func (c *countingConn) addOut(n int64) {
	class := c.class.Load()
	if class < 0 {
		c.unclassifiedOut.Add(n)
		return
	}
	c.traffic.out[class].Add(n)
	c.outCounters[class].Inc(n)
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.addIn(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.addOut(int64(n))
	return n, err
}
