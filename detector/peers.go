package detector

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// maxPeers bounds the targets that are remembered for each kind and caller.
	maxPeers = 64
	// peerMemory is how long a target's results count for its peers.
	peerMemory = time.Minute
	// rateStep is the weight of one result in a target's failure rate. A fault
	// that hits all targets at once must show within a few results.
	rateStep = 0.25
	// priorWeight is the number of results that the prior counts for.
	priorWeight = 1
	// maxWeight is the most results that a target counts for, so that one which
	// draws most of the work does not speak for all.
	maxWeight = 8
)

// peer holds the recent results of one target.
type peer struct {
	target descriptor.TargetID
	rate   float64 // of failures, exponentially weighted
	weight float64 // results, up to maxWeight
	seen   time.Time
}

// peers holds the recent results of one kind or caller on each target. A rate
// for each target rather than one over all results keeps a bad target that
// draws most of the work from making its peers look as bad.
type peers struct {
	list []peer
	seen time.Time
}

// observe adds a result. A new target takes the place of the one that was seen
// least recently.
func (p *peers) observe(target descriptor.TargetID, failed float64, now time.Time) {
	p.seen = now
	oldest := 0
	for i := range p.list {
		if q := &p.list[i]; q.target == target {
			if now.Sub(q.seen) > peerMemory {
				q.rate, q.weight = failed, 0
			}
			q.weight = min(q.weight+1, maxWeight)
			q.rate += rateStep * (failed - q.rate)
			q.seen = now
			return
		}
		if p.list[i].seen.Before(p.list[oldest].seen) {
			oldest = i
		}
	}
	next := peer{target: target, rate: failed, weight: 1, seen: now}
	if len(p.list) < maxPeers {
		p.list = append(p.list, next)
		return
	}
	p.list[oldest] = next
}

// rateElsewhere returns the mean failure rate on other targets, drawn towards
// the prior while few results have been seen.
func (p *peers) rateElsewhere(target descriptor.TargetID, prior float64, now time.Time) float64 {
	sum, n := prior*priorWeight, float64(priorWeight)
	if p != nil {
		for i := range p.list {
			q := &p.list[i]
			if q.target != target && now.Sub(q.seen) <= peerMemory {
				sum += q.rate * q.weight
				n += q.weight
			}
		}
	}
	return sum / n
}

// table holds the peers of a bounded number of kinds or callers.
type table[K comparable] map[K]*peers

// maxTable bounds the kinds and the callers that are remembered.
const maxTable = 4096

// at returns the peers of a key. When the table is full, it forgets the keys
// that have not been seen for peerMemory, or else all of them.
func (t table[K]) at(key K, now time.Time) *peers {
	if p := t[key]; p != nil {
		return p
	}
	if len(t) >= maxTable {
		for k, p := range t {
			if now.Sub(p.seen) > peerMemory {
				delete(t, k)
			}
		}
		if len(t) >= maxTable {
			clear(t)
		}
	}
	p := &peers{}
	t[key] = p
	return p
}
