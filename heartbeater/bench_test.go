package heartbeater

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// BenchmarkControlTraffic measures the bytes that membership costs an instance,
// with all instances in one process and a fake clock. One operation is two
// simulated seconds. Loads change all the time.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ dataCentres, members int }{{3, 3}, {16, 17}} {
		b.Run(fmt.Sprintf("%dx%d", size.dataCentres, size.members), func(b *testing.B) {
			var dcs []descriptor.DataCentreID
			for i := range size.dataCentres {
				dcs = append(dcs, descriptor.DataCentreID(fmt.Sprintf("dc%02d", i)))
			}
			c := newCluster(b, 1, dcs...)
			c.startAll(size.members)
			random := rand.New(rand.NewPCG(1, 1))
			before := c.traffic()
			seconds := 0.0
			for b.Loop() {
				for range 5 { // two simulated seconds
					c.busyLoads(random)
					c.step(1)
				}
				seconds += 2
			}
			after := c.traffic()
			perInstance := func(i int) float64 { return float64(after[i]-before[i]) / seconds / float64(len(c.members)) }
			b.ReportMetric(perInstance(0), "bytesOut/s")
			b.ReportMetric(perInstance(1), "bytesIn/s")
			b.ReportMetric(perInstance(2), "bytesOutOtherDC/s")
			b.ReportMetric(perInstance(3), "bytesInOtherDC/s")
		})
	}
}

// traffic returns the bytes out and in of all members, then those to and from
// other data centres.
func (c *cluster) traffic() (sum [4]int64) {
	for _, n := range c.members {
		for _, t := range []*messenger.Traffic{n.pool.Traffic, n.server.Traffic} {
			same, other := messenger.SameDataCentre, messenger.OtherDataCentre
			sum[0] += t.Out(same) + t.Out(other)
			sum[1] += t.In(same) + t.In(other)
			sum[2] += t.Out(other)
			sum[3] += t.In(other)
		}
	}
	return sum
}

// busyLoads changes the load of all members.
func (c *cluster) busyLoads(random *rand.Rand) {
	for _, n := range c.members {
		n.queued.Store(random.Int64N(500))
	}
}

// BenchmarkMembers measures what a look at the members of the own and of another
// data centre costs, which the router does for each forwarded request.
func BenchmarkMembers(b *testing.B) {
	c := newCluster(b, 1, "a", "b")
	c.startAll(17)
	h := c.members["a-0"].h
	for _, dc := range c.dcs {
		b.Run(string(dc), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(h.Members(dc)) != 17 {
					b.Fatal("members are missing")
				}
			}
		})
	}
}
