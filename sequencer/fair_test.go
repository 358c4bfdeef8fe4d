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

func push(q *Fair[int], team, caller string, c Class, n int) []*Item[int] {
	items := make([]*Item[int], n)
	for i := range items {
		items[i] = &Item[int]{Value: i, Team: descriptor.TeamID(team), Caller: descriptor.CallerID(caller), Class: c}
		q.Push(items[i])
	}
	return items
}

// serve serves up to n items, charges each with work 1, and counts them by key.
func serve(q *Fair[int], n int, key func(*Item[int]) string) map[string]int {
	got := map[string]int{}
	for range n {
		q.Begin()
		it := q.Peek()
		if it == nil {
			q.End()
			return got
		}
		q.Serve(it)
		q.End()
		q.Charge(it.Team, it.Caller, it.Class, 1)
		got[key(it)]++
	}
	return got
}

func byTeam(it *Item[int]) string   { return string(it.Team) }
func byCaller(it *Item[int]) string { return string(it.Caller) }
func byKind(it *Item[int]) string   { return string(it.Class.Kind) }

// TestTeamWeights guards against teams that are served by their number of
// callers or requests instead of their weight.
func TestTeamWeights(t *testing.T) {
	q := NewFair[int]()
	q.SetRules(&descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{
		"a": {ID: "a", Weight: 3}, "b": {ID: "b", Weight: 1},
	}})
	push(q, "a", "a1", short, 200)
	for i := range 20 {
		push(q, "b", fmt.Sprint("b", i), short, 20)
	}
	require.Equal(t, map[string]int{"a": 75, "b": 25}, serve(q, 100, byTeam))
}

// TestNoCreditAfterIdle guards against a caller that returns from idle and holds
// up the others until it has caught up.
func TestNoCreditAfterIdle(t *testing.T) {
	q := NewFair[int]()
	push(q, "a", "idle", short, 1)
	push(q, "a", "busy", short, 500)
	serve(q, 200, byCaller)
	push(q, "a", "idle", short, 100)
	got := serve(q, 100, byCaller)
	require.InDelta(t, 50, got["idle"], 1)
}

// TestDebtOutlastsIdle guards against a caller that escapes the charge for its
// running work by waiting until its queue is empty.
func TestDebtOutlastsIdle(t *testing.T) {
	q := NewFair[int]()
	push(q, "a", "other", short, 100)
	push(q, "a", "long", short, 1)
	serve(q, 2, byCaller)
	q.Charge("a", "long", short, 20)
	push(q, "a", "long", short, 10)
	got := serve(q, 15, byCaller)
	require.Zero(t, got["long"], "20 units of debt are worth 20 turns")
}

// TestQuotaComesFirst guards against a team below its quota that waits behind
// one above it, in whatever lane.
func TestQuotaComesFirst(t *testing.T) {
	q := NewFair[int]()
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
	require.Equal(t, map[string]int{"over": 5}, serve(q, 5, byTeam), "below its quota the urgent lane is first")
}

// TestNoLaneStarves guards against bulk and long work that never runs while
// there is enough urgent work to fill the cell.
func TestNoLaneStarves(t *testing.T) {
	q := NewFair[int]()
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

// TestWeightsShiftLanes guards against operators' weights without effect.
func TestWeightsShiftLanes(t *testing.T) {
	part := func(w descriptor.Weights, kind string) int {
		q := NewFair[int]()
		q.SetRules(&descriptor.Rules{Weights: w})
		push(q, "a", "a", short, 1000)
		push(q, "a", "b", long, 1000)
		push(q, "a", "d", Class{Kind: "route", Priority: descriptor.Urgent, Long: true}, 1000)
		return serve(q, 500, byKind)[kind]
	}
	require.Greater(t, part(descriptor.Weights{PeakWait: 3}, "route"), part(descriptor.Weights{}, "route"))
	require.Greater(t, part(descriptor.Weights{ShortFirst: 3}, "check"), part(descriptor.Weights{}, "check"))
}

// TestAsideAndBlockLastOnePass guards against work that is skipped for ever
// because it found no room once.
func TestAsideAndBlockLastOnePass(t *testing.T) {
	q := NewFair[int]()
	first := push(q, "a", "a", short, 1)[0]
	second := push(q, "a", "b", short, 1)[0]
	other := push(q, "a", "c", long, 1)[0]
	q.Begin()
	require.Same(t, first, q.Peek())
	q.SetAside(first)
	require.Same(t, second, q.Peek())
	q.Block(short)
	require.Same(t, other, q.Peek())
	q.SetAside(other)
	require.Nil(t, q.Peek())
	q.End()
	q.Begin()
	require.Same(t, first, q.Peek())
	q.End()
}

// TestEveryItemIsServedOnce guards against items that are lost or served twice
// when pushes, removals, charges, passes and changes of usage interleave.
func TestEveryItemIsServedOnce(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		q := NewFair[int]()
		q.SetRules(&descriptor.Rules{Teams: map[descriptor.TeamID]descriptor.Team{"t0": {ID: "t0", Quota: 0.2}, "t1": {ID: "t1", Weight: 2}}})
		waiting := map[*Item[int]]bool{}
		take := func(it *Item[int]) {
			require.True(t, waiting[it], "seed %d", seed)
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
				q.Begin()
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
						q.SetAside(it)
					default:
						q.Block(it.Class)
					}
				}
				q.End()
			}
			require.Equal(t, len(waiting), q.Len())
		}
		for q.Len() > 0 {
			q.Begin()
			it := q.Peek()
			require.NotNil(t, it, "seed %d: %d items are out of reach", seed, q.Len())
			q.Serve(it)
			q.End()
			take(it)
		}
		require.Zero(t, q.busy)
	}
}

// TestAccountsAreBounded guards against memory that grows with the number of
// callers ever seen, also when each leaves with debt.
func TestAccountsAreBounded(t *testing.T) {
	q := NewFair[int]()
	for i := range 20000 {
		caller := fmt.Sprint("c", i)
		push(q, "a", caller, short, 1)
		serve(q, 1, byCaller)
		q.Charge("a", descriptor.CallerID(caller), short, 1e6)
	}
	require.LessOrEqual(t, q.accounts, 2*sweepSlack)
	require.Equal(t, q.accounts, len(q.teams["a"].callers))
}

// TestArrivalOrder guards against a baseline that is not first come first
// served.
func TestArrivalOrder(t *testing.T) {
	q := NewArrival[int]()
	items := make([]*Item[int], 5)
	for i := range items {
		items[i] = &Item[int]{Value: i}
		q.Push(items[i])
	}
	q.Remove(items[0])
	q.Remove(items[2])
	q.Remove(items[2])
	q.Begin()
	require.Same(t, items[1], q.Peek())
	q.SetAside(items[1])
	require.Nil(t, q.Peek(), "later items must not overtake")
	q.Begin()
	for _, want := range []int{1, 3, 4} {
		it := q.Peek()
		require.Equal(t, want, it.Value)
		q.Serve(it)
	}
	require.Zero(t, q.Len())
}

// TestShareFollowsWeightsAndCallers guards against a share that counts callers
// over all teams, which would leave a single caller of a small team with next to
// nothing beside a reseller.
func TestShareFollowsWeightsAndCallers(t *testing.T) {
	q := NewFair[int]()
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
