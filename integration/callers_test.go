package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// submit sends the request through one instance until there is a final answer.
func (c *cell) submit(in *instance, w workload, k descriptor.Key) (answer, error) {
	l := &load{c: c}
	body := w.body(k)
	deadline := time.Now().Add(followLimit)
	for time.Now().Before(deadline) {
		a, err := l.post(in, body)
		if err == nil && a.final() {
			return a, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return answer{}, fmt.Errorf("no outcome of %s at %s", k, in.id)
}

// runsOf returns all runs of a request.
func (c *cell) runsOf(k descriptor.Key) []emulator.RunRecord {
	return starts(c.histories(), time.Unix(0, 0), time.Now(), func(r emulator.RunRecord) bool { return r.Key == k })
}

// TestSameRequestEverywhere guards against a request that runs twice, or gets
// different answers, when it is sent through several instances and data centres
// at the same moment, and once more after its outcome (P2, P3, P5).
func TestSameRequestEverywhere(t *testing.T) {
	c := newCell(t, defaultLayout(), testRules)
	rng := rand.New(rand.NewPCG(testSeed, 2))
	const requests, copies = 40, 6
	for i := range requests {
		w := defaultWorkload[i%len(defaultWorkload)]
		k := descriptor.Key{Caller: descriptor.CallerID(fmt.Sprintf("%s-%d", w.caller, i)), ID: "same"}
		answers := make([]answer, copies)
		errs := make([]error, copies)
		var wg sync.WaitGroup
		for j, n := range rng.Perm(len(c.instances))[:copies] {
			wg.Go(func() { answers[j], errs[j] = c.submit(c.instances[n], w, k) })
		}
		wg.Wait()
		late, err := c.submit(c.instances[rng.IntN(len(c.instances))], w, k)
		require.NoError(t, err)
		for j := range copies {
			require.NoError(t, errs[j])
			require.Equal(t, "completed", answers[j].Outcome, "request %s: %+v", k, answers[j])
			require.NoError(t, answers[j].complete(k, tasksOf(w.kind)))
			require.Equal(t, answers[0], answers[j], "answers to request %s", k)
		}
		require.Equal(t, answers[0], late, "late submission of request %s", k)
		require.Len(t, c.runsOf(k), tasksOf(w.kind), "request %s (%s)", k, w.kind)
	}
	t.Logf("seed %d: %d requests sent %d times each, answers map[completed:%d]", testSeed, requests, copies+1, requests*(copies+1))
}

// cancel asks an instance to cancel a request until there is an answer other than
// that the request, or its owner, is not known yet.
func (c *cell) cancel(in *instance, k descriptor.Key) (answer, error) {
	deadline := time.Now().Add(followLimit)
	for {
		var a answer
		err := c.send(http.MethodDelete, fmt.Sprintf("%s/v1/requests/%s/%s", in.url, k.Caller, k.ID), nil, &a)
		if (err == nil && a.final()) || time.Now().After(deadline) {
			return a, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestCancellations guards against a cancelled request that goes on running, that
// is said not to have run although it did, or whose callers get different
// answers. Half of the requests are cancelled while they run, half while they may
// still wait.
func TestCancellations(t *testing.T) {
	c := newCell(t, defaultLayout(), testRules)
	rng := rand.New(rand.NewPCG(testSeed, 3))
	w := workload{kind: "weekPlan", caller: "stylist", runMs: 6000}
	const requests = 60
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range requests {
		k := descriptor.Key{Caller: descriptor.CallerID(fmt.Sprintf("stylist-%d", i)), ID: "cancelled"}
		at, by := c.instances[rng.IntN(len(c.instances))], c.instances[rng.IntN(len(c.instances))]
		wg.Go(func() {
			var first answer
			var err error
			var waiting sync.WaitGroup
			waiting.Go(func() { first, err = c.submit(at, w, k) })
			time.Sleep(time.Duration(100+i%2*400) * time.Millisecond)
			cancelled, cerr := c.cancel(by, k)
			waiting.Wait()
			mu.Lock()
			defer mu.Unlock()
			if err != nil || cerr != nil {
				t.Errorf("request %s: %v, %v", k, err, cerr)
				return
			}
			counts[first.Outcome]++
			if first.Outcome != "cancelled" || cancelled.Outcome != "cancelled" {
				t.Errorf("request %s ended as %+v, the cancellation was answered with %+v", k, first, cancelled)
			}
		})
	}
	wg.Wait()
	runs := starts(c.histories(), time.Unix(0, 0), time.Now(), anyRun)
	for _, r := range runs {
		if r.State != descriptor.TaskStopped {
			t.Errorf("task of cancelled request %s is %s", r.Key, r.State)
		}
	}
	checkHistories(t, c.histories(), map[descriptor.Key]bool{}, map[descriptor.Key]bool{})
	t.Logf("seed %d: %d requests sent, answers %v, %d of them had started", testSeed, requests, counts, len(runs))
}

// settlements is a load that is mostly non-idempotent.
var settlements = []workload{
	{"commissionSettlement", "stylist", 300, 0.8},
	{"routeBuild", "stylist", 50, 0.2},
}

// TestSettlementsThroughCrashes guards against non-idempotent work that runs
// twice, or is refused after it may have run, when its owner dies between the
// claim, the start order and the outcome (P4, P5). Answers of targets and of the
// store are lost at the same time.
func TestSettlementsThroughCrashes(t *testing.T) {
	c := newCell(t, shortLeases(), testRules)
	rng := rand.New(rand.NewPCG(testSeed, 4))
	l := c.startMix(testSeed, 60, settlements, anyOf(c.instances))
	time.Sleep(2 * time.Second)
	for range 5 {
		for _, target := range c.targets {
			c.setFaults("http://"+target.Address, emulator.Faults{LoseAnswers: 1})
		}
		c.setFaults("http://"+c.platform+"/table", emulator.Faults{LoseAnswers: 2})
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		victim := c.instances[rng.IntN(len(c.instances))]
		victim.kill()
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		c.startInstance(victim)
		c.waitReady(victim)
	}
	time.Sleep(5 * time.Second)
	l.stop()
	l.check(t)
	l.checkSettlements(t)
}

// checkSettlements checks that the answers about non-idempotent work agree with
// what ran: completed work ran once to its end, and work that ran to its end is
// not reported as anything but completed or unknown.
func (l *load) checkSettlements(t *testing.T) {
	t.Helper()
	byKey := map[descriptor.Key][]emulator.RunRecord{}
	for _, r := range starts(l.c.histories(), time.Unix(0, 0), time.Now(), anyRun) {
		byKey[r.Key] = append(byKey[r.Key], r)
	}
	for _, s := range l.sent {
		if s.kind != "commissionSettlement" {
			continue
		}
		runs := byKey[s.key]
		switch s.answer.Outcome {
		case "completed":
			if len(runs) != 1 || runs[0].State != descriptor.TaskCompleted {
				t.Errorf("request %s is completed, but ran %+v", s.key, runs)
			}
		case "unknown":
			t.Logf("request %s is unknown (%s) after %d runs", s.key, s.answer.Reason, len(runs))
		default:
			if len(runs) > 0 && runs[0].State == descriptor.TaskCompleted {
				t.Errorf("request %s ran to its end, but is %s", s.key, s.answer.Outcome)
			}
		}
	}
}
