package leaser

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestFreshCellIsOwned guards against slices without an owner after the first
// start of a cell, and against an uneven distribution.
func TestFreshCellIsOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer c.end()
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		took := c.awaitOwned(5 * time.Second)
		t.Logf("all slices owned after %v", took)
		c.run(10 * time.Second)
		c.requireBalanced()
		g, ok := c.process("a").leaser.Grant(firstOwned(c.process("a")))
		require.True(t, ok)
		require.Equal(t, descriptor.Epoch(1), g.Epoch)
	})
}

func (c *cell) requireBalanced() {
	low, high := descriptor.SliceCount, 0
	for _, n := range c.owned() {
		low, high = min(low, n), max(high, n)
	}
	require.Equal(c.t, descriptor.SliceCount, c.total(), "%v", c.owned())
	require.LessOrEqual(c.t, high-low, 1, "%v", c.owned())
}

func firstOwned(p *process) descriptor.SliceID {
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if _, ok := p.leaser.Grant(s); ok {
			return s
		}
	}
	return descriptor.SliceCount
}

// TestNewOwnerAfterDeath guards against slices that stay without an owner after
// an instance died.
func TestNewOwnerAfterDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.end()
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		c.run(10 * time.Second)
		c.requireBalanced()
		c.kill("a")
		// The last renewal is read up to one period late; the lease and its
		// margin follow, then one more period for the owners to read their rows.
		bound := DefaultLease + 2*DefaultRenewal + time.Second
		took := c.awaitOwned(bound)
		t.Logf("all slices owned again after %v", took)
		c.run(5 * time.Second)
		c.requireBalanced()
	})
}

// TestJoinAndLeave guards against an instance that gets no slices after it
// joined, and against slices that wait for a lease after a graceful release.
func TestJoinAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.end()
		c.start("a")
		c.awaitOwned(5 * time.Second)
		c.start("b")
		c.run(8 * time.Second)
		c.requireBalanced()
		require.NoError(t, c.leave("a"))
		took := c.awaitOwned(DefaultLease)
		t.Logf("all slices owned %v after a graceful release", took)

		// Heartbeats announce the next release.
		c.start("c")
		c.run(8 * time.Second)
		c.requireBalanced()
		require.NoError(t, c.leave("b"))
		c.process("c").leaser.Wake()
		took = c.awaitOwned(DefaultRenewal / 2)
		t.Logf("all slices owned %v after an announced release", took)
	})
}
