// Package runner assembles the components of an instance and runs them. It starts
// the innermost components first and shuts down in an order that interrupts no
// request: the readiness check fails first, running requests end or are handed over,
// the slices and the session are released, and only then are the listeners closed.
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
	var lc *lifecycle
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Provide(
			newLogger, newClock, newMetrics, newPlatform, newDirectory, newStore, newListeners, newAdvertisedAddresses, newMessengerServer, newPool,
			newHeartbeater, newDistributor, newLeaser, newClaimer, newPlacementPolicy, newScheduler, newDispatcher, newRouter,
			newHealth, newOperatorAPI, newServer, newLifecycle,
		),
		fx.Populate(&lc),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble instance: %w", err)
	}
	return lc.serve(ctx)
}

// component is a part of the instance that runs until the instance shuts down.
type component struct {
	name  string
	run   func(context.Context) error
	close func() error
}

// lifecycle starts and stops the components.
type lifecycle struct {
	components      []component // in start order, closed in reverse
	drain           func(ctx context.Context) error
	health          *health
	log             *slog.Logger
	shutdownTimeout time.Duration
	// closeFirst is closed in this order before all other components, while the
	// listeners are open and callers are still served.
	closeFirst []component

	wg       sync.WaitGroup
	failures chan error
}

// serve runs all components until ctx ends or one of them fails, and then
// shuts down.
func (l *lifecycle) serve(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	l.failures = make(chan error, len(l.components)+len(l.closeFirst))
	for _, c := range l.allComponents() {
		l.wg.Go(func() {
			if err := c.run(runCtx); err != nil && runCtx.Err() == nil {
				l.failures <- fmt.Errorf("%s: %w", c.name, err)
			}
		})
	}
	l.log.Info("runner: instance started")
	var runErr error
	select {
	case <-ctx.Done():
	case runErr = <-l.failures:
		l.log.Error("runner: component failed", "error", runErr)
	}
	return errors.Join(runErr, l.stop(cancelRun))
}

// allComponents returns all components in start order.
func (l *lifecycle) allComponents() []component {
	return append(append([]component(nil), l.components...), l.closeFirst...)
}

// stop shuts down within the shutdown timeout. If that is exceeded, the error
// states how many requests have no outcome.
func (l *lifecycle) stop(cancelRun context.CancelFunc) error {
	l.health.shuttingDown.Store(true)
	l.log.Info("runner: shutting down")
	ctx, cancelTimeout := context.WithTimeout(context.Background(), l.shutdownTimeout)
	defer cancelTimeout()
	result := make(chan error, 1)
	go func() { result <- l.drainAndClose(ctx) }()
	select {
	case err := <-result:
		cancelRun()
		l.wg.Wait()
		l.log.Info("runner: stopped")
		return err
	case <-ctx.Done():
		cancelRun()
		return fmt.Errorf("shutdown not finished within %s: %s", l.shutdownTimeout, l.health.describeOpenRequests())
	}
}

func (l *lifecycle) drainAndClose(ctx context.Context) error {
	// Requests that still run after this time are recovered by the next owner of
	// their slice.
	drainCtx, cancelDrain := context.WithTimeout(ctx, l.shutdownTimeout/4)
	defer cancelDrain()
	if err := l.drain(drainCtx); err != nil {
		l.log.Info("runner: handing over unfinished requests", "left", err)
	}
	var errs []error
	for _, c := range l.closeFirst {
		errs = append(errs, l.closeComponent(c))
	}
	for i := len(l.components) - 1; i >= 0; i-- {
		errs = append(errs, l.closeComponent(l.components[i]))
	}
	return errors.Join(errs...)
}

func (l *lifecycle) closeComponent(c component) error {
	start := time.Now()
	err := c.close()
	l.log.Debug("runner: component closed", "part", c.name, "took", time.Since(start))
	if err != nil {
		return fmt.Errorf("close %s: %w", c.name, err)
	}
	return nil
}
