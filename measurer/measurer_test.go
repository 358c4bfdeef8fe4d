package measurer

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/scheduler"
)

// TestNaNViolatesBounds guards against a scenario that passes although it measured
// nothing, for example the quantile of an empty set.
func TestNaNViolatesBounds(t *testing.T) {
	for _, b := range []Bound{AtMost(1), AtLeast(1)} {
		m := Metric{Value: math.NaN(), Baseline: NoBaseline(), Bound: b}
		require.False(t, m.WithinBound())
		line, err := json.Marshal(m)
		require.NoError(t, err)
		require.Contains(t, string(line), `"value":null`)
		require.Contains(t, string(line), `"holds":false`)
	}
}

// TestDriverOrdersEvents guards against events that run out of order: without a
// tie-break by sequence number, results would depend on the layout of the heap.
func TestDriverOrdersEvents(t *testing.T) {
	d := NewDriver()
	var got []int
	d.At(2*time.Second, func() { got = append(got, 3) })
	d.At(time.Second, func() {
		got = append(got, 1)
		d.After(0, func() { got = append(got, 2) })
	})
	d.At(2*time.Second, func() { got = append(got, 4) })
	d.Run(3 * time.Second)
	require.Equal(t, []int{1, 2, 3, 4}, got)
	require.Equal(t, 3*time.Second, d.Elapsed())
}

// TestQuantileNearestRank guards against an off-by-one error in the rank.
func TestQuantileNearestRank(t *testing.T) {
	values := make([]float64, 100)
	for i := range values {
		values[i] = float64(100 - i)
	}
	require.Equal(t, 99.0, Quantile(values, 0.99))
	require.Equal(t, 100.0, Quantile(values, 1))
	require.InDelta(t, 0.5, Jain([]float64{1, 0}), 1e-9)
}

// TestDecisionsAreDeterministic guards against decisions that depend on map
// iteration order or on the machine, which would make published figures impossible
// to reproduce.
func TestDecisionsAreDeterministic(t *testing.T) {
	env := Env{Seed: 7}
	rules := &descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{}}
	var flows []Flow
	for i := range 12 {
		id := descriptor.TeamID(fmt.Sprint("team", i))
		rules.Teams[id] = descriptor.Team{ID: id, Weight: float64(1 + i%3), Quota: 0.02 * float64(i%4)}
		flows = append(flows, Flow{
			Kind: descriptor.KindName(fmt.Sprint("kind", i%4)), Priority: descriptor.Priority(i % 3), Checkpointable: i%4 == 3,
			Team: FixedTeam(id), Caller: RandomCaller(string(id), 5),
			RunTime: Lognormal(time.Duration(1+10*(i%4))*200*time.Millisecond, 0.5), DeclaredRunTime: misdeclareTenfold,
			Deadline: 20 * time.Second, Rate: ConstantRate(4), MaxRate: 4,
		})
	}
	work := Generate(env.Rand(1), 0, 30*time.Second, flows...)
	run := func() []*Job {
		jobs := Clone(work)
		c := NewCell(scheduler.Config{}, rules, 6, EightSlots, env.Rand(2))
		c.Add(jobs)
		c.Run(time.Minute)
		return jobs
	}
	first, second := run(), run()
	refused := 0
	for i, j := range first {
		require.Equal(t, j.Started, second[i].Started, "request %d", i)
		require.Equal(t, j.Refusal, second[i].Refusal, "request %d", i)
		if j.Refusal != nil {
			refused++
		}
	}
	require.Positive(t, refused, "the cell must be overloaded")
}
