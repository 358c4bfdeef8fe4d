package leaser

import (
	"context"
	"errors"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// rebalance acquires the free slices that the plan assigns to this instance and
// hands over those that it assigns to others. It reports whether there was
// nothing to do.
func (l *Leaser) rebalance(ctx context.Context) bool {
	l.mu.Lock()
	if l.current == nil || l.closing {
		l.mu.Unlock()
		return true
	}
	plan := l.plan("")
	previous := l.lastPlan
	l.lastPlan = plan
	var free, surplus, withheld []descriptor.SliceID
	balanced := true
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		o, owned := l.current.owned[s]
		assignedToSelf := plan[s] == l.cfg.Instance
		switch {
		case owned && o.withheld:
			withheld = append(withheld, s)
		case owned && !assignedToSelf && plan[s] != "":
			balanced = false
			// Hand over only if two plans in a row agree: while instances join
			// and leave, the plan may change again.
			if previous[s] == plan[s] {
				surplus = append(surplus, s)
			}
		case !owned && assignedToSelf:
			free = append(free, s)
		case !owned && plan[s] != l.slices[s].row.Owner:
			balanced = false
		}
	}
	l.mu.Unlock()
	l.reclaim(ctx, withheld)
	l.acquireFree(ctx, free)
	l.handOver(ctx, surplus, plan)
	return balanced && len(free) == 0 && len(withheld) == 0
}

// acquireFree acquires slices that have no owner, or whose owner has no session.
// After a conflict it retries once, without the slices that other instances
// acquired in the meantime.
func (l *Leaser) acquireFree(ctx context.Context, free []descriptor.SliceID) {
	for range 2 {
		if len(free) == 0 {
			return
		}
		absent, err := l.absentOwners(ctx, free)
		if err != nil {
			return
		}
		tx, moved, ok := l.prepareAcquire(free, absent, l.cfg.Clock.Now())
		if !ok || len(moved) == 0 {
			return
		}
		versions, err := l.commit(ctx, tx)
		if err == nil {
			l.recordMoves(moved, versions)
			return
		}
		var conflict *connector.ConditionError
		if !errors.As(err, &conflict) {
			return
		}
		l.metrics.acquireConflicts.Inc(1)
		free = nil
		for _, m := range moved {
			if _, lost := failedRow(conflict, l.sliceKey(m.slice)); !lost {
				free = append(free, m.slice)
			}
		}
	}
}

// absentOwners reads the session rows of the owners of slices. It returns the
// sessions that no longer exist, each with the condition that this is still so.
// The renewal rows of the last scan aren't enough: an instance may have
// registered since.
func (l *Leaser) absentOwners(ctx context.Context, free []descriptor.SliceID) (map[sessionID]connector.Condition, error) {
	l.mu.Lock()
	ids := map[sessionID]bool{}
	for _, s := range free {
		row := l.slices[s].row
		ids[sessionID{row.Owner, row.Incarnation}] = true
	}
	l.mu.Unlock()
	absent := map[sessionID]connector.Condition{}
	for id := range ids {
		if id.instance == "" {
			absent[id] = connector.Condition{}
			continue
		}
		row, err := l.get(ctx, l.sessionKey(id.instance))
		if err != nil {
			return nil, err
		}
		if s, err := decodeRow[sessionRow](row); row.Version == 0 || err == nil && s.Incarnation != id.incarnation {
			absent[id] = connector.Condition{Key: row.Key, Version: row.Version}
		}
	}
	return absent, nil
}

// sessionID identifies one incarnation of an instance.
type sessionID struct {
	instance    descriptor.InstanceID
	incarnation descriptor.Incarnation
}

// prepareAcquire builds the transaction that acquires the free slices whose owner
// is in absent.
func (l *Leaser) prepareAcquire(free []descriptor.SliceID, absent map[sessionID]connector.Condition, now time.Time) (connector.Transaction, []move, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil || l.closing {
		return connector.Transaction{}, nil, false
	}
	tx := connector.Transaction{Conditions: []connector.Condition{{Key: c.session.Row, Version: c.session.Version}}}
	var moved []move
	added := map[connector.RowKey]bool{c.session.Row: true}
	for _, s := range free {
		row := l.slices[s].row
		ownerAbsent, ok := absent[sessionID{row.Owner, row.Incarnation}]
		if !ok {
			continue
		}
		remaining := time.Duration(0)
		if row.Owner != "" {
			// The time of the owner's last order is unknown; assume the longest
			// wait.
			remaining = withClockMargin(withClockMargin(l.maxGrantDuration()))
			if !added[ownerAbsent.Key] {
				added[ownerAbsent.Key] = true
				tx.Conditions = append(tx.Conditions, ownerAbsent)
			}
		}
		next := l.transferRow(s, l.cfg.Instance, c.session.Incarnation, now, remaining)
		moved = append(moved, move{s, next})
		tx.Puts = append(tx.Puts, newPut(l.sliceKey(s), next))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: l.slices[s].version})
	}
	return tx, moved, true
}

// handOver transfers slices to the instances that the plan assigns them to. It
// stops the grants for them before it sends the write.
func (l *Leaser) handOver(ctx context.Context, surplus []descriptor.SliceID, plan assignment) {
	if len(surplus) == 0 {
		return
	}
	var receivers []descriptor.InstanceID
	for _, s := range surplus {
		receivers = append(receivers, plan[s])
	}
	fences, err := l.readFences(ctx, receivers)
	if err != nil {
		return
	}
	c, moved := l.withholdGrants(surplus, plan, fences, l.cfg.Clock.Now())
	if len(moved) == 0 {
		return
	}
	tx := l.moveTransaction(c, moved, fences)
	versions, err := l.commit(ctx, tx)
	var conflict *connector.ConditionError
	switch {
	case err == nil:
		l.recordHandover(c, moved, versions)
	case errors.As(err, &conflict):
		l.metrics.handoverConflicts.Inc(1)
		l.resumeGrants(c, moved)
	case errors.Is(err, connector.ErrUnavailable):
		l.resumeGrants(c, moved)
	default:
		// No grants are issued for the slices until reclaim has determined their
		// owner.
		l.cfg.Log.Warn("handover outcome unknown; slices withheld until reclaimed", "slices", len(moved), "error", err)
	}
}

// withholdGrants stops the grants for slices and returns the rows that transfer
// them. It skips slices whose receiver has no session.
func (l *Leaser) withholdGrants(surplus []descriptor.SliceID, plan assignment, fences map[descriptor.InstanceID]fence, now time.Time) (*sessionState, []move) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil || l.closing {
		return nil, nil
	}
	var moving []descriptor.SliceID
	for _, s := range surplus {
		o, owned := c.owned[s]
		if _, ok := fences[plan[s]]; !ok || !owned || o.withheld {
			continue
		}
		o.withheld = true
		c.owned[s] = o
		moving = append(moving, s)
		l.changes.push(Change{Slice: s, Epoch: o.epoch})
	}
	l.publishSnapshot()
	moved := make([]move, 0, len(moving))
	for _, s := range moving {
		to := plan[s]
		moved = append(moved, move{s, l.transferRow(s, to, fences[to].incarnation, now, l.remainingOrderTime(s, c.owned[s], now))})
	}
	return c, moved
}

// remainingOrderTime returns how long an order that was sent under a grant for
// the slice may still be started. Grants for the slice must have been stopped
// before the call.
func (l *Leaser) remainingOrderTime(s descriptor.SliceID, o ownedSlice, now time.Time) time.Duration {
	end := l.baseTime.Add(time.Duration(l.latestGrantEnd[s].Load()))
	if o.safeFrom.After(end) {
		end = o.safeFrom
	}
	if left := end.Sub(now); left > 0 {
		return withClockMargin(left)
	}
	return 0
}

func (l *Leaser) moveTransaction(c *sessionState, moved []move, fences map[descriptor.InstanceID]fence) connector.Transaction {
	l.mu.Lock()
	defer l.mu.Unlock()
	tx := connector.Transaction{Conditions: []connector.Condition{{Key: c.session.Row, Version: c.session.Version}}}
	for _, m := range moved {
		tx.Puts = append(tx.Puts, newPut(l.sliceKey(m.slice), m.row))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(m.slice), Version: c.owned[m.slice].version})
	}
	tx.Conditions = append(tx.Conditions, l.receiverConditions(moved, fences)...)
	return tx
}

func (l *Leaser) recordHandover(c *sessionState, moved []move, versions []connector.RowVersion) {
	l.metrics.handedOver.Inc(int64(len(moved)))
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, m := range moved {
		delete(c.owned, m.slice)
		l.recordSlice(m.slice, m.row, versions[n], now)
	}
	l.cfg.Log.Info("handed over slices", "slices", len(moved))
}

// resumeGrants issues grants again after a handover that definitely did not take
// effect.
func (l *Leaser) resumeGrants(c *sessionState, moved []move) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != c {
		return
	}
	for _, m := range moved {
		if o, ok := c.owned[m.slice]; ok && o.withheld {
			o.withheld = false
			l.addOwned(m.slice, o)
		}
	}
}

// reclaim recovers slices whose handover has an unknown outcome and whose row
// still names this incarnation. The handover may still take effect, so reclaim
// rewrites the row: its new version makes the condition of the handover fail.
func (l *Leaser) reclaim(ctx context.Context, withheld []descriptor.SliceID) {
	if len(withheld) == 0 {
		return
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	c := l.current
	if c == nil || l.closing {
		l.mu.Unlock()
		return
	}
	var moved []move
	for _, s := range withheld {
		moved = append(moved, move{s, l.transferRow(s, l.cfg.Instance, c.session.Incarnation, now, l.remainingOrderTime(s, c.owned[s], now))})
	}
	l.mu.Unlock()
	versions, err := l.commit(ctx, l.moveTransaction(c, moved, nil))
	if err != nil {
		return
	}
	l.mu.Lock()
	for _, m := range moved {
		delete(c.owned, m.slice)
	}
	l.mu.Unlock()
	l.recordMoves(moved, versions)
}
