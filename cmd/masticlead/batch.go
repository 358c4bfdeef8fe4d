package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/parser"
	"github.com/masticlead/masticlead/server"
)

// job is one line of a jobs file.
type job struct {
	key      descriptor.Key
	deadline time.Duration
	members  map[string]json.RawMessage
}

// readJobs parses one JSON request body per line and skips blank lines. If lines
// are invalid, the error has type parser.Findings and lists them.
func readJobs(name string, r io.Reader) ([]job, error) {
	report := &parser.Report{File: name}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxInputBytes)
	seen := make(map[descriptor.Key]int)
	var jobs []job
	line := 0
	for scanner.Scan() {
		line++
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		j, err := parseJob(scanner.Bytes())
		if err != nil {
			report.Add(line, 1, "%v", err)
			continue
		}
		if first, duplicate := seen[j.key]; duplicate {
			report.Add(line, 1, "request %s repeats line %d", j.key, first)
			continue
		}
		seen[j.key] = line
		jobs = append(jobs, j)
	}
	if err := scanner.Err(); err != nil {
		report.Add(line+1, 1, "%v", err)
	}
	return jobs, report.Err()
}

// parseJob decodes the members that the batch itself needs. The server validates
// the others.
func parseJob(body []byte) (job, error) {
	var request struct {
		descriptor.Key
		DeadlineMs int64 `json:"deadlineMs"`
	}
	j := job{deadline: defaultDeadline}
	if err := json.Unmarshal(body, &j.members); err != nil {
		return job{}, fmt.Errorf("line is not a JSON object: %w", err)
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return job{}, fmt.Errorf("line is not a request: %w", err)
	}
	if request.ID == "" || request.Caller == "" {
		return job{}, errors.New("request has no id or no caller")
	}
	j.key = request.Key
	if request.DeadlineMs > 0 {
		j.deadline = time.Duration(request.DeadlineMs) * time.Millisecond
	}
	return j, nil
}

// result is the JSON line printed for one job.
type result struct {
	server.OutcomeBody
	// Attempts counts the calls of the API, including those that failed.
	Attempts int `json:"attempts"`
	// Error explains why there is no outcome, or that the retries of a refused job
	// were interrupted.
	Error    string           `json:"error,omitempty"`
	Findings []server.Finding `json:"findings,omitempty"`
}

// summary is the last JSON line, with totals over all jobs.
type summary struct {
	Requests       int            `json:"requests"`
	Outcomes       map[string]int `json:"outcomes"`
	WithoutOutcome int            `json:"withoutOutcome"`
	Attempts       int            `json:"attempts"`
	ElapsedMs      int64          `json:"elapsedMs"`
}

// defaultConcurrency is the default limit of concurrent requests.
const defaultConcurrency = 32

// batch submits jobs to an instance and prints a JSON line for each of them.
type batch struct {
	client      *client
	concurrency int
	out         io.Writer
	clock       clockwork.Clock
	// wait is the time that one call waits on the server for the outcome.
	wait time.Duration
	// gracePeriod is the time after its deadline during which the outcome of a
	// request is still polled.
	gracePeriod time.Duration
	// jitter returns a pseudo-random number in [0, 1).
	jitter func() float64

	mu      sync.Mutex
	summary summary
}

// newBatch returns a batch that submits to the instance with the given base URL.
func newBatch(base string, concurrency int, out io.Writer) *batch {
	c := newClient(base)
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = concurrency
	c.http.Transport = transport
	return &batch{
		client: c, concurrency: concurrency, out: out, clock: clockwork.NewRealClock(),
		wait: 5 * time.Second, gracePeriod: 15 * time.Second, jitter: rand.Float64,
		summary: summary{Outcomes: make(map[string]int)},
	}
}

// run submits all jobs and prints one JSON line for each in order of completion,
// followed by the summary. It returns an error if any job had no outcome.
func (b *batch) run(ctx context.Context, jobs []job) error {
	if b.concurrency < 1 {
		return errors.New("concurrency must be at least 1")
	}
	defer b.client.http.CloseIdleConnections()
	started := b.clock.Now()
	var g errgroup.Group
	g.SetLimit(b.concurrency)
	for _, j := range jobs {
		g.Go(func() error { return b.printResult(b.submit(ctx, j)) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	b.summary.ElapsedMs = b.clock.Since(started).Milliseconds()
	if err := json.NewEncoder(b.out).Encode(map[string]summary{"summary": b.summary}); err != nil {
		return err
	}
	if b.summary.WithoutOutcome > 0 {
		return fmt.Errorf("%d of %d requests had no outcome", b.summary.WithoutOutcome, b.summary.Requests)
	}
	return nil
}

func (b *batch) printResult(r result) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.summary.Requests++
	b.summary.Attempts += r.Attempts
	if r.Outcome == "" {
		b.summary.WithoutOutcome++
	} else {
		b.summary.Outcomes[r.Outcome]++
	}
	return json.NewEncoder(b.out).Encode(r)
}

// submit sends a job until it has an outcome, until it is refused and its
// deadline leaves no time for a retry, or until the deadline and the grace period
// have passed.
func (b *batch) submit(ctx context.Context, j job) result {
	deadline := b.clock.Now().Add(j.deadline)
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = 50 * time.Millisecond
	retryBackoff.MaxInterval = 2 * time.Second
	r := result{OutcomeBody: server.OutcomeBody{ID: string(j.key.ID), Caller: j.key.Caller}}
	for {
		r.Attempts++
		decision := b.attempt(ctx, j, deadline, &r)
		if decision.final {
			return r
		}
		delay := decision.delay
		if delay == 0 {
			delay = retryBackoff.NextBackOff()
		}
		retryUntil := deadline
		if decision.mayBeRunning {
			retryUntil = deadline.Add(b.gracePeriod)
		}
		if b.clock.Now().Add(delay).After(retryUntil) {
			return r
		}
		select {
		case <-b.clock.After(delay):
		case <-ctx.Done():
			r.Error = ctx.Err().Error()
			return r
		}
	}
}

// retryDecision says whether and when a job is sent again after a call.
type retryDecision struct {
	final bool
	// delay is the time before the next call; 0 selects exponential backoff.
	delay time.Duration
	// mayBeRunning means that the request may be running, so its outcome is polled
	// beyond the deadline, until the end of the grace period.
	mayBeRunning bool
}

// attempt sends the job once and records the outcome or the error in r.
func (b *batch) attempt(ctx context.Context, j job, deadline time.Time, r *result) retryDecision {
	r.OutcomeBody = server.OutcomeBody{ID: string(j.key.ID), Caller: j.key.Caller}
	r.Error, r.Findings = "", nil
	query := url.Values{"waitMs": {strconv.FormatInt(b.wait.Milliseconds(), 10)}}
	res, err := b.client.call(ctx, http.MethodPost, "/v1/requests", query, j.requestBody(deadline.Sub(b.clock.Now())))
	if err != nil {
		r.Error = err.Error()
		return retryDecision{mayBeRunning: true}
	}
	if outcome, ok := decodeOutcome(res); ok {
		return b.evaluateOutcome(outcome, r)
	}
	var fault server.ErrorBody
	if err := json.Unmarshal(res.body, &fault); err != nil {
		r.Error = fmt.Sprintf("server returned status %d", res.status)
		return retryDecision{mayBeRunning: true}
	}
	r.Error, r.Findings = fault.Error, fault.Findings
	return retryDecision{
		final: res.status < http.StatusInternalServerError, mayBeRunning: true,
		delay: time.Duration(fault.RetryAfterMs) * time.Millisecond,
	}
}

// evaluateOutcome records an outcome in r, unless it is pending, and decides
// whether the job is sent again.
func (b *batch) evaluateOutcome(outcome server.OutcomeBody, r *result) retryDecision {
	if outcome.Outcome == server.Pending {
		r.Error = "still pending after its deadline"
		return retryDecision{mayBeRunning: true}
	}
	r.OutcomeBody = outcome
	if outcome.Outcome != descriptor.Refused.String() || outcome.RetryAfterMs == 0 {
		return retryDecision{final: true}
	}
	// The server already spreads its retry times. Up to 10 % of additional jitter
	// keeps the requests of this batch from retrying at the same time.
	delay := time.Duration(float64(outcome.RetryAfterMs) * (1 + b.jitter()/10) * float64(time.Millisecond))
	return retryDecision{delay: delay}
}

// requestBody returns the request body with the time remaining until the
// deadline. For a job that sets no deadline none is added, so that the default of
// its kind applies.
func (j job) requestBody(remaining time.Duration) []byte {
	members := make(map[string]json.RawMessage, len(j.members))
	for name, value := range j.members {
		members[name] = value
	}
	if _, hasDeadline := members["deadlineMs"]; hasDeadline {
		ms := max(remaining.Milliseconds(), 1)
		members["deadlineMs"] = json.RawMessage(strconv.FormatInt(ms, 10))
	}
	body, _ := json.Marshal(members) // can't fail: all members come from valid JSON
	return body
}
