package instance

import (
	"errors"
	"time"

	"github.com/masticlead/masticlead/coordinator"
	"github.com/masticlead/masticlead/keeper"
)

// pollTargets periodically reads the platform's list of targets. While it can't be read,
// the coordinator keeps the targets that it knows.
func (l *leader) pollTargets() {
	var lastFailure, failingSince time.Time
	for l.ctx.Err() == nil {
		targets, err := l.in.Directory.Targets(l.ctx)
		now := time.Now()
		if l.ctx.Err() != nil {
			return
		}
		if err != nil {
			lastFailure = now
			l.in.Meter.Count("unread", "targets")
			if failingSince.IsZero() {
				failingSince = now
				l.in.Log.Warn("list of targets not read", "epoch", l.leadership.Epoch, "error", brief(err))
			}
			l.in.sleep(retryDelay)
			continue
		}
		if !failingSince.IsZero() {
			l.in.Log.Info("list of targets read again", "epoch", l.leadership.Epoch, "targets", len(targets), "after", now.Sub(failingSince))
			failingSince = time.Time{}
		}
		complete := now.Sub(lastFailure) > outageGracePeriod
		l.post(func(c *coordinator.Coordinator) { c.SetTargets(targets, complete, time.Now()) })
		l.in.sleep(targetsInterval)
	}
}

// maxLoggedError bounds the length in bytes of errors that may quote a row.
const maxLoggedError = 300

// brief returns the beginning of an error's text.
func brief(err error) string {
	text := err.Error()
	return text[:min(len(text), maxLoggedError)]
}

// reportUndecodable logs and counts rows of the store that could not be decoded.
func (l *leader) reportUndecodable(errs []error) {
	for _, err := range errs {
		l.in.Meter.Count("unread", "row")
		l.in.Log.Error("row of the store not read", "epoch", l.leadership.Epoch, "error", brief(err))
	}
}

// scanJobs periodically looks for stored jobs and cancellations that no gateway has
// forwarded to the leader.
func (l *leader) scanJobs(versions map[string]keeper.Version) {
	for l.ctx.Err() == nil {
		l.in.sleep(jobScanInterval)
		start := time.Now()
		updates, err := l.in.Keeper.Updates(l.ctx, versions)
		if errors.Is(err, keeper.ErrHistoryTruncated) {
			s, err := l.in.Keeper.Load(l.ctx)
			if err != nil {
				l.in.Log.Debug("could not reload the cell", "error", err)
				continue
			}
			versions = s.Versions
			updates = &keeper.Updates{Ends: s.Ends, DecodeErrors: s.DecodeErrors}
			for i := range s.Jobs {
				// A job that ended may have been removed here meanwhile, and must not be
				// added again.
				if !s.Progress[s.Jobs[i].ID].State.Final() {
					updates.Jobs = append(updates.Jobs, s.Jobs[i])
				}
			}
			for id := range s.Cancelled {
				updates.Cancellations = append(updates.Cancellations, id)
			}
			updates.EarlyCancels = s.EarlyCancels
		} else if err != nil {
			l.in.Log.Debug("could not scan for jobs and cancellations", "error", err)
			continue
		}
		l.reportUndecodable(updates.DecodeErrors)
		l.post(func(c *coordinator.Coordinator) {
			l.applyUpdates(c, updates)
			c.JobsRead(start)
		})
	}
}

// applyUpdates passes jobs, cancellations and ends that were read from the store to the
// coordinator.
func (l *leader) applyUpdates(c *coordinator.Coordinator, updates *keeper.Updates) {
	for i := range updates.Jobs {
		if !c.HasJob(updates.Jobs[i].ID) {
			l.in.Log.Info("found a stored job that no gateway forwarded", "job", updates.Jobs[i].ID)
			c.AddJob(&updates.Jobs[i], false)
		}
	}
	// A job that callers have seen ended before its cancellation was stored stays in that
	// state.
	for id, state := range updates.Ends {
		c.RestoreStoredEnd(id, state)
	}
	for _, id := range updates.Cancellations {
		c.Cancel(id)
	}
	for _, e := range updates.EarlyCancels {
		c.CancelEarly(e.ID, e.Tenant)
	}
}
