// Package integration contains only tests. They run the built programs as separate
// processes that communicate through a fault-injecting TCP proxy. P1 to P8 in their
// messages are the properties of docs/design.md.
package integration
