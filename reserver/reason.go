package reserver

import (
	"log/slog"
	"sync"
	"time"

	"github.com/masticlead/masticlead/meter"
)

// Reason is the reason for which a client is refused or its connection is closed.
//
//go:generate go tool stringer -type=Reason -linecomment
type Reason uint8

// Reasons of refusals.
const (
	ReasonBodyMemory  Reason = iota // bodyMemory
	ReasonBodyTimeout               // bodyTimeout
	ReasonBodyStalled               // bodyStalled
	ReasonExpansion                 // expansion
	ReasonWaiting                   // waitingConnection
	ReasonAllActive                 // allConnectionsActive
	reasonCount                     // count
)

// logInterval is the time between two log lines with the same reason.
const logInterval = time.Second

// Refusals counts the refusals of clients and logs them at a limited rate. Its exported
// fields must be set before use. A nil Refusals does nothing.
type Refusals struct {
	Log   *slog.Logger
	Meter *meter.Meter

	mu     sync.Mutex
	counts [reasonCount]int
	logged [reasonCount]time.Time
}

// Note counts a refusal.
func (r *Refusals) Note(reason Reason) {
	if r == nil {
		return
	}
	r.Meter.Count("clientRefused", reason.String())
	r.mu.Lock()
	r.counts[reason]++
	n, now := r.counts[reason], time.Now()
	due := now.Sub(r.logged[reason]) >= logInterval
	if due {
		r.counts[reason], r.logged[reason] = 0, now
	}
	r.mu.Unlock()
	if due {
		r.Log.Warn("clients refused", "reason", reason, "count", n)
	}
}
