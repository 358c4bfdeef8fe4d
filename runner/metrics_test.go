package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/emulator"
	"github.com/masticlead/masticlead/examples"
	"github.com/masticlead/masticlead/server"
)

// devCell is a development cell in a test.
type devCell struct {
	*testing.T
	*Dev
}

func startCell(t *testing.T) devCell {
	rules, err := examples.Files.ReadFile("dev.rules")
	require.NoError(t, err)
	d, err := StartDev(context.Background(), rules)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	return devCell{t, d}
}

func (c devCell) outcome(method, path, body string) server.OutcomeBody {
	c.Helper()
	r, err := http.NewRequest(method, c.URL()+path, strings.NewReader(body))
	require.NoError(c, err)
	res, err := http.DefaultClient.Do(r)
	require.NoError(c, err)
	defer func() { _ = res.Body.Close() }()
	var out server.OutcomeBody
	require.NoError(c, json.NewDecoder(res.Body).Decode(&out))
	return out
}

// reason submits a request and returns the reason of its refusal.
func (c devCell) reason(body string) string {
	c.Helper()
	out := c.outcome(http.MethodPost, "/v1/requests", body)
	require.Equal(c, "refused", out.Outcome, "%s: %+v", body, out)
	return out.Reason
}

// series returns the lines of /metrics that are not comments.
func (c devCell) series() map[string]string {
	c.Helper()
	res, err := http.Get(c.URL() + "/metrics")
	require.NoError(c, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(c, http.StatusOK, res.StatusCode)
	all := map[string]string{}
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && !strings.HasPrefix(name, "#") {
			all[name] = value
		}
	}
	return all
}

// requireSeries waits until a series has the value; counters are reported once a
// second.
func (c devCell) requireSeries(name, value string) {
	c.Helper()
	require.Eventually(c, func() bool { return c.series()[name] == value }, 30*time.Second, 50*time.Millisecond,
		"%s is not %s", name, value)
}

func (c devCell) setTargets(f emulator.Faults) {
	for _, t := range c.cell.Targets {
		t.Set(f)
	}
}

// TestRefusalsAndRetriesAreCounted guards against a refusal, a cancellation or a
// retry that operators can't see in /metrics.
func TestRefusalsAndRetriesAreCounted(t *testing.T) {
	c := startCell(t)
	for reason, body := range map[string]string{
		"notAllowed":    `{"id":"r1","caller":"guest-1","kind":"doorCodeCheck"}`,
		"unknownKind":   `{"id":"r2","caller":"office-1","kind":"nothing"}`,
		"neverFits":     `{"id":"r3","caller":"office-1","kind":"doorCodeCheck","resources":{"cpuMilli":99000,"memoryMiB":64,"slots":1}}`,
		"deadlineUnmet": `{"id":"r4","caller":"office-1","kind":"weekPlan","declaredRunMs":20000,"deadlineMs":10}`,
	} {
		require.Equal(t, reason, c.reason(body))
		c.requireSeries(fmt.Sprintf("masticlead_server_refusals{reason=%q}", reason), "1")
		c.requireSeries(fmt.Sprintf("masticlead_dispatcher_refusals{reason=%q}", reason), "1")
	}

	c.outcome(http.MethodPost, "/v1/requests?waitMs=1", `{"id":"r5","caller":"office-1","kind":"weekPlan","payload":{"runMs":20000}}`)
	require.Equal(t, "cancelled", c.outcome(http.MethodDelete, "/v1/requests/office-1/r5", "").Outcome)
	c.requireSeries(`masticlead_dispatcher_outcomes{outcome="cancelled"}`, "1")

	c.setTargets(emulator.Faults{FailAll: true})
	require.Equal(t, "failed", c.outcome(http.MethodPost, "/v1/requests", `{"id":"r6","caller":"office-1","kind":"doorCodeCheck"}`).Outcome)
	c.setTargets(emulator.Faults{})
	require.Eventually(t, func() bool { return c.series()[`masticlead_dispatcher_retries{reason="failed"}`] != "" }, 30*time.Second, 50*time.Millisecond)

	c.cell.Platform.Table.Set(emulator.Faults{Down: true})
	require.Equal(t, "storeUnavailable", c.reason(`{"id":"r7","caller":"office-1","kind":"commissionSettlement","deadlineMs":2000}`))
	c.cell.Platform.Table.Set(emulator.Faults{})
	c.requireSeries(`masticlead_dispatcher_refusals{reason="storeUnavailable"}`, "1")
}

// TestMetricNames guards against a counter without the common prefix, registered
// under one name with different tags, with the name of its part twice, or in another case than the
// others.
func TestMetricNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(path)
	require.NoError(t, err)
	stderr := os.Stderr
	os.Stderr = log
	t.Cleanup(func() { os.Stderr = stderr })
	c := startCell(t)
	c.outcome(http.MethodPost, "/v1/requests", `{"id":"r1","caller":"fitter-1","kind":"doorCodeCheck"}`)
	c.requireSeries("masticlead_dispatcher_starts", "1")
	for series := range c.series() {
		name, _, _ := strings.Cut(series, "{")
		require.Regexp(t, `^masticlead(_[a-z]+)+$`, name)
		parts := strings.Split(name, "_")
		require.NotEqual(t, parts[1], parts[2], name)
	}
	written, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NotContains(t, string(written), "metric not registered")
}
