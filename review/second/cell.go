package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "pool"
	hostName    = "jobs.example"
	program     = "target/masticlead"
	metricsPort = "9464" // deploy/system.toml
)

// cell is a small installation on loopback addresses: a store, an advice service and workers
// in this process, and instances of the system as processes of their own.
type cell struct {
	rec       *record
	watch     *watch
	store     *store
	workers   []*worker
	instances []*inst
	dir       string
	storeAddr string
	advice    string
	stopTicks chan struct{}
	onStart   func(w *worker, task string, run int64)

	mu   sync.Mutex
	jobs map[string][]behaviour // by id, a behaviour for each step
	next int                    // instance that gets the next request
}

// inst is an instance of the system.
type inst struct {
	c     *cell
	name  string
	ip    string
	front string
	ready string
	conf  string
	log   *os.File
	cmd   *exec.Cmd
	done  chan struct{}
}

var zones = []string{"gyor", "sopron", "szombathely"}

// newCell starts the stand-ins and the given numbers of workers and instances. setUp may
// change a worker before it starts.
func newCell(rec *record, workers, instances int, routes []map[string]any, setUp func(i int, w *worker)) (*cell, error) {
	c := &cell{rec: rec, watch: newWatch(rec), store: newStore(), jobs: make(map[string][]behaviour), stopTicks: make(chan struct{})}
	var err error
	if c.dir, err = os.MkdirTemp("", "review-second-"); err != nil {
		return nil, err
	}
	if c.storeAddr, err = serve(c.store); err != nil {
		return nil, err
	}
	if c.advice, err = serve(http.HandlerFunc(advise)); err != nil {
		return nil, err
	}
	services := []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionControl": false}}
	c.store.put("op", "config", map[string]any{"version": 7, "routes": routes, "services": services, "limits": map[string]any{"maxBodyBytes": 262144}})
	for i := range workers {
		w := &worker{c: c, id: fmt.Sprintf("i-%02d", i), addr: "127.0.0.1:0", zone: zones[i%len(zones)], cpu: 16000, mem: 65536, labels: []string{"a", fmt.Sprintf("r1-%d", i/8)}}
		if setUp != nil {
			setUp(i, w)
		}
		if err := w.start(); err != nil {
			return nil, err
		}
		c.workers = append(c.workers, w)
	}
	go c.tick()
	for i := range instances {
		p, err := c.newInstance(i)
		if err != nil {
			return nil, err
		}
		c.instances = append(c.instances, p)
	}
	for _, p := range c.instances {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return c, c.awaitReady()
}

// serve serves requests on a free port of the loopback address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// advise permits all workers. No route of the cases asks for advice.
func advise(rw http.ResponseWriter, r *http.Request) {
	var req struct {
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(r.Body).Decode(&req)
	good := [][2]string{}
	for _, id := range req.Workers {
		good = append(good, [2]string{id, "ticket-" + id})
	}
	answer(rw, http.StatusOK, map[string]any{"good": good, "validityMs": 2000})
}

func (c *cell) tick() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, w := range c.workers {
				w.tick(now)
			}
		case <-c.stopTicks:
			return
		}
	}
}

// freeIP returns a loopback address on which all ports of an instance are free.
func freeIP() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))
		free := true
		for _, port := range []string{"8161", "8166", "8167", "7720", metricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

// settings are those of korkozpont (fleetbench wire), with the addresses of this cell.
const settings = `nodeName=%[1]s
role=instance
machineClass=front
serves=front
ip=%[2]s
zone=%[3]s
region=nyugat-hu
zones.gyor=nyugat-hu
zones.sopron=nyugat-hu
zones.szombathely=nyugat-hu
listenAddrs.front=%[2]s:8161
listenAddrs.readyAddr=%[2]s:8167
portRange=7720,7735
bootstrap=true
lossCounted=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=10000
bounds.stopTimeoutMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=3
bounds.checkpointS=1
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.fencingRequired=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.paceMs=100
bounds.impactMs=4000
controlMode=call
advice=%[4]s
platform.address=%[5]s
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txnTimeoutMs=3.0
platform.partWritesPerS=300
platform.rowBytes=65536
platform.across=true
platform.retentionS=20
`

func (c *cell) newInstance(i int) (*inst, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	zone := zones[i%len(zones)]
	p := &inst{c: c, name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: ip, front: ip + ":8161", ready: ip + ":8167"}
	p.conf = filepath.Join(c.dir, p.name+".conf")
	if err := os.WriteFile(p.conf, fmt.Appendf(nil, settings, p.name, ip, zone, c.advice, c.storeAddr), 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(c.dir, p.name+".log"))
	return p, err
}

// start starts the instance's process as the deploy file does.
func (p *inst) start() error {
	p.cmd = exec.Command(program, "platform")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTICLEAD_NODE_FILE=" + p.conf}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The process ends with this one, whatever happens.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	p.c.rec.addf("process %s starts", p.name)
	return nil
}

// kill ends the instance's process at once.
func (p *inst) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
	p.c.rec.sayf("process %s is killed", p.name)
}

// awaitReady waits until all instances report that they are ready.
func (c *cell) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range c.instances {
		for {
			resp, err := http.Get("http://" + p.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s does not become ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// The platform starts traffic 10 s after the machines; the leader is known well before.
	time.Sleep(4 * time.Second)
	return nil
}

// leader returns the instance that wrote to the store last under the condition of the leader
// row, which a client of the platform sees as the row "leader" of the table "control".
func (c *cell) leader() *inst {
	var l struct {
		Address string `json:"address"`
	}
	if json.Unmarshal(c.store.read("control", "", "leader"), &l) != nil {
		return nil
	}
	for _, p := range c.instances {
		if strings.HasPrefix(l.Address, p.ip+":") {
			return p
		}
	}
	return nil
}

// close ends all processes and servers of the cell.
func (c *cell) close() {
	close(c.stopTicks)
	for _, p := range c.instances {
		if p.cmd != nil && p.done != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		_ = p.log.Close()
	}
	for _, w := range c.workers {
		w.mu.Lock()
		server := w.server
		w.mu.Unlock()
		_ = server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(c.dir, keep)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// behaviourOf returns what a task does, and whether a client sent its job.
func (c *cell) behaviourOf(task string) (behaviour, bool) {
	parts := strings.Split(task, ".")
	c.mu.Lock()
	defer c.mu.Unlock()
	steps := c.jobs[parts[0]]
	if len(parts) != 4 {
		return behaviour{}, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(steps) {
		return behaviour{}, false
	}
	b := steps[step]
	if index, err := strconv.Atoi(parts[3]); err == nil && index < b.short {
		b.work = b.shortWork
	}
	return b, true
}

// newID returns the id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in until an instance answers with 2xx.
func (c *cell) submit(prefix, id string, steps []map[string]any, does []behaviour) error {
	c.mu.Lock()
	c.jobs[id] = does
	c.mu.Unlock()
	spec := "spec of " + id
	c.watch.handedIn(id, spec)
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return err
	}
	for attempt := 0; attempt < 10; attempt++ {
		status, text := c.call(http.MethodPost, prefix+id, body)
		c.rec.addf("POST %s%s of %d bytes: %d %s", prefix, id, len(body), status, text)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// state returns the state of a job as a client sees it, or the status of the response.
func (c *cell) state(prefix, id string) string {
	status, text := c.call(http.MethodGet, prefix+id, nil)
	var s struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(text), &s) == nil {
		return s.State
	}
	return fmt.Sprint(status)
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends a request to the instances in turn. It returns 0 if there is no response.
func (c *cell) call(method, path string, body []byte) (int, string) {
	c.mu.Lock()
	p := c.instances[c.next%len(c.instances)]
	c.next++
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+p.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Masticlead-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// route returns a route of the configuration without advice.
func route(name, prefix string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3000,
		"priority": priority, "service": serviceName, "attempts": 4, "stretch": 4.0,
	}
}
