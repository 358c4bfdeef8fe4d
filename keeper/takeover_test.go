package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// TestTakeOverWritesHeartbeat guards against a new epoch without a heartbeat: the other
// instances counted its age from the takeover and replaced the leader while it loaded.
func TestTakeOverWritesHeartbeat(t *testing.T) {
	_, k, first := newLeader(t)
	next, err := k.TakeOver(t.Context(), *first, Leadership{Instance: "b", Instances: 147, MaxCores: 2, FailedLoads: 3})
	require.NoError(t, err)
	beat, err := k.Heartbeat(t.Context())
	require.NoError(t, err)
	require.Equal(t, Heartbeat{Epoch: 2, MaxCores: 2, Loading: true, Instances: 147, Version: next.Version}, beat)
	require.NoError(t, k.RenewLoading(t.Context(), &next, 7, 2))
	beat, _, err = k.LeaderHealth(t.Context())
	require.NoError(t, err)
	require.True(t, beat.Loading)
	require.Equal(t, int64(7), beat.Progress)

	// The loser of a takeover learns of the winner without another read.
	_, err = k.TakeOver(t.Context(), *first, Leadership{Instance: "c"})
	winner, ok := LeaderOfConflict(err)
	require.True(t, ok)
	require.Equal(t, next, winner.withoutCores(next.MaxCores))
	_, ok = LeaderOfConflict(ErrOutcomeUnknown)
	require.False(t, ok)
}

// withoutCores sets the field that is not stored.
func (l Leadership) withoutCores(cores float64) Leadership { l.MaxCores = cores; return l }

// slowStore counts the concurrent scans. The first attempts of each scan fail.
type slowStore struct {
	*fakeStore
	failures int // of each scan

	mu          sync.Mutex
	scans, most int
	attempts    map[Key]int
}

func (s *slowStore) Scan(ctx context.Context, table, partition, from, to string) ([]Row, Version, error) {
	s.mu.Lock()
	s.scans++
	s.most = max(s.most, s.scans)
	key := Key{table, partition, from}
	s.attempts[key]++
	failed := s.attempts[key] <= s.failures
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scans--
	if failed {
		return nil, 0, ErrNotExecuted
	}
	return s.fakeStore.Scan(ctx, table, partition, from, to)
}

// TestLoadLimitsScans guards against a load whose scans hold up the leader's renewals, and
// against a load that starts again because one scan failed.
func TestLoadLimitsScans(t *testing.T) {
	s, k, _ := newLeader(t)
	k.Partitions = 64
	for i := range 50 {
		_, err := k.Accept(t.Context(), []*w.Job{{ID: w.JobID(fmt.Sprint("j", i)), Steps: []w.Step{{Count: 1}}}})
		require.NoError(t, err)
	}
	for _, c := range []struct {
		throttled bool
		limit     int
	}{{false, maxConcurrentScans}, {true, throttledScans}} {
		slow := &slowStore{fakeStore: s, failures: 1, attempts: make(map[Key]int)}
		k.Store = slow
		var m LoadMonitor
		m.SetThrottled(c.throttled)
		snap, err := k.LoadMonitored(t.Context(), &m)
		require.NoError(t, err)
		require.Len(t, snap.Jobs, 50)
		require.Equal(t, c.limit, slow.most)
		require.GreaterOrEqual(t, m.Progress(), int64(100), "each scan and each row is progress")
	}
}

// TestEndsOfInstances guards against ends that are lost between the instances that write
// them and the leader that loads them, and against one row that prevents the load.
func TestEndsOfInstances(t *testing.T) {
	s, k, leadership := newLeader(t)
	var ends []End
	for i := range maxTxRows + 1 {
		ends = append(ends, End{ID: w.JobID(fmt.Sprint("j", i)), State: w.Completed})
	}
	require.NoError(t, k.SaveEnds(t.Context(), ends, leadership.Version, false))
	s.rows[endKey("", "x")] = Row{Key: endKey("", "x"), Value: []byte(`{"s":"later"}`), Version: 1}
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Len(t, snap.Ends, len(ends))
	require.Len(t, snap.DecodeErrors, 1)
	require.NoError(t, k.RemoveEnds(t.Context(), []w.JobID{"j0"}))
	left, err := k.Ends(t.Context())
	require.NoError(t, err)
	require.Len(t, left, len(ends)-1)
}

// TestUpdatesOmitRemovedJobs guards against running a job again: its row was read from the
// history of the store after the job had ended and been removed.
func TestUpdatesOmitRemovedJobs(t *testing.T) {
	s, k, _ := newLeader(t)
	row := func(id string, ver Version, deleted bool) Row {
		return Row{Key: k.JobKey(w.JobID(id)), Value: []byte(`{"t":[{"n":1}]}`), Version: ver, Deleted: deleted}
	}
	k.Store = historyStore{s, []Row{row("a", 5, false), row("b", 6, false), row("a", 9, true), row("c", 7, true), row("c", 10, false)}, ""}
	updates, err := k.Updates(t.Context(), make(map[string]Version))
	require.NoError(t, err)
	var ids []w.JobID
	for i := range updates.Jobs {
		ids = append(ids, updates.Jobs[i].ID)
	}
	require.Equal(t, []w.JobID{"b", "c"}, ids)
}

// TestFailedUpdatesAreReadAgain guards against jobs and cancellations that no leader learns
// of: a failure to read the changes of one table dropped what was read of those before it.
func TestFailedUpdatesAreReadAgain(t *testing.T) {
	s, k, _ := newLeader(t)
	k.Store = historyStore{s, nil, TableCancellations}
	versions := map[string]Version{TableJobs: 3}
	_, err := k.Updates(t.Context(), versions)
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.Equal(t, map[string]Version{TableJobs: 3}, versions)
}

// historyStore returns fixed changes of the jobs or the leader row, and fails for one table.
type historyStore struct {
	Store
	rows  []Row
	fails string
}

func (s historyStore) Changes(_ context.Context, table string, _ Version, _ time.Duration) ([]Row, Version, error) {
	if table == s.fails {
		return nil, 0, ErrOutcomeUnknown
	}
	if table != TableJobs && table != TableControl {
		return nil, 1, nil
	}
	return s.rows, 10, nil
}

// TestLoadFailsWithStore guards against a load that never returns, or that succeeds with a
// part of the rows, while the store rejects every call.
func TestLoadFailsWithStore(t *testing.T) {
	s, k, _ := newLeader(t)
	k.Store = &slowStore{fakeStore: s, failures: scanAttempts, attempts: make(map[Key]int)}
	_, err := k.Load(t.Context())
	require.ErrorIs(t, err, ErrNotExecuted)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = k.Load(ctx)
	require.Error(t, err)
	require.True(t, errors.Is(err, context.Canceled) || errors.Is(err, ErrNotExecuted))
}

// TestRepeatedAttemptsAreNoProgress guards against a leader that is never replaced
// although each attempt to load the cell fails at the same place.
func TestRepeatedAttemptsAreNoProgress(t *testing.T) {
	var m LoadMonitor
	for range 5 {
		m.begin()
		for range 7 {
			m.Advance()
		}
		require.Equal(t, int64(7), m.Progress())
	}
	m.Advance()
	require.Equal(t, int64(8), m.Progress())
}

// TestLoadKeepsTenants guards against a new leader that publishes completed jobs without
// their tenant, so that every tenant may see them.
func TestLoadKeepsTenants(t *testing.T) {
	_, k, leadership := newLeader(t)
	_, err := k.Accept(t.Context(), []*w.Job{{ID: "j", Spec: "text", Tenant: "a", Steps: []w.Step{{Count: 1}}}})
	require.NoError(t, err)
	require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{{ID: "j", State: w.Completed}}}))
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Len(t, snap.Jobs, 1)
	require.Equal(t, w.TenantName("a"), snap.Jobs[0].Tenant)
	require.Empty(t, snap.Jobs[0].Spec)
}

// TestOddHeartbeatsHideNoLeader guards against a row among the heartbeats that keeps every
// instance from replacing a dead leader, or from looking again for hours.
func TestOddHeartbeatsHideNoLeader(t *testing.T) {
	for _, odd := range []string{"[", "7", `{"epoch":"1"}`, `{"members":1e9}`, `{"instances":1000000000}`, `{"at":9000000000000000000}`, `{"epoch":1e400}`} {
		s, k, _ := newLeader(t)
		s.rows[Key{Table: tableHeartbeats, Name: "lost/b"}] = Row{Key: Key{Table: tableHeartbeats, Name: "lost/b"}, Value: []byte(odd), Version: 8}
		require.NoError(t, k.ReportUnreachable(t.Context(), "c", UnreachableReport{Epoch: 1}))
		heartbeat, reports, err := k.LeaderHealth(t.Context())
		require.NoError(t, err, odd)
		require.Equal(t, w.Epoch(1), heartbeat.Epoch)
		require.Contains(t, reports, UnreachableReport{Instance: "lost/c", Epoch: 1, Version: s.ver})

		s.rows[heartbeatKey] = Row{Key: heartbeatKey, Value: []byte(odd), Version: 9}
		heartbeat, _, err = k.LeaderHealth(t.Context())
		require.NoError(t, err, odd)
		require.Equal(t, Heartbeat{Version: 9}, heartbeat, odd)
		heartbeat, err = k.Heartbeat(t.Context())
		require.NoError(t, err, odd)
		require.Equal(t, Heartbeat{Version: 9}, heartbeat, odd)
	}
}

// TestOddLeaderRowIsReplaced guards against a leader row that no instance can read or
// replace.
func TestOddLeaderRowIsReplaced(t *testing.T) {
	for _, odd := range []string{"[", "{}", `{"epoch":"1"}`, `{"epoch":9000000000000000000}`, `{"epoch":-1}`, `{"epoch":7,"instances":1000000000}`} {
		s, k, leadership := newLeader(t)
		s.ver++
		s.rows[leaderKey] = Row{Key: leaderKey, Value: []byte(odd), Version: s.ver}
		require.Error(t, k.Renew(t.Context(), leadership, 1, 1), "the leader ends")
		read, err := k.Leader(t.Context())
		require.NoError(t, err, odd)
		require.Equal(t, Leadership{Epoch: 1, Version: s.ver}, read, odd)
		watched, _, err := (&Keeper{Store: historyStore{Store: s, rows: []Row{s.rows[leaderKey]}}}).WatchLeader(t.Context(), 0, 0)
		require.NoError(t, err, odd)
		require.Equal(t, &read, watched, odd)
		next, err := k.TakeOver(t.Context(), read, Leadership{Instance: "b"})
		require.NoError(t, err, odd)
		require.Equal(t, w.Epoch(2), next.Epoch)
	}
}

// silentStore leaves calls to some partitions unanswered.
type silentStore struct {
	*fakeStore
	silent map[string]bool
}

func (s *silentStore) Commit(ctx context.Context, tx *Tx) (Version, error) {
	if s.silent[tx.Writes[0].Partition] {
		<-ctx.Done()
		return 0, ErrOutcomeUnknown
	}
	return s.fakeStore.Commit(ctx, tx)
}

// TestEndsAvoidSilentPartition guards against ends that wait for a partition that doesn't
// answer, so that no caller sees them.
func TestEndsAvoidSilentPartition(t *testing.T) {
	s, k, leadership := newLeader(t)
	k.Partitions = 64
	k.Store = &silentStore{s, map[string]bool{"": true, "0": true}}
	ends := []End{{ID: "j", State: w.Completed}}
	for _, limit := range []time.Duration{3 * endAttemptInterval, endAttemptInterval} {
		start := time.Now()
		require.NoError(t, k.SaveEnds(t.Context(), ends, leadership.Version, true))
		require.Less(t, time.Since(start), limit)
	}
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, map[w.JobID]w.State{"j": w.Completed}, snap.Ends)
	require.Error(t, k.SaveEnds(t.Context(), ends, leadership.Version, false), "only the leader row shows whether the leader still leads")
}

// TestEndsOfReplacedLeaderAreRejected guards against showing an end that the current leader
// does not know: an instance that was cut off wrote it after the leader had loaded the cell
// and before that started the job again.
func TestEndsOfReplacedLeaderAreRejected(t *testing.T) {
	_, k, old := newLeader(t)
	k.Partitions = 64
	k.endPartition.Store(2)
	ends := []End{{ID: "j", State: w.Completed}}
	next, err := k.TakeOver(t.Context(), *old, Leadership{Instance: "b"})
	require.NoError(t, err)
	for _, justSent := range []bool{false, true} {
		var conflict *ConflictError
		require.ErrorAs(t, k.SaveEnds(t.Context(), ends, old.Version, justSent), &conflict)
	}
	left, err := k.Ends(t.Context())
	require.NoError(t, err)
	require.Empty(t, left)
	require.NoError(t, k.SaveEnds(t.Context(), ends, next.Version, false))
}
