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

// readJobs reads one request body a line. Blank lines are ignored. The error is
// of type parser.Findings if lines have faults.
func readJobs(name string, r io.Reader) ([]job, error) {
	rep := &parser.Report{File: name}
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
			rep.Add(line, 1, "%v", err)
			continue
		}
		if first, repeated := seen[j.key]; repeated {
			rep.Add(line, 1, "request %s repeats line %d", j.key, first)
			continue
		}
		seen[j.key] = line
		jobs = append(jobs, j)
	}
	if err := scanner.Err(); err != nil {
		rep.Add(line+1, 1, "%v", err)
	}
	return jobs, rep.Err()
}

// parseJob reads what the batch itself needs. The server checks the rest.
func parseJob(body []byte) (job, error) {
	var known struct {
		descriptor.Key
		DeadlineMs int64 `json:"deadlineMs"`
	}
	j := job{deadline: ownDeadline}
	if err := json.Unmarshal(body, &j.members); err != nil {
		return job{}, fmt.Errorf("line is not a JSON object: %w", err)
	}
	if err := json.Unmarshal(body, &known); err != nil {
		return job{}, fmt.Errorf("line is not a request: %w", err)
	}
	if known.ID == "" || known.Caller == "" {
		return job{}, errors.New("request has no id or no caller")
	}
	j.key = known.Key
	if known.DeadlineMs > 0 {
		j.deadline = time.Duration(known.DeadlineMs) * time.Millisecond
	}
	return j, nil
}

// result is the printed line of one job.
type result struct {
	server.OutcomeBody
	// Attempts counts the calls that were sent.
	Attempts int `json:"attempts"`
	// Error says why there is no outcome.
	Error    string           `json:"error,omitempty"`
	Findings []server.Finding `json:"findings,omitempty"`
}

// summary is the last printed line.
type summary struct {
	Requests       int            `json:"requests"`
	Outcomes       map[string]int `json:"outcomes"`
	WithoutOutcome int            `json:"withoutOutcome"`
	Attempts       int            `json:"attempts"`
	ElapsedMs      int64          `json:"elapsedMs"`
}

// defaultConcurrency is the number of requests in progress at one time.
const defaultConcurrency = 32

// batch submits jobs to an instance and prints a line for each outcome.
type batch struct {
	client      *client
	concurrency int
	out         io.Writer
	clock       clockwork.Clock
	// wait is how long one call waits for the outcome.
	wait time.Duration
	// grace is how long after its deadline a request may still be answered.
	grace time.Duration
	// jitter returns a random number in [0, 1).
	jitter func() float64

	mu      sync.Mutex
	summary summary
}

// newBatch returns a batch for the instance at a base URL.
func newBatch(base string, concurrency int, out io.Writer) *batch {
	c := newClient(base)
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = concurrency
	c.http.Transport = transport
	return &batch{
		client: c, concurrency: concurrency, out: out, clock: clockwork.NewRealClock(),
		wait: 5 * time.Second, grace: 15 * time.Second, jitter: rand.Float64,
		summary: summary{Outcomes: make(map[string]int)},
	}
}

// run submits all jobs, prints one JSON line for each in the order of
// completion, and then the summary. It returns an error if a job had no outcome.
func (b *batch) run(ctx context.Context, jobs []job) error {
	if b.concurrency < 1 {
		return errors.New("concurrency must be at least 1")
	}
	defer b.client.http.CloseIdleConnections()
	started := b.clock.Now()
	var g errgroup.Group
	g.SetLimit(b.concurrency)
	for _, j := range jobs {
		g.Go(func() error { return b.print(b.submit(ctx, j)) })
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

func (b *batch) print(r result) error {
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
// deadline allows no retry, or until its deadline and the grace have passed.
func (b *batch) submit(ctx context.Context, j job) result {
	deadline := b.clock.Now().Add(j.deadline)
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = 50 * time.Millisecond
	pauses.MaxInterval = 2 * time.Second
	r := result{OutcomeBody: server.OutcomeBody{ID: string(j.key.ID), Caller: j.key.Caller}}
	for {
		r.Attempts++
		step := b.attempt(ctx, j, deadline, &r)
		if step.final {
			return r
		}
		pause := step.pause
		if pause == 0 {
			pause = pauses.NextBackOff()
		}
		until := deadline
		if step.mayRun {
			until = deadline.Add(b.grace)
		}
		if b.clock.Now().Add(pause).After(until) {
			return r
		}
		select {
		case <-b.clock.After(pause):
		case <-ctx.Done():
			r.Error = ctx.Err().Error()
			return r
		}
	}
}

// step says what follows one call.
type step struct {
	final bool
	// pause is the time before the next call; 0 selects the backoff.
	pause time.Duration
	// mayRun means that the request may be running, so that its outcome is worth
	// waiting for beyond the deadline.
	mayRun bool
}

// attempt sends the job once and stores what it learned in r.
func (b *batch) attempt(ctx context.Context, j job, deadline time.Time, r *result) step {
	r.OutcomeBody = server.OutcomeBody{ID: string(j.key.ID), Caller: j.key.Caller}
	r.Error, r.Findings = "", nil
	query := url.Values{"waitMs": {strconv.FormatInt(b.wait.Milliseconds(), 10)}}
	res, err := b.client.call(ctx, http.MethodPost, "/v1/requests", query, j.body(deadline.Sub(b.clock.Now())))
	if err != nil {
		r.Error = err.Error()
		return step{mayRun: true}
	}
	if outcome, ok := decodeOutcome(res); ok {
		return b.judge(outcome, r)
	}
	var fault server.FaultBody
	if err := json.Unmarshal(res.body, &fault); err != nil {
		r.Error = fmt.Sprintf("server answered with status %d", res.status)
		return step{mayRun: true}
	}
	r.Error, r.Findings = fault.Error, fault.Findings
	return step{
		final: res.status < http.StatusInternalServerError, mayRun: true,
		pause: time.Duration(fault.RetryAfterMs) * time.Millisecond,
	}
}

// judge decides what follows an outcome.
func (b *batch) judge(outcome server.OutcomeBody, r *result) step {
	if outcome.Outcome == server.Pending {
		r.Error = "still pending after its deadline"
		return step{mayRun: true}
	}
	r.OutcomeBody = outcome
	if outcome.Outcome != descriptor.Refused.String() || outcome.RetryAfterMs == 0 {
		return step{final: true}
	}
	// The server spreads its retry times. A tenth more keeps the requests of
	// this batch apart from each other.
	pause := time.Duration(float64(outcome.RetryAfterMs) * (1 + b.jitter()/10) * float64(time.Millisecond))
	return step{pause: pause}
}

// body returns the request body with the time that is left until the deadline.
// A job without a deadline of its own keeps that of its kind.
func (j job) body(left time.Duration) []byte {
	members := make(map[string]json.RawMessage, len(j.members))
	for name, value := range j.members {
		members[name] = value
	}
	if _, own := members["deadlineMs"]; own {
		ms := max(left.Milliseconds(), 1)
		members["deadlineMs"] = json.RawMessage(strconv.FormatInt(ms, 10))
	}
	body, _ := json.Marshal(members) // members come from valid JSON
	return body
}
