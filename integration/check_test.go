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

// check compares the answers with what the targets really ran, and reports the
// counts.
func (l *load) check(t *testing.T) {
	t.Helper()
	counts := map[string]int{}
	refused := map[descriptor.Key]bool{}
	nonIdempotent := map[descriptor.Key]bool{}
	var answered []time.Time
	byZone := map[zone][]time.Time{}
	for _, s := range l.sent {
		name := s.answer.Outcome
		if name == "" || name == "pending" {
			name = "noOutcome"
			t.Errorf("request %s (%s) never got an outcome in %d tries", s.key, s.kind, s.tries)
		} else if err := s.answer.complete(s.key, tasksOf(s.kind)); err != nil {
			t.Errorf("P3: request %s (%s): %v", s.key, s.kind, err)
		} else if s.answer.ID != string(s.key.ID) || s.answer.Caller != string(s.key.Caller) {
			t.Errorf("request %s got the answer to %s/%s", s.key, s.answer.Caller, s.answer.ID)
		}
		if s.answer.Reason != "" {
			name += ":" + s.answer.Reason
		}
		counts[name]++
		refused[s.key] = s.answer.Outcome == "refused"
		nonIdempotent[s.key] = s.kind == "commissionSettlement"
		if s.answer.Outcome == "completed" {
			answered = append(answered, s.answered)
			byZone[s.dc] = append(byZone[s.dc], s.answered)
		}
	}
	histories := l.c.histories()
	checkHistories(t, histories, refused, nonIdempotent)
	gaps := map[zone]time.Duration{}
	for z, times := range byZone {
		gaps[z] = longestGap(times).Round(time.Millisecond)
	}
	t.Logf("seed %d: %d requests sent, answers %v, longest time without a completion %s, by data centre %v; calls without an answer %d",
		l.seed, len(l.sent), counts, longestGap(answered).Round(time.Millisecond), gaps, len(l.cut))
}

// tasksOf returns the number of tasks of a kind of testRules.
func tasksOf(kind string) int {
	if kind == "wiringPlan" {
		return 3
	}
	return 1
}

// complete checks that a completed request has the results of all its own tasks.
// The stand-in targets return the key of the request as result.
func (a answer) complete(k descriptor.Key, tasks int) error {
	type result struct {
		Request string `json:"request"`
	}
	if a.Outcome != "completed" {
		return nil
	}
	results := make([]result, 1)
	into := any(&results[0])
	if tasks > 1 {
		into = &results
	}
	if err := json.Unmarshal(a.Result, into); err != nil {
		return fmt.Errorf("result %s: %w", a.Result, err)
	}
	if len(results) != tasks {
		return fmt.Errorf("%d results of %d tasks", len(results), tasks)
	}
	for _, r := range results {
		if r.Request != k.String() {
			return fmt.Errorf("result of request %s", r.Request)
		}
	}
	return nil
}

// longestGap returns the longest time between two neighbouring moments.
func longestGap(times []time.Time) time.Duration {
	slices.SortFunc(times, time.Time.Compare)
	var gap time.Duration
	for i := 1; i < len(times); i++ {
		gap = max(gap, times[i].Sub(times[i-1]))
	}
	return gap
}

// runKey names one task of a request over all its attempts.
type runKey struct {
	key   descriptor.Key
	index int
}

// checkHistories checks the properties P1, P2, P4 and P5 from the targets' own
// records.
func checkHistories(t *testing.T, all map[descriptor.TargetID]emulator.History, refused, nonIdempotent map[descriptor.Key]bool) {
	t.Helper()
	runs := map[runKey][]emulator.RunRecord{}
	for id, h := range all {
		require.Zero(t, h.Overcommitted, "P1: target %s was given more than it has", id)
		for _, r := range h.Runs {
			runs[runKey{r.Key, r.Index}] = append(runs[runKey{r.Key, r.Index}], r)
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
					t.Errorf("P2: request %s task %d ran in two places at once:\n%+v\n%+v", k.key, k.index, rs[i], rs[j])
				}
			}
		}
	}
}

// overlap reports whether two runs were running at the same moment.
func overlap(a, b emulator.RunRecord) bool {
	end := func(r emulator.RunRecord) int64 {
		if r.EndedNs == 0 {
			return time.Now().UnixNano()
		}
		return r.EndedNs
	}
	return a.StartedNs < end(b) && b.StartedNs < end(a)
}

// starts returns the runs that started in the period and that the filter accepts.
func starts(all map[descriptor.TargetID]emulator.History, from, to time.Time, accept func(emulator.RunRecord) bool) []emulator.RunRecord {
	var chosen []emulator.RunRecord
	for _, h := range all {
		for _, r := range h.Runs {
			if r.StartedNs >= from.UnixNano() && r.StartedNs < to.UnixNano() && accept(r) {
				chosen = append(chosen, r)
			}
		}
	}
	return chosen
}

// on accepts the runs on targets of a data centre, or on a target, by the prefix
// of the target's name.
func on(prefix string) func(emulator.RunRecord) bool {
	return func(r emulator.RunRecord) bool { return strings.HasPrefix(string(r.Target), prefix) }
}

// requireStarts fails if no work that the filter accepts started in the period.
func (c *cell) requireStarts(t *testing.T, what string, from, to time.Time, accept func(emulator.RunRecord) bool) {
	t.Helper()
	n := len(starts(c.histories(), from, to, accept))
	require.NotZero(t, n, "no start %s", what)
	t.Logf("%d starts %s", n, what)
}
