package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// newLoadedPacker returns a packer with n targets of mixed sizes that run random
// tasks until their usage reaches load.
func newLoadedPacker(n int, load float64) (*Packer, *rand.Rand) {
	p := NewPacker(PackerConfig{})
	rng := rand.New(rand.NewPCG(1, 3))
	for i := range n {
		p.AddTarget(newTarget(i, newResources(16+rng.IntN(48), 64+rng.IntN(192), 0, 32)))
	}
	for i := 0; ; i++ {
		capacity, used := p.Totals()
		if used.DominantShare(capacity) >= load {
			return p, rng
		}
		if i > 100*n {
			panic("cell did not reach the requested load")
		}
		need := newResources(1+rng.IntN(4), 1+rng.IntN(16), 0, 1)
		p.Place(startTime, newSingleDemand(fmt.Sprint(i), need, time.Duration(rng.IntN(60))*time.Second))
	}
}

func forEachCellSize(b *testing.B, f func(b *testing.B, p *Packer, rng *rand.Rand)) {
	b.Helper()
	for _, n := range []int{50, 1700, 27000} {
		p, rng := newLoadedPacker(n, 0.75)
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, p, rng) })
	}
}

// BenchmarkGang measures placing and releasing a gang of six tasks.
func BenchmarkGang(b *testing.B) {
	forEachCellSize(b, func(b *testing.B, p *Packer, _ *rand.Rand) {
		need := newResources(2, 4, 0, 1)
		for range b.N {
			placed, _ := p.Place(startTime, newGangDemand("g", 6, need, time.Second))
			for _, a := range placed {
				p.Release(startTime, a.Target, need)
			}
		}
	})
}

// BenchmarkReserve measures reserving targets for a gang of 12 tasks that each need
// as much as a whole target of the smallest size.
func BenchmarkReserve(b *testing.B) {
	forEachCellSize(b, func(b *testing.B, p *Packer, _ *rand.Rand) {
		whole := newResources(16, 64, 0, 32)
		for verdict := Placed; verdict == Placed; {
			_, verdict = p.Place(startTime, newSingleDemand("filler", whole, time.Second))
		}
		b.ResetTimer()
		for range b.N {
			g := newGangDemand("g", 12, whole, time.Second)
			if _, verdict := p.Place(startTime, g); verdict != Reserved {
				b.Fatal(verdict)
			}
			p.CancelReservation(g.Request.Key)
		}
	})
}

// BenchmarkService measures placing and releasing a service of three tasks.
func BenchmarkService(b *testing.B) {
	forEachCellSize(b, func(b *testing.B, p *Packer, _ *rand.Rand) {
		need := newResources(1, 2, 0, 1)
		for range b.N {
			d := newDemand("s", 3, need)
			d.Request.Policy = descriptor.Service
			placed, _ := p.Place(startTime, d)
			for _, a := range placed {
				p.Release(startTime, a.Target, need)
			}
		}
	})
}

// BenchmarkNeverFits measures the feasibility check for single tasks and gangs of
// random sizes, about half of which can never run.
func BenchmarkNeverFits(b *testing.B) {
	forEachCellSize(b, func(b *testing.B, p *Packer, rng *rand.Rand) {
		for range b.N {
			need := descriptor.Resources{CPU: descriptor.MilliCPU(rng.IntN(80_000)), Memory: descriptor.MiB(rng.IntN(300_000)), Slots: 1}
			p.NeverFits(newDemand("n", 1+rng.IntN(20), need).Request)
		}
	})
}
