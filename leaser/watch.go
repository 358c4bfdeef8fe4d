package leaser

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// member is what is known of an instance's renewal row.
type member struct {
	renewal renewalRow
	version connector.RowVersion
	// firstSeen is when the first read that returned this version ended.
	firstSeen time.Time
	// steadySince is like firstSeen, but is reset after a gap between reads, so
	// that the end of a store outage doesn't cause takeovers of live instances.
	steadySince time.Time
	lastSeen    time.Time
}

// sliceState is a slice row as last read or written.
type sliceState struct {
	row       sliceRow
	version   connector.RowVersion
	firstSeen time.Time
}

// settledCycles is the number of renewal periods between two reads of the slice
// rows while nothing changes.
const settledCycles = 2

// minWatch bounds the rate of reads when several takeovers become due.
const minWatch = 10 * time.Millisecond

// watchLoop reads the rows of the data centre and acts on them.
func (l *Leaser) watchLoop(ctx context.Context) {
	// The first look is spread, so that instances that start together see each
	// other before they take free slices.
	wait := l.jitter(l.cfg.Renewal/4, 2)
	cycle := 0
	settled := false
	for l.nap(ctx, wait) {
		full := !settled || cycle%settledCycles == 0
		cycle++
		settled = l.watch(ctx, full)
		wait = l.nextWatch(settled)
	}
}

// nextWatch returns the time until the next read.
func (l *Leaser) nextWatch(settled bool) time.Duration {
	wait := l.jitter(l.cfg.Renewal, 10)
	if !settled {
		wait = l.jitter(l.cfg.Renewal/2, 4)
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, m := range l.members {
		if d := l.takeoverTime(i, m).Sub(now); i != l.cfg.Instance && d > 0 && d < wait {
			wait = d
		}
	}
	return max(wait, minWatch)
}

// watch does one round and reports whether everything is as it should be.
func (l *Leaser) watch(ctx context.Context, full bool) bool {
	changed, err := l.rescanMembers(ctx)
	if err != nil {
		l.metrics.scanFailed.Inc(1)
		return true // no faster reads while the store is down
	}
	expired := l.expired()
	if !full && !changed && len(expired) == 0 {
		return true
	}
	if err := l.scanSlices(ctx); err != nil {
		l.metrics.scanFailed.Inc(1)
		return true
	}
	l.readAlive()
	l.reconcile()
	for _, i := range expired {
		l.takeOver(ctx, i)
	}
	balanced := l.balance(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.metrics.owned.Update(float64(len(l.current.owned)))
	}
	return balanced && !changed && len(expired) == 0
}

// readAlive asks for the live instances by heartbeats.
func (l *Leaser) readAlive() {
	if l.cfg.Alive == nil {
		return
	}
	alive := map[descriptor.InstanceID]bool{}
	for _, i := range l.cfg.Alive() {
		alive[i] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alive = alive
}

func (l *Leaser) scanMembers(ctx context.Context) error {
	_, err := l.rescanMembers(ctx)
	return err
}

// rescanMembers reads the renewal rows and reports whether an instance came,
// left or started a new incarnation.
func (l *Leaser) rescanMembers(ctx context.Context) (bool, error) {
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	rows, err := l.scan(ctx, l.renewalPrefix())
	if err != nil {
		return false, err
	}
	// The time after the read: a row that was read can have been written at any
	// moment before it.
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c != nil {
		c.scanned = true
	}
	changed := false
	seen := make(map[descriptor.InstanceID]bool, len(rows))
	for _, row := range rows {
		i := descriptor.InstanceID(strings.TrimPrefix(string(row.Key), string(l.renewalPrefix())))
		r, err := decode[renewalRow](row)
		if err != nil {
			l.cfg.Log.Error("renewal row is not valid", "error", err)
			continue
		}
		seen[i] = true
		changed = l.observe(i, r, row.Version, now) || changed
	}
	for i := range l.members {
		if !seen[i] {
			delete(l.members, i)
			changed = true
		}
	}
	return changed, nil
}

// observe records a renewal row. It reports whether the incarnation is new. The
// caller holds mu.
func (l *Leaser) observe(i descriptor.InstanceID, r renewalRow, v connector.RowVersion, now time.Time) bool {
	m := l.members[i]
	if m == nil || m.version != v {
		l.members[i] = &member{renewal: r, version: v, firstSeen: now, steadySince: now, lastSeen: now}
		return m == nil || m.renewal.Incarnation != r.Incarnation
	}
	if now.Sub(m.lastSeen) > 2*l.cfg.Renewal {
		m.steadySince = now
	}
	m.lastSeen = now
	return false
}

// scanSlices reads the slice rows.
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
			l.cfg.Log.Error("slice row has an invalid key", "key", row.Key)
			continue
		}
		r, err := decode[sliceRow](row)
		if err != nil {
			l.cfg.Log.Error("slice row is not valid", "error", err)
			continue
		}
		seen[n] = true
		l.sawSlice(descriptor.SliceID(n), r, row.Version, now)
	}
	for s := range seen {
		if !seen[s] {
			l.slices[s] = sliceState{firstSeen: now}
		}
	}
	return nil
}

// sawSlice records a slice row. The caller holds mu.
func (l *Leaser) sawSlice(s descriptor.SliceID, r sliceRow, v connector.RowVersion, now time.Time) {
	if l.slices[s].version == v {
		return
	}
	l.slices[s] = sliceState{row: r, version: v, firstSeen: now}
}

// reconcile gains the slices that were assigned to this incarnation by others,
// and drops those that an ambiguous write has moved away.
func (l *Leaser) reconcile() {
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
			l.settle(s, state.row, state.version, now)
		case owned && !mine:
			l.lose(s)
		case owned && o.version != state.version:
			l.lose(s)
			l.settle(s, state.row, state.version, now)
		}
	}
}

// settle records a slice row that names this incarnation as the owner. The
// caller holds mu.
func (l *Leaser) settle(s descriptor.SliceID, row sliceRow, v connector.RowVersion, now time.Time) {
	l.sawSlice(s, row, v, now)
	l.gain(s, ownedSlice{epoch: row.Epoch, version: v, safeFrom: now.Add(withMargin(row.remaining()))})
}

// nextOwner returns the row that gives a slice to another session. Orders of
// earlier owners may be started for at least the given time, or longer if the
// present row says so. The caller holds mu.
func (l *Leaser) nextOwner(s descriptor.SliceID, to descriptor.InstanceID, inc descriptor.Incarnation, now time.Time, remaining time.Duration) sliceRow {
	state := l.slices[s]
	if state.version != 0 {
		earlier := withMargin(state.row.remaining()) - now.Sub(state.firstSeen)
		remaining = max(remaining, earlier)
	}
	return sliceRow{Owner: to, Incarnation: inc, Epoch: state.row.Epoch + 1, RemainingMs: ceilMilliseconds(remaining)}
}
