// Package scheduler admits requests, orders the queue and assigns tasks to
// targets. It combines the policies of packages estimator, sequencer, admitter and
// placer.
//
// A Scheduler starts no goroutines. Its methods are safe for concurrent use. Its
// decisions are deterministic for the same calls, clock and random source.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/estimator"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/sequencer"
)

// Config configures a Scheduler. Only Placer is required; the zero values of the
// other fields select the defaults.
type Config struct {
	Clock  clockwork.Clock
	Rand   *rand.Rand
	Placer placer.Policy
	Scope  tally.Scope

	// Bounds limits the queues of the default Admitter.
	Bounds admitter.Bounds
	// Estimator predicts run times.
	Estimator estimator.Policy
	// Sequencer orders the waiting requests.
	Sequencer sequencer.Policy[*Record]
	// Admitter decides on admission.
	Admitter admitter.Policy
	// CapacityPolicy reserves capacity for short work.
	CapacityPolicy CapacityPolicy
	// Detector detects bad targets; nil disables detection.
	Detector Detector
	// NoDeadlineBoost keeps requests in queue order even if their deadline is near.
	NoDeadlineBoost bool
	// RetryBudget is the number of retries allowed per admitted submission; 0 means
	// DefaultRetryBudget.
	RetryBudget float64
}

// DefaultRetryBudget allows one retry per ten admitted submissions, which bounds
// the load that retries add during an overload.
const DefaultRetryBudget = 0.1

// TargetChange is a change of a target's state.
type TargetChange struct {
	Target descriptor.TargetID
	State  placer.TargetState
}

// Detector detects targets that fail tasks which succeed on other targets.
type Detector interface {
	// Observe records the result of a task.
	Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName,
		succeeded bool, ran time.Duration, now time.Time)
	// Changes returns the target state changes since the last call.
	Changes(now time.Time) []TargetChange
}

// Baseline returns cfg with the policies that measurements compare against: first
// come first served, no admission control, declared run times, no capacity
// reserved for short work and no deadline boost.
func Baseline(cfg Config) Config {
	cfg.Estimator = estimator.Declared{}
	cfg.Sequencer = sequencer.NewFIFO[*Record]()
	cfg.Admitter = admitter.AdmitAll{}
	cfg.CapacityPolicy = NoReserve{}
	cfg.NoDeadlineBoost = true
	return cfg
}

func (cfg Config) withDefaults() Config {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Estimator == nil {
		cfg.Estimator = estimator.NewObserved()
	}
	if cfg.Sequencer == nil {
		cfg.Sequencer = sequencer.NewFairQueue[*Record]()
	}
	if cfg.Admitter == nil {
		cfg.Admitter = admitter.NewPredictive(cfg.Bounds, cfg.Rand)
	}
	if cfg.CapacityPolicy == nil {
		cfg.CapacityPolicy = NewDemandReserve()
	}
	if cfg.RetryBudget == 0 {
		cfg.RetryBudget = DefaultRetryBudget
	}
	return cfg
}
