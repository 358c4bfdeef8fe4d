package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// controlRules allow every caller to run short tasks and services.
const controlRules = `team all weight=1 # asked by bench
caller * team=all maxQueued=100000 # asked by bench
allow * kind=* # asked by bench
kind work policy=interactive priority=normal idempotent=yes cpuMilli=1 memoryMiB=1 runMs=100 deadlineMs=20000 # asked by bench
kind server policy=service priority=normal idempotent=yes cpuMilli=1 memoryMiB=1 runMs=3600000 deadlineMs=60000 # asked by bench
`

// controlSize is the size of a cell that consists of real processes.
type controlSize struct {
	dataCentres          int
	instances            int // per data centre
	targets              int // per data centre
	services             int // services that run during the whole measurement
	startsPerSecond      int
	ruleChangesPerSecond int
}

// countingProxy forwards TCP connections and counts the bytes in both directions.
type countingProxy struct {
	bytes   atomic.Int64
	mu      sync.Mutex
	closers []io.Closer
}

// listen returns the address of a new listener that forwards to address.
func (p *countingProxy) listen(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.track(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, address)
		}
	}()
	return l.Addr().String(), nil
}

func (p *countingProxy) track(c io.Closer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closers = append(p.closers, c)
}

func (p *countingProxy) forward(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	p.track(s)
	p.track(c)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(s, c) })
	wg.Go(func() { p.copy(c, s) })
	wg.Wait()
}

func (p *countingProxy) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.bytes.Add(int64(n))
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = dst.Close()
	_ = src.Close()
}

func (p *countingProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.closers {
		_ = c.Close()
	}
}

// controlInstance is the process of an instance under measurement.
type controlInstance struct {
	id, url string
	cmd     *exec.Cmd
}

// controlCell runs a platform, targets and instances as processes, with counting
// proxies on the connections of the instances.
type controlCell struct {
	size              controlSize
	binDir, dir       string
	platform          string
	instances         []*controlInstance
	commands          []*exec.Cmd
	reservedListeners []net.Listener
	client            *http.Client

	platformProxy, targetProxy, peerProxy countingProxy
}

// buildPrograms builds the programs under measurement into dir.
func buildPrograms(dir string) error {
	out, err := exec.Command("go", "build", "-o", dir+"/", "./cmd/masticlead", "./cmd/masticlead-standin").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build programs (the scenario must run in the module root): %w: %s", err, out)
	}
	return nil
}

// startControlCell starts a cell and waits until all instances are ready.
func startControlCell(bin string, size controlSize) (*controlCell, error) {
	dir, err := os.MkdirTemp("", "masticlead-control-")
	if err != nil {
		return nil, err
	}
	c := &controlCell{
		size: size, binDir: bin, dir: dir,
		client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
	}
	if err := c.start(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *controlCell) start() error {
	l, err := c.startPlatform()
	if err != nil {
		return err
	}
	for dc := range c.size.dataCentres {
		for range c.size.instances {
			if err := c.addInstance(dc, &l); err != nil {
				return err
			}
		}
	}
	first := c.instances[0].url
	if err := c.waitUntil(func() error {
		return c.do(http.MethodPut, first+"/v1/rules?expectedVersion=0&author=bench", []byte(controlRules))
	}); err != nil {
		return err
	}
	for _, in := range c.instances {
		if err := c.waitUntil(func() error { return c.do(http.MethodGet, in.url+"/readyz", nil) }); err != nil {
			return fmt.Errorf("instance %s: %w", in.id, err)
		}
	}
	return nil
}

// startPlatform starts the emulated platform and targets, and returns the list of
// targets with the addresses of their proxies.
func (c *controlCell) startPlatform() (connector.Listing, error) {
	var direct, exposed connector.Listing
	for dc := range c.size.dataCentres {
		for k := range c.size.targets {
			address, err := c.reserveAddress()
			if err != nil {
				return exposed, err
			}
			t := descriptor.Target{
				ID: descriptor.TargetID(fmt.Sprintf("dc%d-t%03d", dc, k)), DataCentre: descriptor.DataCentreID(fmt.Sprintf("dc%d", dc)),
				Rack: descriptor.RackID(fmt.Sprintf("r%d", k/8)), Address: address,
				Capacity: descriptor.Resources{CPU: 64_000, Memory: 1 << 20, Slots: 1024},
			}
			direct.Targets = append(direct.Targets, t)
			if t.Address, err = c.targetProxy.listen(address); err != nil {
				return exposed, err
			}
			exposed.Targets = append(exposed.Targets, t)
		}
	}
	file := filepath.Join(c.dir, "cell.json")
	b, err := json.Marshal(direct)
	if err != nil {
		return exposed, err
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return exposed, err
	}
	if c.platform, err = c.reserveAddress(); err != nil {
		return exposed, err
	}
	if _, err := c.startProcess("masticlead-standin", "--cell", file, "--platform", c.platform); err != nil {
		return exposed, err
	}
	return exposed, c.waitUntil(func() error { return c.do(http.MethodGet, "http://"+c.platform+"/table/stats", nil) })
}

// addInstance adds an instance to the directory, starts it and waits until it is
// healthy.
func (c *controlCell) addInstance(dc int, l *connector.Listing) error {
	listen, err := c.reserveAddress()
	if err != nil {
		return err
	}
	peer, err := c.reserveAddress()
	if err != nil {
		return err
	}
	exposed, err := c.peerProxy.listen(peer)
	if err != nil {
		return err
	}
	platform, err := c.platformProxy.listen(c.platform)
	if err != nil {
		return err
	}
	var names []string
	for i := range c.size.dataCentres {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("dc%d", i)))
	}
	in := &controlInstance{id: fmt.Sprintf("dc%d-%02d", dc, len(c.instances)), url: "http://" + listen}
	settings := fmt.Sprintf(`[dataCentres]
names = [%s]
[instance]
name = %q
dataCentre = "dc%d"
region = "bench"
[listen]
http = %q
peer = %q
[advertise]
http = %q
peer = %q
[platform]
table = "http://%s/table"
objects = "http://%s/objects"
directory = "http://%s/directory"
[limits]
queuedRequests = 100000
callerQueuedRequests = 100000
[log]
level = "error"
`, strings.Join(names, ", "), in.id, dc, listen, peer, listen, exposed, platform, platform, platform)
	file := filepath.Join(c.dir, in.id+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	l.Instances = append(l.Instances, connector.ListedInstance{
		ID: descriptor.InstanceID(in.id), DataCentre: descriptor.DataCentreID(fmt.Sprintf("dc%d", dc)), PeerAddress: exposed,
	})
	// The directory must be written before the instance reads it, so that all
	// traffic passes through the proxies.
	if err := c.doJSON(http.MethodPut, "http://"+c.platform+"/directory", l); err != nil {
		return err
	}
	if in.cmd, err = c.startProcess("masticlead", "serve", "--config", file); err != nil {
		return err
	}
	// The next addresses are reserved only after this process has bound its own.
	if err := c.waitUntil(func() error { return c.do(http.MethodGet, in.url+"/healthz", nil) }); err != nil {
		return fmt.Errorf("instance %s: %w", in.id, err)
	}
	c.instances = append(c.instances, in)
	return nil
}

// startProcess starts a program and writes its output to a log file in the
// directory of the configuration files.
func (c *controlCell) startProcess(program string, args ...string) (*exec.Cmd, error) {
	c.releaseAddresses()
	cmd := exec.Command(filepath.Join(c.binDir, program), args...)
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", program, len(c.commands))))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	c.commands = append(c.commands, cmd)
	return cmd, nil
}

// close kills all processes of the cell, closes its proxies and removes its files.
func (c *controlCell) close() {
	for _, cmd := range c.commands {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
	c.releaseAddresses()
	for _, p := range []*countingProxy{&c.platformProxy, &c.targetProxy, &c.peerProxy} {
		p.close()
	}
	_ = os.RemoveAll(c.dir)
}

// reserveAddress returns an address for a process that is started later. A
// listener holds the port until then, because a proxy could get the same port
// otherwise.
func (c *controlCell) reserveAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.reservedListeners = append(c.reservedListeners, l)
	return l.Addr().String(), nil
}

// releaseAddresses frees the reserved addresses for the processes.
func (c *controlCell) releaseAddresses() {
	for _, l := range c.reservedListeners {
		_ = l.Close()
	}
	c.reservedListeners = nil
}

// controlStartTimeout bounds each wait during the start of a cell.
const controlStartTimeout = 60 * time.Second

func (c *controlCell) waitUntil(condition func() error) error {
	deadline := time.Now().Add(controlStartTimeout)
	for {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *controlCell) doJSON(method, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.do(method, url, b)
}

func (c *controlCell) do(method, url string, body []byte) error {
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %.200s", method, url, resp.StatusCode, respBody)
	}
	return nil
}

// cpuTime returns the CPU time of a process, summed over its threads.
func cpuTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has exited
		}
		first, _, _ := strings.Cut(string(b), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("read %s: %w", f, err)
		}
		total += time.Duration(ns)
	}
	return total, nil
}

// residentMemory returns the resident memory of a process in MiB.
func residentMemory(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0, fmt.Errorf("unexpected contents of /proc/[pid]/statm: %q", b)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, err
	}
	return float64(pages*int64(os.Getpagesize())) / (1 << 20), nil
}
