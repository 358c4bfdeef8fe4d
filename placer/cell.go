package placer

import (
	"sync"

	"github.com/masticlead/masticlead/descriptor"
)

// maxHeldMemo bounds the sizes of tasks whose count is remembered.
const maxHeldMemo = 4096

// cell holds the sums over all targets and answers what can never run.
type cell struct {
	mu sync.Mutex
	// capacity and used are the sums over the placeable targets.
	capacity, used descriptor.Resources
	// all is the sum over all targets, whatever their state.
	all   descriptor.Resources
	count int
	// shapes counts the targets of each capacity in each shard.
	shapes []map[descriptor.Resources]int
	// tree holds the largest capacities of each shard.
	tree *maxTree
	// held remembers how many tasks of a size the whole empty cell can hold.
	// It is cleared when a capacity changes.
	held map[descriptor.Resources]int
}

func newCell() cell {
	return cell{tree: &maxTree{}, held: make(map[descriptor.Resources]int)}
}

// grow makes room for n shards.
func (c *cell) grow(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.shapes) < n {
		c.shapes = append(c.shapes, make(map[descriptor.Resources]int))
	}
	c.tree.grow(n)
}

// add adds the slot to the sums.
func (c *cell) add(s *slot) { c.change(s, 1) }

// remove takes the slot out of the sums.
func (c *cell) remove(s *slot) { c.change(s, -1) }

func (c *cell) change(s *slot, sign int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += sign
	c.all = c.all.Add(s.capacity.Scale(sign))
	if s.state == Placeable {
		c.capacity = c.capacity.Add(s.capacity.Scale(sign))
		c.used = c.used.Add(s.used.Scale(sign))
	}
	clear(c.held)
	shapes := c.shapes[s.shard.index]
	before := shapes[s.capacity]
	shapes[s.capacity] += sign
	if before > 0 && before+sign > 0 {
		return // the set of capacities is the same
	}
	if before+sign == 0 {
		delete(shapes, s.capacity)
	}
	largest := closed
	for shape := range shapes {
		largest = maxOf(largest, shape)
	}
	c.tree.set(s.shard.index, largest)
}

// use adds r to what is in use on the slot.
func (c *cell) use(s *slot, r descriptor.Resources) {
	if s.state != Placeable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used.Add(r)
}

// weights returns the weights for the present use of the cell.
func (c *cell) weights() weights {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newWeights(c.all, c.used, c.count)
}

func (c *cell) totals() (capacity, used descriptor.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capacity, c.used
}

// holds returns how many tasks of the given size the empty cell can hold, at
// most limit. It visits shards only until the limit is reached; a smaller
// answer needs all of them and is remembered.
func (c *cell) holds(task descriptor.Resources, limit int) int {
	if held, ok := c.held[task]; ok {
		return min(held, limit)
	}
	held := 0
	for i := c.tree.next(0, task); i >= 0; i = c.tree.next(i+1, task) {
		for shape, n := range c.shapes[i] {
			held += n * copies(task, shape, limit)
		}
		if held >= limit {
			return limit
		}
	}
	if len(c.held) >= maxHeldMemo {
		clear(c.held)
	}
	c.held[task] = held
	return held
}

// neverFits returns the reason why the request can't run on the empty cell.
func (c *cell) neverFits(r *descriptor.Request) string {
	task, tasks := r.Resources, taskCount(r)
	if task.IsNegative() {
		return "needs a negative amount of a resource"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		return ""
	}
	largest := c.tree.root()
	if !task.Fits(largest) {
		return tooLarge(task, largest)
	}
	switch held := c.holds(task, tasks); {
	case held >= tasks:
		return ""
	case held == 0:
		return tooLarge(task, largest)
	default:
		return tooMany(tasks, held)
	}
}

// NeverFits implements Policy. Without any target nothing is known to be too
// large. It takes time logarithmic in the number of targets, but for the first
// question about a size of which the largest amounts exist only on different
// targets, or that a gang needs more often than the cell can hold: that one is
// linear, and its answer is remembered until a capacity changes.
func (p *Packer) NeverFits(r *descriptor.Request) string { return p.cell.neverFits(r) }
