package integration

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// balancer sends calls only to instances that say that they are ready, as the
// platform's load balancer does. It asks more often than one asks in practice, so
// that a short drain time is enough.
type balancer struct {
	c    *cell
	mu   sync.Mutex
	up   []*instance
	stop chan struct{}
	wg   sync.WaitGroup
}

// balancerPeriod is the time between two readiness checks of an instance.
const balancerPeriod = 100 * time.Millisecond

func newBalancer(c *cell) *balancer {
	b := &balancer{c: c, stop: make(chan struct{}), up: slices.Clone(c.instances)}
	client := &http.Client{Timeout: time.Second}
	for _, in := range c.instances {
		b.wg.Go(func() {
			for {
				resp, err := client.Get(in.url + "/readyz")
				if err == nil {
					_ = resp.Body.Close()
				}
				b.set(in, err == nil && resp.StatusCode == http.StatusOK)
				select {
				case <-b.stop:
					return
				case <-time.After(balancerPeriod):
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

func (b *balancer) set(in *instance, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up = slices.DeleteFunc(b.up, func(o *instance) bool { return o == in })
	if ready {
		b.up = append(b.up, in)
	}
}

// choose selects one of the ready instances, or any if none is ready.
func (b *balancer) choose(rng *rand.Rand) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.up) == 0 {
		return b.c.instances[rng.IntN(len(b.c.instances))]
	}
	return b.up[rng.IntN(len(b.up))]
}

// testGracefulStops stops and starts the instances one after another while a load
// balancer sends requests, and checks that no call is cut and nothing runs twice.
func testGracefulStops(t *testing.T, choose func(*cell) []*instance) {
	c := newCell(t, shortLeases(), testRules)
	l := c.startMix(testSeed, 60, defaultWorkload, newBalancer(c).choose)
	time.Sleep(2 * time.Second)
	for _, in := range choose(c) {
		begin := time.Now()
		in.terminate(t)
		stopped := time.Now()
		c.startInstance(in)
		c.waitReady(in)
		t.Logf("%s stopped in %s, ready after another %s", in.id, stopped.Sub(begin).Round(time.Millisecond),
			time.Since(stopped).Round(time.Millisecond))
	}
	time.Sleep(2 * time.Second)
	l.stop()
	l.check(t)
	for _, e := range l.cut {
		t.Errorf("P7: a call to %s ended without an answer: %v", e.entry, e.err)
	}
	runs := map[runKey]int{}
	for _, r := range starts(c.histories(), time.Unix(0, 0), time.Now(), anyRun) {
		runs[runKey{r.Key, r.Index}]++
	}
	for _, r := range starts(c.histories(), time.Unix(0, 0), time.Now(), anyRun) {
		if runs[runKey{r.Key, r.Index}] > 1 {
			t.Errorf("P7: request %s task %d ran again after a planned stop: %+v", r.Key, r.Index, r)
		}
	}
}

// TestGracefulStops guards against a planned stop that cuts a call, loses a
// request or makes one run again (P7).
func TestGracefulStops(t *testing.T) {
	testGracefulStops(t, func(c *cell) []*instance { return c.of("gyor") })
}

// testAllGracefulStops guards against the same over a restart of all instances.
func testAllGracefulStops(t *testing.T) {
	testGracefulStops(t, func(c *cell) []*instance { return c.instances })
}

// testRollingRestart guards against requests that are lost in a restart of all
// instances while callers send them to any instance, also to one that is down.
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
	l.check(t)
}
