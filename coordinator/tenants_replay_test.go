package coordinator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/linker"
	"github.com/masticlead/masticlead/sharer"
	w "github.com/masticlead/masticlead/workload"
)

const (
	replayTenants  = 20
	replaySkew     = 1.2
	replayRunTime  = 500 * time.Millisecond
	replayGoal     = 2 * time.Second // from arrival to end
	replayDuration = 8 * time.Second
	// replayLoad is the usual load as a share of the capacity, and replayHeadroom the
	// ratio of a tenant's weight to its usual rate.
	replayLoad, replayHeadroom = 0.85, 1.15
)

// replayRate returns the usual rate of a tenant in jobs per second on 64 cores.
func replayRate(tenant int) float64 {
	sum := 0.0
	for i := range replayTenants {
		sum += math.Pow(float64(i+1), -replaySkew)
	}
	return 64 / replayRunTime.Seconds() * replayLoad * math.Pow(float64(tenant+1), -replaySkew) / sum
}

// roundRobin orders a backlog by strict round robin over the tenants.
func roundRobin(backlog []*step) {
	turns, turn := make(map[w.TenantName]int), make(map[*step]int)
	for _, s := range backlog {
		turn[s] = turns[s.job.Tenant]
		turns[s.job.Tenant]++
	}
	slices.SortStableFunc(backlog, func(a, b *step) int { return cmp.Compare(turn[a], turn[b]) })
}

// replayHot replays 20 tenants, the first of which sends hot times its usual rate, and
// returns the share of the other tenants' jobs that met their goal: of all, and of those
// within their rate.
func replayHot(t *testing.T, order string, hot float64) (all, within float64) {
	t.Helper()
	x := newTenantCell(t, 8)
	var tenants []w.Tenant
	for i := range replayTenants {
		tenants = append(tenants, w.Tenant{Name: w.TenantName(fmt.Sprint(i)), Weight: replayHeadroom * replayRate(i)})
	}
	if order == "share" {
		x.setTenants(tenants...)
	}
	var rates sharer.Rates
	rates.Configure(tenants)
	type run struct {
		linker.Start
		end time.Time
	}
	var runs []run
	arrived, next := make(map[w.JobID]time.Time), make([]time.Time, replayTenants)
	rnd, start, entitled := rand.New(rand.NewPCG(1, 2)), x.now, make(map[w.JobID]bool)
	var sent, met, sentWithin, metWithin float64
	wait := func(i int) time.Duration {
		rate := replayRate(i)
		if i == 0 {
			rate *= hot
		}
		return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
	}
	for i := range next {
		next[i] = start.Add(wait(i))
	}
	end := func(r *run, how w.Ending) {
		x.reportEnd(r.Target, r.Start, how)
		if how == w.EndedDone && !strings.HasPrefix(string(r.Task.Job), "0-") && x.now.Sub(arrived[r.Task.Job]) <= replayGoal {
			met++
			if entitled[r.Task.Job] {
				metWithin++
			}
		}
	}
	for x.now.Sub(start) < replayDuration+replayGoal {
		x.now = x.now.Add(10 * time.Millisecond)
		for i := range next {
			for ; next[i].Before(x.now) && next[i].Sub(start) < replayDuration; next[i] = next[i].Add(wait(i)) {
				j := tenantJob(w.JobID(fmt.Sprintf("%d-%d", i, len(arrived))), w.TenantName(fmt.Sprint(i)), 1)
				j.Accepted, arrived[j.ID] = next[i].UnixMilli(), next[i]
				if i > 0 {
					sent++
					if entitled[j.ID] = rates.Take(j.Tenant, j.Accepted); entitled[j.ID] {
						sentWithin++
					}
				}
				x.submit(j)
			}
		}
		if order == "round robin" {
			slices.SortStableFunc(x.c.backlog, func(a, b *step) int { return a.readyAt.Compare(b.readyAt) })
			roundRobin(x.c.backlog)
			x.c.backlogUnsorted = false
		}
		for _, tg := range x.c.sortedTargets {
			tg.reportedAt, tg.health.progressedAt = x.now, x.now
		}
		f := x.advance(0)
		for _, s := range f.Starts {
			x.confirmStart(s)
			runs = append(runs, run{s, x.now.Add(replayRunTime)})
		}
		runs = slices.DeleteFunc(runs, func(r run) bool {
			switch {
			case slices.ContainsFunc(f.Stops, func(s linker.Stop) bool { return s.Run == r.Run }):
				end(&r, w.EndedStopped)
			case !r.end.After(x.now):
				end(&r, w.EndedDone)
			default:
				return false
			}
			return true
		})
	}
	return met / sent, metWithin / sentWithin
}

// TestHotTenantHarmsNoOther guards against one tenant's load of 4.4 and 7.5 times its
// usual rate that costs others their goals, compared with the order of a cell without
// tenants and with strict round robin over 20 tenants with skew 1.2. Only the jobs that
// the others send within their rate are guaranteed service.
func TestHotTenantHarmsNoOther(t *testing.T) {
	for _, hot := range []float64{4.4, 7.5} {
		all, within := make(map[string]float64), make(map[string]float64)
		for _, order := range []string{"current", "round robin", "share"} {
			usualAll, usualWithin := replayHot(t, order, 1)
			hotAll, hotWithin := replayHot(t, order, hot)
			all[order], within[order] = 1-hotAll/usualAll, 1-hotWithin/usualWithin
			t.Logf("load %.1f, order %s: the others lose %.3f of all jobs, %.3f of those within their rate", hot, order, all[order], within[order])
		}
		require.LessOrEqual(t, within["share"], 0.01)
		require.LessOrEqual(t, within["share"], within["round robin"])
		require.Less(t, all["share"], all["current"])
	}
}

// BenchmarkTenants measures a scheduling round after one start or end in a full cell of
// 1,100 targets in which 5,000 jobs of 0, 20 and 2,000 tenants wait, half of them held up
// by their cap.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{0, 20, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, now := newFilledCell(b, 1100, 147, 300, 200)
			cfg := *c.cfg
			cfg.Version++
			for i := range n {
				tn := w.Tenant{Name: w.TenantName(fmt.Sprint(i)), Weight: 10}
				if i%2 == 0 {
					tn.Cap.CPU = 1
				}
				cfg.Tenants = append(cfg.Tenants, tn)
			}
			c.Configure(&cfg)
			for i := range 5000 {
				c.AddJob(&w.Job{
					ID: w.JobID(fmt.Sprint("w", i)), Queue: testQueue, Tenant: w.TenantName(fmt.Sprint(i % max(1, n))),
					Steps: []w.Step{{Count: 2, Need: w.Resources{CPU: 33000, Mem: 6000}}},
				}, true)
			}
			b.ReportMetric(float64(len(c.backlog)), "steps")
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				c.generation++
				c.tenants.limits.Add("0", w.Resources{})
				c.tenants.limits.Remove("0", w.Resources{})
				c.Advance(now)
				if f := c.Flush(); f != nil {
					c.Stored(f)
				}
				c.Frames()
			}
		})
	}
}
