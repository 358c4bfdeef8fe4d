package admitter

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/sequencer"
)

// meter measures the offered load of one class, the rate at which its backlog is
// served, and the work that was refused recently. Rates are fractions of the
// capacity; the work sums decay exponentially.
type meter struct {
	class          sequencer.Class
	updatedAt      time.Time
	backlog        Backlog
	meanRunTime    float64 // moving average in seconds
	servedWork     float64 // decaying sum of the work that started during a backlog
	backloggedTime float64 // decaying sum of the seconds with a backlog
	offeredWork    float64 // decaying sum of the work that arrived
	refusedWork    float64 // decaying sum of the work that was refused
	// allocatedRate is the class's max-min fair allocation of the capacity, and
	// availableRate the most that the other classes leave to it.
	allocatedRate, availableRate float64
}

// rateWindow returns the time in seconds over which the service rate is measured.
func (m *meter) rateWindow() float64 {
	return min(max(minRateWindow.Seconds(), runsPerWindow*m.meanRunTime), maxRateWindow.Seconds())
}

// demandWindow returns the time in seconds over which the offered load is measured.
func (m *meter) demandWindow() float64 {
	return max(minDemandWindow.Seconds(), m.rateWindow()/runsPerWindow)
}

// advance applies the decay of the time since the last update and adds that time to
// backloggedTime if the class has a backlog.
func (m *meter) advance(now time.Time) {
	dt := now.Sub(m.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt / m.rateWindow())
	m.servedWork *= decay
	m.backloggedTime *= decay
	m.refusedWork *= decay
	m.offeredWork *= math.Exp(-dt / m.demandWindow())
	if m.backlog.Requests > 0 {
		m.backloggedTime += min(dt, m.rateWindow())
	}
	m.updatedAt = now
}

// recordArrival adds a request's work to the offered load and updates the mean run
// time.
func (m *meter) recordArrival(work float64, runTime time.Duration) {
	m.offeredWork += work
	if m.meanRunTime == 0 {
		m.meanRunTime = runTime.Seconds()
	}
	m.meanRunTime += (runTime.Seconds() - m.meanRunTime) * 0.02
}

// demand returns the rate that the class needs, for the work that arrives and for
// its backlog.
func (m *meter) demand() float64 {
	return m.offeredWork/m.demandWindow() + m.backlog.Work/m.rateWindow()
}

// serviceRate returns the rate at which the class's backlog is served. It combines
// the measured rate with availableRate as a prior, whose weight falls as the
// measured time with a backlog grows.
func (m *meter) serviceRate() float64 {
	priorTime := max(priorWeight*(m.rateWindow()-m.backloggedTime), 0.01)
	return max((m.servedWork+m.availableRate*priorTime)/(m.backloggedTime+priorTime), minRate)
}

// callerServiceRate returns the rate at which the caller's backlog in the class is
// served: its fair share of the class's rate, or the part of that rate that other
// callers don't use if that is more.
func (m *meter) callerServiceRate(c Candidate) float64 {
	rate := m.serviceRate()
	othersLoad := max(m.offeredWork/m.demandWindow()-c.CallerOfferedLoad, 0)
	return max(rate*c.CallerShare, rate-othersLoad)
}
