package executor

import (
	"context"
	"sync"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// busyWait and idleWait are the times that a target may wait for an end
	// before it answers. With runs the answer also tells their progress.
	busyWait = 500 * time.Millisecond
	idleWait = 900 * time.Millisecond
	// callTimeout bounds a call that a target answers at once.
	callTimeout = 400 * time.Millisecond
	// ackWait is the time for which new ends wait for the store before the
	// target is called again.
	ackWait = 150 * time.Millisecond
	// leastPause lets ends that follow one another share a call.
	leastPause = 25 * time.Millisecond
	// retryPause is the time between two calls to a target that doesn't answer.
	retryPause = 200 * time.Millisecond
	// startLife is the time on the target's clock after which it rejects a
	// start that it has not begun.
	startLife = 2 * time.Second
	// listPeriod is the time between two complete lists for the coordinator.
	listPeriod = 400 * time.Millisecond
)

// loop holds the leases of one target.
type loop struct {
	e           *Executor
	target      Target
	incarnation w.Incarnation
	ctx         context.Context
	cancel      context.CancelFunc
	acks        chan struct{}

	mu        sync.Mutex
	acked     int64
	seen      int64
	clock     int64 // of the target, ms, when it was last heard
	heard     time.Time
	deadline  int64 // highest that was sent
	answered  bool  // the last call got an answer
	unsettled map[w.TaskID]settling
	held      int64 // number of the last hold that was sent
}

// settling is a run of which it isn't known whether it exists.
type settling struct {
	run   w.RunID
	after int64 // number of the last hold sent before the stop was answered
}

func newLoop(e *Executor, t linker.AssignedTarget) *loop {
	l := &loop{
		e: e, target: Target{t.ID, t.Address}, incarnation: t.Incarnation, acked: t.Acked, seen: t.Acked,
		acks: make(chan struct{}, 1), unsettled: make(map[w.TaskID]settling), answered: true,
	}
	l.ctx, l.cancel = context.WithCancel(e.ctx)
	return l
}

func (l *loop) ack(seq int64) {
	l.mu.Lock()
	l.acked = max(l.acked, seq)
	l.mu.Unlock()
	select {
	case l.acks <- struct{}{}:
	default:
	}
}

// now returns the time on the target's clock, or 0 if it is not known.
func (l *loop) now() int64 {
	if l.heard.IsZero() {
		return 0
	}
	return l.clock + time.Since(l.heard).Milliseconds()
}

// outdated reports whether the target was heard so long ago that another instance
// may have taken over its leases. A process that was paused finds that when it goes
// on, before it has read anything.
func (l *loop) outdated() bool { return time.Since(l.heard) > startLife }

// hear takes over the clock of an answer to a call sent at the given time.
func (l *loop) hear(clock int64) {
	l.answered = true
	if clock > 0 {
		l.clock, l.heard = clock, time.Now()
	}
}

// run calls the target until the loop is cancelled.
func (l *loop) run() {
	defer l.e.wg.Done()
	var listed time.Time
	busy := false
	for l.ctx.Err() == nil {
		l.mu.Lock()
		call := HoldCall{Epoch: l.e.currentEpoch(), Acked: l.acked}
		if now := l.now(); now > 0 {
			// A target that doesn't answer gets no longer leases, so that the
			// end of what it runs is known.
			if lease := l.e.currentLease(); l.answered && lease > 0 && !l.outdated() {
				l.deadline = max(l.deadline, now+lease.Milliseconds())
			}
			call.Deadline = l.deadline
		}
		switch {
		case l.seen > l.acked || l.heard.IsZero() || len(l.unsettled) > 0 || !l.answered:
		case busy:
			call.Wait = busyWait
		default:
			call.Wait = idleWait
		}
		l.held++
		held := l.held
		l.mu.Unlock()

		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, call.Wait+callTimeout)
		r, err := l.e.Caller.Hold(ctx, l.target, &call)
		cancel()
		if l.ctx.Err() != nil {
			return
		}
		if err != nil {
			l.mu.Lock()
			l.answered = false
			l.mu.Unlock()
			l.e.Log.Debug("target does not answer", "target", l.target.ID, "error", err)
			l.e.report(func(f *linker.Frame) {
				f.Reports = append(f.Reports, linker.Report{Target: l.target.ID, Incarnation: l.incarnation, Unreachable: true})
			})
			l.pause(retryPause)
			continue
		}
		if r.Incarnation != 0 && r.Incarnation != l.incarnation {
			l.e.report(func(f *linker.Frame) {
				f.Reports = append(f.Reports, linker.Report{Target: l.target.ID, Incarnation: r.Incarnation, Gone: true})
			})
			l.pause(retryPause)
			continue
		}
		busy = len(r.Runs) > 0
		rep := linker.Report{Target: l.target.ID, Incarnation: l.incarnation, Latency: time.Since(sent) - call.Wait}
		l.mu.Lock()
		l.hear(r.Clock)
		for i := range r.Ends {
			if r.Ends[i].Seq > l.seen {
				l.seen = r.Ends[i].Seq
				rep.Ends = append(rep.Ends, r.Ends[i])
			}
		}
		results := l.settled(&r, held)
		l.mu.Unlock()
		if time.Since(listed) >= listPeriod {
			rep.Runs, rep.Complete = r.Runs, true
			listed = time.Now()
		}
		if rep.Complete || len(rep.Ends) > 0 || len(results) > 0 {
			l.e.report(func(f *linker.Frame) {
				f.Reports = append(f.Reports, rep)
				f.Results = append(f.Results, results...)
			})
		}
		l.wait()
	}
}

// wait lets new ends be stored before the target is called again, since it
// answers at once while any is not acknowledged.
func (l *loop) wait() {
	l.mu.Lock()
	open := l.seen > l.acked
	l.mu.Unlock()
	l.pause(leastPause)
	if !open {
		return
	}
	t := time.NewTimer(ackWait)
	defer t.Stop()
	for {
		select {
		case <-l.acks:
			l.mu.Lock()
			open = l.seen > l.acked
			l.mu.Unlock()
			if !open {
				return
			}
		case <-t.C:
			return
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *loop) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.ctx.Done():
	}
}

// settled returns the runs whose stop the target has answered and which its
// lists, asked for after that, don't name: they will never run.
func (l *loop) settled(r *HoldReply, held int64) []linker.Result {
	var out []linker.Result
	for id, u := range l.unsettled {
		if held <= u.after {
			continue
		}
		listed := false
		for i := range r.Runs {
			listed = listed || (r.Runs[i].Task == id && r.Runs[i].Run == u.run)
		}
		for i := range r.Ends {
			listed = listed || (r.Ends[i].Task == id && r.Ends[i].Run == u.run)
		}
		if listed {
			// The end of a run that is being stopped will be listed.
			continue
		}
		delete(l.unsettled, id)
		out = append(out, linker.Result{Target: l.target.ID, Task: id, Run: u.run, Outcome: linker.NotStarted})
	}
	return out
}

// start carries out a start order.
func (l *loop) start(o linker.Start, spec string) {
	defer l.e.wg.Done()
	l.mu.Lock()
	now := l.now()
	if l.outdated() {
		now = 0
	}
	l.mu.Unlock()
	call := StartCall{
		Task: o.Task, Run: o.Run, Spec: spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		Epoch: l.e.currentEpoch(), Deadline: now + startLife.Milliseconds(),
	}
	result := linker.Result{Target: o.Target, Task: o.Task, Run: o.Run, Outcome: linker.NotStarted}
	if now > 0 {
		const tries = 2
		for range tries {
			ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
			r, err := l.e.Caller.Start(ctx, l.target, &call)
			cancel()
			if err == nil {
				l.mu.Lock()
				l.hear(r.Clock)
				if r.Outcome == linker.Overtaken {
					// The run of an earlier try may have ended as done: the
					// target's lists tell.
					l.unsettled[o.Task] = settling{run: o.Run, after: l.held}
					l.mu.Unlock()
					return
				}
				l.mu.Unlock()
				result.Outcome = r.Outcome
				l.e.report(func(f *linker.Frame) { f.Results = append(f.Results, result) })
				return
			}
			l.e.Log.Debug("start got no answer", "task", o.Task, "target", o.Target, "run", o.Run, "error", err)
		}
		result.Outcome = linker.Unsettled
	}
	l.e.report(func(f *linker.Frame) { f.Results = append(f.Results, result) })
	if result.Outcome == linker.Unsettled {
		l.settle(o.Task, o.Run)
	}
}

// stop carries out a stop order.
func (l *loop) stop(o linker.Stop) {
	defer l.e.wg.Done()
	l.settle(o.Task, o.Run)
}

// settle stops a run until the target has answered. Then the run either ends,
// or never starts.
func (l *loop) settle(task w.TaskID, run w.RunID) {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		_, err := l.e.Caller.Stop(ctx, l.target, task, run, l.e.currentEpoch())
		cancel()
		if err == nil {
			l.mu.Lock()
			l.answered = true
			l.unsettled[task] = settling{run: run, after: l.held}
			l.mu.Unlock()
			return
		}
		l.pause(retryPause)
	}
}

func (e *Executor) currentEpoch() w.Epoch { return w.Epoch(e.epoch.Load()) }

func (e *Executor) currentLease() time.Duration { return time.Duration(e.lease.Load()) }
