package coordinator_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/masticlead/masticlead/coordinator"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// The co-simulation joins a coordinator to executors and targets in virtual time. Links,
// instances and targets have random faults. The targets follow the platform's protocol.

const (
	simCPU         = 4000
	simLease       = 6 * time.Second
	simMaxLease    = 10 * time.Second
	simStopTimeout = 400 * time.Millisecond
)

var (
	cosimSeed  = flag.Uint64("cosim.seed", 1, "first seed of the co-simulation")
	cosimSeeds = flag.Int("cosim.seeds", 0, "number of seeds for each scenario of the co-simulation, 0 for its own")
	cosimTrace = flag.String("cosim.trace", "", "directory for the traces of the seeds that break a rule")
)

// scenario selects what may happen. Without faults, each seed draws some.
type scenario struct {
	faults       []string
	delay        time.Duration // longest delay of the data on a narrow link
	oldHolds     bool          // a hold request may be carried out by the next incarnation of its target
	oldCursors   bool          // such a request acknowledges ends, too
	hideStopping bool          // targets don't list runs that are being stopped
	admission    bool          // targets reject what doesn't fit; drawn from the seed
}

func (sc *scenario) on(fault string) bool { return slices.Contains(sc.faults, fault) }

type simRow struct {
	target w.Target
	seen   time.Time
}

// cosim is one simulated cell. Its lock guards all that follows.
type cosim struct {
	sc     scenario
	begin  time.Time
	ctx    context.Context
	leader *simLeader
	hosts  []*simHost

	mu         sync.Mutex
	rng        *rand.Rand
	machines   []*simMachine
	rows       map[w.TargetID]simRow
	cuts       map[[2]int]time.Time // by instance and machine
	jobs       map[w.JobID]*w.Job
	running    map[w.TaskID][]*simRun
	acked      map[string]bool // tasks and gangs whose successful end was acknowledged
	trace      []string
	violations []string
	starts     int
}

func (c *cosim) logf(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%8.3f ", time.Since(c.begin).Seconds())+fmt.Sprintf(format, args...))
}

// Write adds a line of the coordinator's log to the trace.
func (c *cosim) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logf("%s", bytes.TrimSpace(b))
	return len(b), nil
}

func (c *cosim) logFrame(id w.InstanceID, f *linker.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range f.Starts {
		c.logf("start by %s: %v run %d on %s", id, s.Task, s.Run, s.Target)
	}
	for _, s := range f.Stops {
		c.logf("stop by %s: %v run %d on %s", id, s.Task, s.Run, s.Target)
	}
	if f.Assign != nil {
		c.logf("assigned to %s: %v", id, f.Assign.Targets)
	}
}

func (c *cosim) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *cosim) duration(minMs, maxMs int) time.Duration {
	return time.Duration(minMs+c.rng.IntN(maxMs-minMs)) * time.Millisecond
}

// after calls f with the lock held.
func (c *cosim) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ctx.Err() == nil {
			f()
		}
	})
}

func (c *cosim) step(id w.TaskID) *w.Step { return &c.jobs[id.Job].Steps[id.Step] }

// unit names what is done at once: a task or a gang.
func (c *cosim) unit(id w.TaskID) string {
	if c.step(id).Gang {
		return id.StepName()
	}
	return id.String()
}

// gang returns the members of a run, which is alone in a step that isn't a gang.
func (c *cosim) gang(r *simRun) (members []*simRun) {
	if !c.step(r.task).Gang {
		return []*simRun{r}
	}
	id := r.task
	for id.Index = range c.step(id).Count {
		for _, o := range c.running[id] {
			if o.run == r.run {
				members = append(members, o)
			}
		}
	}
	return members
}

func (c *cosim) checkStart(r *simRun, sent time.Time) {
	c.starts++
	c.logf("%v starts on %s as run %d, sent %v ago", r.task, r.p.id, r.run, time.Since(sent))
	for _, o := range c.running[r.task] {
		// No process can prevent that a target carries out an order for its last incarnation.
		if !r.inherited && !o.inherited {
			c.violate(r.task, "TWICE: %v starts on %s as run %d while it runs on %s as run %d, stopping %v", r.task, r.p.id, r.run, o.p.id, o.run, o.stopping)
		}
	}
	if c.acked[c.unit(r.task)] && !r.inherited {
		c.violate(r.task, "TWICE: %v starts on %s as run %d after its end was acknowledged", r.task, r.p.id, r.run)
	}
	c.running[r.task] = append(c.running[r.task], r)
}

func (c *cosim) checkEnd(r *simRun) {
	c.running[r.task] = slices.DeleteFunc(c.running[r.task], func(o *simRun) bool { return o == r })
}

// violate records a broken rule and how the coordinator lost the last run of the task.
func (c *cosim) violate(task w.TaskID, format string, args ...any) {
	c.logf(format, args...)
	text := c.trace[len(c.trace)-1]
	for _, line := range slices.Backward(c.trace) {
		if strings.Contains(line, `msg="run lost" task=`+task.String()+" ") {
			text += "; lost:" + line
			break
		}
	}
	c.violations = append(c.violations, text)
}

func newCosim(ctx context.Context, seed uint64, sc scenario) *cosim {
	c := &cosim{
		ctx: ctx, sc: sc, begin: time.Now(), rng: rand.New(rand.NewPCG(seed, 46)), rows: make(map[w.TargetID]simRow), cuts: make(map[[2]int]time.Time),
		jobs: make(map[w.JobID]*w.Job), running: make(map[w.TaskID][]*simRun), acked: make(map[string]bool),
	}
	for i := range 4 + c.rng.IntN(4) {
		c.hosts = append(c.hosts, &simHost{c: c, index: i, zone: fmt.Sprint("z", i%3), name: w.InstanceID(fmt.Sprint("i", i))})
	}
	c.leader = &simLeader{
		c: c, events: make(chan func(), 4096), conns: make(map[w.InstanceID]*simEnd),
		Coordinator: coordinator.New(coordinator.Settings{
			Epoch: 1, Self: c.hosts[0].name, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
			RestoreTime: 200 * time.Millisecond, RemoteFactor: 1.5, Retention: time.Minute, Log: slog.New(slog.NewTextHandler(c, nil)),
		}, time.Now()),
	}
	c.leader.Configure(&w.Config{
		Version: 1, Queues: []w.Queue{{Name: "urgent", Service: "s", Attempts: 100}, {Name: "low", Service: "s", Attempts: 100, Priority: 1}},
		Services: []w.Service{{Name: "s", AdmissionControl: sc.admission}},
	})
	c.mu.Lock()
	for i := range 6 + c.rng.IntN(10) {
		m := &simMachine{index: i, name: fmt.Sprint("m", i), zone: fmt.Sprint("z", i%3)}
		c.machines = append(c.machines, m)
		c.boot(m, w.TargetID(fmt.Sprint("t", i)))
	}
	c.mu.Unlock()
	go c.leader.run()
	go c.leader.pollTargets()
	for _, h := range c.hosts {
		go h.follow()
	}
	return c
}

// submitJobs submits jobs while there is less work than the targets can hold twice.
func (c *cosim) submitJobs() {
	for n := 0; c.ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(20+c.random(400)) * time.Millisecond)
		c.mu.Lock()
		open := int64(0)
		for id, j := range c.jobs {
			for k := range j.Steps[0].Count {
				if !c.acked[c.unit(w.TaskID{Job: id, Index: k})] {
					open += j.Steps[0].Need.CPU
				}
			}
		}
		if open <= int64(2*simCPU*len(c.machines)) {
			j := &w.Job{ID: w.JobID(fmt.Sprint("j", n)), Queue: []string{"urgent", "low", "low"}[c.rng.IntN(3)], Service: "s", Attempts: 100, Steps: []w.Step{{
				Count: 1 + c.rng.IntN(4), Need: w.Resources{CPU: 500 * (1 + c.rng.Int64N(4)), Mem: 10}, Saves: c.rng.IntN(3) == 0,
				Gang: c.rng.IntN(8) == 0, Estimate: c.duration(500, 20500),
			}}}
			c.jobs[j.ID] = j
			c.mu.Unlock()
			c.leader.post(func() { c.leader.AddJob(j, true) })
			continue
		}
		c.mu.Unlock()
	}
}

// runCosim plays a scenario and returns the violations and the number of starts.
func runCosim(t *testing.T, seed uint64, sc scenario) (violations []string, starts int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCosim(ctx, seed, sc)
		go c.submitJobs()
		for _, f := range sc.faults {
			go func() {
				time.Sleep(3 * time.Second)
				for c.ctx.Err() == nil {
					time.Sleep(time.Duration(200+c.random(8000)) * time.Millisecond)
					c.mu.Lock()
					c.inject(f)
					c.mu.Unlock()
				}
			}()
		}
		time.Sleep(2 * time.Minute)
		cancel()
		time.Sleep(time.Minute) // goroutines and timers end
		c.mu.Lock()
		defer c.mu.Unlock()
		violations, starts = c.violations, c.starts
		if len(violations) > 0 && *cosimTrace != "" {
			name := fmt.Sprintf("%s/%s-%d.trace", *cosimTrace, strings.ReplaceAll(t.Name(), "/", "-"), seed)
			if err := os.WriteFile(name, []byte(strings.Join(c.trace, "\n")+"\n"), 0o644); err != nil {
				t.Error(err)
			}
		}
	})
	return violations, starts
}

// inject lets a fault begin at one instance, one direction of its link, and one or, at the
// same instant, several machines.
func (c *cosim) inject(fault string) {
	soon := func(minMs, maxMs int) time.Time { return time.Now().Add(c.duration(minMs, maxMs)) }
	h := c.hosts[1+c.rng.IntN(len(c.hosts)-1)]
	link := &h.links[c.rng.IntN(2)]
	var ms []*simMachine
	for _, i := range c.rng.Perm(len(c.machines))[:1+max(0, c.rng.IntN(9)-5)] {
		ms = append(ms, c.machines[i])
	}
	c.logf("fault: %s, instance %s, machines from m%d", fault, h.name, ms[0].index)
	switch fault {
	case "stalled link":
		link.stalledUntil = soon(200, 5000)
	case "late orders":
		for _, o := range c.hosts {
			o.links[1].narrowFrom, o.links[1].narrowUntil = time.Now(), soon(8000, 15000)
		}
		for range 3 { // targets change hands, and some of their callers can't reach them
			c.after(c.duration(1000, 8000), func() { c.inject("closed") })
			c.after(c.duration(1000, 8000), func() { c.inject("cut") })
		}
	case "late reports":
		for _, o := range c.hosts {
			o.links[0].narrowFrom, o.links[0].narrowUntil = soon(1000, 3000), soon(10000, 14000)
		}
	case "closed":
		if h.conn != nil {
			h.conn.close()
		}
	case "killed":
		h.name, h.downUntil = h.name+"'", soon(300, 4000)
		if h.conn != nil {
			h.conn.close()
		}
	case "leaving":
		h.leaving = true
		c.after(c.duration(500, 4000), func() { h.leaving = false })
	case "paused":
		if time.Now().After(h.pausedUntil) {
			h.pausedUntil = soon(100, 4000)
		}
	case "paused leader":
		if time.Now().After(c.hosts[0].pausedUntil) {
			c.hosts[0].pausedUntil = soon(100, 1000)
		}
	case "held events":
		c.leader.heldUntil = soon(200, 8000)
	case "slow store":
		c.leader.slowUntil = soon(500, 5000)
	case "cut":
		zone, until, some := c.machines[c.rng.IntN(3)].zone, soon(300, 15000), c.rng.IntN(2) == 0
		for _, o := range c.hosts {
			for _, m := range c.machines {
				if (!some && m.zone == zone && o.zone != zone) || (some && c.rng.IntN(10) == 0) {
					c.cuts[[2]int{o.index, m.index}] = until
				}
			}
		}
	}
	for _, m := range ms {
		p := m.process
		switch {
		case fault == "silent":
			m.silentUntil = soon(300, 12000)
		case fault == "late reports":
			m.silentUntil = soon(5000, 6200)
		case fault == "loss":
			m.lossUntil = soon(1000, 8000)
		case fault == "slow":
			m.slowUntil = soon(500, 8000)
		case fault == "shed":
			m.shedUntil = soon(500, 5000)
		case p == nil:
		case fault == "stall":
			for _, r := range p.runs {
				if time.Now().After(r.frozenTo) && !r.begun.IsZero() {
					r.frozenTo = soon(1000, 8000)
					r.begun = r.begun.Add(time.Until(r.frozenTo))
				}
			}
		case fault == "crash":
			m.refuses = c.rng.IntN(2) == 0
			c.kill(p)
			c.reboot(m, p.id, c.duration(0, []int{200, 1000, 4000}[c.rng.IntN(3)]))
		case fault == "reborn":
			m.lossUntil = soon(2000, 4000)
			c.after(time.Until(m.lossUntil), func() {
				if m.process == p {
					c.kill(p)
					c.after(100*time.Millisecond, func() { c.boot(m, p.id) })
					c.after(c.duration(2000, 6000), func() { m.silentUntil = soon(9000, 12000) })
				}
			})
		case fault == "drain" && p.state == w.TargetReady:
			p.state = w.TargetDraining
			c.after(c.duration(4000, 9000), func() {
				if m.process == p {
					c.kill(p)
					c.reboot(m, p.id, c.duration(300, 3000))
				}
			})
		}
	}
}

// check plays a scenario with some seeds.
func (sc *scenario) check(t *testing.T, seeds int) {
	t.Helper()
	if *cosimSeeds > 0 {
		seeds = *cosimSeeds
	}
	faults := []string{
		"silent", "loss", "slow", "shed", "stall", "crash", "drain", "cut", "stalled link", "closed", "killed", "leaving", "paused", "paused leader", "held events", "slow store", "late",
	}
	total := 0
	for seed := *cosimSeed; seed < *cosimSeed+uint64(seeds); seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		drawn := *sc
		if drawn.admission = rng.IntN(2) == 0; sc.faults == nil {
			for _, k := range rng.Perm(len(faults))[:1+rng.IntN(7)] {
				drawn.faults = append(drawn.faults, faults[k])
			}
		}
		violations, starts := runCosim(t, seed, drawn)
		total += starts
		for _, v := range violations {
			t.Errorf("seed %d, %q, admission %v: %s", seed, drawn.faults, drawn.admission, v)
		}
	}
	t.Logf("%d seeds, %d starts", seeds, total)
	if total == 0 {
		t.Error("no run started")
	}
}

// TestCosimFaults guards against runs that happen twice, and runs beyond a target's
// capacity, under mixed faults of targets, links and instances.
func TestCosimFaults(t *testing.T) { (&scenario{}).check(t, 3) }

// TestCosimNarrowLinks guards against taking a target for lapsed because the reports on its
// lease are delayed.
func TestCosimNarrowLinks(t *testing.T) {
	(&scenario{faults: []string{"late reports"}, delay: 3 * time.Second}).check(t, 4)
}

// TestCosimReassignment guards against ignoring what an earlier caller of a target did while
// its orders and reports were on the way: extended leases, and ends that it has read.
func TestCosimReassignment(t *testing.T) {
	(&scenario{faults: []string{"late orders"}, delay: time.Second}).check(t, 3)
}

// TestCosimOldDeadlines guards against taking a target for lapsed that has a longer lease by
// the deadline of a call to its last incarnation, which it has carried out late.
func TestCosimOldDeadlines(t *testing.T) {
	(&scenario{faults: []string{"reborn", "late"}, oldHolds: true}).check(t, 3)
}

// TestCosimOldCursors guards against starting a task again whose end was acknowledged unread
// by a call to the last incarnation of its target, which the next one has carried out late.
func TestCosimOldCursors(t *testing.T) {
	(&scenario{faults: []string{"reborn", "late"}, oldHolds: true, oldCursors: true}).check(t, 12)
}

// TestCosimUnlistedStops guards against starting a task again while its last run, which its
// target no longer lists, is being stopped.
func TestCosimUnlistedStops(t *testing.T) {
	(&scenario{faults: []string{"stall", "leaving"}, hideStopping: true}).check(t, 1)
}
