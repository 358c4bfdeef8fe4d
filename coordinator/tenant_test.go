package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestStatesNameTenants guards against instances that show a job to another tenant, or have
// to read its row, because a published state does not name its tenant.
func TestStatesNameTenants(t *testing.T) {
	x := newCell(t, 1, 1, nil)
	x.reportRuns("a")
	j := singleTaskJob("j")
	j.Tenant = "a"
	x.submit(j)
	states := func(f *linker.Frame) []w.State {
		require.True(t, f.NamesTenants)
		var out []w.State
		for _, s := range f.States {
			require.Equal(t, w.TenantName("a"), s.Tenant)
			out = append(out, s.State)
		}
		return out
	}
	f := x.advance(0)
	require.Equal(t, []w.State{w.Queued}, states(f))
	start := f.Starts[0]
	x.confirmStart(start)
	require.Equal(t, []w.State{w.Running}, states(x.advance(statesPeriod)))

	x.reportEnd("a", start, w.EndedDone)
	x.c.Advance(x.now)
	require.NotNil(t, x.c.Flush())
	x.c.SetStoreSlow(true)
	require.Equal(t, []w.State{w.Completed}, states(x.c.Frames()["other"]), "published before it is stored")
	x.c.Join(&linker.Hello{Instance: "late"})
	require.Equal(t, []w.State{w.Completed}, states(x.c.Frames()["late"]), "snapshot for an instance that joins")
}
