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

func newRequest(kind, caller string, declared time.Duration) *descriptor.Request {
	return &descriptor.Request{
		Key:  descriptor.Key{Caller: descriptor.CallerID(caller), ID: "r"},
		Kind: descriptor.KindName(kind), DeclaredRun: declared,
	}
}

// requireWithinFactor fails the test unless got is between want/factor and
// want*factor.
func requireWithinFactor(t *testing.T, want, got time.Duration, factor float64) {
	t.Helper()
	require.LessOrEqual(t, math.Abs(math.Log(got.Seconds()/want.Seconds())), math.Log(factor),
		"want approximately %s, got %s", want, got)
}

// TestObservationsOverrideDeclaration guards against estimates that still follow a
// wrong declaration after runs have been observed.
func TestObservationsOverrideDeclaration(t *testing.T) {
	for _, factor := range []float64{0.1, 1, 10} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			o := NewObserved()
			declared := time.Duration(factor * float64(time.Second))
			r := newRequest("routeBuild", "salon", declared)
			requireWithinFactor(t, declared, o.Estimate(r).Mean, 2.5)
			for range 20 {
				o.Observe(r, time.Second)
			}
			requireWithinFactor(t, time.Second, o.Estimate(r).Mean, 1.3)
		})
	}
}

// TestRandomlyWrongDeclarations guards against confusing short and long runs of one
// kind when only the declaration distinguishes them and a fifth of the declarations
// are wrong by a factor of ten.
func TestRandomlyWrongDeclarations(t *testing.T) {
	o := NewObserved()
	rng := rand.New(rand.NewPCG(1, 1))
	declare := func(runTime time.Duration) time.Duration {
		switch rng.IntN(10) {
		case 0:
			return runTime / 10
		case 1:
			return runTime * 10
		}
		return runTime
	}
	for i := range 20000 {
		runTime := time.Second
		if i%100 == 0 {
			runTime = 100 * time.Second
		}
		o.Observe(newRequest("plan", fmt.Sprint("c", rng.IntN(50)), declare(runTime)), runTime)
	}
	requireWithinFactor(t, time.Second, o.Estimate(newRequest("plan", "c1", 100*time.Millisecond)).Mean, 2)
	requireWithinFactor(t, time.Second, o.Estimate(newRequest("plan", "c1", time.Second)).Mean, 2)
	requireWithinFactor(t, 100*time.Second, o.Estimate(newRequest("plan", "c1", 100*time.Second)).Mean, 3)
	requireWithinFactor(t, 100*time.Second, o.Estimate(newRequest("plan", "c1", 1000*time.Second)).Mean, 3)
}

// TestEstimatesDifferByCaller guards against predicting the runs of one caller from
// those of another although runs of both have been observed.
func TestEstimatesDifferByCaller(t *testing.T) {
	o := NewObserved()
	fast, slow := newRequest("plan", "fast", time.Second), newRequest("plan", "slow", time.Second)
	for range 50 {
		o.Observe(fast, time.Second)
		o.Observe(slow, 20*time.Second)
	}
	requireWithinFactor(t, time.Second, o.Estimate(fast).Mean, 2)
	requireWithinFactor(t, 20*time.Second, o.Estimate(slow).Mean, 2)
}

// TestHistoryCountIsBounded guards against memory use that grows with the number of
// callers ever observed.
func TestHistoryCountIsBounded(t *testing.T) {
	o := NewObserved()
	for i := range 3 * generationSize {
		o.Observe(newRequest("plan", fmt.Sprint(i), time.Second), time.Second)
	}
	require.LessOrEqual(t, len(o.current)+len(o.previous), 2*generationSize)
}
