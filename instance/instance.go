// Package instance runs one instance of a cell on the platform. An instance serves
// client requests, carries out the coordinator's orders to targets, and takes over
// as leader when the current leader has failed.
package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
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
	"github.com/masticlead/masticlead/reserver"
	w "github.com/masticlead/masticlead/workload"
)

// Directory reads the configuration and the list of targets from the platform's
// store.
type Directory interface {
	Targets(ctx context.Context) ([]w.Target, error)
	Config(ctx context.Context) (*w.Config, keeper.Version, error)
	ConfigChange(ctx context.Context, after keeper.Version, wait time.Duration) (*w.Config, keeper.Version, error)
}

// Store is a client for the platform's store.
type Store interface {
	// FailingFor returns the time for which direct calls of this instance have
	// failed or got no response, or 0 if they succeed.
	FailingFor() time.Duration
	// Serve calls the store on behalf of another instance.
	Serve(ctx context.Context, c *linker.Call) linker.CallReply
	// SetRelay sets the function that relays calls through the leader while
	// direct calls fail.
	SetRelay(relay func(ctx context.Context, c *linker.Call) linker.CallReply)
	// SetPeerRelay sets the function that relays reads through another instance while
	// neither direct calls nor those through the leader succeed.
	SetPeerRelay(relay func(ctx context.Context, c *linker.Call) linker.CallReply)
}

// ConfigRead reads the configuration over one path to the store.
type ConfigRead struct {
	Via string // name of the path on log lines
	// Read returns the configuration and the version of the store as of the response. It
	// returns nil if the configuration has not changed since the version after, where 0
	// stands for never, or if none is stored.
	Read func(ctx context.Context, after keeper.Version) (*w.Config, keeper.Version, error)
	// Whole is set for a path that is to return the configuration although it has not
	// changed. The store may delay its responses about changes.
	Whole bool
}

// Bounds holds the time limits that the platform prescribes.
type Bounds struct {
	ShutdownGracePeriod time.Duration // time allowed for shutting down
	StopTimeout         time.Duration
	RestoreTime         time.Duration // to start a task from a checkpoint
	MaxLease            time.Duration
	StateRetention      time.Duration // minimum time to keep the states of jobs
	RevokeAfter         time.Duration // time after which no instance accepts a removed API key; 0 if not strict
	ApplyWithin         time.Duration // time within which a configuration must be in force at all instances that can read it; 0 if unlimited
	QuotaExcess         float64       // fraction by which a tenant's runs may exceed its cap
	RemoteFactor        float64       // ratio of a task's run time away from its data to that near it
}

// Instance is one instance of a cell. Its exported fields must be set before Run.
type Instance struct {
	Name      string
	Zone      string
	FrontAddr string  // listen address for client requests
	ReadyAddr string  // listen address for readiness checks
	LinkAddr  string  // listen address for connections from instances
	Cores     float64 // CPU capacity of this instance
	// CheckpointMemory is the memory for the checkpoints of tasks in bytes while this
	// instance leads the cell. Zero means no limit.
	CheckpointMemory int64
	Keeper           *keeper.Keeper
	Directory        Directory
	Store            Store
	// ConfigReads read the configuration over one path to the store each, in the order in
	// which they are tried to confirm that the active configuration is current. If there
	// are none, Directory is used.
	ConfigReads  []ConfigRead
	TargetClient executor.TargetClient
	Gateway      *gateway.Gateway
	Front        http.Handler
	Log          *slog.Logger
	Meter        *meter.Meter
	// MetricsAddr is the listen address of the metrics endpoint. If it is empty,
	// metrics are not served.
	MetricsAddr string
	// MaxClientConns and MaxLinkConns limit the connections of clients and of instances;
	// 0 means no limit.
	MaxClientConns int
	MaxLinkConns   int
	// DisplaceStalled closes the connection of a client whose request has stalled, and
	// reports whether there was one. It may be nil.
	DisplaceStalled func() bool
	// Refusals records the clients that are refused because of these limits. It may be nil.
	Refusals *reserver.Refusals

	bounds            atomic.Pointer[Bounds]
	id                w.InstanceID
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
	draining          atomic.Bool
	electorMu         sync.Mutex
	elector           elector.Elector
	lastLedEpoch      w.Epoch       // last epoch in which this instance started to lead
	leaderChanged     chan struct{} // signals a new leader to followLeader
	leader            atomic.Pointer[leader]
	loading           atomic.Pointer[leader] // the leader of this instance while it loads the cell
	waitingConns      atomic.Int64           // connections of instances that wait for this instance to load the cell
	leaderConn        atomic.Pointer[linker.Conn]
	joinedConn        atomic.Pointer[linker.Conn] // leaderConn after the leader has accepted this instance
	leaderRelays      atomic.Bool                 // the last call that was relayed through the leader got a response
	peers             atomic.Pointer[[]string]    // addresses of other instances that the leader has named last
	peerConn          atomic.Pointer[linker.Conn] // to one of them, see followPeers
	disconnectedSince atomic.Int64                // Unix time in ns since which the leader is not connected, 0 while it is

	transfers configTransfers
	served    servedCalls // for other instances
	// wideReplies orders the wide ones of the replies to other instances.
	wideReplies replySlot

	callsMu      sync.Mutex
	pendingCalls map[int64]*pendingCall
	lastCallID   int64
}

// longPollTimeout is the longest time for which the store may delay its response to a
// watch request. It bounds the time for which a dead connection goes unnoticed.
const longPollTimeout = 1 * time.Second

// SetBounds replaces the time limits. It must be called before Run, and again when
// the settings change.
func (in *Instance) SetBounds(b Bounds) { in.bounds.Store(&b) }

// Run serves until ctx is cancelled, and then drains the instance.
func (in *Instance) Run(ctx context.Context) error {
	in.id = w.InstanceID(fmt.Sprintf("%s-%x", in.Name, time.Now().UnixNano()))
	in.ctx, in.cancel = context.WithCancel(context.Background())
	in.leaderChanged = make(chan struct{}, 1)
	in.pendingCalls = make(map[int64]*pendingCall)
	in.Store.SetRelay(in.relay)
	in.Store.SetPeerRelay(in.relayThroughPeer)
	// The configuration is part of what a leader loads.
	in.transfers.Received = func(bytes int) {
		if l := in.loading.Load(); l != nil {
			l.monitor.Receive(bytes)
		}
	}
	in.Gateway.RerouteDelay = in.rerouteDelay
	in.Gateway.QuotaExcess = func() float64 { return in.bounds.Load().QuotaExcess }
	in.Gateway.Freshness.Bound = func() time.Duration { return in.bounds.Load().RevokeAfter }
	in.Gateway.Freshness.RefusalBound = func() time.Duration { return in.bounds.Load().ApplyWithin }
	if in.Gateway.Freshness.Clock == nil {
		in.Gateway.Freshness.Clock = bootTime
	}
	in.Gateway.Init()
	in.elector.Cores, in.elector.Rand = in.Cores, rand.Float64
	in.elector.Watch(keeper.Leadership{}, time.Now())
	in.disconnectedSince.Store(time.Now().UnixNano())

	front, err := net.Listen("tcp", in.FrontAddr)
	if err != nil {
		return fmt.Errorf("instance: listen for client requests: %w", err)
	}
	ready, err := net.Listen("tcp", in.ReadyAddr)
	if err != nil {
		return fmt.Errorf("instance: listen for readiness checks: %w", err)
	}
	links, err := net.Listen("tcp", in.LinkAddr)
	if err != nil {
		return fmt.Errorf("instance: listen for connections from instances: %w", err)
	}
	in.Log.Info("instance started", "instance", in.id, "zone", in.Zone)
	links = &reserver.Listener{Listener: links, Max: in.MaxLinkConns, Refused: in.Refusals.Note}
	srv := in.newFrontServer()
	readySrv := in.newProbeServer(http.HandlerFunc(in.serveReadiness))
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
		metricsSrv = in.newProbeServer(mux)
		in.spawn(func() { in.serve(metricsSrv, metrics) })
	}
	for _, loop := range []func(){in.watchConfig, in.confirmConfig, in.followPeers, in.reportServedCalls, in.watchLeader, in.followLeader, in.campaign, in.saveEnds} {
		in.spawn(func() { in.restartOnPanic(loop) })
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
		l.stop("instance is shutting down")
	}
	for _, conn := range [...]*linker.Conn{in.leaderConn.Load(), in.peerConn.Load()} {
		if conn != nil {
			conn.Close()
		}
	}
	in.wg.Wait()
	in.Log.Info("instance stopped", "instance", in.id)
	return nil
}

// spawn runs f in a goroutine that Run waits for. A panic in f ends only f.
func (in *Instance) spawn(f func()) {
	in.wg.Add(1)
	go func() {
		defer in.wg.Done()
		in.recoverPanic(f)
	}()
}

// recoverPanic runs f and reports whether it returned without a panic. A panic is
// logged and counted.
func (in *Instance) recoverPanic(f func()) (ok bool) {
	defer func() {
		if r := recover(); r != nil {
			in.Meter.Count("panic", "instance")
			in.Log.Error("unexpected error", "instance", in.id, "panic", r, "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}

// restartOnPanic runs loop, and starts it again whenever it panics.
func (in *Instance) restartOnPanic(loop func()) {
	for !in.recoverPanic(loop) && in.ctx.Err() == nil {
		in.sleep(retryDelay)
	}
}

func (in *Instance) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		in.Log.Error("HTTP server failed", "address", l.Addr().String(), "error", err)
	}
}

// serveReadiness tells the load balancer whether to send new connections to this
// instance.
func (in *Instance) serveReadiness(rw http.ResponseWriter, _ *http.Request) {
	if in.draining.Load() || in.Gateway.Config() == nil || in.isolated() || in.configStale() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// isolationTimeout is the time without contact to the leader and the store after
// which an instance directs clients to other instances.
const isolationTimeout = 500 * time.Millisecond

// isolated reports whether the instance can reach neither the leader nor the store,
// and thus can't serve any request. If only the store is unreachable, the instance
// is not isolated, since other instances could not serve the request either.
func (in *Instance) isolated() bool {
	since := in.disconnectedSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > isolationTimeout && in.Store.FailingFor() > isolationTimeout
}

// rerouteDelay returns the time until the load balancer routes clients of an isolated
// instance to other instances, or 0 if this instance isn't isolated.
func (in *Instance) rerouteDelay() time.Duration {
	if !in.isolated() {
		return 0
	}
	return isolationTimeout + unreadyDelay - time.Since(time.Unix(0, in.disconnectedSince.Load()))
}

// serveFront serves client requests. While the instance is isolated, it closes the
// clients' connections, so that they reconnect to other instances.
func (in *Instance) serveFront(rw http.ResponseWriter, r *http.Request) {
	if in.isolated() {
		rw.Header().Set("Connection", "close")
	}
	in.Front.ServeHTTP(rw, r)
}

const (
	// unreadyDelay is the time after which the load balancer sends no new
	// connections to an instance that reports that it isn't ready.
	unreadyDelay = 2200 * time.Millisecond
	// shutdownReserve is the time at the end of the shutdown grace period that is
	// reserved for the steps after draining.
	shutdownReserve = 700 * time.Millisecond
)

// drain hands the leadership over, if this instance holds it, and waits for client
// requests in progress.
func (in *Instance) drain(srv *http.Server) {
	start := time.Now()
	in.draining.Store(true)
	in.Log.Info("instance drains", "instance", in.id)
	if c := in.leaderConn.Load(); c != nil {
		c.Send(&linker.Frame{Status: &linker.Status{StoreAge: in.Store.FailingFor(), Leaving: true}})
	}
	deadline := start.Add(in.bounds.Load().ShutdownGracePeriod - shutdownReserve)
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		if l := in.leader.Load(); l != nil {
			l.resign(deadline)
		}
	}()
	time.Sleep(unreadyDelay)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	defer func() { <-resigned }()
	if err := srv.Shutdown(ctx); err != nil {
		in.Log.Warn("client requests aborted at the end of the shutdown grace period", "error", err)
	}
}

// saveEnds lets the gateway write ends that no leader has stored: those of its own jobs at
// once, the others periodically. The period varies, so that the instances do not all write
// the same ends at the same time.
func (in *Instance) saveEnds() {
	const period = 600 * time.Millisecond
	for in.ctx.Err() == nil {
		timer := time.NewTimer(period/2 + time.Duration(rand.Float64()*float64(period)))
		select {
		case <-in.Gateway.OwnEnds():
		case <-timer.C:
		case <-in.ctx.Done():
		}
		timer.Stop()
		if err := in.Gateway.SaveUnsavedEnds(in.ctx, time.Now()); err != nil {
			in.Log.Debug("could not save ends", "error", err)
		}
	}
}

// retryDelay is the delay before an operation that failed is attempted again.
const retryDelay = 100 * time.Millisecond

func (in *Instance) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-in.ctx.Done():
	}
}
