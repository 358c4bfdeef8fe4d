package linker

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// HeartbeatInterval is the interval at which an empty frame is sent as a
	// heartbeat. It is the longest time between two frames on a healthy connection.
	HeartbeatInterval = 150 * time.Millisecond
	// HeartbeatTimeout is the time after which a connection is closed if no frame
	// was received, or if a write did not complete.
	HeartbeatTimeout = 600 * time.Millisecond
	// sendQueueSize is the number of frames buffered for a slow peer. When the
	// buffer is full, the connection is closed.
	sendQueueSize = 1024
)

// Conn is a connection that sends and receives frames encoded with gob.
type Conn struct {
	nc        net.Conn
	queue     chan *Frame
	done      chan struct{}
	closeOnce sync.Once
}

// NewConn returns a Conn on nc and starts its writer goroutine. The caller must
// call Receive, which reads the incoming frames.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{nc: nc, queue: make(chan *Frame, sendQueueSize), done: make(chan struct{})}
	go c.writeLoop()
	return c
}

// Send queues a frame without blocking. If the send queue is full because the peer
// reads too slowly, the connection is closed.
func (c *Conn) Send(f *Frame) {
	select {
	case c.queue <- f:
	case <-c.done:
	default:
		c.Close()
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
	dec := gob.NewDecoder(bufio.NewReaderSize(c.nc, 32<<10))
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
			return fmt.Errorf("linker: set read deadline: %w", err)
		}
		f := new(Frame)
		if err := dec.Decode(f); err != nil {
			return fmt.Errorf("linker: decode frame: %w", err)
		}
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
	buf := bufio.NewWriterSize(c.nc, 32<<10)
	enc := gob.NewEncoder(buf)
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		var f *Frame
		select {
		case f = <-c.queue:
		case <-tick.C:
			f = new(Frame)
		case <-c.done:
			return
		}
		for f != nil {
			// The deadline applies to each frame, as that of the receiver does.
			if err := c.nc.SetWriteDeadline(time.Now().Add(HeartbeatTimeout)); err != nil {
				return
			}
			if err := enc.Encode(f); err != nil {
				return
			}
			select {
			case f = <-c.queue:
			default:
				f = nil
			}
		}
		if err := buf.Flush(); err != nil {
			return
		}
	}
}
