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
			leadership, err := in.Keeper.Leader(in.ctx)
			if err != nil {
				in.sleep(retryDelay)
				continue
			}
			synced, after = true, leadership.Version
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
	elected := leadership.Instance == in.id && leadership.Epoch > in.lastLedEpoch
	if elected {
		in.lastLedEpoch = leadership.Epoch
	}
	in.electorMu.Unlock()
	in.Log.Info("leader changed", "leader", leadership.Instance, "epoch", leadership.Epoch, "own", leadership.Instance == in.id)
	if l := in.leader.Load(); l != nil && l.leadership.Epoch < leadership.Epoch {
		l.stop("another leader took over")
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
	const period = 120 * time.Millisecond
	var lastReport time.Time
	for in.ctx.Err() == nil {
		in.sleep(period)
		in.electorMu.Lock()
		readHeartbeat, leadership, reportUnreachable := in.elector.NeedsHeartbeat(), in.elector.Leader(), in.elector.ShouldReportUnreachable(time.Now())
		in.electorMu.Unlock()
		if !readHeartbeat || leadership.Version == 0 && leadership.Epoch != 0 || in.draining.Load() || in.leader.Load() != nil {
			continue
		}
		if reportUnreachable && time.Since(lastReport) > unreachableReportInterval {
			lastReport = time.Now()
			in.spawn(func() {
				if err := in.Keeper.ReportUnreachable(in.ctx, in.Name, leadership.Epoch); err != nil {
					in.Log.Debug("could not write unreachable report", "error", err)
				}
			})
		}
		start := time.Now()
		heartbeat, reports, err := in.Keeper.LeaderHealth(in.ctx)
		if err != nil {
			continue
		}
		now := time.Now()
		in.electorMu.Lock()
		in.elector.Observe(heartbeat, in.Keeper.HeartbeatAge(heartbeat), now.Sub(start), reports, now)
		reason, due := in.elector.ShouldTakeOver(now)
		in.electorMu.Unlock()
		if due {
			in.takeOver(leadership, reason)
		}
	}
}

// unreachableReportInterval is the minimum interval between two unreachable reports of
// this instance.
const unreachableReportInterval = 500 * time.Millisecond

// takeOver makes this instance the leader unless another instance took over first.
func (in *Instance) takeOver(previous keeper.Leadership, reason string) {
	leadership, err := in.Keeper.TakeOver(in.ctx, previous, keeper.Leadership{Instance: in.id, Address: in.LinkAddr, Zone: in.Zone})
	if err == nil {
		in.Log.Info("took over", "epoch", leadership.Epoch, "from", previous.Instance, "reason", reason)
		in.observeLeader(leadership)
		return
	}
	in.Log.Info("could not take over", "epoch", previous.Epoch, "reason", reason, "error", err)
	// The leader row names the instance that took over first, or this instance if the
	// write succeeded and only the response was lost.
	if current, err := in.Keeper.Leader(in.ctx); err == nil {
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
	in.electorMu.Lock()
	current := in.elector.Leader()
	in.electorMu.Unlock()
	if current.Epoch > leadership.Epoch {
		l.stop("another leader took over")
		return
	}
	in.spawn(l.run)
}
