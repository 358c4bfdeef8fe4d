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

// BenchmarkSpread measures how long a change takes to be in force on all live
// instances of 16 data centres, in simulated seconds, while a part of the
// instances has failed unnoticed. Heartbeats don't show versions, so only pushes
// and the head row spread it. The bound of the design page is 12 s.
func BenchmarkSpread(b *testing.B) {
	for _, percent := range []int{0, 10, 30} {
		b.Run(fmt.Sprintf("%d%%failed", percent), func(b *testing.B) {
			var dcs []descriptor.DataCentreID
			for i := range 16 {
				dcs = append(dcs, descriptor.DataCentreID(fmt.Sprintf("dc%02d", i)))
			}
			c := newCell(b, 1, 17, dcs...)
			c.blind = true
			random := rand.New(rand.NewPCG(1, uint64(percent)))
			var ids []descriptor.InstanceID
			for id := range c.nodes {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			version := descriptor.RulesVersion(0)
			pushed, rounds := 0.0, 0.0
			var worst time.Duration
			for b.Loop() {
				random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
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
				c.quiet()
				pushed += 1 - float64(c.behind(version))/float64(len(ids)-len(failed))
				start := c.clock.Now()
				for c.behind(version) > 0 {
					c.run(250 * time.Millisecond)
				}
				worst = max(worst, c.clock.Since(start))
				rounds++
			}
			b.ReportMetric(100*pushed/rounds, "%pushed")
			b.ReportMetric(worst.Seconds(), "worst-s")
		})
	}
}

// behind returns the number of live instances without a version.
func (c *cell) behind(v descriptor.RulesVersion) int {
	n := 0
	for id, node := range c.nodes {
		if !c.failed[id] && node.d.version() < v {
			n++
		}
	}
	return n
}
