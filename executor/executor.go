package executor

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/meter"
	w "github.com/masticlead/masticlead/workload"
)

// Executor carries out the orders of one coordinator. Exported fields are set before
// Run is called.
type Executor struct {
	TargetClient TargetClient
	StopTimeout  time.Duration // time within which a target ends a run that it was told to stop
	Log          *slog.Logger
	Meter        *meter.Meter // may be nil
	Send         func(*linker.Frame)

	client    recoveringClient
	startedAt time.Time
	mu        sync.Mutex
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	epoch     atomic.Int64 // w.Epoch
	lease     atomic.Int64 // time.Duration
	confirms  atomic.Bool  // the coordinator confirms reports
	confirmed atomic.Int64 // highest number of a frame that the coordinator has processed
	sessions  map[w.TargetID]*targetSession
	outFrame  *linker.Frame
	outSeq    int64 // number of the last frame
	outReady  chan struct{}
	asks      chan linker.Ask
}

// Run starts the executor and returns. Close stops it.
func (e *Executor) Run() {
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.client = recoveringClient{e.TargetClient, e.Log}
	e.startedAt = time.Now()
	e.sessions = make(map[w.TargetID]*targetSession)
	e.outReady = make(chan struct{}, 1)
	e.asks = make(chan linker.Ask, 64)
	e.wg.Add(2)
	go e.flushLoop()
	go e.adviseLoop()
}

// Close cancels all requests in progress and waits for the executor's goroutines.
func (e *Executor) Close() {
	e.cancel()
	e.wg.Wait()
}

// Receive processes a frame of the coordinator. It does not wait for the requests that
// the frame leads to.
func (e *Executor) Receive(f *linker.Frame) {
	e.confirmed.Store(max(e.confirmed.Load(), f.Seen))
	if f.Assign != nil {
		e.assign(f.Assign)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range f.Acks {
		if session := e.sessions[a.Target]; session != nil && session.incarnation == a.Incarnation {
			session.ack(a.Seq)
		}
	}
	specs := make(map[w.JobID]string, len(f.Specs))
	for _, s := range f.Specs {
		specs[s.Job] = s.Text
	}
	for _, s := range f.Stops {
		if session := e.sessions[s.Target]; session != nil {
			e.wg.Add(1)
			go session.stop(s)
		}
	}
	for _, s := range f.Starts {
		if session := e.sessions[s.Target]; session != nil {
			e.wg.Add(1)
			go session.start(s, specs[s.Task.Job])
		} else {
			e.enqueueLocked(func(f *linker.Frame) {
				f.Results = append(f.Results, linker.Result{Target: s.Target, Task: s.Task, Run: s.Run, Outcome: linker.NotStarted})
			})
		}
	}
	for _, a := range f.Asks {
		select {
		case e.asks <- a:
		default:
			e.enqueueLocked(func(f *linker.Frame) { f.Advice = append(f.Advice, linker.Advice{ID: a.ID, Failed: true}) })
		}
	}
}

// assign starts sessions for newly assigned targets and cancels those of targets that
// are no longer assigned. A target with a new incarnation or address gets a new session.
func (e *Executor) assign(a *linker.Assign) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch.Store(int64(a.Epoch))
	e.lease.Store(int64(a.Lease))
	e.confirms.Store(a.Confirms)
	assigned := make(map[w.TargetID]bool, len(a.Targets))
	for _, t := range a.Targets {
		assigned[t.ID] = true
		session := e.sessions[t.ID]
		if session != nil && session.incarnation == t.Incarnation && session.target.Address == t.Address && session.assignment == t.Session {
			continue
		}
		if session != nil {
			session.cancel()
		}
		session = newTargetSession(e, t)
		e.sessions[t.ID] = session
		e.wg.Add(1)
		go session.run()
	}
	for id, session := range e.sessions {
		if !assigned[id] {
			session.cancel()
			delete(e.sessions, id)
		}
	}
}

// enqueue adds to the next frame for the coordinator, and returns the frame's number.
// enqueueLocked does the same for callers that hold e.mu.
func (e *Executor) enqueue(add func(*linker.Frame)) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.enqueueLocked(add)
}

func (e *Executor) enqueueLocked(add func(*linker.Frame)) int64 {
	if e.outFrame == nil {
		e.outSeq++
		e.outFrame = &linker.Frame{Seq: e.outSeq}
	}
	add(e.outFrame)
	select {
	case e.outReady <- struct{}{}:
	default:
	}
	return e.outSeq
}

// batchDelay is the time for which a frame is held back, so that results that arrive
// at about the same time share it.
const batchDelay = 2 * time.Millisecond

func (e *Executor) flushLoop() {
	defer e.wg.Done()
	for {
		select {
		case <-e.outReady:
		case <-e.ctx.Done():
			return
		}
		time.Sleep(batchDelay)
		e.mu.Lock()
		f := e.outFrame
		e.outFrame = nil
		e.mu.Unlock()
		if f != nil {
			e.Send(f)
		}
	}
}

// adviseLoop sends requests to the advice service, one at a time.
func (e *Executor) adviseLoop() {
	defer e.wg.Done()
	for {
		var a linker.Ask
		select {
		case a = <-e.asks:
		case <-e.ctx.Done():
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
		tickets, err := e.client.Advise(ctx, a.Step, a.Targets)
		cancel()
		advice := linker.Advice{ID: a.ID, Failed: err != nil}
		if err != nil {
			e.Log.Warn("advice request failed", "step", a.Step, "targets", len(a.Targets), "error", err)
		}
		for _, t := range tickets {
			advice.Good = append(advice.Good, t.Target)
			advice.Tickets = append(advice.Tickets, t.Token)
		}
		e.enqueue(func(f *linker.Frame) { f.Advice = append(f.Advice, advice) })
	}
}

// adviceTimeout exceeds the longest response time of the advice service for a request
// that names 100 targets and is queued behind one other request.
const adviceTimeout = 3 * time.Second
