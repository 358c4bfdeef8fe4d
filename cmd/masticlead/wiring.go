package main

import (
	"context"

	"github.com/masticlead/masticlead/runner"
)

// devCell is a whole cell on loopback, with stand-ins of the platform.
type devCell interface {
	// URL is the base URL of an instance that is ready.
	URL() string
	// Close ends the cell gracefully.
	Close() error
}

// serveInstance runs an instance until ctx ends, then shuts it down gracefully.
var serveInstance = runner.Serve

// startDev starts a cell with the rules in force and waits until it is ready.
var startDev = func(ctx context.Context, rules []byte) (devCell, error) {
	return runner.StartDev(ctx, rules)
}
