package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/masticlead/masticlead/executor"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// simMachine runs one target process at a time, at a fixed address.
type simMachine struct {
	index, boots                                 int
	name, zone                                   string
	process                                      *simProcess // nil while it is down
	refuses                                      bool        // refuses connections while it is down, otherwise it is silent
	silentUntil, slowUntil, shedUntil, lossUntil time.Time
}

// simProcess is one incarnation of a target.
type simProcess struct {
	c         *cosim
	machine   *simMachine
	id        w.TargetID
	bootedAt  time.Time
	rate      float64 // of its clock
	state     w.TargetState
	dead      chan struct{}
	ended     chan struct{} // closed and replaced when a run ends
	epoch     w.Epoch
	leaseEnd  int64 // on its clock, in ms
	runs      map[w.TaskID]*simRun
	ends      []w.End
	seq       int64
	lapsedSeq int64 // last end when the lease last lapsed
	highest   map[w.TaskID]w.RunID
}

type simRun struct {
	p         *simProcess
	task      w.TaskID
	run       w.RunID
	begun     time.Time // start of work, zero while a gang is incomplete
	length    time.Duration
	frozenTo  time.Time
	saved     int
	stopping  bool
	inherited bool // the order is older than the process, which can't know that it is void
}

func (c *cosim) boot(m *simMachine, id w.TargetID) {
	p := &simProcess{
		c: c, machine: m, id: id, bootedAt: time.Now(), rate: 1 - 0.02*c.rng.Float64(), dead: make(chan struct{}), ended: make(chan struct{}),
		runs: make(map[w.TaskID]*simRun), highest: make(map[w.TaskID]w.RunID),
	}
	m.process = p
	c.logf("target %s boots on %s", id, m.name)
	var register func()
	register = func() {
		if m.process == p {
			c.rows[id] = simRow{w.Target{
				ID: id, Service: "s", Address: m.name, Zone: m.zone, Machine: m.name, Capacity: w.Resources{CPU: simCPU, Mem: 1 << 20},
				Incarnation: w.Incarnation(p.bootedAt.UnixMilli()), State: p.state, Remaining: 5 * time.Second,
			}, time.Now()}
			c.after(time.Second, register)
		}
	}
	c.after(c.duration(0, 600), register)
}

// kill ends a process without a record.
func (c *cosim) kill(p *simProcess) {
	c.logf("target %s dies with %d runs", p.id, len(p.runs))
	close(p.dead)
	p.machine.process = nil
	for _, r := range p.runs {
		c.checkEnd(r)
	}
	p.runs = nil
}

// reboot starts a process on a machine, under the ID of the last one or a new one.
func (c *cosim) reboot(m *simMachine, id w.TargetID, after time.Duration) {
	if c.rng.IntN(2) == 0 {
		m.boots++
		id = w.TargetID(fmt.Sprintf("t%d-%d", m.index, m.boots))
	}
	c.after(after+2*time.Millisecond, func() { c.boot(m, id) })
}

func (p *simProcess) clock() int64 {
	return 1 + int64(float64(time.Since(p.bootedAt).Milliseconds())*p.rate)
}

func (p *simProcess) extend(deadline int64) {
	if deadline = min(deadline, p.clock()+simMaxLease.Milliseconds()); deadline <= p.leaseEnd {
		return
	}
	p.leaseEnd = deadline
	p.c.after(time.Duration(float64(deadline-p.clock())/p.rate+1)*time.Millisecond, func() {
		if p.clock() < p.leaseEnd {
			return
		}
		for _, r := range p.runs {
			p.end(r, w.EndedLeaseExpired)
		}
		p.lapsedSeq = p.seq
	})
}

func (p *simProcess) start(req *executor.StartRequest, sent time.Time) linker.Outcome {
	c, s, inherited := p.c, p.c.step(req.Task), sent.Before(p.bootedAt)
	if req.Epoch < p.epoch {
		return linker.Fenced
	}
	p.epoch = req.Epoch
	if req.Deadline > 0 && p.clock() > req.Deadline {
		return linker.NotStarted
	}
	p.extend(req.Deadline)
	if r := p.runs[req.Task]; r != nil && r.run == req.Run {
		return linker.Started
	} else if r != nil || req.Run <= p.highest[req.Task] {
		return linker.Superseded
	}
	used := s.Need.CPU
	for _, r := range p.runs {
		used += c.step(r.task).Need.CPU
		inherited = inherited || r.inherited
	}
	switch {
	case used > simCPU && c.sc.admission:
		return linker.InsufficientResources
	case used > simCPU && !inherited:
		c.violate(req.Task, "LIMIT: %v as run %d raises the CPU on %s to %d", req.Task, req.Run, p.id, used)
	}
	r := &simRun{p: p, task: req.Task, run: req.Run, inherited: sent.Before(p.bootedAt)}
	r.saved, _ = strconv.Atoi(req.Checkpoint) // none is 0
	r.length = time.Duration(float64(s.Estimate)*(0.7+0.6*c.rng.Float64())) * time.Duration(100-r.saved) / 100
	p.runs[req.Task] = r
	c.checkStart(r, sent)
	members := c.gang(r)
	if len(members) < s.Count && s.Gang {
		c.after(3*time.Second, func() {
			if p.runs[r.task] == r && r.begun.IsZero() {
				p.end(r, w.EndedGangTimeout)
			}
		})
		return linker.Started
	}
	for _, o := range members {
		o.begun = time.Now()
	}
	r.finishAfter(r.length)
	return linker.Started
}

// finishAfter ends a run after a time, later if it is stalled, and with it its gang.
func (r *simRun) finishAfter(d time.Duration) {
	r.p.c.after(d, func() {
		switch left := time.Until(r.begun.Add(r.length)); {
		case r.p.runs[r.task] != r:
		case left > 0:
			r.finishAfter(left)
		case r.p.c.rng.IntN(40) == 0:
			for _, o := range r.p.c.gang(r) {
				o.p.end(o, map[bool]w.Ending{true: w.EndedFailed, false: w.EndedGangMemberEnded}[o == r])
			}
		default:
			for _, o := range r.p.c.gang(r) {
				o.p.end(o, w.EndedDone)
			}
		}
	})
}

// progress returns the percent of the work that is done, and its checkpoint.
func (r *simRun) progress() (int, string) {
	percent := 0
	if !r.begun.IsZero() {
		worked := time.Since(r.begun) + max(0, time.Until(r.frozenTo))
		percent = min(100, max(0, int(100*worked/max(1, r.length))))
	}
	if !r.p.c.step(r.task).Saves {
		return percent, ""
	}
	return percent, strconv.Itoa(min(95, r.saved+percent*(100-r.saved)/100))
}

func (p *simProcess) end(r *simRun, how w.Ending) {
	delete(p.runs, r.task)
	p.highest[r.task] = max(p.highest[r.task], r.run)
	p.seq++
	_, checkpoint := r.progress()
	p.ends = append(p.ends, w.End{Seq: p.seq, Task: r.task, Run: r.run, How: how, Checkpoint: checkpoint})
	p.c.checkEnd(r)
	p.c.logf("%v ends on %s as run %d: %v", r.task, p.id, r.run, how)
	close(p.ended)
	p.ended = make(chan struct{})
}

func (p *simProcess) stop(task w.TaskID, run w.RunID, epoch w.Epoch) {
	if epoch < p.epoch {
		return
	}
	p.epoch, p.highest[task] = epoch, max(p.highest[task], run)
	if r := p.runs[task]; r != nil && r.run <= run && !r.stopping {
		r.stopping = true
		p.c.after(time.Duration(p.c.rng.Int64N(int64(simStopTimeout))), func() {
			if p.runs[task] == r {
				p.end(r, w.EndedStopped)
			}
		})
	}
}

// hold extends the lease and drops the acknowledged ends.
func (p *simProcess) hold(req *executor.HoldRequest) bool {
	if req.Epoch < p.epoch {
		return false
	}
	p.epoch = req.Epoch
	p.extend(req.Deadline)
	p.ends = slices.DeleteFunc(p.ends, func(e w.End) bool {
		if e.Seq <= req.AckCursor && e.How == w.EndedDone && e.Seq > p.lapsedSeq {
			p.c.acked[p.c.unit(e.Task)] = true
		}
		return e.Seq <= req.AckCursor
	})
	return true
}

func (p *simProcess) list() executor.HoldReply {
	out := executor.HoldReply{Clock: p.clock(), Incarnation: w.Incarnation(p.bootedAt.UnixMilli()), Ends: slices.Clone(p.ends)}
	for _, r := range p.runs {
		if !r.stopping || !p.c.sc.hideStopping {
			percent, checkpoint := r.progress()
			out.Runs = append(out.Runs, w.Run{Task: r.task, Run: r.run, Checkpoint: checkpoint, Percent: percent})
		}
	}
	return out
}

var (
	errSimLost     = errors.New("no answer")
	errSimRefused  = fmt.Errorf("refused: %w: %w", executor.ErrClosed, executor.ErrNotSent)
	errSimReset    = fmt.Errorf("reset: %w", executor.ErrClosed)
	errSimShed     = errors.New("status 503")
	errSimMismatch = fmt.Errorf("status 421: %w", executor.ErrOtherTarget)
)

// simClient makes the calls of one instance to the targets.
type simClient struct {
	c *cosim
	h *simHost
}

// loses reports whether a message between the instance and a machine is lost now.
func (s simClient) loses(m *simMachine) bool {
	now := time.Now()
	return now.Before(m.silentUntil) || now.Before(s.c.cuts[[2]int{s.h.index, m.index}]) || (now.Before(m.lossUntil) && s.c.rng.IntN(4) == 0)
}

// send carries a request to the process at an address. do is called with the lock held,
// possibly after send has returned.
func (s simClient) send(ctx context.Context, t executor.Target, do func(p *simProcess)) (*simProcess, error) {
	c := s.c
	s.h.waitPause()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[slices.IndexFunc(c.machines, func(m *simMachine) bool { return m.name == t.Address })]
	p, lost := m.process, s.loses(m)
	shed := time.Now().Before(m.shedUntil) && c.rng.IntN(2) == 0
	if lost && ctx.Err() == nil && c.sc.on("late") && c.rng.IntN(2) == 0 {
		c.after(c.duration(0, 8000), func() {
			if q := m.process; q != nil && q.id == t.ID {
				do(q)
			}
		})
	}
	c.mu.Unlock()
	if lost || (p == nil && !m.refuses) {
		<-ctx.Done()
	} else {
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	switch {
	case lost, ctx.Err() != nil:
		return nil, errSimLost
	case p == nil:
		return nil, errSimRefused
	case m.process != p:
		return nil, errSimReset
	case p.id != t.ID:
		return nil, errSimMismatch
	case shed:
		return nil, errSimShed
	}
	do(p)
	return p, nil
}

// answer carries the answer to a request back.
func (s simClient) answer(ctx context.Context, p *simProcess) error {
	defer s.h.waitPause()
	s.c.mu.Lock()
	lost, d := s.loses(p.machine), time.Millisecond
	if time.Now().Before(p.machine.slowUntil) {
		d = s.c.duration(1, 900)
	}
	s.c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errSimLost
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errSimLost
	case <-p.dead:
		return errSimReset
	}
}

func (s simClient) Start(ctx context.Context, t executor.Target, req *executor.StartRequest) (executor.Reply, error) {
	sent, reply := time.Now(), make(chan executor.Reply, 1)
	p, err := s.send(ctx, t, func(p *simProcess) { reply <- executor.Reply{Outcome: p.start(req, sent), Clock: p.clock()} })
	switch {
	case errors.Is(err, errSimMismatch):
		return executor.Reply{Outcome: linker.IncarnationMismatch}, nil
	case errors.Is(err, errSimShed):
		return executor.Reply{Outcome: linker.TargetUnavailable}, nil
	case err != nil:
		return executor.Reply{}, err
	}
	return <-reply, s.answer(ctx, p)
}

func (s simClient) Stop(ctx context.Context, t executor.Target, task w.TaskID, run w.RunID, epoch w.Epoch) (executor.Reply, error) {
	p, err := s.send(ctx, t, func(p *simProcess) { p.stop(task, run, epoch) })
	switch {
	case errors.Is(err, errSimMismatch):
		return executor.Reply{Outcome: linker.IncarnationMismatch}, nil
	case err != nil:
		return executor.Reply{}, err
	}
	return executor.Reply{}, s.answer(ctx, p)
}

func (s simClient) Hold(ctx context.Context, t executor.Target, req *executor.HoldRequest) (out executor.HoldReply, err error) {
	sent, held, accepted := time.Now(), *req, make(chan bool, 1)
	p, err := s.send(ctx, t, func(p *simProcess) {
		old := sent.Before(p.bootedAt)
		if old && (held.Deadline > 0 || held.AckCursor > 0) {
			p.c.logf("target %s gets a hold request from before its start: deadline %d, cursor %d", p.id, held.Deadline, held.AckCursor)
		}
		if old && !s.c.sc.oldCursors {
			held.AckCursor = 0
		}
		accepted <- (s.c.sc.oldHolds || !old) && p.hold(&held)
	})
	if err != nil {
		return out, err
	}
	if !<-accepted {
		return out, errors.New("status 409")
	}
	until := time.After(req.Wait)
	for wait := req.Wait > 0; wait; {
		s.c.mu.Lock()
		ended, some := p.ended, len(p.ends) > 0
		s.c.mu.Unlock()
		if some {
			break
		}
		select {
		case <-ended:
		case <-until:
			wait = false
		case <-p.dead:
			return out, errSimReset
		case <-ctx.Done():
			return out, errSimLost
		}
	}
	s.c.mu.Lock()
	out = p.list()
	s.c.mu.Unlock()
	return out, s.answer(ctx, p)
}

func (simClient) Advise(context.Context, string, []w.TargetID) ([]executor.Ticket, error) {
	return nil, errSimLost
}
