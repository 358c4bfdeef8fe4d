package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

const (
	longRunInstances = 7
	longRunTargets   = 24
	longRunZones     = 3
	longRunCPU       = 16_000
	// longRunSeconds is the duration of load and faults unless MASTICLEAD_SOAK sets another.
	longRunSeconds = 35
	// urgentPrefix is the prefix of a queue whose jobs preempt those of the other one, and
	// plainPrefix that of a queue without advice.
	urgentPrefix, plainPrefix = "/urgent/", "/plain/"
	gangSize                  = 4
	longRunCompletion         = 150 * time.Second
)

// TestLongRuns guards against tasks that start again while an earlier run goes on, which
// outlasts leases and faults: targets that crash together, answer or act late, drain and
// return under another ID, instances that are stopped, slow or killed, and links between
// them that are stalled or narrow. MASTICLEAD_FAULTS names the kinds of faults, which the
// seed chooses otherwise; MASTICLEAD_RUN_MS sets the longest duration of a run.
func TestLongRuns(t *testing.T) {
	seed := uint64(intFromEnv("MASTICLEAD_SEED", 1))
	targets, longest := intFromEnv("MASTICLEAD_TARGETS", longRunTargets), intFromEnv("MASTICLEAD_RUN_MS", 15_000)
	c := startLongRuns(t, seed, targets, longest)
	loadEnd := time.Now().Add(time.Duration(intFromEnv("MASTICLEAD_SOAK", longRunSeconds)) * time.Second)
	var wg sync.WaitGroup
	for n := range uint64(intFromEnv("MASTICLEAD_OVERLAP", 4)) {
		wg.Go(func() { c.injectFaults(rand.New(rand.NewPCG(seed, 100+n)), loadEnd) })
	}
	// Tasks take one core each, and 0.8 of the cores are to be busy.
	interval := time.Duration(float64(tasksPerJob*longest/2)/(0.8*float64(targets)*longRunCPU/taskCPU)) * time.Millisecond
	c.submit(rand.New(rand.NewPCG(seed, 2)), interval, loadEnd)
	wg.Wait()
	c.log("end of load and faults")
	c.requireEnd()
}

// TestUnlistedStops guards against taking a run for not started that is being stopped,
// where targets don't list such runs: its task starts again, or its capacity is used, while
// it goes on. No faults are injected, and urgent jobs preempt others.
func TestUnlistedStops(t *testing.T) {
	const seed, load = 1, 12 * time.Second
	c := startLongRuns(t, seed, 6, 4000, "hide")
	c.submit(rand.New(rand.NewPCG(seed, 2)), 100*time.Millisecond, time.Now().Add(load))
	c.requireEnd()
}

// tasksPerJob is the mean number of tasks of a job.
const tasksPerJob = 9

type longRunCell struct {
	t         *testing.T
	sim       *standin.Platform
	processes []*process
	links     links
	kinds     []string
	lives     atomic.Int64 // number of new IDs of targets

	mu    sync.Mutex
	jobs  []longRunJob // accepted jobs
	gangs sync.Map     // steps that are gangs
}

type longRunJob struct {
	id, prefix string
	cancelled  bool
}

func startLongRuns(t *testing.T, seed uint64, targets, longest int, kinds ...string) *longRunCell {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &longRunCell{t: t, kinds: kinds}
	if len(kinds) == 0 {
		c.kinds = chooseFaults(rng)
	}
	hide, saves := c.chosen("hide"), rng.IntN(2) == 0
	sizes := [...]int{0, 16, 400, 7000, 70_000}
	checkpointSize := sizes[rand.New(rand.NewPCG(seed, 4)).IntN(len(sizes))]
	t.Logf("seed %d, %d targets, faults %s, runs up to %d ms, stopping runs hidden %v, saved %v, checkpoints of %d bytes",
		seed, targets, strings.Join(c.kinds, ","), longest, hide, saves, checkpointSize)
	gangs := &standin.Gangs{Timeout: 5 * time.Second, Size: func(step string) int {
		if _, ok := c.gangs.Load(step); ok {
			return gangSize
		}
		return 0
	}}
	var mu sync.Mutex
	runRNG := rand.New(rand.NewPCG(seed, 3))
	run := func(string, int64) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		const failureRate = 0.01
		return time.Duration(longest/15+runRNG.IntN(longest)) * time.Millisecond, runRNG.Float64() < failureRate
	}
	stalls := func(string, int64) bool {
		mu.Lock()
		defer mu.Unlock()
		return c.chosen("stall") && runRNG.IntN(40) == 0
	}
	var err error
	c.sim, err = standin.StartPlatform(targets, func(i int, target *standin.Target) {
		target.CPU, target.TaskCPU, target.Run, target.Stalls = longRunCPU, func(string) int64 { return taskCPU }, run, stalls
		target.Addr, target.Zone, target.Machine = standin.FreeAddr(), zoneOf(i), fmt.Sprintf("m%02d", i)
		target.StopTimeout, target.HidesStopped, target.MaxLease, target.Gangs, target.Saves = 400*time.Millisecond, hide, 10*time.Second, gangs, saves
		target.CheckpointSize = checkpointSize
		target.ClockRate = 1 - 0.02*rng.Float64()
	})
	require.NoError(t, err)
	t.Cleanup(c.sim.Close)
	c.sim.Checker.AckedLater = true
	c.sim.AddQueue("urgent", urgentPrefix, 0, false)
	c.sim.AddQueue("plain", plainPrefix, 2, false)
	c.sim.SetConfig(2)
	bin := buildBinary(t)
	var storeAddrs []string
	c.links, storeAddrs = newLinks(t, c.sim, longRunInstances)
	c.processes = newProcessesWith(t, c.sim, longRunInstances, bin, bin, func(i int) string {
		return fmt.Sprintf("zone=%s\nplatform.address=%s\nbounds.stopTimeoutMs=400\n", zoneOf(i), storeAddrs[i])
	})
	for _, p := range c.processes {
		p.args = []string{"--log-level", "debug"}
		p.start()
	}
	time.Sleep(2 * time.Second)
	return c
}

func zoneOf(i int) string { return "z" + strconv.Itoa(1+i%longRunZones) }

// faultKinds are the kinds of faults of injectFaults, and stalled runs. Besides, targets
// don't list runs that are being stopped for the kind hide.
var faultKinds = []string{
	"kill", "term", "stop", "slow", "store", "compact", "crash", "renew", "answers", "late", "silent", "refuse", "drain", "links", "stall", "isolate",
}

// chooseFaults returns the kinds that MASTICLEAD_FAULTS names, or random ones.
func chooseFaults(rng *rand.Rand) []string {
	if text := os.Getenv("MASTICLEAD_FAULTS"); text != "" {
		return strings.Split(text, ",")
	}
	var kinds []string
	for _, i := range rng.Perm(len(faultKinds))[:5+rng.IntN(len(faultKinds)-5)] {
		kinds = append(kinds, faultKinds[i])
	}
	return kinds
}

func (c *longRunCell) chosen(kind string) bool {
	for _, k := range c.kinds {
		if k == kind {
			return true
		}
	}
	return false
}

func (c *longRunCell) log(format string, args ...any) {
	c.t.Logf("%s %s", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// injectFaults injects one fault after another until the given time, and ends each.
func (c *longRunCell) injectFaults(rng *rand.Rand, until time.Time) {
	between := func(low, high int) time.Duration { return time.Duration(low+rng.IntN(high-low)) * time.Millisecond }
	for time.Now().Before(until) {
		time.Sleep(between(200, 2000))
		n := rng.IntN(len(c.processes))
		p := c.processes[n]
		kind := c.kinds[rng.IntN(len(c.kinds))]
		var some []*standin.Target
		for _, i := range rng.Perm(len(c.sim.Targets))[:1+rng.IntN(6)] {
			some = append(some, c.sim.Targets[i])
		}
		c.log("%s n%d, %d targets: %s", kind, n, len(some), names(some))
		switch kind {
		case "kill":
			p.restart(syscall.SIGKILL, between(0, 1000))
		case "term":
			p.restart(syscall.SIGTERM, 0)
		case "stop":
			p.signal(syscall.SIGSTOP)
			time.Sleep(between(300, 4000))
			p.signal(syscall.SIGCONT)
		case "slow":
			slowDown(p, 5+3*rng.IntN(2), between(1000, 8000))
		case "store":
			faults := [...]standin.StoreFault{
				standin.StoreUnavailable, standin.StoreUnresponsive, standin.StoreDropsResponses, standin.StoreWritesLate, standin.StoreSilentParts,
			}
			c.sim.Store.SetFault(faults[rng.IntN(len(faults))], 0)
			time.Sleep(between(500, 4500))
			c.sim.Store.SetFault(standin.StoreHealthy, 0)
		case "compact":
			c.sim.Store.Compact()
		case "crash", "renew", "drain":
			c.crash(rng, kind, some, between)
		case "answers":
			c.disturbTargets(some, standin.TargetFaults{AnswerDelay: between(300, 900)}, between(1000, 10_000))
		case "late":
			c.disturbTargets(some, standin.TargetFaults{LateShare: 0.4, MaxLateness: 3 * time.Second}, between(1000, 10_000))
		case "refuse":
			c.disturbTargets(some, standin.TargetFaults{LateShare: 0.2, MaxLateness: 3 * time.Second, RefuseShare: 0.4}, between(1000, 10_000))
		case "silent":
			for _, x := range some {
				x.SetUnresponsive(true)
			}
			time.Sleep(between(300, 11_000))
			for _, x := range some {
				x.SetUnresponsive(false)
			}
		case "isolate":
			// Only instances that are connected to the targets reach them, and the
			// links of one of these stop to work.
			for _, x := range c.sim.Targets {
				x.SetFaults(standin.TargetFaults{IgnoresConns: true})
			}
			what, end := c.links.disturb(rng, true)
			c.log("links %s", what)
			time.Sleep(between(500, 20_000))
			end()
			for _, x := range c.sim.Targets {
				x.SetFaults(standin.TargetFaults{})
			}
		case "links":
			what, end := c.links.disturb(rng, false)
			c.log("links %s", what)
			time.Sleep(between(500, 12_000))
			end()
		}
		c.log("end of %s n%d", kind, n)
	}
}

func names(targets []*standin.Target) string {
	var b strings.Builder
	for _, x := range targets {
		fmt.Fprintf(&b, " %s", x.Name())
	}
	return b.String()
}

func (c *longRunCell) disturbTargets(targets []*standin.Target, f standin.TargetFaults, d time.Duration) {
	for _, x := range targets {
		x.SetFaults(f)
	}
	time.Sleep(d)
	for _, x := range targets {
		x.SetFaults(standin.TargetFaults{})
	}
}

// crash ends targets at nearly the same time, after they have drained for that kind of
// fault, and starts them again, with new IDs for the kind renew.
func (c *longRunCell) crash(rng *rand.Rand, kind string, targets []*standin.Target, between func(low, high int) time.Duration) {
	if kind == "drain" {
		d := between(1500, 4000)
		for _, x := range targets {
			x.Drain(d)
		}
		time.Sleep(d + between(100, 2000))
	}
	for _, x := range targets {
		x.Die()
		time.Sleep(between(0, 60))
	}
	time.Sleep(between(100, 6000))
	for _, x := range targets {
		id := ""
		if kind == "renew" || (kind == "drain" && rng.IntN(2) == 0) {
			id = fmt.Sprintf("u%03d", c.lives.Add(1))
		}
		for x.Revive(id) != nil {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(between(0, 200))
	}
}

// slowDown lets a process run for one part in n of the time.
func slowDown(p *process, n int, d time.Duration) {
	const running = 10 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		p.signal(syscall.SIGSTOP)
		time.Sleep(running * time.Duration(n-1))
		p.signal(syscall.SIGCONT)
		time.Sleep(running)
	}
}

// submit submits jobs at an interval until the given time, and cancels some a while later.
func (c *longRunCell) submit(rng *rand.Rand, interval time.Duration, until time.Time) {
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		x := longRunJob{id: fmt.Sprintf("%016x", i), prefix: [...]string{standin.Prefix, plainPrefix, plainPrefix, urgentPrefix}[rng.IntN(4)], cancelled: rng.IntN(20) == 0}
		task := func(count int, more map[string]any) map[string]any {
			s := map[string]any{"count": count, "cpu": taskCPU, "memMb": taskMemMb, "estRuntimeMs": 7000, "checkpointing": rng.IntN(2) == 0}
			for k, v := range more {
				s[k] = v
			}
			return s
		}
		var steps []map[string]any
		switch rng.IntN(4) {
		case 0:
			steps = []map[string]any{task(gangSize, map[string]any{"gang": true})}
			c.gangs.Store(x.id+".0.0", true)
		case 1:
			steps = []map[string]any{task(4, nil), task(gangSize, map[string]any{"after": []int{0}, "gang": true})}
			c.gangs.Store(x.id+".0.1", true)
		case 2:
			steps = []map[string]any{task(4+rng.IntN(4), map[string]any{"antiAffinity": 2}), task(4, map[string]any{"after": []int{0}})}
		case 3:
			steps = []map[string]any{task(4+rng.IntN(20), nil)}
		}
		body, err := json.Marshal(map[string]any{"spec": "spec " + x.id, "steps": steps})
		require.NoError(c.t, err)
		first, cancelAfter := rng.IntN(len(c.processes)), time.Duration(rng.IntN(8000))*time.Millisecond
		wg.Go(func() { c.submitJob(&x, body, first, cancelAfter) })
		time.Sleep(interval)
	}
	wg.Wait()
}

func (c *longRunCell) submitJob(x *longRunJob, body []byte, first int, cancelAfter time.Duration) {
	c.sim.Checker.RecordSubmission(x.id, "spec "+x.id)
	rejected := true
	for attempt := range 6 {
		switch status, _ := c.send(http.MethodPost, x, first+attempt, body); status {
		case http.StatusOK:
			c.mu.Lock()
			c.jobs = append(c.jobs, *x)
			c.mu.Unlock()
			if x.cancelled {
				time.Sleep(cancelAfter)
				switch status, _ := c.send(http.MethodDelete, x, first, nil); status {
				case http.StatusOK, http.StatusGone:
					c.sim.Checker.RecordCancel(x.id)
				}
			}
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		default:
			rejected = false
		}
		time.Sleep(300 * time.Millisecond)
	}
	if rejected {
		c.sim.Checker.RecordRefusal(x.id)
	}
}

func (c *longRunCell) send(method string, x *longRunJob, instance int, body []byte) (int, []byte) {
	client := http.Client{Timeout: 3 * time.Second}
	req, err := http.NewRequest(method, "http://"+c.processes[instance%len(c.processes)].frontAddr+x.prefix+x.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = standin.Host
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// requireEnd waits until all accepted jobs have ended, and checks that no rule was broken.
func (c *longRunCell) requireEnd() {
	deadline := time.Now().Add(longRunCompletion)
	open := 0
	for _, x := range c.jobs {
		for i := 0; !c.ended(&x, i); i++ {
			if time.Now().After(deadline) {
				c.log("job %s did not end", x.id)
				open++
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.log("%d accepted jobs, %d did not end, %d runs started", len(c.jobs), open, c.sim.Checker.Starts)
	c.requireNoViolations()
	require.Zero(c.t, open, "accepted jobs end")
}

// requireNoViolations checks that no rule was broken so far.
func (c *longRunCell) requireNoViolations() {
	violations := c.sim.Checker.Violations()
	for _, v := range violations {
		task, _, _ := strings.Cut(strings.TrimPrefix(v, "task "), " ")
		c.t.Logf("violation: %s\n%s", v, strings.Join(c.sim.Checker.History(task), "\n"))
	}
	require.Empty(c.t, violations)
}

// ended reports whether an instance shows that a job has ended.
func (c *longRunCell) ended(x *longRunJob, instance int) bool {
	status, text := c.send(http.MethodGet, x, instance, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &body) != nil {
		return status == http.StatusGone && x.cancelled
	}
	if body.State == "completed" {
		c.sim.Checker.RecordShown(x.id)
	}
	return body.State == "completed" || body.State == "failed" || (body.State == "cancelled" && x.cancelled)
}
