package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestUnreadEndIsAcknowledged guards against acknowledging the end of a run that was dropped,
// as its target was assigned to another instance meanwhile, by a later end that the first
// instance reports after the target has returned to it.
func TestUnreadEndIsAcknowledged(t *testing.T) {
	x := newCell(t, 1, 8, nil)
	third := &linker.Hello{Instance: "third"}
	var moved w.TargetID
	x.c.Join(third)
	x.advance(0)
	for id, o := range x.c.targets {
		if o.member.id == "third" {
			moved = id
		}
	}
	x.c.Leave("third")
	assigned := func() int64 {
		for _, a := range x.advance(0).Assign.Targets {
			if a.ID == moved {
				return a.Session
			}
		}
		require.Fail(t, "not assigned")
		return 0
	}
	session := assigned()
	report := func(session int64, ends ...w.End) {
		x.receive(&linker.Frame{Reports: []linker.Report{{Target: moved, Incarnation: 1, Session: session, Complete: true, Ends: ends}}})
	}
	report(session)
	j := singleTaskJob("j")
	j.Steps[0].Count = 2
	x.submit(j)
	f := x.advance(0)
	require.Len(t, f.Starts, 2)
	ends := make([]w.End, 2)
	for i, s := range f.Starts {
		x.confirmStart(s)
		ends[i] = w.End{Seq: int64(i + 1), Task: s.Task, Run: s.Run, How: w.EndedDone}
	}

	x.c.Join(third)
	x.advance(0)
	report(session, ends[0])
	x.c.Leave("third")
	next := assigned()
	report(session, ends[1])
	for _, a := range x.advance(0).Acks {
		require.Less(t, a.Seq, int64(1), "the first end was dropped")
	}
	report(next, ends...)
	x.advance(0)
	require.Equal(t, w.Completed, x.jobState("j"))
}
