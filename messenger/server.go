package messenger

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/descriptor"
)

// Server answers calls of other instances. Exported fields are set before Run;
// those left at zero get the defaults named there.
type Server struct {
	Listener net.Listener
	Log      *slog.Logger
	Scope    tally.Scope
	// Traffic counts bytes; nil means a counter of its own.
	Traffic *Traffic
	// ClassOf returns the class of a peer; nil means that all peers are in the
	// same data centre.
	ClassOf func(from descriptor.InstanceID) PeerClass

	// MaxConns bounds the connections; 1024 by default, which leaves each of
	// 270 instances some room for reconnecting.
	MaxConns int
	// MaxPerConn bounds the calls in progress of one connection; 128 by default.
	MaxPerConn int
	// MaxCalls bounds the calls in progress of all connections; 2048 by default.
	MaxCalls int
	// MaxControl bounds the control calls in progress of one connection, which
	// count towards no other bound; 32 by default.
	MaxControl int
	// MaxBytes bounds the parameters of all calls in progress; 32 MiB by
	// default, an eighth of the memory that an instance may use.
	MaxBytes int64
	// MaxTimeout bounds the time of a call, whatever the caller asks for; one
	// minute by default.
	MaxTimeout time.Duration
	// WriteTimeout bounds the write of a reply; DefaultWriteTimeout by default.
	WriteTimeout time.Duration
	// MaxPause is the longest time for which this process may have been paused
	// and still carry out the calls that arrived meanwhile; 1.2 s by default,
	// as a member that is silent for so long is suspected.
	MaxPause time.Duration
	// DrainTimeout is how long Close waits for calls in progress before it
	// cancels them; 5 s by default.
	DrainTimeout time.Duration

	once     sync.Once
	mu       sync.Mutex
	handlers map[Method]handler
	conns    map[*serverConn]struct{}
	closing  bool
	accept   sync.WaitGroup // the accept loop
	calls    sync.WaitGroup // handlers in progress
	active   atomic.Int64
	bytes    atomic.Int64
	base     context.Context
	cancel   context.CancelFunc
	watch    *pauseWatch
	watching sync.WaitGroup
}

// handler is a registered method.
type handler struct {
	control bool
	run     func(ctx context.Context, from descriptor.InstanceID, params []byte) (any, error)
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// init fills the fields that were left at zero.
func (s *Server) init() {
	s.once.Do(func() {
		s.Log = orDefault(s.Log, slog.Default())
		s.Scope = orDefault(s.Scope, tally.NoopScope)
		s.Traffic = orDefault(s.Traffic, &Traffic{})
		s.MaxConns = orDefault(s.MaxConns, 1024)
		s.MaxPerConn = orDefault(s.MaxPerConn, 128)
		s.MaxCalls = orDefault(s.MaxCalls, 2048)
		s.MaxControl = orDefault(s.MaxControl, 32)
		s.MaxBytes = orDefault(s.MaxBytes, 32<<20)
		s.MaxTimeout = orDefault(s.MaxTimeout, time.Minute)
		s.WriteTimeout = orDefault(s.WriteTimeout, DefaultWriteTimeout)
		s.MaxPause = orDefault(s.MaxPause, 1200*time.Millisecond)
		s.DrainTimeout = orDefault(s.DrainTimeout, 5*time.Second)
		s.conns = map[*serverConn]struct{}{}
		s.base, s.cancel = context.WithCancel(context.Background())
		s.watch = newPauseWatch(s.MaxPause, s.resumed)
	})
}

// Run accepts connections until the context ends or Close is called.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil
	}
	s.accept.Add(1)
	s.watch.reset() // the time before Run is no pause
	s.watching.Go(func() { s.watch.run(s.base.Done()) })
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	err := s.acceptLoop()
	s.accept.Done()
	if ctx.Err() != nil {
		return s.Close()
	}
	return err
}

// acceptLoop accepts connections until the listener is closed. Other errors,
// such as too many open files, are retried, as they concern one connection.
func (s *Server) acceptLoop() error {
	const pause = 50 * time.Millisecond
	for {
		conn, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Scope.Counter("accept_errors").Inc(1)
			s.Log.Warn("messenger: accept failed; trying again", "error", err)
			time.Sleep(pause)
			continue
		}
		s.serve(conn)
	}
}

// serve starts a connection, or closes it if there are too many.
func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.conns) >= s.MaxConns {
		s.Scope.Counter("conns_refused").Inc(1)
		conn.Close()
		return
	}
	counted := newCountedConn(conn, s.Traffic, s.Scope)
	c := &serverConn{
		server: s, counted: counted,
		normal:  make(chan struct{}, s.MaxPerConn),
		control: make(chan struct{}, s.MaxControl),
	}
	s.conns[c] = struct{}{}
	stream := newFrameStream(counted, s.WriteTimeout, DefaultFrameTimeout)
	c.rpc = jsonrpc2.NewConn(s.base, stream, c, jsonrpc2.SetLogger(rpcLogger{s.Log, s.Scope}))
	go func() {
		<-c.rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Close stops accepting calls, waits for those in progress up to DrainTimeout,
// cancels the rest and closes the connections.
func (s *Server) Close() error {
	s.init()
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.Listener.Close()
	s.accept.Wait()

	drained := make(chan struct{})
	go func() { s.calls.Wait(); close(drained) }()
	timer := time.NewTimer(s.DrainTimeout)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
		s.Log.Warn("messenger: calls still in progress at the end of the drain time; cancelling them",
			"calls", s.active.Load())
	}
	s.cancel()
	<-drained
	s.watching.Wait()
	s.closeConns()
	return nil
}

// closeConns closes all connections. Calls that are read from them after it has
// begun are not carried out.
func (s *Server) closeConns() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		c.stale.Store(true)
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.rpc.Close()
	}
}

// resumed drops the calls that arrived while this process was paused.
func (s *Server) resumed(gap time.Duration) {
	s.Scope.Counter("pauses").Inc(1)
	s.Log.Warn("messenger: process was paused; dropping the calls that arrived meanwhile", "pause", gap)
	s.closeConns()
}

// rpcLogger passes protocol errors of jsonrpc2 on to the log.
type rpcLogger struct {
	log   *slog.Logger
	scope tally.Scope
}

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, v ...any) {
	l.scope.Counter("protocol_errors").Inc(1)
	l.log.Debug("messenger: connection", "format", format, "values", v)
}
