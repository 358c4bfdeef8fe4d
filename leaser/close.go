package leaser

import (
	"context"
	"errors"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/storer"
)

// revokeGrants stops all grants when Run returns. The session and slice rows
// remain, so that Close can release them.
func (l *Leaser) revokeGrants() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revokeGrantsLocked()
}

// revokeGrantsLocked stops all grants and prevents new ones. The caller holds mu.
func (l *Leaser) revokeGrantsLocked() {
	l.closing = true
	l.publishSnapshot()
	if l.current == nil {
		return
	}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if o, ok := l.current.owned[s]; ok && !o.withheld {
			o.withheld = true
			l.current.owned[s] = o
			l.changes.push(Change{Slice: s, Epoch: o.epoch})
		}
	}
}

// Close stops Run, transfers the slices to the other live instances, removes the
// session and waits until this is done. If the store is unreachable, Close
// returns an error, and other instances take over the slices once the lease has
// expired.
func (l *Leaser) Close() error {
	var err error
	l.closeOnce.Do(func() {
		l.mu.Lock()
		started := l.started
		l.revokeGrantsLocked()
		l.mu.Unlock()
		close(l.stop)
		if started {
			<-l.done
		}
		err = l.release()
		l.changes.close()
	})
	return err
}

// release tries to remove the session for at most the duration of a lease, after
// which other instances may take over anyway.
func (l *Leaser) release() error {
	ctx, cancel := context.WithCancel(storer.WithClass(context.Background(), storer.ClassRenewal))
	defer cancel()
	timer := l.cfg.Clock.AfterFunc(l.cfg.LeaseDuration, cancel)
	defer timer.Stop()
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	if c == nil {
		return nil
	}
	for {
		err := l.tryRelease(ctx, c)
		var conflict *connector.ConditionError
		if errors.As(err, &conflict) {
			if _, gone := failedRow(conflict, c.session.Row); gone {
				err = nil // removed by an earlier attempt or by a takeover
			}
		}
		if err == nil {
			l.mu.Lock()
			l.current = nil
			l.mu.Unlock()
			return nil
		}
		if !l.sleep(ctx, l.jitter(l.cfg.RenewalInterval/4, 2)) {
			l.cfg.Log.Warn("failed to release the session; slices stay owned until the lease expires", "error", err)
			return err
		}
	}
}

// tryRelease makes one attempt to remove the session and transfer its slices.
func (l *Leaser) tryRelease(ctx context.Context, c *sessionState) error {
	if err := l.scanSlices(ctx); err != nil {
		return err
	}
	fences, err := l.receiverFences(ctx, l.cfg.Instance)
	if err != nil {
		return err
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	plan := l.plan(l.cfg.Instance)
	tx := connector.Transaction{
		Conditions: []connector.Condition{{Key: c.session.Row, Version: c.session.Version}},
		Deletes:    []connector.RowKey{c.session.Row, l.renewalKey(l.cfg.Instance)},
	}
	var moved []move
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if l.slices[s].row.Owner != l.cfg.Instance {
			continue
		}
		to := plan[s]
		if _, ok := fences[to]; !ok {
			to = ""
		}
		row := l.transferRow(s, to, fences[to].incarnation, now, l.remainingOrderTime(s, c.owned[s], now))
		moved = append(moved, move{s, row})
		tx.Puts = append(tx.Puts, newPut(l.sliceKey(s), row))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: l.slices[s].version})
	}
	tx.Conditions = append(tx.Conditions, l.receiverConditions(moved, fences)...)
	l.mu.Unlock()
	_, err = l.commit(ctx, tx)
	return err
}
