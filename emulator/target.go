package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

const (
	// defaultRun is how long a task runs whose payload doesn't say.
	defaultRun = 100 * time.Millisecond
	// retention is how long the result of an ended task is kept.
	retention = 10 * time.Minute
	// throttleFactor is how much slower a throttled task runs.
	throttleFactor = 4
)

// Work is the part of a payload that the stand-in targets understand.
type Work struct {
	RunMs int64 `json:"runMs"`
	Fail  bool  `json:"fail"`
}

// RunRecord is one run of a task, kept for ever so that tests can check what
// really ran. Times are Unix nanoseconds of the machine's clock.
type RunRecord struct {
	connector.ListedTask
	Target    descriptor.TargetID `json:"target"`
	StartedNs int64               `json:"startedNs"`
	EndedNs   int64               `json:"endedNs,omitempty"`
}

// History is what a target really did.
type History struct {
	Runs []RunRecord `json:"runs"`
	// Overcommitted counts the starts after which the running tasks needed more
	// than the target has.
	Overcommitted int `json:"overcommitted"`
	// LateOrders counts the start orders rejected because their time was up.
	LateOrders int `json:"lateOrders"`
}

// Checkpoints holds the remaining run times of checkpointed tasks. Targets of
// one data centre share it.
type Checkpoints struct {
	mu        sync.Mutex
	remaining map[checkpointKey]time.Duration
}

type checkpointKey struct {
	key   descriptor.Key
	index int
}

// NewCheckpoints returns an empty set of checkpoints.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{remaining: map[checkpointKey]time.Duration{}}
}

func (c *Checkpoints) save(k checkpointKey, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining[k] = d
}

func (c *Checkpoints) load(k checkpointKey) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.remaining[k]
	return d, ok
}

// task is a task that a target knows.
type task struct {
	connector.ListedTask
	work      Work
	sequence  uint64
	remaining time.Duration // run time left at resumed
	resumed   time.Time     // when the task last changed its speed
	throttled bool
	end       *time.Timer
	lease     *time.Timer
	leaseEnd  connector.TargetClock
	record    int // index in History.Runs
}

// Target is a stand-in of a target. It doesn't check capacity, owner or epoch.
type Target struct {
	faultSwitch
	target      descriptor.Target
	checkpoints *Checkpoints
	started     time.Time

	mu       sync.Mutex
	tasks    map[descriptor.TaskID]*task
	used     descriptor.Resources
	reports  []usage
	sequence uint64
	changed  chan struct{} // closed at each event
	history  History
}

type usage struct {
	since time.Time
	used  descriptor.Resources
}

// NewTarget returns an idle target.
func NewTarget(t descriptor.Target, c *Checkpoints) *Target {
	return &Target{
		target: t, checkpoints: c, started: time.Now(),
		tasks: map[descriptor.TaskID]*task{}, changed: make(chan struct{}),
	}
}

// Handler returns the HTTP interface of the target.
func (t *Target) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", t.serveFaults)
	r.HandleFunc("/history", t.serveHistory)
	r.HandleFunc("/tasks/start", t.serveStart)
	r.HandleFunc("/tasks/direct", t.serveDirect)
	r.HandleFunc("/tasks", t.serveTasks)
	r.HandleFunc("/events", t.serveEvents)
	r.HandleFunc("/lease", t.serveLease)
	return r
}

func (t *Target) nowMs() connector.TargetClock {
	return connector.TargetClock(time.Since(t.started).Milliseconds())
}

// status needs t.mu.
func (t *Target) status() connector.TargetStatus {
	f := t.Get()
	return connector.TargetStatus{
		Target: t.target.ID, NowMs: t.nowMs(), Leaving: f.Leaving,
		Capacity: t.target.Capacity, Used: t.reportedUse(f), Sequence: t.sequence,
	}
}

// reportedUse returns the use as it was Faults.LagMs ago.
func (t *Target) reportedUse(f Faults) descriptor.Resources {
	lag := time.Duration(f.LagMs) * time.Millisecond
	var used descriptor.Resources
	for _, u := range t.reports {
		if time.Since(u.since) >= lag {
			used = u.used
		}
	}
	return used
}

func (t *Target) changeUse(used descriptor.Resources) {
	t.used = used
	const kept = 64 // enough for the lags that tests use
	if len(t.reports) >= kept {
		t.reports = t.reports[1:]
	}
	t.reports = append(t.reports, usage{time.Now(), used})
}

// event numbers a change of a task and wakes the waiting readers.
func (t *Target) event(k *task) {
	t.sequence++
	k.sequence = t.sequence
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Target) serveStart(w http.ResponseWriter, r *http.Request) {
	var o connector.StartOrder
	if !t.guard(w) || !readJSON(w, r, &o) {
		return
	}
	reason := t.start(o)
	t.delay(r)
	if t.loseAnswer() {
		dropConnection(w)
		return
	}
	if reason != "" {
		http.Error(w, reason, http.StatusConflict)
		return
	}
	t.mu.Lock()
	status := t.status()
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// start runs the task and returns "", or the reason why it does not. An order
// for a task that the target knows already changes nothing.
func (t *Target) start(o connector.StartOrder) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.tasks[o.Task]; ok {
		return ""
	}
	if t.nowMs() > o.StartBeforeMs {
		t.history.LateOrders++
		return "start order arrived too late"
	}
	now := time.Now()
	k := &task{ListedTask: connector.ListedTask{
		Task: o.Task, Key: o.Key, Epoch: o.Epoch, Attempt: o.Attempt, Index: o.Index, Of: o.Of,
		Idempotent: o.Idempotent, Kind: o.Kind, Resources: o.Resources,
		State: descriptor.TaskRunning, StartedMs: t.nowMs(),
	}, resumed: now, remaining: defaultRun, record: len(t.history.Runs)}
	if json.Unmarshal(o.Payload, &k.work) == nil && k.work.RunMs > 0 {
		k.remaining = time.Duration(k.work.RunMs) * time.Millisecond
	}
	if o.Resume {
		if d, ok := t.checkpoints.load(checkpointKey{o.Key, o.Index}); ok {
			k.remaining = d
		}
	}
	if t.Get().FailAll {
		k.work.Fail = true
		k.remaining = 0
	}
	t.tasks[o.Task] = k
	t.changeUse(t.used.Add(o.Resources))
	if !t.used.Fits(t.target.Capacity) {
		t.history.Overcommitted++
	}
	t.history.Runs = append(t.history.Runs, RunRecord{ListedTask: k.ListedTask, Target: t.target.ID, StartedNs: now.UnixNano()})
	k.end = time.AfterFunc(k.remaining, func() { t.finish(k) })
	k.leaseEnd = k.StartedMs + connector.TargetClock(o.LeaseMs)
	k.lease = time.AfterFunc(time.Duration(o.LeaseMs)*time.Millisecond, func() { t.stop(k, descriptor.TaskExpired) })
	t.event(k)
	return ""
}

// finish ends a task that has run its time.
func (t *Target) finish(k *task) {
	if k.work.Fail {
		t.stop(k, descriptor.TaskFailed)
		return
	}
	t.stop(k, descriptor.TaskCompleted)
}

func (t *Target) stop(k *task, s descriptor.TaskState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopLocked(k, s)
}

func (t *Target) stopLocked(k *task, s descriptor.TaskState) {
	if k.State.Ended() {
		return
	}
	k.end.Stop()
	k.lease.Stop()
	k.State = s
	k.EndedMs = t.nowMs()
	switch s {
	case descriptor.TaskCompleted:
		k.Result, _ = json.Marshal(map[string]string{"request": k.Key.String()})
	case descriptor.TaskFailed:
		k.Error = "the work failed"
	}
	t.changeUse(t.used.Sub(k.Resources))
	t.history.Runs[k.record].ListedTask = k.ListedTask
	t.history.Runs[k.record].EndedNs = time.Now().UnixNano()
	t.event(k)
	time.AfterFunc(retention, func() { t.forget(k) })
}

func (t *Target) forget(k *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tasks, k.Task)
}

func (t *Target) serveTasks(w http.ResponseWriter, r *http.Request) {
	if !t.guard(w) {
		return
	}
	list := t.list(0)
	t.delay(r)
	writeJSON(w, http.StatusOK, list)
}

// list returns the tasks that changed after the given event.
func (t *Target) list(after uint64) connector.TaskList {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := connector.TaskList{TargetStatus: t.status(), Tasks: []connector.ListedTask{}}
	var changed []*task
	for _, k := range t.tasks {
		if k.sequence > after {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(a, b *task) int { return int(a.sequence) - int(b.sequence) })
	for _, k := range changed {
		list.Tasks = append(list.Tasks, k.ListedTask)
	}
	return list
}

func (t *Target) serveEvents(w http.ResponseWriter, r *http.Request) {
	if !t.guard(w) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	t.mu.Lock()
	changed := t.changed
	pending := t.sequence > after
	t.mu.Unlock()
	if !pending {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	t.delay(r)
	writeJSON(w, http.StatusOK, t.list(after))
}

func (t *Target) serveLease(w http.ResponseWriter, r *http.Request) {
	var req connector.RenewRequest
	if !t.guard(w) || !readJSON(w, r, &req) {
		return
	}
	t.mu.Lock()
	for id, k := range t.tasks {
		if !k.State.Ended() && (len(req.Tasks) == 0 || slices.Contains(req.Tasks, id)) {
			t.extend(k, req.UntilMs)
		}
	}
	status := t.status()
	t.mu.Unlock()
	t.delay(r)
	writeJSON(w, http.StatusOK, status)
}

// extend moves the end of the task's lease, but never to an earlier time.
func (t *Target) extend(k *task, until connector.TargetClock) {
	if until <= k.leaseEnd {
		return
	}
	k.leaseEnd = until
	k.lease.Reset(time.Duration(until-t.nowMs()) * time.Millisecond)
}

func (t *Target) serveDirect(w http.ResponseWriter, r *http.Request) {
	var req connector.DirectRequest
	if !t.guard(w) || !readJSON(w, r, &req) {
		return
	}
	t.mu.Lock()
	if k, ok := t.tasks[req.Task]; ok && !k.State.Ended() {
		t.direct(k, req.Directive)
	}
	status := t.status()
	t.mu.Unlock()
	t.delay(r)
	writeJSON(w, http.StatusOK, status)
}

func (t *Target) direct(k *task, d connector.Directive) {
	switch d {
	case connector.StopTask:
		t.stopLocked(k, descriptor.TaskStopped)
	case connector.CheckpointTask:
		t.changeSpeed(k, k.throttled)
		t.checkpoints.save(checkpointKey{k.Key, k.Index}, k.remaining)
		k.Checkpointed = true
		t.stopLocked(k, descriptor.TaskStopped)
	case connector.ThrottleTask:
		t.changeSpeed(k, true)
	case connector.UnthrottleTask:
		t.changeSpeed(k, false)
	}
}

// changeSpeed accounts for the run time so far and sets the end anew.
func (t *Target) changeSpeed(k *task, throttled bool) {
	now := time.Now()
	done := now.Sub(k.resumed)
	if k.throttled {
		done /= throttleFactor
	}
	k.remaining = max(0, k.remaining-done)
	k.resumed, k.throttled = now, throttled
	left := k.remaining
	if throttled {
		left *= throttleFactor
	}
	k.end.Reset(left)
}

// History returns what the target has run so far.
func (t *Target) History() History {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history
	h.Runs = slices.Clone(h.Runs)
	return h
}

func (t *Target) serveHistory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.History())
}
