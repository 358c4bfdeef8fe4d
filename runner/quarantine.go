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

// quarantinePolicy wraps the placement policy and applies the state changes of the
// detector of bad targets. It passes the detector the list of targets, and keeps two
// states of each target: that of its worker in the dispatcher, such as leaving, and
// that of the detector. A target takes tasks only if both states allow it.
type quarantinePolicy struct {
	placer.Policy
	detector detector.Policy
	log      *slog.Logger

	mu             sync.Mutex
	workerStates   map[descriptor.TargetID]placer.TargetState
	detectorStates map[descriptor.TargetID]placer.TargetState // quarantined or probing
}

func newQuarantinePolicy(p placer.Policy, d detector.Policy, log *slog.Logger) *quarantinePolicy {
	return &quarantinePolicy{
		Policy: p, detector: d, log: log,
		workerStates: map[descriptor.TargetID]placer.TargetState{}, detectorStates: map[descriptor.TargetID]placer.TargetState{},
	}
}

// AddTarget implements placer.Policy.
func (q *quarantinePolicy) AddTarget(t descriptor.Target) {
	q.detector.AddTarget(t.ID)
	q.Policy.AddTarget(t)
}

// RemoveTarget implements placer.Policy.
func (q *quarantinePolicy) RemoveTarget(id descriptor.TargetID) {
	q.mu.Lock()
	delete(q.workerStates, id)
	delete(q.detectorStates, id)
	q.mu.Unlock()
	q.detector.RemoveTarget(id)
	q.Policy.RemoveTarget(id)
}

// SetState implements placer.Policy.
func (q *quarantinePolicy) SetState(id descriptor.TargetID, s placer.TargetState) {
	q.mu.Lock()
	switch s {
	case placer.Quarantined, placer.Probing:
		q.detectorStates[id] = s
	default:
		q.workerStates[id] = s
	}
	effective := q.workerStates[id]
	if detected, ok := q.detectorStates[id]; ok && effective == placer.Placeable {
		effective = detected
	}
	q.mu.Unlock()
	q.Policy.SetState(id, effective)
}

// isQuarantined reports whether the detector has quarantined or is probing a
// target.
func (q *quarantinePolicy) isQuarantined(id descriptor.TargetID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.detectorStates[id]
	return ok
}

// Observe implements scheduler.Detector.
func (q *quarantinePolicy) Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName,
	succeeded bool, ran time.Duration, now time.Time,
) {
	q.detector.Observe(target, key, kind, succeeded, ran, now)
}

// Changes implements scheduler.Detector.
func (q *quarantinePolicy) Changes(now time.Time) []scheduler.TargetChange {
	var changes []scheduler.TargetChange
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.detector.Changes(now) {
		q.log.Info("detector: target health changed", "target", c.Target, "state", c.State, "reason", c.Reason, "score", c.Score)
		if c.State == placer.Placeable {
			delete(q.detectorStates, c.Target)
			c.State = q.workerStates[c.Target]
		}
		changes = append(changes, scheduler.TargetChange{Target: c.Target, State: c.State})
	}
	return changes
}
