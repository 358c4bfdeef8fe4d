package leaser

import (
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// grantSnapshot is an immutable copy of the state that Grant reads.
type grantSnapshot struct {
	expiry time.Time
	epochs [descriptor.SliceCount]descriptor.Epoch // 0: not owned
}

// Grant returns a grant for a slice if this instance owns it now.
//
// A grant lasts for at most one renewal interval, so that the next owner of a
// slice that is handed over can use it soon.
func (l *Leaser) Grant(s descriptor.SliceID) (Grant, bool) {
	now := l.cfg.Clock.Now()
	v := l.snapshot.Load()
	if int(s) >= len(v.epochs) || v.epochs[s] == 0 || !now.Before(v.expiry) {
		return Grant{}, false
	}
	until := v.expiry
	if limit := now.Add(l.maxGrantDuration()); limit.Before(until) {
		until = limit
	}
	// Store the end of the grant before checking the snapshot again. A transfer
	// of the slice first replaces the snapshot and then reads the end, so either
	// this check sees the new snapshot or the transfer sees this grant.
	storeMax(&l.latestGrantEnd[s], int64(until.Sub(l.baseTime)))
	if l.snapshot.Load().epochs[s] != v.epochs[s] {
		return Grant{}, false
	}
	return Grant{Slice: s, Epoch: v.epochs[s], Until: until}, true
}

// maxGrantDuration bounds the time from sending an order to starting it.
func (l *Leaser) maxGrantDuration() time.Duration { return l.cfg.RenewalInterval }

// storeMax atomically sets a to the larger of its value and v.
func storeMax(a *atomic.Int64, v int64) {
	for {
		old := a.Load()
		if old >= v || a.CompareAndSwap(old, v) {
			return
		}
	}
}

// publishSnapshot makes the current state visible to Grant. The caller holds mu.
func (l *Leaser) publishSnapshot() {
	v := &grantSnapshot{}
	if c := l.current; c != nil && !l.closing {
		v.expiry = l.leaseEnd(c)
		for s, o := range c.owned {
			if !o.withheld {
				v.epochs[s] = o.epoch
			}
		}
	}
	l.snapshot.Store(v)
}

// leaseEnd returns the end of the lease, including its extension by promises. The
// caller holds mu.
func (l *Leaser) leaseEnd(c *sessionState) time.Time {
	end := c.ackedSentAt.Add(l.cfg.LeaseDuration)
	if c.extendedUntil.After(end) {
		end = c.extendedUntil
	}
	return end
}
