package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the installation, as in the settings of the instances.
const (
	maxHold         = 10 * time.Second
	stopTime        = 100 * time.Millisecond // a stop takes at most bounds.stopTimeoutMs, 200 ms
	heartbeat       = 1500 * time.Millisecond
	startupTime     = 200 * time.Millisecond // after which a task that lasts is at work
	checkpointEvery = time.Second
	maxEnds         = 500
)

// behaviour is what a task does on a worker.
type behaviour struct {
	work           time.Duration // run time of a task that ends
	short          int           // number of the first tasks of the step, which take shortWork
	shortWork      time.Duration
	lasting        bool
	targetMs       int64
	checkpointing  bool
	checkpointSize int // length of the checkpoint in bytes, at least 16
	cpu, mem       int64
	fills          bool
}

// worker is a worker as PROTOCOL.md describes it. A crash closes its connections unless it
// is dark, and it may start again under its id.
type worker struct {
	c      *cell
	id     string
	addr   string
	zone   string
	cpu    int64
	mem    int64
	labels []string

	mu       sync.Mutex
	up       bool
	silent   bool // dark: connections stay open and nothing is answered
	gone     bool // for good
	server   *http.Server
	boot     time.Time
	seqNo    int64
	lastBeat time.Time
	listed   bool
	fence    int64
	leaseEnd time.Time
	runs     map[string]*taskRun
	ended    []endedRun
	lastEnd  int64
	highest  map[string]int64
	ending   chan struct{} // closed and replaced when a run ends
}

type taskRun struct {
	task    string
	run     int64
	started time.Time
	saved   time.Duration // work that a checkpoint brought
	stopAt  time.Time
	does    behaviour
}

type endedRun struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
}

// done returns the work that a run has done, with that of its checkpoint.
func (r *taskRun) done(now time.Time) time.Duration {
	return r.saved + max(0, now.Sub(r.started))
}

// checkpoint returns the last checkpoint that a run has produced, or "".
func (r *taskRun) checkpoint(now time.Time) string {
	if !r.does.checkpointing {
		return ""
	}
	steps := r.done(now) / checkpointEvery
	if steps == 0 {
		return ""
	}
	return encodeCheckpoint(steps*checkpointEvery, r.does.checkpointSize)
}

func encodeCheckpoint(work time.Duration, size int) string {
	text := fmt.Sprintf("%016x", work.Milliseconds())
	return text + strings.Repeat("0", max(0, size-len(text)))
}

func decodeCheckpoint(text string) time.Duration {
	if len(text) < 16 {
		return 0
	}
	ms, err := strconv.ParseInt(text[:16], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// percent returns the progress of a run.
func (r *taskRun) percent(now time.Time) int {
	total := r.does.work
	if r.does.lasting {
		total = startupTime
	}
	return int(min(100, 100*r.done(now)/max(1, total)))
}

// start boots the worker. Each boot is a new life under the same id.
func (w *worker) start() error {
	if w.server != nil {
		_ = w.server.Close()
	}
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = l.Addr().String()
	w.up, w.silent, w.boot = true, false, time.Now()
	w.seqNo, w.lastBeat, w.fence, w.leaseEnd, w.lastEnd = 0, time.Time{}, 0, time.Time{}, 0
	w.runs, w.ended, w.highest, w.ending = make(map[string]*taskRun), nil, make(map[string]int64), make(chan struct{})
	w.server = &http.Server{Handler: w}
	server := w.server
	go func() { _ = server.Serve(l) }()
	w.c.rec.addf("worker %s starts, born %d", w.id, w.boot.UnixMilli())
	return nil
}

// crash ends the worker's life: everything that runs there ends. With dark, its connections
// stay open and are silent, otherwise they are closed and new ones refused.
func (w *worker) crash(dark, gone bool) {
	w.mu.Lock()
	now := time.Now()
	for _, r := range w.runs {
		w.c.watch.end(w, r.task, r.run, "crashed", now)
	}
	w.runs = make(map[string]*taskRun)
	w.up, w.silent, w.gone = false, dark, gone
	server := w.server
	w.mu.Unlock()
	w.c.rec.sayf("worker %s crashes (silent: %v, for good: %v)", w.id, dark, gone)
	if !dark {
		_ = server.Close()
	}
}

// tick ends runs that are due and writes the worker's entry in the store.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		// The platform removes the entry after three intervals of silence.
		if w.listed && now.Sub(w.lastBeat) > 3*heartbeat {
			w.listed = false
			w.c.rec.addf("entry of worker %s is removed", w.id)
			w.c.store.drop("servers", w.id)
		}
		return
	}
	for _, r := range w.runs {
		switch {
		case now.After(w.leaseEnd):
			w.finish(r, "lapsed", now)
		case !r.stopAt.IsZero():
			if now.After(r.stopAt) {
				w.finish(r, "stopped", now)
			}
		case !r.does.lasting && r.done(now) >= r.does.work:
			w.finish(r, "done", now)
		}
	}
	if now.Sub(w.lastBeat) >= heartbeat {
		w.lastBeat, w.listed = now, true
		w.seqNo++
		w.c.store.put("servers", w.id, map[string]any{
			"service": serviceName, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": w.labels, "machine": "m-" + w.id,
			"born": w.boot.UnixMilli(), "clockMs": w.clock(), "seqNo": w.seqNo,
		})
	}
}

// finish ends a run. w.mu must be held.
func (w *worker) finish(r *taskRun, how string, now time.Time) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	saved := ""
	if how != "done" {
		saved = r.checkpoint(now)
		if how == "stopped" && r.does.checkpointing {
			saved = encodeCheckpoint(r.done(now), r.does.checkpointSize)
		}
	}
	w.ended = append(w.ended, endedRun{w.lastEnd, r.task, r.run, how, saved})
	close(w.ending)
	w.ending = make(chan struct{})
	w.c.watch.end(w, r.task, r.run, how, now)
}

// clock is the steady clock of the worker in milliseconds.
func (w *worker) clock() int64 { return 1000 + time.Since(w.boot).Milliseconds() }

type workerRequest struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	Checkpoint   string `json:"checkpoint"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    int64  `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

// ServeHTTP serves the calls of the system.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req workerRequest
	if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&req) != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer w.mu.Unlock()
	switch {
	case !w.up:
		panic(http.ErrAbortHandler)
	case r.Method == http.MethodGet:
		answer(rw, http.StatusOK, struct{}{})
		return
	case r.Header.Get("X-Masticlead-Target-Instance") != "" && r.Header.Get("X-Masticlead-Target-Instance") != w.id:
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	case req.FencingToken < w.fence:
		w.conflict(rw, "fence")
		return
	}
	w.fence = req.FencingToken
	if r.URL.Path == "/hold" {
		w.hold(rw, r, &req)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		w.startTask(rw, &req)
	case "/run-stop":
		if x := w.runs[req.Task]; x != nil && x.run <= req.RunID && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
			w.c.watch.stop(w, x)
		}
		w.highest[req.Task] = max(w.highest[req.Task], req.RunID)
		answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	case "/pace":
		answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	default:
		answer(rw, http.StatusNotFound, struct{}{})
	}
}

func (w *worker) conflict(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

// extendLease takes a deadline, which never shortens. w.mu must be held.
func (w *worker) extendLease(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	until := w.boot.Add(time.Duration(deadlineMs-1000) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

func (w *worker) startTask(rw http.ResponseWriter, req *workerRequest) {
	now := time.Now()
	if req.DeadlineMs < w.clock() {
		w.conflict(rw, "late")
		return
	}
	w.extendLease(req.DeadlineMs)
	if x := w.runs[req.Task]; x != nil {
		if x.run == req.RunID {
			answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		} else {
			w.conflict(rw, "old")
		}
		return
	}
	if req.RunID <= w.highest[req.Task] {
		w.conflict(rw, "old")
		return
	}
	does, known := w.c.behaviourOf(req.Task)
	x := &taskRun{task: req.Task, run: req.RunID, started: now, saved: decodeCheckpoint(req.Checkpoint), does: does}
	w.runs[req.Task] = x
	w.c.watch.begin(w, x, known, req.Spec)
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	if w.c.onStart != nil {
		go w.c.onStart(w, req.Task, req.RunID)
	}
}

// hold answers with both lists. w.mu is held, but not while it waits for an end.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, req *workerRequest) {
	w.extendLease(req.DeadlineMs)
	rest := w.ended[:0:0]
	for _, e := range w.ended {
		if e.n > req.AckCursor {
			rest = append(rest, e)
		} else {
			w.c.watch.acked(w, e)
		}
	}
	w.ended = rest
	boot := w.boot
	timeout := time.After(time.Duration(min(req.WaitMs, 2000)) * time.Millisecond)
	for len(w.ended) == 0 && req.WaitMs > 0 {
		ending := w.ending
		w.mu.Unlock()
		over := false
		select {
		case <-ending:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mu.Lock()
		if w.silent {
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()
			return
		}
		if !w.up || !w.boot.Equal(boot) {
			panic(http.ErrAbortHandler)
		}
		if over {
			break
		}
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		load := x.does.cpu
		if x.does.targetMs > 0 {
			load = x.does.targetMs / 2
		}
		running = append(running, []any{x.task, x.run, x.checkpoint(now), x.percent(now), load})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.boot.UnixMilli(), "running": running, "ended": ended})
}
