package server

import (
	"encoding/json"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Finding describes one error in the input of a caller or operator.
type Finding struct {
	// Field is the name of the invalid field, parameter or header.
	Field   string `json:"field"`
	Message string `json:"message"`
	// Line and Column are the position in a rules file, starting at 1.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// ErrorBody is the response body of a call that failed.
type ErrorBody struct {
	ID       string    `json:"id"`
	Findings []Finding `json:"findings,omitempty"`
	// Error describes a failure of the instance.
	Error        string `json:"error,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// Current is the version of the rules in force if another one was expected.
	Current *RulesInfo `json:"current,omitempty"`
}

// OutcomeBody is the response body with the state of a request. Outcome is Pending
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

// Pending is the value of OutcomeBody.Outcome for a request that has not ended.
const Pending = "pending"

// newOutcomeBody returns the response body for a request with the given state.
func newOutcomeBody(key descriptor.Key, state RequestState) OutcomeBody {
	if state.isPending() {
		return OutcomeBody{ID: string(key.ID), Caller: key.Caller, Outcome: Pending}
	}
	o := state.Outcome
	body := OutcomeBody{
		ID: string(key.ID), Caller: key.Caller, Outcome: o.Kind().String(), RetryAfterMs: ceilMs(o.RetryAfter()),
		Detail: o.Detail(), Target: o.Target(), WaitMs: toMs(o.Wait()), RunMs: toMs(o.Run()), Result: o.Result(),
	}
	if o.Reason() != descriptor.ReasonNone {
		body.Reason = o.Reason().String()
	}
	return body
}

// RulesBody is the response body with a version of the rules.
type RulesBody struct {
	ID string `json:"id"`
	RulesInfo
}

// CheckBody is the response body for a valid rules file.
type CheckBody struct {
	ID       string    `json:"id"`
	Findings []Finding `json:"findings"`
}

// HistoryBody is the response body with the versions of the rules, newest first.
type HistoryBody struct {
	ID       string      `json:"id"`
	Versions []RulesInfo `json:"versions"`
}

// RulesStatusBody is the response body with the rules version of each instance.
type RulesStatusBody struct {
	ID        string        `json:"id"`
	Instances []RulesStatus `json:"instances"`
}

// InstancesBody is the response body with all known instances.
type InstancesBody struct {
	ID        string         `json:"id"`
	Instances []InstanceInfo `json:"instances"`
}

// ForgetBody is the response body for the removal of an instance's session.
type ForgetBody struct {
	ID       string                `json:"id"`
	Instance descriptor.InstanceID `json:"instance"`
}

// TargetsBody is the response body with all known targets.
type TargetsBody struct {
	ID      string       `json:"id"`
	Targets []TargetInfo `json:"targets"`
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ceilMs converts d to milliseconds. It rounds up, so that a retry is never too
// early and a delay below 1 ms does not become 0, which means no retry.
func ceilMs(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
