package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
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
	// An earlier owner may have offered the same request.
	d.cfg.Scheduler.Cancel(req.Key)
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
