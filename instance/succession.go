package instance

import (
	"errors"
	"time"

	"github.com/masticlead/masticlead/keeper"
)

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
		lead, ver, err := in.Keeper.WatchLeader(in.ctx, after, watchWait)
		if err != nil {
			known = !errors.Is(err, keeper.ErrHistoryTruncated)
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
		wants, lead, complains := in.elector.NeedsHeartbeat(), in.elector.Leader(), in.elector.ShouldReportFailure(time.Now())
		in.electing.Unlock()
		if !wants || lead.Version == 0 && lead.Epoch != 0 || in.leaving.Load() || in.leader.Load() != nil {
			continue
		}
		if complains && time.Since(complained) > complaintPeriod {
			complained = time.Now()
			in.spawn(func() {
				if err := in.Keeper.ReportUnreachable(in.ctx, in.Name, lead.Epoch); err != nil {
					in.Log.Debug("complaint not written", "error", err)
				}
			})
		}
		began := time.Now()
		beat, list, err := in.Keeper.LeaderHealth(in.ctx)
		if err != nil {
			continue
		}
		now := time.Now()
		in.electing.Lock()
		in.elector.Observe(beat, in.Keeper.HeartbeatAge(beat), now.Sub(began), list, now)
		why, due := in.elector.ShouldTakeOver(now)
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
