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

// layout is the size of a cell under test.
type layout struct {
	dataCentres []zone
	instances   int // of each data centre
	targets     int // of each data centre
	capacity    descriptor.Resources
	// timing overrides settings of the timing section.
	timing map[string]int
	// alone runs the first target in a process of its own, which can be killed.
	alone bool
}

// defaultLayout is a small version of the deployments of today.
func defaultLayout() layout {
	return layout{
		dataCentres: []zone{"gyor", "sopron", "szombathely"}, instances: 3, targets: 6,
		capacity: descriptor.Resources{CPU: 8000, Memory: 8192, Slots: 8},
	}
}

// shortLeases is the default layout with leases of half the default length, so
// that a fault outlasts a lease sooner.
func shortLeases() layout {
	l := defaultLayout()
	l.timing = map[string]int{"leaseMs": 3000, "renewalMs": 1000, "promiseMs": 1500, "taskLeaseMs": 10000}
	return l
}

// instance is an entry instance under test.
type instance struct {
	*process
	id       descriptor.InstanceID
	dc       zone
	settings string
	url      string
}

// cell is a platform, targets and instances, all behind the network.
type cell struct {
	t         *testing.T
	net       *network
	layout    layout
	platform  string // direct address, for the test itself
	instances []*instance
	targets   []descriptor.Target // with direct addresses
	client    *http.Client
	// lone is the first target's process if it has one, and past what that target
	// did in processes that were killed.
	lone *process
	past emulator.History
}

// The ports of the processes under test lie below the range from which Linux takes
// the ports of outgoing connections, so that none of these takes the port of a
// process that is about to start, or to start again.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// nextPort begins at a place that differs between test processes.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 331)
	return &n
}()

// freeAddress returns an address on the IP that nothing listens on now.
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

// cells bounds the cells that run at once. Each has eleven processes, and with
// more of them the race detector slows them down so much that leases end.
var cells = make(chan struct{}, 2)

// newCell starts everything and waits until all instances are ready with the
// given rules. Tests with a cell run in parallel.
func newCell(t *testing.T, l layout, rules string) *cell {
	t.Helper()
	t.Parallel()
	cells <- struct{}{}
	t.Cleanup(func() { <-cells })
	c := &cell{
		t: t, net: newNetwork(t), layout: l,
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

// startPlatform starts the stand-ins. The directory lists the proxies' addresses.
func (c *cell) startPlatform() {
	t := c.t
	direct := connector.Listing{}
	for i, dc := range c.layout.dataCentres {
		c.net.zones[fmt.Sprintf("127.0.%d.1", i+1)] = dc
		for k := range c.layout.targets {
			direct.Targets = append(direct.Targets, descriptor.Target{
				ID: descriptor.TargetID(fmt.Sprintf("%s-t%02d", dc, k)), DataCentre: descriptor.DataCentreID(dc),
				Rack:    descriptor.RackID(fmt.Sprintf("%s-r%d", dc, k/8)),
				Address: freeAddress(t, "127.0.0.1"), Capacity: c.layout.capacity,
			})
		}
	}
	c.targets = direct.Targets
	c.platform = freeAddress(t, "127.0.0.1")
	if c.layout.alone {
		c.startLone()
		direct.Targets = direct.Targets[1:]
	}
	start(t, "platform", "masticlead-standin", "--cell", c.writeCell(direct), "--platform", c.platform)
	c.eventually("platform answers", func() error { return c.get("http://"+c.platform+"/table/stats", nil) })
}

func (c *cell) writeCell(l connector.Listing) string {
	file := filepath.Join(c.t.TempDir(), "cell.json")
	b, err := json.Marshal(l)
	require.NoError(c.t, err)
	require.NoError(c.t, os.WriteFile(file, b, 0o600))
	return file
}

// startLone starts the first target in a process of its own.
func (c *cell) startLone() {
	file := c.writeCell(connector.Listing{Targets: c.targets[:1]})
	c.lone = start(c.t, string(c.targets[0].ID), "masticlead-standin", "--cell", file)
	c.eventually("target answers", func() error { return c.get("http://"+c.targets[0].Address+"/tasks", nil) })
}

// killLone kills the first target with all that it runs and knows. What it did is
// read after it has stopped to answer, and before it is killed.
func (c *cell) killLone() {
	url := "http://" + c.targets[0].Address
	c.setFaults(url, emulator.Faults{Down: true})
	var h emulator.History
	require.NoError(c.t, c.get(url+"/history", &h))
	c.lone.kill()
	for _, r := range h.Runs {
		if r.EndedNs == 0 {
			r.EndedNs = time.Now().UnixNano()
		}
		c.past.Runs = append(c.past.Runs, r)
	}
	c.past.Overcommitted += h.Overcommitted
}

// publishInstances gives the directory the addresses of instances and targets as
// the proxies expose them.
func (c *cell) publishInstances() {
	l := connector.Listing{}
	for _, t := range c.targets {
		t.Address = c.net.expose(c.t, zone(t.DataCentre), t.Address)
		l.Targets = append(l.Targets, t)
	}
	for _, in := range c.instances {
		l.Instances = append(l.Instances, connector.ListedInstance{
			ID: in.id, DataCentre: descriptor.DataCentreID(in.dc), PeerAddress: in.peerAddress(),
		})
	}
	require.NoError(c.t, c.send(http.MethodPut, "http://"+c.platform+"/directory", l, nil))
}

func (in *instance) peerAddress() string {
	_, rest, _ := strings.Cut(in.settings, "advertise]")
	_, rest, _ = strings.Cut(rest, `peer = "`)
	address, _, _ := strings.Cut(rest, `"`)
	return address
}

// addInstance writes the settings of an instance.
func (c *cell) addInstance(dc zone, ip string, k int) {
	listen, peer := freeAddress(c.t, ip), freeAddress(c.t, ip)
	exposed := c.net.expose(c.t, dc, peer)
	platform := c.net.expose(c.t, platformZone, c.platform)
	var dcs []string
	for _, z := range c.layout.dataCentres {
		dcs = append(dcs, fmt.Sprintf("%q", z))
	}
	id := fmt.Sprintf("%s-%d", dc, k)
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
	in.process = start(c.t, string(in.id), "masticlead", "serve", "--config", file)
}

// of returns the instances of a data centre.
func (c *cell) of(dc zone) []*instance {
	var all []*instance
	for _, in := range c.instances {
		if in.dc == dc {
			all = append(all, in)
		}
	}
	return all
}

func (c *cell) waitLive(in *instance) {
	c.eventually(string(in.id)+" is live", func() error { return c.ask(in, "/healthz") })
}

func (c *cell) waitReady(in *instance) {
	c.eventually(string(in.id)+" is ready", func() error { return c.ask(in, "/readyz") })
}

// ask reads a path of an instance. A process that has ended fails the test.
func (c *cell) ask(in *instance, path string) error {
	select {
	case <-in.done:
		require.FailNow(c.t, "instance has ended", "%s: %v", in.id, in.err)
	default:
	}
	return c.get(in.url+path, nil)
}

// conditionLimit ends a test that waits for something that never comes.
const conditionLimit = 2 * time.Minute

// eventually waits until the condition holds.
func (c *cell) eventually(what string, condition func() error) {
	c.t.Helper()
	deadline := time.Now().Add(conditionLimit)
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

// get reads a JSON document.
func (c *cell) get(url string, v any) error { return c.send(http.MethodGet, url, nil, v) }

// send sends a JSON document and decodes the answer of a 2xx status into v.
func (c *cell) send(method, url string, body, v any) error {
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

// setFaults switches the faults of a stand-in, by its direct address and path.
func (c *cell) setFaults(url string, f emulator.Faults) {
	require.NoError(c.t, c.send(http.MethodPost, url+"/faults", f, nil))
}

// applyRules puts rules in force through the command line, as an operator does.
func (c *cell) applyRules(in *instance, expected int, rules string) {
	c.t.Helper()
	file := filepath.Join(c.t.TempDir(), "cell.rules")
	require.NoError(c.t, os.WriteFile(file, []byte(rules), 0o600))
	c.eventually("rules are applied", func() error {
		out, err := exec.Command(filepath.Join(binaries, "masticlead"), "rules", "apply", "--server", in.url, "--author", "test",
			"--expected", fmt.Sprint(expected), file).CombinedOutput()
		if err != nil {
			return fmt.Errorf("rules apply: %w: %s", err, out)
		}
		return nil
	})
}

// histories reads what all targets really ran.
func (c *cell) histories() map[descriptor.TargetID]emulator.History {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all := map[descriptor.TargetID]emulator.History{}
	for _, target := range c.targets {
		wg.Go(func() {
			var h emulator.History
			if err := c.get("http://"+target.Address+"/history", &h); err != nil {
				c.t.Errorf("history of %s: %v", target.ID, err)
				return
			}
			if target.ID == c.targets[0].ID {
				h.Runs = append(h.Runs, c.past.Runs...)
				h.Overcommitted += c.past.Overcommitted
			}
			mu.Lock()
			defer mu.Unlock()
			all[target.ID] = h
		})
	}
	wg.Wait()
	return all
}
