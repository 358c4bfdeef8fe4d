package placer

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Reservation describes the targets that are reserved for a waiting request.
type Reservation struct {
	Key descriptor.Key
	// Targets holds the number of tasks planned for each target.
	Targets map[descriptor.TargetID]int
	// Start is when all tasks are expected to fit.
	Start time.Time
	// Expiry is when the targets are released if the request has not started.
	Expiry time.Time
}

type reservation struct {
	key           descriptor.Key
	start, expiry time.Time
	targets       []*reservedTarget
}

// reservedTarget is the part of a reservation on one target. A target belongs to
// at most one reservation, so that reservations never wait for each other.
type reservedTarget struct {
	reservation *reservation
	entry       *targetEntry
	tasks       int
	// spare is the capacity that other tasks may still use past the start of the
	// reservation. It is guarded by the lock of the target's shard.
	spare descriptor.Resources
}

// reservationCooldown is the time for which a request whose reservation has
// expired may not reserve again. It lets other tasks use the targets; without it,
// the request could reserve the same targets repeatedly and hold them past any
// expiry.
const reservationCooldown = 100 * time.Millisecond

// maxCooldowns bounds the number of requests whose cooldown is stored.
const maxCooldowns = 1024

// blockedTTL is the time after its last attempt for which a blocked request keeps
// other requests from reserving targets.
const blockedTTL = 5 * time.Second

// blockedRequest is a request that can't reserve targets until other reservations
// end. It takes precedence for the next reservation, since small gangs could
// otherwise starve a large one.
type blockedRequest struct {
	key         descriptor.Key
	lastAttempt time.Time
}

// Reservations returns the reservations that have not expired at the given time,
// ordered by start.
func (p *Packer) Reservations(now time.Time) []Reservation {
	p.removeExpired(now)
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]Reservation, 0, len(p.reservations))
	for _, r := range p.reservations {
		out := Reservation{Key: r.key, Start: r.start, Expiry: r.expiry, Targets: make(map[descriptor.TargetID]int)}
		for _, t := range r.targets {
			out.Targets[t.entry.target.ID] = t.tasks
		}
		all = append(all, out)
	}
	slices.SortFunc(all, func(a, b Reservation) int { return a.Start.Compare(b.Start) })
	return all
}

// CancelReservation implements Policy.
func (p *Packer) CancelReservation(key descriptor.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWaiting(key)
}

// removeWaiting removes the reservation, precedence and cooldown of a request. The
// caller must hold the write lock of the packer.
func (p *Packer) removeWaiting(key descriptor.Key) {
	if p.blocked.key == key {
		p.blocked = blockedRequest{}
	}
	delete(p.cooldowns, key)
	if r := p.reservations[key]; r != nil {
		p.removeReservation(r)
	}
}

// removeReservation makes the targets of a reservation available to all tasks.
func (p *Packer) removeReservation(r *reservation) {
	delete(p.reservations, r.key)
	for _, t := range r.targets {
		t.entry.reserved = nil
		p.updateIndex(t.entry)
	}
	p.reservedTargets = slices.DeleteFunc(p.reservedTargets, func(e *targetEntry) bool { return e.reserved == nil })
	p.nextExpiry, p.nextPlan = time.Time{}, time.Time{}
	for _, other := range p.reservations {
		p.scheduleExpiry(other.expiry)
	}
}

// scheduleExpiry lowers nextExpiry to the given time if that is earlier.
func (p *Packer) scheduleExpiry(expiry time.Time) {
	if p.nextExpiry.IsZero() || expiry.Before(p.nextExpiry) {
		p.nextExpiry = expiry
	}
}

// removeExpired removes expired reservations and starts the cooldown of their
// requests.
func (p *Packer) removeExpired(now time.Time) {
	p.mu.RLock()
	due := !p.nextExpiry.IsZero() && !now.Before(p.nextExpiry)
	p.mu.RUnlock()
	if !due {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reservations {
		if !now.Before(r.expiry) {
			p.removeReservation(r)
			p.startCooldown(now, r.key)
		}
	}
}

// startCooldown keeps the request from reserving for reservationCooldown.
func (p *Packer) startCooldown(now time.Time, key descriptor.Key) {
	if len(p.cooldowns) >= maxCooldowns {
		clear(p.cooldowns)
	}
	p.cooldowns[key] = now.Add(reservationCooldown)
}

// backfill places a single task on a reserved target if the task is expected to
// end before the reservation starts or leaves enough capacity for it.
func (p *Packer) backfill(task runningTask, avoid []descriptor.TargetID) (descriptor.TargetID, bool) {
	for _, e := range p.reservedTargets {
		if e.state != Placeable || isAvoided(e, avoid) {
			continue
		}
		if p.backfillOn(e, task) {
			return e.target.ID, true
		}
	}
	return "", false
}

func (p *Packer) backfillOn(e *targetEntry, task runningTask) bool {
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	if !task.need.Fits(e.free()) {
		return false
	}
	if task.end > timestampOf(e.reserved.reservation.start) {
		if !task.need.Fits(e.reserved.spare) {
			return false
		}
		e.reserved.spare = e.reserved.spare.Sub(task.need)
	}
	p.allocate(e, task)
	return true
}
