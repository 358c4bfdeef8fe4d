package integration

import (
	"os"
	"testing"
)

// longTests are the tests that take more than about 40 s each.
var longTests = []struct {
	name string
	run  func(*testing.T)
}{
	{"StoreDownForAMinute", testStoreDownForAMinute},
	{"GracefulStops", testAllGracefulStops},
	{"RollingRestart", testRollingRestart},
	{"TwoFaults1", func(t *testing.T) { testTwoFaults(t, 1, 4) }},
	{"TwoFaults2", func(t *testing.T) { testTwoFaults(t, 2, 4) }},
	{"TwoFaults3", func(t *testing.T) { testTwoFaults(t, 3, 4) }},
}

// TestLong runs longTests if the environment variable MASTICLEAD_LONG is 1. The
// function of each test documents the failure that it guards against.
func TestLong(t *testing.T) {
	if os.Getenv("MASTICLEAD_LONG") != "1" {
		return
	}
	for _, l := range longTests {
		t.Run(l.name, l.run)
	}
}
