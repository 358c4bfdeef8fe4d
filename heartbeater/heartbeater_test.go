package heartbeater

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestMembersFindEachOther guards against members that don't learn of each
// other, of an instance that the platform does not list yet, or of its load and
// rules, in their own and in other data centres.
func TestMembersFindEachOther(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	ids := c.startAll(3)
	late := c.start("a-9", "a", 1, false)
	c.mu.Lock()
	c.listing = c.listing[:1] // the newcomer learns of one seed only
	c.mu.Unlock()
	late.rules.Store(7)
	late.queued.Store(42)
	c.step(5)
	for _, id := range ids["a"] {
		require.Equal(t, alive("a-0", "a-1", "a-2", "a-9"), c.sees(id, "a"))
		m, ok := c.members[id].h.Member("a-9")
		require.True(t, ok)
		require.Equal(t, descriptor.RulesVersion(7), m.Rules)
		require.Equal(t, LoadReport{Queued: 42, Running: 294, FreeFraction: 0.25, WaitMs: 462}, m.Load)
		require.Equal(t, late.h.self.RulesSince.UnixMilli(), m.RulesSince.UnixMilli())
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
	require.Equal(t, alive(ids["b"]...), c.sees("a-9", "b"), "the newcomer learns the others' digests")
}

// TestDeadMember guards against a dead member that stays in the view, against
// removal without suspicion, and against removal in other data centres that
// takes much longer.
func TestDeadMember(t *testing.T) {
	c := newCluster(t, 2, "a", "b")
	c.startAll(3)
	c.kill("a-1")
	died := c.clock.Now()
	suspectedAfter, removedAfter := time.Duration(0), time.Duration(0)
	for removedAfter == 0 {
		c.step(1)
		state, known := c.sees("a-0", "a")["a-1"]
		if known && state == Suspect && suspectedAfter == 0 {
			suspectedAfter = c.clock.Since(died)
		}
		if !known {
			removedAfter = c.clock.Since(died)
		}
	}
	require.NotZero(t, suspectedAfter, "suspicion precedes removal")
	require.LessOrEqual(t, suspectedAfter, 1200*time.Millisecond)
	require.LessOrEqual(t, removedAfter, 2*time.Second)
	c.step(4) // a digest interval, and the relay of the change
	for _, id := range []descriptor.InstanceID{"b-0", "b-1", "b-2"} {
		require.Equal(t, alive("a-0", "a-2"), c.sees(id, "a"))
	}
}

// TestLeave guards against a planned stop that takes as long to be known as a
// failure, and against heartbeats on their way that bring the member back.
func TestLeave(t *testing.T) {
	c := newCluster(t, 3, "a")
	c.startAll(3)
	n := c.members["a-1"]
	drain(n.h.Changes())
	other := c.members["a-0"].h
	drain(other.Changes())
	require.NoError(t, n.h.Close())
	require.Equal(t, alive("a-0", "a-2"), c.sees("a-0", "a"))
	require.Len(t, other.Changes(), 1)

	hb := &heartbeat{Beat: beat{Incarnation: 1, Sequence: 1 << 40}, Record: &record{DataCentre: "a", PeerAddress: "x"}}
	require.Equal(t, outdated, other.hear("a-1", hb))
	hb.Beat.Incarnation = 2
	require.Equal(t, accepted, other.hear("a-1", hb), "its next incarnation may join")
}

func drain(c <-chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// TestPausedMember guards against a paused member that, once it resumes, judges
// the others by their silence during its own pause, or is not taken back.
func TestPausedMember(t *testing.T) {
	c := newCluster(t, 4, "a")
	c.startAll(3)
	isPaused := true
	c.members["a-1"].paused = true
	c.cut(func(from, to descriptor.InstanceID) bool { return isPaused && (from == "a-1" || to == "a-1") })
	c.step(6)
	require.Equal(t, alive("a-0", "a-2"), c.sees("a-0", "a"))
	isPaused = false
	c.members["a-1"].paused = false
	c.members["a-1"].h.tick()
	require.Len(t, c.sees("a-1", "a"), 3)
	c.step(4)
	for id := range c.members {
		require.Equal(t, alive("a-0", "a-1", "a-2"), c.sees(id, "a"))
	}
}

// TestSuspicionIsRefuted guards against a live member that is removed because
// the path works in one direction only: the suspecting side calls it.
func TestSuspicionIsRefuted(t *testing.T) {
	c := newCluster(t, 5, "a")
	c.startAll(3)
	for _, from := range []descriptor.InstanceID{"a-0", "a-1"} {
		c.cut(func(f, to descriptor.InstanceID) bool { return f == from && to == "a-2" })
		for range 20 {
			c.step(1)
			for id := range c.members {
				require.Len(t, c.sees(id, "a"), 3)
			}
		}
	}
}

// TestPartition guards against members that do not find each other again after
// a partition, within a data centre and between two.
func TestPartition(t *testing.T) {
	c := newCluster(t, 6, "a", "b")
	ids := c.startAll(4)
	half := func(id descriptor.InstanceID) bool { return id == "a-0" || id == "a-1" }
	c.cut(func(from, to descriptor.InstanceID) bool { return half(from) != half(to) })
	c.step(6)
	require.Equal(t, alive("a-0", "a-1"), c.sees("a-0", "a"))
	require.Equal(t, alive("a-2", "a-3"), c.sees("a-3", "a"))
	c.cut(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
	c.step(6)
	for id := range c.members {
		require.Equal(t, alive(ids["a"]...), c.sees(id, "a"))
	}

	c.cut(func(from, to descriptor.InstanceID) bool { return from[0] != to[0] })
	c.step(12) // digests stay fresh for 3 s, and members report them for 2 s
	for id := range c.members {
		require.Equal(t, id[0] == 'a', c.members[id].h.Reachable("a"))
		require.Equal(t, alive(ids["a"]...), c.sees(id, "a"), "as last reported")
	}
	c.cut(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
	c.step(4)
	for id := range c.members {
		require.True(t, c.members[id].h.Reachable("a"))
		require.True(t, c.members[id].h.Reachable("b"))
	}
}

// TestRestart guards against an earlier incarnation that overrides a later one.
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
	old := &heartbeat{Beat: beat{Incarnation: 1, Sequence: 1 << 40}, Record: &record{DataCentre: "a", PeerAddress: "x"}}
	require.Equal(t, outdated, c.members["a-0"].h.hear("a-1", old))
}

// TestReplacedDataCentre guards against a data centre that stays unreachable
// because all its members were replaced during a partition.
func TestReplacedDataCentre(t *testing.T) {
	c := newCluster(t, 8, "a", "b")
	c.startAll(2)
	c.cut(func(from, to descriptor.InstanceID) bool { return from[0] != to[0] })
	c.kill("b-0")
	c.kill("b-1")
	c.mu.Lock()
	c.listing = c.listing[:2]
	c.mu.Unlock()
	c.start("b-8", "b", 1, true)
	c.start("b-9", "b", 1, true)
	c.step(26) // the platform's list is read every 10 s
	c.cut(func(descriptor.InstanceID, descriptor.InstanceID) bool { return false })
	c.step(6)
	require.Equal(t, alive("b-8", "b-9"), c.sees("a-0", "b"))
	require.Equal(t, alive("b-8", "b-9"), c.sees("a-1", "b"))
	require.Equal(t, alive("a-0", "a-1"), c.sees("b-8", "a"))
}
