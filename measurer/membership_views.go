package measurer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// buildViews adds partial views on two levels, after HiScamp (Ganesh, Kermarrec,
// Massoulié: members of a data centre, and data centres), built by the
// subscription rule of SCAMP with one extra copy. A node that hears of a change
// passes it on to its view. With pull, each node also asks one random member for
// what it lacks, and loads spread that way instead of being passed on by all.
func buildViews(m *memberModel, pull bool) {
	v := &memberViews{memberModel: m, views: make([][]*memberNode, len(m.nodes)), pull: pull}
	for _, dc := range m.dcs {
		for i, arcs := range scampViews(m.rng, len(dc)) {
			for _, j := range arcs {
				v.views[dc[i].id] = append(v.views[dc[i].id], dc[j])
			}
		}
	}
	v.upper = scampViews(m.rng, len(m.dcs))
	for a, arcs := range v.upper {
		for _, b := range arcs {
			// Each arc between data centres is carried by one member.
			from, to := v.any(a), v.any(b)
			v.views[from.id] = append(v.views[from.id], to)
		}
	}
	m.learn = v.pass
	arcs := 0
	for _, view := range v.views {
		arcs += len(view)
	}
	m.changeBytes = float64(arcs * m.sizes.Event.Total())
	for _, n := range m.nodes {
		if n.failed {
			continue
		}
		m.At(time.Duration(m.rng.Int64N(int64(memberInterval))), func() { v.beat(n, 0) })
		m.At(time.Duration(m.rng.Int64N(int64(memberPull))), func() { v.each(n) })
		if slices.Contains(v.views[n.id], m.subject) {
			m.detect(n)
		}
	}
}

type memberViews struct {
	*memberModel
	views [][]*memberNode
	upper [][]int // arcs between data centres
	pull  bool
}

// scampViews returns the partial views of n nodes that join one after the other.
// A newcomer's subscription goes to all of its contact's view and to one more
// random member of it; who receives one keeps it with probability 1/(1+size) and
// otherwise passes it on.
func scampViews(rng *rand.Rand, n int) [][]int {
	const extraCopies = 1
	views := make([][]int, n)
	for j := 1; j < n; j++ {
		contact := rng.IntN(j)
		views[j] = []int{contact}
		copies := append([]int{}, views[contact]...)
		for range extraCopies {
			if len(views[contact]) > 0 {
				copies = append(copies, views[contact][rng.IntN(len(views[contact]))])
			}
		}
		if len(copies) == 0 {
			copies = []int{contact}
		}
		for _, at := range copies {
			// The limit on hops is SCAMP's guard against endless forwarding.
			for hops := 0; hops < 10*n; hops++ {
				if at != j && !slices.Contains(views[at], j) && rng.Float64() < 1/float64(1+len(views[at])) {
					views[at] = append(views[at], j)
					break
				}
				if len(views[at]) == 0 {
					break
				}
				at = views[at][rng.IntN(len(views[at]))]
			}
		}
	}
	return views
}

// any returns a random member of a data centre.
func (v *memberViews) any(dc int) *memberNode { return v.dcs[dc][v.rng.IntN(len(v.dcs[dc]))] }

// beat exchanges heartbeats with the members of n's view.
func (v *memberViews) beat(n *memberNode, count int) {
	size := v.sizes.Heartbeat
	if count%int(memberStatus/memberInterval) == 0 {
		size = v.sizes.HeartbeatStatus
	}
	for _, p := range v.views[n.id] {
		switch {
		case v.removed(p):
		case p.failed:
			v.bytes += size.Request
		default:
			v.bytes += size.Total()
		}
	}
	v.After(memberInterval, func() { v.beat(n, count+1) })
}

// pass sends a change to all of n's view.
func (v *memberViews) pass(n *memberNode) {
	for _, p := range v.views[n.id] {
		v.bytes += v.sizes.Event.Total()
		v.After(v.latency(n, p), func() { v.tell(p) })
	}
}

// each does what n does once per pull interval: pull, and spread loads. The
// digests of all data centres change once per relay interval.
func (v *memberViews) each(n *memberNode) {
	v.After(memberPull, func() { v.each(n) })
	digests := len(v.dcs) * int(memberPull) / int(memberRelay)
	share := float64(len(v.dcs)) * memberPull.Seconds() / memberRelay.Seconds()
	if v.rng.Float64() < share-float64(digests) {
		digests++
	}
	if !v.pull {
		// Every node passes every digest on to all of its view.
		v.bytes += digests * len(v.views[n.id]) * v.sizes.Relay.Total()
		return
	}
	// Each digest comes in once; the question and the hashes cost one more.
	v.bytes += digests*v.sizes.Pull.Reply + v.sizes.PullNothing.Total()
	p := v.any(n.dc)
	if v.rng.IntN(len(v.dcs[n.dc])) == 0 {
		// On average one member of a data centre asks another data centre.
		p = v.any(v.rng.IntN(len(v.dcs)))
	}
	if p == n || p.failed {
		return
	}
	v.After(2*v.latency(n, p), func() {
		if p.knows || n.knows {
			v.tell(n)
			v.tell(p)
		}
	})
}
