package leaser

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestFreshCellIsOwned guards against slices without an owner and against an uneven
// distribution after the first start of a data centre.
func TestFreshCellIsOwned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer c.shutdown()
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		elapsed := c.awaitOwned(5 * time.Second)
		t.Logf("all slices owned after %v", elapsed)
		c.advance(10 * time.Second)
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
	require.Equal(c.t, descriptor.SliceCount, c.totalOwned(), "slices per instance: %v", c.owned())
	require.LessOrEqual(c.t, high-low, 1, "slices per instance: %v", c.owned())
}

func firstOwned(p *process) descriptor.SliceID {
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if _, ok := p.leaser.Grant(s); ok {
			return s
		}
	}
	return descriptor.SliceCount
}

// TestNewOwnerAfterDeath guards against slices that remain without an owner after
// an instance was killed.
func TestNewOwnerAfterDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.shutdown()
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		c.advance(10 * time.Second)
		c.requireBalanced()
		c.kill("a")
		// The last renewal is read up to one interval late. After that the lease
		// with its margin must end, and the new owners need up to one more interval
		// to read their rows.
		bound := DefaultLeaseDuration + 2*DefaultRenewalInterval + time.Second
		elapsed := c.awaitOwned(bound)
		t.Logf("all slices owned again after %v", elapsed)
		c.advance(5 * time.Second)
		c.requireBalanced()
	})
}

// TestJoinAndLeave guards against an instance that gets no slices after it joined,
// and against slices that are only reassigned after the end of a lease although
// their owner was stopped gracefully.
func TestJoinAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 3)
		defer c.shutdown()
		c.start("a")
		c.awaitOwned(5 * time.Second)
		c.start("b")
		c.advance(8 * time.Second)
		c.requireBalanced()
		require.NoError(t, c.stop("a"))
		elapsed := c.awaitOwned(DefaultLeaseDuration)
		t.Logf("all slices owned %v after a graceful release", elapsed)

		// Wake stands for the heartbeat that announces the next release.
		c.start("c")
		c.advance(8 * time.Second)
		c.requireBalanced()
		require.NoError(t, c.stop("b"))
		c.process("c").leaser.Wake()
		elapsed = c.awaitOwned(DefaultRenewalInterval / 2)
		t.Logf("all slices owned %v after an announced release", elapsed)
	})
}
