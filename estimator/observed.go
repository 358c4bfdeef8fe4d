package estimator

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Bounds of an estimate. Runs outside of them are not predicted usefully, and
// the bounds keep sums of estimates finite.
const (
	MinRun = time.Millisecond
	MaxRun = 7 * 24 * time.Hour
)

const (
	// memory is the number of observations after which older ones fade. 50
	// follows a changed run time within some tens of requests and still gives a
	// usable variance.
	memory = 50
	// priorVariance is the variance of the logarithm of a run time around its
	// declaration before anything was observed: a standard deviation of a factor
	// of 3.4, since declarations are often wrong by ten times either way.
	priorVariance = 1.5
	// priorSamples is the number of observations that the prior counts for.
	priorSamples = 1
	// defaultRun is assumed without a declaration.
	defaultRun = time.Second
	// quantile99 is the 99% quantile of the standard normal distribution.
	quantile99 = 2.326
	// generation is the number of keys after which the older half of the keys
	// is forgotten, which bounds memory at about 16 MiB.
	generation = 1 << 16
)

// Observed predicts from earlier runs of the same kind. The declaration is a
// prior and a label: it is not believed, but requests with about the same
// declaration are expected to run about equally long. So a declaration that is
// wrong by a constant factor costs nothing, and one that is random is ignored.
type Observed struct {
	recent, older map[key]*history
}

// NewObserved returns an estimator that has seen nothing.
func NewObserved() *Observed {
	return &Observed{recent: map[key]*history{}, older: map[key]*history{}}
}

// key selects the runs that one history covers. An empty caller stands for all
// callers and bucket anyBucket for all declarations.
type key struct {
	kind   descriptor.KindName
	caller descriptor.CallerID
	bucket int16
}

const anyBucket = math.MinInt16

// bucket groups declarations by powers of 2.
func bucket(declared time.Duration) int16 {
	if declared <= 0 {
		return 0
	}
	return int16(math.Round(math.Log2(declared.Seconds())))
}

// keys returns the histories that a request belongs to, from wide to narrow.
func keys(r *descriptor.Request) [4]key {
	b := bucket(r.DeclaredRun)
	return [4]key{
		{r.Kind, "", anyBucket},
		{r.Kind, r.Caller, anyBucket},
		{r.Kind, "", b},
		{r.Kind, r.Caller, b},
	}
}

// history holds the logarithms of run times and of their ratios to the
// declaration.
type history struct {
	run, ratio moments
}

// moments is a fading mean and variance.
type moments struct {
	n, mean, variance float64
}

func (m *moments) add(x float64) {
	alpha := 1 / (m.n + 1)
	d := x - m.mean
	m.mean += alpha * d
	m.variance = (1 - alpha) * (m.variance + alpha*d*d)
	m.n = min(m.n+1, memory-1)
}

// spread returns the variance of a prediction by m, which is close to the
// prior's until there are observations.
func (m *moments) spread() float64 {
	return (m.n*m.variance + priorSamples*priorVariance) / (m.n + priorSamples)
}

// Estimate starts from the declaration, lets the histories over all declarations
// correct it, and these in turn the histories of the request's own declaration.
// The narrower ones come last, because a caller's few long runs would vanish
// among its many short ones.
func (o *Observed) Estimate(r *descriptor.Request) Estimate {
	declared := max(r.DeclaredRun, 0)
	if declared == 0 {
		declared = defaultRun
	}
	logDeclared := math.Log(declared.Seconds())
	ks := keys(r)
	p := prediction{mean: logDeclared, variance: priorVariance}
	p = o.correct(p, logDeclared, ks[:2])
	p = o.correct(p, logDeclared, ks[2:])
	deviation := math.Sqrt(p.variance)
	return Estimate{
		Low:  seconds(math.Exp(p.mean - quantile99*deviation)),
		Mean: seconds(math.Exp(p.mean + min(p.variance, 1)/2)),
		High: seconds(math.Exp(p.mean + quantile99*deviation)),
	}
}

// prediction is a mean and variance of the logarithm of a run time.
type prediction struct{ mean, variance float64 }

// correct returns the prediction of the histories, shrunk towards the prior when
// they hold few observations. Each history is weighted by its observations and
// by the inverse square of its variance, so that the one that predicts best
// dominates.
func (o *Observed) correct(prior prediction, logDeclared float64, ks []key) prediction {
	var sum, mean, square, samples float64
	add := func(x float64, m *moments, offset float64) {
		w := m.n / (x * x)
		sum += w
		mean += w * (m.mean + offset)
		square += w * (x + (m.mean+offset)*(m.mean+offset))
		samples = max(samples, m.n)
	}
	for _, k := range ks {
		h := o.find(k)
		if h == nil {
			continue
		}
		if run, ratio := h.run.spread(), h.ratio.spread(); ratio < run {
			add(ratio, &h.ratio, logDeclared)
		} else {
			add(run, &h.run, 0)
		}
	}
	if sum == 0 {
		return prior
	}
	mean /= sum
	variance := max(square/sum-mean*mean, 0)
	share := samples / (samples + priorSamples)
	d := mean - prior.mean
	return prediction{
		mean:     prior.mean + share*d,
		variance: share*variance + (1-share)*prior.variance + share*(1-share)*d*d,
	}
}

// Observe adds a run to all histories of the request.
func (o *Observed) Observe(r *descriptor.Request, ran time.Duration) {
	x := math.Log(min(max(ran, MinRun), MaxRun).Seconds())
	for _, k := range keys(r) {
		h := o.find(k)
		if h == nil {
			h = &history{}
			o.store(k, h)
		}
		h.run.add(x)
		if r.DeclaredRun > 0 {
			h.ratio.add(x - math.Log(r.DeclaredRun.Seconds()))
		}
	}
}

func (o *Observed) find(k key) *history {
	if h, ok := o.recent[k]; ok {
		return h
	}
	h, ok := o.older[k]
	if !ok {
		return nil
	}
	o.store(k, h)
	return h
}

// store keeps a history in the recent generation. A full generation replaces
// the older one, which forgets what was not used since.
func (o *Observed) store(k key, h *history) {
	if len(o.recent) >= generation {
		o.older, o.recent = o.recent, map[key]*history{}
	}
	o.recent[k] = h
}

func seconds(s float64) time.Duration {
	s = min(max(s, MinRun.Seconds()), MaxRun.Seconds())
	return time.Duration(s * float64(time.Second))
}
