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
		Name:  "crestVariants",
		Doc:   "the crest with other cells, callers, run times, declarations, peaks and returning requests",
		Extra: true,
		Run:   crestVariants,
	})
	Register(Scenario{
		Name:  "mixVariants",
		Doc:   "short, long, large and bulk work in other proportions and overloads",
		Extra: true,
		Run:   mixVariants,
	})
}

// variant is a swing of demand from 0.2 to high times the capacity for 10 s.
type variant struct {
	name             string
	targets, callers int
	run              func(*rand.Rand) time.Duration
	mean             time.Duration
	declare          func(*rand.Rand, time.Duration) time.Duration
	deadline         time.Duration
	start            time.Duration
	high             float64
	// returns is how often a refused request comes back at its time.
	returns int
	// long is the load of checkpointable work that runs for 100 s each.
	long float64
}

func (v variant) load(at time.Duration) float64 {
	rise := min(max((at-v.start).Seconds(), 0), 1)
	fall := min(max((at-v.start-crestLength).Seconds(), 0), 1)
	return crestLow + (v.high-crestLow)*(rise-fall)
}

func (v variant) flow(kind descriptor.KindName, p descriptor.Priority, part float64) Flow {
	scale := part * float64(v.targets*8) / v.mean.Seconds()
	return Flow{
		Kind: kind, Priority: p, Team: OneTeam("salons"), Caller: SomeCaller("stylist", v.callers),
		Run: v.run, Declare: v.declare, Deadline: v.deadline,
		Rate:    func(at time.Duration) float64 { return scale * v.load(at) },
		MaxRate: scale * v.high,
	}
}

// measure returns, of the interactive work, the served part of the capacity at
// the peak, the admitted requests that were late, the part of all requests that
// ended in time, and the p99 wait of urgent work.
func (v variant) measure(env Env, cfg scheduler.Config) (served, late, inTime, wait float64) {
	flows := []Flow{
		v.flow("routeBuild", descriptor.Urgent, crestUrgent),
		v.flow("weekPlan", descriptor.Normal, 1-crestUrgent),
	}
	if v.long > 0 {
		list := mixPart{kind: longKind, priority: descriptor.Normal, load: v.long * float64(v.targets) / mixTargetsAll, run: 100 * time.Second, slots: 1, deadline: time.Hour, checkpointable: true}
		flows = append(flows, list.flow())
	}
	work := Generate(env.Rand(1), 0, v.start+4*crestLength, flows...)
	c := NewCell(cfg, &descriptor.Rules{}, v.targets, Slots8, env.Rand(2))
	var all []*Job
	var add func(j *Job, n int)
	add = func(j *Job, n int) {
		all = append(all, j)
		c.Add([]*Job{j})
		c.At(j.At, func() {
			if j.Refusal == nil || n >= v.returns || j.Refusal.RetryAfter == 0 {
				return
			}
			again := *j
			again.At, again.Refusal = j.At+j.Refusal.RetryAfter, nil
			again.Request.ID = descriptor.RequestID(fmt.Sprintf("%s.r%d", j.Request.ID, n))
			add(&again, n+1)
		})
	}
	for _, j := range work {
		add(j, 0)
	}
	c.Run(v.start + 6*crestLength)
	var asked float64
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
			asked++
		}
	}
	answered := func(j *Job) bool { return j.Request.Kind != longKind && j.InTime() }
	served = BusySeconds(all, v.start+crestRamp, v.start+crestLength, answered) /
		(float64(v.targets*8) * (crestLength - crestRamp).Seconds())
	wait = Quantile(Waits(all, func(j *Job) bool {
		return j.Request.Priority == descriptor.Urgent && j.At > v.start
	}), 0.99)
	return served, late, inTime / asked, wait
}

func crestVariants(env Env) ([]Metric, error) {
	base := variant{
		name: "base", targets: crestTargets, callers: 500, run: Around(crestRun), mean: crestRun,
		deadline: crestDeadline, start: 30 * time.Second, high: crestHigh,
	}
	with := func(name string, change func(*variant)) variant {
		v := base
		v.name = name
		change(&v)
		return v
	}
	runs := func(v *variant, mean time.Duration) { v.mean, v.run = mean, Around(mean) }
	var out []Metric
	for _, v := range []variant{
		base,
		with("returning", func(v *variant) { v.returns = 8 }),
		with("6Targets", func(v *variant) { v.targets = 6 }),
		with("6Targets20Callers", func(v *variant) { v.targets, v.callers = 6, 20 }),
		with("5000Callers", func(v *variant) { v.callers = 5000 }),
		with("coldWrongTenfold", func(v *variant) { v.start, v.declare = time.Second, wrongTenfold }),
		with("wrongTenfold", func(v *variant) { v.declare = wrongTenfold }),
		with("lognormalRuns", func(v *variant) { v.run = Lognormal(v.mean, 0.7) }),
		with("runs100ms", func(v *variant) { runs(v, 100*time.Millisecond) }),
		with("runs1200ms", func(v *variant) { runs(v, 1200*time.Millisecond) }),
		with("peak1.2", func(v *variant) { v.high = 1.2 }),
		with("peak10", func(v *variant) { v.high = 10 }),
		with("overLongWork", func(v *variant) { v.start, v.long = 10*time.Minute, 0.6 }),
		with("deadline30s", func(v *variant) { v.deadline = 30 * time.Second }),
	} {
		served, late, inTime, wait := v.measure(env, scheduler.Config{})
		plainServed, plainLate, plainInTime, plainWait := v.measure(env, scheduler.Baseline(scheduler.Config{}))
		out = append(out,
			Metric{Name: v.name + ".served", Value: served, Unit: "capacity", Baseline: plainServed},
			Metric{Name: v.name + ".missed", Value: late, Unit: "requests", Baseline: plainLate},
			Metric{Name: v.name + ".inTime", Value: inTime, Unit: "fraction", Baseline: plainInTime},
			Metric{Name: v.name + ".urgentWaitP99", Value: wait, Unit: "s", Baseline: plainWait},
		)
	}
	return out, nil
}

// mixTargetsAll is the number of targets of mixVariants.
const mixTargetsAll = 6

// longKind is the kind of long work.
const longKind = descriptor.KindName("long")

// mixPart is a constant stream of one kind, with the load as a part of the cell of
// mixVariants.
type mixPart struct {
	kind           descriptor.KindName
	priority       descriptor.Priority
	load           float64
	run            time.Duration
	slots          int
	deadline       time.Duration
	checkpointable bool
}

func (m mixPart) flow() Flow {
	rate := m.load * mixTargetsAll * 8 / m.run.Seconds() / float64(m.slots)
	return Flow{
		Kind: m.kind, Priority: m.priority, Checkpointable: m.checkpointable,
		Team: OneTeam("team"), Caller: SomeCaller("caller", 50),
		Run: Around(m.run), Deadline: m.deadline, Rate: Constant(rate), MaxRate: rate,
		Resources: OneSlot.Scale(m.slots),
	}
}

func mixVariants(env Env) ([]Metric, error) {
	short := func(load float64, deadline time.Duration) mixPart {
		return mixPart{kind: "short", priority: descriptor.Normal, load: load, run: time.Second, slots: 1, deadline: deadline}
	}
	long := func(load float64, deadline time.Duration, checkpointable bool) mixPart {
		return mixPart{kind: longKind, priority: descriptor.Normal, load: load, run: 100 * time.Second, slots: 1, deadline: deadline, checkpointable: checkpointable}
	}
	large := func(load float64, deadline time.Duration) mixPart {
		return mixPart{kind: "large", priority: descriptor.Normal, load: load, run: time.Second, slots: 5, deadline: deadline}
	}
	const hour = time.Hour
	mixes := []struct {
		name   string
		length time.Duration
		parts  []mixPart
	}{
		{"large0.95", 10 * time.Minute, []mixPart{short(0.65, hour), large(0.3, hour)}},
		{"large1.2", 10 * time.Minute, []mixPart{short(0.9, 10*time.Second), large(0.3, 30*time.Second)}},
		{"long0.6", hour, []mixPart{short(0.4, hour), long(0.2, 4*hour, false)}},
		{"long0.9", hour, []mixPart{short(0.45, hour), long(0.45, 4*hour, false)}},
		{"checkpointable0.8", hour, []mixPart{short(0.4, hour), long(0.4, 4*hour, true)}},
		{"longOverload", hour, []mixPart{short(0.6, 10*time.Second), long(0.9, 10*time.Minute, false)}},
		{"shortOverload", 10 * time.Minute, []mixPart{short(1.5, 10*time.Second), long(0.2, hour, false)}},
		{"urgentOverload", 10 * time.Minute, []mixPart{
			{"urgent", descriptor.Urgent, 1.5, time.Second, 1, crestDeadline, false},
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
			c := NewCell(cfg, &descriptor.Rules{}, mixTargetsAll, Slots8, env.Rand(2))
			c.Add(jobs)
			c.Run(m.length + 10*time.Minute)
			return jobs
		}
		ours, plain := run(scheduler.Config{}), run(scheduler.Baseline(scheduler.Config{}))
		for _, p := range m.parts {
			out = append(out, mixMetrics(m.name+"."+string(p.kind), p.kind, m.length/4, ours, plain)...)
		}
	}
	return out, nil
}

func mixMetrics(name string, kind descriptor.KindName, from time.Duration, ours, plain []*Job) []Metric {
	keep := func(j *Job) bool { return j.Request.Kind == kind && j.At > from }
	count := func(jobs []*Job, what func(*Job) bool) float64 {
		n := 0.0
		for _, j := range jobs {
			if keep(j) && what(j) {
				n++
			}
		}
		return n
	}
	isRefused := func(j *Job) bool { return j.Refusal != nil }
	isLate := func(j *Job) bool { return j.Late() && j.Started < 0 || j.Ended >= 0 && j.Late() }
	stops := 0.0
	for _, j := range ours {
		if keep(j) {
			stops += float64(j.Stops)
		}
	}
	return []Metric{
		{Name: name + ".waitP99", Value: Quantile(Waits(ours, keep), 0.99), Unit: "s", Baseline: Quantile(Waits(plain, keep), 0.99)},
		{Name: name + ".slowdownP99", Value: Quantile(slowdowns(ours, keep), 0.99), Unit: "ratio", Baseline: Quantile(slowdowns(plain, keep), 0.99)},
		{Name: name + ".refused", Value: count(ours, isRefused), Unit: "requests", Baseline: count(plain, isRefused)},
		{Name: name + ".late", Value: count(ours, isLate), Unit: "requests", Baseline: count(plain, isLate)},
		{Name: name + ".checkpoints", Value: stops, Unit: "orders", Baseline: None()},
	}
}
