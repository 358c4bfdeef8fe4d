package soak

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

// TestPowerLossAfterOutage guards against running jobs again that were shown as completed
// while the store was away: all instances lose power around its return, and the targets
// that listed the ends have restarted.
func TestPowerLossAfterOutage(t *testing.T) {
	for name, fault := range map[string]standin.StoreFault{"unavailable": standin.StoreUnavailable, "unresponsive": standin.StoreUnresponsive} {
		for _, running := range []time.Duration{0, 150 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, power lost after %v", name, running), func(t *testing.T) { losePowerAfterOutage(t, fault, running) })
		}
	}
}

// losePowerAfterOutage ends the instances some time after the end of an outage during which
// jobs end.
func losePowerAfterOutage(t *testing.T, fault standin.StoreFault, running time.Duration) {
	const jobCount = 12
	sim, processes := startCell(t, targetCount, instanceCount, func(string, int64) (time.Duration, bool) {
		return 300 * time.Millisecond, false
	})
	var accepted []acceptedJob
	for i := range jobCount {
		id := fmt.Sprintf("%016x", i)
		if submitJob(sim, processes, nil, i, id, credential{}) {
			accepted = append(accepted, acceptedJob{id: id})
		}
	}
	require.Len(t, accepted, jobCount)
	sim.Store.SetFault(fault, 0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, job := range accepted {
			jobState(sim, processes[i%len(processes):], job)
		}
	}
	for _, job := range accepted {
		require.Equal(t, 4, sim.Checker.Done(job.id), "accepted jobs run on while the store is away")
	}
	for _, target := range sim.Targets {
		target.Boot()
	}
	sim.Store.SetFault(standin.StoreHealthy, 0)
	time.Sleep(running)
	for _, p := range processes {
		p.terminate(syscall.SIGKILL)
	}
	for _, p := range processes {
		p.start()
	}
	requireJobsEnd(t, sim, processes, accepted)
}
