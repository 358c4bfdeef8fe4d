package scheduler

import (
	"container/heap"
	"math/bits"
	"time"
)

// dueStep is the resolution of the index. It is short against deadlines of
// seconds.
const dueStep = 20 * time.Millisecond

// dueIndex finds waiting requests by a time. Adding and removing cost O(1):
// requests are kept in buckets, and only the buckets are ordered.
type dueIndex struct {
	buckets map[int64]*dueBucket
	order   dueHeap
}

type dueBucket struct {
	slot  int64
	first *dueLink
}

// dueLink is a record's place in an index.
type dueLink struct {
	rec        *Record
	at         time.Time
	bucket     *dueBucket
	prev, next *dueLink
}

func newDueIndex() *dueIndex { return &dueIndex{buckets: map[int64]*dueBucket{}} }

// add keeps the link under its time, rounded down. Far times are rounded more
// coarsely, so that the number of buckets stays small; visit rounds them anew
// when they come near.
func (x *dueIndex) add(l *dueLink, now time.Time) {
	const fineness = 32 // buckets per doubling of the distance
	slot := l.at.UnixNano() / int64(dueStep)
	if distance := int64(l.at.Sub(now) / dueStep); distance > fineness {
		slot &^= 1<<(bits.Len64(uint64(distance/fineness))-1) - 1
	}
	b, ok := x.buckets[slot]
	if !ok {
		b = &dueBucket{slot: slot}
		x.buckets[slot] = b
		heap.Push(&x.order, b)
	}
	l.bucket, l.prev, l.next = b, nil, b.first
	if b.first != nil {
		b.first.prev = l
	}
	b.first = l
}

func (x *dueIndex) remove(l *dueLink) {
	if l.bucket == nil {
		return
	}
	if l.prev == nil {
		l.bucket.first = l.next
	} else {
		l.prev.next = l.next
	}
	if l.next != nil {
		l.next.prev = l.prev
	}
	l.bucket, l.prev, l.next = nil, nil, nil
}

// visit calls f for the records due before the given time, the earliest bucket
// first, until f returns false. f may remove the record.
func (x *dueIndex) visit(now, before time.Time, f func(*Record) bool) {
	limit := before.UnixNano() / int64(dueStep)
	var kept []*dueBucket
	for more := true; more && len(x.order) > 0 && x.order[0].slot < limit; {
		b := x.order[0]
		for l := b.first; l != nil && more; {
			next := l.next
			if l.at.Before(before) {
				more = f(l.rec)
			} else {
				x.remove(l)
				x.add(l, now)
			}
			l = next
		}
		heap.Pop(&x.order)
		if b.first == nil {
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
