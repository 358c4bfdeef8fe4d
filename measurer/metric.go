package measurer

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// Bound is a limit on the value of a metric. The zero value is no limit.
type Bound struct {
	op    string
	limit float64
}

// AtMost returns an inclusive upper bound.
func AtMost(limit float64) Bound { return Bound{op: "<=", limit: limit} }

// AtLeast returns an inclusive lower bound.
func AtLeast(limit float64) Bound { return Bound{op: ">=", limit: limit} }

// SatisfiedBy reports whether v is within the bound. NaN violates every bound except
// the zero value.
func (b Bound) SatisfiedBy(v float64) bool {
	switch b.op {
	case "<=":
		return v <= b.limit
	case ">=":
		return v >= b.limit
	}
	return true
}

// String returns the bound as operator and limit, or "" for the zero value.
func (b Bound) String() string {
	if b.op == "" {
		return ""
	}
	return b.op + " " + strconv.FormatFloat(b.limit, 'g', -1, 64)
}

// Metric is one measured figure.
type Metric struct {
	Scenario string
	Name     string
	Value    float64
	Unit     string
	// Baseline is the value under the baseline policy in the same run, or NaN if
	// there is none.
	Baseline float64
	Bound    Bound
}

// WithinBound reports whether the value satisfies the bound.
func (m Metric) WithinBound() bool { return m.Bound.SatisfiedBy(m.Value) }

// MarshalJSON encodes the metric. Values that are not finite are encoded as null, and
// the operators of bounds are not HTML-escaped.
func (m Metric) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	err := enc.Encode(struct {
		Scenario string   `json:"scenario"`
		Metric   string   `json:"metric"`
		Value    *float64 `json:"value"`
		Unit     string   `json:"unit"`
		Baseline *float64 `json:"baseline"`
		Bound    string   `json:"bound"`
		Holds    bool     `json:"holds"`
	}{m.Scenario, m.Name, finite(m.Value), m.Unit, finite(m.Baseline), m.Bound.String(), m.WithinBound()})
	return b.Bytes(), err
}

func finite(v float64) *float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return nil
	}
	return &v
}
