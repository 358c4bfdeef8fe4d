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
		Doc:  "targets that fail all their work at once, and work that fails on all targets",
		Run:  runBadTarget,
	})
}

const (
	badLoad = 0.9
	badRun  = 300 * time.Millisecond
	// badFail is how soon a bad target fails a task.
	badFail = 5 * time.Millisecond
	badFrom = 10 * time.Second
	badTo   = 40 * time.Second
	badEnd  = 90 * time.Second
	// badGrace is the time to detection that the bound allows.
	badGrace = 3 * time.Second
)

// badCase says which attempts fail between badFrom and badTo.
type badCase struct {
	name  string
	fails func(j *Job, target descriptor.TargetID) bool
}

var badCases = []badCase{
	// Two targets fail everything.
	{"", func(_ *Job, target descriptor.TargetID) bool { return target == "t00003" || target == "t00031" }},
	// Ten targets do, more than may be quarantined.
	{"Ten", func(_ *Job, target descriptor.TargetID) bool { return target < "t00010" }},
	{"Everything", func(*Job, descriptor.TargetID) bool { return true }},
	{"Kind", func(j *Job, _ descriptor.TargetID) bool { return j.Request.Kind == "settlement" }},
	{"Caller", func(j *Job, _ descriptor.TargetID) bool { return j.Request.Caller < "stylist-0005" }},
}

// schedulerDetector gives the changes of a detector to the scheduler and keeps
// count of the targets that are out of service.
type schedulerDetector struct {
	detector.Policy
	away, most int
	states     map[descriptor.TargetID]placer.TargetState
	// lastBack is when the last target returned to service.
	lastBack time.Time
}

// Changes implements scheduler.Detector.
func (d *schedulerDetector) Changes(now time.Time) []scheduler.TargetChange {
	var out []scheduler.TargetChange
	for _, c := range d.Policy.Changes(now) {
		out = append(out, scheduler.TargetChange{Target: c.Target, State: c.State})
		was, is := d.states[c.Target] != placer.Placeable, c.State != placer.Placeable
		d.states[c.Target] = c.State
		switch {
		case is && !was:
			d.away++
		case was && !is:
			d.away--
			d.lastBack = now
		}
	}
	d.most = max(d.most, d.away)
	return out
}

func badWork(env Env) []*Job {
	const slots = smallCell * 8
	flow := func(kind descriptor.KindName, part float64) Flow {
		rate := part * badLoad * slots / badRun.Seconds()
		return Flow{
			Kind: kind, Priority: descriptor.Normal, Team: OneTeam("salons"), Caller: SomeCaller("stylist", 100),
			Run: Around(badRun), Deadline: 3700 * time.Millisecond, Rate: Constant(rate), MaxRate: rate,
		}
	}
	return Generate(env.Rand(1), 0, badEnd, flow("routeBuild", 0.9), flow("settlement", 0.1))
}

// badResult holds the figures of one run.
type badResult struct {
	share float64 // of the starts after the grace that fail for the target
	most  float64 // targets out of service at once
	back  float64 // seconds from the repair until all targets are in service
	lost  float64 // fraction of the requests that were not completed in time
}

func (b badCase) run(env Env, policy detector.Policy, work []*Job) badResult {
	jobs := Clone(work)
	d := &schedulerDetector{Policy: policy, states: make(map[descriptor.TargetID]placer.TargetState)}
	c := NewCell(scheduler.Config{Detector: d}, &descriptor.Rules{}, smallCell, Slots8, env.Rand(2))
	for i := range smallCell {
		policy.AddTarget(descriptor.TargetID(fmt.Sprintf("t%05d", i)))
	}
	var starts, failed float64
	c.Fate = func(j *Job, p scheduler.Placement) (time.Duration, bool) {
		at := c.Elapsed()
		bad := at >= badFrom && at < badTo && b.fails(j, p.Tasks[0].Target)
		if at >= badFrom+badGrace && at < badTo {
			starts++
			if bad {
				failed++
			}
		}
		if bad {
			return badFail, false
		}
		return j.rest, true
	}
	c.Add(jobs)
	c.Run(badEnd)
	res := badResult{share: failed / starts, most: float64(d.most)}
	switch repaired := c.Clock.Now().Add(badTo - badEnd); {
	case d.away > 0:
		res.back = math.NaN()
	case d.lastBack.After(repaired):
		res.back = d.lastBack.Sub(repaired).Seconds()
	}
	for _, j := range jobs {
		if !j.InTime() {
			res.lost += 1 / float64(len(jobs))
		}
	}
	return res
}

func runBadTarget(env Env) ([]Metric, error) {
	work := badWork(env)
	var metrics []Metric
	for _, b := range badCases {
		d := detector.New(detector.Config{})
		ours := b.run(env, d, work)
		plain := b.run(env, detector.None{}, work)
		share := Metric{Name: "badStarts" + b.name, Unit: "fraction", Value: ours.share, Baseline: plain.share}
		most := Metric{Name: "mostQuarantined" + b.name, Unit: "targets", Value: ours.most, Baseline: plain.most, Bound: AtMost(float64(d.Limit()))}
		switch b.name {
		case "":
			share.Bound = AtMost(0.005)
		case "Kind", "Caller":
			most.Bound = AtMost(0) // the targets are good
		}
		metrics = append(
			metrics, share, most,
			Metric{Name: "lostRequests" + b.name, Unit: "fraction", Value: ours.lost, Baseline: plain.lost},
			Metric{Name: "allBackAfterRepair" + b.name, Unit: "s", Value: ours.back, Baseline: None()},
		)
	}
	return metrics, nil
}
