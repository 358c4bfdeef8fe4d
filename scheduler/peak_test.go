package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/sequencer"
)

// TestPeakCheckpointsLongWork guards against checkpointable long work that keeps
// capacity beyond its allowance while short work waits.
func TestPeakCheckpointsLongWork(t *testing.T) {
	f := newFixture(t, 1)
	f.SetRules(&descriptor.Rules{})
	plan := func(r *descriptor.Request) {
		r.Kind, r.DeclaredRun, r.Checkpointable, r.Priority = "plan", 10*time.Minute, true, descriptor.Bulk
		r.Deadline = f.clock.Now().Add(24 * time.Hour)
	}
	for range 4 {
		f.submit(f.request("office", plan))
	}
	running := f.Next(10)
	require.Len(t, running, 4, "checkpointable long work may use all idle capacity")
	f.clock.Advance(10 * time.Second)
	f.submit(f.request("fitter"))
	require.Empty(t, f.Next(10))
	require.Empty(t, f.Directives())
	f.clock.Advance(time.Second)
	require.Empty(t, f.Next(10))
	directives := f.Directives()
	require.Len(t, directives, 1)
	require.Equal(t, connector.CheckpointTask, directives[0].Directive)
	require.Empty(t, f.Directives(), "the directive must not be repeated")

	d := directives[0]
	f.Ended(d.Key, d.Attempt, d.Index, d.Target, Result{Started: true, Ran: 11 * time.Second})
	require.Nil(t, f.Requeue(d.Key, nil))
	p := f.Next(10)
	require.Len(t, p, 1, "the preempted work must not restart before the short work")
	require.EqualValues(t, "fitter", p[0].Request.Caller)
}

// TestLargeTaskIsNotStarved guards against starvation of a task that needs a whole
// target, which happens if small tasks take every slot that becomes free.
func TestLargeTaskIsNotStarved(t *testing.T) {
	f := newFixture(t, 2, func(cfg *Config) { cfg.Placer = placer.NewPacker(placer.PackerConfig{}) })
	hour := func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(time.Hour) }
	running := []Placement{}
	for range 8 {
		f.submit(f.request("small", hour))
	}
	running = append(running, f.Next(10)...)
	require.Len(t, running, 8)
	f.submit(f.request("large", hour, func(r *descriptor.Request) {
		r.Resources = descriptor.Resources{CPU: 4000, Memory: 4096, Slots: 4}
	}))
	for i := range 1000 {
		f.clock.Advance(100 * time.Millisecond)
		f.end(running[0], time.Second)
		running = running[1:]
		f.submit(f.request(fmt.Sprint("small", i%50), hour))
		for _, p := range f.Next(10) {
			if p.Request.Caller == "large" {
				return
			}
			running = append(running, p)
		}
		if len(running) == 0 {
			break
		}
	}
	t.Fatal("the large task never started")
}

// TestPreemptionCooldown guards against long work that is started and preempted
// every second by short work that arrives in bursts.
func TestPreemptionCooldown(t *testing.T) {
	f := newFixture(t, 4)
	preemptions := 0
	for i := range 8 {
		f.submit(f.request(fmt.Sprint("office", i), func(r *descriptor.Request) {
			r.Kind, r.DeclaredRun, r.Checkpointable, r.Priority = "plan", time.Hour, true, descriptor.Bulk
			r.Deadline = f.clock.Now().Add(100 * time.Hour)
		}))
	}
	type end struct {
		p  Placement
		at time.Time
	}
	var short []end
	rng := rand.New(rand.NewPCG(5, 5))
	for step := range 6000 { // 10 minutes
		f.clock.Advance(100 * time.Millisecond)
		if now := f.clock.Now(); step%20 == 0 {
			for range 5 + rng.IntN(10) {
				f.Submit(f.request("fitter", func(r *descriptor.Request) { r.Deadline = now.Add(time.Minute) }))
			}
		}
		for len(short) > 0 && !short[0].at.After(f.clock.Now()) {
			f.end(short[0].p, time.Second)
			short = short[1:]
		}
		for _, p := range f.Next(100) {
			if p.Request.Kind != "plan" {
				short = append(short, end{p, f.clock.Now().Add(time.Second)})
			}
		}
		for _, d := range f.Directives() {
			preemptions++
			f.Ended(d.Key, d.Attempt, d.Index, d.Target, Result{Started: true, Ran: 5 * time.Second})
			require.Nil(t, f.Requeue(d.Key, nil))
		}
	}
	require.Less(t, preemptions, 8*60, "preemptions: at most one per request and cooldown")
}

// TestDeadlineBoost guards against an admitted request that misses its deadline
// because requests with later deadlines are ahead of it in fair order.
func TestDeadlineBoost(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 4 {
		f.submit(f.request(fmt.Sprint("early", i)))
	}
	first := f.Next(10)
	nearDeadline := f.request("a", func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(10 * time.Second) })
	f.addVirtualTime("salons", "a")
	f.submit(nearDeadline)
	for i := range 20 {
		f.submit(f.request(fmt.Sprint("calm", i), func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(time.Hour) }))
	}
	started := false
	for step := range 10 {
		f.clock.Advance(time.Second)
		if step < len(first) {
			f.end(first[step], time.Second)
		}
		for _, p := range f.Next(1) {
			started = started || p.Request == nearDeadline
			f.end(p, time.Second)
		}
	}
	require.True(t, started)
	require.Empty(t, f.Expire())
}

// addVirtualTime advances a caller's virtual time, so that it is last in fair order.
func (f *fixture) addVirtualTime(team descriptor.TeamID, caller descriptor.CallerID) {
	f.cfg.Sequencer.Charge(team, caller, sequencer.Class{}, 1000)
}

// TestThrottleAndUnthrottle guards against bulk work that stays throttled after the
// peak, and against repeated directives.
func TestThrottleAndUnthrottle(t *testing.T) {
	f := newFixture(t, 1)
	for range 4 {
		f.submit(f.request("office", func(r *descriptor.Request) {
			r.Kind, r.DeclaredRun, r.Priority, r.Deadline = "list", time.Hour, descriptor.Bulk, time.Time{}
		}))
	}
	long := f.Next(10)
	require.Len(t, long, 4)
	for range 8 {
		f.submit(f.request("fitter"))
	}
	for range 2 {
		require.Empty(t, f.Next(10))
		f.clock.Advance(time.Second)
	}
	directives := f.Directives()
	require.Len(t, directives, len(long))
	for _, d := range directives {
		require.Equal(t, connector.ThrottleTask, d.Directive)
	}
	require.Empty(t, f.Directives())

	f.end(long[0], 2*time.Second)
	for f.Load().Queued > 0 {
		p := f.Next(10)
		require.Len(t, p, 1)
		require.Empty(t, f.Directives(), "the peak is not over")
		f.clock.Advance(time.Second)
		f.end(p[0], time.Second)
	}
	f.clock.Advance(5 * time.Second)
	require.Empty(t, f.Next(10))
	released := f.Directives()
	require.Len(t, released, len(long)-1)
	for _, d := range released {
		require.Equal(t, connector.UnthrottleTask, d.Directive)
	}
	require.Empty(t, f.Directives())
}

// TestLostDirectiveIsRepeated guards against a long task that keeps capacity beyond
// the allowance for good because a checkpoint directive was lost.
func TestLostDirectiveIsRepeated(t *testing.T) {
	f := newFixture(t, 1)
	for range 4 {
		f.submit(f.request("office", func(r *descriptor.Request) {
			r.Kind, r.DeclaredRun, r.Checkpointable, r.Priority = "plan", time.Hour, true, descriptor.Bulk
			r.Deadline = f.clock.Now().Add(24 * time.Hour)
		}))
	}
	require.Len(t, f.Next(10), 4)
	f.clock.Advance(10 * time.Second)
	f.submit(f.request("fitter", func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(time.Hour) }))
	directives := 0
	for range 60 {
		f.Next(10)
		directives += len(f.Directives())
		f.clock.Advance(time.Second)
	}
	require.Equal(t, 2, directives)
}

// TestRefusedDemandRaisesReserve guards against a reserve that counts only admitted
// short work as demand. At a peak, short work was refused while checkpointable long
// work kept capacity beyond its allowance.
func TestRefusedDemandRaisesReserve(t *testing.T) {
	f := newFixture(t, 4)
	initial := f.cfg.CapacityPolicy.LongAllowance(f.clock.Now())
	refused := 0
	for range 100 {
		f.clock.Advance(50 * time.Millisecond)
		for range 5 {
			r := f.request("fitter", func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(1500 * time.Millisecond) })
			if f.Submit(r) != nil {
				refused++
			}
		}
	}
	require.Greater(t, refused, 300)
	require.InDelta(t, minLongAllowance, f.cfg.CapacityPolicy.LongAllowance(f.clock.Now()).Base, 0.05)
	require.Greater(t, initial.Base, 0.9)
}

// TestReserveEndsWithPeak guards against long work that waits on an idle cell
// because of short work that was refused earlier, or because of the cooldown after
// a preemption.
func TestReserveEndsWithPeak(t *testing.T) {
	f := newFixture(t, 4)
	for range 200 {
		f.clock.Advance(50 * time.Millisecond)
		for range 5 {
			f.Submit(f.request("fitter", func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(1500 * time.Millisecond) }))
		}
	}
	f.peak.lastPreemption = f.clock.Now()
	for f.Load().Queued > 0 {
		f.clock.Advance(time.Second)
		f.Expire()
	}
	for i := range 8 {
		f.submit(f.request("office", func(r *descriptor.Request) {
			r.Kind, r.DeclaredRun, r.Checkpointable = "plan", time.Hour, i%2 == 0
			r.Deadline = f.clock.Now().Add(24 * time.Hour)
		}))
	}
	started := len(f.Next(10))
	f.clock.Advance(15 * time.Second)
	started += len(f.Next(10))
	require.Equal(t, 8, started)
}

// TestNoPeakWithoutShortWork guards against rounding errors in the total of waiting
// short work. A remainder looked like waiting short work and caused the preemption
// of checkpointable work on an idle cell.
func TestNoPeakWithoutShortWork(t *testing.T) {
	f := newFixture(t, 3)
	hour := func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(1000 * time.Hour) }
	f.SetRules(&descriptor.Rules{Kinds: map[descriptor.KindName]descriptor.Kind{"plan": {CapacityLimit: 0.1}}})
	plan := func(r *descriptor.Request) { r.Kind, r.DeclaredRun, r.Checkpointable = "plan", 10*time.Minute, true }
	f.submit(f.request("office", hour, plan))
	f.submit(f.request("office", hour, plan))
	require.Len(t, f.Next(10), 1, "the second request exceeds the limit of its kind")
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		var keys []descriptor.Key
		for i := range 20 {
			keys = append(keys, f.submit(f.request("fitter", hour, func(r *descriptor.Request) { r.Resources.Slots = 1 + i%3 })))
		}
		rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		for _, k := range keys {
			require.True(t, f.Cancel(k))
		}
		require.Equal(t, 1, f.Load().Queued)
		require.Empty(t, f.Next(10))
		require.Zero(t, f.peak.blockedSince)
	}
}
