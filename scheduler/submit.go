package scheduler

import (
	"fmt"
	"time"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/sequencer"
)

const (
	// maxTokens bounds the retries that can be saved up.
	maxTokens = 100
	// noTargetsRetry is when a request may return that found no target at all.
	noTargetsRetry = 2 * time.Second
)

// Submit queues a request or says why it is refused. A request that is known
// already is left as it is.
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
	if refusal := s.impossible(rec); refusal != nil {
		return s.count(refusal)
	}
	s.assess(rec)
	refusal := s.cfg.Admitter.Admit(now, s.question(now, rec))
	s.cfg.Sharer.Arrived(now, Arrival{
		Share: rec.share, Run: rec.run.Mean, Long: rec.item.Class.Long, Admitted: refusal == nil,
	})
	if refusal != nil {
		return s.count(refusal)
	}
	s.tokens = min(s.tokens+s.cfg.RetryBudget, maxTokens)
	s.records.put(r.Key, rec)
	s.enqueue(now, rec)
	return nil
}

func (s *Scheduler) count(r *descriptor.Refusal) *descriptor.Refusal {
	s.counters.refused[r.Reason].Inc(1)
	return r
}

// impossible refuses what can't run at all or finds no target now.
func (s *Scheduler) impossible(rec *Record) *descriptor.Refusal {
	r := rec.req
	if s.capacity == (descriptor.Resources{}) {
		return &descriptor.Refusal{
			Reason:     descriptor.ReasonNoTargets,
			RetryAfter: noTargetsRetry + time.Duration(s.cfg.Rand.Int64N(int64(noTargetsRetry))),
			Detail:     "no target takes work at the moment",
		}
	}
	if why := s.cfg.Placer.NeverFits(r); why != "" {
		return &descriptor.Refusal{Reason: descriptor.ReasonNeverFits, Detail: why}
	}
	limit := s.rules.Kinds[r.Kind].Limit
	if share := s.share(rec.need()); limit > 0 && share > limit {
		return &descriptor.Refusal{
			Reason: descriptor.ReasonNeverFits,
			Detail: fmt.Sprintf("the request takes %.3g of the capacity and kind %s is limited to %.3g", share, r.Kind, limit),
		}
	}
	return nil
}

// assess fills in what the scheduler expects of the request.
func (s *Scheduler) assess(rec *Record) {
	r := rec.req
	rec.run = s.cfg.Estimator.Estimate(r)
	rec.share = s.share(rec.need())
	rec.queuedWork = rec.work()
	long := r.Policy == descriptor.Service || s.cfg.Sharer.IsLong(rec.run.Mean)
	rec.item = sequencer.Item[*Record]{
		Value: rec, Team: r.Team, Caller: r.Caller, Arrived: rec.arrived,
		Class: sequencer.Class{Kind: r.Kind, Priority: r.Priority, Long: long},
	}
}

func (s *Scheduler) question(now time.Time, rec *Record) admitter.Question {
	c := s.waiting.caller(rec.req.Caller, s.rules)
	c.offered.add(now, rec.queuedWork)
	k := s.waiting.class(rec.item.Class)
	return admitter.Question{
		Request:       rec.req,
		Class:         rec.item.Class,
		Run:           rec.run,
		Own:           rec.backlog(),
		Caller:        c.classes[rec.item.Class],
		CallerTotal:   c.total,
		CallerMax:     c.limit,
		InClass:       k.Backlog,
		Share:         s.cfg.Sequencer.Share(rec.req.Team, rec.req.Caller, rec.item.Class),
		CallerOffered: c.offered.work / offeredWindow.Seconds(),
		Total:         s.waiting.total,
	}
}

func (s *Scheduler) enqueue(now time.Time, rec *Record) {
	s.waiting.add(rec, s.rules)
	s.cfg.Sequencer.Push(&rec.item)
	s.watch(now, rec)
	s.signal()
}

// watch keeps the record in the indexes of latest starts.
func (s *Scheduler) watch(now time.Time, rec *Record) {
	if rec.req.Deadline.IsZero() {
		return
	}
	rec.rescue = dueLink{rec: rec, at: rec.rescueAt()}
	s.rescue.add(&rec.rescue, now)
	rec.expiry = dueLink{rec: rec, at: rec.latestStart(rec.run.Low)}
	s.expiry.add(&rec.expiry, now)
}

func (s *Scheduler) unwatch(rec *Record) {
	s.rescue.remove(&rec.rescue)
	s.expiry.remove(&rec.expiry)
}

// dequeue takes a waiting record out of all queues.
func (s *Scheduler) dequeue(rec *Record) {
	s.unwatch(rec)
	s.waiting.remove(rec, s.rules)
	s.cfg.Sequencer.Remove(&rec.item)
}

// drop forgets a waiting record.
func (s *Scheduler) drop(rec *Record) {
	s.dequeue(rec)
	if rec.reserved {
		s.cfg.Placer.Withdraw(rec.req.Key)
		s.signal()
	}
	s.records.remove(rec.req.Key)
}

// Cancel removes a waiting request. It reports false if the request doesn't
// wait.
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

// Done forgets a request that has its outcome. Tasks that still run keep their
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

// Requeue lets a request run again after all tasks of its attempt have ended.
// Attempts that were told to checkpoint don't count towards the retry budget.
func (s *Scheduler) Requeue(key descriptor.Key, avoid []descriptor.TargetID) *descriptor.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock.Now()
	rec, ok := s.records.get(key)
	if !ok || rec.done || len(rec.tasks) > 0 {
		return s.count(&descriptor.Refusal{
			Reason: descriptor.ReasonRetryBudgetSpent,
			Detail: "the request is unknown or still has running tasks",
		})
	}
	if rec.item.Queued() {
		return nil
	}
	left := rec.req.Deadline.Sub(now)
	if !rec.req.Deadline.IsZero() && left < rec.run.Low {
		return s.count(s.late(now, rec))
	}
	if !rec.directed && s.tokens < 1 {
		return s.count(&descriptor.Refusal{
			Reason:     descriptor.ReasonRetryBudgetSpent,
			RetryAfter: s.returnTime(now, rec),
			Detail:     "too many requests are being run again",
		})
	}
	if !rec.directed {
		s.tokens--
	}
	s.counters.retried.Inc(1)
	s.resume(rec)
	rec.avoid = append(rec.avoid, avoid...)
	s.enqueue(now, rec)
	return nil
}

// resume estimates an attempt anew. Work that was checkpointed has only its rest
// to run; work that ran longer than estimated is expected to take as long again.
func (s *Scheduler) resume(rec *Record) {
	spent := rec.spent
	s.assess(rec)
	if rec.directed {
		rest := max(rec.run.Mean-spent, spent/2)
		rec.run.Low = min(rec.run.Low, rest)
		rec.run.Mean = rest
		rec.run.High = max(rec.run.High-spent, rest)
		rec.item.Class.Long = true
	}
	rec.directed = false
	rec.queuedWork = rec.work()
}

// Expired is a waiting request that was removed.
type Expired struct {
	Key     descriptor.Key
	Refusal descriptor.Refusal
}

// Expire removes and returns the waiting requests that can't make their deadline
// any more.
func (s *Scheduler) Expire() []Expired {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.cfg.Clock.Now())
	out := s.expired
	s.expired = nil
	return out
}

// expire drops the records whose shortest expected run would end too late.
func (s *Scheduler) expire(now time.Time) {
	s.expiry.visit(now, now, func(rec *Record) bool {
		refusal := s.count(s.late(now, rec))
		s.expired = append(s.expired, Expired{Key: rec.req.Key, Refusal: *refusal})
		s.drop(rec)
		return true
	})
}

// late returns the refusal of a request that can't make its deadline any more.
func (s *Scheduler) late(now time.Time, rec *Record) *descriptor.Refusal {
	reason := descriptor.ReasonDeadlineUnmet
	if !now.Before(rec.req.Deadline) {
		reason = descriptor.ReasonDeadlinePassed
	}
	return &descriptor.Refusal{
		Reason: reason, RetryAfter: s.returnTime(now, rec),
		Detail: "the request waited too long to end before its deadline",
	}
}

// returnTime spreads the return of a request that had been admitted.
func (s *Scheduler) returnTime(now time.Time, rec *Record) time.Duration {
	const shortest = 100 * time.Millisecond
	wait := s.cfg.Admitter.Wait(now, rec.item.Class, s.waiting.class(rec.item.Class).Backlog)
	wait = max(wait, shortest)
	return wait/2 + time.Duration(s.cfg.Rand.Int64N(int64(wait)+1))
}
