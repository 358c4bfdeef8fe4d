package instance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/authenticator"
	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// unreadyFraction is the fraction of the bound for removed keys that the age of the
	// configuration must exceed for the instance to report that it isn't ready. It
	// leaves the load balancer 2 s of the usual 5 s to send new connections elsewhere
	// before requests are refused.
	unreadyFraction = 0.6
	// confirmFraction is the fraction of the largest useful age at which the configuration
	// is confirmed by separate reads, and after which one that brings nothing ends.
	confirmFraction = 0.2
	// confirmPauseFraction is the fraction of the largest useful age between two attempts
	// to confirm the configuration. It bounds the number of reads while the store refuses
	// them.
	confirmPauseFraction = 0.1
	// watchFraction is the fraction of the largest useful age for which the store may delay
	// its response to a watch of the configuration. A response confirms the configuration
	// as of its request, so that the age grows to two such delays and two round trips,
	// which must stay below confirmFraction while the store is healthy.
	watchFraction = 0.08
	// refusalFactor is the ratio of the largest useful age to the age from which a request
	// can't be refused for good. Two separate reads that get no response, and the pause
	// between them, then end before that age.
	refusalFactor = 2
	// minWatchTimeout bounds the rate of watches where the bound is very short.
	minWatchTimeout = 100 * time.Millisecond
	// pathDelay is the time after which the configuration is read over another path to the
	// store if nothing has arrived over the earlier ones. A healthy store answers sooner.
	pathDelay = 200 * time.Millisecond
	// failureLogInterval is the shortest time between two log lines about failed watches.
	failureLogInterval = 500 * time.Millisecond
	// confirmTick is the interval at which the age of the configuration is checked.
	confirmTick = 50 * time.Millisecond
)

// watchConfig watches the configuration and applies each new version. Each response of
// the store confirms that the active configuration is current.
func (in *Instance) watchConfig() {
	var lastFailure time.Time // that was logged
	for in.ctx.Err() == nil {
		start := time.Now()
		via, r, err := in.watchConfigOnce()
		switch {
		case err == nil && in.Gateway.Config() != nil, errors.Is(err, errOvertaken):
			continue
		case errors.Is(err, keeper.ErrHistoryTruncated):
			in.Meter.Count("unread", "configurationHistory")
			in.Log.Info("changes of the configuration are no longer available", "revision", r.version)
		case errors.Is(err, errConfigUnreadable):
			in.Meter.Count("unread", "configuration")
			in.Log.Error("configuration not read", "error", brief(err))
		case err != nil && in.ctx.Err() == nil && time.Since(lastFailure) > failureLogInterval:
			lastFailure = time.Now()
			in.Log.Info("watch of the configuration failed", "via", via, "revision", r.version, "took", time.Since(start), "error", brief(err))
		}
		in.sleep(retryDelay)
	}
}

// errConfigUnreadable reports a change that has no valid configuration.
var errConfigUnreadable = errors.New("instance: the stored configuration is not valid")

// watchConfigOnce waits for a change of the configuration, or reads it if nothing is known
// of it, and applies it. It returns how it was read, and the read. The error wraps
// errOvertaken if another read has received the change.
func (in *Instance) watchConfigOnce() (via string, r *configTransfer, err error) {
	r = in.transfers.begin(in.ctx)
	defer in.transfers.end(r)
	sent, start := in.Gateway.Freshness.Now(), time.Now()
	var cfg *w.Config
	var revision keeper.Version
	via = "watch"
	if r.version > 0 {
		cfg, revision, err = in.Directory.ConfigChange(r.ctx, r.version, in.watchTimeout())
	} else {
		via = "read"
		cfg, revision, err = in.Directory.Config(r.ctx)
	}
	switch {
	case err != nil && errors.Is(context.Cause(r.ctx), errOvertaken):
		return via, r, fmt.Errorf("%w: %w", errOvertaken, err)
	case errors.Is(err, keeper.ErrHistoryTruncated):
		in.transfers.forget(r.version)
	case err != nil && revision > r.version:
		in.transfers.setVersion(revision, true, false)
		err = fmt.Errorf("%w: %w", errConfigUnreadable, err)
	case err != nil:
	case cfg != nil:
		current := in.applyConfig(cfg, configRead{via: via, sent: sent, start: start, revision: revision})
		in.transfers.setVersion(revision, true, current)
	case revision < r.version:
		in.noteLostChanges(via, revision, r.version)
	default:
		in.transfers.setVersion(revision, r.version == 0, false)
		if r.after > 0 {
			in.Gateway.Freshness.Confirm(sent)
		}
	}
	return via, r, err
}

// noteLostChanges lets the configuration be read again, since the store has lost changes
// that it reported before.
func (in *Instance) noteLostChanges(via string, revision, previous keeper.Version) {
	in.transfers.forget(previous)
	in.Log.Warn("revision of the configuration went back", "via", via, "revision", revision, "previous", previous)
}

// watchTimeout returns the time for which the store may delay its response to a watch of
// the configuration.
func (in *Instance) watchTimeout() time.Duration {
	if maxAge := in.maxConfigAge(); maxAge > 0 {
		return min(longPollTimeout, max(minWatchTimeout, fractionOf(maxAge, watchFraction)))
	}
	return longPollTimeout
}

// configRead tells how a configuration was read.
type configRead struct {
	via      string
	sent     time.Duration  // time of Freshness.Clock right before the read was sent, or 0 if it is unknown
	start    time.Time      // the same time on the clock of the logs
	revision keeper.Version // newest version of the store as of the response, or 0 if it is unknown
}

// applyConfig applies a configuration that a read has returned. It returns false if a newer
// one is active.
func (in *Instance) applyConfig(cfg *w.Config, read configRead) bool {
	previous := in.Gateway.Freshness.Snapshot()
	if in.Gateway.Freshness.Apply(cfg, read.sent) {
		in.logConfig(previous, in.Gateway.Freshness.Snapshot(), read)
		if l := in.leader.Load(); l != nil {
			l.configure(cfg)
		}
	}
	active := in.Gateway.Config().Version
	if active > cfg.Version {
		in.Meter.Count("unread", "olderConfiguration")
		in.Log.Warn("older configuration read", "via", read.via, "version", cfg.Version, "active", active, "revision", read.revision)
	}
	return active <= cfg.Version
}

func (in *Instance) logConfig(previous, s *authenticator.Snapshot, read configRead) {
	removed := 0
	if previous != nil {
		removed = previous.KeysRemovedBy(s)
	}
	in.Log.Info("configuration in force", "version", s.Config.Version, "queues", len(s.Config.Queues),
		"tenants", len(s.Config.Tenants), "keys", s.Keys(), "keysRemoved", removed,
		"via", read.via, "took", time.Since(read.start), "revision", read.revision)
	in.reportFindings(s.Config)
}

// maxConfigAge returns the largest useful age of the configuration, or 0 if requests are
// decided by a configuration of any age.
func (in *Instance) maxConfigAge() time.Duration {
	maxAge := refusalFactor * in.bounds.Load().ApplyWithin
	if bound := in.revokeBound(); bound > 0 && (maxAge == 0 || bound < maxAge) {
		return bound
	}
	return maxAge
}

// revokeBound returns the bound for removed keys, or 0 if there is none or there are no
// keys.
func (in *Instance) revokeBound() time.Duration {
	if cfg := in.Gateway.Config(); cfg == nil || len(cfg.Tenants) == 0 {
		return 0
	}
	return in.bounds.Load().RevokeAfter
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// configStale reports whether the configuration is so old that requests are refused, or that
// those with keys will soon be.
func (in *Instance) configStale() bool {
	bound, s := in.revokeBound(), in.Gateway.Freshness.Snapshot()
	return (bound > 0 && in.Gateway.Freshness.OlderThan(s, fractionOf(bound, unreadyFraction))) || (s != nil && in.Gateway.Outdated(s))
}

// confirmConfig confirms the configuration by separate reads while the responses to
// watchConfig are late, and reports when it becomes too old.
func (in *Instance) confirmConfig() {
	stale := false
	for in.ctx.Err() == nil {
		in.sleep(confirmTick)
		in.reportConfigAge(&stale)
		maxAge, s := in.maxConfigAge(), in.Gateway.Freshness.Snapshot()
		if maxAge == 0 || s == nil || !in.Gateway.Freshness.OlderThan(s, fractionOf(maxAge, confirmFraction)) {
			continue
		}
		if in.transfers.busy() == nil && !in.readConfig(in.ctx, fractionOf(maxAge, confirmFraction)) {
			in.sleep(fractionOf(maxAge, confirmPauseFraction))
		}
	}
}

// readResult is the result of a read of the configuration over one path.
type readResult struct {
	via       string
	confirmed bool // the active configuration is current
	err       error
}

// readConfig reads the configuration over the paths to the store, and applies the first
// response. A path is tried when those before have failed, or have brought nothing for
// pathDelay. Each read ends when it has brought nothing for timeout. It reports whether a
// read confirmed the configuration.
func (in *Instance) readConfig(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	paths := in.ConfigReads
	if len(paths) == 0 {
		paths = []ConfigRead{{Via: "read", Whole: true, Read: func(ctx context.Context, _ keeper.Version) (*w.Config, keeper.Version, error) {
			return in.Directory.Config(ctx)
		}}}
	}
	read := configRead{sent: in.Gateway.Freshness.Now(), start: time.Now()}
	results := make(chan readResult, len(paths))
	next := time.NewTimer(0)
	defer next.Stop()
	for begun, ended := 0, 0; ended < len(paths); {
		select {
		case r := <-results:
			ended++
			if r.err != nil && !errors.Is(r.err, errOvertaken) && ctx.Err() == nil {
				in.Log.Info("separate read of the configuration failed", "via", r.via, "took", time.Since(read.start), "error", brief(r.err))
			}
			if r.confirmed {
				// Without the clock, no read can confirm anything.
				return in.countConfirmation(read.sent != 0)
			}
			next.Reset(0)
		case <-next.C:
			if in.transfers.busy() == nil && begun < len(paths) {
				path := paths[begun]
				begun++
				in.spawn(func() { in.readOver(ctx, path, timeout, read, results) })
			}
			next.Reset(pathDelay)
		}
	}
	return in.countConfirmation(false)
}

func (in *Instance) countConfirmation(confirmed bool) bool {
	if confirmed {
		in.Meter.Count("confirm", "confirmed")
	} else {
		in.Meter.Count("confirm", "failed")
	}
	return confirmed
}

// readOver reads the configuration over one path, applies it and sends the result. read
// tells when the reads over all paths began.
func (in *Instance) readOver(ctx context.Context, path ConfigRead, timeout time.Duration, read configRead, results chan<- readResult) {
	r := readResult{via: path.Via, err: errReadPanicked}
	// A panic is logged by spawn. The result must be sent nevertheless.
	defer func() { results <- r }()
	transfer := in.transfers.begin(ctx)
	// The next read begins after the version that this one has found is known.
	defer in.transfers.end(transfer)
	after := transfer.after
	if path.Whole {
		after = 0
	}
	ctx, cancel := keeper.UntilStalled(transfer.ctx, timeout)
	defer cancel()
	cfg, revision, err := path.Read(ctx, after)
	r.err = err
	switch {
	case err == nil:
		read.via, read.revision = path.Via, revision
		r.confirmed = in.confirm(cfg, after, read)
	case errors.Is(context.Cause(transfer.ctx), errOvertaken):
		r.err = errOvertaken
	}
}

// errReadPanicked is the result of a read without another one.
var errReadPanicked = errors.New("instance: the read of the configuration panicked")

// confirm applies the response to a separate read that asked for changes since a version,
// and reports whether it confirms that the active configuration is current.
func (in *Instance) confirm(cfg *w.Config, after keeper.Version, read configRead) bool {
	if read.revision < after {
		in.noteLostChanges(read.via, read.revision, after)
		return false
	}
	confirmed := after > 0
	if cfg != nil {
		confirmed = in.applyConfig(cfg, read)
	} else if confirmed {
		in.Gateway.Freshness.Confirm(read.sent)
	}
	in.transfers.setVersion(read.revision, cfg != nil, confirmed)
	return confirmed
}

// reportConfigAge updates the gauge of the configuration's age, and logs when the
// configuration becomes stale and when it no longer is. stale holds the last result.
func (in *Instance) reportConfigAge(stale *bool) {
	s := in.Gateway.Freshness.Snapshot()
	if s == nil {
		return
	}
	age, err := in.Gateway.Freshness.Age(s)
	if err == nil {
		in.Meter.SetGauge("configAgeSeconds", age.Seconds())
	}
	if now := in.configStale(); now != *stale {
		*stale = now
		if now {
			in.Log.Warn("configuration not confirmed", "version", s.Config.Version, "age", age, "bound", in.bounds.Load().RevokeAfter)
		} else {
			in.Log.Info("configuration confirmed again", "version", s.Config.Version, "age", age)
		}
	}
}
