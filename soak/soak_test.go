package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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

const (
	instances = 4
	targets   = 8
	// defaultSeconds is the time under load and faults; MASTICLEAD_SOAK sets
	// another, and MASTICLEAD_SEED the seed.
	defaultSeconds = 15
	// finish is the users' bound for the end of the traffic (14 s) after the
	// last fault, and the lease of runs that nobody knows of (8 s).
	finish = 25 * time.Second
	// Each instance has a range of ports for the connections of others.
	firstLinkPort = 20_000
	linkPorts     = 16
)

// process is an instance as a process of its own.
type process struct {
	t     *testing.T
	bin   string
	conf  string
	log   *os.File
	front string
	mu    sync.Mutex
	cmd   *exec.Cmd
}

func (p *process) start() {
	cmd := exec.Command(p.bin, "platform")
	cmd.Env = []string{platform.SettingsEnv + "=" + p.conf}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	require.NoError(p.t, cmd.Start())
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
}

// signal sends a signal to the process that the test started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// It may have ended already.
	_ = p.cmd.Process.Signal(s)
}

// end stops the process and waits for it.
func (p *process) end(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	// A killed process reports its signal as an error.
	_ = cmd.Wait()
}

func setting(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestSoak guards, under random faults of processes, store and targets, against
// tasks that run twice, start after their end was acknowledged, overload a
// target or belong to refused jobs, and against accepted jobs that never end.
func TestSoak(t *testing.T) {
	seed := uint64(setting("MASTICLEAD_SEED", 1))
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	dir := t.TempDir()
	if keep := os.Getenv("MASTICLEAD_LOGS"); keep != "" {
		dir = keep
	}
	bin := filepath.Join(t.TempDir(), "masticlead")
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/masticlead").CombinedOutput()
	require.NoError(t, err, string(out))

	var workMu sync.Mutex
	work := rand.New(rand.NewPCG(seed, 1))
	c, err := standin.NewPlatform(targets, 4000, func(string) int64 { return 1000 }, func(string, int64) (time.Duration, bool) {
		workMu.Lock()
		defer workMu.Unlock()
		const failShare = 0.03
		return time.Duration(20+work.IntN(300)) * time.Millisecond, work.Float64() < failShare
	})
	require.NoError(t, err)
	defer c.Close()

	var nodes []*process
	for i := range instances {
		front, link := standin.FreeAddr(), firstLinkPort+linkPorts*i
		conf := filepath.Join(dir, fmt.Sprintf("node%d.conf", i))
		text := fmt.Sprintf("nodeName=n%d\nzone=z1\nip=%s\nlistenAddrs.front=%s\nlistenAddrs.readyAddr=%s\nportRange=%d,%d\n"+
			"platform.address=%s\nadvice=%s\nplatform.across=true\nlimits.memoryMb=284\nbounds.graceS=4\nbounds.maxHoldMs=10000\nbounds.stopTimeoutMs=200\n",
			i, standin.HostIP(), front, standin.FreeAddr(), link, link+linkPorts-1, c.StoreAddr, c.AdviceAddr)
		require.NoError(t, os.WriteFile(conf, []byte(text), 0o600))
		log, err := os.Create(filepath.Join(dir, fmt.Sprintf("node%d.log", i)))
		require.NoError(t, err)
		n := &process{t: t, bin: bin, conf: conf, log: log, front: front}
		n.start()
		nodes = append(nodes, n)
	}
	defer func() {
		for _, n := range nodes {
			n.end(syscall.SIGKILL)
			require.NoError(t, n.log.Close())
		}
	}()

	time.Sleep(2 * time.Second)
	stop := time.Now().Add(time.Duration(setting("MASTICLEAD_SOAK", defaultSeconds)) * time.Second)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		faults(rng, c, nodes, stop)
	}()
	accepted := load(c, nodes, stop)
	wg.Wait()
	require.NotEmpty(t, accepted)

	deadline := time.Now().Add(finish)
	for _, id := range accepted {
		for {
			s := state(nodes, id)
			if s == "completed" || s == "failed" {
				break
			}
			require.True(t, time.Now().Before(deadline), "job %s is %q", id, s)
			time.Sleep(50 * time.Millisecond)
		}
	}
	t.Logf("%d jobs accepted and ended, %d starts", len(accepted), c.Checker.Starts)
	require.Empty(t, c.Checker.Violations())
}

// faults strikes at random until the time has come, and then mends everything.
func faults(rng *rand.Rand, c *standin.Platform, nodes []*process, stop time.Time) {
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
		n, target := nodes[rng.IntN(len(nodes))], c.Targets[rng.IntN(targets)]
		switch rng.IntN(7) {
		case 0:
			n.end(syscall.SIGKILL)
			n.start()
		case 1:
			n.end(syscall.SIGTERM)
			n.start()
		case 2:
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
			n.signal(syscall.SIGCONT)
		case 3:
			c.Store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreUnresponsive, standin.StoreDropsResponses}[rng.IntN(3)], 0)
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			c.Store.SetFault(standin.StoreHealthy, 0)
		case 4:
			c.Store.Compact()
		case 5:
			target.SetUnresponsive(true)
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			target.SetUnresponsive(false)
		case 6:
			target.Boot()
		}
	}
}

// load submits jobs and returns the accepted ones.
func load(c *standin.Platform, nodes []*process, stop time.Time) []string {
	const period = 40 * time.Millisecond
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(stop); i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", i)
			spec := "spec " + id
			c.Checker.RecordSubmission(id, spec)
			body, err := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{
				{"count": 2, "cpu": 1000, "memMb": 10},
				{"count": 2, "cpu": 1000, "memMb": 10, "after": []int{0}, "gang": i%3 == 0},
			}})
			if err != nil {
				panic(err)
			}
			refused := true
			for try := range 4 {
				switch status := call(http.MethodPost, nodes[(i+try)%len(nodes)], id, body); status {
				case http.StatusOK:
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
					return
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				default:
					refused = false
				}
				time.Sleep(200 * time.Millisecond)
			}
			if refused {
				c.Checker.RecordRejection(id)
			}
		}()
		time.Sleep(period)
	}
	wg.Wait()
	return accepted
}

func request(method string, n *process, id string, body []byte) (int, []byte) {
	client := http.Client{Timeout: 3 * time.Second}
	req, err := http.NewRequest(method, "http://"+n.front+standin.Prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = standin.Host
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

func call(method string, n *process, id string, body []byte) int {
	status, _ := request(method, n, id, body)
	return status
}

func state(nodes []*process, id string) string {
	for _, n := range nodes {
		if status, text := request(http.MethodGet, n, id, nil); status == http.StatusOK {
			var out struct {
				State string `json:"state"`
			}
			if json.Unmarshal(text, &out) == nil {
				return out.State
			}
		}
	}
	return ""
}
