package claimer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff between
	// retries of a batch after an ambiguous commit. Retries also consume the
	// write budget.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// flush commits a batch and retries until every write in it has a result. A write
// that fails is removed from the batch and the rest is committed again. After an
// ambiguous commit the same rows are committed again: all attempts are
// conditional on the same versions, so at most one takes effect, and if an
// earlier one did, the condition error contains the row that it wrote.
func (c *Claimer) flush(ctx context.Context, batch []*write) {
	delay := minRetryDelay
	for first := true; len(batch) > 0; first = false {
		if !first && !c.waitForToken(ctx) {
			c.failAll(batch, ErrClosed)
			return
		}
		versions, err := c.commit(ctx, batch)
		var conflict *connector.ConditionError
		switch {
		case err == nil:
			c.finishCommitted(batch, versions)
			return
		case errors.As(err, &conflict):
			batch = c.resolveConflicts(ctx, batch, conflict)
		case errors.Is(err, connector.ErrUnavailable):
			batch = c.failUnambiguous(batch, err)
		default:
			for _, w := range batch {
				w.ambiguous = true
			}
		}
		batch = c.finishAbandoned(batch)
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

// commit sends the batch as one transaction that is conditional on the session
// row and on the expected version of each row.
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

// finishCommitted finishes the writes of a committed transaction. versions has one
// entry for each put, in batch order.
func (c *Claimer) finishCommitted(batch []*write, versions []connector.RowVersion) {
	putIndex := 0
	for _, w := range batch {
		if w.kind == deleteClaim {
			c.finishApplied(w, 0)
			continue
		}
		c.finishApplied(w, versions[putIndex])
		putIndex++
	}
}

// finishApplied finishes a write that took effect. version is the new version of
// the row, or 0 if it was deleted.
func (c *Claimer) finishApplied(w *write, version connector.RowVersion) {
	c.mu.Lock()
	if w.kind == insertClaim {
		c.openClaims[w.row] = versionedClaim{claim: w.claim, version: version}
	} else {
		delete(c.openClaims, w.row)
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

// resolveConflicts finishes the writes whose conditions failed and returns the
// others.
func (c *Claimer) resolveConflicts(ctx context.Context, batch []*write, conflict *connector.ConditionError) []*write {
	session := batch[0].session
	rows := map[connector.RowKey]connector.Row{}
	for _, row := range conflict.Rows {
		rows[row.Key] = row
	}
	if _, sessionChanged := rows[session.Row]; sessionChanged {
		c.resolveFenced(ctx, batch)
		return nil
	}
	var rest []*write
	for _, w := range batch {
		row, conflicting := rows[w.row]
		if !conflicting {
			rest = append(rest, w)
			continue
		}
		c.resolveConflict(w, row)
	}
	if len(rest) == len(batch) {
		// The conflict names no row of the batch, so a retry would make no progress.
		c.failAll(batch, connector.ErrUnavailable)
		return nil
	}
	return rest
}

// resolveConflict finishes a write whose row does not have the expected version.
func (c *Claimer) resolveConflict(w *write, row connector.Row) {
	var current Claim
	if row.Version != 0 {
		var err error
		if current, err = decodeClaim(row); err != nil {
			c.finish(w, result{err: err})
			return
		}
	}
	w.ambiguous = false // no earlier attempt can take effect now that the version differs
	c.mu.Lock()
	delete(c.openClaims, w.row)
	c.mu.Unlock()
	sameClaim := row.Version != 0 && current.Holder == w.claim.Holder && current.Sequence == w.claim.Sequence
	switch w.kind {
	case insertClaim:
		if sameClaim && current.Outcome == nil {
			c.finishApplied(w, row.Version)
			return
		}
		c.metrics.lost.Inc(1)
		c.finish(w, result{existing: current})
	case recordOutcome:
		if sameClaim && current.Outcome != nil {
			c.finish(w, result{err: checkSameOutcome(*current.Outcome, *w.claim.Outcome)})
			return
		}
		c.finish(w, result{err: errRowChanged})
	case deleteClaim:
		if !sameClaim {
			c.finishApplied(w, 0)
			return
		}
		c.finish(w, result{err: errRowChanged})
	}
}

// resolveFenced finishes the writes of a session whose row has been deleted or
// replaced. No attempt under that session can take effect any more, so reading
// the row shows whether an ambiguous one did.
func (c *Claimer) resolveFenced(ctx context.Context, batch []*write) {
	for _, w := range batch {
		if !w.ambiguous {
			c.finish(w, result{err: ErrNoSession})
			continue
		}
		vc, err := c.readClaim(ctx, w.row)
		switch {
		case errors.Is(err, connector.ErrNotFound):
			w.ambiguous = false
			c.finish(w, result{err: ErrNoSession})
		case err != nil:
			c.finish(w, result{err: err})
		case w.kind == insertClaim:
			// The session has ended, so its own claim does not count as won either.
			c.finish(w, result{existing: vc.claim})
		case w.kind == recordOutcome && vc.claim.Outcome != nil:
			w.ambiguous = false
			c.finish(w, result{err: checkSameOutcome(*vc.claim.Outcome, *w.claim.Outcome)})
		default:
			w.ambiguous = false
			c.finish(w, result{err: ErrNoSession})
		}
	}
}

// failUnambiguous fails the writes that were definitely not carried out and
// returns those with an ambiguous earlier attempt.
func (c *Claimer) failUnambiguous(batch []*write, err error) []*write {
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

// failAll fails all writes. Ambiguous ones get connector.ErrAmbiguous.
func (c *Claimer) failAll(batch []*write, err error) {
	for _, w := range c.failUnambiguous(batch, err) {
		c.finish(w, result{err: err})
	}
}

// finishAbandoned finishes the writes whose callers no longer wait and returns the
// others.
func (c *Claimer) finishAbandoned(batch []*write) []*write {
	return slices.DeleteFunc(batch, func(w *write) bool {
		if !w.isAbandoned() {
			return false
		}
		c.finish(w, result{err: context.Canceled})
		return true
	})
}

// finish delivers the result of a write to its caller.
func (c *Claimer) finish(w *write, r result) {
	if r.err != nil {
		r = w.failure(r.err)
	}
	if errors.Is(r.err, connector.ErrAmbiguous) {
		c.metrics.ambiguous.Inc(1)
	}
	w.result <- r
}
