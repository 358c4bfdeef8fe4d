package meter

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHandler checks the metric names and labels that operators' alerts match, and
// that a nil Meter accepts events, durations and gauges.
func TestHandler(t *testing.T) {
	m := New()
	m.Count("request", "accepted")
	m.ObserveDuration("advice", 20*time.Millisecond)
	m.SetGauge("members", 7)
	r := httptest.NewRecorder()
	m.Handler().ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, r.Body.String(), `masticlead_events_total{kind="request",reason="accepted"} 1`)
	require.Contains(t, r.Body.String(), `masticlead_wait_seconds_bucket{kind="advice",le="0.025"} 1`)
	require.Contains(t, r.Body.String(), `masticlead_level{kind="members"} 7`)
	var disabled *Meter
	disabled.Count("a", "b")
	disabled.ObserveDuration("a", 0)
	disabled.SetGauge("a", 0)
}
