package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt and keeps what the checks need.
type recorder struct {
	mu       sync.Mutex
	f        *os.File
	start    time.Time
	runs     []*runRecord
	byRun    map[*run]*runRecord
	states   map[string]time.Time // when a client was first shown a job as completed
	failed   map[string]time.Time // when a client was first shown a job as failed
	quiet    bool                 // one line a run
	rejected int                  // starts rejected for want of a ticket
}

// runRecord is a run as the workers saw it.
type runRecord struct {
	task, worker string
	id           int64
	begin, end   time.Time
	how          string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{f: f, start: time.Now(), byRun: map[*run]*runRecord{}, states: map[string]time.Time{}, failed: map[string]time.Time{}}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *recorder) logLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// noTicket records that a worker rejects a start for want of a valid ticket.
func (r *recorder) noTicket(k *worker, task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejected++; r.rejected == 1 || r.rejected%1000 == 0 {
		r.logLocked("worker %s rejects a start of %s for want of a ticket (%d such rejections so far)", k.id, task, r.rejected)
	}
}

func (r *recorder) logLate(table, key string) {
	r.log("store: a write of %s/%s gets no answer", table, key)
}

func (r *recorder) begin(k *worker, x *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := &runRecord{task: x.task, worker: k.id, id: x.id, begin: x.started}
	r.runs = append(r.runs, rec)
	r.byRun[x] = rec
	if !r.quiet {
		r.logLocked("worker %s starts %s run %d", k.id, x.task, x.id)
	}
}

func (r *recorder) end(k *worker, x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.byRun[x]; rec != nil {
		rec.end, rec.how = time.Now(), how
	}
	if r.quiet {
		r.logLocked("worker %s ran %s run %d for %.3f s: %s", k.id, x.task, x.id, time.Since(x.started).Seconds(), how)
	} else {
		r.logLocked("worker %s ends %s run %d: %s", k.id, x.task, x.id, how)
	}
}

func (r *recorder) acked(k *worker, e ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.quiet {
		r.logLocked("worker %s: the end of %s run %d is taken note of", k.id, e.task, e.run)
	}
}

// of returns the runs of a job.
func (r *recorder) of(job string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runRecord
	for _, x := range r.runs {
		if strings.HasPrefix(x.task, job+".") {
			out = append(out, *x)
		}
	}
	return out
}

// all returns all runs.
func (r *recorder) all() []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]runRecord, len(r.runs))
	for i, x := range r.runs {
		out[i] = *x
	}
	return out
}

// node is one instance of the system, which runs as a process.
type node struct {
	name, conf, front, link string
	log                     *os.File
	mu                      sync.Mutex
	cmd                     *exec.Cmd
}

// platform holds the stand-ins and the instances of one script.
type platform struct {
	store   *store
	workers []*worker
	nodes   []*node
	rec     *recorder
	dir     string
	root    string
	onStart func(*worker, *run)
	cpuMu   sync.Mutex
	cpus    map[string]int64
	stop    chan struct{}
	wg      sync.WaitGroup
	client  *http.Client
	adviceL net.Listener
	advice  *advice // nil: the queue needs no advice
}

const (
	host   = "jobs.example"
	prefix = "/lohu930/"
)

// duration returns how long a task runs: what its spec says, times a factor of 1 to 1 +
// uneven/100 that depends on its name only.
func (p *platform) duration(task, spec string) time.Duration {
	d := time.Duration(parseSpec(spec, "ms")) * time.Millisecond
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return d + d*time.Duration(parseSpec(spec, "uneven"))*time.Duration(h.Sum32()%1000)/100000
}

func (p *platform) cpu(task string) int64 {
	job, _, _ := strings.Cut(task, ".")
	p.cpuMu.Lock()
	defer p.cpuMu.Unlock()
	return p.cpus[job]
}

// newPlatform starts the store and n workers, some of them of the other service, and stores a configuration.
func newPlatform(root string, rec *recorder, n, others int, a *advice) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{
		store: newStore(rec), rec: rec, dir: dir, root: root, cpus: map[string]int64{}, stop: make(chan struct{}),
		client: &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if p.adviceL, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: p}).Serve(p.adviceL) }()
	for i := range n {
		k := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a9000+i), p: p, service: service}
		if i < others {
			k.service = otherService
		}
		if err := k.boot(); err != nil {
			return nil, err
		}
		p.workers = append(p.workers, k)
	}
	p.advice = a
	p.configure(1, p.route("q", prefix, service))
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		t := time.NewTicker(5 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				for _, k := range p.workers {
					k.tick(now)
				}
			case <-p.stop:
				return
			}
		}
	}()
	return p, nil
}

// route returns a route of a configuration.
func (p *platform) route(name, prefix, service string) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3000,
		"priority": 2, "service": service, "attempts": 4, "stretch": 4.0,
	}
	if a := p.advice; a != nil && prefix == "/lohu930/" {
		r["advice"] = map[string]any{"decisionMs": a.decisionMs, "periodMs": a.periodMs, "validityMs": a.validityMs}
	}
	return r
}

// configure stores a configuration, as the operator does.
func (p *platform) configure(version int, routes ...map[string]any) {
	var services []map[string]any
	for _, name := range []string{service, otherService} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "admissionControl": false})
	}
	p.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]any{"maxBodyBytes": 262144},
	})
	var names []any
	for _, r := range routes {
		names = append(names, r["prefix"])
	}
	p.rec.log("operator: version %d is acknowledged, with the routes %v", version, names)
}

// startNodes starts n instances with the command of the deploy file.
func (p *platform) startNodes(n int) error {
	base := os.Getpid()
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+i, base>>8&0xff, 1+base%250)
		var ports [2]string
		for j := range ports {
			l, err := net.Listen("tcp", ip+":0")
			if err != nil {
				return err
			}
			ports[j] = l.Addr().String()
			_ = l.Close()
		}
		name := fmt.Sprintf("front-z1-%d", i+1)
		storeL, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = (&http.Server{Handler: p.store.handlerFor(name)}).Serve(storeL) }()
		conf := filepath.Join(p.dir, name+".conf")
		text := fmt.Sprintf(`nodeName=%s
role=instance
machineClass=front
serves=front
ip=%s
zone=z1
region=r1
zones.z1=r1
listenAddrs.front=%s
listenAddrs.readyAddr=%s
portRange=7720,7735
bootstrap=true
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
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.maxHoldMs=10000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=1.5
bounds.checkpointS=0.5
bounds.restoreMs=100
bounds.noticeMs=4500
bounds.fencingRequired=false
bounds.leaseMs=3000
controlMode=call
advice=%s
platform.address=%s
platform.form=table
platform.writesPerS=600
platform.readsPerS=2000
platform.txnTimeoutMs=3.0
platform.partWritesPerS=300
platform.rowBytes=%d
platform.across=true
platform.retentionS=20
`, name, ip, ports[0], ports[1], p.adviceL.Addr(), storeL.Addr(), rowBytes)
		if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
			return err
		}
		logFile, err := os.Create(filepath.Join(p.dir, name+".log"))
		if err != nil {
			return err
		}
		d := &node{name: name, conf: conf, front: ports[0], link: ip + ":7720", log: logFile}
		p.nodes = append(p.nodes, d)
		if err := p.start(d); err != nil {
			return err
		}
	}
	return nil
}

func (p *platform) start(d *node) error {
	cmd := exec.Command(filepath.Join(p.root, "target", "masticlead"), "platform")
	cmd.Dir = p.root
	cmd.Env = []string{"MASTICLEAD_NODE_FILE=" + d.conf, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.cmd = cmd
	d.mu.Unlock()
	p.rec.log("instance %s starts", d.name)
	return nil
}

func (p *platform) kill(d *node) {
	d.mu.Lock()
	cmd := d.cmd
	d.cmd = nil
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	p.rec.log("instance %s is killed", d.name)
}

func (p *platform) close() {
	for _, d := range p.nodes {
		p.kill(d)
		_ = d.log.Close()
	}
	close(p.stop)
	p.wg.Wait()
	for _, k := range p.workers {
		if k.isUp() {
			k.mu.Lock()
			srv := k.srv
			k.mu.Unlock()
			_ = srv.Close()
		}
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(p.dir))
	}
	_ = os.RemoveAll(p.dir)
}

// leader returns the instance that the leader row names, or nil.
func (p *platform) leader() *node {
	p.store.mu.Lock()
	r := p.store.rows[rowKey{"control", "", "leader"}]
	p.store.mu.Unlock()
	var l struct{ Address string }
	if json.Unmarshal(r.Value, &l) != nil {
		return nil
	}
	for _, d := range p.nodes {
		if d.link == l.Address {
			return d
		}
	}
	return nil
}

// pathOf returns the path of a job, which an identifier that begins with a slash is already.
func pathOf(id string) string {
	if strings.HasPrefix(id, "/") {
		return id
	}
	return prefix + id
}

// call sends one request of a client. The status is 0 if there was no answer.
func (p *platform) call(d *node, method, id string, body any) (int, string) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	req, err := http.NewRequest(method, "http://"+d.front+pathOf(id), bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Masticlead-Deadline-Ms", "3000")
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(answer)
}

// callFor is call for a client that leaves after the given time.
func (p *platform) callFor(d *node, method, id string, body any, leave time.Duration) int {
	patient := p.client
	defer func() { p.client = patient }()
	p.client = &http.Client{Timeout: leave, Transport: patient.Transport}
	status, _ := p.call(d, method, id, body)
	return status
}

// submit hands a job in, at one instance after the other until it is accepted.
func (p *platform) submit(first int, id string, job map[string]any, cpu int64) bool {
	p.cpuMu.Lock()
	p.cpus[id] = cpu
	p.cpuMu.Unlock()
	for attempt := range 8 {
		d := p.nodes[(first+attempt)%len(p.nodes)]
		status, _ := p.call(d, http.MethodPost, id, job)
		p.rec.log("client: POST %s at %s: %d", id, d.name, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (p *platform) state(first int, id string) string {
	for attempt := range len(p.nodes) {
		d := p.nodes[(first+attempt)%len(p.nodes)]
		status, text := p.call(d, http.MethodGet, id, nil)
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			p.rec.mu.Lock()
			seen := map[string]map[string]time.Time{"completed": p.rec.states, "failed": p.rec.failed}[answer.State]
			if seen != nil && seen[id].IsZero() {
				seen[id] = time.Now()
				p.rec.logLocked("client: GET %s at %s: %s", id, d.name, answer.State)
			}
			p.rec.mu.Unlock()
			return answer.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// waitState waits until a job is shown in a state.
func (p *platform) waitState(id string, timeout time.Duration, states ...string) string {
	deadline := time.Now().Add(timeout)
	last := ""
	for i := 0; time.Now().Before(deadline); i++ {
		last = p.state(i, id)
		for _, s := range states {
			if s == last {
				return last
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}
