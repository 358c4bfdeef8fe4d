package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/masticlead/masticlead/heartbeater"
)

func init() {
	Register(Scenario{
		Name: "membership",
		Doc:  "a full mesh in each data centre against partial views with and without pull: bytes, reach and time to reach all, with 0, 10 and 30% failed",
		Run:  membership,
	})
}

// The settings of the model. The times are the defaults of the heartbeater.
const (
	memberInterval = 400 * time.Millisecond // between heartbeats
	memberStatus   = 2 * time.Second        // between loads
	memberRemove   = 2 * time.Second        // silence until removal
	memberDigest   = time.Second            // between digests on a link
	memberRelay    = 5 * time.Second        // between relays of loads
	memberPull     = time.Second            // between pulls with partial views
	memberTimeout  = time.Second            // a call to a failed instance
	memberNear     = time.Millisecond       // one way, same data centre
	memberFar      = 1500 * time.Microsecond
	memberRuns     = 20
	memberLength   = 40 * time.Second

	// Changes of membership per second at the planned scale: 270 failures and
	// 6,000 restarts a day, of which each is a leave and a join.
	memberChanges = (270.0 + 2*6000) / 86400
)

// memberBudget is the control traffic that an instance may cause, in bytes/s.
// Bytes in and out are added up, which is the strict reading of the target.
const memberBudget = 8000

// memberReachAll is the stated time for a change to be in force everywhere.
const memberReachAll = 12.0

// memberNode is an instance in the model.
type memberNode struct {
	id, dc int
	failed bool // at time 0
	// knows says whether the change has arrived, and at when.
	knows bool
	at    time.Duration
}

// memberModel spreads one change about one instance, the subject, from time 0 on,
// when a part of the instances fail unnoticed. The change comes either from the
// subject, which is live, or is its own failure, which others have to detect.
type memberModel struct {
	*Driver
	rng     *rand.Rand
	sizes   heartbeater.Sizes
	nodes   []*memberNode
	dcs     [][]*memberNode
	subject *memberNode
	bytes   int // of all frames; each is sent once and received once
	// changeBytes is what one change costs, to be added at the planned rate.
	changeBytes float64
	// learn is called when a node first hears of the change.
	learn func(n *memberNode)
}

func newMemberModel(rng *rand.Rand, sizes heartbeater.Sizes, c memberCase) *memberModel {
	m := &memberModel{Driver: NewDriver(), rng: rng, sizes: sizes, dcs: make([][]*memberNode, c.dcs)}
	for i := range c.dcs * c.perDC {
		n := &memberNode{id: i, dc: i / c.perDC}
		m.nodes = append(m.nodes, n)
		m.dcs[n.dc] = append(m.dcs[n.dc], n)
	}
	order := rng.Perm(len(m.nodes))
	m.subject = m.nodes[order[0]]
	m.fail(order[1:], int(math.Round(c.failed*float64(len(order)))))
	m.subject.failed = c.detect
	m.At(0, func() { m.tell(m.subject) })
	return m
}

// fail makes the first count nodes fail, but keeps one member of the subject's
// data centre alive: that a whole data centre is gone shows in Reachable, not in
// the list of its members.
func (m *memberModel) fail(order []int, count int) {
	kept := false
	for _, i := range order {
		n := m.nodes[i]
		switch {
		case !kept && n.dc == m.subject.dc:
			kept = true
		case count > 0:
			n.failed = true
			count--
		}
	}
}

// tell makes a node learn of the change.
func (m *memberModel) tell(n *memberNode) {
	if n.failed || n.knows {
		return
	}
	n.knows, n.at = true, m.Elapsed()
	m.learn(n)
}

// latency returns the one-way delay between two nodes.
func (m *memberModel) latency(a, b *memberNode) time.Duration {
	if a.dc == b.dc {
		return memberNear
	}
	return memberFar
}

// detect makes n learn of the subject's failure when its silence has lasted.
func (m *memberModel) detect(n *memberNode) {
	if m.subject.failed {
		phase := time.Duration(m.rng.Int64N(int64(memberInterval)))
		m.At(memberRemove+phase, func() { m.tell(n) })
	}
}

// removed reports whether the failed members have been noticed by now.
func (m *memberModel) removed(n *memberNode) bool { return n.failed && m.Elapsed() >= memberRemove }

// result returns the part of the live nodes that know of the change, and the
// time until the last one learned of it; +Inf if some never did.
func (m *memberModel) result() (reach, seconds float64) {
	live, know := 0, 0
	var last time.Duration
	for _, n := range m.nodes {
		if n.failed {
			continue
		}
		live++
		if n.knows {
			know++
			last = max(last, n.at)
		}
	}
	if know < live {
		return float64(know) / float64(live), math.Inf(1)
	}
	return 1, last.Seconds()
}

// bytesPerSecond returns the bytes in and out of an instance.
func (m *memberModel) bytesPerSecond() float64 {
	perSecond := float64(m.bytes)/memberLength.Seconds() + memberChanges*m.changeBytes
	return 2 * perSecond / float64(len(m.nodes))
}

// memberScheme builds a way to spread changes on a model.
type memberScheme struct {
	name  string
	build func(m *memberModel)
}

// memberCase is what is measured on a scheme.
type memberCase struct {
	dcs, perDC int
	failed     float64
	detect     bool // the change is the subject's failure
}

// memberFigures are means over the runs; time is that of the slowest run.
type memberFigures struct{ bytes, reach, time float64 }

func (s memberScheme) measure(env Env, c memberCase) (memberFigures, error) {
	var f memberFigures
	for run := range memberRuns {
		rng := env.Rand(uint64(run))
		sizes, err := heartbeater.MessageSizes(c.perDC, rng)
		if err != nil {
			return f, err
		}
		m := newMemberModel(rng, sizes, c)
		s.build(m)
		m.Run(memberLength)
		reach, seconds := m.result()
		f.bytes += m.bytesPerSecond() / memberRuns
		f.reach += 100 * reach / memberRuns
		f.time = max(f.time, seconds)
	}
	return f, nil
}

func membership(env Env) ([]Metric, error) {
	mesh := memberScheme{"fullMesh", buildMesh}
	others := []memberScheme{
		{"partialViews", func(m *memberModel) { buildViews(m, false) }},
		{"partialViewsPull", func(m *memberModel) { buildViews(m, true) }},
	}
	var metrics []Metric
	for _, size := range []memberCase{{dcs: 3, perDC: 3}, {dcs: 16, perDC: 17}} {
		for _, failed := range []float64{0, 0.1, 0.3} {
			for _, detect := range []bool{false, true} {
				c := size
				c.failed, c.detect = failed, detect
				more, err := memberMetrics(env, mesh, others, c)
				if err != nil {
					return nil, err
				}
				metrics = append(metrics, more...)
			}
		}
	}
	largest, err := largestMesh(env, mesh)
	if err != nil {
		return nil, err
	}
	return append(metrics, Metric{
		Name: "fullMesh largest data centre within budget", Value: float64(largest), Unit: "instances",
		Baseline: None(), Bound: AtLeast(17),
	}), nil
}

// memberMetrics returns the metrics of one case. The mesh, which is what the
// heartbeater does, is bounded, with the views without pull as its baseline.
func memberMetrics(env Env, mesh memberScheme, others []memberScheme, c memberCase) ([]Metric, error) {
	where := fmt.Sprintf("%d/%.0f%%", c.dcs*c.perDC, 100*c.failed)
	what := "change "
	if c.detect {
		what = "failure "
	}
	var metrics []Metric
	base, err := others[0].measure(env, c)
	if err != nil {
		return nil, err
	}
	add := func(s memberScheme, f, base memberFigures, bounded bool) {
		bound := func(b Bound) Bound {
			if bounded {
				return b
			}
			return Bound{}
		}
		if c.failed == 0 && !c.detect {
			metrics = append(metrics, Metric{Name: s.name + " bytes " + where, Value: f.bytes, Unit: "B/s", Baseline: base.bytes, Bound: bound(AtMost(memberBudget))})
		}
		metrics = append(metrics,
			Metric{Name: s.name + " " + what + "reach " + where, Value: f.reach, Unit: "%", Baseline: base.reach, Bound: bound(AtLeast(100))},
			Metric{Name: s.name + " " + what + "timeToAll " + where, Value: f.time, Unit: "s", Baseline: base.time, Bound: bound(AtMost(memberReachAll))})
	}
	f, err := mesh.measure(env, c)
	if err != nil {
		return nil, err
	}
	add(mesh, f, base, true)
	none := memberFigures{None(), None(), None()}
	add(others[0], base, none, false)
	for _, s := range others[1:] {
		if f, err = s.measure(env, c); err != nil {
			return nil, err
		}
		add(s, f, none, false)
	}
	return metrics, nil
}

// largestMesh returns the largest number of instances per data centre, of 16,
// with which the mesh keeps the budget.
func largestMesh(env Env, mesh memberScheme) (int, error) {
	for n := 10; ; n++ {
		rng := env.Rand(uint64(n))
		sizes, err := heartbeater.MessageSizes(n, rng)
		if err != nil {
			return 0, err
		}
		m := newMemberModel(rng, sizes, memberCase{dcs: 16, perDC: n})
		mesh.build(m)
		m.Run(memberLength)
		if m.bytesPerSecond() > memberBudget {
			return n - 1, nil
		}
	}
}
