package placer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

func gang(id string, tasks int, r descriptor.Resources, run time.Duration) Demand {
	d := demand(id, tasks, r)
	d.Request.Policy = descriptor.Gang
	d.Run = run
	return d
}

func single(id string, r descriptor.Resources, run time.Duration) Demand {
	d := demand(id, 1, r)
	d.Run = run
	return d
}

// busyCell returns a packer with n targets of four cores, each of which runs a
// task of two cores that ends after the given time.
func busyCell(t *testing.T, n int, run time.Duration) *Packer {
	t.Helper()
	p := NewPacker(PackerConfig{})
	var earlier []descriptor.TargetID
	for i := range n {
		added := target(i, size(4, 16, 0, 8))
		p.AddTarget(added)
		filler := single("filler", size(2, 1, 0, 1), run)
		filler.Avoid = earlier
		_, verdict := p.Place(start, filler)
		require.Equal(t, Placed, verdict)
		earlier = append(earlier, added.ID)
	}
	return p
}

// TestGangIsNotStarvedBySmallWork guards against a gang that waits for ever
// because small work takes every core that becomes free, and against idle
// capacity that small work could have used before the gang starts.
func TestGangIsNotStarvedBySmallWork(t *testing.T) {
	p := busyCell(t, 2, 10*time.Second)
	g := gang("g", 2, size(4, 1, 0, 1), time.Second)
	_, verdict := p.Place(start, g)
	require.Equal(t, Reserved, verdict)
	reservations := p.Reservations(start)
	require.Len(t, reservations, 1)
	require.Equal(t, start.Add(10*time.Second), reservations[0].Start)

	_, verdict = p.Place(start, single("long", size(2, 1, 0, 1), 11*time.Second))
	require.Equal(t, NoRoom, verdict, "it would delay the gang")
	short, verdict := p.Place(start, single("short", size(2, 1, 0, 1), 9*time.Second))
	require.Equal(t, Placed, verdict, "it ends before the gang starts")

	now := start.Add(10 * time.Second)
	p.Release(now, short[0].Target, size(2, 1, 0, 1))
	p.Release(now, "t0", size(2, 1, 0, 1))
	_, verdict = p.Place(now, single("small", size(1, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict, "the reservation has started")
	p.Release(now, "t1", size(2, 1, 0, 1))
	placed, verdict := p.Place(now, g)
	require.Equal(t, Placed, verdict)
	require.Len(t, placed, 2)
	require.Empty(t, p.Reservations(now))
}

// TestLargeTaskIsNotStarvedBySmallWork guards against a single task of a whole
// target that waits for ever while small work takes every slot that becomes free.
func TestLargeTaskIsNotStarvedBySmallWork(t *testing.T) {
	p := NewPacker(PackerConfig{})
	for i := range 2 {
		p.AddTarget(target(i, size(8, 16, 0, 8)))
	}
	type end struct {
		at     time.Time
		target descriptor.TargetID
	}
	var ends []end
	now := start
	small := single("small", size(1, 1, 0, 1), time.Second)
	fill := func() {
		for {
			placed, verdict := p.Place(now, small)
			if verdict != Placed {
				return
			}
			ends = append(ends, end{now.Add(time.Second), placed[0].Target})
		}
	}
	for range 10 { // staggered, so that the targets never become empty by chance
		fill()
		now = now.Add(100 * time.Millisecond)
		p.Release(now, ends[0].target, size(1, 1, 0, 1))
		ends = ends[1:]
	}
	large := single("large", size(8, 8, 0, 8), time.Second)
	for range 100 {
		if _, verdict := p.Place(now, large); verdict == Placed {
			require.LessOrEqual(t, now.Sub(start), 4*time.Second)
			return
		}
		fill()
		if ends[0].at.After(now) {
			now = ends[0].at
		}
		p.Release(now, ends[0].target, size(1, 1, 0, 1))
		ends = ends[1:]
	}
	t.Fatal("the large task never started")
}

// TestReservationEndsAtItsLimit guards against a gang that holds capacity for
// ever because the work that it waits for doesn't end.
func TestReservationEndsAtItsLimit(t *testing.T) {
	p := busyCell(t, 2, 10*time.Second)
	g := gang("g", 2, size(4, 1, 0, 1), time.Second)
	_, verdict := p.Place(start, g)
	require.Equal(t, Reserved, verdict)
	limit := p.Reservations(start)[0].Limit
	small := single("small", size(2, 1, 0, 1), time.Hour)
	_, verdict = p.Place(limit.Add(-1), small)
	require.Equal(t, NoRoom, verdict)
	_, verdict = p.Place(limit, g)
	require.Equal(t, NoRoom, verdict, "other work gets the targets first")
	_, verdict = p.Place(limit, small)
	require.Equal(t, Placed, verdict)
	_, verdict = p.Place(limit.Add(lapsePause), g)
	require.Equal(t, Reserved, verdict)
}

// TestWithdrawnReservationIsGone guards against capacity that stays reserved for
// a cancelled gang, or on a target that is no longer usable.
func TestWithdrawnReservationIsGone(t *testing.T) {
	g := gang("g", 2, size(4, 1, 0, 1), time.Second)
	ends := map[string]func(p *Packer){
		"withdrawn":   func(p *Packer) { p.Withdraw(g.Request.Key) },
		"quarantined": func(p *Packer) { p.SetState("t0", Quarantined) },
		"removed":     func(p *Packer) { p.RemoveTarget("t1") },
		"shrunk":      func(p *Packer) { p.AddTarget(target(0, size(3, 16, 0, 8))) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			p := busyCell(t, 2, 10*time.Second)
			_, verdict := p.Place(start, g)
			require.Equal(t, Reserved, verdict)
			end(p)
			require.Empty(t, p.Reservations(start))
			_, verdict = p.Place(start, single("long", size(1, 1, 0, 1), time.Hour))
			require.Equal(t, Placed, verdict)
		})
	}
}

// TestReservationsDontOverlap guards against a deadlock of two gangs that each
// hold a target the other needs, and against small gangs that keep a large one
// waiting for ever.
func TestReservationsDontOverlap(t *testing.T) {
	p := busyCell(t, 4, 10*time.Second)
	_, verdict := p.Place(start, gang("a", 2, size(4, 1, 0, 1), time.Second))
	require.Equal(t, Reserved, verdict)
	_, verdict = p.Place(start, gang("large", 4, size(4, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict)
	_, verdict = p.Place(start, gang("b", 2, size(4, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict, "the large gang is next")
	p.Withdraw(descriptor.Key{Caller: "c", ID: "a"})
	_, verdict = p.Place(start, gang("b", 2, size(4, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict, "the large gang is next")
	_, verdict = p.Place(start, gang("large", 4, size(4, 1, 0, 1), time.Second))
	require.Equal(t, Reserved, verdict)
}

// TestServicesSpreadOverRacks guards against a service that a single rack
// failure stops.
func TestServicesSpreadOverRacks(t *testing.T) {
	p := NewPacker(PackerConfig{})
	for i := range 160 { // 20 racks
		p.AddTarget(target(i, size(4, 16, 0, 8)))
	}
	racks := make(map[int]int)
	for i := range 10 {
		d := demand(fmt.Sprint(i), 2, size(1, 1, 0, 1))
		d.Request.Policy, d.Request.Kind = descriptor.Service, "web"
		placed, verdict := p.Place(start, d)
		require.Equal(t, Placed, verdict)
		for _, a := range placed {
			var n int
			_, err := fmt.Sscanf(string(a.Target), "t%d", &n)
			require.NoError(t, err)
			racks[n/8]++
		}
	}
	require.Len(t, racks, 20, "one task on each rack")
}

// TestParallelPlacement guards against lost or doubled capacity when several
// goroutines place and release at once.
func TestParallelPlacement(t *testing.T) {
	p := NewPacker(PackerConfig{})
	for i := range 200 {
		p.AddTarget(target(i, size(8, 32, 0, 8)))
	}
	var running sync.WaitGroup
	for worker := range 8 {
		running.Go(func() { placeAndRelease(t, p, uint64(worker)) })
	}
	running.Wait()
	_, used := p.Totals()
	require.Zero(t, used)
	require.Empty(t, p.Reservations(start.Add(time.Hour)))
	_, verdict := p.Place(start, gang("all", 200, size(8, 32, 0, 8), time.Second))
	require.Equal(t, Placed, verdict, "all capacity is free again")
}

// placeAndRelease runs random work of up to 30 requests at a time and ends with
// none.
func placeAndRelease(t *testing.T, p *Packer, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	var running []modelTask
	now := start
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		need := size(1+rnd.IntN(4), 1+rnd.IntN(16), 0, 1)
		d := single(fmt.Sprint(seed, i), need, time.Second)
		if rnd.IntN(5) == 0 {
			d.Request.Policy, d.Request.Tasks = descriptor.Gang, 1+rnd.IntN(20)
		}
		placed, _ := p.Place(now, d)
		for _, a := range placed {
			running = append(running, modelTask{a.Target, need})
		}
		p.Withdraw(d.Request.Key)
		for len(running) > 30 {
			n := rnd.IntN(len(running))
			p.Release(now, running[n].target, running[n].need)
			running = append(running[:n], running[n+1:]...)
		}
		if _, used := p.Totals(); used.IsNegative() {
			t.Errorf("seed %d step %d: used %+v", seed, i, used)
		}
	}
	for _, task := range running {
		p.Release(now, task.target, task.need)
	}
}
