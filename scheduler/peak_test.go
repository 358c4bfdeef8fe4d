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

// TestPeakChecks guards against checkpointable long work that keeps the capacity
// it was lent while short work waits.
func TestPeakChecks(t *testing.T) {
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
	require.Len(t, running, 4, "idle capacity is lent")
	f.clock.Advance(10 * time.Second)
	f.submit(f.request("fitter"))
	require.Empty(t, f.Next(10))
	require.Empty(t, f.Directives())
	f.clock.Advance(time.Second)
	require.Empty(t, f.Next(10))
	directives := f.Directives()
	require.Len(t, directives, 1)
	require.Equal(t, connector.CheckpointTask, directives[0].Directive)
	require.Empty(t, f.Directives(), "one order is enough")

	d := directives[0]
	f.Ended(d.Key, d.Attempt, d.Index, d.Target, Result{Started: true, Ran: 11 * time.Second})
	require.Nil(t, f.Requeue(d.Key, nil))
	p := f.Next(10)
	require.Len(t, p, 1, "the checkpointed work must not take its place back")
	require.EqualValues(t, "fitter", p[0].Request.Caller)
}

// TestLargeTaskIsNotOvertakenForEver guards against a task that needs a whole
// target and never finds one empty, because each freed slot goes to small work.
func TestLargeTaskIsNotOvertakenForEver(t *testing.T) {
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

// TestCheckpointedWorkIsNotStoppedAgainAtOnce guards against long work that is
// started and stopped every second while short work comes and goes.
func TestCheckpointedWorkIsNotStoppedAgainAtOnce(t *testing.T) {
	f := newFixture(t, 4)
	stops := 0
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
			stops++
			f.Ended(d.Key, d.Attempt, d.Index, d.Target, Result{Started: true, Ran: 5 * time.Second})
			require.Nil(t, f.Requeue(d.Key, nil))
		}
	}
	require.Less(t, stops, 8*60, "a stop per request and pause")
}

// TestLateRequestIsRescued guards against an admitted request that misses its
// deadline behind requests that have time.
func TestLateRequestIsRescued(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 4 {
		f.submit(f.request(fmt.Sprint("early", i)))
	}
	first := f.Next(10)
	hurried := f.request("a", func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(10 * time.Second) })
	f.charge("salons", "a")
	f.submit(hurried)
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
			started = started || p.Request == hurried
			f.end(p, time.Second)
		}
	}
	require.True(t, started)
	require.Empty(t, f.Expire())
}

// charge makes a caller's virtual time late, so that it is last in fair order.
func (f *fixture) charge(team descriptor.TeamID, caller descriptor.CallerID) {
	f.cfg.Sequencer.Charge(team, caller, sequencer.Class{}, 1000)
}

// TestThrottleAndRelease guards against bulk work that stays throttled after the
// peak, and against orders that are repeated.
func TestThrottleAndRelease(t *testing.T) {
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
	orders := f.Directives()
	require.Len(t, orders, len(long))
	for _, d := range orders {
		require.Equal(t, connector.ThrottleTask, d.Directive)
	}
	require.Empty(t, f.Directives())

	f.end(long[0], 2*time.Second)
	for f.Load().Queued > 0 {
		p := f.Next(10)
		require.Len(t, p, 1)
		require.Empty(t, f.Directives(), "the peak lasts")
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

// TestLostOrderIsRepeated guards against a task that keeps lent capacity for
// ever because one order to checkpoint got lost.
func TestLostOrderIsRepeated(t *testing.T) {
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
	orders := 0
	for range 60 {
		f.Next(10)
		orders += len(f.Directives())
		f.clock.Advance(time.Second)
	}
	require.Equal(t, 2, orders)
}

// TestRefusedDemandRaisesTheReserve guards against a peak at which short work is
// refused while lent capacity stays with long work that could be checkpointed,
// because only what was admitted counted as demand.
func TestRefusedDemandRaisesTheReserve(t *testing.T) {
	f := newFixture(t, 4)
	calm := f.cfg.Sharer.LongAllowance(f.clock.Now())
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
	require.InDelta(t, longFloor, f.cfg.Sharer.LongAllowance(f.clock.Now()).Usual, 0.05)
	require.Greater(t, calm.Usual, 0.9)
}

// TestReserveEndsWithThePeak guards against long work that waits on an idle cell
// because of short work that was refused a while ago, or because of the pause
// after an order to checkpoint.
func TestReserveEndsWithThePeak(t *testing.T) {
	f := newFixture(t, 4)
	for range 200 {
		f.clock.Advance(50 * time.Millisecond)
		for range 5 {
			f.Submit(f.request("fitter", func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(1500 * time.Millisecond) }))
		}
	}
	f.peak.ordered = f.clock.Now()
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

// TestNoPeakWithoutShortWork guards against a rest of rounding that looks like
// waiting short work: it stopped checkpointable work on an idle cell.
func TestNoPeakWithoutShortWork(t *testing.T) {
	f := newFixture(t, 3)
	hour := func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(1000 * time.Hour) }
	f.SetRules(&descriptor.Rules{Kinds: map[descriptor.KindName]descriptor.Kind{"plan": {Limit: 0.1}}})
	plan := func(r *descriptor.Request) { r.Kind, r.DeclaredRun, r.Checkpointable = "plan", 10*time.Minute, true }
	f.submit(f.request("office", hour, plan))
	f.submit(f.request("office", hour, plan))
	require.Len(t, f.Next(10), 1, "the second plan waits for the limit of its kind")
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
		require.Zero(t, f.peak.since)
	}
}
