package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

func request(kind, caller string, declared time.Duration) *descriptor.Request {
	return &descriptor.Request{
		Key:  descriptor.Key{Caller: descriptor.CallerID(caller), ID: "r"},
		Kind: descriptor.KindName(kind), DeclaredRun: declared,
	}
}

// within reports whether got is at most factor times away from want.
func within(t *testing.T, want, got time.Duration, factor float64) {
	t.Helper()
	require.LessOrEqual(t, math.Abs(math.Log(got.Seconds()/want.Seconds())), math.Log(factor),
		"want about %s, got %s", want, got)
}

// TestDeclarationIsOnlyThePrior guards against an estimate that follows a wrong
// declaration after runs have been seen.
func TestDeclarationIsOnlyThePrior(t *testing.T) {
	for _, factor := range []float64{0.1, 1, 10} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			o := NewObserved()
			declared := time.Duration(factor * float64(time.Second))
			r := request("routeBuild", "salon", declared)
			within(t, declared, o.Estimate(r).Mean, 2.5)
			for range 20 {
				o.Observe(r, time.Second)
			}
			within(t, time.Second, o.Estimate(r).Mean, 1.3)
		})
	}
}

// TestRandomDeclarationsInOneKind guards against short work that is taken for
// long, or long for short, when a fifth of the declarations are wrong by ten
// times and only the declaration tells the two apart.
func TestRandomDeclarationsInOneKind(t *testing.T) {
	o := NewObserved()
	rng := rand.New(rand.NewPCG(1, 1))
	declare := func(run time.Duration) time.Duration {
		switch rng.IntN(10) {
		case 0:
			return run / 10
		case 1:
			return run * 10
		}
		return run
	}
	for i := range 20000 {
		run := time.Second
		if i%100 == 0 {
			run = 100 * time.Second
		}
		o.Observe(request("plan", fmt.Sprint("c", rng.IntN(50)), declare(run)), run)
	}
	within(t, time.Second, o.Estimate(request("plan", "c1", 100*time.Millisecond)).Mean, 2)
	within(t, time.Second, o.Estimate(request("plan", "c1", time.Second)).Mean, 2)
	within(t, 100*time.Second, o.Estimate(request("plan", "c1", 100*time.Second)).Mean, 3)
	within(t, 100*time.Second, o.Estimate(request("plan", "c1", 1000*time.Second)).Mean, 3)
}

// TestCallersDiffer guards against one caller's runs that predict another's
// although both are known.
func TestCallersDiffer(t *testing.T) {
	o := NewObserved()
	fast, slow := request("plan", "fast", time.Second), request("plan", "slow", time.Second)
	for range 50 {
		o.Observe(fast, time.Second)
		o.Observe(slow, 20*time.Second)
	}
	within(t, time.Second, o.Estimate(fast).Mean, 2)
	within(t, 20*time.Second, o.Estimate(slow).Mean, 2)
}

// TestMemoryIsBounded guards against an estimator that grows with the number of
// callers it has ever seen.
func TestMemoryIsBounded(t *testing.T) {
	o := NewObserved()
	for i := range 3 * generation {
		o.Observe(request("plan", fmt.Sprint(i), time.Second), time.Second)
	}
	require.LessOrEqual(t, len(o.recent)+len(o.older), 2*generation)
}
