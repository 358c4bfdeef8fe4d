// Package scheduler decides which waiting request runs next, where, and what is
// refused. It combines the policies of packages estimator, sequencer, admitter
// and placer.
//
// A Scheduler has no goroutines. Its methods are safe for concurrent use, and
// with the same calls, clock and random source it makes the same decisions.
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

// Config holds what a Scheduler is made of. Only Placer is required; the zero
// values of the other fields select the defaults.
type Config struct {
	Clock  clockwork.Clock
	Rand   *rand.Rand
	Placer placer.Policy
	Scope  tally.Scope

	// Bounds limits the queues of the default admission policy.
	Bounds admitter.Bounds
	// Estimator predicts run times.
	Estimator estimator.Policy
	// Sequencer orders the waiting requests.
	Sequencer sequencer.Policy[*Record]
	// Admitter decides on admission.
	Admitter admitter.Policy
	// Sharer keeps capacity for short work.
	Sharer Sharer
	// Detector finds bad targets; nil means that none are looked for.
	Detector Detector
	// NoRescue leaves requests in their turn although their deadline is near.
	NoRescue bool
	// RetryBudget is the number of retries per first submission; 0 means
	// DefaultRetryBudget.
	RetryBudget float64
}

// DefaultRetryBudget allows one retry for ten submissions, which bounds the load
// that retries add to an overload.
const DefaultRetryBudget = 0.1

// TargetChange is a change of a target's state.
type TargetChange struct {
	Target descriptor.TargetID
	State  placer.TargetState
}

// Detector finds targets that fail what others complete.
type Detector interface {
	// Observe reports the end of a task.
	Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName,
		succeeded bool, ran time.Duration, now time.Time)
	// Changes returns the targets whose state changes now.
	Changes(now time.Time) []TargetChange
}

// Plain returns cfg with the plain baseline policies: first come first served,
// no admission control, declared run times, no capacity kept for short work, no
// regard for deadlines.
func Plain(cfg Config) Config {
	cfg.Estimator = estimator.Declared{}
	cfg.Sequencer = sequencer.NewArrival[*Record]()
	cfg.Admitter = admitter.Everything{}
	cfg.Sharer = Unshared{}
	cfg.NoRescue = true
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
		cfg.Sequencer = sequencer.NewFair[*Record]()
	}
	if cfg.Admitter == nil {
		cfg.Admitter = admitter.NewPredictive(cfg.Bounds, cfg.Rand)
	}
	if cfg.Sharer == nil {
		cfg.Sharer = NewReserve()
	}
	if cfg.RetryBudget == 0 {
		cfg.RetryBudget = DefaultRetryBudget
	}
	return cfg
}
