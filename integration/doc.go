// Package integration tests real processes behind a fault-injecting TCP proxy. It
// holds only tests.
package integration
