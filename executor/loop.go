package executor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// activePollWait and idlePollWait are the longest times for which a target may
	// delay its reply to a hold request while no run ends. The wait is shorter while
	// runs are in progress, because the reply also carries their progress.
	activePollWait = 500 * time.Millisecond
	idlePollWait   = 900 * time.Millisecond
	// callTimeout bounds a request that a target answers immediately.
	callTimeout = 400 * time.Millisecond
	// ackTimeout bounds the wait for new end events to be stored and acknowledged
	// before the next hold request.
	ackTimeout = 150 * time.Millisecond
	// minPollDelay precedes each further hold request, so that runs that end shortly
	// after one another are returned in one reply.
	minPollDelay = 25 * time.Millisecond
	// retryDelay is the delay before the next request to a target that did not
	// answer.
	retryDelay = 200 * time.Millisecond
	// startTTL is the time on the target's clock after which the target rejects a
	// start request that it has not begun to carry out.
	startTTL = 2 * time.Second
	// probeDelay is the time after the start of a probe at which the target is asked
	// whether it is alive.
	probeDelay = 200 * time.Millisecond
	// fullReportInterval is the least time between two reports to the coordinator
	// that list all runs of a target.
	fullReportInterval = 400 * time.Millisecond
	// longCheckpoint is the size in bytes above which the checkpoints of running tasks are
	// reported only every longCheckpointInterval. The last one is in the end of the run.
	longCheckpoint         = 1 << 10
	longCheckpointInterval = 2 * time.Second
)

// targetSession renews the leases of one target incarnation and carries out the start
// and stop orders for it.
type targetSession struct {
	e           *Executor
	target      Target
	incarnation w.Incarnation
	assignment  int64 // number of the assignment
	ctx         context.Context
	cancel      context.CancelFunc
	ackSignal   chan struct{}

	mu            sync.Mutex
	ackedSeq      int64
	receivedSeq   int64
	clockMs       int64 // target's clock at clockReadAt
	clockReadAt   time.Time
	leaseDeadline int64     // latest lease deadline sent, on the target's clock, in ms
	responsive    bool      // no hold request has failed since the last reply
	confirmedAt   time.Time // when this incarnation answered the last hold request; zero if that failed
	uncertainRuns map[w.TaskID]uncertainRun
	holdSentAt    time.Time    // when the last hold request was sent
	holdCursor    int64        // cursor of that request
	knownCursor   int64        // highest cursor that the target has received
	settledAt     time.Time    // when runs that were stopped before the first reply have ended at the latest
	omitted       int          // checkpoints left out of the last reply for their size
	longReported  time.Time    // when long checkpoints were last reported
	reports       []sentReport // reports that the coordinator may not have processed, and the last one before
}

// sentReport is a report that the target is alive.
type sentReport struct {
	seq int64 // number of its frame
	at  time.Time
}

// uncertainRun is a run that the target may or may not have started.
type uncertainRun struct {
	run       w.RunID
	settledAt time.Time // when a stop of the run has ended at the latest
}

// addUncertainRun records a run whose stop the target has answered, or whose start it has
// rejected as superseded. The run may take until the stop timeout to end, and be listed
// neither as running nor as ended meanwhile. s.mu must be held.
func (s *targetSession) addUncertainRun(task w.TaskID, run w.RunID) {
	s.uncertainRuns[task] = uncertainRun{run: run, settledAt: time.Now().Add(s.e.longestStop())}
}

// longestStop returns the time within which a target ends a run that it was told to stop,
// even if its clock is 2% slow.
func (e *Executor) longestStop() time.Duration { return e.StopTimeout * 103 / 100 }

// unsettledFor returns the time until all runs that were stopped have ended.
func (s *targetSession) unsettledFor() time.Duration {
	d := max(0, time.Until(s.settledAt))
	for _, u := range s.uncertainRuns {
		d = max(d, time.Until(u.settledAt))
	}
	return d
}

func newTargetSession(e *Executor, t linker.AssignedTarget) *targetSession {
	s := &targetSession{
		e: e, target: Target{t.ID, t.Address}, incarnation: t.Incarnation, assignment: t.Session, ackedSeq: t.Acked, receivedSeq: t.Acked,
		ackSignal: make(chan struct{}, 1), uncertainRuns: make(map[w.TaskID]uncertainRun), responsive: true,
	}
	s.ctx, s.cancel = context.WithCancel(e.ctx)
	return s
}

func (s *targetSession) ack(seq int64) {
	s.mu.Lock()
	s.ackedSeq = max(s.ackedSeq, seq)
	s.mu.Unlock()
	select {
	case s.ackSignal <- struct{}{}:
	default:
	}
}

// targetNow returns the time on the target's clock in ms, or 0 if it is not known.
func (s *targetSession) targetNow() int64 {
	if s.clockReadAt.IsZero() {
		return 0
	}
	return s.clockMs + time.Since(s.clockReadAt).Milliseconds()
}

// clockStale reports whether the last reading of the target's clock is so old that
// another instance may have taken over the target's leases. A process that resumes
// after a pause detects this before it has read any message.
func (s *targetSession) clockStale() bool { return time.Since(s.clockReadAt) > startTTL }

// recordReply marks the target as responsive and stores the clock reading of its reply,
// if there is one.
func (s *targetSession) recordReply(clock int64) {
	s.responsive = true
	if clock > 0 {
		s.clockMs, s.clockReadAt = clock, time.Now()
	}
}

// run sends hold requests to the target until the session is cancelled.
func (s *targetSession) run() {
	defer s.e.wg.Done()
	var lastFullReport time.Time
	hasRuns, wasSettled := false, false
	for s.ctx.Err() == nil {
		req := s.nextHold(hasRuns)
		sent := time.Now()
		reply, err := call(s.ctx, req.Wait+callTimeout, func(ctx context.Context) (HoldReply, error) {
			return s.e.client.Hold(ctx, s.target, &req)
		})
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			s.mu.Lock()
			s.responsive, s.confirmedAt = false, time.Time{}
			s.mu.Unlock()
			s.e.Log.Debug("hold request failed", "target", s.target.ID, "error", err)
			s.e.enqueue(func(f *linker.Frame) {
				f.Reports = append(f.Reports, linker.Report{
					Target: s.target.ID, Incarnation: s.incarnation, Session: s.assignment, Unreachable: true, Closed: errors.Is(err, ErrClosed), Absent: absent(err),
				})
			})
			s.sleep(retryDelay)
			continue
		}
		if reply.Incarnation != 0 && reply.Incarnation != s.incarnation {
			s.mu.Lock()
			s.confirmedAt = time.Time{}
			s.mu.Unlock()
			s.e.enqueue(func(f *linker.Frame) {
				f.Reports = append(f.Reports, linker.Report{Target: s.target.ID, Incarnation: reply.Incarnation, Session: s.assignment, Gone: true})
			})
			s.sleep(retryDelay)
			continue
		}
		hasRuns = len(reply.Runs) > 0
		s.noteOmitted(reply.OmittedCheckpoints)
		report := linker.Report{Target: s.target.ID, Incarnation: s.incarnation, Session: s.assignment, Latency: time.Since(sent) - req.Wait, At: time.Since(s.e.startedAt)}
		var resolved []linker.Result
		var settled bool
		report.Ends, resolved, settled = s.recordHold(&reply)
		full := time.Since(lastFullReport) >= fullReportInterval || (settled && !wasSettled)
		report.Unsettled, wasSettled = !settled, settled
		if full {
			// A run that is not listed may have ended if there are further ends.
			report.Runs, report.Complete = s.paceCheckpoints(reply.Runs), !reply.MoreEnds
			lastFullReport = time.Now()
		}
		if full || len(report.Ends) > 0 || len(resolved) > 0 {
			answeredAt := time.Now()
			seq := s.e.enqueue(func(f *linker.Frame) {
				f.Reports = append(f.Reports, report)
				f.Results = append(f.Results, resolved...)
			})
			s.mu.Lock()
			if s.e.confirms.Load() {
				s.reports = append(s.reports, sentReport{seq, answeredAt})
			}
			s.mu.Unlock()
		}
		s.waitForAcks()
	}
}

// absent reports whether the error of a request shows that the target's process has ended:
// nobody or another target serves its address.
func absent(err error) bool {
	return errors.Is(err, ErrOtherTarget) || (errors.Is(err, ErrClosed) && errors.Is(err, ErrNotSent))
}

// noteOmitted logs and counts checkpoints that were left out of a reply for their size.
func (s *targetSession) noteOmitted(n int) {
	if n > 0 && s.omitted == 0 {
		s.e.Log.Warn("checkpoints of a target are too long to be kept", "target", s.target.ID, "checkpoints", n)
	}
	s.omitted = n
	for range n {
		s.e.Meter.Count("checkpoint", "tooLong")
	}
}

// paceCheckpoints leaves out long checkpoints that are due later. The coordinator keeps the
// earlier ones.
func (s *targetSession) paceCheckpoints(runs []w.Run) []w.Run {
	due := time.Since(s.longReported) >= longCheckpointInterval
	for i := range runs {
		switch {
		case len(runs[i].Checkpoint) <= longCheckpoint:
		case due:
			s.longReported = time.Now()
		default:
			runs[i].Checkpoint = ""
		}
	}
	return runs
}

// nextHold returns the next hold request.
func (s *targetSession) nextHold(hasRuns bool) HoldRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := HoldRequest{Epoch: s.e.currentEpoch()}
	if !s.confirmedAt.IsZero() && time.Since(s.confirmedAt) <= linker.HeartbeatTimeout {
		// Otherwise the target may have restarted under its ID. The new incarnation
		// numbers its ends from 1 and would discard those up to the cursor, and its
		// clock started anew, so that its leases would become too long. The same holds for a
		// request that is carried out late, so the cursor is sent only until it is known.
		if s.ackedSeq > s.knownCursor {
			req.AckCursor = s.ackedSeq
		}
		// The leases of an unresponsive target, and of one that the coordinator may not hear
		// of, are not extended, so that the time at which they expire is known.
		if now, lease := s.targetNow(), s.e.currentLease(); now > 0 && lease > 0 && !s.clockStale() && s.reportConfirmed() {
			s.leaseDeadline = max(s.leaseDeadline, now+lease.Milliseconds())
		}
		req.Deadline = s.leaseDeadline
	}
	switch {
	case s.receivedSeq > s.ackedSeq || s.clockReadAt.IsZero() || !s.responsive:
	case len(s.uncertainRuns) > 0 || !s.settled():
		req.Wait = min(activePollWait, s.unsettledFor())
	case hasRuns:
		req.Wait = activePollWait
	default:
		req.Wait = idlePollWait
	}
	s.holdSentAt, s.holdCursor = time.Now(), req.AckCursor
	return req
}

// reportConfirmed reports whether the coordinator has processed a recent report of the
// target. s.mu must be held.
func (s *targetSession) reportConfirmed() bool { return s.confirmedWithin(linker.ReportValidity) }

// mayStart reports whether the coordinator can't have given the target up before the leases
// end that a start extends, which are shorter than those that a hold request extends. s.mu
// must be held.
func (s *targetSession) mayStart() bool {
	return s.confirmedWithin(linker.ReportValidity + s.e.currentLease() - startTTL)
}

// confirmedWithin reports whether the coordinator has processed a report of the target that
// is younger than d. s.mu must be held.
func (s *targetSession) confirmedWithin(d time.Duration) bool {
	if !s.e.confirms.Load() {
		return true
	}
	confirmed := s.e.confirmed.Load()
	for len(s.reports) > 1 && s.reports[1].seq <= confirmed {
		s.reports = s.reports[1:]
	}
	return len(s.reports) > 0 && s.reports[0].seq <= confirmed && time.Since(s.reports[0].at) <= d
}

// settled reports whether the last hold request was sent when all runs that an earlier
// session had stopped had ended. s.mu must be held.
func (s *targetSession) settled() bool {
	return !s.settledAt.IsZero() && s.holdSentAt.After(s.settledAt)
}

// recordHold processes the reply to the last hold request. It returns the ends that were
// not received before, the results of the uncertain runs that will not start, and whether
// all runs that an earlier session had stopped have ended.
func (s *targetSession) recordHold(reply *HoldReply) (ends []w.End, resolved []linker.Result, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordReply(reply.Clock)
	s.confirmedAt = time.Now()
	s.knownCursor = max(s.knownCursor, s.holdCursor)
	settled = s.settled()
	if s.settledAt.IsZero() {
		s.settledAt = s.confirmedAt.Add(s.e.longestStop())
	}
	for i := range reply.Ends {
		if reply.Ends[i].Seq > s.receivedSeq {
			s.receivedSeq = reply.Ends[i].Seq
			ends = append(ends, reply.Ends[i])
		}
	}
	if !reply.MoreEnds {
		resolved = s.resolveUncertainRuns(reply)
	}
	return ends, resolved, settled
}

// waitForAcks delays the next hold request until new end events are stored, because the
// target answers immediately while any of them is unacknowledged.
func (s *targetSession) waitForAcks() {
	s.mu.Lock()
	unacked := s.receivedSeq > s.ackedSeq
	s.mu.Unlock()
	s.sleep(minPollDelay)
	if !unacked {
		return
	}
	t := time.NewTimer(ackTimeout)
	defer t.Stop()
	for {
		select {
		case <-s.ackSignal:
			s.mu.Lock()
			unacked = s.receivedSeq > s.ackedSeq
			s.mu.Unlock()
			if !unacked {
				return
			}
		case <-t.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *targetSession) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// resolveUncertainRuns removes the uncertain runs that will no longer start, and
// returns a NotStarted result for each: those that are absent from the reply to a hold
// request that was sent after they were settled.
func (s *targetSession) resolveUncertainRuns(reply *HoldReply) []linker.Result {
	var out []linker.Result
	for id, u := range s.uncertainRuns {
		if !s.holdSentAt.After(u.settledAt) {
			continue
		}
		listed := false
		for i := range reply.Runs {
			listed = listed || (reply.Runs[i].Task == id && reply.Runs[i].Run == u.run)
		}
		for i := range reply.Ends {
			listed = listed || (reply.Ends[i].Task == id && reply.Ends[i].Run == u.run)
		}
		if listed {
			// The run has started; the target reports its end in an end event.
			continue
		}
		delete(s.uncertainRuns, id)
		out = append(out, linker.Result{Target: s.target.ID, Incarnation: s.incarnation, Task: id, Run: u.run, Outcome: linker.NotStarted})
	}
	return out
}

// start carries out a start order. It reports a run as not started, without a request,
// if the target's clock is unknown or its last reading is stale, or if the order may have
// been on its way for so long that the coordinator has given the target up since.
func (s *targetSession) start(order linker.Start, spec string) {
	defer s.e.wg.Done()
	s.mu.Lock()
	now := s.targetNow()
	if s.clockStale() || !s.mayStart() {
		now = 0
	}
	s.mu.Unlock()
	req := StartRequest{
		Task: order.Task, Run: order.Run, Spec: spec, Checkpoint: order.Checkpoint, Ticket: order.Ticket,
		Epoch: s.e.currentEpoch(), Deadline: now + startTTL.Milliseconds(),
	}
	result := linker.Result{Target: order.Target, Incarnation: s.incarnation, Task: order.Task, Run: order.Run, Outcome: linker.NotStarted}
	if now > 0 {
		result.Outcome, result.Unanswered = s.requestStart(&req)
	}
	if result.Outcome == linker.Superseded {
		// An earlier attempt may have started the run, which has ended since. The next
		// hold reply shows whether it did.
		s.mu.Lock()
		s.addUncertainRun(order.Task, order.Run)
		s.mu.Unlock()
		return
	}
	result.At = time.Since(s.e.startedAt)
	s.e.enqueue(func(f *linker.Frame) { f.Results = append(f.Results, result) })
	switch {
	case result.Outcome == linker.Indeterminate:
		s.stopUntilAnswered(order.Task, order.Run)
	case result.Outcome == linker.Started && order.Probe:
		s.reportAlive()
	}
}

// reportAlive reports after probeDelay whether the target still answers.
func (s *targetSession) reportAlive() {
	s.sleep(probeDelay)
	reply, err := call(s.ctx, callTimeout, func(ctx context.Context) (HoldReply, error) {
		return s.e.client.Hold(ctx, s.target, &HoldRequest{Epoch: s.e.currentEpoch()})
	})
	report := linker.Report{Target: s.target.ID, Incarnation: s.incarnation, Session: s.assignment, At: time.Since(s.e.startedAt)}
	switch {
	case err != nil && !errors.Is(err, ErrClosed), reply.Incarnation != 0 && reply.Incarnation != s.incarnation:
		return // the next hold request shows the state of the target
	case err != nil:
		report.Unreachable, report.Closed = true, true
	}
	s.e.enqueue(func(f *linker.Frame) { f.Reports = append(f.Reports, report) })
}

// requestStart sends a start request, and repeats it once if there is no answer. It also
// reports whether a request got no answer.
func (s *targetSession) requestStart(req *StartRequest) (outcome linker.Outcome, unanswered bool) {
	const maxAttempts = 2
	for range maxAttempts {
		reply, err := call(s.ctx, callTimeout, func(ctx context.Context) (Reply, error) {
			return s.e.client.Start(ctx, s.target, req)
		})
		if err != nil {
			s.e.Log.Debug("start request failed", "task", req.Task, "target", s.target.ID, "run", req.Run, "error", err)
			unanswered = unanswered || !errors.Is(err, ErrNotSent)
			continue
		}
		s.mu.Lock()
		s.recordReply(reply.Clock)
		s.mu.Unlock()
		switch reply.Outcome {
		case linker.NotStarted, linker.InsufficientResources, linker.InvalidTicket, linker.TargetUnavailable:
			if unanswered {
				// The target may still carry out the request that it did not answer.
				return linker.Indeterminate, true
			}
		default:
		}
		return reply.Outcome, unanswered
	}
	if unanswered {
		return linker.Indeterminate, true
	}
	return linker.NotStarted, false
}

// errLateReply reports a reply that was read after the request's timeout.
var errLateReply = errors.New("executor: reply read too late")

// call makes a request with a timeout. A reply that a process reads after a pause may
// still win over the timer, although what it says no longer holds.
func call[T any](ctx context.Context, timeout time.Duration, request func(context.Context) (T, error)) (T, error) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply, err := request(ctx)
	if err == nil && time.Now().After(deadline) {
		err = errLateReply
	}
	return reply, err
}

func (s *targetSession) stop(order linker.Stop) {
	defer s.e.wg.Done()
	s.stopUntilAnswered(order.Task, order.Run)
}

// stopUntilAnswered repeats the stop request for a run until the target answers. After
// that the run either ends or never starts.
func (s *targetSession) stopUntilAnswered(task w.TaskID, run w.RunID) {
	for s.ctx.Err() == nil {
		_, err := call(s.ctx, callTimeout, func(ctx context.Context) (Reply, error) {
			return s.e.client.Stop(ctx, s.target, task, run, s.e.currentEpoch())
		})
		if err == nil {
			s.mu.Lock()
			s.responsive = true
			s.addUncertainRun(task, run)
			s.mu.Unlock()
			return
		}
		s.sleep(retryDelay)
	}
}

func (e *Executor) currentEpoch() w.Epoch { return w.Epoch(e.epoch.Load()) }

func (e *Executor) currentLease() time.Duration { return time.Duration(e.lease.Load()) }
