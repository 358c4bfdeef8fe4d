package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// Cell runs an emulated platform and emulated targets and serves them over HTTP.
// Set the exported fields before Start, except Platform and Targets.
type Cell struct {
	// PlatformAddress is the listen address of the platform. If it is empty, no
	// platform is served. Start replaces port 0 by the assigned port.
	PlatformAddress string
	// Listing is the content of the directory. Start replaces port 0 in the
	// addresses of the served targets by the assigned ports.
	Listing connector.Listing
	// DataCentre restricts the served targets to one data centre. If it is empty,
	// all targets are served.
	DataCentre descriptor.DataCentreID
	// NoTargets disables the targets, so that only the platform is served.
	NoTargets bool

	// Platform and Targets are set by Start.
	Platform *Platform
	Targets  map[descriptor.TargetID]*Target

	servers  []*http.Server
	wg       sync.WaitGroup
	mu       sync.Mutex
	serveErr error
}

// Start opens all listeners and serves them in the background. If it fails, it
// closes the listeners already open.
func (c *Cell) Start() error {
	c.Targets = map[descriptor.TargetID]*Target{}
	if !c.NoTargets {
		if err := c.startTargets(); err != nil {
			return errors.Join(err, c.Close())
		}
	}
	if c.PlatformAddress == "" {
		return nil
	}
	c.Platform = NewPlatform()
	c.Platform.SetListing(c.Listing)
	address, err := c.serve(c.PlatformAddress, c.Platform.Handler())
	if err != nil {
		return errors.Join(err, c.Close())
	}
	c.PlatformAddress = address
	return nil
}

func (c *Cell) startTargets() error {
	checkpoints := map[descriptor.DataCentreID]*Checkpoints{}
	for i := range c.Listing.Targets {
		t := &c.Listing.Targets[i]
		if c.DataCentre != "" && t.DataCentre != c.DataCentre {
			continue
		}
		if checkpoints[t.DataCentre] == nil {
			checkpoints[t.DataCentre] = NewCheckpoints()
		}
		target := NewTarget(*t, checkpoints[t.DataCentre])
		address, err := c.serve(t.Address, target.Handler())
		if err != nil {
			return fmt.Errorf("target %s: %w", t.ID, err)
		}
		t.Address = address
		c.Targets[t.ID] = target
	}
	return nil
}

// serve listens on the address, serves the handler in the background and returns
// the address of the listener with its assigned port.
func (c *Cell) serve(address string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: handler}
	c.servers = append(c.servers, s)
	c.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.mu.Lock()
			c.serveErr = errors.Join(c.serveErr, err)
			c.mu.Unlock()
		}
	})
	return l.Addr().String(), nil
}

// Run starts the cell and closes it when ctx is done.
func (c *Cell) Run(ctx context.Context) error {
	if err := c.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return c.Close()
}

// Close closes all listeners and connections and waits for the servers to stop. It
// returns the errors of servers that failed.
func (c *Cell) Close() error {
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serveErr
}
