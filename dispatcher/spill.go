package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// An owner without free capacity spills a request over to another instance of its
// data centre, the host: it offers the request, and the host queues it like its
// own requests. Once the scheduler of the host has placed the request, the host
// asks the owner to confirm, and starts the tasks only after that. Until the
// confirmation the request also waits at the owner, which may start or refuse it
// itself, so the owner alone decides where it runs. The host measures the
// remaining time of the owner's grant from the moment at which it sent the
// confirm request.

// OfferRequest offers a waiting request to a host.
type OfferRequest struct {
	Owner       descriptor.InstanceID   `json:"owner"`
	Request     descriptor.Request      `json:"request"`
	RemainingMs int64                   `json:"remainingMs"`
	Avoid       []descriptor.TargetID   `json:"avoid,omitempty"`
	Resume      bool                    `json:"resume,omitempty"`
	DataCentre  descriptor.DataCentreID `json:"dataCentre"`
}

// OfferReply reports whether the host has queued the request.
type OfferReply struct {
	Accepted bool              `json:"accepted"`
	Reason   descriptor.Reason `json:"reason,omitempty"`
}

// ConfirmRequest asks the owner for permission to start the tasks.
type ConfirmRequest struct {
	Key     descriptor.Key        `json:"key"`
	Host    descriptor.InstanceID `json:"host"`
	Targets []descriptor.TargetID `json:"targets"` // by task index
}

// ConfirmReply permits the start of the tasks within the owner's grant if OK is
// set.
type ConfirmReply struct {
	OK      bool               `json:"ok"`
	Epoch   descriptor.Epoch   `json:"epoch"`
	Attempt descriptor.Attempt `json:"attempt"`
	// RemainingMs is the remaining time of the owner's grant. The host counts it
	// from the time at which it sent the request.
	RemainingMs int64 `json:"remainingMs"`
}

// ReportRequest reports to the owner the results of tasks that a host started.
type ReportRequest struct {
	Tasks []connector.ListedTask `json:"tasks,omitempty"`
	// NotStarted lists tasks that certainly did not start, and Lost those that
	// ended without a result. Only the fields Task and Key are set in them.
	NotStarted []connector.ListedTask `json:"notStarted,omitempty"`
	Lost       []connector.ListedTask `json:"lost,omitempty"`
}

// ReportReply is empty.
type ReportReply struct{}

// PeerLoad is the load that another instance of the data centre reports.
type PeerLoad struct {
	ID           descriptor.InstanceID
	FreeFraction float64
	Queued       int
}

const (
	// minFreeFraction is the free fraction of a host's capacity below which no
	// requests are offered to it. Loads come from heartbeats that are some hundred
	// milliseconds old, so an almost full host is probably full by now.
	minFreeFraction = 0.1
	// maxSpilledRequests is the maximum number of requests that are offered to
	// hosts because the local scheduler refused them.
	maxSpilledRequests = 4096
	// offerTimeout is the timeout of calls between owner and host.
	offerTimeout = time.Second
	// offerInterval is the interval between rounds of offers of a request that the
	// local scheduler refused.
	offerInterval = 200 * time.Millisecond
)

// availableHosts returns the instances that may have free capacity, in descending
// order of the free fraction.
func (d *Dispatcher) availableHosts() []PeerLoad {
	if d.cfg.Loads == nil {
		return nil
	}
	loads := slices.DeleteFunc(d.cfg.Loads(), func(l PeerLoad) bool {
		return l.ID == d.cfg.Self || l.FreeFraction < minFreeFraction || l.Queued > 0
	})
	slices.SortFunc(loads, func(a, b PeerLoad) int { return cmp.Compare(b.FreeFraction, a.FreeFraction) })
	return loads
}

// fitsDataCentre reports whether the total capacity of the listed targets of the
// data centre, including those of other instances, is enough for the request.
func (d *Dispatcher) fitsDataCentre(r *descriptor.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	taskCapacity := 0
	for _, t := range d.listedTargets {
		perTask := r.Resources
		for free := t.Capacity; perTask.Fits(free) && taskCapacity < r.Tasks; free = free.Sub(perTask) {
			taskCapacity++
		}
	}
	return taskCapacity >= r.Tasks
}

// canSpill reports whether a request that the local scheduler refused may still
// run on the targets of another instance.
func (d *Dispatcher) canSpill(r *descriptor.Request, f *descriptor.Refusal) bool {
	switch f.Reason {
	case descriptor.ReasonNoTargets, descriptor.ReasonNeverFits:
		return len(d.otherOwners()) > 0 && d.fitsDataCentre(r)
	case descriptor.ReasonQueueFull, descriptor.ReasonDeadlineUnmet:
		return len(d.availableHosts()) > 0
	}
	return false
}

// spill offers a request that the local scheduler refused to other instances until
// it has an outcome or can no longer meet its deadline. If the request was refused
// for a full queue or its deadline, there is only one round of offers unless a
// host accepts, since waiting only reduces the remaining time.
func (d *Dispatcher) spill(r *record, refusal descriptor.Refusal) {
	if d.spilledRequests.Add(1) > maxSpilledRequests {
		d.spilledRequests.Add(-1)
		d.refuse(r, refusal)
		return
	}
	defer d.spilledRequests.Add(-1)
	r.mu.Lock()
	r.spilled, r.offering = true, true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.offering = false
		r.mu.Unlock()
	}()
	singleRound := refusal.Reason == descriptor.ReasonQueueFull || refusal.Reason == descriptor.ReasonDeadlineUnmet
	latestStart := r.request.Deadline.Add(-r.request.DeclaredRun)
	accepted := false
	for {
		taken, fitsNowhere := d.offer(r)
		accepted = accepted || taken
		if !accepted && (singleRound || (fitsNowhere && refusal.Reason == descriptor.ReasonNeverFits)) {
			break
		}
		select {
		case <-r.done:
			return
		case <-d.ctx.Done():
			return
		case <-d.cfg.Clock.After(offerInterval):
		}
		if r.attemptRunning() {
			continue
		}
		if d.cfg.Clock.Now().After(latestStart) {
			refusal = descriptor.Refusal{Reason: descriptor.ReasonDeadlinePassed, RetryAfter: time.Second, Detail: "no instance had room in time"}
			break
		}
	}
	d.refuse(r, refusal)
}

// attemptRunning reports whether the request has no outcome and a task of its
// current attempt may be running.
func (r *record) attemptRunning() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isDone() && len(r.tasks) > 0 && !r.allTasksTerminal()
}

// offerIfQueued offers a request to the available hosts if requests are waiting in
// the local queue.
func (d *Dispatcher) offerIfQueued(r *record) {
	if d.cfg.Scheduler.Load().Queued == 0 || len(d.availableHosts()) == 0 {
		return
	}
	d.wg.Go(func() { d.offer(r) })
}

// offer makes one round of offers. It reports whether a host has queued the
// request and, if not, whether all other instances replied that the request never
// fits their targets.
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
	for _, h := range d.availableHosts() {
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

// HandleOffer queues a request of another instance if the scheduler accepts it.
func (d *Dispatcher) HandleOffer(o OfferRequest) OfferReply {
	if d.isDraining() || o.DataCentre != d.cfg.DataCentre || o.RemainingMs <= 0 {
		return OfferReply{Reason: descriptor.ReasonShuttingDown}
	}
	req := o.Request
	req.Arrived = d.cfg.Clock.Now()
	req.Deadline = req.Arrived.Add(time.Duration(o.RemainingMs) * time.Millisecond)
	hr := &hostedRequest{owner: o.Owner, request: &req, resume: o.Resume, taskIDs: map[descriptor.TaskID]bool{}}
	if !d.hosted.add(req.Key, hr) {
		return OfferReply{Accepted: true}
	}
	// The scheduler may still hold the same request from an earlier owner.
	d.cfg.Scheduler.Cancel(req.Key)
	if refusal := d.cfg.Scheduler.Submit(&req); refusal != nil {
		d.hosted.remove(req.Key, hr)
		return OfferReply{Reason: refusal.Reason}
	}
	return OfferReply{Accepted: true}
}

// HandleConfirm decides whether a host may start a request. No attempt may be
// running, and the request must be either waiting in the local scheduler or not
// in it at all.
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
	if r.isDone() || r.cancelled || r.recovered || !r.allTasksTerminal() {
		return ConfirmReply{}
	}
	if !r.spilled && !d.cfg.Scheduler.Cancel(c.Key) {
		return ConfirmReply{} // the local scheduler has already placed it
	}
	r.spilled = true
	r.schedulerAttempt = 0
	d.beginAttempt(r, grant.Epoch, c.Targets)
	d.cfg.Scope.Counter("spills").Inc(1)
	return ConfirmReply{
		OK: true, Epoch: grant.Epoch, Attempt: r.attempt,
		RemainingMs: grant.Until.Sub(d.cfg.Clock.Now()).Milliseconds(),
	}
}

// claimWon reports whether the claim has been won, without waiting for it.
func (r *record) claimWon() bool {
	select {
	case <-r.claim.done:
		return r.claim.err == nil && r.claim.won
	default:
		return false
	}
}

// requeueSpilled queues a request whose attempt at a host gave no result in the
// local scheduler, or spills it again if the scheduler refuses it.
func (d *Dispatcher) requeueSpilled(r *record) {
	refusal := d.cfg.Scheduler.Submit(r.request)
	switch {
	case refusal == nil:
		r.mu.Lock()
		r.spilled = false
		r.mu.Unlock()
	case d.canSpill(r.request, refusal):
		d.wg.Go(func() { d.spill(r, *refusal) })
	default:
		d.refuse(r, *refusal)
	}
}
