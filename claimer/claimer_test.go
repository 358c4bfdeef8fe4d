package claimer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/faketable"
	"github.com/masticlead/masticlead/leaser"
)

var seeds = flag.Uint64("seeds", 20, "number of random schedules")

// instance is a Claimer with its own store client and session row.
type instance struct {
	t       *testing.T
	table   *faketable.Table
	client  *faketable.Client
	claimer *Claimer
	cancel  context.CancelFunc
	stopped chan struct{}

	mu      sync.Mutex
	session leaser.Session
}

func startInstance(t *testing.T, table *faketable.Table, name descriptor.InstanceID, instances int) *instance {
	i := &instance{t: t, table: table, client: table.Client(), stopped: make(chan struct{})}
	i.session = leaser.Session{Instance: name, Row: connector.RowKey("session/gyor/" + string(name))}
	i.replaceSession()
	i.claimer = New(Config{
		Clock:           clockwork.NewRealClock(),
		Table:           i.client,
		Session:         i.currentSession,
		DataCentre:      "gyor",
		Instances:       func() int { return instances },
		WritesPerSecond: DefaultWritesPerSecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go func() {
		defer close(i.stopped)
		_ = i.claimer.Run(ctx)
	}()
	return i
}

func (i *instance) currentSession() (leaser.Session, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.session, true
}

// replaceSession writes the session row of a new incarnation, which fences off the
// previous one.
func (i *instance) replaceSession() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.session.Incarnation++
	versions, err := i.table.Client().Commit(context.Background(), connector.Transaction{
		Puts: []connector.Put{{Key: i.session.Row, Value: []byte(`{}`)}},
	})
	require.NoError(i.t, err)
	i.session.Version = versions[0]
}

func (i *instance) stop() {
	i.client.SetFaults(faketable.Faults{Down: true})
	i.cancel()
	<-i.stopped
}

func testKey(n int) descriptor.Key {
	return descriptor.Key{Caller: "salon", ID: descriptor.RequestID(fmt.Sprint(n))}
}

// TestClaimIsWonOnce guards against running a request twice: with lost responses,
// commits that take effect late, abandoned calls and lost sessions, at most one
// call wins a key, and a key that was won is not reported as unclaimed.
func TestClaimIsWonOnce(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testContention(t, seed) })
		})
	}
}

func testContention(t *testing.T, seed uint64) {
	table := faketable.New(seed)
	var instances []*instance
	for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
		instances = append(instances, startInstance(t, table, name, 3))
	}
	for _, i := range instances {
		i.client.SetFaults(faketable.Faults{
			MaxLatency: 30 * time.Millisecond, LostResponseRate: 0.2, DelayedCommitRate: 0.2, MaxCommitDelay: 3 * time.Second,
		})
	}
	rng := rand.New(rand.NewPCG(seed, 100))
	for _, i := range instances {
		for range 2 {
			time.AfterFunc(time.Duration(rng.IntN(2000))*time.Millisecond, i.replaceSession)
		}
	}
	var mu sync.Mutex
	wins := map[descriptor.Key]int{}
	var callers sync.WaitGroup
	for n := range 60 {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		callers.Go(func() {
			key := testKey(n % 20)
			i := instances[rng.IntN(len(instances))]
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			for range 5 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(400))*time.Millisecond)
				won, _, err := i.claimer.Claim(ctx, key)
				cancel()
				if won {
					assert.NoError(t, err)
					mu.Lock()
					wins[key]++
					mu.Unlock()
				}
				if err == nil {
					return
				}
				assert.True(t, errors.Is(err, connector.ErrAmbiguous) || errors.Is(err, connector.ErrUnavailable), "%v", err)
			}
		})
	}
	callers.Wait()
	time.Sleep(2 * time.Second)
	table.WaitForDelayedCommits()
	for key, n := range wins {
		require.LessOrEqual(t, n, 1, "%s was won %d times", key, n)
	}
	require.NotEmpty(t, wins)
	for _, i := range instances {
		i.stop()
	}
}
