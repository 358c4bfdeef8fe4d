package leaser

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/faketable"
)

var (
	seeds     = flag.Uint64("seeds", 8, "number of random schedules")
	firstSeed = flag.Uint64("firstSeed", 0, "seed of the first random schedule")
)

// TestSchedules guards against two owners of a slice under random schedules of
// process pauses, crashes, restarts under the same name, joins, graceful stops,
// partitions from the store and between peers, store outages, lost replies and
// delayed commits. At the end all faults are removed, and every slice must get an
// owner again.
func TestSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	c := newCell(t, seed)
	defer c.shutdown()
	// Short, so that an instance that is alone in its member list doesn't keep
	// slices from the others for long.
	c.config.MaxExtension = 30 * time.Second
	if seed%2 == 1 {
		c.config.Alive = c.alive
	}
	if seed%3 == 1 {
		c.config.MaxExtension = 2 * c.config.LeaseDuration
	}
	if seed%5 == 1 {
		c.config.PromiseDuration = c.config.LeaseDuration
	}
	names := []descriptor.InstanceID{"a", "b", "c", "d"}
	for _, name := range names[:3] {
		c.start(name)
	}
	c.advance(5 * time.Second)
	for range 40 {
		c.injectFault(names)
		c.advance(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
	}
	c.removeFaults(names)
	c.awaitOwned(c.config.MaxExtension + 3*c.config.LeaseDuration)
	c.advance(10 * time.Second)
	c.requireBalanced()
}

// alive lists the running instances that can answer their peers.
func (c *cell) alive() []descriptor.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []descriptor.InstanceID
	for name, p := range c.running {
		if !p.clock.isPaused() && !c.isolated[name] {
			list = append(list, name)
		}
	}
	return list
}

// injectFault makes one random change: it starts, stops, kills, pauses or resumes
// processes, or changes the faults of their connections.
func (c *cell) injectFault(names []descriptor.InstanceID) {
	name := names[c.rng.IntN(len(names))]
	p := c.process(name)
	if p == nil {
		c.start(name)
		return
	}
	switch c.rng.IntN(10) {
	case 0, 1:
		p.clock.pause()
	case 2:
		c.kill(name)
	case 3:
		c.kill(name)
		c.start(name)
	case 4:
		if !p.clock.isPaused() {
			_ = c.stop(name)
		}
	case 5:
		c.setIsolated(name, !c.isIsolated(name))
	case 6:
		p.client.SetFaults(c.randomFaults())
	case 7:
		c.setFaults(c.randomFaults())
	case 8:
		c.setFaults(faketable.Faults{})
	case 9:
		for _, p := range c.running {
			p.clock.resume()
		}
	}
}

func (c *cell) randomFaults() faketable.Faults {
	switch c.rng.IntN(4) {
	case 0:
		return faketable.Faults{Down: true}
	case 1:
		return faketable.Faults{Hang: true}
	default:
		return faketable.Faults{
			MaxLatency:        time.Duration(c.rng.IntN(1500)) * time.Millisecond,
			LostResponseRate:  0.3 * c.rng.Float64(),
			DelayedCommitRate: 0.3 * c.rng.Float64(),
			MaxCommitDelay:    15 * time.Second,
		}
	}
}

func (c *cell) setIsolated(name descriptor.InstanceID, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[name] = isolated
}

func (c *cell) isIsolated(name descriptor.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[name]
}

// removeFaults removes all faults and starts the instances that aren't running.
func (c *cell) removeFaults(names []descriptor.InstanceID) {
	c.setFaults(faketable.Faults{})
	for _, p := range c.running {
		p.clock.resume()
	}
	for _, name := range names {
		c.setIsolated(name, false)
		if c.process(name) == nil {
			c.start(name)
		}
	}
}

// TestOutageIsBridged guards against the loss of slices when the store is down for
// longer than a lease while all instances are alive.
func TestOutageIsBridged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 4)
		defer c.shutdown()
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		c.advance(10 * time.Second)
		c.requireBalanced()
		c.setFaults(faketable.Faults{Hang: true})
		for range 600 {
			c.advance(100 * time.Millisecond)
			require.Equal(t, descriptor.SliceCount, c.totalOwned())
		}
		c.setFaults(faketable.Faults{})
		for range 200 {
			c.advance(100 * time.Millisecond)
			require.Equal(t, descriptor.SliceCount, c.totalOwned())
		}
		require.Equal(t, 3, len(c.all))
	})
}
