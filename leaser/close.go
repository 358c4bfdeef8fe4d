package leaser

import (
	"context"
	"errors"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/storer"
)

// suspend stops all grants when Run ends without Close. The session and the
// slice rows are kept, so that Close can release them.
func (l *Leaser) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoke()
}

// revoke ends all grants. The caller holds mu.
func (l *Leaser) revoke() {
	l.closing = true
	l.publish()
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

// Close stops Run, gives the slices to the other live instances, removes the
// session and waits until this is done. If the store can't be reached, the
// slices are taken over when the lease has expired; Close then returns an error.
func (l *Leaser) Close() error {
	var err error
	l.once.Do(func() {
		l.mu.Lock()
		started := l.started
		l.revoke()
		l.mu.Unlock()
		close(l.stop)
		if started {
			<-l.done
		}
		err = l.release()
		l.changes.finish()
	})
	return err
}

// release tries to remove the session until the lease has ended; then others
// may take over anyway.
func (l *Leaser) release() error {
	ctx, cancel := context.WithCancel(storer.WithClass(context.Background(), storer.ClassRenewal))
	defer cancel()
	timer := l.cfg.Clock.AfterFunc(l.cfg.Lease, cancel)
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
			if _, gone := failed(conflict, c.session.Row); gone {
				err = nil // an earlier attempt took effect, or the session was taken over
			}
		}
		if err == nil {
			l.mu.Lock()
			l.current = nil
			l.mu.Unlock()
			return nil
		}
		if !l.sleep(ctx, l.jitter(l.cfg.Renewal/4, 2)) {
			l.cfg.Log.Warn("session could not be released", "error", err)
			return err
		}
	}
}

func (l *Leaser) tryRelease(ctx context.Context, c *incarnation) error {
	if err := l.scanSlices(ctx); err != nil {
		return err
	}
	fences, err := l.fences(ctx, l.cfg.Instance)
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
		row := l.nextOwner(s, to, fences[to].incarnation, now, l.outstanding(s, c.owned[s], now))
		moved = append(moved, move{s, row})
		tx.Puts = append(tx.Puts, put(l.sliceKey(s), row))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: l.slices[s].version})
	}
	tx.Conditions = append(tx.Conditions, l.receiverConditions(moved, fences)...)
	l.mu.Unlock()
	_, err = l.commit(ctx, tx)
	return err
}
