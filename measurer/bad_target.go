package measurer

import (
	"fmt"
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/detector"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name: "badTarget",
		Doc:  "targets that fail every task immediately, and tasks that fail on every target",
		Run:  runBadTarget,
	})
}

const (
	faultLoad    = 0.9
	faultRunTime = 300 * time.Millisecond
	// faultDelay is the time after which a bad target fails a task.
	faultDelay  = 5 * time.Millisecond
	faultStart  = 10 * time.Second
	faultEnd    = 40 * time.Second
	faultRunEnd = 90 * time.Second
	// detectionGrace is the detection time that the bound on failed starts allows.
	detectionGrace = 3 * time.Second
)

// faultCase selects the attempts that fail between faultStart and faultEnd.
type faultCase struct {
	name  string
	fails func(j *Job, target descriptor.TargetID) bool
}

var faultCases = []faultCase{
	// Two targets fail every task.
	{"", func(_ *Job, target descriptor.TargetID) bool { return target == "t00003" || target == "t00031" }},
	// Ten targets fail every task, which is more than the quarantine limit.
	{"Ten", func(_ *Job, target descriptor.TargetID) bool { return target < "t00010" }},
	{"Everything", func(*Job, descriptor.TargetID) bool { return true }},
	{"Kind", func(j *Job, _ descriptor.TargetID) bool { return j.Request.Kind == "settlement" }},
	{"Caller", func(j *Job, _ descriptor.TargetID) bool { return j.Request.Caller < "stylist-0005" }},
}

// detectorAdapter passes the state changes of a detector to the scheduler and
// counts the targets that are out of service.
type detectorAdapter struct {
	detector.Policy
	unavailable, maxUnavailable int
	states                      map[descriptor.TargetID]placer.TargetState
	// lastRecovery is when a target last returned to service.
	lastRecovery time.Time
}

// Changes implements scheduler.Detector.
func (d *detectorAdapter) Changes(now time.Time) []scheduler.TargetChange {
	var out []scheduler.TargetChange
	for _, c := range d.Policy.Changes(now) {
		out = append(out, scheduler.TargetChange{Target: c.Target, State: c.State})
		wasUnavailable, isUnavailable := d.states[c.Target] != placer.Placeable, c.State != placer.Placeable
		d.states[c.Target] = c.State
		switch {
		case isUnavailable && !wasUnavailable:
			d.unavailable++
		case wasUnavailable && !isUnavailable:
			d.unavailable--
			d.lastRecovery = now
		}
	}
	d.maxUnavailable = max(d.maxUnavailable, d.unavailable)
	return out
}

func faultWorkload(env Env) []*Job {
	const slots = smallCellTargets * 8
	flow := func(kind descriptor.KindName, share float64) Flow {
		rate := share * faultLoad * slots / faultRunTime.Seconds()
		return Flow{
			Kind: kind, Priority: descriptor.Normal, Team: FixedTeam("salons"), Caller: RandomCaller("stylist", 100),
			RunTime: UniformAround(faultRunTime), Deadline: 3700 * time.Millisecond, Rate: ConstantRate(rate), MaxRate: rate,
		}
	}
	return Generate(env.Rand(1), 0, faultRunEnd, flow("routeBuild", 0.9), flow("settlement", 0.1))
}

// faultResult holds the figures of one run.
type faultResult struct {
	failedStarts   float64 // fraction of the starts after detectionGrace that fail on a bad target
	maxUnavailable float64 // maximum number of targets out of service at the same time
	recoveryTime   float64 // seconds from faultEnd until all targets are in service; NaN if one is still out of service at the end
	lostRequests   float64 // fraction of requests not completed before their deadline
}

func (fc faultCase) run(env Env, policy detector.Policy, work []*Job) faultResult {
	jobs := Clone(work)
	d := &detectorAdapter{Policy: policy, states: make(map[descriptor.TargetID]placer.TargetState)}
	c := NewCell(scheduler.Config{Detector: d}, &descriptor.Rules{}, smallCellTargets, EightSlots, env.Rand(2))
	for i := range smallCellTargets {
		policy.AddTarget(descriptor.TargetID(fmt.Sprintf("t%05d", i)))
	}
	var starts, failed float64
	c.AttemptOutcome = func(j *Job, p scheduler.Placement) (time.Duration, bool) {
		at := c.Elapsed()
		faulty := at >= faultStart && at < faultEnd && fc.fails(j, p.Tasks[0].Target)
		if at >= faultStart+detectionGrace && at < faultEnd {
			starts++
			if faulty {
				failed++
			}
		}
		if faulty {
			return faultDelay, false
		}
		return j.remaining, true
	}
	c.Add(jobs)
	c.Run(faultRunEnd)
	res := faultResult{failedStarts: failed / starts, maxUnavailable: float64(d.maxUnavailable)}
	switch repaired := c.Clock.Now().Add(faultEnd - faultRunEnd); {
	case d.unavailable > 0:
		res.recoveryTime = math.NaN()
	case d.lastRecovery.After(repaired):
		res.recoveryTime = d.lastRecovery.Sub(repaired).Seconds()
	}
	for _, j := range jobs {
		if !j.InTime() {
			res.lostRequests += 1 / float64(len(jobs))
		}
	}
	return res
}

func runBadTarget(env Env) ([]Metric, error) {
	work := faultWorkload(env)
	var metrics []Metric
	for _, fc := range faultCases {
		d := detector.New(detector.Config{})
		measured := fc.run(env, d, work)
		baseline := fc.run(env, detector.NoopPolicy{}, work)
		failedStarts := Metric{Name: "badStarts" + fc.name, Unit: "fraction", Value: measured.failedStarts, Baseline: baseline.failedStarts}
		quarantined := Metric{Name: "mostQuarantined" + fc.name, Unit: "targets", Value: measured.maxUnavailable, Baseline: baseline.maxUnavailable, Bound: AtMost(float64(d.MaxOutOfService()))}
		switch fc.name {
		case "":
			failedStarts.Bound = AtMost(0.005)
		case "Kind", "Caller":
			quarantined.Bound = AtMost(0) // the targets are healthy
		}
		metrics = append(
			metrics, failedStarts, quarantined,
			Metric{Name: "lostRequests" + fc.name, Unit: "fraction", Value: measured.lostRequests, Baseline: baseline.lostRequests},
			Metric{Name: "allBackAfterRepair" + fc.name, Unit: "s", Value: measured.recoveryTime, Baseline: NoBaseline()},
		)
	}
	return metrics, nil
}
