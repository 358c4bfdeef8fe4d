package estimator

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Bounds of an estimate. Predictions of run times beyond them are not useful, and
// the bounds keep sums of estimates finite.
const (
	MinRunTime = time.Millisecond
	MaxRunTime = 7 * 24 * time.Hour
)

const (
	// sampleWindow is the number of observations from which on older ones are
	// discounted exponentially. With 50, estimates follow a changed run time
	// within some tens of requests, and the variance is still usable.
	sampleWindow = 50
	// priorVariance is the variance of the logarithm of a run time around its
	// declaration before any observation. One standard deviation is a factor of
	// 3.4, because declarations are often wrong by a factor of ten either way.
	priorVariance = 1.5
	// priorSamples is the weight of the prior, as a number of observations.
	priorSamples = 1
	// defaultRunTime is assumed for requests that declare no run time.
	defaultRunTime = time.Second
	// quantile99 is the 99% quantile of the standard normal distribution.
	quantile99 = 2.326
	// generationSize is the number of histories in a generation. When the current
	// generation is full, the previous one is discarded, which bounds memory use
	// at about 16 MiB.
	generationSize = 1 << 16
)

// Observed predicts run times from earlier runs of the same kind. The declared run
// time serves as the prior and as a feature: its value is not trusted, but requests
// with similar declarations are expected to have similar run times. Declarations
// that are wrong by a constant factor therefore do no harm, and random ones are
// ignored.
type Observed struct {
	current, previous map[historyKey]*history
}

// NewObserved returns an estimator without observations.
func NewObserved() *Observed {
	return &Observed{current: map[historyKey]*history{}, previous: map[historyKey]*history{}}
}

// historyKey identifies the runs that a history covers. An empty caller stands for
// all callers, and anyBucket for all declarations.
type historyKey struct {
	kind   descriptor.KindName
	caller descriptor.CallerID
	bucket int16
}

const anyBucket = math.MinInt16

// bucket returns the binary logarithm of a declared run time in seconds, rounded to
// an integer, or 0 without a declaration.
func bucket(declared time.Duration) int16 {
	if declared <= 0 {
		return 0
	}
	return int16(math.Round(math.Log2(declared.Seconds())))
}

// historyKeys returns the keys of the histories that cover a request, from the
// broadest to the narrowest.
func historyKeys(r *descriptor.Request) [4]historyKey {
	b := bucket(r.DeclaredRun)
	return [4]historyKey{
		{r.Kind, "", anyBucket},
		{r.Kind, r.Caller, anyBucket},
		{r.Kind, "", b},
		{r.Kind, r.Caller, b},
	}
}

// history holds statistics of the logarithms of run times and of the ratios of run
// times to declared run times.
type history struct {
	logRun, logRatio moments
}

// moments holds the exponentially weighted mean and variance of n samples. It counts
// up to sampleWindow-1 samples.
type moments struct {
	n, mean, variance float64
}

func (m *moments) add(x float64) {
	alpha := 1 / (m.n + 1)
	d := x - m.mean
	m.mean += alpha * d
	m.variance = (1 - alpha) * (m.variance + alpha*d*d)
	m.n = min(m.n+1, sampleWindow-1)
}

// predictiveVariance returns the variance of a prediction from m. It equals that of
// the prior without observations and approaches the observed variance with more.
func (m *moments) predictiveVariance() float64 {
	return (m.n*m.variance + priorSamples*priorVariance) / (m.n + priorSamples)
}

// Estimate starts from the declared run time, corrects it by the histories over all
// declarations, and corrects the result by the histories of similar declarations.
// The narrower histories are applied last, because a caller's few long runs would
// otherwise be lost among its many short ones.
func (o *Observed) Estimate(r *descriptor.Request) Estimate {
	declared := max(r.DeclaredRun, 0)
	if declared == 0 {
		declared = defaultRunTime
	}
	logDeclared := math.Log(declared.Seconds())
	keys := historyKeys(r)
	p := prediction{mean: logDeclared, variance: priorVariance}
	p = o.correct(p, logDeclared, keys[:2])
	p = o.correct(p, logDeclared, keys[2:])
	deviation := math.Sqrt(p.variance)
	return Estimate{
		Low:  clampedDuration(math.Exp(p.mean - quantile99*deviation)),
		Mean: clampedDuration(math.Exp(p.mean + min(p.variance, 1)/2)),
		High: clampedDuration(math.Exp(p.mean + quantile99*deviation)),
	}
}

// prediction is a mean and variance of the logarithm of a run time.
type prediction struct{ mean, variance float64 }

// correct returns the combined prediction of the histories, shrunk towards the prior
// if they have few observations. Each history is weighted by its number of
// observations and by the inverse square of its variance, so that the most precise
// one dominates.
func (o *Observed) correct(prior prediction, logDeclared float64, keys []historyKey) prediction {
	var totalWeight, mean, meanSquare, samples float64
	add := func(variance float64, m *moments, offset float64) {
		weight := m.n / (variance * variance)
		totalWeight += weight
		mean += weight * (m.mean + offset)
		meanSquare += weight * (variance + (m.mean+offset)*(m.mean+offset))
		samples = max(samples, m.n)
	}
	for _, k := range keys {
		h := o.lookup(k)
		if h == nil {
			continue
		}
		if runVar, ratioVar := h.logRun.predictiveVariance(), h.logRatio.predictiveVariance(); ratioVar < runVar {
			add(ratioVar, &h.logRatio, logDeclared)
		} else {
			add(runVar, &h.logRun, 0)
		}
	}
	if totalWeight == 0 {
		return prior
	}
	mean /= totalWeight
	variance := max(meanSquare/totalWeight-mean*mean, 0)
	dataWeight := samples / (samples + priorSamples)
	d := mean - prior.mean
	return prediction{
		mean:     prior.mean + dataWeight*d,
		variance: dataWeight*variance + (1-dataWeight)*prior.variance + dataWeight*(1-dataWeight)*d*d,
	}
}

// Observe adds the run time to all histories that cover the request.
func (o *Observed) Observe(r *descriptor.Request, runTime time.Duration) {
	logRun := math.Log(min(max(runTime, MinRunTime), MaxRunTime).Seconds())
	for _, k := range historyKeys(r) {
		h := o.lookup(k)
		if h == nil {
			h = &history{}
			o.put(k, h)
		}
		h.logRun.add(logRun)
		if r.DeclaredRun > 0 {
			h.logRatio.add(logRun - math.Log(r.DeclaredRun.Seconds()))
		}
	}
}

// lookup returns the history with the key k, or nil if there is none. A history of
// the previous generation is added to the current one.
func (o *Observed) lookup(k historyKey) *history {
	if h, ok := o.current[k]; ok {
		return h
	}
	h, ok := o.previous[k]
	if !ok {
		return nil
	}
	o.put(k, h)
	return h
}

// put adds a history to the current generation. If that is full, it first becomes
// the previous generation; histories that were not used since the last such change
// are dropped.
func (o *Observed) put(k historyKey, h *history) {
	if len(o.current) >= generationSize {
		o.previous, o.current = o.current, map[historyKey]*history{}
	}
	o.current[k] = h
}

// clampedDuration converts s to a duration between MinRunTime and MaxRunTime.
func clampedDuration(s float64) time.Duration {
	s = min(max(s, MinRunTime.Seconds()), MaxRunTime.Seconds())
	return time.Duration(s * float64(time.Second))
}
