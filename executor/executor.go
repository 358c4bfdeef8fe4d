package executor

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// Executor carries out calls of one coordinator.
type Executor struct {
	Caller Caller
	Log    *slog.Logger
	Send   func(*linker.Frame)

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	epoch  atomic.Int64 // w.Epoch
	lease  atomic.Int64 // time.Duration
	loops  map[w.TargetID]*loop
	out    *linker.Frame
	due    chan struct{}
	asks   chan linker.Ask
}

// Run starts the executor. Close ends it.
func (e *Executor) Run() {
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.loops = make(map[w.TargetID]*loop)
	e.due = make(chan struct{}, 1)
	e.asks = make(chan linker.Ask, 64)
	e.wg.Add(2)
	go e.flush()
	go e.advise()
}

// Close ends all calls and waits for them.
func (e *Executor) Close() {
	e.cancel()
	e.wg.Wait()
}

// Receive takes over the orders of a frame.
func (e *Executor) Receive(f *linker.Frame) {
	if f.Assign != nil {
		e.assign(f.Assign)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range f.Acks {
		if l := e.loops[a.Target]; l != nil && l.incarnation == a.Incarnation {
			l.ack(a.Seq)
		}
	}
	specs := make(map[w.JobID]string, len(f.Specs))
	for _, s := range f.Specs {
		specs[s.Job] = s.Text
	}
	for _, s := range f.Stops {
		if l := e.loops[s.Target]; l != nil {
			e.wg.Add(1)
			go l.stop(s)
		}
	}
	for _, s := range f.Starts {
		if l := e.loops[s.Target]; l != nil {
			e.wg.Add(1)
			go l.start(s, specs[s.Task.Job])
		} else {
			e.queue(func(f *linker.Frame) {
				f.Results = append(f.Results, linker.Result{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.NotStarted})
			})
		}
	}
	for _, a := range f.Asks {
		select {
		case e.asks <- a:
		default:
			e.queue(func(f *linker.Frame) { f.Advice = append(f.Advice, linker.Advice{ID: a.ID, Failed: true}) })
		}
	}
}

// assign starts and ends the loops of targets.
func (e *Executor) assign(a *linker.Assign) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch.Store(int64(a.Epoch))
	e.lease.Store(int64(a.Lease))
	keep := make(map[w.TargetID]bool, len(a.Targets))
	for _, t := range a.Targets {
		keep[t.ID] = true
		l := e.loops[t.ID]
		if l != nil && l.incarnation == t.Incarnation && l.target.Address == t.Address {
			continue
		}
		if l != nil {
			l.cancel()
		}
		l = newLoop(e, t)
		e.loops[t.ID] = l
		e.wg.Add(1)
		go l.run()
	}
	for id, l := range e.loops {
		if !keep[id] {
			l.cancel()
			delete(e.loops, id)
		}
	}
}

// report queues something for the coordinator.
func (e *Executor) report(add func(*linker.Frame)) {
	e.mu.Lock()
	e.queue(add)
	e.mu.Unlock()
}

func (e *Executor) queue(add func(*linker.Frame)) {
	if e.out == nil {
		e.out = new(linker.Frame)
	}
	add(e.out)
	select {
	case e.due <- struct{}{}:
	default:
	}
}

// gatherTime lets answers that arrive together share a frame.
const gatherTime = 2 * time.Millisecond

func (e *Executor) flush() {
	defer e.wg.Done()
	for {
		select {
		case <-e.due:
		case <-e.ctx.Done():
			return
		}
		time.Sleep(gatherTime)
		e.mu.Lock()
		f := e.out
		e.out = nil
		e.mu.Unlock()
		if f != nil {
			e.Send(f)
		}
	}
}

// advise makes the calls to the advice service, one at a time.
func (e *Executor) advise() {
	defer e.wg.Done()
	for {
		var a linker.Ask
		select {
		case a = <-e.asks:
		case <-e.ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
		tickets, err := e.Caller.Advise(ctx, a.Step, a.Targets)
		cancel()
		r := linker.Advice{ID: a.ID, Failed: err != nil}
		if err != nil {
			e.Log.Warn("advice failed", "step", a.Step, "targets", len(a.Targets), "error", err)
		}
		for _, t := range tickets {
			r.Good = append(r.Good, t.Target)
			r.Tickets = append(r.Tickets, t.Text)
		}
		e.report(func(f *linker.Frame) { f.Advice = append(f.Advice, r) })
	}
}

// adviceTimeout is above the longest call with 100 targets named, behind one
// other.
const adviceTimeout = 3 * time.Second
