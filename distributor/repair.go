package distributor

import (
	"context"
	"math"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/heartbeater"
)

// tick starts what is due.
func (d *Distributor) tick() {
	now := d.cfg.Clock.Now()
	d.scan(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil {
		d.startBootstrap(now)
		return
	}
	if !d.pulling && d.wanted.version > d.current.Version && !now.Before(d.wanted.at) {
		w := d.wanted
		d.wanted = wanted{} // seen again with the next scan if this fails
		d.pulling = d.spawnLocked(func(ctx context.Context) { d.pullWanted(ctx, w) })
	}
	if !d.reading && !now.Before(d.nextHead) {
		d.reading = d.spawnLocked(d.checkHead)
	}
}

// scan looks for higher versions among the members.
func (d *Distributor) scan(now time.Time) {
	d.mu.Lock()
	due := !now.Before(d.nextScan)
	if due {
		d.nextScan = now.Add(d.cfg.RetryInterval)
	}
	d.mu.Unlock()
	if !due {
		return
	}
	members, total := d.everyone()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		d.see(m.ID, m.Rules)
	}
	if d.nextHead.IsZero() {
		// The first read falls at a random point of the interval, so that
		// instances that start together don't read together.
		d.nextHead = now.Add(time.Duration(d.cfg.Rand.Int64N(int64(d.headInterval(total)))))
	}
}

// everyone returns the members of all data centres and their number with this
// instance.
func (d *Distributor) everyone() (members []heartbeater.Member, total int) {
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

// headInterval returns the least time between two reads of the head row by this
// instance, such that all instances stay within HeadReads.
func (d *Distributor) headInterval(instances int) time.Duration {
	// Rounded up, as the truncated duration would exceed the bound.
	share := time.Duration(math.Ceil(float64(instances) / d.cfg.HeadReads * float64(time.Second)))
	return max(d.cfg.HeadInterval, share)
}

// checkHead reads the head row in its turn.
func (d *Distributor) checkHead(ctx context.Context) {
	err := d.refresh(ctx)
	_, total := d.everyone()
	interval := d.headInterval(total)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reading = false
	// The interval is never shortened, so that the bound on reads holds.
	d.nextHead = d.cfg.Clock.Now().Add(interval + time.Duration(d.cfg.Rand.Int64N(int64(interval/5)+1)))
	if err != nil {
		d.cfg.Scope.Counter("head_reads_failed").Inc(1)
		d.cfg.Log.Debug("distributor: could not read the rules from the store", "error", err)
	}
}

// startBootstrap looks for the first rules. The lock must be held.
func (d *Distributor) startBootstrap(now time.Time) {
	if d.reading || now.Before(d.nextBootstrap) {
		return
	}
	half := d.cfg.RetryInterval / 2
	d.nextBootstrap = now.Add(half + time.Duration(d.cfg.Rand.Int64N(int64(half)+1)))
	d.reading = d.spawnLocked(d.bootstrap)
}

// bootstrap gets the first rules: from members of the own data centre, from one
// of each other, or from the store. The store is asked at the start and then in
// turn, since a cell without rules would otherwise exceed the bound on reads.
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
	_, total := d.everyone()
	now := d.cfg.Clock.Now()
	d.mu.Lock()
	due := !d.askedStore || !now.Before(d.nextHead)
	if due {
		d.askedStore = true
		d.nextHead = now.Add(d.headInterval(total))
	}
	d.mu.Unlock()
	if !due {
		return
	}
	if err := d.refresh(ctx); err != nil {
		d.cfg.Log.Warn("distributor: no rules yet from peers or store", "error", err)
	}
}

// bootstrapSources returns a few members of the own data centre and one of each
// other.
func (d *Distributor) bootstrapSources() []heartbeater.Member {
	var sources []heartbeater.Member
	for _, dc := range d.dataCentresOwnFirst() {
		limit := 1
		if dc == d.cfg.DataCentre {
			limit = linkAttempts
		}
		sources = append(sources, d.someOf(dc, limit)...)
	}
	return sources
}

func (d *Distributor) someOf(dc descriptor.DataCentreID, limit int) []heartbeater.Member {
	var some []heartbeater.Member
	for _, m := range d.shuffled(d.cfg.Members(dc)) {
		if m.ID != d.cfg.Self && len(some) < limit {
			some = append(some, m)
		}
	}
	return some
}
