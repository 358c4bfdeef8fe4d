package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// SliceTasksRequest asks an owner of targets for all tasks whose keys lie in the
// given slices.
type SliceTasksRequest struct {
	Slices []descriptor.SliceID `json:"slices"`
}

// SliceTasksReply lists the tasks. Covered names the slices whose targets the
// list is complete for: the sender owns them and has read their targets' lists.
type SliceTasksReply struct {
	Covered []descriptor.SliceID `json:"covered"`
	Tasks   []foundTask          `json:"tasks"`
}

// HandleSliceTasks answers another instance from what this one knows of the
// targets that it owns. The grants are checked after the tasks were collected,
// so a deposed owner covers nothing.
func (d *Dispatcher) HandleSliceTasks(req SliceTasksRequest) SliceTasksReply {
	var wanted [descriptor.SliceCount]bool
	for _, s := range req.Slices {
		if s < descriptor.SliceCount {
			wanted[s] = true
		}
	}
	d.mu.Lock()
	known := d.listKnown
	var incomplete [descriptor.SliceCount]bool
	for id := range d.listed {
		if _, ok := d.workers[id]; !ok {
			incomplete[id.Slice()] = true
		}
	}
	d.mu.Unlock()
	reply := SliceTasksReply{Covered: []descriptor.SliceID{}, Tasks: []foundTask{}}
	for _, w := range d.ownWorkers() {
		found, synced := w.report(&wanted)
		reply.Tasks = append(reply.Tasks, found...)
		if !synced {
			incomplete[w.target.ID.Slice()] = true
		}
	}
	if !known || d.guests.confirmingIn(&wanted) {
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

// recover asks the owners of all targets of the data centre for the tasks of the
// slices that were gained, until each owner has answered.
func (d *Dispatcher) recover() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.recoverNow:
		case <-d.cfg.Clock.After(200 * time.Millisecond):
		}
		wanted := d.recovering()
		if len(wanted) == 0 {
			continue
		}
		d.applyReport(wanted, d.HandleSliceTasks(SliceTasksRequest{Slices: wanted}))
		var wg sync.WaitGroup
		for _, owner := range d.otherOwners() {
			wg.Go(func() {
				if reply, err := d.askOwner(owner, wanted); err == nil {
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

// recovering returns the owned slices that are not recovered, once no order of
// their earlier owners can start any more.
func (d *Dispatcher) recovering() []descriptor.SliceID {
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

// otherOwners returns the last known owners of the slices of others.
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

func (d *Dispatcher) askOwner(owner descriptor.InstanceID, wanted []descriptor.SliceID) (SliceTasksReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	reply, err := d.cfg.Peers.SliceTasks(ctx, owner, SliceTasksRequest{Slices: wanted})
	if err != nil {
		d.cfg.Scope.Counter("recovery_errors").Inc(1)
		d.cfg.Log.Debug("dispatcher: owner did not report its tasks", "instance", owner, "error", err)
	}
	return reply, err
}

// applyReport adds a report to the slices that are being recovered.
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
					sh.found[t.Key] = append(sh.found[t.Key], t)
				}
			}
		}
		sh.mu.Unlock()
	}
}

// finishRecovery builds the records of a slice once all targets are covered, and
// returns their number.
func (d *Dispatcher) finishRecovery(s descriptor.SliceID) (int, bool) {
	sh := &d.shards[s]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.owned || sh.recovered || slices.Contains(sh.covered[:], false) {
		return 0, false
	}
	now := d.cfg.Clock.Now()
	for key, found := range sh.found {
		r := d.restore(key, found, now)
		if r == nil {
			sh.ran[key] = now
			continue
		}
		sh.records[key] = r
		if r.isDone() {
			sh.past = append(sh.past, r)
		}
	}
	sh.found = nil
	sh.recovered = true
	close(sh.ready)
	return len(sh.records), true
}

// restore builds the record of a request from its tasks. It returns nil if
// nothing of the request runs and it may run again.
func (d *Dispatcher) restore(key descriptor.Key, found []foundTask, now time.Time) *record {
	last := lastAttempt(found)
	first := last[0]
	r := newRecord(&descriptor.Request{
		Key: key, Kind: first.Kind, Idempotent: first.Idempotent, Tasks: first.Of,
		Resources: first.Resources, Arrived: now,
	})
	if r.claim != nil {
		// It has been started, so its claim was won by an earlier owner.
		r.claim.won = true
		close(r.claim.done)
	}
	r.recovered = true
	r.attempt = first.Attempt
	r.markRan()
	for _, t := range last {
		state := runRunning
		switch {
		case t.Pending:
			state = runPending
		case t.State.Ended():
			state = runEnded
		}
		r.tasks = append(r.tasks, taskRun{id: t.Task, target: t.Target, state: state, listed: t.ListedTask})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.settled() {
		if len(r.tasks) < first.Of {
			d.stopTasks(r.tasks)
		}
		return r
	}
	v, _ := d.judgeRestored(r, first.Of)
	if v != verdictDone {
		return nil
	}
	return r
}

// judgeRestored sets the outcome of a request whose tasks have all ended. It
// needs r.mu.
func (d *Dispatcher) judgeRestored(r *record, of int) (verdict, string) {
	if len(r.tasks) == of {
		return d.judge(r)
	}
	if r.request.Idempotent {
		return verdictResend, ""
	}
	r.finish(r.started.Fail(d.runOf(r, "only a part of the tasks was started")), d.cfg.Clock.Now())
	return verdictDone, ""
}

// lastAttempt returns the tasks of the latest attempt in the order of their
// index, each once. A report that shows a task as ended is the newer one.
func lastAttempt(found []foundTask) []foundTask {
	later := func(a, b foundTask) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Attempt, b.Attempt))
	}
	newest := slices.MaxFunc(found, later)
	byIndex := map[int]foundTask{}
	for _, t := range found {
		if later(t, newest) != 0 {
			continue
		}
		old, ok := byIndex[t.Index]
		if !ok || old.Pending || (t.State.Ended() && !t.Pending) {
			byIndex[t.Index] = t
		}
	}
	tasks := make([]foundTask, 0, len(byIndex))
	for _, t := range byIndex {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b foundTask) int { return cmp.Compare(a.Index, b.Index) })
	return tasks
}

// followForeign asks the owners of targets for tasks of our requests that run on
// targets of others, as after a change of owner.
func (d *Dispatcher) followForeign() {
	for d.sleep(500 * time.Millisecond) {
		foreign := d.foreignTasks()
		for owner, tasks := range foreign {
			var wanted []descriptor.SliceID
			for _, t := range tasks {
				if s := t.listed.Key.Slice(); !slices.Contains(wanted, s) {
					wanted = append(wanted, s)
				}
			}
			if reply, err := d.askOwner(owner, wanted); err == nil {
				d.applyForeign(tasks, reply)
			}
		}
	}
}

// foreignTasks returns the unsettled tasks on targets of other instances, by
// their last known owner.
func (d *Dispatcher) foreignTasks() map[descriptor.InstanceID][]taskRun {
	foreign := map[descriptor.InstanceID][]taskRun{}
	for i := range d.shards {
		sh := &d.shards[i]
		sh.mu.Lock()
		for key, r := range sh.records {
			if !r.isDone() {
				d.collectForeign(key, r, foreign)
			}
		}
		sh.mu.Unlock()
	}
	return foreign
}

func (d *Dispatcher) collectForeign(key descriptor.Key, r *record, foreign map[descriptor.InstanceID][]taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		if t.state.settled() || d.worker(t.target) != nil {
			continue
		}
		owner, _, ok := d.cfg.Owners.Owner(t.target.Slice())
		if ok && owner != d.cfg.Self {
			t.listed.Key = key
			foreign[owner] = append(foreign[owner], t)
		}
	}
}

// applyForeign settles tasks from the report of their target's owner. A task
// that a complete report lacks never started, or has been forgotten.
func (d *Dispatcher) applyForeign(tasks []taskRun, reply SliceTasksReply) {
	reported := map[descriptor.TaskID]foundTask{}
	for _, t := range reply.Tasks {
		reported[t.Task] = t
	}
	for _, t := range tasks {
		found, ok := reported[t.id]
		switch {
		case ok && found.Pending:
		case ok && found.State == descriptor.TaskExpired && found.EndedMs == 0:
			d.settle(t.listed.Key, t.id, runEnded)
		case ok:
			d.observe(found.ListedTask)
		case slices.Contains(reply.Covered, t.target.Slice()):
			s := runEnded
			if t.state == runPending {
				s = runNotStarted
			}
			d.settle(t.listed.Key, t.id, s)
		}
	}
}
