package admitter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/sequencer"
)

// Bounds limits the size of the queues. Zero values select the defaults.
type Bounds struct {
	// Requests and Bytes limit the queued requests of all callers.
	Requests int
	Bytes    descriptor.Bytes
	// CallerRequests and CallerBytes limit the queued requests of one caller.
	CallerRequests int
	CallerBytes    descriptor.Bytes
}

// The default bounds. An instance may use 256 MiB of memory in total, and a queued
// request takes about 1 KiB besides its payload.
const (
	DefaultRequests       = 100_000
	DefaultBytes          = 64 << 20
	DefaultCallerRequests = 10_000
	DefaultCallerBytes    = 8 << 20
)

func (b Bounds) withDefaults() Bounds {
	if b.Requests == 0 {
		b.Requests = DefaultRequests
	}
	if b.Bytes == 0 {
		b.Bytes = DefaultBytes
	}
	if b.CallerRequests == 0 {
		b.CallerRequests = DefaultCallerRequests
	}
	if b.CallerBytes == 0 {
		b.CallerBytes = DefaultCallerBytes
	}
	return b
}

// MaxUrgentWait is the time within which urgent requests have to start, even if
// their deadline is later.
const MaxUrgentWait = 3700 * time.Millisecond

const (
	// minRateWindow and maxRateWindow limit the time over which the service rate is
	// measured. A window of a few seconds follows a swing in demand, which is over
	// in ten. Classes with longer runs start tasks rarely, so their window is
	// runsPerWindow mean run times.
	minRateWindow = 3 * time.Second
	runsPerWindow = 5
	maxRateWindow = 30 * time.Minute
	// minDemandWindow is the shortest time over which the offered load is measured.
	minDemandWindow = time.Second
	// priorWeight is the weight of the available rate in the service rate, as a
	// fraction of the part of the window without a backlog to measure.
	priorWeight = 1.0 / 3
	// allocationInterval is the time between computations of the available rates.
	allocationInterval = 20 * time.Millisecond
	// callerAlpha limits a caller's backlog in proportion to the unused part of the
	// queue (dynamic thresholds, Choudhury and Hahne, 1998). With 1, a single busy
	// caller leaves half of the queue to the others.
	callerAlpha = 1.0
	// maxWaitFraction is the longest admissible predicted wait as a fraction of the
	// time until the latest start. It is less than 1 because fair queueing spreads
	// the actual waits around the predicted mean, by about the time in which each
	// caller is served once.
	maxWaitFraction = 0.5
	// minRetryAfter and maxRetryAfter limit the mean delay before a refused request
	// is retried.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Minute
	// minRate is the lower bound of rates, a thousandth of the capacity. It keeps
	// predicted waits finite.
	minRate = 1e-3
)

// Predictive refuses requests that are predicted to miss their deadline. It predicts
// the wait from the recent service rate of the class. Without a backlog to measure
// the rate with, it uses the capacity that the demand of the other classes leaves.
type Predictive struct {
	bounds      Bounds
	rand        *rand.Rand
	peakWeight  float64
	laneWeights [sequencer.LaneCount]float64
	meters      map[sequencer.Class]*meter
	meterList   []*meter
	// allocatedAt is the time of the last computation of the available rates.
	allocatedAt time.Time
}

// NewPredictive returns a policy without measurements.
func NewPredictive(b Bounds, r *rand.Rand) *Predictive {
	p := &Predictive{bounds: b.withDefaults(), rand: r, meters: map[sequencer.Class]*meter{}}
	p.SetWeights(descriptor.Weights{})
	return p
}

// SetWeights sets the operators' weights. The PeakWait weight shortens the queues: a
// weight of 2 halves the longest admissible predicted wait, so that more requests
// are refused on arrival.
func (p *Predictive) SetWeights(w descriptor.Weights) {
	p.laneWeights = sequencer.LaneWeights(w)
	p.peakWeight = w.PeakWait
	if p.peakWeight <= 0 {
		p.peakWeight = 1
	}
}

// meterAt returns the meter of the class, advanced to now.
func (p *Predictive) meterAt(now time.Time, c sequencer.Class) *meter {
	m, ok := p.meters[c]
	if !ok {
		m = &meter{class: c, updatedAt: now, availableRate: 1}
		p.meters[c] = m
		p.meterList = append(p.meterList, m)
	}
	m.advance(now)
	if now.Sub(p.allocatedAt) >= allocationInterval {
		p.allocate(now)
	}
	return m
}

// allocate divides the capacity between the classes by their demand and the weights
// of their lanes (weighted max-min fairness), and sets the rate that is available
// to each class.
func (p *Predictive) allocate(now time.Time) {
	p.allocatedAt = now
	for _, m := range p.meterList {
		m.advance(now)
		m.allocatedRate = 0
	}
	unallocated := 1.0
	for unallocated > 1e-6 {
		totalWeight := 0.0
		for _, m := range p.meterList {
			if m.allocatedRate < m.demand() {
				totalWeight += p.laneWeights[m.class.Lane()]
			}
		}
		if totalWeight == 0 {
			break
		}
		allocated := 0.0
		for _, m := range p.meterList {
			if unmet := m.demand() - m.allocatedRate; unmet > 0 {
				grant := min(unallocated*p.laneWeights[m.class.Lane()]/totalWeight, unmet)
				m.allocatedRate += grant
				allocated += grant
			}
		}
		if unallocated -= allocated; allocated < 1e-6 {
			break
		}
	}
	for _, m := range p.meterList {
		m.availableRate = max(m.allocatedRate+unallocated, minRate)
	}
}

// RecordStart adds the work to the class's service rate if the class had a backlog.
func (p *Predictive) RecordStart(now time.Time, c sequencer.Class, work float64, remaining Backlog) {
	m := p.meterAt(now, c)
	if m.backlog.Requests > 0 {
		m.servedWork += work
	}
	m.backlog = remaining
}

// PredictWait divides the work of the backlog by the class's service rate.
func (p *Predictive) PredictWait(now time.Time, c sequencer.Class, b Backlog) time.Duration {
	if b.Requests == 0 {
		return 0
	}
	return clampedDuration(b.Work / p.meterAt(now, c).serviceRate())
}

// clampedDuration converts seconds to a duration of at most 1e6 s, which keeps it
// from overflowing.
func clampedDuration(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}

// Admit checks the bounds of the queues and then the deadline.
func (p *Predictive) Admit(now time.Time, c Candidate) *descriptor.Refusal {
	m := p.meterAt(now, c.Class)
	m.recordArrival(c.Cost.Work, c.RunTime.Mean)
	m.backlog = c.ClassBacklog
	if r := p.checkBounds(m, c); r != nil {
		m.refusedWork += c.Cost.Work
		return r
	}
	if c.Request.Deadline.IsZero() {
		return nil
	}
	untilDeadline := c.Request.Deadline.Sub(now)
	if c.RunTime.Low > untilDeadline {
		return &descriptor.Refusal{
			Reason: descriptor.ReasonDeadlineUnmet,
			Detail: fmt.Sprintf("a run takes at least %s and the deadline is in %s", c.RunTime.Low, untilDeadline),
		}
	}
	untilLatestStart := untilDeadline - c.RunTime.High
	if c.Class.Priority == descriptor.Urgent {
		untilLatestStart = min(untilLatestStart, MaxUrgentWait)
	}
	maxWait := maxWaitFraction * untilLatestStart.Seconds() / p.peakWeight
	if c.ClassBacklog.Requests == 0 {
		return nil
	}
	callerWork := c.CallerClassBacklog.Work + c.Cost.Work
	if callerWork <= callerAlpha*p.admissibleWork(m, maxWait) &&
		(c.CallerClassBacklog.Requests == 0 || callerWork <= maxWait*m.callerServiceRate(c)) {
		return nil
	}
	m.refusedWork += c.Cost.Work
	return &descriptor.Refusal{
		Reason:     descriptor.ReasonDeadlineUnmet,
		RetryAfter: p.retryAfter(m, c.ClassBacklog.Work),
		Detail: fmt.Sprintf("the predicted wait is %s and has to be at most %s",
			max(clampedDuration(c.ClassBacklog.Work/m.serviceRate()), clampedDuration(callerWork/m.callerServiceRate(c))).Round(time.Millisecond),
			clampedDuration(max(maxWait, 0)).Round(time.Millisecond)),
	}
}

// admissibleWork returns the work that can be added to the class and still starts
// within maxWait seconds, both at the service rate of the class and when the other
// classes of the same length are served as well.
func (p *Predictive) admissibleWork(m *meter, maxWait float64) float64 {
	classWork := m.serviceRate()*maxWait - m.backlog.Work
	totalRate, othersWork := 0.0, 0.0
	for _, other := range p.meterList {
		if other.class.Long == m.class.Long {
			rate := other.serviceRate()
			totalRate += rate
			if other != m {
				othersWork += min(other.backlog.Work, rate*maxWait)
			}
		}
	}
	return min(classWork, max(totalRate, 1)*maxWait-othersWork-m.backlog.Work)
}

// checkBounds returns a refusal if the request would exceed a bound of the queues.
func (p *Predictive) checkBounds(m *meter, c Candidate) *descriptor.Refusal {
	bounds, total, caller := p.bounds, c.TotalBacklog.Add(c.Cost), c.CallerBacklog.Add(c.Cost)
	if total.Requests > bounds.Requests || total.Bytes > bounds.Bytes {
		return &descriptor.Refusal{
			Reason:     descriptor.ReasonQueueFull,
			RetryAfter: p.retryAfter(m, c.ClassBacklog.Work),
			Detail:     fmt.Sprintf("%d requests with %d bytes are waiting", c.TotalBacklog.Requests, c.TotalBacklog.Bytes),
		}
	}
	limit := bounds.CallerRequests
	if c.MaxCallerRequests > 0 {
		limit = c.MaxCallerRequests
	}
	if caller.Requests > limit || caller.Bytes > bounds.CallerBytes {
		return &descriptor.Refusal{
			Reason:     descriptor.ReasonCallerQueueFull,
			RetryAfter: p.retryAfter(m, c.ClassBacklog.Work),
			Detail:     fmt.Sprintf("%d requests of the caller with %d bytes are waiting", c.CallerBacklog.Requests, c.CallerBacklog.Bytes),
		}
	}
	return nil
}

// retryAfter returns the delay before a refused request is retried. Its mean is the
// time in which the backlog and the recently refused work are served, within the
// limits. The delays are spread uniformly over an interval of the same length, so
// that retries don't arrive together.
func (p *Predictive) retryAfter(m *meter, backlog float64) time.Duration {
	drain := clampedDuration((backlog + m.refusedWork) / m.serviceRate())
	drain = min(max(drain, minRetryAfter), maxRetryAfter)
	return drain/2 + time.Duration(p.rand.Int64N(int64(drain)+1))
}
