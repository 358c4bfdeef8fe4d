package coordinator

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestWaitReasonIsLogged guards against a step that waits for long while the log can't
// tell what holds it up.
func TestWaitReasonIsLogged(t *testing.T) {
	gang := func(n int) w.Job {
		j := singleTaskJob("j")
		j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Need.CPU = n, true, 4000
		return j
	}
	for name, c := range map[string]struct {
		job     w.Job
		arrange func(x *testCell, s *step)
		want    waitReason
	}{
		"no room for a gang": {gang(5), func(*testCell, *step) {}, waitsForRoom},
		"no room for a task": {w.Job{Steps: []w.Step{{Count: 1, Need: w.Resources{CPU: 9000}}}}, func(*testCell, *step) {}, waitsForRoom},
		"earlier run":        {gang(4), func(_ *testCell, s *step) { s.tasks[2].slots = 1 }, waitsForSlot},
		"crashed before": {gang(4), func(x *testCell, s *step) {
			s.tasks[0].crashRecord = crashRecord{crashed: []w.RunID{1}, retryAt: x.now.Add(time.Hour)}
		}, waitsAfterCrash},
		"no targets left": {gang(4), func(x *testCell, _ *step) { x.c.targets["a"].nominatedUntil, x.c.targets["a"].probe = x.now, &slot{} }, waitsForRoom},
		"handover": {gang(4), func(x *testCell, s *step) {
			s.job.fresh = false
			x.c.unsynced["z"] = unsyncedTarget{leaseEnd: x.now.Add(time.Hour)}
		}, waitsForHandover},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t, 1, 2, nil)
			var out bytes.Buffer
			x.c.Log = slog.New(slog.NewTextHandler(&out, nil))
			x.reportRuns("a")
			x.reportRuns("b")
			c.job.ID, c.job.Queue, c.job.Attempts = "j", testQueue, 4
			x.receive(&linker.Frame{Jobs: []w.Job{c.job}})
			s := x.c.jobs["j"].occurrences[0].steps[0]
			c.arrange(x, s)
			for range 3 {
				require.Empty(t, x.advance(slowStepAge/2).Starts)
				for _, tg := range x.c.sortedTargets {
					tg.reportedAt = x.now
				}
			}
			require.Equal(t, c.want, s.reason)
			require.Contains(t, out.String(), " held=nothing reason="+c.want.String()+" reasonAge=")
		})
	}
}
