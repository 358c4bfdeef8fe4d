// Package admitter implements admission control: it decides on the arrival of a
// request whether the request is queued or refused.
package admitter

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/estimator"
	"github.com/masticlead/masticlead/sequencer"
)

// Backlog is the amount of queued work. Work is in seconds of the whole capacity.
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

// Candidate is a request to be admitted or refused, with the state of the queues
// that the decision depends on.
type Candidate struct {
	Request *descriptor.Request
	Class   sequencer.Class
	RunTime estimator.Estimate
	// Cost is the amount that the request would add to each backlog.
	Cost Backlog
	// CallerClassBacklog, ClassBacklog and TotalBacklog are the queued work of the
	// caller in this class, of the class, and of all classes, without the request.
	CallerClassBacklog, ClassBacklog, TotalBacklog Backlog
	// CallerShare is the fraction of the class's service that fair queueing gives to
	// the caller.
	CallerShare float64
	// CallerOfferedLoad is the work per second that the caller submitted recently.
	CallerOfferedLoad float64
	// CallerBacklog is the queued work of the caller in all classes.
	CallerBacklog Backlog
	// MaxCallerRequests limits the caller's queued requests; 0 means the default.
	MaxCallerRequests int
}

// Policy decides on admission. It is not safe for concurrent use.
type Policy interface {
	// SetWeights sets the operators' weights.
	SetWeights(w descriptor.Weights)
	// Admit returns nil if the request may be queued.
	Admit(now time.Time, c Candidate) *descriptor.Refusal
	// RecordStart records that queued work of a class has started, and the backlog
	// of the class that remains.
	RecordStart(now time.Time, c sequencer.Class, work float64, remaining Backlog)
	// PredictWait predicts the time until the last request of a backlog of the class
	// starts.
	PredictWait(now time.Time, c sequencer.Class, b Backlog) time.Duration
}

// AdmitAll is the baseline policy. It admits every request.
type AdmitAll struct{}

// SetWeights does nothing.
func (AdmitAll) SetWeights(descriptor.Weights) {}

// Admit returns nil.
func (AdmitAll) Admit(time.Time, Candidate) *descriptor.Refusal { return nil }

// RecordStart does nothing.
func (AdmitAll) RecordStart(time.Time, sequencer.Class, float64, Backlog) {}

// PredictWait returns 0.
func (AdmitAll) PredictWait(time.Time, sequencer.Class, Backlog) time.Duration { return 0 }
