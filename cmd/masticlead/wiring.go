package main

import (
	"context"

	"github.com/masticlead/masticlead/runner"
)

// devCell is a complete cell on loopback with emulated platform services.
type devCell interface {
	// URL returns the base URL of a ready instance.
	URL() string
	// Close shuts the cell down gracefully.
	Close() error
}

// serveInstance runs an instance until ctx ends, then shuts it down gracefully.
var serveInstance = runner.Serve

// startDevCell starts a cell, applies the rules and waits until it is ready.
var startDevCell = func(ctx context.Context, rules []byte) (devCell, error) {
	return runner.StartDevCell(ctx, rules)
}
