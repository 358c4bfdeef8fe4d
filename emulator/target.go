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
	// defaultRunTime is the run time of a task whose payload specifies none.
	defaultRunTime = 100 * time.Millisecond
	// taskRetention is the time for which an ended task remains listed with its
	// result.
	taskRetention = 10 * time.Minute
	// throttleFactor is the factor by which throttling slows down a task.
	throttleFactor = 4
)

// Payload is the part of a task payload that emulated targets interpret.
type Payload struct {
	RunMs int64 `json:"runMs"`
	Fail  bool  `json:"fail"`
}

// RunRecord is the record of one run of a task. Records are never removed, so that
// tests can check which tasks ran. StartedNs and EndedNs are Unix nanoseconds on
// the machine's clock.
type RunRecord struct {
	connector.ListedTask
	Target    descriptor.TargetID `json:"target"`
	StartedNs int64               `json:"startedNs"`
	EndedNs   int64               `json:"endedNs,omitempty"`
}

// History is the record of the runs on a target, for checks by tests.
type History struct {
	Runs []RunRecord `json:"runs"`
	// Overcommitted is the number of starts after which the resources of the
	// running tasks exceeded the capacity of the target.
	Overcommitted int `json:"overcommitted"`
	// LateOrders is the number of start orders that were rejected because they
	// arrived after StartBeforeMs.
	LateOrders int `json:"lateOrders"`
}

// Checkpoints stores the remaining run times of checkpointed tasks. The targets of
// a data centre share one store, so that each of them can resume a task.
type Checkpoints struct {
	mu        sync.Mutex
	remaining map[checkpointKey]time.Duration
}

// checkpointKey identifies a task by its request and its index in the request.
type checkpointKey struct {
	key   descriptor.Key
	index int
}

// NewCheckpoints returns an empty store of checkpoints.
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

// task is a running or ended task of a target.
type task struct {
	connector.ListedTask
	payload         Payload
	sequence        uint64        // number of the last event of the task
	remaining       time.Duration // remaining unthrottled run time at lastSpeedChange
	lastSpeedChange time.Time     // when the task was started, throttled or unthrottled
	throttled       bool
	endTimer        *time.Timer
	leaseTimer      *time.Timer
	leaseEnd        connector.TargetTime
	runIndex        int // index in History.Runs
}

// Target emulates a target. It does not enforce its capacity and does not check the
// owner or epoch of orders.
type Target struct {
	faultInjector
	target      descriptor.Target
	checkpoints *Checkpoints
	startTime   time.Time

	mu           sync.Mutex
	tasks        map[descriptor.TaskID]*task
	used         descriptor.Resources
	usageSamples []usageSample
	sequence     uint64        // number of the last event of the target
	changed      chan struct{} // closed and replaced at each event
	history      History
}

// usageSample is the resource usage from a point in time on.
type usageSample struct {
	recordedAt time.Time
	used       descriptor.Resources
}

// NewTarget returns a target without tasks.
func NewTarget(t descriptor.Target, c *Checkpoints) *Target {
	return &Target{
		target: t, checkpoints: c, startTime: time.Now(),
		tasks: map[descriptor.TaskID]*task{}, changed: make(chan struct{}),
	}
}

// Handler returns the HTTP handler of the target.
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

// nowMs returns the time on the target's clock, which starts at 0 in NewTarget.
func (t *Target) nowMs() connector.TargetTime {
	return connector.TargetTime(time.Since(t.startTime).Milliseconds())
}

// status returns the status of the target. The caller must hold t.mu.
func (t *Target) status() connector.TargetStatus {
	f := t.Faults()
	return connector.TargetStatus{
		Target: t.target.ID, NowMs: t.nowMs(), Leaving: f.Leaving,
		Capacity: t.target.Capacity, Used: t.reportedUsage(f), Sequence: t.sequence,
	}
}

// reportedUsage returns the resource usage as it was Faults.LagMs ago. The caller
// must hold t.mu.
func (t *Target) reportedUsage(f Faults) descriptor.Resources {
	lag := time.Duration(f.LagMs) * time.Millisecond
	var used descriptor.Resources
	for _, u := range t.usageSamples {
		if time.Since(u.recordedAt) >= lag {
			used = u.used
		}
	}
	return used
}

// setUsage records the current resource usage. The caller must hold t.mu.
func (t *Target) setUsage(used descriptor.Resources) {
	t.used = used
	const maxUsageSamples = 64 // enough for the lags that tests use
	if len(t.usageSamples) >= maxUsageSamples {
		t.usageSamples = t.usageSamples[1:]
	}
	t.usageSamples = append(t.usageSamples, usageSample{time.Now(), used})
}

// recordEvent assigns the next sequence number to a change of a task and wakes the
// waiting calls to /events. The caller must hold t.mu.
func (t *Target) recordEvent(tk *task) {
	t.sequence++
	tk.sequence = t.sequence
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Target) serveStart(w http.ResponseWriter, r *http.Request) {
	var order connector.StartOrder
	if !t.checkAvailable(w) || !readJSON(w, r, &order) {
		return
	}
	reason := t.startTask(order)
	t.delayResponse(r)
	if t.shouldDropResponse() {
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

// startTask starts the task and returns "", or returns the reason for a rejection.
// Orders are idempotent: an order for a task that the target already has is ignored.
func (t *Target) startTask(order connector.StartOrder) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.tasks[order.Task]; ok {
		return ""
	}
	if t.nowMs() > order.StartBeforeMs {
		t.history.LateOrders++
		return "start order arrived too late"
	}
	now := time.Now()
	tk := &task{ListedTask: connector.ListedTask{
		Task: order.Task, Key: order.Key, Epoch: order.Epoch, Attempt: order.Attempt, Index: order.Index, TaskCount: order.TaskCount,
		Idempotent: order.Idempotent, Kind: order.Kind, Resources: order.Resources,
		State: descriptor.TaskRunning, StartedMs: t.nowMs(),
	}, lastSpeedChange: now, remaining: defaultRunTime, runIndex: len(t.history.Runs)}
	if json.Unmarshal(order.Payload, &tk.payload) == nil && tk.payload.RunMs > 0 {
		tk.remaining = time.Duration(tk.payload.RunMs) * time.Millisecond
	}
	if order.Resume {
		if d, ok := t.checkpoints.load(checkpointKey{order.Key, order.Index}); ok {
			tk.remaining = d
		}
	}
	if t.Faults().FailAll {
		tk.payload.Fail = true
		tk.remaining = 0
	}
	t.tasks[order.Task] = tk
	t.setUsage(t.used.Add(order.Resources))
	if !t.used.Fits(t.target.Capacity) {
		t.history.Overcommitted++
	}
	t.history.Runs = append(t.history.Runs, RunRecord{ListedTask: tk.ListedTask, Target: t.target.ID, StartedNs: now.UnixNano()})
	tk.endTimer = time.AfterFunc(tk.remaining, func() { t.finish(tk) })
	tk.leaseEnd = tk.StartedMs + connector.TargetTime(order.LeaseMs)
	tk.leaseTimer = time.AfterFunc(time.Duration(order.LeaseMs)*time.Millisecond, func() { t.endTask(tk, descriptor.TaskExpired) })
	t.recordEvent(tk)
	return ""
}

// finish ends a task whose run time is over.
func (t *Target) finish(tk *task) {
	if tk.payload.Fail {
		t.endTask(tk, descriptor.TaskFailed)
		return
	}
	t.endTask(tk, descriptor.TaskCompleted)
}

func (t *Target) endTask(tk *task, state descriptor.TaskState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endTaskLocked(tk, state)
}

// endTaskLocked moves a task to a final state, unless it has already ended. The
// caller must hold t.mu.
func (t *Target) endTaskLocked(tk *task, state descriptor.TaskState) {
	if tk.State.Ended() {
		return
	}
	tk.endTimer.Stop()
	tk.leaseTimer.Stop()
	tk.State = state
	tk.EndedMs = t.nowMs()
	switch state {
	case descriptor.TaskCompleted:
		tk.Result, _ = json.Marshal(map[string]string{"request": tk.Key.String()})
	case descriptor.TaskFailed:
		tk.Error = "the work failed"
	}
	t.setUsage(t.used.Sub(tk.Resources))
	t.history.Runs[tk.runIndex].ListedTask = tk.ListedTask
	t.history.Runs[tk.runIndex].EndedNs = time.Now().UnixNano()
	t.recordEvent(tk)
	time.AfterFunc(taskRetention, func() { t.removeTask(tk) })
}

func (t *Target) removeTask(tk *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tasks, tk.Task)
}

func (t *Target) serveTasks(w http.ResponseWriter, r *http.Request) {
	if !t.checkAvailable(w) {
		return
	}
	list := t.listTasks(0)
	t.delayResponse(r)
	writeJSON(w, http.StatusOK, list)
}

// listTasks returns the tasks whose last event has a greater sequence number than
// after, in the order of these events.
func (t *Target) listTasks(after uint64) connector.TaskList {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := connector.TaskList{TargetStatus: t.status(), Tasks: []connector.ListedTask{}}
	var changed []*task
	for _, tk := range t.tasks {
		if tk.sequence > after {
			changed = append(changed, tk)
		}
	}
	slices.SortFunc(changed, func(a, b *task) int { return int(a.sequence) - int(b.sequence) })
	for _, tk := range changed {
		list.Tasks = append(list.Tasks, tk.ListedTask)
	}
	return list
}

func (t *Target) serveEvents(w http.ResponseWriter, r *http.Request) {
	if !t.checkAvailable(w) {
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
	t.delayResponse(r)
	writeJSON(w, http.StatusOK, t.listTasks(after))
}

func (t *Target) serveLease(w http.ResponseWriter, r *http.Request) {
	var req connector.RenewRequest
	if !t.checkAvailable(w) || !readJSON(w, r, &req) {
		return
	}
	t.mu.Lock()
	for id, tk := range t.tasks {
		if !tk.State.Ended() && (len(req.Tasks) == 0 || slices.Contains(req.Tasks, id)) {
			t.extendLease(tk, req.UntilMs)
		}
	}
	status := t.status()
	t.mu.Unlock()
	t.delayResponse(r)
	writeJSON(w, http.StatusOK, status)
}

// extendLease extends the lease of a task. An earlier end is ignored. The caller must
// hold t.mu.
func (t *Target) extendLease(tk *task, until connector.TargetTime) {
	if until <= tk.leaseEnd {
		return
	}
	tk.leaseEnd = until
	tk.leaseTimer.Reset(time.Duration(until-t.nowMs()) * time.Millisecond)
}

func (t *Target) serveDirect(w http.ResponseWriter, r *http.Request) {
	var req connector.DirectiveRequest
	if !t.checkAvailable(w) || !readJSON(w, r, &req) {
		return
	}
	t.mu.Lock()
	if tk, ok := t.tasks[req.Task]; ok && !tk.State.Ended() {
		t.applyDirective(tk, req.Directive)
	}
	status := t.status()
	t.mu.Unlock()
	t.delayResponse(r)
	writeJSON(w, http.StatusOK, status)
}

// applyDirective carries out a directive on a running task. The caller must hold
// t.mu.
func (t *Target) applyDirective(tk *task, d connector.Directive) {
	switch d {
	case connector.StopTask:
		t.endTaskLocked(tk, descriptor.TaskStopped)
	case connector.CheckpointTask:
		t.setThrottled(tk, tk.throttled)
		t.checkpoints.save(checkpointKey{tk.Key, tk.Index}, tk.remaining)
		tk.Checkpointed = true
		t.endTaskLocked(tk, descriptor.TaskStopped)
	case connector.ThrottleTask:
		t.setThrottled(tk, true)
	case connector.UnthrottleTask:
		t.setThrottled(tk, false)
	}
}

// setThrottled deducts the progress since the last speed change from the remaining
// run time, sets the speed and resets the end timer. The caller must hold t.mu.
func (t *Target) setThrottled(tk *task, throttled bool) {
	now := time.Now()
	progress := now.Sub(tk.lastSpeedChange)
	if tk.throttled {
		progress /= throttleFactor
	}
	tk.remaining = max(0, tk.remaining-progress)
	tk.lastSpeedChange, tk.throttled = now, throttled
	untilEnd := tk.remaining
	if throttled {
		untilEnd *= throttleFactor
	}
	tk.endTimer.Reset(untilEnd)
}

// History returns a copy of the target's history.
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
