package keeper

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// fakeStore is an in-memory store that can delay transactions.
type fakeStore struct {
	rows         map[Key]Row
	ver          Version
	delayCommits bool
	delayed      []*Tx
	// stopAfter is the number of transactions to apply before the store stops
	// responding. Zero means no limit.
	stopAfter int
	stopped   bool
}

func (s *fakeStore) Commit(_ context.Context, tx *Tx) (Version, error) {
	if s.stopped {
		return 0, ErrOutcomeUnknown
	}
	if s.stopAfter > 0 {
		s.stopAfter--
		s.stopped = s.stopAfter == 0
	}
	if s.delayCommits {
		s.delayed = append(s.delayed, &Tx{Preconditions: tx.Preconditions, Writes: tx.Writes, Deletes: tx.Deletes})
		return 0, ErrOutcomeUnknown
	}
	return s.apply(tx)
}

func (s *fakeStore) apply(tx *Tx) (Version, error) {
	c := &ConflictError{}
	ok := true
	for _, k := range tx.Preconditions {
		r := s.rows[k.Key]
		if r.Version > 0 {
			c.Rows = append(c.Rows, r)
		}
		ok = ok && r.Version == k.Version
	}
	if !ok {
		return 0, c
	}
	s.ver++
	for _, r := range tx.Writes {
		r.Version = s.ver
		s.rows[r.Key] = r
	}
	for _, k := range tx.Deletes {
		delete(s.rows, k)
	}
	return s.ver, nil
}

func (s *fakeStore) Scan(_ context.Context, table, partition, from, to string) ([]Row, Version, error) {
	var out []Row
	for k, r := range s.rows {
		if k.Table == table && k.Partition == partition && k.Name >= from && (to == "" || k.Name < to) {
			out = append(out, r)
		}
	}
	return out, s.ver, nil
}

func (s *fakeStore) Changes(context.Context, string, Version, time.Duration) ([]Row, Version, error) {
	return nil, s.ver, nil
}

func (s *fakeStore) Clock() time.Duration { return 0 }

func newLeader(t *testing.T) (*fakeStore, *Keeper, *Leadership) {
	t.Helper()
	s := &fakeStore{rows: make(map[Key]Row)}
	k := &Keeper{Store: s, Partitions: 2}
	leadership, err := k.TakeOver(t.Context(), Leadership{}, Leadership{Instance: "a"})
	require.NoError(t, err)
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	leadership.InitSaves(snap)
	return s, k, &leadership
}

// TestDelayedSaveIsRejected guards against tasks that run again after they were
// done: a save whose response was lost, and which the store applies only after
// later saves, must not restore old progress.
func TestDelayedSaveIsRejected(t *testing.T) {
	s, k, leadership := newLeader(t)
	s.delayCommits = true
	started := &ChangeSet{Progress: []Progress{{ID: "j", Started: true}}}
	require.ErrorIs(t, k.Save(t.Context(), leadership, started), ErrOutcomeUnknown)
	s.delayCommits = false
	require.NoError(t, k.Save(t.Context(), leadership, started))
	require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{{ID: "j", State: w.Completed}}}))
	for _, tx := range s.delayed {
		_, err := s.apply(tx)
		require.Error(t, err)
	}
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, w.Completed, snap.Progress["j"].State)
}

// TestSaveContinuesAfterDelayedCommit guards against a leader that steps down
// although it still leads, because a save of its own whose response was lost was
// applied before the retry.
func TestSaveContinuesAfterDelayedCommit(t *testing.T) {
	s, k, leadership := newLeader(t)
	s.delayCommits = true
	changes := &ChangeSet{Progress: []Progress{{ID: "j", State: w.Completed}}}
	require.ErrorIs(t, k.Save(t.Context(), leadership, changes), ErrOutcomeUnknown)
	s.delayCommits = false
	_, err := s.apply(s.delayed[0])
	require.NoError(t, err)
	err = k.Save(t.Context(), leadership, changes)
	require.ErrorIs(t, err, ErrNotExecuted)
	var conflict *ConflictError
	require.False(t, errors.As(err, &conflict))
	require.NoError(t, k.Save(t.Context(), leadership, changes))
}

// TestSaveByDeposedLeaderFails guards against writes by a leader that has been
// replaced.
func TestSaveByDeposedLeaderFails(t *testing.T) {
	_, k, leadership := newLeader(t)
	_, err := k.TakeOver(t.Context(), *leadership, Leadership{Instance: "b"})
	require.NoError(t, err)
	var conflict *ConflictError
	require.ErrorAs(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: []Progress{{ID: "j"}}}), &conflict)
}

// TestAcceptKeepsFirstJob guards against a job being replaced by a second
// submission with the same ID, in an earlier or the same batch.
func TestAcceptKeepsFirstJob(t *testing.T) {
	_, k, _ := newLeader(t)
	k.Partitions = 1
	steps := []w.Step{{Count: 1}}
	first := &w.Job{ID: "x", Spec: "first", Steps: steps}
	_, err := k.Accept(t.Context(), []*w.Job{first})
	require.NoError(t, err)
	got, err := k.Accept(t.Context(), []*w.Job{{ID: "y", Spec: "new", Steps: steps}, {ID: "x", Spec: "second", Steps: steps}, {ID: "y", Spec: "again", Steps: steps}})
	require.NoError(t, err)
	require.Equal(t, "new", got[0].Spec)
	require.Equal(t, "first", got[1].Spec)
	require.Equal(t, "new", got[2].Spec)
}

// TestLoadSkipsInvalidRows guards against a cell that no instance can lead because
// a row cannot be decoded, or because a job is so large that the process that loads
// it crashes. A job whose progress is unknown must not be loaded, since it would
// run again.
func TestLoadSkipsInvalidRows(t *testing.T) {
	s, k, _ := newLeader(t)
	_, err := k.Accept(t.Context(), []*w.Job{{ID: "good", Steps: []w.Step{{Count: 1}}}})
	require.NoError(t, err)
	put := func(key Key, value string) {
		s.ver++
		s.rows[key] = Row{Key: key, Value: []byte(value), Version: s.ver}
	}
	put(k.JobKey("cut"), `{"t":[{"n":`)
	put(k.JobKey("empty"), ``)
	put(k.JobKey("huge"), `{"t":[{"n":2000000000}]}`)
	put(k.JobKey("often"), `{"n":2000000000,"t":[{"n":1}]}`)
	put(k.JobKey("cycle"), `{"t":[{"n":1,"a":[0]}]}`)
	put(k.JobKey("unknownProgress"), `{"t":[{"n":1}]}`)
	put(progressKey("unknownProgress"), `{"t":7}`)
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Len(t, snap.Jobs, 1)
	require.Equal(t, w.JobID("good"), snap.Jobs[0].ID)
	require.Len(t, snap.DecodeErrors, 6)
}

// TestDecodeRosterOfEarlierVersion guards against an instance that cannot load a
// cell whose last leader ran an earlier version.
func TestDecodeRosterOfEarlierVersion(t *testing.T) {
	for text, want := range map[string]Roster{
		`["a","b"]`: {Open: []w.TargetID{"a", "b"}},
		`{"open":["a"],"closed":{"b":["j.0.0"]}}`: {Open: []w.TargetID{"a"}, Closed: map[w.TargetID][]string{"b": {"j.0.0"}}},
	} {
		r, err := decodeRoster(&Row{Value: []byte(text)})
		require.NoError(t, err)
		require.Equal(t, want, r)
	}
	_, err := decodeRoster(&Row{Value: []byte(`{"open":1}`)})
	require.Error(t, err)
}

// TestOddRosterIsLoaded guards against a roster row that keeps every instance from leading,
// and against one that is taken for a roster without targets.
func TestOddRosterIsLoaded(t *testing.T) {
	for _, odd := range []string{"[", `{"open":1}`, `{"closed":[]}`, "7"} {
		s, k, _ := newLeader(t)
		key := Key{Table: TableControl, Name: rosterName}
		s.rows[key] = Row{Key: key, Value: []byte(odd), Version: 9}
		snap, err := k.Load(t.Context())
		require.NoError(t, err, odd)
		require.Len(t, snap.DecodeErrors, 1, odd)
		require.Equal(t, Roster{Open: []w.TargetID{UnknownTarget}}, snap.Roster, odd)
	}
}

// TestSaveUsesOnePartition guards against saves of progress that span partitions:
// in a slow store they took twice as long and delayed the jobs accepted in those
// partitions.
func TestSaveUsesOnePartition(t *testing.T) {
	s, k, leadership := newLeader(t)
	s.delayCommits = true
	ids := []w.JobID{"0a", "37", "9f", "ff", "zz", ""}
	var list []Progress
	for _, id := range ids {
		list = append(list, Progress{ID: id, Started: true})
	}
	require.Error(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: list}))
	require.Len(t, s.delayed, 1)
	for _, r := range s.delayed[0].Writes {
		require.Empty(t, r.Partition)
	}
	s.delayCommits = false
	require.NoError(t, k.Save(t.Context(), leadership, &ChangeSet{Progress: list}))
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	for _, id := range ids {
		require.True(t, snap.Progress[id].Started, "progress of job %q was not loaded", id)
	}
	rest, err := k.RemoveJobs(t.Context(), leadership.Removals(ids))
	require.NoError(t, err)
	require.Empty(t, rest)
	snap, err = k.Load(t.Context())
	require.NoError(t, err)
	require.Empty(t, snap.Progress)
}

// TestSaveWritesRosterAfterProgress guards against a stored roster that omits a run
// whose end is not stored, because the leader died between the two transactions of
// a large batch.
func TestSaveWritesRosterAfterProgress(t *testing.T) {
	s, k, leadership := newLeader(t)
	changes := &ChangeSet{Roster: Roster{Open: []w.TargetID{"a"}}, RosterChanged: true}
	for i := range maxTxRows + 1 {
		changes.Progress = append(changes.Progress, Progress{ID: w.JobID(strconv.Itoa(i)), Started: true})
	}
	s.stopAfter = 1
	require.Error(t, k.Save(t.Context(), leadership, changes))
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Len(t, snap.Progress, maxTxRows)
	require.Empty(t, snap.Roster.Open)
}

// TestEarlyCancel guards against a cancellation that is forgotten because its job was not
// stored yet, and against one that applies to a job of another tenant.
func TestEarlyCancel(t *testing.T) {
	s, k, _ := newLeader(t)
	early := []EarlyCancel{{ID: "own", Tenant: "t"}, {ID: "other", Tenant: "u"}}
	for _, c := range early {
		require.NoError(t, k.CancelEarly(t.Context(), c))
	}
	state, err := k.State(t.Context(), "own")
	require.NoError(t, err)
	require.Equal(t, w.Unknown, state)
	for id, want := range map[w.JobID]w.State{"own": w.Cancelled, "other": w.Queued} {
		_, err := k.Accept(t.Context(), []*w.Job{{ID: id, Tenant: "t", Steps: []w.Step{{Count: 1}}}})
		require.NoError(t, err)
		state, err := k.State(t.Context(), id)
		require.NoError(t, err)
		require.Equal(t, want, state)
	}
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.ElementsMatch(t, early, snap.EarlyCancels)
	require.Empty(t, snap.Cancelled)
	require.NoError(t, k.RemoveCancels(t.Context(), []w.JobID{"own", "other"}))
	for key := range s.rows {
		require.NotEqual(t, TableCancellations, key.Table)
	}
}
