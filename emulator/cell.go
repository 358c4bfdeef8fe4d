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

// Cell serves a platform and targets on loopback. Exported fields are set
// before Start.
type Cell struct {
	// PlatformAddress is where the platform listens; empty for no platform.
	PlatformAddress string
	// Listing is what the directory serves. Targets in it whose address has
	// port 0 get a port from the kernel.
	Listing connector.Listing
	// DataCentre selects the targets to serve; empty serves all of them.
	DataCentre descriptor.DataCentreID
	// NoTargets serves only the platform.
	NoTargets bool

	// Platform and Targets are set by Start.
	Platform *Platform
	Targets  map[descriptor.TargetID]*Target

	servers []*http.Server
	wg      sync.WaitGroup
	mu      sync.Mutex
	err     error
}

// Start opens all listeners and serves in the background.
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

// serve listens on the address and returns the one that it got.
func (c *Cell) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	c.wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.mu.Lock()
			c.err = errors.Join(c.err, err)
			c.mu.Unlock()
		}
	})
	return l.Addr().String(), nil
}

// Run starts the cell and serves until ctx ends.
func (c *Cell) Run(ctx context.Context) error {
	if err := c.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return c.Close()
}

// Close closes all listeners and waits for the servers to end.
func (c *Cell) Close() error {
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
