package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplainMergesLogs guards against lines of a request that are not merged in
// time order over several logs, a missing change of leader between them, and
// lines of other requests.
func TestExplainMergesLogs(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(a, []byte(`
  1.0 node-a time=2026-01-01T00:00:01.000Z level=INFO msg="job accepted" job=0011 queue=q
  1.1 node-a time=2026-01-01T00:00:01.100Z level=INFO msg="job accepted" job=0022 queue=q
`), 0o600))
	require.NoError(t, os.WriteFile(b, []byte(`
time=2026-01-01T00:00:03.000Z level=INFO msg="job ended" job=0011 state=completed
time=2026-01-01T00:00:02.000Z level=INFO msg="took over" epoch=2
`), 0o600))
	var out, errs bytes.Buffer
	require.Zero(t, run(t.Context(), []string{"explain", "0011", "--logs", a, "--logs", b}, nil, &out, &errs), errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], "job accepted")
	require.Contains(t, lines[0], "node-a")
	require.Contains(t, lines[1], "took over")
	require.Contains(t, lines[2], "job ended")
	require.NotZero(t, run(t.Context(), []string{"explain", "0033", "--logs", a}, nil, &out, &errs))
}
