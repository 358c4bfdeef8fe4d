package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// DefaultRetention is how long claims are kept. A request that is sent again
// later than this may run again.
const DefaultRetention = 7 * 24 * time.Hour

const (
	// sweepRow names the instance that sweeps and how far it has come.
	sweepRow connector.RowKey = "sweep/claims"
	// sweepWatch is how long the row must be unchanged before another instance
	// goes on with the sweep.
	sweepWatch = 5 * time.Minute
	// sweepPause is the least time between pages; the mean is half as much again.
	// Seven days of 130,000 claims are 7,200 pages, which take 15 hours.
	sweepPause = 5 * time.Second
	// sweepRest is the time between two sweeps.
	sweepRest = time.Hour
	// sweepSave is the number of pages without old claims after which the
	// position is written.
	sweepSave = 8
)

// sweepState is the value of the sweep row.
type sweepState struct {
	Sweeper descriptor.InstanceID `json:"sweeper"`
	// After is the last key of the last page.
	After connector.RowKey `json:"after,omitempty"`
	// RestUntilMs is the wall clock time before which no sweep starts.
	RestUntilMs int64 `json:"restUntilMs,omitempty"`
}

// sweepLoop removes old claims while no other instance does.
func (c *Claimer) sweepLoop(ctx context.Context) {
	seen := connector.RowVersion(0)
	known := false
	for c.sleep(ctx, c.spread(sweepWatch)) {
		state, version, err := c.readSweep(ctx)
		if err != nil {
			continue
		}
		idle := known && version == seen
		known, seen = true, version
		if !idle || c.cfg.Clock.Now().UnixMilli() < state.RestUntilMs {
			continue
		}
		c.sweep(ctx, state, version)
		known = false
	}
}

// spread returns a random duration from d to 2d.
func (c *Claimer) spread(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.cfg.Rand.Int64N(int64(d)))
}

func (c *Claimer) readSweep(ctx context.Context) (sweepState, connector.RowVersion, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	row, err := c.cfg.Table.Get(ctx, sweepRow)
	if errors.Is(err, connector.ErrNotFound) {
		return sweepState{}, 0, nil
	}
	var state sweepState
	if err == nil {
		err = json.Unmarshal(row.Value, &state)
	}
	return state, row.Version, err
}

// sweep goes through the claims from the position in the state. It stops when a
// write fails, which is also the case once another instance sweeps.
func (c *Claimer) sweep(ctx context.Context, state sweepState, version connector.RowVersion) {
	for pages := 1; ; pages++ {
		rows, err := c.scanClaims(ctx, state.After)
		if err != nil {
			return
		}
		last := len(rows) < sweepPage
		old := c.oldClaims(rows)
		if last {
			state.After = ""
			state.RestUntilMs = c.cfg.Clock.Now().Add(sweepRest).UnixMilli()
		} else {
			state.After = rows[len(rows)-1].Key
			state.RestUntilMs = 0
		}
		if last || len(old) > 0 || pages%sweepSave == 1 {
			if version, err = c.saveSweep(ctx, state, version, old); err != nil {
				c.cfg.Log.Info("sweep of old claims ended early", "error", err)
				return
			}
			c.metrics.swept.Inc(int64(len(old)))
		}
		if last || !c.sleep(ctx, c.spread(sweepPause)) {
			return
		}
	}
}

// sweepPage leaves room for the sweep row in the transaction.
const sweepPage = connector.MaxTransactionRows - 1

func (c *Claimer) scanClaims(ctx context.Context, after connector.RowKey) ([]connector.Row, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.cfg.Table.Scan(ctx, claimPrefix, after, sweepPage)
}

// oldClaims returns the rows whose claims are older than the retention time.
func (c *Claimer) oldClaims(rows []connector.Row) []connector.Row {
	limit := c.cfg.Clock.Now().Add(-c.cfg.Retention).UnixMilli()
	var old []connector.Row
	for _, row := range rows {
		claim, err := decodeClaim(row)
		if err != nil {
			c.cfg.Log.Error("claim row is not valid", "error", err)
			continue
		}
		if claim.ClaimedMs < limit {
			old = append(old, row)
		}
	}
	return old
}

// saveSweep removes old claims and writes the position, under the fence of the
// session.
func (c *Claimer) saveSweep(ctx context.Context, state sweepState, version connector.RowVersion, old []connector.Row) (connector.RowVersion, error) {
	session, ok := c.cfg.Session()
	if !ok {
		return 0, ErrNoSession
	}
	if !c.pace(ctx) {
		return 0, ctx.Err()
	}
	state.Sweeper = session.Instance
	value, err := json.Marshal(state)
	if err != nil {
		return 0, err
	}
	tx := connector.Transaction{
		Conditions: []connector.Condition{
			{Key: session.Row, Version: session.Version},
			{Key: sweepRow, Version: version},
		},
		Puts: []connector.Put{{Key: sweepRow, Value: value}},
	}
	for _, row := range old {
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: row.Key, Version: row.Version})
		tx.Deletes = append(tx.Deletes, row.Key)
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	versions, err := c.cfg.Table.Commit(ctx, tx)
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}
