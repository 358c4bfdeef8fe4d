package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestClosedTargetHoldsUpOnlyItsSteps guards against a new coordinator that starts none
// of the jobs of an earlier one for 9 s, because a target that is no longer listed may be
// running a task of one of them.
func TestClosedTargetHoldsUpOnlyItsSteps(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{
		Jobs:   []w.Job{singleTaskJob("there"), singleTaskJob("waits")},
		Roster: keeper.Roster{Open: []w.TargetID{"a"}, Closed: map[w.TargetID][]string{"gone": {"another.0.0", "there.0.0"}}},
	})
	x.reportRuns("a")
	f := x.advance(0)
	require.Len(t, f.Starts, 1)
	require.Equal(t, w.JobID("waits"), f.Starts[0].Task.Job)
	for range 12 {
		x.reportRuns("a", w.Run{Task: f.Starts[0].Task, Run: f.Starts[0].Run})
		x.advance(500 * time.Millisecond)
	}
	require.Equal(t, waiting, x.c.jobs["there"].occurrences[0].steps[0].tasks[0].phase)
	x.reportRuns("a")
	x.advance(4 * time.Second)
	require.NotEqual(t, waiting, x.c.jobs["there"].occurrences[0].steps[0].tasks[0].phase, "the lease has certainly expired")
}

// TestUnreachableEntryDoesNotHoldUpHandover guards against an entry at whose address nobody
// answers, and which delays the jobs of the earlier coordinator at each handover.
func TestUnreachableEntryDoesNotHoldUpHandover(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	list := []w.Target{x.c.targets["a"].Target, x.c.targets["b"].Target}
	for range 9 {
		x.receive(&linker.Frame{Reports: []linker.Report{{Target: "b", Incarnation: 1, Unreachable: true}}})
		x.reportRuns("a")
		x.c.SetTargets(list, true, x.now)
		x.advance(time.Second)
	}
	next := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("k")}, Roster: x.c.roster.toKeeper()})
	next.reportRuns("a")
	require.Len(t, next.advance(0).Starts, 1)

	x.reportRuns("b")
	x.advance(0)
	require.True(t, x.c.usable(x.c.targets["b"]), "a target that answers late is used")
}

// TestUnknownRosterHoldsUpOldJobs guards against running a task twice when the roster of
// the earlier coordinator can't be read.
func TestUnknownRosterHoldsUpOldJobs(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("old")}, Roster: keeper.Roster{Open: []w.TargetID{keeper.UnknownTarget}}})
	x.submit(singleTaskJob("new"))
	x.reportRuns("a")
	f := x.advance(0)
	require.Len(t, f.Starts, 1)
	require.Equal(t, w.JobID("new"), f.Starts[0].Task.Job)
	_, _, unlimited := x.c.unsyncedCapacity()
	require.True(t, unlimited)
	for range 17 {
		x.reportRuns("a", w.Run{Task: f.Starts[0].Task, Run: f.Starts[0].Run})
		require.Empty(t, x.advance(500*time.Millisecond).Starts)
	}
	x.reportRuns("a", w.Run{Task: f.Starts[0].Task, Run: f.Starts[0].Run})
	require.Len(t, x.advance(time.Second).Starts, 1, "the leases of the earlier coordinator have certainly expired")
}

// TestClosedListing guards against a roster that omits a target which the platform no
// longer lists but on which tasks are running.
func TestClosedListing(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	x.reportRuns("b")
	x.submit(singleTaskJob("j"))
	x.submit(singleTaskJob("k"))
	f := x.advance(0)
	require.Len(t, f.Starts, 2)
	require.Equal(t, f.Starts[0].Target, f.Starts[1].Target, "both runs are placed on the fullest target that fits")
	at := f.Starts[0].Target
	all := []w.Target{x.c.targets["a"].Target, x.c.targets["b"].Target}
	var rest []w.Target
	for i := range all {
		if all[i].ID != at {
			rest = append(rest, all[i])
		}
	}
	flush := func() *Batch {
		x.now = x.now.Add(max(rosterPeriod, progressPeriod))
		x.c.Advance(x.now)
		return x.c.Flush()
	}
	x.c.SetTargets(rest, true, x.now)
	b := flush()
	require.Equal(t, map[w.TargetID][]string{at: {"j.0.0", "k.0.0"}}, b.Roster.Closed)
	require.Len(t, b.Roster.Open, 1)

	// The platform lists the target again while that batch is being stored.
	x.c.SetTargets(all, true, x.now)
	require.False(t, x.c.usable(x.c.targets[at]), "starts would not be covered by the stored roster")
	x.c.Stored(b)
	require.False(t, x.c.usable(x.c.targets[at]))
	b = flush()
	require.Len(t, b.Roster.Open, 2)
	x.c.Stored(b)
	require.True(t, x.c.usable(x.c.targets[at]))

	// A run ends after the platform has stopped listing the target again: the closed
	// entry remains unchanged.
	x.c.SetTargets(rest, true, x.now)
	b = flush()
	x.c.Stored(b)
	x.reportEnd(at, f.Starts[0], w.EndedDone)
	for b = flush(); b != nil; b = flush() {
		require.False(t, b.RosterChanged)
		x.c.Stored(b)
	}
}

// TestFoundJobNeedsConfirmedLeader guards against running a task twice around a
// handover. The new leader starts a job that was handed to it; the old one, which has
// not noticed the new one yet, finds the same job in the store and starts it on a target
// that is not synced with the new leader. Found by TestModelKeepsRules.
func TestFoundJobNeedsConfirmedLeader(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.reportRuns("a")
	x.c.Renewed(x.now)
	x.now = x.now.Add(time.Millisecond)
	x.c.Advance(x.now)
	j := singleTaskJob("j")
	x.c.AddJob(&j, false)
	require.Empty(t, x.advance(100*time.Millisecond).Starts)
	x.c.Renewed(x.now)
	require.Len(t, x.advance(0).Starts, 1)
}

// TestRebornTargetIsReadFirst guards against running a task twice when a target is
// replaced after a handover: its new incarnation has not seen any epoch and accepts
// orders of the old leader. Found by TestModelKeepsRules.
func TestRebornTargetIsReadFirst(t *testing.T) {
	x := newCell(t, 2, 2, &keeper.Snapshot{Jobs: []w.Job{singleTaskJob("j")}, Roster: keeper.Roster{Open: []w.TargetID{"a", "b"}}})
	x.reportRuns("b")
	restarted := x.c.targets["a"].Target
	restarted.Incarnation++
	x.c.SetTargets([]w.Target{restarted, x.c.targets["b"].Target}, true, x.now)
	require.Empty(t, x.advance(0).Starts, "the old leader may have started the task on the new incarnation")
	x.receive(&linker.Frame{Reports: []linker.Report{{Target: "a", Incarnation: restarted.Incarnation, Complete: true, Runs: []w.Run{{Task: w.TaskID{Job: "j"}, Run: 5}}}}})
	require.Empty(t, x.advance(0).Starts, "the task runs on the new incarnation")
}

// TestRosterNamesNoTargets guards against placing tasks after a restart on a target that
// the platform no longer lists: the roster names the targets on which tasks may still be
// running, not those that may get new tasks.
func TestRosterNamesNoTargets(t *testing.T) {
	x := newCell(t, 2, 1, &keeper.Snapshot{Roster: keeper.Roster{Open: []w.TargetID{"a", "left"}}})
	x.reportRuns("a")
	for i := range 12 {
		x.submit(singleTaskJob(w.JobID(rune('A' + i))))
	}
	f := x.advance(0)
	require.Len(t, f.Starts, 8)
	for _, s := range f.Starts {
		require.Equal(t, w.TargetID("a"), s.Target)
	}
}
