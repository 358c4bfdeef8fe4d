package measurer

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/heartbeater"
)

// buildMesh installs the protocol of the heartbeater: heartbeats between all pairs
// of instances in a data centre, two links for each pair of data centres, and
// relays of the digests received over a link.
func buildMesh(m *membershipModel) {
	mesh := &meshModel{membershipModel: m}
	for a := range m.dcs {
		for b := range m.dcs {
			if a != b {
				mesh.drawLinkEndpoints(a, b)
			}
		}
	}
	m.onInformed = func(*memberNode) {}
	for _, n := range m.nodes {
		if n.failed {
			continue
		}
		phase := time.Duration(m.rng.Int64N(int64(heartbeatInterval)))
		m.At(phase, func() { mesh.sendHeartbeats(n, 0) })
		if n.dc == m.subject.dc {
			m.scheduleDetection(n)
		}
	}
	// A membership change is relayed to all members of the other data centres.
	m.bytesPerChange = float64(len(m.nodes)-len(m.dcs[0])) * float64(m.sizes.RelayWithRecords.Total())
	for a := range m.dcs {
		for b := range m.dcs {
			if a < b {
				for rank := range 2 {
					phase := time.Duration(m.rng.Int64N(int64(digestInterval)))
					m.At(phase, func() { mesh.callLink(a, b, rank) })
				}
			}
		}
	}
}

type meshModel struct {
	*membershipModel
	linkEndpoints map[[2]int][]*memberNode // by (from, to) data centre, in order of preference
}

// drawLinkEndpoints draws a random order of a's endpoints of the links to b, as
// rendezvous hashing gives it.
func (m *meshModel) drawLinkEndpoints(a, b int) {
	if m.linkEndpoints == nil {
		m.linkEndpoints = map[[2]int][]*memberNode{}
	}
	order := slices.Clone(m.dcs[a])
	m.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	m.linkEndpoints[[2]int{a, b}] = order
}

// sendHeartbeats exchanges heartbeats with the members that n calls. An instance
// sends only its own status.
func (m *meshModel) sendHeartbeats(n *memberNode, count int) {
	withStatus := count%int(statusInterval/heartbeatInterval) == 0
	size := m.sizes.Heartbeat
	if withStatus {
		size = m.sizes.HeartbeatStatus
	}
	for _, p := range m.dcs[n.dc] {
		initiates := (n.id+p.id)%2 == 0 == (n.id < p.id) // in each pair, exactly one side initiates
		if p == n || m.removed(p) || !initiates && !p.failed {
			continue
		}
		if p.failed {
			m.bytes += size.Request
			continue
		}
		m.bytes += size.Total()
		if m.subject.informed && (n == m.subject || p == m.subject) {
			m.After(localLatency, func() { m.inform(n); m.inform(p) })
		}
	}
	m.After(heartbeatInterval, func() { m.sendHeartbeats(n, count+1) })
}

// linkEndpoint returns a's current endpoint of the link with the given rank to b, or
// nil. Failed members remain endpoints until they are removed.
func (m *meshModel) linkEndpoint(a, b, rank int) *memberNode {
	for _, n := range m.linkEndpoints[[2]int{a, b}] {
		if m.removed(n) {
			continue
		}
		if rank == 0 {
			return n
		}
		rank--
	}
	return nil
}

// callLink exchanges the digests of a and b over one link. A failed endpoint sends
// nothing; an endpoint whose peer has failed calls the next one after a timeout.
func (m *meshModel) callLink(a, b, rank int) {
	m.After(digestInterval, func() { m.callLink(a, b, rank) })
	n := m.linkEndpoint(a, b, rank)
	if n == nil || n.failed {
		return
	}
	wait := time.Duration(0)
	for _, p := range m.linkEndpoints[[2]int{b, a}][rank:] {
		if m.removed(p) {
			continue
		}
		if p.failed {
			m.bytes += m.sizes.Link.Request
			wait += callTimeout
			continue
		}
		m.bytes += m.sizes.Link.Total()
		m.After(wait+remoteLatency, func() { m.exchangeDigests(n, p, rank) })
		return
	}
}

// exchangeDigests delivers the digest of each endpoint to the other one, which relays
// it within its data centre if it contains a change or a periodic relay is due.
func (m *meshModel) exchangeDigests(n, p *memberNode, rank int) {
	for _, pair := range [][2]*memberNode{{n, p}, {p, n}} {
		from, to := pair[0], pair[1]
		// A digest describes only the sender's own data centre.
		informed := from.informed && from.dc == m.subject.dc
		isNew := informed && !to.informed
		if isNew {
			m.inform(to)
		}
		// Without changes only the first link relays loads.
		relayDue := rank == 0 && m.Elapsed()%relayInterval < digestInterval
		if isNew || relayDue {
			m.relay(to, m.relaySize(isNew), informed)
		}
	}
}

func (m *meshModel) relaySize(isNew bool) heartbeater.ExchangeSize {
	if isNew {
		return m.sizes.RelayWithRecords
	}
	return m.sizes.Relay
}

func (m *meshModel) relay(n *memberNode, size heartbeater.ExchangeSize, informs bool) {
	for _, p := range m.dcs[n.dc] {
		if p == n || m.removed(p) {
			continue
		}
		m.bytes += size.Total()
		if informs {
			m.After(localLatency, func() { m.inform(p) })
		}
	}
}
