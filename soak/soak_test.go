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

	processes := newProcesses(t, sim, bin, bin)
	for _, p := range processes {
		p.start()
	}

	time.Sleep(2 * time.Second)
	loadEnd := time.Now().Add(time.Duration(intFromEnv("MASTICLEAD_SOAK", defaultLoadSeconds)) * time.Second)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		injectFaults(rng, sim, processes, loadEnd)
	}()
	accepted := submitJobs(sim, processes, loadEnd)
	wg.Wait()
	require.NotEmpty(t, accepted)

	requireJobsEnd(t, sim, processes, accepted)
}

// injectFaults injects one random fault at a time until the given time. It ends each
// fault before the next one, so that none remains when it returns.
func injectFaults(rng *rand.Rand, sim *standin.Platform, processes []*process, until time.Time) {
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
			time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		case 3:
			sim.Store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreUnresponsive, standin.StoreDropsResponses}[rng.IntN(3)], 0)
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
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

// submitJobs submits jobs at a fixed interval until the given time and returns the IDs
// of the accepted ones.
func submitJobs(sim *standin.Platform, processes []*process, until time.Time) []string {
	const interval = 40 * time.Millisecond
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", i)
			spec := "spec " + id
			sim.Checker.RecordSubmission(id, spec)
			body, err := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{
				{"count": 2, "cpu": 1000, "memMb": 10},
				{"count": 2, "cpu": 1000, "memMb": 10, "after": []int{0}, "gang": i%3 == 0},
			}})
			if err != nil {
				panic(err)
			}
			rejected := true
			for attempt := range 4 {
				switch status := sendForStatus(http.MethodPost, processes[(i+attempt)%len(processes)], id, body); status {
				case http.StatusOK:
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
					return
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				default:
					rejected = false
				}
				time.Sleep(200 * time.Millisecond)
			}
			if rejected {
				sim.Checker.RecordRefusal(id)
			}
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	return accepted
}

func sendRequest(method string, p *process, id string, body []byte) (int, []byte) {
	client := http.Client{Timeout: 3 * time.Second}
	req, err := http.NewRequest(method, "http://"+p.frontAddr+standin.Prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = standin.Host
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

func sendForStatus(method string, p *process, id string, body []byte) int {
	status, _ := sendRequest(method, p, id, body)
	return status
}

func jobState(processes []*process, id string) string {
	for _, p := range processes {
		if status, respBody := sendRequest(http.MethodGet, p, id, nil); status == http.StatusOK {
			var job struct {
				State string `json:"state"`
			}
			if json.Unmarshal(respBody, &job) == nil {
				return job.State
			}
		}
	}
	return ""
}
