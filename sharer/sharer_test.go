package sharer

import (
	"testing"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

var capacity = w.Resources{CPU: 100, Mem: 1000}

// TestOrder guards against excess or late work that comes before other work, and against
// steps of one tenant that do not come by readiness.
func TestOrder(t *testing.T) {
	items := []Item{
		{Excess: true, Priority: 0, Ready: 1},
		{Priority: 2, Ready: 1},
		{Priority: 1, Lateness: 1, Ready: 1},
		{Priority: 1, Ready: 5},
		{Priority: 1, Ready: 4},
		{Excess: true, Priority: 0, Ready: 0, Tenant: 1},
	}
	require.Equal(t, []int{4, 3, 2, 1, 5, 0}, new(Sharer).Order(items, make([]Tenant, 2), capacity))
}

// TestSharesFollowWeights guards against shares that do not follow the weights of the
// tenants and the resource that each of them uses most, also beside what they run.
func TestSharesFollowWeights(t *testing.T) {
	var items []Item
	for i := range 300 {
		need := w.Resources{CPU: 1, Mem: 1}
		if i%3 == 2 {
			need = w.Resources{Mem: 20} // 2% of the memory count as 2% of the CPU
		}
		items = append(items, Item{Tenant: i % 3, Ready: int64(i), Need: need})
	}
	order := func(running int64) [3]int {
		var n [3]int
		tenants := []Tenant{{Weight: 30, Used: w.Resources{CPU: running}}, {Weight: 10}, {Weight: 20}}
		for _, i := range new(Sharer).Order(items, tenants, capacity)[:50] {
			n[items[i].Tenant]++
		}
		return n
	}
	n := order(0)
	require.InDeltaSlice(t, []int{30, 10, 10}, n[:], 1)
	n = order(15)
	require.InDeltaSlice(t, []int{23, 13, 13}, n[:], 1.5)
}

// TestRates guards against bursts beyond one second of the rate, rates below one job per
// second that never admit a job, and times that go back and fill the bucket twice.
func TestRates(t *testing.T) {
	var r Rates
	r.Configure([]w.Tenant{{Name: "t", Weight: 4}, {Name: "t", Weight: 99}, {Name: "slow", Weight: 0.5}, {Name: "zero"}, {Name: "negative", Weight: -1}})
	take := func(tenant w.TenantName, from, to, step int64) int {
		n := 0
		for at := from; at < to; at += step {
			if r.Take(tenant, at) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 4, take("t", 1000, 1010, 1))
	require.Equal(t, 40, take("t", 1010, 11010, 10))
	require.Zero(t, take("t", 1000, 1100, 1))
	require.Equal(t, 5, take("slow", 1000, 10000, 100))
	require.Zero(t, take("zero", 1000, 9000, 100)+take("negative", 1000, 9000, 100))
	require.Equal(t, 100, take("", 1000, 1100, 1)+take("removed", 1, 1, 1))
}
