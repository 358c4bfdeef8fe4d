package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

var start = time.Unix(1_000_000, 0)

// cellOf runs tasks one after another on a detector's targets.
type cellOf struct {
	t       *testing.T
	d       *Detector
	targets int
	now     time.Time
	count   int
	state   map[descriptor.TargetID]placer.TargetState
	most    int // targets out of service at once
}

func newCell(t *testing.T, targets int, cfg Config) *cellOf {
	c := &cellOf{t: t, d: New(cfg), targets: targets, now: start, state: make(map[descriptor.TargetID]placer.TargetState)}
	for i := range targets {
		c.d.AddTarget(name(i))
	}
	return c
}

func name(i int) descriptor.TargetID { return descriptor.TargetID(fmt.Sprintf("t%02d", i)) }

func (c *cellOf) key(caller string) descriptor.Key {
	c.count++
	return descriptor.Key{Caller: descriptor.CallerID(caller), ID: descriptor.RequestID(fmt.Sprint(c.count))}
}

func (c *cellOf) observe(target int, key descriptor.Key, kind string, ok bool) {
	c.now = c.now.Add(time.Millisecond)
	c.d.Observe(name(target), key, descriptor.KindName(kind), ok, time.Millisecond, c.now)
	c.apply()
}

// apply takes over the changes and checks the limit after each.
func (c *cellOf) apply() {
	for _, change := range c.d.Changes(c.now) {
		c.state[change.Target] = change.State
	}
	away := 0
	for _, s := range c.state {
		if s != placer.Placeable {
			away++
		}
	}
	c.most = max(c.most, away)
	require.LessOrEqual(c.t, away, c.d.Limit())
}

// rounds runs one task of a new request on each target in service, n times.
func (c *cellOf) rounds(n int, ok func(target int) bool) {
	for range n {
		for i := range c.targets {
			if c.state[name(i)] != placer.Quarantined {
				c.observe(i, c.key("caller"), "routeBuild", ok(i))
			}
		}
	}
}

func good(int) bool { return true }

// TestBadTargetIsQuarantinedAndReturns guards against a target that fails
// everything and keeps drawing work, and against one that is repaired but never
// used again.
func TestBadTargetIsQuarantinedAndReturns(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newCell(t, 50, Config{Scope: scope})
	c.rounds(2, good)
	bad := func(i int) bool { return i != 7 && i != 8 }
	c.rounds(6, bad)
	require.Equal(t, map[descriptor.TargetID]placer.TargetState{"t07": placer.Quarantined, "t08": placer.Quarantined}, c.state)

	c.now = c.now.Add(5 * time.Second)
	c.apply()
	require.Equal(t, placer.Probing, c.state["t07"])
	c.rounds(1, func(i int) bool { return i != 8 })
	require.Equal(t, placer.Probing, c.state["t07"], "one success is too few")
	require.Equal(t, placer.Quarantined, c.state["t08"], "its probe failed")
	c.rounds(2, good)
	require.Equal(t, placer.Placeable, c.state["t07"])
	c.now = c.now.Add(6 * time.Second)
	c.apply()
	require.Equal(t, placer.Quarantined, c.state["t08"], "the interval grows")
	c.now = c.now.Add(5 * time.Second)
	c.apply()
	require.Equal(t, placer.Probing, c.state["t08"])

	counters := scope.Snapshot().Counters()
	require.EqualValues(t, 2, counters["quarantined+reason=failures"].Value())
	require.EqualValues(t, 1, counters["quarantined+reason=probeFailed"].Value())
	require.EqualValues(t, 1, counters["released+reason=recovered"].Value())
}

// TestBadTargetsThatDrawMostWork guards against a comparison in which the many
// failures of the bad targets make their peers look as bad.
func TestBadTargetsThatDrawMostWork(t *testing.T) {
	c := newCell(t, 50, Config{})
	for i := range 400 {
		target, ok := i%48+2, true
		if i%10 != 0 { // nine of ten tasks go to the bad targets
			target, ok = i%2, false
		}
		if c.state[name(target)] == placer.Placeable {
			c.observe(target, c.key(fmt.Sprint("c", i%100)), "routeBuild", ok)
		}
	}
	require.Equal(t, placer.Quarantined, c.state["t00"])
	require.Equal(t, placer.Quarantined, c.state["t01"])
	require.Equal(t, 2, c.most)
}

// TestWorkFaultsAreNotBlamedOnTargets guards against good targets that leave
// service because a kind, a caller's requests or one request always fails.
func TestWorkFaultsAreNotBlamedOnTargets(t *testing.T) {
	tests := map[string]func(c *cellOf, round, target int){
		"kind": func(c *cellOf, _, target int) {
			c.observe(target, c.key("caller"), "broken", false)
			c.observe(target, c.key("caller"), "routeBuild", true)
		},
		"new kind on few targets": func(c *cellOf, _, target int) {
			c.observe(target, c.key("caller"), "routeBuild", true)
			c.observe(target%2, c.key("other"), "broken", false)
		},
		"caller": func(c *cellOf, _, target int) {
			c.observe(target, c.key("broken"), "routeBuild", false)
			c.observe(target, c.key("caller"), "routeBuild", true)
			c.observe(target, c.key("caller"), "routeBuild", true)
		},
		"request retried everywhere": func(c *cellOf, round, target int) {
			key := descriptor.Key{Caller: "caller", ID: descriptor.RequestID(fmt.Sprint(round % 3))}
			c.observe(target, key, "routeBuild", false)
			c.observe(target, c.key("caller"), "routeBuild", true)
		},
		"request retried on one target": func(c *cellOf, _, target int) {
			c.observe(3, descriptor.Key{Caller: "caller", ID: "one"}, "routeBuild", false)
			c.observe(target, c.key("caller"), "routeBuild", true)
		},
	}
	for label, run := range tests {
		t.Run(label, func(t *testing.T) {
			c := newCell(t, 50, Config{})
			c.rounds(2, good)
			for round := range 20 {
				for target := range c.targets {
					run(c, round, target)
				}
			}
			require.Zero(t, c.most)
		})
	}
}

// TestQuarantineIsLimited guards against a cell without targets when everything
// fails, or when more targets are bad than may be quarantined.
func TestQuarantineIsLimited(t *testing.T) {
	c := newCell(t, 50, Config{MaxShare: 0.1})
	c.rounds(10, good)
	c.rounds(20, func(int) bool { return false })
	require.LessOrEqual(t, c.most, 5)

	c = newCell(t, 50, Config{MaxShare: 0.1})
	c.rounds(10, good)
	c.rounds(20, func(i int) bool { return i >= 10 })
	require.Equal(t, 5, c.most)
	for i := range 30 { // the limit falls with the number of targets
		c.d.RemoveTarget(name(20 + i))
		delete(c.state, name(20+i))
		c.apply()
	}
}

// TestSmallCells guards against an instance that owns only a few targets and
// never finds the bad one, or blames good ones for chance failures.
func TestSmallCells(t *testing.T) {
	for _, targets := range []int{2, 3, 6, 12} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			c := newCell(t, targets, Config{})
			c.rounds(10, good)
			c.rounds(30, func(i int) bool { return i != 1 })
			require.Equal(t, map[descriptor.TargetID]placer.TargetState{"t01": placer.Quarantined}, c.state)

			rnd := rand.New(rand.NewPCG(1, uint64(targets)))
			c = newCell(t, targets, Config{})
			c.rounds(20_000/targets, func(int) bool { return rnd.Float64() > 0.1 })
			require.Zero(t, c.most, "a tenth of all tasks fails by chance")
		})
	}
	c := newCell(t, 1, Config{})
	c.rounds(100, func(int) bool { return false })
	require.Zero(t, c.most, "there is no peer to compare the only target with")
}

// TestLostProbesAreReplaced guards against a target that stays out of service
// because its probes were cancelled.
func TestLostProbesAreReplaced(t *testing.T) {
	c := newCell(t, 20, Config{})
	c.rounds(2, good)
	c.rounds(6, func(i int) bool { return i != 0 })
	require.Equal(t, placer.Quarantined, c.state["t00"])
	c.now = c.now.Add(5 * time.Second)
	score := c.d.targets["t00"].score
	require.Equal(t, []Change{{"t00", placer.Probing, reasonProbe, score}}, c.d.Changes(c.now))
	for range 2 {
		require.Empty(t, c.d.Changes(c.now))
		c.now = c.now.Add(5 * time.Second)
		require.Equal(t, []Change{{"t00", placer.Quarantined, reasonProbesLost, score}}, c.d.Changes(c.now))
		require.Equal(t, []Change{{"t00", placer.Probing, reasonProbe, score}}, c.d.Changes(c.now))
	}
}

// TestLateFailuresCount guards against a bad target that returns to service while
// it still fails everything: tasks that were running when it was quarantined fail
// as well, and one such request that failed again elsewhere took back more than
// it had added.
func TestLateFailuresCount(t *testing.T) {
	c := newCell(t, 10, Config{})
	c.rounds(20, func(int) bool { return true })
	var failed []descriptor.Key
	for c.state["t03"] == placer.Placeable {
		k := c.key("caller")
		failed = append(failed, k)
		c.observe(3, k, "routeBuild", false)
		c.apply()
	}
	for range 8 {
		k := c.key("caller")
		failed = append(failed, k)
		c.observe(3, k, "routeBuild", false)
	}
	for _, k := range failed[len(failed)-4:] {
		c.observe(5, k, "routeBuild", false)
	}
	c.apply()
	require.Equal(t, placer.Quarantined, c.state["t03"])
}

// TestFewPeersSuffice guards against a bad target of an instance that has only
// one more: its five or so failures a second took 3.5 s to be recognised, because
// a peer counted no more for many results than for one.
func TestFewPeersSuffice(t *testing.T) {
	c := newCell(t, 2, Config{})
	c.rounds(20, good)
	failures := 0
	for c.state["t00"] != placer.Quarantined {
		c.observe(0, c.key("caller"), "routeBuild", false)
		c.observe(1, c.key("caller"), "routeBuild", true)
		failures++
		require.LessOrEqual(t, failures, 8, "failures before the quarantine")
	}
}

// TestOneWorkFaultKeepsQuarantine guards against a bad target that returns to
// service at once since one of the requests that it failed fails elsewhere, too.
func TestOneWorkFaultKeepsQuarantine(t *testing.T) {
	c := newCell(t, 10, Config{})
	c.rounds(20, good)
	var keys []descriptor.Key
	for c.state["t00"] != placer.Quarantined {
		keys = append(keys, c.key("caller"))
		c.observe(0, keys[len(keys)-1], "routeBuild", false)
	}
	c.observe(1, keys[0], "routeBuild", false)
	require.Equal(t, placer.Quarantined, c.state["t00"])
	for _, key := range keys[1:] {
		c.observe(2, key, "routeBuild", false)
	}
	require.Equal(t, placer.Placeable, c.state["t00"], "all failures were those of the work")
}

// TestRareKindsCount guards against a bad target that fails a few tasks a second
// of many kinds and draws work for 5.7 s: each kind had been seen too rarely
// elsewhere to say much.
func TestRareKindsCount(t *testing.T) {
	c := newCell(t, 2, Config{})
	kinds := []string{"routeBuild", "weekPlan", "wiringPlan", "commissionSettlement", "callList", "doorCodeCheck"}
	for _, kind := range kinds {
		for target := range 2 {
			c.observe(target, c.key("caller"), kind, true)
		}
	}
	failures := 0
	for c.state["t00"] != placer.Quarantined {
		c.observe(0, c.key("caller"), kinds[failures%len(kinds)], false)
		failures++
		require.LessOrEqual(t, failures, 8, "failures before the quarantine")
	}
}

// TestNewKindThatFailsEverywhere guards against good targets that are set aside
// for a kind of work that fails on all of them.
func TestNewKindThatFailsEverywhere(t *testing.T) {
	c := newCell(t, 4, Config{})
	c.rounds(20, good)
	for range 20 {
		for target := range 4 {
			c.observe(target, c.key("caller"), "new", false)
		}
	}
	require.Zero(t, c.most)
}

// TestEarlierTasksSayNothing guards against a target that turned bad and draws
// work for seconds more, since tasks that began before still end well.
func TestEarlierTasksSayNothing(t *testing.T) {
	c := newCell(t, 10, Config{})
	c.rounds(20, good)
	failures := 0
	for c.state["t00"] != placer.Quarantined {
		c.observe(0, c.key("caller"), "routeBuild", false)
		failures++
		c.d.Observe("t00", c.key("caller"), "routeBuild", true, time.Minute, c.now)
		c.apply()
		require.LessOrEqual(t, failures, 6, "failures before the quarantine")
	}
}
