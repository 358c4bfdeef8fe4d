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

// The development cell has the shape of one data centre of a deployment.
const (
	devDataCentre  descriptor.DataCentreID = "gyor"
	devTargets                             = 16
	targetsPerRack                         = 8
)

// devCapacity is the capacity of a target of the development cell.
var devCapacity = descriptor.Resources{CPU: 32_000, Memory: 128 << 10, Slots: 8}

// Dev is a cell in one process: an entry instance and stand-ins of the platform
// with some targets, all on loopback.
type Dev struct {
	url    string
	cell   *emulator.Cell
	cancel context.CancelFunc
	done   chan error
}

// StartDev starts a development cell, puts the rules in force and waits until it
// is ready or ctx ends.
func StartDev(ctx context.Context, rules []byte) (*Dev, error) {
	cell := &emulator.Cell{PlatformAddress: "127.0.0.1:0", Listing: devListing()}
	if err := cell.Start(); err != nil {
		return nil, fmt.Errorf("start stand-ins: %w", err)
	}
	settings, err := devSettings(cell.PlatformAddress)
	if err != nil {
		return nil, errors.Join(err, cell.Close())
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d := &Dev{url: "http://" + settings.Listen.HTTP, cell: cell, cancel: cancel, done: make(chan error, 1)}
	go func() { d.done <- Serve(background, settings) }()
	if err := d.prepare(ctx, rules); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func devListing() connector.Listing {
	var l connector.Listing
	for i := range devTargets {
		l.Targets = append(l.Targets, descriptor.Target{
			ID: descriptor.TargetID(fmt.Sprintf("target-%02d", i)), DataCentre: devDataCentre,
			Rack:    descriptor.RackID(fmt.Sprintf("rack-%d", i/targetsPerRack)),
			Address: "127.0.0.1:0", Capacity: devCapacity,
		})
	}
	return l
}

func devSettings(platform string) (*loader.Settings, error) {
	http, err := freeAddress()
	if err != nil {
		return nil, err
	}
	peer, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := loader.Default()
	s.Instance = loader.Instance{Name: "dev-0", DataCentre: devDataCentre, Region: "nyugat-hu"}
	s.Listen = loader.Addresses{HTTP: http, Peer: peer}
	s.DataCentres = []descriptor.DataCentreID{devDataCentre}
	base := "http://" + platform
	s.Platform = loader.Platform{Table: base + "/table", Objects: base + "/objects", Directory: base + "/directory"}
	s.Log.Level = slog.LevelWarn
	return &s, nil
}

// freeAddress returns a loopback address that nothing listens on now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// prepare applies the rules and waits until the instance is ready.
func (d *Dev) prepare(ctx context.Context, rules []byte) error {
	apply := func() error {
		return d.call(ctx, http.MethodPut, "/v1/rules?expectedVersion=0&author=dev", rules)
	}
	if err := d.until(ctx, apply); err != nil {
		return fmt.Errorf("apply rules: %w", err)
	}
	ready := func() error { return d.call(ctx, http.MethodGet, "/readyz", nil) }
	if err := d.until(ctx, ready); err != nil {
		return fmt.Errorf("wait until ready: %w", err)
	}
	return nil
}

// startLimit bounds the start of a development cell.
const startLimit = 30 * time.Second

// until repeats a call until it succeeds.
func (d *Dev) until(ctx context.Context, call func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		err := call()
		if err == nil {
			return nil
		}
		select {
		case served := <-d.done:
			d.done <- served
			return errors.Join(err, served)
		case <-ctx.Done():
			return err
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (d *Dev) call(ctx context.Context, method, path string, body []byte) error {
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

// URL returns the base URL of the instance.
func (d *Dev) URL() string { return d.url }

// Close shuts the instance down gracefully and then stops the stand-ins.
func (d *Dev) Close() error {
	d.cancel()
	return errors.Join(<-d.done, d.cell.Close())
}
