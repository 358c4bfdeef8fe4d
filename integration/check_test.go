package integration

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// checkOutcomes compares the outcomes that callers got with the targets' own
// records, and logs the number of each outcome.
func (l *load) checkOutcomes(t *testing.T) {
	t.Helper()
	counts := map[string]int{}
	refused := map[descriptor.Key]bool{}
	nonIdempotent := map[descriptor.Key]bool{}
	var completions []time.Time
	completionsByZone := map[zone][]time.Time{}
	for _, s := range l.requests {
		outcome := s.response.Outcome
		if outcome == "" || outcome == "pending" {
			outcome = "noOutcome"
			t.Errorf("request %s (%s) got no outcome in %d attempts", s.key, s.kind, s.attempts)
		} else if err := s.response.checkResults(s.key, taskCount(s.kind)); err != nil {
			t.Errorf("P3: request %s (%s): %v", s.key, s.kind, err)
		} else if s.response.ID != string(s.key.ID) || s.response.Caller != string(s.key.Caller) {
			t.Errorf("request %s got the response to %s/%s", s.key, s.response.Caller, s.response.ID)
		}
		if s.response.Reason != "" {
			outcome += ":" + s.response.Reason
		}
		counts[outcome]++
		refused[s.key] = s.response.Outcome == "refused"
		nonIdempotent[s.key] = s.kind == "commissionSettlement"
		if s.response.Outcome == "completed" {
			completions = append(completions, s.respondedAt)
			completionsByZone[s.dc] = append(completionsByZone[s.dc], s.respondedAt)
		}
	}
	histories := l.c.histories()
	checkHistories(t, histories, refused, nonIdempotent)
	gaps := map[zone]time.Duration{}
	for z, times := range completionsByZone {
		gaps[z] = longestGap(times).Round(time.Millisecond)
	}
	t.Logf("seed %d: %d requests sent, outcomes %v, longest time without a completion %s, by data centre %v; calls without a response %d",
		l.seed, len(l.requests), counts, longestGap(completions).Round(time.Millisecond), gaps, len(l.failedCalls))
}

// taskCount returns the number of tasks of a request kind in testRules.
func taskCount(kind string) int {
	if kind == "wiringPlan" {
		return 3
	}
	return 1
}

// checkResults checks that a completed request has one result for each of its tasks,
// and that each is its own. The emulated targets return the key of the request in
// the result.
func (r response) checkResults(k descriptor.Key, tasks int) error {
	type result struct {
		Request string `json:"request"`
	}
	if r.Outcome != "completed" {
		return nil
	}
	results := make([]result, 1)
	dest := any(&results[0])
	if tasks > 1 {
		dest = &results
	}
	if err := json.Unmarshal(r.Result, dest); err != nil {
		return fmt.Errorf("decode result %s: %w", r.Result, err)
	}
	if len(results) != tasks {
		return fmt.Errorf("got %d results for %d tasks", len(results), tasks)
	}
	for _, res := range results {
		if res.Request != k.String() {
			return fmt.Errorf("got a result of request %s", res.Request)
		}
	}
	return nil
}

// longestGap sorts the times and returns the longest interval between successive ones.
func longestGap(times []time.Time) time.Duration {
	slices.SortFunc(times, time.Time.Compare)
	var gap time.Duration
	for i := 1; i < len(times); i++ {
		gap = max(gap, times[i].Sub(times[i-1]))
	}
	return gap
}

// taskKey identifies one task of a request across its runs.
type taskKey struct {
	key   descriptor.Key
	index int
}

// checkHistories checks the properties P1, P2, P4 and P5 of docs/design.md against
// the targets' own records.
func checkHistories(t *testing.T, histories map[descriptor.TargetID]emulator.History, refused, nonIdempotent map[descriptor.Key]bool) {
	t.Helper()
	runs := map[taskKey][]emulator.RunRecord{}
	for id, h := range histories {
		require.Zero(t, h.Overcommitted, "P1: target %s was overcommitted", id)
		for _, r := range h.Runs {
			runs[taskKey{r.Key, r.Index}] = append(runs[taskKey{r.Key, r.Index}], r)
		}
	}
	for k, rs := range runs {
		if refused[k.key] {
			t.Errorf("P4: request %s was refused but ran: %+v", k.key, rs)
		}
		if nonIdempotent[k.key] && len(rs) > 1 {
			t.Errorf("P5: non-idempotent request %s ran %d times: %+v", k.key, len(rs), rs)
		}
		for i := range rs {
			for j := i + 1; j < len(rs); j++ {
				if overlap(rs[i], rs[j]) {
					t.Errorf("P2: request %s task %d has two overlapping runs:\n%+v\n%+v", k.key, k.index, rs[i], rs[j])
				}
			}
		}
	}
}

// overlap reports whether two runs overlapped in time. A run that has not ended
// counts as running until now.
func overlap(a, b emulator.RunRecord) bool {
	end := func(r emulator.RunRecord) int64 {
		if r.EndedNs == 0 {
			return time.Now().UnixNano()
		}
		return r.EndedNs
	}
	return a.StartedNs < end(b) && b.StartedNs < end(a)
}

// startedBetween returns the runs that started in [from, to) and that accept selects.
func startedBetween(histories map[descriptor.TargetID]emulator.History, from, to time.Time, accept func(emulator.RunRecord) bool) []emulator.RunRecord {
	var started []emulator.RunRecord
	for _, h := range histories {
		for _, r := range h.Runs {
			if r.StartedNs >= from.UnixNano() && r.StartedNs < to.UnixNano() && accept(r) {
				started = append(started, r)
			}
		}
	}
	return started
}

// onTargets returns a filter for runs on the targets whose ID has the prefix. The
// prefix is a data centre's name or a whole target ID.
func onTargets(prefix string) func(emulator.RunRecord) bool {
	return func(r emulator.RunRecord) bool { return strings.HasPrefix(string(r.Target), prefix) }
}

// requireStarts fails the test if no run that accept selects started in [from, to).
func (c *cell) requireStarts(t *testing.T, what string, from, to time.Time, accept func(emulator.RunRecord) bool) {
	t.Helper()
	n := len(startedBetween(c.histories(), from, to, accept))
	require.NotZero(t, n, "no start %s", what)
	t.Logf("%d starts %s", n, what)
}
