package placer

import (
	"sync"

	"github.com/masticlead/masticlead/descriptor"
)

// unavailable is the free capacity in the index of a target that accepts no tasks.
// No task fits it, not even one that needs no resources.
var unavailable = descriptor.Resources{CPU: -1, Memory: -1, Accelerators: -1, Slots: -1}

// maxTree is a tournament tree over the shards. Each inner node holds the maximum
// of each resource in its subtree, so that next skips shards that can't fit a
// task. The maxima may come from different targets, so a shard that next returns
// may still have no suitable target. Updates and queries take logarithmic time in
// the number of shards.
type maxTree struct {
	mu sync.Mutex
	// max is a complete binary tree: the children of node i are 2i and 2i+1, and
	// the leaves start at index leaves.
	max    []descriptor.Resources
	leaves int
}

// grow extends the tree to at least n leaves.
func (t *maxTree) grow(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n <= t.leaves {
		return
	}
	size := max(t.leaves, 1)
	for size < n {
		size *= 2
	}
	old := t.max
	t.max = make([]descriptor.Resources, 2*size)
	for i := range t.max {
		t.max[i] = unavailable
	}
	if t.leaves > 0 {
		copy(t.max[size:], old[t.leaves:])
	}
	t.leaves = size
	for i := size - 1; i > 0; i-- {
		t.max[i] = maxResources(t.max[2*i], t.max[2*i+1])
	}
}

// set updates the amounts of one leaf and its ancestors.
func (t *maxTree) set(leaf int, r descriptor.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.leaves + leaf
	t.max[i] = r
	for i /= 2; i > 0; i /= 2 {
		m := maxResources(t.max[2*i], t.max[2*i+1])
		if m == t.max[i] {
			return
		}
		t.max[i] = m
	}
}

// root returns the maximum of each resource over all shards.
func (t *maxTree) root() descriptor.Resources {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaves == 0 {
		return unavailable
	}
	return t.max[1]
}

// next returns the first leaf at or after from that may fit need, or -1.
func (t *maxTree) next(from int, need descriptor.Resources) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from >= t.leaves {
		return -1
	}
	i := t.leaves + from
	for {
		switch {
		case need.Fits(t.max[i]) && i >= t.leaves:
			return i - t.leaves
		case need.Fits(t.max[i]):
			i *= 2 // descend to the leftmost leaf of the subtree
			continue
		}
		for i&1 == 1 { // i is a right child, so the subtree of its parent is done
			if i /= 2; i <= 1 {
				return -1
			}
		}
		if i == 0 {
			return -1
		}
		i++
	}
}
