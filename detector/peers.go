package detector

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// maxTargetRates is the maximum number of targets in one failureRates.
	maxTargetRates = 64
	// rateRetention is the time after the last result of a target during which its
	// failure rate counts in the rate expected of its peers.
	rateRetention = time.Minute
	// smoothingFactor is the weight of a new result in the moving average of a
	// target's failure rate. It is high enough that a fault affecting all targets
	// at once shows within a few results.
	smoothingFactor = 0.25
	// priorWeight is the weight of the prior, as a number of results.
	priorWeight = 1
	// maxTargetWeight is the maximum weight of a target, as a number of results, so
	// that a target that receives most of the work does not dominate the mean.
	maxTargetWeight = 8
)

// targetRate is the recent failure rate of one target.
type targetRate struct {
	target   descriptor.TargetID
	rate     float64 // exponentially weighted moving average
	weight   float64 // number of results, up to maxTargetWeight
	lastSeen time.Time
}

// failureRates holds the recent failure rates of one kind, of one caller or of all
// work, by target. Rates are kept per target rather than over all results so that
// a bad target that receives most of the work does not make its peers appear
// equally bad.
type failureRates struct {
	targets  []targetRate
	lastSeen time.Time
}

// observe adds a result; failed is 1 for a failure and 0 for a success. If
// maxTargetRates targets are present, a new target replaces the one with the
// oldest last result.
func (r *failureRates) observe(target descriptor.TargetID, failed float64, now time.Time) {
	r.lastSeen = now
	oldest := 0
	for i := range r.targets {
		if t := &r.targets[i]; t.target == target {
			if now.Sub(t.lastSeen) > rateRetention {
				t.rate, t.weight = failed, 0
			}
			t.weight = min(t.weight+1, maxTargetWeight)
			t.rate += smoothingFactor * (failed - t.rate)
			t.lastSeen = now
			return
		}
		if r.targets[i].lastSeen.Before(r.targets[oldest].lastSeen) {
			oldest = i
		}
	}
	next := targetRate{target: target, rate: failed, weight: 1, lastSeen: now}
	if len(r.targets) < maxTargetRates {
		r.targets = append(r.targets, next)
		return
	}
	r.targets[oldest] = next
}

// meanExcluding returns the weighted mean of the prior and the failure rates of
// all targets except the given one. The fewer results there are, the closer it is
// to the prior.
func (r *failureRates) meanExcluding(target descriptor.TargetID, prior float64, now time.Time) float64 {
	sum, n := prior*priorWeight, float64(priorWeight)
	if r != nil {
		for i := range r.targets {
			t := &r.targets[i]
			if t.target != target && now.Sub(t.lastSeen) <= rateRetention {
				sum += t.rate * t.weight
				n += t.weight
			}
		}
	}
	return sum / n
}

// rateTable holds failure rates by kind or by caller, for up to maxTableKeys keys.
type rateTable[K comparable] map[K]*failureRates

// maxTableKeys is the maximum number of keys in a rateTable.
const maxTableKeys = 4096

// getOrCreate returns the failure rates of a key. If the table is full, it first
// evicts all keys without a result within rateRetention, or all keys if there are
// none of those.
func (t rateTable[K]) getOrCreate(key K, now time.Time) *failureRates {
	if r := t[key]; r != nil {
		return r
	}
	if len(t) >= maxTableKeys {
		for k, r := range t {
			if now.Sub(r.lastSeen) > rateRetention {
				delete(t, k)
			}
		}
		if len(t) >= maxTableKeys {
			clear(t)
		}
	}
	r := &failureRates{}
	t[key] = r
	return r
}
