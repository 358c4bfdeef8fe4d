package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/masticlead/masticlead/coordinator"
	"github.com/masticlead/masticlead/elector"
	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// targetLease is the lease of the runs on a target: the time for which they
	// continue without contact to a leader. It covers a change of leader and a
	// restart of all instances.
	targetLease = 6 * time.Second
	// minRoundInterval is the minimum pause before a scheduling round. If the last
	// round took longer, the pause is as long as that round, up to
	// maxRoundInterval, so that at least half of the CPU time is left for
	// processing frames from the instances.
	minRoundInterval = 4 * time.Millisecond
	// maxRoundInterval is the longest such pause, and the interval of the timer
	// that starts a round if no event does.
	maxRoundInterval = 25 * time.Millisecond
	// targetsInterval is the interval at which the list of targets is polled. It
	// is half of the time after which a draining target must get no new work.
	targetsInterval = 1 * time.Second
	// jobScanInterval is the interval at which the store is scanned for jobs and
	// cancellations that a gateway stored but could not forward to the leader.
	jobScanInterval = 2 * time.Second
	// outageGracePeriod is the time after a store outage during which targets
	// missing from the list are still expected to return.
	outageGracePeriod = 2200 * time.Millisecond
	// slowSaveThreshold is the time after which an unfinished save makes the
	// coordinator publish states before they are stored.
	slowSaveThreshold = 400 * time.Millisecond
	// A leader hands over to an instance that reaches the store when its last
	// renewal is older than lateRenewal plus renewalDurationFactor times the
	// duration of that renewal.
	lateRenewal           = 1200 * time.Millisecond
	renewalDurationFactor = 2
	// steadyStoreTime is the time for which an instance must have reached the store to get
	// the leadership because of late renewals. After an outage for all, the first instance
	// to get a response is not a better leader than one whose renewal is on its way.
	steadyStoreTime = 1500 * time.Millisecond
	// slowRenewal is the duration of a renewal above which the load of the cell is
	// throttled. It is above the 150 ms of a commit of a slow store, where fewer scans
	// would only make the load longer.
	slowRenewal = 400 * time.Millisecond
	// maxStoreFailingFor is the time for which an instance's calls to the store may
	// have failed for the instance to still count as reaching the store.
	maxStoreFailingFor = 300 * time.Millisecond
	// updateAttempts is the number of attempts to read what was stored during a load.
	// Without a repetition, one failure makes the load read everything again.
	updateAttempts = 4
	// configReadTimeout is the time without data after which the read of the configuration
	// at the end of a load ends, well below the time without progress after which a loading
	// leader is replaced.
	configReadTimeout = 1 * time.Second
	// retentionMargin is added to the required retention time of states.
	retentionMargin = 30 * time.Second
)

// leader runs the coordinator of the cell while this instance leads it.
type leader struct {
	in          *Instance
	leadership  keeper.Leadership
	ctx         context.Context
	cancel      context.CancelFunc
	events      chan func(*coordinator.Coordinator)
	coordinator *coordinator.Coordinator
	// memberConns are the connections of the coordinator's members. It is used by events
	// and the goroutine that executes them only.
	memberConns map[w.InstanceID]*linker.Conn
	// stopOnce is needed besides ctx, which is cancelled with the instance as well.
	stopOnce sync.Once

	mu                 sync.Mutex
	conns              map[w.InstanceID]*linker.Conn
	addrs              map[w.InstanceID]string // listen addresses of the instances in conns, "" if unknown
	status             map[w.InstanceID]memberStatus
	lastRenewal        time.Time
	renewalDuration    time.Duration              // duration of the last renewal
	connectedAtRenewal int                        // number of instances connected at the last renewal
	resumedAt          time.Time                  // end of the last long pause of the process
	joinedAt           map[w.InstanceID]time.Time // when each instance connected
	lastHandover       time.Time
	loadedAt           time.Time // when the cell was loaded, or zero
	renewedLoaded      bool      // the leadership was renewed since loadedAt

	monitor keeper.LoadMonitor
}

type memberStatus struct {
	storeFailingFor time.Duration // Store.FailingFor of the instance
	reachesSince    time.Time     // first of the consecutive reports that the instance reaches the store, or zero
	cores           float64
	draining        bool
	asked           bool // the instance was asked to take over
	reported        bool // the instance has sent its status
}

// eventQueueSize is the capacity of the leader's event queue.
const eventQueueSize = 4096

// newLeader returns a leader that has loaded the cell from the store. A load that
// fails is retried until the leadership ends.
func newLeader(in *Instance, leadership keeper.Leadership) (*leader, error) {
	l := &leader{
		in: in, leadership: leadership, events: make(chan func(*coordinator.Coordinator), eventQueueSize),
		joinedAt: make(map[w.InstanceID]time.Time), memberConns: make(map[w.InstanceID]*linker.Conn),
		conns: make(map[w.InstanceID]*linker.Conn), addrs: make(map[w.InstanceID]string), status: make(map[w.InstanceID]memberStatus), lastRenewal: time.Now(),
	}
	l.ctx, l.cancel = context.WithCancel(in.ctx)
	// The configuration is small beside a load, and all answers of the instance need it.
	l.monitor.Busy = in.transfers.busy
	in.loading.Store(l)
	defer in.loading.CompareAndSwap(l, nil)
	start := time.Now()
	bounds := in.bounds.Load()
	l.coordinator = coordinator.New(coordinator.Settings{
		Epoch: leadership.Epoch, Self: in.id, Lease: min(targetLease, bounds.MaxLease), MaxLease: bounds.MaxLease, StopTimeout: bounds.StopTimeout,
		CheckpointMemory: in.CheckpointMemory, RestoreTime: bounds.RestoreTime, QuotaExcess: bounds.QuotaExcess, RemoteFactor: bounds.RemoteFactor,
		Retention: bounds.StateRetention + retentionMargin, LoadProgress: l.monitor.Advance, Log: in.Log, Meter: in.Meter,
	}, start)
	l.spawnLoop(l.renew)
	l.spawnLoop(l.watchRenewals)
	for {
		s, updates, err := l.load()
		if err == nil {
			return l, l.restore(s, updates, start)
		}
		in.Log.Warn("could not load the cell; retrying", "error", err)
		if current, err := in.Keeper.Leader(l.ctx); err == nil && current.Epoch > leadership.Epoch {
			l.cancel()
			return nil, fmt.Errorf("instance: epoch %d was superseded by epoch %d", leadership.Epoch, current.Epoch)
		}
		in.sleep(retryDelay)
		if l.ctx.Err() != nil {
			return nil, fmt.Errorf("instance: load cell: %w", l.ctx.Err())
		}
	}
}

// load reads the cell from the store, and then what was stored during the read:
// cancellations that were acknowledged meanwhile may be missing from the snapshot, and
// the instance that has to forward them may be gone.
func (l *leader) load() (*keeper.Snapshot, *keeper.Updates, error) {
	s, err := l.in.Keeper.LoadMonitored(l.ctx, &l.monitor)
	if err != nil {
		return nil, nil, fmt.Errorf("instance: %w", err)
	}
	ctx := l.monitor.WithProgress(l.ctx)
	updates, err := l.in.Keeper.Updates(ctx, s.Versions)
	for attempt := 1; err != nil && attempt < updateAttempts && !errors.Is(err, keeper.ErrHistoryTruncated); attempt++ {
		l.monitor.Advance()
		l.in.sleep(retryDelay)
		updates, err = l.in.Keeper.Updates(ctx, s.Versions)
	}
	l.monitor.Advance()
	switch {
	case errors.Is(err, keeper.ErrHistoryTruncated):
		// The load took longer than the store keeps its history. Another load would not
		// help; scanJobs reads everything again while this leader serves.
		return s, new(keeper.Updates), nil
	case err != nil:
		return nil, nil, fmt.Errorf("instance: %w", err)
	}
	return s, updates, nil
}

// restore initializes the coordinator from a snapshot and later updates. A failure ends
// the leadership.
func (l *leader) restore(s *keeper.Snapshot, updates *keeper.Updates, start time.Time) error {
	in := l.in
	// The configuration seen by this instance's watch may be older than the one that
	// the previous leader applied.
	if !in.readConfig(l.ctx, configReadTimeout) {
		in.Log.Warn("could not read the configuration at takeover", "epoch", l.leadership.Epoch)
	}
	l.monitor.Advance()
	if cfg := in.Gateway.Config(); cfg != nil {
		l.coordinator.Configure(cfg)
	}
	l.leadership.InitSaves(s)
	if !in.recoverPanic(func() { l.coordinator.Load(s); l.applyUpdates(l.coordinator, updates) }) {
		l.stop("could not restore the cell")
		return fmt.Errorf("instance: epoch %d: could not restore a cell of %d jobs", l.leadership.Epoch, len(s.Jobs))
	}
	l.reportUndecodable(s.DecodeErrors)
	l.reportUndecodable(updates.DecodeErrors)
	l.spawnLoop(func() { l.scanJobs(s.Versions) })
	l.mu.Lock()
	l.loadedAt = time.Now()
	l.mu.Unlock()
	in.Meter.ObserveDuration("load", time.Since(start))
	in.Log.Info("cell loaded", "epoch", l.leadership.Epoch, "jobs", len(s.Jobs), "progress", len(s.Progress), "targets", len(s.Roster.Open)+len(s.Roster.Closed), "ends", len(s.Ends), "took", time.Since(start))
	return nil
}

func (l *leader) spawn(f func()) { l.in.spawn(f) }

// spawnLoop runs a loop until the leadership ends, and starts it again whenever it panics.
func (l *leader) spawnLoop(loop func()) {
	l.spawn(func() { l.in.restartOnPanic(loop) })
}

// stop ends the leadership and closes the connections to the instances.
func (l *leader) stop(reason string) {
	l.stopOnce.Do(func() {
		l.in.Log.Info("leadership ends", "epoch", l.leadership.Epoch, "reason", reason)
		l.cancel()
		l.in.leader.CompareAndSwap(l, nil)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.conns {
			c.Close()
		}
	})
}

// post queues an event for the coordinator.
func (l *leader) post(f func(*coordinator.Coordinator)) {
	select {
	case l.events <- f:
	case <-l.ctx.Done():
	}
}

func (l *leader) configure(cfg *w.Config) {
	l.post(func(c *coordinator.Coordinator) { c.Configure(cfg) })
}

func (l *leader) join(h *linker.Hello, conn *linker.Conn) {
	l.mu.Lock()
	old := l.conns[h.Instance]
	l.conns[h.Instance], l.addrs[h.Instance] = conn, h.Address
	l.joinedAt[h.Instance] = time.Now()
	l.status[h.Instance] = memberStatus{cores: h.Strength}
	l.mu.Unlock()
	l.monitor.Advance()
	if old != nil {
		old.Close()
	}
	if l.ctx.Err() != nil {
		conn.Close()
	}
	l.post(func(c *coordinator.Coordinator) {
		l.memberConns[h.Instance] = conn
		c.Join(h)
	})
}

func (l *leader) leave(id w.InstanceID, conn *linker.Conn, err error) {
	l.mu.Lock()
	current := l.conns[id] == conn
	if current {
		delete(l.conns, id)
		delete(l.addrs, id)
		delete(l.status, id)
		delete(l.joinedAt, id)
	}
	l.mu.Unlock()
	if current {
		l.in.Log.Info("connection to an instance closed", append([]any{"instance", id, "epoch", l.leadership.Epoch}, connAttrs(conn, err)...)...)
	}
	l.post(func(c *coordinator.Coordinator) {
		if l.memberConns[id] == conn {
			delete(l.memberConns, id)
			c.Leave(id)
		}
	})
}

// receive processes a frame of an instance. Frames of an earlier connection are dropped:
// the coordinator has reassigned the targets, and would take note of the ends in some of
// these frames only.
func (l *leader) receive(id w.InstanceID, conn *linker.Conn, f *linker.Frame) {
	if f.Status != nil {
		l.mu.Lock()
		old := l.status[id]
		status := memberStatus{
			storeFailingFor: f.Status.StoreAge, reachesSince: old.reachesSince, draining: f.Status.Leaving,
			asked: old.asked, cores: old.cores, reported: true,
		}
		switch {
		case f.Status.StoreAge >= maxStoreFailingFor:
			status.reachesSince = time.Time{}
		case status.reachesSince.IsZero():
			status.reachesSince = time.Now()
		}
		l.status[id] = status
		l.mu.Unlock()
	}
	for i := range f.Results {
		if f.Results[i].Outcome == linker.Fenced {
			l.stop("a target reported a higher epoch")
			return
		}
	}
	l.post(func(c *coordinator.Coordinator) {
		if l.memberConns[id] == conn {
			c.Receive(id, f, time.Now())
			conn.Confirm(f.Seq)
		}
	})
}

// run makes scheduling decisions until the leadership ends. After a panic in a
// decision, it hands the leadership over: the new leader recovers from the stored
// state and the targets' reports. No task's end is lost, since ends are acknowledged
// only after they have been stored.
func (l *leader) run() {
	if !l.in.recoverPanic(l.decide) {
		l.handOver(0)
		l.stop("panic in a scheduling decision")
	}
}

func (l *leader) decide() {
	l.spawnLoop(l.pollTargets)
	l.spawnLoop(l.sharePeers)
	saved := make(chan savedBatch, 1)
	tick := time.NewTicker(maxRoundInterval)
	defer tick.Stop()
	var inFlight *coordinator.Batch
	var saveStart time.Time
	pauses := pauseDetector{now: machineUptime}
	var roundTime time.Duration
	var stats roundStats
	for {
		select {
		case f := <-l.events:
			f(l.coordinator)
		case <-tick.C:
		case s := <-saved:
			inFlight = nil
			s.batch.Exclude(s.changes.RefusedJobs(), s.changes.RosterRefused())
			l.coordinator.Stored(s.batch)
		case <-l.ctx.Done():
			return
		}
		time.Sleep(min(maxRoundInterval, max(minRoundInterval, roundTime)))
		start := time.Now()
		if d := pauses.sinceLast(); d > coordinator.LeadershipGrace {
			l.notePause(d)
		}
		for more := true; more; {
			select {
			case f := <-l.events:
				f(l.coordinator)
				stats.events++
			default:
				more = false
			}
		}
		l.coordinator.SetSuspended(l.mayBeSuperseded())
		l.coordinator.SetStoreSlow(inFlight != nil && time.Since(saveStart) > slowSaveThreshold)
		l.coordinator.Advance(time.Now())
		if inFlight == nil {
			if b := l.coordinator.Flush(); b != nil {
				if b.Empty() {
					l.coordinator.Stored(b)
				} else {
					inFlight, saveStart = b, time.Now()
					l.spawn(func() { l.save(b, saved) })
				}
			}
		}
		l.sendFrames()
		roundTime = time.Since(start)
		stats.record(l, roundTime)
	}
}

// roundStats aggregates the scheduling rounds of one second for the log.
type roundStats struct {
	start   time.Time
	rounds  int
	events  int
	total   time.Duration
	longest time.Duration
}

func (r *roundStats) record(l *leader, elapsed time.Duration) {
	const period = time.Second
	r.rounds++
	r.total += elapsed
	r.longest = max(r.longest, elapsed)
	l.in.Meter.ObserveDuration("round", elapsed)
	if now := time.Now(); now.Sub(r.start) >= period {
		if !r.start.IsZero() {
			l.in.Log.Info("rounds of decisions", "epoch", l.leadership.Epoch, "rounds", r.rounds, "events", r.events,
				"deciding", r.total, "longest", r.longest, "waiting", len(l.events))
		}
		*r = roundStats{start: now}
	}
}

// notePause records that the process has resumed after a pause. Connections
// established before the pause may have been closed without the leader noticing.
func (l *leader) notePause(paused time.Duration) {
	l.in.Meter.Count("pause", "leader")
	l.in.Log.Warn("leader was paused", "epoch", l.leadership.Epoch, "for", paused)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumedAt = time.Now()
}

// mayBeSuperseded reports whether another instance may have taken over: the leader
// can't renew and has lost most of its instances, or it was paused and since then
// has neither renewed nor been rejoined by most of them.
func (l *leader) mayBeSuperseded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	connected := 0
	for id := range l.conns {
		if l.joinedAt[id].After(l.resumedAt) {
			connected++
		}
	}
	stale := time.Since(l.lastRenewal) > coordinator.LeadershipGrace || l.lastRenewal.Before(l.resumedAt)
	expected := l.connectedAtRenewal
	if !l.renewedLoaded {
		// Another instance may have taken over during the load.
		expected = max(expected, l.leadership.Instances)
	}
	return stale && 2*connected <= expected
}

func (l *leader) sendFrames() {
	for id, f := range l.coordinator.Frames() {
		if c := l.memberConns[id]; c != nil {
			for _, part := range f.Split() {
				c.Send(part)
			}
		}
	}
}

// stopIfSuperseded ends the leadership if a store error shows that another leader
// took over. It reports whether it did.
func (l *leader) stopIfSuperseded(err error) bool {
	var c *keeper.ConflictError
	if !errors.As(err, &c) {
		return false
	}
	l.stop("another leader took over")
	return true
}

// renew periodically renews the leadership in the store, which shows the other
// instances that the leader is alive.
func (l *leader) renew() {
	for l.ctx.Err() == nil {
		l.mu.Lock()
		connected := len(l.conns)
		maxCores := l.in.Cores
		for _, s := range l.status {
			if s.reported && !s.draining {
				maxCores = max(maxCores, s.cores)
			}
		}
		loading := l.isLoading(connected)
		l.mu.Unlock()
		start := time.Now()
		err := l.sendHeartbeat(loading, connected, maxCores)
		if err != nil && l.stopIfSuperseded(err) {
			return
		}
		now := time.Now()
		l.mu.Lock()
		if err == nil {
			l.lastRenewal, l.renewalDuration = start, now.Sub(start)
			l.connectedAtRenewal = connected
			l.renewedLoaded = l.renewedLoaded || (!l.loadedAt.IsZero() && start.After(l.loadedAt))
		}
		handedOver := now.Sub(l.lastHandover) <= lateRenewal
		l.mu.Unlock()
		if err == nil {
			l.post(func(c *coordinator.Coordinator) { c.Renewed(start) })
		}
		switch {
		case err != nil:
			l.in.Log.Debug("could not renew the leadership", "epoch", l.leadership.Epoch, "error", err)
		case maxCores > elector.PreferredCoreRatio*l.in.Cores && !handedOver:
			l.in.Log.Info("an instance with more cores should lead", "epoch", l.leadership.Epoch, "cores", l.in.Cores, "best", maxCores)
			l.handOver(0)
		}
		l.in.sleep(elector.RenewPeriod)
	}
}

// joinGrace is the time after the load for which a leader still counts as loading
// while most instances have not joined it. The states of all jobs, which it sends to
// each of them, can delay its renewals.
const joinGrace = 3 * time.Second

// isLoading reports whether the leader still loads the cell or waits for most instances
// to join. l.mu must be held.
func (l *leader) isLoading(connected int) bool {
	return l.loadedAt.IsZero() || (2*connected < l.leadership.Instances && time.Since(l.loadedAt) < joinGrace)
}

// sendHeartbeat renews the leadership. While the cell is loaded, it limits the load as
// long as the renewal is slow.
func (l *leader) sendHeartbeat(loading bool, connected int, maxCores float64) error {
	if !loading {
		return l.in.Keeper.Renew(l.ctx, &l.leadership, max(0, connected-1), maxCores)
	}
	l.mu.Lock()
	l.leadership.Instances = max(l.leadership.Instances, int(l.in.waitingConns.Load()))
	l.mu.Unlock()
	throttle := time.AfterFunc(slowRenewal, func() { l.monitor.SetThrottled(true) })
	start := time.Now()
	err := l.in.Keeper.RenewLoading(l.ctx, &l.leadership, l.monitor.Progress(), maxCores)
	throttle.Stop()
	l.monitor.SetThrottled(time.Since(start) > slowRenewal)
	return err
}

// watchRenewals hands the leadership over when renewals are late. It runs apart from
// renew because a renewal that gets no response blocks for longer than that.
func (l *leader) watchRenewals() {
	const period = 100 * time.Millisecond
	warned := false
	for l.ctx.Err() == nil {
		l.in.sleep(period)
		now := time.Now()
		l.mu.Lock()
		age := min(now.Sub(l.lastRenewal), now.Sub(l.loadedAt))
		// A leader that loads has no instance to hand over to, and the others replace
		// it later than one that serves; see elector.LoadStallTimeout.
		late := !l.loadedAt.IsZero() && age > lateRenewal+renewalDurationFactor*l.renewalDuration
		handedOver := now.Sub(l.lastHandover) <= lateRenewal
		l.mu.Unlock()
		if late && !warned {
			l.in.Log.Warn("leader can't renew", "epoch", l.leadership.Epoch, "age", age)
		}
		warned = late
		if late && !handedOver {
			l.handOver(steadyStoreTime)
		}
	}
}

// resign hands the leadership over before this instance stops. The instance that is
// asked to take over may itself be stopping or dead, so others are asked in turn
// until the deadline.
func (l *leader) resign(deadline time.Time) {
	const period = 500 * time.Millisecond
	for l.ctx.Err() == nil && time.Now().Before(deadline) {
		l.handOver(0)
		select {
		case <-l.ctx.Done():
		case <-time.After(period):
		}
	}
}

// handOver asks an instance that has reached the store for at least minReachable to take
// over. It prefers the one with the most cores, then the one that has failed to reach the
// store for the shortest time.
func (l *leader) handOver(minReachable time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var best *linker.Conn
	var bestID w.InstanceID
	var bestFailingFor time.Duration
	var bestCores float64
	for id, c := range l.conns {
		s, ok := l.status[id]
		if id == l.in.id || !ok || !s.reported || s.draining || s.asked || s.storeFailingFor >= maxStoreFailingFor || now.Sub(s.reachesSince) < minReachable {
			continue
		}
		if best == nil || s.cores > bestCores || (s.cores == bestCores && s.storeFailingFor < bestFailingFor) {
			best, bestID, bestFailingFor, bestCores = c, id, s.storeFailingFor, s.cores
		}
	}
	if best == nil {
		// All instances were asked. The next call starts over.
		for id, s := range l.status {
			s.asked = false
			l.status[id] = s
		}
		return
	}
	l.lastHandover = now
	status := l.status[bestID]
	status.asked = true
	l.status[bestID] = status
	l.in.Log.Info("leader hands over", "epoch", l.leadership.Epoch, "to", bestID, "storeFailing", bestFailingFor)
	best.Send(&linker.Frame{Retire: true})
}
