package dispatcher

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// verdict is what follows when all tasks of an attempt have ended.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictStopRest
	verdictDone
	verdictCancelled
	verdictRetry
	verdictResume
	verdictResend // recovered work that can't be run again from here
)

// conclude decides what follows once no task of the attempt runs any more. When
// a task of a gang did not succeed, the others are stopped first.
func (d *Dispatcher) conclude(r *record, attempt descriptor.Attempt) {
	r.mu.Lock()
	if r.isDone() || r.attempt != attempt || r.concluded {
		r.mu.Unlock()
		return
	}
	v, why := d.judge(r)
	avoid := r.avoid
	rest := append([]taskRun(nil), r.tasks...)
	r.mu.Unlock()
	switch v {
	case verdictNone:
	case verdictStopRest:
		d.stopTasks(rest)
	case verdictDone:
		d.ended(r)
	case verdictCancelled:
		d.finishCancelled(r)
	case verdictRetry, verdictResume:
		d.retry(r, why, avoid)
	case verdictResend:
		d.ended(r)
		d.forgetRan(r)
	}
}

// judge needs r.mu. It sets the outcome if there is one, and else returns the
// reason for another attempt.
func (d *Dispatcher) judge(r *record) (verdict, string) {
	s := summarize(r.tasks)
	if !r.settled() {
		if s.failed+s.lost+s.stopped+s.notStarted > 0 && len(r.tasks) > 1 {
			return verdictStopRest, ""
		}
		return verdictNone, ""
	}
	r.concluded = true
	ran := s.notStarted < len(r.tasks)
	if !ran && r.firstAttempt {
		r.unstarted = r.started.NotRun(descriptor.RejectedByTarget)
		r.started = nil
	}
	switch {
	case r.cancelled:
		return verdictCancelled, ""
	case !ran && r.recovered:
		r.finish(d.resend(), d.cfg.Clock.Now())
		return verdictResend, ""
	case !ran:
		return verdictRetry, "notStarted"
	case s.completed == len(r.tasks):
		r.finish(r.started.Complete(d.runOf(r, "")), d.cfg.Clock.Now())
		return verdictDone, ""
	case s.checkpointed > 0 && s.failed+s.lost == 0 && !r.recovered:
		r.resume = true
		return verdictResume, "checkpointed"
	}
	return d.judgeFailure(r, s)
}

// judgeFailure needs r.mu. At least one task ran and did not complete.
func (d *Dispatcher) judgeFailure(r *record, s summary) (verdict, string) {
	r.failures++
	now := d.cfg.Clock.Now()
	if r.request.Idempotent && r.recovered && s.failed == 0 {
		r.finish(d.resend(), now)
		return verdictResend, ""
	}
	if r.request.Idempotent && !r.recovered && r.failures < d.cfg.MaxAttempts {
		for _, t := range r.tasks {
			if (t.lost && !t.moved) || t.listed.State == descriptor.TaskFailed {
				r.avoid = append(r.avoid, t.target)
			}
		}
		return verdictRetry, s.reason()
	}
	if s.lost > 0 {
		r.finish(r.started.Lose(d.runOf(r, "the target could not be reached until the task's lease had expired")), now)
		return verdictDone, ""
	}
	r.finish(r.started.Fail(d.runOf(r, s.detail())), now)
	return verdictDone, ""
}

// resend is the answer for recovered idempotent work that has surely ended
// without a result. Its payload is gone, so the caller has to send it again.
func (d *Dispatcher) resend() descriptor.Outcome {
	return descriptor.Undetermined(descriptor.Refusal{
		Reason: descriptor.ReasonRecovering, RetryAfter: 100 * time.Millisecond,
		Detail: "the work ended without a result when its owner failed; send it again",
	})
}

// summary counts the tasks of an attempt by what became of them.
type summary struct {
	completed, failed, stopped, checkpointed, lost, notStarted int
	message                                                    string
}

func summarize(tasks []taskRun) summary {
	var s summary
	for i := range tasks {
		t := &tasks[i]
		switch {
		case t.state == runNotStarted:
			s.notStarted++
		case t.state != runEnded:
		case t.lost:
			s.lost++
		case t.listed.State == descriptor.TaskCompleted:
			s.completed++
		case t.listed.State == descriptor.TaskFailed:
			s.failed++
			s.message = t.listed.Error
		default:
			s.stopped++
			if t.listed.Checkpointed {
				s.checkpointed++
			}
		}
	}
	return s
}

// reason names the cause of another attempt for the retry counters.
func (s summary) reason() string {
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

func (s summary) detail() string {
	if s.message != "" {
		return s.message
	}
	return "task ended without completing: " + s.reason()
}

// runOf describes the run of the current attempt. It needs r.mu.
func (d *Dispatcher) runOf(r *record, detail string) descriptor.Run {
	run := descriptor.Run{Detail: detail}
	if len(r.tasks) > 0 {
		run.Target = r.tasks[0].target
		run.Result = combine(r.tasks)
	}
	if !r.firstSent.IsZero() {
		run.Wait = r.firstSent.Sub(r.request.Arrived)
	}
	for _, t := range r.tasks {
		if t.listed.State.Ended() {
			run.Run = max(run.Run, time.Duration(t.listed.EndedMs-t.listed.StartedMs)*time.Millisecond)
		}
	}
	return run
}

// retry puts the request back into the queue.
func (d *Dispatcher) retry(r *record, why string, avoid []descriptor.TargetID) {
	d.cfg.Scope.Tagged(map[string]string{"reason": why}).Counter("retries").Inc(1)
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
