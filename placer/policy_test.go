package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// policies returns a new instance of each policy, keyed by name.
func policies() map[string]Policy {
	return map[string]Policy{
		"packer":   NewPacker(PackerConfig{}),
		"firstFit": NewFirstFit(),
	}
}

func forEachPolicy(t *testing.T, f func(t *testing.T, p Policy)) {
	t.Helper()
	for name, p := range policies() {
		t.Run(name, func(t *testing.T) { f(t, p) })
	}
}

// newResources returns resources with the given numbers of cores, GiB of memory,
// accelerators and slots.
func newResources(cores, gib, accelerators, slots int) descriptor.Resources {
	return descriptor.Resources{
		CPU: descriptor.MilliCPU(1000 * cores), Memory: descriptor.MiB(1024 * gib),
		Accelerators: accelerators, Slots: slots,
	}
}

func newTarget(i int, capacity descriptor.Resources) descriptor.Target {
	return descriptor.Target{
		ID:       descriptor.TargetID(fmt.Sprintf("t%d", i)),
		Rack:     descriptor.RackID(fmt.Sprintf("r%d", i/8)),
		Capacity: capacity,
	}
}

func newDemand(id string, tasks int, r descriptor.Resources) Demand {
	return Demand{
		Request: &descriptor.Request{
			Key:   descriptor.Key{Caller: "c", ID: descriptor.RequestID(id)},
			Tasks: tasks, Resources: r,
		},
		RunTime: time.Second,
	}
}

var startTime = time.Unix(1_000_000, 0)

// TestNeverFitsReason guards against requests that wait forever because no target
// can ever run them, and against refusing requests that only have to wait.
func TestNeverFitsReason(t *testing.T) {
	forEachPolicy(t, func(t *testing.T, p Policy) {
		require.Empty(t, p.NeverFits(newDemand("a", 1, newResources(1, 1, 0, 1)).Request), "no targets are known yet")
		p.AddTarget(newTarget(0, newResources(4, 64, 0, 8)))
		p.AddTarget(newTarget(1, newResources(32, 8, 0, 8)))
		p.SetState("t1", Quarantined)
		tests := []struct {
			name   string
			tasks  int
			need   descriptor.Resources
			reason string
		}{
			{"fits", 1, newResources(4, 64, 0, 8), ""},
			{"fits only a quarantined target", 1, newResources(32, 1, 0, 1), ""},
			{"gang across both targets", 16, newResources(0, 1, 0, 1), ""},
			{"cpu", 1, newResources(33, 1, 0, 1), "needs 33000 cpuMilli; the largest target has 32000"},
			{"memory", 1, newResources(1, 65, 0, 1), "needs 66560 memoryMiB; the largest target has 65536"},
			{"slots", 1, newResources(1, 1, 0, 9), "needs 9 slots; the largest target has 8"},
			{"accelerators", 1, newResources(1, 1, 1, 1), "no target has accelerators"},
			{"mixed", 1, newResources(32, 64, 0, 1), "no single target has enough of all resources together"},
			{"gang", 17, newResources(0, 1, 0, 1), "needs 17 tasks at once; the whole cell holds at most 16"},
			{"negative", 1, newResources(-1, 1, 0, 1), "needs a negative amount of a resource"},
		}
		for _, test := range tests {
			require.Equal(t, test.reason, p.NeverFits(newDemand("a", test.tasks, test.need).Request), test.name)
		}
	})
}

// TestOnlyPlaceableTargetsGetTasks guards against placing tasks on targets that
// are leaving, quarantined or unreachable, or on which the request has failed
// before.
func TestOnlyPlaceableTargetsGetTasks(t *testing.T) {
	forEachPolicy(t, func(t *testing.T, p Policy) {
		for i := range 5 {
			p.AddTarget(newTarget(i, newResources(4, 4, 0, 4)))
		}
		p.SetState("t0", Leaving)
		p.SetState("t1", Quarantined)
		p.SetState("t2", Unreachable)
		d := newDemand("a", 4, newResources(1, 1, 0, 1))
		d.Avoid = []descriptor.TargetID{"t3"}
		placed, verdict := p.Place(startTime, d)
		require.Equal(t, Placed, verdict)
		for i, a := range placed {
			require.Equal(t, Assignment{Index: i, Target: "t4"}, a)
		}
		_, verdict = p.Place(startTime, d)
		require.NotEqual(t, Placed, verdict)
	})
}

// TestAddTargetKeepsUsage guards against a target that counts as empty after the
// platform lists it again, and against placing tasks on a target whose usage
// exceeds its capacity.
func TestAddTargetKeepsUsage(t *testing.T) {
	forEachPolicy(t, func(t *testing.T, p Policy) {
		p.AddTarget(newTarget(0, newResources(4, 4, 0, 4)))
		p.AddRunning("t0", newResources(3, 1, 0, 1))
		p.AddTarget(newTarget(0, newResources(2, 4, 0, 4)))
		capacity, used := p.Totals()
		require.Equal(t, newResources(2, 4, 0, 4), capacity)
		require.Equal(t, newResources(3, 1, 0, 1), used)
		_, verdict := p.Place(startTime, newDemand("a", 1, newResources(0, 1, 0, 1)))
		require.Equal(t, NoRoom, verdict, "the target is over its capacity")

		p.Release(startTime, "t0", newResources(3, 1, 0, 1))
		_, used = p.Totals()
		require.Zero(t, used)
		_, verdict = p.Place(startTime, newDemand("a", 1, newResources(2, 4, 0, 4)))
		require.Equal(t, Placed, verdict)
	})
}

// TestRandomOperations guards against placements that exceed the capacity, partly
// placed requests and inexact releases. It compares each policy with a model that
// records every running task.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(20) {
		forEachPolicy(t, func(t *testing.T, p Policy) { runRandomOperations(t, p, seed, 3000) })
	}
}

type modelTask struct {
	target descriptor.TargetID
	need   descriptor.Resources
}

// model is the reference that the policies are compared with.
type model struct {
	rng        *rand.Rand
	targets    map[descriptor.TargetID]descriptor.Resources
	state      map[descriptor.TargetID]TargetState
	probesLeft map[descriptor.TargetID]int // tasks that a probing target still accepts
	used       map[descriptor.TargetID]descriptor.Resources
	running    []modelTask
}

func (m *model) task() descriptor.Resources {
	return descriptor.Resources{
		CPU: descriptor.MilliCPU(m.rng.IntN(4000)), Memory: descriptor.MiB(m.rng.IntN(8000)),
		Accelerators: max(0, m.rng.IntN(12)-9), Slots: 1 + m.rng.IntN(2),
	}
}

func runRandomOperations(t *testing.T, p Policy, seed uint64, steps int) {
	t.Helper()
	m := &model{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		targets:    make(map[descriptor.TargetID]descriptor.Resources),
		state:      make(map[descriptor.TargetID]TargetState),
		probesLeft: make(map[descriptor.TargetID]int),
		used:       make(map[descriptor.TargetID]descriptor.Resources),
	}
	now := startTime
	for step := range steps {
		now = now.Add(time.Duration(m.rng.IntN(1000)) * time.Millisecond)
		m.step(t, p, now, step)
		m.requireTotals(t, p, seed, step)
	}
}

func (m *model) step(t *testing.T, p Policy, now time.Time, step int) {
	t.Helper()
	id := m.rng.IntN(200)
	name := descriptor.TargetID(fmt.Sprintf("t%d", id))
	_, known := m.targets[name]
	switch op := m.rng.IntN(100); {
	case op < 8:
		c := newResources(1+m.rng.IntN(16), 1+m.rng.IntN(32), m.rng.IntN(3), 1+m.rng.IntN(8))
		p.AddTarget(newTarget(id, c))
		m.targets[name] = c
	case op < 10:
		p.RemoveTarget(name)
		delete(m.targets, name)
		delete(m.state, name)
		delete(m.used, name)
		m.running = deleteTarget(m.running, name)
	case op < 14 && known:
		s := TargetState(m.rng.IntN(5))
		p.SetState(name, s)
		if s != m.state[name] {
			m.probesLeft[name] = ProbeTasks
		}
		m.state[name] = s
	case op < 20 && known:
		need := m.task()
		p.AddRunning(name, need)
		m.used[name] = m.used[name].Add(need)
		m.running = append(m.running, modelTask{name, need})
	case op < 50 && len(m.running) > 0:
		m.release(p, now)
	default:
		m.place(t, p, now, fmt.Sprint(step%50))
	}
}

func (m *model) release(p Policy, now time.Time) {
	i := m.rng.IntN(len(m.running))
	task := m.running[i]
	m.running[i] = m.running[len(m.running)-1]
	m.running = m.running[:len(m.running)-1]
	p.Release(now, task.target, task.need)
	m.used[task.target] = m.used[task.target].Sub(task.need)
}

func (m *model) place(t *testing.T, p Policy, now time.Time, id string) {
	t.Helper()
	d := newDemand(id, 1, m.task())
	if m.rng.IntN(4) == 0 {
		d.Request.Policy = descriptor.Gang
		d.Request.Tasks = 2 + m.rng.IntN(10)
	}
	if m.rng.IntN(4) == 0 {
		d.Request.Policy = descriptor.Service
		d.Request.Tasks = 1 + m.rng.IntN(4)
	}
	d.RunTime = time.Duration(m.rng.IntN(20)) * time.Second
	placed, verdict := p.Place(now, d)
	if verdict != Placed {
		require.Empty(t, placed)
		return
	}
	require.Len(t, placed, d.Request.Tasks, "all tasks or none")
	for i, a := range placed {
		require.Equal(t, i, a.Index)
		m.requireAcceptsTask(t, p, a.Target)
		m.used[a.Target] = m.used[a.Target].Add(d.Request.Resources)
		require.True(t, m.used[a.Target].Fits(m.targets[a.Target]), "capacity exceeded on %s", a.Target)
		m.running = append(m.running, modelTask{a.Target, d.Request.Resources})
	}
}

// requireAcceptsTask checks that the target may accept a task.
func (m *model) requireAcceptsTask(t *testing.T, p Policy, name descriptor.TargetID) {
	t.Helper()
	if m.state[name] != Probing {
		require.Equal(t, Placeable, m.state[name])
		return
	}
	if _, ok := p.(*FirstFit); !ok {
		m.probesLeft[name]--
		require.GreaterOrEqual(t, m.probesLeft[name], 0, "more than ProbeTasks tasks on probing target %s", name)
	}
}

// requireTotals checks the totals of the policy against the model.
func (m *model) requireTotals(t *testing.T, p Policy, seed uint64, step int) {
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
