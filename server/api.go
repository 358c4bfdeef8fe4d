// Package server is the HTTP API of an instance for callers and operators.
//
// A request passes through three stages: decode collects all findings of the
// input, handle asks one of the interfaces below, and encode writes the answer
// with the request's id. The package decides nothing about scheduling.
package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Requests carries out what callers ask for.
type Requests interface {
	// Submit accepts or joins a request and waits up to s.Wait for its outcome.
	// A refusal is an outcome, not an error. After an error the caller does not
	// know whether the request runs.
	Submit(ctx context.Context, s Submission) (Answer, error)
	// Status waits up to wait for the outcome of a request. It reports false if
	// the request is not known.
	Status(ctx context.Context, key descriptor.Key, wait time.Duration) (Answer, bool, error)
	// Cancel ends a request. It reports false if the request is not known.
	Cancel(ctx context.Context, key descriptor.Key) (Answer, bool, error)
}

// Submission is a request as a caller sent it, before the rules are applied.
type Submission struct {
	Key  descriptor.Key
	Kind descriptor.KindName
	// Tasks is 0 if the kind's own number applies.
	Tasks int
	// Resources is nil if the kind's own resources apply.
	Resources *descriptor.Resources
	// DeclaredRun and Deadline are 0 if those of the kind apply.
	DeclaredRun time.Duration
	Deadline    time.Duration
	Payload     json.RawMessage
	// Wait is how long the caller waits for the outcome.
	Wait time.Duration
}

// Answer is the state of a request. Outcome is zero while Pending.
type Answer struct {
	Pending bool
	Outcome descriptor.Outcome
}

// open reports whether the request is not known to have ended.
func (a Answer) open() bool { return a.Pending || a.Outcome.IsZero() }

// Rules gives operators access to the rules of the cell.
type Rules interface {
	// Current returns the rules in force on this instance, with their body.
	Current() RulesInfo
	// Check returns parser.Findings if body is not a valid rules file.
	Check(body []byte) error
	// Apply puts body in force everywhere if expected is still the current
	// version. It fails with parser.Findings, *ConflictError,
	// connector.ErrUnavailable or connector.ErrAmbiguous.
	Apply(ctx context.Context, expected descriptor.RulesVersion, author string, body []byte) (descriptor.RulesVersion, error)
	// History returns up to limit versions without their bodies, newest first.
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

// RulesStatus is the version in force on one instance.
type RulesStatus struct {
	Instance   descriptor.InstanceID   `json:"instance"`
	DataCentre descriptor.DataCentreID `json:"dataCentre"`
	Version    descriptor.RulesVersion `json:"version"`
	// Since is when the version was first seen there.
	Since     time.Time `json:"since,omitzero"`
	Reachable bool      `json:"reachable"`
}

// ConflictError says that another version of the rules is in force than the
// operator expected. Nothing was changed.
type ConflictError struct {
	Expected descriptor.RulesVersion
	Current  RulesInfo
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("rules version %d is in force, not %d", e.Current.Version, e.Expected)
}

// Cell lists what this instance knows of the cell.
type Cell interface {
	Instances(ctx context.Context) ([]InstanceInfo, error)
	Targets(ctx context.Context) ([]TargetInfo, error)
	// Forget removes the session of an instance that has ended, so that others
	// take over its slices. It fails with *ForgetError if it does not apply.
	Forget(ctx context.Context, instance descriptor.InstanceID) error
}

// ForgetError says why an instance can't be removed. Nothing was changed.
type ForgetError struct {
	Instance descriptor.InstanceID
	// DataCentre is set if the instance belongs to another data centre.
	DataCentre descriptor.DataCentreID
	// State is set if the instance is still a member, such as alive or suspect.
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

// InstanceInfo describes an entry instance.
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

// Health says whether the instance works.
type Health interface {
	// Ready returns why the instance can't serve callers now, or nil.
	Ready() error
	// Live returns why the process must be replaced, or nil.
	Live() error
}
