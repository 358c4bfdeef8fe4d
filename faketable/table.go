// Package faketable is an in-memory table service with switchable faults for the
// tests of storer, leaser and claimer.
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

// Faults are the faults of one client's connection to the table.
type Faults struct {
	// Down makes every call fail at once without effect.
	Down bool
	// Hang makes every call wait until its context ends, without effect.
	Hang bool
	// Latency is the largest time of a call; each takes a random part of it.
	Latency time.Duration
	// LostAnswer is the probability that a commit takes effect but its answer
	// does not arrive.
	LostAnswer float64
	// LateCommit is the probability that a commit fails as ambiguous and takes
	// effect, if its conditions hold then, up to LateBy later.
	LateCommit float64
	LateBy     time.Duration
}

// Table is the table service. Its zero value is not usable; see New.
type Table struct {
	mu      sync.Mutex
	rows    map[connector.RowKey]connector.Row
	version connector.RowVersion
	rng     *rand.Rand
	reads   int
	writes  int
	late    sync.WaitGroup
}

// New returns an empty table with a seeded random source for its faults.
func New(seed uint64) *Table {
	return &Table{
		rows: map[connector.RowKey]connector.Row{},
		rng:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// Client is one client's connection to the table.
type Client struct {
	table *Table
	// Gate is called at the start and end of each call; it blocks while the
	// process of the client is paused. It may be nil.
	Gate func()

	mu     sync.Mutex
	faults Faults
}

// Client returns a connection without faults.
func (t *Table) Client() *Client { return &Client{table: t} }

// Set replaces the faults of the connection.
func (c *Client) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Counts returns the number of reads and writes that reached the table.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Wait returns after all late commits have been carried out.
func (t *Table) Wait() { t.late.Wait() }

// chance draws a random number in [0, 1).
func (t *Table) chance() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

// enter waits for the request's way to the table and returns the faults.
func (c *Client) enter(ctx context.Context) (Faults, error) {
	c.gate()
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
	return f, c.travel(ctx, f)
}

// travel takes half of a call's time.
func (c *Client) travel(ctx context.Context, f Faults) error {
	if f.Latency > 0 {
		select {
		case <-time.After(time.Duration(c.table.chance() * float64(f.Latency) / 2)):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (c *Client) gate() {
	if c.Gate != nil {
		c.Gate()
	}
}

// Get implements connector.Table.
func (c *Client) Get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	defer c.gate()
	f, err := c.enter(ctx)
	if err != nil {
		return connector.Row{}, err
	}
	row, ok := c.table.get(key)
	if err := c.travel(ctx, f); err != nil {
		return connector.Row{}, err
	}
	if !ok {
		return connector.Row{}, connector.ErrNotFound
	}
	return row, nil
}

// Scan implements connector.Table.
func (c *Client) Scan(ctx context.Context, prefix, after connector.RowKey, limit int) ([]connector.Row, error) {
	defer c.gate()
	f, err := c.enter(ctx)
	if err != nil {
		return nil, err
	}
	rows := c.table.scan(prefix, after, limit)
	return rows, c.travel(ctx, f)
}

// Commit implements connector.Table. A call that ends before its answer arrived
// is ambiguous.
func (c *Client) Commit(ctx context.Context, t connector.Transaction) ([]connector.RowVersion, error) {
	defer c.gate()
	f, err := c.enter(ctx)
	if f.Down {
		return nil, err
	}
	if err != nil {
		return nil, connector.ErrAmbiguous
	}
	if f.LateCommit > 0 && c.table.chance() < f.LateCommit {
		delay := time.Duration(c.table.chance() * float64(f.LateBy))
		c.table.late.Go(func() {
			time.Sleep(delay)
			_, _ = c.table.commit(t)
		})
		return nil, connector.ErrAmbiguous
	}
	versions, err := c.table.commit(t)
	if f.LostAnswer > 0 && c.table.chance() < f.LostAnswer || c.travel(ctx, f) != nil {
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

// commit carries out a transaction. Versions are never used twice, not even
// after a row has been deleted.
func (t *Table) commit(tx connector.Transaction) ([]connector.RowVersion, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if len(tx.Puts)+len(tx.Deletes) > connector.MaxTransactionRows {
		panic("faketable: transaction has too many rows")
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
	t.version++
	versions := make([]connector.RowVersion, len(tx.Puts))
	for i, p := range tx.Puts {
		t.rows[p.Key] = connector.Row{Key: p.Key, Version: t.version, Value: slices.Clone(p.Value)}
		versions[i] = t.version
	}
	for _, key := range tx.Deletes {
		delete(t.rows, key)
	}
	return versions, nil
}
