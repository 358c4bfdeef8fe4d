package scheduler

import (
	"fmt"
	"time"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/sequencer"
)

const (
	// maxRetryTokens is the number of retry tokens that can accumulate.
	maxRetryTokens = 100
	// noTargetsRetryAfter is the shortest retry delay if there are no targets.
	noTargetsRetryAfter = 2 * time.Second
)

// Submit queues a request or returns the reason of its refusal. It has no effect on
// a request that is already known and not done.
func (s *Scheduler) Submit(r *descriptor.Request) *descriptor.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	rec, known := s.records.get(r.Key)
	if known && !rec.done {
		return nil
	}
	attempt := descriptor.Attempt(0)
	if known {
		attempt = rec.attempt
	}
	s.counters.submitted.Inc(1)
	rec = &Record{req: r, attempt: attempt, arrived: r.Arrived}
	if rec.arrived.IsZero() {
		rec.arrived = now
	}
	if refusal := s.checkFeasible(rec); refusal != nil {
		return s.countRefusal(refusal)
	}
	s.estimate(rec)
	refusal := s.cfg.Admitter.Admit(now, s.admissionCandidate(now, rec))
	s.cfg.CapacityPolicy.Arrived(now, Arrival{
		Share: rec.share, Run: rec.run.Mean, Long: rec.item.Class.Long, Admitted: refusal == nil,
	})
	if refusal != nil {
		return s.countRefusal(refusal)
	}
	s.retryTokens = min(s.retryTokens+s.cfg.RetryBudget, maxRetryTokens)
	s.records.put(r.Key, rec)
	s.enqueue(now, rec)
	return nil
}

func (s *Scheduler) countRefusal(r *descriptor.Refusal) *descriptor.Refusal {
	s.counters.refused[r.Reason].Inc(1)
	return r
}

// checkFeasible refuses a request that can never run, and any request while there
// are no targets.
func (s *Scheduler) checkFeasible(rec *Record) *descriptor.Refusal {
	r := rec.req
	if s.capacity == (descriptor.Resources{}) {
		return &descriptor.Refusal{
			Reason:     descriptor.ReasonNoTargets,
			RetryAfter: noTargetsRetryAfter + time.Duration(s.cfg.Rand.Int64N(int64(noTargetsRetryAfter))),
			Detail:     "no target takes work at the moment",
		}
	}
	if reason := s.cfg.Placer.NeverFits(r); reason != "" {
		return &descriptor.Refusal{Reason: descriptor.ReasonNeverFits, Detail: reason}
	}
	limit := s.rules.Kinds[r.Kind].CapacityLimit
	if share := s.share(rec.totalResources()); limit > 0 && share > limit {
		return &descriptor.Refusal{
			Reason: descriptor.ReasonNeverFits,
			Detail: fmt.Sprintf("the request takes %.3g of the capacity and kind %s is limited to %.3g", share, r.Kind, limit),
		}
	}
	return nil
}

// estimate sets the expected run time, share and class of the request.
func (s *Scheduler) estimate(rec *Record) {
	r := rec.req
	rec.run = s.cfg.Estimator.Estimate(r)
	rec.share = s.share(rec.totalResources())
	rec.queuedWork = rec.expectedWork()
	long := r.Policy == descriptor.Service || s.cfg.CapacityPolicy.IsLong(rec.run.Mean)
	rec.item = sequencer.Item[*Record]{
		Value: rec, Team: r.Team, Caller: r.Caller, Arrived: rec.arrived,
		Class: sequencer.Class{Kind: r.Kind, Priority: r.Priority, Long: long},
	}
}

func (s *Scheduler) admissionCandidate(now time.Time, rec *Record) admitter.Candidate {
	c := s.waiting.caller(rec.req.Caller, s.rules)
	c.offered.add(now, rec.queuedWork)
	k := s.waiting.class(rec.item.Class)
	return admitter.Candidate{
		Request:            rec.req,
		Class:              rec.item.Class,
		RunTime:            rec.run,
		Cost:               rec.backlog(),
		CallerClassBacklog: c.classes[rec.item.Class],
		CallerBacklog:      c.total,
		MaxCallerRequests:  c.limit,
		ClassBacklog:       k.Backlog,
		CallerShare:        s.cfg.Sequencer.Share(rec.req.Team, rec.req.Caller, rec.item.Class),
		CallerOfferedLoad:  c.offered.work / offeredWindow.Seconds(),
		TotalBacklog:       s.waiting.total,
	}
}

func (s *Scheduler) enqueue(now time.Time, rec *Record) {
	s.waiting.add(rec, s.rules)
	s.cfg.Sequencer.Push(&rec.item)
	s.indexDeadlines(now, rec)
	s.signalReady()
}

// indexDeadlines adds the record to the boost and expiry indexes.
func (s *Scheduler) indexDeadlines(now time.Time, rec *Record) {
	if rec.req.Deadline.IsZero() {
		return
	}
	rec.boostEntry = dueEntry{rec: rec, at: rec.boostTime()}
	s.boostIndex.add(&rec.boostEntry, now)
	rec.expiryEntry = dueEntry{rec: rec, at: rec.latestStart(rec.run.Low)}
	s.expiryIndex.add(&rec.expiryEntry, now)
}

func (s *Scheduler) unindexDeadlines(rec *Record) {
	s.boostIndex.remove(&rec.boostEntry)
	s.expiryIndex.remove(&rec.expiryEntry)
}

// dequeue removes a waiting record from all queues and indexes.
func (s *Scheduler) dequeue(rec *Record) {
	s.unindexDeadlines(rec)
	s.waiting.remove(rec, s.rules)
	s.cfg.Sequencer.Remove(&rec.item)
}

// drop removes a waiting record and its reservation.
func (s *Scheduler) drop(rec *Record) {
	s.dequeue(rec)
	if rec.reserved {
		s.cfg.Placer.CancelReservation(rec.req.Key)
		s.signalReady()
	}
	s.records.remove(rec.req.Key)
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (s *Scheduler) Cancel(key descriptor.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records.get(key)
	if !ok || !rec.item.Queued() {
		return false
	}
	s.drop(rec)
	return true
}

// Done removes a request that has its outcome. Tasks that still run keep their
// capacity until Ended is called for them.
func (s *Scheduler) Done(key descriptor.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.records.get(key)
	switch {
	case !ok:
	case rec.item.Queued():
		s.drop(rec)
	case len(rec.tasks) > 0:
		rec.done = true
	default:
		s.records.remove(key)
	}
}

// Requeue queues a request again after all tasks of its attempt have ended. It does
// not charge the retry budget if the attempt was preempted.
func (s *Scheduler) Requeue(key descriptor.Key, avoid []descriptor.TargetID) *descriptor.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	rec, ok := s.records.get(key)
	if !ok || rec.done || len(rec.tasks) > 0 {
		return s.countRefusal(&descriptor.Refusal{
			Reason: descriptor.ReasonRetryBudgetSpent,
			Detail: "the request is unknown or still has running tasks",
		})
	}
	if rec.item.Queued() {
		return nil
	}
	left := rec.req.Deadline.Sub(now)
	if !rec.req.Deadline.IsZero() && left < rec.run.Low {
		return s.countRefusal(s.deadlineRefusal(now, rec))
	}
	if !rec.preempted && s.retryTokens < 1 {
		return s.countRefusal(&descriptor.Refusal{
			Reason:     descriptor.ReasonRetryBudgetSpent,
			RetryAfter: s.retryAfter(now, rec),
			Detail:     "too many requests are being run again",
		})
	}
	if !rec.preempted {
		s.retryTokens--
	}
	s.counters.retried.Inc(1)
	s.reestimate(rec)
	rec.avoid = append(rec.avoid, avoid...)
	s.enqueue(now, rec)
	return nil
}

// reestimate updates the estimates for another attempt. Preempted work needs only
// the rest of its estimated run time, but is expected to need at least half of its
// run time so far, since the estimate may have been too low.
func (s *Scheduler) reestimate(rec *Record) {
	elapsed := rec.checkpointedRun
	s.estimate(rec)
	if rec.preempted {
		remaining := max(rec.run.Mean-elapsed, elapsed/2)
		rec.run.Low = min(rec.run.Low, remaining)
		rec.run.Mean = remaining
		rec.run.High = max(rec.run.High-elapsed, remaining)
		rec.item.Class.Long = true
	}
	rec.preempted = false
	rec.queuedWork = rec.expectedWork()
}

// Expired is a waiting request that was removed because it can no longer meet its
// deadline.
type Expired struct {
	Key     descriptor.Key
	Refusal descriptor.Refusal
}

// Expire removes and returns the waiting requests that can no longer meet their
// deadlines.
func (s *Scheduler) Expire() []Expired {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireWaiting(s.cfg.Clock.Now())
	out := s.expired
	s.expired = nil
	return out
}

// expireWaiting drops the records whose shortest expected run would end after their
// deadlines.
func (s *Scheduler) expireWaiting(now time.Time) {
	s.expiryIndex.visit(now, now, func(rec *Record) bool {
		refusal := s.countRefusal(s.deadlineRefusal(now, rec))
		s.expired = append(s.expired, Expired{Key: rec.req.Key, Refusal: *refusal})
		s.drop(rec)
		return true
	})
}

// deadlineRefusal returns the refusal of a request that can no longer meet its
// deadline.
func (s *Scheduler) deadlineRefusal(now time.Time, rec *Record) *descriptor.Refusal {
	reason := descriptor.ReasonDeadlineUnmet
	if !now.Before(rec.req.Deadline) {
		reason = descriptor.ReasonDeadlinePassed
	}
	return &descriptor.Refusal{
		Reason: reason, RetryAfter: s.retryAfter(now, rec),
		Detail: "the request waited too long to end before its deadline",
	}
}

// retryAfter returns the retry delay of a request that had been admitted. It is
// random between half and one and a half times the predicted wait, so that retries
// don't arrive together.
func (s *Scheduler) retryAfter(now time.Time, rec *Record) time.Duration {
	const minWait = 100 * time.Millisecond
	wait := s.cfg.Admitter.PredictWait(now, rec.item.Class, s.waiting.class(rec.item.Class).Backlog)
	wait = max(wait, minWait)
	return wait/2 + time.Duration(s.cfg.Rand.Int64N(int64(wait)+1))
}
