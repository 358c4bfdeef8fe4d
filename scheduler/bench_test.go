package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// BenchmarkDecision measures one request from submission to completion on a full
// cell with the given number of queued requests, of 3 kinds and 1,000 callers in
// 20 teams. No request is urgent, because urgent requests do not queue for long.
func BenchmarkDecision(b *testing.B) {
	for _, queued := range []int{100, 10_000, 90_000} {
		for name, baseline := range map[string]bool{"fair": false, "baseline": true} {
			b.Run(fmt.Sprintf("%s/%d", name, queued), func(b *testing.B) {
				cfg := Config{
					Clock: clockwork.NewFakeClock(), Rand: rand.New(rand.NewPCG(1, 1)),
					Placer: placer.NewPacker(placer.PackerConfig{}),
				}
				if baseline {
					cfg = Baseline(cfg)
				}
				benchmarkDecision(b, New(cfg), queued)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, s *Scheduler, queued int) {
	for i := range 100 {
		s.AddTarget(descriptor.Target{
			ID: descriptor.TargetID(fmt.Sprint(i)), Capacity: descriptor.Resources{CPU: 32000, Memory: 64 << 10, Slots: 8},
		})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	submit := func(i int) {
		caller, kind := rng.IntN(1000), rng.IntN(3)
		r := &descriptor.Request{
			Key:  descriptor.Key{Caller: descriptor.CallerID(fmt.Sprint("caller-", caller)), ID: descriptor.RequestID(fmt.Sprint(i))},
			Team: descriptor.TeamID(fmt.Sprint("team-", caller%20)), Kind: descriptor.KindName(fmt.Sprint("kind-", kind)),
			Priority: descriptor.Normal + descriptor.Priority(kind%2), Tasks: 1, DeclaredRun: time.Second,
			Resources: descriptor.Resources{CPU: 1000 + 1000*descriptor.MilliCPU(kind), Memory: 512, Slots: 1},
			Arrived:   s.cfg.Clock.Now(), Deadline: s.cfg.Clock.Now().Add(100 * time.Hour),
		}
		if refusal := s.Submit(r); refusal != nil {
			b.Fatal(refusal)
		}
	}
	for i := range queued {
		submit(i)
	}
	running := s.Next(10_000)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		submit(queued + i)
		j := rng.IntN(len(running))
		p := running[j]
		s.Ended(p.Request.Key, p.Attempt, 0, p.Tasks[0].Target, Result{Succeeded: true, Started: true, Ran: time.Second})
		s.Done(p.Request.Key)
		if got := s.Next(1); len(got) == 1 {
			running[j] = got[0]
		} else {
			running = append(running[:j], running[j+1:]...)
			running = append(running, s.Next(1000)...)
		}
	}
}
