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

func newGangDemand(id string, tasks int, r descriptor.Resources, run time.Duration) Demand {
	d := newDemand(id, tasks, r)
	d.Request.Policy = descriptor.Gang
	d.RunTime = run
	return d
}

func newSingleDemand(id string, r descriptor.Resources, run time.Duration) Demand {
	d := newDemand(id, 1, r)
	d.RunTime = run
	return d
}

// newBusyPacker returns a packer with n targets of four cores, each of which runs
// a two-core task with the given run time.
func newBusyPacker(t *testing.T, n int, run time.Duration) *Packer {
	t.Helper()
	p := NewPacker(PackerConfig{})
	var earlier []descriptor.TargetID
	for i := range n {
		added := newTarget(i, newResources(4, 16, 0, 8))
		p.AddTarget(added)
		filler := newSingleDemand("filler", newResources(2, 1, 0, 1), run)
		filler.Avoid = earlier
		_, verdict := p.Place(startTime, filler)
		require.Equal(t, Placed, verdict)
		earlier = append(earlier, added.ID)
	}
	return p
}

// TestGangNotStarvedBySmallTasks guards against a gang that never starts because
// small tasks take every core that becomes free, and against reserved capacity
// that stays idle although small tasks could use it before the gang starts.
func TestGangNotStarvedBySmallTasks(t *testing.T) {
	p := newBusyPacker(t, 2, 10*time.Second)
	g := newGangDemand("g", 2, newResources(4, 1, 0, 1), time.Second)
	_, verdict := p.Place(startTime, g)
	require.Equal(t, Reserved, verdict)
	reservations := p.Reservations(startTime)
	require.Len(t, reservations, 1)
	require.Equal(t, startTime.Add(10*time.Second), reservations[0].Start)

	_, verdict = p.Place(startTime, newSingleDemand("long", newResources(2, 1, 0, 1), 11*time.Second))
	require.Equal(t, NoRoom, verdict, "task would delay the gang")
	short, verdict := p.Place(startTime, newSingleDemand("short", newResources(2, 1, 0, 1), 9*time.Second))
	require.Equal(t, Placed, verdict, "task ends before the gang starts")

	now := startTime.Add(10 * time.Second)
	p.Release(now, short[0].Target, newResources(2, 1, 0, 1))
	p.Release(now, "t0", newResources(2, 1, 0, 1))
	_, verdict = p.Place(now, newSingleDemand("small", newResources(1, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict, "the reservation has started")
	p.Release(now, "t1", newResources(2, 1, 0, 1))
	placed, verdict := p.Place(now, g)
	require.Equal(t, Placed, verdict)
	require.Len(t, placed, 2)
	require.Empty(t, p.Reservations(now))
}

// TestLargeTaskNotStarvedBySmallTasks guards against a single task that needs a
// whole target and never starts because small tasks take every slot that becomes
// free.
func TestLargeTaskNotStarvedBySmallTasks(t *testing.T) {
	p := NewPacker(PackerConfig{})
	for i := range 2 {
		p.AddTarget(newTarget(i, newResources(8, 16, 0, 8)))
	}
	type end struct {
		at     time.Time
		target descriptor.TargetID
	}
	var ends []end
	now := startTime
	small := newSingleDemand("small", newResources(1, 1, 0, 1), time.Second)
	fill := func() {
		for {
			placed, verdict := p.Place(now, small)
			if verdict != Placed {
				return
			}
			ends = append(ends, end{now.Add(time.Second), placed[0].Target})
		}
	}
	for range 10 { // staggered ends keep the targets from becoming empty by chance
		fill()
		now = now.Add(100 * time.Millisecond)
		p.Release(now, ends[0].target, newResources(1, 1, 0, 1))
		ends = ends[1:]
	}
	large := newSingleDemand("large", newResources(8, 8, 0, 8), time.Second)
	for range 100 {
		if _, verdict := p.Place(now, large); verdict == Placed {
			require.LessOrEqual(t, now.Sub(startTime), 4*time.Second)
			return
		}
		fill()
		if ends[0].at.After(now) {
			now = ends[0].at
		}
		p.Release(now, ends[0].target, newResources(1, 1, 0, 1))
		ends = ends[1:]
	}
	t.Fatal("the large task never started")
}

// TestReservationExpires guards against a gang that holds reserved capacity
// forever because the tasks that it waits for don't end.
func TestReservationExpires(t *testing.T) {
	p := newBusyPacker(t, 2, 10*time.Second)
	g := newGangDemand("g", 2, newResources(4, 1, 0, 1), time.Second)
	_, verdict := p.Place(startTime, g)
	require.Equal(t, Reserved, verdict)
	expiry := p.Reservations(startTime)[0].Expiry
	small := newSingleDemand("small", newResources(2, 1, 0, 1), time.Hour)
	_, verdict = p.Place(expiry.Add(-1), small)
	require.Equal(t, NoRoom, verdict)
	_, verdict = p.Place(expiry, g)
	require.Equal(t, NoRoom, verdict, "other tasks get the targets during the cooldown")
	_, verdict = p.Place(expiry, small)
	require.Equal(t, Placed, verdict)
	_, verdict = p.Place(expiry.Add(reservationCooldown), g)
	require.Equal(t, Reserved, verdict)
}

// TestReservationRemoved guards against capacity that stays reserved for a
// cancelled gang or on a target that is no longer usable.
func TestReservationRemoved(t *testing.T) {
	g := newGangDemand("g", 2, newResources(4, 1, 0, 1), time.Second)
	ends := map[string]func(p *Packer){
		"cancelled":        func(p *Packer) { p.CancelReservation(g.Request.Key) },
		"quarantined":      func(p *Packer) { p.SetState("t0", Quarantined) },
		"removed":          func(p *Packer) { p.RemoveTarget("t1") },
		"capacity reduced": func(p *Packer) { p.AddTarget(newTarget(0, newResources(3, 16, 0, 8))) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			p := newBusyPacker(t, 2, 10*time.Second)
			_, verdict := p.Place(startTime, g)
			require.Equal(t, Reserved, verdict)
			end(p)
			require.Empty(t, p.Reservations(startTime))
			_, verdict = p.Place(startTime, newSingleDemand("long", newResources(1, 1, 0, 1), time.Hour))
			require.Equal(t, Placed, verdict)
		})
	}
}

// TestReservationsDontOverlap guards against a deadlock between two gangs that
// each reserve a target that the other needs, and against small gangs that starve
// a large one.
func TestReservationsDontOverlap(t *testing.T) {
	p := newBusyPacker(t, 4, 10*time.Second)
	_, verdict := p.Place(startTime, newGangDemand("a", 2, newResources(4, 1, 0, 1), time.Second))
	require.Equal(t, Reserved, verdict)
	_, verdict = p.Place(startTime, newGangDemand("large", 4, newResources(4, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict)
	_, verdict = p.Place(startTime, newGangDemand("b", 2, newResources(4, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict, "the large gang reserves next")
	p.CancelReservation(descriptor.Key{Caller: "c", ID: "a"})
	_, verdict = p.Place(startTime, newGangDemand("b", 2, newResources(4, 1, 0, 1), time.Second))
	require.Equal(t, NoRoom, verdict, "the large gang reserves next")
	_, verdict = p.Place(startTime, newGangDemand("large", 4, newResources(4, 1, 0, 1), time.Second))
	require.Equal(t, Reserved, verdict)
}

// TestServicesSpreadOverRacks guards against a service whose tasks all run on one
// rack, so that a single rack failure stops it.
func TestServicesSpreadOverRacks(t *testing.T) {
	p := NewPacker(PackerConfig{})
	for i := range 160 { // 20 racks
		p.AddTarget(newTarget(i, newResources(4, 16, 0, 8)))
	}
	racks := make(map[int]int)
	for i := range 10 {
		d := newDemand(fmt.Sprint(i), 2, newResources(1, 1, 0, 1))
		d.Request.Policy, d.Request.Kind = descriptor.Service, "web"
		placed, verdict := p.Place(startTime, d)
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

// TestParallelPlacement guards against capacity that is lost or counted twice when
// several goroutines place and release tasks concurrently.
func TestParallelPlacement(t *testing.T) {
	p := NewPacker(PackerConfig{})
	for i := range 200 {
		p.AddTarget(newTarget(i, newResources(8, 32, 0, 8)))
	}
	var running sync.WaitGroup
	for worker := range 8 {
		running.Go(func() { placeAndRelease(t, p, uint64(worker)) })
	}
	running.Wait()
	_, used := p.Totals()
	require.Zero(t, used)
	require.Empty(t, p.Reservations(startTime.Add(time.Hour)))
	_, verdict := p.Place(startTime, newGangDemand("all", 200, newResources(8, 32, 0, 8), time.Second))
	require.Equal(t, Placed, verdict, "all capacity is free again")
}

// placeAndRelease places random requests, keeps at most 30 of their tasks running
// after each, and finally releases all tasks.
func placeAndRelease(t *testing.T, p *Packer, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	var running []modelTask
	now := startTime
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		need := newResources(1+rng.IntN(4), 1+rng.IntN(16), 0, 1)
		d := newSingleDemand(fmt.Sprint(seed, i), need, time.Second)
		if rng.IntN(5) == 0 {
			d.Request.Policy, d.Request.Tasks = descriptor.Gang, 1+rng.IntN(20)
		}
		placed, _ := p.Place(now, d)
		for _, a := range placed {
			running = append(running, modelTask{a.Target, need})
		}
		p.CancelReservation(d.Request.Key)
		for len(running) > 30 {
			n := rng.IntN(len(running))
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
