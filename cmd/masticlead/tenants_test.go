package main

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/meter"
	w "github.com/masticlead/masticlead/workload"
)

// TestTenants guards against counters that are not summed over the instances, gauges of
// a former leader, and an unreachable instance that hides what the others report.
func TestTenants(t *testing.T) {
	serve := func(epoch, running float64) *meter.Meter {
		m := meter.New()
		m.SetTenants([]w.Tenant{{Name: "a"}, {Name: `quo"ted`}})
		m.CountTenant("a", "accepted")
		m.CountTenant("a", "tenantRate")
		m.CountTenant(`quo"ted`, "accepted")
		if epoch > 0 {
			m.SetGauge("tenantsEpoch", epoch)
			m.SetTenantLevels("runningCpu", map[w.TenantName]float64{"a": running})
			m.SetTenantLevels("capCpu", map[w.TenantName]float64{"a": 9000})
			m.SetTenantLevels("limited", map[w.TenantName]float64{"a": 1})
			m.SetTenantLevels("rate", map[w.TenantName]float64{"a": 40})
		}
		return m
	}
	var args []string
	for _, m := range []*meter.Meter{serve(3, 5000), serve(2, 7000), serve(0, 0)} {
		s := httptest.NewServer(m.Handler())
		t.Cleanup(s.Close)
		args = append(args, "--metrics", s.URL)
	}
	code, out, errs := runCommand(t, append([]string{"tenants", "--json"}, args...)...)
	require.Zero(t, code, errs)
	var rows []tenantRow
	require.NoError(t, json.Unmarshal([]byte(out), &rows))
	require.Equal(t, []tenantRow{
		{Tenant: "a", RunningCPU: 5000, CapCPU: 9000, Rate: 40, Limited: true, Accepted: 3, Refused: map[string]float64{"tenantRate": 3}},
		{Tenant: `quo"ted`, Accepted: 3, Refused: map[string]float64{}},
	}, rows)

	code, out, errs = runCommand(t, append([]string{"tenants", "--metrics", "http://127.0.0.1:1"}, args...)...)
	require.Equal(t, exitFailure, code)
	require.Contains(t, errs, "127.0.0.1:1")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 3)
	require.Regexp(t, `^TENANT +RUNNING CPU +CAP CPU +SHARE +WAITING +RATE/S +LIMITED +ACCEPTED +REFUSED$`, lines[0])
	require.Regexp(t, `^a +5000 +9000 +0.000 +0 +40 +true +3 +tenantRate=3$`, lines[1])
}

// TestExplainShowsTenantLimits guards against a refusal that is shown without its
// tenant's limit, or with those of other tenants.
func TestExplainShowsTenantLimits(t *testing.T) {
	path := writeFile(t, "a.log", `
time=2026-01-01T00:00:01.000Z level=INFO msg="tenant limited or released" tenant=hot limited=true excess=81
time=2026-01-01T00:00:01.000Z level=INFO msg="tenant limited or released" tenant=hotter limited=true excess=90
time=2026-01-01T00:00:02.000Z level=INFO msg="job over its tenant's rate refused" job=0011 reason=tenantRate configuration=7 configurationAge=3s tenant=hot retryAfter=2s
`)
	code, out, errs := runCommand(t, "explain", "0011", "--logs", path)
	require.Zero(t, code, errs)
	require.Contains(t, out, "tenant=hot limited=true")
	require.NotContains(t, out, "hotter")
	require.Contains(t, out, "reason=tenantRate configuration=7")
}
