package leaser

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// scanLimit is the page size of scans. A data centre has SliceCount slices and
// about 17 instances, so one page is the usual case.
const scanLimit = connector.MaxTransactionRows

// register writes the session row of a new incarnation, trying until the
// context ends. It reports whether there is a session.
func (l *Leaser) register(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := l.tryRegister(ctx)
		if err == nil {
			return true
		}
		l.cfg.Log.Info("registration failed; trying again", "error", err)
		if !l.sleep(ctx, l.jitter(l.cfg.Renewal/2, 2)) {
			break
		}
	}
	return false
}

// tryRegister replaces the session of an earlier incarnation, which has ended
// (assumption A8), and keeps its slices under a higher epoch.
//
// An ambiguous commit is not resolved. If it took effect, the next attempt
// finds a session of this instance and replaces it.
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
	l.registered(r, sent, versions)
	return nil
}

// registration is the first write of an incarnation.
type registration struct {
	incarnation descriptor.Incarnation
	roster      []descriptor.InstanceID
	kept        []descriptor.SliceID
	rows        []sliceRow
	tx          connector.Transaction
}

func (l *Leaser) prepareRegistration(old connector.Row, now time.Time) registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	self := l.cfg.Instance
	previous := l.members[self]
	r := registration{incarnation: l.nextIncarnation(old, now), roster: l.roster()}
	r.tx = connector.Transaction{
		Conditions: []connector.Condition{{Key: l.sessionKey(self), Version: old.Version}},
		Puts: []connector.Put{
			put(l.sessionKey(self), sessionRow{Incarnation: r.incarnation, PeerAddress: l.cfg.PeerAddress}),
			put(l.renewalKey(self), l.renewal(r.incarnation, 1, r.roster)),
		},
	}
	span := l.grantSpan()
	if previous != nil {
		span = max(span, previous.renewal.grant())
	}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		state := l.slices[s]
		if state.row.Owner != self {
			continue
		}
		// The earlier incarnation may have sent orders until it ended.
		row := l.nextOwner(s, self, r.incarnation, now, withMargin(span))
		r.kept = append(r.kept, s)
		r.rows = append(r.rows, row)
		r.tx.Conditions = append(r.tx.Conditions, connector.Condition{Key: l.sliceKey(s), Version: state.version})
		r.tx.Puts = append(r.tx.Puts, put(l.sliceKey(s), row))
	}
	return r
}

// nextIncarnation returns a number that this instance has not used. The wall
// clock keeps the numbers apart when all rows of the instance have been removed.
// The caller holds mu.
func (l *Leaser) nextIncarnation(old connector.Row, now time.Time) descriptor.Incarnation {
	next := max(l.last+1, descriptor.Incarnation(max(now.UnixMilli(), 1)))
	if row, err := decode[sessionRow](old); old.Version != 0 && err == nil {
		next = max(next, row.Incarnation+1)
	}
	for s := range l.slices {
		if row := l.slices[s].row; row.Owner == l.cfg.Instance {
			next = max(next, row.Incarnation+1)
		}
	}
	l.last = next
	return next
}

func (l *Leaser) renewal(i descriptor.Incarnation, sequence uint64, roster []descriptor.InstanceID) renewalRow {
	return renewalRow{
		Incarnation:    i,
		Sequence:       sequence,
		LeaseMs:        ceilMilliseconds(l.cfg.Lease),
		PromiseMs:      ceilMilliseconds(l.cfg.Promise),
		MaxExtensionMs: ceilMilliseconds(l.cfg.MaxExtension),
		GrantMs:        ceilMilliseconds(l.grantSpan()),
		Roster:         roster,
	}
}

func (l *Leaser) registered(r registration, sent time.Time, versions []connector.RowVersion) {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = &incarnation{
		session: Session{
			Instance: l.cfg.Instance, Incarnation: r.incarnation,
			Row: l.sessionKey(l.cfg.Instance), Version: versions[0],
		},
		renewalVersion: versions[1],
		sequence:       1,
		acked:          1,
		ackedSent:      sent,
		attempts:       map[uint64]attempt{1: {sent: sent, roster: r.roster}},
		promised:       map[descriptor.InstanceID]time.Time{},
		owned:          map[descriptor.SliceID]ownedSlice{},
	}
	for i, s := range r.kept {
		l.settle(s, r.rows[i], versions[2+i], now)
	}
	l.publish()
	l.metrics.registered.Inc(1)
	l.cfg.Log.Info("session registered", "incarnation", r.incarnation, "slices", len(r.kept))
}

// renewLoop renews the session until it is lost or the context ends.
func (l *Leaser) renewLoop(ctx context.Context) {
	wait := l.jitter(l.cfg.Renewal, 20)
	for l.sleep(ctx, wait) {
		switch l.renew(ctx) {
		case renewalDone:
			wait = l.jitter(l.cfg.Renewal, 20)
		case renewalFailed:
			wait = l.jitter(l.cfg.Renewal/4, 2)
		case renewalAgain:
			wait = 0
		case renewalDeposed:
			return
		}
	}
}

type renewalResult uint8

const (
	renewalDone renewalResult = iota
	renewalFailed
	renewalAgain
	renewalDeposed
)

// renew writes the renewal row once. The write is conditional on the version of
// the last renewal, so that a delayed earlier write can't replace a later one
// and bring back an older roster.
func (l *Leaser) renew(ctx context.Context) renewalResult {
	sent := l.cfg.Clock.Now()
	c, sequence, tx, ok := l.prepareRenewal(sent)
	if !ok {
		return renewalDeposed
	}
	versions, err := l.commit(ctx, tx)
	var conflict *connector.ConditionError
	switch {
	case err == nil:
		l.metrics.renewed.Inc(1)
		l.acknowledge(c, sequence, versions[0])
		return renewalDone
	case errors.As(err, &conflict):
		return l.renewalConflict(c, sequence, conflict)
	case errors.Is(err, connector.ErrUnavailable):
		l.metrics.renewalUnavailable.Inc(1)
		l.withdrawAttempt(c, sequence)
		return renewalFailed
	default:
		l.metrics.renewalAmbiguous.Inc(1)
		return renewalFailed
	}
}

func (l *Leaser) prepareRenewal(sent time.Time) (*incarnation, uint64, connector.Transaction, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil {
		return nil, 0, connector.Transaction{}, false
	}
	c.sequence++
	roster := l.roster()
	c.attempts[c.sequence] = attempt{sent: sent, roster: roster}
	key := l.renewalKey(l.cfg.Instance)
	tx := connector.Transaction{
		Conditions: []connector.Condition{
			{Key: c.session.Row, Version: c.session.Version},
			{Key: key, Version: c.renewalVersion},
		},
		Puts: []connector.Put{put(key, l.renewal(c.session.Incarnation, c.sequence, roster))},
	}
	return c, c.sequence, tx, true
}

// acknowledge counts the lease from the send of a renewal that took effect. All
// attempts since the last one had the same condition, so none of the others can
// take effect any more.
func (l *Leaser) acknowledge(c *incarnation, sequence uint64, version connector.RowVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := c.attempts[sequence]
	c.acked = sequence
	c.ackedSent = a.sent
	c.renewalVersion = version
	c.attempts = map[uint64]attempt{sequence: a}
	if l.current == c {
		l.publish()
	}
}

// withdrawAttempt forgets a renewal that surely did not take effect.
func (l *Leaser) withdrawAttempt(c *incarnation, sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(c.attempts, sequence)
}

// renewalConflict handles a renewal whose condition failed: either the session
// is gone, or an earlier renewal took effect although its answer was lost.
func (l *Leaser) renewalConflict(c *incarnation, sequence uint64, conflict *connector.ConditionError) renewalResult {
	l.withdrawAttempt(c, sequence)
	if _, gone := failed(conflict, c.session.Row); !gone {
		if row, ok := failed(conflict, l.renewalKey(l.cfg.Instance)); ok && row.Version != 0 {
			r, err := decode[renewalRow](row)
			if err == nil && r.Incarnation == c.session.Incarnation && l.attempted(c, r.Sequence) {
				l.acknowledge(c, r.Sequence, row.Version)
				return renewalAgain
			}
		}
	}
	l.deposed(c)
	return renewalDeposed
}

func (l *Leaser) attempted(c *incarnation, sequence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := c.attempts[sequence]
	return ok
}

// roster lists the instances of the data centre at the last successful read,
// including this one, in order. The caller holds mu.
func (l *Leaser) roster() []descriptor.InstanceID {
	roster := []descriptor.InstanceID{l.cfg.Instance}
	for i := range l.members {
		if i != l.cfg.Instance {
			roster = append(roster, i)
		}
	}
	slices.Sort(roster)
	return roster
}

// get returns a row; an absent row has version 0.
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

// scan returns all rows with the prefix.
func (l *Leaser) scan(ctx context.Context, prefix connector.RowKey) ([]connector.Row, error) {
	var rows []connector.Row
	after := connector.RowKey("")
	for {
		page, err := l.scanPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanLimit {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

func (l *Leaser) scanPage(ctx context.Context, prefix, after connector.RowKey) ([]connector.Row, error) {
	ctx, cancel := l.withTimeout(ctx)
	defer cancel()
	return l.cfg.Table.Scan(ctx, prefix, after, scanLimit)
}

// withTimeout bounds a call of the store by the renewal period, so that at
// least two renewals can be tried within a lease.
func (l *Leaser) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := l.cfg.Clock.AfterFunc(l.cfg.Renewal, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
