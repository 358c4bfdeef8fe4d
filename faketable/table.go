// Package faketable implements an in-memory table service with fault injection,
// used by the tests of storer, leaser and claimer.
package faketable

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticlead/masticlead/connector"
)

// Faults configures the faults injected into the calls of one client.
type Faults struct {
	// Down makes every call fail immediately with ErrUnavailable and without
	// effect.
	Down bool
	// Hang makes every call block until its context is done. The call has no
	// effect.
	Hang bool
	// MaxLatency is the upper bound of the random latency of a call.
	MaxLatency time.Duration
	// LostResponseRate is the probability that a commit is executed but its
	// response is lost.
	LostResponseRate float64
	// DelayedCommitRate is the probability that a commit returns ErrAmbiguous and
	// is executed after a random delay of up to MaxCommitDelay. Its conditions
	// are checked when it is executed.
	DelayedCommitRate float64
	MaxCommitDelay    time.Duration
}

// Table is the table service. It must be created with New.
type Table struct {
	mu             sync.Mutex
	rows           map[connector.RowKey]connector.Row
	lastVersion    connector.RowVersion
	rng            *rand.Rand
	reads          int
	writes         int
	delayedCommits sync.WaitGroup
}

// New returns an empty table. The seed initialises the random source of the faults.
func New(seed uint64) *Table {
	return &Table{
		rows: map[connector.RowKey]connector.Row{},
		rng:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// Client is a client of the table with faults of its own.
type Client struct {
	table *Table
	// WaitWhilePaused, if not nil, is called at the start and the end of each
	// call. It blocks while the client's process is paused.
	WaitWhilePaused func()

	mu     sync.Mutex
	faults Faults
}

// Client returns a new client without faults.
func (t *Table) Client() *Client { return &Client{table: t} }

// SetFaults replaces the faults injected into the client's calls.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// RequestCounts returns the number of reads and writes that reached the table,
// including commits whose conditions failed.
func (t *Table) RequestCounts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// WaitForDelayedCommits waits until all delayed commits have been executed.
func (t *Table) WaitForDelayedCommits() { t.delayedCommits.Wait() }

// randFloat64 returns a random number in [0, 1) from the seeded source.
func (t *Table) randFloat64() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

// startCall simulates the transmission of a request to the table. It returns the
// faults that apply to the call.
func (c *Client) startCall(ctx context.Context) (Faults, error) {
	c.waitWhilePaused()
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	if f.Down {
		return f, connector.ErrUnavailable
	}
	if f.Hang {
		<-ctx.Done()
		return f, ctx.Err()
	}
	return f, c.simulateLatency(ctx, f)
}

// simulateLatency waits for the latency of one direction, at most half of
// MaxLatency.
func (c *Client) simulateLatency(ctx context.Context, f Faults) error {
	if f.MaxLatency > 0 {
		select {
		case <-time.After(time.Duration(c.table.randFloat64() * float64(f.MaxLatency) / 2)):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (c *Client) waitWhilePaused() {
	if c.WaitWhilePaused != nil {
		c.WaitWhilePaused()
	}
}

// Get implements connector.Table.
func (c *Client) Get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	defer c.waitWhilePaused()
	f, err := c.startCall(ctx)
	if err != nil {
		return connector.Row{}, err
	}
	row, ok := c.table.get(key)
	if err := c.simulateLatency(ctx, f); err != nil {
		return connector.Row{}, err
	}
	if !ok {
		return connector.Row{}, connector.ErrNotFound
	}
	return row, nil
}

// Scan implements connector.Table.
func (c *Client) Scan(ctx context.Context, prefix, after connector.RowKey, limit int) ([]connector.Row, error) {
	defer c.waitWhilePaused()
	f, err := c.startCall(ctx)
	if err != nil {
		return nil, err
	}
	rows := c.table.scan(prefix, after, limit)
	return rows, c.simulateLatency(ctx, f)
}

// Commit implements connector.Table. If the context ends before the response
// arrives, it returns ErrAmbiguous.
func (c *Client) Commit(ctx context.Context, tx connector.Transaction) ([]connector.RowVersion, error) {
	defer c.waitWhilePaused()
	f, err := c.startCall(ctx)
	if f.Down {
		return nil, err
	}
	if err != nil {
		return nil, connector.ErrAmbiguous
	}
	if f.DelayedCommitRate > 0 && c.table.randFloat64() < f.DelayedCommitRate {
		delay := time.Duration(c.table.randFloat64() * float64(f.MaxCommitDelay))
		c.table.delayedCommits.Go(func() {
			time.Sleep(delay)
			_, _ = c.table.commit(tx)
		})
		return nil, connector.ErrAmbiguous
	}
	versions, err := c.table.commit(tx)
	if f.LostResponseRate > 0 && c.table.randFloat64() < f.LostResponseRate || c.simulateLatency(ctx, f) != nil {
		return nil, connector.ErrAmbiguous
	}
	return versions, err
}

func (t *Table) get(key connector.RowKey) (connector.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	return row, ok
}

func (t *Table) scan(prefix, after connector.RowKey, limit int) []connector.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var rows []connector.Row
	for key, row := range t.rows {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b connector.Row) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return rows[:min(len(rows), limit)]
}

// commit executes a transaction. Versions are never reused, not even after a row
// has been deleted.
func (t *Table) commit(tx connector.Transaction) ([]connector.RowVersion, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if len(tx.Puts)+len(tx.Deletes) > connector.MaxTransactionRows {
		panic("faketable: transaction has more than MaxTransactionRows puts and deletes")
	}
	var conflict connector.ConditionError
	for _, c := range tx.Conditions {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return nil, &conflict
	}
	t.lastVersion++
	versions := make([]connector.RowVersion, len(tx.Puts))
	for i, p := range tx.Puts {
		t.rows[p.Key] = connector.Row{Key: p.Key, Version: t.lastVersion, Value: slices.Clone(p.Value)}
		versions[i] = t.lastVersion
	}
	for _, key := range tx.Deletes {
		delete(t.rows, key)
	}
	return versions, nil
}
