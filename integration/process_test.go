package integration

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	// The test cache doesn't track the source files of the programs that TestMain
	// builds. This import makes a change to any of them invalidate cached results.
	_ "github.com/masticlead/masticlead/runner"
)

// binDir is the directory with the programs under test.
var binDir string

// TestMain builds the programs under test and runs the tests.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "masticlead-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	args := append([]string{"build"}, raceFlags...)
	args = append(args, "-o", dir+"/", "../cmd/masticlead", "../cmd/masticlead-standin")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a process that a test started.
type process struct {
	name    string
	cmd     *exec.Cmd
	logFile *os.File
	done    chan struct{}
	err     error // exit status, valid once done is closed
}

// startProcess starts one of the programs under test. It is killed at the end of the
// test, and the end of its log is printed if the test fails.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	log, err := os.CreateTemp(logDir(t), name+"-*.log")
	require.NoError(t, err)
	p := &process{name: name, cmd: exec.Command(filepath.Join(binDir, program), args...), logFile: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		p.reportLog(t)
	})
	return p
}

// logDir returns the directory for the logs of a test. It is temporary unless the
// environment variable MASTICLEAD_LOGS names a directory in which to keep the logs,
// which are then written at debug level.
func logDir(t *testing.T) string {
	t.Helper()
	kept := os.Getenv("MASTICLEAD_LOGS")
	if kept == "" {
		return t.TempDir()
	}
	dir := filepath.Join(kept, t.Name())
	require.NoError(t, os.MkdirAll(dir, 0o755))
	return dir
}

// logLevel returns the log level of the programs under test.
func logLevel() string {
	if os.Getenv("MASTICLEAD_LOGS") != "" {
		return "debug"
	}
	return "info"
}

// reportLog fails the test if the log of the process contains a data race or a panic.
// If the test has failed, it prints the end of the log.
func (p *process) reportLog(t *testing.T) {
	b, _ := os.ReadFile(p.logFile.Name())
	_ = p.logFile.Close()
	if i := bytes.Index(b, []byte("WARNING: DATA RACE")); i >= 0 {
		t.Errorf("%s: %s", p.name, b[i:min(len(b), i+4000)])
	}
	if i := bytes.Index(b, []byte("panic:")); i >= 0 {
		t.Errorf("%s: %s", p.name, b[i:min(len(b), i+4000)])
	}
	if t.Failed() {
		t.Logf("%s:\n%s", p.name, b[max(0, len(b)-logTailBytes):])
	}
}

// logTailBytes is the number of bytes of each log that are printed if a test fails.
const logTailBytes = 3000

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// pause suspends the process, as when its virtual machine is paused.
func (p *process) pause() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill terminates the process without a graceful shutdown and waits for it to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate requests a graceful shutdown and waits for the process to exit.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	<-p.done
	require.NoError(t, p.err, "graceful shutdown of %s", p.name)
}
