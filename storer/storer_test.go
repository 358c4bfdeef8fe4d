package storer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/faketable"
)

// countingTable counts the calls that reach the wrapped table.
type countingTable struct {
	connector.Table
	mu    sync.Mutex
	calls int
	// failAlternate makes Get fail on every second call.
	failAlternate bool
}

func (c *countingTable) count() (fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c.failAlternate && c.calls%2 == 1
}

func (c *countingTable) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *countingTable) Get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	if c.count() {
		return connector.Row{}, connector.ErrUnavailable
	}
	return c.Table.Get(ctx, key)
}

func (c *countingTable) Commit(ctx context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	c.count()
	return c.Table.Commit(ctx, t)
}

func newTestStore() (*Store, *countingTable, *faketable.Client) {
	client := faketable.New(1).Client()
	table := &countingTable{Table: client}
	return New(Config{
		Clock: clockwork.NewRealClock(),
		Rand:  rand.New(rand.NewPCG(1, 1)),
		Table: table,
	}), table, client
}

func putTransaction(key connector.RowKey) connector.Transaction {
	return connector.Transaction{Puts: []connector.Put{{Key: key, Value: []byte(`{}`)}}}
}

// TestAmbiguousCommitIsNotRetried guards against a retried commit that takes effect
// after the caller has already handled the ambiguous result of the first attempt.
func TestAmbiguousCommitIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, client := newTestStore()
		client.SetFaults(faketable.Faults{LostResponseRate: 1})
		_, err := s.Commit(t.Context(), putTransaction("r"))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		client.SetFaults(faketable.Faults{Hang: true})
		start := time.Now()
		_, err = s.Commit(t.Context(), putTransaction("r"))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		require.Equal(t, DefaultTimeout, time.Since(start))
		require.Equal(t, 2, table.total())
	})
}

// TestReadsAreRetried guards against a read that fails after a single timeout.
func TestReadsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, client := newTestStore()
		client.SetFaults(faketable.Faults{Hang: true})
		time.AfterFunc(DefaultTimeout, func() { client.SetFaults(faketable.Faults{}) })
		_, err := s.Get(t.Context(), "r")
		require.ErrorIs(t, err, connector.ErrNotFound)
		require.Equal(t, 2, table.total())
		client.SetFaults(faketable.Faults{Hang: true})
		_, err = s.Get(t.Context(), "r")
		require.ErrorIs(t, err, connector.ErrUnavailable)
	})
}

// TestRetryBudgetIsProportionalToCalls guards against a number of retries that
// grows with the failures instead of the calls.
func TestRetryBudgetIsProportionalToCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, _ := newTestStore()
		table.failAlternate = true
		const calls = 1000
		for range calls {
			_, _ = s.Get(t.Context(), "r")
		}
		require.LessOrEqual(t, float64(table.total()), calls*(1+retryRatio)+retryBurst)
	})
}

// TestRetriesAreBoundedDuringOutage guards against retries that multiply the load
// on a failing store, and against a breaker that stays open after the store has
// recovered.
func TestRetriesAreBoundedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, client := newTestStore()
		client.SetFaults(faketable.Faults{Down: true})
		const calls = 1000
		for range calls {
			_, err := s.Get(t.Context(), "r")
			require.ErrorIs(t, err, connector.ErrUnavailable)
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, float64(table.total()), retryRatio*calls+retryBurst+breakerThreshold+calls*0.01/breakerTimeout.Seconds())
		client.SetFaults(faketable.Faults{})
		time.Sleep(breakerTimeout + time.Millisecond)
		_, err := s.Get(t.Context(), "r")
		require.ErrorIs(t, err, connector.ErrNotFound)
	})
}

// TestRenewalBypassesOpenBreaker guards against a session that expires because
// failures of other calls have opened the breaker.
func TestRenewalBypassesOpenBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, client := newTestStore()
		client.SetFaults(faketable.Faults{Down: true})
		for range 2 * breakerThreshold {
			_, _ = s.Commit(t.Context(), putTransaction("r"))
		}
		client.SetFaults(faketable.Faults{})
		_, err := s.Commit(t.Context(), putTransaction("r"))
		require.ErrorIs(t, err, connector.ErrUnavailable)
		_, err = s.Commit(WithClass(t.Context(), ClassRenewal), putTransaction("r"))
		require.NoError(t, err)
	})
}

// TestPriorityClassesAndInstanceShare guards against a renewal that waits behind
// claims, claims that wait behind other writes, and an instance that exceeds its
// share of the budget.
func TestPriorityClassesAndInstanceShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestStore()
		s.SetInstanceCount(100) // 3 writes/s
		start := time.Now()
		var mu sync.Mutex
		lastFinished := map[Class]time.Duration{}
		var wg sync.WaitGroup
		for _, class := range []Class{ClassOther, ClassClaim} {
			for range 15 {
				wg.Go(func() {
					_, err := s.Commit(WithClass(context.Background(), class), putTransaction("r"))
					assert.NoError(t, err)
					mu.Lock()
					defer mu.Unlock()
					lastFinished[class] = time.Since(start)
				})
			}
			synctest.Wait()
		}
		renewalStart := time.Now()
		_, err := s.Commit(WithClass(context.Background(), ClassRenewal), putTransaction("r"))
		require.NoError(t, err)
		require.Equal(t, renewalStart, time.Now())
		wg.Wait()
		require.Less(t, lastFinished[ClassClaim], 7*time.Second)
		share := 3.0
		require.GreaterOrEqual(t, lastFinished[ClassOther].Seconds(), (31-float64(burst(share)))/share-0.01)
	})
}

// TestBudgetWaitEndsWithContext guards against a call that keeps waiting for the
// rate limit after its context has ended, and against ErrAmbiguous for a call that
// was not sent.
func TestBudgetWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, _ := newTestStore()
		s.SetInstanceCount(3000) // one write per 10 s
		for range burst(0.1) {
			_, err := s.Commit(t.Context(), putTransaction("r"))
			require.NoError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Commit(ctx, putTransaction("r"))
		require.ErrorIs(t, err, connector.ErrUnavailable)
		require.False(t, errors.Is(err, connector.ErrAmbiguous))
		require.Equal(t, burst(0.1), table.total())
		s.SetInstanceCount(1)
		_, err = s.Commit(t.Context(), putTransaction("r"))
		require.NoError(t, err)
	})
}

// memoryObjects is an in-memory object store whose first put takes effect but
// returns ErrAmbiguous.
type memoryObjects struct {
	objects map[string][]byte
	puts    int
}

func (m *memoryObjects) PutObject(_ context.Context, key string, body []byte) error {
	m.objects[key] = body
	if m.puts++; m.puts == 1 {
		return connector.ErrAmbiguous
	}
	return nil
}

func (m *memoryObjects) GetObject(_ context.Context, key string) ([]byte, error) {
	if body, ok := m.objects[key]; ok {
		return body, nil
	}
	return nil, connector.ErrNotFound
}

// TestObjects guards against a put that is not retried after an ambiguous result,
// and against missing objects that the breaker counts as failures.
func TestObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestStore()
		objects := &memoryObjects{objects: map[string][]byte{}}
		s.cfg.Objects = objects
		require.NoError(t, s.PutObject(t.Context(), "k", []byte("v")))
		require.Equal(t, 2, objects.puts)
		for range 2 * breakerThreshold {
			_, err := s.GetObject(t.Context(), "absent")
			require.ErrorIs(t, err, connector.ErrNotFound)
		}
		body, err := s.GetObject(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, []byte("v"), body)
	})
}
