package admitter

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/sequencer"
)

// meter measures the demand for one class, its service while it is backlogged,
// and the work that was refused lately. Rates are in fractions of the capacity.
type meter struct {
	class   sequencer.Class
	at      time.Time
	backlog Backlog
	run     float64 // fading mean run time in seconds
	work    float64 // fading work served while backlogged
	busy    float64 // fading seconds with a backlog
	offered float64 // fading work that arrived
	refused float64 // fading work that was refused
	// got is the class's part of the capacity by its demand, and available what
	// it may get at most.
	got, available float64
}

// window returns the time over which the class's service is measured.
func (m *meter) window() float64 {
	return min(max(window.Seconds(), runsPerWindow*m.run), maxWindow.Seconds())
}

// demandWindow returns the time over which the class's demand is measured.
func (m *meter) demandWindow() float64 {
	return max(demandWindow.Seconds(), m.window()/runsPerWindow)
}

// advance fades the meter and counts the time since its last event.
func (m *meter) advance(now time.Time) {
	dt := now.Sub(m.at).Seconds()
	if dt <= 0 {
		return
	}
	keep := math.Exp(-dt / m.window())
	m.work *= keep
	m.busy *= keep
	m.refused *= keep
	m.offered *= math.Exp(-dt / m.demandWindow())
	if m.backlog.Requests > 0 {
		m.busy += min(dt, m.window())
	}
	m.at = now
}

// arrived counts work towards the demand.
func (m *meter) arrived(work float64, run time.Duration) {
	m.offered += work
	if m.run == 0 {
		m.run = run.Seconds()
	}
	m.run += (run.Seconds() - m.run) * 0.02
}

// demand returns the rate at which work arrives. A backlog is demand too.
func (m *meter) demand() float64 {
	return m.offered/m.demandWindow() + m.backlog.Work/m.window()
}

// rate returns the rate at which the class's backlog is served. The available
// rate counts less the longer there has been a backlog to measure with.
func (m *meter) rate() float64 {
	prior := max(priorPart*(m.window()-m.busy), 0.01)
	return max((m.work+m.available*prior)/(m.busy+prior), minRate)
}

// callerRate returns the rate at which the caller's own backlog is served: its
// fair share of the class, or what the other callers leave if that is more.
func (m *meter) callerRate(q Question) float64 {
	rate := m.rate()
	others := max(m.offered/m.demandWindow()-q.CallerOffered, 0)
	return max(rate*q.Share, rate-others)
}
