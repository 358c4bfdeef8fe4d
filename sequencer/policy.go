// Package sequencer implements the queueing policies that decide the order in
// which waiting requests are served.
package sequencer

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Class groups work that is placed in the same way. A class that can't be placed
// at the moment is skipped as a whole.
type Class struct {
	Kind     descriptor.KindName
	Priority descriptor.Priority
	// Long is set for work that runs many times longer than most.
	Long bool
}

// Lane returns the lane of the class, which depends on its priority and on
// whether it is long.
func (c Class) Lane() Lane {
	l := Lane(c.Priority) * 2
	if c.Long {
		l++
	}
	return l
}

// Lane is a group of classes that share a weight.
type Lane uint8

// LaneCount is the number of lanes: short and long for each of three priorities.
const LaneCount = 6

// Item is a request in the queue. Value is data that the owner of the queue
// attaches to it.
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

// Queued reports whether the item is in a queue.
func (it *Item[T]) Queued() bool { return it.queued }

// Policy orders waiting items. It is not safe for concurrent use.
//
// Items are taken in passes: call BeginPass, then Peek and one of Serve, SkipFlow
// and SkipClass as often as needed, then EndPass.
type Policy[T any] interface {
	// SetRules applies new weights and quotas.
	SetRules(r *descriptor.Rules)
	// Push adds an item.
	Push(it *Item[T])
	// Remove removes an item from any position. It does nothing if the item is
	// not queued.
	Remove(it *Item[T])
	// Len returns the number of queued items.
	Len() int

	// Serve removes an item that starts now.
	Serve(it *Item[T])

	// BeginPass starts a pass.
	BeginPass()
	// Peek returns the next item without removing it, or nil if there is none.
	Peek() *Item[T]
	// SkipFlow skips the items of the same caller and class for the rest of the
	// pass.
	SkipFlow(it *Item[T])
	// SkipClass skips a class for the rest of the pass.
	SkipClass(c Class)
	// EndPass ends the pass.
	EndPass()

	// Charge adds work to the accumulated usage of the caller and its team. The
	// unit is the fraction of the capacity times seconds. It is called with an
	// estimate when work starts, and with the positive or negative difference
	// between actual and estimated work when it ends.
	Charge(team descriptor.TeamID, caller descriptor.CallerID, c Class, work float64)
	// SetUsage sets the fraction of the capacity that a team uses now.
	SetUsage(team descriptor.TeamID, usage float64)
	// Share returns the fraction of the class's service that the caller gets if
	// it and all callers with queued items stay backlogged.
	Share(team descriptor.TeamID, caller descriptor.CallerID, c Class) float64
	// OverQuota reports whether the team's usage has reached its entitlement.
	OverQuota(team descriptor.TeamID) bool
}

// FIFO is a baseline policy that serves items in the order of arrival. An item
// that can't be placed blocks all later ones.
type FIFO[T any] struct {
	first, last *Item[T]
	n           int
	blocked     bool
}

// NewFIFO returns an empty queue.
func NewFIFO[T any]() *FIFO[T] { return &FIFO[T]{} }

// SetRules does nothing.
func (*FIFO[T]) SetRules(*descriptor.Rules) {}

// Push appends an item.
func (q *FIFO[T]) Push(it *Item[T]) {
	it.prev, it.next, it.queued = q.last, nil, true
	if q.last == nil {
		q.first = it
	} else {
		q.last.next = it
	}
	q.last = it
	q.n++
}

// Remove removes an item if it is queued.
func (q *FIFO[T]) Remove(it *Item[T]) {
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

// Serve removes an item.
func (q *FIFO[T]) Serve(it *Item[T]) { q.Remove(it) }

// Len returns the number of queued items.
func (q *FIFO[T]) Len() int { return q.n }

// BeginPass starts a pass.
func (q *FIFO[T]) BeginPass() { q.blocked = false }

// Peek returns the oldest item, or nil if the queue is empty or blocked in this
// pass.
func (q *FIFO[T]) Peek() *Item[T] {
	if q.blocked {
		return nil
	}
	return q.first
}

// SkipFlow blocks the queue for the rest of the pass, since later items must not
// overtake.
func (q *FIFO[T]) SkipFlow(*Item[T]) { q.blocked = true }

// SkipClass blocks the queue for the rest of the pass, since later items must
// not overtake.
func (q *FIFO[T]) SkipClass(Class) { q.blocked = true }

// EndPass does nothing.
func (*FIFO[T]) EndPass() {}

// Charge does nothing.
func (*FIFO[T]) Charge(descriptor.TeamID, descriptor.CallerID, Class, float64) {}

// SetUsage does nothing.
func (*FIFO[T]) SetUsage(descriptor.TeamID, float64) {}

// Share returns 1.
func (*FIFO[T]) Share(descriptor.TeamID, descriptor.CallerID, Class) float64 { return 1 }

// OverQuota returns false.
func (*FIFO[T]) OverQuota(descriptor.TeamID) bool { return false }
