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

// The share of one data centre of 16 in the budget of 300 writes/s and
// 1,500 reads/s, and its size at the design scale.
const (
	centreWrites    = 300.0 / 16
	centreReads     = 1500.0 / 16
	centreInstances = 17
)

// startCentre starts a data centre with the settings for 270 instances.
func startCentre(t *testing.T, seed uint64) *cell {
	c := newCell(t, seed)
	c.settings.Lease, c.settings.Renewal = 9*time.Second, 3*time.Second
	for n := range centreInstances {
		c.start(descriptor.InstanceID(fmt.Sprintf("i%02d", n)))
	}
	return c
}

// peak runs for d and returns the largest numbers of reads and writes within a
// second.
func (c *cell) peak(d time.Duration) (reads, writes int) {
	r0, w0 := c.table.Counts()
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		r, w := c.table.Counts()
		reads, writes = max(reads, r-r0), max(writes, w-w0)
		r0, w0 = r, w
	}
	return reads, writes
}

// TestIdleCost guards against leases that use up the store's budget at the
// design scale: the renewals of 270 instances may take 90 writes/s, and the reads
// a quarter of the read budget.
func TestIdleCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCentre(t, 20)
		defer c.end()
		c.run(30 * time.Second)
		c.requireBalanced()
		r0, w0 := c.table.Counts()
		const seconds = 120
		time.Sleep(seconds * time.Second) // without the checks, which take longer
		r, w := c.table.Counts()
		reads := float64(r-r0) / seconds / centreInstances
		writes := float64(w-w0) / seconds / centreInstances
		t.Logf("one idle instance: %.3f reads/s, %.3f writes/s", reads, writes)
		require.LessOrEqual(t, writes*270, 1.02*90)
		require.LessOrEqual(t, reads*270, 1500.0/4)
	})
}

// TestRestartOfCentre guards against a stampede when a whole data centre
// restarts, and against a slow start.
func TestRestartOfCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCentre(t, 21)
		defer c.end()
		reads, writes := c.peak(30 * time.Second)
		t.Logf("first start: at most %d reads/s, %d writes/s", reads, writes)
		require.LessOrEqual(t, float64(reads), centreReads)
		require.LessOrEqual(t, float64(writes), centreWrites)
		c.requireBalanced()
		for n := range centreInstances {
			name := descriptor.InstanceID(fmt.Sprintf("i%02d", n))
			c.kill(name)
			c.start(name)
		}
		reads, writes = c.peak(3 * time.Second)
		t.Logf("restart: at most %d reads/s, %d writes/s", reads, writes)
		require.LessOrEqual(t, float64(reads), centreReads)
		require.LessOrEqual(t, float64(writes), centreWrites)
		require.Equal(t, descriptor.SliceCount, c.total())
	})
}

// TestRackFailure guards against takeovers that conflict with each other, or
// exceed the budget, when a rack of eight instances fails at once.
func TestRackFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCentre(t, 22)
		defer c.end()
		time.Sleep(30 * time.Second)
		for n := range 8 {
			c.kill(descriptor.InstanceID(fmt.Sprintf("i%02d", n)))
		}
		start := time.Now()
		owned := time.Duration(0)
		reads, writes := 0, 0
		for time.Since(start) < 30*time.Second {
			r, w := c.peak(time.Second)
			reads, writes = max(reads, r), max(writes, w)
			if c.total() == descriptor.SliceCount && owned == 0 {
				owned = time.Since(start)
			}
		}
		t.Logf("owned after %v; at most %d reads/s, %d writes/s", owned, reads, writes)
		require.LessOrEqual(t, float64(reads), centreReads)
		require.LessOrEqual(t, float64(writes), centreWrites)
		require.NotZero(t, owned)
		require.LessOrEqual(t, owned, 9*time.Second+2*3*time.Second+time.Second)
		c.requireBalanced()
	})
}

// BenchmarkGrant measures what each send of an order pays for the lease check.
func BenchmarkGrant(b *testing.B) {
	l := New(Config{Clock: clockwork.NewRealClock(), Lease: DefaultLease, Renewal: DefaultRenewal, Promise: DefaultPromise})
	v := &view{until: time.Now().Add(time.Hour)}
	v.epoch[7] = 1
	l.view.Store(v)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := l.Grant(7); !ok {
			b.Fatal("no grant")
		}
	}
}
