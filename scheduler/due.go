package scheduler

import (
	"container/heap"
	"math/bits"
	"time"
)

// dueResolution is the time resolution of a dueIndex. It is small compared with
// deadlines of seconds.
const dueResolution = 20 * time.Millisecond

// dueIndex finds waiting requests by due time. Requests are kept in unordered
// buckets and only the buckets are ordered, so that adding to an existing bucket
// and removing cost O(1).
type dueIndex struct {
	buckets map[int64]*dueBucket
	order   dueHeap
}

type dueBucket struct {
	slot int64
	head *dueEntry
}

// dueEntry is a record's entry in the linked list of a bucket.
type dueEntry struct {
	rec        *Record
	at         time.Time
	bucket     *dueBucket
	prev, next *dueEntry
}

func newDueIndex() *dueIndex { return &dueIndex{buckets: map[int64]*dueBucket{}} }

// add inserts the entry at its time, rounded down. Times further ahead are rounded
// more coarsely, which keeps the number of buckets small; visit rebuckets their
// entries when the bucket falls due.
func (x *dueIndex) add(e *dueEntry, now time.Time) {
	const bucketsPerDoubling = 32 // of the distance from now
	slot := e.at.UnixNano() / int64(dueResolution)
	if distance := int64(e.at.Sub(now) / dueResolution); distance > bucketsPerDoubling {
		slot &^= 1<<(bits.Len64(uint64(distance/bucketsPerDoubling))-1) - 1
	}
	b, ok := x.buckets[slot]
	if !ok {
		b = &dueBucket{slot: slot}
		x.buckets[slot] = b
		heap.Push(&x.order, b)
	}
	e.bucket, e.prev, e.next = b, nil, b.head
	if b.head != nil {
		b.head.prev = e
	}
	b.head = e
}

func (x *dueIndex) remove(e *dueEntry) {
	if e.bucket == nil {
		return
	}
	if e.prev == nil {
		e.bucket.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	}
	e.bucket, e.prev, e.next = nil, nil, nil
}

// visit calls f for the records due before the given time, in the order of their
// buckets, until f returns false. f may remove the record from the index.
func (x *dueIndex) visit(now, before time.Time, f func(*Record) bool) {
	limit := before.UnixNano() / int64(dueResolution)
	var kept []*dueBucket
	for more := true; more && len(x.order) > 0 && x.order[0].slot < limit; {
		b := x.order[0]
		for e := b.head; e != nil && more; {
			next := e.next
			if e.at.Before(before) {
				more = f(e.rec)
			} else {
				x.remove(e)
				x.add(e, now)
			}
			e = next
		}
		heap.Pop(&x.order)
		if b.head == nil {
			delete(x.buckets, b.slot)
		} else {
			kept = append(kept, b)
		}
	}
	for _, b := range kept {
		heap.Push(&x.order, b)
	}
}

type dueHeap []*dueBucket

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].slot < h[j].slot }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(*dueBucket)) }

func (h *dueHeap) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return b
}
