// Package heartbeater implements the membership of instances. An instance tracks the
// other instances of its data centre by heartbeats, and those of other data centres
// by digests that are exchanged on a few links between data centres.
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

// LoadReport is the load of a member.
type LoadReport struct {
	Queued  int `json:"queued"`  // waiting requests
	Running int `json:"running"` // running tasks
	// FreeFraction is the free fraction of the member's capacity, in [0, 1]. It is
	// encoded in thousandths.
	FreeFraction float64 `json:"freeFraction"`
	WaitMs       int64   `json:"waitMs"` // predicted wait of a new request
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
	// RulesSince is the time at which the member installed its rules, on the
	// member's clock.
	RulesSince time.Time
	Load       LoadReport
	// LastHeard is the time of receipt of its last heartbeat or of the last
	// digest that lists it, on the clock of this instance.
	LastHeard time.Time
}
