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

// testCell is a development cell whose methods fail the test on errors.
type testCell struct {
	*testing.T
	*DevCell
}

func startCell(t *testing.T) testCell {
	rules, err := examples.Files.ReadFile("dev.rules")
	require.NoError(t, err)
	d, err := StartDevCell(context.Background(), rules)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	return testCell{t, d}
}

func (c testCell) requestOutcome(method, path, body string) server.OutcomeBody {
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

// refusalReason submits a request and returns the reason of its refusal.
func (c testCell) refusalReason(body string) string {
	c.Helper()
	out := c.requestOutcome(http.MethodPost, "/v1/requests", body)
	require.Equal(c, "refused", out.Outcome, "%s: %+v", body, out)
	return out.Reason
}

// metrics returns the values of all time series in /metrics by series name,
// which includes the labels.
func (c testCell) metrics() map[string]string {
	c.Helper()
	res, err := http.Get(c.URL() + "/metrics")
	require.NoError(c, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(c, http.StatusOK, res.StatusCode)
	values := map[string]string{}
	for scanner := bufio.NewScanner(res.Body); scanner.Scan(); {
		if name, value, ok := strings.Cut(scanner.Text(), " "); ok && !strings.HasPrefix(name, "#") {
			values[name] = value
		}
	}
	return values
}

// requireMetric waits until a time series has the value. The wait is needed
// because counters are reported only once a second.
func (c testCell) requireMetric(name, value string) {
	c.Helper()
	require.Eventually(c, func() bool { return c.metrics()[name] == value }, 30*time.Second, 50*time.Millisecond,
		"metric %s did not reach the value %s", name, value)
}

func (c testCell) setTargetFaults(f emulator.Faults) {
	for _, t := range c.cell.Targets {
		t.SetFaults(f)
	}
}

// TestRefusalsAndRetriesAreCounted guards against refusals, cancellations and
// retries that are not counted in /metrics.
func TestRefusalsAndRetriesAreCounted(t *testing.T) {
	c := startCell(t)
	for reason, body := range map[string]string{
		"notAllowed":    `{"id":"r1","caller":"guest-1","kind":"doorCodeCheck"}`,
		"unknownKind":   `{"id":"r2","caller":"office-1","kind":"nothing"}`,
		"neverFits":     `{"id":"r3","caller":"office-1","kind":"doorCodeCheck","resources":{"cpuMilli":99000,"memoryMiB":64,"slots":1}}`,
		"deadlineUnmet": `{"id":"r4","caller":"office-1","kind":"weekPlan","declaredRunMs":20000,"deadlineMs":10}`,
	} {
		require.Equal(t, reason, c.refusalReason(body))
		c.requireMetric(fmt.Sprintf("masticlead_server_refusals{reason=%q}", reason), "1")
		c.requireMetric(fmt.Sprintf("masticlead_dispatcher_refusals{reason=%q}", reason), "1")
	}

	c.requestOutcome(http.MethodPost, "/v1/requests?waitMs=1", `{"id":"r5","caller":"office-1","kind":"weekPlan","payload":{"runMs":20000}}`)
	require.Equal(t, "cancelled", c.requestOutcome(http.MethodDelete, "/v1/requests/office-1/r5", "").Outcome)
	c.requireMetric(`masticlead_dispatcher_outcomes{outcome="cancelled"}`, "1")

	c.setTargetFaults(emulator.Faults{FailAll: true})
	require.Equal(t, "failed", c.requestOutcome(http.MethodPost, "/v1/requests", `{"id":"r6","caller":"office-1","kind":"doorCodeCheck"}`).Outcome)
	c.setTargetFaults(emulator.Faults{})
	require.Eventually(t, func() bool { return c.metrics()[`masticlead_dispatcher_retries{reason="failed"}`] != "" }, 30*time.Second, 50*time.Millisecond)

	c.cell.Platform.Table.SetFaults(emulator.Faults{Down: true})
	require.Equal(t, "storeUnavailable", c.refusalReason(`{"id":"r7","caller":"office-1","kind":"commissionSettlement","deadlineMs":2000}`))
	c.cell.Platform.Table.SetFaults(emulator.Faults{})
	c.requireMetric(`masticlead_dispatcher_refusals{reason="storeUnavailable"}`, "1")
}

// TestMetricNames guards against metrics without the common prefix, with the name
// of their component twice, in another case than the others, or not registered
// because the same name was used with different tags.
func TestMetricNames(t *testing.T) {
	logPath := filepath.Join(t.TempDir(), "log")
	logFile, err := os.Create(logPath)
	require.NoError(t, err)
	stderr := os.Stderr
	os.Stderr = logFile
	t.Cleanup(func() { os.Stderr = stderr })
	c := startCell(t)
	c.requestOutcome(http.MethodPost, "/v1/requests", `{"id":"r1","caller":"fitter-1","kind":"doorCodeCheck"}`)
	c.requireMetric("masticlead_dispatcher_starts", "1")
	for series := range c.metrics() {
		name, _, _ := strings.Cut(series, "{")
		require.Regexp(t, `^masticlead(_[a-z]+)+$`, name)
		parts := strings.Split(name, "_")
		require.NotEqual(t, parts[1], parts[2], name)
	}
	logOutput, err := os.ReadFile(logPath)
	require.NoError(t, err)
	require.NotContains(t, string(logOutput), "metric not registered")
}
