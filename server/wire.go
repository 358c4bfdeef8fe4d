package server

import (
	"encoding/json"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Finding is one fault of a caller's or operator's input.
type Finding struct {
	// Field is the field, parameter or header at fault.
	Field   string `json:"field"`
	Message string `json:"message"`
	// Line and Column are the position in a rules file, counted from 1.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// FaultBody is the body of an answer without a result.
type FaultBody struct {
	ID       string    `json:"id"`
	Findings []Finding `json:"findings,omitempty"`
	// Error says what failed on our side.
	Error        string `json:"error,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// Current is the version in force after a conflict.
	Current *RulesInfo `json:"current,omitempty"`
}

// OutcomeBody is the answer to a caller about one request. Outcome is "pending"
// or the name of an outcome kind.
type OutcomeBody struct {
	ID           string              `json:"id"`
	Caller       descriptor.CallerID `json:"caller"`
	Outcome      string              `json:"outcome"`
	Reason       string              `json:"reason,omitempty"`
	RetryAfterMs int64               `json:"retryAfterMs,omitempty"`
	Detail       string              `json:"detail,omitempty"`
	Target       descriptor.TargetID `json:"target,omitempty"`
	WaitMs       float64             `json:"waitMs"`
	RunMs        float64             `json:"runMs"`
	Result       json.RawMessage     `json:"result,omitempty"`
}

// Pending is the outcome of a request that has not ended.
const Pending = "pending"

// newOutcomeBody describes an answer about the request with the given key.
func newOutcomeBody(key descriptor.Key, a Answer) OutcomeBody {
	if a.open() {
		return OutcomeBody{ID: string(key.ID), Caller: key.Caller, Outcome: Pending}
	}
	o := a.Outcome
	body := OutcomeBody{
		ID: string(key.ID), Caller: key.Caller, Outcome: o.Kind().String(), RetryAfterMs: ceilMs(o.RetryAfter()),
		Detail: o.Detail(), Target: o.Target(), WaitMs: toMs(o.Wait()), RunMs: toMs(o.Run()), Result: o.Result(),
	}
	if o.Reason() != descriptor.ReasonNone {
		body.Reason = o.Reason().String()
	}
	return body
}

// RulesBody is the answer about the rules in force.
type RulesBody struct {
	ID string `json:"id"`
	RulesInfo
}

// CheckBody is the answer to a check without findings.
type CheckBody struct {
	ID       string    `json:"id"`
	Findings []Finding `json:"findings"`
}

// HistoryBody is the answer with the versions of the rules, newest first.
type HistoryBody struct {
	ID       string      `json:"id"`
	Versions []RulesInfo `json:"versions"`
}

// RulesStatusBody is the answer with the version on each instance.
type RulesStatusBody struct {
	ID        string        `json:"id"`
	Instances []RulesStatus `json:"instances"`
}

// InstancesBody is the answer with all known instances.
type InstancesBody struct {
	ID        string         `json:"id"`
	Instances []InstanceInfo `json:"instances"`
}

// ForgetBody is the answer after the session of an instance was removed.
type ForgetBody struct {
	ID       string                `json:"id"`
	Instance descriptor.InstanceID `json:"instance"`
}

// TargetsBody is the answer with all known targets.
type TargetsBody struct {
	ID      string       `json:"id"`
	Targets []TargetInfo `json:"targets"`
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ceilMs rounds up, so that a retry is never too early and a wait under 1 ms
// does not turn into "never".
func ceilMs(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
