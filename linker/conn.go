package linker

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// HeartbeatInterval is the interval at which an empty frame is sent as a
	// heartbeat. It is the longest time between two frames on a healthy connection.
	HeartbeatInterval = 150 * time.Millisecond
	// HeartbeatTimeout is the time after which a connection is closed if no byte was
	// received.
	HeartbeatTimeout = 600 * time.Millisecond
	// writeTimeout is the longest time that a write of up to writeBufferSize may take. It
	// only bounds how long a peer that sends may fail to receive: the connection to one
	// that is gone ends after HeartbeatTimeout.
	writeTimeout    = 5 * time.Second
	writeBufferSize = 32 << 10
	// socketBufferSize limits the data that waits in the operating system, which heartbeats
	// and orders queue behind on a narrow link.
	socketBufferSize = 64 << 10
	// maxFrameDelay is the time after which a frame that was not written ends the connection.
	// Orders that are later than that do more harm than a connection that begins anew, and a
	// link that carries less than is sent makes them later and later.
	maxFrameDelay = 2 * time.Second
	// sendQueueSize is the number of frames buffered for a slow peer. When the
	// buffer is full, the connection is closed.
	sendQueueSize = 1024
)

// Conn is a connection that sends and receives frames encoded with gob.
type Conn struct {
	nc        countedConn
	openedAt  time.Time
	queue     chan queuedFrame
	done      chan struct{}
	closeOnce sync.Once
	frames    atomic.Int64 // received
	confirmed atomic.Int64 // see Confirm
	failure   atomic.Pointer[error]
}

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	*Frame
	since   time.Time
	written chan struct{} // closed when the frame has been written, or nil
}

// Stats describes what a connection has carried.
type Stats struct {
	Age       time.Duration // since the connection was established
	Sent      int64         // bytes written, which the peer need not have received
	Received  int64         // bytes
	Frames    int64         // frames received
	SilentFor time.Duration // since the last byte was received
	Queued    int           // frames that are not written yet
}

// countedConn is a connection that fails if it makes no progress. It counts the bytes that
// it carries.
type countedConn struct {
	net.Conn
	sent, received atomic.Int64
	receivedAt     atomic.Int64 // Unix time of the last byte received, in ns
}

// Read fails if no byte arrives within HeartbeatTimeout.
func (c *countedConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Add(int64(n))
		c.receivedAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write fails if it takes longer than writeTimeout.
func (c *countedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

var (
	errQueueFull = errors.New("linker: send queue full")
	errLate      = errors.New("linker: frames are sent too late")
)

// NewConn returns a Conn on nc and starts its writer goroutine. The caller must
// call Receive, which reads the incoming frames.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{openedAt: time.Now(), queue: make(chan queuedFrame, sendQueueSize), done: make(chan struct{})}
	c.nc.Conn = nc
	c.nc.receivedAt.Store(c.openedAt.UnixNano())
	if tc := tcpConn(nc); tc != nil {
		// A connection with the default size works as well.
		_ = tc.SetWriteBuffer(socketBufferSize)
	}
	go c.writeLoop()
	return c
}

// tcpConn returns the TCP connection that nc is or wraps, or nil.
func tcpConn(nc net.Conn) *net.TCPConn {
	if wrapper, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapper.NetConn()
	}
	tc, _ := nc.(*net.TCPConn)
	return tc
}

// Stats returns what the connection has carried so far.
func (c *Conn) Stats() Stats {
	return Stats{
		Age: time.Since(c.openedAt), Sent: c.nc.sent.Load(), Received: c.nc.received.Load(), Frames: c.frames.Load(),
		SilentFor: time.Since(time.Unix(0, c.nc.receivedAt.Load())), Queued: len(c.queue),
	}
}

// SendErr returns why this side could not send, or nil. A connection that is closed for
// that reason makes Receive fail as well, with an error that doesn't tell the reason.
func (c *Conn) SendErr() error {
	if err := c.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// fail closes the connection because of an error in sending.
func (c *Conn) fail(err error) {
	select {
	case <-c.done:
	default:
		c.failure.CompareAndSwap(nil, &err)
	}
	if tc := tcpConn(c.nc.Conn); tc != nil {
		// What waits to be sent would delay the next connection to the peer.
		_ = tc.SetLinger(0)
	}
	c.Close()
}

// Send queues a frame without blocking. If the send queue is full because the peer
// reads too slowly, the connection is closed.
func (c *Conn) Send(f *Frame) { c.enqueue(queuedFrame{Frame: f, since: time.Now()}) }

// SendWait is like Send, but waits until the frame has been written, which is about when
// the peer has received it. It returns false if the connection was closed before.
func (c *Conn) SendWait(f *Frame) bool {
	written := make(chan struct{})
	c.enqueue(queuedFrame{f, time.Now(), written})
	select {
	case <-written:
		return true
	case <-c.done:
		return false
	}
}

func (c *Conn) enqueue(f queuedFrame) {
	select {
	case c.queue <- f:
	case <-c.done:
	default:
		c.fail(errQueueFull)
	}
}

// Confirm tells the peer, with the next frame or heartbeat, that its frames up to a number
// were processed.
func (c *Conn) Confirm(seq int64) {
	if seq > c.confirmed.Load() {
		c.confirmed.Store(seq)
	}
}

// Receive calls handle for each frame until the connection is closed, and returns
// the reason. A panic in handle is recovered and returned as an error, so that a
// faulty frame closes the connection but does not crash the process.
func (c *Conn) Receive(handle func(*Frame)) (err error) {
	defer c.Close()
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("linker: panic in frame handler: %v\n%s", r, debug.Stack())
		}
	}()
	dec := gob.NewDecoder(bufio.NewReaderSize(&c.nc, 32<<10))
	for {
		f := new(Frame)
		if err := dec.Decode(f); err != nil {
			return fmt.Errorf("linker: decode frame: %w", err)
		}
		c.frames.Add(1)
		handle(f)
	}
}

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}

// writeLoop writes queued frames to the connection, and an empty frame as a
// heartbeat on each tick. It drains the queue before each flush.
func (c *Conn) writeLoop() {
	defer c.Close()
	buf := bufio.NewWriterSize(&c.nc, writeBufferSize)
	enc := gob.NewEncoder(buf)
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	var waiting []chan struct{} // for the next flush
	for {
		var f queuedFrame
		select {
		case f = <-c.queue:
		case <-tick.C:
			f = queuedFrame{Frame: new(Frame), since: time.Now()}
		case <-c.done:
			return
		}
		for f.Frame != nil {
			if time.Since(f.since) > maxFrameDelay {
				c.fail(errLate)
				return
			}
			f.Seen = c.confirmed.Load()
			if err := enc.Encode(f.Frame); err != nil {
				c.fail(fmt.Errorf("linker: encode frame: %w", err))
				return
			}
			if f.written != nil {
				waiting = append(waiting, f.written)
			}
			select {
			case f = <-c.queue:
			default:
				f.Frame = nil
			}
		}
		if err := buf.Flush(); err != nil {
			c.fail(fmt.Errorf("linker: flush frames: %w", err))
			return
		}
		for _, written := range waiting {
			close(written)
		}
		waiting = waiting[:0]
	}
}
