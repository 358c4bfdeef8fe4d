package coordinator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/throttler"
	w "github.com/masticlead/masticlead/workload"
)

// sharedCell simulates instances with throttles, and 10 targets that run 100 tasks
// of 0.8 s per second.
type sharedCell struct {
	testCell
	rng       *rand.Rand
	throttles map[w.InstanceID]*throttler.Throttle
	arrivals  map[w.JobID]time.Time
	waits     map[w.TenantName][]time.Duration // until the first start order
	refused   map[w.TenantName]int
	runs      map[w.TargetID]map[w.TaskID]linker.Start
	ends      map[w.TaskID]time.Time
	stopped   map[w.RunID]bool
	submitted int
	due       map[w.TenantName]float64 // jobs that have not arrived yet
}

const throttledInstances = 42

func instanceName(i int) w.InstanceID { return w.InstanceID(fmt.Sprintf("i%02d", i)) }

func newSharedCell(t *testing.T, tenants []w.Tenant) *sharedCell {
	x := &sharedCell{
		testCell: *admissionCell(t, tenants...), rng: rand.New(rand.NewPCG(1, 1)), throttles: make(map[w.InstanceID]*throttler.Throttle),
		arrivals: make(map[w.JobID]time.Time), waits: make(map[w.TenantName][]time.Duration), refused: make(map[w.TenantName]int),
		runs: make(map[w.TargetID]map[w.TaskID]linker.Start), ends: make(map[w.TaskID]time.Time),
		stopped: make(map[w.RunID]bool), due: make(map[w.TenantName]float64),
	}
	var list []w.Target
	for i := range 10 {
		id := w.TargetID(fmt.Sprintf("t%d", i))
		list = append(list, w.Target{ID: id, Service: "s", Address: "x", Incarnation: 1, Capacity: w.Resources{CPU: 8000, Mem: 8000}})
		x.runs[id] = make(map[w.TaskID]linker.Start)
	}
	x.c.SetTargets(list, true, x.now)
	for i := range throttledInstances {
		id := instanceName(i)
		x.c.Join(&linker.Hello{Instance: id})
		x.throttles[id] = throttler.NewThrottle(x.rng.Float64)
	}
	return x
}

// step advances the cell by 10 ms, in which each tenant submits at its rate through
// random instances. The intervals are regular, so that no tenant exceeds its rate for a
// short time only.
func (x *sharedCell) step(rates map[w.TenantName]float64) {
	const length = 10 * time.Millisecond
	x.now = x.now.Add(length)
	for _, tenant := range slices.Sorted(maps.Keys(rates)) {
		x.due[tenant] += rates[tenant] * length.Seconds()
		for ; x.due[tenant] >= 1; x.due[tenant]-- {
			x.submitThrough(instanceName(x.rng.IntN(throttledInstances)), tenant)
		}
	}
	for i := range throttledInstances {
		if id := instanceName(i); x.rng.IntN(50) == 0 {
			x.c.Receive(id, &linker.Frame{Status: &linker.Status{Refusals: x.throttles[id].TakeRefusals()}}, x.now)
		}
	}
	x.report()
	x.c.Advance(x.now)
	for b := x.c.Flush(); b != nil; b = x.c.Flush() {
		x.c.Stored(b)
	}
	for id, f := range x.c.Frames() {
		x.handle(id, f)
	}
}

func (x *sharedCell) submitThrough(id w.InstanceID, tenant w.TenantName) {
	if _, ok := x.throttles[id].Admit(tenant, x.now); !ok {
		x.refused[tenant]++
		return
	}
	x.submitted++
	j := singleTaskJob(w.JobID(fmt.Sprintf("%s-%06d", tenant, x.submitted)))
	j.Tenant, j.Accepted = tenant, x.now.UnixMilli()
	x.arrivals[j.ID] = x.now
	x.c.Receive(id, &linker.Frame{Jobs: []w.Job{j}}, x.now)
}

// report sends the runs and ends of all targets to the coordinator.
func (x *sharedCell) report() {
	for _, t := range x.c.sortedTargets {
		if t.member == nil {
			continue
		}
		r := linker.Report{Target: t.ID, Incarnation: 1, Complete: true}
		for task, s := range x.runs[t.ID] {
			how := w.EndedDone
			if x.stopped[s.Run] {
				how = w.EndedStopped
			} else if x.ends[task].After(x.now) {
				r.Runs = append(r.Runs, w.Run{Task: task, Run: s.Run})
				continue
			}
			x.seq[t.ID]++
			r.Ends = append(r.Ends, w.End{Seq: x.seq[t.ID], Task: task, Run: s.Run, How: how})
			delete(x.runs[t.ID], task)
		}
		x.c.Receive(t.member.id, &linker.Frame{Reports: []linker.Report{r}}, x.now)
	}
}

// handle carries out the orders in a frame to an instance.
func (x *sharedCell) handle(id w.InstanceID, f *linker.Frame) {
	if f.Allowances != nil && x.throttles[id] != nil {
		x.throttles[id].Apply(f.Allowances.Tenants, x.now)
	}
	for _, s := range f.Stops {
		x.stopped[s.Run] = true
	}
	for _, s := range f.Starts {
		if at, ok := x.arrivals[s.Task.Job]; ok {
			tenant := x.c.jobs[s.Task.Job].Tenant
			x.waits[tenant] = append(x.waits[tenant], x.now.Sub(at))
			delete(x.arrivals, s.Task.Job)
		}
		x.runs[s.Target][s.Task], x.ends[s.Task] = s, x.now.Add(800*time.Millisecond)
		x.c.Receive(id, &linker.Frame{Results: []linker.Result{{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.Started}}}, x.now)
	}
}

// TestHotTenantDelaysNoOther guards against jobs of other tenants that are refused, or
// wait longer than without it, because one tenant sends 7.5 times its rate to a cell
// that has room for the rates of all.
func TestHotTenantDelaysNoOther(t *testing.T) {
	others := []w.TenantName{"a", "b", "c", "d", "e"}
	run := func(excess float64) (mean, longest time.Duration, x *sharedCell) {
		tenants, rates := []w.Tenant{{Name: "hot", Weight: 40}}, map[w.TenantName]float64{"hot": excess * 40}
		for _, name := range others {
			tenants, rates[name] = append(tenants, w.Tenant{Name: name, Weight: 10}), 9
		}
		x = newSharedCell(t, tenants)
		for range 3000 {
			x.step(rates)
		}
		total, count := time.Duration(0), 0
		for _, name := range others {
			require.Zero(t, x.refused[name])
			for _, wait := range x.waits[name] {
				total, count, longest = total+wait, count+1, max(longest, wait)
			}
		}
		require.Greater(t, count, 1000)
		return total / time.Duration(count), longest, x
	}
	usualMean, usualLongest, _ := run(0.9)
	mean, longest, x := run(7.5)
	t.Logf("waits of others: mean %v, longest %v; with the hot tenant %v, %v", usualMean, usualLongest, mean, longest)
	require.Positive(t, x.refused["hot"])
	require.GreaterOrEqual(t, len(x.waits["hot"]), 40*30*9/10, "the hot tenant must get its rate")
	require.Less(t, mean, usualMean+100*time.Millisecond)
	require.Less(t, longest, usualLongest+time.Second)
}
