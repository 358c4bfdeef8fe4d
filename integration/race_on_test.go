//go:build race

package integration

// raceFlags are the build flags that give the programs under test the same race
// detector setting as the test binary.
var raceFlags = []string{"-race"}
