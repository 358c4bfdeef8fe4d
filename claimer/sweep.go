package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// DefaultRetention is how long claims are kept. A request that is resubmitted
// after that may run a second time.
const DefaultRetention = 7 * 24 * time.Hour

const (
	// sweepRow stores the sweeping instance and its position; see sweepState.
	sweepRow connector.RowKey = "sweep/claims"
	// sweepIdleTimeout is how long the sweep row must stay unchanged before another
	// instance continues the sweep.
	sweepIdleTimeout = 5 * time.Minute
	// sweepPageDelay is the minimum delay between pages; with jitter the mean is
	// 1.5 times as long. Seven days of 130,000 claims a day are 7,200 pages, which
	// take 15 hours.
	sweepPageDelay = 5 * time.Second
	// sweepInterval is the minimum time from the end of a sweep to the start of the
	// next.
	sweepInterval = time.Hour
	// sweepCheckpointPages is the number of pages after which the position is saved
	// even if none of them has expired claims.
	sweepCheckpointPages = 8
)

// sweepState is the value of the sweep row.
type sweepState struct {
	Sweeper descriptor.InstanceID `json:"sweeper"`
	// After is the last key of the last processed page.
	After connector.RowKey `json:"after,omitempty"`
	// NextSweepMs is the wall clock time in Unix milliseconds before which no sweep
	// starts.
	NextSweepMs int64 `json:"restUntilMs,omitempty"`
}

// sweepLoop removes expired claims whenever the sweep row shows that no other
// instance is doing so.
func (c *Claimer) sweepLoop(ctx context.Context) {
	lastVersion := connector.RowVersion(0)
	hasLastVersion := false
	for c.sleep(ctx, c.jitter(sweepIdleTimeout)) {
		state, version, err := c.readSweepState(ctx)
		if err != nil {
			continue
		}
		unchanged := hasLastVersion && version == lastVersion
		hasLastVersion, lastVersion = true, version
		if !unchanged || c.cfg.Clock.Now().UnixMilli() < state.NextSweepMs {
			continue
		}
		c.sweep(ctx, state, version)
		hasLastVersion = false
	}
}

// jitter returns a random duration between d and 2d.
func (c *Claimer) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.cfg.Rand.Int64N(int64(d)))
}

func (c *Claimer) readSweepState(ctx context.Context) (sweepState, connector.RowVersion, error) {
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

// sweep removes expired claims, starting at the position in state. It stops when
// a scan or commit fails; a commit also fails once another instance has continued
// the sweep.
func (c *Claimer) sweep(ctx context.Context, state sweepState, version connector.RowVersion) {
	for pages := 1; ; pages++ {
		rows, err := c.scanClaims(ctx, state.After)
		if err != nil {
			return
		}
		lastPage := len(rows) < sweepPageSize
		expired := c.expiredClaims(rows)
		if lastPage {
			state.After = ""
			state.NextSweepMs = c.cfg.Clock.Now().Add(sweepInterval).UnixMilli()
		} else {
			state.After = rows[len(rows)-1].Key
			state.NextSweepMs = 0
		}
		if lastPage || len(expired) > 0 || pages%sweepCheckpointPages == 1 {
			if version, err = c.commitSweep(ctx, state, version, expired); err != nil {
				c.cfg.Log.Info("sweep of expired claims stopped early", "error", err)
				return
			}
			c.metrics.swept.Inc(int64(len(expired)))
		}
		if lastPage || !c.sleep(ctx, c.jitter(sweepPageDelay)) {
			return
		}
	}
}

// sweepPageSize is the number of rows per scan. It leaves room for the sweep row
// in the transaction.
const sweepPageSize = connector.MaxTransactionRows - 1

func (c *Claimer) scanClaims(ctx context.Context, after connector.RowKey) ([]connector.Row, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.cfg.Table.Scan(ctx, claimPrefix, after, sweepPageSize)
}

// expiredClaims returns the rows whose claims are older than the retention period.
func (c *Claimer) expiredClaims(rows []connector.Row) []connector.Row {
	cutoffMs := c.cfg.Clock.Now().Add(-c.cfg.Retention).UnixMilli()
	var expired []connector.Row
	for _, row := range rows {
		claim, err := decodeClaim(row)
		if err != nil {
			c.cfg.Log.Error("cannot decode claim row", "error", err)
			continue
		}
		if claim.ClaimedMs < cutoffMs {
			expired = append(expired, row)
		}
	}
	return expired
}

// commitSweep deletes the expired claims and saves the sweep position in one
// transaction that is fenced by the session row.
func (c *Claimer) commitSweep(ctx context.Context, state sweepState, version connector.RowVersion, expired []connector.Row) (connector.RowVersion, error) {
	session, ok := c.cfg.Session()
	if !ok {
		return 0, ErrNoSession
	}
	if !c.waitForToken(ctx) {
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
	for _, row := range expired {
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
