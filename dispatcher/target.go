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
	// driftMargin covers clock rates that differ by up to 1% (assumption A7).
	driftMargin = 0.99
	// callTimeout bounds a call to a target beyond the time that it may hold it.
	callTimeout = 2 * time.Second
	// unreachableAfter is how long a target may not answer before it gets no
	// more work.
	unreachableAfter = 3 * time.Second
)

// targetWorker follows one target that this instance owns.
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
	// The clock of the target showed anchorMs not after the local time anchor.
	anchor   time.Time
	anchorMs connector.TargetClock
	synced   bool
	reached  bool
	failing  bool // the last poll had no answer
	lastSeen time.Time
	sequence uint64
	listedMs connector.TargetClock // the target's clock in the last list
	leaving  bool                  // by the target's own word
	listedLv bool                  // by the platform's list
	state    placer.TargetState
	pending  map[descriptor.TaskID]*pendingStart
	tasks    map[descriptor.TaskID]connector.ListedTask // as listed, running and ended
	// placed holds the scheduler's attempt numbers of the tasks that it placed.
	placed  map[descriptor.TaskID]descriptor.Attempt
	running int
	// leaseEnd is after the end of every lease given to a task of this target.
	leaseEnd  connector.TargetClock
	nextRenew time.Time
	// nextForget is when the ended tasks are looked through, on the target's clock.
	nextForget connector.TargetClock
}

func newTargetWorker(d *Dispatcher, t descriptor.Target, e descriptor.Epoch, safeFrom time.Time, pending map[descriptor.TaskID]*pendingStart) *targetWorker {
	if pending == nil {
		pending = make(map[descriptor.TaskID]*pendingStart)
	}
	w := &targetWorker{
		d: d, target: t, epoch: e, safeFrom: safeFrom, conn: d.cfg.Dialer.Dial(t),
		pending: pending, tasks: map[descriptor.TaskID]connector.ListedTask{},
		placed: map[descriptor.TaskID]descriptor.Attempt{},
		state:  placer.Unreachable, done: make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(d.ctx)
	return w
}

// stop ends the worker and waits for it.
func (w *targetWorker) stop() {
	w.cancel()
	<-w.done
	_ = w.conn.Close()
}

// abandon takes all tasks out of the scheduler's account. They go on running
// under the next owner.
func (w *targetWorker) abandon() {
	w.mu.Lock()
	tasks := make([]connector.ListedTask, 0, len(w.tasks)+len(w.pending))
	for _, t := range w.tasks {
		if !t.State.Ended() {
			tasks = append(tasks, t)
		}
	}
	for _, p := range w.pending {
		tasks = append(tasks, connector.ListedTask{Key: p.order.Key, Attempt: p.placed, Index: p.order.Index})
	}
	w.mu.Unlock()
	for _, t := range tasks {
		w.d.cfg.Scheduler.Ended(t.Key, w.placedAttempt(t), t.Index, w.target.ID, scheduler.Result{})
	}
}

// run reads the target's list once no order of an earlier owner can start any
// more, and then follows its events.
func (w *targetWorker) run() {
	if !w.sleep(w.safeFrom.Sub(w.d.cfg.Clock.Now())) || !w.sync() {
		return
	}
	for w.ctx.Err() == nil {
		w.renew()
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

// sync reads the whole list of the target and accounts for all that runs on it.
// A target that can't be reached for a task lease after safeFrom has nothing
// left that runs, since only its owner extends leases.
func (w *targetWorker) sync() bool {
	certain := w.safeFrom.Add(time.Duration(float64(w.d.cfg.TaskLease)/driftMargin) + time.Second)
	for {
		ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
		list, err := w.conn.Tasks(ctx)
		cancel()
		now := w.d.cfg.Clock.Now()
		if err == nil {
			w.d.cfg.Scheduler.AddTarget(w.describe(list.Capacity))
			w.handle(list, now)
			break
		}
		w.d.cfg.Scope.Counter("target_errors").Inc(1)
		w.expireMoved(now)
		if (w.epoch == 1 || now.After(certain)) && w.markSynced() {
			w.d.cfg.Log.Warn("dispatcher: target not reached; its tasks have expired", "target", w.target.ID, "error", err)
			w.d.wakeRecovery()
		}
		if !w.sleep(300 * time.Millisecond) {
			return false
		}
	}
	w.markSynced()
	w.d.wakeRecovery()
	return true
}

// markSynced notes that all running tasks are known. It reports false if that was
// noted before.
func (w *targetWorker) markSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := !w.synced
	w.synced = true
	return first
}

// describe returns the target with the capacity that it reports itself.
func (w *targetWorker) describe(capacity descriptor.Resources) descriptor.Target {
	t := w.target
	if capacity != (descriptor.Resources{}) {
		t.Capacity = capacity
	}
	return t
}

// poll waits for events. It reports false if the target did not answer.
func (w *targetWorker) poll() bool {
	w.mu.Lock()
	after, wait := w.sequence, w.d.cfg.PollWait
	if w.failing {
		// The first answer after a failure shows at once whether the target has
		// restarted.
		wait = 0
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, wait+callTimeout)
	list, err := w.conn.Events(ctx, after, wait)
	cancel()
	now := w.d.cfg.Clock.Now()
	w.mu.Lock()
	w.failing = err != nil
	w.mu.Unlock()
	if err == nil && w.restarted(list) {
		return w.resync(list)
	}
	if err == nil {
		w.handle(list, now)
		return true
	}
	if w.ctx.Err() != nil {
		return false
	}
	w.d.cfg.Scope.Counter("target_errors").Inc(1)
	w.unreached(now)
	return false
}

// handle applies an answer with tasks.
func (w *targetWorker) handle(list connector.TaskList, now time.Time) {
	var ended, running []connector.ListedTask
	w.mu.Lock()
	w.noteStatusLocked(list.TargetStatus, now)
	w.sequence = max(w.sequence, list.Sequence)
	w.listedMs = list.NowMs
	for _, t := range list.Tasks {
		old, known := w.tasks[t.Task]
		w.tasks[t.Task] = t
		if p, ok := w.pending[t.Task]; ok {
			w.placed[t.Task] = p.placed
			delete(w.pending, t.Task)
		}
		switch {
		case !t.State.Ended():
			running = append(running, t)
			if !known {
				w.running++
			}
		case !known || !old.State.Ended():
			ended = append(ended, t)
			if known {
				w.running--
			}
		}
	}
	resolved := w.expiredPending(list.NowMs)
	w.forgetOld(list.NowMs)
	w.mu.Unlock()

	for _, t := range running {
		w.adopt(t, list.NowMs)
		w.d.observe(t)
	}
	for _, t := range ended {
		w.release(t)
		w.d.observe(t)
	}
	for _, p := range resolved {
		result, state := "notStarted", runNotStarted
		if p.lost {
			result, state = "lost", runEnded
		}
		w.d.cfg.Scope.Tagged(map[string]string{"result": result}).Counter("starts_resolved").Inc(1)
		w.settlePending(p, state)
	}
	w.expireMoved(now)
	w.updateState(now)
}

// adopt accounts for a running task. For a task that the scheduler placed itself
// this changes nothing.
func (w *targetWorker) adopt(t connector.ListedTask, now connector.TargetClock) {
	var team descriptor.TeamID
	if rules := w.d.cfg.Rules(); rules != nil {
		rule, _ := rules.CallerRule(t.Key.Caller)
		team = rule.Team
	}
	running := time.Duration(max(0, now-t.StartedMs)) * time.Millisecond
	w.d.cfg.Scheduler.Adopt(w.target.ID, t.Key, team, t.Kind, w.placedAttempt(t), t.Index, t.Resources, running)
}

// placedAttempt returns the number under which the scheduler knows the attempt:
// its own if it placed the task, else the one in the target's list.
func (w *targetWorker) placedAttempt(t connector.ListedTask) descriptor.Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	if placed, ok := w.placed[t.Task]; ok {
		return placed
	}
	return t.Attempt
}

// release gives back what an ended task used.
func (w *targetWorker) release(t connector.ListedTask) {
	w.d.cfg.Scheduler.Ended(t.Key, w.placedAttempt(t), t.Index, w.target.ID, scheduler.Result{
		Succeeded: t.State == descriptor.TaskCompleted,
		Started:   true,
		Ran:       time.Duration(max(0, t.EndedMs-t.StartedMs)) * time.Millisecond,
	})
	w.mu.Lock()
	delete(w.placed, t.Task)
	w.mu.Unlock()
}

// forgetInterval is the time between two looks for old tasks, on the target's
// clock. A look takes time in proportion to the tasks that are kept.
const forgetInterval = connector.TargetClock(10_000)

// forgetOld drops tasks that ended longer ago than outcomes are kept. It needs
// w.mu.
func (w *targetWorker) forgetOld(now connector.TargetClock) {
	// A target that has restarted begins its clock anew.
	if wait := w.nextForget - now; wait > 0 && wait <= forgetInterval {
		return
	}
	w.nextForget = now + forgetInterval
	oldest := now - connector.TargetClock(outcomeRetention.Milliseconds())
	for id, t := range w.tasks {
		if t.State.Ended() && t.EndedMs < oldest {
			delete(w.tasks, id)
		}
	}
}

func (w *targetWorker) noteStatus(s connector.TargetStatus, now time.Time) {
	w.mu.Lock()
	w.noteStatusLocked(s, now)
	w.mu.Unlock()
	w.updateState(now)
}

func (w *targetWorker) noteStatusLocked(s connector.TargetStatus, now time.Time) {
	if s.NowMs >= w.anchorMs {
		w.anchor, w.anchorMs = now, s.NowMs
	}
	w.reached, w.lastSeen = true, now
	w.leaving = s.Leaving
}

// noteUnavailable takes the target out of use until it answers again. Requests
// that it did not take are then placed elsewhere without avoiding it for ever.
func (w *targetWorker) noteUnavailable() {
	w.mu.Lock()
	w.reached = false
	w.mu.Unlock()
	w.updateState(w.d.cfg.Clock.Now())
}

func (w *targetWorker) setListedLeaving(leaving bool) {
	w.mu.Lock()
	w.listedLv = leaving
	w.mu.Unlock()
	w.updateState(w.d.cfg.Clock.Now())
}

// updateState tells the scheduler whether the target takes new work.
func (w *targetWorker) updateState(now time.Time) {
	w.mu.Lock()
	s := placer.Placeable
	switch {
	case !w.reached || now.Sub(w.lastSeen) > unreachableAfter+w.d.cfg.PollWait:
		s = placer.Unreachable
	case w.leaving || w.listedLv:
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
