package placer

import (
	"cmp"
	"slices"
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
	// shapes counts the targets of each capacity.
	shapes map[descriptor.Resources]int
	// frontier and largest are built from shapes when changed is set.
	frontier []step
	largest  descriptor.Resources
	changed  bool
	// held remembers how many tasks of a size the whole empty cell can hold.
	// It is cleared when a capacity changes.
	held map[descriptor.Resources]int
}

// step holds the capacities of equal accelerators and slots: the processors in
// rising order, and for each the most memory of the targets that have at least
// as many processors.
type step struct {
	accelerators, slots int
	cpu                 []descriptor.MilliCPU
	memory              []descriptor.MiB
}

func newCell() cell {
	return cell{shapes: make(map[descriptor.Resources]int), held: make(map[descriptor.Resources]int)}
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
	before := c.shapes[s.capacity]
	if c.shapes[s.capacity] += sign; before+sign == 0 {
		delete(c.shapes, s.capacity)
	}
	c.changed = c.changed || before == 0 || before+sign == 0
}

// build makes the frontier from the capacities.
func (c *cell) build() {
	c.changed, c.frontier, c.largest = false, nil, closed
	shapes := make([]descriptor.Resources, 0, len(c.shapes))
	for shape := range c.shapes {
		shapes = append(shapes, shape)
		c.largest = maxOf(c.largest, shape)
	}
	slices.SortFunc(shapes, func(a, b descriptor.Resources) int {
		return cmp.Or(
			cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Slots, b.Slots),
			cmp.Compare(a.CPU, b.CPU),
		)
	})
	for _, r := range shapes {
		last := len(c.frontier) - 1
		if last < 0 || c.frontier[last].accelerators != r.Accelerators || c.frontier[last].slots != r.Slots {
			c.frontier = append(c.frontier, step{accelerators: r.Accelerators, slots: r.Slots})
			last++
		}
		s := &c.frontier[last]
		s.cpu, s.memory = append(s.cpu, r.CPU), append(s.memory, r.Memory)
	}
	for _, s := range c.frontier {
		for i := len(s.memory) - 2; i >= 0; i-- {
			s.memory[i] = max(s.memory[i], s.memory[i+1])
		}
	}
}

// fits reports whether some target can hold the task when it is empty.
func (c *cell) fits(task descriptor.Resources) bool {
	for _, s := range c.frontier {
		if s.accelerators < task.Accelerators || s.slots < task.Slots {
			continue
		}
		if i, _ := slices.BinarySearch(s.cpu, task.CPU); i < len(s.cpu) && s.memory[i] >= task.Memory {
			return true
		}
	}
	return false
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

// largeShare is the fraction of a mean target from which a single task may
// reserve a target. Small work would take every smaller part that becomes free.
const largeShare = 0.5

// isLarge reports whether a single task may reserve a target.
func (c *cell) isLarge(task descriptor.Resources) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return task.Scale(c.count).DominantShare(c.all) >= largeShare
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
// most limit. A smaller answer is remembered.
func (c *cell) holds(task descriptor.Resources, limit int) int {
	if held, ok := c.held[task]; ok {
		return min(held, limit)
	}
	held := 0
	for shape, n := range c.shapes {
		if held += n * copies(task, shape, limit); held >= limit {
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
	if c.changed {
		c.build()
	}
	if !c.fits(task) {
		return tooLarge(task, c.largest)
	}
	if tasks == 1 {
		return ""
	}
	most := copies(task, c.all, tasks) // as if all targets were one
	if most == tasks {
		most = c.holds(task, tasks)
	}
	if most < tasks {
		return tooMany(tasks, most)
	}
	return ""
}

// NeverFits implements Policy. Without any target nothing is known to be too
// large. A single task takes time logarithmic in the number of capacities for
// each combination of accelerators and slots, and a gang above the sum of the
// cell constant time. Other gangs take time linear in the number of different
// capacities at worst; a refusal is remembered. After a new capacity the first
// question sorts the capacities.
func (p *Packer) NeverFits(r *descriptor.Request) string { return p.cell.neverFits(r) }
