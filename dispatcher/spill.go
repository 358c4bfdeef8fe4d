package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

// An owner that has no room offers a request to another instance of its data
// centre, the host. The host queues it like its own work. When its scheduler has
// found targets, the host asks the owner to confirm, and only then starts the
// tasks. Until the confirmation the request still waits at the owner, which may
// start or refuse it itself, so the owner alone decides where it runs. The host
// counts the owner's grant from the moment it sent the question.

// OfferRequest offers a waiting request to a host.
type OfferRequest struct {
	Owner       descriptor.InstanceID   `json:"owner"`
	Request     descriptor.Request      `json:"request"`
	RemainingMs int64                   `json:"remainingMs"`
	Avoid       []descriptor.TargetID   `json:"avoid,omitempty"`
	Resume      bool                    `json:"resume,omitempty"`
	DataCentre  descriptor.DataCentreID `json:"dataCentre"`
}

// OfferReply says whether the host has queued the request.
type OfferReply struct {
	Accepted bool              `json:"accepted"`
	Reason   descriptor.Reason `json:"reason,omitempty"`
}

// ConfirmRequest asks the owner whether the tasks may be started.
type ConfirmRequest struct {
	Key     descriptor.Key        `json:"key"`
	Host    descriptor.InstanceID `json:"host"`
	Targets []descriptor.TargetID `json:"targets"` // by task index
}

// ConfirmReply permits the start within the owner's grant.
type ConfirmReply struct {
	OK      bool               `json:"ok"`
	Epoch   descriptor.Epoch   `json:"epoch"`
	Attempt descriptor.Attempt `json:"attempt"`
	// RemainingMs is how long the owner's grant holds, from the send of the
	// question on.
	RemainingMs int64 `json:"remainingMs"`
}

// ReportRequest tells the owner what became of tasks that a host started.
type ReportRequest struct {
	Tasks []connector.ListedTask `json:"tasks,omitempty"`
	// NotStarted lists tasks that surely did not start, and Lost those that ended
	// without a result; only task and key are set.
	NotStarted []connector.ListedTask `json:"notStarted,omitempty"`
	Lost       []connector.ListedTask `json:"lost,omitempty"`
}

// ReportReply is empty.
type ReportReply struct{}

// PeerLoad is how busy another instance of the data centre says it is.
type PeerLoad struct {
	ID           descriptor.InstanceID
	FreeFraction float64
	Queued       int
}

const (
	// spillFree is the free fraction of a host's capacity below which nothing is
	// offered to it. Heartbeats are some hundred milliseconds old, so an almost
	// full host is probably full.
	spillFree = 0.1
	// maxOffered bounds the requests that wait only at hosts.
	maxOffered = 4096
	// offerTimeout bounds the calls between owner and host.
	offerTimeout = time.Second
	// offerInterval is the time between two rounds of offers of a request that
	// can't run on the owner's own targets.
	offerInterval = 200 * time.Millisecond
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

// hosts returns the instances that may have room, the freest first.
func (d *Dispatcher) hosts() []PeerLoad {
	if d.cfg.Loads == nil {
		return nil
	}
	loads := slices.DeleteFunc(d.cfg.Loads(), func(l PeerLoad) bool {
		return l.ID == d.cfg.Self || l.FreeFraction < spillFree || l.Queued > 0
	})
	slices.SortFunc(loads, func(a, b PeerLoad) int { return cmp.Compare(b.FreeFraction, a.FreeFraction) })
	return loads
}

// fitsElsewhere reports whether the listed targets of the whole data centre
// could hold the request, though those of this instance can't.
func (d *Dispatcher) fitsElsewhere(r *descriptor.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	room := 0
	for _, t := range d.listed {
		one := r.Resources
		for free := t.Capacity; one.Fits(free) && room < r.Tasks; free = free.Sub(one) {
			room++
		}
	}
	return room >= r.Tasks
}

// spillable reports whether a request that the own scheduler refused may still
// run on the targets of another instance.
func (d *Dispatcher) spillable(r *descriptor.Request, f *descriptor.Refusal) bool {
	switch f.Reason {
	case descriptor.ReasonNoTargets, descriptor.ReasonNeverFits:
		return len(d.otherOwners()) > 0 && d.fitsElsewhere(r)
	case descriptor.ReasonQueueFull, descriptor.ReasonDeadlineUnmet:
		return len(d.hosts()) > 0
	}
	return false
}

// spill offers a request that the own scheduler refused to others, until one has
// taken it or its deadline is near. A refusal for lack of time is final after
// one round, since waiting only makes it worse.
func (d *Dispatcher) spill(r *record, refusal descriptor.Refusal) {
	if d.offered.Add(1) > maxOffered {
		d.offered.Add(-1)
		d.refuse(r, refusal)
		return
	}
	defer d.offered.Add(-1)
	r.mu.Lock()
	r.spilled, r.offering = true, true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.offering = false
		r.mu.Unlock()
	}()
	once := refusal.Reason == descriptor.ReasonQueueFull || refusal.Reason == descriptor.ReasonDeadlineUnmet
	latest := r.request.Deadline.Add(-r.request.DeclaredRun)
	accepted := false
	for {
		taken, fitsNowhere := d.offer(r)
		accepted = accepted || taken
		if !accepted && (once || (fitsNowhere && refusal.Reason == descriptor.ReasonNeverFits)) {
			break
		}
		select {
		case <-r.done:
			return
		case <-d.ctx.Done():
			return
		case <-d.cfg.Clock.After(offerInterval):
		}
		if r.inFlight() {
			continue
		}
		if d.cfg.Clock.Now().After(latest) {
			refusal = descriptor.Refusal{Reason: descriptor.ReasonDeadlinePassed, RetryAfter: time.Second, Detail: "no instance had room in time"}
			break
		}
	}
	d.refuse(r, refusal)
}

// inFlight reports whether an attempt is running.
func (r *record) inFlight() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isDone() && len(r.tasks) > 0 && !r.settled()
}

// offerIfBusy offers a request that waits in the own queue to a free host.
func (d *Dispatcher) offerIfBusy(r *record) {
	if d.cfg.Scheduler.Load().Queued == 0 || len(d.hosts()) == 0 {
		return
	}
	d.wg.Go(func() { d.offer(r) })
}

// offer makes one round of offers. It reports whether a host has queued the
// request, and else whether all other instances have said that it never fits
// onto their targets.
func (d *Dispatcher) offer(r *record) (accepted, fitsNowhere bool) {
	r.mu.Lock()
	if r.isDone() || r.cancelled {
		r.mu.Unlock()
		return false, false
	}
	req := OfferRequest{
		Owner: d.cfg.Self, Request: *r.request, DataCentre: d.cfg.DataCentre, Resume: r.resume,
		RemainingMs: r.request.Deadline.Sub(d.cfg.Clock.Now()).Milliseconds(), Avoid: r.avoid,
	}
	r.mu.Unlock()
	neverFits := 0
	for _, h := range d.hosts() {
		ctx, cancel := context.WithTimeout(d.ctx, offerTimeout)
		reply, err := d.cfg.Peers.Offer(ctx, h.ID, req)
		cancel()
		if err == nil && reply.Accepted {
			d.cfg.Scope.Counter("offers_accepted").Inc(1)
			return true, false
		}
		reason := "unreachable"
		if err == nil {
			reason = reply.Reason.String()
		}
		if err == nil && reply.Reason == descriptor.ReasonNeverFits {
			neverFits++
		}
		d.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("offers_declined").Inc(1)
	}
	return false, neverFits == len(d.cfg.Loads())
}

// HandleOffer queues a request of another instance if there is room for it.
func (d *Dispatcher) HandleOffer(o OfferRequest) OfferReply {
	if d.isDraining() || o.DataCentre != d.cfg.DataCentre || o.RemainingMs <= 0 {
		return OfferReply{Reason: descriptor.ReasonShuttingDown}
	}
	req := o.Request
	req.Arrived = d.cfg.Clock.Now()
	req.Deadline = req.Arrived.Add(time.Duration(o.RemainingMs) * time.Millisecond)
	g := &guest{owner: o.Owner, request: &req, resume: o.Resume, ids: map[descriptor.TaskID]bool{}}
	if !d.guests.add(req.Key, g) {
		return OfferReply{Accepted: true}
	}
	if refusal := d.cfg.Scheduler.Submit(&req); refusal != nil {
		d.guests.remove(req.Key, g)
		return OfferReply{Reason: refusal.Reason}
	}
	return OfferReply{Accepted: true}
}

// HandleConfirm decides whether a host may start a request. The own scheduler
// must still hold it as waiting, or not hold it at all, and no attempt may be
// running.
func (d *Dispatcher) HandleConfirm(c ConfirmRequest) ConfirmReply {
	r := d.record(c.Key)
	if r == nil || len(c.Targets) != r.request.Tasks || (r.claim != nil && !r.claimWon()) {
		return ConfirmReply{}
	}
	grant, ok := d.cfg.Owners.Grant(c.Key.Slice())
	if !ok || d.isDraining() {
		return ConfirmReply{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone() || r.cancelled || r.recovered || !r.settled() {
		return ConfirmReply{}
	}
	if !r.spilled && !d.cfg.Scheduler.Cancel(c.Key) {
		return ConfirmReply{} // the own scheduler is starting it
	}
	r.spilled = true
	r.placed = 0
	d.beginAttempt(r, grant.Epoch, c.Targets)
	d.cfg.Scope.Counter("spills").Inc(1)
	return ConfirmReply{
		OK: true, Epoch: grant.Epoch, Attempt: r.attempt,
		RemainingMs: grant.Until.Sub(d.cfg.Clock.Now()).Milliseconds(),
	}
}

// claimWon reports whether the claim is known to be won.
func (r *record) claimWon() bool {
	select {
	case <-r.claim.done:
		return r.claim.err == nil && r.claim.won
	default:
		return false
	}
}

// requeueSpilled puts a request that ended at a host without a result back into
// the own queue, or offers it again if there is no place for it.
func (d *Dispatcher) requeueSpilled(r *record) {
	refusal := d.cfg.Scheduler.Submit(r.request)
	switch {
	case refusal == nil:
		r.mu.Lock()
		r.spilled = false
		r.mu.Unlock()
	case d.spillable(r.request, refusal):
		d.wg.Go(func() { d.spill(r, *refusal) })
	default:
		d.refuse(r, *refusal)
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
