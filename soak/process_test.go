package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform"
	"github.com/masticlead/masticlead/platform/standin"
)

// process is an instance that runs as a separate process.
type process struct {
	t          *testing.T
	bin        string
	args       []string
	linkAddr   string // address for connections of other instances
	configPath string
	logFile    *os.File
	frontAddr  string
	mu         sync.Mutex
	cmd        *exec.Cmd // nil before the first start
	restarting sync.Mutex
}

// restart ends the process with a signal and starts another one after a while.
func (p *process) restart(sig syscall.Signal, after time.Duration) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.terminate(sig)
	time.Sleep(after)
	p.start()
}

func (p *process) start() {
	cmd := exec.Command(p.bin, append([]string{"platform"}, p.args...)...)
	cmd.Env = []string{platform.SettingsEnv + "=" + p.configPath}
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	require.NoError(p.t, cmd.Start())
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
}

// signal sends a signal to the current process of the instance.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	// The process may have exited already.
	_ = p.cmd.Process.Signal(sig)
}

// terminate sends a signal that ends the process, and waits until it has exited.
func (p *process) terminate(sig syscall.Signal) {
	p.signal(sig)
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	// Wait returns an error for a process that was killed by a signal.
	_ = cmd.Wait()
}

// buildBinary builds the command of this tree and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "masticlead")
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/masticlead").CombinedOutput()
	require.NoError(t, err, string(out))
	return bin
}

// nodeIP returns a loopback address of an instance. Instances need different addresses,
// since all serve their metrics on the same port. The addresses of the first instance and
// of other test processes are those of standin.HostIP.
func nodeIP(i, count int) string {
	pid := os.Getpid()
	if count > maxSeparateInstances {
		return fmt.Sprintf("127.%d.%d.%d", 64+i, pid>>8&0xff, pid&0xff)
	}
	return fmt.Sprintf("127.%d.%d.%d", 64+16*i+pid>>16&0xf, pid>>8&0xff, pid&0xff)
}

// linkAddr returns the address at which an instance accepts connections of other instances.
func linkAddr(i, count int) string {
	return net.JoinHostPort(nodeIP(i, count), strconv.Itoa(firstLinkPort+linkPortsPerInstance*i))
}

// startCell starts a platform whose tasks run as run says, and instances of this tree on it.
// It returns once the instances serve.
func startCell(t *testing.T, targets, instances int, run standin.RunFunc) (*standin.Platform, []*process) {
	t.Helper()
	sim, err := standin.NewPlatform(targets, 4000, func(string) int64 { return taskCPU }, run)
	require.NoError(t, err)
	t.Cleanup(sim.Close)
	bin := buildBinary(t)
	processes := newProcesses(t, sim, instances, bin, bin)
	for _, p := range processes {
		p.start()
	}
	time.Sleep(2 * time.Second)
	return sim, processes
}

// maxSeparateInstances is the number of instances up to which their addresses differ from
// those of all other test processes.
const maxSeparateInstances = 12

// newProcesses prepares instances without starting them. The first half runs the first
// binary, the second half the second one. The logs stay in the directory
// that MASTICLEAD_LOGS names, if it is set.
func newProcesses(t *testing.T, sim *standin.Platform, count int, firstBin, secondBin string) []*process {
	t.Helper()
	return newProcessesWith(t, sim, count, firstBin, secondBin, func(int) string { return "" })
}

// newProcessesWith is newProcesses with further lines of the settings of each instance.
func newProcessesWith(t *testing.T, sim *standin.Platform, count int, firstBin, secondBin string, settings func(i int) string) []*process {
	t.Helper()
	dir := t.TempDir()
	if logDir := os.Getenv("MASTICLEAD_LOGS"); logDir != "" {
		dir = logDir
	}
	var processes []*process
	for i := range count {
		bin := firstBin
		if i >= count/2 {
			bin = secondBin
		}
		frontAddr, firstPort := standin.FreeAddr(), firstLinkPort+linkPortsPerInstance*i
		configPath := filepath.Join(dir, fmt.Sprintf("node%d.conf", i))
		config := fmt.Sprintf("nodeName=n%d\nzone=z1\nip=%s\nlistenAddrs.front=%s\nlistenAddrs.readyAddr=%s\nportRange=%d,%d\n"+
			"platform.address=%s\nadvice=%s\nplatform.across=true\nlimits.memoryMb=284\nbounds.graceS=4\nbounds.maxHoldMs=10000\nbounds.stopTimeoutMs=200\n"+
			"bounds.revokeStrict=true\nbounds.revokeMs=%d\nbounds.quotaExcess=%g\n",
			i, nodeIP(i, count), frontAddr, standin.FreeAddr(), firstPort, firstPort+linkPortsPerInstance-1, sim.StoreAddr, sim.AdviceAddr, revocationBound.Milliseconds(), capExcess)
		require.NoError(t, os.WriteFile(configPath, []byte(config+settings(i)), 0o600))
		logFile, err := os.Create(filepath.Join(dir, fmt.Sprintf("node%d.log", i)))
		require.NoError(t, err)
		p := &process{t: t, bin: bin, configPath: configPath, logFile: logFile, frontAddr: frontAddr, linkAddr: linkAddr(i, count)}
		t.Cleanup(func() {
			p.terminate(syscall.SIGKILL)
			require.NoError(t, p.logFile.Close())
		})
		processes = append(processes, p)
	}
	return processes
}

// requireJobsEnd waits until all accepted jobs have ended, and checks that no rule of
// the platform was violated.
func requireJobsEnd(t *testing.T, sim *standin.Platform, processes []*process, accepted []acceptedJob) {
	t.Helper()
	deadline := time.Now().Add(completionTimeout)
	for _, job := range accepted {
		for {
			state := jobState(sim, processes, job)
			if state == "completed" || state == "failed" || (job.cancelled && state == "cancelled") {
				break
			}
			require.True(t, time.Now().Before(deadline), "job %s did not end before the timeout; last state %q", job.id, state)
			time.Sleep(50 * time.Millisecond)
		}
	}
	t.Logf("%d accepted jobs ended, %d runs started", len(accepted), sim.Checker.Starts)
	require.Empty(t, sim.Checker.Violations())
}
