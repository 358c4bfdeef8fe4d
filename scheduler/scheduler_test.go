package scheduler

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// fixture is a scheduler with a fake clock and targets of 4 slots.
type fixture struct {
	*Scheduler
	t        *testing.T
	clock    *clockwork.FakeClock
	firstFit *placer.FirstFit
	nextID   int
}

func newFixture(t *testing.T, targets int, edit ...func(*Config)) *fixture {
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), firstFit: placer.NewFirstFit()}
	cfg := Config{Clock: f.clock, Rand: rand.New(rand.NewPCG(1, 2)), Placer: f.firstFit}
	for _, e := range edit {
		e(&cfg)
	}
	f.Scheduler = New(cfg)
	for i := range targets {
		f.AddTarget(descriptor.Target{
			ID:       descriptor.TargetID(fmt.Sprint("t", i)),
			Capacity: descriptor.Resources{CPU: 4000, Memory: 4096, Slots: 4},
		})
	}
	return f
}

// request returns a request for one slot with a declared run time of 1 s.
func (f *fixture) request(caller string, edit ...func(*descriptor.Request)) *descriptor.Request {
	f.nextID++
	now := f.clock.Now()
	r := &descriptor.Request{
		Key:  descriptor.Key{Caller: descriptor.CallerID(caller), ID: descriptor.RequestID(fmt.Sprint(f.nextID))},
		Team: "salons", Kind: "routeBuild", Priority: descriptor.Normal, Idempotent: true, Tasks: 1,
		Resources:   descriptor.Resources{CPU: 1000, Memory: 512, Slots: 1},
		DeclaredRun: time.Second, Arrived: now, Deadline: now.Add(time.Minute),
	}
	for _, e := range edit {
		e(r)
	}
	return r
}

func (f *fixture) submit(r *descriptor.Request) descriptor.Key {
	f.t.Helper()
	require.Nil(f.t, f.Submit(r))
	return r.Key
}

// end completes all tasks of a placement.
func (f *fixture) end(p Placement, ran time.Duration) {
	for _, a := range p.Tasks {
		f.Ended(p.Request.Key, p.Attempt, a.Index, a.Target, Result{Succeeded: true, Started: true, Ran: ran})
	}
	f.Done(p.Request.Key)
}

// TestCapacityIsFreedOnce guards against releasing capacity that is in use when the
// end of a task is reported twice, for another attempt or for another target.
func TestCapacityIsFreedOnce(t *testing.T) {
	f := newFixture(t, 1)
	key := f.submit(f.request("a"))
	p := f.Next(10)
	require.Len(t, p, 1)
	res := Result{Succeeded: true, Started: true, Ran: time.Second}
	used := func() int { return f.Load().Used.Slots }

	f.Ended(key, 2, 0, "t0", res)
	f.Ended(key, 1, 1, "t0", res)
	f.Ended(key, 1, 0, "t9", res)
	require.Equal(t, 1, used())
	f.Ended(key, 1, 0, "t0", res)
	f.Ended(key, 1, 0, "t0", res)
	require.Equal(t, 0, used())
}

// TestDoneKeepsRunningTasksCounted guards against reusing the capacity of a task
// that still runs after its request has got its outcome.
func TestDoneKeepsRunningTasksCounted(t *testing.T) {
	f := newFixture(t, 1)
	key := f.submit(f.request("a"))
	f.Next(1)
	f.Done(key)
	require.Equal(t, 1, f.Load().Used.Slots)
	f.Ended(key, 1, 0, "t0", Result{Started: true, Ran: time.Second})
	require.Equal(t, 0, f.Load().Used.Slots)
	require.Zero(t, f.records.size)
	require.Zero(t, f.tasks.size)
}

// TestResubmittedKeyGetsNewAttempt guards against a resubmitted request that reuses
// the attempt number of a task that still runs.
func TestResubmittedKeyGetsNewAttempt(t *testing.T) {
	f := newFixture(t, 1)
	r := f.request("a")
	f.submit(r)
	f.Next(1)
	f.Done(r.Key)
	f.submit(r)
	p := f.Next(1)
	require.Len(t, p, 1)
	require.EqualValues(t, 2, p[0].Attempt)
	f.Ended(r.Key, 1, 0, "t0", Result{Started: true, Ran: time.Second})
	require.Equal(t, 1, f.Load().Used.Slots)
	f.Ended(r.Key, 2, 0, "t0", Result{Started: true, Ran: time.Second})
	require.Nil(t, f.Requeue(r.Key, nil), "the end of the first run must not remove the record of the second")
}

// TestAdoptedTaskIsCountedOnce guards against allocating capacity twice when a
// target's task list is read twice, and against overcommitting a target after a
// takeover.
func TestAdoptedTaskIsCountedOnce(t *testing.T) {
	f := newFixture(t, 1)
	key := descriptor.Key{Caller: "b", ID: "x"}
	all := descriptor.Resources{CPU: 4000, Memory: 1024, Slots: 4}
	for range 2 {
		f.Adopt("t0", key, "salons", "routeBuild", 3, 0, all, time.Second)
	}
	f.submit(f.request("a"))
	require.Empty(t, f.Next(1))
	f.Ended(key, 3, 0, "t0", Result{Started: true, Succeeded: true, Ran: time.Second})
	require.Len(t, f.Next(1), 1)
}

// TestRequeueAvoidsAndKeepsBudget guards against unbounded retries, and against a
// retry on the target that rejected the task.
func TestRequeueAvoidsAndKeepsBudget(t *testing.T) {
	f := newFixture(t, 2)
	key := f.submit(f.request("a"))
	retries := 0
	for ; retries < 1000; retries++ {
		p := f.Next(1)
		require.Len(t, p, 1)
		f.Ended(key, p[0].Attempt, 0, p[0].Tasks[0].Target, Result{})
		var avoid []descriptor.TargetID
		if retries == 0 {
			avoid = []descriptor.TargetID{"t0"}
		} else {
			require.EqualValues(t, "t1", p[0].Tasks[0].Target)
		}
		if refusal := f.Requeue(key, avoid); refusal != nil {
			require.Equal(t, descriptor.ReasonRetryBudgetSpent, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
			break
		}
	}
	require.Equal(t, maxRetryTokens, retries)
}

// TestRequeueNeedsAllTasksEnded guards against an attempt that runs concurrently
// with an earlier attempt.
func TestRequeueNeedsAllTasksEnded(t *testing.T) {
	f := newFixture(t, 2)
	key := f.submit(f.request("a", func(r *descriptor.Request) { r.Tasks = 2 }))
	p := f.Next(1)
	require.Len(t, p[0].Tasks, 2)
	f.Ended(key, 1, 0, p[0].Tasks[0].Target, Result{Started: true, Ran: time.Second})
	require.NotNil(t, f.Requeue(key, nil))
	f.Ended(key, 1, 1, p[0].Tasks[1].Target, Result{Started: true, Ran: time.Second})
	require.Nil(t, f.Requeue(key, nil))
	require.EqualValues(t, 2, f.Next(1)[0].Attempt)
}

// TestCancelOnlyWaiting guards against starting a cancelled request, and against
// reporting a running request as cancelled before its start.
func TestCancelOnlyWaiting(t *testing.T) {
	f := newFixture(t, 1)
	first, second := f.submit(f.request("a")), f.submit(f.request("a"))
	require.Len(t, f.Next(1), 1)
	require.False(t, f.Cancel(first))
	require.True(t, f.Cancel(second))
	require.False(t, f.Cancel(second))
	require.Empty(t, f.Next(1))
}

// TestInfeasibleWorkIsRefused guards against queueing a request that can never run,
// and against a refusal that tells the caller to retry it.
func TestInfeasibleWorkIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	f.SetRules(&descriptor.Rules{Kinds: map[descriptor.KindName]descriptor.Kind{"plan": {CapacityLimit: 0.5}}})
	cases := map[string]func(*descriptor.Request){
		"larger than any target": func(r *descriptor.Request) { r.Resources.CPU = 9000 },
		"above the kind's limit": func(r *descriptor.Request) { r.Kind, r.Tasks = "plan", 3 },
	}
	for name, edit := range cases {
		t.Run(name, func(t *testing.T) {
			refusal := f.Submit(f.request("a", edit))
			require.NotNil(t, refusal)
			require.Equal(t, descriptor.ReasonNeverFits, refusal.Reason)
			require.NotEmpty(t, refusal.Detail)
			require.Zero(t, refusal.RetryAfter)
		})
	}
	require.Equal(t, descriptor.ReasonNoTargets, newFixture(t, 0).Submit(f.request("a")).Reason)
}

// TestKindLimit guards against a kind that exceeds its limit while another kind
// waits, and against a limit that blocks the other kind.
func TestKindLimit(t *testing.T) {
	f := newFixture(t, 1)
	f.SetRules(&descriptor.Rules{Kinds: map[descriptor.KindName]descriptor.Kind{"plan": {CapacityLimit: 0.5}}})
	for range 4 {
		f.submit(f.request("a", func(r *descriptor.Request) { r.Kind = "plan" }))
	}
	f.submit(f.request("a"))
	kinds := map[descriptor.KindName]int{}
	for _, p := range f.Next(10) {
		kinds[p.Request.Kind]++
	}
	require.Equal(t, map[descriptor.KindName]int{"plan": 2, "routeBuild": 1}, kinds)
}

// TestExpire guards against starting a request that can't meet its deadline, and
// against a request that stays queued after its deadline.
func TestExpire(t *testing.T) {
	f := newFixture(t, 1)
	for range 4 {
		f.submit(f.request("a"))
	}
	require.Len(t, f.Next(10), 4)
	key := f.submit(f.request("b", func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(5 * time.Second) }))
	f.clock.Advance(6 * time.Second)
	require.Empty(t, f.Next(1))
	expired := f.Expire()
	require.Len(t, expired, 1)
	require.Equal(t, key, expired[0].Key)
	require.Equal(t, descriptor.ReasonDeadlinePassed, expired[0].Refusal.Reason)
	require.Positive(t, expired[0].Refusal.RetryAfter)
	require.Empty(t, f.Expire())
	require.False(t, f.Cancel(key))
}

// TestFairBetweenCallers guards against serving callers in proportion to their
// number of requests, and against credit for idle time.
func TestFairBetweenCallers(t *testing.T) {
	f := newFixture(t, 1)
	longDeadline := func(r *descriptor.Request) { r.Deadline = f.clock.Now().Add(time.Hour) }
	for range 40 {
		f.submit(f.request("flood", longDeadline))
	}
	serve := func(rounds int) map[descriptor.CallerID]int {
		got := map[descriptor.CallerID]int{}
		for range rounds {
			for _, p := range f.Next(1) {
				got[p.Request.Caller]++
				f.clock.Advance(time.Second)
				f.end(p, time.Second)
			}
		}
		return got
	}
	serve(20)
	for range 20 {
		f.submit(f.request("late", longDeadline))
	}
	got := serve(10)
	require.InDelta(t, 5, got["late"], 1, "a caller that was idle gets an equal share, no credit")
}

// TestOverrunLeavesShortReserve guards against long work with a short declared run
// time that takes the capacity reserved for short work.
func TestOverrunLeavesShortReserve(t *testing.T) {
	f := newFixture(t, 1)
	f.submit(f.request("a"))
	require.Len(t, f.Next(1), 1)
	require.Zero(t, f.usage.longNonPreemptible)
	f.clock.Advance(time.Minute)
	f.Next(1)
	require.Equal(t, 1, f.usage.longNonPreemptible.Slots)
	f.Ended(descriptor.Key{Caller: "a", ID: "1"}, 1, 0, "t0", Result{Started: true, Succeeded: true, Ran: time.Minute})
	require.Zero(t, f.usage.longNonPreemptible)
	require.Empty(t, f.overruns)
}

// fixedDetector is a Detector that returns a fixed list of changes once.
type fixedDetector struct {
	changes  []TargetChange
	observed int
}

func (d *fixedDetector) Observe(descriptor.TargetID, descriptor.Key, descriptor.KindName, bool, time.Duration, time.Time) {
	d.observed++
}

func (d *fixedDetector) Changes(time.Time) []TargetChange {
	out := d.changes
	d.changes = nil
	return out
}

// TestQuarantinedTargetGetsNoWork guards against placing tasks on a target that the
// detector has quarantined.
func TestQuarantinedTargetGetsNoWork(t *testing.T) {
	d := &fixedDetector{changes: []TargetChange{{Target: "t0", State: placer.Quarantined}}}
	f := newFixture(t, 2, func(cfg *Config) { cfg.Detector = d })
	f.submit(f.request("a"))
	p := f.Next(1)
	require.Len(t, p, 1)
	require.EqualValues(t, "t1", p[0].Tasks[0].Target)
	f.end(p[0], time.Second)
	require.Equal(t, 1, d.observed)
}

// TestStateIsReleased guards against state that grows with the number of requests
// served, in the maps of records and tasks, the backlogs and the usage.
func TestStateIsReleased(t *testing.T) {
	f := newFixture(t, 4)
	rng := rand.New(rand.NewPCG(3, 4))
	running := []Placement{}
	for i := range 20000 {
		r := f.request(fmt.Sprint("c", rng.IntN(5000)))
		if f.Submit(r) == nil && rng.IntN(4) == 0 {
			f.Cancel(r.Key)
		}
		running = append(running, f.Next(2)...)
		if i%2 == 0 {
			f.clock.Advance(100 * time.Millisecond)
		}
		for len(running) > 8 {
			f.end(running[0], time.Second)
			running = running[1:]
		}
	}
	for len(running) > 0 || f.Load().Queued > 0 {
		for _, p := range running {
			f.end(p, time.Second)
		}
		f.clock.Advance(time.Second)
		running = f.Next(100)
	}
	f.Expire()
	require.Zero(t, f.records.size)
	require.Zero(t, f.tasks.size)
	require.Zero(t, f.waiting.callers.size)
	require.Zero(t, f.waiting.total)
	require.Empty(t, f.usage.teams)
	require.Zero(t, f.Load().Used)
	require.Empty(t, f.overruns)
	for _, b := range f.waiting.classes {
		require.Zero(t, *b)
	}
}

// TestReturningTargetKeepsItsTasks guards against overcommitting a target that is
// temporarily missing from the platform's list while its tasks keep running.
func TestReturningTargetKeepsItsTasks(t *testing.T) {
	f := newFixture(t, 1)
	for range 4 {
		f.submit(f.request("a"))
	}
	p := f.Next(10)
	require.Len(t, p, 4)
	f.RemoveTarget("t0")
	f.end(p[0], time.Second)
	f.AddTarget(descriptor.Target{ID: "t0", Capacity: descriptor.Resources{CPU: 4000, Memory: 4096, Slots: 4}})
	require.Equal(t, 3, f.Load().Used.Slots)
}

// TestConcurrentUse guards against access to state without the lock, and against
// capacity that is not released when calls interleave.
func TestConcurrentUse(t *testing.T) {
	s := New(Config{Placer: placer.NewPacker(placer.PackerConfig{})})
	for i := range 4 {
		s.AddTarget(descriptor.Target{
			ID: descriptor.TargetID(fmt.Sprint("t", i)), Capacity: descriptor.Resources{CPU: 8000, Memory: 8192, Slots: 8},
		})
	}
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 500 {
				now := time.Now()
				r := &descriptor.Request{
					Key:  descriptor.Key{Caller: descriptor.CallerID(fmt.Sprint("c", g)), ID: descriptor.RequestID(fmt.Sprint(i))},
					Team: descriptor.TeamID(fmt.Sprint("team", g%2)), Kind: "check", Tasks: 1 + i%2,
					Resources: descriptor.Resources{CPU: 1000, Memory: 256, Slots: 1}, DeclaredRun: time.Millisecond,
					Arrived: now, Deadline: now.Add(time.Minute),
				}
				if s.Submit(r) == nil && i%5 == 0 {
					s.Cancel(r.Key)
				}
				for _, p := range s.Next(2) {
					for _, a := range p.Tasks {
						s.Ended(p.Request.Key, p.Attempt, a.Index, a.Target, Result{Succeeded: true, Started: true, Ran: time.Millisecond})
					}
					s.Done(p.Request.Key)
				}
				s.Expire()
				s.Directives()
				s.Load()
				if i%100 == 0 {
					s.SetRules(&descriptor.Rules{Version: descriptor.RulesVersion(i)})
				}
			}
		})
	}
	wg.Wait()
	for {
		placements := s.Next(10)
		if len(placements) == 0 {
			break
		}
		for _, p := range placements {
			for _, a := range p.Tasks {
				s.Ended(p.Request.Key, p.Attempt, a.Index, a.Target, Result{Succeeded: true, Started: true, Ran: time.Millisecond})
			}
			s.Done(p.Request.Key)
		}
	}
	require.Zero(t, s.Load().Used)
	require.Zero(t, s.Load().Queued)
}
