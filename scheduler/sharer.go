package scheduler

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// CapacityPolicy divides the capacity between short and long work. All amounts are
// fractions of the capacity. It is not safe for concurrent use.
type CapacityPolicy interface {
	// SetWeights sets the weights configured by the operators.
	SetWeights(w descriptor.Weights)
	// IsLong reports whether work of the given run time is long.
	IsLong(run time.Duration) bool
	// Arrived records work that was submitted.
	Arrived(now time.Time, a Arrival)
	// LongAllowance returns the fraction of the capacity that long work may take.
	// The scheduler lets checkpointable long work exceed it while no short work
	// needs the capacity.
	LongAllowance(now time.Time) Allowance
}

// Arrival describes submitted work.
type Arrival struct {
	// Share is the fraction of the capacity that the work takes for Run.
	Share          float64
	Run            time.Duration
	Long, Admitted bool
}

// Allowance is the fraction of the capacity that long work may take: Base by
// default, rising to Max with the time that it has waited relative to its run time.
type Allowance struct{ Base, Max float64 }

const (
	// slowdownRaiseStart and slowdownRaiseEnd are the waiting times, as fractions
	// of the run time, at which the allowance starts to rise and reaches its
	// maximum. Users of long work still accept a delay of two fifths of the run
	// time.
	slowdownRaiseStart = 0.2
	slowdownRaiseEnd   = 0.4
)

// ForSlowdown returns the allowance for work that has waited for the given multiple
// of its run time. Raising the allowance only for delayed work keeps the base
// allowance low, and with it the wait of short work.
func (a Allowance) ForSlowdown(slowdown float64) float64 {
	fraction := min(max((slowdown-slowdownRaiseStart)/(slowdownRaiseEnd-slowdownRaiseStart), 0), 1)
	return a.Base + fraction*(a.Max-a.Base)
}

// NoReserve is the baseline policy: all work may take all capacity.
type NoReserve struct{}

// SetWeights does nothing.
func (NoReserve) SetWeights(descriptor.Weights) {}

// IsLong returns false.
func (NoReserve) IsLong(time.Duration) bool { return false }

// Arrived does nothing.
func (NoReserve) Arrived(time.Time, Arrival) {}

// LongAllowance returns 1.
func (NoReserve) LongAllowance(time.Time) Allowance { return Allowance{1, 1} }

const (
	// longMedianFactor is the multiple of the median run time beyond which work is
	// long.
	longMedianFactor = 10
	// minLongThreshold and maxLongThreshold bound the run time beyond which work
	// is long. Work that ends within half a second does not delay other work
	// noticeably, and work of more than a minute is long in any workload.
	minLongThreshold = 500 * time.Millisecond
	maxLongThreshold = time.Minute
	// initialLongThreshold applies until there are medianSamples arrivals.
	initialLongThreshold = 10 * time.Second
	// medianSamples is the number of arrivals after which the median is used.
	medianSamples = 50
	// medianWindow is the number of recent arrivals that the median covers. Beyond
	// twice this number, the counts are halved.
	medianWindow = 1000

	// fastWindow and slowWindow are the time constants over which the load of short
	// work is measured. The larger result applies, so that the reserve grows
	// within seconds and shrinks within a minute.
	fastWindow = 5 * time.Second
	slowWindow = time.Minute
	// longWindow is the time constant over which the load of long work is measured.
	// Long work arrives so rarely that a shorter window yields mostly noise.
	longWindow = 10 * time.Minute
	// shortDeviationWeight is the weight of the deviation of the short load relative
	// to that of the long load. At load 0.8 on 32 slots, 1.5 reduces the wait of
	// short work to a tenth of that under first come first served while the
	// slowdown of long work stays below 1.5; with 1 and 3, one side loses more
	// than the other gains.
	shortDeviationWeight = 1.5
	// minExtraFraction is the fraction of the extra reserve that even delayed long
	// work may not take, before the ShortFirst weight is applied.
	minExtraFraction = 0.4
	// maxExtraDeviations bounds the extra reserve to this many deviations of the
	// short load, before the weights are applied.
	maxExtraDeviations = 6
	// overloadShortRatio is the ratio of short to long work in an overload, before
	// the ShortFirst weight is applied. It equals the ratio of the lane weights.
	overloadShortRatio = 4
	// minLongAllowance is the minimum fraction of the capacity that long work may
	// take.
	minLongAllowance = 0.1
)

// DemandReserve reserves capacity for short work according to its measured load.
type DemandReserve struct {
	shortWeight          float64
	runHistogram         [64]float64
	runCount             float64
	longThreshold        time.Duration
	shortFast, shortSlow offeredLoad
	longLoad             offeredLoad
	// shortMeanShare and longMeanShare are exponentially weighted means of the share
	// of a request.
	shortMeanShare, longMeanShare float64
}

// NewDemandReserve returns a policy without observations.
func NewDemandReserve() *DemandReserve {
	return &DemandReserve{
		shortWeight: 1, longThreshold: initialLongThreshold,
		shortFast: offeredLoad{window: fastWindow}, shortSlow: offeredLoad{window: slowWindow}, longLoad: offeredLoad{window: longWindow},
	}
}

// offeredLoad measures an offered load as the exponentially decaying sum of share
// times run time, with the window as time constant.
type offeredLoad struct {
	window    time.Duration
	firstAt   time.Time
	updatedAt time.Time
	work      float64
}

func (l *offeredLoad) add(now time.Time, work float64) {
	l.decay(now)
	l.work += work
}

func (l *offeredLoad) decay(now time.Time) {
	if l.firstAt.IsZero() {
		l.firstAt, l.updatedAt = now, now
	}
	if dt := now.Sub(l.updatedAt); dt > 0 {
		l.work *= math.Exp(-dt.Seconds() / l.window.Seconds())
		l.updatedAt = now
	}
}

// rate returns the mean load, corrected for the part of the window before the first
// use.
func (l *offeredLoad) rate(now time.Time) float64 {
	l.decay(now)
	covered := 1 - math.Exp(-now.Sub(l.firstAt).Seconds()/l.window.Seconds())
	return l.work / (l.window.Seconds() * max(covered, 0.05))
}

// SetWeights applies the ShortFirst weight.
func (r *DemandReserve) SetWeights(w descriptor.Weights) {
	r.shortWeight = w.ShortFirst
	if r.shortWeight <= 0 {
		r.shortWeight = 1
	}
}

// IsLong compares the run time with ten times the median of all arrivals, within
// fixed bounds.
func (r *DemandReserve) IsLong(run time.Duration) bool { return run > r.longThreshold }

// Arrived adds work to the load and to the median. Refused short work counts too,
// because the reserve would otherwise follow the capacity that short work gets
// instead of the capacity that it needs. It counts only in the fast window, because
// it does not predict the load a minute later.
func (r *DemandReserve) Arrived(now time.Time, a Arrival) {
	work := a.Share * a.Run.Seconds()
	switch {
	case a.Long:
		r.longLoad.add(now, work)
		updateMean(&r.longMeanShare, a.Share)
	default:
		r.shortFast.add(now, work)
		if a.Admitted {
			r.shortSlow.add(now, work)
		}
		updateMean(&r.shortMeanShare, a.Share)
	}
	r.countRun(a.Run)
}

// updateMean adds a sample to an exponentially weighted mean with a weight of 0.01.
// The first sample initialises the mean.
func updateMean(mean *float64, x float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += (x - *mean) * 0.01
}

// countRun adds a run time to the histogram, whose bucket bounds are powers of the
// square root of 2 and whose counts decay, and updates the threshold of long work.
func (r *DemandReserve) countRun(run time.Duration) {
	i := int(2 * math.Log2(float64(max(run, time.Millisecond))/float64(time.Millisecond)))
	r.runHistogram[min(i, len(r.runHistogram)-1)]++
	r.runCount++
	if r.runCount >= 2*medianWindow {
		r.runCount = 0
		for j := range r.runHistogram {
			r.runHistogram[j] /= 2
			r.runCount += r.runHistogram[j]
		}
	}
	if r.runCount >= medianSamples {
		r.longThreshold = min(max(longMedianFactor*r.median(), minLongThreshold), maxLongThreshold)
	}
}

func (r *DemandReserve) median() time.Duration {
	half := r.runCount / 2
	for i, n := range r.runHistogram {
		if half -= n; half <= 0 {
			return time.Duration(math.Exp2(float64(i+1)/2) * float64(time.Millisecond))
		}
	}
	return maxLongThreshold
}

// LongAllowance returns the capacity that is not reserved for short work. The
// reserve consists of the mean load of short work and an extra part of the spare
// capacity. The spare capacity is divided between short and long work in proportion
// to the weighted deviations of their loads (square-root staffing, Halfin and Whitt,
// 1981). In an overload long work keeps the share of its lane, so that it does not
// starve.
func (r *DemandReserve) LongAllowance(now time.Time) Allowance {
	short := max(r.shortFast.rate(now), r.shortSlow.rate(now))
	long := r.longLoad.rate(now)
	weight := r.shortWeight * shortDeviationWeight
	shortDeviation := weight * math.Sqrt(short*r.shortMeanShare)
	longDeviation := math.Sqrt(long * r.longMeanShare)
	extra := 0.0
	if spare := 1 - short - long; spare > 0 && shortDeviation > 0 {
		extra = min(spare*shortDeviation/(shortDeviation+longDeviation), maxExtraDeviations*shortDeviation)
	}
	overloadShare := min(long, 1/(1+overloadShortRatio*r.shortWeight))
	minExtra := min(minExtraFraction*r.shortWeight, 1)
	base := min(max(1-short-extra, overloadShare, minLongAllowance), 1)
	return Allowance{Base: base, Max: min(max(1-short-extra*minExtra, base), 1)}
}
