package heartbeater

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Methods of the heartbeater.
const (
	methodHeartbeat = "membership.heartbeat"
	methodDigest    = "membership.digest"
)

// beat is what an instance says about itself in every heartbeat. It is encoded
// as an array of numbers, since it is sent to each member several times a second
// and the names of the fields would double its size.
type beat struct {
	Incarnation descriptor.Incarnation
	// Sequence rises with every beat of an incarnation.
	Sequence uint64
	// View is a hash of the members that the sender knows.
	View uint32
	// Status is sent when it is new to the receiver; nil otherwise.
	Status *status
}

// status is the part of a beat that changes less often.
type status struct {
	Rules descriptor.RulesVersion
	Load  LoadReport
	// Reached has bit i set if the sender has a fresh digest of the i-th data
	// centre from a link of its own.
	Reached      uint64
	RulesSinceMs int64
}

// The numbers in the array of a beat, without and with its status.
const (
	beatNumbers   = 3
	statusNumbers = 7
)

// MarshalJSON implements json.Marshaler.
func (b beat) MarshalJSON() ([]byte, error) {
	a := []int64{int64(b.Incarnation), int64(b.Sequence), int64(b.View)}
	if s := b.Status; s != nil {
		a = append(a, int64(s.Rules),
			int64(s.Load.Queued), int64(s.Load.Running), thousandths(s.Load.FreeFraction), s.Load.WaitMs,
			int64(s.Reached), s.RulesSinceMs)
	}
	return json.Marshal(a)
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *beat) UnmarshalJSON(data []byte) error {
	var a []int64
	if err := json.Unmarshal(data, &a); err != nil {
		return err
	}
	if len(a) < beatNumbers {
		return fmt.Errorf("beat has %d numbers, want %d or more", len(a), beatNumbers)
	}
	*b = beat{Incarnation: descriptor.Incarnation(a[0]), Sequence: uint64(a[1]), View: uint32(a[2])}
	if a = a[beatNumbers:]; len(a) >= statusNumbers {
		b.Status = &status{
			Rules: descriptor.RulesVersion(a[0]), Load: loadOf(a[1:5]),
			Reached: uint64(a[5]), RulesSinceMs: a[6],
		}
	}
	return nil
}

func thousandths(f float64) int64 { return int64(f*1000 + 0.5) }

// loadOf returns the load in an array of queued, running, thousandths free and
// wait.
func loadOf(a []int64) LoadReport {
	return LoadReport{Queued: int(a[0]), Running: int(a[1]), FreeFraction: float64(a[2]) / 1000, WaitMs: a[3]}
}

// record holds what seldom changes about a member.
type record struct {
	DataCentre  descriptor.DataCentreID `json:"dc"`
	PeerAddress string                  `json:"peer"`
	HTTPAddress string                  `json:"http"`
}

// heartbeat is both the request and the reply of membership.heartbeat.
type heartbeat struct {
	Beat beat `json:"b"`
	// Record is sent to members that lack it.
	Record *record `json:"r,omitempty"`
	// Want asks for the receiver's record.
	Want bool `json:"w,omitempty"`
	// Leaving announces the end of the sender.
	Leaving bool `json:"x,omitempty"`
	// Ask asks for the receiver's list of members, which comes in List.
	Ask  bool     `json:"a,omitempty"`
	List []listed `json:"l,omitempty"`
}

// listed names a member to an instance that may not know it.
type listed struct {
	ID          descriptor.InstanceID `json:"i"`
	PeerAddress string                `json:"p"`
}

// digest describes the members of a data centre.
type digest struct {
	DataCentre descriptor.DataCentreID `json:"d"`
	// Carrier is the member of DataCentre that made the digest. Number rises
	// with each digest of that carrier's incarnation.
	Carrier     descriptor.InstanceID  `json:"c"`
	Incarnation descriptor.Incarnation `json:"i"`
	Number      uint64                 `json:"n"`
	// AgeMs is how long ago the sender received it; 0 from the carrier itself.
	// Without it, members that ask each other would keep an old digest fresh.
	AgeMs int64 `json:"a,omitempty"`
	// Static is a hash of Fixed. A digest without Fixed is complete only for a
	// receiver that has the fixed part with this hash.
	Static uint32      `json:"s"`
	Fixed  []fixedPart `json:"f,omitempty"`
	// Loads holds queued, running, thousandths free, wait, rules version and
	// state of each member, in the order of Fixed.
	Loads [][6]int64 `json:"l"`
}

// fixedPart holds what seldom changes about a member of another data centre.
type fixedPart struct {
	ID           descriptor.InstanceID   `json:"i"`
	Incarnation  descriptor.Incarnation  `json:"n"`
	PeerAddress  string                  `json:"p"`
	HTTPAddress  string                  `json:"h"`
	Rules        descriptor.RulesVersion `json:"r,omitempty"`
	RulesSinceMs int64                   `json:"t,omitempty"` // of Rules
}

// digestMessage is the request of membership.digest. On a link, sender and
// receiver exchange their own digests. Within a data centre, a relay carries a
// digest of another one, and a pull asks for it.
type digestMessage struct {
	Relay  bool    `json:"r,omitempty"`
	Digest *digest `json:"g,omitempty"`
	// Have is the hash of the receiver's fixed part, if the sender has it.
	Have uint32 `json:"h,omitempty"`
	// Pull names the data centre that is asked about.
	Pull descriptor.DataCentreID `json:"p,omitempty"`
}

// digestReply is the reply of membership.digest.
type digestReply struct {
	// Want asks for the digest again, with its fixed part.
	Want   bool    `json:"w,omitempty"`
	Digest *digest `json:"g,omitempty"`
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
