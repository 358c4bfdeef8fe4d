package placer

import (
	"sync"

	"github.com/masticlead/masticlead/descriptor"
)

// closed is the free capacity that the index shows for a target that takes no
// work. No demand fits it, not even an empty one.
var closed = descriptor.Resources{CPU: -1, Memory: -1, Accelerators: -1, Slots: -1}

// maxTree is a tournament tree over the shards. Each inner node holds the
// largest amount of each resource below it, so next skips all shards that
// certainly lack room. The amounts may come from different targets: a shard
// that next returns may still have no room. Changes and queries take time
// logarithmic in the number of shards.
type maxTree struct {
	mu sync.Mutex
	// max is a complete binary tree: the children of i are 2i and 2i+1, the
	// leaves start at leaves.
	max    []descriptor.Resources
	leaves int
}

// grow makes room for at least n leaves.
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
		t.max[i] = closed
	}
	if t.leaves > 0 {
		copy(t.max[size:], old[t.leaves:])
	}
	t.leaves = size
	for i := size - 1; i > 0; i-- {
		t.max[i] = maxOf(t.max[2*i], t.max[2*i+1])
	}
}

// set changes the amounts of one leaf.
func (t *maxTree) set(leaf int, r descriptor.Resources) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.leaves + leaf
	t.max[i] = r
	for i /= 2; i > 0; i /= 2 {
		m := maxOf(t.max[2*i], t.max[2*i+1])
		if m == t.max[i] {
			return
		}
		t.max[i] = m
	}
}

// root returns the largest amount of each resource.
func (t *maxTree) root() descriptor.Resources {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaves == 0 {
		return closed
	}
	return t.max[1]
}

// next returns the first leaf at or after from that may have room for need, or -1.
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
			i *= 2 // the first leaf is below
			continue
		}
		for i&1 == 1 { // i is a right child: everything below its parent is done
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
