package runner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/claimer"
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/detector"
	"github.com/masticlead/masticlead/dispatcher"
	"github.com/masticlead/masticlead/distributor"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/leaser"
	"github.com/masticlead/masticlead/loader"
	"github.com/masticlead/masticlead/messenger"
	"github.com/masticlead/masticlead/parser"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/router"
	"github.com/masticlead/masticlead/scheduler"
	"github.com/masticlead/masticlead/server"
	"github.com/masticlead/masticlead/storer"
)

// Limits of the connections to each host of the platform and to each target. A
// target answers one poll at a time, which it holds open, so start orders need
// further connections.
const (
	platformConnsPerHost = 32
	connsPerTarget       = 16
)

func newLogger(s *loader.Settings) *slog.Logger {
	opts := &slog.HandlerOptions{Level: s.Log.Level}
	var h slog.Handler = slog.NewTextHandler(os.Stderr, opts)
	if s.Log.Format == "json" {
		h = slog.NewJSONHandler(os.Stderr, opts)
	}
	return slog.New(h).With("instance", s.Instance.Name)
}

func newClock() clockwork.Clock { return clockwork.NewRealClock() }

// newRand returns a random source for one component. Its seed depends on the
// instance and on the time of the start, so that the timers of instances that
// start at the same time don't fire in step.
func newRand(s *loader.Settings, component string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(s.Instance.Name) + "/" + component))
	return rand.New(rand.NewPCG(h.Sum64(), uint64(time.Now().UnixNano())))
}

// metrics combines the root scope with the HTTP handler that exposes it.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics(log *slog.Logger) *metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { log.Warn("runner: metric not registered", "error", err) },
	})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "masticlead", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, time.Second)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}

// sourceIP returns the local IP address of outgoing connections, which is the
// one that the instance listens on for peers, or "" if that address is malformed.
func sourceIP(s *loader.Settings) string {
	host, _, err := net.SplitHostPort(s.Listen.Peer)
	if err != nil {
		return ""
	}
	return host
}

func newPlatform(s *loader.Settings) *connector.PlatformClient {
	return &connector.PlatformClient{
		Client:   connector.NewHTTPClient(platformConnsPerHost, sourceIP(s)),
		TableURL: s.Platform.Table, ObjectsURL: s.Platform.Objects, DirectoryURL: s.Platform.Directory,
	}
}

func newDirectory(p *connector.PlatformClient, c clockwork.Clock) *connector.DirectoryCache {
	return &connector.DirectoryCache{Directory: p, Clock: c}
}

// listeners are opened before any component starts, so that an address that is
// in use fails the start at once.
type listeners struct{ http, peer net.Listener }

func newListeners(s *loader.Settings) (*listeners, error) {
	httpListener, err := net.Listen("tcp", s.Listen.HTTP)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	peerListener, err := net.Listen("tcp", s.Listen.Peer)
	if err != nil {
		_ = httpListener.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &listeners{httpListener, peerListener}, nil
}

// advertisedAddresses are the addresses under which callers and peers reach this
// instance.
type advertisedAddresses struct{ http, peer string }

// newAdvertisedAddresses returns the addresses from the settings, or those of the
// listeners where the settings have none. The listen addresses in the settings
// don't serve for this: with port 0 only the listener knows its port.
func newAdvertisedAddresses(s *loader.Settings, l *listeners) *advertisedAddresses {
	return &advertisedAddresses{
		http: cmp.Or(s.Advertise.HTTP, l.http.Addr().String()),
		peer: cmp.Or(s.Advertise.Peer, l.peer.Addr().String()),
	}
}

func newMessengerServer(l *listeners, m *metrics, log *slog.Logger) *messenger.Server {
	return &messenger.Server{Listener: l.peer, Log: log, Scope: m.scope.SubScope("messenger")}
}

func newPool(s *loader.Settings, m *metrics, log *slog.Logger, c clockwork.Clock) *messenger.Pool {
	return &messenger.Pool{
		Self: s.Instance.Name, Log: log, Scope: m.scope.SubScope("messenger"), Clock: c,
		Rand: newRand(s, "messenger"), Dial: connector.NewNetDialer(sourceIP(s)).DialContext, MaxCallsPerPeer: 4096,
	}
}

func newPlacementPolicy(m *metrics, log *slog.Logger) *quarantinePolicy {
	return newQuarantinePolicy(placer.NewPacker(placer.PackerConfig{}), detector.New(detector.Config{Scope: m.scope.SubScope("detector")}), log)
}

func newScheduler(s *loader.Settings, c clockwork.Clock, q *quarantinePolicy, m *metrics) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Clock: c, Rand: newRand(s, "scheduler"), Placer: q, Detector: q, Scope: m.scope.SubScope("scheduler"),
		Bounds: admitter.Bounds{
			Requests: s.Limits.QueuedRequests, Bytes: s.Limits.QueuedBytes,
			CallerRequests: s.Limits.CallerQueuedRequests, CallerBytes: s.Limits.CallerQueuedBytes,
		},
	})
}

func newStore(s *loader.Settings, p *connector.PlatformClient, c clockwork.Clock, m *metrics, log *slog.Logger) *storer.Store {
	return storer.New(storer.Config{
		Clock: c, Rand: newRand(s, "storer"), Table: p, Objects: p,
		WritesPerSecond: float64(s.Limits.StoreWritesPerSecond), ReadsPerSecond: float64(s.Limits.StoreReadsPerSecond),
		Scope: m.scope.SubScope("storer"), Log: log,
	})
}

func newHeartbeater(s *loader.Settings, a *advertisedAddresses, c clockwork.Clock, dir *connector.DirectoryCache, pool *messenger.Pool, ms *messenger.Server, sch *scheduler.Scheduler, m *metrics, log *slog.Logger) (*heartbeater.Heartbeater, *distributorRef) {
	distRef := &distributorRef{}
	h := heartbeater.New(heartbeater.Config{
		Clock: c, Rand: newRand(s, "heartbeater"),
		Self: heartbeater.Member{
			ID: s.Instance.Name, Incarnation: descriptor.Incarnation(time.Now().UnixMilli()),
			DataCentre: s.Instance.DataCentre, PeerAddress: a.peer, HTTPAddress: a.http,
		},
		DataCentres: s.DataCentres, Directory: dir, Pool: pool,
		LocalStatus: func() (descriptor.RulesVersion, heartbeater.LoadReport) {
			return distRef.rulesVersion(), loadReport(sch)
		},
		OnRulesVersion: distRef.observeRulesVersion,
		Interval:       s.Timing.Heartbeat, SuspectAfter: s.Timing.Suspect, RemoveAfter: s.Timing.Remove,
		Scope: m.scope.SubScope("heartbeater"), Log: log,
	})
	h.Register(ms)
	classOf := func(sameDataCentre bool) messenger.PeerClass {
		if sameDataCentre {
			return messenger.SameDataCentre
		}
		return messenger.OtherDataCentre
	}
	pool.ClassOf = func(address string) messenger.PeerClass {
		return classOf(slices.ContainsFunc(h.Members(s.Instance.DataCentre), func(m heartbeater.Member) bool {
			return m.PeerAddress == address
		}))
	}
	ms.ClassOf = func(from descriptor.InstanceID) messenger.PeerClass {
		m, ok := h.Member(from)
		return classOf(ok && m.DataCentre == s.Instance.DataCentre)
	}
	return h, distRef
}

// loadReport returns the load of this instance, as reported to the other members.
func loadReport(sch *scheduler.Scheduler) heartbeater.LoadReport {
	l := sch.Load()
	report := heartbeater.LoadReport{Queued: l.Queued, Running: l.Running, WaitMs: l.Wait.Milliseconds()}
	if l.Capacity != (descriptor.Resources{}) {
		report.FreeFraction = max(0, 1-l.Used.DominantShare(l.Capacity))
	}
	return report
}

// distributorRef refers to the distributor from the heartbeater, which is built
// first. It breaks a dependency cycle: the heartbeater reports the version of
// the rules, and the distributor needs the members.
type distributorRef struct{ distributor *distributor.Distributor }

func (r *distributorRef) rulesVersion() descriptor.RulesVersion {
	if r.distributor == nil {
		return 0
	}
	v, _, _ := r.distributor.Current()
	return v
}

// observeRulesVersion tells the distributor the rules version of a member.
func (r *distributorRef) observeRulesVersion(from descriptor.InstanceID, v descriptor.RulesVersion) {
	if r.distributor != nil {
		r.distributor.ObserveVersion(from, v)
	}
}

func newDistributor(s *loader.Settings, c clockwork.Clock, st *storer.Store, pool *messenger.Pool, ms *messenger.Server, h *heartbeater.Heartbeater, distRef *distributorRef, sch *scheduler.Scheduler, m *metrics, log *slog.Logger) (*distributor.Distributor, *activeRules) {
	rules := &activeRules{}
	d := distributor.New(distributor.Config{
		Clock: c, Rand: newRand(s, "distributor"), Table: st, Objects: st, Pool: pool, Members: h.Members,
		Self: s.Instance.Name, DataCentre: s.Instance.DataCentre, DataCentres: s.DataCentres,
		Parse: newRulesParser(s.DataCentres),
		OnInstall: func(r *descriptor.Rules) {
			rules.current.Store(r)
			sch.SetRules(r)
		},
		Scope: m.scope.SubScope("distributor"), Log: log,
	})
	d.Register(ms)
	distRef.distributor = d
	return d, rules
}

// newRulesParser returns the parse function for the rules of a cell with the
// given data centres.
func newRulesParser(dcs []descriptor.DataCentreID) func(descriptor.RulesVersion, []byte) (*descriptor.Rules, error) {
	return func(v descriptor.RulesVersion, body []byte) (*descriptor.Rules, error) {
		rules, err := parser.ParseWithDataCentres(dcs, fmt.Sprintf("rules version %d", v), body)
		if err != nil {
			return nil, err
		}
		rules.Version = v
		return rules, nil
	}
}

func newLeaser(s *loader.Settings, a *advertisedAddresses, c clockwork.Clock, st *storer.Store, pool *messenger.Pool, h *heartbeater.Heartbeater, m *metrics, log *slog.Logger) *leaser.Leaser {
	return leaser.New(leaser.Config{
		Clock: c, Rand: newRand(s, "leaser"), Table: st, Peers: &peerClient{pool, h},
		Instance: s.Instance.Name, DataCentre: s.Instance.DataCentre, PeerAddress: a.peer,
		LeaseDuration: s.Timing.Lease, RenewalInterval: s.Timing.Renewal, PromiseDuration: s.Timing.Promise, MaxExtension: s.Timing.MaxExtension,
		Alive: func() []descriptor.InstanceID { return aliveIDs(h, s.Instance.DataCentre) },
		Scope: m.scope.SubScope("leaser"), Log: log,
	})
}

func aliveIDs(h *heartbeater.Heartbeater, dc descriptor.DataCentreID) []descriptor.InstanceID {
	var ids []descriptor.InstanceID
	for _, m := range h.Members(dc) {
		if m.State == heartbeater.Alive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// countLiveInstances returns the number of instances in all data centres whose
// state is alive. It is at least 1, for this instance.
func countLiveInstances(s *loader.Settings, h *heartbeater.Heartbeater) int {
	n := 0
	for _, dc := range s.DataCentres {
		n += len(aliveIDs(h, dc))
	}
	return max(1, n)
}

// claimWriteFraction is the fraction of the store's write budget that claims and
// outcomes may use. They take precedence over all other writes except renewals
// and would otherwise starve rule changes.
const claimWriteFraction = 0.6

func newClaimer(s *loader.Settings, c clockwork.Clock, st *storer.Store, l *leaser.Leaser, h *heartbeater.Heartbeater, m *metrics, log *slog.Logger) *claimer.Claimer {
	return claimer.New(claimer.Config{
		Clock: c, Table: st, Session: l.Session, DataCentre: s.Instance.DataCentre,
		Instances: func() int { return countLiveInstances(s, h) }, WritesPerSecond: claimWriteFraction * float64(s.Limits.StoreWritesPerSecond),
		Scope: m.scope.SubScope("claimer"), Log: log,
	})
}

func newDispatcher(s *loader.Settings, c clockwork.Clock, sch *scheduler.Scheduler, l *leaser.Leaser, cl *claimer.Claimer, pool *messenger.Pool, ms *messenger.Server, h *heartbeater.Heartbeater, dir *connector.DirectoryCache, rules *activeRules, m *metrics, log *slog.Logger) *dispatcher.Dispatcher {
	d := dispatcher.New(dispatcher.Config{
		Clock: c, Self: s.Instance.Name, DataCentre: s.Instance.DataCentre, Scheduler: sch, Owners: l, Claims: cl,
		Peers: &peerClient{pool, h}, Directory: dir, Dialer: &connector.HTTPDialer{Client: connector.NewHTTPClient(connsPerTarget, sourceIP(s))},
		Rules: rules.current.Load, Loads: func() []dispatcher.PeerLoad { return peerLoads(s, h) },
		Scope: m.scope.SubScope("dispatcher"), Log: log, TaskLease: s.Timing.TaskLease,
	})
	registerPeerHandlers(ms, l, d)
	return d
}

// peerLoads returns the loads of the other live instances of this data centre.
func peerLoads(s *loader.Settings, h *heartbeater.Heartbeater) []dispatcher.PeerLoad {
	var loads []dispatcher.PeerLoad
	for _, m := range h.Members(s.Instance.DataCentre) {
		if m.ID != s.Instance.Name && m.State == heartbeater.Alive {
			loads = append(loads, dispatcher.PeerLoad{ID: m.ID, FreeFraction: m.Load.FreeFraction, Queued: m.Load.Queued})
		}
	}
	return loads
}

func newRouter(s *loader.Settings, c clockwork.Clock, d *dispatcher.Dispatcher, h *heartbeater.Heartbeater, l *leaser.Leaser, pool *messenger.Pool, ms *messenger.Server, rules *activeRules, m *metrics, log *slog.Logger) *router.Router {
	r := router.New(router.Config{
		Clock: c, Rand: newRand(s, "router"), Self: s.Instance.Name, DataCentre: s.Instance.DataCentre,
		DataCentres: s.DataCentres, Dispatcher: d, Membership: h, Owner: l.Owner, Pool: pool, Rules: rules.current.Load,
		Scope: m.scope.SubScope("router"), Log: log, TakeoverTime: s.Timing.Lease + s.Timing.Renewal,
	})
	r.Register(ms)
	return r
}

func newServer(l *listeners, r *router.Router, o *operatorAPI, hc *health, m *metrics, s *loader.Settings, log *slog.Logger) *server.Server {
	return &server.Server{
		Listener: l.http, Requests: r, Rules: o, Cell: o, Health: hc, Metrics: m.handler,
		Scope: m.scope.SubScope("server"), Log: log, Limits: serverLimits(s),
	}
}

// serverLimits returns the limits of the HTTP API. Limits that have no setting
// stay zero and get the defaults of the server.
func serverLimits(s *loader.Settings) server.Limits {
	return server.Limits{
		BodyBytes: int64(s.Limits.BodyBytes), HeaderBytes: int(s.Limits.HeaderBytes),
		RequestsInProgress: s.Limits.RequestsInProgress, Connections: s.Limits.Connections,
		IOTimeout: s.Timing.Read, IdleTimeout: s.Timing.Idle, MaxWait: s.Timing.MaxWait,
		DrainDelay: s.Timing.Drain, ShutdownTimeout: s.Timing.Shutdown,
	}
}

func newLifecycle(s *loader.Settings, ms *messenger.Server, pool *messenger.Pool, h *heartbeater.Heartbeater, dist *distributor.Distributor, l *leaser.Leaser, cl *claimer.Claimer, d *dispatcher.Dispatcher, r *router.Router, srv *server.Server, st *storer.Store, hc *health, log *slog.Logger) *lifecycle {
	return &lifecycle{
		components: []component{
			{"messenger", ms.Run, func() error { return closeAll(pool.Close, ms.Close) }},
			{"heartbeater", h.Run, h.Close},
			{"distributor", dist.Run, dist.Close},
			{"dispatcher", d.Run, d.Close},
			{"router", r.Run, r.Close},
			{"server", srv.Run, srv.Close},
			{"membership", watchMembership(s, h, st, l), func() error { return nil }},
		},
		// The claimer is closed before the leaser: pending outcomes are written while
		// the session exists, because it fences them.
		closeFirst: []component{{"claimer", cl.Run, cl.Close}, {"leaser", l.Run, l.Close}},
		drain:      d.Drain, health: hc, log: log, shutdownTimeout: s.Timing.Shutdown,
	}
}
