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

	// The test cache doesn't see what the programs are built from. With this import
	// a change of any part of them invalidates cached results.
	_ "github.com/masticlead/masticlead/runner"
)

// binaries is the folder with the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "masticlead-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	args := append([]string{"build"}, raceFlags...)
	args = append(args, "-o", dir+"/", "../cmd/masticlead", "../cmd/masticlead-standin")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a program that a test started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error // valid after done
}

// start runs a program of the project. Its log is printed if the test fails.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	log, err := os.CreateTemp(logFolder(t), name+"-*.log")
	require.NoError(t, err)
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, program), args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		p.report(t)
	})
	return p
}

// logFolder is a folder for the logs of a test. The variable MASTICLEAD_LOGS names
// a folder in which they remain after the test, at debug level.
func logFolder(t *testing.T) string {
	t.Helper()
	kept := os.Getenv("MASTICLEAD_LOGS")
	if kept == "" {
		return t.TempDir()
	}
	dir := filepath.Join(kept, t.Name())
	require.NoError(t, os.MkdirAll(dir, 0o755))
	return dir
}

// logLevel is the level of the programs under test.
func logLevel() string {
	if os.Getenv("MASTICLEAD_LOGS") != "" {
		return "debug"
	}
	return "info"
}

// report prints the end of the log of a failed test, and any data race.
func (p *process) report(t *testing.T) {
	b, _ := os.ReadFile(p.log.Name())
	_ = p.log.Close()
	if i := bytes.Index(b, []byte("WARNING: DATA RACE")); i >= 0 {
		t.Errorf("%s: %s", p.name, b[i:min(len(b), i+4000)])
	}
	if i := bytes.Index(b, []byte("panic:")); i >= 0 {
		t.Errorf("%s: %s", p.name, b[i:min(len(b), i+4000)])
	}
	if t.Failed() {
		t.Logf("%s:\n%s", p.name, b[max(0, len(b)-logTail):])
	}
}

// logTail is how much of a log a failed test prints, in bytes.
const logTail = 3000

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// pause freezes the process as a stopped virtual machine would.
func (p *process) pause() { p.signal(syscall.SIGSTOP) }

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill ends the process without a shutdown and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate asks for a graceful shutdown and waits for it.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	<-p.done
	require.NoError(t, p.err, "graceful shutdown of %s", p.name)
}
