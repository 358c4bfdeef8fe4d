package server

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
)

// Limits limits the resources that clients can use.
type Limits struct {
	// BodyBytes and HeaderBytes are the maximum sizes of the body and the header
	// of one request.
	BodyBytes   int64
	HeaderBytes int
	// BufferedBytes is the maximum total size of the bodies being read.
	BufferedBytes int64
	// RequestsInProgress is the maximum number of requests handled at a time.
	RequestsInProgress int
	// Connections is the maximum number of open connections. Further ones wait in
	// the accept queue of the operating system.
	Connections int
	// IOTimeout is the maximum time for a client to send a request, and for it to
	// read the response.
	IOTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
	// DefaultWait is the wait of a submission that specifies none. MaxWait is the
	// longest wait that a caller can request.
	DefaultWait time.Duration
	MaxWait     time.Duration
	// BackendTimeout is the maximum time of calls that wait for no outcome, such
	// as those of operators.
	BackendTimeout time.Duration
	// DrainDelay is the time between the start of a shutdown, when the readiness
	// check begins to fail, and the closing of the listener. It lets load balancers
	// detect the failed check.
	DrainDelay time.Duration
	// ShutdownTimeout is the maximum time to wait for requests in progress after
	// DrainDelay.
	ShutdownTimeout time.Duration
}

// DefaultLimits returns limits for a small instance.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: 256 << 10, HeaderBytes: 16 << 10, BufferedBytes: 32 << 20,
		RequestsInProgress: 4096, Connections: 8192,
		IOTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		DefaultWait: 10 * time.Second, MaxWait: time.Minute, BackendTimeout: 10 * time.Second,
		ShutdownTimeout: 20 * time.Second,
	}
}

// setDefaults replaces limits that are 0 by their defaults, except DrainDelay.
func (l *Limits) setDefaults() {
	defaults := DefaultLimits()
	l.BodyBytes = cmp.Or(l.BodyBytes, defaults.BodyBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaults.HeaderBytes)
	l.BufferedBytes = cmp.Or(l.BufferedBytes, defaults.BufferedBytes)
	l.RequestsInProgress = cmp.Or(l.RequestsInProgress, defaults.RequestsInProgress)
	l.Connections = cmp.Or(l.Connections, defaults.Connections)
	l.IOTimeout = cmp.Or(l.IOTimeout, defaults.IOTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaults.IdleTimeout)
	l.MaxWait = cmp.Or(l.MaxWait, defaults.MaxWait)
	l.DefaultWait = min(cmp.Or(l.DefaultWait, defaults.DefaultWait), l.MaxWait)
	l.BackendTimeout = cmp.Or(l.BackendTimeout, defaults.BackendTimeout)
	l.ShutdownTimeout = cmp.Or(l.ShutdownTimeout, defaults.ShutdownTimeout)
}

// Server serves the HTTP API. Its exported fields must be set before Run or Handler
// is called, and not changed afterwards.
type Server struct {
	Listener net.Listener
	Requests Requests
	Rules    Rules
	Cell     Cell
	Health   Health
	// Metrics serves /metrics; if it is nil, the path is not found.
	Metrics http.Handler
	// Scope receives the metrics; nil disables them.
	Scope tally.Scope
	// Log receives the log; nil disables it.
	Log    *slog.Logger
	Limits Limits
	// Jitter returns a random number in [0, 1) that spreads retries; nil means
	// rand.Float64.
	Jitter func() float64

	initOnce      sync.Once
	handler       http.Handler
	httpServer    *http.Server
	slots         chan struct{}
	bufferedBytes *semaphore.Weighted
	openConns     atomic.Int64
	active        activeRequests
	draining      atomic.Bool
	// waitsCtx is cancelled during a shutdown, to end the waits for outcomes.
	waitsCtx    context.Context
	cancelWaits context.CancelFunc

	closeOnce sync.Once
	closed    chan struct{}
	closeErr  error
}

// init sets the defaults and builds the handlers and the HTTP server once.
func (s *Server) init() {
	s.initOnce.Do(func() {
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		if s.Scope == nil {
			s.Scope = tally.NoopScope
		}
		if s.Jitter == nil {
			s.Jitter = rand.Float64
		}
		s.Limits.setDefaults()
		s.waitsCtx, s.cancelWaits = context.WithCancel(context.Background())
		s.slots = make(chan struct{}, s.Limits.RequestsInProgress)
		s.bufferedBytes = semaphore.NewWeighted(s.Limits.BufferedBytes)
		s.closed = make(chan struct{})
		s.handler = s.routes()
		s.httpServer = &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: s.Limits.IOTimeout,
			ReadTimeout:       s.Limits.IOTimeout,
			IdleTimeout:       s.Limits.IdleTimeout,
			MaxHeaderBytes:    s.Limits.HeaderBytes,
			ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
		}
	})
}

// Handler returns the HTTP handler of the API, for tests without a listener.
func (s *Server) Handler() http.Handler {
	s.init()
	return s.handler
}

// Run serves the listener until ctx ends or Close is called, and then returns the
// result of Close. It returns earlier if the listener fails.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	s.Log.Info("server: listening", "address", s.Listener.Addr().String())
	err := s.httpServer.Serve(newLimitListener(s.Listener, s.Limits.Connections, &s.openConns))
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("server: serve: %w", err)
	}
	<-s.closed
	return s.closeErr
}

// Close makes the readiness check fail, stops listening and waits for the requests
// in progress. If some are still in progress after Limits.ShutdownTimeout, it
// returns an error that lists the oldest of them. A second call waits for the
// first and returns the same result.
func (s *Server) Close() error {
	s.init()
	s.closeOnce.Do(func() {
		s.closeErr = s.shutdown()
		close(s.closed)
	})
	<-s.closed
	return s.closeErr
}

func (s *Server) shutdown() error {
	s.draining.Store(true)
	s.Log.Info("server: draining", "inProgress", s.active.count())
	time.Sleep(s.Limits.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), s.Limits.ShutdownTimeout)
	defer cancel()
	// A waiting caller gets a pending response after three quarters of the
	// timeout, so that it can query another instance.
	timer := time.AfterFunc(s.Limits.ShutdownTimeout*3/4, s.cancelWaits)
	defer timer.Stop()
	err := s.httpServer.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		// Shutdown polls for open connections every 500 ms, so requests that ended
		// since its last poll still count as open. A second call polls once more
		// before it returns.
		err = s.httpServer.Shutdown(ctx)
	}
	if err == nil {
		s.Log.Info("server: closed")
		return nil
	}
	remaining := s.active.oldest()
	_ = s.httpServer.Close()
	s.Log.Error("server: requests still in progress at the shutdown timeout", "count", s.active.count(), "first", remaining)
	return fmt.Errorf("server: %d requests still in progress after %s, oldest %v: %w", s.active.count(), s.Limits.ShutdownTimeout, remaining, err)
}

// routes returns the handler of all paths.
func (s *Server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.NotFoundHandler = s.findingHandler(http.StatusNotFound, "path", "no such path")
	r.MethodNotAllowedHandler = s.findingHandler(http.StatusMethodNotAllowed, "method", "the path does not take this method")
	route := func(method, path string, h http.Handler) { r.Handle(path, h).Methods(method).Name(path) }

	route(http.MethodPost, "/v1/requests", endpoint(s, s.decodeSubmission, s.submit))
	route(http.MethodGet, "/v1/requests/{caller}/{id}", endpoint(s, s.decodeStatus, s.status))
	route(http.MethodDelete, "/v1/requests/{caller}/{id}", endpoint(s, s.decodeKey, s.cancel))

	route(http.MethodGet, "/v1/rules", endpoint(s, decodeNoInput, s.showRules))
	route(http.MethodPut, "/v1/rules", endpoint(s, s.decodeRulesChange, s.applyRules))
	route(http.MethodPost, "/v1/rules/check", endpoint(s, s.decodeRules, s.checkRules))
	route(http.MethodGet, "/v1/rules/history", endpoint(s, decodeHistoryLimit, s.history))
	route(http.MethodGet, "/v1/rules/status", endpoint(s, decodeNoInput, s.rulesStatus))
	route(http.MethodGet, "/v1/instances", endpoint(s, decodeNoInput, s.instances))
	route(http.MethodPost, "/v1/instances/{id}/forget", endpoint(s, decodeInstance, s.forget))
	route(http.MethodGet, "/v1/targets", endpoint(s, decodeNoInput, s.targets))

	r.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet, http.MethodHead)
	if s.Metrics != nil {
		r.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	}
	return s.middleware(r)
}
