package main

import (
	"context"
	"errors"

	"github.com/masticlead/masticlead/loader"
)

// serveInstance runs an instance until ctx ends, then shuts it down gracefully.
var serveInstance = func(_ context.Context, _ *loader.Settings) error {
	return errors.New("this build has no runner")
}

// devCell is a whole cell on loopback, with stand-ins of the platform.
type devCell interface {
	// URL is the base URL of an instance that is ready.
	URL() string
	// Close ends the cell gracefully.
	Close() error
}

// startDev starts a cell with the rules in force and waits until it is ready.
var startDev = func(_ context.Context, _ []byte) (devCell, error) {
	return nil, errors.New("this build has no development cell")
}
