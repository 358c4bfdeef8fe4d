package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// endStore is a store that holds the rows of ends and may reject writes.
type endStore struct {
	keeper.Store
	rows     map[string]keeper.Row
	rejected bool
	leader   keeper.Version
}

func (s *endStore) Commit(_ context.Context, tx *keeper.Tx) (keeper.Version, error) {
	if s.rejected {
		return 0, keeper.ErrNotExecuted
	}
	for _, p := range tx.Preconditions {
		if p.Name == "leader" && p.Version != s.leader {
			return 0, new(keeper.ConflictError)
		}
	}
	for _, r := range tx.Writes {
		s.rows[r.Table+"/"+r.Name] = r
	}
	return 1, nil
}

func (s *endStore) Scan(_ context.Context, table, _, _, _ string) ([]keeper.Row, keeper.Version, error) {
	var rows []keeper.Row
	for _, r := range s.rows {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows, 1, nil
}

func newEndGateway() (*Gateway, *endStore) {
	s := &endStore{rows: make(map[string]keeper.Row), leader: 1}
	g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler), StoreUnreachableFor: func() time.Duration { return 0 }}
	g.Init()
	g.leader = s.leader
	return g, s
}

// TestCancelStoresUnsavedEnd guards against a cancellation that is acknowledged because
// the job has ended, although the end is not stored: the job ran again once the leader
// and the instances that knew the end were lost.
func TestCancelStoresUnsavedEnd(t *testing.T) {
	g, s := newEndGateway()
	g.Receive(&linker.Frame{States: []linker.JobState{{Job: "j", State: w.Completed, Unsaved: true}, {Job: "k", State: w.Completed}}})
	s.rejected = true
	ctx, cancel := context.WithTimeout(t.Context(), minCancelBudget+100*time.Millisecond)
	defer cancel()
	_, err := g.Cancel(ctx, "j")
	require.Error(t, err, "the end is not stored")
	found, err := g.Cancel(ctx, "k")
	require.NoError(t, err, "the end is stored")
	require.True(t, found)
	s.rejected = false
	found, err = g.Cancel(t.Context(), "j")
	require.NoError(t, err)
	require.True(t, found)
	var e keeper.End
	require.NoError(t, json.Unmarshal(s.rows["ends/j"].Value, &e))
	require.Equal(t, w.Completed, e.State)
}

// TestCancelKeepsShownEnd guards against a job that was shown as completed and is then
// shown as cancelled, because its end arrived while the cancellation was written.
func TestCancelKeepsShownEnd(t *testing.T) {
	g, _ := newEndGateway()
	g.Receive(&linker.Frame{States: []linker.JobState{{Job: "j", State: w.Running}}})
	g.Keeper = &keeper.Keeper{Store: commitHook{func() {
		g.Receive(&linker.Frame{States: []linker.JobState{{Job: "j", State: w.Completed, Unsaved: true}}})
	}}}
	_, err := g.Cancel(t.Context(), "j")
	require.NoError(t, err)
	state, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state)
}

// commitHook calls a function during each commit.
type commitHook struct{ f func() }

func (c commitHook) Commit(context.Context, *keeper.Tx) (keeper.Version, error) { c.f(); return 1, nil }

func (commitHook) Scan(context.Context, string, string, string, string) ([]keeper.Row, keeper.Version, error) {
	return nil, 1, nil
}

func (commitHook) Changes(context.Context, string, keeper.Version, time.Duration) ([]keeper.Row, keeper.Version, error) {
	return nil, 1, nil
}

func (commitHook) Clock() time.Duration { return 0 }

// TestUnsavedEndIsNotShown guards against showing a job as completed while only instances
// know its end: the job ran again when all of them lost power, or when those that knew it
// were cut off from the next leader.
func TestUnsavedEndIsNotShown(t *testing.T) {
	g, s := newEndGateway()
	g.forward(&w.Job{ID: "j", Accepted: time.Now().UnixMilli()}, false)
	requireState := func(want w.State) {
		t.Helper()
		state, err := g.State(t.Context(), "j")
		require.NoError(t, err)
		require.Equal(t, want, state)
	}
	unsaved := &linker.Frame{Reset: true, States: []linker.JobState{{Job: "j", State: w.Completed, Unsaved: true}}}
	g.Receive(unsaved)
	requireState(w.Running)
	s.rejected = true
	require.Error(t, g.SaveUnsavedEnds(t.Context(), time.Now()))
	requireState(w.Running)
	s.rejected = false
	require.NoError(t, g.SaveUnsavedEnds(t.Context(), time.Now()))
	require.Contains(t, s.rows, "ends/j")
	requireState(w.Completed)
	g.Receive(unsaved)
	requireState(w.Completed)
}

// TestCancelOfUnknownJobIsStored guards against a job that runs after its cancelling was
// answered with 410: the store performed the write of the job later.
func TestCancelOfUnknownJobIsStored(t *testing.T) {
	g, s := newEndGateway()
	found, err := g.Cancel(t.Context(), "j")
	require.NoError(t, err)
	require.False(t, found)
	require.JSONEq(t, `{"u":""}`, string(s.rows["cancels/j"].Value))
	s.rejected = true
	ctx, cancel := context.WithTimeout(t.Context(), minCancelBudget+100*time.Millisecond)
	defer cancel()
	_, err = g.Cancel(ctx, "k")
	require.Error(t, err, "the cancellation is not stored")
}

// TestEndOfReplacedLeaderIsNotShown guards against showing an end that the current leader
// does not know, and that its job's tasks may therefore run again.
func TestEndOfReplacedLeaderIsNotShown(t *testing.T) {
	g, s := newEndGateway()
	g.forward(&w.Job{ID: "j", Accepted: time.Now().UnixMilli()}, false)
	unsaved := &linker.Frame{States: []linker.JobState{{Job: "j", State: w.Completed, Unsaved: true}}}
	g.Receive(unsaved)
	s.leader = 2
	for range 2 {
		require.NoError(t, g.SaveUnsavedEnds(t.Context(), time.Now().Add(otherEndDelay)))
		require.Empty(t, s.rows)
		state, err := g.State(t.Context(), "j")
		require.NoError(t, err)
		require.Equal(t, w.Running, state)
	}
	found, err := g.Cancel(t.Context(), "j")
	require.NoError(t, err)
	require.True(t, found)
	require.Contains(t, s.rows, "cancels/j", "a cancellation does not depend on the leader")

	// The next leader was told of the end by another instance.
	g.leader = 2
	g.Receive(unsaved)
	require.NoError(t, g.SaveUnsavedEnds(t.Context(), time.Now()))
	require.Contains(t, s.rows, "ends/j")
}

// TestSaveUnsavedEnds guards against ends that exist only in the memory of instances
// although the store responds, and against all instances writing the same ends.
func TestSaveUnsavedEnds(t *testing.T) {
	g, s := newEndGateway()
	now := time.Now()
	g.forward(&w.Job{ID: "own", Accepted: now.UnixMilli()}, false)
	unsaved := []linker.JobState{{Job: "own", State: w.Completed, Unsaved: true}, {Job: "other", State: w.Failed, Unsaved: true}}
	g.Receive(&linker.Frame{States: unsaved})
	save := func(after time.Duration) {
		t.Helper()
		require.NoError(t, g.SaveUnsavedEnds(t.Context(), time.Now().Add(after)))
	}
	require.NotEmpty(t, g.OwnEnds())
	save(0)
	require.Contains(t, s.rows, "ends/own")
	require.NotContains(t, s.rows, "ends/other", "the instance that accepted the job writes it first")
	g.StoreUnreachableFor = func() time.Duration { return time.Second }
	save(otherEndDelay + 100*time.Millisecond)
	require.NotContains(t, s.rows, "ends/other", "the store does not respond")
	g.StoreUnreachableFor = func() time.Duration { return 0 }
	save(otherEndDelay + 100*time.Millisecond)
	require.Contains(t, s.rows, "ends/other")

	third, _ := newEndGateway()
	third.Keeper = g.Keeper
	third.Receive(&linker.Frame{States: unsaved})
	s.rejected = true // a write would fail
	require.NoError(t, third.SaveUnsavedEnds(t.Context(), time.Now().Add(otherEndDelay+time.Second)))

	g.Receive(&linker.Frame{States: []linker.JobState{{Job: "own", State: w.Completed}, {Job: "other", State: w.Failed}}})
	require.Empty(t, g.unsavedEnds, "the leader has stored the ends")
}

// TestOldJobIsNotForwarded guards against running a job again whose rows were removed while
// its instance was cut off from all leaders.
func TestOldJobIsNotForwarded(t *testing.T) {
	g, _ := newEndGateway()
	g.forward(&w.Job{ID: "new", Queue: "q", Accepted: time.Now().UnixMilli()}, false)
	g.forward(&w.Job{ID: "old", Queue: "q", Accepted: time.Now().Add(-maxForwardAge - time.Second).UnixMilli()}, false)
	local, remote := net.Pipe()
	peer, conn := linker.NewConn(remote), linker.NewConn(local)
	defer peer.Close()
	defer conn.Close()
	got := make(chan *linker.Frame, 16)
	go func() { _ = peer.Receive(func(f *linker.Frame) { got <- f }) }()
	g.Connect(conn, 2)
	f := <-got
	require.Len(t, f.Jobs, 1)
	require.Equal(t, w.JobID("new"), f.Jobs[0].ID)
	n, _ := g.Pending("q")
	require.Equal(t, 1, n, "the leader counts the other one")
}
