package reserver

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener closes the connections that it accepts while Max others are open. Its exported
// fields must be set before Accept.
type Listener struct {
	net.Listener
	Max int // 0 means no limit
	// Refused is called with the reason for each connection that is closed. It may be nil.
	Refused func(reason Reason)

	open atomic.Int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.open.Add(1); l.Max <= 0 || n <= int64(l.Max) {
			return &limitedConn{Conn: nc, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = nc.Close()
		if l.Refused != nil {
			l.Refused(ReasonAllActive)
		}
	}
}

// limitedConn counts against the limit of its listener until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// NetConn returns the connection that is limited.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
