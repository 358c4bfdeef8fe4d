package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
	"github.com/masticlead/masticlead/loader"
)

// The development cell models one data centre of a deployment.
const (
	devDataCentre     descriptor.DataCentreID = "gyor"
	devTargetCount                            = 16
	devTargetsPerRack                         = 8
)

// devCapacity is the capacity of a target of the development cell.
var devCapacity = descriptor.Resources{CPU: 32_000, Memory: 128 << 10, Slots: 8}

// DevCell is a development cell in one process: an instance, emulated
// platform services and emulated targets, all on loopback.
type DevCell struct {
	url         string
	cell        *emulator.Cell
	cancel      context.CancelFunc
	serveResult chan error
}

// StartDevCell starts a development cell, applies the rules and waits until the
// instance is ready or ctx ends.
func StartDevCell(ctx context.Context, rules []byte) (*DevCell, error) {
	cell := &emulator.Cell{PlatformAddress: "127.0.0.1:0", Listing: devListing()}
	if err := cell.Start(); err != nil {
		return nil, fmt.Errorf("start emulated platform and targets: %w", err)
	}
	settings, err := devSettings(cell.PlatformAddress)
	if err != nil {
		return nil, errors.Join(err, cell.Close())
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &DevCell{url: "http://" + settings.Listen.HTTP, cell: cell, cancel: cancel, serveResult: make(chan error, 1)}
	go func() { d.serveResult <- Serve(runCtx, settings) }()
	if err := d.applyRulesAndWait(ctx, rules); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func devListing() connector.Listing {
	var l connector.Listing
	for i := range devTargetCount {
		l.Targets = append(l.Targets, descriptor.Target{
			ID: descriptor.TargetID(fmt.Sprintf("target-%02d", i)), DataCentre: devDataCentre,
			Rack:    descriptor.RackID(fmt.Sprintf("rack-%d", i/devTargetsPerRack)),
			Address: "127.0.0.1:0", Capacity: devCapacity,
		})
	}
	return l
}

func devSettings(platformAddress string) (*loader.Settings, error) {
	httpAddress, err := unusedAddress()
	if err != nil {
		return nil, err
	}
	peerAddress, err := unusedAddress()
	if err != nil {
		return nil, err
	}
	s := loader.Default()
	s.Instance = loader.Instance{Name: "dev-0", DataCentre: devDataCentre, Region: "nyugat-hu"}
	s.Listen = loader.Addresses{HTTP: httpAddress, Peer: peerAddress}
	s.DataCentres = []descriptor.DataCentreID{devDataCentre}
	platformURL := "http://" + platformAddress
	s.Platform = loader.Platform{Table: platformURL + "/table", Objects: platformURL + "/objects", Directory: platformURL + "/directory"}
	s.Log.Level = slog.LevelWarn
	return &s, nil
}

// unusedAddress returns a loopback address with a port that is currently free.
func unusedAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// applyRulesAndWait applies the rules and waits until the instance is ready.
func (d *DevCell) applyRulesAndWait(ctx context.Context, rules []byte) error {
	apply := func() error {
		return d.sendRequest(ctx, http.MethodPut, "/v1/rules?expectedVersion=0&author=dev", rules)
	}
	if err := d.retry(ctx, apply); err != nil {
		return fmt.Errorf("apply rules: %w", err)
	}
	ready := func() error { return d.sendRequest(ctx, http.MethodGet, "/readyz", nil) }
	if err := d.retry(ctx, ready); err != nil {
		return fmt.Errorf("wait until ready: %w", err)
	}
	return nil
}

// devStartTimeout limits the time for each step of the start of a development
// cell: applying the rules, and becoming ready.
const devStartTimeout = 30 * time.Second

// retry repeats a call until it succeeds, the instance stops, or the time limit or
// ctx ends.
func (d *DevCell) retry(ctx context.Context, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	for {
		err := call()
		if err == nil {
			return nil
		}
		select {
		case serveErr := <-d.serveResult:
			d.serveResult <- serveErr
			return errors.Join(err, serveErr)
		case <-ctx.Done():
			return err
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (d *DevCell) sendRequest(ctx context.Context, method, path string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, method, d.url+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return nil
}

// URL returns the base URL of the instance's HTTP API.
func (d *DevCell) URL() string { return d.url }

// Close shuts the instance down gracefully and then stops the emulated platform
// and targets.
func (d *DevCell) Close() error {
	d.cancel()
	return errors.Join(<-d.serveResult, d.cell.Close())
}
