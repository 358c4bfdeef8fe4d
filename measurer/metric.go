package measurer

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// Bound is the limit that a metric must keep. The zero value bounds nothing.
type Bound struct {
	op    string
	limit float64
}

// AtMost returns the bound that a value is at most limit.
func AtMost(limit float64) Bound { return Bound{op: "<=", limit: limit} }

// AtLeast returns the bound that a value is at least limit.
func AtLeast(limit float64) Bound { return Bound{op: ">=", limit: limit} }

// Holds reports whether v keeps the bound. NaN keeps no bound.
func (b Bound) Holds(v float64) bool {
	switch b.op {
	case "<=":
		return v <= b.limit
	case ">=":
		return v >= b.limit
	}
	return true
}

// String returns the bound as operator and limit, or "" if there is none.
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
	// Baseline is the same figure of the plain policy in the same run; NaN if
	// there is none.
	Baseline float64
	Bound    Bound
}

// Holds reports whether the metric keeps its bound.
func (m Metric) Holds() bool { return m.Bound.Holds(m.Value) }

// MarshalJSON encodes the metric. Figures that are not finite become null, and
// the signs of bounds are not escaped.
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
	}{m.Scenario, m.Name, finite(m.Value), m.Unit, finite(m.Baseline), m.Bound.String(), m.Holds()})
	return b.Bytes(), err
}

func finite(v float64) *float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return nil
	}
	return &v
}
