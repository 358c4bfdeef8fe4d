package measurer

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name: "crest",
		Doc:  "demand rises from 0.2 to 3 times the capacity within a second and falls back after 10 s",
		Run:  demandPeak,
	})
}

// The crest scenario is a demand peak on 50 targets, the size of a whole data centre
// today. Requests of the kind routeBuild are urgent, those of weekPlan normal; both
// have a deadline of 3.7 s. Requests of the kind settlement are checkpointable
// background work.
const (
	peakTargets         = 50
	peakSlots           = peakTargets * 8
	peakRunTime         = 400 * time.Millisecond
	peakStart           = 60 * time.Second
	peakLength          = 10 * time.Second
	peakRamp            = time.Second
	peakEnd             = peakStart + peakLength
	offPeakLoad         = 0.2
	peakLoad            = 3.0
	urgentShare         = 0.6 // fraction of the interactive work
	interactiveDeadline = 3700 * time.Millisecond
	postPeakLength      = 60 * time.Second
)

// offeredLoad returns the offered load at a time as a multiple of the capacity.
func offeredLoad(at time.Duration) float64 {
	rampUp := min(max((at-peakStart).Seconds()/peakRamp.Seconds(), 0), 1)
	rampDown := min(max((at-peakEnd).Seconds()/peakRamp.Seconds(), 0), 1)
	return offPeakLoad + (peakLoad-offPeakLoad)*(rampUp-rampDown)
}

func peakWorkload(env Env) []*Job {
	const background = 0.1
	interactive := func(kind descriptor.KindName, p descriptor.Priority, share float64) Flow {
		scale := share * peakSlots / peakRunTime.Seconds()
		return Flow{
			Kind: kind, Priority: p, Team: FixedTeam("salons"), Caller: RandomCaller("stylist", 500),
			RunTime: UniformAround(peakRunTime), Deadline: interactiveDeadline,
			Rate:    func(at time.Duration) float64 { return scale * (offeredLoad(at) - background) },
			MaxRate: scale * (peakLoad - background),
		}
	}
	settlement := Flow{
		Kind: "settlement", Policy: descriptor.Batch, Priority: descriptor.Bulk, Checkpointable: true,
		Team: FixedTeam("franchisees"), Caller: RandomCaller("franchisee", 50),
		RunTime: UniformAround(15 * time.Second), Deadline: time.Hour,
		Rate: ConstantRate(background * peakSlots / 15), MaxRate: background * peakSlots / 15,
	}
	return Generate(env.Rand(1), 0, peakEnd+postPeakLength,
		interactive("routeBuild", descriptor.Urgent, urgentShare),
		interactive("weekPlan", descriptor.Normal, 1-urgentShare), settlement)
}

// peakResult holds the result of one run.
type peakResult struct {
	jobs      []*Job
	drainTime time.Duration // from the end of the down ramp until the queue is empty; -1 if it never is
}

func runPeak(env Env, cfg scheduler.Config, rules *descriptor.Rules, work []*Job) peakResult {
	res := peakResult{jobs: Clone(work), drainTime: -1}
	c := NewCell(cfg, rules, peakTargets, EightSlots, env.Rand(2))
	c.Add(res.jobs)
	c.Every(10*time.Millisecond, func() bool {
		if res.drainTime < 0 && c.Elapsed() > peakEnd+peakRamp && c.Queued() == 0 {
			res.drainTime = c.Elapsed() - peakEnd - peakRamp
		}
		return true
	})
	c.Run(peakEnd + postPeakLength + 2*time.Minute)
	return res
}

// servedShare returns the fraction of the capacity that was used during the peak
// for requests completed in time.
func (r peakResult) servedShare() float64 {
	return BusySeconds(r.jobs, peakStart+peakRamp, peakEnd, (*Job).InTime) /
		(peakSlots * (peakLength - peakRamp).Seconds())
}

// missedDeadlines counts the admitted requests that missed their deadline.
func (r peakResult) missedDeadlines() float64 {
	n := 0
	for _, j := range r.jobs {
		if j.Late() {
			n++
		}
	}
	return float64(n)
}

func urgentAtPeak(j *Job) bool {
	return j.Request.Priority == descriptor.Urgent && j.Arrival >= peakStart && j.Arrival < peakEnd+peakRamp
}

func normalAtPeak(j *Job) bool {
	return j.Request.Kind == "weekPlan" && j.Arrival >= peakStart && j.Arrival < peakEnd+peakRamp
}

// inTimeShare returns the fraction of the requests for which keep returns true that
// were completed in time.
func (r peakResult) inTimeShare(keep func(*Job) bool) float64 {
	var all, done float64
	for _, j := range r.jobs {
		if keep(j) {
			all++
			if j.InTime() {
				done++
			}
		}
	}
	return done / all
}

// retryPeakToMean returns the largest number of retries of refused requests within
// one second, divided by the mean number per second over the period of all
// retries.
func (r peakResult) retryPeakToMean() float64 {
	counts := map[int]float64{}
	first, last, n := math.MaxInt, 0, 0.0
	for _, j := range r.jobs {
		if j.Refusal == nil || j.Refusal.RetryAfter == 0 {
			continue
		}
		second := int((j.Arrival + j.Refusal.RetryAfter) / time.Second)
		counts[second]++
		first, last = min(first, second), max(last, second)
		n++
	}
	peak := 0.0
	for _, c := range counts {
		peak = max(peak, c)
	}
	return peak / (n / float64(last-first+1))
}

func demandPeak(env Env) ([]Metric, error) {
	work := peakWorkload(env)
	baseline := runPeak(env, scheduler.Baseline(scheduler.Config{}), &descriptor.Rules{}, work)
	measured := runPeak(env, scheduler.Config{}, &descriptor.Rules{}, work)
	weighted := runPeak(env, scheduler.Config{}, &descriptor.Rules{Weights: descriptor.Weights{PeakWait: 3}}, work)
	wait := func(r peakResult) float64 { return Quantile(WaitSeconds(r.jobs, urgentAtPeak), 0.99) }
	drainSeconds := func(r peakResult) float64 {
		if r.drainTime < 0 {
			return math.NaN()
		}
		return r.drainTime.Seconds()
	}
	return []Metric{
		{Name: "served", Value: measured.servedShare(), Unit: "capacity", Baseline: baseline.servedShare(), Bound: AtLeast(0.95)},
		{Name: "missed", Value: measured.missedDeadlines(), Unit: "requests", Baseline: baseline.missedDeadlines(), Bound: AtMost(0)},
		{Name: "urgentWaitP99", Value: wait(measured), Unit: "s", Baseline: wait(baseline), Bound: AtMost(3.7)},
		{Name: "drained", Value: drainSeconds(measured), Unit: "s", Baseline: drainSeconds(baseline), Bound: AtMost(5)},
		{Name: "urgentInTime", Value: measured.inTimeShare(urgentAtPeak), Unit: "fraction", Baseline: baseline.inTimeShare(urgentAtPeak)},
		{Name: "normalInTime", Value: measured.inTimeShare(normalAtPeak), Unit: "fraction", Baseline: baseline.inTimeShare(normalAtPeak)},
		{Name: "retryPeakToMean", Value: measured.retryPeakToMean(), Unit: "ratio", Baseline: NoBaseline()},
		{Name: "urgentWaitP99Crest3", Value: wait(weighted), Unit: "s", Baseline: wait(measured)},
		{Name: "urgentWaitP99Crest3Ratio", Value: wait(weighted) / wait(measured), Unit: "ratio", Baseline: 1, Bound: AtMost(0.9)},
		{Name: "servedCrest3", Value: weighted.servedShare(), Unit: "capacity", Baseline: measured.servedShare()},
		{Name: "missedCrest3", Value: weighted.missedDeadlines(), Unit: "requests", Baseline: measured.missedDeadlines(), Bound: AtMost(0)},
		{Name: "urgentInTimeCrest3", Value: weighted.inTimeShare(urgentAtPeak), Unit: "fraction", Baseline: measured.inTimeShare(urgentAtPeak)},
	}, nil
}
