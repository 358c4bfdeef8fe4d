package coordinator

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// TestRestartIsUnexplained guards against a task that starts again, and a run that was
// taken for ended and is not, without a line that names the evidence.
func TestRestartIsUnexplained(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	var log bytes.Buffer
	x.c.Log = slog.New(slog.NewTextHandler(&log, nil))
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	f := x.advance(0)
	require.Len(t, f.Starts, 1)
	first := f.Starts[0]
	x.confirmStart(first)
	x.advance(time.Second)
	x.reportRuns("a", w.Run{Task: first.Task, Run: first.Run})
	for range 4 {
		x.advance(2 * time.Second)
		x.reportRuns("b")
	}
	x.advance(0)
	require.Contains(t, log.String(), `msg="task starts again" task=j.0.0.0`)
	require.Contains(t, log.String(), "earlierTarget=a earlierIncarnation=1 reason=lapsed releasedFor=0s silentFor=8s unlistedFor=8s")

	x.reportRuns("a", w.Run{Task: first.Task, Run: first.Run})
	require.Contains(t, log.String(), `level=WARN msg="target reports a run that was taken for ended" task=j.0.0.0`)
	require.Contains(t, log.String(), "how=running reason=lapsed")

	log.Reset()
	x.submit(singleTaskJob("k"))
	f = x.advance(0)
	require.NotEmpty(t, f.Starts)
	x.confirmStart(f.Starts[0])
	x.reportEnd(f.Starts[0].Target, f.Starts[0], w.EndedStopped)
	require.NotEmpty(t, x.advance(0).Starts)
	require.Contains(t, log.String(), "reason=stopped releasedFor=0s silentFor=0s unlistedFor=-1ns")
}
