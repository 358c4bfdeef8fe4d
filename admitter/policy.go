// Package admitter decides at once whether a request is queued or refused.
package admitter

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/estimator"
	"github.com/masticlead/masticlead/sequencer"
)

// Backlog is what waits. Work is in fractions of the capacity times seconds.
type Backlog struct {
	Requests int
	Bytes    descriptor.Bytes
	Work     float64
}

// Add returns b plus o.
func (b Backlog) Add(o Backlog) Backlog {
	return Backlog{b.Requests + o.Requests, b.Bytes + o.Bytes, b.Work + o.Work}
}

// Sub returns b minus o.
func (b Backlog) Sub(o Backlog) Backlog {
	return Backlog{b.Requests - o.Requests, b.Bytes - o.Bytes, b.Work - o.Work}
}

// Question describes a request that asks for admission.
type Question struct {
	Request *descriptor.Request
	Class   sequencer.Class
	Run     estimator.Estimate
	// Own is what the request would add.
	Own Backlog
	// Caller, InClass and Total are what waits already: of the caller in this
	// class, in the class, and altogether.
	Caller, InClass, Total Backlog
	// Share is the fraction of the class's service that the caller gets in fair
	// order.
	Share float64
	// CallerOffered is the work per second that the caller has sent lately.
	CallerOffered float64
	// CallerTotal is what waits of the caller in all classes.
	CallerTotal Backlog
	// CallerMax bounds the caller's waiting requests; 0 means the default.
	CallerMax int
}

// Policy decides on admission. It is not safe for concurrent use.
type Policy interface {
	// SetWeights takes over the operators' weights.
	SetWeights(w descriptor.Weights)
	// Admit returns nil if the request may wait.
	Admit(now time.Time, q Question) *descriptor.Refusal
	// Served tells the policy that work of a class has started, and what of the
	// class still waits.
	Served(now time.Time, c sequencer.Class, work float64, left Backlog)
	// Wait predicts how long a backlog of the class takes to start.
	Wait(now time.Time, c sequencer.Class, b Backlog) time.Duration
}

// Everything is the plain baseline: it admits all.
type Everything struct{}

// SetWeights does nothing.
func (Everything) SetWeights(descriptor.Weights) {}

// Admit returns nil.
func (Everything) Admit(time.Time, Question) *descriptor.Refusal { return nil }

// Served does nothing.
func (Everything) Served(time.Time, sequencer.Class, float64, Backlog) {}

// Wait returns 0.
func (Everything) Wait(time.Time, sequencer.Class, Backlog) time.Duration { return 0 }
