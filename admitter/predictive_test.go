package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/estimator"
	"github.com/masticlead/masticlead/sequencer"
)

var (
	startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testClass = sequencer.Class{Kind: "check", Priority: descriptor.Normal}
)

func newPolicy() *Predictive { return NewPredictive(Bounds{}, rand.New(rand.NewPCG(1, 1))) }

// newCandidate returns a request that needs the whole capacity for 10 ms.
func newCandidate(now time.Time, deadline time.Duration, classBacklog, callerBacklog Backlog) Candidate {
	const runTime = 100 * time.Millisecond
	return Candidate{
		Request: &descriptor.Request{Deadline: now.Add(deadline)}, Class: testClass,
		RunTime: estimator.Estimate{Low: runTime, Mean: runTime, High: runTime},
		Cost:    Backlog{Requests: 1, Bytes: 300, Work: 0.01}, ClassBacklog: classBacklog, TotalBacklog: classBacklog,
		CallerClassBacklog: callerBacklog, CallerBacklog: callerBacklog, CallerShare: 1 / float64(max(classBacklog.Requests/10, 1)),
	}
}

func newBacklog(n int) Backlog {
	return Backlog{Requests: n, Bytes: descriptor.Bytes(300 * n), Work: 0.01 * float64(n)}
}

// serveAtRate simulates 10 s in which requests arrive and start at a rate per second
// while the backlog stays at n requests. It returns the time at the end.
func serveAtRate(p *Predictive, now time.Time, rate float64, n int) time.Time {
	step := time.Duration(float64(time.Second) / rate)
	for range int(10 * rate) {
		now = now.Add(step)
		p.Admit(now, newCandidate(now, time.Hour, newBacklog(n), Backlog{}))
		p.RecordStart(now, testClass, 0.01, newBacklog(n))
	}
	return now
}

// TestPredictedWaitFollowsServiceRate guards against a predicted wait that ignores
// the recent service rate of the class.
func TestPredictedWaitFollowsServiceRate(t *testing.T) {
	for _, rate := range []float64{10, 50, 100} {
		p := newPolicy()
		now := serveAtRate(p, startTime, rate, 100)
		want := 100 / rate
		require.InDelta(t, want, p.PredictWait(now, testClass, newBacklog(100)).Seconds(), 0.4*want, "rate %g", rate)
	}
}

// TestRefusesUnmeetableDeadline guards against admitting requests that can't start
// in time, and against refusing requests that can.
func TestRefusesUnmeetableDeadline(t *testing.T) {
	p := newPolicy()
	now := serveAtRate(p, startTime, 50, 100) // a backlog of 100 takes about 2 s
	refusal := p.Admit(now, newCandidate(now, time.Second, newBacklog(100), Backlog{}))
	require.NotNil(t, refusal)
	require.Equal(t, descriptor.ReasonDeadlineUnmet, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.Nil(t, p.Admit(now, newCandidate(now, 10*time.Second, newBacklog(100), Backlog{})))
	require.Nil(t, p.Admit(now, newCandidate(now, time.Second, Backlog{}, Backlog{})), "the queue is empty")
	tooShort := p.Admit(now, newCandidate(now, 50*time.Millisecond, Backlog{}, Backlog{}))
	require.Zero(t, tooShort.RetryAfter, "no retry helps a run longer than the deadline")
}

// TestPeakWeightShortensQueues guards against a PeakWait weight that has no effect.
func TestPeakWeightShortensQueues(t *testing.T) {
	maxQueued := func(w descriptor.Weights) int {
		p := newPolicy()
		p.SetWeights(w)
		now := serveAtRate(p, startTime, 50, 100)
		n := 1
		for p.Admit(now, newCandidate(now, 10*time.Second, newBacklog(n), Backlog{})) == nil {
			n++
		}
		return n
	}
	require.Less(t, 2*maxQueued(descriptor.Weights{PeakWait: 3}), maxQueued(descriptor.Weights{PeakWait: 1}))
}

// TestFloodingCallerIsLimited guards against a caller whose backlog delays the
// requests of all other callers or has them refused.
func TestFloodingCallerIsLimited(t *testing.T) {
	p := newPolicy()
	now := serveAtRate(p, startTime, 50, 100)
	queued := 0
	for {
		c := newCandidate(now, 10*time.Second, newBacklog(50+queued), newBacklog(queued))
		c.CallerShare, c.CallerOfferedLoad = 0.1, 1
		if p.Admit(now, c) != nil {
			break
		}
		queued++
		require.Less(t, queued, 200)
	}
	c := newCandidate(now, 10*time.Second, newBacklog(50+queued), Backlog{})
	c.CallerShare = 0.1
	require.Nil(t, p.Admit(now, c), "a caller without a backlog is still admitted")
}

// TestRetryAfterSpreadsAndGrows guards against retries that arrive all at once, and
// against delays that don't grow with the length of an overload.
func TestRetryAfterSpreadsAndGrows(t *testing.T) {
	p := newPolicy()
	now := serveAtRate(p, startTime, 50, 400)
	meanRetryAfter := func(n int) time.Duration {
		var sum, shortest, longest time.Duration
		for i := range n {
			refusal := p.Admit(now, newCandidate(now, time.Second, newBacklog(400), Backlog{}))
			require.NotNil(t, refusal)
			sum += refusal.RetryAfter
			if i == 0 {
				shortest = refusal.RetryAfter
			}
			shortest, longest = min(shortest, refusal.RetryAfter), max(longest, refusal.RetryAfter)
		}
		require.Greater(t, longest, shortest*3/2)
		return sum / time.Duration(n)
	}
	early := meanRetryAfter(50)
	meanRetryAfter(500)
	require.Greater(t, meanRetryAfter(50), 2*early)
}

// TestQueueBounds guards against queues without a limit on the requests or bytes of
// all callers or of one.
func TestQueueBounds(t *testing.T) {
	full := Backlog{Requests: DefaultRequests}
	bytes := Backlog{Requests: 1, Bytes: DefaultBytes}
	cases := map[string]struct {
		edit func(*Candidate)
		want descriptor.Reason
	}{
		"requests":        {func(c *Candidate) { c.TotalBacklog = full }, descriptor.ReasonQueueFull},
		"bytes":           {func(c *Candidate) { c.TotalBacklog = bytes }, descriptor.ReasonQueueFull},
		"caller requests": {func(c *Candidate) { c.CallerBacklog.Requests = DefaultCallerRequests }, descriptor.ReasonCallerQueueFull},
		"caller bytes":    {func(c *Candidate) { c.CallerBacklog.Bytes = DefaultCallerBytes }, descriptor.ReasonCallerQueueFull},
		"caller limit":    {func(c *Candidate) { c.CallerBacklog.Requests, c.MaxCallerRequests = 5, 5 }, descriptor.ReasonCallerQueueFull},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCandidate(startTime, time.Hour, Backlog{}, Backlog{})
			tc.edit(&c)
			refusal := newPolicy().Admit(startTime, c)
			require.NotNil(t, refusal)
			require.Equal(t, tc.want, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
		})
	}
}

// TestMaxUrgentWait guards against queueing an urgent request for longer than
// MaxUrgentWait because its deadline is far.
func TestMaxUrgentWait(t *testing.T) {
	p := newPolicy()
	urgent := sequencer.Class{Kind: "route", Priority: descriptor.Urgent}
	admit := func(n int) *descriptor.Refusal {
		c := newCandidate(startTime, time.Hour, newBacklog(n), Backlog{})
		c.Class = urgent
		return p.Admit(startTime, c)
	}
	require.Nil(t, admit(10))
	require.NotNil(t, admit(500), "500 queued requests take at least 5 s")
}
