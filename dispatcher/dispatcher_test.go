package dispatcher

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/claimer"
	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// TestSecondSubmissionJoins guards against running a resubmitted request twice.
func TestSecondSubmissionJoins(t *testing.T) {
	c := newTestCell(t, 2)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	s := c.submission("r1", "plan", emulator.Payload{RunMs: 50})
	first, err := d.Begin(context.Background(), s)
	require.NoError(t, err)
	second := c.submit(d, s)
	<-first.Done()
	o, err := first.Result()
	require.NoError(t, err)
	require.Equal(t, descriptor.Completed, o.Kind())
	require.Equal(t, o, second)
	require.Equal(t, o, c.submit(d, s), "a late submission returns the retained outcome")
	require.Len(t, c.runs(s.Key), 1)
}

// TestLostStartAnswer guards against sending a start order to another target when
// the response to the first one was lost, although it took effect.
func TestLostStartAnswer(t *testing.T) {
	for _, kind := range []string{"plan", "settlement"} {
		c := newTestCell(t, 3)
		d := c.addInstance("a", nil)
		c.assignSlices("a", allSlices)
		c.submit(d, c.submission("warm", "plan", emulator.Payload{RunMs: 1}))
		c.setFaults(emulator.Faults{DropResponses: 1})
		s := c.submission("r1", kind, emulator.Payload{RunMs: 100})
		require.Equal(t, descriptor.Completed, c.submit(d, s).Kind(), kind)
		require.Len(t, c.runs(s.Key), 1, kind)
	}
}

// delayedDialer delays the first start order beyond its start deadline, as if the
// process had been paused between checking the grant and sending the order.
type delayedDialer struct {
	connector.Dialer
	delay time.Duration
	once  chan struct{}
}

type delayedConn struct {
	connector.TargetConn
	d *delayedDialer
}

func (d *delayedDialer) Dial(t descriptor.Target) connector.TargetConn {
	return &delayedConn{d.Dialer.Dial(t), d}
}

func (c *delayedConn) Start(ctx context.Context, o connector.StartOrder) (connector.TargetStatus, error) {
	select {
	case c.d.once <- struct{}{}:
		time.Sleep(c.d.delay)
		ctx = context.WithoutCancel(ctx)
	default:
	}
	return c.TargetConn.Start(ctx, o)
}

// TestPausedSenderStartsNothing guards against an order that starts a task after
// the grant under which it was sent has ended.
func TestPausedSenderStartsNothing(t *testing.T) {
	c := newTestCell(t, 2)
	dialer := &delayedDialer{
		Dialer: &connector.HTTPDialer{Client: connector.NewHTTPClient(16, "")},
		delay:  time.Second, once: make(chan struct{}, 1),
	}
	d := c.addInstance("a", dialer)
	c.assignSlices("a", allSlices)
	s := c.submission("r1", "plan", emulator.Payload{RunMs: 20})
	require.Equal(t, descriptor.Completed, c.submit(d, s).Kind())
	require.Len(t, c.runs(s.Key), 1)
	lateOrders := 0
	for _, target := range c.cell.Targets {
		lateOrders += target.History().LateOrders
	}
	require.LessOrEqual(t, lateOrders, 1)
}

// TestNothingStartsWithoutGrant guards against starts by an instance whose lease
// has expired.
func TestNothingStartsWithoutGrant(t *testing.T) {
	c := newTestCell(t, 2)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	c.submit(d, c.submission("warm", "plan", emulator.Payload{RunMs: 1}))
	s := c.submission("r1", "plan", emulator.Payload{RunMs: 1})
	c.owners.setSuspended("a", true)
	_, err := d.Begin(context.Background(), s)
	require.ErrorIs(t, err, ErrNotOwner)
	c.owners.setSuspended("a", false)
	require.Equal(t, descriptor.Completed, c.submit(d, s).Kind())
	require.Len(t, c.runs(s.Key), 1)
}

// TestNextOwnerFindsRunningWork guards against starting running work again, or
// losing the outcome of finished work, when the owner fails.
func TestNextOwnerFindsRunningWork(t *testing.T) {
	for _, kind := range []string{"plan", "settlement", "stairwell"} {
		c := newTestCell(t, 3)
		a := c.addInstance("a", nil)
		c.assignSlices("a", allSlices)
		running := c.submission("running", kind, emulator.Payload{RunMs: 1500})
		ended := c.submission("ended", kind, emulator.Payload{RunMs: 1})
		require.Equal(t, descriptor.Completed, c.submit(a, ended).Kind())
		_, err := a.Begin(context.Background(), running)
		require.NoError(t, err)
		tasks := c.rules.Kinds[running.Kind].Tasks
		c.eventually(func() bool { return len(c.runs(running.Key)) == tasks })
		c.crash("a")

		b := c.addInstance("b", nil)
		c.assignSlices("b", allSlices)
		require.Equal(t, descriptor.Completed, c.submit(b, running).Kind(), kind)
		require.Equal(t, descriptor.Completed, c.submit(b, ended).Kind(), kind)
		require.Len(t, c.runs(running.Key), tasks, kind)
		require.Len(t, c.runs(ended.Key), tasks, kind)
	}
}

// TestNoRefusalAfterARun guards against refusing a request of which an attempt of
// an earlier owner has run and expired.
func TestNoRefusalAfterARun(t *testing.T) {
	c := newTestCell(t, 1)
	a := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	s := c.submission("r1", "plan", emulator.Payload{RunMs: 60_000})
	rerun := c.submission("r2", "plan", emulator.Payload{RunMs: 60_000})
	for _, sub := range []Submission{s, rerun} {
		_, err := a.Begin(context.Background(), sub)
		require.NoError(t, err)
		c.eventually(func() bool { return len(c.runs(sub.Key)) == 1 })
	}
	c.crash("a")
	c.eventually(func() bool { return c.runs(s.Key)[0].State.Ended() && c.runs(rerun.Key)[0].State.Ended() })

	b := c.addInstance("b", nil)
	c.assignSlices("b", allSlices)
	s.Kind = "unknownKind"
	require.Equal(t, descriptor.Failed, c.submit(b, s).Kind())
	rerun.Payload = nil
	require.Equal(t, descriptor.Completed, c.submit(b, rerun).Kind(), "idempotent work may run again")
}

// TestStartRequiresClaim guards against starting non-idempotent work without a
// durable claim held by this instance.
func TestStartRequiresClaim(t *testing.T) {
	c := newTestCell(t, 2)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	s := c.submission("r1", "settlement", emulator.Payload{RunMs: 1})

	c.claimers["a"].err = connector.ErrUnavailable
	o := c.submit(d, s)
	require.Equal(t, descriptor.Refused, o.Kind())
	require.Equal(t, descriptor.ReasonStoreUnavailable, o.Reason())
	require.Positive(t, o.RetryAfter())
	c.claimers["a"].err = nil
	// The record of a refused request is kept until its claim is withdrawn.
	c.eventually(func() bool { return d.record(s.Key) == nil })

	c.claims[s.Key] = claimer.Claim{Holder: claimer.Holder{Instance: "gone"}, ClaimedMs: time.Now().UnixMilli()}
	o = c.submit(d, s)
	require.Equal(t, descriptor.Unknown, o.Kind())
	require.Positive(t, o.RetryAfter(), "the holder may still record an outcome or withdraw its claim")
	c.eventually(func() bool { return d.record(s.Key) == nil })
	c.claims[s.Key] = claimer.Claim{Holder: claimer.Holder{Instance: "gone"}, ClaimedMs: time.Now().Add(-time.Hour).UnixMilli()}
	o = c.submit(d, s)
	require.Equal(t, descriptor.Unknown, o.Kind())
	require.Zero(t, o.RetryAfter(), "an old claim without an outcome stays unknown")
	require.Empty(t, c.runs(s.Key))
}

// TestLostTarget guards against requests that wait forever for a failed target,
// and against idempotent work that runs on another target before its lease has
// ended.
func TestLostTarget(t *testing.T) {
	c := newTestCell(t, 2)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	plan := c.submission("r1", "plan", emulator.Payload{RunMs: 4000})
	settlement := c.submission("r2", "settlement", emulator.Payload{RunMs: 4000})
	_, err := d.Begin(context.Background(), plan)
	require.NoError(t, err)
	_, err = d.Begin(context.Background(), settlement)
	require.NoError(t, err)
	c.eventually(func() bool { return len(c.runs(plan.Key)) == 1 && len(c.runs(settlement.Key)) == 1 })
	lost := c.runs(plan.Key)[0].Target
	require.Equal(t, lost, c.runs(settlement.Key)[0].Target, "both requests are placed on one target")
	c.cell.Targets[lost].SetFaults(emulator.Faults{Down: true})

	require.Equal(t, descriptor.Unknown, c.submit(d, settlement).Kind())
	require.Equal(t, descriptor.Completed, c.submit(d, plan).Kind())
	runs := c.runs(plan.Key)
	require.Len(t, runs, 2)
	first, second := runs[0], runs[1]
	if second.StartedNs < first.StartedNs {
		first, second = second, first
	}
	require.Less(t, first.EndedNs, second.StartedNs)
	require.Len(t, c.runs(settlement.Key), 1)
}

// TestLeavingTarget guards against new tasks on a target that reports that it is
// leaving.
func TestLeavingTarget(t *testing.T) {
	c := newTestCell(t, 2)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	c.submit(d, c.submission("warm", "plan", emulator.Payload{RunMs: 1}))
	c.cell.Targets["t0"].SetFaults(emulator.Faults{Leaving: true})
	c.eventually(func() bool {
		for _, info := range d.Targets() {
			if info.ID == "t0" {
				return info.Leaving
			}
		}
		return false
	})
	before := len(c.cell.Targets["t0"].History().Runs)
	for _, id := range []string{"r1", "r2", "r3"} {
		require.Equal(t, descriptor.Completed, c.submit(d, c.submission(id, "plan", emulator.Payload{RunMs: 1})).Kind())
	}
	require.Len(t, c.cell.Targets["t0"].History().Runs, before)
}

// TestCancelStopsWork guards against a cancelled request that keeps running or runs
// later.
func TestCancelStopsWork(t *testing.T) {
	c := newTestCell(t, 1)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	s := c.submission("r1", "stairwell", emulator.Payload{RunMs: 60_000})
	_, err := d.Begin(context.Background(), s)
	require.NoError(t, err)
	c.eventually(func() bool { return len(c.runs(s.Key)) == 3 })
	h, err := d.Cancel(context.Background(), s.Key)
	require.NoError(t, err)
	<-h.Done()
	o, err := h.Result()
	require.NoError(t, err)
	require.Equal(t, descriptor.Cancelled, o.Kind())
	for _, r := range c.runs(s.Key) {
		require.Equal(t, descriptor.TaskStopped, r.State)
	}
}

// TestTargetMoves guards against an owner that keeps using the old address of a
// target that was replaced under the same name.
func TestTargetMoves(t *testing.T) {
	c := newTestCell(t, 1)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	c.submit(d, c.submission("before", "plan", emulator.Payload{RunMs: 1}))

	replacement := c.startReplacement()
	c.cell.Targets["t0"].SetFaults(emulator.Faults{Down: true})
	c.cell.Platform.SetListing(replacement.Listing)

	s := c.submission("after", "plan", emulator.Payload{RunMs: 1})
	require.Equal(t, descriptor.Completed, c.submit(d, s).Kind())
	require.Len(t, replacement.Targets["t0"].History().Runs, 1)
}

// startReplacement starts a replacement of the first target at another address.
// The platform directory does not list it yet.
func (c *testCell) startReplacement() *emulator.Cell {
	c.t.Helper()
	replacement := &emulator.Cell{Listing: c.cell.Listing}
	replacement.Listing.Targets = slices.Clone(replacement.Listing.Targets)
	replacement.Listing.Targets[0].Address = "127.0.0.1:0"
	require.NoError(c.t, replacement.Start())
	c.t.Cleanup(func() { require.NoError(c.t, replacement.Close()) })
	return replacement
}

// TestTargetMovesDuringStart guards against a request that gets no outcome or
// counts as not run, because an order without a response was dropped together with
// the old address of the target.
func TestTargetMovesDuringStart(t *testing.T) {
	c := newTestCell(t, 1)
	d := c.addInstance("a", nil)
	c.assignSlices("a", allSlices)
	c.submit(d, c.submission("before", "plan", emulator.Payload{RunMs: 1}))

	replacement := c.startReplacement()
	c.cell.Targets["t0"].SetFaults(emulator.Faults{DelayMs: 3000})
	s := c.submission("after", "plan", emulator.Payload{RunMs: 1})
	var outcome descriptor.Outcome
	var err error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		outcome, err = d.Submit(ctx, s)
	}()
	c.eventually(func() bool { return len(c.runs(s.Key)) == 1 })
	c.cell.Platform.SetListing(replacement.Listing)
	c.eventually(func() bool {
		w := d.worker("t0")
		return w != nil && w.target.Address == replacement.Listing.Targets[0].Address && w.info().Synced
	})
	found := d.HandleSliceTasks(SliceTasksRequest{Slices: []descriptor.SliceID{s.Key.Slice()}}).Tasks
	require.Len(t, found, 1, "recovering owners are told of the order to the old address")
	require.True(t, found[0].Pending)
	<-ended
	require.NoError(t, err)
	require.Equal(t, descriptor.Completed, outcome.Kind())
	require.Len(t, replacement.Targets["t0"].History().Runs, 1)
}
