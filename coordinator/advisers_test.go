package coordinator

import (
	"fmt"
	"testing"
	"time"

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
