package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestFormerMemberExtendsLease guards against starting a task elsewhere while it runs on a
// target that was assigned to another instance: the previous one reports the target, and
// extends the lease, until it receives its new assignment, and the next one can't reach it.
func TestFormerMemberExtendsLease(t *testing.T) {
	// Connections last while frames wait for up to 2 s.
	const assignmentDelay = 2 * time.Second
	const reportInterval = 900 * time.Millisecond
	x := newCell(t, 1, 8, nil)
	third := &linker.Hello{Instance: "third"}
	members := func() map[w.TargetID]w.InstanceID {
		m := make(map[w.TargetID]w.InstanceID)
		for id, tg := range x.c.targets {
			m[id] = tg.member.id
		}
		return m
	}
	x.c.Join(third)
	x.advance(0)
	after := members()
	x.c.Leave("third")
	x.advance(0)
	var moved, kept w.TargetID
	for id, m := range after {
		if m == "third" {
			moved = id
		} else {
			kept = id
		}
	}
	require.NotEmpty(t, moved)
	x.reportRuns(moved)
	x.submit(singleTaskJob("j"))
	order := x.advance(0).Starts[0]
	require.Equal(t, moved, order.Target)
	x.confirmStart(order)
	x.advance(time.Second)
	x.reportRuns(moved, w.Run{Task: order.Task, Run: order.Run, Percent: 1})
	x.reportRuns(kept)

	x.advance(reportInterval)
	x.c.Join(third)
	x.advance(0)
	require.Equal(t, w.InstanceID("third"), x.c.targets[moved].member.id)
	assigned := x.now.Add(assignmentDelay)
	leaseEnd := assigned.Add(x.c.Lease * 102 / 100)
	for x.now.Before(leaseEnd) {
		if x.now.Before(assigned) {
			x.reportRuns(moved, w.Run{Task: order.Task, Run: order.Run, Percent: 1})
		}
		x.c.Receive("third", &linker.Frame{Reports: []linker.Report{{Target: moved, Incarnation: 1, Unreachable: true}}}, x.now)
		x.reportRuns(kept)
		f := x.advance(100 * time.Millisecond)
		require.Empty(t, f.Starts, "the task is running for %v more", leaseEnd.Sub(x.now))
	}
}

// TestRejectedStartExtendsLeaseOfNextIncarnation guards against starting a task elsewhere
// while it runs on a target that has restarted: a start that the next incarnation rejected
// carried a deadline on the clock of the earlier one, so that it got its longest lease.
func TestRejectedStartExtendsLeaseOfNextIncarnation(t *testing.T) {
	x := newCell(t, 1, 2, nil)
	x.c.MaxLease = 10 * time.Second
	x.reportRuns("a")
	x.submit(singleTaskJob("j"))
	order := x.advance(0).Starts[0]
	// The next incarnation has rejected the start, and the old session reports it.
	leaseEnd := x.now.Add(x.c.MaxLease * 102 / 100)
	x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Incarnation: 1, Task: order.Task, Run: order.Run, Outcome: linker.InsufficientResources}}})
	x.restart(2)
	x.advance(0)
	x.reportSynced()
	order = x.advance(0).Starts[0]
	require.Equal(t, w.TargetID("a"), order.Target)
	x.receive(&linker.Frame{Results: []linker.Result{{Target: "a", Incarnation: 2, Task: order.Task, Run: order.Run, Outcome: linker.Started}}})
	x.advance(survivalTime)
	x.reportSynced(w.Run{Task: order.Task, Run: order.Run})
	// The target is cut off.
	for x.now.Before(leaseEnd) {
		x.reportRuns("b")
		f := x.advance(100 * time.Millisecond)
		require.Empty(t, f.Starts, "the task is running for %v more", leaseEnd.Sub(x.now))
	}
}
