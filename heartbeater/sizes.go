package heartbeater

import (
	"fmt"
	"math/rand/v2"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// Exchange is the size of a call and of its reply in bytes.
type Exchange struct{ Request, Reply int }

// Total returns the bytes of both.
func (e Exchange) Total() int { return e.Request + e.Reply }

// Sizes holds the sizes of the membership messages, for measurements. They are
// those of the real codec with random loads and plausible ids and addresses.
type Sizes struct {
	Heartbeat       Exchange // without status
	HeartbeatStatus Exchange // with the status of both sides
	Link            Exchange // digests of both sides, without fixed parts
	Relay           Exchange // without fixed part
	RelayFixed      Exchange // with fixed part
	Pull            Exchange // answered with a digest without fixed part
	PullNothing     Exchange // answered with nothing
	Event           Exchange // a digest with one member, with its fixed part
}

// MessageSizes returns the sizes for data centres with the given number of
// members.
func MessageSizes(members int, random *rand.Rand) (Sizes, error) {
	var s Sizes
	hb := func(withStatus bool) *heartbeat {
		b := beat{Incarnation: 1700, Sequence: uint64(3_000_000 + random.IntN(1_000_000)), View: random.Uint32()}
		if withStatus {
			b.Status = &status{Rules: 1_900_000, Load: randomLoad(random), Reached: 1 << random.IntN(16), RulesSinceMs: 1_796_268_000_000 + random.Int64N(1e9)}
		}
		return &heartbeat{Beat: b}
	}
	short, full := randomDigest(members, random), randomDigest(members, random)
	short.Fixed = nil
	reply := *short
	messages := []struct {
		to       *Exchange
		method   messenger.Method
		req, rep any
	}{
		{&s.Heartbeat, methodHeartbeat, hb(false), hb(false)},
		{&s.HeartbeatStatus, methodHeartbeat, hb(true), hb(true)},
		{&s.Link, methodDigest, digestMessage{Digest: short, Have: short.Static}, digestReply{Digest: &reply}},
		{&s.Relay, methodDigest, digestMessage{Relay: true, Digest: short}, digestReply{}},
		{&s.RelayFixed, methodDigest, digestMessage{Relay: true, Digest: full}, digestReply{}},
		{&s.Pull, methodDigest, digestMessage{Pull: "dc07", Have: short.Static}, digestReply{Digest: short}},
		{&s.PullNothing, methodDigest, digestMessage{Pull: "dc07", Have: short.Static}, digestReply{}},
		{&s.Event, methodDigest, digestMessage{Relay: true, Digest: randomDigest(1, random)}, digestReply{}},
	}
	for _, m := range messages {
		var err error
		if m.to.Request, m.to.Reply, err = messenger.ExchangeSize("dc07-11", m.method, m.req, m.rep); err != nil {
			return Sizes{}, err
		}
	}
	return s, nil
}

func randomLoad(random *rand.Rand) LoadReport {
	return LoadReport{Queued: random.IntN(500), Running: random.IntN(3000), FreeFraction: random.Float64(), WaitMs: random.Int64N(3700)}
}

func randomDigest(members int, random *rand.Rand) *digest {
	d := &digest{DataCentre: "dc07", Carrier: "dc07-11", Incarnation: 1700, Number: 123_456, Static: random.Uint32()}
	for i := range members {
		l := randomLoad(random)
		d.Loads = append(d.Loads, [6]int64{int64(l.Queued), int64(l.Running), thousandths(l.FreeFraction), l.WaitMs, 1_900_000, 0})
		address := fmt.Sprintf("10.20.%d.%d", random.IntN(256), random.IntN(256))
		d.Fixed = append(d.Fixed, fixedPart{
			ID: descriptor.InstanceID(fmt.Sprintf("dc07-%02d", i)), Incarnation: descriptor.Incarnation(1000 + random.IntN(900)),
			PeerAddress: address + ":7001", HTTPAddress: address + ":8001", Rules: 1_900_000, RulesSinceMs: 1_796_268_000_000 + random.Int64N(1e9),
		})
	}
	return d
}
