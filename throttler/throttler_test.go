package throttler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// cell simulates instances at which jobs arrive at random, and their leader.
type cell struct {
	rng       *rand.Rand
	now       time.Time
	instances []w.InstanceID
	throttles []*Throttle
	leader    *Allocator
	weights   map[w.TenantName]float64
	names     []w.TenantName // of the tenants in weights, in a fixed order
	waiting   map[w.TenantName]float64
	admitted  map[w.TenantName]int
	refused   map[w.TenantName]int
	serve     func(tenant w.TenantName, d time.Duration) float64 // jobs that the cell starts, or nil for none
}

func newCell(seed uint64, instances int, weights map[w.TenantName]float64) *cell {
	c := &cell{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0), weights: weights,
		waiting: make(map[w.TenantName]float64), admitted: make(map[w.TenantName]int), refused: make(map[w.TenantName]int),
	}
	c.names = slices.Sorted(maps.Keys(weights))
	c.leader = NewAllocator(c.now)
	for i := range instances {
		c.instances = append(c.instances, w.InstanceID(fmt.Sprintf("i%02d", i)))
		c.throttles = append(c.throttles, NewThrottle(c.rng.Float64))
	}
	return c
}

// run advances the cell. rates returns the jobs per second of a tenant at an instance.
func (c *cell) run(d time.Duration, rates func(tenant w.TenantName, instance int) float64) {
	const step = 10 * time.Millisecond
	const stepsPerUpdate, stepsPerStatus = 30, 50
	for k := range int(d / step) {
		c.now = c.now.Add(step)
		for i, throttle := range c.throttles {
			for _, tenant := range c.names {
				if c.rng.Float64() >= rates(tenant, i)*step.Seconds() {
					continue
				}
				if _, ok := throttle.Admit(tenant, c.now); !ok {
					c.refused[tenant]++
					continue
				}
				c.admitted[tenant]++
				c.waiting[tenant]++
				c.leader.Admitted(tenant, c.instances[i], c.now)
			}
			if (k+i)%stepsPerStatus == 0 {
				for _, r := range throttle.TakeRefusals() {
					c.leader.Refused(r.Tenant, c.instances[i], r.Jobs, c.now)
				}
			}
		}
		for _, tenant := range c.names {
			if c.serve != nil {
				c.waiting[tenant] = max(0, c.waiting[tenant]-c.serve(tenant, step))
			}
		}
		if k%stepsPerUpdate == 0 {
			c.update()
		}
	}
}

func (c *cell) update() {
	var loads []TenantLoad
	for _, tenant := range c.names {
		loads = append(loads, TenantLoad{Name: tenant, Weight: c.weights[tenant], WaitingExcess: int(c.waiting[tenant])})
	}
	out := c.leader.Allocate(loads, c.instances, c.now)
	for i, id := range c.instances {
		c.throttles[i].Apply(out[id], c.now)
	}
}

// unevenParts returns the parts of a tenant's arrivals at n instances, from the most to
// the least frequent.
func unevenParts(n int) []float64 {
	parts, sum := make([]float64, n), 0.0
	for i := range parts {
		parts[i] = 1 / float64(1+i)
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

const hot = w.TenantName("hot")

// bursts returns the sum of the depths of a tenant's buckets at all instances.
func (c *cell) bursts(tenant w.TenantName) float64 {
	sum := 0.0
	for _, throttle := range c.throttles {
		if b := throttle.buckets[tenant]; b != nil {
			sum += b.depth()
		}
	}
	return sum
}

// TestHotTenantGetsItsRate guards against a tenant that loses what it is entitled to,
// or gets more, because its rate is split over 42 instances with uneven arrivals whose
// shares change while it is limited, or because it sends less than its rate for a while.
func TestHotTenantGetsItsRate(t *testing.T) {
	const instances, weight, seconds = 42, 40, 10
	parts := unevenParts(instances)
	for _, excess := range []float64{1.5, 4.4, 7.5} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%gx/seed%d", excess, seed), func(t *testing.T) {
				c := newCell(seed, instances, map[w.TenantName]float64{hot: weight})
				c.waiting[hot] = 1000
				var burst float64
				for shift := range 4 {
					rates := func(_ w.TenantName, i int) float64 { return excess * weight * parts[(i+11*shift)%instances] }
					if shift == 0 {
						c.run(learningTime+300*time.Millisecond, rates)
					}
					burst = max(burst, c.bursts(hot))
					if shift == 3 {
						usual := func(_ w.TenantName, i int) float64 { return 0.9 * weight * parts[i] }
						c.run(window, usual)
						c.admitted[hot], c.refused[hot] = 0, 0
						c.run(seconds*time.Second, usual)
						require.Less(t, float64(c.refused[hot]), 0.1*float64(c.admitted[hot]))
					}
					c.admitted[hot] = 0
					c.run(seconds*time.Second, rates)
					require.GreaterOrEqual(t, float64(c.admitted[hot]), 0.9*weight*seconds, "shift %d", shift)
					require.LessOrEqual(t, float64(c.admitted[hot]), 1.25*weight*seconds+burst, "shift %d", shift)
				}
			})
		}
	}
}

// TestHotTenantLimitsNoOther guards against other tenants that are refused because one
// sends 7.5 times its rate, and against a limit that stays after the load has ended.
func TestHotTenantLimitsNoOther(t *testing.T) {
	c := newCell(1, 42, map[w.TenantName]float64{hot: 40, "a": 40, "b": 5})
	c.serve = func(tenant w.TenantName, d time.Duration) float64 { return 1.05 * c.weights[tenant] * d.Seconds() }
	usual := func(tenant w.TenantName, _ int) float64 { return 0.9 * c.weights[tenant] / 42 }
	c.run(5*time.Second, usual)
	require.Zero(t, c.refused[hot])
	c.run(20*time.Second, func(tenant w.TenantName, i int) float64 {
		if tenant == hot {
			return 7.5 * c.weights[hot] / 42
		}
		return usual(tenant, i)
	})
	require.Zero(t, c.refused["a"])
	require.Zero(t, c.refused["b"])
	require.Positive(t, c.refused[hot])
	require.Less(t, c.waiting[hot], 7.5*40*2.0, "the excess fills the queues")
	c.run(20*time.Second, usual)
	require.False(t, c.leader.Limited(hot))
	c.refused[hot] = 0
	c.run(5*time.Second, usual)
	require.Zero(t, c.refused[hot])
}

// TestLeaderAway guards against allowances that outlast the leader or end before
// another can have taken over, and against a new leader that sends allowances before it
// knows through which instances jobs arrive.
func TestLeaderAway(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	throttle := NewThrottle(func() float64 { return 0 })
	throttle.Apply([]linker.Allowance{{Tenant: hot, JobsPerSec: 0.2}}, now)
	_, ok := throttle.Admit(hot, now)
	require.True(t, ok)
	_, ok = throttle.Admit(hot, now.Add(expiry))
	require.False(t, ok)
	require.Equal(t, []linker.Refusals{{Tenant: hot, Jobs: 1}}, throttle.TakeRefusals())
	require.Empty(t, throttle.TakeRefusals(), "refusals must be reported once")
	_, ok = throttle.Admit(hot, now.Add(expiry+time.Millisecond))
	require.True(t, ok)

	leader := NewAllocator(now)
	load := []TenantLoad{{Name: hot, Weight: 1, WaitingExcess: 1000}}
	require.Empty(t, leader.Allocate(load, []w.InstanceID{"i"}, now.Add(learningTime-1)))
	require.NotEmpty(t, leader.Allocate(load, []w.InstanceID{"i"}, now.Add(learningTime)))
}

// TestRetriesSpread guards against refused callers that return together: those that a
// slow or a fast bucket refuses at the same time. Retry times are sent in whole
// seconds, so that a jitter of 2 s spreads them over two of them at least.
func TestRetriesSpread(t *testing.T) {
	const callers = 2000
	for _, rate := range []float64{0, minRate, 0.7, 3, 100} {
		now := time.Unix(1_800_000_000, 0)
		throttle := NewThrottle(rand.New(rand.NewPCG(1, 1)).Float64)
		throttle.Apply([]linker.Allowance{{Tenant: hot, JobsPerSec: rate}}, now)
		bySecond := make(map[time.Duration]int)
		for range callers {
			if after, ok := throttle.Admit(hot, now); !ok {
				require.GreaterOrEqual(t, after, minRetryAfter)
				require.LessOrEqual(t, after, maxRetryAfter)
				bySecond[(after+time.Second-1)/time.Second]++
			}
		}
		for second, n := range bySecond {
			require.LessOrEqual(t, n, callers*55/100, "rate %g: callers that return after %d s", rate, second)
		}
	}
}

// TestMemoryBounded guards against memory that grows with the number of tenants times
// instances after their jobs have arrived, with refused or unknown tenants, or with
// allowances for all of 2,000 tenants.
func TestMemoryBounded(t *testing.T) {
	const tenants, instances = 2000, 42
	now := time.Unix(1_800_000_000, 0)
	leader := NewAllocator(now)
	var ids []w.InstanceID
	for i := range instances {
		ids = append(ids, w.InstanceID(fmt.Sprintf("i%d", i)))
	}
	var loads []TenantLoad
	for i := range tenants {
		loads = append(loads, TenantLoad{Name: w.TenantName(fmt.Sprintf("t%04d", i)), Weight: 1, WaitingExcess: 100 + i})
	}
	for second := range 60 {
		now = now.Add(time.Second)
		for i := range loads {
			leader.Admitted(loads[i].Name, ids[(i+second)%instances], now)
		}
		require.LessOrEqual(t, len(leader.totals), 3*tenants)
	}
	out := leader.Allocate(loads, ids, now)
	throttle := NewThrottle(rand.Float64)
	throttle.Apply(out[ids[0]], now)
	require.Equal(t, maxLimited, len(throttle.buckets))
	require.NotNil(t, throttle.buckets["t1999"], "the tenants with the most excess must be limited")
	for i := range 10_000 {
		throttle.Admit(w.TenantName(fmt.Sprintf("unknown%d", i)), now)
	}
	require.Equal(t, maxLimited, len(throttle.buckets))
	leader.Allocate(nil, ids, now.Add(window+slotLength))
	require.Zero(t, len(leader.totals))
	require.Empty(t, leader.gains)
}
