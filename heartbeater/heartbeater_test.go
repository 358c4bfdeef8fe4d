package heartbeater

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestMemberDiscovery guards against members that do not discover each other, an
// instance that is not yet in the platform's directory, or its load and rules
// version, in the same and in other data centres.
func TestMemberDiscovery(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	ids := c.startAll(3)
	joiner := c.start("a-9", "a", 1, false)
	c.mu.Lock()
	c.directory = c.directory[:1] // the new member finds only one seed
	c.mu.Unlock()
	joiner.rules.Store(7)
	joiner.queued.Store(42)
	c.step(5)
	for _, id := range ids["a"] {
		require.Equal(t, allAlive("a-0", "a-1", "a-2", "a-9"), c.memberStates(id, "a"))
		m, ok := c.members[id].h.Member("a-9")
		require.True(t, ok)
		require.Equal(t, descriptor.RulesVersion(7), m.Rules)
		require.Equal(t, LoadReport{Queued: 42, Running: 294, FreeFraction: 0.25, WaitMs: 462}, m.Load)
		require.Equal(t, joiner.h.self.RulesSince.UnixMilli(), m.RulesSince.UnixMilli())
	}
	c.step(13) // one relay interval
	for _, id := range ids["c"] {
		m, ok := c.members[id].h.Member("a-9")
		require.True(t, ok)
		require.Equal(t, 42, m.Load.Queued)
		require.Equal(t, descriptor.RulesVersion(7), m.Rules)
		require.Equal(t, "http-a-9", m.HTTPAddress)
		require.True(t, c.members[id].h.Reachable("a"))
	}
	require.Equal(t, allAlive(ids["b"]...), c.memberStates("a-9", "b"), "the new member must receive the digests of other data centres")
}

// TestFailedMember guards against a failed member that stays in the view, removal
// without prior suspicion, and a removal that takes much longer to reach other data
// centres.
func TestFailedMember(t *testing.T) {
	c := newCluster(t, 2, "a", "b")
	c.startAll(3)
	c.kill("a-1")
	killedAt := c.clock.Now()
	suspectedAfter, removedAfter := time.Duration(0), time.Duration(0)
	for removedAfter == 0 {
		c.step(1)
		state, known := c.memberStates("a-0", "a")["a-1"]
		if known && state == Suspect && suspectedAfter == 0 {
			suspectedAfter = c.clock.Since(killedAt)
		}
		if !known {
			removedAfter = c.clock.Since(killedAt)
		}
	}
	require.NotZero(t, suspectedAfter, "the member must be suspected before it is removed")
	require.LessOrEqual(t, suspectedAfter, 1200*time.Millisecond)
	require.LessOrEqual(t, removedAfter, 2*time.Second)
	c.step(4) // one digest interval and the relay of the change
	for _, id := range []descriptor.InstanceID{"b-0", "b-1", "b-2"} {
		require.Equal(t, allAlive("a-0", "a-2"), c.memberStates(id, "a"))
	}
}

// TestLeave guards against a planned stop that is noticed no sooner than a failure,
// and against heartbeats in flight that add the member again.
func TestLeave(t *testing.T) {
	c := newCluster(t, 3, "a")
	c.startAll(3)
	n := c.members["a-1"]
	drain(n.h.Changes())
	other := c.members["a-0"].h
	drain(other.Changes())
	require.NoError(t, n.h.Close())
	require.Equal(t, allAlive("a-0", "a-2"), c.memberStates("a-0", "a"))
	require.Len(t, other.Changes(), 1)

	hb := &heartbeat{Beat: beat{Incarnation: 1, Sequence: 1 << 40}, Record: &record{DataCentre: "a", PeerAddress: "x"}}
	require.Equal(t, outdated, other.applyHeartbeat("a-1", hb))
	hb.Beat.Incarnation = 2
	require.Equal(t, accepted, other.applyHeartbeat("a-1", hb), "the next incarnation must be accepted")
}

func drain(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// TestPausedMember guards against a member that, when it resumes after a pause,
// removes the others because of their silence during the pause, or is not accepted
// again.
func TestPausedMember(t *testing.T) {
	c := newCluster(t, 4, "a")
	c.startAll(3)
	isPaused := true
	c.members["a-1"].paused = true
	c.setBlocked(func(from, to descriptor.InstanceID) bool { return isPaused && (from == "a-1" || to == "a-1") })
	c.step(6)
	require.Equal(t, allAlive("a-0", "a-2"), c.memberStates("a-0", "a"))
	isPaused = false
	c.members["a-1"].paused = false
	c.members["a-1"].h.tick()
	require.Len(t, c.memberStates("a-1", "a"), 3)
	c.step(4)
	for id := range c.members {
		require.Equal(t, allAlive("a-0", "a-1", "a-2"), c.memberStates(id, "a"))
	}
}

// TestSuspicionIsRefuted guards against the removal of a live member because the
// path to it works in one direction only. A member that is silent is called by both
// sides.
func TestSuspicionIsRefuted(t *testing.T) {
	c := newCluster(t, 5, "a")
	c.startAll(3)
	for _, from := range []descriptor.InstanceID{"a-0", "a-1"} {
		c.setBlocked(func(f, to descriptor.InstanceID) bool { return f == from && to == "a-2" })
		for range 20 {
			c.step(1)
			for id := range c.members {
				require.Len(t, c.memberStates(id, "a"), 3)
			}
		}
	}
}

// TestPartition guards against members that do not discover each other again after a
// partition, within a data centre and between two.
func TestPartition(t *testing.T) {
	c := newCluster(t, 6, "a", "b")
	ids := c.startAll(4)
	inFirstHalf := func(id descriptor.InstanceID) bool { return id == "a-0" || id == "a-1" }
	c.setBlocked(func(from, to descriptor.InstanceID) bool { return inFirstHalf(from) != inFirstHalf(to) })
	c.step(6)
	require.Equal(t, allAlive("a-0", "a-1"), c.memberStates("a-0", "a"))
	require.Equal(t, allAlive("a-2", "a-3"), c.memberStates("a-3", "a"))
	c.setBlocked(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
	c.step(6)
	for id := range c.members {
		require.Equal(t, allAlive(ids["a"]...), c.memberStates(id, "a"))
	}

	c.setBlocked(func(from, to descriptor.InstanceID) bool { return from[0] != to[0] })
	c.step(12) // a digest counts as recent for 3 s, and the reports of members for 2 s
	for id := range c.members {
		require.Equal(t, id[0] == 'a', c.members[id].h.Reachable("a"))
		require.Equal(t, allAlive(ids["a"]...), c.memberStates(id, "a"), "members as last reported before the partition")
	}
	c.setBlocked(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
	c.step(4)
	for id := range c.members {
		require.True(t, c.members[id].h.Reachable("a"))
		require.True(t, c.members[id].h.Reachable("b"))
	}
}

// TestRestart guards against a heartbeat of an earlier incarnation that replaces a
// later one.
func TestRestart(t *testing.T) {
	c := newCluster(t, 7, "a")
	c.startAll(3)
	c.kill("a-1")
	c.start("a-1", "a", 2, true)
	c.step(3)
	for _, id := range []descriptor.InstanceID{"a-0", "a-2"} {
		m, ok := c.members[id].h.Member("a-1")
		require.True(t, ok)
		require.Equal(t, descriptor.Incarnation(2), m.Incarnation)
	}
	outdatedHeartbeat := &heartbeat{Beat: beat{Incarnation: 1, Sequence: 1 << 40}, Record: &record{DataCentre: "a", PeerAddress: "x"}}
	require.Equal(t, outdated, c.members["a-0"].h.applyHeartbeat("a-1", outdatedHeartbeat))
}

// TestReplacedDataCentre guards against a data centre that stays unreachable after a
// partition during which all its members were replaced.
func TestReplacedDataCentre(t *testing.T) {
	c := newCluster(t, 8, "a", "b")
	c.startAll(2)
	c.setBlocked(func(from, to descriptor.InstanceID) bool { return from[0] != to[0] })
	c.kill("b-0")
	c.kill("b-1")
	c.mu.Lock()
	c.directory = c.directory[:2]
	c.mu.Unlock()
	c.start("b-8", "b", 1, true)
	c.start("b-9", "b", 1, true)
	c.step(26) // the platform's directory is read every 10 s
	c.setBlocked(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
	c.step(6)
	require.Equal(t, allAlive("b-8", "b-9"), c.memberStates("a-0", "b"))
	require.Equal(t, allAlive("b-8", "b-9"), c.memberStates("a-1", "b"))
	require.Equal(t, allAlive("a-0", "a-1"), c.memberStates("b-8", "a"))
}
