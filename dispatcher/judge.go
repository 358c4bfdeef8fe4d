package dispatcher

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// attemptAction is the action that follows from the states of an attempt's tasks.
type attemptAction uint8

const (
	actionNone attemptAction = iota
	actionStopOthers
	actionFinish
	actionCancel
	actionRetry
	actionResume
	actionResubmit // recovered work, which has no payload to run again
)

// evaluateAttempt takes the next action on a request once all tasks of the attempt
// have ended. If a task of a gang did not succeed, the other tasks are stopped
// first.
func (d *Dispatcher) evaluateAttempt(r *record, attempt descriptor.Attempt) {
	r.mu.Lock()
	if r.isDone() || r.attempt != attempt || r.evaluated {
		r.mu.Unlock()
		return
	}
	action, reason := d.nextAction(r)
	avoid := r.avoid
	tasks := append([]taskRun(nil), r.tasks...)
	r.mu.Unlock()
	switch action {
	case actionNone:
	case actionStopOthers:
		d.stopTasks(tasks)
	case actionFinish:
		d.finalize(r)
	case actionCancel:
		d.finishCancelled(r)
	case actionRetry, actionResume:
		d.retry(r, reason, avoid)
	case actionResubmit:
		d.finalize(r)
		d.forgetAfterRun(r)
	}
}

// nextAction returns the action that follows from the states of the tasks. It
// sets the outcome if the request has ended, and otherwise returns the reason for
// another attempt. The caller holds r.mu.
func (d *Dispatcher) nextAction(r *record) (attemptAction, string) {
	s := summariseTasks(r.tasks)
	if !r.allTasksTerminal() {
		if s.failed+s.lost+s.stopped+s.notStarted > 0 && len(r.tasks) > 1 {
			return actionStopOthers, ""
		}
		return actionNone, ""
	}
	r.evaluated = true
	ran := s.notStarted < len(r.tasks)
	if !ran && r.firstAttempt {
		r.unstarted = r.started.RevertToUnstarted(descriptor.RejectedByTarget)
		r.started = nil
	}
	switch {
	case r.cancelled:
		return actionCancel, ""
	case !ran && r.recovered:
		r.finish(d.resubmitOutcome(), d.cfg.Clock.Now())
		return actionResubmit, ""
	case !ran:
		return actionRetry, "notStarted"
	case s.completed == len(r.tasks):
		r.finish(r.started.Complete(d.describeRun(r, "")), d.cfg.Clock.Now())
		return actionFinish, ""
	case s.checkpointed > 0 && s.failed+s.lost == 0 && !r.recovered:
		r.resume = true
		return actionResume, "checkpointed"
	}
	return d.actionAfterFailure(r, s)
}

// actionAfterFailure returns the action after an attempt in which at least one
// task ran and did not complete. The caller holds r.mu.
func (d *Dispatcher) actionAfterFailure(r *record, s attemptSummary) (attemptAction, string) {
	r.failures++
	now := d.cfg.Clock.Now()
	if r.request.Idempotent && r.recovered && s.failed == 0 {
		r.finish(d.resubmitOutcome(), now)
		return actionResubmit, ""
	}
	if r.request.Idempotent && !r.recovered && r.failures < d.cfg.MaxAttempts {
		for _, t := range r.tasks {
			if (t.lost && !t.targetMoved) || t.reported.State == descriptor.TaskFailed {
				r.avoid = append(r.avoid, t.target)
			}
		}
		return actionRetry, s.retryReason()
	}
	if s.lost > 0 {
		r.finish(r.started.EndUnknown(d.describeRun(r, "the target could not be reached until the task's lease had expired")), now)
		return actionFinish, ""
	}
	r.finish(r.started.Fail(d.describeRun(r, s.failureDetail())), now)
	return actionFinish, ""
}

// resubmitOutcome is the outcome of recovered idempotent work that has certainly
// ended without a result. Its payload was lost with the earlier owner, so the
// caller has to submit the request again.
func (d *Dispatcher) resubmitOutcome() descriptor.Outcome {
	return descriptor.Undetermined(descriptor.Refusal{
		Reason: descriptor.ReasonRecovering, RetryAfter: 100 * time.Millisecond,
		Detail: "the work ended without a result when its owner failed; send it again",
	})
}

// attemptSummary counts the tasks of an attempt by result.
type attemptSummary struct {
	completed, failed, stopped, checkpointed, lost, notStarted int
	message                                                    string
}

func summariseTasks(tasks []taskRun) attemptSummary {
	var s attemptSummary
	for i := range tasks {
		t := &tasks[i]
		switch {
		case t.state == runNotStarted:
			s.notStarted++
		case t.state != runEnded:
		case t.lost:
			s.lost++
		case t.reported.State == descriptor.TaskCompleted:
			s.completed++
		case t.reported.State == descriptor.TaskFailed:
			s.failed++
			s.message = t.reported.Error
		default:
			s.stopped++
			if t.reported.Checkpointed {
				s.checkpointed++
			}
		}
	}
	return s
}

// retryReason returns the cause of another attempt, a value of the reason tag of
// the retries counter.
func (s attemptSummary) retryReason() string {
	switch {
	case s.failed > 0:
		return "failed"
	case s.lost > 0:
		return "targetLost"
	case s.notStarted > 0:
		return "gangIncomplete"
	}
	return "leaseExpired"
}

func (s attemptSummary) failureDetail() string {
	if s.message != "" {
		return s.message
	}
	return "task ended without completing: " + s.retryReason()
}

// describeRun returns the run of the current attempt. The caller holds r.mu.
func (d *Dispatcher) describeRun(r *record, detail string) descriptor.Run {
	run := descriptor.Run{Detail: detail}
	if len(r.tasks) > 0 {
		run.Target = r.tasks[0].target
		run.Result = combineResults(r.tasks)
	}
	if !r.firstSentAt.IsZero() {
		run.Wait = r.firstSentAt.Sub(r.request.Arrived)
	}
	for _, t := range r.tasks {
		if t.reported.State.Ended() {
			run.Run = max(run.Run, time.Duration(t.reported.EndedMs-t.reported.StartedMs)*time.Millisecond)
		}
	}
	return run
}

// retry queues the request for another attempt.
func (d *Dispatcher) retry(r *record, reason string, avoid []descriptor.TargetID) {
	d.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
	r.mu.Lock()
	spilled, offering := r.spilled, r.offering
	r.mu.Unlock()
	switch {
	case offering:
	case spilled:
		d.requeueSpilled(r)
	default:
		if refusal := d.cfg.Scheduler.Requeue(r.request.Key, avoid); refusal != nil {
			d.refuse(r, *refusal)
		}
	}
}
