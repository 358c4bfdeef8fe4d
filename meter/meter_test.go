package meter

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestText guards the text that operators' alerts read, and the use without a
// meter.
func TestText(t *testing.T) {
	m := New()
	m.Count("request", "accepted")
	m.Wait("advice", 20*time.Millisecond)
	m.Level("members", 7)
	r := httptest.NewRecorder()
	m.Handler().ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, r.Body.String(), `masticlead_events_total{kind="request",reason="accepted"} 1`)
	require.Contains(t, r.Body.String(), `masticlead_wait_seconds_bucket{kind="advice",le="0.025"} 1`)
	require.Contains(t, r.Body.String(), `masticlead_level{kind="members"} 7`)
	var none *Meter
	none.Count("a", "b")
	none.Wait("a", 0)
	none.Level("a", 0)
}
