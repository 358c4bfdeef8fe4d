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

// runBatch runs the jobs in lines against an API and returns the results by
// request ID, the summary and the error of the batch.
func runBatch(t *testing.T, url, lines string, configure func(*batch)) (map[string]result, summary, error) {
	t.Helper()
	jobs, err := readJobs("jobs", strings.NewReader(lines))
	require.NoError(t, err)
	var out bytes.Buffer
	b := newBatch(url, 4, &out)
	b.jitter = func() float64 { return 0 }
	if configure != nil {
		configure(b)
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

func jobLine(id string, deadlineMs int) string {
	return fmt.Sprintf(`{"id":%q,"caller":"c","kind":"k","deadlineMs":%d}`+"\n", id, deadlineMs)
}

// TestBatchRetriesUntilDeadline guards against a refused request that is not
// retried although its deadline allows it, or retried after the deadline, and
// against a retry that carries the full deadline instead of the remaining time.
func TestBatchRetriesUntilDeadline(t *testing.T) {
	var calls atomic.Int32
	var last atomic.Int64
	refuse := func(retryAfter time.Duration) (server.RequestState, error) {
		r := descriptor.Refusal{Reason: descriptor.ReasonQueueFull, RetryAfter: retryAfter}
		return server.RequestState{Outcome: descriptor.NewUnstarted().Refuse(r)}, nil
	}
	url := startAPI(t, &stubBackend{submit: func(sub server.Submission) (server.RequestState, error) {
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
	results, sum, err := runBatch(t, url, jobLine("soon", 60_000)+jobLine("late", 1000)+jobLine("never", 60_000), nil)
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

// TestBatchPollsUntilOutcome guards against a request that is reported as
// finished while it is pending, or after an error that leaves its outcome unknown.
func TestBatchPollsUntilOutcome(t *testing.T) {
	var calls atomic.Int32
	url := startAPI(t, &stubBackend{submit: func(server.Submission) (server.RequestState, error) {
		switch calls.Add(1) {
		case 1:
			return server.RequestState{Pending: true}, nil
		case 2:
			return server.RequestState{}, errors.New("peer closed the connection")
		}
		return completed(), nil
	}})
	results, _, err := runBatch(t, url, jobLine("r1", 60_000), nil)
	require.NoError(t, err)
	require.Equal(t, 3, results["r1"].Attempts)
	require.Empty(t, results["r1"].Error)
}

// TestBatchFailsWithoutOutcome guards against a batch that succeeds although a
// request had no outcome.
func TestBatchFailsWithoutOutcome(t *testing.T) {
	url := startAPI(t, &stubBackend{submit: func(sub server.Submission) (server.RequestState, error) {
		if sub.Key.ID == "open" {
			return server.RequestState{Pending: true}, nil
		}
		return completed(), nil
	}})
	lines := jobLine("open", 30) + jobLine("r1", 30) + jobLine("a/b", 30)
	results, sum, err := runBatch(t, url, lines, func(b *batch) { b.gracePeriod = 50 * time.Millisecond })
	require.EqualError(t, err, "2 of 3 requests had no outcome")
	require.Equal(t, 2, sum.WithoutOutcome)
	require.Equal(t, "still pending after its deadline", results["open"].Error)
	require.Equal(t, "id", results["a/b"].Findings[0].Field)

	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	results, _, err = runBatch(t, down.URL, jobLine("r1", 30), func(b *batch) { b.gracePeriod = 0 })
	require.Error(t, err)
	require.Contains(t, results["r1"].Error, "refused")
}

// TestBatchLimitsConcurrency guards against a batch that overloads the instance
// with more concurrent requests than its limit.
func TestBatchLimitsConcurrency(t *testing.T) {
	var inFlight atomic.Int32
	var exceeded atomic.Bool
	url := startAPI(t, &stubBackend{submit: func(server.Submission) (server.RequestState, error) {
		defer inFlight.Add(-1)
		if inFlight.Add(1) > 4 {
			exceeded.Store(true)
		}
		time.Sleep(time.Millisecond)
		return completed(), nil
	}})
	lines := ""
	for i := range 100 {
		lines += jobLine(fmt.Sprint("r", i), 60_000)
	}
	_, sum, err := runBatch(t, url, lines, nil)
	require.NoError(t, err)
	require.Equal(t, 100, sum.Outcomes["completed"])
	require.False(t, exceeded.Load())
}

// TestReadJobsFindings guards against invalid lines of a jobs file that are
// reported one at a time or without their line number.
func TestReadJobsFindings(t *testing.T) {
	_, err := readJobs("j", strings.NewReader("\n[]\n{\"id\":1}\n{\"id\":\"a\"}\n"+jobLine("a", 1)+jobLine("a", 2)+"{"))
	require.ErrorContains(t, err, "j:2:1: line is not a JSON object")
	require.ErrorContains(t, err, "j:3:1: line is not a request")
	require.ErrorContains(t, err, "j:4:1: request has no id or no caller")
	require.ErrorContains(t, err, "j:6:1: request c/a repeats line 5")
	require.ErrorContains(t, err, "j:7:1: line is not a JSON object")
}

// FuzzReadJobs guards against a jobs file that crashes the command, against two
// jobs with the same key, and against request bodies that are not valid JSON.
func FuzzReadJobs(f *testing.F) {
	f.Add(jobLine("a", 1) + "\n" + jobLine("b", 2))
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
			require.True(t, json.Valid(j.requestBody(time.Second)))
		}
	})
}
