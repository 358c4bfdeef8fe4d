package descriptor

import (
	"encoding/json"
	"time"
)

// OutcomeKind says how a request ended.
type OutcomeKind uint8

// The kinds of outcome.
const (
	Completed OutcomeKind = iota + 1 // completed
	Failed                           // failed
	Refused                          // refused
	Cancelled                        // cancelled
	Unknown                          // unknown
)

// Reason says why a request was refused, or why its outcome is not known.
type Reason uint8

// The reasons for a refusal.
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

// Outcome is the final answer to a request. Its fields are private, so that a
// refusal can only come from an Unstarted token.
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

// Reason returns why the request was refused or is undetermined; ReasonNone
// otherwise.
func (o Outcome) Reason() Reason { return o.reason }

// RetryAfter returns when a refused request may be sent again; 0 means never.
func (o Outcome) RetryAfter() time.Duration { return o.retryAfter }

// Detail returns a sentence for people.
func (o Outcome) Detail() string { return o.detail }

// Target returns where the request ran. For a gang it is the target of task 0.
func (o Outcome) Target() TargetID { return o.target }

// Wait returns the time from acceptance to the start.
func (o Outcome) Wait() time.Duration { return o.wait }

// Run returns the time from the start to the end.
func (o Outcome) Run() time.Duration { return o.run }

// Result returns what the target answered.
func (o Outcome) Result() json.RawMessage { return o.result }

// IsZero reports whether o holds no outcome.
func (o Outcome) IsZero() bool { return o.kind == 0 }

// Refusal says why a request was not run and when to send it again.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	Detail     string
}

// Undetermined returns the answer of an instance that can't reach the owner of
// the request, and so can't prove that the request was not run. The caller gets
// the true outcome by sending the same request again.
func Undetermined(r Refusal) Outcome {
	return Outcome{kind: Unknown, reason: r.Reason, retryAfter: r.RetryAfter, detail: r.Detail}
}

// Unstarted is a request of which no task can have started. Only such a request
// can be refused. The zero value is not usable; see NewUnstarted.
type Unstarted struct{ spent bool }

// NewUnstarted returns the token of a request that was just received.
func NewUnstarted() *Unstarted { return &Unstarted{} }

// Refuse ends the request without a run.
func (u *Unstarted) Refuse(r Refusal) Outcome {
	u.spend()
	return Outcome{kind: Refused, reason: r.Reason, retryAfter: r.RetryAfter, detail: r.Detail}
}

// Cancel ends the request without a run, on the caller's wish.
func (u *Unstarted) Cancel() Outcome {
	u.spend()
	return Outcome{kind: Cancelled, reason: ReasonCancelledUnstarted}
}

// Start turns the request into one that may have started. It is called before
// the first start order is sent.
func (u *Unstarted) Start() *Started {
	u.spend()
	return &Started{}
}

// spend marks the token as used. Using a token twice would allow a refusal of
// work that has started, so it is a programming error.
func (u *Unstarted) spend() {
	if u.spent {
		panic("descriptor: unstarted token used twice")
	}
	u.spent = true
}

// Started is a request of which a task may have started.
type Started struct{ spent bool }

// Run describes where and when a request ran.
type Run struct {
	Target    TargetID
	Wait, Run time.Duration
	Result    json.RawMessage
	Detail    string
}

func (s *Started) end(kind OutcomeKind, r Run) Outcome {
	if s.spent {
		panic("descriptor: started token used twice")
	}
	s.spent = true
	return Outcome{kind: kind, target: r.Target, wait: r.Wait, run: r.Run, result: r.Result, detail: r.Detail}
}

// Complete ends the request with its result.
func (s *Started) Complete(r Run) Outcome { return s.end(Completed, r) }

// Fail ends the request after a task failed.
func (s *Started) Fail(r Run) Outcome { return s.end(Failed, r) }

// Cancel ends the request after its tasks were stopped.
func (s *Started) Cancel(r Run) Outcome { return s.end(Cancelled, r) }

// Lose ends the request with an unknown outcome.
func (s *Started) Lose(r Run) Outcome { return s.end(Unknown, r) }

// NonStart is a proof that no task of an attempt started or ever can.
type NonStart uint8

// The proofs of a non-start.
const (
	// RejectedByTarget means that every target answered that it did not start
	// the task.
	RejectedByTarget NonStart = iota + 1
	// NeverSent means that no order left this instance.
	NeverSent
	// AbsentAfterDeadline means that the targets' lists lack the tasks, read
	// after the start deadline had passed on the targets' clocks.
	AbsentAfterDeadline
)

// NotRun turns the request back into an unstarted one. The proof states why no
// task can have run.
func (s *Started) NotRun(proof NonStart) *Unstarted {
	if proof == 0 {
		panic("descriptor: non-start without proof")
	}
	if s.spent {
		panic("descriptor: started token used twice")
	}
	s.spent = true
	return NewUnstarted()
}

// outcomeWire is the form of an outcome between processes and in the store.
type outcomeWire struct {
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

// MarshalJSON encodes the outcome with its kind and reason as names.
func (o Outcome) MarshalJSON() ([]byte, error) {
	w := outcomeWire{
		Outcome: o.kind.String(), RetryAfterMs: o.retryAfter.Milliseconds(), Detail: o.detail,
		Target: o.target, WaitMs: milliseconds(o.wait), RunMs: milliseconds(o.run), Result: o.result,
	}
	if o.reason != ReasonNone {
		w.Reason = o.reason.String()
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes an outcome that another instance decided on.
func (o *Outcome) UnmarshalJSON(b []byte) error {
	var w outcomeWire
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
