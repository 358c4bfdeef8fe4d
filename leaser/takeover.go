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

// takeoverTime returns when this instance may take over the slices of another one
// if its renewal row doesn't change. The instances that read the same row wait for
// different times, so that usually only one of them sends a transaction. The caller
// holds mu.
func (l *Leaser) takeoverTime(id descriptor.InstanceID, m *member) time.Time {
	rank := time.Duration(0)
	self := rendezvousWeight(l.cfg.Instance, id)
	for other, o := range l.members {
		if other != id && other != l.cfg.Instance && o.lastSeen.Sub(o.firstSeen) < l.cfg.LeaseDuration && rendezvousWeight(other, id) > self {
			rank++
		}
	}
	return m.unchangedSince.Add(withClockMargin(m.renewal.leaseDuration()) + rank*l.cfg.RenewalInterval/4)
}

// rendezvousWeight returns the weight, as in rendezvous hashing, of a candidate for
// taking over a holder's slices.
func rendezvousWeight(candidate, holder descriptor.InstanceID) uint64 {
	return xxhash.Sum64String(string(candidate) + "\x00" + string(holder))
}

// expiredInstances lists the instances whose lease has definitely ended and whose
// takeover by this instance is due.
func (l *Leaser) expiredInstances() []descriptor.InstanceID {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []descriptor.InstanceID
	for id, m := range l.members {
		if id != l.cfg.Instance && !now.Before(l.takeoverTime(id, m)) {
			list = append(list, id)
		}
	}
	return list
}

// takeOver removes the session of an instance whose lease has ended and distributes
// its slices over the live instances.
func (l *Leaser) takeOver(ctx context.Context, id descriptor.InstanceID) {
	l.mu.Lock()
	m := l.members[id]
	l.mu.Unlock()
	if m == nil {
		return
	}
	conditions, ok := l.takeoverConditions(ctx, id, m)
	if !ok {
		return
	}
	conditions = append(conditions, connector.Condition{Key: l.renewalKey(id), Version: m.version})
	// The last orders may be started until the lease ends on the clock of a
	// target, which may be up to 1% slower.
	err := l.removeSession(ctx, id, conditions, m.renewal.leaseDuration()/100)
	var conflict *connector.ConditionError
	switch {
	case err == nil:
		l.metrics.takeovers.Inc(1)
		l.cfg.Log.Info("took over an instance whose lease ended", "from", id, "incarnation", m.renewal.Incarnation)
	case errors.As(err, &conflict):
		l.metrics.takeoverConflicts.Inc(1)
	default:
		l.cfg.Log.Warn("takeover failed", "from", id, "error", err)
	}
}

// takeoverConditions obtains consent to the removal of a session and returns the
// conditions of the removal: that the instance that consented has not restarted.
// Without consent, the holder may have extended its lease. No consent is needed
// once the holder's maximum extension has passed.
func (l *Leaser) takeoverConditions(ctx context.Context, id descriptor.InstanceID, m *member) ([]connector.Condition, bool) {
	now := l.cfg.Clock.Now()
	if now.Sub(m.firstSeen) >= withClockMargin(m.renewal.maxExtension()) {
		return nil, true
	}
	r := ConsentRequest{
		Requester:      l.cfg.Instance,
		Holder:         id,
		Incarnation:    m.renewal.Incarnation,
		Sequence:       m.renewal.Sequence,
		PromiseMs:      m.renewal.PromiseMs,
		MaxExtensionMs: m.renewal.MaxExtensionMs,
	}
	for _, to := range l.consenters(id, m) {
		var reply ConsentReply
		if to == l.cfg.Instance {
			reply = l.HandleConsent(r)
		} else {
			reply = l.requestConsent(ctx, to, r)
		}
		if reply.Given && reply.Session.Instance == to {
			return []connector.Condition{{Key: l.sessionKey(to), Version: reply.Session.Version}}, true
		}
	}
	l.metrics.takeoverRefused.Inc(1)
	return nil, false
}

// consenters lists the instances in the holder's member list that can be asked for
// consent: this instance first if it is listed, then the other live ones.
func (l *Leaser) consenters(holder descriptor.InstanceID, m *member) []descriptor.InstanceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []descriptor.InstanceID
	for _, id := range m.renewal.Members {
		if id == l.cfg.Instance {
			list = slices.Insert(list, 0, id)
		} else if o := l.members[id]; id != holder && o != nil && l.isLive(id, o) {
			list = append(list, id)
		}
	}
	return list
}

func (l *Leaser) requestConsent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) ConsentReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := l.cfg.Clock.AfterFunc(l.cfg.RenewalInterval/4, cancel)
	defer timer.Stop()
	reply, err := l.cfg.Peers.Consent(ctx, to, r)
	if err != nil {
		return ConsentReply{}
	}
	return reply
}

// Forget removes the session of an instance on an operator's command, without
// waiting for the end of its lease or for consent. The operator must have made sure
// that the instance no longer runs.
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
	if err := l.removeSession(ctx, instance, conditions, withClockMargin(withClockMargin(m.renewal.grantDuration()))); err != nil {
		return fmt.Errorf("forget %s: %w", instance, err)
	}
	l.cfg.Log.Warn("instance was removed by an operator", "from", instance)
	return nil
}

// FindSession returns the first of the given data centres in which an instance has
// a session, or connector.ErrNotFound if there is none.
func (l *Leaser) FindSession(ctx context.Context, instance descriptor.InstanceID, dcs []descriptor.DataCentreID) (descriptor.DataCentreID, error) {
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

// removeSession deletes the session and renewal rows of an instance and transfers
// its slices to the live instances in one transaction. remaining is how long orders
// of the instance may still be started.
func (l *Leaser) removeSession(ctx context.Context, id descriptor.InstanceID, conditions []connector.Condition, remaining time.Duration) error {
	session, err := l.get(ctx, l.sessionKey(id))
	if err != nil {
		return err
	}
	fences, err := l.receiverFences(ctx, id)
	if err != nil {
		return err
	}
	now := l.cfg.Clock.Now()
	tx, moved, ok := l.prepareRemoval(id, fences, now, remaining)
	if !ok {
		return ErrClosed
	}
	tx.Conditions = append(tx.Conditions, conditions...)
	tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sessionKey(id), Version: session.Version})
	tx.Deletes = []connector.RowKey{l.sessionKey(id), l.renewalKey(id)}
	versions, err := l.commit(ctx, tx)
	if err != nil {
		return err
	}
	l.recordMoves(moved, versions)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members, id)
	return nil
}

// move is the transfer of a slice to another session by a transaction.
type move struct {
	slice descriptor.SliceID
	row   sliceRow
}

// prepareRemoval builds the transaction that transfers the slices of an instance to
// the other live instances.
func (l *Leaser) prepareRemoval(id descriptor.InstanceID, fences map[descriptor.InstanceID]fence, now time.Time, remaining time.Duration) (connector.Transaction, []move, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil || l.closing {
		return connector.Transaction{}, nil, false
	}
	fences[l.cfg.Instance] = fence{incarnation: c.session.Incarnation, version: c.session.Version}
	tx := connector.Transaction{Conditions: []connector.Condition{{Key: c.session.Row, Version: c.session.Version}}}
	plan := l.plan(id)
	var moved []move
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if l.slices[s].row.Owner != id {
			continue
		}
		to := plan[s]
		f, ok := fences[to]
		if !ok {
			to, f = l.cfg.Instance, fences[l.cfg.Instance]
		}
		row := l.transferRow(s, to, f.incarnation, now, remaining)
		moved = append(moved, move{s, row})
		tx.Puts = append(tx.Puts, newPut(l.sliceKey(s), row))
		tx.Conditions = append(tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: l.slices[s].version})
	}
	tx.Conditions = append(tx.Conditions, l.receiverConditions(moved, fences)...)
	return tx, moved, true
}

// recordMoves records the result of a transaction that transferred slices. The
// first puts of the transaction are those of the moves.
func (l *Leaser) recordMoves(moved []move, versions []connector.RowVersion) {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, m := range moved {
		c := l.current
		if c != nil && !l.closing && m.row.Owner == l.cfg.Instance && m.row.Incarnation == c.session.Incarnation {
			l.recordOwned(m.slice, m.row, versions[n], now)
			l.metrics.acquired.Inc(1)
			continue
		}
		l.recordSlice(m.slice, m.row, versions[n], now)
	}
}

// fence identifies the session of an instance that receives slices. A transaction
// that transfers slices to it is conditional on the version.
type fence struct {
	incarnation descriptor.Incarnation
	version     connector.RowVersion
}

// receiverFences reads the sessions of the instances that would receive slices if
// the excluded instance were removed.
func (l *Leaser) receiverFences(ctx context.Context, exclude descriptor.InstanceID) (map[descriptor.InstanceID]fence, error) {
	l.mu.Lock()
	plan := l.plan(exclude)
	var receivers []descriptor.InstanceID
	for s, to := range plan {
		if l.slices[s].row.Owner == exclude {
			receivers = append(receivers, to)
		}
	}
	l.mu.Unlock()
	return l.readFences(ctx, receivers)
}

// readFences reads the sessions of the receivers. It omits those without a session.
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
		s, err := decodeRow[sessionRow](row)
		if row.Version == 0 || err != nil {
			continue
		}
		fences[to] = fence{incarnation: s.Incarnation, version: row.Version}
	}
	return fences, nil
}

// receiverConditions returns the conditions that the sessions that receive slices
// still exist.
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
