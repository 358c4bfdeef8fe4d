package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// TestUrgentTaskAsProbe guards against a quarantined target that never returns to
// service in a cell where all tasks are urgent.
func TestUrgentTaskAsProbe(t *testing.T) {
	capacity := descriptor.Resources{CPU: 8000, Memory: 8192, Slots: 8}
	request := func(idempotent bool, p descriptor.Priority) *descriptor.Request {
		return &descriptor.Request{
			Tasks: 1, Idempotent: idempotent, Priority: p,
			Resources: descriptor.Resources{CPU: 100, Memory: 10, Slots: 1},
		}
	}
	now := time.Unix(0, 0)
	p := NewPacker(PackerConfig{})
	for _, id := range []descriptor.TargetID{"good", "aside"} {
		p.AddTarget(descriptor.Target{ID: id, Capacity: capacity})
	}
	place := func(r *descriptor.Request) descriptor.TargetID {
		got, v := p.Place(now, Demand{Request: r, RunTime: time.Second})
		require.Equal(t, Placed, v)
		p.Release(now, got[0].Target, r.Resources)
		return got[0].Target
	}
	p.SetState("aside", Quarantined)
	p.SetState("aside", Probing)
	require.Equal(t, descriptor.TargetID("good"), place(request(true, descriptor.Urgent)), "tasks that are not urgent are preferred as probes")
	p.SetState("aside", Quarantined)

	p.SetState("aside", Probing)
	require.Equal(t, descriptor.TargetID("good"), place(request(false, descriptor.Normal)), "non-idempotent tasks are used as probes only as a last resort")
	require.Equal(t, descriptor.TargetID("aside"), place(request(true, descriptor.Urgent)))
	p.SetState("aside", Quarantined)

	p.SetState("aside", Probing)
	require.Equal(t, descriptor.TargetID("good"), place(request(true, descriptor.Urgent)), "the last probe ran a task")
	require.Equal(t, descriptor.TargetID("aside"), place(request(true, descriptor.Normal)))
}
