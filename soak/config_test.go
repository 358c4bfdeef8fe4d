package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

// TestKeyAddedDuringPause guards against a process that resumes after a pause and refuses a
// key for good that was added meanwhile, before it has read the configuration again.
func TestKeyAddedDuringPause(t *testing.T) {
	const (
		rounds      = 2
		requests    = 30
		watchTime   = 1 * time.Second // a watch in flight would still return the change
		applyWithin = 3 * time.Second // bounds.configApplyMs, whose default is in force
	)
	sim, err := standin.NewPlatform(targetCount, 8000, func(string) int64 { return 1000 },
		func(string, int64) (time.Duration, bool) { return 50 * time.Millisecond, false })
	require.NoError(t, err)
	defer sim.Close()
	tenantA := standin.Tenant{Name: "a", APIKeys: []string{"ka"}, Weight: 1}
	sim.SetTenants(2, tenantA)
	bin := buildBinary(t)
	processes := newProcesses(t, sim, 2, bin, bin)
	for _, p := range processes {
		p.start()
	}
	p := processes[1]
	get := func(key string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.frontAddr+standin.Prefix+"00000000000000aa", nil)
		if err != nil {
			return 0
		}
		req.Host = standin.Host
		req.Header.Set(standin.HeaderCredential, key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	requireKnown := func(key string) {
		t.Helper()
		require.Eventually(t, func() bool { return get(key) == http.StatusGone }, 10*time.Second, 50*time.Millisecond)
	}
	requireKnown("ka")
	for round := range rounds {
		p.signal(syscall.SIGSTOP)
		time.Sleep(watchTime)
		key := fmt.Sprintf("k%d", round)
		sim.SetTenants(3+round, tenantA, standin.Tenant{Name: "c", APIKeys: []string{key}, Weight: 1})
		time.Sleep(applyWithin)
		statuses := make([]int, requests)
		var wg sync.WaitGroup
		for i := range statuses {
			wg.Go(func() { statuses[i] = get(key) })
		}
		time.Sleep(100 * time.Millisecond) // for the requests to arrive
		p.signal(syscall.SIGCONT)
		wg.Wait()
		require.NotContains(t, statuses, http.StatusUnauthorized)
		requireKnown(key)
	}
}
