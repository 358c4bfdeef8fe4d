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
	// ReservedShare bounds the fraction of the targets that reservations may
	// name at once, unless there is only one reservation. The default is 0.3.
	ReservedShare float64
	// Patience is how long a request of several tasks waits for room before it
	// reserves targets, as a fraction of its expected run. The default is 1. A
	// reservation keeps small work waiting, and most gangs start without one.
	Patience float64
	// Grace is how long a reservation outlasts its expected start before its
	// targets are given up. The default is 2 s; it grows to half of the
	// expected wait.
	Grace time.Duration
	// UnknownRun is the remaining run time assumed for tasks that were found
	// running. The default is 30 s.
	UnknownRun time.Duration
}

func (c PackerConfig) withDefaults() PackerConfig {
	if c.ReservedShare <= 0 {
		c.ReservedShare = 0.3
	}
	if c.Patience <= 0 {
		c.Patience = 1
	}
	if c.Grace <= 0 {
		c.Grace = 2 * time.Second
	}
	if c.UnknownRun <= 0 {
		c.UnknownRun = 30 * time.Second
	}
	return c
}

// Packer is a best-fit policy over an index of shards. A task goes to the first
// shard that has room for it, and there to the target with the least room left
// after it. Filling shards in order keeps whole targets free for large work.
// Requests of several tasks, and single tasks that need half of a target, get a
// reservation on named targets if they find no room.
//
// Single tasks and releases take the lock of the packer shared and that of one
// shard; everything else takes the packer's lock exclusively. The order of
// locks is packer, shard, tree.
type Packer struct {
	cfg PackerConfig

	mu      sync.RWMutex
	byID    map[descriptor.TargetID]*slot
	shards  []*shard
	vacant  []*slot // unused positions of shards
	weights atomic.Pointer[weights]
	// takes counts down to the next change of weights.
	takes atomic.Int64
	tree  maxTree

	cell     cell
	services services

	reservations map[descriptor.Key]*reservation
	holds        []*slot // targets that a reservation names
	nextLimit    time.Time
	// lapsed holds the ends of the pauses after reservations that have reached
	// their limit.
	lapsed   map[descriptor.Key]time.Time
	blocked  blocked
	planFrom int
	nextPlan time.Time
	ends     []ending // scratch space of forecast

	probing []*slot
}

// NewPacker returns a Packer without targets.
func NewPacker(cfg PackerConfig) *Packer {
	p := &Packer{
		cfg:          cfg.withDefaults(),
		byID:         make(map[descriptor.TargetID]*slot),
		cell:         newCell(),
		services:     newServices(),
		reservations: make(map[descriptor.Key]*reservation),
		lapsed:       make(map[descriptor.Key]time.Time),
	}
	p.weigh()
	return p
}

// AddTarget implements Policy.
func (p *Packer) AddTarget(t descriptor.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[t.ID]
	if s == nil {
		s = p.newSlot()
		p.byID[t.ID] = s
	} else {
		p.cell.remove(s)
		if s.held != nil && s.capacity != t.Capacity {
			p.cancel(s.held.reservation)
		}
	}
	s.target, s.capacity = t, t.Capacity
	if t.Leaving && s.state == Placeable {
		s.state = Leaving
	}
	p.cell.add(s)
	p.weigh()
	p.refresh(s)
}

// newSlot returns a slot in a vacant position of a shard.
func (p *Packer) newSlot() *slot {
	var s *slot
	if last := len(p.vacant) - 1; last >= 0 {
		s = &slot{shard: p.vacant[last].shard, pos: p.vacant[last].pos}
		p.vacant = p.vacant[:last]
	} else {
		s = p.lastShard().addSlot()
	}
	s.shard.slots[s.pos] = s
	return s
}

// lastShard returns a shard with room for one more target.
func (p *Packer) lastShard() *shard {
	if n := len(p.shards); n > 0 && len(p.shards[n-1].slots) < shardSize {
		return p.shards[n-1]
	}
	sh := newShard(len(p.shards))
	p.shards = append(p.shards, sh)
	p.tree.grow(len(p.shards))
	return sh
}

// refresh brings the index up to date after a change of the slot. The caller
// holds the lock of the packer exclusively or that of the slot's shard.
func (p *Packer) refresh(s *slot) {
	if s.shard.refresh(s.pos, s) {
		p.tree.set(s.shard.index, s.shard.largest)
	}
}

// RemoveTarget implements Policy.
func (p *Packer) RemoveTarget(id descriptor.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[id]
	if s == nil {
		return
	}
	if s.held != nil {
		p.cancel(s.held.reservation)
	}
	delete(p.byID, id)
	p.setProbing(s, false)
	p.cell.remove(s)
	for i := range s.tasks {
		p.services.ended(s.tasks[i].group, s.target.Rack)
	}
	s.shard.slots[s.pos] = nil
	p.refresh(s)
	p.vacant = append(p.vacant, s)
	p.weigh()
}

// SetState implements Policy.
func (p *Packer) SetState(id descriptor.TargetID, state TargetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[id]
	if s == nil || s.state == state {
		return
	}
	p.setProbing(s, state == Probing)
	if s.held != nil {
		p.cancel(s.held.reservation)
	}
	p.cell.remove(s)
	s.state = state
	p.cell.add(s)
	p.refresh(s)
}

// Place implements Policy.
func (p *Packer) Place(now time.Time, d Demand) ([]Assignment, Verdict) {
	if d.Request.Resources.IsNegative() {
		return nil, NoRoom
	}
	p.expire(now)
	switch {
	case d.Request.Policy == descriptor.Service:
		return p.placeService(now, d)
	case taskCount(d.Request) > 1 || d.Request.Policy == descriptor.Gang:
		return p.placeGang(now, d)
	}
	placed, verdict := p.placeSingle(now, d)
	switch {
	case verdict == Placed && p.waits(d.Request.Key):
		p.Withdraw(d.Request.Key)
	case verdict == NoRoom && p.cell.isLarge(d.Request.Resources):
		return p.placeGang(now, d)
	}
	return placed, verdict
}

// waits reports whether the request has a reservation or is the next to get one.
func (p *Packer) waits(key descriptor.Key) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.reservations) > 0 && p.reservations[key] != nil || p.blocked.key == key
}

// placeSingle places a request of one task.
func (p *Packer) placeSingle(now time.Time, d Demand) ([]Assignment, Verdict) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	task := runningTask{need: d.Request.Resources, end: momentOf(now.Add(d.Run))}
	work := probeWorkOf(d.Request)
	if id, ok := p.probe(probeSuited, work, task, d.Avoid); ok {
		return []Assignment{{Target: id}}, Placed
	}
	for i := p.tree.next(0, task.need); i >= 0; i = p.tree.next(i+1, task.need) {
		if id, ok := p.placeIn(p.shards[i], task, d.Avoid); ok {
			return []Assignment{{Target: id}}, Placed
		}
	}
	if id, ok := p.backfill(task, d.Avoid); ok {
		return []Assignment{{Target: id}}, Placed
	}
	if id, ok := p.probe(probeAnyWork, work, task, d.Avoid); ok {
		return []Assignment{{Target: id}}, Placed
	}
	return nil, NoRoom
}

// placeIn places a task on the best target of the shard.
func (p *Packer) placeIn(sh *shard, task runningTask, avoid []descriptor.TargetID) (descriptor.TargetID, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.best(task.need, avoid, p.weights.Load())
	if s == nil {
		return "", false
	}
	p.take(s, task)
	return s.target.ID, true
}

// take accounts for a task on the slot. The caller holds the lock of the packer
// exclusively or that of the slot's shard.
func (p *Packer) take(s *slot, task runningTask) {
	s.add(task)
	p.cell.use(s, task.need)
	p.refresh(s)
	if p.takes.Add(-1) <= 0 {
		p.weigh()
	}
}

// weighEvery is the number of tasks after which the weights follow the use of
// the cell.
const weighEvery = 512

// weigh computes the weights anew.
func (p *Packer) weigh() {
	p.takes.Store(weighEvery)
	w := p.cell.weights()
	p.weights.Store(&w)
}

// Take implements Policy.
func (p *Packer) Take(id descriptor.TargetID, r descriptor.Resources) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.byID[id]
	if s == nil {
		return
	}
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	p.take(s, runningTask{need: r})
}

// Release implements Policy. What exceeds the amount in use is ignored.
func (p *Packer) Release(_ time.Time, id descriptor.TargetID, r descriptor.Resources) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.byID[id]
	if s == nil {
		return
	}
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	before := s.used
	task := s.drop(r)
	p.services.ended(task.group, s.target.Rack)
	p.cell.use(s, s.used.Sub(before))
	p.refresh(s)
}

// Totals implements Policy.
func (p *Packer) Totals() (capacity, used descriptor.Resources) { return p.cell.totals() }

// avoided reports whether the request has failed on the slot's target before.
func avoided(s *slot, avoid []descriptor.TargetID) bool {
	return slices.Contains(avoid, s.target.ID)
}
