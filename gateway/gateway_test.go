package gateway

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestRefusedUntried guards against callers who are asked to return sooner than
// the outage suggests when their job is refused without a try.
func TestRefusedUntried(t *testing.T) {
	g := &Gateway{
		Keeper: &keeper.Keeper{}, Log: slog.New(slog.DiscardHandler),
		StoreFailing: func() time.Duration { return 3 * time.Second },
		StoreAway:    func() time.Duration { return 1700 * time.Millisecond },
	}
	g.Init()
	g.probed.Store(time.Now().UnixNano())
	err := g.Submit(t.Context(), &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "storeAway", refused.Reason)
	require.Equal(t, 3*time.Second, refused.RetryAfter)

	// A caller whose time would be over by then may return within it.
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	err = g.Submit(ctx, &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, firstRetry, refused.RetryAfter)

	// Sooner, a caller of an instance that is cut off alone would reach it again.
	g.Unrouted = func() time.Duration { return 2200 * time.Millisecond }
	err = g.Submit(ctx, &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 2200*time.Millisecond, refused.RetryAfter)
}

// silentStore never answers.
type silentStore struct{ keeper.Store }

func (silentStore) Commit(ctx context.Context, _ *keeper.Tx) (keeper.Version, error) {
	<-ctx.Done()
	return 0, keeper.ErrOutcomeUnknown
}

// TestUnclearIsToldEarly guards against callers who wait until their deadline for
// a store that does not answer: they had no time left to ask another instance.
func TestUnclearIsToldEarly(t *testing.T) {
	for name, c := range map[string]struct {
		away        time.Duration
		least, most time.Duration
	}{
		"silent":           {100 * time.Millisecond, 350 * time.Millisecond, 600 * time.Millisecond},
		"only slow":        {0, 900 * time.Millisecond, 1300 * time.Millisecond},
		"known to be away": {time.Second, 350 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{
				Keeper: &keeper.Keeper{Store: silentStore{}}, Log: slog.New(slog.DiscardHandler),
				StoreFailing: func() time.Duration { return c.away }, StoreAway: func() time.Duration { return c.away },
			}
			g.Init()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			err := g.Submit(ctx, &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}})
			require.Error(t, err)
			var refused *RefusedError
			require.NotErrorAs(t, err, &refused, "the job may be stored")
			require.Greater(t, time.Since(began), c.least)
			require.Less(t, time.Since(began), c.most)
		})
	}
}

// TestShownEndsAreRemembered guards against ends that callers saw and that nobody
// knows after a change of the leader, since the store did not hold them yet.
func TestShownEndsAreRemembered(t *testing.T) {
	g := &Gateway{Keeper: &keeper.Keeper{}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	g.Receive(&linker.Frame{States: []linker.JobState{
		{Job: "a", State: w.Completed, Unsaved: true}, {Job: "b", State: w.Failed, Unsaved: true}, {Job: "c", State: w.Completed},
	}})
	g.Receive(&linker.Frame{Reset: true, States: []linker.JobState{{Job: "b", State: w.Failed}, {Job: "a", State: w.Queued}}})
	state, err := g.State(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state, "an end that was shown is not taken back")

	near, far := net.Pipe()
	peer := linker.NewConn(far)
	got := make(chan *linker.Frame, 16)
	go func() { _ = peer.Receive(func(f *linker.Frame) { got <- f }) }()
	conn := linker.NewConn(near)
	defer conn.Close()
	defer peer.Close()
	g.Connect(conn)
	f := <-got
	require.Equal(t, []linker.JobState{{Job: "a", State: w.Completed}}, f.Ended)
}

// rowStore holds the row of one job.
type rowStore struct {
	keeper.Store
	row keeper.Row
}

func (s *rowStore) Commit(_ context.Context, tx *keeper.Tx) (keeper.Version, error) {
	if s.row.Version == 0 {
		s.row = tx.Writes[0]
		s.row.Version = 7
		return 7, nil
	}
	return 0, &keeper.ConflictError{Rows: []keeper.Row{s.row}}
}

// TestRepeatedSubmissionIsNotFresh guards against two runs at a time: a new leader
// that had not read the job from the store, while a target that it could not reach
// ran it already, took a repeated submission for a job that nobody has started.
func TestRepeatedSubmissionIsNotFresh(t *testing.T) {
	s := &rowStore{}
	frames := func() *linker.Frame {
		g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler), StoreAway: func() time.Duration { return 0 }}
		g.Init()
		g.Configure(&w.Config{Version: 1})
		near, far := net.Pipe()
		peer, conn := linker.NewConn(far), linker.NewConn(near)
		defer peer.Close()
		defer conn.Close()
		got := make(chan *linker.Frame, 16)
		go func() { _ = peer.Receive(func(f *linker.Frame) { got <- f }) }()
		g.Connect(conn)
		require.NoError(t, g.Submit(t.Context(), &w.Queue{Name: "q"}, &w.Job{ID: "j", Steps: []w.Step{{Count: 1}}}))
		for {
			if f := <-got; len(f.Jobs) > 0 {
				return f
			}
		}
	}
	require.False(t, frames().Again, "nobody has seen the job before")
	require.True(t, frames().Again, "the first submission may have been started")
}

// TestOldCountIsNotTold guards against a number of waiting jobs that is far too small:
// an instance without a coordinator went on to tell the last one that it knew.
func TestOldCountIsNotTold(t *testing.T) {
	g := &Gateway{Keeper: &keeper.Keeper{}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	near, far := net.Pipe()
	defer far.Close()
	conn := linker.NewConn(near)
	defer conn.Close()
	g.Connect(conn)
	g.Receive(&linker.Frame{Pending: &linker.PendingCounts{Queues: []linker.Pending{{Queue: "q", Jobs: 36}}}})
	n, known := g.Pending("q")
	require.True(t, known)
	require.Equal(t, 36, n)
	g.Disconnect(conn)
	_, known = g.Pending("q")
	require.True(t, known, "a change of the coordinator takes a moment")
	g.alone = g.alone.Add(-pendingLife)
	_, known = g.Pending("q")
	require.False(t, known)
}
