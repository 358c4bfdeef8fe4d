package server

import (
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// guard is around all handlers. It asks clients to close their connections
// while the instance drains or has few connections left, and turns a panic into
// an answer.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Covers handlers that set no limit before they write, such as metrics.
		// The endpoints begin anew after their wait.
		s.limitWrite(w)
		// Idle connections are left open until the listener ends. Closing them
		// earlier would race with a request that a client is about to send.
		if s.draining.Load() || s.open.Load() > int64(s.Limits.Connections)*3/4 {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			if fault := recover(); fault != nil {
				if fault == http.ErrAbortHandler {
					panic(fault)
				}
				s.Log.Error("server: handler panicked", "path", r.URL.Path, "error", fault, "stack", string(debug.Stack()))
				s.Scope.Counter("panics").Inc(1)
				s.writeError(newCall(w, r), fmt.Errorf("internal error"))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// limitWrite gives the client the time of the read limit to take an answer.
func (s *Server) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Limits.Read))
}

// inProgress knows the requests that are being served.
type inProgress struct {
	mu   sync.Mutex
	next uint64
	held map[uint64]string
}

// add records a request until the returned function is called.
func (p *inProgress) add(id, what string) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = make(map[uint64]string)
	}
	n := p.next
	p.next++
	p.held[n] = what + " " + id
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.held, n)
	}
}

func (p *inProgress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// list returns the first requests, in the order of their arrival.
func (p *inProgress) list() []string {
	const most = 20
	p.mu.Lock()
	defer p.mu.Unlock()
	numbers := make([]uint64, 0, len(p.held))
	for n := range p.held {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	out := make([]string, 0, most)
	for _, n := range numbers[:min(most, len(numbers))] {
		out = append(out, p.held[n])
	}
	return out
}

// boundedListener accepts a connection only while fewer than a limit are open.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	open   *atomic.Int64
	once   sync.Once
	closed chan struct{}
}

func newBoundedListener(l net.Listener, limit int, open *atomic.Int64) *boundedListener {
	return &boundedListener{Listener: l, slots: make(chan struct{}, limit), open: open, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	l.open.Add(1)
	return &boundedConn{Conn: conn, release: sync.OnceFunc(func() {
		l.open.Add(-1)
		<-l.slots
	})}, nil
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundedConn gives its slot back when it is closed.
type boundedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
