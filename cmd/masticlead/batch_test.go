package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/server"
)

// runBatch runs jobs against an API and returns the results by id, the summary
// and the error.
func runBatch(t *testing.T, url, lines string, change func(*batch)) (map[string]result, summary, error) {
	t.Helper()
	jobs, err := readJobs("jobs", strings.NewReader(lines))
	require.NoError(t, err)
	var out bytes.Buffer
	b := newBatch(url, 4, &out)
	b.jitter = func() float64 { return 0 }
	if change != nil {
		change(b)
	}
	runErr := b.run(context.Background(), jobs)
	results := make(map[string]result)
	printed := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, line := range printed[:len(printed)-1] {
		var r result
		require.NoError(t, json.Unmarshal([]byte(line), &r))
		results[r.ID] = r
	}
	var last struct{ Summary summary }
	require.NoError(t, json.Unmarshal([]byte(printed[len(printed)-1]), &last))
	return results, last.Summary, runErr
}

func line(id string, deadlineMs int) string {
	return fmt.Sprintf(`{"id":%q,"caller":"c","kind":"k","deadlineMs":%d}`+"\n", id, deadlineMs)
}

// TestBatchRetriesWithinItsDeadline guards against a refused request that is
// given up although its deadline allows a retry, or retried after it, and
// against a retry that carries the whole deadline again.
func TestBatchRetriesWithinItsDeadline(t *testing.T) {
	var calls atomic.Int32
	var last atomic.Int64
	refuse := func(retryAfter time.Duration) (server.Answer, error) {
		r := descriptor.Refusal{Reason: descriptor.ReasonQueueFull, RetryAfter: retryAfter}
		return server.Answer{Outcome: descriptor.NewUnstarted().Refuse(r)}, nil
	}
	url := startAPI(t, &stub{submit: func(sub server.Submission) (server.Answer, error) {
		switch sub.Key.ID {
		case "soon":
			last.Store(sub.Deadline.Milliseconds())
			if calls.Add(1) < 3 {
				return refuse(20 * time.Millisecond)
			}
			return completed(), nil
		case "late":
			return refuse(time.Hour)
		default:
			return refuse(0)
		}
	}})
	results, sum, err := runBatch(t, url, line("soon", 60_000)+line("late", 1000)+line("never", 60_000), nil)
	require.NoError(t, err)
	require.Equal(t, "completed", results["soon"].Outcome)
	require.Equal(t, 3, results["soon"].Attempts)
	require.LessOrEqual(t, last.Load(), int64(60_000-40))
	require.Equal(t, "refused", results["late"].Outcome)
	require.Equal(t, 1, results["late"].Attempts)
	require.Equal(t, 1, results["never"].Attempts)
	require.Equal(t, map[string]int{"completed": 1, "refused": 2}, sum.Outcomes)
	require.Equal(t, 5, sum.Attempts)
}

// TestBatchAsksAgainWhileAnOutcomeIsMissing guards against a request that is
// reported as done while it is pending or after an error that leaves it open.
func TestBatchAsksAgainWhileAnOutcomeIsMissing(t *testing.T) {
	var calls atomic.Int32
	url := startAPI(t, &stub{submit: func(server.Submission) (server.Answer, error) {
		switch calls.Add(1) {
		case 1:
			return server.Answer{Pending: true}, nil
		case 2:
			return server.Answer{}, errors.New("peer closed the connection")
		}
		return completed(), nil
	}})
	results, _, err := runBatch(t, url, line("r1", 60_000), nil)
	require.NoError(t, err)
	require.Equal(t, 3, results["r1"].Attempts)
	require.Empty(t, results["r1"].Error)
}

// TestBatchFailsWithoutOutcome guards against exit code 0 for a request that
// nobody answered.
func TestBatchFailsWithoutOutcome(t *testing.T) {
	url := startAPI(t, &stub{submit: func(sub server.Submission) (server.Answer, error) {
		if sub.Key.ID == "open" {
			return server.Answer{Pending: true}, nil
		}
		return completed(), nil
	}})
	lines := line("open", 30) + line("r1", 30) + line("a/b", 30)
	results, sum, err := runBatch(t, url, lines, func(b *batch) { b.grace = 50 * time.Millisecond })
	require.EqualError(t, err, "2 of 3 requests had no outcome")
	require.Equal(t, 2, sum.WithoutOutcome)
	require.Equal(t, "still pending after its deadline", results["open"].Error)
	require.Equal(t, "id", results["a/b"].Findings[0].Field)

	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	results, _, err = runBatch(t, down.URL, line("r1", 30), func(b *batch) { b.grace = 0 })
	require.Error(t, err)
	require.Contains(t, results["r1"].Error, "refused")
}

// TestBatchBoundsItsConcurrency guards against a batch that floods the instance.
func TestBatchBoundsItsConcurrency(t *testing.T) {
	var now atomic.Int32
	var exceeded atomic.Bool
	url := startAPI(t, &stub{submit: func(server.Submission) (server.Answer, error) {
		defer now.Add(-1)
		if now.Add(1) > 4 {
			exceeded.Store(true)
		}
		time.Sleep(time.Millisecond)
		return completed(), nil
	}})
	lines := ""
	for i := range 100 {
		lines += line(fmt.Sprint("r", i), 60_000)
	}
	_, sum, err := runBatch(t, url, lines, nil)
	require.NoError(t, err)
	require.Equal(t, 100, sum.Outcomes["completed"])
	require.False(t, exceeded.Load())
}

// TestReadJobsFindings guards against a jobs file whose faults come one at a
// time or without their line.
func TestReadJobsFindings(t *testing.T) {
	_, err := readJobs("j", strings.NewReader("\n[]\n{\"id\":1}\n{\"id\":\"a\"}\n"+line("a", 1)+line("a", 2)+"{"))
	require.ErrorContains(t, err, "j:2:1: line is not a JSON object")
	require.ErrorContains(t, err, "j:3:1: line is not a request")
	require.ErrorContains(t, err, "j:4:1: request has no id or no caller")
	require.ErrorContains(t, err, "j:6:1: request c/a repeats line 5")
	require.ErrorContains(t, err, "j:7:1: line is not a JSON object")
}

// FuzzReadJobs guards against a jobs file that crashes the command, and against
// two jobs with the same key.
func FuzzReadJobs(f *testing.F) {
	f.Add(line("a", 1) + "\n" + line("b", 2))
	f.Add(`{"id":"a","caller":"b","ID":"c","deadlineMs":null}`)
	f.Fuzz(func(t *testing.T, src string) {
		jobs, err := readJobs("j", strings.NewReader(src))
		if err != nil {
			return
		}
		seen := make(map[descriptor.Key]bool)
		for _, j := range jobs {
			require.False(t, seen[j.key])
			seen[j.key] = true
			require.True(t, json.Valid(j.body(time.Second)))
		}
	})
}
