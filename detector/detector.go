package detector

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// The reasons for a change, also the names of the counters.
const (
	reasonFailures    = "failures"    // it fails what succeeds elsewhere
	reasonProbeFailed = "probeFailed" // it failed a probe
	reasonProbesLost  = "probesLost"  // its probes had no result
	reasonProbe       = "probe"       // it gets probes
	reasonRecovered   = "recovered"   // its probes succeeded
	reasonWorkFault   = "workFault"   // its failures were those of the work
	reasonLimit       = "limit"       // too many are quarantined
)

// Config configures a Detector. The zero value is usable.
type Config struct {
	// MaxShare bounds the fraction of the targets that are quarantined or probed
	// at once, rounded up. The default is 0.2: a rack of 8 targets in a
	// data centre of 50 is 0.16.
	MaxShare float64
	// FirstProbe is the time from a quarantine to the first probe. It doubles
	// with each failed probe up to MaxProbe. The defaults are 5 s and 5 min.
	FirstProbe, MaxProbe time.Duration
	// Scope receives the counters quarantined and released, tagged by reason.
	Scope tally.Scope
}

func (c Config) withDefaults() Config {
	if c.MaxShare <= 0 {
		c.MaxShare = 0.2
	}
	if c.FirstProbe <= 0 {
		c.FirstProbe = 5 * time.Second
	}
	if c.MaxProbe <= 0 {
		c.MaxProbe = 5 * time.Minute
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}

const (
	// badRate is the failure rate of a target that fails everything. It is below
	// 1, so that one chance success doesn't prove the target good.
	badRate = 0.95
	// leastRate is the lowest failure rate assumed of good targets. With it, a
	// failure of work that succeeds elsewhere counts ln(0.95/0.05) = 2.9.
	leastRate = 0.05
	// unseenRate and unseenFactor bound the failure rate assumed of a kind that was
	// not seen elsewhere, the latter as a multiple of the rate of all kinds.
	unseenRate   = 0.3
	unseenFactor = 3
	// threshold is the score at which a target is quarantined: five failures of
	// work that succeeds elsewhere. If 2% of all tasks fail by chance, a good
	// target gets there once in 3e8 tasks.
	threshold = 12
	// releaseScore is the score below which a quarantine ends when failures turn out
	// to be those of the work: one of five is left to chance.
	releaseScore = threshold / 2
	// maxScore lets a target that was good for long be recognised as fast as a
	// new one, and bounds how long a full quarantine keeps old evidence.
	maxScore = 3 * threshold
	// maxFaults bounds the failed requests that are remembered.
	maxFaults = 4096
)

// health is what is known of one target.
type health struct {
	id    descriptor.TargetID
	state placer.TargetState
	// score is the cumulative sum (Page 1954, CUSUM) of the log likelihood ratio
	// of a target that fails everything against one that is like its peers.
	score float64
	// probeAt is when the next probes start, or, while probing, when new probes
	// replace those that have had no result.
	probeAt time.Time
	// interval is the time between a quarantine and its probes.
	interval   time.Duration
	releasedAt time.Time
	// failingSince is the start of the first failed task of the score.
	failingSince time.Time
	succeeded    int // probes
}

// fault is the first failure of a request.
type fault struct {
	target descriptor.TargetID
	score  float64 // what the failure has added to the target's score
	// settled says that the request has ended on another target, too.
	settled bool
}

// Detector quarantines the targets that fail work which succeeds on their peers.
//
// Each result moves the target's score by a log likelihood ratio. The failure
// rate of a good target is taken from the same kind and the same caller on other
// targets, so work that fails everywhere moves no score, and a kind that has not
// been seen elsewhere moves it little. A request that fails on
// a second target takes back what its first failure had added.
type Detector struct {
	cfg Config

	mu      sync.Mutex
	targets map[descriptor.TargetID]*health
	// away lists the targets that are quarantined or probed.
	away []*health
	// suspects lists the targets at or above the threshold that are still in
	// service.
	suspects map[descriptor.TargetID]*health
	kinds    table[descriptor.KindName]
	callers  table[descriptor.CallerID]
	all      peers // the results of all kinds
	faults   map[descriptor.Key]*fault
	order    []descriptor.Key // of faults, as a ring
	oldest   int
	changes  map[descriptor.TargetID]Change
}

var _ Policy = (*Detector)(nil)

// New returns a detector without targets.
func New(cfg Config) *Detector {
	return &Detector{
		cfg:      cfg.withDefaults(),
		targets:  make(map[descriptor.TargetID]*health),
		suspects: make(map[descriptor.TargetID]*health),
		kinds:    make(table[descriptor.KindName]),
		callers:  make(table[descriptor.CallerID]),
		faults:   make(map[descriptor.Key]*fault),
		changes:  make(map[descriptor.TargetID]Change),
	}
}

// AddTarget implements Policy.
func (d *Detector) AddTarget(id descriptor.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets[id] == nil {
		d.targets[id] = &health{id: id, state: placer.Placeable}
	}
}

// RemoveTarget implements Policy.
func (d *Detector) RemoveTarget(id descriptor.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.targets[id]
	if h == nil {
		return
	}
	delete(d.targets, id)
	delete(d.suspects, id)
	delete(d.changes, id)
	d.away = slices.DeleteFunc(d.away, func(o *health) bool { return o == h })
}

// Limit returns the number of targets that may be quarantined or probed at once.
func (d *Detector) Limit() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limit()
}

func (d *Detector) limit() int {
	return max(1, int(math.Ceil(d.cfg.MaxShare*float64(len(d.targets)))))
}

// Observe implements Policy.
func (d *Detector) Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName, succeeded bool, ran time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kinds, callers := d.kinds.at(kind, now), d.callers.at(key.Caller, now)
	unseen := min(badRate, max(unseenRate, unseenFactor*d.all.rateElsewhere(target, badRate, now)))
	normal := max(leastRate, kinds.rateElsewhere(target, unseen, now), callers.rateElsewhere(target, leastRate, now))
	normal = min(normal, badRate)
	failed := 1.0
	if succeeded {
		failed = 0
	}
	kinds.observe(target, failed, now)
	callers.observe(target, failed, now)
	d.all.observe(target, failed, now)
	h := d.targets[target]
	if succeeded {
		d.confirm(key, target)
		d.succeed(h, normal, now.Add(-ran), now)
		return
	}
	if d.failedBefore(key, target, now) {
		return
	}
	gain := math.Log(badRate / normal)
	d.remember(key, target, gain)
	d.fail(h, gain, now.Add(-ran), now)
}

// succeed takes a success into account; h may be nil. A task that began before
// those that fail says nothing of the target since.
func (d *Detector) succeed(h *health, normal float64, began, now time.Time) {
	if h == nil {
		return
	}
	switch h.state {
	case placer.Placeable:
		if h.score > 0 && began.Before(h.failingSince) {
			return
		}
		d.move(h, math.Log((1-badRate)/(1-normal)))
	case placer.Probing:
		if h.succeeded++; h.succeeded >= placer.ProbeTasks {
			d.release(h, reasonRecovered, now)
		}
	}
}

// fail takes a failure into account; h may be nil. While probing, a failure of
// work that mostly fails elsewhere says nothing.
func (d *Detector) fail(h *health, gain float64, began, now time.Time) {
	if h == nil {
		return
	}
	if h.score == 0 {
		h.failingSince = began
	}
	switch h.state {
	case placer.Placeable:
		d.move(h, gain)
	case placer.Quarantined:
		// It may be taken back like the failures before the quarantine.
		h.score += gain
	case placer.Probing:
		h.score += gain
		if gain > math.Log(badRate/0.5) {
			h.interval = min(2*h.interval, d.cfg.MaxProbe)
			d.isolate(h, reasonProbeFailed, now)
		}
	}
}

// move changes the score of a target in service.
func (d *Detector) move(h *health, by float64) {
	h.score = min(max(h.score+by, 0), maxScore)
	if h.score >= threshold {
		d.suspects[h.id] = h
		return
	}
	delete(d.suspects, h.id)
}

// remember keeps the first failure of a request.
func (d *Detector) remember(key descriptor.Key, target descriptor.TargetID, gain float64) {
	if len(d.order) < maxFaults {
		d.order = append(d.order, key)
	} else {
		delete(d.faults, d.order[d.oldest])
		d.order[d.oldest] = key
		d.oldest = (d.oldest + 1) % maxFaults
	}
	d.faults[key] = &fault{target: target, score: gain}
}

// failedBefore reports whether the request has failed before. Only its first
// failure moves a score, so that one request can't have a target quarantined. A
// failure on a second target takes back what the first one had added.
func (d *Detector) failedBefore(key descriptor.Key, target descriptor.TargetID, now time.Time) bool {
	f := d.faults[key]
	if f == nil {
		return false
	}
	if !f.settled && f.target != target {
		f.settled = true
		d.retract(f, now)
	}
	return true
}

// retract takes back what a request's failure has added. A target that was
// quarantined for it returns to service.
func (d *Detector) retract(f *fault, now time.Time) {
	h := d.targets[f.target]
	if h == nil {
		return
	}
	if h.state == placer.Placeable {
		d.move(h, -f.score)
		return
	}
	if h.score -= f.score; h.score < releaseScore && h.interval == d.cfg.FirstProbe {
		d.release(h, reasonWorkFault, now)
	}
}

// confirm raises the score of the target on which a request failed that has now
// succeeded elsewhere: the failure counts in full, whatever is known of its kind.
func (d *Detector) confirm(key descriptor.Key, target descriptor.TargetID) {
	f := d.faults[key]
	if f == nil || f.settled || f.target == target {
		return
	}
	if h := d.targets[f.target]; h != nil && h.state == placer.Placeable {
		d.move(h, max(0, math.Log(badRate/leastRate)-f.score))
	}
	f.settled = true
}

// isolate quarantines a target.
func (d *Detector) isolate(h *health, reason string, now time.Time) {
	if h.state == placer.Placeable {
		d.away = append(d.away, h)
		delete(d.suspects, h.id)
	}
	h.state, h.succeeded = placer.Quarantined, 0
	h.probeAt = now.Add(h.interval)
	d.changes[h.id] = Change{h.id, placer.Quarantined, reason, h.score}
	d.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("quarantined").Inc(1)
}

// release returns a target to service.
func (d *Detector) release(h *health, reason string, now time.Time) {
	d.changes[h.id] = Change{h.id, placer.Placeable, reason, h.score}
	h.state, h.score, h.releasedAt = placer.Placeable, 0, now
	d.away = slices.DeleteFunc(d.away, func(o *health) bool { return o == h })
	d.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("released").Inc(1)
}

// Changes implements Policy.
func (d *Detector) Changes(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probe(now)
	d.keepLimit(now)
	d.quarantine(now)
	if len(d.changes) == 0 {
		return nil
	}
	changes := make([]Change, 0, len(d.changes))
	for _, c := range d.changes {
		changes = append(changes, c)
	}
	clear(d.changes)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Target, b.Target) })
	return changes
}

// probe starts the probes that are due. If probes had no result within another
// interval, such as cancelled ones, the target is quarantined until the next
// call, which starts new ones.
func (d *Detector) probe(now time.Time) {
	for _, h := range d.away {
		if now.Before(h.probeAt) {
			continue
		}
		if h.state == placer.Probing {
			d.isolate(h, reasonProbesLost, now)
			h.probeAt = now
			continue
		}
		h.state, h.succeeded = placer.Probing, 0
		h.probeAt = now.Add(h.interval)
		d.changes[h.id] = Change{h.id, placer.Probing, reasonProbe, h.score}
	}
}

// keepLimit releases targets when the limit has fallen, the least suspect first.
func (d *Detector) keepLimit(now time.Time) {
	for len(d.away) > d.limit() {
		d.release(slices.MinFunc(d.away, moreSuspect), reasonLimit, now)
	}
}

// quarantine isolates suspects up to the limit, the most suspect first.
func (d *Detector) quarantine(now time.Time) {
	if len(d.suspects) == 0 {
		return
	}
	suspects := make([]*health, 0, len(d.suspects))
	for _, h := range d.suspects {
		suspects = append(suspects, h)
	}
	slices.SortFunc(suspects, func(a, b *health) int { return moreSuspect(b, a) })
	for _, h := range suspects {
		if len(d.away) >= d.limit() {
			return
		}
		h.interval = d.firstInterval(h, now)
		d.isolate(h, reasonFailures, now)
	}
}

// relapse is the number of intervals after a release within which a target that
// fails again is probed more rarely than before.
const relapse = 10

// firstInterval returns the time to the first probe of a suspect.
func (d *Detector) firstInterval(h *health, now time.Time) time.Duration {
	if now.Sub(h.releasedAt) < relapse*h.interval {
		return min(2*h.interval, d.cfg.MaxProbe)
	}
	return d.cfg.FirstProbe
}

// moreSuspect orders targets by their score.
func moreSuspect(a, b *health) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.id, a.id))
}
