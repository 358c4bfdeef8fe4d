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

// middleware wraps all handlers. It asks clients to close their connections while
// the server drains or has more than three quarters of its connections open, and
// converts a panic into an error response.
func (s *Server) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// This deadline applies to handlers that set none before they write, such
		// as the metrics handler. Endpoints set a new one after their wait.
		s.setWriteDeadline(w)
		// Idle connections stay open until the listener is closed. Closing them
		// earlier would race with a request that a client is about to send.
		if s.draining.Load() || s.openConns.Load() > int64(s.Limits.Connections)*3/4 {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			if recovered := recover(); recovered != nil {
				if recovered == http.ErrAbortHandler {
					panic(recovered)
				}
				s.Log.Error("server: handler panicked", "path", r.URL.Path, "error", recovered, "stack", string(debug.Stack()))
				s.Scope.Counter("panics").Inc(1)
				s.writeError(newCall(w, r), fmt.Errorf("internal error"))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// setWriteDeadline gives the client Limits.IOTimeout to read a response.
func (s *Server) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Limits.IOTimeout))
}

// activeRequests is the set of requests in progress.
type activeRequests struct {
	mu           sync.Mutex
	nextKey      uint64
	descriptions map[uint64]string
}

// add adds a request, which stays in the set until the returned function is called.
func (a *activeRequests) add(id, operation string) func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.descriptions == nil {
		a.descriptions = make(map[uint64]string)
	}
	key := a.nextKey
	a.nextKey++
	a.descriptions[key] = operation + " " + id
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.descriptions, key)
	}
}

func (a *activeRequests) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.descriptions)
}

// oldest returns up to 20 of the requests, in the order of their arrival.
func (a *activeRequests) oldest() []string {
	const maxListed = 20
	a.mu.Lock()
	defer a.mu.Unlock()
	keys := make([]uint64, 0, len(a.descriptions))
	for key := range a.descriptions {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	list := make([]string, 0, maxListed)
	for _, key := range keys[:min(maxListed, len(keys))] {
		list = append(list, a.descriptions[key])
	}
	return list
}

// limitListener accepts a connection only while fewer than the limit are open.
type limitListener struct {
	net.Listener
	slots     chan struct{}
	openConns *atomic.Int64
	closeOnce sync.Once
	closed    chan struct{}
}

func newLimitListener(l net.Listener, limit int, openConns *atomic.Int64) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, limit), openConns: openConns, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
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
	l.openConns.Add(1)
	return &limitConn{Conn: conn, release: sync.OnceFunc(func() {
		l.openConns.Add(-1)
		<-l.slots
	})}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn releases its slot when it is closed.
type limitConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
