// Package sharer decides in which order waiting work of several tenants is tried, and
// which jobs are beyond their tenant's rate. It does no I/O and reads no clock.
package sharer

import (
	"cmp"
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// Item is a waiting step.
type Item struct {
	Excess   bool // its job is beyond its tenant's rate
	Priority int  // lower values are more urgent
	Lateness int  // lower values are ordered first
	Ready    int64
	Tenant   int         // index of its tenant
	Need     w.Resources // of all its waiting tasks
}

// Tenant is a tenant with waiting steps.
type Tenant struct {
	Weight float64
	Used   w.Resources // resources of its runs
}

// ShareWeight returns the weight of a tenant in the division of capacity: 1 for a weight
// that is not positive.
func ShareWeight(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// DominantShare returns the highest share of the capacity that the resources take in any
// dimension.
func DominantShare(r, capacity w.Resources) float64 {
	share := 0.0
	for _, d := range [...]struct{ used, capacity int64 }{{r.CPU, capacity.CPU}, {r.Mem, capacity.Mem}, {r.GPU, capacity.GPU}} {
		if d.capacity > 0 {
			share = max(share, float64(d.used)/float64(d.capacity))
		}
	}
	return share
}

// Sharer orders items. Its buffers are reused, so it must not be used concurrently.
type Sharer struct {
	sorted, ordered []int
	heap            []cursor
	tenants         []Tenant
	capacity        w.Resources
}

// cursor is the position in the items of one tenant within a group.
type cursor struct {
	tenant    int
	next, end int     // range of the remaining items in Sharer.sorted
	ready     int64   // of the next item
	share     float64 // weighted dominant share of the tenant
}

// Order returns the indexes of the items in the order in which they are to be tried:
// work within the rate first, then by priority, then by lateness. Within such a group,
// the tenant with the lowest weighted dominant share comes next, where what was ordered
// before counts as running, and its items come by the time at which they became ready.
// The result is valid until the next call.
func (s *Sharer) Order(items []Item, tenants []Tenant, capacity w.Resources) []int {
	s.sorted, s.ordered = s.sorted[:0], s.ordered[:0]
	s.tenants, s.capacity = append(s.tenants[:0], tenants...), capacity
	for i := range items {
		s.sorted = append(s.sorted, i)
	}
	slices.SortFunc(s.sorted, func(i, k int) int {
		a, b := &items[i], &items[k]
		return cmp.Or(compareGroup(a, b), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Ready, b.Ready), cmp.Compare(i, k))
	})
	for from := 0; from < len(s.sorted); {
		to := from + 1
		for to < len(s.sorted) && compareGroup(&items[s.sorted[from]], &items[s.sorted[to]]) == 0 {
			to++
		}
		s.orderGroup(items, from, to)
		from = to
	}
	return s.ordered
}

func compareGroup(a, b *Item) int {
	if a.Excess != b.Excess {
		if b.Excess {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Lateness, b.Lateness))
}

// orderGroup appends the items of s.sorted[from:to], which are sorted by tenant.
func (s *Sharer) orderGroup(items []Item, from, to int) {
	s.heap = s.heap[:0]
	for from < to {
		tenant, end := items[s.sorted[from]].Tenant, from+1
		for end < to && items[s.sorted[end]].Tenant == tenant {
			end++
		}
		s.heap = append(s.heap, cursor{tenant: tenant, next: from, end: end, ready: items[s.sorted[from]].Ready, share: s.weightedShare(tenant)})
		from = end
	}
	for i := len(s.heap)/2 - 1; i >= 0; i-- {
		s.siftDown(i)
	}
	for len(s.heap) > 0 {
		top := &s.heap[0]
		if len(s.heap) == 1 {
			// The order of a single tenant does not depend on its share.
			for _, i := range s.sorted[top.next:top.end] {
				s.take(items, i)
			}
			return
		}
		s.take(items, s.sorted[top.next])
		if top.next++; top.next == top.end {
			s.heap[0] = s.heap[len(s.heap)-1]
			s.heap = s.heap[:len(s.heap)-1]
		} else {
			top.ready, top.share = items[s.sorted[top.next]].Ready, s.weightedShare(top.tenant)
		}
		s.siftDown(0)
	}
}

// take appends an item to the order and adds its need to what its tenant uses.
func (s *Sharer) take(items []Item, i int) {
	s.ordered = append(s.ordered, i)
	t := &s.tenants[items[i].Tenant]
	t.Used = t.Used.Add(items[i].Need)
}

func (s *Sharer) weightedShare(tenant int) float64 {
	t := &s.tenants[tenant]
	return DominantShare(t.Used, s.capacity) / ShareWeight(t.Weight)
}

func (c *cursor) compare(o *cursor) int {
	return cmp.Or(cmp.Compare(c.share, o.share), cmp.Compare(c.ready, o.ready), cmp.Compare(c.tenant, o.tenant))
}

func (s *Sharer) siftDown(i int) {
	for {
		least := i
		for _, k := range [...]int{2*i + 1, 2*i + 2} {
			if k < len(s.heap) && s.heap[k].compare(&s.heap[least]) < 0 {
				least = k
			}
		}
		if least == i {
			return
		}
		s.heap[i], s.heap[least] = s.heap[least], s.heap[i]
		i = least
	}
}
