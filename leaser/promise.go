package leaser

import (
	"context"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Peers reaches the leasers of the other instances of the data centre.
type Peers interface {
	Promise(ctx context.Context, to descriptor.InstanceID, r PromiseRequest) (PromiseReply, error)
	Consent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) (ConsentReply, error)
}

// PromiseRequest asks an instance not to take over a session, and not to consent
// to its takeover, for the given time.
type PromiseRequest struct {
	Holder      descriptor.InstanceID  `json:"holder"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	// Acknowledged is the sequence of the holder's last successful renewal.
	Acknowledged uint64 `json:"acknowledged"`
	DurationMs   int64  `json:"durationMs"`
}

// PromiseReply is the answer to a PromiseRequest.
type PromiseReply struct {
	Given bool `json:"given"`
}

// ConsentRequest asks a member of a holder's roster to consent to its takeover.
type ConsentRequest struct {
	Taker       descriptor.InstanceID  `json:"taker"`
	Holder      descriptor.InstanceID  `json:"holder"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	// Sequence is that of the holder's renewal row on which the takeover is
	// conditional.
	Sequence uint64 `json:"sequence"`
}

// ConsentReply is the answer to a ConsentRequest. The takeover must be
// conditional on the session of the instance that consented.
type ConsentReply struct {
	Given   bool    `json:"given"`
	Session Session `json:"session"`
}

type pledges struct{ since time.Time }

func newPledges(now time.Time) pledges { return pledges{since: now} }

func (l *Leaser) promiseLoop(ctx context.Context) { <-ctx.Done() }

// HandlePromise answers a promise request of another instance.
func (l *Leaser) HandlePromise(PromiseRequest) PromiseReply { return PromiseReply{} }

// HandleConsent answers a consent request of another instance.
func (l *Leaser) HandleConsent(ConsentRequest) ConsentReply { return ConsentReply{} }
