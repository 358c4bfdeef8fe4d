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
		Doc:  "full mesh in each data centre compared with partial views with and without pull: traffic, reach and time to reach all instances, with 0, 10 and 30% failed",
		Run:  membership,
	})
}

// Parameters of the model. The times are the defaults of the heartbeater.
const (
	heartbeatInterval   = 400 * time.Millisecond // between heartbeats
	statusInterval      = 2 * time.Second        // between heartbeats with status
	removalTimeout      = 2 * time.Second        // without a heartbeat
	digestInterval      = time.Second            // between digests on a link
	relayInterval       = 5 * time.Second        // between relays of loads
	pullInterval        = time.Second            // between pulls with partial views
	callTimeout         = time.Second            // of a call to a failed instance
	localLatency        = time.Millisecond       // one way, within a data centre
	remoteLatency       = 1500 * time.Microsecond
	membershipRuns      = 20
	membershipRunLength = 40 * time.Second

	// membershipChangesPerSecond is the rate at the planned scale: 270 failures and
	// 6,000 restarts a day; each restart is a leave and a join.
	membershipChangesPerSecond = (270.0 + 2*6000) / 86400
)

// membershipByteBudget is the limit of membership traffic per instance in bytes/s.
// It applies to the sum of received and sent bytes, which is the strict reading of
// the requirement.
const membershipByteBudget = 8000

// propagationTimeBound is the required time, in seconds, within which a change must
// take effect on all instances.
const propagationTimeBound = 12.0

// memberNode is an instance in the model.
type memberNode struct {
	id, dc int
	failed bool // from time 0 on
	// informed is set when the change has reached the node, at informedAt.
	informed   bool
	informedAt time.Duration
}

// membershipModel simulates the propagation of one change about one instance, the
// subject, from time 0 on, while some instances have failed and are not yet
// detected as failed. Either the subject is live and announces the change, or the
// change is the failure of the subject, which other instances must detect.
type membershipModel struct {
	*Driver
	rng     *rand.Rand
	sizes   heartbeater.Sizes
	nodes   []*memberNode
	dcs     [][]*memberNode
	subject *memberNode
	bytes   int // total size of all frames; each is sent once and received once
	// bytesPerChange is the traffic of one change; bytesPerSecond adds it at the
	// planned rate of changes.
	bytesPerChange float64
	// onInformed is called when the change first reaches a node.
	onInformed func(n *memberNode)
}

func newMembershipModel(rng *rand.Rand, sizes heartbeater.Sizes, c membershipCase) *membershipModel {
	m := &membershipModel{Driver: NewDriver(), rng: rng, sizes: sizes, dcs: make([][]*memberNode, c.dcs)}
	for i := range c.dcs * c.perDC {
		n := &memberNode{id: i, dc: i / c.perDC}
		m.nodes = append(m.nodes, n)
		m.dcs[n.dc] = append(m.dcs[n.dc], n)
	}
	order := rng.Perm(len(m.nodes))
	m.subject = m.nodes[order[0]]
	m.failNodes(order[1:], int(math.Round(c.failed*float64(len(order)))))
	m.subject.failed = c.detect
	m.At(0, func() { m.inform(m.subject) })
	return m
}

// failNodes marks the first count nodes of order as failed, but skips one member of
// the subject's data centre: the failure of a whole data centre is reported by
// Reachable, not by its member list.
func (m *membershipModel) failNodes(order []int, count int) {
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

// inform delivers the change to a node. Failed nodes ignore it.
func (m *membershipModel) inform(n *memberNode) {
	if n.failed || n.informed {
		return
	}
	n.informed, n.informedAt = true, m.Elapsed()
	m.onInformed(n)
}

// latency returns the one-way delay between two nodes.
func (m *membershipModel) latency(a, b *memberNode) time.Duration {
	if a.dc == b.dc {
		return localLatency
	}
	return remoteLatency
}

// scheduleDetection makes n detect a failure of the subject after removalTimeout and
// a random part of a heartbeat interval.
func (m *membershipModel) scheduleDetection(n *memberNode) {
	if m.subject.failed {
		phase := time.Duration(m.rng.Int64N(int64(heartbeatInterval)))
		m.At(removalTimeout+phase, func() { m.inform(n) })
	}
}

// removed reports whether n has failed and been removed from the member lists.
func (m *membershipModel) removed(n *memberNode) bool {
	return n.failed && m.Elapsed() >= removalTimeout
}

// result returns the fraction of the live nodes that the change has reached, and the
// time until it reached the last of them, or +Inf if it did not reach all.
func (m *membershipModel) result() (reach, seconds float64) {
	live, informed := 0, 0
	var last time.Duration
	for _, n := range m.nodes {
		if n.failed {
			continue
		}
		live++
		if n.informed {
			informed++
			last = max(last, n.informedAt)
		}
	}
	if informed < live {
		return float64(informed) / float64(live), math.Inf(1)
	}
	return 1, last.Seconds()
}

// bytesPerSecond returns the mean traffic of an instance, received plus sent.
func (m *membershipModel) bytesPerSecond() float64 {
	perSecond := float64(m.bytes)/membershipRunLength.Seconds() + membershipChangesPerSecond*m.bytesPerChange
	return 2 * perSecond / float64(len(m.nodes))
}

// disseminationScheme is a protocol for the propagation of changes; build installs
// it in a model.
type disseminationScheme struct {
	name  string
	build func(m *membershipModel)
}

// membershipCase is a size and a failure pattern with which schemes are measured.
type membershipCase struct {
	dcs, perDC int
	failed     float64
	detect     bool // the change is the failure of the subject
}

// membershipFigures holds means over the runs, except that time is the maximum.
// bytes is in bytes/s, reach in percent and time in seconds.
type membershipFigures struct{ bytes, reach, time float64 }

func (s disseminationScheme) measure(env Env, c membershipCase) (membershipFigures, error) {
	var f membershipFigures
	for run := range membershipRuns {
		rng := env.Rand(uint64(run))
		sizes, err := heartbeater.MessageSizes(c.perDC, rng)
		if err != nil {
			return f, err
		}
		m := newMembershipModel(rng, sizes, c)
		s.build(m)
		m.Run(membershipRunLength)
		reach, seconds := m.result()
		f.bytes += m.bytesPerSecond() / membershipRuns
		f.reach += 100 * reach / membershipRuns
		f.time = max(f.time, seconds)
	}
	return f, nil
}

func membership(env Env) ([]Metric, error) {
	mesh := disseminationScheme{"fullMesh", buildMesh}
	others := []disseminationScheme{
		{"partialViews", func(m *membershipModel) { buildViews(m, false) }},
		{"partialViewsPull", func(m *membershipModel) { buildViews(m, true) }},
	}
	var metrics []Metric
	for _, size := range []membershipCase{{dcs: 3, perDC: 3}, {dcs: 16, perDC: 17}} {
		for _, failed := range []float64{0, 0.1, 0.3} {
			for _, detect := range []bool{false, true} {
				c := size
				c.failed, c.detect = failed, detect
				caseMetrics, err := membershipMetrics(env, mesh, others, c)
				if err != nil {
					return nil, err
				}
				metrics = append(metrics, caseMetrics...)
			}
		}
	}
	largest, err := largestMesh(env, mesh)
	if err != nil {
		return nil, err
	}
	return append(metrics, Metric{
		Name: "fullMesh largest data centre within budget", Value: float64(largest), Unit: "instances",
		Baseline: NoBaseline(), Bound: AtLeast(17),
	}), nil
}

// membershipMetrics returns the metrics of one case. Only the mesh, which is the
// protocol of the heartbeater, has bounds; its baseline is the scheme of partial
// views without pull.
func membershipMetrics(env Env, mesh disseminationScheme, others []disseminationScheme, c membershipCase) ([]Metric, error) {
	sizeLabel := fmt.Sprintf("%d/%.0f%%", c.dcs*c.perDC, 100*c.failed)
	changeLabel := "change "
	if c.detect {
		changeLabel = "failure "
	}
	var metrics []Metric
	base, err := others[0].measure(env, c)
	if err != nil {
		return nil, err
	}
	add := func(s disseminationScheme, f, base membershipFigures, bounded bool) {
		bound := func(b Bound) Bound {
			if bounded {
				return b
			}
			return Bound{}
		}
		if c.failed == 0 && !c.detect {
			metrics = append(metrics, Metric{Name: s.name + " bytes " + sizeLabel, Value: f.bytes, Unit: "B/s", Baseline: base.bytes, Bound: bound(AtMost(membershipByteBudget))})
		}
		metrics = append(metrics,
			Metric{Name: s.name + " " + changeLabel + "reach " + sizeLabel, Value: f.reach, Unit: "%", Baseline: base.reach, Bound: bound(AtLeast(100))},
			Metric{Name: s.name + " " + changeLabel + "timeToAll " + sizeLabel, Value: f.time, Unit: "s", Baseline: base.time, Bound: bound(AtMost(propagationTimeBound))})
	}
	f, err := mesh.measure(env, c)
	if err != nil {
		return nil, err
	}
	add(mesh, f, base, true)
	none := membershipFigures{NoBaseline(), NoBaseline(), NoBaseline()}
	add(others[0], base, none, false)
	for _, s := range others[1:] {
		if f, err = s.measure(env, c); err != nil {
			return nil, err
		}
		add(s, f, none, false)
	}
	return metrics, nil
}

// largestMesh returns the largest number of instances per data centre with which the
// mesh stays within membershipByteBudget, with 16 data centres.
func largestMesh(env Env, mesh disseminationScheme) (int, error) {
	for n := 10; ; n++ {
		rng := env.Rand(uint64(n))
		sizes, err := heartbeater.MessageSizes(n, rng)
		if err != nil {
			return 0, err
		}
		m := newMembershipModel(rng, sizes, membershipCase{dcs: 16, perDC: n})
		mesh.build(m)
		m.Run(membershipRunLength)
		if m.bytesPerSecond() > membershipByteBudget {
			return n - 1, nil
		}
	}
}
