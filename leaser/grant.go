package leaser

import (
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// view is an immutable copy of what Grant needs.
type view struct {
	until time.Time
	epoch [descriptor.SliceCount]descriptor.Epoch // 0: not owned
}

// Grant returns the right to use a slice if it holds now.
//
// The end of the grant is at most one renewal period away, so that a slice that
// is handed over is usable soon by its next owner.
func (l *Leaser) Grant(s descriptor.SliceID) (Grant, bool) {
	now := l.cfg.Clock.Now()
	v := l.view.Load()
	if int(s) >= len(v.epoch) || v.epoch[s] == 0 || !now.Before(v.until) {
		return Grant{}, false
	}
	until := v.until
	if limit := now.Add(l.grantSpan()); limit.Before(until) {
		until = limit
	}
	// The end is published before the second look at the view. A release first
	// changes the view and then reads the end, so one of the two sees the other.
	storeMax(&l.granted[s], int64(until.Sub(l.base)))
	if l.view.Load().epoch[s] != v.epoch[s] {
		return Grant{}, false
	}
	return Grant{Slice: s, Epoch: v.epoch[s], Until: until}, true
}

// grantSpan bounds the time from the send of an order to its start.
func (l *Leaser) grantSpan() time.Duration { return l.cfg.Renewal }

// storeMax raises a to at least v.
func storeMax(a *atomic.Int64, v int64) {
	for {
		old := a.Load()
		if old >= v || a.CompareAndSwap(old, v) {
			return
		}
	}
}

// publish makes the current state visible to Grant. The caller holds mu.
func (l *Leaser) publish() {
	v := &view{}
	if c := l.current; c != nil && !l.closing {
		v.until = l.until(c)
		for s, o := range c.owned {
			if !o.withheld {
				v.epoch[s] = o.epoch
			}
		}
	}
	l.view.Store(v)
}

// until returns the end of the lease. The caller holds mu.
func (l *Leaser) until(c *incarnation) time.Time {
	end := c.ackedSent.Add(l.cfg.Lease)
	if c.extended.After(end) {
		end = c.extended
	}
	return end
}
