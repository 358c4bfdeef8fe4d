package executor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// fakeTargetClient is a TargetClient with scripted replies. The argument of startReply
// is the number of the start request, from 1.
type fakeTargetClient struct {
	mu         sync.Mutex
	startReply func(n int) (Reply, error)
	startCalls int
	holdReply  HoldReply
	holdErr    error
	pause      time.Duration // simulates a pause of the process during the next hold request
	paused     int           // number of hold requests up to the one with the pause
	requests   []HoldRequest
	stopCalls  int
	clock      func() int64 // reading of the clock in hold replies, if it is not nil
}

func (s *fakeTargetClient) Start(context.Context, Target, *StartRequest) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startCalls++
	return s.startReply(s.startCalls)
}

func (s *fakeTargetClient) Stop(context.Context, Target, w.TaskID, w.RunID, w.Epoch) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopCalls++
	return Reply{}, nil
}

func (s *fakeTargetClient) Hold(ctx context.Context, _ Target, c *HoldRequest) (HoldReply, error) {
	s.mu.Lock()
	pause := s.pause
	s.pause = 0
	s.mu.Unlock()
	delay := min(c.Wait, 20*time.Millisecond)
	if pause > 0 {
		time.Sleep(pause)
		delay, ctx = 0, context.Background()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return HoldReply{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, *c)
	if pause > 0 {
		s.paused = len(s.requests)
	}
	r := s.holdReply
	if s.clock != nil {
		r.Clock = s.clock()
	}
	return r, s.holdErr
}

// nextHold returns a hold request that is sent from now on.
func (s *fakeTargetClient) nextHold(t *testing.T) HoldRequest {
	t.Helper()
	s.mu.Lock()
	n := len(s.requests)
	s.mu.Unlock()
	var req HoldRequest
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.requests) < n+2 {
			return false
		}
		req = s.requests[n+1]
		return true
	}, 2*time.Second, 5*time.Millisecond)
	return req
}

// requireCursor waits for a hold request with a cursor, which must be the given one.
func (s *fakeTargetClient) requireCursor(t *testing.T, cursor int64) {
	t.Helper()
	var got int64
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		got = s.requests[len(s.requests)-1].AckCursor
		return got > 0
	}, 2*time.Second, time.Millisecond)
	require.Equal(t, cursor, got)
}

func (s *fakeTargetClient) Advise(context.Context, string, []w.TargetID) ([]Ticket, error) {
	return nil, nil
}

// frameRecorder collects the results and reports that an executor sends.
type frameRecorder struct {
	mu       sync.Mutex
	received linker.Frame
}

func (c *frameRecorder) send(f *linker.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.Seq = f.Seq
	c.received.Results = append(c.received.Results, f.Results...)
	c.received.Reports = append(c.received.Reports, f.Reports...)
}

func (c *frameRecorder) outcomes() []linker.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []linker.Outcome
	for _, r := range c.received.Results {
		out = append(out, r.Outcome)
	}
	return out
}

func (c *frameRecorder) lastSeq() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received.Seq
}

func (c *frameRecorder) endCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.received.Reports {
		n += len(r.Ends)
	}
	return n
}

var errNoReply = errors.New("no reply")

// stopTimeout is the longest time that the fake target takes to stop a run.
const stopTimeout = 400 * time.Millisecond

func startExecutor(t *testing.T, s *fakeTargetClient) (*Executor, *frameRecorder) {
	t.Helper()
	c := new(frameRecorder)
	e := &Executor{TargetClient: s, StopTimeout: stopTimeout, Log: slog.New(slog.DiscardHandler), Send: c.send}
	e.Run()
	t.Cleanup(e.Close)
	e.Receive(&linker.Frame{Assign: &linker.Assign{Epoch: 1, Lease: 6 * time.Second, Targets: []linker.AssignedTarget{{ID: "a", Incarnation: 1}}}})
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.received.Reports) > 0
	}, 2*time.Second, 5*time.Millisecond)
	return e, c
}

// TestEndedRunIsNotCalledNotStarted guards against running a task twice: the reply to
// its start request is lost, the run ends, the repeated start request is rejected, and
// the run is reported as not started.
func TestEndedRunIsNotCalledNotStarted(t *testing.T) {
	id := w.TaskID{Job: "j"}
	s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
	s.startReply = func(n int) (Reply, error) {
		if n == 1 {
			s.holdReply.Ends = []w.End{{Seq: 1, Task: id, Run: 5, How: w.EndedDone}}
			return Reply{}, errNoReply
		}
		return Reply{Outcome: linker.Superseded, Clock: 1001}, nil
	}
	e, c := startExecutor(t, s)
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: id, Run: 5}}})
	require.Eventually(t, func() bool { return c.endCount() == 1 }, 2*time.Second, 5*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	require.NotContains(t, c.outcomes(), linker.NotStarted)
}

// TestStoppingRunIsNotCalledNotStarted guards against running a task twice: the target
// lists a run that it is stopping only when it has ended.
func TestStoppingRunIsNotCalledNotStarted(t *testing.T) {
	id := w.TaskID{Job: "j"}
	for name, begin := range map[string]func(*Executor, *fakeTargetClient){
		"stop": func(e *Executor, _ *fakeTargetClient) {
			e.Receive(&linker.Frame{Stops: []linker.Stop{{Target: "a", Task: id, Run: 5}}})
		},
		"superseded start": func(e *Executor, s *fakeTargetClient) {
			s.startReply = func(int) (Reply, error) { return Reply{Outcome: linker.Superseded, Clock: 1001}, nil }
			e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: id, Run: 5}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
			e, c := startExecutor(t, s)
			begin(e, s)
			time.Sleep(stopTimeout)
			s.mu.Lock()
			s.holdReply.Ends = []w.End{{Seq: 1, Task: id, Run: 5, How: w.EndedStopped}}
			s.mu.Unlock()
			require.Eventually(t, func() bool { return c.endCount() == 1 }, 2*time.Second, 5*time.Millisecond)
			time.Sleep(2 * stopTimeout)
			require.NotContains(t, c.outcomes(), linker.NotStarted)
		})
	}
}

// TestFirstListsAreUnsettled guards against a new leader that takes the first list of a target
// for complete although the earlier leader's stops may still be in progress.
func TestFirstListsAreUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
		_, c := startExecutor(t, s)
		settled := func() bool {
			return c.hasReport(func(r *linker.Report) bool { return r.Complete && !r.Unsettled })
		}
		time.Sleep(stopTimeout - 20*time.Millisecond)
		require.False(t, settled())
		time.Sleep(200 * time.Millisecond)
		require.True(t, settled())
	})
}

// TestUnconfirmedReportsExtendLeases guards against leases, and starts, on a target that the
// coordinator has given up: it has not received the instance's reports for some seconds.
func TestUnconfirmedReportsExtendLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := func() int64 { return time.Now().UnixMilli() }
		s := &fakeTargetClient{holdReply: HoldReply{Incarnation: 1}, clock: clock}
		s.startReply = func(int) (Reply, error) { return Reply{Outcome: linker.Started, Clock: clock()}, nil }
		c := new(frameRecorder)
		e := &Executor{TargetClient: s, Log: slog.New(slog.DiscardHandler), Send: c.send}
		e.Run()
		defer e.Close()
		e.Receive(&linker.Frame{Assign: &linker.Assign{Epoch: 1, Lease: 6 * time.Second, Confirms: true, Targets: []linker.AssignedTarget{{ID: "a", Incarnation: 1}}}})
		lastDeadline := func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.requests[len(s.requests)-1].Deadline
		}
		time.Sleep(3 * time.Second)
		require.Zero(t, lastDeadline(), "no report was confirmed")
		e.Receive(&linker.Frame{Seen: c.lastSeq(), Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 1}}})
		time.Sleep(time.Second)
		require.Equal(t, []linker.Outcome{linker.Started}, c.outcomes())
		e.Receive(&linker.Frame{Seen: c.lastSeq()})
		confirmedAt := clock()
		time.Sleep(linker.ReportValidity / 2)
		require.Greater(t, lastDeadline(), confirmedAt+6000)
		time.Sleep(4 * time.Second)
		require.LessOrEqual(t, lastDeadline(), confirmedAt+6000+linker.ReportValidity.Milliseconds())
		time.Sleep(linker.ReportValidity)
		e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 2}}})
		time.Sleep(time.Second)
		require.Equal(t, []linker.Outcome{linker.Started, linker.NotStarted}, c.outcomes())
	})
}

// TestRejectedRepeatIsNotCalledNotStarted guards against running a task twice: the first
// start request is carried out after the repeated one was rejected.
func TestRejectedRepeatIsNotCalledNotStarted(t *testing.T) {
	for _, outcome := range []linker.Outcome{linker.NotStarted, linker.InsufficientResources, linker.InvalidTicket, linker.TargetUnavailable} {
		t.Run(outcome.String(), func(t *testing.T) {
			id := w.TaskID{Job: "j"}
			s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
			s.startReply = func(n int) (Reply, error) {
				if n == 1 {
					return Reply{}, errNoReply
				}
				s.holdReply.Runs = []w.Run{{Task: id, Run: 5}}
				return Reply{Outcome: outcome, Clock: 1001}, nil
			}
			e, c := startExecutor(t, s)
			e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: id, Run: 5}}})
			time.Sleep(200 * time.Millisecond)
			require.Equal(t, []linker.Outcome{linker.Indeterminate}, c.outcomes())
			s.mu.Lock()
			require.Equal(t, 1, s.stopCalls)
			s.holdReply.Runs = nil
			s.mu.Unlock()
			require.Eventually(t, func() bool { return len(c.outcomes()) == 2 }, 2*time.Second, 5*time.Millisecond)
			require.Equal(t, linker.NotStarted, c.outcomes()[1])
		})
	}
}

// TestResultNamesUnansweredRequest guards against a start that counts as settled although
// the first request for it may still be carried out.
func TestResultNamesUnansweredRequest(t *testing.T) {
	for lost := range 2 {
		s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
		s.startReply = func(n int) (Reply, error) {
			if n <= lost {
				return Reply{}, errNoReply
			}
			return Reply{Outcome: linker.Started, Clock: 1001}, nil
		}
		e, c := startExecutor(t, s)
		e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
		require.Eventually(t, func() bool { return len(c.outcomes()) == 1 }, 2*time.Second, 5*time.Millisecond)
		got := c.received.Results[0]
		require.Positive(t, got.At)
		got.At = 0
		require.Equal(t, linker.Result{Target: "a", Incarnation: 1, Task: w.TaskID{Job: "j"}, Run: 5, Unanswered: lost > 0}, got)
	}
}

// TestTruncatedEndsAreNotComplete guards against running a task twice: it has ended after
// more other runs than its target lists, and counts as not started or missing.
func TestTruncatedEndsAreNotComplete(t *testing.T) {
	s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1, Ends: []w.End{{Seq: 1}}, MoreEnds: true}}
	s.startReply = func(int) (Reply, error) { return Reply{Outcome: linker.Superseded, Clock: 1001}, nil }
	e, c := startExecutor(t, s)
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
	time.Sleep(600 * time.Millisecond)
	require.Empty(t, c.outcomes())
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Greater(t, len(c.received.Reports), 1, "the coordinator would count the leases as expired")
	for _, r := range c.received.Reports {
		require.False(t, r.Complete)
	}
}

// TestUnansweredStartIsResolved guards against a task that stays in the starting state
// forever because its start request never reached the target.
func TestUnansweredStartIsResolved(t *testing.T) {
	s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
	s.startReply = func(int) (Reply, error) { return Reply{}, errNoReply }
	e, c := startExecutor(t, s)
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
	require.Eventually(t, func() bool {
		o := c.outcomes()
		return len(o) == 2 && o[0] == linker.Indeterminate && o[1] == linker.NotStarted
	}, 3*time.Second, 10*time.Millisecond)
}

// TestPausedInstanceSendsNoOldOrders guards against an instance that carries out a
// start order after a pause: its targets may have been assigned to another instance
// meanwhile, so it must neither start the run nor extend the leases.
func TestPausedInstanceSendsNoOldOrders(t *testing.T) {
	s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
	s.startReply = func(int) (Reply, error) { return Reply{Outcome: linker.Started}, nil }
	e, c := startExecutor(t, s)
	e.mu.Lock()
	session := e.sessions["a"]
	e.mu.Unlock()
	session.cancel() // simulates a paused process
	session.mu.Lock()
	session.clockReadAt = session.clockReadAt.Add(-startTTL - time.Second)
	session.mu.Unlock()
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
	require.Eventually(t, func() bool { return len(c.outcomes()) == 1 }, time.Second, 5*time.Millisecond)
	require.Equal(t, []linker.Outcome{linker.NotStarted}, c.outcomes())
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.startCalls)
}

// TestCursorNeedsKnownIncarnation guards against acknowledging ends of a new incarnation
// with the cursor of the earlier one: a target that restarts under its ID numbers its
// ends from 1 again, and would discard them before they are stored.
func TestCursorNeedsKnownIncarnation(t *testing.T) {
	s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
	e, _ := startExecutor(t, s)
	e.Receive(&linker.Frame{Acks: []linker.Ack{{Target: "a", Incarnation: 1, Seq: 57}}})
	s.requireCursor(t, 57)
	s.mu.Lock()
	s.holdErr = errNoReply
	s.mu.Unlock()
	req := s.nextHold(t)
	require.Zero(t, req.AckCursor, "the target may have restarted since it answered last")
	require.Zero(t, req.Deadline, "a new incarnation would extend its leases to the maximum")
	s.mu.Lock()
	s.holdErr = nil
	first := s.requests[0]
	s.mu.Unlock()
	require.Zero(t, first.AckCursor, "the target has not confirmed its incarnation to this session")
	e.Receive(&linker.Frame{Acks: []linker.Ack{{Target: "a", Incarnation: 1, Seq: 58}}})
	s.requireCursor(t, 58)
	require.Zero(t, s.nextHold(t).AckCursor, "the target knows it, and its next incarnation may get the request")
}

// TestPausedInstanceAcknowledgesNothing guards against an instance that was paused, and
// that acknowledges the unread ends of a target that restarted under its ID meanwhile, or
// extends its leases.
func TestPausedInstanceAcknowledgesNothing(t *testing.T) {
	s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
	e, _ := startExecutor(t, s)
	e.Receive(&linker.Frame{Acks: []linker.Ack{{Target: "a", Incarnation: 1, Seq: 57}}})
	s.requireCursor(t, 57)
	s.mu.Lock()
	s.pause = idlePollWait + callTimeout + 100*time.Millisecond
	s.mu.Unlock()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.paused > 0 && len(s.requests) > s.paused
	}, 4*time.Second, 5*time.Millisecond)
	s.mu.Lock()
	req := s.requests[s.paused]
	s.mu.Unlock()
	require.Zero(t, req.AckCursor, "the reply is older than the pause")
	require.Zero(t, req.Deadline)

	// The process is paused between a reply and the next request.
	session := newTargetSession(e, linker.AssignedTarget{ID: "a", Incarnation: 1, Acked: 57})
	session.recordHold(&HoldReply{Clock: 1000, Incarnation: 1})
	require.Equal(t, int64(57), session.nextHold(false).AckCursor)
	session.confirmedAt = session.confirmedAt.Add(-linker.HeartbeatTimeout)
	req = session.nextHold(false)
	require.Zero(t, req.AckCursor)
	require.Zero(t, req.Deadline)
}

// TestPanicInRequestIsNoAnswer guards against a reply that ends the process.
func TestPanicInRequestIsNoAnswer(t *testing.T) {
	s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
	s.startReply = func(int) (Reply, error) { panic("unexpected") }
	e, c := startExecutor(t, s)
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
	require.Eventually(t, func() bool {
		o := c.outcomes()
		return len(o) == 2 && o[0] == linker.Indeterminate && o[1] == linker.NotStarted
	}, 3*time.Second, 10*time.Millisecond)
}

// hasReport reports whether one of the reports fulfils a condition.
func (c *frameRecorder) hasReport(ok func(*linker.Report) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.received.Reports {
		if ok(&c.received.Reports[i]) {
			return true
		}
	}
	return false
}

// TestClosedConnectionIsReported guards against a crashed target that can't be told from
// one that is slow or cut off.
func TestClosedConnectionIsReported(t *testing.T) {
	for _, x := range []struct {
		err            error
		closed, absent bool
	}{
		{err: fmt.Errorf("hold: %w", ErrClosed), closed: true},
		{err: fmt.Errorf("hold: %w: %w", ErrClosed, ErrNotSent), closed: true, absent: true},
		{err: fmt.Errorf("hold: %w", ErrOtherTarget), absent: true},
		{err: fmt.Errorf("hold: %w", ErrNotSent)},
		{err: context.DeadlineExceeded},
	} {
		_, f := startExecutor(t, &fakeTargetClient{holdErr: x.err})
		require.True(t, f.hasReport(func(r *linker.Report) bool { return r.Unreachable && r.Closed == x.closed && r.Absent == x.absent }), "%v", x.err)
	}
}

// TestProbeIsFollowedByReport guards against a probe that keeps its target from other work
// until the next list of runs.
func TestProbeIsFollowedByReport(t *testing.T) {
	s := &fakeTargetClient{startReply: func(int) (Reply, error) { return Reply{Outcome: linker.Started, Clock: 5}, nil }, holdReply: HoldReply{Clock: 5, Incarnation: 1}}
	e, f := startExecutor(t, s)
	e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 7, Probe: true}}})
	require.Eventually(t, func() bool {
		return f.hasReport(func(r *linker.Report) bool { return !r.Complete && !r.Unreachable && len(r.Ends) == 0 })
	}, 5*time.Second, 5*time.Millisecond)
}

// TestUnsentStartIsNotStarted guards against tasks that wait for the lease of a target
// whose process has ended.
func TestUnsentStartIsNotStarted(t *testing.T) {
	for _, c := range []struct {
		errs []error
		want linker.Outcome
	}{
		{[]error{ErrNotSent, ErrNotSent}, linker.NotStarted},
		{[]error{ErrNotSent, errNoReply}, linker.Indeterminate},
		{[]error{errNoReply, ErrNotSent}, linker.Indeterminate},
		{[]error{ErrNotSent, nil}, linker.InvalidTicket},
	} {
		s := &fakeTargetClient{holdReply: HoldReply{Clock: 1000, Incarnation: 1}}
		s.startReply = func(n int) (Reply, error) {
			err := c.errs[min(n, len(c.errs))-1]
			return Reply{Outcome: linker.InvalidTicket}, err
		}
		e, f := startExecutor(t, s)
		e.Receive(&linker.Frame{Starts: []linker.Start{{Target: "a", Task: w.TaskID{Job: "j"}, Run: 5}}})
		require.Eventually(t, func() bool { return len(f.outcomes()) > 0 }, 2*time.Second, 5*time.Millisecond)
		require.Equal(t, c.want, f.outcomes()[0], "%v", c.errs)
	}
}

// TestLongCheckpointsAreReportedSeldom guards against a target whose long checkpoints take
// the link to the coordinator.
func TestLongCheckpointsAreReportedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(targetSession)
		long, short := strings.Repeat("x", longCheckpoint+1), strings.Repeat("x", longCheckpoint)
		report := func() (checkpoints []string) {
			for _, r := range s.paceCheckpoints([]w.Run{{Checkpoint: long}, {Checkpoint: short}, {Checkpoint: long}}) {
				checkpoints = append(checkpoints, r.Checkpoint)
			}
			return checkpoints
		}
		require.Equal(t, []string{long, short, long}, report())
		time.Sleep(longCheckpointInterval - time.Millisecond)
		require.Equal(t, []string{"", short, ""}, report())
		time.Sleep(time.Millisecond)
		require.Equal(t, []string{long, short, long}, report())
	})
}
