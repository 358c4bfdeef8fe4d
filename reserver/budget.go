// Package reserver limits the memory and the connections that the clients of a server hold.
// When a limit is reached, clients that stall give way to others.
package reserver

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is the time that a client may be behind minRate, or send nothing, before
	// others may displace it.
	stallTime = 250 * time.Millisecond
	// minRate is the rate in bytes a second below which a client is behind.
	minRate = 32 << 10
	// smallBytes is the size of reservations that may use the whole budget. Larger ones
	// leave smallShare of it.
	smallBytes = 32 << 10
	smallShare = 0.25
)

// Budget limits the bytes that requests in progress hold. Its exported fields must be set
// before the first reservation.
type Budget struct {
	Bytes int64            // 0 means no limit
	Now   func() time.Time // nil means time.Now

	mu        sync.Mutex
	used      int64
	receiving map[*Reservation]struct{} // may be displaced
}

// Reservation is the part of a Budget that one request holds. Its methods, except
// Received, must be called from one goroutine.
type Reservation struct {
	budget    *Budget
	bytes     int64 // guarded by budget.mu
	displaced bool  // guarded by budget.mu
	displace  func()
	started   time.Time
	received  atomic.Int64
	lastRead  atomic.Int64 // time after started, ns
}

func (b *Budget) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// Reserve returns a reservation of n bytes for a request that is being received, or nil if
// there is no room. A request that is alone gets room for any size. displace is called at
// most once, and not after Settle or Close, if the client stalls and others need the room.
// It must not block or use the budget.
func (b *Budget) Reserve(n int64, displace func()) *Reservation {
	now := b.now()
	r := &Reservation{budget: b, displace: displace, started: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.makeRoom(r, n, now) {
		return nil
	}
	if b.receiving == nil {
		b.receiving = make(map[*Reservation]struct{})
	}
	b.receiving[r] = struct{}{}
	return r
}

// Grow adds n bytes to the reservation, and reports whether there was room.
func (r *Reservation) Grow(n int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return !r.displaced && r.budget.makeRoom(r, n, r.budget.now())
}

// Shrink returns n bytes.
func (r *Reservation) Shrink(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.displaced {
		r.bytes -= n
		r.budget.used -= n
	}
}

// Received notes that n bytes have arrived from the client.
func (r *Reservation) Received(n int) {
	r.received.Add(int64(n))
	r.lastRead.Store(int64(r.budget.now().Sub(r.started)))
}

// Settle ends the receiving of the request. It reports false if the request was displaced.
func (r *Reservation) Settle() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.receiving, r)
	return !r.displaced
}

// Close returns all bytes.
func (r *Reservation) Close() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.remove(r)
}

// DisplaceStalled displaces the request that has stalled most, and reports whether there
// was one.
func (b *Budget) DisplaceStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.displaceStalled(nil, b.now())
}

// makeRoom adds n bytes to r, and displaces others if necessary. b.mu must be held.
func (b *Budget) makeRoom(r *Reservation, n int64, now time.Time) bool {
	limit := b.Bytes
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if r.bytes+n > smallBytes {
		limit -= int64(smallShare * float64(limit))
	}
	for b.used+n > limit && b.used > r.bytes {
		if !b.displaceStalled(r, now) {
			return false
		}
	}
	r.bytes += n
	b.used += n
	return true
}

// displaceStalled displaces the request other than r that has stalled most. b.mu must be
// held.
func (b *Budget) displaceStalled(r *Reservation, now time.Time) bool {
	var worst *Reservation
	longest := stallTime
	for other := range b.receiving {
		if d := other.stalledFor(now); other != r && d > longest {
			worst, longest = other, d
		}
	}
	if worst == nil {
		return false
	}
	b.remove(worst)
	worst.displaced = true
	worst.displace()
	return true
}

// stalledFor returns the time for which the client has sent nothing, or by which it is
// behind minRate, whichever is longer.
func (r *Reservation) stalledFor(now time.Time) time.Duration {
	age := now.Sub(r.started)
	return max(age-time.Duration(r.received.Load())*time.Second/minRate, age-time.Duration(r.lastRead.Load()))
}

// remove returns the bytes of r. b.mu must be held.
func (b *Budget) remove(r *Reservation) {
	delete(b.receiving, r)
	b.used -= r.bytes
	r.bytes = 0
}
