package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/masticlead/masticlead/emulator"
)

// faultInjection is a fault that a test can inject and heal.
type faultInjection struct {
	name   string
	inject func(c *cell, rng *rand.Rand) (heal func())
}

// faultInjections are the faults that are combined at random.
var faultInjections = []faultInjection{
	{"instance killed", func(c *cell, rng *rand.Rand) func() {
		in := c.instances[rng.IntN(len(c.instances))]
		in.kill()
		return func() {
			c.startInstance(in)
			c.waitReady(in)
		}
	}},
	{"instance paused", func(c *cell, rng *rand.Rand) func() {
		in := c.instances[rng.IntN(len(c.instances))]
		in.pause()
		return in.resume
	}},
	{"store down", func(c *cell, _ *rand.Rand) func() {
		return c.injectFaults("http://"+c.platformAddress+"/table", emulator.Faults{Down: true})
	}},
	{"store slow", func(c *cell, _ *rand.Rand) func() {
		return c.injectFaults("http://"+c.platformAddress+"/table", emulator.Faults{DelayMs: 1500})
	}},
	{"store responses lost", func(c *cell, _ *rand.Rand) func() {
		return c.injectFaults("http://"+c.platformAddress+"/table", emulator.Faults{DropResponses: 30})
	}},
	{"object store and directory down", func(c *cell, _ *rand.Rand) func() {
		healObjects := c.injectFaults("http://"+c.platformAddress+"/objects", emulator.Faults{Down: true})
		healDirectory := c.injectFaults("http://"+c.platformAddress+"/directory", emulator.Faults{Down: true})
		return func() { healObjects(); healDirectory() }
	}},
	{"data centre isolated", func(c *cell, rng *rand.Rand) func() {
		dc := c.randomDataCentre(rng)
		return c.injectPathFaults(dc, c.otherZones(dc), fault{cut: true}, fault{cut: true})
	}},
	{"data centre isolated from the platform", func(c *cell, rng *rand.Rand) func() {
		return c.injectPathFaults(c.randomDataCentre(rng), []zone{platformZone}, fault{cut: true}, fault{cut: true})
	}},
	{"responses to a data centre dropped", func(c *cell, rng *rand.Rand) func() {
		dc := c.randomDataCentre(rng)
		return c.injectPathFaults(dc, c.otherZones(dc), fault{dropResponses: true}, fault{dropRequests: true})
	}},
	{"target unreachable", func(c *cell, rng *rand.Rand) func() {
		target := c.targets[rng.IntN(len(c.targets))]
		return c.injectFaults("http://"+target.Address, emulator.Faults{Down: true})
	}},
	{"responses of targets lost", func(c *cell, _ *rand.Rand) func() {
		for _, target := range c.targets {
			c.setFaults("http://"+target.Address, emulator.Faults{DropResponses: 3})
		}
		return func() {}
	}},
}

// injectFaults sets the faults of an emulator and returns a function that clears them.
func (c *cell) injectFaults(url string, f emulator.Faults) func() {
	c.setFaults(url, f)
	return func() { c.setFaults(url, emulator.Faults{}) }
}

func (c *cell) randomDataCentre(rng *rand.Rand) zone {
	return c.layout.dataCentres[rng.IntN(len(c.layout.dataCentres))]
}

// otherZones returns the platform and all data centres except dc.
func (c *cell) otherZones(dc zone) []zone {
	zones := []zone{platformZone}
	for _, z := range c.layout.dataCentres {
		if z != dc {
			zones = append(zones, z)
		}
	}
	return zones
}

// injectPathFaults sets the faults of the connections that dc opens to the remote
// zones and of those that they open to dc. It returns a function that clears them.
func (c *cell) injectPathFaults(dc zone, remote []zone, outbound, inbound fault) func() {
	for _, z := range remote {
		c.network.setFault(path{dc, z}, outbound)
		c.network.setFault(path{z, dc}, inbound)
	}
	return func() {
		for _, z := range remote {
			c.network.heal(dc, z)
		}
	}
}

// testTwoFaults injects two overlapping faults of different types in each round. The
// seed determines the faults and their timing.
func testTwoFaults(t *testing.T, seed uint64, rounds int) {
	c := newCell(t, shortLeaseLayout(), testRules)
	l := c.startLoad(seed, 60, c.instances)
	rng := rand.New(rand.NewPCG(seed, 5))
	sleepBetween := func(minMs, maxMs int) { time.Sleep(time.Duration(minMs+rng.IntN(maxMs-minMs)) * time.Millisecond) }
	time.Sleep(2 * time.Second)
	for range rounds {
		order := rng.Perm(len(faultInjections))
		a, b := faultInjections[order[0]], faultInjections[order[1]]
		healA := a.inject(c, rng)
		sleepBetween(0, 4000)
		healB := b.inject(c, rng)
		t.Logf("seed %d: injected %q, then %q", seed, a.name, b.name)
		sleepBetween(2000, 8000)
		healA()
		sleepBetween(0, 3000)
		healB()
		sleepBetween(1000, 4000)
	}
	time.Sleep(5 * time.Second)
	l.stop()
	l.checkOutcomes(t)
	l.checkSettlements(t)
}

// TestTwoFaults guards against faults that the cell tolerates one at a time, but not
// in combination.
func TestTwoFaults(t *testing.T) { testTwoFaults(t, testSeed, 1) }
