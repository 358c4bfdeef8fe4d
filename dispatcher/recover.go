package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// SliceTasksRequest asks an owner of targets for all tasks whose request keys are
// in the given slices.
type SliceTasksRequest struct {
	Slices []descriptor.SliceID `json:"slices"`
}

// SliceTasksReply lists the tasks. The list is complete for the targets in the
// slices in Covered: the sender owns these slices and has read the task lists of
// their targets.
type SliceTasksReply struct {
	Covered []descriptor.SliceID `json:"covered"`
	Tasks   []reportedTask       `json:"tasks"`
}

// HandleSliceTasks returns the requested tasks on the targets that this instance
// owns. The grants are checked after the tasks are collected, so a deposed owner
// covers nothing.
func (d *Dispatcher) HandleSliceTasks(req SliceTasksRequest) SliceTasksReply {
	var wanted [descriptor.SliceCount]bool
	for _, s := range req.Slices {
		if s < descriptor.SliceCount {
			wanted[s] = true
		}
	}
	// Check this before the workers are read: the tasks of a start that is in
	// progress now may be recorded after their worker was read. The sender of the
	// request does not know of a start that begins later.
	starting := d.hosted.anyConfirming(&wanted)
	d.mu.Lock()
	known := d.directoryRead
	var incomplete [descriptor.SliceCount]bool
	for id := range d.listedTargets {
		if _, ok := d.workers[id]; !ok {
			incomplete[id.Slice()] = true
		}
	}
	d.mu.Unlock()
	reply := SliceTasksReply{Covered: []descriptor.SliceID{}, Tasks: []reportedTask{}}
	for _, w := range d.allWorkers() {
		found, synced := w.tasksInSlices(&wanted)
		reply.Tasks = append(reply.Tasks, found...)
		if !synced {
			incomplete[w.target.ID.Slice()] = true
		}
	}
	if !known || starting || d.hosted.anyConfirming(&wanted) {
		return reply
	}
	now := d.cfg.Clock.Now()
	for i := range d.shards {
		s := descriptor.SliceID(i)
		_, safeFrom, owned := d.shards[i].ownership()
		if _, ok := d.cfg.Owners.Grant(s); ok && owned && !incomplete[i] && !now.Before(safeFrom) {
			reply.Covered = append(reply.Covered, s)
		}
	}
	return reply
}

// recoveryLoop recovers acquired slices. It requests their tasks from the owners
// of all targets of the data centre until every target slice is covered.
func (d *Dispatcher) recoveryLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.recoverySignal:
		case <-d.cfg.Clock.After(200 * time.Millisecond):
		}
		wanted := d.slicesToRecover()
		if len(wanted) == 0 {
			continue
		}
		d.applyReport(wanted, d.HandleSliceTasks(SliceTasksRequest{Slices: wanted}))
		var wg sync.WaitGroup
		for _, owner := range d.otherOwners() {
			wg.Go(func() {
				if reply, err := d.requestSliceTasks(owner, wanted); err == nil {
					d.applyReport(wanted, reply)
				}
			})
		}
		wg.Wait()
		recovered, requests := 0, 0
		for _, s := range wanted {
			if n, ok := d.finishRecovery(s); ok {
				recovered++
				requests += n
			}
		}
		if recovered > 0 {
			d.cfg.Log.Info("dispatcher: slices recovered", "slices", recovered, "requests", requests, "left", len(wanted)-recovered)
		}
	}
}

// slicesToRecover returns the owned slices that are not recovered yet and for
// which no start order of an earlier owner can take effect any more.
func (d *Dispatcher) slicesToRecover() []descriptor.SliceID {
	now := d.cfg.Clock.Now()
	var wanted []descriptor.SliceID
	for i := range d.shards {
		sh := &d.shards[i]
		sh.mu.Lock()
		if sh.owned && !sh.recovered && !now.Before(sh.safeFrom) {
			wanted = append(wanted, sh.slice)
		}
		sh.mu.Unlock()
	}
	return wanted
}

// otherOwners returns the last known owners of the slices that this instance does
// not own.
func (d *Dispatcher) otherOwners() []descriptor.InstanceID {
	var owners []descriptor.InstanceID
	for i := range d.shards {
		id, _, ok := d.cfg.Owners.Owner(descriptor.SliceID(i))
		if ok && id != d.cfg.Self && !slices.Contains(owners, id) {
			owners = append(owners, id)
		}
	}
	return owners
}

func (d *Dispatcher) requestSliceTasks(owner descriptor.InstanceID, wanted []descriptor.SliceID) (SliceTasksReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	reply, err := d.cfg.Peers.SliceTasks(ctx, owner, SliceTasksRequest{Slices: wanted})
	if err != nil {
		d.cfg.Scope.Counter("recovery_errors").Inc(1)
		d.cfg.Log.Debug("dispatcher: failed to get tasks from owner", "instance", owner, "error", err)
	}
	return reply, err
}

// applyReport merges a reply into the slices that are being recovered.
func (d *Dispatcher) applyReport(wanted []descriptor.SliceID, reply SliceTasksReply) {
	for _, s := range wanted {
		sh := &d.shards[s]
		sh.mu.Lock()
		if sh.owned && !sh.recovered {
			for _, c := range reply.Covered {
				if c < descriptor.SliceCount {
					sh.covered[c] = true
				}
			}
			for _, t := range reply.Tasks {
				if t.Key.Slice() == s {
					sh.reportedTasks[t.Key] = append(sh.reportedTasks[t.Key], t)
				}
			}
		}
		sh.mu.Unlock()
	}
}

// finishRecovery builds the records of a slice once all target slices are covered.
// It returns the number of records, and false if the slice is not recovered yet.
func (d *Dispatcher) finishRecovery(s descriptor.SliceID) (int, bool) {
	sh := &d.shards[s]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.owned || sh.recovered || slices.Contains(sh.covered[:], false) {
		return 0, false
	}
	now := d.cfg.Clock.Now()
	for key, found := range sh.reportedTasks {
		r := d.restore(key, found, now)
		if r == nil {
			sh.previouslyRun[key] = now
			continue
		}
		sh.records[key] = r
		if r.isDone() {
			sh.finished = append(sh.finished, r)
		}
	}
	sh.reportedTasks = nil
	sh.recovered = true
	close(sh.ready)
	return len(sh.records), true
}

// restore builds the record of a request from its tasks. It returns nil if all
// tasks have ended without an outcome, so that the request may run again.
func (d *Dispatcher) restore(key descriptor.Key, found []reportedTask, now time.Time) *record {
	tasks := latestAttempt(found)
	first := tasks[0]
	r := newRecord(&descriptor.Request{
		Key: key, Kind: first.Kind, Idempotent: first.Idempotent, Tasks: first.TaskCount,
		Resources: first.Resources, Arrived: now,
	})
	if r.claim != nil {
		// The request was started, so an earlier owner won its claim.
		r.claim.won = true
		close(r.claim.done)
	}
	r.recovered = true
	r.attempt = first.Attempt
	r.markStarted()
	for _, t := range tasks {
		state := runRunning
		switch {
		case t.Pending:
			state = runPending
		case t.State.Ended():
			state = runEnded
		}
		r.tasks = append(r.tasks, taskRun{id: t.Task, target: t.Target, state: state, reported: t.ListedTask})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.allTasksTerminal() {
		if len(r.tasks) < first.TaskCount {
			d.stopTasks(r.tasks)
		}
		return r
	}
	action, _ := d.restoredAction(r, first.TaskCount)
	if action != actionFinish {
		return nil
	}
	return r
}

// restoredAction returns the action for a restored request whose tasks have all
// ended, and sets its outcome if there is one. The caller holds r.mu.
func (d *Dispatcher) restoredAction(r *record, taskCount int) (attemptAction, string) {
	if len(r.tasks) == taskCount {
		return d.nextAction(r)
	}
	if r.request.Idempotent {
		return actionResubmit, ""
	}
	r.finish(r.started.Fail(d.describeRun(r, "only a part of the tasks was started")), d.cfg.Clock.Now())
	return actionFinish, ""
}

// latestAttempt returns the tasks of the latest attempt, sorted by index and
// without duplicates. Of two reports of a task, one that shows it as ended is
// newer, and one that is pending is older.
func latestAttempt(found []reportedTask) []reportedTask {
	later := func(a, b reportedTask) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Attempt, b.Attempt))
	}
	newest := slices.MaxFunc(found, later)
	byIndex := map[int]reportedTask{}
	for _, t := range found {
		if later(t, newest) != 0 {
			continue
		}
		old, ok := byIndex[t.Index]
		if !ok || old.Pending || (t.State.Ended() && !t.Pending) {
			byIndex[t.Index] = t
		}
	}
	tasks := make([]reportedTask, 0, len(byIndex))
	for _, t := range byIndex {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b reportedTask) int { return cmp.Compare(a.Index, b.Index) })
	return tasks
}

// pollRemoteTasks polls other owners for tasks of this instance's requests that
// run on their targets, for example after a change of owner.
func (d *Dispatcher) pollRemoteTasks() {
	for d.sleep(500 * time.Millisecond) {
		remote := d.remoteTasks()
		for owner, tasks := range remote {
			var wanted []descriptor.SliceID
			for _, t := range tasks {
				if s := t.reported.Key.Slice(); !slices.Contains(wanted, s) {
					wanted = append(wanted, s)
				}
			}
			if reply, err := d.requestSliceTasks(owner, wanted); err == nil {
				d.applyRemoteReport(tasks, reply)
			}
		}
	}
}

// remoteTasks returns the tasks that may be running on targets of other instances,
// by the last known owner of the target.
func (d *Dispatcher) remoteTasks() map[descriptor.InstanceID][]taskRun {
	remote := map[descriptor.InstanceID][]taskRun{}
	for i := range d.shards {
		sh := &d.shards[i]
		sh.mu.Lock()
		for key, r := range sh.records {
			if !r.isDone() {
				d.collectRemoteTasks(key, r, remote)
			}
		}
		sh.mu.Unlock()
	}
	return remote
}

func (d *Dispatcher) collectRemoteTasks(key descriptor.Key, r *record, remote map[descriptor.InstanceID][]taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		if t.state.terminal() || d.worker(t.target) != nil {
			continue
		}
		owner, _, ok := d.cfg.Owners.Owner(t.target.Slice())
		if ok && owner != d.cfg.Self {
			t.reported.Key = key
			remote[owner] = append(remote[owner], t)
		}
	}
}

// applyRemoteReport updates tasks from the reply of the owner of their targets. A
// task that is missing from a reply that covers its target has never started or is
// no longer known to the target.
func (d *Dispatcher) applyRemoteReport(tasks []taskRun, reply SliceTasksReply) {
	reported := map[descriptor.TaskID]reportedTask{}
	for _, t := range reply.Tasks {
		reported[t.Task] = t
	}
	for _, t := range tasks {
		found, ok := reported[t.id]
		switch {
		case ok && found.Pending:
		case ok && found.State == descriptor.TaskExpired && found.EndedMs == 0:
			d.resolveTask(t.reported.Key, t.id, runEnded)
		case ok:
			d.updateTask(found.ListedTask)
		case slices.Contains(reply.Covered, t.target.Slice()):
			s := runEnded
			if t.state == runPending {
				s = runNotStarted
			}
			d.resolveTask(t.reported.Key, t.id, s)
		}
	}
}
