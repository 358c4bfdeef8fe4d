package measurer

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/heartbeater"
)

// buildMesh adds what the heartbeater does: heartbeats of all pairs within a
// data centre, two links for each pair of data centres, and relays.
func buildMesh(m *memberModel) {
	mesh := &memberMesh{memberModel: m}
	for a := range m.dcs {
		for b := range m.dcs {
			if a != b {
				mesh.rank(a, b)
			}
		}
	}
	m.learn = func(*memberNode) {}
	for _, n := range m.nodes {
		if n.failed {
			continue
		}
		phase := time.Duration(m.rng.Int64N(int64(memberInterval)))
		m.At(phase, func() { mesh.beat(n, 0) })
		if n.dc == m.subject.dc {
			m.detect(n)
		}
	}
	// A change of members is relayed to all members of the other data centres.
	m.changeBytes = float64(len(m.nodes)-len(m.dcs[0])) * float64(m.sizes.RelayFixed.Total())
	for a := range m.dcs {
		for b := range m.dcs {
			if a < b {
				for place := range 2 {
					phase := time.Duration(m.rng.Int64N(int64(memberDigest)))
					m.At(phase, func() { mesh.link(a, b, place) })
				}
			}
		}
	}
}

type memberMesh struct {
	*memberModel
	ranks map[[2]int][]*memberNode // carriers of a data centre to another, in order
}

// rank draws the order of a's carriers to b, as rendezvous hashing does.
func (m *memberMesh) rank(a, b int) {
	if m.ranks == nil {
		m.ranks = map[[2]int][]*memberNode{}
	}
	order := slices.Clone(m.dcs[a])
	m.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	m.ranks[[2]int{a, b}] = order
}

// beat exchanges heartbeats with the members that n calls. A status passes only
// from the instance that it is about.
func (m *memberMesh) beat(n *memberNode, count int) {
	withStatus := count%int(memberStatus/memberInterval) == 0
	size := m.sizes.Heartbeat
	if withStatus {
		size = m.sizes.HeartbeatStatus
	}
	for _, p := range m.dcs[n.dc] {
		calls := (n.id+p.id)%2 == 0 == (n.id < p.id) // about half of all pairs
		if p == n || m.removed(p) || !calls && !p.failed {
			continue
		}
		if p.failed {
			m.bytes += size.Request
			continue
		}
		m.bytes += size.Total()
		if m.subject.knows && (n == m.subject || p == m.subject) {
			m.After(memberNear, func() { m.tell(n); m.tell(p) })
		}
	}
	m.After(memberInterval, func() { m.beat(n, count+1) })
}

// carrier returns who carries a link at the moment: failed members count until
// they are removed.
func (m *memberMesh) carrier(a, b, place int) *memberNode {
	for _, n := range m.ranks[[2]int{a, b}] {
		if m.removed(n) {
			continue
		}
		if place == 0 {
			return n
		}
		place--
	}
	return nil
}

// link exchanges the digests of a and b. A carrier that has failed does nothing;
// one whose other end has failed tries the next after a timeout.
func (m *memberMesh) link(a, b, place int) {
	m.After(memberDigest, func() { m.link(a, b, place) })
	n := m.carrier(a, b, place)
	if n == nil || n.failed {
		return
	}
	wait := time.Duration(0)
	for _, p := range m.ranks[[2]int{b, a}][place:] {
		if m.removed(p) {
			continue
		}
		if p.failed {
			m.bytes += m.sizes.Link.Request
			wait += memberTimeout
			continue
		}
		m.bytes += m.sizes.Link.Total()
		m.After(wait+memberFar, func() { m.digest(n, p, place) })
		return
	}
}

// digest passes on what either end knows of its own data centre, and relays what
// is new, or is due.
func (m *memberMesh) digest(n, p *memberNode, place int) {
	for _, way := range [][2]*memberNode{{n, p}, {p, n}} {
		from, to := way[0], way[1]
		// A digest describes the sender's own data centre only.
		knows := from.knows && from.dc == m.subject.dc
		news := knows && !to.knows
		if news {
			m.tell(to)
		}
		// In the steady state the first link relays the loads.
		periodic := place == 0 && m.Elapsed()%memberRelay < memberDigest
		if news || periodic {
			m.relay(to, m.relaySize(news), knows)
		}
	}
}

func (m *memberMesh) relaySize(news bool) heartbeater.Exchange {
	if news {
		return m.sizes.RelayFixed
	}
	return m.sizes.Relay
}

func (m *memberMesh) relay(n *memberNode, size heartbeater.Exchange, news bool) {
	for _, p := range m.dcs[n.dc] {
		if p == n || m.removed(p) {
			continue
		}
		m.bytes += size.Total()
		if news {
			m.After(memberNear, func() { m.tell(p) })
		}
	}
}
