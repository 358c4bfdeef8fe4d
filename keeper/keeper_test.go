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

// table is a store that can hold transactions back.
type table struct {
	rows map[Key]Row
	ver  Version
	lose bool
	late []*Tx
	// dieAfter is the number of further transactions that are carried out, 0 for
	// any number.
	dieAfter int
	dead     bool
}

func (s *table) Commit(_ context.Context, tx *Tx) (Version, error) {
	if s.dead {
		return 0, ErrUnknown
	}
	if s.dieAfter > 0 {
		s.dieAfter--
		s.dead = s.dieAfter == 0
	}
	if s.lose {
		s.late = append(s.late, &Tx{Checks: tx.Checks, Writes: tx.Writes, Drops: tx.Drops})
		return 0, ErrUnknown
	}
	return s.apply(tx)
}

func (s *table) apply(tx *Tx) (Version, error) {
	c := &Conflict{}
	ok := true
	for _, k := range tx.Checks {
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
	for _, k := range tx.Drops {
		delete(s.rows, k)
	}
	return s.ver, nil
}

func (s *table) Scan(_ context.Context, name, part, from, to string) ([]Row, Version, error) {
	var out []Row
	for k, r := range s.rows {
		if k.Table == name && k.Part == part && k.Name >= from && (to == "" || k.Name < to) {
			out = append(out, r)
		}
	}
	return out, s.ver, nil
}

func (s *table) Changes(context.Context, string, Version, time.Duration) ([]Row, Version, error) {
	return nil, s.ver, nil
}

func (s *table) Clock() time.Duration { return 0 }

func leading(t *testing.T) (*table, *Keeper, *Leadership) {
	t.Helper()
	s := &table{rows: make(map[Key]Row)}
	k := &Keeper{Store: s, Parts: 2}
	lead, err := k.TakeOver(t.Context(), Leadership{}, Leadership{Instance: "a"})
	require.NoError(t, err)
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	lead.Resume(snap)
	return s, k, &lead
}

// TestLateSaveUndoesNothing guards against a second run after 'done': a save
// without an answer that the store carries out after later ones must not bring
// back old progress.
func TestLateSaveUndoesNothing(t *testing.T) {
	s, k, lead := leading(t)
	s.lose = true
	begun := &Change{Progress: []Progress{{ID: "j", Begun: true}}}
	require.ErrorIs(t, k.Save(t.Context(), lead, begun), ErrUnknown)
	s.lose = false
	require.NoError(t, k.Save(t.Context(), lead, begun))
	require.NoError(t, k.Save(t.Context(), lead, &Change{Progress: []Progress{{ID: "j", State: w.Completed}}}))
	for _, tx := range s.late {
		_, err := s.apply(tx)
		require.Error(t, err)
	}
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, w.Completed, snap.Progress["j"].State)
}

// TestSaveGoesOnAfterLateOne guards against a leader that gives up although it
// leads: its own save without an answer was carried out before the repeat.
func TestSaveGoesOnAfterLateOne(t *testing.T) {
	s, k, lead := leading(t)
	s.lose = true
	ch := &Change{Progress: []Progress{{ID: "j", State: w.Completed}}}
	require.ErrorIs(t, k.Save(t.Context(), lead, ch), ErrUnknown)
	s.lose = false
	_, err := s.apply(s.late[0])
	require.NoError(t, err)
	err = k.Save(t.Context(), lead, ch)
	require.ErrorIs(t, err, ErrNotDone)
	var c *Conflict
	require.False(t, errors.As(err, &c))
	require.NoError(t, k.Save(t.Context(), lead, ch))
}

// TestDeposedLeaderSavesNothing guards against writes of a leader that was
// replaced.
func TestDeposedLeaderSavesNothing(t *testing.T) {
	_, k, lead := leading(t)
	_, err := k.TakeOver(t.Context(), *lead, Leadership{Instance: "b"})
	require.NoError(t, err)
	var c *Conflict
	require.ErrorAs(t, k.Save(t.Context(), lead, &Change{Progress: []Progress{{ID: "j"}}}), &c)
}

// TestAcceptKeepsTheFirst guards against a job that is replaced by a second
// submission with its id, alone or in one write with others.
func TestAcceptKeepsTheFirst(t *testing.T) {
	_, k, _ := leading(t)
	k.Parts = 1
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

// TestBadRowsKeepNobodyFromLeading guards against a cell that no instance can lead:
// a row that can't be decoded, or a job whose size ends the process that loads it.
// A job whose progress is not known must not be loaded, since it would run again.
func TestBadRowsKeepNobodyFromLeading(t *testing.T) {
	s, k, _ := leading(t)
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
	require.Len(t, snap.Unread, 6)
}

// TestRosterOfEarlierVersion guards against an instance that can't load a cell
// whose leader had an earlier version.
func TestRosterOfEarlierVersion(t *testing.T) {
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

// TestSavesStayInOnePart guards against saves of progress that span several parts:
// in a slow store they took twice as long and held up the jobs accepted there.
func TestSavesStayInOnePart(t *testing.T) {
	s, k, lead := leading(t)
	s.lose = true
	ids := []w.JobID{"0a", "37", "9f", "ff", "zz", ""}
	var list []Progress
	for _, id := range ids {
		list = append(list, Progress{ID: id, Begun: true})
	}
	require.Error(t, k.Save(t.Context(), lead, &Change{Progress: list}))
	require.Len(t, s.late, 1)
	for _, r := range s.late[0].Writes {
		require.Empty(t, r.Part)
	}
	s.lose = false
	require.NoError(t, k.Save(t.Context(), lead, &Change{Progress: list}))
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	for _, id := range ids {
		require.True(t, snap.Progress[id].Begun, "all names are read: %q", id)
	}
	require.NoError(t, k.Save(t.Context(), lead, &Change{Remove: ids}))
	snap, err = k.Load(t.Context())
	require.NoError(t, err)
	require.Empty(t, snap.Progress)
}

// TestRosterAfterProgress guards against a roster that leaves out a run whose end
// is lost: a leader died between the two transactions of a large batch.
func TestRosterAfterProgress(t *testing.T) {
	s, k, lead := leading(t)
	ch := &Change{Roster: Roster{Open: []w.TargetID{"a"}}, RosterChanged: true}
	for i := range txRows + 1 {
		ch.Progress = append(ch.Progress, Progress{ID: w.JobID(strconv.Itoa(i)), Begun: true})
	}
	s.dieAfter = 1
	require.Error(t, k.Save(t.Context(), lead, ch))
	snap, err := k.Load(t.Context())
	require.NoError(t, err)
	require.Len(t, snap.Progress, txRows)
	require.Empty(t, snap.Roster.Open)
}
