package claimer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/faketable"
)

func completed(detail string) descriptor.Outcome {
	return descriptor.NewUnstarted().Start().Complete(descriptor.Run{Target: "t1", Detail: detail})
}

// claim calls Claim with a timeout of one second.
func (i *instance) claim(key descriptor.Key) (bool, Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return i.claimer.Claim(ctx, key)
}

// TestOutcomeIsDurable guards against an outcome that is lost, or replaced by a
// later one, when responses of the store are lost.
func TestOutcomeIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(1)
		a, b := startInstance(t, table, "a", 2), startInstance(t, table, "b", 2)
		defer a.stop()
		defer b.stop()
		won, _, err := a.claim(testKey(1))
		require.NoError(t, err)
		require.True(t, won)
		a.client.SetFaults(faketable.Faults{LostResponseRate: 0.7})
		require.NoError(t, a.claimer.Record(t.Context(), testKey(1), completed("first")))
		require.NoError(t, a.claimer.Record(t.Context(), testKey(1), completed("first")))
		require.ErrorIs(t, b.claimer.Record(t.Context(), testKey(1), completed("second")), ErrRecorded)
		won, existing, err := b.claim(testKey(1))
		require.NoError(t, err)
		require.False(t, won)
		require.Equal(t, Holder{Instance: "a", Incarnation: 1}, existing.Holder)
		require.Equal(t, "first", existing.Outcome.Detail())
		require.ErrorIs(t, b.claimer.Record(t.Context(), testKey(2), completed("no claim")), connector.ErrNotFound)
	})
}

// TestOutcomeRecordedByNewOwner guards against a claim that never gets an outcome
// because its holder has failed, and against a late outcome of that holder replacing
// the recorded one.
func TestOutcomeRecordedByNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(2)
		a, b := startInstance(t, table, "a", 2), startInstance(t, table, "b", 2)
		defer a.stop()
		defer b.stop()
		_, _, err := a.claim(testKey(1))
		require.NoError(t, err)
		lost := descriptor.NewUnstarted().Start().EndUnknown(descriptor.Run{})
		require.NoError(t, b.claimer.Record(t.Context(), testKey(1), lost))
		require.ErrorIs(t, a.claimer.Record(t.Context(), testKey(1), completed("late")), ErrRecorded)
		claim, ok, err := a.claimer.Lookup(t.Context(), testKey(1))
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, descriptor.Unknown, claim.Outcome.Kind())
	})
}

// TestConflictFailsOnlyItsKey guards against a batch that fails as a whole because
// one of its keys is already claimed.
func TestConflictFailsOnlyItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(3)
		a, b := startInstance(t, table, "a", 2), startInstance(t, table, "b", 2)
		defer a.stop()
		defer b.stop()
		_, _, err := b.claim(testKey(50))
		require.NoError(t, err)
		_, before := table.RequestCounts()
		var mu sync.Mutex
		won := 0
		var callers sync.WaitGroup
		for n := range 100 {
			callers.Go(func() {
				ok, _, err := a.claim(testKey(n))
				assert.NoError(t, err)
				assert.Equal(t, n != 50, ok)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					won++
				}
			})
		}
		callers.Wait()
		require.Equal(t, 99, won)
		_, after := table.RequestCounts()
		// One transaction for the first claim, one for the rest, and one for the
		// rest without the conflicting key.
		require.LessOrEqual(t, after-before, 3)
	})
}

// TestFencedSessionCannotClaim guards against a claim made under a session that
// has been removed. Other instances may run the request after the removal.
func TestFencedSessionCannotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(4)
		a := startInstance(t, table, "a", 1)
		defer a.stop()
		_, err := table.Client().Commit(t.Context(), connector.Transaction{Deletes: []connector.RowKey{a.session.Row}})
		require.NoError(t, err)
		won, _, err := a.claim(testKey(1))
		require.ErrorIs(t, err, connector.ErrUnavailable)
		require.False(t, won)
		_, ok, err := a.claimer.Lookup(t.Context(), testKey(1))
		require.NoError(t, err)
		require.False(t, ok)
	})
}

// TestAmbiguousClaimIsResolvedOnRetry guards against a claim that its own holder
// cannot win, and against one that is won twice, after a response was lost.
func TestAmbiguousClaimIsResolvedOnRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(5)
		a := startInstance(t, table, "a", 1)
		defer a.stop()
		a.client.SetFaults(faketable.Faults{LostResponseRate: 1})
		time.AfterFunc(100*time.Millisecond, func() { a.client.SetFaults(faketable.Faults{}) })
		won, _, err := a.claim(testKey(1))
		require.NoError(t, err)
		require.True(t, won, "the conflict of the retried insert contains the row of the first attempt, so the claim must be won")
		a.client.SetFaults(faketable.Faults{DelayedCommitRate: 1, MaxCommitDelay: 5 * time.Second})
		_, _, err = a.claim(testKey(2))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		table.WaitForDelayedCommits()
		a.client.SetFaults(faketable.Faults{})
		won, _, err = a.claim(testKey(2))
		require.NoError(t, err)
		require.True(t, won)
		won, existing, err := a.claim(testKey(2))
		require.NoError(t, err)
		require.False(t, won)
		require.Equal(t, descriptor.InstanceID("a"), existing.Holder.Instance)
	})
}

// TestResolvedClaimIsNotWon guards against running a request after another
// instance has recorded the outcome unknown for its ambiguous claim.
func TestResolvedClaimIsNotWon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(6)
		a, b := startInstance(t, table, "a", 2), startInstance(t, table, "b", 2)
		defer a.stop()
		defer b.stop()
		a.client.SetFaults(faketable.Faults{DelayedCommitRate: 1})
		_, _, err := a.claim(testKey(1))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		lost := descriptor.NewUnstarted().Start().EndUnknown(descriptor.Run{})
		require.NoError(t, b.claimer.Record(t.Context(), testKey(1), lost))
		a.client.SetFaults(faketable.Faults{})
		won, existing, err := a.claim(testKey(1))
		require.NoError(t, err)
		require.False(t, won)
		require.NotNil(t, existing.Outcome)
	})
}

// TestWithdraw guards against a withdrawn claim that still blocks the request, and
// against the deletion of another holder's claim.
func TestWithdraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(7)
		a, b := startInstance(t, table, "a", 2), startInstance(t, table, "b", 2)
		defer a.stop()
		defer b.stop()
		_, _, err := a.claim(testKey(1))
		require.NoError(t, err)
		require.ErrorIs(t, b.claimer.Withdraw(t.Context(), testKey(1)), ErrNotHolder)
		a.client.SetFaults(faketable.Faults{LostResponseRate: 0.7})
		require.NoError(t, a.claimer.Withdraw(t.Context(), testKey(1)))
		require.NoError(t, a.claimer.Withdraw(t.Context(), testKey(1)))
		won, _, err := b.claim(testKey(1))
		require.NoError(t, err)
		require.True(t, won)
		require.NoError(t, b.claimer.Record(t.Context(), testKey(1), completed("")))
		require.ErrorIs(t, b.claimer.Withdraw(t.Context(), testKey(1)), ErrRecorded)
	})
}

// TestRowKeysAreDistinct guards against two keys that map to the same row because
// of a slash in the caller's name or the request ID.
func TestRowKeysAreDistinct(t *testing.T) {
	require.NotEqual(t,
		rowKey(descriptor.Key{Caller: "a/b", ID: "c"}),
		rowKey(descriptor.Key{Caller: "a", ID: "b/c"}))
}

// TestBudget guards against instances that together exceed the write budget, and
// against a delay of a single claim without other load.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, seconds = 9, 5
		table := faketable.New(8)
		var instances []*instance
		for k := range n {
			instances = append(instances, startInstance(t, table, descriptor.InstanceID(fmt.Sprint(k)), n))
		}
		start := time.Now()
		_, _, err := instances[0].claim(testKey(0))
		require.NoError(t, err)
		require.Zero(t, time.Since(start))
		time.Sleep(time.Second)
		_, before := table.RequestCounts()
		var callers sync.WaitGroup
		for k, i := range instances {
			for worker := range 200 {
				callers.Go(func() {
					for m := 0; time.Since(start) < (1+seconds)*time.Second; m++ {
						_, _, err := i.claim(testKey(1 + k + n*(worker+200*m)))
						assert.NoError(t, err)
					}
				})
			}
		}
		callers.Wait()
		_, after := table.RequestCounts()
		rate := float64(after-before) / time.Since(start.Add(time.Second)).Seconds()
		t.Logf("%.1f writes/s", rate)
		require.LessOrEqual(t, rate, DefaultWritesPerSecond*1.01)
		for _, i := range instances {
			i.stop()
		}
	})
}

// TestCloseFlushes guards against queued writes that are dropped during a graceful
// shutdown.
func TestCloseFlushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(9)
		a := startInstance(t, table, "a", 30) // 180/30 = 6 writes/s
		var callers sync.WaitGroup
		for n := range 300 {
			callers.Go(func() {
				won, _, err := a.claim(testKey(n))
				assert.NoError(t, err)
				assert.True(t, won)
			})
		}
		synctest.Wait()
		require.NoError(t, a.claimer.Close())
		callers.Wait()
		_, _, err := a.claim(testKey(1000))
		require.ErrorIs(t, err, ErrClosed)
		a.stop()
	})
}

// TestStopWhileAmbiguous guards against a claim that is reported as not made
// because the instance stops, but takes effect later.
func TestStopWhileAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(11)
		a := startInstance(t, table, "a", 1)
		a.client.SetFaults(faketable.Faults{DelayedCommitRate: 1, MaxCommitDelay: time.Minute})
		time.AfterFunc(10*time.Millisecond, a.cancel)
		_, _, err := a.claim(testKey(1))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		require.NotErrorIs(t, err, connector.ErrUnavailable)
		table.WaitForDelayedCommits()
		require.Equal(t, 1, countClaims(t, table))
		a.stop()
	})
}

// TestAbandonedClaimIsAmbiguous guards against a claim that is reported as not made
// because its caller's context ended while the commit was in flight.
func TestAbandonedClaimIsAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startInstance(t, faketable.New(12), "a", 1)
		defer a.stop()
		a.client.SetFaults(faketable.Faults{Hang: true})
		_, _, err := a.claim(testKey(1))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		require.NotErrorIs(t, err, connector.ErrUnavailable)
	})
}

// TestSweepSkippedWhileAnotherIsActive guards against instances that sweep at the
// same time.
func TestSweepSkippedWhileAnotherIsActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(13)
		a := startInstance(t, table, "a", 2)
		defer a.stop()
		other := table.Client()
		version := connector.RowVersion(0)
		for range 30 {
			versions, err := other.Commit(t.Context(), connector.Transaction{
				Conditions: []connector.Condition{{Key: sweepRow, Version: version}},
				Puts:       []connector.Put{{Key: sweepRow, Value: []byte(`{"sweeper":"b"}`)}},
			})
			require.NoError(t, err, "another instance wrote the sweep row while its sweeper was active")
			version = versions[0]
			time.Sleep(sweepIdleTimeout - time.Second)
		}
	})
}

// TestSweep guards against expired claims that are never removed, against the
// removal of claims within the retention period, and against instances that sweep
// at the same time.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := faketable.New(10)
		var instances []*instance
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			instances = append(instances, startInstance(t, table, name, 3))
		}
		for n := range 400 {
			_, _, err := instances[0].claim(testKey(n))
			require.NoError(t, err)
		}
		time.Sleep(DefaultRetention - time.Hour)
		_, _, err := instances[0].claim(testKey(1000))
		require.NoError(t, err)
		require.Equal(t, 401, countClaims(t, table))
		time.Sleep(4 * time.Hour)
		require.Equal(t, 1, countClaims(t, table))

		readsBefore, writesBefore := table.RequestCounts()
		time.Sleep(24 * time.Hour)
		readsAfter, writesAfter := table.RequestCounts()
		// One single-page sweep per hour, plus the reads of the sweep row.
		require.LessOrEqual(t, writesAfter-writesBefore, 25)
		require.LessOrEqual(t, float64(readsAfter-readsBefore), 3*24*time.Hour.Seconds()/sweepIdleTimeout.Seconds())
		for _, i := range instances {
			i.stop()
		}
	})
}

func countClaims(t *testing.T, table *faketable.Table) int {
	total, after := 0, connector.RowKey("")
	for {
		rows, err := table.Client().Scan(t.Context(), claimPrefix, after, 100)
		require.NoError(t, err)
		for _, row := range rows {
			require.True(t, strings.HasPrefix(string(row.Key), string(claimPrefix)))
			after = row.Key
		}
		if total += len(rows); len(rows) < 100 {
			return total
		}
	}
}
