package reserver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Conns limits the connections of an HTTP server. A connection over the limit takes the
// place of one without a request, or else of one whose request has stalled. If all are in
// use, it is closed. Its exported fields must be set before the server starts.
type Conns struct {
	Max int // 0 means no limit
	// DisplaceStalled closes the connection of a request that has stalled, and reports
	// whether there was one. It may be nil.
	DisplaceStalled func() bool
	// Refused is called with the reason for each connection that is closed. It may be nil.
	Refused func(reason Reason)
	Now     func() time.Time // nil means time.Now

	mu    sync.Mutex
	conns map[net.Conn]*conn
	fresh list.List // without a request so far, longest first
	idle  list.List // between requests, longest first
}

// conn is a connection that counts against the limit.
type conn struct {
	net.Conn
	since   time.Time
	waiting *list.List // nil while a request is in progress
	element *list.Element
}

// Track is the ConnState hook of the server.
func (c *Conns) Track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.add(nc)
	case http.StateActive:
		if e := c.conns[nc]; e != nil {
			e.stopWaiting()
		}
	case http.StateIdle:
		if e := c.conns[nc]; e != nil {
			c.wait(e, &c.idle)
		}
	case http.StateHijacked, http.StateClosed:
		c.remove(nc)
	}
}

// add admits a connection, or closes it if there is no room.
func (c *Conns) add(nc net.Conn) {
	if c.Max > 0 && len(c.conns) >= c.Max && !c.makeRoom() {
		c.close(nc, ReasonAllActive)
		return
	}
	if c.conns == nil {
		c.conns = make(map[net.Conn]*conn)
	}
	e := &conn{Conn: nc}
	c.conns[nc] = e
	c.wait(e, &c.fresh)
}

// makeRoom closes a connection that gives way to another, and reports whether there was one.
func (c *Conns) makeRoom() bool {
	fresh, idle := c.fresh.Front(), c.idle.Front()
	victim := idle
	if fresh != nil && (idle == nil || c.now().Sub(fresh.Value.(*conn).since) > stallTime) {
		victim = fresh
	}
	if victim == nil {
		return c.DisplaceStalled != nil && c.DisplaceStalled()
	}
	e := victim.Value.(*conn)
	c.remove(e.Conn)
	c.close(e.Conn, ReasonWaiting)
	return true
}

func (c *Conns) close(nc net.Conn, reason Reason) {
	// The server notices the closed connection by itself.
	_ = nc.Close()
	if c.Refused != nil {
		c.Refused(reason)
	}
}

func (c *Conns) wait(e *conn, l *list.List) {
	e.stopWaiting()
	e.since, e.waiting = c.now(), l
	e.element = l.PushBack(e)
}

func (e *conn) stopWaiting() {
	if e.waiting != nil {
		e.waiting.Remove(e.element)
		e.waiting = nil
	}
}

func (c *Conns) remove(nc net.Conn) {
	if e := c.conns[nc]; e != nil {
		e.stopWaiting()
		delete(c.conns, nc)
	}
}

func (c *Conns) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}
