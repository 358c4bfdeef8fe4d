package leaser

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/storer"
)

// takeoverTime returns when this instance may take over the slices of another
// one whose renewal row stays as it is. Instances that see the same row try one
// after the other, so that usually one transaction is sent. The caller holds mu.
func (l *Leaser) takeoverTime(i descriptor.InstanceID, m *member) time.Time {
	rank := time.Duration(0)
	self := rendezvous(l.cfg.Instance, i)
	for other, o := range l.members {
		if other != i && other != l.cfg.Instance && o.lastSeen.Sub(o.firstSeen) < l.cfg.Lease && rendezvous(other, i) > self {
			rank++
		}
	}
	return m.steadySince.Add(withMargin(m.renewal.lease()) + rank*l.cfg.Renewal/4)
}

// rendezvous returns the weight of an instance for taking over another one.
func rendezvous(taker, from descriptor.InstanceID) uint64 {
	return xxhash.Sum64String(string(taker) + "\x00" + string(from))
}

// expired lists the instances whose lease has surely ended.
func (l *Leaser) expired() []descriptor.InstanceID {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []descriptor.InstanceID
	for i, m := range l.members {
		if i != l.cfg.Instance && !now.Before(l.takeoverTime(i, m)) {
			list = append(list, i)
		}
	}
	return list
}

// takeOver removes the session of an instance whose lease has ended and
// distributes its slices.
func (l *Leaser) takeOver(ctx context.Context, i descriptor.InstanceID) {
	l.mu.Lock()
	m := l.members[i]
	l.mu.Unlock()
	if m == nil {
		return
	}
	conditions, ok := l.permission(ctx, i, m)
	if !ok {
		return
	}
	conditions = append(conditions, connector.Condition{Key: l.renewalKey(i), Version: m.version})
	// The margin allows for the rate of a target's clock, on which the last
	// orders end with the lease.
	err := l.remove(ctx, i, conditions, m.renewal.lease()/100)
	var conflict *connector.ConditionError
	switch {
	case err == nil:
		l.metrics.takeovers.Inc(1)
		l.cfg.Log.Info("took over an instance whose lease ended", "from", i, "incarnation", m.renewal.Incarnation)
	case errors.As(err, &conflict):
		l.metrics.takeoverConflicts.Inc(1)
	default:
		l.cfg.Log.Warn("takeover failed", "from", i, "error", err)
	}
}

// permission returns the conditions under which the session may be removed: that
// the instance that consented has not restarted. Without consent the holder may
// have extended its lease, until its maxExtension has passed.
func (l *Leaser) permission(ctx context.Context, i descriptor.InstanceID, m *member) ([]connector.Condition, bool) {
	now := l.cfg.Clock.Now()
	if now.Sub(m.firstSeen) >= withMargin(m.renewal.maxExtension()) {
		return nil, true
	}
	r := ConsentRequest{
		Taker:          l.cfg.Instance,
		Holder:         i,
		Incarnation:    m.renewal.Incarnation,
		Sequence:       m.renewal.Sequence,
		PromiseMs:      m.renewal.PromiseMs,
		MaxExtensionMs: m.renewal.MaxExtensionMs,
	}
	for _, to := range l.consenters(i, m) {
		var reply ConsentReply
		if to == l.cfg.Instance {
			reply = l.HandleConsent(r)
		} else {
			reply = l.askConsent(ctx, to, r)
		}
		if reply.Given && reply.Session.Instance == to {
			return []connector.Condition{{Key: l.sessionKey(to), Version: reply.Session.Version}}, true
		}
	}
	l.metrics.takeoverRefused.Inc(1)
	return nil, false
}

// consenters lists the members of the holder's roster, this instance first, then
// those that renew their sessions.
func (l *Leaser) consenters(holder descriptor.InstanceID, m *member) []descriptor.InstanceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []descriptor.InstanceID
	for _, i := range m.renewal.Roster {
		if i == l.cfg.Instance {
			list = slices.Insert(list, 0, i)
		} else if o := l.members[i]; i != holder && o != nil && l.live(i, o) {
			list = append(list, i)
		}
	}
	return list
}

func (l *Leaser) askConsent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) ConsentReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := l.cfg.Clock.AfterFunc(l.cfg.Renewal/4, cancel)
	defer timer.Stop()
	reply, err := l.cfg.Peers.Consent(ctx, to, r)
	if err != nil {
		return ConsentReply{}
	}
	return reply
}

// Forget removes the session of an instance that is surely gone, on an
// operator's command, without waiting for its lease or for consent.
func (l *Leaser) Forget(ctx context.Context, instance descriptor.InstanceID) error {
	if instance == l.cfg.Instance {
		return errors.New("leaser: an instance can't forget itself")
	}
	ctx = storer.WithClass(ctx, storer.ClassRenewal)
	if err := l.scanMembers(ctx); err != nil {
		return fmt.Errorf("forget %s: %w", instance, err)
	}
	if err := l.scanSlices(ctx); err != nil {
		return fmt.Errorf("forget %s: %w", instance, err)
	}
	l.mu.Lock()
	m := l.members[instance]
	l.mu.Unlock()
	if m == nil {
		return fmt.Errorf("forget %s: %w", instance, connector.ErrNotFound)
	}
	conditions := []connector.Condition{{Key: l.renewalKey(instance), Version: m.version}}
	if err := l.remove(ctx, instance, conditions, withMargin(withMargin(m.renewal.grant()))); err != nil {
		return fmt.Errorf("forget %s: %w", instance, err)
	}
	l.cfg.Log.Warn("instance was removed by an operator", "from", instance)
	return nil
}

// SessionIn returns which of the given data centres has a session of an
// instance, and connector.ErrNotFound if none has.
func (l *Leaser) SessionIn(ctx context.Context, instance descriptor.InstanceID, dcs []descriptor.DataCentreID) (descriptor.DataCentreID, error) {
	for _, dc := range dcs {
		row, err := l.get(ctx, rowPrefix("session", dc)+connector.RowKey(instance))
		if err != nil {
			return "", fmt.Errorf("find the session of %s: %w", instance, err)
		}
		if row.Version != 0 {
			return dc, nil
		}
	}
	return "", fmt.Errorf("find the session of %s: %w", instance, connector.ErrNotFound)
}

// remove deletes the session and renewal rows of an instance and gives its
// slices to the live instances in one transaction. Orders of the instance may
// still be started for the given time.
func (l *Leaser) remove(ctx context.Context, i descriptor.InstanceID, conditions []connector.Condition, remaining time.Duration) error {
	session, err := l.get(ctx, l.sessionKey(i))
	if err != nil {
		return err
	}
	fences, err := l.fences(ctx, i)
	if err != nil {
		return err
	}
	now := l.cfg.Clock.Now()
	tx, moved, ok := l.prepareRemoval(i, fences, now, remaining)
	if !ok {
		return ErrClosed
	}
	tx.Conditions = append(tx.Conditions, conditions...)
	tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sessionKey(i), Version: session.Version})
	tx.Deletes = []connector.RowKey{l.sessionKey(i), l.renewalKey(i)}
	versions, err := l.commit(ctx, tx)
	if err != nil {
		return err
	}
	l.movedSlices(moved, versions)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members, i)
	return nil
}

// move is a slice that a transaction gives to another session.
type move struct {
	slice descriptor.SliceID
	row   sliceRow
}

// prepareRemoval distributes the slices of an instance over the others.
func (l *Leaser) prepareRemoval(i descriptor.InstanceID, fences map[descriptor.InstanceID]fence, now time.Time, remaining time.Duration) (connector.Transaction, []move, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil || l.closing {
		return connector.Transaction{}, nil, false
	}
	fences[l.cfg.Instance] = fence{incarnation: c.session.Incarnation, version: c.session.Version}
	tx := connector.Transaction{Conditions: []connector.Condition{{Key: c.session.Row, Version: c.session.Version}}}
	plan := l.plan(i)
	var moved []move
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if l.slices[s].row.Owner != i {
			continue
		}
		to := plan[s]
		f, ok := fences[to]
		if !ok {
			to, f = l.cfg.Instance, fences[l.cfg.Instance]
		}
		row := l.nextOwner(s, to, f.incarnation, now, remaining)
		moved = append(moved, move{s, row})
		tx.Puts = append(tx.Puts, put(l.sliceKey(s), row))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: l.slices[s].version})
	}
	tx.Conditions = append(tx.Conditions, l.receiverConditions(moved, fences)...)
	return tx, moved, true
}

// movedSlices records the result of a transaction that moved slices. Its first
// puts are those of the moves.
func (l *Leaser) movedSlices(moved []move, versions []connector.RowVersion) {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, m := range moved {
		c := l.current
		if c != nil && !l.closing && m.row.Owner == l.cfg.Instance && m.row.Incarnation == c.session.Incarnation {
			l.settle(m.slice, m.row, versions[n], now)
			l.metrics.taken.Inc(1)
			continue
		}
		l.sawSlice(m.slice, m.row, versions[n], now)
	}
}

// fence identifies the session of an instance that receives slices.
type fence struct {
	incarnation descriptor.Incarnation
	version     connector.RowVersion
}

// fences reads the sessions of the instances that would receive slices if one
// instance were gone.
func (l *Leaser) fences(ctx context.Context, without descriptor.InstanceID) (map[descriptor.InstanceID]fence, error) {
	l.mu.Lock()
	plan := l.plan(without)
	var receivers []descriptor.InstanceID
	for s, to := range plan {
		if l.slices[s].row.Owner == without {
			receivers = append(receivers, to)
		}
	}
	l.mu.Unlock()
	return l.readFences(ctx, receivers)
}

func (l *Leaser) readFences(ctx context.Context, receivers []descriptor.InstanceID) (map[descriptor.InstanceID]fence, error) {
	fences := map[descriptor.InstanceID]fence{}
	for _, to := range receivers {
		if _, ok := fences[to]; ok || to == l.cfg.Instance || to == "" {
			continue
		}
		row, err := l.get(ctx, l.sessionKey(to))
		if err != nil {
			return nil, err
		}
		s, err := decode[sessionRow](row)
		if row.Version == 0 || err != nil {
			continue
		}
		fences[to] = fence{incarnation: s.Incarnation, version: row.Version}
	}
	return fences, nil
}

// receiverConditions requires the sessions that receive slices to exist.
func (l *Leaser) receiverConditions(moved []move, fences map[descriptor.InstanceID]fence) []connector.Condition {
	var conditions []connector.Condition
	done := map[descriptor.InstanceID]bool{l.cfg.Instance: true}
	for _, m := range moved {
		if to := m.row.Owner; to != "" && !done[to] {
			done[to] = true
			conditions = append(conditions, connector.Condition{Key: l.sessionKey(to), Version: fences[to].version})
		}
	}
	return conditions
}
