//go:build !race

package integration

// raceFlags build the programs under test as the test itself was built.
var raceFlags []string
