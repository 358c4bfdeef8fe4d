package integration

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// loadBalancer sends calls only to instances whose readiness check succeeds, as the
// platform's load balancer does. It checks more frequently than is usual in
// production, so that a short drain time suffices.
type loadBalancer struct {
	c     *cell
	mu    sync.Mutex
	ready []*instance
	stop  chan struct{}
	wg    sync.WaitGroup
}

// readinessCheckPeriod is the interval between readiness checks of an instance.
const readinessCheckPeriod = 100 * time.Millisecond

// newLoadBalancer starts the readiness checks, which run until the end of the test.
// Until their first check, instances count as ready.
func newLoadBalancer(c *cell) *loadBalancer {
	b := &loadBalancer{c: c, stop: make(chan struct{}), ready: slices.Clone(c.instances)}
	client := &http.Client{Timeout: time.Second}
	for _, in := range c.instances {
		b.wg.Go(func() {
			for {
				resp, err := client.Get(in.url + "/readyz")
				if err == nil {
					_ = resp.Body.Close()
				}
				b.setReady(in, err == nil && resp.StatusCode == http.StatusOK)
				select {
				case <-b.stop:
					return
				case <-time.After(readinessCheckPeriod):
				}
			}
		})
	}
	c.t.Cleanup(func() {
		close(b.stop)
		b.wg.Wait()
	})
	return b
}

func (b *loadBalancer) setReady(in *instance, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = slices.DeleteFunc(b.ready, func(o *instance) bool { return o == in })
	if ready {
		b.ready = append(b.ready, in)
	}
}

// choose returns a random ready instance, or any instance if none is ready.
func (b *loadBalancer) choose(rng *rand.Rand) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.c.instances[rng.IntN(len(b.c.instances))]
	}
	return b.ready[rng.IntN(len(b.ready))]
}

// testGracefulStops restarts the selected instances one after another while requests
// are sent through a load balancer. It checks that every call gets a response and
// that no task runs twice.
func testGracefulStops(t *testing.T, selectInstances func(*cell) []*instance) {
	c := newCell(t, shortLeaseLayout(), testRules)
	l := c.startLoadMix(testSeed, 60, defaultMix, newLoadBalancer(c).choose)
	time.Sleep(2 * time.Second)
	for _, in := range selectInstances(c) {
		stopStart := time.Now()
		in.terminate(t)
		stoppedAt := time.Now()
		c.startInstance(in)
		c.waitReady(in)
		t.Logf("%s stopped in %s, ready after another %s", in.id, stoppedAt.Sub(stopStart).Round(time.Millisecond),
			time.Since(stoppedAt).Round(time.Millisecond))
	}
	time.Sleep(2 * time.Second)
	l.stop()
	l.checkOutcomes(t)
	for _, call := range l.failedCalls {
		t.Errorf("P7: a call to %s ended without a response: %v", call.instanceID, call.err)
	}
	lateOrders := 0
	for _, h := range c.histories() {
		lateOrders += h.LateOrders
	}
	t.Logf("%d start orders arrived too late", lateOrders)
	runs := map[taskKey]int{}
	for _, r := range startedBetween(c.histories(), time.Unix(0, 0), time.Now(), anyRun) {
		runs[taskKey{r.Key, r.Index}]++
	}
	for _, r := range startedBetween(c.histories(), time.Unix(0, 0), time.Now(), anyRun) {
		if runs[taskKey{r.Key, r.Index}] > 1 {
			t.Errorf("P7: request %s task %d ran more than once during planned restarts: %+v", r.Key, r.Index, r)
		}
	}
}

// TestGracefulStops guards against a graceful shutdown that aborts a call, loses a
// request or causes one to run again (property P7 of docs/design.md).
func TestGracefulStops(t *testing.T) {
	testGracefulStops(t, func(c *cell) []*instance { return c.instancesIn("gyor") })
}

// testAllGracefulStops guards against the failures of TestGracefulStops when all
// instances are restarted.
func testAllGracefulStops(t *testing.T) {
	testGracefulStops(t, func(c *cell) []*instance { return c.instances })
}

// testRollingRestart guards against requests that are lost in a rolling restart of
// all instances, while callers send requests to any instance, even if it is down.
func testRollingRestart(t *testing.T) {
	c := newCell(t, defaultLayout(), testRules)
	l := c.startLoad(testSeed, 60, c.instances)
	time.Sleep(2 * time.Second)
	for _, in := range c.instances {
		in.terminate(t)
		c.startInstance(in)
		c.waitReady(in)
	}
	time.Sleep(2 * time.Second)
	l.stop()
	l.checkOutcomes(t)
}
