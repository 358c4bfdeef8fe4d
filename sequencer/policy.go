// Package sequencer decides the order in which waiting requests are served.
package sequencer

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Class groups the work that is placed alike. A class that can't be placed at
// the moment is skipped as a whole.
type Class struct {
	Kind     descriptor.KindName
	Priority descriptor.Priority
	// Long work runs many times longer than most.
	Long bool
}

// Lane returns the lane of the class, which is its priority and length.
func (c Class) Lane() Lane {
	l := Lane(c.Priority) * 2
	if c.Long {
		l++
	}
	return l
}

// Lane is a group of classes that share a weight.
type Lane uint8

// LaneCount is the number of lanes: three priorities, short and long.
const LaneCount = 6

// Item is a request that waits. T is what the owner of the queue attaches.
type Item[T any] struct {
	Value   T
	Team    descriptor.TeamID
	Caller  descriptor.CallerID
	Class   Class
	Arrived time.Time

	prev, next *Item[T]
	flow       *flow[T]
	queued     bool
}

// Queued reports whether the item waits.
func (it *Item[T]) Queued() bool { return it.queued }

// Policy orders waiting items. It is not safe for concurrent use.
//
// Items are taken in passes: Begin, then Peek and either Serve or SetAside or
// Block, as often as needed, then End.
type Policy[T any] interface {
	// SetRules takes over the weights and quotas.
	SetRules(r *descriptor.Rules)
	// Push adds an item.
	Push(it *Item[T])
	// Remove takes an item out, wherever it stands.
	Remove(it *Item[T])
	// Len returns the number of items.
	Len() int

	// Serve takes out an item that starts now.
	Serve(it *Item[T])

	// Begin starts a pass.
	Begin()
	// Peek returns the next item, or nil.
	Peek() *Item[T]
	// SetAside skips the item's caller in its class for the rest of the pass.
	SetAside(it *Item[T])
	// Block skips a class for the rest of the pass.
	Block(c Class)
	// End ends the pass.
	End()

	// Charge adds work, in fractions of the capacity times seconds, to what the
	// caller and its team have used. It is called with an estimate when work
	// starts and with the positive or negative difference when it ends.
	Charge(team descriptor.TeamID, caller descriptor.CallerID, c Class, work float64)
	// SetUsage says which fraction of the capacity a team uses now.
	SetUsage(team descriptor.TeamID, share float64)
	// Share returns the fraction of the class's service that the caller gets if it
	// and all that wait now keep waiting.
	Share(team descriptor.TeamID, caller descriptor.CallerID, c Class) float64
	// OverQuota reports whether the team uses as much as it is entitled to.
	OverQuota(team descriptor.TeamID) bool
}

// Arrival is the plain baseline: first come, first served. An item that can't
// be placed holds up all later ones.
type Arrival[T any] struct {
	first, last *Item[T]
	n           int
	blocked     bool
}

// NewArrival returns an empty queue.
func NewArrival[T any]() *Arrival[T] { return &Arrival[T]{} }

// SetRules does nothing.
func (*Arrival[T]) SetRules(*descriptor.Rules) {}

// Push appends an item.
func (q *Arrival[T]) Push(it *Item[T]) {
	it.prev, it.next, it.queued = q.last, nil, true
	if q.last == nil {
		q.first = it
	} else {
		q.last.next = it
	}
	q.last = it
	q.n++
}

// Remove takes an item out.
func (q *Arrival[T]) Remove(it *Item[T]) {
	if !it.queued {
		return
	}
	if it.prev == nil {
		q.first = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		q.last = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next, it.queued = nil, nil, false
	q.n--
}

// Serve takes an item out.
func (q *Arrival[T]) Serve(it *Item[T]) { q.Remove(it) }

// Len returns the number of items.
func (q *Arrival[T]) Len() int { return q.n }

// Begin starts a pass.
func (q *Arrival[T]) Begin() { q.blocked = false }

// Peek returns the oldest item.
func (q *Arrival[T]) Peek() *Item[T] {
	if q.blocked {
		return nil
	}
	return q.first
}

// SetAside ends the pass, since later items don't overtake.
func (q *Arrival[T]) SetAside(*Item[T]) { q.blocked = true }

// Block ends the pass, since later items don't overtake.
func (q *Arrival[T]) Block(Class) { q.blocked = true }

// End does nothing.
func (*Arrival[T]) End() {}

// Charge does nothing.
func (*Arrival[T]) Charge(descriptor.TeamID, descriptor.CallerID, Class, float64) {}

// SetUsage does nothing.
func (*Arrival[T]) SetUsage(descriptor.TeamID, float64) {}

// Share returns 1.
func (*Arrival[T]) Share(descriptor.TeamID, descriptor.CallerID, Class) float64 { return 1 }

// OverQuota returns false.
func (*Arrival[T]) OverQuota(descriptor.TeamID) bool { return false }
