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

// hostedRequest is a request that is owned by another instance and waits or runs
// on this one.
type hostedRequest struct {
	owner   descriptor.InstanceID
	request *descriptor.Request
	resume  bool

	// The fields below are guarded by hostedRequests.mu.

	// confirming is set while the owner may have confirmed a start that is not
	// yet known to the workers of the targets.
	confirming      bool
	taskIDs         map[descriptor.TaskID]bool // unfinished tasks that were started here
	unresolvedTasks int
}

// hostedRequests holds the hosted requests by key.
type hostedRequests struct {
	mu    sync.Mutex
	byKey map[descriptor.Key]*hostedRequest
}

func (h *hostedRequests) get(k descriptor.Key) *hostedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byKey[k]
}

// add stores hr under the key. It returns false if the request is already hosted
// for the same owner, or if it may already be starting or running.
func (h *hostedRequests) add(k descriptor.Key, hr *hostedRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.byKey[k]; ok && (old.owner == hr.owner || old.confirming || old.unresolvedTasks > 0) {
		return false
	}
	h.byKey[k] = hr
	return true
}

// removeWaiting removes the hosted requests of a slice that wait for capacity, and
// returns their keys.
func (h *hostedRequests) removeWaiting(s descriptor.SliceID) []descriptor.Key {
	h.mu.Lock()
	defer h.mu.Unlock()
	var keys []descriptor.Key
	for k, hr := range h.byKey {
		if k.Slice() == s && !hr.confirming && hr.unresolvedTasks == 0 {
			keys = append(keys, k)
			delete(h.byKey, k)
		}
	}
	return keys
}

// anyConfirming reports whether a hosted request of one of the given slices may
// be starting.
func (h *hostedRequests) anyConfirming(wanted *[descriptor.SliceCount]bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, hr := range h.byKey {
		if hr.confirming && wanted[k.Slice()] {
			return true
		}
	}
	return false
}

func (h *hostedRequests) setConfirming(hr *hostedRequest, confirming bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hr.confirming = confirming
}

func (h *hostedRequests) remove(k descriptor.Key, hr *hostedRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byKey[k] == hr {
		delete(h.byKey, k)
	}
}

// startHosted starts a placement of a hosted request if its owner confirms it.
func (d *Dispatcher) startHosted(hr *hostedRequest, p scheduler.Placement) {
	key := p.Request.Key
	targets := make([]descriptor.TargetID, len(p.Tasks))
	for _, a := range p.Tasks {
		targets[a.Index] = a.Target
	}
	d.hosted.setConfirming(hr, true)
	defer d.hosted.setConfirming(hr, false)
	sent := d.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(d.ctx, offerTimeout)
	reply, err := d.cfg.Peers.Confirm(ctx, hr.owner, ConfirmRequest{Key: key, Host: d.cfg.Self, Targets: targets})
	cancel()
	if err != nil || !reply.OK {
		// If the owner confirmed but its reply was lost, it learns that nothing
		// was started when it polls for the tasks.
		d.releasePlacement(p)
		d.removeHosted(key, hr)
		return
	}
	until := sent.Add(time.Duration(float64(reply.RemainingMs)*clockDriftFactor) * time.Millisecond)
	d.hosted.mu.Lock()
	hr.unresolvedTasks = len(p.Tasks)
	for i := range p.Tasks {
		hr.taskIDs[descriptor.NewTaskID(key, reply.Epoch, reply.Attempt, i)] = true
	}
	d.hosted.mu.Unlock()
	starts, ok := d.prepareStarts(p, until, func(a placer.Assignment) (connector.StartOrder, bool) {
		return d.buildHostedOrder(hr, p, a, reply), true
	})
	if !ok {
		withdrawStarts(starts, func(s preparedStart) { d.markHostedNotStarted(hr, p, s) })
		return
	}
	d.sendHosted(hr, p, starts)
}

// buildHostedOrder returns the start order of one task of a hosted request.
func (d *Dispatcher) buildHostedOrder(hr *hostedRequest, p scheduler.Placement, a placer.Assignment, c ConfirmReply) connector.StartOrder {
	req := hr.request
	return connector.StartOrder{
		Task: descriptor.NewTaskID(req.Key, c.Epoch, c.Attempt, a.Index), Key: req.Key, Epoch: c.Epoch, Attempt: c.Attempt,
		Index: a.Index, TaskCount: len(p.Tasks), Idempotent: req.Idempotent, Kind: req.Kind, Resources: req.Resources,
		LeaseMs: d.cfg.TaskLease.Milliseconds(), Payload: req.Payload, Resume: hr.resume,
	}
}

// sendHosted sends the start orders of a hosted request.
func (d *Dispatcher) sendHosted(hr *hostedRequest, p scheduler.Placement, starts []preparedStart) {
	var wg sync.WaitGroup
	for _, s := range starts {
		wg.Go(func() {
			if err := d.transmitOrder(s); d.handleStartResult(s.worker, s.order.Task, err) {
				d.markHostedNotStarted(hr, p, s)
			}
		})
	}
	wg.Wait()
}

func (d *Dispatcher) markHostedNotStarted(hr *hostedRequest, p scheduler.Placement, s preparedStart) {
	o := s.order
	d.cfg.Scheduler.Ended(o.Key, p.Attempt, o.Index, s.assignment.Target, scheduler.Result{})
	if d.hosted.removeTask(hr, o.Task) {
		d.finishHostedTask(hr, o.Key, ReportRequest{NotStarted: []connector.ListedTask{{Task: o.Task, Key: o.Key}}})
	}
}

// updateHostedTask reports the end of a hosted task to the owner of its request.
func (d *Dispatcher) updateHostedTask(t connector.ListedTask) {
	if hr := d.hosted.get(t.Key); hr != nil && t.State.Ended() && d.hosted.removeTask(hr, t.Task) {
		d.finishHostedTask(hr, t.Key, ReportRequest{Tasks: []connector.ListedTask{t}})
	}
}

// resolveHostedTask reports to the owner that a hosted task has no result.
func (d *Dispatcher) resolveHostedTask(key descriptor.Key, id descriptor.TaskID, s runState) {
	hr := d.hosted.get(key)
	if hr == nil || !d.hosted.removeTask(hr, id) {
		return
	}
	lost := connector.ListedTask{Task: id, Key: key}
	if s == runNotStarted {
		d.finishHostedTask(hr, key, ReportRequest{NotStarted: []connector.ListedTask{lost}})
		return
	}
	d.finishHostedTask(hr, key, ReportRequest{Lost: []connector.ListedTask{lost}})
}

// removeTask removes a task of a hosted request. It returns false if the task had
// already been removed.
func (h *hostedRequests) removeTask(hr *hostedRequest, id descriptor.TaskID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ok := hr.taskIDs[id]
	delete(hr.taskIDs, id)
	return ok
}

// finishHostedTask reports the end of a task to the owner, and drops the hosted
// request after its last task. The owner polls for the tasks, so a lost report
// only delays the outcome.
func (d *Dispatcher) finishHostedTask(hr *hostedRequest, key descriptor.Key, report ReportRequest) {
	d.hosted.mu.Lock()
	hr.unresolvedTasks--
	last := hr.unresolvedTasks <= 0
	d.hosted.mu.Unlock()
	if last {
		d.removeHosted(key, hr)
	}
	d.wg.Go(func() { d.sendReport(hr.owner, report) })
}

func (d *Dispatcher) sendReport(owner descriptor.InstanceID, report ReportRequest) {
	ctx, cancel := context.WithTimeout(d.ctx, offerTimeout)
	defer cancel()
	if _, err := d.cfg.Peers.Report(ctx, owner, report); err != nil {
		d.cfg.Scope.Counter("reports_lost").Inc(1)
	}
}

func (d *Dispatcher) removeHosted(key descriptor.Key, hr *hostedRequest) {
	d.hosted.remove(key, hr)
	d.cfg.Scheduler.Done(key)
}

// StopRequest asks the owner of a target to stop a task on it.
type StopRequest struct {
	Target descriptor.TargetID `json:"target"`
	Task   descriptor.TaskID   `json:"task"`
}

// StopReply is empty.
type StopReply struct{}

// HandleStop stops a task if this instance owns its target.
func (d *Dispatcher) HandleStop(ctx context.Context, s StopRequest) StopReply {
	if w := d.worker(s.Target); w != nil {
		d.stopTask(ctx, w, s.Task)
	}
	return StopReply{}
}

// expireHosted drops a hosted request that can no longer meet its deadline here.
// The owner enforces the deadline itself.
func (d *Dispatcher) expireHosted(key descriptor.Key) {
	if hr := d.hosted.get(key); hr != nil {
		d.hosted.remove(key, hr)
	}
}

// HandleReport applies the report of a host on tasks that it started.
func (d *Dispatcher) HandleReport(r ReportRequest) ReportReply {
	for _, t := range r.Tasks {
		d.updateTask(t)
	}
	for _, t := range r.NotStarted {
		d.resolveTask(t.Key, t.Task, runNotStarted)
	}
	for _, t := range r.Lost {
		d.resolveTask(t.Key, t.Task, runEnded)
	}
	return ReportReply{}
}
