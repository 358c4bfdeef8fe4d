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
	// Heartbeat is the longest pause between two frames on a connection.
	Heartbeat = 150 * time.Millisecond
	// Silence is the time without a frame after which a connection is closed.
	Silence = 600 * time.Millisecond
	// sendQueue is the number of frames that may wait for a slow peer before
	// the connection is closed.
	sendQueue = 1024
)

// Conn is a connection that carries frames.
type Conn struct {
	nc   net.Conn
	out  chan *Frame
	done chan struct{}
	once sync.Once
}

// NewConn starts the writer of a connection. The caller must call Receive.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{nc: nc, out: make(chan *Frame, sendQueue), done: make(chan struct{})}
	go c.write()
	return c
}

// Send queues a frame. It never blocks: a peer that doesn't read loses its
// connection.
func (c *Conn) Send(f *Frame) {
	select {
	case c.out <- f:
	case <-c.done:
	default:
		c.Close()
	}
}

// Receive calls handle for each frame until the connection ends. A frame that
// handle can't cope with ends the connection, not the process.
func (c *Conn) Receive(handle func(*Frame)) (err error) {
	defer c.Close()
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("linker: handle frame: panic: %v\n%s", r, debug.Stack())
		}
	}()
	dec := gob.NewDecoder(bufio.NewReaderSize(c.nc, 32<<10))
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(Silence)); err != nil {
			return fmt.Errorf("linker: set read deadline: %w", err)
		}
		f := new(Frame)
		if err := dec.Decode(f); err != nil {
			return fmt.Errorf("linker: receive: %w", err)
		}
		handle(f)
	}
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.nc.Close()
	})
}

// write sends the queued frames, and an empty one when nothing was sent for a
// heartbeat.
func (c *Conn) write() {
	defer c.Close()
	buf := bufio.NewWriterSize(c.nc, 32<<10)
	enc := gob.NewEncoder(buf)
	tick := time.NewTicker(Heartbeat)
	defer tick.Stop()
	for {
		var f *Frame
		select {
		case f = <-c.out:
		case <-tick.C:
			f = new(Frame)
		case <-c.done:
			return
		}
		if err := c.nc.SetWriteDeadline(time.Now().Add(Silence)); err != nil {
			return
		}
		for f != nil {
			if err := enc.Encode(f); err != nil {
				return
			}
			select {
			case f = <-c.out:
			default:
				f = nil
			}
		}
		if err := buf.Flush(); err != nil {
			return
		}
	}
}
