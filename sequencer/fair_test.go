package sequencer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

var (
	short = Class{Kind: "check", Priority: descriptor.Normal}
	long  = Class{Kind: "plan", Priority: descriptor.Normal, Long: true}
	bulk  = Class{Kind: "list", Priority: descriptor.Bulk}
)

func push(q *FairQueue[int], team, caller string, c Class, n int) []*Item[int] {
	items := make([]*Item[int], n)
	for i := range items {
		items[i] = &Item[int]{Value: i, Team: descriptor.TeamID(team), Caller: descriptor.CallerID(caller), Class: c}
		q.Push(items[i])
	}
	return items
}

// serve serves up to n items, charges each with work 1, and counts them by key.
func serve(q *FairQueue[int], n int, key func(*Item[int]) string) map[string]int {
	got := map[string]int{}
	for range n {
		q.BeginPass()
		it := q.Peek()
		if it == nil {
			q.EndPass()
			return got
		}
		q.Serve(it)
		q.EndPass()
		q.Charge(it.Team, it.Caller, it.Class, 1)
		got[key(it)]++
	}
	return got
}

func byTeam(it *Item[int]) string   { return string(it.Team) }
func byCaller(it *Item[int]) string { return string(it.Caller) }
func byKind(it *Item[int]) string   { return string(it.Class.Kind) }

// TestTeamsAreServedByWeight guards against teams that are served in proportion
// to their number of callers or requests instead of their weight.
func TestTeamsAreServedByWeight(t *testing.T) {
	q := NewFairQueue[int]()
	q.SetRules(&descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{
		"a": {ID: "a", Weight: 3}, "b": {ID: "b", Weight: 1},
	}})
	push(q, "a", "a1", short, 200)
	for i := range 20 {
		push(q, "b", fmt.Sprint("b", i), short, 20)
	}
	require.Equal(t, map[string]int{"a": 75, "b": 25}, serve(q, 100, byTeam))
}

// TestNoCreditAfterIdle guards against a caller that returns from idle and blocks
// the others until its usage has caught up with theirs.
func TestNoCreditAfterIdle(t *testing.T) {
	q := NewFairQueue[int]()
	push(q, "a", "idle", short, 1)
	push(q, "a", "busy", short, 500)
	serve(q, 200, byCaller)
	push(q, "a", "idle", short, 100)
	got := serve(q, 100, byCaller)
	require.InDelta(t, 50, got["idle"], 1)
}

// TestCallerDebtSurvivesIdle guards against a caller that avoids the charge for
// its running work by letting its queue run empty.
func TestCallerDebtSurvivesIdle(t *testing.T) {
	q := NewFairQueue[int]()
	push(q, "a", "other", short, 100)
	push(q, "a", "long", short, 1)
	serve(q, 2, byCaller)
	q.Charge("a", "long", short, 20)
	push(q, "a", "long", short, 10)
	got := serve(q, 15, byCaller)
	require.Zero(t, got["long"], "a debt of 20 units must delay the caller by 20 served items")
}

// TestTeamBelowQuotaIsServedFirst guards against a team below its quota that
// waits behind a team that has reached its own, regardless of lane.
func TestTeamBelowQuotaIsServedFirst(t *testing.T) {
	q := NewFairQueue[int]()
	q.SetRules(&descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{
		"over": {ID: "over", Weight: 100, Quota: 0.1}, "under": {ID: "under", Weight: 1, Quota: 0.5},
	}})
	push(q, "over", "o", Class{Kind: "urgent", Priority: descriptor.Urgent}, 10)
	push(q, "under", "u", bulk, 10)
	q.SetUsage("over", 0.1)
	q.SetUsage("under", 0.4)
	require.True(t, q.OverQuota("over"))
	require.Equal(t, map[string]int{"under": 10, "over": 5}, serve(q, 15, byTeam))
	q.SetUsage("over", 0.05)
	push(q, "under", "u", bulk, 10)
	require.Equal(t, map[string]int{"over": 5}, serve(q, 5, byTeam), "when both teams are below their quotas, the urgent lane must be served first")
}

// TestNoLaneStarves guards against bulk and long work that never runs while
// there is enough urgent work to use the whole capacity.
func TestNoLaneStarves(t *testing.T) {
	q := NewFairQueue[int]()
	push(q, "a", "a", short, 1000)
	push(q, "a", "b", long, 1000)
	push(q, "a", "c", bulk, 1000)
	push(q, "a", "d", Class{Kind: "route", Priority: descriptor.Urgent}, 1000)
	got := serve(q, 1000, byKind)
	require.Greater(t, got["route"], 2*got["check"])
	require.Greater(t, got["check"], got["list"])
	for _, kind := range []string{"route", "check", "plan", "list"} {
		require.Positive(t, got[kind], kind)
	}
}

// TestRuleWeightsChangeLaneShares guards against weights in the rules that have
// no effect.
func TestRuleWeightsChangeLaneShares(t *testing.T) {
	part := func(w descriptor.Weights, kind string) int {
		q := NewFairQueue[int]()
		q.SetRules(&descriptor.Rules{Weights: w})
		push(q, "a", "a", short, 1000)
		push(q, "a", "b", long, 1000)
		push(q, "a", "d", Class{Kind: "route", Priority: descriptor.Urgent, Long: true}, 1000)
		return serve(q, 500, byKind)[kind]
	}
	require.Greater(t, part(descriptor.Weights{PeakWait: 3}, "route"), part(descriptor.Weights{}, "route"))
	require.Greater(t, part(descriptor.Weights{ShortFirst: 3}, "check"), part(descriptor.Weights{}, "check"))
}

// TestSkipsLastOnePass guards against work that is skipped forever because it
// could not be placed once.
func TestSkipsLastOnePass(t *testing.T) {
	q := NewFairQueue[int]()
	first := push(q, "a", "a", short, 1)[0]
	second := push(q, "a", "b", short, 1)[0]
	other := push(q, "a", "c", long, 1)[0]
	q.BeginPass()
	require.Same(t, first, q.Peek())
	q.SkipFlow(first)
	require.Same(t, second, q.Peek())
	q.SkipClass(short)
	require.Same(t, other, q.Peek())
	q.SkipFlow(other)
	require.Nil(t, q.Peek())
	q.EndPass()
	q.BeginPass()
	require.Same(t, first, q.Peek())
	q.EndPass()
}

// TestEveryItemIsServedOnce guards against items that are lost or served twice
// when pushes, removals, charges, passes and usage updates interleave.
func TestEveryItemIsServedOnce(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		q := NewFairQueue[int]()
		q.SetRules(&descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{"t0": {ID: "t0", Quota: 0.2}, "t1": {ID: "t1", Weight: 2}}})
		waiting := map[*Item[int]]bool{}
		take := func(it *Item[int]) {
			require.True(t, waiting[it], "seed %d: item taken that is not queued", seed)
			delete(waiting, it)
		}
		for range 3000 {
			switch rng.IntN(5) {
			case 0, 1:
				c := []Class{short, long, bulk}[rng.IntN(3)]
				it := push(q, fmt.Sprint("t", rng.IntN(4)), fmt.Sprint("c", rng.IntN(30)), c, 1)[0]
				waiting[it] = true
			case 2:
				for it := range waiting {
					q.Remove(it)
					q.Remove(it)
					take(it)
					break
				}
			case 3:
				q.SetUsage(descriptor.TeamID(fmt.Sprint("t", rng.IntN(4))), rng.Float64())
				q.Charge(descriptor.TeamID(fmt.Sprint("t", rng.IntN(4))), descriptor.CallerID(fmt.Sprint("c", rng.IntN(30))), short, rng.Float64()*4-1)
			case 4:
				q.BeginPass()
				for range rng.IntN(4) {
					it := q.Peek()
					if it == nil {
						break
					}
					switch rng.IntN(3) {
					case 0:
						q.Serve(it)
						take(it)
					case 1:
						q.SkipFlow(it)
					default:
						q.SkipClass(it.Class)
					}
				}
				q.EndPass()
			}
			require.Equal(t, len(waiting), q.Len())
		}
		for q.Len() > 0 {
			q.BeginPass()
			it := q.Peek()
			require.NotNil(t, it, "seed %d: Peek returned nil with %d items queued", seed, q.Len())
			q.Serve(it)
			q.EndPass()
			take(it)
		}
		require.Zero(t, q.activeCallers)
	}
}

// TestAccountsAreBounded guards against memory that grows with the number of
// callers ever seen, even if each of them has debt when it becomes idle.
func TestAccountsAreBounded(t *testing.T) {
	q := NewFairQueue[int]()
	for i := range 20000 {
		caller := fmt.Sprint("c", i)
		push(q, "a", caller, short, 1)
		serve(q, 1, byCaller)
		q.Charge("a", descriptor.CallerID(caller), short, 1e6)
	}
	require.LessOrEqual(t, q.callerAccounts, 2*idleAccountSlack)
	require.Equal(t, q.callerAccounts, len(q.teams["a"].callers))
}

// TestFIFOOrder guards against a baseline that does not serve items in the order
// of arrival.
func TestFIFOOrder(t *testing.T) {
	q := NewFIFO[int]()
	items := make([]*Item[int], 5)
	for i := range items {
		items[i] = &Item[int]{Value: i}
		q.Push(items[i])
	}
	q.Remove(items[0])
	q.Remove(items[2])
	q.Remove(items[2])
	q.BeginPass()
	require.Same(t, items[1], q.Peek())
	q.SkipFlow(items[1])
	require.Nil(t, q.Peek(), "later items must not overtake a skipped one")
	q.BeginPass()
	for _, want := range []int{1, 3, 4} {
		it := q.Peek()
		require.Equal(t, want, it.Value)
		q.Serve(it)
	}
	require.Zero(t, q.Len())
}

// TestShareFollowsWeightsAndCallers guards against a share that counts the
// callers of all teams, which would leave the only caller of a small team with
// almost nothing while a reseller with many callers is backlogged.
func TestShareFollowsWeightsAndCallers(t *testing.T) {
	q := NewFairQueue[int]()
	q.SetRules(&descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{
		"single": {ID: "single", Weight: 1}, "reseller": {ID: "reseller", Weight: 3},
	}})
	require.InDelta(t, 1, q.Share("single", "s", short), 1e-9)
	for i := range 10 {
		push(q, "reseller", fmt.Sprint("r", i), short, 5)
	}
	require.InDelta(t, 0.25, q.Share("single", "s", short), 1e-9)
	push(q, "single", "s", short, 5)
	require.InDelta(t, 0.25, q.Share("single", "s", short), 1e-9)
	require.InDelta(t, 0.075, q.Share("reseller", "r1", short), 1e-9)
	require.InDelta(t, 0.75/11, q.Share("reseller", "new", short), 1e-9)
	require.InDelta(t, 1, q.Share("single", "s", long), 1e-9)
}
