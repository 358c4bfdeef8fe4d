// Package soak holds a randomized test of real processes on a platform that is
// played on loopback.
package soak
