package heartbeater

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// RPC methods of the heartbeater.
const (
	methodHeartbeat = "membership.heartbeat"
	methodDigest    = "membership.digest"
)

// beat is the part of each heartbeat that describes the sender. It is encoded as an
// array of numbers, since it is sent to each member several times a second and
// field names would double its size.
type beat struct {
	Incarnation descriptor.Incarnation
	// Sequence increases with every heartbeat of an incarnation.
	Sequence uint64
	// View is a hash of the IDs and incarnations of the sender's members.
	View uint32
	// Status is nil if it was already sent to the receiver.
	Status *status
}

// status is the part of a heartbeat that describes the sender but changes less
// frequently than the rest.
type status struct {
	Rules descriptor.RulesVersion
	Load  LoadReport
	// Reached has bit i set if the sender has recently received a digest of the
	// i-th data centre on a link of its own.
	Reached      uint64
	RulesSinceMs int64
}

// beatFields is the number of array elements of a beat without its status, and
// statusFields that of the status.
const (
	beatFields   = 3
	statusFields = 7
)

// MarshalJSON implements json.Marshaler.
func (b beat) MarshalJSON() ([]byte, error) {
	fields := []int64{int64(b.Incarnation), int64(b.Sequence), int64(b.View)}
	if s := b.Status; s != nil {
		fields = append(fields, int64(s.Rules),
			int64(s.Load.Queued), int64(s.Load.Running), toThousandths(s.Load.FreeFraction), s.Load.WaitMs,
			int64(s.Reached), s.RulesSinceMs)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *beat) UnmarshalJSON(data []byte) error {
	var fields []int64
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) < beatFields {
		return fmt.Errorf("beat has %d numbers, want %d or more", len(fields), beatFields)
	}
	*b = beat{Incarnation: descriptor.Incarnation(fields[0]), Sequence: uint64(fields[1]), View: uint32(fields[2])}
	if fields = fields[beatFields:]; len(fields) >= statusFields {
		b.Status = &status{
			Rules: descriptor.RulesVersion(fields[0]), Load: decodeLoad(fields[1:5]),
			Reached: uint64(fields[5]), RulesSinceMs: fields[6],
		}
	}
	return nil
}

func toThousandths(f float64) int64 { return int64(f*1000 + 0.5) }

// decodeLoad decodes a load from queued requests, running tasks, free thousandths
// and wait.
func decodeLoad(fields []int64) LoadReport {
	return LoadReport{Queued: int(fields[0]), Running: int(fields[1]), FreeFraction: float64(fields[2]) / 1000, WaitMs: fields[3]}
}

// record holds the properties of a member that rarely change.
type record struct {
	DataCentre  descriptor.DataCentreID `json:"dc"`
	PeerAddress string                  `json:"peer"`
	HTTPAddress string                  `json:"http"`
}

// heartbeat is both the request and the reply of membership.heartbeat.
type heartbeat struct {
	Beat beat `json:"b"`
	// Record is sent to an instance that needs it.
	Record *record `json:"r,omitempty"`
	// NeedRecord requests the receiver's record.
	NeedRecord bool `json:"w,omitempty"`
	// Leaving announces the departure of the sender.
	Leaving bool `json:"x,omitempty"`
	// WantMembers requests the receiver's members, which the reply carries in
	// Members.
	WantMembers bool            `json:"a,omitempty"`
	Members     []memberAddress `json:"l,omitempty"`
}

// memberAddress is the ID and address of a member that the receiver may not know.
type memberAddress struct {
	ID          descriptor.InstanceID `json:"i"`
	PeerAddress string                `json:"p"`
}

// digest is a summary of the members of a data centre.
type digest struct {
	DataCentre descriptor.DataCentreID `json:"d"`
	// Origin is the member of DataCentre that created the digest. Sequence
	// increases with each digest of that incarnation of the origin.
	Origin      descriptor.InstanceID  `json:"c"`
	Incarnation descriptor.Incarnation `json:"i"`
	Sequence    uint64                 `json:"n"`
	// AgeMs is the time since the sender received the digest; 0 if the sender is
	// the origin. Without it, members that pull from each other would keep an old
	// digest fresh.
	AgeMs int64 `json:"a,omitempty"`
	// RecordsHash is a hash of Records. A digest without Records is complete only
	// for a receiver that has the records with this hash.
	RecordsHash uint32         `json:"s"`
	Records     []memberRecord `json:"f,omitempty"`
	// Loads holds queued requests, running tasks, free thousandths, wait, rules
	// version and state of each member, in the order of Records.
	Loads [][6]int64 `json:"l"`
}

// memberRecord holds the properties of a member that rarely change, in a digest.
type memberRecord struct {
	ID           descriptor.InstanceID   `json:"i"`
	Incarnation  descriptor.Incarnation  `json:"n"`
	PeerAddress  string                  `json:"p"`
	HTTPAddress  string                  `json:"h"`
	Rules        descriptor.RulesVersion `json:"r,omitempty"`
	RulesSinceMs int64                   `json:"t,omitempty"` // installation time of Rules
}

// digestMessage is the request of membership.digest. On a link, sender and receiver
// exchange the digests of their own data centres. Within a data centre, a relay
// carries the digest of another data centre, and a pull requests one.
type digestMessage struct {
	Relay  bool    `json:"r,omitempty"`
	Digest *digest `json:"g,omitempty"`
	// KnownHash is the hash of the member records that the sender already has,
	// which the reply can omit.
	KnownHash uint32 `json:"h,omitempty"`
	// Pull is the data centre whose digest is requested.
	Pull descriptor.DataCentreID `json:"p,omitempty"`
}

// digestReply is the reply of membership.digest.
type digestReply struct {
	// NeedRecords requests the digest again, with its member records.
	NeedRecords bool    `json:"w,omitempty"`
	Digest      *digest `json:"g,omitempty"`
}

func unixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMs(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
