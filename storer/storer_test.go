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

// countingTable counts the calls that reach the store's client.
type countingTable struct {
	connector.Table
	mu    sync.Mutex
	calls int
	// flaky makes every second call fail.
	flaky bool
}

func (c *countingTable) count() (fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c.flaky && c.calls%2 == 1
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

func put(key connector.RowKey) connector.Transaction {
	return connector.Transaction{Puts: []connector.Put{{Key: key, Value: []byte(`{}`)}}}
}

// TestAmbiguousCommitIsNotRepeated guards against a second commit that takes
// effect after the caller has acted on the first.
func TestAmbiguousCommitIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, client := newTestStore()
		client.Set(faketable.Faults{LostAnswer: 1})
		_, err := s.Commit(t.Context(), put("r"))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		client.Set(faketable.Faults{Hang: true})
		start := time.Now()
		_, err = s.Commit(t.Context(), put("r"))
		require.ErrorIs(t, err, connector.ErrAmbiguous)
		require.Equal(t, DefaultTimeout, time.Since(start))
		require.Equal(t, 2, table.total())
	})
}

// TestReadsAreRepeated guards against a read that fails on the first lost answer.
func TestReadsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, client := newTestStore()
		client.Set(faketable.Faults{Hang: true})
		time.AfterFunc(DefaultTimeout, func() { client.Set(faketable.Faults{}) })
		_, err := s.Get(t.Context(), "r")
		require.ErrorIs(t, err, connector.ErrNotFound)
		require.Equal(t, 2, table.total())
		client.Set(faketable.Faults{Hang: true})
		_, err = s.Get(t.Context(), "r")
		require.ErrorIs(t, err, connector.ErrUnavailable)
	})
}

// TestRetryBudget guards against retries in proportion to the failures instead
// of the calls.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, _ := newTestStore()
		table.flaky = true
		const calls = 1000
		for range calls {
			_, _ = s.Get(t.Context(), "r")
		}
		require.LessOrEqual(t, float64(table.total()), calls*(1+retryRatio)+retryBurst)
	})
}

// TestRetriesAreBounded guards against retries that multiply the load on a
// failing store, and against a store that is not used again after it recovered.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, client := newTestStore()
		client.Set(faketable.Faults{Down: true})
		const calls = 1000
		for range calls {
			_, err := s.Get(t.Context(), "r")
			require.ErrorIs(t, err, connector.ErrUnavailable)
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, float64(table.total()), retryRatio*calls+retryBurst+breakerFailures+calls*0.01/breakerOpen.Seconds())
		client.Set(faketable.Faults{})
		time.Sleep(breakerOpen + time.Millisecond)
		_, err := s.Get(t.Context(), "r")
		require.ErrorIs(t, err, connector.ErrNotFound)
	})
}

// TestRenewalPassesOpenBreaker guards against a session that ends because the
// failures of other calls opened the breaker.
func TestRenewalPassesOpenBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, client := newTestStore()
		client.Set(faketable.Faults{Down: true})
		for range 2 * breakerFailures {
			_, _ = s.Commit(t.Context(), put("r"))
		}
		client.Set(faketable.Faults{})
		_, err := s.Commit(t.Context(), put("r"))
		require.ErrorIs(t, err, connector.ErrUnavailable)
		_, err = s.Commit(WithClass(t.Context(), ClassRenewal), put("r"))
		require.NoError(t, err)
	})
}

// TestClassesAndShare guards against a renewal that waits behind claims, claims
// that wait behind other writes, and an instance that takes more than its share.
func TestClassesAndShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestStore()
		s.SetInstances(100) // 3 writes/s
		start := time.Now()
		var mu sync.Mutex
		ended := map[Class]time.Duration{}
		var calls sync.WaitGroup
		for _, class := range []Class{ClassOther, ClassClaim} {
			for range 15 {
				calls.Go(func() {
					_, err := s.Commit(WithClass(context.Background(), class), put("r"))
					assert.NoError(t, err)
					mu.Lock()
					defer mu.Unlock()
					ended[class] = time.Since(start)
				})
			}
			synctest.Wait()
		}
		before := time.Now()
		_, err := s.Commit(WithClass(context.Background(), ClassRenewal), put("r"))
		require.NoError(t, err)
		require.Equal(t, before, time.Now())
		calls.Wait()
		require.Less(t, ended[ClassClaim], 7*time.Second)
		share := 3.0
		require.GreaterOrEqual(t, ended[ClassOther].Seconds(), (31-float64(burst(share)))/share-0.01)
	})
}

// TestWaitEndsWithContext guards against a call that waits for the budget longer
// than its caller, and against one that is reported as ambiguous although it was
// not sent.
func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table, _ := newTestStore()
		s.SetInstances(3000) // one write in 10 s
		for range burst(0.1) {
			_, err := s.Commit(t.Context(), put("r"))
			require.NoError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Commit(ctx, put("r"))
		require.ErrorIs(t, err, connector.ErrUnavailable)
		require.False(t, errors.Is(err, connector.ErrAmbiguous))
		require.Equal(t, burst(0.1), table.total())
		s.SetInstances(1)
		_, err = s.Commit(t.Context(), put("r"))
		require.NoError(t, err)
	})
}

// memoryObjects is an object store whose first put loses its answer.
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

// TestObjects guards against a put that fails on a lost answer although it can
// be repeated, and against an absent object that counts as a failure.
func TestObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := newTestStore()
		objects := &memoryObjects{objects: map[string][]byte{}}
		s.cfg.Objects = objects
		require.NoError(t, s.PutObject(t.Context(), "k", []byte("v")))
		require.Equal(t, 2, objects.puts)
		for range 2 * breakerFailures {
			_, err := s.GetObject(t.Context(), "absent")
			require.ErrorIs(t, err, connector.ErrNotFound)
		}
		body, err := s.GetObject(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, []byte("v"), body)
	})
}
