package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

var nested = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// oddEntries returns entries that name no target, and some that name one at which another
// server answers, or nobody.
func oddEntries(otherServer, hugeServer string) []string {
	entries := []string{"", "\xff\x00", nested, `{"service":` + nested + `}`, strings.Repeat(`{"a":`, 20_000), "7", `"x"`, "null"}
	const valid = `{"service":"pool","address":%q,"zone":"z1","state":%q,"born":%s,"capacity":{"cpu":%s,"memMb":1000},"labels":["a"]}`
	for _, f := range [][4]string{
		{hugeServer, "ready", "1", "4000"},
		{hugeServer, "ready", "1", "4000"},
		{"127.0.0.1:99999", "ready", "1", "4000"},
		{"127.0.0.1:0", "ready", "1", "4000"},
		{"127.0.0.1:1", "ready", "1", "4294967296"},
		{"127.0.0.1:80/x", "ready", "1", "4000"},
		{"[fe80::1%eth0]:80", "ready", "1", "4000"},
		{"127.0.0.1:80", "idle", "1", "4000"},
		{otherServer, "ready", "9223372036854775807", "4000"},
		{otherServer, "ready", "1e400", "4000"},
		{otherServer, "ready", "1", "1e300"},
		{otherServer, "ready", "1", "9e18"},
		{otherServer, "ready", "1", "4000"},
		{otherServer, "draining", "2", "4000"},
	} {
		entries = append(entries, fmt.Sprintf(valid, f[0], f[1], f[2], f[3]))
	}
	return entries
}

// newOtherServer starts a server that is no target. It answers hold requests with the given
// bodies in turn, and redirects others.
func newOtherServer(t *testing.T, bodies ...string) string {
	t.Helper()
	var requests atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/hold" {
			http.Redirect(rw, r, "http://127.0.0.1:1/", http.StatusTemporaryRedirect)
			return
		}
		_, _ = rw.Write([]byte(bodies[requests.Add(1)%int64(len(bodies))]))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// memoryMB is the memory limit of an instance in its settings.
const memoryMB = 284

// setListed adds or removes a target, including its entry.
func setListed(sim *standin.Platform, target *standin.Target, listed bool) {
	target.SetUnresponsive(!listed)
	if !listed {
		sim.Store.Delete("servers", target.ID)
	}
}

// TestOddEntriesOfTargets guards against instances that end, or stop following the list of
// targets, because of entries of another writer.
func TestOddEntriesOfTargets(t *testing.T) {
	sim, err := standin.NewPlatform(3, 4000, func(string) int64 { return taskCPU }, func(string, int64) (time.Duration, bool) { return 50 * time.Millisecond, false })
	require.NoError(t, err)
	defer sim.Close()
	late := sim.Targets[2]
	setListed(sim, late, false)
	bin := buildBinary(t)
	processes := newProcesses(t, sim, instanceCount, bin, bin)[:2]
	for _, p := range processes {
		p.start()
	}
	requireServing := func() {
		t.Helper()
		for _, p := range processes {
			require.Eventually(t, func() bool {
				status, _ := sendRequest(http.MethodGet, p, "", credential{}, nil)
				return status == http.StatusOK
			}, 10*time.Second, 20*time.Millisecond)
		}
	}
	requireServing()

	accepted := make(chan []acceptedJob, 1)
	other := newOtherServer(t, "", "x", nested, `{"running":`+nested+`}`, `{"clockMs":1e300,"born":1,"running":[],"ended":[]}`,
		`{"clockMs":1e400}`, `{"clockMs":5,"running":[["a.0.0.0",9223372036854775807,"",1e300]]}`)
	entries := oddEntries(other, newOtherServer(t, `{"clockMs":1,"running":[[`+strings.Repeat("1,", 4<<20-100)+`1]]}`))
	const interval = 150 * time.Millisecond
	go func() {
		accepted <- submitJobs(sim, processes, nil, time.Now().Add(time.Duration(len(entries))*interval))
	}()
	for i, entry := range entries {
		sim.Store.PutBytes("servers", fmt.Sprintf("odd%d", i), []byte(entry))
		if i == len(entries)/2 {
			restartLeader(t, sim, processes)
		}
		time.Sleep(interval)
	}
	requireJobsEnd(t, sim, processes, <-accepted)

	for _, target := range sim.Targets[:2] {
		setListed(sim, target, false)
	}
	setListed(sim, late, true)
	time.Sleep(2500 * time.Millisecond) // more than two reads of the list
	requireServing()
	const id = "00000000000000ff"
	require.True(t, submitJob(sim, processes, nil, 0xff, id, credential{}))
	requireJobsEnd(t, sim, processes, []acceptedJob{{id: id}})
	for _, p := range processes {
		log, err := os.ReadFile(p.logFile.Name())
		require.NoError(t, err)
		require.NotContains(t, string(log), "unexpected error")
		require.NotContains(t, string(log), "panic")
		require.NotContains(t, string(log), "list of targets not read")
		require.Less(t, p.peakMemoryKB(), int64(memoryMB<<10), "kB of memory")
	}
}

// peakMemoryKB returns the largest resident size of the current process of an instance.
func (p *process) peakMemoryKB() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kb int64
	_, err = fmt.Sscan(rest, &kb)
	require.NoError(p.t, err)
	p.t.Logf("peak memory %d kB", kb)
	return kb
}
