// Package runner puts the parts of an entry instance together and runs them. It
// starts them from the inside out and stops them in an order that cuts no
// request: readiness fails first, running work ends or is handed over, slices
// and session are released, and only then do the listeners close.
package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/masticlead/masticlead/loader"
)

// Serve runs an instance until ctx ends and then shuts it down gracefully.
func Serve(ctx context.Context, s *loader.Settings) error {
	var life *lifetime
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(
			newLog, newClock, newScope, newPlatform, newDirectory, newStore, newListeners, newAdvertised, newMessengerServer, newPool,
			newHeartbeater, newDistributor, newLeaser, newClaimer, newTargetStates, newScheduler, newDispatcher, newRouter,
			newHealth, newOperator, newServer, newLifetime,
		),
		fx.Populate(&life),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble instance: %w", err)
	}
	return life.serve(ctx)
}

// part is one of the parts that run for as long as the instance.
type part struct {
	name  string
	run   func(context.Context) error
	close func() error
}

// lifetime starts and stops the parts.
type lifetime struct {
	parts    []part // in the order of their start
	drain    func(ctx context.Context) error
	health   *health
	log      *slog.Logger
	shutdown time.Duration
	// Closed before the listeners, in this order, while callers are still served.
	release []part

	wg     sync.WaitGroup
	failed chan error
}

// serve runs all parts until ctx ends or one of them fails.
func (l *lifetime) serve(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.failed = make(chan error, len(l.parts)+len(l.release))
	for _, p := range l.all() {
		l.wg.Go(func() {
			if err := p.run(background); err != nil && background.Err() == nil {
				l.failed <- fmt.Errorf("%s: %w", p.name, err)
			}
		})
	}
	l.log.Info("runner: instance started")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-l.failed:
		l.log.Error("runner: part failed", "error", failure)
	}
	return errors.Join(failure, l.stop(cancel))
}

// all returns all parts in the order of their start.
func (l *lifetime) all() []part {
	return append(append([]part(nil), l.parts...), l.release...)
}

// stop shuts down within the shutdown time. What is left at its end is named in
// the error.
func (l *lifetime) stop(cancel context.CancelFunc) error {
	l.health.stopping.Store(true)
	l.log.Info("runner: shutting down")
	ctx, done := context.WithTimeout(context.Background(), l.shutdown)
	defer done()
	finished := make(chan error, 1)
	go func() { finished <- l.stopParts(ctx) }()
	select {
	case err := <-finished:
		cancel()
		l.wg.Wait()
		l.log.Info("runner: stopped")
		return err
	case <-ctx.Done():
		cancel()
		return fmt.Errorf("shutdown not finished after %s: %s", l.shutdown, l.health.leftOver())
	}
}

func (l *lifetime) stopParts(ctx context.Context) error {
	// Running work that lasts longer than this is found by the next owner.
	drain, done := context.WithTimeout(ctx, l.shutdown/4)
	defer done()
	if err := l.drain(drain); err != nil {
		l.log.Info("runner: work is handed over", "left", err)
	}
	var errs []error
	for _, p := range l.release {
		errs = append(errs, l.closePart(p))
	}
	for i := len(l.parts) - 1; i >= 0; i-- {
		errs = append(errs, l.closePart(l.parts[i]))
	}
	return errors.Join(errs...)
}

func (l *lifetime) closePart(p part) error {
	start := time.Now()
	err := p.close()
	l.log.Debug("runner: part closed", "part", p.name, "took", time.Since(start))
	if err != nil {
		return fmt.Errorf("close %s: %w", p.name, err)
	}
	return nil
}
