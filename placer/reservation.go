package placer

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Reservation names the targets that a request of several tasks waits for.
type Reservation struct {
	Key descriptor.Key
	// Targets holds the number of tasks that are to run on each target.
	Targets map[descriptor.TargetID]int
	// Start is when all tasks are expected to fit.
	Start time.Time
	// Limit is when the targets are given up.
	Limit time.Time
}

type reservation struct {
	key          descriptor.Key
	start, limit time.Time
	holds        []*hold
}

// hold is the part of a reservation on one target. No target has more than one,
// so reservations never wait for each other.
type hold struct {
	reservation *reservation
	slot        *slot
	copies      int
	// spare is what other work may still take beyond the start of the
	// reservation. It is guarded by the lock of the slot's shard.
	spare descriptor.Resources
}

// lapsePause is how long a request whose reservation has reached its limit may
// not reserve again. Other work gets the targets meanwhile; without the pause
// the request could hold the same targets again and again, past any limit.
const lapsePause = 100 * time.Millisecond

// maxLapsed bounds the requests whose pause is remembered.
const maxLapsed = 1024

// blockedFor is how long a request that found too many targets reserved keeps
// others from reserving, after it last asked.
const blockedFor = 5 * time.Second

// blocked is the request that waits for reservations of others to end. It is
// the next one to reserve: otherwise small gangs could keep a large one waiting
// for ever.
type blocked struct {
	key  descriptor.Key
	seen time.Time
}

// Reservations returns the reservations in force at the given time, in the
// order of their start.
func (p *Packer) Reservations(now time.Time) []Reservation {
	p.expire(now)
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]Reservation, 0, len(p.reservations))
	for _, r := range p.reservations {
		out := Reservation{Key: r.key, Start: r.start, Limit: r.limit, Targets: make(map[descriptor.TargetID]int)}
		for _, h := range r.holds {
			out.Targets[h.slot.target.ID] = h.copies
		}
		all = append(all, out)
	}
	slices.SortFunc(all, func(a, b Reservation) int { return a.Start.Compare(b.Start) })
	return all
}

// Withdraw implements Policy.
func (p *Packer) Withdraw(key descriptor.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(key)
}

// finish forgets that the request waits. The caller holds the packer's lock
// exclusively.
func (p *Packer) finish(key descriptor.Key) {
	if p.blocked.key == key {
		p.blocked = blocked{}
	}
	delete(p.lapsed, key)
	if r := p.reservations[key]; r != nil {
		p.cancel(r)
	}
}

// cancel gives the targets of a reservation back to all work.
func (p *Packer) cancel(r *reservation) {
	delete(p.reservations, r.key)
	for _, h := range r.holds {
		h.slot.held = nil
		p.refresh(h.slot)
	}
	p.holds = slices.DeleteFunc(p.holds, func(s *slot) bool { return s.held == nil })
	p.nextLimit, p.nextPlan = time.Time{}, time.Time{}
	for _, other := range p.reservations {
		p.limitAt(other.limit)
	}
}

// limitAt makes sure that expire runs at the given time.
func (p *Packer) limitAt(limit time.Time) {
	if p.nextLimit.IsZero() || limit.Before(p.nextLimit) {
		p.nextLimit = limit
	}
}

// expire gives up the reservations that have reached their limit.
func (p *Packer) expire(now time.Time) {
	p.mu.RLock()
	due := !p.nextLimit.IsZero() && !now.Before(p.nextLimit)
	p.mu.RUnlock()
	if !due {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reservations {
		if !now.Before(r.limit) {
			p.cancel(r)
			p.lapse(now, r.key)
		}
	}
}

// lapse starts the pause of a request.
func (p *Packer) lapse(now time.Time, key descriptor.Key) {
	if len(p.lapsed) >= maxLapsed {
		clear(p.lapsed)
	}
	p.lapsed[key] = now.Add(lapsePause)
}

// backfill places a single task on a reserved target, if it ends before the
// reservation starts or leaves enough room for it.
func (p *Packer) backfill(task runningTask, avoid []descriptor.TargetID) (descriptor.TargetID, bool) {
	for _, s := range p.holds {
		if s.state != Placeable || avoided(s, avoid) {
			continue
		}
		if p.backfillOn(s, task) {
			return s.target.ID, true
		}
	}
	return "", false
}

func (p *Packer) backfillOn(s *slot, task runningTask) bool {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	if !task.need.Fits(s.free()) {
		return false
	}
	if task.end > momentOf(s.held.reservation.start) {
		if !task.need.Fits(s.held.spare) {
			return false
		}
		s.held.spare = s.held.spare.Sub(task.need)
	}
	p.take(s, task)
	return true
}
