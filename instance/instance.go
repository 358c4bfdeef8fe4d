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
	Grace        time.Duration
	StopTimeout  time.Duration
	GangTimeout  time.Duration
	Restore      time.Duration
	MaxLease     time.Duration
	StateKept    time.Duration
	RemoteFactor float64
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
	Caller    executor.Caller
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
	cutSince atomic.Int64 // Unix time since which there is no connection to the leader, ns; 0 with one

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
	in.Gateway.Init()
	in.elector.Strength = in.Strength
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
	in.spawn(in.watchConfig)
	in.spawn(in.watchLeader)
	in.spawn(in.follow)
	in.spawn(in.campaign)

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

func (in *Instance) spawn(f func()) {
	in.wg.Add(1)
	go func() {
		defer in.wg.Done()
		f()
	}()
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

// serveFront answers callers. An instance that should get no more requests
// closes their connections.
func (in *Instance) serveFront(rw http.ResponseWriter, r *http.Request) {
	if in.isolated() {
		rw.Header().Set("Connection", "close")
	}
	in.Front.ServeHTTP(rw, r)
}

// relay asks the leader to make a call to the store.
func (in *Instance) relay(ctx context.Context, call *linker.Call) linker.CallReply {
	c := in.link.Load()
	if c == nil || in.leader.Load() != nil {
		return linker.CallReply{Failed: true, NotDone: true}
	}
	ch := make(chan linker.CallReply, 1)
	in.callsMu.Lock()
	in.lastID++
	id := in.lastID
	in.calls[id] = ch
	in.callsMu.Unlock()
	defer func() {
		in.callsMu.Lock()
		delete(in.calls, id)
		in.callsMu.Unlock()
	}()
	sent := *call
	sent.ID = id
	c.Send(&linker.Frame{Calls: []linker.Call{sent}})
	select {
	case r := <-ch:
		return r
	case <-c.Done():
	case <-ctx.Done():
	}
	return linker.CallReply{Failed: true}
}

// answered hands the replies to relayed calls to those who wait for them.
func (in *Instance) answered(list []linker.CallReply) {
	in.callsMu.Lock()
	defer in.callsMu.Unlock()
	for _, r := range list {
		if ch := in.calls[r.ID]; ch != nil {
			ch <- r
			delete(in.calls, r.ID)
		}
	}
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
			if errors.Is(err, keeper.ErrHistoryLost) {
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

// watchLeader follows the leader row.
func (in *Instance) watchLeader() {
	var after keeper.Version
	known := false
	for in.ctx.Err() == nil {
		if !known {
			lead, err := in.Keeper.Leader(in.ctx)
			if err != nil {
				in.pause(errorPause)
				continue
			}
			known, after = true, lead.Version
			in.learn(lead)
		}
		lead, ver, err := in.Keeper.LeaderChanges(in.ctx, after, watchWait)
		if err != nil {
			known = !errors.Is(err, keeper.ErrHistoryLost)
			in.pause(errorPause)
			continue
		}
		after = ver
		if lead != nil {
			in.learn(*lead)
		}
	}
}

// learn takes note of a leader.
func (in *Instance) learn(lead keeper.Leadership) {
	in.electing.Lock()
	known := in.elector.Leader()
	if lead.Epoch < known.Epoch || lead.Version == known.Version {
		in.electing.Unlock()
		return
	}
	in.elector.Watch(lead, time.Now())
	own := lead.Instance == in.id && lead.Epoch > in.begun
	if own {
		in.begun = lead.Epoch
	}
	in.electing.Unlock()
	in.Log.Info("leader known", "leader", lead.Instance, "epoch", lead.Epoch, "own", lead.Instance == in.id)
	if l := in.leader.Load(); l != nil && l.lead.Epoch < lead.Epoch {
		l.stop("another leader took over")
	}
	if own {
		in.spawn(func() { in.begin(lead) })
	}
	if c := in.link.Load(); c != nil {
		c.Close()
	}
	select {
	case in.news <- struct{}{}:
	default:
	}
}

// campaign takes over when the elector says so.
func (in *Instance) campaign() {
	const period = 120 * time.Millisecond
	var complained time.Time
	for in.ctx.Err() == nil {
		in.pause(period)
		in.electing.Lock()
		wants, lead, complains := in.elector.Wants(), in.elector.Leader(), in.elector.Complains(time.Now())
		in.electing.Unlock()
		if !wants || lead.Version == 0 && lead.Epoch != 0 || in.leaving.Load() || in.leader.Load() != nil {
			continue
		}
		if complains && time.Since(complained) > complaintPeriod {
			complained = time.Now()
			in.spawn(func() {
				if err := in.Keeper.Complain(in.ctx, in.Name, lead.Epoch); err != nil {
					in.Log.Debug("complaint not written", "error", err)
				}
			})
		}
		began := time.Now()
		beat, list, err := in.Keeper.Beats(in.ctx)
		if err != nil {
			continue
		}
		now := time.Now()
		in.electing.Lock()
		in.elector.Observe(beat, in.Keeper.Age(beat), now.Sub(began), list, now)
		why, due := in.elector.Due(now)
		in.electing.Unlock()
		if due {
			in.takeOver(lead, why)
		}
	}
}

// complaintPeriod is the time between two complaints about a leader.
const complaintPeriod = 500 * time.Millisecond

// takeOver makes this instance the leader if no other was faster.
func (in *Instance) takeOver(old keeper.Leadership, why string) {
	lead, err := in.Keeper.TakeOver(in.ctx, old, keeper.Leadership{Instance: in.id, Address: in.LinkAddr, Zone: in.Zone})
	if err == nil {
		in.Log.Info("took over", "epoch", lead.Epoch, "from", old.Instance, "reason", why)
		in.learn(lead)
		return
	}
	in.Log.Info("did not take over", "epoch", old.Epoch, "reason", why, "error", err)
	// Whoever was faster, or this instance if only the answer was lost, is in
	// the row.
	if current, err := in.Keeper.Leader(in.ctx); err == nil {
		in.learn(current)
	}
}

// begin coordinates the cell. The row may name this instance long after it asked
// for it, so whoever learns of it begins.
func (in *Instance) begin(lead keeper.Leadership) {
	l, err := newLeader(in, lead)
	if err != nil {
		in.Log.Error("could not load the cell", "epoch", lead.Epoch, "error", err)
		return
	}
	in.leader.Store(l)
	in.electing.Lock()
	known := in.elector.Leader()
	in.electing.Unlock()
	if known.Epoch > lead.Epoch {
		l.stop("another leader took over")
		return
	}
	in.spawn(l.run)
}

// accept takes connections of instances.
func (in *Instance) accept(ln net.Listener) {
	for in.ctx.Err() == nil {
		nc, err := ln.Accept()
		if err != nil {
			if in.ctx.Err() == nil {
				in.Log.Warn("accept failed", "error", err)
				in.pause(errorPause)
			}
			continue
		}
		in.spawn(func() { in.welcome(nc) })
	}
}

// welcome serves a connection of an instance. The first frame in each direction
// tells who speaks.
func (in *Instance) welcome(nc net.Conn) {
	c := linker.NewConn(nc)
	l := in.leader.Load()
	c.Send(&linker.Frame{Hello: &linker.Hello{Instance: in.id, Zone: in.Zone, Strength: in.Strength, Leads: l != nil}})
	if l == nil {
		// The frame has to leave before the connection ends.
		in.pause(linker.Heartbeat)
		c.Close()
		return
	}
	var peer w.InstanceID
	err := c.Receive(func(f *linker.Frame) {
		if f.Hello != nil {
			peer = f.Hello.Instance
			l.join(f.Hello, c)
		}
		if peer != "" {
			l.receive(peer, f)
		}
	})
	if peer != "" {
		l.leave(peer, c, err)
	}
}

// follow keeps a connection to the leader.
func (in *Instance) follow() {
	const pause = 60 * time.Millisecond
	for in.ctx.Err() == nil {
		in.electing.Lock()
		lead := in.elector.Leader()
		in.electing.Unlock()
		if lead.Epoch == 0 {
			select {
			case <-in.news:
			case <-in.ctx.Done():
			}
			continue
		}
		if lead.Address == in.LinkAddr && lead.Instance != in.id {
			in.lost(lead, elector.Replaced)
		} else {
			in.lost(lead, in.attend(lead))
		}
		in.pause(pause)
	}
}

func (in *Instance) lost(lead keeper.Leadership, r elector.Reach) {
	in.electing.Lock()
	defer in.electing.Unlock()
	if in.elector.Leader().Epoch == lead.Epoch {
		in.elector.Lost(r, time.Now())
	}
}

// attend connects to a leader and works for it until the connection ends.
func (in *Instance) attend(lead keeper.Leadership) elector.Reach {
	d := net.Dialer{Timeout: linker.Silence / 2, KeepAlive: -1}
	nc, err := d.DialContext(in.ctx, "tcp", lead.Address)
	if err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return elector.NoAnswer
		}
		return elector.Refuses
	}
	c := linker.NewConn(nc)
	in.link.Store(c)
	e := &executor.Executor{Caller: in.Caller, Log: in.Log, Send: c.Send}
	e.Run()
	c.Send(&linker.Frame{Hello: &linker.Hello{Instance: in.id, Zone: in.Zone, Strength: in.Strength}})
	reach := elector.NoAnswer
	joined := false
	stop := make(chan struct{})
	go in.sendStatus(c, stop)
	err = c.Receive(func(f *linker.Frame) {
		if f.Hello != nil {
			if f.Hello.Instance != lead.Instance {
				reach = elector.Replaced
				c.Close()
				return
			}
			if !f.Hello.Leads {
				return
			}
			joined = true
			in.electing.Lock()
			in.elector.Connected()
			in.electing.Unlock()
			in.cutSince.Store(0)
			in.Gateway.Connect(c)
		}
		if !joined {
			return
		}
		if f.Retire && !in.leaving.Load() {
			in.spawn(func() { in.takeOver(lead, "the leader hands over") })
		}
		in.answered(f.Replies)
		in.Gateway.Receive(f)
		e.Receive(f)
	})
	close(stop)
	in.cutSince.CompareAndSwap(0, time.Now().UnixNano())
	in.Gateway.Disconnect(c)
	in.link.CompareAndSwap(c, nil)
	e.Close()
	in.Log.Info("connection to the leader ended", "leader", lead.Instance, "epoch", lead.Epoch, "joined", joined, "error", err)
	return reach
}

// sendStatus tells the leader how this instance is.
func (in *Instance) sendStatus(c *linker.Conn, stop chan struct{}) {
	const period = 500 * time.Millisecond
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.Send(&linker.Frame{Status: &linker.Status{StoreAge: in.Store.Failing(), Leaving: in.leaving.Load()}})
		case <-stop:
			return
		}
	}
}
