package linker

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

// TestSplit guards against the states of all jobs in one frame: over a link that a new
// leader shares between all instances it arrived too late, and the connection was closed.
func TestSplit(t *testing.T) {
	for _, n := range []int{0, 1, maxFrameStates, maxFrameStates + 1, 10000, 1000000} {
		f := &Frame{Reset: true, NamesTenants: true, Received: []w.JobID{"r"}}
		for i := range n {
			f.States = append(f.States, JobState{Job: w.JobID(fmt.Sprint(i)), State: w.Running})
		}
		frames := f.Split()
		require.LessOrEqual(t, len(frames), maxSplitFrames+1)
		var states []JobState
		for i, part := range frames {
			require.Equal(t, i == 0, part.Reset, "a later reset would discard the states before it")
			require.Equal(t, i == 0, len(part.Received) > 0)
			require.True(t, part.NamesTenants, "the receiver would read the tenant of each job from the store")
			require.LessOrEqual(t, len(part.States), max(maxFrameStates, n/maxSplitFrames+1))
			states = append(states, part.States...)
		}
		require.Equal(t, f.States, states)
	}
}
