package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

// overlappingFaults is the number of faults at the same time.
const overlappingFaults = 3

// TestOverlappingFaults injects random faults into instances, store and targets that
// overlap, losses of all power among them, while clients ask for the states of jobs and
// cancel some. Besides what TestSoak checks, it guards against starts of tasks whose job
// was shown as completed or whose cancellation was acknowledged. MASTICLEAD_INSTANCES and
// MASTICLEAD_TARGETS set another size of the cell.
func TestOverlappingFaults(t *testing.T) {
	seed := uint64(intFromEnv("MASTICLEAD_SEED", 1))
	instances, targets := intFromEnv("MASTICLEAD_INSTANCES", instanceCount), intFromEnv("MASTICLEAD_TARGETS", targetCount)
	t.Logf("seed %d, %d instances, %d targets", seed, instances, targets)
	var runMu sync.Mutex
	runRNG := rand.New(rand.NewPCG(seed, 1))
	sim, processes := startCell(t, targets, instances, func(string, int64) (time.Duration, bool) {
		runMu.Lock()
		defer runMu.Unlock()
		const failureRate = 0.03
		return time.Duration(20+runRNG.IntN(1500)) * time.Millisecond, runRNG.Float64() < failureRate
	})
	loadEnd := time.Now().Add(time.Duration(intFromEnv("MASTICLEAD_SOAK", defaultLoadSeconds)) * time.Second)
	c := &clients{sim: sim, processes: processes}
	var wg sync.WaitGroup
	for n := range uint64(overlappingFaults) {
		wg.Go(func() { overlapFaults(rand.New(rand.NewPCG(seed, 10+n)), sim, processes, loadEnd) })
	}
	for n := range uint64(4) {
		wg.Go(func() { c.watch(rand.New(rand.NewPCG(seed, 20+n)), loadEnd) })
	}
	c.submit(rand.New(rand.NewPCG(seed, 30)), loadEnd)
	wg.Wait()
	require.NotEmpty(t, c.accepted)
	requireJobsEnd(t, sim, processes, c.accepted)
}

// overlapFaults injects one random fault after another until the given time. It ends each
// one, so that none of its own remains when it returns.
func overlapFaults(rng *rand.Rand, sim *standin.Platform, processes []*process, until time.Time) {
	upTo := func(ms int) time.Duration { return time.Duration(rng.IntN(ms)) * time.Millisecond }
	for time.Now().Before(until) {
		time.Sleep(200*time.Millisecond + upTo(1500))
		p, target := processes[rng.IntN(len(processes))], sim.Targets[rng.IntN(len(sim.Targets))]
		switch rng.IntN(10) {
		case 0:
			p.restart(syscall.SIGKILL, upTo(1000))
		case 1:
			p.restart(syscall.SIGTERM, 0)
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(upTo(3000))
			p.signal(syscall.SIGCONT)
		case 3, 4:
			faults := [...]standin.StoreFault{
				standin.StoreUnavailable, standin.StoreUnresponsive, standin.StoreDropsResponses, standin.StoreWritesLate, standin.StoreSilentParts,
			}
			sim.Store.SetFault(faults[rng.IntN(len(faults))], 0)
			time.Sleep(500*time.Millisecond + upTo(4000))
			sim.Store.SetFault(standin.StoreHealthy, 0)
		case 5:
			sim.Store.Compact()
		case 6:
			target.Crash()
			time.Sleep(time.Second + upTo(3500))
			target.Boot()
			target.SetUnresponsive(false)
		case 7:
			target.SetUnresponsive(true)
			time.Sleep(500*time.Millisecond + upTo(3000))
			target.SetUnresponsive(false)
		case 8:
			losePower(processes, upTo(600))
		case 9:
			outageAndPowerLoss(rng, sim, processes)
		}
	}
}

// outageAndPowerLoss makes all instances lose power at the end of an outage of the store,
// near which targets crash.
func outageAndPowerLoss(rng *rand.Rand, sim *standin.Platform, processes []*process) {
	sim.Store.SetFault([...]standin.StoreFault{standin.StoreUnavailable, standin.StoreUnresponsive}[rng.IntN(2)], 0)
	time.Sleep(1500*time.Millisecond + time.Duration(rng.IntN(3000))*time.Millisecond)
	crashed := sim.Targets[:1+rng.IntN(len(sim.Targets))]
	for _, target := range crashed {
		target.Crash()
	}
	sim.Store.SetFault(standin.StoreHealthy, 0)
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	losePower(processes, time.Duration(rng.IntN(600))*time.Millisecond)
	time.Sleep(time.Second)
	for _, target := range crashed {
		target.Boot()
		target.SetUnresponsive(false)
	}
}

// losePower kills all instances at the same time and starts them again after a while.
func losePower(processes []*process, after time.Duration) {
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() { p.restart(syscall.SIGKILL, after) })
	}
	wg.Wait()
}

// clients submit jobs, ask for their states and cancel some.
type clients struct {
	sim       *standin.Platform
	processes []*process
	mu        sync.Mutex
	accepted  []acceptedJob
}

// submit submits jobs at a fixed interval until the given time. It cancels some right
// after their submission, whatever came of it.
func (c *clients) submit(rng *rand.Rand, until time.Time) {
	const interval = 60 * time.Millisecond
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		job := acceptedJob{id: fmt.Sprintf("%016x", i), cancelled: rng.IntN(10) == 0}
		other := c.processes[rng.IntN(len(c.processes))]
		wg.Go(func() {
			ok := submitJob(c.sim, c.processes, nil, i, job.id, job.credential)
			if job.cancelled {
				switch status, _ := sendRequest(http.MethodDelete, other, job.id, job.credential, nil); status {
				case http.StatusOK, http.StatusGone:
					c.sim.Checker.RecordCancel(job.id)
				}
			}
			if ok {
				c.mu.Lock()
				c.accepted = append(c.accepted, job)
				c.mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
}

// watch asks for the states of recent jobs until the given time.
func (c *clients) watch(rng *rand.Rand, until time.Time) {
	const recent = 60
	for ; time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		n := len(c.accepted)
		var job acceptedJob
		if n > 0 {
			job = c.accepted[n-1-rng.IntN(min(n, recent))]
		}
		c.mu.Unlock()
		if n > 0 {
			first := rng.IntN(len(c.processes))
			jobState(c.sim, c.processes[first:min(first+1, len(c.processes))], job)
		}
	}
}
