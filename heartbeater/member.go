// Package heartbeater keeps each instance's view of the other instances: of its
// own data centre by heartbeats, of the other data centres by digests that a few
// links carry.
package heartbeater

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the state of a member as this instance sees it.
type State uint8

// The states of a member.
const (
	Alive   State = iota // alive
	Suspect              // suspect
	Leaving              // leaving
)

// LoadReport is how busy a member is.
type LoadReport struct {
	Queued  int `json:"queued"`  // waiting requests
	Running int `json:"running"` // running tasks
	// FreeFraction is the free part of the member's capacity, in [0, 1]. It is
	// carried in thousandths.
	FreeFraction float64 `json:"freeFraction"`
	WaitMs       int64   `json:"waitMs"` // predicted wait of new work
}

// Member is an instance as this instance sees it.
type Member struct {
	ID          descriptor.InstanceID
	Incarnation descriptor.Incarnation
	DataCentre  descriptor.DataCentreID
	// PeerAddress and HTTPAddress are host:port.
	PeerAddress, HTTPAddress string
	State                    State
	Rules                    descriptor.RulesVersion
	// RulesSince is when the member installed its rules, on its own clock.
	RulesSince time.Time
	Load       LoadReport
	// LastHeard is when its last heartbeat came in, or the last digest that
	// lists it, on our clock.
	LastHeard time.Time
}
