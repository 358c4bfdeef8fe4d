package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/masticlead/masticlead/emulator"
)

// trouble is a fault that a test can begin and end.
type trouble struct {
	name  string
	begin func(c *cell, rng *rand.Rand) (end func())
}

// troubles are the faults that are combined at random.
var troubles = []trouble{
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
		return c.trouble("http://"+c.platform+"/table", emulator.Faults{Down: true})
	}},
	{"store slow", func(c *cell, _ *rand.Rand) func() {
		return c.trouble("http://"+c.platform+"/table", emulator.Faults{DelayMs: 1500})
	}},
	{"store answers lost", func(c *cell, _ *rand.Rand) func() {
		return c.trouble("http://"+c.platform+"/table", emulator.Faults{LoseAnswers: 30})
	}},
	{"object store and directory down", func(c *cell, _ *rand.Rand) func() {
		a := c.trouble("http://"+c.platform+"/objects", emulator.Faults{Down: true})
		b := c.trouble("http://"+c.platform+"/directory", emulator.Faults{Down: true})
		return func() { a(); b() }
	}},
	{"data centre cut off", func(c *cell, rng *rand.Rand) func() {
		dc := c.anyZone(rng)
		return c.troublePaths(dc, c.others(dc), fault{cut: true}, fault{cut: true})
	}},
	{"data centre without platform", func(c *cell, rng *rand.Rand) func() {
		return c.troublePaths(c.anyZone(rng), []zone{platformZone}, fault{cut: true}, fault{cut: true})
	}},
	{"answers to a data centre dropped", func(c *cell, rng *rand.Rand) func() {
		dc := c.anyZone(rng)
		return c.troublePaths(dc, c.others(dc), fault{dropAnswers: true}, fault{dropRequests: true})
	}},
	{"target unreachable", func(c *cell, rng *rand.Rand) func() {
		target := c.targets[rng.IntN(len(c.targets))]
		return c.trouble("http://"+target.Address, emulator.Faults{Down: true})
	}},
	{"answers of targets lost", func(c *cell, _ *rand.Rand) func() {
		for _, target := range c.targets {
			c.setFaults("http://"+target.Address, emulator.Faults{LoseAnswers: 3})
		}
		return func() {}
	}},
}

// trouble sets the faults of a stand-in and returns their end.
func (c *cell) trouble(url string, f emulator.Faults) func() {
	c.setFaults(url, f)
	return func() { c.setFaults(url, emulator.Faults{}) }
}

func (c *cell) anyZone(rng *rand.Rand) zone {
	return c.layout.dataCentres[rng.IntN(len(c.layout.dataCentres))]
}

// others returns the platform and all data centres but one.
func (c *cell) others(dc zone) []zone {
	far := []zone{platformZone}
	for _, z := range c.layout.dataCentres {
		if z != dc {
			far = append(far, z)
		}
	}
	return far
}

func (c *cell) troublePaths(dc zone, far []zone, out, in fault) func() {
	for _, z := range far {
		c.net.set(path{dc, z}, out)
		c.net.set(path{z, dc}, in)
	}
	return func() {
		for _, z := range far {
			c.net.healBoth(dc, z)
		}
	}
}

// testTwoTroubles applies two different faults, chosen and timed by the seed, that
// overlap, and does so as often as given.
func testTwoTroubles(t *testing.T, seed uint64, rounds int) {
	c := newCell(t, shortLeases(), testRules)
	l := c.startLoad(seed, 60, c.instances)
	rng := rand.New(rand.NewPCG(seed, 5))
	some := func(least, most int) { time.Sleep(time.Duration(least+rng.IntN(most-least)) * time.Millisecond) }
	time.Sleep(2 * time.Second)
	for range rounds {
		chosen := rng.Perm(len(troubles))
		a, b := troubles[chosen[0]], troubles[chosen[1]]
		endA := a.begin(c, rng)
		some(0, 4000)
		endB := b.begin(c, rng)
		t.Logf("seed %d: %s, and then %s", seed, a.name, b.name)
		some(2000, 8000)
		endA()
		some(0, 3000)
		endB()
		some(1000, 4000)
	}
	time.Sleep(5 * time.Second)
	l.stop()
	l.check(t)
	l.checkSettlements(t)
}

// TestTwoFaults guards against faults that are each survived alone but not
// together.
func TestTwoFaults(t *testing.T) { testTwoTroubles(t, testSeed, 1) }
