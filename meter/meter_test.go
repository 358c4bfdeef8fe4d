package meter

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
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

// TestTenantsBounded guards against a number of time series that grows with the number
// of tenants, instances that name different tenants, and series of removed tenants.
func TestTenantsBounded(t *testing.T) {
	m := New()
	scrape := func() string {
		r := httptest.NewRecorder()
		m.Handler().ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
		return r.Body.String()
	}
	const count = 2000
	var tenants []w.Tenant
	levels := make(map[w.TenantName]float64)
	for i := range count {
		tenants = append(tenants, w.Tenant{Name: w.TenantName(fmt.Sprintf("t%04d", i)), Weight: float64(i)})
		levels[tenants[i].Name] = 1
	}
	m.SetTenants(tenants)
	for i := range tenants {
		m.CountTenant(tenants[i].Name, "accepted")
	}
	m.CountTenant("unknown", "accepted")
	m.SetTenantLevels("waitingJobs", levels)
	text := scrape()
	require.Contains(t, text, `masticlead_tenant_requests_total{result="accepted",tenant="t1999"} 1`)
	require.Contains(t, text, `masticlead_tenant_requests_total{result="accepted",tenant="other"} 1951`)
	require.Contains(t, text, `masticlead_tenant_level{kind="waitingJobs",tenant="other"} 1950`)
	require.Equal(t, maxNamedTenants+1, strings.Count(text, "masticlead_tenant_level{"))
	m.SetTenants(tenants[:1])
	m.SetTenantLevels("waitingJobs", map[w.TenantName]float64{"t0000": 2})
	text = scrape()
	require.NotContains(t, text, "t1999")
	require.Equal(t, 1, strings.Count(text, "masticlead_tenant_level{"))
	var disabled *Meter
	disabled.SetTenants(nil)
	disabled.CountTenant("a", "accepted")
	disabled.SetTenantLevels("share", nil)
}
