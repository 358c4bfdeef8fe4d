package distributor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// BenchmarkSpread measures, in simulated seconds, how long a change takes to be
// installed on all live instances of 16 data centres while a share of the
// instances has failed undetected. Heartbeats do not carry versions here, so a
// change spreads only by push and reads of the head row. The design limit is 12 s.
func BenchmarkSpread(b *testing.B) {
	for _, percent := range []int{0, 10, 30} {
		b.Run(fmt.Sprintf("%d%%failed", percent), func(b *testing.B) {
			var dcs []descriptor.DataCentreID
			for i := range 16 {
				dcs = append(dcs, descriptor.DataCentreID(fmt.Sprintf("dc%02d", i)))
			}
			c := newTestCell(b, 1, 17, dcs...)
			c.hideVersions = true
			rng := rand.New(rand.NewPCG(1, uint64(percent)))
			var ids []descriptor.InstanceID
			for id := range c.nodes {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			version := descriptor.RulesVersion(0)
			pushedSum, rounds := 0.0, 0.0
			var worst time.Duration
			for b.Loop() {
				rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
				failed := map[descriptor.InstanceID]bool{}
				for _, id := range ids[1 : 1+len(ids)*percent/100] {
					failed[id] = true
				}
				c.mu.Lock()
				c.failed = failed
				c.mu.Unlock()
				var err error
				version, err = c.apply(ids[0], version, "anna", fmt.Sprintf("version %d", version+1))
				require.NoError(b, err)
				c.waitIdle()
				pushedSum += 1 - float64(c.countBehind(version))/float64(len(ids)-len(failed))
				start := c.clock.Now()
				for c.countBehind(version) > 0 {
					c.advance(250 * time.Millisecond)
				}
				worst = max(worst, c.clock.Since(start))
				rounds++
			}
			b.ReportMetric(100*pushedSum/rounds, "%pushed")
			b.ReportMetric(worst.Seconds(), "worst-s")
		})
	}
}

// countBehind returns the number of live instances below a version.
func (c *testCell) countBehind(v descriptor.RulesVersion) int {
	n := 0
	for id, node := range c.nodes {
		if !c.failed[id] && node.d.version() < v {
			n++
		}
	}
	return n
}
