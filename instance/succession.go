package instance

import (
	"errors"
	"time"

	"github.com/masticlead/masticlead/keeper"
)

// watchLeader watches the leader row in the store.
func (in *Instance) watchLeader() {
	var after keeper.Version
	synced := false
	for in.ctx.Err() == nil {
		if !synced {
			leadership, version, err := in.Keeper.LeaderToWatch(in.ctx)
			if err != nil {
				in.sleep(retryDelay)
				continue
			}
			synced, after = true, version
			in.observeLeader(leadership)
		}
		leadership, ver, err := in.Keeper.WatchLeader(in.ctx, after, longPollTimeout)
		if err != nil {
			synced = !errors.Is(err, keeper.ErrHistoryTruncated)
			in.sleep(retryDelay)
			continue
		}
		after = ver
		if leadership != nil {
			in.observeLeader(*leadership)
		}
	}
}

// observeLeader records a leader read from the store. It stops the leader of this
// instance if it is superseded, and starts one if this instance was elected.
func (in *Instance) observeLeader(leadership keeper.Leadership) {
	in.electorMu.Lock()
	current := in.elector.Leader()
	if leadership.Epoch < current.Epoch || leadership.Version == current.Version {
		in.electorMu.Unlock()
		return
	}
	in.elector.Watch(leadership, time.Now())
	damping := in.elector.Damping()
	elected := leadership.Instance == in.id && leadership.Epoch > in.lastLedEpoch
	if elected {
		in.lastLedEpoch = leadership.Epoch
	}
	in.electorMu.Unlock()
	in.Log.Info("leader changed", "leader", leadership.Instance, "epoch", leadership.Epoch, "own", leadership.Instance == in.id)
	for _, own := range [...]*leader{in.leader.Load(), in.loading.Load()} {
		if own != nil && own.leadership.Epoch < leadership.Epoch {
			own.stop("another leader took over")
		}
	}
	if leadership.FailedLoads > 0 {
		in.Meter.Count("takeoverDamped", "failedLoads")
		in.Log.Warn("takeovers are damped after leaders that did not finish loading", "epoch", leadership.Epoch,
			"failedLoads", leadership.FailedLoads, "wait", damping, "instances", leadership.Instances)
	}
	if elected {
		in.spawn(func() { in.startLeading(leadership) })
	}
	if c := in.leaderConn.Load(); c != nil {
		c.Close()
	}
	select {
	case in.leaderChanged <- struct{}{}:
	default:
	}
}

// campaign checks whether the leader is alive while this instance is not connected to
// it, and takes over when the elector decides so.
func (in *Instance) campaign() {
	var lastReport time.Time
	for in.ctx.Err() == nil {
		in.electorMu.Lock()
		period := in.elector.PollPeriod()
		in.electorMu.Unlock()
		in.sleep(period)
		now := time.Now()
		in.electorMu.Lock()
		readHeartbeat, leadership, reportUnreachable := in.elector.NeedsHeartbeat(now), in.elector.Leader(), in.elector.ShouldReportUnreachable(now)
		reportPeriod, needsReports, report := in.elector.ReportPeriod(), in.elector.NeedsReports(now), in.elector.Report(now)
		in.electorMu.Unlock()
		if !readHeartbeat || leadership.Version == 0 && leadership.Epoch != 0 || in.draining.Load() || in.leader.Load() != nil || in.loading.Load() != nil {
			continue
		}
		if reportUnreachable && now.Sub(lastReport) > reportPeriod {
			lastReport = now
			in.spawn(func() {
				if err := in.Keeper.ReportUnreachable(in.ctx, in.Name, report); err != nil {
					in.Log.Debug("could not write unreachable report", "error", err)
				}
			})
		}
		// The heartbeat may have been read through another instance. A leader needs the store.
		if reason, due := in.checkLeader(needsReports); due && in.Store.FailingFor() == 0 {
			in.takeOver(leadership, reason)
		}
	}
}

// checkLeader reads the leader's heartbeat and reports whether this instance should take
// over, and why.
func (in *Instance) checkLeader(needsReports bool) (string, bool) {
	start := time.Now()
	var heartbeat keeper.Heartbeat
	var reports []keeper.UnreachableReport
	var err error
	if needsReports {
		heartbeat, reports, err = in.Keeper.LeaderHealth(in.ctx)
	} else {
		heartbeat, err = in.Keeper.Heartbeat(in.ctx)
	}
	now := time.Now()
	in.electorMu.Lock()
	defer in.electorMu.Unlock()
	if err != nil {
		in.elector.SetReadFailed()
		return "", false
	}
	in.elector.Observe(heartbeat, in.Keeper.HeartbeatAge(heartbeat), now.Sub(start), reports, now)
	return in.elector.ShouldTakeOver(now)
}

// takeOver makes this instance the leader unless another instance took over first.
func (in *Instance) takeOver(previous keeper.Leadership, reason string) {
	in.electorMu.Lock()
	next := keeper.Leadership{
		Instance: in.id, Address: in.LinkAddr, Zone: in.Zone, MaxCores: in.Cores,
		FailedLoads: in.elector.FailedLoads(), Instances: in.elector.Instances(),
	}
	in.electorMu.Unlock()
	leadership, err := in.Keeper.TakeOver(in.ctx, previous, next)
	if err == nil {
		in.Meter.Count("takeover", "done")
		in.Log.Info("took over", "epoch", leadership.Epoch, "from", previous.Instance, "reason", reason, "failedLoads", leadership.FailedLoads)
		in.observeLeader(leadership)
		return
	}
	in.Meter.Count("takeover", "failed")
	in.Log.Info("could not take over", "epoch", previous.Epoch, "reason", reason, "error", err)
	if !errors.Is(err, keeper.ErrNotExecuted) {
		// A store that rejects the takeover has no work with it. Instances that leaders
		// asked to take over in an outage must not have to wait longer than others.
		in.electorMu.Lock()
		in.elector.SetTakeoverFailed(time.Now())
		in.electorMu.Unlock()
	}
	// The conflict names the instance that took over first, or this instance if the
	// write succeeded and only the response was lost. After any other error, the watch
	// of the leader row shows it; the losers of a takeover must not all read it at once.
	if current, ok := keeper.LeaderOfConflict(err); ok {
		in.observeLeader(current)
	}
}

// startLeading loads the cell and coordinates it. observeLeader calls it, rather than
// takeOver, because the leader row may name this instance long after its request
// to take over.
func (in *Instance) startLeading(leadership keeper.Leadership) {
	l, err := newLeader(in, leadership)
	if err != nil {
		in.Log.Error("could not load the cell", "epoch", leadership.Epoch, "error", err)
		return
	}
	in.leader.Store(l)
	if l.ctx.Err() != nil {
		// It was stopped at the end of the load, before it could be found here.
		in.leader.CompareAndSwap(l, nil)
		return
	}
	in.electorMu.Lock()
	current := in.elector.Leader()
	in.electorMu.Unlock()
	if current.Epoch > leadership.Epoch {
		l.stop("another leader took over")
		return
	}
	in.spawn(l.run)
	if cfg := in.Gateway.Config(); cfg != nil {
		// A version that came into force during the load was not passed to the leader.
		l.configure(cfg)
	}
}
