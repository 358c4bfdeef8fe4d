package leaser

import (
	"context"
	"errors"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// balance takes the free slices that fall to this instance and hands over the
// ones that fall to others. It reports whether there was nothing to do.
func (l *Leaser) balance(ctx context.Context) bool {
	l.mu.Lock()
	if l.current == nil || l.closing {
		l.mu.Unlock()
		return true
	}
	plan := l.plan("")
	previous := l.planned
	l.planned = plan
	var free, surplus, withheld []descriptor.SliceID
	balanced := true
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		o, owned := l.current.owned[s]
		self := plan[s] == l.cfg.Instance
		switch {
		case owned && o.withheld:
			withheld = append(withheld, s)
		case owned && !self && plan[s] != "":
			balanced = false
			// A plan that has just changed may change again while instances
			// come and go.
			if previous[s] == plan[s] {
				surplus = append(surplus, s)
			}
		case !owned && self:
			free = append(free, s)
		case !owned && plan[s] != l.slices[s].row.Owner:
			balanced = false
		}
	}
	l.mu.Unlock()
	l.reclaim(ctx, withheld)
	l.takeFree(ctx, free)
	l.handOver(ctx, surplus, plan)
	return balanced && len(free) == 0 && len(withheld) == 0
}

// takeFree takes slices that have no owner, or whose owner has no session. It
// is tried again once without the slices that others took meanwhile.
func (l *Leaser) takeFree(ctx context.Context, free []descriptor.SliceID) {
	for range 2 {
		if len(free) == 0 {
			return
		}
		owners, err := l.absentOwners(ctx, free)
		if err != nil {
			return
		}
		tx, moved, ok := l.prepareTake(free, owners, l.cfg.Clock.Now())
		if !ok || len(moved) == 0 {
			return
		}
		versions, err := l.commit(ctx, tx)
		if err == nil {
			l.movedSlices(moved, versions)
			return
		}
		var conflict *connector.ConditionError
		if !errors.As(err, &conflict) {
			return
		}
		l.metrics.takeConflicts.Inc(1)
		free = nil
		for _, m := range moved {
			if _, lost := failed(conflict, l.sliceKey(m.slice)); !lost {
				free = append(free, m.slice)
			}
		}
	}
}

// absentOwners reads the sessions of the recorded owners of slices. It returns
// those that are gone, with the condition that they still are. A read of the
// renewal rows alone may miss an instance that registered after it.
func (l *Leaser) absentOwners(ctx context.Context, free []descriptor.SliceID) (map[sessionName]connector.Condition, error) {
	l.mu.Lock()
	names := map[sessionName]bool{}
	for _, s := range free {
		row := l.slices[s].row
		names[sessionName{row.Owner, row.Incarnation}] = true
	}
	l.mu.Unlock()
	absent := map[sessionName]connector.Condition{}
	for name := range names {
		if name.instance == "" {
			absent[name] = connector.Condition{}
			continue
		}
		row, err := l.get(ctx, l.sessionKey(name.instance))
		if err != nil {
			return nil, err
		}
		if s, err := decode[sessionRow](row); row.Version == 0 || err == nil && s.Incarnation != name.incarnation {
			absent[name] = connector.Condition{Key: row.Key, Version: row.Version}
		}
	}
	return absent, nil
}

type sessionName struct {
	instance    descriptor.InstanceID
	incarnation descriptor.Incarnation
}

func (l *Leaser) prepareTake(free []descriptor.SliceID, absent map[sessionName]connector.Condition, now time.Time) (connector.Transaction, []move, bool) {
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
		gone, ok := absent[sessionName{row.Owner, row.Incarnation}]
		if !ok {
			continue
		}
		remaining := time.Duration(0)
		if row.Owner != "" {
			// It is not known when the owner sent its last order.
			remaining = withMargin(withMargin(l.grantSpan()))
			if !added[gone.Key] {
				added[gone.Key] = true
				tx.Conditions = append(tx.Conditions, gone)
			}
		}
		next := l.nextOwner(s, l.cfg.Instance, c.session.Incarnation, now, remaining)
		moved = append(moved, move{s, next})
		tx.Puts = append(tx.Puts, put(l.sliceKey(s), next))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: l.slices[s].version})
	}
	return tx, moved, true
}

// handOver gives slices to the instances that the plan names. No grant is given
// for them from before the write is sent.
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
	c, moved := l.withhold(surplus, plan, fences, l.cfg.Clock.Now())
	if len(moved) == 0 {
		return
	}
	tx := l.moveTransaction(c, moved, fences)
	versions, err := l.commit(ctx, tx)
	var conflict *connector.ConditionError
	switch {
	case err == nil:
		l.handedOver(c, moved, versions)
	case errors.As(err, &conflict):
		l.metrics.handoverConflicts.Inc(1)
		l.resume(c, moved)
	case errors.Is(err, connector.ErrUnavailable):
		l.resume(c, moved)
	default:
		// The slices stay withheld until reclaim settles who owns them.
		l.cfg.Log.Warn("handover has no known outcome", "slices", len(moved), "error", err)
	}
}

// withhold stops the grants for slices and returns the rows that move them.
func (l *Leaser) withhold(surplus []descriptor.SliceID, plan assignment, fences map[descriptor.InstanceID]fence, now time.Time) (*incarnation, []move) {
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
	l.publish()
	moved := make([]move, 0, len(moving))
	for _, s := range moving {
		to := plan[s]
		moved = append(moved, move{s, l.nextOwner(s, to, fences[to].incarnation, now, l.outstanding(s, c.owned[s], now))})
	}
	return c, moved
}

// outstanding returns how long an order that was sent under a grant for the
// slice may still be started. It is called after the grants have been stopped.
func (l *Leaser) outstanding(s descriptor.SliceID, o ownedSlice, now time.Time) time.Duration {
	end := l.base.Add(time.Duration(l.granted[s].Load()))
	if o.safeFrom.After(end) {
		end = o.safeFrom
	}
	if left := end.Sub(now); left > 0 {
		return withMargin(left)
	}
	return 0
}

func (l *Leaser) moveTransaction(c *incarnation, moved []move, fences map[descriptor.InstanceID]fence) connector.Transaction {
	l.mu.Lock()
	defer l.mu.Unlock()
	tx := connector.Transaction{Conditions: []connector.Condition{{Key: c.session.Row, Version: c.session.Version}}}
	for _, m := range moved {
		tx.Puts = append(tx.Puts, put(l.sliceKey(m.slice), m.row))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(m.slice), Version: c.owned[m.slice].version})
	}
	tx.Conditions = append(tx.Conditions, l.receiverConditions(moved, fences)...)
	return tx
}

func (l *Leaser) handedOver(c *incarnation, moved []move, versions []connector.RowVersion) {
	l.metrics.handedOver.Inc(int64(len(moved)))
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, m := range moved {
		delete(c.owned, m.slice)
		l.sawSlice(m.slice, m.row, versions[n], now)
	}
	l.cfg.Log.Info("handed over slices", "slices", len(moved))
}

// resume gives grants again after a handover that surely had no effect.
func (l *Leaser) resume(c *incarnation, moved []move) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != c {
		return
	}
	for _, m := range moved {
		if o, ok := c.owned[m.slice]; ok && o.withheld {
			o.withheld = false
			l.gain(m.slice, o)
		}
	}
}

// reclaim settles slices whose handover has no known outcome. The row still
// names this incarnation, but the handover may take effect later; only a new
// version of the row prevents that.
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
		moved = append(moved, move{s, l.nextOwner(s, l.cfg.Instance, c.session.Incarnation, now, l.outstanding(s, c.owned[s], now))})
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
	l.movedSlices(moved, versions)
}
