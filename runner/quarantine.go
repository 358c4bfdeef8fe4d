package runner

import (
	"log/slog"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/detector"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

// quarantine joins the detector of bad targets with the placement policy. It
// tells the detector which targets there are, and keeps two states of each
// target apart: the one of its worker, such as leaving, and the one of the
// detector. A target takes work only if both allow it.
type quarantine struct {
	placer.Policy
	detector detector.Policy
	log      *slog.Logger

	mu    sync.Mutex
	own   map[descriptor.TargetID]placer.TargetState
	aside map[descriptor.TargetID]placer.TargetState // quarantined or probing
}

func newQuarantine(p placer.Policy, d detector.Policy, log *slog.Logger) *quarantine {
	return &quarantine{
		Policy: p, detector: d, log: log,
		own: map[descriptor.TargetID]placer.TargetState{}, aside: map[descriptor.TargetID]placer.TargetState{},
	}
}

// AddTarget implements placer.Policy.
func (q *quarantine) AddTarget(t descriptor.Target) {
	q.detector.AddTarget(t.ID)
	q.Policy.AddTarget(t)
}

// RemoveTarget implements placer.Policy.
func (q *quarantine) RemoveTarget(id descriptor.TargetID) {
	q.mu.Lock()
	delete(q.own, id)
	delete(q.aside, id)
	q.mu.Unlock()
	q.detector.RemoveTarget(id)
	q.Policy.RemoveTarget(id)
}

// SetState implements placer.Policy.
func (q *quarantine) SetState(id descriptor.TargetID, s placer.TargetState) {
	q.mu.Lock()
	switch s {
	case placer.Quarantined, placer.Probing:
		q.aside[id] = s
	default:
		q.own[id] = s
	}
	effective := q.own[id]
	if aside, ok := q.aside[id]; ok && effective == placer.Placeable {
		effective = aside
	}
	q.mu.Unlock()
	q.Policy.SetState(id, effective)
}

// setAside reports whether the detector keeps a target out of normal use.
func (q *quarantine) setAside(id descriptor.TargetID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.aside[id]
	return ok
}

// Observe implements scheduler.Detector.
func (q *quarantine) Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName,
	succeeded bool, ran time.Duration, now time.Time,
) {
	q.detector.Observe(target, key, kind, succeeded, ran, now)
}

// Changes implements scheduler.Detector.
func (q *quarantine) Changes(now time.Time) []scheduler.TargetChange {
	var changes []scheduler.TargetChange
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.detector.Changes(now) {
		q.log.Info("detector: target health changed", "target", c.Target, "state", c.State, "reason", c.Reason, "score", c.Score)
		if c.State == placer.Placeable {
			delete(q.aside, c.Target)
			c.State = q.own[c.Target]
		}
		changes = append(changes, scheduler.TargetChange{Target: c.Target, State: c.State})
	}
	return changes
}
