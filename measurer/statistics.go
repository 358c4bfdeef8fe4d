package measurer

import (
	"math"
	"sort"
)

// Quantile returns the q-quantile of values by the nearest-rank method, or NaN if
// there are no values. It sorts values in place.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sort.Float64s(values)
	rank := int(math.Ceil(q*float64(len(values)))) - 1
	return values[min(max(rank, 0), len(values)-1)]
}

// Jain returns Jain's fairness index of the shares: 1 if all are equal, 1/n if one
// of n has everything (Jain, Chiu, Hawe, 1984).
func Jain(shares []float64) float64 {
	var sum, squares float64
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// NoBaseline returns the Baseline value of a metric without a baseline.
func NoBaseline() float64 { return math.NaN() }
