package scheduler

import (
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Sharer divides the capacity between short and long work. All amounts are
// fractions of the capacity. It is not safe for concurrent use.
type Sharer interface {
	// SetWeights takes over the operators' weights.
	SetWeights(w descriptor.Weights)
	// IsLong says whether work of the given run time is long.
	IsLong(run time.Duration) bool
	// Arrived counts work that has asked for admission.
	Arrived(now time.Time, a Arrival)
	// LongAllowance returns the fraction of the capacity that long work may take
	// that can't be moved away soon.
	LongAllowance(now time.Time) Allowance
}

// Arrival is work that has asked for admission.
type Arrival struct {
	// Share is the fraction of the capacity that it takes for Run.
	Share          float64
	Run            time.Duration
	Long, Admitted bool
}

// Allowance is the fraction of the capacity that long work may take: usually, and
// at most when it has waited long for its run time.
type Allowance struct{ Usual, Most float64 }

const (
	// patience and limit are the fractions of its run time after which waiting
	// long work gets more than the usual allowance, and all of it. A long plan
	// that is delayed by two fifths of its run time is still as fast as its user
	// expects of it.
	patience = 0.2
	limit    = 0.4
)

// After returns the allowance for work that has waited for the given multiple of
// its run time. Raising it only for such work keeps the usual allowance low, and
// with it the wait of short work.
func (a Allowance) After(slowdown float64) float64 {
	part := min(max((slowdown-patience)/(limit-patience), 0), 1)
	return a.Usual + part*(a.Most-a.Usual)
}

// Unshared is the plain baseline: all work may take all capacity.
type Unshared struct{}

// SetWeights does nothing.
func (Unshared) SetWeights(descriptor.Weights) {}

// IsLong returns false.
func (Unshared) IsLong(time.Duration) bool { return false }

// Arrived does nothing.
func (Unshared) Arrived(time.Time, Arrival) {}

// LongAllowance returns 1.
func (Unshared) LongAllowance(time.Time) Allowance { return Allowance{1, 1} }

const (
	// longFactor is how many times longer than the median long work runs.
	longFactor = 10
	// minShort and maxShort bound the longest run time of short work. Work that
	// ends within half a second delays nobody noticeably, and more than a minute
	// is long in any mix.
	minShort = 500 * time.Millisecond
	maxShort = time.Minute
	// firstShort applies until enough work has been seen.
	firstShort = 10 * time.Second
	// medianSamples is the number of arrivals after which the median is used.
	medianSamples = 50
	// medianMemory is the number of arrivals that the median covers.
	medianMemory = 1000

	// fastWindow and slowWindow are the times over which short demand is
	// measured; the larger one counts, so that the reserve grows within seconds
	// and shrinks within a minute.
	fastWindow = 5 * time.Second
	slowWindow = time.Minute
	// longWindow is the time over which long demand is measured. Long work
	// arrives rarely, so that a shorter window sees mostly noise.
	longWindow = 10 * time.Minute
	// shortSide weighs the deviation of short demand against that of long
	// demand. Measured at load 0.8 on 32 slots, 1.5 gives short work a tenth of
	// the wait under first come first served while long work's slowdown stays
	// below 1.5 times; 1 and 3 lose more on one side than they win on the other.
	shortSide = 1.5
	// lastResort is the part of the extra reserve that is kept even from long work
	// that has waited too long, before weighing.
	lastResort = 0.4
	// maxDeviations bounds the reserve to this many deviations of the short
	// demand beyond its mean, before weighing.
	maxDeviations = 6
	// longShare is the part of short work for each part of long work in an
	// overload, before weighing. It is that of the lanes.
	longShare = 4
	// longFloor is the least fraction of the capacity that long work may take.
	longFloor = 0.1
)

// Reserve keeps capacity for short work by its measured demand.
type Reserve struct {
	short      float64 // weight
	runs       [64]float64
	runCount   float64
	threshold  time.Duration
	fast, slow demand
	long       demand
	// unit and longUnit are fading mean shares of a short and a long request.
	unit, longUnit float64
}

// NewReserve returns a sharer that has seen nothing.
func NewReserve() *Reserve {
	return &Reserve{
		short: 1, threshold: firstShort,
		fast: demand{window: fastWindow}, slow: demand{window: slowWindow}, long: demand{window: longWindow},
	}
}

// demand is an offered load: the fading sum of share times run time over the
// window.
type demand struct {
	window time.Duration
	since  time.Time
	at     time.Time
	work   float64
}

func (d *demand) add(now time.Time, work float64) {
	d.fade(now)
	d.work += work
}

func (d *demand) fade(now time.Time) {
	if d.since.IsZero() {
		d.since, d.at = now, now
	}
	if dt := now.Sub(d.at); dt > 0 {
		d.work *= math.Exp(-dt.Seconds() / d.window.Seconds())
		d.at = now
	}
}

// rate returns the mean load, corrected for the time before the first arrival.
func (d *demand) rate(now time.Time) float64 {
	d.fade(now)
	seen := 1 - math.Exp(-now.Sub(d.since).Seconds()/d.window.Seconds())
	return d.work / (d.window.Seconds() * max(seen, 0.05))
}

// SetWeights takes over the operators' weights.
func (s *Reserve) SetWeights(w descriptor.Weights) {
	s.short = w.ShortFirst
	if s.short <= 0 {
		s.short = 1
	}
}

// IsLong compares with ten times the median run time of all arrivals.
func (s *Reserve) IsLong(run time.Duration) bool { return run > s.threshold }

// Arrived counts work towards the demand and the median. Refused short work is
// demand too, or the reserve would follow what short work gets and not what it
// needs; but only for the fast window, since it says nothing of a minute later.
func (s *Reserve) Arrived(now time.Time, a Arrival) {
	work := a.Share * a.Run.Seconds()
	switch {
	case a.Long:
		s.long.add(now, work)
		fadeTo(&s.longUnit, a.Share)
	default:
		s.fast.add(now, work)
		if a.Admitted {
			s.slow.add(now, work)
		}
		fadeTo(&s.unit, a.Share)
	}
	s.count(a.Run)
}

// fadeTo moves a mean towards a value, by a hundredth once there is one.
func fadeTo(mean *float64, x float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += (x - *mean) * 0.01
}

// count keeps a fading histogram of run times in powers of the square root of 2.
func (s *Reserve) count(run time.Duration) {
	i := int(2 * math.Log2(float64(max(run, time.Millisecond))/float64(time.Millisecond)))
	s.runs[min(i, len(s.runs)-1)]++
	s.runCount++
	if s.runCount >= 2*medianMemory {
		s.runCount = 0
		for j := range s.runs {
			s.runs[j] /= 2
			s.runCount += s.runs[j]
		}
	}
	if s.runCount >= medianSamples {
		s.threshold = min(max(longFactor*s.median(), minShort), maxShort)
	}
}

func (s *Reserve) median() time.Duration {
	half := s.runCount / 2
	for i, n := range s.runs {
		if half -= n; half <= 0 {
			return time.Duration(math.Exp2(float64(i+1)/2) * float64(time.Millisecond))
		}
	}
	return maxShort
}

// LongAllowance returns what the reserve for short work leaves. Short work gets
// its mean demand and a part of the spare capacity. Both sides need spare
// capacity in proportion to the deviation of their demand (square-root staffing,
// Halfin and Whitt, 1981); the weight shifts the division. In an overload long
// work keeps the share of its lane, so that it does not starve.
func (s *Reserve) LongAllowance(now time.Time) Allowance {
	short := max(s.fast.rate(now), s.slow.rate(now))
	long := s.long.rate(now)
	weight := s.short * shortSide
	shortDeviation := weight * math.Sqrt(short*s.unit)
	longDeviation := math.Sqrt(long * s.longUnit)
	extra := 0.0
	if spare := 1 - short - long; spare > 0 && shortDeviation > 0 {
		extra = min(spare*shortDeviation/(shortDeviation+longDeviation), maxDeviations*shortDeviation)
	}
	least := min(long, 1/(1+longShare*s.short))
	kept := min(lastResort*s.short, 1)
	usual := min(max(1-short-extra, least, longFloor), 1)
	return Allowance{Usual: usual, Most: min(max(1-short-extra*kept, usual), 1)}
}
