package claimer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential delay between
	// attempts to settle an ambiguous commit. The write budget paces them too.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// flush sends a batch until every write in it has an end. A write that fails is
// taken out and the rest is sent again. After an ambiguous commit the same rows
// are sent again: they are conditional on the same versions, so only one of the
// attempts takes effect, and the condition error shows our own row if an earlier
// one did.
func (c *Claimer) flush(ctx context.Context, batch []*write) {
	delay := minRetryDelay
	for first := true; len(batch) > 0; first = false {
		if !first && !c.pace(ctx) {
			c.failAll(batch, ErrClosed)
			return
		}
		versions, err := c.commit(ctx, batch)
		var conflict *connector.ConditionError
		switch {
		case err == nil:
			c.succeed(batch, versions)
			return
		case errors.As(err, &conflict):
			batch = c.resolve(ctx, batch, conflict)
		case errors.Is(err, connector.ErrUnavailable):
			batch = c.fail(batch, err)
		default:
			for _, w := range batch {
				w.ambiguous = true
			}
		}
		batch = c.dropAbandoned(batch)
		if len(batch) == 0 || conflict != nil {
			continue
		}
		c.metrics.retries.Inc(1)
		if !c.sleep(ctx, delay) {
			c.failAll(batch, ErrClosed)
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// commit sends one transaction for the batch.
func (c *Claimer) commit(ctx context.Context, batch []*write) ([]connector.RowVersion, error) {
	c.metrics.transactions.Inc(1)
	session := batch[0].session
	tx := connector.Transaction{Conditions: []connector.Condition{{Key: session.Row, Version: session.Version}}}
	for _, w := range batch {
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: w.row, Version: w.version})
		if w.kind == deleteClaim {
			tx.Deletes = append(tx.Deletes, w.row)
		} else {
			tx.Puts = append(tx.Puts, connector.Put{Key: w.row, Value: encodeClaim(w.claim)})
		}
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.cfg.Table.Commit(ctx, tx)
}

// succeed ends the writes of a transaction that took effect.
func (c *Claimer) succeed(batch []*write, versions []connector.RowVersion) {
	n := 0
	for _, w := range batch {
		if w.kind == deleteClaim {
			c.settled(w, 0)
			continue
		}
		c.settled(w, versions[n])
		n++
	}
}

// settled ends a write that took effect and gave its row a version.
func (c *Claimer) settled(w *write, v connector.RowVersion) {
	c.mu.Lock()
	if w.kind == insertClaim {
		c.held[w.row] = heldClaim{claim: w.claim, version: v}
	} else {
		delete(c.held, w.row)
	}
	c.mu.Unlock()
	switch w.kind {
	case insertClaim:
		c.metrics.won.Inc(1)
	case recordOutcome:
		c.metrics.recorded.Inc(1)
	case deleteClaim:
		c.metrics.withdrawn.Inc(1)
	}
	c.finish(w, result{won: w.kind == insertClaim, existing: w.claim})
}

// resolve ends the writes whose conditions failed and returns the others.
func (c *Claimer) resolve(ctx context.Context, batch []*write, conflict *connector.ConditionError) []*write {
	session := batch[0].session
	rows := map[connector.RowKey]connector.Row{}
	for _, row := range conflict.Rows {
		rows[row.Key] = row
	}
	if _, gone := rows[session.Row]; gone {
		c.fenced(ctx, batch)
		return nil
	}
	var rest []*write
	for _, w := range batch {
		row, failed := rows[w.row]
		if !failed {
			rest = append(rest, w)
			continue
		}
		c.conflicted(w, row)
	}
	if len(rest) == len(batch) {
		// The store named no row; without one there is no progress.
		c.failAll(batch, connector.ErrUnavailable)
		return nil
	}
	return rest
}

// conflicted ends a write whose row has another version than expected.
func (c *Claimer) conflicted(w *write, row connector.Row) {
	var present Claim
	if row.Version != 0 {
		var err error
		if present, err = decodeClaim(row); err != nil {
			c.finish(w, result{err: err})
			return
		}
	}
	w.ambiguous = false // no attempt can take effect on this version any more
	c.mu.Lock()
	delete(c.held, w.row)
	c.mu.Unlock()
	same := row.Version != 0 && present.Holder == w.claim.Holder && present.Sequence == w.claim.Sequence
	switch w.kind {
	case insertClaim:
		if same && present.Outcome == nil {
			c.settled(w, row.Version)
			return
		}
		c.metrics.lost.Inc(1)
		c.finish(w, result{existing: present})
	case recordOutcome:
		if same && present.Outcome != nil {
			c.finish(w, result{err: sameOutcome(*present.Outcome, *w.claim.Outcome)})
			return
		}
		c.finish(w, result{err: errMoved})
	case deleteClaim:
		if !same {
			c.settled(w, 0)
			return
		}
		c.finish(w, result{err: errMoved})
	}
}

// fenced ends the writes of a session that is gone. None of its attempts can
// take effect any more, so a read tells whether an ambiguous one did.
func (c *Claimer) fenced(ctx context.Context, batch []*write) {
	for _, w := range batch {
		if !w.ambiguous {
			c.finish(w, result{err: ErrNoSession})
			continue
		}
		h, err := c.read(ctx, w.row)
		switch {
		case errors.Is(err, connector.ErrNotFound):
			w.ambiguous = false
			c.finish(w, result{err: ErrNoSession})
		case err != nil:
			c.finish(w, result{err: err})
		case w.kind == insertClaim:
			// The session is gone, so even our own claim is not won.
			c.finish(w, result{existing: h.claim})
		case w.kind == recordOutcome && h.claim.Outcome != nil:
			w.ambiguous = false
			c.finish(w, result{err: sameOutcome(*h.claim.Outcome, *w.claim.Outcome)})
		default:
			w.ambiguous = false
			c.finish(w, result{err: ErrNoSession})
		}
	}
}

// fail ends the writes that were surely not carried out and returns those of
// which an earlier attempt is ambiguous.
func (c *Claimer) fail(batch []*write, err error) []*write {
	var rest []*write
	for _, w := range batch {
		if w.ambiguous {
			rest = append(rest, w)
			continue
		}
		c.metrics.unavailable.Inc(1)
		c.finish(w, result{err: err})
	}
	return rest
}

// failAll ends all writes.
func (c *Claimer) failAll(batch []*write, err error) {
	for _, w := range c.fail(batch, err) {
		c.finish(w, result{err: err})
	}
}

// dropAbandoned ends the writes that nobody waits for any more.
func (c *Claimer) dropAbandoned(batch []*write) []*write {
	return slices.DeleteFunc(batch, func(w *write) bool {
		if !w.isAbandoned() {
			return false
		}
		c.finish(w, result{err: context.Canceled})
		return true
	})
}

// finish hands the result to the caller.
func (c *Claimer) finish(w *write, r result) {
	if r.err != nil {
		r = w.failure(r.err)
	}
	if errors.Is(r.err, connector.ErrAmbiguous) {
		c.metrics.unsettled.Inc(1)
	}
	w.result <- r
}
