package descriptor

import (
	"encoding/json"
	"time"
)

// OutcomeKind is the way in which a request ended.
type OutcomeKind uint8

// Outcome kinds.
const (
	Completed OutcomeKind = iota + 1 // completed
	Failed                           // failed
	Refused                          // refused
	Cancelled                        // cancelled
	Unknown                          // unknown
)

// Reason is the reason why a request was refused, was cancelled before it
// started, or has an unknown outcome.
type Reason uint8

// Reasons of outcomes.
const (
	ReasonNone               Reason = iota // none
	ReasonNotAllowed                       // notAllowed
	ReasonUnknownKind                      // unknownKind
	ReasonNeverFits                        // neverFits
	ReasonDeadlineUnmet                    // deadlineUnmet
	ReasonDeadlinePassed                   // deadlinePassed
	ReasonQueueFull                        // queueFull
	ReasonCallerQueueFull                  // callerQueueFull
	ReasonQuota                            // quota
	ReasonStoreUnavailable                 // storeUnavailable
	ReasonHomeUnreachable                  // homeUnreachable
	ReasonRecovering                       // recovering
	ReasonNoRules                          // noRules
	ReasonShuttingDown                     // shuttingDown
	ReasonOwnerUnreachable                 // ownerUnreachable
	ReasonNoTargets                        // noTargets
	ReasonRetryBudgetSpent                 // retryBudgetSpent
	ReasonTargetsRejected                  // targetsRejected
	ReasonCancelledUnstarted               // cancelledUnstarted
)

// Outcome is the final result of a request. Its fields are unexported so that
// only an Unstarted token can produce a refusal.
type Outcome struct {
	kind       OutcomeKind
	reason     Reason
	retryAfter time.Duration
	detail     string
	target     TargetID
	wait, run  time.Duration
	result     json.RawMessage
}

// Kind returns how the request ended.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Reason returns why the request was refused, was cancelled before it started,
// or has an unknown outcome. Otherwise it returns ReasonNone.
func (o Outcome) Reason() Reason { return o.reason }

// RetryAfter returns the delay after which a refused request may be resent; with
// 0 it may not be resent at all.
func (o Outcome) RetryAfter() time.Duration { return o.retryAfter }

// Detail returns a human-readable explanation of the outcome.
func (o Outcome) Detail() string { return o.detail }

// Target returns the target on which the request ran. For a gang it is the
// target of task 0.
func (o Outcome) Target() TargetID { return o.target }

// Wait returns the time from the acceptance of the request to its start.
func (o Outcome) Wait() time.Duration { return o.wait }

// Run returns the time from the start of the request to its end.
func (o Outcome) Run() time.Duration { return o.run }

// Result returns the result that the target reported.
func (o Outcome) Result() json.RawMessage { return o.result }

// IsZero reports whether o is the zero value, which is not a valid outcome.
func (o Outcome) IsZero() bool { return o.kind == 0 }

// Refusal describes why a request was not run and when the caller may resend it.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	Detail     string
}

// Undetermined returns an outcome of kind Unknown. An instance returns it
// when it can't reach the owner of the request and so can't prove that the
// request did not run. The caller obtains the actual outcome by resending the
// same request.
func Undetermined(r Refusal) Outcome {
	return Outcome{kind: Unknown, reason: r.Reason, retryAfter: r.RetryAfter, detail: r.Detail}
}

// Unstarted is a single-use token for a request of which no task can have
// started. Only such a request can be refused. The zero value is not usable;
// see NewUnstarted.
type Unstarted struct{ consumed bool }

// NewUnstarted returns the token for a newly received request.
func NewUnstarted() *Unstarted { return &Unstarted{} }

// Refuse ends the request without running it.
func (u *Unstarted) Refuse(r Refusal) Outcome {
	u.consume()
	return Outcome{kind: Refused, reason: r.Reason, retryAfter: r.RetryAfter, detail: r.Detail}
}

// Cancel ends the request without running it, as asked by the caller.
func (u *Unstarted) Cancel() Outcome {
	u.consume()
	return Outcome{kind: Cancelled, reason: ReasonCancelledUnstarted}
}

// Start converts the token into one for a request that may have started. It must
// be called before the first start order is sent.
func (u *Unstarted) Start() *Started {
	u.consume()
	return &Started{}
}

// consume marks the token as used. It panics if the token was already used,
// because a second use could refuse a request that has started.
func (u *Unstarted) consume() {
	if u.consumed {
		panic("descriptor: Unstarted token used twice")
	}
	u.consumed = true
}

// Started is a single-use token for a request of which a task may have started.
type Started struct{ consumed bool }

// Run describes the run of a request: its target, timing and result.
type Run struct {
	Target    TargetID
	Wait, Run time.Duration
	Result    json.RawMessage
	Detail    string
}

func (s *Started) end(kind OutcomeKind, r Run) Outcome {
	if s.consumed {
		panic("descriptor: Started token used twice")
	}
	s.consumed = true
	return Outcome{kind: kind, target: r.Target, wait: r.Wait, run: r.Run, result: r.Result, detail: r.Detail}
}

// Complete ends the request as completed, with its result.
func (s *Started) Complete(r Run) Outcome { return s.end(Completed, r) }

// Fail ends the request as failed, after a task has failed.
func (s *Started) Fail(r Run) Outcome { return s.end(Failed, r) }

// Cancel ends the request as cancelled, after its tasks have been stopped.
func (s *Started) Cancel(r Run) Outcome { return s.end(Cancelled, r) }

// EndUnknown ends the request with an unknown outcome.
func (s *Started) EndUnknown(r Run) Outcome { return s.end(Unknown, r) }

// NonStartProof states how it is known that no task of an attempt has started or
// can still start.
type NonStartProof uint8

// Proofs that an attempt did not start.
const (
	// RejectedByTarget means that every target replied that it did not start its
	// task.
	RejectedByTarget NonStartProof = iota + 1
	// NeverSent means that this instance sent no start order.
	NeverSent
	// AbsentAfterDeadline means that the targets' task lists did not contain the
	// tasks when read after the start deadline, by the targets' clocks.
	AbsentAfterDeadline
)

// RevertToUnstarted converts the token back into an unstarted one. The proof
// states why no task can have run.
func (s *Started) RevertToUnstarted(proof NonStartProof) *Unstarted {
	if proof == 0 {
		panic("descriptor: RevertToUnstarted called without a proof")
	}
	if s.consumed {
		panic("descriptor: Started token used twice")
	}
	s.consumed = true
	return NewUnstarted()
}

// outcomeJSON is the encoding of an outcome on the wire and in the store.
type outcomeJSON struct {
	Outcome      string          `json:"outcome"`
	Reason       string          `json:"reason,omitempty"`
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
	Detail       string          `json:"detail,omitempty"`
	Target       TargetID        `json:"target,omitempty"`
	WaitMs       float64         `json:"waitMs"`
	RunMs        float64         `json:"runMs"`
	Result       json.RawMessage `json:"result,omitempty"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// MarshalJSON encodes the outcome, with its kind and reason as names.
func (o Outcome) MarshalJSON() ([]byte, error) {
	w := outcomeJSON{
		Outcome: o.kind.String(), RetryAfterMs: o.retryAfter.Milliseconds(), Detail: o.detail,
		Target: o.target, WaitMs: milliseconds(o.wait), RunMs: milliseconds(o.run), Result: o.result,
	}
	if o.reason != ReasonNone {
		w.Reason = o.reason.String()
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes an outcome that another instance has encoded.
func (o *Outcome) UnmarshalJSON(b []byte) error {
	var w outcomeJSON
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	kind, err := ParseOutcomeKind(w.Outcome)
	if err != nil {
		return err
	}
	reason := ReasonNone
	if w.Reason != "" {
		if reason, err = ParseReason(w.Reason); err != nil {
			return err
		}
	}
	*o = Outcome{
		kind: kind, reason: reason, retryAfter: time.Duration(w.RetryAfterMs) * time.Millisecond,
		detail: w.Detail, target: w.Target, wait: fromMilliseconds(w.WaitMs), run: fromMilliseconds(w.RunMs),
		result: w.Result,
	}
	return nil
}
