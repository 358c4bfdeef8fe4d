package heartbeater

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// BenchmarkControlTraffic measures the membership traffic of an instance, with all
// instances in one process and a fake clock. One operation is two simulated
// seconds. The load of each instance changes in every step.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ dataCentres, members int }{{3, 3}, {16, 17}} {
		b.Run(fmt.Sprintf("%dx%d", size.dataCentres, size.members), func(b *testing.B) {
			var dcs []descriptor.DataCentreID
			for i := range size.dataCentres {
				dcs = append(dcs, descriptor.DataCentreID(fmt.Sprintf("dc%02d", i)))
			}
			c := newCluster(b, 1, dcs...)
			c.startAll(size.members)
			rng := rand.New(rand.NewPCG(1, 1))
			before := c.traffic()
			seconds := 0.0
			for b.Loop() {
				for range 5 { // 5 intervals of 400 ms
					c.randomiseLoads(rng)
					c.step(1)
				}
				seconds += 2
			}
			after := c.traffic()
			perMember := func(i int) float64 { return float64(after[i]-before[i]) / seconds / float64(len(c.members)) }
			b.ReportMetric(perMember(0), "bytesOut/s")
			b.ReportMetric(perMember(1), "bytesIn/s")
			b.ReportMetric(perMember(2), "bytesOutOtherDC/s")
			b.ReportMetric(perMember(3), "bytesInOtherDC/s")
		})
	}
}

// traffic returns the bytes that all members sent and received, then the bytes sent
// to and received from other data centres.
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

// randomiseLoads sets a random load on each member.
func (c *cluster) randomiseLoads(rng *rand.Rand) {
	for _, n := range c.members {
		n.queued.Store(rng.Int64N(500))
	}
}

// BenchmarkMembers measures reading the members of the local and of a remote data
// centre, which the router does for each forwarded request.
func BenchmarkMembers(b *testing.B) {
	c := newCluster(b, 1, "a", "b")
	c.startAll(17)
	h := c.members["a-0"].h
	for _, dc := range c.dcs {
		b.Run(string(dc), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(h.Members(dc)) != 17 {
					b.Fatal("Members did not return all 17 members")
				}
			}
		})
	}
}
