package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

const (
	// pressedMemoryMB and pressedMaxFds are the limits of an instance that meets a crowd.
	pressedMemoryMB = 64
	pressedMaxFds   = 1200
	// pressedMaxSockets leaves the descriptors that the platform reserves for files.
	pressedMaxSockets = pressedMaxFds - 200
	// legalBodyBytes is limits.maxBodyBytes of the stand-in's configuration.
	legalBodyBytes = 262_144
	// missingBytes is what a client that stops short does not send.
	missingBytes = 44
)

// pressed is an instance with low limits, in a cell of two.
type pressed struct {
	*process
	sim        *standin.Platform
	cell       []*process // all instances
	maxSockets int        // most sockets seen open at once
}

// startPressed starts a cell whose instances have low limits, and returns one of them once
// all serve.
func startPressed(t *testing.T) *pressed {
	t.Helper()
	sim, err := standin.NewPlatform(2, 4000, func(string) int64 { return taskCPU }, func(string, int64) (time.Duration, bool) { return 50 * time.Millisecond, false })
	require.NoError(t, err)
	t.Cleanup(sim.Close)
	bin := buildBinary(t)
	processes := newProcesses(t, sim, 2, bin, bin)
	for _, p := range processes {
		f, err := os.OpenFile(p.configPath, os.O_APPEND|os.O_WRONLY, 0)
		require.NoError(t, err)
		_, err = fmt.Fprintf(f, "limits.memoryMb=%d\nlimits.maxFds=%d\n", pressedMemoryMB, pressedMaxFds)
		require.NoError(t, err)
		require.NoError(t, f.Close())
		p.start()
	}
	for _, p := range processes {
		require.Eventually(t, func() bool {
			status, _ := sendRequest(http.MethodGet, p, "", credential{}, nil)
			return status == http.StatusOK
		}, 20*time.Second, 50*time.Millisecond)
	}
	return &pressed{process: processes[0], sim: sim, cell: processes}
}

// setting returns a value of the instance's settings file.
func (p *pressed) setting(name string) string {
	text, err := os.ReadFile(p.configPath)
	require.NoError(p.t, err)
	_, rest, _ := strings.Cut(string(text), "\n"+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// countSockets notes how many sockets the instance has open.
func (p *pressed) countSockets() {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	n := 0
	for _, link := range links {
		// The descriptor may have been closed meanwhile.
		if to, err := os.Readlink(link); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	p.maxSockets = max(p.maxSockets, n)
}

// crowd is a number of clients that send the same bytes at once.
type crowd struct {
	addr  string
	count int
	sent  [][]byte // the last one is repeated for ever if endless is set
	// endless clients send until they are stopped or their connection is closed.
	endless bool
	// reads is set for clients that read the answer.
	reads bool
}

// press runs the crowds at once and keeps their connections open until the test ends. It
// returns once all clients have sent what they could.
func (p *pressed) press(crowds ...crowd) {
	p.t.Helper()
	// sendTimeout ends clients whose bytes are no longer taken.
	const sendTimeout = 6 * time.Second
	var wg sync.WaitGroup
	for _, c := range crowds {
		for range c.count {
			wg.Go(func() {
				conn, err := net.DialTimeout("tcp", c.addr, sendTimeout)
				if err != nil {
					return
				}
				p.t.Cleanup(func() { _ = conn.Close() })
				_ = conn.SetDeadline(time.Now().Add(sendTimeout))
				// A write fails when the instance refuses the client.
				for _, b := range c.sent {
					_, err = conn.Write(b)
				}
				for c.endless && err == nil {
					_, err = conn.Write(c.sent[len(c.sent)-1])
				}
				if c.reads {
					_, _ = io.Copy(io.Discard, io.LimitReader(conn, 64))
				}
			})
		}
	}
	sent := make(chan struct{})
	go func() { wg.Wait(); close(sent) }()
	for {
		p.countSockets()
		select {
		case <-sent:
			time.Sleep(500 * time.Millisecond)
			p.countSockets()
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// requireUnharmed checks that the instance still runs within its limits and serves.
func (p *pressed) requireUnharmed() {
	p.t.Helper()
	// answerTimeout only ends the test; clients send a request again meanwhile.
	const answerTimeout = 30 * time.Second
	const id = "00000000000000ff"
	pid := p.cmd.Process.Pid
	end := time.Now().Add(answerTimeout)
	accepted := false
	for !accepted && time.Now().Before(end) {
		accepted = submitJob(p.sim, []*process{p.process}, nil, 0xff, id, credential{})
	}
	p.countSockets()
	peak := p.peakMemoryKB()
	p.t.Logf("peak memory %d kB, %d sockets", peak, p.maxSockets)
	require.Less(p.t, peak, int64(pressedMemoryMB<<10), "kB of memory")
	require.LessOrEqual(p.t, p.maxSockets, pressedMaxSockets, "open sockets")
	require.True(p.t, accepted, "an ordinary request is served")
	requireJobsEnd(p.t, p.sim, []*process{p.process}, []acceptedJob{{id: id}})
	require.NoError(p.t, p.cmd.Process.Signal(syscall.Signal(0)), "the instance runs")
	require.Equal(p.t, pid, p.cmd.Process.Pid)
	log, err := os.ReadFile(p.logFile.Name())
	require.NoError(p.t, err)
	for line := range strings.Lines(string(log)) {
		require.True(p.t, strings.HasPrefix(line, "time="), "unstructured log line: %s", line)
	}
	require.NotContains(p.t, string(log), "panic")
}

// crowdHead returns the head of a submission. Clients of a crowd may share an ID, as their
// jobs are invalid or incomplete.
func crowdHead(field string) []byte {
	return fmt.Appendf(nil, "POST %s00000000000000cc HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", standin.Prefix, standin.Host, field)
}

// paddedJob returns a valid job of the given size.
func paddedJob(size int) []byte {
	job := fmt.Appendf(nil, `{"spec":"spec %s","steps":[{"count":2,"cpu":%d,"memMb":%d}]`, "00000000000000cc", taskCPU, taskMemMb)
	return append(append(job, bytes.Repeat([]byte{' '}, size-len(job)-1)...), '}')
}

// chunked returns a body in chunks of the given size, without the last chunk.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.Bytes()
}

var lengthField = fmt.Sprintf("Content-Length: %d", legalBodyBytes)

const chunkedField = "Transfer-Encoding: chunked"

// TestSingleBodyOfLegalSize guards against limits that refuse a single request of legal size.
func TestSingleBodyOfLegalSize(t *testing.T) {
	p := startPressed(t)
	for i, contentLength := range []int64{legalBodyBytes, -1} {
		id := fmt.Sprintf("%016x", 0xc0+i)
		p.sim.Checker.RecordSubmission(id, "spec 00000000000000cc")
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.frontAddr+standin.Prefix+id, io.NopCloser(bytes.NewReader(paddedJob(legalBodyBytes))))
		require.NoError(t, err)
		req.Host, req.ContentLength = standin.Host, contentLength
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	p.requireUnharmed()
}

// TestLargeBodiesExhaustMemory guards against a process that ends by memory because of many
// whole bodies of legal size at once.
func TestLargeBodiesExhaustMemory(t *testing.T) {
	p := startPressed(t)
	body := bytes.Repeat([]byte{'['}, legalBodyBytes)
	p.press(crowd{addr: p.frontAddr, count: 900, sent: [][]byte{crowdHead(lengthField), body}, reads: true})
	p.requireUnharmed()
}

// TestStalledBodiesExhaustMemory guards against a process whose memory is held by bodies that
// stop just short of their end.
func TestStalledBodiesExhaustMemory(t *testing.T) {
	p := startPressed(t)
	p.press(crowd{addr: p.frontAddr, count: 600, sent: [][]byte{crowdHead(lengthField), paddedJob(legalBodyBytes)[missingBytes:]}})
	p.requireUnharmed()
}

// TestStalledLargeChunksExhaustMemory is TestStalledBodiesExhaustMemory for chunked bodies.
func TestStalledLargeChunksExhaustMemory(t *testing.T) {
	p := startPressed(t)
	p.press(crowd{addr: p.frontAddr, count: 600, sent: [][]byte{crowdHead(chunkedField), chunked(paddedJob(legalBodyBytes)[missingBytes:], 64<<10)}})
	p.requireUnharmed()
}

// TestStalledSmallChunksExhaustMemory is TestStalledBodiesExhaustMemory for chunks of one byte.
func TestStalledSmallChunksExhaustMemory(t *testing.T) {
	p := startPressed(t)
	p.press(crowd{addr: p.frontAddr, count: 800, sent: [][]byte{crowdHead(chunkedField), chunked(paddedJob(legalBodyBytes)[missingBytes:], 1)}})
	p.requireUnharmed()
}

// TestOversizedHeadsExhaustMemory guards against a process that ends by memory because of
// heads that are over any limit.
func TestOversizedHeadsExhaustMemory(t *testing.T) {
	p := startPressed(t)
	p.press(crowd{addr: p.frontAddr, count: 300, sent: [][]byte{crowdHead("X-Odd: " + strings.Repeat("x", 900_000))}})
	p.requireUnharmed()
}

// TestEndlessHeadsExhaustMemory is TestOversizedHeadsExhaustMemory for heads without an end.
func TestEndlessHeadsExhaustMemory(t *testing.T) {
	p := startPressed(t)
	field := []byte("X-Odd: " + strings.Repeat("x", 1000) + "\r\n")
	p.press(
		crowd{addr: p.frontAddr, count: 150, sent: [][]byte{bytes.TrimSuffix(crowdHead("X-First: 1"), []byte("\r\n")), field}, endless: true},
		crowd{addr: p.frontAddr, count: 150, sent: [][]byte{[]byte("GET /"), bytes.Repeat([]byte{'x'}, 10_000)}, endless: true},
		crowd{addr: p.setting("listenAddrs.readyAddr"), count: 100, sent: [][]byte{[]byte("GET /"), bytes.Repeat([]byte{'x'}, 10_000)}, endless: true},
	)
	p.requireUnharmed()
}

// TestEndlessEmptyLines guards against a process that hangs or ends because of empty lines
// without an end before a request.
func TestEndlessEmptyLines(t *testing.T) {
	p := startPressed(t)
	p.press(crowd{addr: p.frontAddr, count: 300, sent: [][]byte{bytes.Repeat([]byte("\r\n"), 5000)}, endless: true})
	p.requireUnharmed()
}

// TestExpandingBodiesExhaustMemory guards against a process that ends by memory because of
// bodies that take many times their size once they are decoded.
func TestExpandingBodiesExhaustMemory(t *testing.T) {
	for name, element := range map[string]string{"steps": `{"steps":[%s{}]}`, "dependencies": `{"steps":[{"after":[%s0]}]}`} {
		t.Run(name, func(t *testing.T) {
			p := startPressed(t)
			item := map[string]string{"steps": "{},", "dependencies": "0,"}[name]
			body := fmt.Appendf(nil, element, strings.Repeat(item, (legalBodyBytes-100)/len(item)))
			p.press(crowd{addr: p.frontAddr, count: 100, sent: [][]byte{crowdHead(fmt.Sprintf("Content-Length: %d", len(body))), body}, reads: true})
			p.requireUnharmed()
		})
	}
}

// TestIdleConnectionsTakeDescriptors guards against clients that hold all descriptors, so that
// none is left for links, store and targets.
func TestIdleConnectionsTakeDescriptors(t *testing.T) {
	p := startPressed(t)
	p.press(
		crowd{addr: p.frontAddr, count: 1000, sent: [][]byte{nil}},
		crowd{addr: p.frontAddr, count: 1000, sent: [][]byte{crowdHead("Content-Length: 100")}},
	)
	p.requireUnharmed()
}

// TestIdleConnectionsOfOtherListeners is TestIdleConnectionsTakeDescriptors for the listeners
// that serve no jobs.
func TestIdleConnectionsOfOtherListeners(t *testing.T) {
	p := startPressed(t)
	firstPort, _, _ := strings.Cut(p.setting("portRange"), ",")
	p.press(
		crowd{addr: p.setting("listenAddrs.readyAddr"), count: 1000, sent: [][]byte{nil}},
		crowd{addr: net.JoinHostPort(p.setting("ip"), "9464"), count: 1000, sent: [][]byte{nil}},
		crowd{addr: net.JoinHostPort(p.setting("ip"), firstPort), count: 1000, sent: [][]byte{nil}},
	)
	p.requireUnharmed()
}

// TestUnreadAnswers guards against clients that send requests and never read the answers.
func TestUnreadAnswers(t *testing.T) {
	p := startPressed(t)
	get := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", standin.Prefix, standin.Host)
	metrics := []byte("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
	p.press(
		crowd{addr: p.frontAddr, count: 100, sent: [][]byte{bytes.Repeat(get, 100)}, endless: true},
		crowd{addr: net.JoinHostPort(p.setting("ip"), "9464"), count: 50, sent: [][]byte{metrics}, endless: true},
	)
	p.requireUnharmed()
}

// TestAcceptedJobsExhaustMemory guards against a process that ends by memory because of many
// accepted jobs with many steps that nothing can run.
func TestAcceptedJobsExhaustMemory(t *testing.T) {
	const jobs, steps = 1000, 1500
	p := startPressed(t)
	step := fmt.Sprintf(`{"count":1,"cpu":%d}`, 1000*taskCPU)
	body := []byte(`{"steps":[` + strings.Repeat(step+",", steps-1) + step + `]}`)
	accepted := 0
	for i := range jobs {
		if status, _ := sendRequest(http.MethodPost, p.process, fmt.Sprintf("%016x", 0x1000+i), credential{}, body); status == http.StatusOK {
			accepted++
		}
	}
	t.Logf("%d jobs accepted", accepted)
	for _, member := range p.cell {
		require.Less(t, member.peakMemoryKB(), int64(pressedMemoryMB<<10), "kB of memory")
	}
	p.requireUnharmed()
}
