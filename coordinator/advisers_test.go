package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// TestFailingInstanceIsNotAskedAgain guards against a step that waits for advice for as
// long as one instance can't reach the advice service: its calls ended first, so that it
// was always the one expected to answer the next call first.
func TestFailingInstanceIsNotAskedAgain(t *testing.T) {
	for name, timing := range map[string]w.AdviceTiming{
		"long":   {BaseLatency: 640 * time.Millisecond, LatencyPerTarget: 9 * time.Millisecond, TicketValidity: ticketValidity},
		"medium": {BaseLatency: 80 * time.Millisecond, LatencyPerTarget: time.Millisecond, TicketValidity: ticketValidity},
		"short":  {BaseLatency: 9 * time.Millisecond, TicketValidity: ticketValidity},
	} {
		t.Run(name, func(t *testing.T) {
			x := newAdvisedCell(t, 2)
			for i := range 7 {
				x.c.Join(&linker.Hello{Instance: w.InstanceID(fmt.Sprintf("i%d", i))})
			}
			x.c.Configure(&w.Config{Version: 3, Queues: []w.Queue{{Name: testQueue, Service: "s", Attempts: 4, Advice: &timing}}})
			x.nextOrders(0)
			x.reportRuns("a")
			x.submit(singleTaskJob("j"))
			// The instance that is asked first fails from now on.
			var failing w.InstanceID
			failed, begin := 0, x.now
			for x.now.Sub(begin) < 3*time.Second {
				x.now = x.now.Add(5 * time.Millisecond)
				x.c.fullPassDue = time.Time{}
				x.c.Advance(x.now)
				for id, f := range x.c.Frames() {
					for _, a := range f.Asks {
						if failing == "" {
							failing = id
						}
						if id != failing {
							t.Logf("asked another instance after %v", x.now.Sub(begin))
							return
						}
						failed++
						x.c.Receive(id, &linker.Frame{Advice: []linker.Advice{{ID: a.ID, Failed: true}}}, x.now)
					}
				}
			}
			t.Errorf("%d calls, all by %s", failed, failing)
		})
	}
}

// TestFurtherAdviceIsNotDeferredForGood guards against a gang that never starts, since the
// targets that it knows of don't suffice and other gangs always have most of the calls
// under way that instances can make.
func TestFurtherAdviceIsNotDeferredForGood(t *testing.T) {
	x := newAdvisedCell(t, 24)
	for i := range 7 {
		x.c.Join(&linker.Hello{Instance: w.InstanceID(fmt.Sprintf("i%d", i))})
	}
	timing := w.AdviceTiming{BaseLatency: 640 * time.Millisecond, LatencyPerTarget: 200 * time.Millisecond, TicketValidity: ticketValidity}
	x.c.Configure(&w.Config{Version: 3, Queues: []w.Queue{{Name: testQueue, Service: "s", Attempts: 4, Advice: &timing}}})
	x.submit(w.Job{ID: "gang", Queue: testQueue, Attempts: 4, Steps: []w.Step{{Count: 3, Gang: true, Need: w.Resources{CPU: 8000}}}})
	asked, begin := 0, x.now
	for x.now.Sub(begin) < 8*time.Second {
		for _, m := range x.c.sortedMembers[:3] {
			m.adviceCalls, m.freeAt = maxCallsPerInstance, x.now.Add(time.Second)
		}
		calls, _ := x.nextOrders(20 * time.Millisecond)
		for _, tg := range x.c.sortedTargets {
			tg.reportedAt, tg.health.progressedAt = x.now, x.now
		}
		for _, a := range calls {
			asked += len(a.Targets)
			for id := range x.c.members {
				x.c.Receive(id, &linker.Frame{Advice: []linker.Advice{{ID: a.ID}}}, x.now) // permits none
			}
		}
	}
	require.Equal(t, 24, asked, "targets asked about; the gang waits for %v", x.c.jobs["gang"].occurrences[0].steps[0].reason)
}
