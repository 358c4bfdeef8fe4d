package distributor

import (
	"context"
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/heartbeater"
)

// tick starts the background operations that are due.
func (d *Distributor) tick() {
	now := d.cfg.Clock.Now()
	d.scanMembers(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		d.startBootstrapLocked(now)
		return
	}
	if !d.pulling && d.pending.version > d.current.Version && !now.Before(d.pending.pullAt) {
		pending := d.pending
		d.pending = pendingVersion{} // the next scan finds it again if the pull fails
		d.pulling = d.spawnLocked(func(ctx context.Context) { d.pullPending(ctx, pending) })
	}
	if !d.reading && !now.Before(d.nextHeadRead) {
		d.reading = d.spawnLocked(d.pollHead)
	}
}

// scanMembers looks for higher versions among the members, at most once per
// RetryInterval.
func (d *Distributor) scanMembers(now time.Time) {
	d.mu.Lock()
	due := !now.Before(d.nextMemberScan)
	if due {
		d.nextMemberScan = now.Add(d.cfg.RetryInterval)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	members, total := d.allMembers()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		d.observeVersionLocked(m.ID, m.Rules)
	}
	if d.nextHeadRead.IsZero() {
		// The first read is at a random point of the interval so that instances
		// started at the same time do not read simultaneously.
		d.nextHeadRead = now.Add(time.Duration(d.cfg.Rand.Int64N(int64(d.headReadInterval(total)))))
	}
}

// allMembers returns the members of all data centres, and their number including
// this instance.
func (d *Distributor) allMembers() (members []heartbeater.Member, total int) {
	for _, dc := range d.cfg.DataCentres {
		members = append(members, d.cfg.Members(dc)...)
	}
	total = len(members)
	for _, m := range members {
		if m.ID == d.cfg.Self {
			return members, total
		}
	}
	return members, total + 1
}

// headReadInterval returns the minimum time between two reads of the head row by
// this instance that keeps all instances together within HeadReadRate.
func (d *Distributor) headReadInterval(instances int) time.Duration {
	// Rounded up, since a truncated duration would exceed the rate.
	minInterval := time.Duration(math.Ceil(float64(instances) / d.cfg.HeadReadRate * float64(time.Second)))
	return max(d.cfg.HeadInterval, minInterval)
}

// pollHead performs the periodic read of the head row and schedules the next.
func (d *Distributor) pollHead(ctx context.Context) {
	err := d.refreshFromStore(ctx)
	_, total := d.allMembers()
	interval := d.headReadInterval(total)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reading = false
	// Jitter only lengthens the interval, so that HeadReadRate holds.
	d.nextHeadRead = d.cfg.Clock.Now().Add(interval + time.Duration(d.cfg.Rand.Int64N(int64(interval/5)+1)))
	if err != nil {
		d.cfg.Scope.Counter("head_reads_failed").Inc(1)
		d.cfg.Log.Debug("distributor: failed to refresh rules from the store", "error", err)
	}
}

// startBootstrapLocked starts a bootstrap if one is due. It requires d.mu.
func (d *Distributor) startBootstrapLocked(now time.Time) {
	if d.reading || now.Before(d.nextBootstrap) {
		return
	}
	half := d.cfg.RetryInterval / 2
	d.nextBootstrap = now.Add(half + time.Duration(d.cfg.Rand.Int64N(int64(half)+1)))
	d.reading = d.spawnLocked(d.bootstrap)
}

// bootstrap obtains the first rules: from members of the local data centre, from
// one member of each other data centre, or from the store. The store is read on
// the first attempt and then only when a head read is due, since the instances
// of a cell without rules would otherwise exceed HeadReadRate.
func (d *Distributor) bootstrap(ctx context.Context) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.reading = false
	}()
	for _, m := range d.bootstrapSources() {
		if d.pullFrom(ctx, m.PeerAddress) == nil {
			return
		}
	}
	_, total := d.allMembers()
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	due := !d.storeQueried || !now.Before(d.nextHeadRead)
	if due {
		d.storeQueried = true
		d.nextHeadRead = now.Add(d.headReadInterval(total))
	}
	d.mu.Unlock()
	if !due {
		return
	}
	if err := d.refreshFromStore(ctx); err != nil {
		d.cfg.Log.Warn("distributor: bootstrap failed to get rules from peers or store", "error", err)
	}
}

// bootstrapSources returns up to maxPeerAttempts random members of the local data
// centre and one of each other data centre.
func (d *Distributor) bootstrapSources() []heartbeater.Member {
	var sources []heartbeater.Member
	for _, dc := range d.dataCentresLocalFirst() {
		limit := 1
		if dc == d.cfg.DataCentre {
			limit = maxPeerAttempts
		}
		sources = append(sources, d.sampleMembers(dc, limit)...)
	}
	return sources
}

func (d *Distributor) sampleMembers(dc descriptor.DataCentreID, limit int) []heartbeater.Member {
	var sample []heartbeater.Member
	for _, m := range d.shuffled(d.cfg.Members(dc)) {
		if m.ID != d.cfg.Self && len(sample) < limit {
			sample = append(sample, m)
		}
	}
	return sample
}
