package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// TestBacklogRotation guards against steps that starve behind hundreds of steps that
// cannot start, and against rounds that try the whole backlog.
func TestBacklogRotation(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.reportRuns("a")
	x.reportRuns("b")
	large := singleTaskJob("")
	large.Steps[0].Need = w.Resources{CPU: 9000}
	for i := range 400 {
		large.ID = w.JobID(fmt.Sprintf("large%03d", i))
		x.submit(large)
	}
	x.submit(singleTaskJob("small"))
	began := x.now
	rounds := 0
	for x.c.jobs["small"].stats.firstOrderAt.IsZero() && rounds < 100 {
		rounds++
		x.now = x.now.Add(fullPassPeriod)
		for _, o := range x.c.jobs {
			o.occurrences[0].steps[0].triedGeneration = 0 // an earlier generation, so the step counts as tried before
		}
		x.c.Advance(x.now)
	}
	require.False(t, x.c.jobs["small"].stats.firstOrderAt.IsZero())
	require.Less(t, x.now.Sub(began), time.Second)
	require.Greater(t, rounds, 1, "one round must not try the whole backlog")
}
