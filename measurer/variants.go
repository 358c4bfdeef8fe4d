package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name:       "crestVariants",
		Doc:        "crest with other cell sizes, callers, run times, declarations, peak loads and retries",
		ByNameOnly: true,
		Run:        peakVariants,
	})
	Register(Scenario{
		Name:       "mixVariants",
		Doc:        "short, long, large and bulk tasks in various proportions and overloads",
		ByNameOnly: true,
		Run:        mixVariants,
	})
}

// variant is a demand peak that rises from 0.2 to peakLoad times the capacity for
// 10 s.
type variant struct {
	name             string
	targets, callers int
	drawRunTime      func(*rand.Rand) time.Duration
	meanRunTime      time.Duration
	declaredRunTime  func(*rand.Rand, time.Duration) time.Duration
	deadline         time.Duration
	start            time.Duration
	peakLoad         float64
	// maxRetries is how often a refused request is retried, each time after the
	// RetryAfter of the refusal.
	maxRetries int
	// longLoad is the load of additional checkpointable tasks of 100 s each.
	longLoad float64
}

func (v variant) load(at time.Duration) float64 {
	rampUp := min(max((at-v.start).Seconds(), 0), 1)
	rampDown := min(max((at-v.start-peakLength).Seconds(), 0), 1)
	return offPeakLoad + (v.peakLoad-offPeakLoad)*(rampUp-rampDown)
}

func (v variant) flow(kind descriptor.KindName, p descriptor.Priority, share float64) Flow {
	scale := share * float64(v.targets*8) / v.meanRunTime.Seconds()
	return Flow{
		Kind: kind, Priority: p, Team: FixedTeam("salons"), Caller: RandomCaller("stylist", v.callers),
		RunTime: v.drawRunTime, DeclaredRunTime: v.declaredRunTime, Deadline: v.deadline,
		Rate:    func(at time.Duration) float64 { return scale * v.load(at) },
		MaxRate: scale * v.peakLoad,
	}
}

// measure returns four figures of the interactive requests: the fraction of the
// capacity at the peak that was used for requests completed in time, the number of
// admitted requests that missed their deadline, the fraction of all requests
// completed in time, and the p99 wait of urgent requests.
func (v variant) measure(env Env, cfg scheduler.Config) (served, late, inTime, wait float64) {
	flows := []Flow{
		v.flow("routeBuild", descriptor.Urgent, urgentShare),
		v.flow("weekPlan", descriptor.Normal, 1-urgentShare),
	}
	if v.longLoad > 0 {
		longFlow := mixFlow{kind: longKind, priority: descriptor.Normal, load: v.longLoad * float64(v.targets) / mixVariantTargets, runTime: 100 * time.Second, slots: 1, deadline: time.Hour, checkpointable: true}
		flows = append(flows, longFlow.flow())
	}
	work := Generate(env.Rand(1), 0, v.start+4*peakLength, flows...)
	c := NewCell(cfg, &descriptor.Rules{}, v.targets, EightSlots, env.Rand(2))
	var all []*Job
	var add func(j *Job, n int)
	add = func(j *Job, n int) {
		all = append(all, j)
		c.Add([]*Job{j})
		c.At(j.Arrival, func() {
			if j.Refusal == nil || n >= v.maxRetries || j.Refusal.RetryAfter == 0 {
				return
			}
			retry := *j
			retry.Arrival, retry.Refusal = j.Arrival+j.Refusal.RetryAfter, nil
			retry.Request.ID = descriptor.RequestID(fmt.Sprintf("%s.r%d", j.Request.ID, n))
			add(&retry, n+1)
		})
	}
	for _, j := range work {
		add(j, 0)
	}
	c.Run(v.start + 6*peakLength)
	var submitted float64
	for _, j := range all {
		if j.Request.Kind == longKind {
			continue
		}
		if j.Late() {
			late++
		}
		if j.InTime() {
			inTime++
		}
	}
	for _, j := range work {
		if j.Request.Kind != longKind {
			submitted++
		}
	}
	completedInTime := func(j *Job) bool { return j.Request.Kind != longKind && j.InTime() }
	served = BusySeconds(all, v.start+peakRamp, v.start+peakLength, completedInTime) /
		(float64(v.targets*8) * (peakLength - peakRamp).Seconds())
	wait = Quantile(WaitSeconds(all, func(j *Job) bool {
		return j.Request.Priority == descriptor.Urgent && j.Arrival > v.start
	}), 0.99)
	return served, late, inTime / submitted, wait
}

func peakVariants(env Env) ([]Metric, error) {
	base := variant{
		name: "base", targets: peakTargets, callers: 500, drawRunTime: UniformAround(peakRunTime), meanRunTime: peakRunTime,
		deadline: interactiveDeadline, start: 30 * time.Second, peakLoad: peakLoad,
	}
	modified := func(name string, change func(*variant)) variant {
		v := base
		v.name = name
		change(&v)
		return v
	}
	setRunTime := func(v *variant, mean time.Duration) { v.meanRunTime, v.drawRunTime = mean, UniformAround(mean) }
	var out []Metric
	for _, v := range []variant{
		base,
		modified("returning", func(v *variant) { v.maxRetries = 8 }),
		modified("6Targets", func(v *variant) { v.targets = 6 }),
		modified("6Targets20Callers", func(v *variant) { v.targets, v.callers = 6, 20 }),
		modified("5000Callers", func(v *variant) { v.callers = 5000 }),
		modified("coldWrongTenfold", func(v *variant) { v.start, v.declaredRunTime = time.Second, misdeclareTenfold }),
		modified("wrongTenfold", func(v *variant) { v.declaredRunTime = misdeclareTenfold }),
		modified("lognormalRuns", func(v *variant) { v.drawRunTime = Lognormal(v.meanRunTime, 0.7) }),
		modified("runs100ms", func(v *variant) { setRunTime(v, 100*time.Millisecond) }),
		modified("runs1200ms", func(v *variant) { setRunTime(v, 1200*time.Millisecond) }),
		modified("peak1.2", func(v *variant) { v.peakLoad = 1.2 }),
		modified("peak10", func(v *variant) { v.peakLoad = 10 }),
		modified("overLongWork", func(v *variant) { v.start, v.longLoad = 10*time.Minute, 0.6 }),
		modified("deadline30s", func(v *variant) { v.deadline = 30 * time.Second }),
	} {
		served, late, inTime, wait := v.measure(env, scheduler.Config{})
		baselineServed, baselineLate, baselineInTime, baselineWait := v.measure(env, scheduler.Baseline(scheduler.Config{}))
		out = append(out,
			Metric{Name: v.name + ".served", Value: served, Unit: "capacity", Baseline: baselineServed},
			Metric{Name: v.name + ".missed", Value: late, Unit: "requests", Baseline: baselineLate},
			Metric{Name: v.name + ".inTime", Value: inTime, Unit: "fraction", Baseline: baselineInTime},
			Metric{Name: v.name + ".urgentWaitP99", Value: wait, Unit: "s", Baseline: baselineWait},
		)
	}
	return out, nil
}

// mixVariantTargets is the number of targets in mixVariants.
const mixVariantTargets = 6

// longKind is the kind of the long tasks.
const longKind = descriptor.KindName("long")

// mixFlow is a constant flow of requests of one kind. Its load is a fraction of the
// capacity of the cell in mixVariants.
type mixFlow struct {
	kind           descriptor.KindName
	priority       descriptor.Priority
	load           float64
	runTime        time.Duration
	slots          int
	deadline       time.Duration
	checkpointable bool
}

func (m mixFlow) flow() Flow {
	rate := m.load * mixVariantTargets * 8 / m.runTime.Seconds() / float64(m.slots)
	return Flow{
		Kind: m.kind, Priority: m.priority, Checkpointable: m.checkpointable,
		Team: FixedTeam("team"), Caller: RandomCaller("caller", 50),
		RunTime: UniformAround(m.runTime), Deadline: m.deadline, Rate: ConstantRate(rate), MaxRate: rate,
		Resources: OneSlot.Scale(m.slots),
	}
}

func mixVariants(env Env) ([]Metric, error) {
	short := func(load float64, deadline time.Duration) mixFlow {
		return mixFlow{kind: "short", priority: descriptor.Normal, load: load, runTime: time.Second, slots: 1, deadline: deadline}
	}
	long := func(load float64, deadline time.Duration, checkpointable bool) mixFlow {
		return mixFlow{kind: longKind, priority: descriptor.Normal, load: load, runTime: 100 * time.Second, slots: 1, deadline: deadline, checkpointable: checkpointable}
	}
	large := func(load float64, deadline time.Duration) mixFlow {
		return mixFlow{kind: "large", priority: descriptor.Normal, load: load, runTime: time.Second, slots: 5, deadline: deadline}
	}
	const hour = time.Hour
	mixes := []struct {
		name   string
		length time.Duration
		parts  []mixFlow
	}{
		{"large0.95", 10 * time.Minute, []mixFlow{short(0.65, hour), large(0.3, hour)}},
		{"large1.2", 10 * time.Minute, []mixFlow{short(0.9, 10*time.Second), large(0.3, 30*time.Second)}},
		{"long0.6", hour, []mixFlow{short(0.4, hour), long(0.2, 4*hour, false)}},
		{"long0.9", hour, []mixFlow{short(0.45, hour), long(0.45, 4*hour, false)}},
		{"checkpointable0.8", hour, []mixFlow{short(0.4, hour), long(0.4, 4*hour, true)}},
		{"longOverload", hour, []mixFlow{short(0.6, 10*time.Second), long(0.9, 10*time.Minute, false)}},
		{"shortOverload", 10 * time.Minute, []mixFlow{short(1.5, 10*time.Second), long(0.2, hour, false)}},
		{"urgentOverload", 10 * time.Minute, []mixFlow{
			{"urgent", descriptor.Urgent, 1.5, time.Second, 1, interactiveDeadline, false},
			short(0.3, 30*time.Second),
			{"bulk", descriptor.Bulk, 0.3, 10 * time.Second, 1, hour, true},
		}},
	}
	var out []Metric
	for _, m := range mixes {
		var flows []Flow
		for _, p := range m.parts {
			flows = append(flows, p.flow())
		}
		work := Generate(env.Rand(1), 0, m.length, flows...)
		run := func(cfg scheduler.Config) []*Job {
			jobs := Clone(work)
			c := NewCell(cfg, &descriptor.Rules{}, mixVariantTargets, EightSlots, env.Rand(2))
			c.Add(jobs)
			c.Run(m.length + 10*time.Minute)
			return jobs
		}
		measured, baseline := run(scheduler.Config{}), run(scheduler.Baseline(scheduler.Config{}))
		for _, p := range m.parts {
			out = append(out, mixMetrics(m.name+"."+string(p.kind), p.kind, m.length/4, measured, baseline)...)
		}
	}
	return out, nil
}

func mixMetrics(name string, kind descriptor.KindName, from time.Duration, measured, baseline []*Job) []Metric {
	keep := func(j *Job) bool { return j.Request.Kind == kind && j.Arrival > from }
	count := func(jobs []*Job, matches func(*Job) bool) float64 {
		n := 0.0
		for _, j := range jobs {
			if keep(j) && matches(j) {
				n++
			}
		}
		return n
	}
	isRefused := func(j *Job) bool { return j.Refusal != nil }
	isLate := func(j *Job) bool { return j.Late() && j.Started < 0 || j.Ended >= 0 && j.Late() }
	checkpoints := 0.0
	for _, j := range measured {
		if keep(j) {
			checkpoints += float64(j.Checkpoints)
		}
	}
	return []Metric{
		{Name: name + ".waitP99", Value: Quantile(WaitSeconds(measured, keep), 0.99), Unit: "s", Baseline: Quantile(WaitSeconds(baseline, keep), 0.99)},
		{Name: name + ".slowdownP99", Value: Quantile(slowdowns(measured, keep), 0.99), Unit: "ratio", Baseline: Quantile(slowdowns(baseline, keep), 0.99)},
		{Name: name + ".refused", Value: count(measured, isRefused), Unit: "requests", Baseline: count(baseline, isRefused)},
		{Name: name + ".late", Value: count(measured, isLate), Unit: "requests", Baseline: count(baseline, isLate)},
		{Name: name + ".checkpoints", Value: checkpoints, Unit: "orders", Baseline: NoBaseline()},
	}
}
