package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestEndedJobsAreRemovedAsFastAsTheyEnd guards against a cell that keeps more and more
// ended jobs, which each load and each scan reads, because fewer are removed than end.
func TestEndedJobsAreRemovedAsFastAsTheyEnd(t *testing.T) {
	const (
		jobsPerSec = 150 // of a cell of 147 instances
		seconds    = 20
	)
	s := &keeper.Snapshot{Progress: make(map[w.JobID]keeper.Progress)}
	for i := range jobsPerSec * seconds {
		id := w.JobID(fmt.Sprintf("%016x", i))
		s.Jobs = append(s.Jobs, w.Job{ID: id})
		s.Progress[id] = keeper.Progress{ID: id, State: w.Completed}
	}
	x := newCell(t, 1, 1, s)
	x.advance(x.c.Retention)
	for range (seconds + 1) * 10 {
		x.advance(100 * time.Millisecond)
	}
	require.Empty(t, x.c.jobs)
}

// TestContentOfCompletedJobsIsDropped guards against loads that read the content of all
// jobs that have ended, and against dropping content that is still needed.
func TestContentOfCompletedJobsIsDropped(t *testing.T) {
	s := &keeper.Snapshot{Progress: make(map[w.JobID]keeper.Progress)}
	add := func(id w.JobID, state w.State, tenant w.TenantName, ended bool) {
		j := singleTaskJob(id)
		j.Tenant, j.Ended = tenant, ended
		s.Jobs = append(s.Jobs, j)
		if state != w.Queued {
			s.Progress[id] = keeper.Progress{ID: id, State: state}
		}
	}
	add("completed", w.Completed, "", false)
	add("dropped", w.Completed, "", true)
	add("failed", w.Failed, "", false)
	add("ofTenant", w.Completed, "t", false)
	add("open", w.Queued, "", false)
	add("endedAlone", w.Queued, "", true)
	add("unstored", w.Queued, "", false)
	x := newCell(t, 1, 1, s)
	require.Equal(t, w.Completed, x.jobState("endedAlone"), "a job whose content was dropped does not run again")
	var dropped []w.JobID
	for id, j := range x.c.jobs {
		if j.contentDropped {
			dropped = append(dropped, id)
		}
	}
	require.ElementsMatch(t, []w.JobID{"completed", "dropped", "endedAlone"}, dropped)

	x.c.jobs["completed"].contentDropped = false
	x.c.RestoreEnd(linker.JobState{Job: "unstored", State: w.Completed})
	x.now = x.now.Add(removalPeriod)
	x.c.Advance(x.now)
	require.Equal(t, []w.JobID{"completed"}, x.c.Flush().DropContent)
}

// TestRetentionOutlastsLeaders guards against ended jobs that are never removed, since each
// leader begins their retention time anew.
func TestRetentionOutlastsLeaders(t *testing.T) {
	var age time.Duration
	var x *testCell
	for range 10 {
		s := &keeper.Snapshot{
			Jobs:     []w.Job{{ID: "j"}},
			Progress: map[w.JobID]keeper.Progress{"j": {ID: "j", State: w.Completed}},
		}
		x = newCell(t, 1, 1, s)
		x.advance(x.c.Retention / 2)
		x.advance(2 * time.Second)
		age += x.c.Retention/2 + 2*time.Second
	}
	require.Empty(t, x.c.jobs, "ended %s ago, retention time %s", age, x.c.Retention)
}
