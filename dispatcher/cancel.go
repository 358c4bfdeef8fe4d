package dispatcher

import (
	"context"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// Cancel cancels a request. A waiting request ends at once, a running one after
// its tasks have stopped. It returns the same errors as Find.
func (d *Dispatcher) Cancel(ctx context.Context, k descriptor.Key) (Handle, error) {
	h, err := d.Find(ctx, k)
	if err == nil {
		d.cancelRecord(h.r)
	}
	return h, err
}

func (d *Dispatcher) cancelRecord(r *record) {
	r.mu.Lock()
	waiting := d.cfg.Scheduler.Cancel(r.request.Key) || (r.spilled && r.allTasksTerminal())
	r.cancelled = true
	var tasks []taskRun
	switch {
	case r.isDone():
	case waiting && r.unstarted != nil:
		u := r.unstarted
		r.unstarted = nil
		r.finish(u.Cancel(), d.cfg.Clock.Now())
	case waiting:
		// An earlier attempt has run and ended; the next one is still queued.
		s := r.started
		r.started = nil
		r.finish(s.Cancel(descriptor.Run{}), d.cfg.Clock.Now())
	default:
		tasks = append(tasks, r.tasks...)
	}
	done := r.isDone()
	r.mu.Unlock()
	if done {
		d.finalize(r)
		return
	}
	d.stopTasks(tasks)
}

// stopTasks asks the owners of the targets to stop the tasks that may still run.
func (d *Dispatcher) stopTasks(tasks []taskRun) {
	for _, t := range tasks {
		if t.state.terminal() {
			continue
		}
		d.wg.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
			defer cancel()
			if w := d.worker(t.target); w != nil {
				d.stopTask(ctx, w, t.id)
				return
			}
			owner, _, ok := d.cfg.Owners.Owner(t.target.Slice())
			if !ok || owner == d.cfg.Self {
				return
			}
			if _, err := d.cfg.Peers.Stop(ctx, owner, StopRequest{Target: t.target, Task: t.id}); err != nil {
				d.cfg.Log.Warn("dispatcher: failed to stop task", "target", t.target, "task", t.id, "error", err)
			}
		})
	}
}

func (d *Dispatcher) stopTask(ctx context.Context, w *targetWorker, id descriptor.TaskID) {
	if _, err := w.conn.SendDirective(ctx, id, connector.StopTask); err != nil {
		d.cfg.Log.Warn("dispatcher: failed to stop task", "target", w.target.ID, "task", id, "error", err)
	}
}
