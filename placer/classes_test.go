package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestLevelBounds guards against level bounds that exclude an amount of the level,
// which would hide targets from searches.
func TestLevelBounds(t *testing.T) {
	for _, unit := range []int64{1, cpuUnit} {
		for amount := range int64(1000) {
			l := level(amount, unit, cpuLevels)
			require.LessOrEqual(t, minAmount(l, unit), amount, "unit %d", unit)
			require.GreaterOrEqual(t, maxAmount(l, unit, cpuLevels), amount, "unit %d", unit)
		}
	}
}

// TestLastFreeSlotsAreUsed guards against a nearly full cell in which the last
// free slots, one on each of a few targets, are never used again.
func TestLastFreeSlotsAreUsed(t *testing.T) {
	const targets, slots = 20, 8
	need := descriptor.Resources{CPU: 1000, Memory: 512, Slots: 1}
	rng := rand.New(rand.NewPCG(1, 1))
	p := NewPacker(PackerConfig{})
	for i := range targets {
		p.AddTarget(descriptor.Target{
			ID:       descriptor.TargetID(fmt.Sprint("t", i)),
			Capacity: descriptor.Resources{CPU: 32000, Memory: 128 << 10, Slots: slots},
		})
	}
	now := time.Unix(0, 0)
	var running []descriptor.TargetID
	for range 20000 {
		if i := rng.IntN(100); i >= 52 && len(running) > 0 {
			j := rng.IntN(len(running))
			p.Release(now, running[j], need)
			running[j] = running[len(running)-1]
			running = running[:len(running)-1]
			continue
		}
		a, v := p.Place(now, Demand{Request: &descriptor.Request{Tasks: 1, Resources: need}, RunTime: time.Second})
		require.Equal(t, len(running) < targets*slots, v == Placed, "%d tasks running", len(running))
		if v == Placed {
			running = append(running, a[0].Target)
		}
	}
}
