package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// policies returns a new instance of every policy, by name.
func policies() map[string]Policy {
	return map[string]Policy{
		"packer":   NewPacker(PackerConfig{}),
		"firstFit": NewFirstFit(),
	}
}

func eachPolicy(t *testing.T, f func(t *testing.T, p Policy)) {
	t.Helper()
	for name, p := range policies() {
		t.Run(name, func(t *testing.T) { f(t, p) })
	}
}

// size returns resources of the given cores, GiB of memory, accelerators and slots.
func size(cores, gib, accelerators, slots int) descriptor.Resources {
	return descriptor.Resources{
		CPU: descriptor.MilliCPU(1000 * cores), Memory: descriptor.MiB(1024 * gib),
		Accelerators: accelerators, Slots: slots,
	}
}

func target(i int, capacity descriptor.Resources) descriptor.Target {
	return descriptor.Target{
		ID:       descriptor.TargetID(fmt.Sprintf("t%d", i)),
		Rack:     descriptor.RackID(fmt.Sprintf("r%d", i/8)),
		Capacity: capacity,
	}
}

func demand(id string, tasks int, r descriptor.Resources) Demand {
	return Demand{
		Request: &descriptor.Request{
			Key:   descriptor.Key{Caller: "c", ID: descriptor.RequestID(id)},
			Tasks: tasks, Resources: r,
		},
		Run: time.Second,
	}
}

var start = time.Unix(1_000_000, 0)

// TestNeverFitsNamesReason guards against work that waits forever because no
// target can ever run it, and against a refusal of work that only has to wait.
func TestNeverFitsNamesReason(t *testing.T) {
	eachPolicy(t, func(t *testing.T, p Policy) {
		require.Empty(t, p.NeverFits(demand("a", 1, size(1, 1, 0, 1)).Request), "no targets are known yet")
		p.AddTarget(target(0, size(4, 64, 0, 8)))
		p.AddTarget(target(1, size(32, 8, 0, 8)))
		p.SetState("t1", Quarantined)
		tests := []struct {
			name   string
			tasks  int
			need   descriptor.Resources
			reason string
		}{
			{"fits", 1, size(4, 64, 0, 8), ""},
			{"fits only a quarantined target", 1, size(32, 1, 0, 1), ""},
			{"gang over both", 16, size(0, 1, 0, 1), ""},
			{"cpu", 1, size(33, 1, 0, 1), "needs 33000 cpuMilli; the largest target has 32000"},
			{"memory", 1, size(1, 65, 0, 1), "needs 66560 memoryMiB; the largest target has 65536"},
			{"slots", 1, size(1, 1, 0, 9), "needs 9 slots; the largest target has 8"},
			{"accelerators", 1, size(1, 1, 1, 1), "no target has accelerators"},
			{"mixed", 1, size(32, 64, 0, 1), "no single target has enough of all resources together"},
			{"gang", 17, size(0, 1, 0, 1), "needs 17 tasks at once; the whole cell holds at most 16"},
			{"negative", 1, size(-1, 1, 0, 1), "needs a negative amount of a resource"},
		}
		for _, test := range tests {
			require.Equal(t, test.reason, p.NeverFits(demand("a", test.tasks, test.need).Request), test.name)
		}
	})
}

// TestOnlyPlaceableTargetsGetWork guards against starts on targets that leave,
// are quarantined or unreachable, or on which the request has failed before.
func TestOnlyPlaceableTargetsGetWork(t *testing.T) {
	eachPolicy(t, func(t *testing.T, p Policy) {
		for i := range 5 {
			p.AddTarget(target(i, size(4, 4, 0, 4)))
		}
		p.SetState("t0", Leaving)
		p.SetState("t1", Quarantined)
		p.SetState("t2", Unreachable)
		d := demand("a", 4, size(1, 1, 0, 1))
		d.Avoid = []descriptor.TargetID{"t3"}
		placed, verdict := p.Place(start, d)
		require.Equal(t, Placed, verdict)
		for i, a := range placed {
			require.Equal(t, Assignment{Index: i, Target: "t4"}, a)
		}
		_, verdict = p.Place(start, d)
		require.NotEqual(t, Placed, verdict)
	})
}

// TestAddedAgainKeepsUse guards against a target that counts as empty after the
// platform lists it again, and against work on one that is over its capacity.
func TestAddedAgainKeepsUse(t *testing.T) {
	eachPolicy(t, func(t *testing.T, p Policy) {
		p.AddTarget(target(0, size(4, 4, 0, 4)))
		p.Take("t0", size(3, 1, 0, 1))
		p.AddTarget(target(0, size(2, 4, 0, 4)))
		capacity, used := p.Totals()
		require.Equal(t, size(2, 4, 0, 4), capacity)
		require.Equal(t, size(3, 1, 0, 1), used)
		_, verdict := p.Place(start, demand("a", 1, size(0, 1, 0, 1)))
		require.Equal(t, NoRoom, verdict, "the target is over its capacity")

		p.Release(start, "t0", size(3, 1, 0, 1))
		_, used = p.Totals()
		require.Zero(t, used)
		_, verdict = p.Place(start, demand("a", 1, size(2, 4, 0, 4)))
		require.Equal(t, Placed, verdict)
	})
}

// TestRandomOperations guards against capacity that goes negative by Place, a
// partly placed request and a release that is not exact. It compares the policy
// with a plain account of every running task.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(20) {
		eachPolicy(t, func(t *testing.T, p Policy) { runRandomOperations(t, p, seed, 3000) })
	}
}

type modelTask struct {
	target descriptor.TargetID
	need   descriptor.Resources
}

// model is the plain account that the policies are compared with.
type model struct {
	rnd     *rand.Rand
	targets map[descriptor.TargetID]descriptor.Resources
	state   map[descriptor.TargetID]TargetState
	probes  map[descriptor.TargetID]int // left on a target that is being probed
	used    map[descriptor.TargetID]descriptor.Resources
	running []modelTask
}

func (m *model) task() descriptor.Resources {
	return descriptor.Resources{
		CPU: descriptor.MilliCPU(m.rnd.IntN(4000)), Memory: descriptor.MiB(m.rnd.IntN(8000)),
		Accelerators: max(0, m.rnd.IntN(12)-9), Slots: 1 + m.rnd.IntN(2),
	}
}

func runRandomOperations(t *testing.T, p Policy, seed uint64, steps int) {
	t.Helper()
	m := &model{
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		targets: make(map[descriptor.TargetID]descriptor.Resources),
		state:   make(map[descriptor.TargetID]TargetState),
		probes:  make(map[descriptor.TargetID]int),
		used:    make(map[descriptor.TargetID]descriptor.Resources),
	}
	now := start
	for step := range steps {
		now = now.Add(time.Duration(m.rnd.IntN(1000)) * time.Millisecond)
		m.step(t, p, now, step)
		m.check(t, p, seed, step)
	}
}

func (m *model) step(t *testing.T, p Policy, now time.Time, step int) {
	t.Helper()
	id := m.rnd.IntN(200)
	name := descriptor.TargetID(fmt.Sprintf("t%d", id))
	_, known := m.targets[name]
	switch op := m.rnd.IntN(100); {
	case op < 8:
		c := size(1+m.rnd.IntN(16), 1+m.rnd.IntN(32), m.rnd.IntN(3), 1+m.rnd.IntN(8))
		p.AddTarget(target(id, c))
		m.targets[name] = c
	case op < 10:
		p.RemoveTarget(name)
		delete(m.targets, name)
		delete(m.state, name)
		delete(m.used, name)
		m.running = deleteTarget(m.running, name)
	case op < 14 && known:
		s := TargetState(m.rnd.IntN(5))
		p.SetState(name, s)
		if s != m.state[name] {
			m.probes[name] = ProbeTasks
		}
		m.state[name] = s
	case op < 20 && known:
		need := m.task()
		p.Take(name, need)
		m.used[name] = m.used[name].Add(need)
		m.running = append(m.running, modelTask{name, need})
	case op < 50 && len(m.running) > 0:
		m.release(p, now)
	default:
		m.place(t, p, now, fmt.Sprint(step%50))
	}
}

func (m *model) release(p Policy, now time.Time) {
	i := m.rnd.IntN(len(m.running))
	task := m.running[i]
	m.running[i] = m.running[len(m.running)-1]
	m.running = m.running[:len(m.running)-1]
	p.Release(now, task.target, task.need)
	m.used[task.target] = m.used[task.target].Sub(task.need)
}

func (m *model) place(t *testing.T, p Policy, now time.Time, id string) {
	t.Helper()
	d := demand(id, 1, m.task())
	if m.rnd.IntN(4) == 0 {
		d.Request.Policy = descriptor.Gang
		d.Request.Tasks = 2 + m.rnd.IntN(10)
	}
	if m.rnd.IntN(4) == 0 {
		d.Request.Policy = descriptor.Service
		d.Request.Tasks = 1 + m.rnd.IntN(4)
	}
	d.Run = time.Duration(m.rnd.IntN(20)) * time.Second
	placed, verdict := p.Place(now, d)
	if verdict != Placed {
		require.Empty(t, placed)
		return
	}
	require.Len(t, placed, d.Request.Tasks, "all tasks or none")
	for i, a := range placed {
		require.Equal(t, i, a.Index)
		m.requireOpen(t, p, a.Target)
		m.used[a.Target] = m.used[a.Target].Add(d.Request.Resources)
		require.True(t, m.used[a.Target].Fits(m.targets[a.Target]), "capacity below zero on %s", a.Target)
		m.running = append(m.running, modelTask{a.Target, d.Request.Resources})
	}
}

// requireOpen checks that the target may take a task.
func (m *model) requireOpen(t *testing.T, p Policy, name descriptor.TargetID) {
	t.Helper()
	if m.state[name] != Probing {
		require.Equal(t, Placeable, m.state[name])
		return
	}
	if _, ok := p.(*FirstFit); !ok {
		m.probes[name]--
		require.GreaterOrEqual(t, m.probes[name], 0, "more than the probes on %s", name)
	}
}

func (m *model) check(t *testing.T, p Policy, seed uint64, step int) {
	t.Helper()
	var wantCapacity, wantUsed descriptor.Resources
	for name, c := range m.targets {
		if m.state[name] == Placeable {
			wantCapacity = wantCapacity.Add(c)
			wantUsed = wantUsed.Add(m.used[name])
		}
	}
	capacity, used := p.Totals()
	require.Equal(t, wantCapacity, capacity, "seed %d step %d", seed, step)
	require.Equal(t, wantUsed, used, "seed %d step %d", seed, step)
}

func deleteTarget(running []modelTask, name descriptor.TargetID) []modelTask {
	kept := running[:0]
	for _, task := range running {
		if task.target != name {
			kept = append(kept, task)
		}
	}
	return kept
}
