package leaser

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// The share of one of 16 data centres in the store budget of 300 writes/s and
// 1,500 reads/s, and the number of its instances at the design scale.
const (
	maxWritesPerSecond = 300.0 / 16
	maxReadsPerSecond  = 1500.0 / 16
	instanceCount      = 17
)

// startDataCentre starts a data centre with the settings for an installation of 270
// instances.
func startDataCentre(t *testing.T, seed uint64) *cell {
	c := newCell(t, seed)
	c.config.LeaseDuration, c.config.RenewalInterval = 9*time.Second, 3*time.Second
	for n := range instanceCount {
		c.start(descriptor.InstanceID(fmt.Sprintf("i%02d", n)))
	}
	return c
}

// peakRates waits for d and returns the largest numbers of reads and writes per
// second.
func (c *cell) peakRates(d time.Duration) (reads, writes int) {
	r0, w0 := c.table.RequestCounts()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		r, w := c.table.RequestCounts()
		reads, writes = max(reads, r-r0), max(writes, w-w0)
		r0, w0 = r, w
	}
	return reads, writes
}

// TestIdleCost guards against an idle load that exceeds the store budget at the
// design scale: 270 instances may use 90 writes/s for renewals, and a quarter of
// the read budget.
func TestIdleCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startDataCentre(t, 20)
		defer c.shutdown()
		c.advance(30 * time.Second)
		c.requireBalanced()
		r0, w0 := c.table.RequestCounts()
		const seconds = 120
		time.Sleep(seconds * time.Second) // not advance, whose checks are slow
		r, w := c.table.RequestCounts()
		reads := float64(r-r0) / seconds / instanceCount
		writes := float64(w-w0) / seconds / instanceCount
		t.Logf("one idle instance: %.3f reads/s, %.3f writes/s", reads, writes)
		require.LessOrEqual(t, writes*270, 1.02*90)
		require.LessOrEqual(t, reads*270, 1500.0/4)
	})
}

// TestRestartOfCentre guards against bursts of reads and writes when all instances
// of a data centre start at once, and against a slow start.
func TestRestartOfCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startDataCentre(t, 21)
		defer c.shutdown()
		reads, writes := c.peakRates(30 * time.Second)
		t.Logf("first start: at most %d reads/s, %d writes/s", reads, writes)
		require.LessOrEqual(t, float64(reads), maxReadsPerSecond)
		require.LessOrEqual(t, float64(writes), maxWritesPerSecond)
		c.requireBalanced()
		for n := range instanceCount {
			name := descriptor.InstanceID(fmt.Sprintf("i%02d", n))
			c.kill(name)
			c.start(name)
		}
		reads, writes = c.peakRates(3 * time.Second)
		t.Logf("restart: at most %d reads/s, %d writes/s", reads, writes)
		require.LessOrEqual(t, float64(reads), maxReadsPerSecond)
		require.LessOrEqual(t, float64(writes), maxWritesPerSecond)
		require.Equal(t, descriptor.SliceCount, c.totalOwned())
	})
}

// TestRackFailure guards against takeovers that conflict with each other or exceed
// the store budget when a rack of eight instances fails at once.
func TestRackFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startDataCentre(t, 22)
		defer c.shutdown()
		time.Sleep(30 * time.Second)
		for n := range 8 {
			c.kill(descriptor.InstanceID(fmt.Sprintf("i%02d", n)))
		}
		start := time.Now()
		ownedAfter := time.Duration(0)
		reads, writes := 0, 0
		for time.Since(start) < 30*time.Second {
			r, w := c.peakRates(time.Second)
			reads, writes = max(reads, r), max(writes, w)
			if c.totalOwned() == descriptor.SliceCount && ownedAfter == 0 {
				ownedAfter = time.Since(start)
			}
		}
		t.Logf("owned after %v; at most %d reads/s, %d writes/s", ownedAfter, reads, writes)
		require.LessOrEqual(t, float64(reads), maxReadsPerSecond)
		require.LessOrEqual(t, float64(writes), maxWritesPerSecond)
		require.NotZero(t, ownedAfter)
		require.LessOrEqual(t, ownedAfter, 9*time.Second+2*3*time.Second+time.Second)
		c.requireBalanced()
	})
}

// BenchmarkGrant measures the lease check that is made for each order sent.
func BenchmarkGrant(b *testing.B) {
	l := New(Config{Clock: clockwork.NewRealClock(), LeaseDuration: DefaultLeaseDuration, RenewalInterval: DefaultRenewalInterval, PromiseDuration: DefaultPromiseDuration})
	v := &grantSnapshot{expiry: time.Now().Add(time.Hour)}
	v.epochs[7] = 1
	l.snapshot.Store(v)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := l.Grant(7); !ok {
			b.Fatal("no grant")
		}
	}
}
