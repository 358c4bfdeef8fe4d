package leaser

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// member is the renewal row of an instance as last read.
type member struct {
	renewal renewalRow
	version connector.RowVersion
	// firstSeen is the end of the first read that returned this version.
	firstSeen time.Time
	// unchangedSince is like firstSeen, but is reset after a gap between reads.
	// Otherwise, live instances that couldn't renew during a store outage would
	// be taken over as soon as the store is back.
	unchangedSince time.Time
	lastSeen       time.Time
}

// sliceState is a slice row as last read or written by this instance.
type sliceState struct {
	row       sliceRow
	version   connector.RowVersion
	firstSeen time.Time
}

// stableScanCycles is the number of renewal intervals between two reads of the
// slice rows while nothing changes.
const stableScanCycles = 2

// minReconcileInterval limits the rate of reads when several takeovers become due.
const minReconcileInterval = 10 * time.Millisecond

// reconcileLoop repeatedly reads the rows of the data centre and acquires, hands
// over and takes over slices accordingly.
func (l *Leaser) reconcileLoop(ctx context.Context) {
	// Delay the first read by a random time, so that instances that start
	// together see each other before they acquire free slices.
	wait := l.jitter(l.cfg.RenewalInterval/4, 2)
	cycle := 0
	stable := false
	for l.sleepOrWake(ctx, wait) {
		full := !stable || cycle%stableScanCycles == 0
		cycle++
		stable = l.reconcileOnce(ctx, full)
		wait = l.nextReconcile(stable)
	}
}

// nextReconcile returns the time until the next read.
func (l *Leaser) nextReconcile(stable bool) time.Duration {
	wait := l.jitter(l.cfg.RenewalInterval, 10)
	if !stable {
		wait = l.jitter(l.cfg.RenewalInterval/2, 4)
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, m := range l.members {
		if d := l.takeoverTime(id, m).Sub(now); id != l.cfg.Instance && d > 0 && d < wait {
			wait = d
		}
	}
	return max(wait, minReconcileInterval)
}

// reconcileOnce reads the renewal rows, and the slice rows if full is set or
// something changed, and acts on them. It reports whether there was nothing to do.
func (l *Leaser) reconcileOnce(ctx context.Context, full bool) bool {
	changed, err := l.rescanMembers(ctx)
	if err != nil {
		l.metrics.scanFailures.Inc(1)
		return true // don't read more often while the store is unavailable
	}
	expired := l.expiredInstances()
	if !full && !changed && len(expired) == 0 {
		return true
	}
	if err := l.scanSlices(ctx); err != nil {
		l.metrics.scanFailures.Inc(1)
		return true
	}
	l.refreshAlive()
	l.reconcileOwned()
	for _, id := range expired {
		l.takeOver(ctx, id)
	}
	balanced := l.rebalance(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.metrics.ownedSlices.Update(float64(len(l.current.owned)))
	}
	return balanced && !changed && len(expired) == 0
}

// refreshAlive updates alive from the failure detector.
func (l *Leaser) refreshAlive() {
	if l.cfg.Alive == nil {
		return
	}
	alive := map[descriptor.InstanceID]bool{}
	for _, id := range l.cfg.Alive() {
		alive[id] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alive = alive
}

func (l *Leaser) scanMembers(ctx context.Context) error {
	_, err := l.rescanMembers(ctx)
	return err
}

// rescanMembers reads the renewal rows and reports whether an instance joined, left
// or started a new incarnation.
func (l *Leaser) rescanMembers(ctx context.Context) (bool, error) {
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	rows, err := l.scan(ctx, l.renewalPrefix())
	if err != nil {
		return false, err
	}
	// Take the time after the read: a row may have been written at any time until
	// the read ended, and its lease must not be counted from an earlier time.
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c != nil {
		c.membersScanned = true
	}
	changed := false
	seen := make(map[descriptor.InstanceID]bool, len(rows))
	for _, row := range rows {
		id := descriptor.InstanceID(strings.TrimPrefix(string(row.Key), string(l.renewalPrefix())))
		r, err := decodeRow[renewalRow](row)
		if err != nil {
			l.cfg.Log.Error("invalid renewal row; ignoring it", "error", err)
			continue
		}
		seen[id] = true
		changed = l.recordMember(id, r, row.Version, now) || changed
	}
	for id := range l.members {
		if !seen[id] {
			delete(l.members, id)
			changed = true
		}
	}
	return changed, nil
}

// recordMember records a renewal row. It reports whether the incarnation is new.
// The caller holds mu.
func (l *Leaser) recordMember(id descriptor.InstanceID, r renewalRow, v connector.RowVersion, now time.Time) bool {
	m := l.members[id]
	if m == nil || m.version != v {
		l.members[id] = &member{renewal: r, version: v, firstSeen: now, unchangedSince: now, lastSeen: now}
		return m == nil || m.renewal.Incarnation != r.Incarnation
	}
	if now.Sub(m.lastSeen) > 2*l.cfg.RenewalInterval {
		m.unchangedSince = now
	}
	m.lastSeen = now
	return false
}

func (l *Leaser) scanSlices(ctx context.Context) error {
	rows, err := l.scan(ctx, l.slicePrefix())
	if err != nil {
		return err
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var seen [descriptor.SliceCount]bool
	for _, row := range rows {
		n, err := strconv.ParseUint(strings.TrimPrefix(string(row.Key), string(l.slicePrefix())), 10, 16)
		if err != nil || n >= descriptor.SliceCount {
			l.cfg.Log.Error("invalid key of a slice row; ignoring it", "key", row.Key)
			continue
		}
		r, err := decodeRow[sliceRow](row)
		if err != nil {
			l.cfg.Log.Error("invalid slice row; ignoring it", "error", err)
			continue
		}
		seen[n] = true
		l.recordSlice(descriptor.SliceID(n), r, row.Version, now)
	}
	for s := range seen {
		if !seen[s] {
			l.slices[s] = sliceState{firstSeen: now}
		}
	}
	return nil
}

// recordSlice records a slice row. The caller holds mu.
func (l *Leaser) recordSlice(s descriptor.SliceID, r sliceRow, v connector.RowVersion, now time.Time) {
	if l.slices[s].version == v {
		return
	}
	l.slices[s] = sliceState{row: r, version: v, firstSeen: now}
}

// reconcileOwned updates the owned slices from the slice rows: it adds those that
// other instances transferred to this incarnation and removes those that a write
// with an unknown outcome transferred away.
func (l *Leaser) reconcileOwned() {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil || l.closing {
		return
	}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		state := l.slices[s]
		mine := state.row.Owner == l.cfg.Instance && state.row.Incarnation == c.session.Incarnation
		o, owned := c.owned[s]
		switch {
		case mine && !owned:
			l.recordOwned(s, state.row, state.version, now)
		case owned && !mine:
			l.removeOwned(s)
		case owned && o.version != state.version:
			l.removeOwned(s)
			l.recordOwned(s, state.row, state.version, now)
		}
	}
}

// recordOwned records a slice row that names this incarnation as the owner. The
// caller holds mu.
func (l *Leaser) recordOwned(s descriptor.SliceID, row sliceRow, v connector.RowVersion, now time.Time) {
	l.recordSlice(s, row, v, now)
	l.addOwned(s, ownedSlice{epoch: row.Epoch, version: v, safeFrom: now.Add(withClockMargin(row.remaining()))})
}

// transferRow returns the row that transfers a slice to a session. remaining is how
// long orders of the current owner may still be started; the row keeps a longer
// time that the current row records for earlier owners. The caller holds mu.
func (l *Leaser) transferRow(s descriptor.SliceID, to descriptor.InstanceID, incarnation descriptor.Incarnation, now time.Time, remaining time.Duration) sliceRow {
	state := l.slices[s]
	if state.version != 0 {
		earlier := withClockMargin(state.row.remaining()) - now.Sub(state.firstSeen)
		remaining = max(remaining, earlier)
	}
	return sliceRow{Owner: to, Incarnation: incarnation, Epoch: state.row.Epoch + 1, RemainingMs: ceilMilliseconds(remaining)}
}
