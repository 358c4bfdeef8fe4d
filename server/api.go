// Package server implements the HTTP API of an instance for callers and operators.
//
// A request is handled in three stages: decode validates the input and collects
// all findings, handle calls one of the interfaces below, and encode writes the
// response with the request ID. The package makes no scheduling decisions.
package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Requests executes the operations that callers request.
type Requests interface {
	// Submit accepts a request, or joins the one with the same key, and waits up
	// to s.Wait for its outcome. A refusal is an outcome, not an error. After an
	// error it is unknown whether the request runs.
	Submit(ctx context.Context, s Submission) (RequestState, error)
	// Status waits up to wait for the outcome of a request. It returns false if
	// the request is unknown.
	Status(ctx context.Context, key descriptor.Key, wait time.Duration) (RequestState, bool, error)
	// Cancel cancels a request. It returns false if the request is unknown.
	Cancel(ctx context.Context, key descriptor.Key) (RequestState, bool, error)
}

// Submission is a request as sent by a caller, before the rules are applied to it.
type Submission struct {
	Key  descriptor.Key
	Kind descriptor.KindName
	// Tasks is the number of tasks, or 0 for the default of the kind.
	Tasks int
	// Resources is nil for the default of the kind.
	Resources *descriptor.Resources
	// DeclaredRun and Deadline are 0 for the defaults of the kind.
	DeclaredRun time.Duration
	Deadline    time.Duration
	Payload     json.RawMessage
	// Wait is the maximum time that the caller waits for the outcome.
	Wait time.Duration
}

// RequestState is the state of a request. Outcome is zero while Pending is set.
type RequestState struct {
	Pending bool
	Outcome descriptor.Outcome
}

// isPending reports whether the request has no known outcome.
func (s RequestState) isPending() bool { return s.Pending || s.Outcome.IsZero() }

// Rules lets operators read and change the rules of the cell.
type Rules interface {
	// Current returns the rules in force on this instance, including their body.
	Current() RulesInfo
	// Check returns parser.Findings if body is not a valid rules file.
	Check(body []byte) error
	// Apply makes body the rules of all instances if expected is still the
	// current version. Its errors include parser.Findings, *ConflictError,
	// connector.ErrUnavailable and connector.ErrAmbiguous.
	Apply(ctx context.Context, expected descriptor.RulesVersion, author string, body []byte) (descriptor.RulesVersion, error)
	// History returns up to limit versions, newest first, without their bodies.
	History(ctx context.Context, limit int) ([]RulesInfo, error)
	// Status returns the version in force on each instance.
	Status(ctx context.Context) ([]RulesStatus, error)
}

// RulesInfo describes one version of the rules.
type RulesInfo struct {
	Version descriptor.RulesVersion `json:"version"`
	Hash    string                  `json:"hash,omitempty"`
	Author  string                  `json:"author,omitempty"`
	Applied time.Time               `json:"applied,omitzero"`
	Body    string                  `json:"body,omitempty"`
}

// RulesStatus is the version of the rules in force on one instance.
type RulesStatus struct {
	Instance   descriptor.InstanceID   `json:"instance"`
	DataCentre descriptor.DataCentreID `json:"dataCentre"`
	Version    descriptor.RulesVersion `json:"version"`
	// Since is the time at which the version was first observed on the instance.
	Since     time.Time `json:"since,omitzero"`
	Reachable bool      `json:"reachable"`
}

// ConflictError is returned if the current version of the rules is not the one
// that the operator expected. Nothing was changed.
type ConflictError struct {
	Expected descriptor.RulesVersion
	Current  RulesInfo
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("rules version %d is in force, not %d", e.Current.Version, e.Expected)
}

// Cell gives access to the instances and targets of the cell that this instance
// knows.
type Cell interface {
	Instances(ctx context.Context) ([]InstanceInfo, error)
	Targets(ctx context.Context) ([]TargetInfo, error)
	// Forget removes the session of an instance that has ended, so that other
	// instances take over its slices. It returns *ForgetError if the session
	// can't be removed.
	Forget(ctx context.Context, instance descriptor.InstanceID) error
}

// ForgetError is the reason why an instance can't be removed. Nothing was changed.
type ForgetError struct {
	Instance descriptor.InstanceID
	// DataCentre is set if the instance belongs to another data centre.
	DataCentre descriptor.DataCentreID
	// State is set if the instance is still a member, for example alive or suspect.
	State string
}

// Error implements error.
func (e *ForgetError) Error() string {
	switch {
	case e.DataCentre != "":
		return fmt.Sprintf("instance %s belongs to data centre %s; ask an instance of %s", e.Instance, e.DataCentre, e.DataCentre)
	case e.State != "":
		return fmt.Sprintf("instance %s is %s; only an instance that has ended can be removed", e.Instance, e.State)
	default:
		return fmt.Sprintf("instance %s has no session in any data centre", e.Instance)
	}
}

// InstanceInfo describes an instance of the cell.
type InstanceInfo struct {
	ID          descriptor.InstanceID   `json:"id"`
	DataCentre  descriptor.DataCentreID `json:"dataCentre"`
	Incarnation descriptor.Incarnation  `json:"incarnation"`
	// State is alive, suspect, leaving or removed.
	State       string                  `json:"state"`
	PeerAddress string                  `json:"peerAddress,omitempty"`
	Version     descriptor.RulesVersion `json:"rulesVersion"`
	Slices      int                     `json:"slices"`
	Queued      int                     `json:"queued"`
	Running     int                     `json:"running"`
}

// TargetInfo describes a target.
type TargetInfo struct {
	ID         descriptor.TargetID     `json:"id"`
	DataCentre descriptor.DataCentreID `json:"dataCentre"`
	Rack       descriptor.RackID       `json:"rack,omitempty"`
	Owner      descriptor.InstanceID   `json:"owner,omitempty"`
	// State is placeable, leaving, quarantined or unreachable.
	State    string               `json:"state"`
	Capacity descriptor.Resources `json:"capacity"`
	Used     descriptor.Resources `json:"used"`
}

// Health reports the health of the instance.
type Health interface {
	// Ready returns nil, or the reason why the instance can't serve callers now.
	Ready() error
	// Live returns nil, or the reason why the process must be restarted.
	Live() error
}
