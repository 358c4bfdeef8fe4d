package admitter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/sequencer"
)

// Bounds limits the queues.
type Bounds struct {
	// Requests and Bytes bound all that waits.
	Requests int
	Bytes    descriptor.Bytes
	// CallerRequests and CallerBytes bound what waits of one caller.
	CallerRequests int
	CallerBytes    descriptor.Bytes
}

// The default bounds. An instance may use 256 MiB in all; a waiting request
// costs about 1 KiB beside its payload.
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

// UrgentStart is the time within which urgent work starts, whatever its deadline.
const UrgentStart = 3700 * time.Millisecond

const (
	// window is the time over which the service rate is measured. A few seconds
	// follow a demand swing, which is over in ten. For classes with longer runs
	// the window is runsPerWindow mean runs, since their starts are rare.
	window        = 3 * time.Second
	runsPerWindow = 5
	maxWindow     = 30 * time.Minute
	// demandWindow is the time over which demand is measured.
	demandWindow = time.Second
	// priorPart is the part of the unmeasured window that the available rate
	// counts for.
	priorPart = 1.0 / 3
	// shareInterval is how often the available rates are computed.
	shareInterval = 20 * time.Millisecond
	// callerAlpha bounds a caller's backlog in proportion to the room that is
	// left (dynamic thresholds, Choudhury and Hahne, 1998): one busy caller
	// leaves half of the queue to the others.
	callerAlpha = 1.0
	// slackPart is the part of the time until the latest start that the predicted
	// wait may take. Fair order spreads the waits of a queue around their mean, by
	// about the time in which each caller is served once.
	slackPart = 0.5
	// minRetry and maxRetry bound the time until a refused request returns.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Minute
	// minRate keeps the predicted wait finite: a thousandth of the capacity.
	minRate = 1e-3
)

// Predictive refuses what would miss its deadline. The wait is predicted from
// the service rate of the class over the last seconds; where there was no backlog
// to measure it with, from what the demand of the other classes leaves.
type Predictive struct {
	bounds  Bounds
	rand    *rand.Rand
	crest   float64
	weights [sequencer.LaneCount]float64
	classes map[sequencer.Class]*meter
	order   []*meter
	// shares is when the available rates were computed last.
	shares time.Time
}

// NewPredictive returns a policy that has seen nothing.
func NewPredictive(b Bounds, r *rand.Rand) *Predictive {
	p := &Predictive{bounds: b.withDefaults(), rand: r, classes: map[sequencer.Class]*meter{}}
	p.SetWeights(descriptor.Weights{})
	return p
}

// SetWeights takes over the weights. That of the crest shortens the queues: with
// a weight of 2, work waits at most half of the time that its deadline allows,
// and more of it is refused at once.
func (p *Predictive) SetWeights(w descriptor.Weights) {
	p.weights = sequencer.LaneWeights(w)
	p.crest = w.PeakWait
	if p.crest <= 0 {
		p.crest = 1
	}
}

func (p *Predictive) meter(now time.Time, c sequencer.Class) *meter {
	m, ok := p.classes[c]
	if !ok {
		m = &meter{class: c, at: now, available: 1}
		p.classes[c] = m
		p.order = append(p.order, m)
	}
	m.advance(now)
	if now.Sub(p.shares) >= shareInterval {
		p.share(now)
	}
	return m
}

// share divides the capacity between the classes by their demand and the
// weights of their lanes (weighted max-min fairness), and notes for each class
// what the others leave to it.
func (p *Predictive) share(now time.Time) {
	p.shares = now
	for _, m := range p.order {
		m.advance(now)
		m.got = 0
	}
	left := 1.0
	for left > 1e-6 {
		weight := 0.0
		for _, m := range p.order {
			if m.got < m.demand() {
				weight += p.weights[m.class.Lane()]
			}
		}
		if weight == 0 {
			break
		}
		given := 0.0
		for _, m := range p.order {
			if want := m.demand() - m.got; want > 0 {
				part := min(left*p.weights[m.class.Lane()]/weight, want)
				m.got += part
				given += part
			}
		}
		if left -= given; given < 1e-6 {
			break
		}
	}
	for _, m := range p.order {
		m.available = max(m.got+left, minRate)
	}
}

// Served counts work towards the class's rate.
func (p *Predictive) Served(now time.Time, c sequencer.Class, work float64, left Backlog) {
	m := p.meter(now, c)
	if m.backlog.Requests > 0 {
		m.work += work
	}
	m.backlog = left
}

// Wait predicts how long a backlog of the class takes to start.
func (p *Predictive) Wait(now time.Time, c sequencer.Class, b Backlog) time.Duration {
	if b.Requests == 0 {
		return 0
	}
	return seconds(b.Work / p.meter(now, c).rate())
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}

// Admit checks the bounds first and the deadline then.
func (p *Predictive) Admit(now time.Time, q Question) *descriptor.Refusal {
	m := p.meter(now, q.Class)
	m.arrived(q.Own.Work, q.Run.Mean)
	m.backlog = q.InClass
	if r := p.full(m, q); r != nil {
		m.refused += q.Own.Work
		return r
	}
	if q.Request.Deadline.IsZero() {
		return nil
	}
	left := q.Request.Deadline.Sub(now)
	if q.Run.Low > left {
		return &descriptor.Refusal{
			Reason: descriptor.ReasonDeadlineUnmet,
			Detail: fmt.Sprintf("a run takes at least %s and the deadline is in %s", q.Run.Low, left),
		}
	}
	start := left - q.Run.High
	if q.Class.Priority == descriptor.Urgent {
		start = min(start, UrgentStart)
	}
	slack := slackPart * start.Seconds() / p.crest
	if q.InClass.Requests == 0 {
		return nil
	}
	waiting := q.Caller.Work + q.Own.Work
	if waiting <= callerAlpha*p.room(m, slack) &&
		(q.Caller.Requests == 0 || waiting <= slack*m.callerRate(q)) {
		return nil
	}
	m.refused += q.Own.Work
	return &descriptor.Refusal{
		Reason:     descriptor.ReasonDeadlineUnmet,
		RetryAfter: p.retry(m, q.InClass.Work),
		Detail: fmt.Sprintf("the predicted wait is %s and has to be at most %s",
			max(seconds(q.InClass.Work/m.rate()), seconds(waiting/m.callerRate(q))).Round(time.Millisecond),
			seconds(max(slack, 0)).Round(time.Millisecond)),
	}
}

// room returns the work that can be added to the class and still starts within
// the slack, both at the rate of the class and when the other classes of the
// same length take their part of the capacity.
func (p *Predictive) room(m *meter, slack float64) float64 {
	own := m.rate()*slack - m.backlog.Work
	all, waiting := 0.0, 0.0
	for _, o := range p.order {
		if o.class.Long == m.class.Long {
			rate := o.rate()
			all += rate
			if o != m {
				waiting += min(o.backlog.Work, rate*slack)
			}
		}
	}
	return min(own, max(all, 1)*slack-waiting-m.backlog.Work)
}

// full refuses what exceeds a bound of the queues.
func (p *Predictive) full(m *meter, q Question) *descriptor.Refusal {
	b, total, caller := p.bounds, q.Total.Add(q.Own), q.CallerTotal.Add(q.Own)
	if total.Requests > b.Requests || total.Bytes > b.Bytes {
		return &descriptor.Refusal{
			Reason:     descriptor.ReasonQueueFull,
			RetryAfter: p.retry(m, q.InClass.Work),
			Detail:     fmt.Sprintf("%d requests with %d bytes are waiting", q.Total.Requests, q.Total.Bytes),
		}
	}
	limit := b.CallerRequests
	if q.CallerMax > 0 {
		limit = q.CallerMax
	}
	if caller.Requests > limit || caller.Bytes > b.CallerBytes {
		return &descriptor.Refusal{
			Reason:     descriptor.ReasonCallerQueueFull,
			RetryAfter: p.retry(m, q.InClass.Work),
			Detail:     fmt.Sprintf("%d requests of the caller with %d bytes are waiting", q.CallerTotal.Requests, q.CallerTotal.Bytes),
		}
	}
	return nil
}

// retry returns when refused work may come back. The backlog and what was
// refused lately must be served before; the returns are spread evenly over as
// long a time again, so that they don't arrive together.
func (p *Predictive) retry(m *meter, backlog float64) time.Duration {
	drain := seconds((backlog + m.refused) / m.rate())
	drain = min(max(drain, minRetry), maxRetry)
	return drain/2 + time.Duration(p.rand.Int64N(int64(drain)+1))
}
