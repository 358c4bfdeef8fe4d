package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

const (
	// clockDriftFactor allows for clock rates that differ by up to 1% (assumption
	// A7 in docs/design.md).
	clockDriftFactor = 0.99
	// callTimeout is the timeout of a call to a target, in addition to the wait
	// time of a long poll.
	callTimeout = 2 * time.Second
	// unreachableTimeout is how long a target may go without responding before it
	// gets no more tasks, in addition to Config.PollWait.
	unreachableTimeout = 3 * time.Second
)

// targetWorker tracks one target that this instance owns.
type targetWorker struct {
	d        *Dispatcher
	target   descriptor.Target
	epoch    descriptor.Epoch
	safeFrom time.Time
	conn     connector.TargetConn
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{} // closed at the end of run

	mu sync.Mutex
	// The target's clock showed clockMs no later than the local time clockReadAt.
	clockReadAt     time.Time
	clockMs         connector.TargetTime
	synced          bool
	reached         bool
	pollFailed      bool // the last poll got no response
	lastResponseAt  time.Time
	lastSequence    uint64
	lastListMs      connector.TargetTime // the target's clock in the latest list
	reportedLeaving bool                 // according to the target itself
	listedLeaving   bool                 // according to the platform directory
	state           placer.TargetState
	pending         map[descriptor.TaskID]*pendingStart
	tasks           map[descriptor.TaskID]connector.ListedTask // running and ended tasks, as listed by the target
	// schedulerAttempts holds the attempt numbers that the local scheduler assigned
	// to the tasks that it placed.
	schedulerAttempts map[descriptor.TaskID]descriptor.Attempt
	runningTasks      int
	// maxLeaseEnd is an upper bound of the lease ends of all tasks on the target,
	// on the target's clock.
	maxLeaseEnd connector.TargetTime
	nextRenew   time.Time
	// nextPrune is the earliest time of the next pruning, on the target's clock.
	nextPrune connector.TargetTime
}

func newTargetWorker(d *Dispatcher, t descriptor.Target, e descriptor.Epoch, safeFrom time.Time, pending map[descriptor.TaskID]*pendingStart) *targetWorker {
	if pending == nil {
		pending = make(map[descriptor.TaskID]*pendingStart)
	}
	w := &targetWorker{
		d: d, target: t, epoch: e, safeFrom: safeFrom, conn: d.cfg.Dialer.Dial(t),
		pending: pending, tasks: map[descriptor.TaskID]connector.ListedTask{},
		schedulerAttempts: map[descriptor.TaskID]descriptor.Attempt{},
		state:             placer.Unreachable, done: make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(d.ctx)
	return w
}

// stop stops the worker, waits for it to end and closes the connection.
func (w *targetWorker) stop() {
	w.cancel()
	<-w.done
	_ = w.conn.Close()
}

// releaseTasks releases the capacity of all tasks in the scheduler. The tasks keep
// running under the next owner.
func (w *targetWorker) releaseTasks() {
	w.mu.Lock()
	tasks := make([]connector.ListedTask, 0, len(w.tasks)+len(w.pending))
	for _, t := range w.tasks {
		if !t.State.Ended() {
			tasks = append(tasks, t)
		}
	}
	for _, p := range w.pending {
		tasks = append(tasks, connector.ListedTask{Key: p.order.Key, Attempt: p.schedulerAttempt, Index: p.order.Index})
	}
	w.mu.Unlock()
	for _, t := range tasks {
		w.d.cfg.Scheduler.Ended(t.Key, w.schedulerAttempt(t), t.Index, w.target.ID, scheduler.Result{})
	}
}

// run reads the target's task list once no start order of an earlier owner can take
// effect any more, and then polls for events.
func (w *targetWorker) run() {
	if !w.sleep(w.safeFrom.Sub(w.d.cfg.Clock.Now())) || !w.sync() {
		return
	}
	for w.ctx.Err() == nil {
		w.renewLeases()
		if !w.poll() && !w.sleep(200*time.Millisecond) {
			return
		}
	}
}

func (w *targetWorker) sleep(wait time.Duration) bool {
	if wait <= 0 {
		return w.ctx.Err() == nil
	}
	select {
	case <-w.d.cfg.Clock.After(wait):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// sync reads the complete task list of the target and accounts for its running
// tasks. If the target is unreachable for a task lease after safeFrom, all its
// tasks have expired, since only its owner renews leases. sync returns false if
// the worker ends.
func (w *targetWorker) sync() bool {
	expiredAfter := w.safeFrom.Add(time.Duration(float64(w.d.cfg.TaskLease)/clockDriftFactor) + time.Second)
	for {
		ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
		list, err := w.conn.Tasks(ctx)
		cancel()
		now := w.d.cfg.Clock.Now()
		if err == nil {
			w.d.cfg.Scheduler.AddTarget(w.targetWithCapacity(list.Capacity))
			w.applyList(list, now)
			break
		}
		w.d.cfg.Scope.Counter("target_errors").Inc(1)
		w.expireMovedOrders(now)
		if (w.epoch == 1 || now.After(expiredAfter)) && w.markSynced() {
			w.d.cfg.Log.Warn("dispatcher: target not reached; its tasks have expired", "target", w.target.ID, "error", err)
			w.d.triggerRecovery()
		}
		if !w.sleep(300 * time.Millisecond) {
			return false
		}
	}
	w.markSynced()
	w.d.triggerRecovery()
	return true
}

// markSynced records that all running tasks are known. It returns false if this
// had already been recorded.
func (w *targetWorker) markSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := !w.synced
	w.synced = true
	return first
}

// targetWithCapacity returns the target with the capacity that it reports itself,
// if any.
func (w *targetWorker) targetWithCapacity(capacity descriptor.Resources) descriptor.Target {
	t := w.target
	if capacity != (descriptor.Resources{}) {
		t.Capacity = capacity
	}
	return t
}

// poll waits for events. It returns false if the target did not respond.
func (w *targetWorker) poll() bool {
	w.mu.Lock()
	after, wait := w.lastSequence, w.d.cfg.PollWait
	if w.pollFailed {
		// Don't wait for an event: the first response after a failure shows
		// whether the target has restarted.
		wait = 0
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, wait+callTimeout)
	list, err := w.conn.Events(ctx, after, wait)
	cancel()
	now := w.d.cfg.Clock.Now()
	w.mu.Lock()
	w.pollFailed = err != nil
	w.mu.Unlock()
	if err == nil && w.hasRestarted(list) {
		return w.resync(list)
	}
	if err == nil {
		w.applyList(list, now)
		return true
	}
	if w.ctx.Err() != nil {
		return false
	}
	w.d.cfg.Scope.Counter("target_errors").Inc(1)
	w.handlePollFailure(now)
	return false
}

// applyList applies a task list received from the target.
func (w *targetWorker) applyList(list connector.TaskList, now time.Time) {
	var ended, running []connector.ListedTask
	w.mu.Lock()
	w.updateStatusLocked(list.TargetStatus, now)
	w.lastSequence = max(w.lastSequence, list.Sequence)
	w.lastListMs = list.NowMs
	for _, t := range list.Tasks {
		old, known := w.tasks[t.Task]
		w.tasks[t.Task] = t
		if p, ok := w.pending[t.Task]; ok {
			w.schedulerAttempts[t.Task] = p.schedulerAttempt
			delete(w.pending, t.Task)
		}
		switch {
		case !t.State.Ended():
			running = append(running, t)
			if !known {
				w.runningTasks++
			}
		case !known || !old.State.Ended():
			ended = append(ended, t)
			if known {
				w.runningTasks--
			}
		}
	}
	expired := w.takeExpiredPending(list.NowMs)
	w.pruneTasks(list.NowMs)
	w.mu.Unlock()

	for _, t := range running {
		w.adopt(t, list.NowMs)
		w.d.updateTask(t)
	}
	for _, t := range ended {
		w.releaseTask(t)
		w.d.updateTask(t)
	}
	for _, p := range expired {
		result, state := "notStarted", runNotStarted
		if p.targetRestarted {
			result, state = "lost", runEnded
		}
		w.d.cfg.Scope.Tagged(map[string]string{"result": result}).Counter("starts_resolved").Inc(1)
		w.resolvePending(p, state)
	}
	w.expireMovedOrders(now)
	w.updateState(now)
}

// adopt accounts for a running task in the scheduler. This has no effect on a task
// that the scheduler placed itself.
func (w *targetWorker) adopt(t connector.ListedTask, now connector.TargetTime) {
	var team descriptor.TeamID
	if rules := w.d.cfg.Rules(); rules != nil {
		rule, _ := rules.CallerRule(t.Key.Caller)
		team = rule.Team
	}
	running := time.Duration(max(0, now-t.StartedMs)) * time.Millisecond
	w.d.cfg.Scheduler.Adopt(w.target.ID, t.Key, team, t.Kind, w.schedulerAttempt(t), t.Index, t.Resources, running)
}

// schedulerAttempt returns the number by which the scheduler identifies the
// attempt: its own if it placed the task, otherwise the one in the target's list.
func (w *targetWorker) schedulerAttempt(t connector.ListedTask) descriptor.Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	if attempt, ok := w.schedulerAttempts[t.Task]; ok {
		return attempt
	}
	return t.Attempt
}

// releaseTask releases the capacity of an ended task.
func (w *targetWorker) releaseTask(t connector.ListedTask) {
	w.d.cfg.Scheduler.Ended(t.Key, w.schedulerAttempt(t), t.Index, w.target.ID, scheduler.Result{
		Succeeded: t.State == descriptor.TaskCompleted,
		Started:   true,
		Ran:       time.Duration(max(0, t.EndedMs-t.StartedMs)) * time.Millisecond,
	})
	w.mu.Lock()
	delete(w.schedulerAttempts, t.Task)
	w.mu.Unlock()
}

// taskPruneInterval is the interval at which old tasks are pruned, on the target's
// clock. Pruning takes time proportional to the number of retained tasks.
const taskPruneInterval = connector.TargetTime(10_000)

// pruneTasks drops tasks that ended more than outcomeRetention ago. The caller
// holds w.mu.
func (w *targetWorker) pruneTasks(now connector.TargetTime) {
	// A restart resets the clock of the target.
	if wait := w.nextPrune - now; wait > 0 && wait <= taskPruneInterval {
		return
	}
	w.nextPrune = now + taskPruneInterval
	oldest := now - connector.TargetTime(outcomeRetention.Milliseconds())
	for id, t := range w.tasks {
		if t.State.Ended() && t.EndedMs < oldest {
			delete(w.tasks, id)
		}
	}
}

func (w *targetWorker) updateStatus(s connector.TargetStatus, now time.Time) {
	w.mu.Lock()
	w.updateStatusLocked(s, now)
	w.mu.Unlock()
	w.updateState(now)
}

func (w *targetWorker) updateStatusLocked(s connector.TargetStatus, now time.Time) {
	if s.NowMs >= w.clockMs {
		w.clockReadAt, w.clockMs = now, s.NowMs
	}
	w.reached, w.lastResponseAt = true, now
	w.reportedLeaving = s.Leaving
}

// markUnavailable takes the target out of use until it responds again. Requests
// that it did not accept are then placed on other targets without adding it to
// their avoided targets for good.
func (w *targetWorker) markUnavailable() {
	w.mu.Lock()
	w.reached = false
	w.mu.Unlock()
	w.updateState(w.d.cfg.Clock.Now())
}

func (w *targetWorker) setListedLeaving(leaving bool) {
	w.mu.Lock()
	w.listedLeaving = leaving
	w.mu.Unlock()
	w.updateState(w.d.cfg.Clock.Now())
}

// updateState notifies the scheduler if the state of the target has changed.
func (w *targetWorker) updateState(now time.Time) {
	w.mu.Lock()
	s := placer.Placeable
	switch {
	case !w.reached || now.Sub(w.lastResponseAt) > unreachableTimeout+w.d.cfg.PollWait:
		s = placer.Unreachable
	case w.reportedLeaving || w.listedLeaving:
		s = placer.Leaving
	}
	changed := s != w.state
	w.state = s
	w.mu.Unlock()
	if changed {
		w.d.cfg.Scheduler.SetTargetState(w.target.ID, s)
		w.d.cfg.Log.Info("dispatcher: target state changed", "target", w.target.ID, "state", s)
	}
}
