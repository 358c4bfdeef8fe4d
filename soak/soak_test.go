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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

const (
	instanceCount = 4
	targetCount   = 8
	// defaultLoadSeconds is the duration of load and fault injection unless
	// MASTICLEAD_SOAK sets another. MASTICLEAD_SEED sets the random seed.
	defaultLoadSeconds = 15
	// completionTimeout is the time within which jobs must end after the last fault. It
	// covers the 14 s that the platform allows after the end of the traffic (finish_s)
	// and the lease of runs that no instance knows of (8 s).
	completionTimeout = 25 * time.Second
	// Each instance listens for connections of other instances on a port range of its own.
	firstLinkPort        = 20_000
	linkPortsPerInstance = 16
	// taskCPU and taskMemMb are the resources of each task.
	taskCPU, taskMemMb = 1000, 10
)

func intFromEnv(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// TestSoak injects random faults into instances, store and targets. It guards against
// tasks that run twice at the same time, start after their end was acknowledged, exceed
// the capacity of a target or belong to rejected jobs, and against accepted jobs that
// never end.
func TestSoak(t *testing.T) {
	seed := uint64(intFromEnv("MASTICLEAD_SEED", 1))
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	bin := buildBinary(t)

	var runMu sync.Mutex
	runRNG := rand.New(rand.NewPCG(seed, 1))
	sim, err := standin.NewPlatform(targetCount, 4000, func(string) int64 { return 1000 }, func(string, int64) (time.Duration, bool) {
		runMu.Lock()
		defer runMu.Unlock()
		const failureRate = 0.03
		return time.Duration(20+runRNG.IntN(300)) * time.Millisecond, runRNG.Float64() < failureRate
	})
	require.NoError(t, err)
	defer sim.Close()
	tenants := newTenantSet(sim, seed)

	processes := newProcesses(t, sim, instanceCount, bin, bin)
	for _, p := range processes {
		p.start()
	}

	time.Sleep(2 * time.Second)
	loadEnd := time.Now().Add(time.Duration(intFromEnv("MASTICLEAD_SOAK", defaultLoadSeconds)) * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() { injectFaults(rng, sim, processes, tenants, loadEnd) })
	wg.Go(func() { tenants.change(loadEnd) })
	accepted := submitJobs(sim, processes, tenants, loadEnd)
	wg.Wait()
	require.NotEmpty(t, accepted)

	defer tenants.requireValid(t)
	requireJobsEnd(t, sim, processes, accepted)
}

// injectFaults injects one random fault at a time until the given time. It ends each
// fault before the next one, so that none remains when it returns.
func injectFaults(rng *rand.Rand, sim *standin.Platform, processes []*process, tenants *tenantSet, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
		p, target := processes[rng.IntN(len(processes))], sim.Targets[rng.IntN(targetCount)]
		switch rng.IntN(7) {
		case 0:
			p.terminate(syscall.SIGKILL)
			p.start()
		case 1:
			p.terminate(syscall.SIGTERM)
			p.start()
		case 2:
			p.signal(syscall.SIGSTOP)
			tenants.sleepInFault(rng, 2500)
			p.signal(syscall.SIGCONT)
		case 3:
			sim.Store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreUnresponsive, standin.StoreDropsResponses}[rng.IntN(3)], 0)
			tenants.sleepInFault(rng, 2000)
			sim.Store.SetFault(standin.StoreHealthy, 0)
		case 4:
			sim.Store.Compact()
		case 5:
			target.SetUnresponsive(true)
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			target.SetUnresponsive(false)
		case 6:
			target.Boot()
		}
	}
}

// acceptedJob is a job that an instance accepted, and a credential that its state can be
// asked for with.
type acceptedJob struct {
	id         string
	credential credential
	cancelled  bool // its client has tried to cancel it
}

// submitJobs submits jobs at a fixed interval until the given time and returns the
// accepted ones. Without tenants, requests carry no keys.
func submitJobs(sim *standin.Platform, processes []*process, tenants *tenantSet, until time.Time) []acceptedJob {
	const interval = 40 * time.Millisecond
	var mu sync.Mutex
	var accepted []acceptedJob
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("%016x", i)
		var c credential
		if tenants != nil {
			c = tenants.choose()
			tenants.recordJob(id, c)
		}
		wg.Go(func() {
			if submitJob(sim, processes, tenants, i, id, c) {
				mu.Lock()
				accepted = append(accepted, acceptedJob{id: id, credential: tenants.permanent(c)})
				mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return accepted
}

// submitJob submits the i-th job until an instance accepts it or the attempts are used
// up, and reports whether it was accepted.
func submitJob(sim *standin.Platform, processes []*process, tenants *tenantSet, i int, id string, c credential) bool {
	spec := "spec " + id
	sim.Checker.RecordSubmission(id, spec)
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{
		{"count": 2, "cpu": taskCPU, "memMb": taskMemMb},
		{"count": 2, "cpu": taskCPU, "memMb": taskMemMb, "after": []int{0}, "gang": i%3 == 0},
	}})
	if err != nil {
		panic(err)
	}
	if tenants != nil {
		tenants.queryLastJob(processes[i%len(processes)], c)
	}
	rejected := true
	for attempt := range 4 {
		sent := time.Now()
		status, _ := sendRequest(http.MethodPost, processes[(i+attempt)%len(processes)], id, c, body)
		if tenants != nil {
			tenants.check(c, sent, status)
		}
		switch status {
		case http.StatusOK:
			if tenants != nil {
				tenants.setLastJob(c, id)
			}
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		default:
			rejected = false
		}
		time.Sleep(200 * time.Millisecond)
	}
	if rejected {
		sim.Checker.RecordRefusal(id)
	}
	return false
}

func sendRequest(method string, p *process, id string, c credential, body []byte) (int, []byte) {
	client := http.Client{Timeout: 3 * time.Second}
	req, err := http.NewRequest(method, "http://"+p.frontAddr+standin.Prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = standin.Host
	if c.key != "" {
		req.Header.Set(standin.HeaderCredential, c.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	respBody, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, respBody
}

// jobState returns the state of a job that the first instance that answers shows, or "".
func jobState(sim *standin.Platform, processes []*process, job acceptedJob) string {
	for _, p := range processes {
		if status, respBody := sendRequest(http.MethodGet, p, job.id, job.credential, nil); status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			if json.Unmarshal(respBody, &body) == nil {
				if body.State == "completed" {
					sim.Checker.RecordShown(job.id)
				}
				return body.State
			}
		}
	}
	return ""
}
