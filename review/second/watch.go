package main

import (
	"strings"
	"sync"
	"time"
)

// watch keeps what workers, clients and the platform have seen, and what follows from the
// rules of RULES.md.
type watch struct {
	rec *record

	mu     sync.Mutex
	tasks  map[string]*taskHistory
	specs  map[string]string // spec of each job that was handed in
	broken []string
	starts int
}

// taskHistory is what happened to a task.
type taskHistory struct {
	running  map[string]int64 // run by worker
	lastEnd  time.Time        // end of the last run, or when the job was accepted
	started  int
	failed   int
	doneAt   time.Time
	doneRun  int64
	ackedRun int64
	ackedAt  time.Time // when the end of doneRun was taken note of
	gaps     []gap     // times without a run after the first one
}

type gap struct{ from, to time.Time }

func newWatch(rec *record) *watch {
	return &watch{rec: rec, tasks: make(map[string]*taskHistory), specs: make(map[string]string)}
}

func (x *watch) of(task string) *taskHistory {
	h := x.tasks[task]
	if h == nil {
		h = &taskHistory{running: make(map[string]int64)}
		x.tasks[task] = h
	}
	return h
}

// breaks records a broken rule. x.mu must be held.
func (x *watch) breaks(text string) {
	x.broken = append(x.broken, text)
	x.rec.sayf("RULE BROKEN: %s", text)
}

// broke returns the broken rules whose names begin so.
func (x *watch) broke(rule string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, b := range x.broken {
		if strings.HasPrefix(b, rule) {
			out = append(out, b)
		}
	}
	return out
}

// handedIn records that a client hands a job in.
func (x *watch) handedIn(id, spec string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.specs[id] = spec
}

// begin records a start. The worker's lock is held.
func (x *watch) begin(w *worker, r *taskRun, known bool, spec string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.starts++
	h := x.of(r.task)
	x.rec.addf("start  %s run %d on %s from checkpoint %v", r.task, r.run, w.id, r.saved)
	job, _, _ := strings.Cut(r.task, ".")
	if want, sent := x.specs[job]; !sent || !known || want != spec {
		x.breaks("UNASKED: " + r.task + " is of no job that a client sent, or has another spec")
	}
	for on, run := range h.running {
		x.rec.addf("       it runs on %s as run %d", on, run)
		x.breaks("TWICE: " + r.task + " runs on " + on + " and on " + w.id + " at the same time")
	}
	if !h.ackedAt.IsZero() && r.run > h.ackedRun {
		x.breaks("TWICE: " + r.task + " starts although its run has ended done and the end was taken note of " + r.started.Sub(h.ackedAt).Round(time.Millisecond).String() + " before")
	}
	if h.started > 0 && len(h.running) == 0 {
		h.gaps = append(h.gaps, gap{h.lastEnd, r.started})
	}
	h.started++
	h.running[w.id] = r.run
	var cpu, mem int64
	for _, o := range w.runs {
		if !o.does.fills {
			cpu += o.does.cpu
		}
		mem += o.does.mem
	}
	if cpu > w.cpu || mem > w.mem {
		x.breaks("LIMIT: a start of " + r.task + " brings " + w.id + " over its capacity")
	}
}

// stop records an order to stop a run. The worker's lock is held.
func (x *watch) stop(w *worker, r *taskRun) {
	x.rec.addf("stop   %s run %d on %s is ordered", r.task, r.run, w.id)
}

// end records the end of a run. The worker's lock is held.
func (x *watch) end(w *worker, task string, run int64, how string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.of(task)
	x.rec.addf("end    %s run %d on %s: %s", task, run, w.id, how)
	delete(h.running, w.id)
	h.lastEnd = now
	switch how {
	case "done":
		h.doneAt, h.doneRun = now, run
	case "failed":
		h.failed++
	}
}

// acked records that ackCursor has reached an end.
func (x *watch) acked(w *worker, e endedRun) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rec.addf("ack    %s run %d on %s, which ended %s", e.task, e.run, w.id, e.how)
	if h := x.of(e.task); e.how == "done" && h.ackedAt.IsZero() && !time.Now().After(w.leaseEnd) {
		h.ackedRun, h.ackedAt = e.run, time.Now()
	}
}

// longestGap returns the longest time for which a task that has started once had no run, up
// to now, and the part of it that lies after a time.
func (x *watch) longestGap(task string, now time.Time) gap {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.of(task)
	var longest gap
	gaps := h.gaps
	if h.started > 0 && len(h.running) == 0 && h.doneAt.IsZero() {
		gaps = append(gaps[:len(gaps):len(gaps)], gap{h.lastEnd, now})
	}
	for _, g := range gaps {
		if g.to.Sub(g.from) > longest.to.Sub(longest.from) {
			longest = g
		}
	}
	return longest
}

// runsNow returns the worker that runs a task, or "".
func (x *watch) runsNow(task string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	for on := range x.of(task).running {
		return on
	}
	return ""
}

// counts returns how often a task was started and how many of its runs ended failed.
func (x *watch) counts(task string) (started, failed int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.of(task).started, x.of(task).failed
}

// ackedDone returns the number of tasks of a job whose successful end was taken note of.
func (x *watch) ackedDone(job string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for task, h := range x.tasks {
		if strings.HasPrefix(task, job+".") && !h.ackedAt.IsZero() {
			n++
		}
	}
	return n
}
