package elector

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// TestShouldTakeOver guards against late and unnecessary takeovers.
func TestShouldTakeOver(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	leader := keeper.Leadership{Epoch: 3, Instance: "l"}
	const rtt = 5 * time.Millisecond // of a read from the store
	for name, c := range map[string]struct {
		leader  keeper.Leadership
		setup   func(e *Elector)
		elapsed time.Duration
		want    bool
	}{
		"no leader yet":          {keeper.Leadership{}, func(e *Elector) { e.Observe(keeper.Heartbeat{}, 0, rtt, nil, now) }, 0, true},
		"heartbeat not read yet": {leader, func(*Elector) {}, time.Minute, false},
		"connected": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3}, time.Minute, rtt, nil, now)
			e.SetConnected(now)
		}, 0, false},
		"disconnected, still renewing": {leader, func(e *Elector) { e.Observe(keeper.Heartbeat{Epoch: 3}, 400*time.Millisecond, rtt, nil, now) }, 0, false},
		"stopped renewing":             {leader, func(e *Elector) { e.Observe(keeper.Heartbeat{Epoch: 3}, 1100*time.Millisecond, rtt, nil, now) }, 0, true},
		"stopped renewing, slow store": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3}, 1100*time.Millisecond, 300*time.Millisecond, nil, now)
		}, 0, false},
		"connection refused, stopped renewing": {leader, func(e *Elector) {
			e.SetDisconnected(Refused, now)
			e.Observe(keeper.Heartbeat{Epoch: 3}, 700*time.Millisecond, rtt, nil, now)
		}, 0, true},
		"connection refused, still renewing": {leader, func(e *Elector) {
			e.SetDisconnected(Refused, now)
			e.Observe(keeper.Heartbeat{Epoch: 3}, 300*time.Millisecond, rtt, nil, now)
		}, 0, false},
		"leader process replaced": {leader, func(e *Elector) {
			e.SetDisconnected(Replaced, now)
			e.Observe(keeper.Heartbeat{Epoch: 3}, 0, rtt, nil, now)
		}, 0, true},
		"new leader, no heartbeat yet": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 2}, time.Minute, rtt, nil, now.Add(500*time.Millisecond))
		}, 500 * time.Millisecond, false},
		"new leader, no heartbeat within the timeout": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 2}, time.Minute, rtt, nil, now.Add(2*time.Second))
		}, 2 * time.Second, true},
		"most instances report the leader unreachable": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3, Members: 1}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, true},
		"few instances report the leader unreachable": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3, Members: 5}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, false},
		"unreachable reports of another epoch": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3, Members: 1}, 0, rtt, unreachableReports(2, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, false},
		"most report a leader that is still loading": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(2*time.Second))
		}, 2 * time.Second, false},
		"most report a leader that has just loaded": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(2*time.Second))
			e.Observe(keeper.Heartbeat{Epoch: 3, Members: 1}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(2200*time.Millisecond))
		}, 2200 * time.Millisecond, false},
		"most report a leader that others have reached": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3, Members: 1}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(2*time.Second))
			e.Observe(keeper.Heartbeat{Epoch: 3, Members: 1}, 0, rtt, []keeper.UnreachableReport{
				{Instance: "a", Epoch: 3, Version: 11}, {Instance: "b", Epoch: 3, Version: 12}, {Instance: "c", Epoch: 3, Version: 13},
			}, now.Add(2800*time.Millisecond))
		}, 2800 * time.Millisecond, true},
		"most report a leader that no instance has reached": {leader, func(e *Elector) {
			e.Observe(keeper.Heartbeat{Epoch: 3}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(3*time.Second))
		}, 3 * time.Second, true},
		"most report a leader that they were connected to": {leader, func(e *Elector) {
			e.SetConnected(now)
			e.SetDisconnected(NoAnswer, now)
			e.Observe(keeper.Heartbeat{Epoch: 3}, 0, rtt, unreachableReports(3, "a", "b", "c"), now.Add(900*time.Millisecond))
		}, 900 * time.Millisecond, true},
		"few cores, delays the takeover": {leader, func(e *Elector) {
			e.Cores = 0.2
			e.Observe(keeper.Heartbeat{Epoch: 3, MaxCores: 0.8}, 1100*time.Millisecond, rtt, nil, now)
		}, time.Second, false},
		"few cores, new leader has few cores too": {leader, func(e *Elector) {
			e.Cores = 0.2
			e.Observe(keeper.Heartbeat{Epoch: 3, MaxCores: 0.8}, 0, rtt, nil, now)
			e.Watch(keeper.Leadership{Epoch: 4, Instance: "m"}, now)
			e.Observe(keeper.Heartbeat{Epoch: 4, MaxCores: 0.2}, 1100*time.Millisecond, rtt, nil, now)
		}, 1100 * time.Millisecond, false},
		"few cores, no larger instance reported recently": {leader, func(e *Elector) {
			e.Cores = 0.2
			e.Observe(keeper.Heartbeat{Epoch: 3, MaxCores: 0.8}, 0, rtt, nil, now.Add(-11*time.Second))
			e.Observe(keeper.Heartbeat{Epoch: 3, MaxCores: 0.2}, 1100*time.Millisecond, rtt, nil, now)
		}, time.Second, true},
		"few cores, leader restarted just now": {leader, func(e *Elector) {
			e.Cores = 0.2
			e.SetDisconnected(Replaced, now.Add(700*time.Millisecond))
			e.Observe(keeper.Heartbeat{Epoch: 3, MaxCores: 0.8}, 0, rtt, nil, now)
		}, time.Second, false},
		"few cores, leader restarted longer ago than the delay": {leader, func(e *Elector) {
			e.Cores = 0.2
			e.SetDisconnected(Replaced, now.Add(300*time.Millisecond))
			e.Observe(keeper.Heartbeat{Epoch: 3, MaxCores: 0.8}, 0, rtt, nil, now)
		}, time.Second, true},
		"few cores, no other instance took over": {leader, func(e *Elector) {
			e.Cores = 0.2
			e.Observe(keeper.Heartbeat{Epoch: 3, MaxCores: 0.8}, 1700*time.Millisecond, rtt, nil, now)
		}, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			var e Elector
			e.Watch(c.leader, now)
			c.setup(&e)
			_, got := e.ShouldTakeOver(now.Add(c.elapsed))
			require.Equal(t, c.want, got)
		})
	}
}

func unreachableReports(epoch w.Epoch, names ...w.InstanceID) []keeper.UnreachableReport {
	var reports []keeper.UnreachableReport
	for i, n := range names {
		reports = append(reports, keeper.UnreachableReport{Instance: n, Epoch: epoch, Version: keeper.Version(i + 1)})
	}
	return reports
}

// TestStrongInstanceLeadsAfterOutage guards against a weak instance that takes over at
// the end of an outage of the store, when the heartbeat is old for all instances: it loads
// the cell for seconds, while instances with more cores would do so in a fraction of one.
func TestStrongInstanceLeadsAfterOutage(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	after := func(cores float64, d time.Duration) bool {
		e := &Elector{Cores: cores}
		e.Watch(keeper.Leadership{Epoch: 3, Instance: "l"}, now)
		e.Observe(keeper.Heartbeat{Epoch: 3, Members: 30, MaxCores: 0.8}, 0, time.Millisecond, nil, now)
		e.SetReadFailed()
		end := now.Add(4 * time.Second)
		for at := time.Duration(0); at <= d; at += minPollPeriod {
			e.Observe(keeper.Heartbeat{Epoch: 3, Members: 30, MaxCores: 0.8}, 4*time.Second+at, time.Millisecond, nil, end.Add(at))
			if _, due := e.ShouldTakeOver(end.Add(at)); due {
				return true
			}
		}
		return false
	}
	require.True(t, after(0.8, 0))
	require.False(t, after(0.14, takeoverDelay-minPollPeriod))
	require.True(t, after(0.14, takeoverDelay+minPollPeriod))
}

// TestLeaderThatLosesConnections guards against a leader that renews in time and accepts
// connections, but can't keep them: each join began the time without a connection anew, so
// that it was never replaced.
func TestLeaderThatLosesConnections(t *testing.T) {
	const (
		instances = 37
		connTime  = 2500 * time.Millisecond
		gap       = 100 * time.Millisecond
		bound     = 14 * time.Second
	)
	// takenOver returns when an instance takes over if the connections of the first
	// unsteady instances end conns times each.
	takenOver := func(unsteady, conns int) (time.Duration, bool) {
		start := time.Unix(1_800_000_000, 0)
		leader := keeper.Leadership{Epoch: 3, Instance: "l", Instances: instances + 1}
		list := make([]*Elector, instances)
		for i := range list {
			list[i] = &Elector{Cores: 1}
			list[i].Watch(leader, start)
			list[i].SetConnected(start)
		}
		reports := make(map[w.InstanceID]keeper.UnreachableReport)
		version := keeper.Version(0)
		heartbeat := keeper.Heartbeat{Epoch: 3, Members: instances, Instances: instances + 1, MaxCores: 1}
		for d := gap; d < 3*bound; d += gap {
			now := start.Add(d)
			for i, e := range list {
				if i < unsteady {
					switch phase := d % connTime; {
					case phase == 0 && int(d/connTime) <= conns:
						e.SetDisconnected(NoAnswer, now)
					case phase == gap && int(d/connTime) <= conns && d > connTime:
						e.SetConnected(now)
					}
				}
				if !e.NeedsHeartbeat(now) {
					continue
				}
				var list []keeper.UnreachableReport
				if e.NeedsReports(now) {
					list = slices.Collect(maps.Values(reports))
				}
				e.Observe(heartbeat, 100*time.Millisecond, 4*time.Millisecond, list, now)
				if e.ShouldReportUnreachable(now) {
					version++
					r := e.Report(now)
					r.Instance, r.Version = w.InstanceID(fmt.Sprint("lost/", i)), version
					reports[r.Instance] = r
				}
				if _, due := e.ShouldTakeOver(now); due {
					return d, true
				}
			}
		}
		return 0, false
	}
	const forever = 1 << 20
	at, ok := takenOver(instances, forever)
	require.True(t, ok, "connections of all instances keep ending")
	require.Less(t, at, bound)
	_, ok = takenOver(instances/2, forever)
	require.False(t, ok, "most instances are served")
	_, ok = takenOver(instances, 2)
	require.False(t, ok, "the connections of all instances end twice")
}
