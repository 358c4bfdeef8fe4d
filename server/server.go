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

// Limits bounds what clients can take up.
type Limits struct {
	// BodyBytes bounds the body of one request, HeaderBytes its header.
	BodyBytes   int64
	HeaderBytes int
	// BufferedBytes bounds the bodies that are being read at one time.
	BufferedBytes int64
	// RequestsInProgress bounds the requests that wait for an answer.
	RequestsInProgress int
	// Connections bounds the open connections. Further ones wait in the
	// operating system's queue.
	Connections int
	// Read bounds the time in which a client must send a request, and in which
	// it must take its answer.
	Read time.Duration
	// Idle is how long a connection without a request stays open.
	Idle time.Duration
	// DefaultWait is how long a caller waits that names no time, and MaxWait the
	// longest time that a caller can name.
	DefaultWait time.Duration
	MaxWait     time.Duration
	// Backend bounds the calls that wait for no outcome, such as those of
	// operators.
	Backend time.Duration
	// Drain is the time between the failure of the readiness check and the end
	// of the listener, in which a load balancer can notice it.
	Drain time.Duration
	// Shutdown bounds the wait for requests in progress after that.
	Shutdown time.Duration
}

// DefaultLimits returns the limits of a small instance.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: 256 << 10, HeaderBytes: 16 << 10, BufferedBytes: 32 << 20,
		RequestsInProgress: 4096, Connections: 8192,
		Read: 5 * time.Second, Idle: time.Minute,
		DefaultWait: 10 * time.Second, MaxWait: time.Minute, Backend: 10 * time.Second,
		Shutdown: 20 * time.Second,
	}
}

// fill replaces limits that were left at 0 by the defaults. Drain may be 0.
func (l *Limits) fill() {
	d := DefaultLimits()
	l.BodyBytes = cmp.Or(l.BodyBytes, d.BodyBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, d.HeaderBytes)
	l.BufferedBytes = cmp.Or(l.BufferedBytes, d.BufferedBytes)
	l.RequestsInProgress = cmp.Or(l.RequestsInProgress, d.RequestsInProgress)
	l.Connections = cmp.Or(l.Connections, d.Connections)
	l.Read = cmp.Or(l.Read, d.Read)
	l.Idle = cmp.Or(l.Idle, d.Idle)
	l.MaxWait = cmp.Or(l.MaxWait, d.MaxWait)
	l.DefaultWait = min(cmp.Or(l.DefaultWait, d.DefaultWait), l.MaxWait)
	l.Backend = cmp.Or(l.Backend, d.Backend)
	l.Shutdown = cmp.Or(l.Shutdown, d.Shutdown)
}

// Server serves the HTTP API. Its exported fields are set before Run or Handler
// and not changed afterwards.
type Server struct {
	Listener net.Listener
	Requests Requests
	Rules    Rules
	Cell     Cell
	Health   Health
	// Metrics serves /metrics; without it the path is not found.
	Metrics http.Handler
	// Scope receives the counters; nil means that they are not kept.
	Scope tally.Scope
	// Log is nil for no log.
	Log    *slog.Logger
	Limits Limits
	// Jitter returns a random number in [0, 1) that spreads retries; nil means
	// the global random source.
	Jitter func() float64

	once     sync.Once
	handler  http.Handler
	http     *http.Server
	slots    chan struct{}
	buffered *semaphore.Weighted
	open     atomic.Int64
	active   inProgress
	draining atomic.Bool
	// stopping ends when waits must end for the shutdown.
	stopping context.Context
	stop     context.CancelFunc

	closeOnce sync.Once
	closed    chan struct{}
	closeErr  error
}

// init builds what the handlers share.
func (s *Server) init() {
	s.once.Do(func() {
		if s.Log == nil {
			s.Log = slog.New(slog.DiscardHandler)
		}
		if s.Scope == nil {
			s.Scope = tally.NoopScope
		}
		if s.Jitter == nil {
			s.Jitter = rand.Float64
		}
		s.Limits.fill()
		s.stopping, s.stop = context.WithCancel(context.Background())
		s.slots = make(chan struct{}, s.Limits.RequestsInProgress)
		s.buffered = semaphore.NewWeighted(s.Limits.BufferedBytes)
		s.closed = make(chan struct{})
		s.handler = s.routes()
		s.http = &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: s.Limits.Read,
			ReadTimeout:       s.Limits.Read,
			IdleTimeout:       s.Limits.Idle,
			MaxHeaderBytes:    s.Limits.HeaderBytes,
			ErrorLog:          slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
		}
	})
}

// Handler returns the API without a listener, for tests.
func (s *Server) Handler() http.Handler {
	s.init()
	return s.handler
}

// Run serves the listener until ctx ends or Close is called. It returns after
// the requests in progress have been answered.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	s.Log.Info("server: listening", "address", s.Listener.Addr().String())
	err := s.http.Serve(newBoundedListener(s.Listener, s.Limits.Connections, &s.open))
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("server: serve: %w", err)
	}
	<-s.closed
	return s.closeErr
}

// Close makes the readiness check fail, stops listening and waits for the
// requests in progress. It returns an error that names the requests that were
// still in progress when the limit was reached. A second call waits for the
// first.
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
	time.Sleep(s.Limits.Drain)
	ctx, cancel := context.WithTimeout(context.Background(), s.Limits.Shutdown)
	defer cancel()
	// A caller that waits gets a pending answer shortly before the limit, and
	// asks another instance.
	waits := time.AfterFunc(s.Limits.Shutdown*3/4, s.stop)
	defer waits.Stop()
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		// Shutdown looks for open connections every 500 ms, so requests that
		// ended since its last look still count as open. Called again, it looks
		// once more before it returns.
		err = s.http.Shutdown(ctx)
	}
	if err == nil {
		s.Log.Info("server: closed")
		return nil
	}
	left := s.active.list()
	_ = s.http.Close()
	s.Log.Error("server: requests left at the shutdown limit", "count", s.active.count(), "first", left)
	return fmt.Errorf("server: %d requests left after %s, first %v: %w", s.active.count(), s.Limits.Shutdown, left, err)
}

// routes maps paths to handlers.
func (s *Server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.NotFoundHandler = s.fault(http.StatusNotFound, "path", "no such path")
	r.MethodNotAllowedHandler = s.fault(http.StatusMethodNotAllowed, "method", "the path does not take this method")
	route := func(method, path string, h http.Handler) { r.Handle(path, h).Methods(method).Name(path) }

	route(http.MethodPost, "/v1/requests", endpoint(s, s.decodeSubmission, s.submit))
	route(http.MethodGet, "/v1/requests/{caller}/{id}", endpoint(s, s.decodeStatus, s.status))
	route(http.MethodDelete, "/v1/requests/{caller}/{id}", endpoint(s, s.decodeKey, s.cancel))

	route(http.MethodGet, "/v1/rules", endpoint(s, decodeNothing, s.showRules))
	route(http.MethodPut, "/v1/rules", endpoint(s, s.decodeChange, s.applyRules))
	route(http.MethodPost, "/v1/rules/check", endpoint(s, s.decodeRules, s.checkRules))
	route(http.MethodGet, "/v1/rules/history", endpoint(s, decodeLimit, s.history))
	route(http.MethodGet, "/v1/rules/status", endpoint(s, decodeNothing, s.rulesStatus))
	route(http.MethodGet, "/v1/instances", endpoint(s, decodeNothing, s.instances))
	route(http.MethodPost, "/v1/instances/{id}/forget", endpoint(s, decodeInstance, s.forget))
	route(http.MethodGet, "/v1/targets", endpoint(s, decodeNothing, s.targets))

	r.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet, http.MethodHead)
	if s.Metrics != nil {
		r.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	}
	return s.guard(r)
}
