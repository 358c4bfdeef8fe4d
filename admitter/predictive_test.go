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
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	class = sequencer.Class{Kind: "check", Priority: descriptor.Normal}
)

func policy() *Predictive { return NewPredictive(Bounds{}, rand.New(rand.NewPCG(1, 1))) }

// ask returns a question for one request of 10 ms of the whole capacity.
func ask(now time.Time, deadline time.Duration, waiting, own Backlog) Question {
	const run = 100 * time.Millisecond
	return Question{
		Request: &descriptor.Request{Deadline: now.Add(deadline)}, Class: class,
		Run: estimator.Estimate{Low: run, Mean: run, High: run},
		Own: Backlog{Requests: 1, Bytes: 300, Work: 0.01}, InClass: waiting, Total: waiting,
		Caller: own, CallerTotal: own, Share: 1 / float64(max(waiting.Requests/10, 1)),
	}
}

func backlog(n int) Backlog {
	return Backlog{Requests: n, Bytes: descriptor.Bytes(300 * n), Work: 0.01 * float64(n)}
}

// feed serves the class at a rate, in requests per second, while n wait.
func feed(p *Predictive, now time.Time, rate float64, n int) time.Time {
	step := time.Duration(float64(time.Second) / rate)
	for range int(10 * rate) {
		now = now.Add(step)
		p.Admit(now, ask(now, time.Hour, backlog(n), Backlog{}))
		p.Served(now, class, 0.01, backlog(n))
	}
	return now
}

// TestWaitFollowsServiceRate guards against a predicted wait that ignores how
// fast the class has been served lately.
func TestWaitFollowsServiceRate(t *testing.T) {
	for _, rate := range []float64{10, 50, 100} {
		p := policy()
		now := feed(p, start, rate, 100)
		want := 100 / rate
		require.InDelta(t, want, p.Wait(now, class, backlog(100)).Seconds(), 0.4*want, "rate %g", rate)
	}
}

// TestDeadlineDecides guards against work that is admitted although it can't
// start in time, and against refusals while there is time.
func TestDeadlineDecides(t *testing.T) {
	p := policy()
	now := feed(p, start, 50, 100) // 100 wait for about 2 s
	refusal := p.Admit(now, ask(now, time.Second, backlog(100), Backlog{}))
	require.NotNil(t, refusal)
	require.Equal(t, descriptor.ReasonDeadlineUnmet, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.Nil(t, p.Admit(now, ask(now, 10*time.Second, backlog(100), Backlog{})))
	require.Nil(t, p.Admit(now, ask(now, time.Second, Backlog{}, Backlog{})), "nothing waits")
	tooShort := p.Admit(now, ask(now, 50*time.Millisecond, Backlog{}, Backlog{}))
	require.Zero(t, tooShort.RetryAfter, "a run longer than the deadline need not come back")
}

// TestCrestWeightShortensQueues guards against a weight without effect.
func TestCrestWeightShortensQueues(t *testing.T) {
	longest := func(w descriptor.Weights) int {
		p := policy()
		p.SetWeights(w)
		now := feed(p, start, 50, 100)
		n := 1
		for p.Admit(now, ask(now, 10*time.Second, backlog(n), Backlog{})) == nil {
			n++
		}
		return n
	}
	require.Less(t, 2*longest(descriptor.Weights{PeakWait: 3}), longest(descriptor.Weights{PeakWait: 1}))
}

// TestFloodFillsOnlyItsShare guards against one caller whose queue makes the
// requests of all others wait or be refused.
func TestFloodFillsOnlyItsShare(t *testing.T) {
	p := policy()
	now := feed(p, start, 50, 100)
	own := 0
	for {
		q := ask(now, 10*time.Second, backlog(50+own), backlog(own))
		q.Share, q.CallerOffered = 0.1, 1
		if p.Admit(now, q) != nil {
			break
		}
		own++
		require.Less(t, own, 200)
	}
	q := ask(now, 10*time.Second, backlog(50+own), Backlog{})
	q.Share = 0.1
	require.Nil(t, p.Admit(now, q), "a caller without backlog is still admitted")
}

// TestRetrySpreadsAndGrows guards against refused work that returns all at once,
// or as soon during a long overload as during a short one.
func TestRetrySpreadsAndGrows(t *testing.T) {
	p := policy()
	now := feed(p, start, 50, 400)
	mean := func(n int) time.Duration {
		var sum, least, most time.Duration
		for i := range n {
			r := p.Admit(now, ask(now, time.Second, backlog(400), Backlog{}))
			require.NotNil(t, r)
			sum += r.RetryAfter
			if i == 0 {
				least = r.RetryAfter
			}
			least, most = min(least, r.RetryAfter), max(most, r.RetryAfter)
		}
		require.Greater(t, most, least*3/2)
		return sum / time.Duration(n)
	}
	early := mean(50)
	mean(500)
	require.Greater(t, mean(50), 2*early)
}

// TestQueueBounds guards against queues that grow without bound in requests or
// bytes, of all callers or of one.
func TestQueueBounds(t *testing.T) {
	full := Backlog{Requests: DefaultRequests}
	bytes := Backlog{Requests: 1, Bytes: DefaultBytes}
	cases := map[string]struct {
		edit func(*Question)
		want descriptor.Reason
	}{
		"requests":        {func(q *Question) { q.Total = full }, descriptor.ReasonQueueFull},
		"bytes":           {func(q *Question) { q.Total = bytes }, descriptor.ReasonQueueFull},
		"caller requests": {func(q *Question) { q.CallerTotal.Requests = DefaultCallerRequests }, descriptor.ReasonCallerQueueFull},
		"caller bytes":    {func(q *Question) { q.CallerTotal.Bytes = DefaultCallerBytes }, descriptor.ReasonCallerQueueFull},
		"caller rule":     {func(q *Question) { q.CallerTotal.Requests, q.CallerMax = 5, 5 }, descriptor.ReasonCallerQueueFull},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := ask(start, time.Hour, Backlog{}, Backlog{})
			c.edit(&q)
			refusal := policy().Admit(start, q)
			require.NotNil(t, refusal)
			require.Equal(t, c.want, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
		})
	}
}

// TestUrgentStartsWithinItsBound guards against urgent work that is queued for
// longer than urgent work may wait because its deadline is far.
func TestUrgentStartsWithinItsBound(t *testing.T) {
	p := policy()
	urgent := sequencer.Class{Kind: "route", Priority: descriptor.Urgent}
	ask := func(n int) *descriptor.Refusal {
		q := ask(start, time.Hour, backlog(n), Backlog{})
		q.Class = urgent
		return p.Admit(start, q)
	}
	require.Nil(t, ask(10))
	require.NotNil(t, ask(500), "500 requests take 5 s at least")
}
