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

// Server executes calls of other instances. Exported fields must be set before
// Run is called. Zero fields get the defaults stated at each field.
type Server struct {
	Listener net.Listener
	Log      *slog.Logger
	Scope    tally.Scope
	// Traffic counts bytes; if nil, the server creates its own.
	Traffic *Traffic
	// ClassOf returns the class of a peer; if nil, all peers are SameDataCentre.
	ClassOf func(from descriptor.InstanceID) PeerClass

	// MaxConns is the maximum number of connections; 1024 by default, which
	// leaves each of 270 instances a reserve for reconnects.
	MaxConns int
	// MaxCallsPerConn is the maximum number of calls in progress on one
	// connection; 128 by default.
	MaxCallsPerConn int
	// MaxCalls is the maximum number of calls in progress on all connections;
	// 2048 by default.
	MaxCalls int
	// MaxControlCallsPerConn is the maximum number of control calls in progress
	// on one connection, which count towards no other limit; 32 by default.
	MaxControlCallsPerConn int
	// MaxBytes is the maximum total size of the parameters of all calls in
	// progress; 32 MiB by default, an eighth of the memory that an instance may
	// use.
	MaxBytes int64
	// MaxTimeout is the maximum timeout of a call, regardless of the deadline that
	// the caller requests; one minute by default.
	MaxTimeout time.Duration
	// WriteTimeout is the time limit for writing a reply; DefaultWriteTimeout by
	// default.
	WriteTimeout time.Duration
	// MaxPause is the longest pause of this process after which calls that
	// arrived during the pause are still executed; 1.2 s by default, as a member
	// that sends nothing for this long is suspected.
	MaxPause time.Duration
	// DrainTimeout is the time that Close waits for calls in progress before it
	// cancels them; 5 s by default.
	DrainTimeout time.Duration

	once          sync.Once
	mu            sync.Mutex
	handlers      map[Method]handler
	conns         map[*serverConn]struct{}
	closing       bool
	acceptWG      sync.WaitGroup // acceptLoop
	callsWG       sync.WaitGroup // handlers in progress, including control calls
	activeCalls   atomic.Int64   // calls in progress, without control calls
	activeBytes   atomic.Int64   // size of their parameters
	baseCtx       context.Context
	cancel        context.CancelFunc
	pauseDetector *pauseDetector
	detectorWG    sync.WaitGroup // pauseDetector.run
}

// handler is the implementation of a registered method.
type handler struct {
	control bool
	run     func(ctx context.Context, from descriptor.InstanceID, params []byte) (any, error)
}

// orDefault returns v, or d if v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// init sets the defaults of zero fields.
func (s *Server) init() {
	s.once.Do(func() {
		s.Log = orDefault(s.Log, slog.Default())
		s.Scope = orDefault(s.Scope, tally.NoopScope)
		s.Traffic = orDefault(s.Traffic, &Traffic{})
		s.MaxConns = orDefault(s.MaxConns, 1024)
		s.MaxCallsPerConn = orDefault(s.MaxCallsPerConn, 128)
		s.MaxCalls = orDefault(s.MaxCalls, 2048)
		s.MaxControlCallsPerConn = orDefault(s.MaxControlCallsPerConn, 32)
		s.MaxBytes = orDefault(s.MaxBytes, 32<<20)
		s.MaxTimeout = orDefault(s.MaxTimeout, time.Minute)
		s.WriteTimeout = orDefault(s.WriteTimeout, DefaultWriteTimeout)
		s.MaxPause = orDefault(s.MaxPause, 1200*time.Millisecond)
		s.DrainTimeout = orDefault(s.DrainTimeout, 5*time.Second)
		s.conns = map[*serverConn]struct{}{}
		s.baseCtx, s.cancel = context.WithCancel(context.Background())
		s.pauseDetector = newPauseDetector(s.MaxPause, s.handlePause)
	})
}

// Run accepts connections until ctx is done or Close is called.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return nil
	}
	s.acceptWG.Add(1)
	s.pauseDetector.reset() // the time before Run does not count as a pause
	s.detectorWG.Go(func() { s.pauseDetector.run(s.baseCtx.Done()) })
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	err := s.acceptLoop()
	s.acceptWG.Done()
	if ctx.Err() != nil {
		return s.Close()
	}
	return err
}

// acceptLoop accepts connections until the listener is closed. It retries after
// other errors, such as too many open files, as these concern single connections.
func (s *Server) acceptLoop() error {
	const retryDelay = 50 * time.Millisecond
	for {
		conn, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Scope.Counter("accept_errors").Inc(1)
			s.Log.Warn("messenger: accept failed; retrying", "error", err)
			time.Sleep(retryDelay)
			continue
		}
		s.serve(conn)
	}
}

// serve starts serving a connection. It closes the connection if the server is
// closing or MaxConns is reached.
func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.conns) >= s.MaxConns {
		s.Scope.Counter("conns_refused").Inc(1)
		conn.Close()
		return
	}
	counted := newCountingConn(conn, s.Traffic, s.Scope)
	c := &serverConn{
		server: s, conn: counted,
		normalSlots:  make(chan struct{}, s.MaxCallsPerConn),
		controlSlots: make(chan struct{}, s.MaxControlCallsPerConn),
	}
	s.conns[c] = struct{}{}
	stream := newFrameStream(counted, s.WriteTimeout, DefaultFrameTimeout)
	c.rpc = jsonrpc2.NewConn(s.baseCtx, stream, c, jsonrpc2.SetLogger(rpcLogger{s.Log, s.Scope}))
	go func() {
		<-c.rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Close stops accepting calls, waits up to DrainTimeout for those in progress,
// cancels the remaining ones and closes the connections.
func (s *Server) Close() error {
	s.init()
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.Listener.Close()
	s.acceptWG.Wait()

	drained := make(chan struct{})
	go func() { s.callsWG.Wait(); close(drained) }()
	timer := time.NewTimer(s.DrainTimeout)
	defer timer.Stop()
	select {
	case <-drained:
	case <-timer.C:
		s.Log.Warn("messenger: drain timeout expired; cancelling calls in progress",
			"calls", s.activeCalls.Load())
	}
	s.cancel()
	<-drained
	s.detectorWG.Wait()
	s.closeConns()
	return nil
}

// closeConns closes all connections. Calls that are read from them afterwards are
// not executed.
func (s *Server) closeConns() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		c.closed.Store(true)
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.rpc.Close()
	}
}

// handlePause drops the calls that arrived while this process was paused, by
// closing all connections.
func (s *Server) handlePause(gap time.Duration) {
	s.Scope.Counter("pauses").Inc(1)
	s.Log.Warn("messenger: process was paused; dropping the calls that arrived meanwhile", "pause", gap)
	s.closeConns()
}

// rpcLogger counts and logs the protocol errors that jsonrpc2 reports.
type rpcLogger struct {
	log   *slog.Logger
	scope tally.Scope
}

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, v ...any) {
	l.scope.Counter("protocol_errors").Inc(1)
	l.log.Debug("messenger: jsonrpc2 protocol error", "format", format, "values", v)
}
