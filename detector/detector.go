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

// Reasons for state changes, also used as the reason tag of the counters.
const (
	reasonFailures    = "failures"    // it failed work that succeeds on other targets
	reasonProbeFailed = "probeFailed" // one of its probes failed
	reasonProbesLost  = "probesLost"  // its probes returned no result in time
	reasonProbe       = "probe"       // its probe interval has elapsed
	reasonRecovered   = "recovered"   // all of its probes succeeded
	reasonWorkFault   = "workFault"   // its failed requests failed on other targets as well
	reasonLimit       = "limit"       // the number of targets out of service exceeded the limit
)

// Config configures a Detector. The zero value is usable.
type Config struct {
	// MaxOutOfServiceFraction is the maximum fraction of targets that may be
	// quarantined or probing at the same time; the resulting number of targets is
	// rounded up. The default of 0.2 covers the failure of one rack of 8 targets in
	// a data centre of 50, which is 0.16.
	MaxOutOfServiceFraction float64
	// InitialProbeInterval is the time between quarantining a target and its first
	// probe. The interval doubles with each failed probe, up to MaxProbeInterval.
	// The defaults are 5 s and 5 min.
	InitialProbeInterval, MaxProbeInterval time.Duration
	// Scope receives the counters "quarantined" and "released", tagged by reason.
	Scope tally.Scope
}

func (c Config) withDefaults() Config {
	if c.MaxOutOfServiceFraction <= 0 {
		c.MaxOutOfServiceFraction = 0.2
	}
	if c.InitialProbeInterval <= 0 {
		c.InitialProbeInterval = 5 * time.Second
	}
	if c.MaxProbeInterval <= 0 {
		c.MaxProbeInterval = 5 * time.Minute
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}

const (
	// badTargetFailureRate is the assumed failure rate of a bad target. It is
	// below 1 so that a single chance success does not clear the target.
	badTargetFailureRate = 0.95
	// minFailureRate is the lowest failure rate assumed for a good target. With
	// this value, a failure of work that succeeds on other targets adds
	// ln(0.95/0.05) = 2.9 to the score.
	minFailureRate = 0.05
	// minUnseenFailureRate and unseenFailureRateFactor are lower bounds of the
	// failure rate assumed for a kind without results on other targets. The factor
	// is a multiple of the failure rate over all kinds.
	minUnseenFailureRate    = 0.3
	unseenFailureRateFactor = 3
	// quarantineThreshold is the score at which a target is quarantined. Five
	// failures of work that succeeds on other targets reach it. If 2% of all tasks
	// fail by chance, a good target reaches it once in 3e8 tasks.
	quarantineThreshold = 12
	// releaseThreshold is the score below which a quarantined target is released
	// once failures have been attributed to the work. One failure in five is
	// attributed to chance.
	releaseThreshold = quarantineThreshold / 2
	// maxScore is the upper bound of the score of a target in service. It limits
	// how long old evidence counts while the limit on targets out of service is
	// reached. The lower bound is 0, so that a target with a long record of
	// successes is detected as fast as a new one.
	maxScore = 3 * quarantineThreshold
	// maxFailedRequests is the maximum number of failed requests kept in memory.
	maxFailedRequests = 4096
)

// targetHealth is the detection state of one target.
type targetHealth struct {
	id    descriptor.TargetID
	state placer.TargetState
	// score is the cumulative sum (CUSUM, Page 1954) of the log-likelihood ratios
	// of the results under two hypotheses: the target fails everything, or it
	// fails at the same rate as its peers.
	score float64
	// probeAt is the time at which the next probes start. While the target is
	// probing, it is the time at which probes without a result are replaced.
	probeAt time.Time
	// probeInterval is the time from quarantining the target to its probes.
	probeInterval time.Duration
	releasedAt    time.Time
	// firstFailureStart is the start time of the task whose failure first raised
	// the score above 0.
	firstFailureStart time.Time
	successfulProbes  int // since probing began
}

// failedRequest records the first failure of a request.
type failedRequest struct {
	target        descriptor.TargetID
	scoreIncrease float64 // added to the score of target by the failure
	// resolved is set once the request has succeeded or failed on another target.
	resolved bool
}

// Detector quarantines targets that fail work which succeeds on their peers.
//
// Each result changes the score of its target by a log-likelihood ratio. The
// failure rate expected of a good target is estimated from the results of the
// same kind and the same caller on other targets. Work that fails everywhere
// therefore leaves the score unchanged, and a kind without results on other
// targets changes it little. If a request fails on a second target, the score
// increase from its first failure is reverted.
type Detector struct {
	cfg Config

	mu      sync.Mutex
	targets map[descriptor.TargetID]*targetHealth
	// outOfService contains the targets that are quarantined or probing.
	outOfService []*targetHealth
	// suspects contains the targets in service whose score has reached
	// quarantineThreshold.
	suspects            map[descriptor.TargetID]*targetHealth
	kindRates           rateTable[descriptor.KindName]
	callerRates         rateTable[descriptor.CallerID]
	overallRates        failureRates // over all kinds and callers
	failedRequests      map[descriptor.Key]*failedRequest
	failedRequestRing   []descriptor.Key // keys of failedRequests, as a ring buffer
	oldestFailedRequest int
	pendingChanges      map[descriptor.TargetID]StateChange
}

var _ Policy = (*Detector)(nil)

// New returns a Detector without targets.
func New(cfg Config) *Detector {
	return &Detector{
		cfg:            cfg.withDefaults(),
		targets:        make(map[descriptor.TargetID]*targetHealth),
		suspects:       make(map[descriptor.TargetID]*targetHealth),
		kindRates:      make(rateTable[descriptor.KindName]),
		callerRates:    make(rateTable[descriptor.CallerID]),
		failedRequests: make(map[descriptor.Key]*failedRequest),
		pendingChanges: make(map[descriptor.TargetID]StateChange),
	}
}

// AddTarget implements Policy.
func (d *Detector) AddTarget(id descriptor.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targets[id] == nil {
		d.targets[id] = &targetHealth{id: id, state: placer.Placeable}
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
	delete(d.pendingChanges, id)
	d.outOfService = slices.DeleteFunc(d.outOfService, func(o *targetHealth) bool { return o == h })
}

// MaxOutOfService returns the maximum number of targets that may be quarantined
// or probing at the same time.
func (d *Detector) MaxOutOfService() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maxOutOfService()
}

func (d *Detector) maxOutOfService() int {
	return max(1, int(math.Ceil(d.cfg.MaxOutOfServiceFraction*float64(len(d.targets)))))
}

// Observe implements Policy.
func (d *Detector) Observe(target descriptor.TargetID, key descriptor.Key, kind descriptor.KindName, succeeded bool, ran time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kinds, callers := d.kindRates.getOrCreate(kind, now), d.callerRates.getOrCreate(key.Caller, now)
	unseenPrior := min(badTargetFailureRate, max(minUnseenFailureRate, unseenFailureRateFactor*d.overallRates.meanExcluding(target, badTargetFailureRate, now)))
	expectedRate := max(minFailureRate, kinds.meanExcluding(target, unseenPrior, now), callers.meanExcluding(target, minFailureRate, now))
	expectedRate = min(expectedRate, badTargetFailureRate)
	failed := 1.0
	if succeeded {
		failed = 0
	}
	kinds.observe(target, failed, now)
	callers.observe(target, failed, now)
	d.overallRates.observe(target, failed, now)
	h := d.targets[target]
	if succeeded {
		d.confirmFailure(key, target)
		d.recordSuccess(h, expectedRate, now.Add(-ran), now)
		return
	}
	if d.recordRepeatedFailure(key, target, now) {
		return
	}
	increase := math.Log(badTargetFailureRate / expectedRate)
	d.addFailedRequest(key, target, increase)
	d.recordFailure(h, increase, now.Add(-ran), now)
}

// recordSuccess updates the target after a successful task; h may be nil. For a
// target in service, a task that started before the first failed task of the
// score is ignored, because it says nothing about the target since then.
func (d *Detector) recordSuccess(h *targetHealth, expectedRate float64, startedAt, now time.Time) {
	if h == nil {
		return
	}
	switch h.state {
	case placer.Placeable:
		if h.score > 0 && startedAt.Before(h.firstFailureStart) {
			return
		}
		d.adjustScore(h, math.Log((1-badTargetFailureRate)/(1-expectedRate)))
	case placer.Probing:
		if h.successfulProbes++; h.successfulProbes >= placer.ProbeTasks {
			d.release(h, reasonRecovered, now)
		}
	}
}

// recordFailure updates the target after a failed task; h may be nil. While the
// target is probing, a failure of work that mostly fails on other targets does
// not count as a failed probe.
func (d *Detector) recordFailure(h *targetHealth, increase float64, startedAt, now time.Time) {
	if h == nil {
		return
	}
	if h.score == 0 {
		h.firstFailureStart = startedAt
	}
	switch h.state {
	case placer.Placeable:
		d.adjustScore(h, increase)
	case placer.Quarantined:
		// The increase may be reverted later, as with failures before the quarantine.
		h.score += increase
	case placer.Probing:
		h.score += increase
		if increase > math.Log(badTargetFailureRate/0.5) {
			h.probeInterval = min(2*h.probeInterval, d.cfg.MaxProbeInterval)
			d.quarantineTarget(h, reasonProbeFailed, now)
		}
	}
}

// adjustScore changes the score of a target in service and adds the target to
// the suspects or removes it from them.
func (d *Detector) adjustScore(h *targetHealth, delta float64) {
	h.score = min(max(h.score+delta, 0), maxScore)
	if h.score >= quarantineThreshold {
		d.suspects[h.id] = h
		return
	}
	delete(d.suspects, h.id)
}

// addFailedRequest records the first failure of a request. If
// maxFailedRequests are recorded, it replaces the oldest.
func (d *Detector) addFailedRequest(key descriptor.Key, target descriptor.TargetID, increase float64) {
	if len(d.failedRequestRing) < maxFailedRequests {
		d.failedRequestRing = append(d.failedRequestRing, key)
	} else {
		delete(d.failedRequests, d.failedRequestRing[d.oldestFailedRequest])
		d.failedRequestRing[d.oldestFailedRequest] = key
		d.oldestFailedRequest = (d.oldestFailedRequest + 1) % maxFailedRequests
	}
	d.failedRequests[key] = &failedRequest{target: target, scoreIncrease: increase}
}

// recordRepeatedFailure reports whether the request has failed before. Only the
// first failure of a request raises a score, so that a single request cannot get
// a target quarantined. A failure on a second target reverts the increase from
// the first one.
func (d *Detector) recordRepeatedFailure(key descriptor.Key, target descriptor.TargetID, now time.Time) bool {
	f := d.failedRequests[key]
	if f == nil {
		return false
	}
	if !f.resolved && f.target != target {
		f.resolved = true
		d.revertScoreIncrease(f, now)
	}
	return true
}

// revertScoreIncrease reverts the score increase from a failed request. A target
// out of service is released if this takes its score below releaseThreshold and
// its probe interval is still the initial one.
func (d *Detector) revertScoreIncrease(f *failedRequest, now time.Time) {
	h := d.targets[f.target]
	if h == nil {
		return
	}
	if h.state == placer.Placeable {
		d.adjustScore(h, -f.scoreIncrease)
		return
	}
	if h.score -= f.scoreIncrease; h.score < releaseThreshold && h.probeInterval == d.cfg.InitialProbeInterval {
		d.release(h, reasonWorkFault, now)
	}
}

// confirmFailure handles the success of a request that failed on another target
// before. It raises the score of that target to count the failure in full,
// whatever the failure rate of its kind.
func (d *Detector) confirmFailure(key descriptor.Key, target descriptor.TargetID) {
	f := d.failedRequests[key]
	if f == nil || f.resolved || f.target == target {
		return
	}
	if h := d.targets[f.target]; h != nil && h.state == placer.Placeable {
		d.adjustScore(h, max(0, math.Log(badTargetFailureRate/minFailureRate)-f.scoreIncrease))
	}
	f.resolved = true
}

// quarantineTarget quarantines a target and schedules its next probes.
func (d *Detector) quarantineTarget(h *targetHealth, reason string, now time.Time) {
	if h.state == placer.Placeable {
		d.outOfService = append(d.outOfService, h)
		delete(d.suspects, h.id)
	}
	h.state, h.successfulProbes = placer.Quarantined, 0
	h.probeAt = now.Add(h.probeInterval)
	d.pendingChanges[h.id] = StateChange{h.id, placer.Quarantined, reason, h.score}
	d.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("quarantined").Inc(1)
}

// release returns a target to service.
func (d *Detector) release(h *targetHealth, reason string, now time.Time) {
	d.pendingChanges[h.id] = StateChange{h.id, placer.Placeable, reason, h.score}
	h.state, h.score, h.releasedAt = placer.Placeable, 0, now
	d.outOfService = slices.DeleteFunc(d.outOfService, func(o *targetHealth) bool { return o == h })
	d.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("released").Inc(1)
}

// Changes implements Policy.
func (d *Detector) Changes(now time.Time) []StateChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startDueProbes(now)
	d.enforceLimit(now)
	d.quarantineSuspects(now)
	if len(d.pendingChanges) == 0 {
		return nil
	}
	changes := make([]StateChange, 0, len(d.pendingChanges))
	for _, c := range d.pendingChanges {
		changes = append(changes, c)
	}
	clear(d.pendingChanges)
	slices.SortFunc(changes, func(a, b StateChange) int { return cmp.Compare(a.Target, b.Target) })
	return changes
}

// startDueProbes starts the probes that are due. If probes return no result
// within another probe interval, for example because they were cancelled, the
// target is quarantined until the next call, which starts new probes.
func (d *Detector) startDueProbes(now time.Time) {
	for _, h := range d.outOfService {
		if now.Before(h.probeAt) {
			continue
		}
		if h.state == placer.Probing {
			d.quarantineTarget(h, reasonProbesLost, now)
			h.probeAt = now
			continue
		}
		h.state, h.successfulProbes = placer.Probing, 0
		h.probeAt = now.Add(h.probeInterval)
		d.pendingChanges[h.id] = StateChange{h.id, placer.Probing, reasonProbe, h.score}
	}
}

// enforceLimit releases the targets with the lowest scores while more targets are
// out of service than allowed, which happens when targets are removed.
func (d *Detector) enforceLimit(now time.Time) {
	for len(d.outOfService) > d.maxOutOfService() {
		d.release(slices.MinFunc(d.outOfService, compareSuspicion), reasonLimit, now)
	}
}

// quarantineSuspects quarantines suspects in descending order of score until the
// limit on targets out of service is reached.
func (d *Detector) quarantineSuspects(now time.Time) {
	if len(d.suspects) == 0 {
		return
	}
	suspects := make([]*targetHealth, 0, len(d.suspects))
	for _, h := range d.suspects {
		suspects = append(suspects, h)
	}
	slices.SortFunc(suspects, func(a, b *targetHealth) int { return compareSuspicion(b, a) })
	for _, h := range suspects {
		if len(d.outOfService) >= d.maxOutOfService() {
			return
		}
		h.probeInterval = d.firstProbeInterval(h, now)
		d.quarantineTarget(h, reasonFailures, now)
	}
}

// relapseIntervals is the number of probe intervals after a release during which
// a new quarantine doubles the probe interval instead of resetting it, so that a
// target that fails again is probed less often.
const relapseIntervals = 10

// firstProbeInterval returns the time from quarantining a suspect to its first
// probe.
func (d *Detector) firstProbeInterval(h *targetHealth, now time.Time) time.Duration {
	if now.Sub(h.releasedAt) < relapseIntervals*h.probeInterval {
		return min(2*h.probeInterval, d.cfg.MaxProbeInterval)
	}
	return d.cfg.InitialProbeInterval
}

// compareSuspicion orders targets by ascending score, then by descending ID.
func compareSuspicion(a, b *targetHealth) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(b.id, a.id))
}
