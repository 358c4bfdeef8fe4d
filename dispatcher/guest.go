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

// guest is a request that another instance owns and that waits or runs here.
type guest struct {
	owner   descriptor.InstanceID
	request *descriptor.Request
	resume  bool

	// The fields below are guarded by guests.mu.

	// confirming says that the owner may have confirmed a start of which the
	// targets' workers don't know yet.
	confirming bool
	ids        map[descriptor.TaskID]bool // tasks that were started here
	open       int
}

// guests holds the guests by key.
type guests struct {
	mu    sync.Mutex
	byKey map[descriptor.Key]*guest
}

func (g *guests) get(k descriptor.Key) *guest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byKey[k]
}

// add makes v the guest with the key. It reports false if the same owner's
// request is a guest already, or one that may be starting.
func (g *guests) add(k descriptor.Key, v *guest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.byKey[k]; ok && (old.owner == v.owner || old.confirming || old.open > 0) {
		return false
	}
	g.byKey[k] = v
	return true
}

// takeWaiting removes the guests of a slice that wait for room, and returns their
// keys.
func (g *guests) takeWaiting(s descriptor.SliceID) []descriptor.Key {
	g.mu.Lock()
	defer g.mu.Unlock()
	var keys []descriptor.Key
	for k, v := range g.byKey {
		if k.Slice() == s && !v.confirming && v.open == 0 {
			keys = append(keys, k)
			delete(g.byKey, k)
		}
	}
	return keys
}

// confirmingIn reports whether a guest of one of the slices may be starting.
func (g *guests) confirmingIn(wanted *[descriptor.SliceCount]bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, v := range g.byKey {
		if v.confirming && wanted[k.Slice()] {
			return true
		}
	}
	return false
}

func (g *guests) setConfirming(v *guest, confirming bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.confirming = confirming
}

func (g *guests) remove(k descriptor.Key, v *guest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byKey[k] == v {
		delete(g.byKey, k)
	}
}

// startGuest starts a placement of a guest after its owner has confirmed it.
func (d *Dispatcher) startGuest(g *guest, p scheduler.Placement) {
	key := p.Request.Key
	targets := make([]descriptor.TargetID, len(p.Tasks))
	for _, a := range p.Tasks {
		targets[a.Index] = a.Target
	}
	d.guests.setConfirming(g, true)
	defer d.guests.setConfirming(g, false)
	sent := d.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(d.ctx, offerTimeout)
	reply, err := d.cfg.Peers.Confirm(ctx, g.owner, ConfirmRequest{Key: key, Host: d.cfg.Self, Targets: targets})
	cancel()
	if err != nil || !reply.OK {
		// If the owner confirmed and the answer got lost, it finds out by asking
		// for the tasks.
		d.releaseAll(p)
		d.dropGuest(key, g)
		return
	}
	until := sent.Add(time.Duration(float64(reply.RemainingMs)*driftMargin) * time.Millisecond)
	d.guests.mu.Lock()
	g.open = len(p.Tasks)
	for i := range p.Tasks {
		g.ids[descriptor.NewTaskID(key, reply.Epoch, reply.Attempt, i)] = true
	}
	d.guests.mu.Unlock()
	var wg sync.WaitGroup
	for _, a := range p.Tasks {
		wg.Go(func() { d.sendGuest(g, p, a, reply, until) })
	}
	wg.Wait()
}

// sendGuest sends the start order of one task of a guest.
func (d *Dispatcher) sendGuest(g *guest, p scheduler.Placement, a placer.Assignment, c ConfirmReply, until time.Time) {
	req := g.request
	order := connector.StartOrder{
		Task: descriptor.NewTaskID(req.Key, c.Epoch, c.Attempt, a.Index), Key: req.Key, Epoch: c.Epoch, Attempt: c.Attempt,
		Index: a.Index, Of: len(p.Tasks), Idempotent: req.Idempotent, Kind: req.Kind, Resources: req.Resources,
		LeaseMs: d.cfg.TaskLease.Milliseconds(), Payload: req.Payload, Resume: g.resume,
	}
	w := d.worker(a.Target)
	if w == nil || !w.addPending(order, p.Attempt) {
		d.guestNotStarted(g, p, order, a.Target)
		return
	}
	if err := d.transmit(w, until, &order); d.sent(w, order.Task, err) {
		d.guestNotStarted(g, p, order, a.Target)
	}
}

func (d *Dispatcher) guestNotStarted(g *guest, p scheduler.Placement, o connector.StartOrder, target descriptor.TargetID) {
	d.cfg.Scheduler.Ended(o.Key, p.Attempt, o.Index, target, scheduler.Result{})
	if d.guests.take(g, o.Task) {
		d.guestSettled(g, o.Key, ReportRequest{NotStarted: []connector.ListedTask{{Task: o.Task, Key: o.Key}}})
	}
}

// observeGuest passes the end of a task on to its owner.
func (d *Dispatcher) observeGuest(t connector.ListedTask) {
	if g := d.guests.get(t.Key); g != nil && t.State.Ended() && d.guests.take(g, t.Task) {
		d.guestSettled(g, t.Key, ReportRequest{Tasks: []connector.ListedTask{t}})
	}
}

// settleGuest passes on that a task has no result.
func (d *Dispatcher) settleGuest(key descriptor.Key, id descriptor.TaskID, s runState) {
	g := d.guests.get(key)
	if g == nil || !d.guests.take(g, id) {
		return
	}
	lost := connector.ListedTask{Task: id, Key: key}
	if s == runNotStarted {
		d.guestSettled(g, key, ReportRequest{NotStarted: []connector.ListedTask{lost}})
		return
	}
	d.guestSettled(g, key, ReportRequest{Lost: []connector.ListedTask{lost}})
}

// take removes a task from those that run here. It reports false if it was
// removed before.
func (g *guests) take(v *guest, id descriptor.TaskID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := v.ids[id]
	delete(v.ids, id)
	return ok
}

// guestSettled reports the end of a task to the owner and forgets the guest
// after its last task. A report that gets lost is made up for by the owner, which
// asks for tasks that it misses.
func (d *Dispatcher) guestSettled(g *guest, key descriptor.Key, report ReportRequest) {
	d.guests.mu.Lock()
	g.open--
	last := g.open <= 0
	d.guests.mu.Unlock()
	if last {
		d.dropGuest(key, g)
	}
	d.wg.Go(func() { d.report(g.owner, report) })
}

func (d *Dispatcher) report(owner descriptor.InstanceID, report ReportRequest) {
	ctx, cancel := context.WithTimeout(d.ctx, offerTimeout)
	defer cancel()
	if _, err := d.cfg.Peers.Report(ctx, owner, report); err != nil {
		d.cfg.Scope.Counter("reports_lost").Inc(1)
	}
}

func (d *Dispatcher) dropGuest(key descriptor.Key, g *guest) {
	d.guests.remove(key, g)
	d.cfg.Scheduler.Done(key)
}

// StopRequest asks the owner of a target to stop a task.
type StopRequest struct {
	Target descriptor.TargetID `json:"target"`
	Task   descriptor.TaskID   `json:"task"`
}

// StopReply is empty.
type StopReply struct{}

// HandleStop stops a task on a target that this instance owns.
func (d *Dispatcher) HandleStop(ctx context.Context, s StopRequest) StopReply {
	if w := d.worker(s.Target); w != nil {
		d.stopTask(ctx, w, s.Task)
	}
	return StopReply{}
}

// expireGuest drops a guest that can't make its deadline here any more. Its owner
// follows the deadline itself.
func (d *Dispatcher) expireGuest(key descriptor.Key) {
	if g := d.guests.get(key); g != nil {
		d.guests.remove(key, g)
	}
}

// HandleReport notes what became of tasks at a host.
func (d *Dispatcher) HandleReport(r ReportRequest) ReportReply {
	for _, t := range r.Tasks {
		d.observe(t)
	}
	for _, t := range r.NotStarted {
		d.settle(t.Key, t.Task, runNotStarted)
	}
	for _, t := range r.Lost {
		d.settle(t.Key, t.Task, runEnded)
	}
	return ReportReply{}
}
