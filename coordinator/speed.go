package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/masticlead/masticlead/estimator"
)

const (
	// speedUpdatePeriod is the time between two updates of the relative speeds.
	speedUpdatePeriod = 200 * time.Millisecond
	// minSpeedRuns is the number of runs from which on the learned speed of a target is
	// used.
	minSpeedRuns = 8
	// slowSpeed is the speed relative to the median of the service below which a target
	// counts as slow.
	slowSpeed = 0.8
	// slowShare is the share of a service's usable targets that must be slow for its
	// speeds to count as different.
	slowShare = 0.1
	// minMeasuredTargets is the number of targets with minSpeedRuns runs that a median
	// needs. With fewer, one noisy estimate decides.
	minMeasuredTargets = 3
	// minRatioRuns is the number of runs of a queue from which on its speed ratio is used
	// to measure speeds. Before, targets that were measured early would seem faster or
	// slower than those measured later.
	minRatioRuns = 10
	// minGangPercent is the progress from which on a member of a gang that has ended
	// counts as a run of its target.
	minGangPercent = 50
	// toleratedLoss is the share of the slack of a task up to which it may lose time on
	// a slow target. The other half is left for faults and for waiting.
	toleratedLoss = 0.5
	// lossPenalty is the score penalty of a target on which a task loses time equal to
	// its slack, and maxLossPenalty the highest one. It exceeds the difference between
	// the scores of an empty and a full target, and is below the penalties for targets
	// that failed the task or are nominated for another step.
	lossPenalty    = 1.5
	maxLossPenalty = 3
	// maxSpeedBonus limits the score bonus of a target that is faster than the median, so
	// that packing tasks onto full targets still counts more.
	maxSpeedBonus = 0.5
	// similarSpeed is the ratio of speeds above which a gang treats targets as alike.
	similarSpeed = 0.9
)

// relative returns the speed of a target relative to the median of its service, or 1
// while the speeds of the service do not differ.
func (t *target) relative() float64 {
	if t.relativeSpeed == 0 {
		return 1
	}
	return t.relativeSpeed
}

// slow reports whether a target is slow relative to its service.
func (t *target) slow() bool { return t.relative() < slowSpeed }

// speedRank returns 1 for slow targets and 0 for others, to sort slow ones last.
func (t *target) speedRank() int {
	if t.slow() {
		return 1
	}
	return 0
}

// serviceSpeeds holds the learned speeds of the targets of a service.
type serviceSpeeds struct {
	targets []*target
	usable  int
	speeds  []float64 // sorted speeds of the usable targets with minSpeedRuns runs
	slow    int       // number of speeds below slowSpeed times the median
	uneven  bool      // the speeds differ, so placement takes them into account
}

// median returns the upper median of the measured speeds.
func (v *serviceSpeeds) median() float64 { return v.speeds[len(v.speeds)/2] }

// spread returns the ratio of the fastest of the slowest tenth of the measured targets to
// the median, or 1 without enough measured targets.
func (v *serviceSpeeds) spread() float64 {
	if len(v.speeds) < minMeasuredTargets {
		return 1
	}
	return v.speeds[slowCount(len(v.speeds))-1] / v.median()
}

// slowCount returns the number of targets that are slowShare of n.
func slowCount(n int) int { return max(1, int(math.Ceil(slowShare*float64(n)))) }

// differ reports whether at least slowShare of the usable targets are slow.
func (v *serviceSpeeds) differ() bool {
	v.slow = 0
	if len(v.speeds) < minMeasuredTargets {
		return false
	}
	for _, s := range v.speeds {
		if s < slowSpeed*v.median() {
			v.slow++
		}
	}
	return v.slow >= slowCount(v.usable)
}

// updateSpeeds recomputes the relative speeds of all targets.
func (c *Coordinator) updateSpeeds() {
	if c.now.Before(c.speedsDue) {
		return
	}
	c.speedsDue = c.now.Add(speedUpdatePeriod)
	for _, v := range c.speeds {
		v.targets, v.usable, v.speeds = v.targets[:0], 0, v.speeds[:0]
	}
	for _, t := range c.sortedTargets {
		v := c.speeds[t.Service]
		if v == nil {
			v = new(serviceSpeeds)
			c.speeds[t.Service] = v
		}
		v.targets = append(v.targets, t)
		t.currentSpeed = c.speedWithRunning(t)
		if !t.usableInRound {
			continue
		}
		v.usable++
		if t.speed.Runs() >= minSpeedRuns {
			v.speeds = append(v.speeds, t.currentSpeed)
		}
	}
	for name, v := range c.speeds {
		slices.Sort(v.speeds)
		c.applySpeeds(name, v)
	}
}

// applySpeeds sets the relative speeds of a service's targets.
func (c *Coordinator) applySpeeds(service string, v *serviceSpeeds) {
	uneven := v.differ()
	if uneven != v.uneven {
		v.uneven = uneven
		c.Log.Info("target speeds changed", "service", service, "differ", uneven, "targets", v.usable,
			"measured", len(v.speeds), "slow", v.slow, "spread", v.spread())
	}
	for _, t := range v.targets {
		t.relativeSpeed = 1
		if uneven && t.speed.Runs() >= minSpeedRuns {
			t.relativeSpeed = t.currentSpeed / v.median()
		}
	}
}

// uneven reports whether the speeds of a service's targets differ.
func (c *Coordinator) uneven(service string) bool {
	v := c.speeds[service]
	return v != nil && v.uneven
}

// typicalRunTime returns the expected run time of a task on a target of median speed, or
// 0 if it is not known.
func (c *Coordinator) typicalRunTime(s *step) time.Duration {
	if s.Estimate <= 0 || s.Lasting || s.Fills {
		return 0
	}
	return time.Duration(c.runTimeRatio(s.job.Queue) * float64(s.Estimate))
}

// speedRatio is the geometric moving average of the ratio of actual to estimated run times
// on a target of median speed, by which speeds are measured. It differs from the run time
// ratio for gangs: their runs last as long as the slowest member, but each member is a
// sample of the speed of its own target.
type speedRatio struct {
	logMean float64
	runs    int
}

// ratioKey identifies the runs that a speedRatio covers.
type ratioKey struct {
	queue string
	gang  bool
}

// measurableRunTime returns the run time of a task on a target of median speed, or 0 if it
// is not known well enough to measure speeds by it.
func (c *Coordinator) measurableRunTime(s *step) time.Duration {
	r := c.speedRatios[ratioKey{s.job.Queue, s.Gang}]
	if r == nil || r.runs < minRatioRuns || c.typicalRunTime(s) == 0 {
		return 0
	}
	return time.Duration(math.Exp(r.logMean) * float64(s.Estimate))
}

// observeSpeed updates the speed of the target of a task, and the speed ratio of its queue,
// with the time in which the target executed a share of the task. The time counts as if the
// target were near the data of the task.
func (c *Coordinator) observeSpeed(s *step, t *target, share float64, elapsed time.Duration) {
	if c.typicalRunTime(s) == 0 || elapsed <= 0 {
		return
	}
	elapsed = time.Duration(float64(elapsed) / c.distanceFactor(s, t))
	t.speed.Observe(time.Duration(share*float64(c.measurableRunTime(s))), elapsed)
	key := ratioKey{s.job.Queue, s.Gang}
	r := c.speedRatios[key]
	if r == nil {
		r = new(speedRatio)
		c.speedRatios[key] = r
	}
	r.runs++
	sample := elapsed.Seconds() * t.relative() / (share * s.Estimate.Seconds())
	sample = min(maxRunTimeRatio, max(minRunTimeRatio, sample))
	r.logMean += max(runTimeRatioWeight, 1/float64(r.runs)) * (math.Log(sample) - r.logMean)
}

// speedWithRunning returns the speed of a target, including the runs in progress that
// are slower than it suggests.
func (c *Coordinator) speedWithRunning(t *target) float64 {
	known := t.speed.Value()
	v := t.speed
	for _, sl := range t.slots {
		if sl.step == nil || sl.stopping {
			continue
		}
		tk := &sl.step.tasks[sl.index]
		if tk.phase != running || tk.run != sl.run || !tk.fullRun || tk.percent >= gangWaitPercent {
			continue
		}
		expected, elapsed, share := c.progressOf(sl.step, tk)
		if float64(expected) < known*float64(elapsed) {
			v = v.WithPartial(expected, elapsed, share)
		}
	}
	return v.Value()
}

// progressOf returns the expected and the actual run time of the part of a run that is
// done, and the share of a run that it counts as. Without reported progress, a run that
// takes longer than expected counts as about to end.
func (c *Coordinator) progressOf(s *step, tk *task) (expected, elapsed time.Duration, share float64) {
	expected = time.Duration(float64(c.measurableRunTime(s)) * c.distanceFactor(s, tk.target))
	if expected == 0 {
		return 0, 0, 0
	}
	if tk.percent >= minProgressPercent && tk.progressedAt.After(tk.phaseSince) {
		elapsed = tk.progressedAt.Sub(tk.phaseSince)
		return expected * time.Duration(tk.percent) / 100, elapsed, float64(elapsed) / float64(expected)
	}
	elapsed = c.now.Sub(tk.phaseSince)
	if elapsed <= expected {
		return 0, 0, 0
	}
	return expected, elapsed, 1
}

// recordRun updates the speed of the target and the run time ratio of the queue with a
// run that executed its task from start to end. The ratio is that of a near target of
// median speed: otherwise a queue whose work runs on slow targets would learn that its work is
// long, and its targets would seem fast.
func (c *Coordinator) recordRun(s *step, i int) {
	tk := &s.tasks[i]
	duration := c.now.Sub(tk.phaseSince)
	slowdown := c.slowdown(s, tk.target)
	if s.Gang {
		slowdown = c.recordGangMembers(s)
	} else {
		c.observeSpeed(s, tk.target, 1, duration)
	}
	c.recordRunTime(s, time.Duration(float64(duration)/slowdown))
}

// recordGangMembers updates the speeds of the targets of a gang that ends, and returns
// the slowdown of the slowest. A member that is done waits for the others, so the
// progress of each member shows the speed of its target, and its end does not.
func (c *Coordinator) recordGangMembers(s *step) float64 {
	slowest := 0.0
	for i := range s.tasks {
		tk := &s.tasks[i]
		if tk.phase != running || tk.target == nil {
			continue
		}
		slowest = max(slowest, c.slowdown(s, tk.target))
		if !tk.fullRun || tk.percent < minGangPercent || !tk.progressedAt.After(tk.phaseSince) {
			continue
		}
		c.observeSpeed(s, tk.target, float64(tk.percent)/100, tk.progressedAt.Sub(tk.phaseSince))
	}
	return cmp.Or(slowest, 1)
}

// speedPreference is the preference of a task for targets by speed.
type speedPreference struct {
	run       float64 // typical run time in seconds, or 0 without a preference
	slack     float64 // seconds that the task may lose, or +Inf
	tolerates bool    // a loss of up to toleratedLoss of the slack does not matter
}

// speedPreference returns the preference of the waiting tasks of a step.
func (c *Coordinator) speedPreference(s *step) speedPreference {
	if !c.uneven(c.serviceOf(s.job)) {
		return speedPreference{}
	}
	return speedPreference{
		run: c.typicalRunTime(s).Seconds(), slack: c.slack(s),
		tolerates: c.priority(s.job) > c.mostUrgentPriority,
	}
}

// slack returns the time in seconds by which a step may start later and its job still
// meets its goal or, if it is late, still completes in time to be of use. It is infinite
// for jobs that are too late. Without a goal, it is the run time of a task, so that fast
// targets are preferred.
func (c *Coordinator) slack(s *step) float64 {
	goal, end, ok := c.goalAndEnd(s)
	if !ok {
		return c.typicalRunTime(s).Seconds()
	}
	switch {
	case end <= goal:
		return (goal - end).Seconds()
	case end <= lateFactor*goal:
		return (lateFactor*goal - end).Seconds()
	}
	return math.Inf(1)
}

// score returns the score penalty of a target, which grows with the time that the task
// loses there compared with a target of median speed, relative to its slack. Tasks below
// the highest priority with enough slack have no preference, so that they fill slow
// targets and leave fast ones to others.
func (p speedPreference) score(t *target) float64 {
	if p.run == 0 {
		return 0
	}
	loss := p.run * (1/t.relative() - 1) / max(p.slack, p.run/100)
	if p.tolerates && loss <= toleratedLoss {
		return 0
	}
	return min(maxLossPenalty, max(-maxSpeedBonus, lossPenalty*loss))
}

// slowdownWork returns the work, in core-seconds, that a task of the step loses on a
// target compared with a near one of median speed.
func (c *Coordinator) slowdownWork(s *step, t *target) float64 {
	return c.typicalRunTime(s).Seconds() * (c.slowdown(s, t) - 1) * float64(s.Demand().CPU) / 1000
}

// gangBottleneck returns the highest speed such that the targets that have at least this
// speed fit n tasks, or 0 if there are too few.
func gangBottleneck(list []gangShare, n int) float64 {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b gangShare) int {
		switch {
		case a.target.relative() > b.target.relative():
			return -1
		case a.target.relative() < b.target.relative():
			return 1
		}
		return 0
	})
	for _, sh := range sorted {
		if n -= sh.tasks; n <= 0 {
			return sh.target.relative()
		}
	}
	return 0
}

// selectBySpeed returns the shares of a gang of n tasks on targets of similar, high
// speed. Since a gang is as slow as its slowest member, targets that are much slower than
// the unavoidable slowest one are left out, and much faster ones are used only as far as
// the others do not suffice.
func selectBySpeed(list []gangShare, n int) []gangShare {
	bottleneck := gangBottleneck(list, n)
	if bottleneck == 0 {
		return list
	}
	var selected, faster []gangShare
	for _, sh := range list {
		switch speed := sh.target.relative(); {
		case speed < similarSpeed*bottleneck:
		case speed*similarSpeed > bottleneck:
			faster = append(faster, sh)
		default:
			selected = append(selected, sh)
		}
	}
	missing := n - sumTasks(selected)
	for _, sh := range faster {
		if missing <= 0 {
			break
		}
		selected = append(selected, sh)
		missing -= sh.tasks
	}
	return selected
}

func sumTasks(list []gangShare) int {
	sum := 0
	for _, sh := range list {
		sum += sh.tasks
	}
	return sum
}

// fastestRack returns the shares on the rack that fits n tasks on the fastest targets, or
// nil if no rack does. Of racks that are equally fast, it returns the one that fits the
// most tasks, and of those the first in the list.
func fastestRack(list []gangShare, n int) []gangShare {
	racks := make(map[string][]gangShare)
	var names []string
	for _, sh := range list {
		r := sh.target.rack()
		if racks[r] == nil {
			names = append(names, r)
		}
		racks[r] = append(racks[r], sh)
	}
	var best []gangShare
	bestSpeed := 0.0
	for _, r := range names {
		speed := gangBottleneck(racks[r], n)
		if speed == 0 {
			continue
		}
		alike := speed >= similarSpeed*bestSpeed
		if best == nil || speed*similarSpeed > bestSpeed || (alike && sumTasks(racks[r]) > sumTasks(best)) {
			best, bestSpeed = racks[r], speed
		}
	}
	return best
}

// gangTargets returns the targets that a plan for a gang should use.
func (c *Coordinator) gangTargets(s *step, list []gangShare) []gangShare {
	uneven := c.uneven(c.serviceOf(s.job))
	list = c.nearShares(s, list)
	if s.OneRack {
		rack := largestRack(list, s.Count)
		if uneven {
			rack = fastestRack(list, s.Count)
		}
		if rack != nil && !(uneven && c.fasterSpread(list, rack, s.Count)) {
			list = rack
		}
	}
	if uneven {
		return selectBySpeed(list, s.Count)
	}
	return list
}

// fasterSpread reports whether a gang of n tasks runs faster spread over racks than on the
// given rack, since the targets of the rack are slow.
func (c *Coordinator) fasterSpread(list, rack []gangShare, n int) bool {
	return c.RemoteFactor > 1 && gangBottleneck(list, n)/c.RemoteFactor > gangBottleneck(rack, n)
}

// reportSpeeds updates the gauges of the learned speeds: the lowest spread of a service,
// and the number of slow targets of services whose speeds differ.
func (c *Coordinator) reportSpeeds() {
	spread, slow := 1.0, 0
	for _, v := range c.speeds {
		spread = min(spread, v.spread())
		if v.uneven {
			slow += v.slow
		}
	}
	c.Meter.SetGauge("speedSpread", spread)
	c.Meter.SetGauge("targetsSlow", float64(slow))
}

// runsOnSlowTargets returns the number of tasks of a step that run on slow targets.
func (s *step) runsOnSlowTargets() int {
	n := 0
	for i := range s.tasks {
		if tk := &s.tasks[i]; tk.phase == running && tk.target != nil && tk.target.slow() {
			n++
		}
	}
	return n
}

// speedState is the part of a target's state that concerns its speed.
type speedState struct {
	speed         estimator.Speed
	currentSpeed  float64 // speed including the runs in progress, as of the last update
	relativeSpeed float64 // see relative; 0 before the first update
}

// slowAfterFast moves slow targets behind the others, for steps that avoid them.
func (c *Coordinator) slowAfterFast(s *step, list []*target) {
	if p := c.speedPreference(s); p.run > 0 && !p.tolerates {
		slices.SortStableFunc(list, func(a, b *target) int { return a.speedRank() - b.speedRank() })
	}
}
