// Package soak contains a randomized soak test, which runs instances as separate
// processes against a simulated platform on loopback.
package soak
