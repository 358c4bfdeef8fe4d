package integration

import (
	"os"
	"testing"
)

// longTests take more than about 40 s each.
var longTests = []struct {
	name string
	run  func(*testing.T)
}{
	{"StoreDownForAMinute", testStoreDownForAMinute},
	{"GracefulStops", testAllGracefulStops},
	{"RollingRestart", testRollingRestart},
	{"TwoFaults1", func(t *testing.T) { testTwoTroubles(t, 1, 4) }},
	{"TwoFaults2", func(t *testing.T) { testTwoTroubles(t, 2, 4) }},
	{"TwoFaults3", func(t *testing.T) { testTwoTroubles(t, 3, 4) }},
}

// TestLong runs the long tests if the variable MASTICLEAD_LONG is 1. Each states
// at its function which failure it guards against.
func TestLong(t *testing.T) {
	if os.Getenv("MASTICLEAD_LONG") != "1" {
		return
	}
	for _, l := range longTests {
		t.Run(l.name, l.run)
	}
}
