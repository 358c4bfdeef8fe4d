package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	w "github.com/masticlead/masticlead/workload"
)

func cpu(n int64) w.Resources { return w.Resources{CPU: n, Mem: 1} }

// TestAllows guards against limits that are off by one task, that a dimension without a
// cap or need takes part in, and that small caps make tasks wait forever.
func TestAllows(t *testing.T) {
	for name, tc := range map[string]struct {
		limit w.Resources
		used  []int64
		need  w.Resources
		n     int
		want  bool
	}{
		"no cap":                       {w.Resources{}, []int64{9}, cpu(9), 1, true},
		"fits exactly":                 {cpu(10), []int64{6}, w.Resources{CPU: 4}, 1, true},
		"one too many":                 {cpu(10), []int64{6}, w.Resources{CPU: 5}, 1, false},
		"no excess for tasks":          {cpu(10), []int64{10}, w.Resources{CPU: 1}, 1, false},
		"larger than the cap":          {cpu(10), nil, cpu(50), 1, true},
		"larger beside others":         {cpu(10), []int64{1}, cpu(50), 1, false},
		"dimension without need":       {w.Resources{CPU: 5, Mem: 1}, []int64{9}, w.Resources{Mem: 0, GPU: 1}, 1, true},
		"gang with excess and a task":  {w.Resources{CPU: 10}, nil, cpu(4), 3, true},
		"gang beside others":           {w.Resources{CPU: 10}, []int64{5}, cpu(4), 3, false},
		"gang that never fits":         {w.Resources{CPU: 10}, nil, cpu(4), 5, false},
		"gang limited by another size": {w.Resources{CPU: 100, Mem: 2}, nil, cpu(1), 9, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(0.25)
			l.Configure([]w.Tenant{{Name: "t", Cap: tc.limit}})
			for _, u := range tc.used {
				l.Add("t", cpu(u))
			}
			require.Equal(t, tc.want, l.Allows("t", tc.need, tc.n))
			require.True(t, l.Allows("other", tc.need, tc.n))
			if len(tc.used) == 0 {
				require.Equal(t, !tc.want, NeverFits(tc.limit, 0.25, tc.need, tc.n))
			}
		})
	}
}

// TestAccountsMatchRuns guards against accounts that drift, that forget runs when
// tenants are removed, and against headroom that differs from the starts allowed.
func TestAccountsMatchRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(0)
		runs := make(map[w.TenantName][]w.Resources)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]w.TenantName{"a", "b", ""}).Draw(t, "tenant")
			need := w.Resources{CPU: rapid.Int64Range(0, 5).Draw(t, "cpu"), GPU: rapid.Int64Range(0, 2).Draw(t, "gpu")}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.Configure([]w.Tenant{{Name: name, Cap: need}, {Name: name, Cap: cpu(99)}})
			case 1:
				l.SetUncertain(map[w.TenantName]w.Resources{name: need})
			case 2:
				if r := runs[name]; len(r) > 0 {
					l.Remove(name, r[0])
					runs[name] = r[1:]
				}
			default:
				q := Query{Tenant: name, Need: need}
				room, n := l.Headroom(&q, 4), 0
				for ; n < 4 && l.Allows(name, need, 1); n++ {
					l.Add(name, need)
					runs[name] = append(runs[name], need)
				}
				if n != room {
					t.Fatalf("headroom %d, but %d tasks of %+v were allowed", room, n, need)
				}
			}
			recount := make(map[w.TenantName]Usage)
			for name, list := range runs {
				u := Usage{Runs: len(list)}
				for _, r := range list {
					u.Resources = u.Resources.Add(r)
				}
				recount[name] = u
			}
			if err := l.Check(recount); err != nil {
				t.Fatal(err)
			}
		}
	})
}
