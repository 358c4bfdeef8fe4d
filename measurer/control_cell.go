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

// controlRules let any caller run short work and services.
const controlRules = `team all weight=1 # asked by bench
caller * team=all maxQueued=100000 # asked by bench
allow * kind=* # asked by bench
kind work policy=interactive priority=normal idempotent=yes cpuMilli=1 memoryMiB=1 runMs=100 deadlineMs=20000 # asked by bench
kind server policy=service priority=normal idempotent=yes cpuMilli=1 memoryMiB=1 runMs=3600000 deadlineMs=60000 # asked by bench
`

// controlSize is the size of a cell of real processes.
type controlSize struct {
	dataCentres int
	instances   int // of each data centre
	targets     int // of each data centre
	running     int // services that run all the time
	starts      int // starts per second
	changes     int // rule changes per second
}

// meter forwards TCP connections and counts their bytes.
type meter struct {
	bytes atomic.Int64
	mu    sync.Mutex
	all   []io.Closer
}

// expose returns an address that forwards to the given one.
func (m *meter) expose(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m.keep(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.forward(c, address)
		}
	}()
	return l.Addr().String(), nil
}

func (m *meter) keep(c io.Closer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, c)
}

func (m *meter) forward(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	m.keep(s)
	m.keep(c)
	var wg sync.WaitGroup
	wg.Go(func() { m.copy(s, c) })
	wg.Go(func() { m.copy(c, s) })
	wg.Wait()
}

func (m *meter) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		m.bytes.Add(int64(n))
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

func (m *meter) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.all {
		_ = c.Close()
	}
}

// controlInstance is an entry instance under measurement.
type controlInstance struct {
	id, url string
	cmd     *exec.Cmd
}

// controlCell is a platform, targets and entry instances as processes, with
// meters on the connections between them.
type controlCell struct {
	size      controlSize
	bin, dir  string
	platform  string
	instances []*controlInstance
	commands  []*exec.Cmd
	reserved  []net.Listener
	client    *http.Client

	toPlatform, toTargets, toPeers meter
}

// buildControl builds the programs under measurement into dir.
func buildControl(dir string) error {
	out, err := exec.Command("go", "build", "-o", dir+"/", "./cmd/masticlead", "./cmd/masticlead-standin").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build the programs (the scenario runs at the root of the module): %w: %s", err, out)
	}
	return nil
}

// startControl starts a cell and waits until all instances are ready.
func startControl(bin string, size controlSize) (*controlCell, error) {
	dir, err := os.MkdirTemp("", "masticlead-control-")
	if err != nil {
		return nil, err
	}
	c := &controlCell{
		size: size, bin: bin, dir: dir,
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
	if err := c.until(func() error {
		return c.raw(http.MethodPut, first+"/v1/rules?expectedVersion=0&author=bench", []byte(controlRules))
	}); err != nil {
		return err
	}
	for _, in := range c.instances {
		if err := c.until(func() error { return c.raw(http.MethodGet, in.url+"/readyz", nil) }); err != nil {
			return fmt.Errorf("instance %s: %w", in.id, err)
		}
	}
	return nil
}

// startPlatform starts the stand-ins and returns the list of targets as the
// meters expose them.
func (c *controlCell) startPlatform() (connector.Listing, error) {
	var direct, exposed connector.Listing
	for dc := range c.size.dataCentres {
		for k := range c.size.targets {
			address, err := c.reserve()
			if err != nil {
				return exposed, err
			}
			t := descriptor.Target{
				ID: descriptor.TargetID(fmt.Sprintf("dc%d-t%03d", dc, k)), DataCentre: descriptor.DataCentreID(fmt.Sprintf("dc%d", dc)),
				Rack: descriptor.RackID(fmt.Sprintf("r%d", k/8)), Address: address,
				Capacity: descriptor.Resources{CPU: 64_000, Memory: 1 << 20, Slots: 1024},
			}
			direct.Targets = append(direct.Targets, t)
			if t.Address, err = c.toTargets.expose(address); err != nil {
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
	if c.platform, err = c.reserve(); err != nil {
		return exposed, err
	}
	if _, err := c.run("masticlead-standin", "--cell", file, "--platform", c.platform); err != nil {
		return exposed, err
	}
	return exposed, c.until(func() error { return c.raw(http.MethodGet, "http://"+c.platform+"/table/stats", nil) })
}

// addInstance starts an instance and lists it.
func (c *controlCell) addInstance(dc int, l *connector.Listing) error {
	listen, err := c.reserve()
	if err != nil {
		return err
	}
	peer, err := c.reserve()
	if err != nil {
		return err
	}
	exposed, err := c.toPeers.expose(peer)
	if err != nil {
		return err
	}
	platform, err := c.toPlatform.expose(c.platform)
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
	// The list is in place before the instance reads it, so that all traffic
	// passes the meters.
	if err := c.call(http.MethodPut, "http://"+c.platform+"/directory", l); err != nil {
		return err
	}
	if in.cmd, err = c.run("masticlead", "serve", "--config", file); err != nil {
		return err
	}
	// The next addresses are reserved only when this process has its own.
	if err := c.until(func() error { return c.raw(http.MethodGet, in.url+"/healthz", nil) }); err != nil {
		return fmt.Errorf("instance %s: %w", in.id, err)
	}
	c.instances = append(c.instances, in)
	return nil
}

// run starts a program; its output goes to a file beside the settings.
func (c *controlCell) run(program string, args ...string) (*exec.Cmd, error) {
	c.release()
	cmd := exec.Command(filepath.Join(c.bin, program), args...)
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

// close ends all processes that this cell started.
func (c *controlCell) close() {
	for _, cmd := range c.commands {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
	c.release()
	for _, m := range []*meter{&c.toPlatform, &c.toTargets, &c.toPeers} {
		m.close()
	}
	_ = os.RemoveAll(c.dir)
}

// reserve returns an address for a process that is started later. It stays taken
// until then, or the meters could get the same port.
func (c *controlCell) reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.reserved = append(c.reserved, l)
	return l.Addr().String(), nil
}

// release frees the reserved addresses for the processes.
func (c *controlCell) release() {
	for _, l := range c.reserved {
		_ = l.Close()
	}
	c.reserved = nil
}

// controlStartLimit bounds the start of a cell.
const controlStartLimit = 60 * time.Second

func (c *controlCell) until(condition func() error) error {
	deadline := time.Now().Add(controlStartLimit)
	for {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *controlCell) call(method, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.raw(method, url, b)
}

func (c *controlCell) raw(method, url string, body []byte) error {
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %.200s", method, url, resp.StatusCode, answer)
	}
	return nil
}

// cpuTime returns the processor time of a process, summed over its threads.
func cpuTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
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
		return 0, fmt.Errorf("unexpected contents of statm: %q", b)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, err
	}
	return float64(pages*int64(os.Getpagesize())) / (1 << 20), nil
}
