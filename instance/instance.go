// Package instance runs one instance of a cell on a platform: it serves callers,
// carries out calls for the coordinator, and takes over the coordination when
// the leader is gone.
package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/elector"
	"github.com/masticlead/masticlead/executor"
	"github.com/masticlead/masticlead/gateway"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/meter"
	w "github.com/masticlead/masticlead/workload"
)

// Directory reads what operators and targets write to the platform's store.
type Directory interface {
	Targets(ctx context.Context) ([]w.Target, error)
	Config(ctx context.Context) (*w.Config, keeper.Version, error)
	ConfigChange(ctx context.Context, after keeper.Version, wait time.Duration) (*w.Config, keeper.Version, error)
}

// Store is the client of the platform's store.
type Store interface {
	// Failing returns the time for which no call of this instance itself was
	// answered, 0 if the last one was.
	Failing() time.Duration
	// Serve makes a call for another instance.
	Serve(ctx context.Context, c *linker.Call) linker.CallReply
	// SetRelay names who makes calls that fail here.
	SetRelay(relay func(ctx context.Context, c *linker.Call) linker.CallReply)
}

// Bounds are the times that the platform states.
type Bounds struct {
	Grace       time.Duration
	StopTimeout time.Duration
	Restore     time.Duration
	MaxLease    time.Duration
	StateKept   time.Duration
}

// Instance is one instance. Its exported fields are set before Run.
type Instance struct {
	Name      string
	Zone      string
	FrontAddr string
	ReadyAddr string
	LinkAddr  string
	Strength  float64 // cores
	Keeper    *keeper.Keeper
	Directory Directory
	Store     Store
	Caller    executor.Client
	Gateway   *gateway.Gateway
	Front     http.Handler
	Log       *slog.Logger
	Meter     *meter.Meter
	// MetricsAddr is where the meter is shown, empty for nowhere.
	MetricsAddr string

	bounds   atomic.Pointer[Bounds]
	id       w.InstanceID
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	leaving  atomic.Bool
	electing sync.Mutex
	elector  elector.Elector
	begun    w.Epoch       // the last epoch in which this instance began to lead
	news     chan struct{} // signals a new leader
	leader   atomic.Pointer[leader]
	link     atomic.Pointer[linker.Conn]
	joined   atomic.Pointer[linker.Conn] // the link once the leader has answered on it
	cutSince atomic.Int64                // Unix time since which there is no connection to the leader, ns; 0 with one

	callsMu sync.Mutex
	calls   map[int64]chan linker.CallReply
	lastID  int64
}

// watchWait is the time that the store may hold back an answer to a watcher.
// It bounds the time for which a silent connection goes unnoticed.
const watchWait = 1 * time.Second

// SetBounds puts bounds in force. It is called before Run, and when the settings
// change.
func (in *Instance) SetBounds(b Bounds) { in.bounds.Store(&b) }

// Run serves until ctx ends, and then drains.
func (in *Instance) Run(ctx context.Context) error {
	in.id = w.InstanceID(fmt.Sprintf("%s-%x", in.Name, time.Now().UnixNano()))
	in.ctx, in.cancel = context.WithCancel(context.Background())
	in.news = make(chan struct{}, 1)
	in.calls = make(map[int64]chan linker.CallReply)
	in.Store.SetRelay(in.relay)
	in.Gateway.RerouteDelay = in.unrouted
	in.Gateway.Init()
	in.elector.Cores = in.Strength
	in.elector.Watch(keeper.Leadership{}, time.Now())
	in.cutSince.Store(time.Now().UnixNano())

	front, err := net.Listen("tcp", in.FrontAddr)
	if err != nil {
		return fmt.Errorf("instance: listen for callers: %w", err)
	}
	ready, err := net.Listen("tcp", in.ReadyAddr)
	if err != nil {
		return fmt.Errorf("instance: listen for readiness: %w", err)
	}
	links, err := net.Listen("tcp", in.LinkAddr)
	if err != nil {
		return fmt.Errorf("instance: listen for instances: %w", err)
	}
	in.Log.Info("instance started", "instance", in.id, "zone", in.Zone)
	srv := &http.Server{Handler: http.HandlerFunc(in.serveFront), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 60 * time.Second}
	readySrv := &http.Server{Handler: http.HandlerFunc(in.readiness), ReadHeaderTimeout: 3 * time.Second}
	in.spawn(func() { in.serve(srv, front) })
	in.spawn(func() { in.serve(readySrv, ready) })
	in.spawn(func() { in.accept(links) })
	var metricsSrv *http.Server
	if in.MetricsAddr != "" && in.Meter != nil {
		metrics, err := net.Listen("tcp", in.MetricsAddr)
		if err != nil {
			return fmt.Errorf("instance: listen for metrics: %w", err)
		}
		mux := http.NewServeMux()
		mux.Handle("/metrics", in.Meter.Handler())
		metricsSrv = &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
		in.spawn(func() { in.serve(metricsSrv, metrics) })
	}
	for _, loop := range []func(){in.watchConfig, in.watchLeader, in.follow, in.campaign} {
		in.spawn(func() { in.repeat(loop) })
	}

	<-ctx.Done()
	in.drain(srv)
	in.cancel()
	_ = links.Close()
	_ = readySrv.Close()
	if metricsSrv != nil {
		_ = metricsSrv.Close()
	}
	if l := in.leader.Load(); l != nil {
		l.stop("instance stops")
	}
	if c := in.link.Load(); c != nil {
		c.Close()
	}
	in.wg.Wait()
	in.Log.Info("instance stopped", "instance", in.id)
	return nil
}

// spawn runs f beside the caller. An unexpected error in it ends only f.
func (in *Instance) spawn(f func()) {
	in.wg.Add(1)
	go func() {
		defer in.wg.Done()
		in.guard(f)
	}()
}

// guard runs f and reports whether it returned without a panic.
func (in *Instance) guard(f func()) (ok bool) {
	defer func() {
		if r := recover(); r != nil {
			in.Meter.Count("panic", "instance")
			in.Log.Error("unexpected error", "instance", in.id, "panic", r, "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}

// repeat runs a loop of the instance again if an unexpected error ended it.
func (in *Instance) repeat(loop func()) {
	for !in.guard(loop) && in.ctx.Err() == nil {
		in.pause(errorPause)
	}
}

func (in *Instance) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		in.Log.Error("server ended", "address", l.Addr().String(), "error", err)
	}
}

// readiness answers whether the instance should get new connections.
func (in *Instance) readiness(rw http.ResponseWriter, _ *http.Request) {
	if in.leaving.Load() || in.Gateway.Config() == nil || in.isolated() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// isolatedAfter is the time without the leader and the store after which an
// instance sends callers elsewhere.
const isolatedAfter = 500 * time.Millisecond

// isolated reports whether the instance reaches neither the leader nor the
// store, so that it can't serve anybody. While only the store is away, other
// instances could do no better.
func (in *Instance) isolated() bool {
	since := in.cutSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > isolatedAfter && in.Store.Failing() > isolatedAfter
}

// unrouted returns the time until the balancer sends callers of an isolated
// instance to others.
func (in *Instance) unrouted() time.Duration {
	if !in.isolated() {
		return 0
	}
	return isolatedAfter + unreadyTime - time.Since(time.Unix(0, in.cutSince.Load()))
}

// serveFront answers callers. An instance that should get no more requests
// closes their connections.
func (in *Instance) serveFront(rw http.ResponseWriter, r *http.Request) {
	if in.isolated() {
		rw.Header().Set("Connection", "close")
	}
	in.Front.ServeHTTP(rw, r)
}

const (
	// unreadyTime is the time after which the balancer sends no new
	// connections to an instance that says it isn't ready.
	unreadyTime = 2200 * time.Millisecond
	// stopReserve is the part of the grace that is left for the end.
	stopReserve = 700 * time.Millisecond
)

// drain hands over what the instance does and lets requests in progress end.
func (in *Instance) drain(srv *http.Server) {
	began := time.Now()
	in.leaving.Store(true)
	in.Log.Info("instance drains", "instance", in.id)
	if c := in.link.Load(); c != nil {
		c.Send(&linker.Frame{Status: &linker.Status{StoreAge: in.Store.Failing(), Leaving: true}})
	}
	end := began.Add(in.bounds.Load().Grace - stopReserve)
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		if l := in.leader.Load(); l != nil {
			l.resign(end)
		}
	}()
	time.Sleep(unreadyTime)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	defer func() { <-resigned }()
	if err := srv.Shutdown(ctx); err != nil {
		in.Log.Warn("requests cut at the end of the grace", "error", err)
	}
}

// watchConfig puts each new configuration in force.
func (in *Instance) watchConfig() {
	var after keeper.Version
	known := false
	for in.ctx.Err() == nil {
		var cfg *w.Config
		var err error
		if known {
			cfg, after, err = in.Directory.ConfigChange(in.ctx, after, watchWait)
		} else {
			cfg, after, err = in.Directory.Config(in.ctx)
			known = err == nil
		}
		if err != nil {
			if errors.Is(err, keeper.ErrHistoryTruncated) {
				known = false
			}
			in.pause(errorPause)
			continue
		}
		if cfg == nil {
			if in.Gateway.Config() == nil {
				in.pause(errorPause)
			}
			continue
		}
		if in.Gateway.Configure(cfg) {
			in.Log.Info("configuration in force", "version", cfg.Version, "queues", len(cfg.Queues))
			if l := in.leader.Load(); l != nil {
				l.configure(cfg)
			}
		}
	}
}

// errorPause is the time between two attempts at a store that fails.
const errorPause = 100 * time.Millisecond

func (in *Instance) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-in.ctx.Done():
	}
}
