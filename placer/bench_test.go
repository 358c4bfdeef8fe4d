package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// loadedCell returns a packer with n targets of mixed sizes that run random work.
func loadedCell(n int, load float64) (*Packer, *rand.Rand) {
	p := NewPacker(PackerConfig{})
	rnd := rand.New(rand.NewPCG(1, 3))
	for i := range n {
		p.AddTarget(target(i, size(16+rnd.IntN(48), 64+rnd.IntN(192), 0, 32)))
	}
	for i := 0; ; i++ {
		capacity, used := p.Totals()
		if used.DominantShare(capacity) >= load {
			return p, rnd
		}
		if i > 100*n {
			panic("the cell can't reach the load")
		}
		need := size(1+rnd.IntN(4), 1+rnd.IntN(16), 0, 1)
		p.Place(start, single(fmt.Sprint(i), need, time.Duration(rnd.IntN(60))*time.Second))
	}
}

func eachSize(b *testing.B, f func(b *testing.B, p *Packer, rnd *rand.Rand)) {
	b.Helper()
	for _, n := range []int{50, 1700, 27000} {
		p, rnd := loadedCell(n, 0.75)
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, p, rnd) })
	}
}

// BenchmarkGang measures a gang of six tasks that starts and ends.
func BenchmarkGang(b *testing.B) {
	eachSize(b, func(b *testing.B, p *Packer, _ *rand.Rand) {
		need := size(2, 4, 0, 1)
		for range b.N {
			placed, _ := p.Place(start, gang("g", 6, need, time.Second))
			for _, a := range placed {
				p.Release(start, a.Target, need)
			}
		}
	})
}

// BenchmarkReserve measures the search for a reservation of 12 whole targets.
func BenchmarkReserve(b *testing.B) {
	eachSize(b, func(b *testing.B, p *Packer, _ *rand.Rand) {
		whole := size(16, 64, 0, 32)
		for verdict := Placed; verdict == Placed; {
			_, verdict = p.Place(start, single("filler", whole, time.Second))
		}
		b.ResetTimer()
		for range b.N {
			g := gang("g", 12, whole, time.Second)
			if _, verdict := p.Place(start, g); verdict != Reserved {
				b.Fatal(verdict)
			}
			p.Withdraw(g.Request.Key)
		}
	})
}

// BenchmarkService measures a service of three tasks that starts and ends.
func BenchmarkService(b *testing.B) {
	eachSize(b, func(b *testing.B, p *Packer, _ *rand.Rand) {
		need := size(1, 2, 0, 1)
		for range b.N {
			d := demand("s", 3, need)
			d.Request.Policy = descriptor.Service
			placed, _ := p.Place(start, d)
			for _, a := range placed {
				p.Release(start, a.Target, need)
			}
		}
	})
}

// BenchmarkNeverFits measures single tasks and gangs of random sizes, of which
// about half can never run.
func BenchmarkNeverFits(b *testing.B) {
	eachSize(b, func(b *testing.B, p *Packer, rnd *rand.Rand) {
		for range b.N {
			need := descriptor.Resources{CPU: descriptor.MilliCPU(rnd.IntN(80_000)), Memory: descriptor.MiB(rnd.IntN(300_000)), Slots: 1}
			p.NeverFits(demand("n", 1+rnd.IntN(20), need).Request)
		}
	})
}
