package leaser

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// scanPageSize is usually enough to read all rows of a kind in one page: a data
// centre has SliceCount slices and about 17 instances.
const scanPageSize = connector.MaxTransactionRows

// register registers a session for a new incarnation, retrying until the context
// is done. It reports whether it succeeded.
func (l *Leaser) register(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := l.tryRegister(ctx)
		if err == nil {
			return true
		}
		l.cfg.Log.Info("session registration failed; retrying", "error", err)
		if !l.sleep(ctx, l.jitter(l.cfg.RenewalInterval/2, 2)) {
			break
		}
	}
	return false
}

// tryRegister makes one attempt to register a session. It replaces the session of
// an earlier incarnation and keeps the slices of that under a higher epoch. The
// earlier incarnation has ended, because an instance name belongs to one process at
// a time (assumption A8 in docs/design.md).
//
// An ambiguous commit is not resolved. If it took effect, the next attempt finds
// that session and replaces it.
func (l *Leaser) tryRegister(ctx context.Context) error {
	old, err := l.get(ctx, l.sessionKey(l.cfg.Instance))
	if err != nil {
		return err
	}
	if err := l.scanMembers(ctx); err != nil {
		return err
	}
	if err := l.scanSlices(ctx); err != nil {
		return err
	}
	now := l.cfg.Clock.Now()
	r := l.prepareRegistration(old, now)
	sent := l.cfg.Clock.Now()
	versions, err := l.commit(ctx, r.tx)
	if err != nil {
		return err
	}
	l.recordRegistration(r, sent, versions)
	return nil
}

// registration is the first transaction of an incarnation, which writes its session
// and renewal rows and the rows of the slices that it keeps.
type registration struct {
	incarnation descriptor.Incarnation
	members     []descriptor.InstanceID
	keptSlices  []descriptor.SliceID
	keptRows    []sliceRow
	tx          connector.Transaction
}

func (l *Leaser) prepareRegistration(old connector.Row, now time.Time) registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	self := l.cfg.Instance
	previous := l.members[self]
	r := registration{incarnation: l.nextIncarnation(old, now), members: l.memberIDs()}
	r.tx = connector.Transaction{
		Conditions: []connector.Condition{{Key: l.sessionKey(self), Version: old.Version}},
		Puts: []connector.Put{
			newPut(l.sessionKey(self), sessionRow{Incarnation: r.incarnation, PeerAddress: l.cfg.PeerAddress}),
			newPut(l.renewalKey(self), l.newRenewalRow(r.incarnation, 1, r.members)),
		},
	}
	grantDuration := l.maxGrantDuration()
	if previous != nil {
		grantDuration = max(grantDuration, previous.renewal.grantDuration())
	}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		state := l.slices[s]
		if state.row.Owner != self {
			continue
		}
		// The earlier incarnation may have sent orders until just before it ended.
		row := l.transferRow(s, self, r.incarnation, now, withClockMargin(grantDuration))
		r.keptSlices = append(r.keptSlices, s)
		r.keptRows = append(r.keptRows, row)
		r.tx.Conditions = append(r.tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: state.version})
		r.tx.Puts = append(r.tx.Puts, newPut(l.sliceKey(s), row))
	}
	return r
}

// nextIncarnation returns a number that this instance has not used before. It is
// at least the wall-clock time in milliseconds, so that it differs from earlier
// numbers even if all rows of the instance have been removed. The caller holds mu.
func (l *Leaser) nextIncarnation(old connector.Row, now time.Time) descriptor.Incarnation {
	next := max(l.lastIncarnation+1, descriptor.Incarnation(max(now.UnixMilli(), 1)))
	if row, err := decodeRow[sessionRow](old); old.Version != 0 && err == nil {
		next = max(next, row.Incarnation+1)
	}
	for s := range l.slices {
		if row := l.slices[s].row; row.Owner == l.cfg.Instance {
			next = max(next, row.Incarnation+1)
		}
	}
	l.lastIncarnation = next
	return next
}

func (l *Leaser) newRenewalRow(incarnation descriptor.Incarnation, sequence uint64, members []descriptor.InstanceID) renewalRow {
	return renewalRow{
		Incarnation:    incarnation,
		Sequence:       sequence,
		LeaseMs:        ceilMilliseconds(l.cfg.LeaseDuration),
		PromiseMs:      ceilMilliseconds(l.cfg.PromiseDuration),
		MaxExtensionMs: ceilMilliseconds(l.cfg.MaxExtension),
		GrantMs:        ceilMilliseconds(l.maxGrantDuration()),
		Members:        members,
	}
}

func (l *Leaser) recordRegistration(r registration, sent time.Time, versions []connector.RowVersion) {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = &sessionState{
		session: Session{
			Instance: l.cfg.Instance, Incarnation: r.incarnation,
			Row: l.sessionKey(l.cfg.Instance), Version: versions[0],
		},
		renewalVersion: versions[1],
		sequence:       1,
		ackedSequence:  1,
		ackedSentAt:    sent,
		attempts:       map[uint64]renewalAttempt{1: {sentAt: sent, members: r.members}},
		promisedUntil:  map[descriptor.InstanceID]time.Time{},
		owned:          map[descriptor.SliceID]ownedSlice{},
	}
	for i, s := range r.keptSlices {
		l.recordOwned(s, r.keptRows[i], versions[2+i], now)
	}
	l.publishSnapshot()
	l.metrics.sessionsRegistered.Inc(1)
	l.cfg.Log.Info("session registered", "incarnation", r.incarnation, "slices", len(r.keptSlices))
}

// renewLoop renews the session until it is lost or the context is done.
func (l *Leaser) renewLoop(ctx context.Context) {
	wait := l.jitter(l.cfg.RenewalInterval, 20)
	for l.sleep(ctx, wait) {
		switch l.renew(ctx) {
		case renewalSucceeded:
			wait = l.jitter(l.cfg.RenewalInterval, 20)
		case renewalFailed:
			wait = l.jitter(l.cfg.RenewalInterval/4, 2)
		case renewalRetryNow:
			wait = 0
		case renewalSessionLost:
			return
		}
	}
}

type renewalResult uint8

const (
	renewalSucceeded renewalResult = iota
	renewalFailed
	renewalRetryNow
	renewalSessionLost
)

// renew writes the renewal row once. The write is conditional on the version of
// the last renewal, so that a delayed write can't overwrite a later one and restore
// an outdated member list.
func (l *Leaser) renew(ctx context.Context) renewalResult {
	sent := l.cfg.Clock.Now()
	c, sequence, tx, ok := l.prepareRenewal(sent)
	if !ok {
		return renewalSessionLost
	}
	versions, err := l.commit(ctx, tx)
	var conflict *connector.ConditionError
	switch {
	case err == nil:
		l.metrics.renewed.Inc(1)
		l.recordRenewal(c, sequence, versions[0])
		return renewalSucceeded
	case errors.As(err, &conflict):
		return l.handleRenewalConflict(c, sequence, conflict)
	case errors.Is(err, connector.ErrUnavailable):
		l.metrics.renewalUnavailable.Inc(1)
		l.removeAttempt(c, sequence)
		return renewalFailed
	default:
		l.metrics.renewalAmbiguous.Inc(1)
		return renewalFailed
	}
}

func (l *Leaser) prepareRenewal(sent time.Time) (*sessionState, uint64, connector.Transaction, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil {
		return nil, 0, connector.Transaction{}, false
	}
	c.sequence++
	members := l.memberIDs()
	c.attempts[c.sequence] = renewalAttempt{sentAt: sent, members: members}
	key := l.renewalKey(l.cfg.Instance)
	tx := connector.Transaction{
		Conditions: []connector.Condition{
			{Key: c.session.Row, Version: c.session.Version},
			{Key: key, Version: c.renewalVersion},
		},
		Puts: []connector.Put{newPut(key, l.newRenewalRow(c.session.Incarnation, c.sequence, members))},
	}
	return c, c.sequence, tx, true
}

// recordRenewal restarts the lease from the time at which a renewal that took
// effect was sent. All attempts since the previous renewal had the same condition,
// so none of the others can take effect any more.
func (l *Leaser) recordRenewal(c *sessionState, sequence uint64, version connector.RowVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := c.attempts[sequence]
	c.ackedSequence = sequence
	c.ackedSentAt = a.sentAt
	c.renewalVersion = version
	c.attempts = map[uint64]renewalAttempt{sequence: a}
	if l.current == c {
		l.publishSnapshot()
	}
}

// removeAttempt removes a renewal that definitely did not take effect.
func (l *Leaser) removeAttempt(c *sessionState, sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(c.attempts, sequence)
}

// handleRenewalConflict handles a renewal whose condition failed: either the
// session no longer exists, or an earlier renewal took effect although its reply
// was lost.
func (l *Leaser) handleRenewalConflict(c *sessionState, sequence uint64, conflict *connector.ConditionError) renewalResult {
	l.removeAttempt(c, sequence)
	if _, gone := failedRow(conflict, c.session.Row); !gone {
		if row, ok := failedRow(conflict, l.renewalKey(l.cfg.Instance)); ok && row.Version != 0 {
			r, err := decodeRow[renewalRow](row)
			if err == nil && r.Incarnation == c.session.Incarnation && l.hasAttempt(c, r.Sequence) {
				l.recordRenewal(c, r.Sequence, row.Version)
				return renewalRetryNow
			}
		}
	}
	l.handleSessionLoss(c)
	return renewalSessionLost
}

func (l *Leaser) hasAttempt(c *sessionState, sequence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := c.attempts[sequence]
	return ok
}

// memberIDs lists the instances of the data centre that the last successful read
// found and this instance, in order. The caller holds mu.
func (l *Leaser) memberIDs() []descriptor.InstanceID {
	ids := []descriptor.InstanceID{l.cfg.Instance}
	for id := range l.members {
		if id != l.cfg.Instance {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// get returns a row. It returns version 0 for a row that doesn't exist.
func (l *Leaser) get(ctx context.Context, key connector.RowKey) (connector.Row, error) {
	ctx, cancel := l.withTimeout(ctx)
	defer cancel()
	row, err := l.cfg.Table.Get(ctx, key)
	if errors.Is(err, connector.ErrNotFound) {
		return connector.Row{Key: key}, nil
	}
	return row, err
}

func (l *Leaser) commit(ctx context.Context, tx connector.Transaction) ([]connector.RowVersion, error) {
	ctx, cancel := l.withTimeout(ctx)
	defer cancel()
	return l.cfg.Table.Commit(ctx, tx)
}

// scan returns all rows whose keys have the prefix.
func (l *Leaser) scan(ctx context.Context, prefix connector.RowKey) ([]connector.Row, error) {
	var rows []connector.Row
	after := connector.RowKey("")
	for {
		page, err := l.scanPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPageSize {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

func (l *Leaser) scanPage(ctx context.Context, prefix, after connector.RowKey) ([]connector.Row, error) {
	ctx, cancel := l.withTimeout(ctx)
	defer cancel()
	return l.cfg.Table.Scan(ctx, prefix, after, scanPageSize)
}

// withTimeout limits a store call to the renewal interval, so that at least two
// renewals can be attempted within a lease.
func (l *Leaser) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := l.cfg.Clock.AfterFunc(l.cfg.RenewalInterval, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
