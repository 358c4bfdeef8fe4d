// Package integration contains only tests. They run the built programs as separate
// processes that communicate through a fault-injecting TCP proxy.
package integration
