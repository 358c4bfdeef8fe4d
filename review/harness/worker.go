package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 10 * time.Second
	maxEnds      = 500
	service      = "pool"
	otherService = "depot"
	workerCPU    = 16000
	workerMemMb  = 65536
)

type run struct {
	task     string
	id       int64
	started  time.Time
	duration time.Duration // 0: until it is stopped
	cpu      int64
}

type ended struct {
	seq  int64
	task string
	run  int64
	how  string
}

// worker is a stand-in of a worker. A crash closes its listener and its channels; it
// then runs and knows nothing. A start after that has the same id, the same address
// and another time of birth.
type worker struct {
	id      string
	p       *platform
	service string
	addr    string

	mu      sync.Mutex
	up      bool
	srv     *http.Server
	born    time.Time
	fence   int64
	lease   time.Time
	runs    map[string]*run
	ends    []ended
	acked   int64
	lastSeq int64
	highest map[string]int64
	changed chan struct{}
	beatAt  time.Time
}

// boot starts a life of the worker.
func (k *worker) boot() error {
	addr := k.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.addr = l.Addr().String()
	k.up, k.born, k.fence, k.lease = true, time.Now(), 0, time.Time{}
	k.runs, k.ends, k.acked, k.lastSeq, k.highest = map[string]*run{}, nil, 0, 0, map[string]int64{}
	k.changed = make(chan struct{})
	k.srv = &http.Server{Handler: k}
	srv := k.srv
	k.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	k.beat()
	return nil
}

// crash ends the current life of the worker.
func (k *worker) crash() {
	k.mu.Lock()
	k.up = false
	srv := k.srv
	for _, r := range k.runs {
		k.p.rec.end(k, r, "lost with the worker")
	}
	k.runs = map[string]*run{}
	k.mu.Unlock()
	_ = srv.Close()
	k.p.rec.log("worker %s crashes", k.id)
}

func (k *worker) isUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up
}

// beat writes the worker's entry to the store.
func (k *worker) beat() {
	k.mu.Lock()
	k.beatAt = time.Now()
	born := k.born.UnixMilli()
	k.mu.Unlock()
	if k.p.store.isDown() {
		return
	}
	k.p.store.put("servers", k.id, map[string]any{
		"service": k.service, "address": k.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": workerCPU, "memMb": workerMemMb, "gpu": 0}, "labels": []string{"a", "r1-" + k.id}, "born": born, "seqNo": time.Now().UnixMilli(),
	})
}

// tick ends what is due, sends liveness reports, and removes the entry after three
// intervals of silence.
func (k *worker) tick(now time.Time) {
	k.mu.Lock()
	if !k.up {
		silent := now.Sub(k.beatAt) > 3*heartbeat
		k.mu.Unlock()
		if silent && !k.p.store.isDown() {
			k.p.store.remove("servers", k.id)
		}
		return
	}
	lapsed := now.After(k.lease)
	for _, r := range k.runs {
		switch {
		case lapsed:
			k.finish(r, "lapsed")
		case r.duration > 0 && now.Sub(r.started) >= r.duration:
			k.finish(r, "done")
		}
	}
	due := now.Sub(k.beatAt) >= heartbeat
	k.mu.Unlock()
	if due {
		k.beat()
	}
}

func (k *worker) finish(r *run, how string) {
	delete(k.runs, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.id)
	k.lastSeq++
	k.ends = append(k.ends, ended{k.lastSeq, r.task, r.id, how})
	k.p.rec.end(k, r, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *worker) clockMs() int64 { return time.Since(k.born).Milliseconds() }

type workerRequest struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Ticket       string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req workerRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if id := r.Header.Get("X-Masticlead-Target-Instance"); id != "" && id != k.id {
		writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	status, body := k.handle(r, &req)
	writeJSON(w, status, body)
}

func (k *worker) handle(r *http.Request, req *workerRequest) (int, any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	conflict := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clockMs": k.clockMs(), "born": k.born.UnixMilli(), "reason": reason}
	}
	if req.FencingToken < k.fence {
		return conflict("fence")
	}
	k.fence = req.FencingToken
	extend := func() {
		until := k.born.Add(time.Duration(req.DeadlineMs) * time.Millisecond)
		if last := time.Now().Add(maxHold); until.After(last) {
			until = last
		}
		if req.DeadlineMs > 0 && until.After(k.lease) {
			k.lease = until
		}
	}
	switch r.URL.Path {
	case "/run-start":
		if req.DeadlineMs < k.clockMs() {
			return conflict("late")
		}
		extend()
		current := k.runs[req.Task]
		if current != nil && current.id == req.RunID {
			break
		}
		if current != nil || req.RunID <= k.highest[req.Task] {
			return conflict("old")
		}
		if k.p.advice != nil && !k.p.validTicket(k, req.Task, req.Ticket) {
			k.p.rec.noTicket(k, req.Task)
			return conflict("ticket")
		}
		x := &run{task: req.Task, id: req.RunID, started: time.Now(), duration: k.p.duration(req.Task, req.Spec), cpu: k.p.cpu(req.Task)}
		k.runs[req.Task] = x
		k.p.rec.begin(k, x)
		if k.p.onStart != nil {
			go k.p.onStart(k, x)
		}
	case "/run-stop":
		if current := k.runs[req.Task]; current != nil && current.id <= req.RunID {
			k.finish(current, "stopped")
		}
		k.highest[req.Task] = max(k.highest[req.Task], req.RunID)
	case "/hold":
		extend()
		return k.hold(r, req)
	default:
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, map[string]any{"clockMs": k.clockMs(), "born": k.born.UnixMilli()}
}

func (k *worker) hold(r *http.Request, req *workerRequest) (int, any) {
	for len(k.ends) > 0 && k.ends[0].seq <= req.AckCursor {
		k.p.rec.acked(k, k.ends[0])
		k.ends = k.ends[1:]
	}
	timeout := time.After(time.Duration(min(req.WaitMs, 2000)) * time.Millisecond)
	for len(k.ends) == 0 && req.WaitMs > 0 && k.up {
		changed := k.changed
		k.mu.Unlock()
		done := false
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			done = true
		}
		k.mu.Lock()
		if done {
			break
		}
	}
	running, list := [][]any{}, [][]any{}
	for _, x := range k.runs {
		percent := 100
		if x.duration > 0 {
			percent = min(99, int(100*time.Since(x.started)/x.duration))
		}
		running = append(running, []any{x.task, x.id, "", percent, x.cpu})
	}
	for _, e := range k.ends[:min(len(k.ends), maxEnds)] {
		list = append(list, []any{e.seq, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clockMs": k.clockMs(), "born": k.born.UnixMilli(), "running": running, "ended": list}
}

// fail ends a run of a task by its own fault, if there is one.
func (k *worker) fail(task string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.runs[task]
	if r == nil {
		return false
	}
	k.finish(r, "failed")
	return true
}

// running returns the number of runs on the worker.
func (k *worker) running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.runs)
}

// unacked returns the number of ends that are not taken note of.
func (k *worker) unacked() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ends)
}

// parseSpec reads a number from a spec of the form "ms=500 ...".
func parseSpec(spec, name string) int64 {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			n, _ := strconv.ParseInt(v, 10, 64)
			return n
		}
	}
	return 0
}
