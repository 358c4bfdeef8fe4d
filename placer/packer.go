package placer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

var _ Policy = (*Packer)(nil)

// PackerConfig configures a Packer. The zero value is usable.
type PackerConfig struct {
	// MaxReservedFraction bounds the fraction of targets that may be reserved at
	// once. It does not apply to a reservation made while there is no other. The
	// default is 0.3.
	MaxReservedFraction float64
	// ReservationDelayFactor is the time that a request waits before it may
	// reserve targets, as a multiple of its estimated run time. The default is 1.
	// The delay exists because a reservation delays small tasks and most gangs
	// start without one.
	ReservationDelayFactor float64
	// GracePeriod is the minimum time from the expected start of a reservation
	// to its expiry. The default is 2 s. Half of the expected wait applies
	// instead if that is longer.
	GracePeriod time.Duration
	// DefaultRemainingRun is the remaining run time assumed for tasks that were
	// added by AddRunning. The default is 30 s.
	DefaultRemainingRun time.Duration
}

func (c PackerConfig) withDefaults() PackerConfig {
	if c.MaxReservedFraction <= 0 {
		c.MaxReservedFraction = 0.3
	}
	if c.ReservationDelayFactor <= 0 {
		c.ReservationDelayFactor = 1
	}
	if c.GracePeriod <= 0 {
		c.GracePeriod = 2 * time.Second
	}
	if c.DefaultRemainingRun <= 0 {
		c.DefaultRemainingRun = 30 * time.Second
	}
	return c
}

// Packer is a best-fit policy over a sharded index of targets. A task is placed in
// the first shard with a suitable target, on the target with the least weighted
// capacity left after placement. Filling shards in order keeps whole targets free
// for large tasks. Requests of several tasks, and single tasks that need at least
// half of a mean target, may reserve specific targets if they can't be placed.
//
// Placing a single task, adding a running task and releasing a task take the read
// lock of the packer and the lock of one shard at a time; other changes take the
// write lock of the packer. The lock order is packer, shard, tree.
type Packer struct {
	cfg PackerConfig

	mu      sync.RWMutex
	byID    map[descriptor.TargetID]*targetEntry
	shards  []*shard
	vacant  []*targetEntry // unused positions of shards
	weights atomic.Pointer[weights]
	// untilWeightUpdate is the number of tasks until the next update of weights.
	untilWeightUpdate atomic.Int64
	tree              maxTree

	cell     cell
	services serviceRacks

	reservations    map[descriptor.Key]*reservation
	reservedTargets []*targetEntry // targets held by reservations
	nextExpiry      time.Time
	// cooldowns holds the time until which a request whose reservation has
	// expired may not reserve again.
	cooldowns  map[descriptor.Key]time.Time
	blocked    blockedRequest
	planCursor int
	nextPlan   time.Time
	endsBuf    []taskEnd // reused by forecastTarget

	probing []*targetEntry
}

// NewPacker returns a Packer without targets.
func NewPacker(cfg PackerConfig) *Packer {
	p := &Packer{
		cfg:          cfg.withDefaults(),
		byID:         make(map[descriptor.TargetID]*targetEntry),
		cell:         newCell(),
		services:     newServiceRacks(),
		reservations: make(map[descriptor.Key]*reservation),
		cooldowns:    make(map[descriptor.Key]time.Time),
	}
	p.updateWeights()
	return p
}

// AddTarget implements Policy.
func (p *Packer) AddTarget(t descriptor.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[t.ID]
	if e == nil {
		e = p.newEntry()
		p.byID[t.ID] = e
	} else {
		p.cell.remove(e)
		if e.reserved != nil && e.capacity != t.Capacity {
			p.removeReservation(e.reserved.reservation)
		}
	}
	e.target, e.capacity = t, t.Capacity
	if t.Leaving && e.state == Placeable {
		e.state = Leaving
	}
	p.cell.add(e)
	p.updateWeights()
	p.updateIndex(e)
}

// newEntry returns a new entry at a vacant position, or at an added one if there
// is none.
func (p *Packer) newEntry() *targetEntry {
	var e *targetEntry
	if last := len(p.vacant) - 1; last >= 0 {
		e = &targetEntry{shard: p.vacant[last].shard, pos: p.vacant[last].pos}
		p.vacant = p.vacant[:last]
	} else {
		e = p.shardWithSpace().addEntry()
	}
	e.shard.entries[e.pos] = e
	return e
}

// shardWithSpace returns a shard that can hold one more target.
func (p *Packer) shardWithSpace() *shard {
	if n := len(p.shards); n > 0 && len(p.shards[n-1].entries) < shardSize {
		return p.shards[n-1]
	}
	sh := newShard(len(p.shards))
	p.shards = append(p.shards, sh)
	p.tree.grow(len(p.shards))
	return sh
}

// updateIndex updates the index after a change of the target. The caller must hold
// the write lock of the packer or the lock of the target's shard.
func (p *Packer) updateIndex(e *targetEntry) {
	if e.shard.update(e.pos, e) {
		p.tree.set(e.shard.index, e.shard.maxFree)
	}
}

// RemoveTarget implements Policy.
func (p *Packer) RemoveTarget(id descriptor.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id]
	if e == nil {
		return
	}
	if e.reserved != nil {
		p.removeReservation(e.reserved.reservation)
	}
	delete(p.byID, id)
	p.setProbing(e, false)
	p.cell.remove(e)
	for i := range e.tasks {
		p.services.removeTask(e.tasks[i].service, e.target.Rack)
	}
	e.shard.entries[e.pos] = nil
	p.updateIndex(e)
	p.vacant = append(p.vacant, e)
	p.updateWeights()
}

// SetState implements Policy.
func (p *Packer) SetState(id descriptor.TargetID, state TargetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id]
	if e == nil || e.state == state {
		return
	}
	p.setProbing(e, state == Probing)
	if e.reserved != nil {
		p.removeReservation(e.reserved.reservation)
	}
	p.cell.remove(e)
	e.state = state
	p.cell.add(e)
	p.updateIndex(e)
}

// Place implements Policy.
func (p *Packer) Place(now time.Time, d Demand) ([]Assignment, Verdict) {
	if d.Request.Resources.IsNegative() {
		return nil, NoRoom
	}
	p.removeExpired(now)
	switch {
	case d.Request.Policy == descriptor.Service:
		return p.placeService(now, d)
	case taskCount(d.Request) > 1 || d.Request.Policy == descriptor.Gang:
		return p.placeGang(now, d)
	}
	placed, verdict := p.placeSingle(now, d)
	switch {
	case verdict == Placed && p.isWaiting(d.Request.Key):
		p.CancelReservation(d.Request.Key)
	case verdict == NoRoom && p.cell.isLargeTask(d.Request.Resources):
		return p.placeGang(now, d)
	}
	return placed, verdict
}

// isWaiting reports whether the request has a reservation or takes precedence for
// the next one.
func (p *Packer) isWaiting(key descriptor.Key) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.reservations) > 0 && p.reservations[key] != nil || p.blocked.key == key
}

// placeSingle places a request of one task. It tries probing targets for tasks
// that suit a probe, then available targets, then reserved targets, and at last
// probing targets for any task.
func (p *Packer) placeSingle(now time.Time, d Demand) ([]Assignment, Verdict) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	task := runningTask{need: d.Request.Resources, end: timestampOf(now.Add(d.RunTime))}
	suitability := probeSuitabilityOf(d.Request)
	if id, ok := p.placeProbe(probePreferred, suitability, task, d.Avoid); ok {
		return []Assignment{{Target: id}}, Placed
	}
	for i := p.tree.next(0, task.need); i >= 0; i = p.tree.next(i+1, task.need) {
		if id, ok := p.placeInShard(p.shards[i], task, d.Avoid); ok {
			return []Assignment{{Target: id}}, Placed
		}
	}
	if id, ok := p.backfill(task, d.Avoid); ok {
		return []Assignment{{Target: id}}, Placed
	}
	if id, ok := p.placeProbe(probeAny, suitability, task, d.Avoid); ok {
		return []Assignment{{Target: id}}, Placed
	}
	return nil, NoRoom
}

// placeInShard places a task on the best-fitting target of the shard.
func (p *Packer) placeInShard(sh *shard, task runningTask, avoid []descriptor.TargetID) (descriptor.TargetID, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.bestFit(task.need, avoid, p.weights.Load())
	if e == nil {
		return "", false
	}
	p.allocate(e, task)
	return e.target.ID, true
}

// allocate assigns the resources of a task on the target. The caller must hold the
// write lock of the packer or the lock of the target's shard.
func (p *Packer) allocate(e *targetEntry, task runningTask) {
	e.addTask(task)
	p.cell.addUsed(e, task.need)
	p.updateIndex(e)
	if p.untilWeightUpdate.Add(-1) <= 0 {
		p.updateWeights()
	}
}

// weightUpdateInterval is the number of placed tasks after which the weights are
// updated to the current usage of the cell.
const weightUpdateInterval = 512

func (p *Packer) updateWeights() {
	p.untilWeightUpdate.Store(weightUpdateInterval)
	w := p.cell.weights()
	p.weights.Store(&w)
}

// AddRunning implements Policy.
func (p *Packer) AddRunning(id descriptor.TargetID, r descriptor.Resources) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	e := p.byID[id]
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	p.allocate(e, runningTask{need: r})
}

// Release implements Policy. Resources beyond those in use are ignored.
func (p *Packer) Release(_ time.Time, id descriptor.TargetID, r descriptor.Resources) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	e := p.byID[id]
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	before := e.used
	task := e.removeTask(r)
	p.services.removeTask(task.service, e.target.Rack)
	p.cell.addUsed(e, e.used.Sub(before))
	p.updateIndex(e)
}

// Totals implements Policy.
func (p *Packer) Totals() (capacity, used descriptor.Resources) { return p.cell.totals() }

// isAvoided reports whether the target is in the list of targets to avoid.
func isAvoided(e *targetEntry, avoid []descriptor.TargetID) bool {
	return slices.Contains(avoid, e.target.ID)
}
