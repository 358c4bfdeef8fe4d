package admitter

import (
	"fmt"
	"math"
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

const (
	// window is the time over which the service rate is measured. A few seconds
	// follow a demand swing, which is over in ten.
	window = 3 * time.Second
	// priorWindow is the time that the assumed rate of a class counts for when
	// the class has not been backlogged yet.
	priorWindow = 500 * time.Millisecond
	// callerAlpha bounds a caller's backlog in proportion to the room that is
	// left (dynamic thresholds, Choudhury and Hahne, 1998): one busy caller
	// leaves half of the queue to the others.
	callerAlpha = 1.0
	// minRetry and maxRetry bound the time until a refused request returns.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Minute
	// minRate keeps the predicted wait finite: a thousandth of the capacity.
	minRate = 1e-3
)

// Predictive refuses what would miss its deadline, by the service rate that the
// class has had over the last seconds while it was backlogged.
type Predictive struct {
	bounds  Bounds
	rand    *rand.Rand
	crest   float64
	classes map[sequencer.Class]*meter
}

// NewPredictive returns a policy that has seen nothing.
func NewPredictive(b Bounds, r *rand.Rand) *Predictive {
	return &Predictive{bounds: b.withDefaults(), rand: r, crest: 1, classes: map[sequencer.Class]*meter{}}
}

// SetWeights takes over the weight of the crest. It shortens the queues: with a
// weight of 2, work waits at most half of the time that its deadline allows, and
// more of it is refused at once.
func (p *Predictive) SetWeights(w descriptor.Weights) {
	p.crest = w.Crest
	if p.crest <= 0 {
		p.crest = 1
	}
}

// meter measures the service of one class while it is backlogged, and the work
// that was refused lately.
type meter struct {
	at         time.Time
	work       float64 // fading
	busy       float64 // fading seconds
	refused    float64 // fading work
	backlogged bool
}

// advance fades the meter and counts the time since its last event.
func (m *meter) advance(now time.Time) {
	dt := now.Sub(m.at).Seconds()
	if dt <= 0 {
		return
	}
	keep := math.Exp(-dt / window.Seconds())
	m.work *= keep
	m.busy *= keep
	m.refused *= keep
	if m.backlogged {
		m.busy += min(dt, window.Seconds())
	}
	m.at = now
}

// rate returns work per second. Without a recent backlog it is near the whole
// capacity, which is what an idle class may expect.
func (m *meter) rate() float64 {
	prior := priorWindow.Seconds()
	return max((m.work+prior)/(m.busy+prior), minRate)
}

func (p *Predictive) meter(now time.Time, c sequencer.Class) *meter {
	m, ok := p.classes[c]
	if !ok {
		m = &meter{at: now}
		p.classes[c] = m
	}
	m.advance(now)
	return m
}

// Served counts work towards the class's rate.
func (p *Predictive) Served(now time.Time, c sequencer.Class, work float64, left Backlog) {
	m := p.meter(now, c)
	if m.backlogged {
		m.work += work
	}
	m.backlogged = left.Requests > 0
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
	rate := m.rate()
	room := (left-q.Run.High).Seconds()/p.crest*rate - q.InClass.Work
	if q.InClass.Requests == 0 || q.Caller.Work+q.Own.Work <= callerAlpha*room {
		m.backlogged = m.backlogged || q.InClass.Requests > 0
		return nil
	}
	m.refused += q.Own.Work
	return &descriptor.Refusal{
		Reason:     descriptor.ReasonDeadlineUnmet,
		RetryAfter: p.retry(m, q.InClass.Work),
		Detail:     fmt.Sprintf("the predicted wait is %s and the deadline is in %s", seconds(q.InClass.Work/rate), left),
	}
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
