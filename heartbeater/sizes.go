package heartbeater

import (
	"fmt"
	"math/rand/v2"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/messenger"
)

// ExchangeSize is the size of a call and of its reply in bytes.
type ExchangeSize struct{ Request, Reply int }

// Total returns the sum of both sizes.
func (e ExchangeSize) Total() int { return e.Request + e.Reply }

// Sizes holds the sizes of the membership messages, for measurements. They are
// measured with the real codec, random loads and realistic IDs and addresses.
type Sizes struct {
	Heartbeat        ExchangeSize // without status
	HeartbeatStatus  ExchangeSize // with the status of both sides
	Link             ExchangeSize // digests of both sides, without member records
	Relay            ExchangeSize // without member records
	RelayWithRecords ExchangeSize // with member records
	Pull             ExchangeSize // the reply has a digest without member records
	PullEmpty        ExchangeSize // the reply is empty
	MemberUpdate     ExchangeSize // a relayed digest of one member, with its record
}

// MessageSizes returns the message sizes for data centres with the given number of
// members.
func MessageSizes(members int, rng *rand.Rand) (Sizes, error) {
	var s Sizes
	hb := func(withStatus bool) *heartbeat {
		b := beat{Incarnation: 1700, Sequence: uint64(3_000_000 + rng.IntN(1_000_000)), View: rng.Uint32()}
		if withStatus {
			b.Status = &status{Rules: 1_900_000, Load: randomLoad(rng), Reached: 1 << rng.IntN(16), RulesSinceMs: 1_796_268_000_000 + rng.Int64N(1e9)}
		}
		return &heartbeat{Beat: b}
	}
	withoutRecords, full := randomDigest(members, rng), randomDigest(members, rng)
	withoutRecords.Records = nil
	reply := *withoutRecords
	messages := []struct {
		size       *ExchangeSize
		method     messenger.Method
		req, reply any
	}{
		{&s.Heartbeat, methodHeartbeat, hb(false), hb(false)},
		{&s.HeartbeatStatus, methodHeartbeat, hb(true), hb(true)},
		{&s.Link, methodDigest, digestMessage{Digest: withoutRecords, KnownHash: withoutRecords.RecordsHash}, digestReply{Digest: &reply}},
		{&s.Relay, methodDigest, digestMessage{Relay: true, Digest: withoutRecords}, digestReply{}},
		{&s.RelayWithRecords, methodDigest, digestMessage{Relay: true, Digest: full}, digestReply{}},
		{&s.Pull, methodDigest, digestMessage{Pull: "dc07", KnownHash: withoutRecords.RecordsHash}, digestReply{Digest: withoutRecords}},
		{&s.PullEmpty, methodDigest, digestMessage{Pull: "dc07", KnownHash: withoutRecords.RecordsHash}, digestReply{}},
		{&s.MemberUpdate, methodDigest, digestMessage{Relay: true, Digest: randomDigest(1, rng)}, digestReply{}},
	}
	for _, m := range messages {
		var err error
		if m.size.Request, m.size.Reply, err = messenger.ExchangeSize("dc07-11", m.method, m.req, m.reply); err != nil {
			return Sizes{}, err
		}
	}
	return s, nil
}

func randomLoad(rng *rand.Rand) LoadReport {
	return LoadReport{Queued: rng.IntN(500), Running: rng.IntN(3000), FreeFraction: rng.Float64(), WaitMs: rng.Int64N(3700)}
}

func randomDigest(members int, rng *rand.Rand) *digest {
	d := &digest{DataCentre: "dc07", Origin: "dc07-11", Incarnation: 1700, Sequence: 123_456, RecordsHash: rng.Uint32()}
	for i := range members {
		l := randomLoad(rng)
		d.Loads = append(d.Loads, [6]int64{int64(l.Queued), int64(l.Running), toThousandths(l.FreeFraction), l.WaitMs, 1_900_000, 0})
		address := fmt.Sprintf("10.20.%d.%d", rng.IntN(256), rng.IntN(256))
		d.Records = append(d.Records, memberRecord{
			ID: descriptor.InstanceID(fmt.Sprintf("dc07-%02d", i)), Incarnation: descriptor.Incarnation(1000 + rng.IntN(900)),
			PeerAddress: address + ":7001", HTTPAddress: address + ":8001", Rules: 1_900_000, RulesSinceMs: 1_796_268_000_000 + rng.Int64N(1e9),
		})
	}
	return d
}
