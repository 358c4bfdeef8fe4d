package coordinator

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestUnsavedEndSurvivesHandovers guards against running a job again that was shown as
// completed: no leader of three can store its end, and each knows it from another source
// than the one before.
func TestUnsavedEndSurvivesHandovers(t *testing.T) {
	stored := &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("j")}, Roster: keeper.Roster{Open: []w.TargetID{"a"}}}
	end := linker.JobState{Job: "j", State: w.Completed}
	unsaved := linker.JobState{Job: "j", State: w.Completed, Unsaved: true}
	noStarts := func(x *testCell) {
		t.Helper()
		x.reportRuns("a")
		x.c.Advance(x.now)
		for _, m := range x.c.Frames() {
			require.Empty(t, m.Starts)
		}
	}

	// An instance that was connected to the leader before sends the end.
	second := newCell(t, 2, 1, stored)
	second.c.Join(&linker.Hello{Instance: "third"})
	second.c.Frames()
	second.receive(&linker.Frame{Ended: []linker.JobState{end}})
	noStarts(second)
	require.Equal(t, w.Completed, second.jobState("j"))
	second.c.Advance(second.now.Add(statesPeriod))
	second.c.Join(&linker.Hello{Instance: "late"})
	require.Contains(t, second.c.Frames()["late"].States, unsaved, "an instance that joins later keeps the end as well")

	// That instance is gone, and one that was told by the second leader sends it.
	third := newCell(t, 3, 1, stored)
	third.receive(&linker.Frame{Ended: []linker.JobState{end}})
	noStarts(third)

	// All are gone, and the end is in the store because an instance has written it.
	stored.Ends = map[w.JobID]w.State{"j": w.Completed}
	stored.Cancelled = map[w.JobID]bool{"j": true} // acknowledged after the end was shown
	fourth := newCell(t, 4, 1, stored)
	noStarts(fourth)
	require.Equal(t, w.Completed, fourth.jobState("j"))
	c := New(Settings{Epoch: 5, Retention: time.Minute, Log: slog.New(slog.DiscardHandler)}, fourth.now)
	c.Load(stored)
	b := c.Flush()
	require.NotNil(t, b)
	require.Empty(t, b.RemoveEnds, "the row is needed until the state is stored")
	require.Equal(t, w.Completed, b.Progress[0].State)
	c.Stored(b)
	c.Advance(fourth.now.Add(time.Second))
	require.Equal(t, []w.JobID{"j"}, c.Flush().RemoveEnds)
}

// TestInstancesAreToldOfRestoredEnd guards against an end that only one instance keeps
// although the leader knows it.
func TestInstancesAreToldOfRestoredEnd(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("j")}})
	x.c.Join(&linker.Hello{Instance: "third"})
	x.c.Frames()
	x.receive(&linker.Frame{Ended: []linker.JobState{{Job: "j", State: w.Failed}}})
	x.c.Advance(x.now.Add(statesPeriod))
	require.Contains(t, x.c.Frames()["third"].States, linker.JobState{Job: "j", State: w.Failed, Unsaved: true})
}

// TestUnsavedEndIsNotRemoved guards against instances that forget the end of a job,
// because its retention is over, while it is not in the store yet.
func TestUnsavedEndIsNotRemoved(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("j")}})
	x.receive(&linker.Frame{Ended: []linker.JobState{{Job: "j", State: w.Completed}}})
	x.c.Advance(x.now.Add(x.c.Retention + sweepPeriod))
	require.True(t, x.c.HasJob("j"))
	x.c.Stored(x.c.Flush())
	x.c.Advance(x.now.Add(x.c.Retention + 3*sweepPeriod))
	require.False(t, x.c.HasJob("j"))
}

// TestEndOfUnknownJobIsForgotten guards against instances that keep, send and write the
// end of a job for ever whose rows are gone, and against doing so while the store
// confirms nothing.
func TestEndOfUnknownJobIsForgotten(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Ends: map[w.JobID]w.State{"gone": w.Completed}})
	later := x.now.Add(x.c.Retention + sweepPeriod)
	x.c.Advance(later)
	require.Contains(t, x.c.earlyEnds, w.JobID("gone"))
	x.c.Renewed(later.Add(2 * sweepPeriod))
	x.c.Advance(later.Add(2 * sweepPeriod))
	require.Contains(t, x.c.Frames()["other"].States, linker.JobState{Job: "gone"})
	require.Equal(t, []w.JobID{"gone"}, x.c.Flush().RemoveEnds)
}

// TestRefusedEndIsNotStored guards against showing an end that the store refused to save,
// and against starts on targets of a roster that it refused.
func TestRefusedEndIsNotStored(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("j")}, Ends: nil})
	x.receive(&linker.Frame{Ended: []linker.JobState{{Job: "j", State: w.Completed}}})
	x.c.Advance(x.now.Add(statesPeriod))
	x.c.Frames()
	b := x.c.Flush()
	require.NotNil(t, b)
	b.RosterChanged, b.roster = true, roster{"new": rosterEntry{}}
	b.Exclude([]w.JobID{"j"}, true)
	x.c.Stored(b)
	x.c.Advance(x.now.Add(3 * statesPeriod))
	for _, m := range x.c.Frames() {
		require.NotContains(t, m.States, linker.JobState{Job: "j", State: w.Completed})
	}
	require.False(t, x.c.roster.allowsStarts("new"))
}

// TestRefusedProgressIsNotAcknowledged guards against acknowledging the end of a run
// although the store refused the progress with it: the next leader runs the task again.
func TestRefusedProgressIsNotAcknowledged(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.reportRuns("a")
	for _, id := range []w.JobID{"refused", "stored"} {
		j := singleTaskJob(id)
		j.Steps[0].Count = 2
		x.submit(j)
	}
	starts := make(map[w.JobID]linker.Start)
	for _, s := range x.advance(0).Starts {
		x.confirmStart(s)
		starts[s.Task.Job] = s
	}
	require.Len(t, starts, 2)
	// save saves all changes, and returns up to which end of the target is acknowledged.
	save := func(refused ...w.JobID) int64 {
		x.now = x.now.Add(progressPeriod)
		x.c.Advance(x.now)
		b := x.c.Flush()
		require.NotNil(t, b)
		b.Exclude(refused, false)
		x.c.Stored(b)
		return x.c.targets["a"].ackedSeq
	}
	x.reportEnd("a", starts["stored"], w.EndedDone)
	x.reportEnd("a", starts["refused"], w.EndedDone)
	require.EqualValues(t, 1, save("refused"), "only the end before the refused one is acknowledged")
	require.EqualValues(t, 1, save("refused"))
	x.reportEnd("a", starts["stored"], w.EndedDone)
	require.EqualValues(t, 1, save("refused"), "later ends wait as well")
	require.EqualValues(t, 1, save(), "the progress is stored again")
	require.EqualValues(t, 3, save())
}
