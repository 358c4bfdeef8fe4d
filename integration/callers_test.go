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

// submit sends the request to one instance repeatedly until the response is final.
func (c *cell) submit(in *instance, rt requestType, k descriptor.Key) (response, error) {
	l := &load{c: c}
	body := rt.body(k)
	deadline := time.Now().Add(outcomeTimeout)
	for time.Now().Before(deadline) {
		resp, err := l.post(in, body)
		if err == nil && resp.isFinal() {
			return resp, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return response{}, fmt.Errorf("no outcome of %s at %s", k, in.id)
}

// runsOf returns the runs of all tasks of a request, including repeated ones.
func (c *cell) runsOf(k descriptor.Key) []emulator.RunRecord {
	return startedBetween(c.histories(), time.Unix(0, 0), time.Now(), func(r emulator.RunRecord) bool { return r.Key == k })
}

// TestSameRequestEverywhere guards against a request that runs twice, or gets
// different responses, when it is submitted to several instances and data centres
// concurrently, and once more after it has completed (properties P2, P3 and P5 of
// docs/design.md).
func TestSameRequestEverywhere(t *testing.T) {
	c := newCell(t, defaultLayout(), testRules)
	rng := rand.New(rand.NewPCG(testSeed, 2))
	const requests, copies = 40, 6
	for i := range requests {
		rt := defaultMix[i%len(defaultMix)]
		k := descriptor.Key{Caller: descriptor.CallerID(fmt.Sprintf("%s-%d", rt.callerPrefix, i)), ID: "same"}
		responses := make([]response, copies)
		errs := make([]error, copies)
		var wg sync.WaitGroup
		for j, n := range rng.Perm(len(c.instances))[:copies] {
			wg.Go(func() { responses[j], errs[j] = c.submit(c.instances[n], rt, k) })
		}
		wg.Wait()
		repeated, err := c.submit(c.instances[rng.IntN(len(c.instances))], rt, k)
		require.NoError(t, err)
		for j := range copies {
			require.NoError(t, errs[j])
			require.Equal(t, "completed", responses[j].Outcome, "request %s: %+v", k, responses[j])
			require.NoError(t, responses[j].checkResults(k, taskCount(rt.kind)))
			require.Equal(t, responses[0], responses[j], "responses to request %s", k)
		}
		require.Equal(t, responses[0], repeated, "resubmission of request %s after its outcome", k)
		require.Len(t, c.runsOf(k), taskCount(rt.kind), "request %s (%s)", k, rt.kind)
	}
	t.Logf("seed %d: %d requests sent %d times each, outcomes map[completed:%d]", testSeed, requests, copies+1, requests*(copies+1))
}

// cancel sends the cancellation of a request to an instance. It retries while the
// instance responds that the request or its owner is not known yet.
func (c *cell) cancel(in *instance, k descriptor.Key) (response, error) {
	deadline := time.Now().Add(outcomeTimeout)
	for {
		var resp response
		err := c.sendJSON(http.MethodDelete, fmt.Sprintf("%s/v1/requests/%s/%s", in.url, k.Caller, k.ID), nil, &resp)
		if (err == nil && resp.isFinal()) || time.Now().After(deadline) {
			return resp, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestCancellations guards against a cancelled request that continues to run, that
// is reported as not run although it did run, or whose callers get different
// responses. Half of the requests are cancelled while they run, the other half while
// they may still be queued.
func TestCancellations(t *testing.T) {
	c := newCell(t, defaultLayout(), testRules)
	rng := rand.New(rand.NewPCG(testSeed, 3))
	rt := requestType{kind: "weekPlan", callerPrefix: "stylist", runMs: 6000}
	const requests = 60
	counts := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range requests {
		k := descriptor.Key{Caller: descriptor.CallerID(fmt.Sprintf("stylist-%d", i)), ID: "cancelled"}
		submitTo, cancelAt := c.instances[rng.IntN(len(c.instances))], c.instances[rng.IntN(len(c.instances))]
		wg.Go(func() {
			var submitted response
			var err error
			var submission sync.WaitGroup
			submission.Go(func() { submitted, err = c.submit(submitTo, rt, k) })
			time.Sleep(time.Duration(100+i%2*400) * time.Millisecond)
			cancelled, cancelErr := c.cancel(cancelAt, k)
			submission.Wait()
			mu.Lock()
			defer mu.Unlock()
			if err != nil || cancelErr != nil {
				t.Errorf("request %s: submit: %v, cancel: %v", k, err, cancelErr)
				return
			}
			counts[submitted.Outcome]++
			if submitted.Outcome != "cancelled" || cancelled.Outcome != "cancelled" {
				t.Errorf("request %s: response to the submission %+v, to the cancellation %+v", k, submitted, cancelled)
			}
		})
	}
	wg.Wait()
	runs := startedBetween(c.histories(), time.Unix(0, 0), time.Now(), anyRun)
	for _, r := range runs {
		if r.State != descriptor.TaskStopped {
			t.Errorf("task of cancelled request %s is in state %s", r.Key, r.State)
		}
	}
	checkHistories(t, c.histories(), map[descriptor.Key]bool{}, map[descriptor.Key]bool{})
	t.Logf("seed %d: %d requests sent, outcomes %v, %d of them had started", testSeed, requests, counts, len(runs))
}

// settlementMix is a load of mostly non-idempotent requests.
var settlementMix = []requestType{
	{"commissionSettlement", "stylist", 300, 0.8},
	{"routeBuild", "stylist", 50, 0.2},
}

// TestSettlementsThroughCrashes guards against non-idempotent work that runs
// twice, or is refused after it may have run, when its owner crashes between the
// claim, the start order and the outcome (properties P4 and P5 of docs/design.md).
// Meanwhile, responses of the targets and of the table service are lost.
func TestSettlementsThroughCrashes(t *testing.T) {
	c := newCell(t, shortLeaseLayout(), testRules)
	rng := rand.New(rand.NewPCG(testSeed, 4))
	l := c.startLoadMix(testSeed, 60, settlementMix, randomInstance(c.instances))
	time.Sleep(2 * time.Second)
	for range 5 {
		for _, target := range c.targets {
			c.setFaults("http://"+target.Address, emulator.Faults{DropResponses: 1})
		}
		c.setFaults("http://"+c.platformAddress+"/table", emulator.Faults{DropResponses: 2})
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		killed := c.instances[rng.IntN(len(c.instances))]
		killed.kill()
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		c.startInstance(killed)
		c.waitReady(killed)
	}
	time.Sleep(5 * time.Second)
	l.stop()
	l.checkOutcomes(t)
	l.checkSettlements(t)
}

// checkSettlements checks that the outcomes of non-idempotent requests match the
// targets' records: a request reported as completed ran exactly once and completed,
// and a request that completed on a target is reported as completed or unknown.
func (l *load) checkSettlements(t *testing.T) {
	t.Helper()
	runsByKey := map[descriptor.Key][]emulator.RunRecord{}
	for _, r := range startedBetween(l.c.histories(), time.Unix(0, 0), time.Now(), anyRun) {
		runsByKey[r.Key] = append(runsByKey[r.Key], r)
	}
	for _, s := range l.requests {
		if s.kind != "commissionSettlement" {
			continue
		}
		runs := runsByKey[s.key]
		switch s.response.Outcome {
		case "completed":
			if len(runs) != 1 || runs[0].State != descriptor.TaskCompleted {
				t.Errorf("request %s is reported as completed, but its runs are %+v", s.key, runs)
			}
		case "unknown":
			t.Logf("request %s has outcome unknown (%s) after %d runs", s.key, s.response.Reason, len(runs))
		default:
			if len(runs) > 0 && runs[0].State == descriptor.TaskCompleted {
				t.Errorf("request %s completed on its target, but is reported as %s", s.key, s.response.Outcome)
			}
		}
	}
}
