package elector

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// TestMinorityThatIsCutOff guards against a leader that serves most instances and is
// replaced, because instances that can't join are subtracted from its members, which don't
// contain them.
func TestMinorityThatIsCutOff(t *testing.T) {
	const gap = 100 * time.Millisecond
	for _, c := range []struct{ others, cutOff int }{{4, 2}, {6, 2}, {6, 3}, {8, 3}, {12, 5}, {36, 12}, {36, 13}, {36, 17}} {
		start := time.Unix(1_800_000_000, 0)
		e := &Elector{Cores: 1}
		e.Watch(keeper.Leadership{Epoch: 3, Instance: "l", Instances: c.others + 1}, start)
		now := start
		for range maxShortConns {
			e.SetConnected(now)
			now = now.Add(time.Second)
			e.SetDisconnected(NoAnswer, now)
			now = now.Add(gap)
		}
		// No further connection succeeds. The leader counts those that it serves.
		now = now.Add(time.Second)
		require.True(t, e.ShouldReportUnreachable(now))
		var reports []keeper.UnreachableReport
		for i := range c.cutOff {
			r := e.Report(now)
			r.Instance, r.Version = w.InstanceID(fmt.Sprint("lost/", i)), 1
			reports = append(reports, r)
		}
		heartbeat := keeper.Heartbeat{Epoch: 3, Members: c.others - c.cutOff, Instances: c.others + 1, MaxCores: 1}
		e.Observe(heartbeat, gap, 4*time.Millisecond, reports, now)
		now = now.Add(time.Second) // beyond the spread of candidates
		e.Observe(heartbeat, gap, 4*time.Millisecond, reports, now)
		reason, due := e.ShouldTakeOver(now)
		if due {
			t.Errorf("%d of %d other instances are cut off, the leader serves %d: %s", c.cutOff, c.others, heartbeat.Members, reason)
		}
	}
}

// TestLeadersThatLoseConnectionsAreDamped guards against leaders that replace each other at
// a constant rate while none of them can keep its connections.
func TestLeadersThatLoseConnectionsAreDamped(t *testing.T) {
	const others = 36
	e := &Elector{Cores: 1}
	now := time.Unix(1_800_000_000, 0)
	var terms []time.Duration
	failed := 0
	for epoch := w.Epoch(1); epoch <= 8; epoch++ {
		leader := keeper.Leadership{Epoch: epoch, Instance: "l", Instances: others + 1, FailedLoads: failed}
		e.Watch(leader, now)
		start, version := now, keeper.Version(0)
		e.SetConnected(now)
		for due := false; !due && now.Sub(start) < time.Minute; {
			now = now.Add(100 * time.Millisecond)
			switch phase := now.Sub(start) % (2500 * time.Millisecond); phase {
			case 0:
				e.SetDisconnected(NoAnswer, now)
			case 100 * time.Millisecond:
				e.SetConnected(now)
			}
			var reports []keeper.UnreachableReport
			if e.ShouldReportUnreachable(now) {
				version++
				for i := range others {
					r := e.Report(now)
					r.Instance, r.Version = w.InstanceID(fmt.Sprint("lost/", i)), version
					reports = append(reports, r)
				}
			}
			e.Observe(keeper.Heartbeat{Epoch: epoch, Members: others, Instances: others + 1, MaxCores: 1}, 100*time.Millisecond, 4*time.Millisecond, reports, now)
			_, due = e.ShouldTakeOver(now)
		}
		terms = append(terms, now.Sub(start))
		failed = e.FailedLoads()
	}
	require.Greater(t, terms[7], terms[0], "terms %v", terms)
}

// TestLateRenewalWhileConnected guards against one instance that replaces a leader to which
// it is connected, because a renewal is late after connections of this instance ended.
func TestLateRenewalWhileConnected(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := &Elector{Cores: 1}
	e.Watch(keeper.Leadership{Epoch: 3, Instance: "l", Instances: 37}, now)
	for range maxShortConns {
		e.SetConnected(now)
		now = now.Add(time.Second)
		e.SetDisconnected(NoAnswer, now)
	}
	e.SetConnected(now)
	now = now.Add(4 * time.Second)
	e.Observe(keeper.Heartbeat{Epoch: 3, Members: 36, Instances: 37, MaxCores: 1}, 1200*time.Millisecond, 4*time.Millisecond, nil, now)
	reason, due := e.ShouldTakeOver(now.Add(time.Second / 2))
	require.False(t, due, reason)
}
