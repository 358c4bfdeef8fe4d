package integration

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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// layout describes the size and configuration of a cell under test.
type layout struct {
	dataCentres []zone
	instances   int // per data centre
	targets     int // per data centre
	capacity    descriptor.Resources
	// timing overrides settings in the timing section of the configuration file.
	timing map[string]int
	// separateFirstTarget runs the first target in a separate process, so that a
	// test can kill it.
	separateFirstTarget bool
}

// defaultLayout returns a scaled-down version of the current deployments.
func defaultLayout() layout {
	return layout{
		dataCentres: []zone{"gyor", "sopron", "szombathely"}, instances: 3, targets: 6,
		capacity: descriptor.Resources{CPU: 8000, Memory: 8192, Slots: 8},
	}
}

// shortLeaseLayout returns the default layout with leases of half the default
// duration, so that shorter faults outlast a lease.
func shortLeaseLayout() layout {
	l := defaultLayout()
	l.timing = map[string]int{"leaseMs": 3000, "renewalMs": 1000, "promiseMs": 1500, "taskLeaseMs": 10000}
	return l
}

// instance is an instance under test.
type instance struct {
	*process
	id       descriptor.InstanceID
	dc       zone
	settings string
	url      string
}

// cell is a cell under test: the emulated platform and targets and the instances,
// which communicate through the proxied network.
type cell struct {
	t               *testing.T
	network         *network
	layout          layout
	platformAddress string // bypasses the proxy; used by the test itself
	instances       []*instance
	targets         []descriptor.Target // with addresses that bypass the proxy
	client          *http.Client
	// firstTargetProcess is the first target's process if the target runs separately.
	// killedTargetHistory is the history of its processes that were killed.
	firstTargetProcess  *process
	killedTargetHistory emulator.History
}

// The processes under test listen on ports below the ephemeral port range of Linux,
// so that no outgoing connection occupies the port of a process that is about to
// start or restart.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// nextPort counts the ports tried. It starts at a value that depends on the process
// ID, so that concurrent test processes try different ports.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 331)
	return &n
}()

// freeAddress returns an address on the given IP with a currently unused port.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	for range lastPort - firstPort {
		address := fmt.Sprintf("%s:%d", ip, firstPort+nextPort.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	require.FailNow(t, "no free port")
	return ""
}

// cellSlots limits the number of cells that run concurrently. Each cell has eleven
// processes, and with more cells the race detector slows the processes down so much
// that leases expire.
var cellSlots = make(chan struct{}, 2)

// newCell starts a cell, applies the rules and waits until all instances are ready.
// It marks the test as parallel.
func newCell(t *testing.T, l layout, rules string) *cell {
	t.Helper()
	t.Parallel()
	cellSlots <- struct{}{}
	t.Cleanup(func() { <-cellSlots })
	c := &cell{
		t: t, network: newNetwork(t), layout: l,
		client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	c.startPlatform()
	for i, dc := range l.dataCentres {
		for k := range l.instances {
			c.addInstance(dc, fmt.Sprintf("127.0.%d.1", i+1), k)
		}
	}
	c.publishInstances()
	for _, in := range c.instances {
		c.startInstance(in)
	}
	for _, in := range c.instances {
		c.waitLive(in)
	}
	c.applyRules(c.instances[0], 0, rules)
	for _, in := range c.instances {
		c.waitReady(in)
	}
	return c
}

// startPlatform starts the emulated platform and targets, each with an address that
// bypasses the proxy. publishInstances replaces the addresses in the directory
// with those of the proxy.
func (c *cell) startPlatform() {
	t := c.t
	listing := connector.Listing{}
	for i, dc := range c.layout.dataCentres {
		c.network.zoneByIP[fmt.Sprintf("127.0.%d.1", i+1)] = dc
		for k := range c.layout.targets {
			listing.Targets = append(listing.Targets, descriptor.Target{
				ID: descriptor.TargetID(fmt.Sprintf("%s-t%02d", dc, k)), DataCentre: descriptor.DataCentreID(dc),
				Rack:    descriptor.RackID(fmt.Sprintf("%s-r%d", dc, k/8)),
				Address: freeAddress(t, "127.0.0.1"), Capacity: c.layout.capacity,
			})
		}
	}
	c.targets = listing.Targets
	c.platformAddress = freeAddress(t, "127.0.0.1")
	if c.layout.separateFirstTarget {
		c.startFirstTarget()
		listing.Targets = listing.Targets[1:]
	}
	startProcess(t, "platform", "masticlead-standin", "--cell", c.writeCellFile(listing), "--platform", c.platformAddress)
	c.eventually("platform responds", func() error { return c.getJSON("http://"+c.platformAddress+"/table/stats", nil) })
}

// writeCellFile writes the cell file of the emulators and returns its path.
func (c *cell) writeCellFile(l connector.Listing) string {
	file := filepath.Join(c.t.TempDir(), "cell.json")
	b, err := json.Marshal(l)
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(file, b, 0o600))
	return file
}

// startFirstTarget starts the first target in a separate process.
func (c *cell) startFirstTarget() {
	file := c.writeCellFile(connector.Listing{Targets: c.targets[:1]})
	c.firstTargetProcess = startProcess(c.t, string(c.targets[0].ID), "masticlead-standin", "--cell", file)
	c.eventually("target responds", func() error { return c.getJSON("http://"+c.targets[0].Address+"/tasks", nil) })
}

// killFirstTarget kills the process of the first target, which loses all its tasks
// and state. The target's history is read after the target has stopped responding
// to instances and before it is killed, so that no run is missing from it.
func (c *cell) killFirstTarget() {
	url := "http://" + c.targets[0].Address
	c.setFaults(url, emulator.Faults{Down: true})
	var h emulator.History
	require.NoError(c.t, c.getJSON(url+"/history", &h))
	c.firstTargetProcess.kill()
	for _, r := range h.Runs {
		if r.EndedNs == 0 {
			r.EndedNs = time.Now().UnixNano()
		}
		c.killedTargetHistory.Runs = append(c.killedTargetHistory.Runs, r)
	}
	c.killedTargetHistory.Overcommitted += h.Overcommitted
}

// publishInstances writes the proxied addresses of instances and targets to the
// directory.
func (c *cell) publishInstances() {
	l := connector.Listing{}
	for _, t := range c.targets {
		t.Address = c.network.expose(c.t, zone(t.DataCentre), t.Address)
		l.Targets = append(l.Targets, t)
	}
	for _, in := range c.instances {
		l.Instances = append(l.Instances, connector.ListedInstance{
			ID: in.id, DataCentre: descriptor.DataCentreID(in.dc), PeerAddress: in.peerAddress(),
		})
	}
	require.NoError(c.t, c.sendJSON(http.MethodPut, "http://"+c.platformAddress+"/directory", l, nil))
}

// peerAddress returns the advertised peer address from the instance's settings.
func (in *instance) peerAddress() string {
	_, rest, _ := strings.Cut(in.settings, "advertise]")
	_, rest, _ = strings.Cut(rest, `peer = "`)
	address, _, _ := strings.Cut(rest, `"`)
	return address
}

// addInstance adds an instance with its settings to the cell. It doesn't start it.
func (c *cell) addInstance(dc zone, ip string, index int) {
	listen, peer := freeAddress(c.t, ip), freeAddress(c.t, ip)
	exposed := c.network.expose(c.t, dc, peer)
	platform := c.network.expose(c.t, platformZone, c.platformAddress)
	var dcs []string
	for _, z := range c.layout.dataCentres {
		dcs = append(dcs, fmt.Sprintf("%q", z))
	}
	id := fmt.Sprintf("%s-%d", dc, index)
	var timing strings.Builder
	for key, v := range c.layout.timing {
		fmt.Fprintf(&timing, "%s = %d\n", key, v)
	}
	settings := fmt.Sprintf(`[dataCentres]
names = [%s]

[instance]
name = %q
dataCentre = %q
region = "nyugat-hu"

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

[log]
level = %q

[timing]
%s
`, strings.Join(dcs, ", "), id, dc, listen, peer, listen, exposed, platform, platform, platform, logLevel(), timing.String())
	c.instances = append(c.instances, &instance{
		id: descriptor.InstanceID(id), dc: dc, settings: settings, url: "http://" + listen,
	})
}

func (c *cell) startInstance(in *instance) {
	file := filepath.Join(c.t.TempDir(), string(in.id)+".toml")
	require.NoError(c.t, os.WriteFile(file, []byte(in.settings), 0o600))
	in.process = startProcess(c.t, string(in.id), "masticlead", "serve", "--config", file)
}

// instancesIn returns the instances in a data centre.
func (c *cell) instancesIn(dc zone) []*instance {
	var instances []*instance
	for _, in := range c.instances {
		if in.dc == dc {
			instances = append(instances, in)
		}
	}
	return instances
}

func (c *cell) waitLive(in *instance) {
	c.eventually(string(in.id)+" is live", func() error { return c.checkEndpoint(in, "/healthz") })
}

func (c *cell) waitReady(in *instance) {
	c.eventually(string(in.id)+" is ready", func() error { return c.checkEndpoint(in, "/readyz") })
}

// checkEndpoint sends a GET request to an instance and returns an error unless the
// status is 2xx. If the process has exited, the test fails immediately.
func (c *cell) checkEndpoint(in *instance, path string) error {
	select {
	case <-in.done:
		require.FailNow(c.t, "instance process exited", "%s: %v", in.id, in.err)
	default:
	}
	return c.getJSON(in.url+path, nil)
}

// conditionTimeout is the longest time for which a test waits for a condition.
const conditionTimeout = 2 * time.Minute

// eventually polls the condition until it returns nil. It fails the test with the
// last error after conditionTimeout.
func (c *cell) eventually(what string, condition func() error) {
	c.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			require.NoError(c.t, err, "waiting until %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// getJSON sends a GET request and decodes the JSON response into v.
func (c *cell) getJSON(url string, v any) error { return c.sendJSON(http.MethodGet, url, nil, v) }

// sendJSON sends a JSON body and decodes the response into v, unless v is nil. Any
// status other than 2xx is an error.
func (c *cell) sendJSON(method, url string, body, v any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err = io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %.300s", method, url, resp.StatusCode, b)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(b, v)
}

// setFaults replaces the faults of the emulator at the given URL, which bypasses the
// proxy.
func (c *cell) setFaults(url string, f emulator.Faults) {
	require.NoError(c.t, c.sendJSON(http.MethodPost, url+"/faults", f, nil))
}

// applyRules applies rules with the command-line tool, as an operator does.
func (c *cell) applyRules(in *instance, expected int, rules string) {
	c.t.Helper()
	file := filepath.Join(c.t.TempDir(), "cell.rules")
	require.NoError(c.t, os.WriteFile(file, []byte(rules), 0o600))
	c.eventually("rules are applied", func() error {
		out, err := exec.Command(filepath.Join(binDir, "masticlead"), "rules", "apply", "--server", in.url, "--author", "test",
			"--expected", fmt.Sprint(expected), file).CombinedOutput()
		if err != nil {
			return fmt.Errorf("rules apply: %w: %s", err, out)
		}
		return nil
	})
}

// histories returns the runs that each target recorded itself.
func (c *cell) histories() map[descriptor.TargetID]emulator.History {
	var mu sync.Mutex
	var wg sync.WaitGroup
	histories := map[descriptor.TargetID]emulator.History{}
	for _, target := range c.targets {
		wg.Go(func() {
			var h emulator.History
			if err := c.getJSON("http://"+target.Address+"/history", &h); err != nil {
				c.t.Errorf("history of %s: %v", target.ID, err)
				return
			}
			if target.ID == c.targets[0].ID {
				h.Runs = append(h.Runs, c.killedTargetHistory.Runs...)
				h.Overcommitted += c.killedTargetHistory.Overcommitted
			}
			mu.Lock()
			defer mu.Unlock()
			histories[target.ID] = h
		})
	}
	wg.Wait()
	return histories
}
