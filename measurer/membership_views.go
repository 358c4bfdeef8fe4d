package measurer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// buildViews installs partial views on two levels, members of a data centre and data
// centres, after HiScamp (Ganesh, Kermarrec, Massoulié). The views are built by the
// subscription rule of SCAMP with one extra copy. A node that receives a change
// forwards it to its view. With pull, each node also requests missing state from one
// random member, and loads propagate by pull instead of being forwarded by every
// node.
func buildViews(m *membershipModel, pull bool) {
	v := &viewsModel{membershipModel: m, views: make([][]*memberNode, len(m.nodes)), pull: pull}
	for _, dc := range m.dcs {
		for i, arcs := range scampViews(m.rng, len(dc)) {
			for _, j := range arcs {
				v.views[dc[i].id] = append(v.views[dc[i].id], dc[j])
			}
		}
	}
	v.dcArcs = scampViews(m.rng, len(m.dcs))
	for a, arcs := range v.dcArcs {
		for _, b := range arcs {
			// Each arc between data centres connects one random member of each.
			from, to := v.randomMember(a), v.randomMember(b)
			v.views[from.id] = append(v.views[from.id], to)
		}
	}
	m.onInformed = v.forward
	arcs := 0
	for _, view := range v.views {
		arcs += len(view)
	}
	m.bytesPerChange = float64(arcs * m.sizes.MemberUpdate.Total())
	for _, n := range m.nodes {
		if n.failed {
			continue
		}
		m.At(time.Duration(m.rng.Int64N(int64(heartbeatInterval))), func() { v.sendHeartbeats(n, 0) })
		m.At(time.Duration(m.rng.Int64N(int64(pullInterval))), func() { v.pullAndRelay(n) })
		if slices.Contains(v.views[n.id], m.subject) {
			m.scheduleDetection(n)
		}
	}
}

type viewsModel struct {
	*membershipModel
	views  [][]*memberNode
	dcArcs [][]int // views of the data centres, by index
	pull   bool
}

// scampViews returns the partial views of n nodes that join one after the other. The
// contact of a joining node forwards its subscription to all nodes of the contact's
// view, and one extra copy to a random one of them. A node that receives a
// subscription keeps it with probability 1/(1+size of its view) and otherwise
// forwards it to a random node of its view.
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
		for _, node := range copies {
			// SCAMP limits the hops to prevent endless forwarding.
			for hops := 0; hops < 10*n; hops++ {
				if node != j && !slices.Contains(views[node], j) && rng.Float64() < 1/float64(1+len(views[node])) {
					views[node] = append(views[node], j)
					break
				}
				if len(views[node]) == 0 {
					break
				}
				node = views[node][rng.IntN(len(views[node]))]
			}
		}
	}
	return views
}

// randomMember returns a random member of a data centre.
func (v *viewsModel) randomMember(dc int) *memberNode { return v.dcs[dc][v.rng.IntN(len(v.dcs[dc]))] }

// sendHeartbeats exchanges heartbeats with the members of n's view.
func (v *viewsModel) sendHeartbeats(n *memberNode, count int) {
	size := v.sizes.Heartbeat
	if count%int(statusInterval/heartbeatInterval) == 0 {
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
	v.After(heartbeatInterval, func() { v.sendHeartbeats(n, count+1) })
}

// forward sends the change to all members of n's view.
func (v *viewsModel) forward(n *memberNode) {
	for _, p := range v.views[n.id] {
		v.bytes += v.sizes.MemberUpdate.Total()
		v.After(v.latency(n, p), func() { v.inform(p) })
	}
}

// pullAndRelay runs once per pull interval: it counts the traffic of the load digests
// and, with pull, requests the change from a random member. The digest of each data
// centre changes once per relay interval.
func (v *viewsModel) pullAndRelay(n *memberNode) {
	v.After(pullInterval, func() { v.pullAndRelay(n) })
	digests := len(v.dcs) * int(pullInterval) / int(relayInterval)
	share := float64(len(v.dcs)) * pullInterval.Seconds() / relayInterval.Seconds()
	if v.rng.Float64() < share-float64(digests) {
		digests++
	}
	if !v.pull {
		// Every node forwards every digest to all members of its view.
		v.bytes += digests * len(v.views[n.id]) * v.sizes.Relay.Total()
		return
	}
	// Each digest is received once; the request and the hashes add the size of an
	// exchange without digests.
	v.bytes += digests*v.sizes.Pull.Reply + v.sizes.PullEmpty.Total()
	p := v.randomMember(n.dc)
	if v.rng.IntN(len(v.dcs[n.dc])) == 0 {
		// On average one member of each data centre pulls from another data centre.
		p = v.randomMember(v.rng.IntN(len(v.dcs)))
	}
	if p == n || p.failed {
		return
	}
	v.After(2*v.latency(n, p), func() {
		if p.informed || n.informed {
			v.inform(n)
			v.inform(p)
		}
	})
}
