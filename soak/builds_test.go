package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/platform"
	"github.com/masticlead/masticlead/platform/standin"
)

// leaderName returns the node name of the instance that the store names as the leader.
func leaderName(t *testing.T, k *keeper.Keeper) string {
	t.Helper()
	leadership, err := k.Leader(t.Context())
	if err != nil {
		return ""
	}
	name, _, _ := strings.Cut(string(leadership.Instance), "-")
	return name
}

// restartLeader kills the leader and starts it again.
func restartLeader(t *testing.T, sim *standin.Platform, processes []*process) {
	t.Helper()
	k := &keeper.Keeper{Store: platform.NewStore(sim.StoreAddr), Partitions: 1}
	for i, p := range processes {
		if leaderName(t, k) == fmt.Sprintf("n%d", i) {
			p.terminate(syscall.SIGKILL)
			p.start()
			return
		}
	}
}

// TestTwoBuilds runs instances of two builds in one cell, and moves the leadership from
// each build to the other by a shutdown, by a kill, and by a restart of the whole cell
// from what the other build stored. It guards against builds that do not understand each
// other's frames, settings or rows, which loses jobs or runs them twice during a rolling
// upgrade. MASTICLEAD_OTHER_BUILD names the binary of the other build; without it, both
// halves of the cell run this build.
func TestTwoBuilds(t *testing.T) {
	thisBin := buildBinary(t)
	otherBin := os.Getenv("MASTICLEAD_OTHER_BUILD")
	if otherBin == "" {
		otherBin = thisBin
	}
	var runMu sync.Mutex
	runRNG := rand.New(rand.NewPCG(1, 1))
	sim, err := standin.NewPlatform(targetCount, 8000, func(string) int64 { return 1000 }, func(string, int64) (time.Duration, bool) {
		runMu.Lock()
		defer runMu.Unlock()
		return time.Duration(20+runRNG.IntN(1500)) * time.Millisecond, false
	})
	require.NoError(t, err)
	defer sim.Close()
	processes := newProcesses(t, sim, instanceCount, otherBin, thisBin)
	other, this := processes[:instanceCount/2], processes[instanceCount/2:]
	k := &keeper.Keeper{Store: platform.NewStore(sim.StoreAddr), Partitions: 1}

	start := func(group []*process) {
		for _, p := range group {
			p.start()
		}
	}
	terminate := func(group []*process, sig syscall.Signal) {
		for _, p := range group {
			p.terminate(sig)
		}
	}
	// mixedTime is the time for which both builds serve the cell together.
	const mixedTime = 2 * time.Second
	requireLeader := func(names ...string) {
		t.Helper()
		require.Eventually(t, func() bool {
			return slices.Contains(names, leaderName(t, k))
		}, 10*time.Second, 20*time.Millisecond, "leader must be one of %v", names)
		time.Sleep(mixedTime)
	}
	otherNames, thisNames := []string{"n0", "n1"}, []string{"n2", "n3"}

	start(other)
	requireLeader(otherNames...)
	const loadTime = 30 * time.Second
	var accepted []acceptedJob
	var wg sync.WaitGroup
	wg.Go(func() { accepted = submitJobs(sim, processes, nil, time.Now().Add(loadTime)) })

	start(this)
	time.Sleep(mixedTime)
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		terminate(other, sig)
		requireLeader(thisNames...)
		start(other)
		time.Sleep(mixedTime)
		terminate(this, sig)
		requireLeader(otherNames...)
		start(this)
		time.Sleep(mixedTime)
	}
	terminate(processes, syscall.SIGKILL)
	start(this)
	requireLeader(thisNames...)
	terminate(processes, syscall.SIGKILL)
	start(other)
	requireLeader(otherNames...)
	start(this)
	wg.Wait()
	require.NotEmpty(t, accepted)
	requireJobsEnd(t, sim, processes, accepted)
}
