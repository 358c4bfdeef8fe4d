package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/keeper"
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
