package gateway

import (
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

// endedRows returns a store with a job that has run, the key of its progress, and the row of
// its progress after its end.
func endedRows(t *testing.T) (*rowStore, keeper.Key, keeper.Row) {
	t.Helper()
	key, progress := keeper.Key{Table: keeper.TableJobs, Name: "j"}, keeper.Key{Table: keeper.TableProgress, Name: "j"}
	p, err := json.Marshal(keeper.Progress{State: w.Completed})
	require.NoError(t, err)
	job, err := json.Marshal(&w.Job{Queue: "q", Steps: []w.Step{{Count: 1}}})
	require.NoError(t, err)
	ended := keeper.Row{Key: progress, Value: p, Version: 2}
	return &rowStore{rows: map[keeper.Key]keeper.Row{key: {Key: key, Value: job, Version: 1}, progress: ended}}, progress, ended
}

// TestReadThatOverlapsJoin guards against a job that is shown as running forever, since its
// state was read before its end was stored and arrived after the join, which leaves it out.
func TestReadThatOverlapsJoin(t *testing.T) {
	s, progress, ended := endedRows(t)
	s.rows[progress] = keeper.Row{Key: progress, Value: []byte(`{"b":true}`), Version: 1}
	g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	s.onScan = func() {
		if s.scans == 3 { // the read of the cancellation, after that of the progress
			s.rows[progress] = ended
			g.Receive(&linker.Frame{Reset: true, NamesTenants: true})
		}
	}
	_, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	state, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state)
}

// TestCancelAfterReadThatOverlapsJoin guards against a job that is cancelled after its end,
// for the reason of TestReadThatOverlapsJoin.
func TestCancelAfterReadThatOverlapsJoin(t *testing.T) {
	s, progress, ended := endedRows(t)
	s.rows[progress] = keeper.Row{Key: progress, Value: []byte(`{"b":true}`), Version: 1}
	g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	s.onScan = func() {
		if s.scans == 3 {
			s.rows[progress] = ended
			g.Receive(&linker.Frame{Reset: true, NamesTenants: true})
		}
	}
	_, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	_, err = g.Cancel(t.Context(), "j")
	require.NoError(t, err)
	state, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Completed, state)
}

// TestPendingCountOfEarlierConnection guards against a count that is out of date, since a
// new connection has not carried one yet.
func TestPendingCountOfEarlierConnection(t *testing.T) {
	g := &Gateway{Keeper: &keeper.Keeper{}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	connect := func() *linker.Conn {
		local, remote := net.Pipe()
		t.Cleanup(func() { _ = remote.Close() })
		c := linker.NewConn(local)
		g.Connect(c, 1)
		return c
	}
	c := connect()
	g.Receive(&linker.Frame{Pending: &linker.PendingCounts{Queues: []linker.Pending{{Queue: "q", Jobs: 5}}}})
	c.Close()
	g.Disconnect(c)
	time.Sleep(maxPendingAge + 100*time.Millisecond)
	_, ok := g.Pending("q")
	require.False(t, ok)
	c = connect()
	defer c.Close()
	n, ok := g.Pending("q")
	require.False(t, ok, "count %d is older than %s", n, maxPendingAge)
}

// TestExpiryMissedWhileDisconnected guards against a state that is kept for good, since its
// job was removed while the instance had no connection.
func TestExpiryMissedWhileDisconnected(t *testing.T) {
	s := &rowStore{rows: make(map[keeper.Key]keeper.Row)}
	g := &Gateway{Keeper: &keeper.Keeper{Store: s}, Log: slog.New(slog.DiscardHandler)}
	g.Init()
	g.Receive(&linker.Frame{States: []linker.JobState{{Job: "j", State: w.Completed}}})
	g.Receive(&linker.Frame{Reset: true, NamesTenants: true})
	state, err := g.State(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, w.Unknown, state)
}
