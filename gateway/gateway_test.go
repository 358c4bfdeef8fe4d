package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestFailFastRetryAfter guards against a retry delay that is too short for the
// outage when a job is refused without an attempt to store it. The delay was derived
// from StoreUnreachableFor, which may be much shorter than the outage, instead of
// StoreFailingFor.
func TestFailFastRetryAfter(t *testing.T) {
	g := &Gateway{
		Keeper: &keeper.Keeper{}, Log: slog.New(slog.DiscardHandler),
		StoreFailingFor:     func() time.Duration { return 3 * time.Second },
		StoreUnreachableFor: func() time.Duration { return 1700 * time.Millisecond },
	}
	g.Init()
	g.lastProbe.Store(time.Now().UnixNano())
	err := g.Submit(t.Context(), &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "storeAway", refused.Reason)
	require.Equal(t, 3*time.Second, refused.RetryAfter)

	// The delay leaves a client with an earlier deadline time to retry.
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	err = g.Submit(ctx, &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, minRetryAfter, refused.RetryAfter)

	// If only this instance is isolated, an earlier retry would reach it again.
	g.RerouteDelay = func() time.Duration { return 2200 * time.Millisecond }
	err = g.Submit(ctx, &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 2200*time.Millisecond, refused.RetryAfter)
}

// unresponsiveStore never answers a commit.
type unresponsiveStore struct{ keeper.Store }

func (unresponsiveStore) Commit(ctx context.Context, _ *keeper.Tx) (keeper.Version, error) {
	<-ctx.Done()
	return 0, keeper.ErrOutcomeUnknown
}

// TestSubmitTimesOutEarlyIfStoreUnreachable guards against submissions that wait for
// an unreachable store until the client's deadline, which left the client no time to
// try another instance.
func TestSubmitTimesOutEarlyIfStoreUnreachable(t *testing.T) {
	for name, c := range map[string]struct {
		unreachableFor         time.Duration
		minElapsed, maxElapsed time.Duration
	}{
		"unreachable":       {100 * time.Millisecond, 350 * time.Millisecond, 600 * time.Millisecond},
		"slow":              {0, 900 * time.Millisecond, 1300 * time.Millisecond},
		"known unreachable": {time.Second, 350 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{
				Keeper: &keeper.Keeper{Store: unresponsiveStore{}}, Log: slog.New(slog.DiscardHandler),
				StoreFailingFor: func() time.Duration { return c.unreachableFor }, StoreUnreachableFor: func() time.Duration { return c.unreachableFor },
			}
			g.Init()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			start := time.Now()
			err := g.Submit(ctx, &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
			require.Error(t, err)
			var refused *RefusedError
			require.NotErrorAs(t, err, &refused, "the job may be stored")
			require.Greater(t, time.Since(start), c.minElapsed)
			require.Less(t, time.Since(start), c.maxElapsed)
		})
	}
}

// TestUnsavedStatesSurviveReset guards against the loss of a final state that was not
// stored when the leader changed: the new leader learns of it only from the instances, and
// clients may have seen it if an instance has written it.
func TestUnsavedStatesSurviveReset(t *testing.T) {
	g, _ := newEndGateway()
	g.Receive(&linker.Frame{States: []linker.JobState{
		{Job: "a", State: w.Completed, Unsaved: true}, {Job: "b", State: w.Failed, Unsaved: true}, {Job: "c", State: w.Completed},
	}})
	require.NoError(t, g.SaveUnsavedEnds(t.Context(), time.Now().Add(otherEndDelay)))
	g.Receive(&linker.Frame{Reset: true, States: []linker.JobState{{Job: "b", State: w.Failed}, {Job: "a", State: w.Queued}}})
	state, err := g.State(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state, "a published final state must not be reverted")

	local, remote := net.Pipe()
	peer := linker.NewConn(remote)
	got := make(chan *linker.Frame, 16)
	go func() { _ = peer.Receive(func(f *linker.Frame) { got <- f }) }()
	conn := linker.NewConn(local)
	defer conn.Close()
	defer peer.Close()
	g.Connect(conn, 1)
	f := <-got
	require.Equal(t, []linker.JobState{{Job: "a", State: w.Completed}}, f.Ended)
	require.Equal(t, f.Ended, f.SavedEnds)
}

// TestEndMissedWhileDisconnected guards against a job that is shown as running forever, or
// cancelled after its end, because it ended and was stored while the instance had no
// connection. The states that follow the next join leave it out.
func TestEndMissedWhileDisconnected(t *testing.T) {
	key := keeper.Key{Table: keeper.TableJobs, Name: "j"}
	progress := keeper.Key{Table: keeper.TableProgress, Name: "j"}
	s := &rowStore{rows: map[keeper.Key]keeper.Row{
		key:      {Key: key, Value: []byte(`{}`), Version: 1},
		progress: {Key: progress, Value: []byte(`{}`), Version: 1},
	}}
	p, err := json.Marshal(keeper.Progress{State: w.Completed})
	require.NoError(t, err)
	g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	g.Receive(&linker.Frame{Reset: true, States: []linker.JobState{{Job: "j", State: w.Running}}})
	s.rows[progress] = keeper.Row{Key: progress, Value: p, Version: 2}
	g.Receive(&linker.Frame{Reset: true})
	found, err := g.Cancel(t.Context(), "j")
	require.NoError(t, err)
	require.True(t, found)
	require.Zero(t, s.commits, "no cancellation is stored for a job that has ended")
	state, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state)
}

// singleRowStore is a store that holds only the row of one job.
type singleRowStore struct {
	keeper.Store
	row keeper.Row
}

func (s *singleRowStore) Commit(_ context.Context, tx *keeper.Tx) (keeper.Version, error) {
	if s.row.Version == 0 {
		s.row = tx.Writes[0]
		s.row.Version = 7
		return 7, nil
	}
	return 0, &keeper.ConflictError{Rows: []keeper.Row{s.row}}
}

// TestResubmissionOfStoredJobSetsAgain guards against two concurrent runs of a task. A
// job that an earlier submission has stored may already run on a target that the
// current coordinator has not reached yet. If a later submission of the job at another
// instance forwarded it without Again, the coordinator would take it for a new job and
// start it at once.
func TestResubmissionOfStoredJobSetsAgain(t *testing.T) {
	s := &singleRowStore{}
	// submitAtNewInstance submits the job to a gateway without any state, and returns
	// the frame by which the gateway forwards it.
	submitAtNewInstance := func() *linker.Frame {
		g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler), StoreUnreachableFor: func() time.Duration { return 0 }}
		g.Init()
		g.Configure(&w.Config{Version: 1})
		local, remote := net.Pipe()
		peer, conn := linker.NewConn(remote), linker.NewConn(local)
		defer peer.Close()
		defer conn.Close()
		got := make(chan *linker.Frame, 16)
		go func() { _ = peer.Receive(func(f *linker.Frame) { got <- f }) }()
		g.Connect(conn, 1)
		require.NoError(t, g.Submit(t.Context(), &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}}))
		for {
			if f := <-got; len(f.Jobs) > 0 {
				return f
			}
		}
	}
	require.False(t, submitAtNewInstance().Again, "the first submission stored the job, so no coordinator has received it")
	require.True(t, submitAtNewInstance().Again, "a previous coordinator may have started the stored job")
}

// TestStalePendingCountIsNotReported guards against a pending count that is far too
// small: an instance without a coordinator connection kept reporting the last count that
// it had received.
func TestStalePendingCountIsNotReported(t *testing.T) {
	g := &Gateway{Keeper: &keeper.Keeper{}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	local, remote := net.Pipe()
	defer remote.Close()
	conn := linker.NewConn(local)
	defer conn.Close()
	g.Connect(conn, 1)
	g.Receive(&linker.Frame{Pending: &linker.PendingCounts{Queues: []linker.Pending{{Queue: "q", Jobs: 36}}}})
	n, known := g.Pending("q")
	require.True(t, known)
	require.Equal(t, 36, n)
	g.Disconnect(conn)
	_, known = g.Pending("q")
	require.True(t, known, "the count stays valid during a change of coordinator")
	g.pendingStaleSince = g.pendingStaleSince.Add(-maxPendingAge)
	_, known = g.Pending("q")
	require.False(t, known)
}

// readableStore answers reads of single rows.
type readableStore struct {
	keeper.Store
	rows []keeper.Row
}

func (s *readableStore) Scan(context.Context, string, string, string, string) ([]keeper.Row, keeper.Version, error) {
	return s.rows, 1, nil
}

// TestGangBeyondCapIsRefused guards against accepting a gang that can never start, and
// against refusing one that was stored before the cap was lowered and may still run.
func TestGangBeyondCapIsRefused(t *testing.T) {
	store := &readableStore{}
	g := &Gateway{
		Keeper: &keeper.Keeper{Store: store}, Log: slog.New(slog.DiscardHandler), QuotaExcess: func() float64 { return 0.1 },
		StoreFailingFor: func() time.Duration { return time.Second }, StoreUnreachableFor: func() time.Duration { return time.Second },
	}
	g.Init()
	g.Configure(&w.Config{Version: 1, Tenants: []w.Tenant{{Name: "t", Cap: w.Resources{CPU: 1000}}}})
	reason := func(id w.JobID, tenant w.TenantName, tasks int) (string, bool, time.Duration) {
		g.lastProbe.Store(time.Now().UnixNano()) // jobs that pass the check are refused, since the store is unreachable
		err := g.Submit(WithCaller(t.Context(), Caller{Tenant: tenant}), &w.Queue{Name: "q"}, &w.Job{ID: id, Steps: []w.Step{{Count: tasks, Gang: true, Need: w.Resources{CPU: 100}}}})
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		return refused.Reason, refused.Overload, refused.RetryAfter
	}
	got, overload, retry := reason("j", "t", 13)
	require.Equal(t, "tenantCap", got)
	require.True(t, overload)
	require.Equal(t, capRetryAfter, retry)
	for _, tc := range []struct {
		tenant w.TenantName
		tasks  int
	}{{"t", 12}, {"u", 13}, {"", 13}} {
		got, _, _ = reason("j", tc.tenant, tc.tasks)
		require.Equal(t, "storeAway", got)
	}
	store.rows = []keeper.Row{{Version: 1}}
	got, _, _ = reason("j", "t", 13)
	require.Equal(t, "storeAway", got)
}

// TestOversizedJobHoldsUpNoOthers guards against a job that can't be stored and fails the
// other jobs of its batch, and that its client is told to submit again.
func TestOversizedJobHoldsUpNoOthers(t *testing.T) {
	a := newAcceptor(&keeper.Keeper{Store: new(singleRowStore), MaxRowBytes: 4000})
	small, large := &w.Job{ID: "small", Steps: []w.Step{{Count: 1}}}, &w.Job{ID: "large", Spec: strings.Repeat("x", 4000), Steps: []w.Step{{Count: 1}}}
	batch := []*submission{{job: large, done: make(chan acceptResult, 1)}, {job: small, done: make(chan acceptResult, 1)}}
	a.writeBatch(batch)
	require.ErrorIs(t, (<-batch[0].done).err, keeper.ErrRejected)
	require.NoError(t, (<-batch[1].done).err)

	g, _ := newEndGateway()
	g.Keeper.MaxRowBytes = 4000
	g.Freshness.Apply(&w.Config{Version: 1}, 0)
	err := g.Submit(t.Context(), &w.Queue{Name: "q"}, large)
	require.ErrorIs(t, err, w.ErrInvalid)
	require.ErrorContains(t, err, "limit 4000")
}

// TestEndedJobIsSubmittedAgain guards against a job that is shown as queued after its end,
// because it was submitted once more and its row has no content any more.
func TestEndedJobIsSubmittedAgain(t *testing.T) {
	key, progress := keeper.Key{Table: keeper.TableJobs, Name: "j"}, keeper.Key{Table: keeper.TableProgress, Name: "j"}
	p, err := json.Marshal(keeper.Progress{State: w.Completed})
	require.NoError(t, err)
	s := &rowStore{rows: map[keeper.Key]keeper.Row{
		key:      {Key: key, Value: []byte(`{"z":true}`), Version: 2},
		progress: {Key: progress, Value: p, Version: 1},
	}}
	zero := func() time.Duration { return 0 }
	g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler), StoreFailingFor: zero, StoreUnreachableFor: zero}
	g.Init()
	g.Configure(&w.Config{Version: 1})
	require.NoError(t, g.Submit(t.Context(), &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}}))
	require.Empty(t, g.unconfirmedJobs)
	state, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state)
}
