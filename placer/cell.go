package placer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/masticlead/masticlead/descriptor"
)

// maxCachedSizes bounds the number of task sizes in cell.maxTasksCache.
const maxCachedSizes = 4096

// cell aggregates the capacity of all targets and detects requests that can
// never run.
type cell struct {
	mu sync.Mutex
	// placeableCapacity and placeableUsed are the sums over placeable targets.
	placeableCapacity, placeableUsed descriptor.Resources
	// totalCapacity is the sum over all targets in any state.
	totalCapacity descriptor.Resources
	targetCount   int
	// capacityCounts holds the number of targets of each capacity.
	capacityCounts map[descriptor.Resources]int
	// frontier and maxCapacity are rebuilt from capacityCounts if frontierStale
	// is set.
	frontier      []frontierGroup
	maxCapacity   descriptor.Resources
	frontierStale bool
	// maxTasksCache holds the number of tasks of a size that the empty cell can
	// run at once. It is cleared when a target changes.
	maxTasksCache map[descriptor.Resources]int
}

// frontierGroup holds the CPU and memory capacities of the targets with equal
// accelerators and slots. cpu is sorted in ascending order; memory[i] is the
// largest memory of the targets that have at least cpu[i].
type frontierGroup struct {
	accelerators, slots int
	cpu                 []descriptor.MilliCPU
	memory              []descriptor.MiB
}

func newCell() cell {
	return cell{capacityCounts: make(map[descriptor.Resources]int), maxTasksCache: make(map[descriptor.Resources]int)}
}

func (c *cell) add(e *targetEntry) { c.update(e, 1) }

func (c *cell) remove(e *targetEntry) { c.update(e, -1) }

// update adds the target to the totals if sign is 1 and subtracts it if sign is
// -1.
func (c *cell) update(e *targetEntry, sign int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetCount += sign
	c.totalCapacity = c.totalCapacity.Add(e.capacity.Scale(sign))
	if e.state == Placeable {
		c.placeableCapacity = c.placeableCapacity.Add(e.capacity.Scale(sign))
		c.placeableUsed = c.placeableUsed.Add(e.used.Scale(sign))
	}
	clear(c.maxTasksCache)
	previous := c.capacityCounts[e.capacity]
	if c.capacityCounts[e.capacity] += sign; previous+sign == 0 {
		delete(c.capacityCounts, e.capacity)
	}
	c.frontierStale = c.frontierStale || previous == 0 || previous+sign == 0
}

// buildFrontier rebuilds frontier and maxCapacity.
func (c *cell) buildFrontier() {
	c.frontierStale, c.frontier, c.maxCapacity = false, nil, unavailable
	capacities := make([]descriptor.Resources, 0, len(c.capacityCounts))
	for capacity := range c.capacityCounts {
		capacities = append(capacities, capacity)
		c.maxCapacity = maxResources(c.maxCapacity, capacity)
	}
	slices.SortFunc(capacities, func(a, b descriptor.Resources) int {
		return cmp.Or(
			cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Slots, b.Slots),
			cmp.Compare(a.CPU, b.CPU),
		)
	})
	for _, r := range capacities {
		last := len(c.frontier) - 1
		if last < 0 || c.frontier[last].accelerators != r.Accelerators || c.frontier[last].slots != r.Slots {
			c.frontier = append(c.frontier, frontierGroup{accelerators: r.Accelerators, slots: r.Slots})
			last++
		}
		g := &c.frontier[last]
		g.cpu, g.memory = append(g.cpu, r.CPU), append(g.memory, r.Memory)
	}
	for _, g := range c.frontier {
		for i := len(g.memory) - 2; i >= 0; i-- {
			g.memory[i] = max(g.memory[i], g.memory[i+1])
		}
	}
}

// fitsEmptyTarget reports whether any target can run the task when it is empty.
// The frontier must be up to date.
func (c *cell) fitsEmptyTarget(task descriptor.Resources) bool {
	for _, g := range c.frontier {
		if g.accelerators < task.Accelerators || g.slots < task.Slots {
			continue
		}
		if i, _ := slices.BinarySearch(g.cpu, task.CPU); i < len(g.cpu) && g.memory[i] >= task.Memory {
			return true
		}
	}
	return false
}

// addUsed adds r to the resources in use on the target. Amounts may be negative.
func (c *cell) addUsed(e *targetEntry, r descriptor.Resources) {
	if e.state != Placeable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placeableUsed = c.placeableUsed.Add(r)
}

// largeTaskFraction is the fraction of the mean target capacity from which a
// single task may reserve a target. Without a reservation, small tasks would take
// all capacity as it becomes free and starve the large one.
const largeTaskFraction = 0.5

// isLargeTask reports whether a single task may reserve a target.
func (c *cell) isLargeTask(task descriptor.Resources) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return task.Scale(c.targetCount).DominantShare(c.totalCapacity) >= largeTaskFraction
}

// weights returns the weights for the current usage of the cell.
func (c *cell) weights() weights {
	c.mu.Lock()
	defer c.mu.Unlock()
	return newWeights(c.totalCapacity, c.placeableUsed, c.targetCount)
}

// totals returns the capacity and usage of the placeable targets.
func (c *cell) totals() (capacity, used descriptor.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placeableCapacity, c.placeableUsed
}

// maxTasks returns how many tasks of the given size the empty cell can run at
// once, capped at limit. Results below limit are cached.
func (c *cell) maxTasks(task descriptor.Resources, limit int) int {
	if cached, ok := c.maxTasksCache[task]; ok {
		return min(cached, limit)
	}
	total := 0
	for capacity, n := range c.capacityCounts {
		if total += n * fitCount(task, capacity, limit); total >= limit {
			return limit
		}
	}
	if len(c.maxTasksCache) >= maxCachedSizes {
		clear(c.maxTasksCache)
	}
	c.maxTasksCache[task] = total
	return total
}

// neverFits returns the reason why the request can't run on the empty cell, or ""
// if it can.
func (c *cell) neverFits(r *descriptor.Request) string {
	task, tasks := r.Resources, taskCount(r)
	if task.IsNegative() {
		return "needs a negative amount of a resource"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.targetCount == 0 {
		return ""
	}
	if c.frontierStale {
		c.buildFrontier()
	}
	if !c.fitsEmptyTarget(task) {
		return tooLargeReason(task, c.maxCapacity)
	}
	if tasks == 1 {
		return ""
	}
	maxTasks := fitCount(task, c.totalCapacity, tasks) // upper bound, treats the cell as one target
	if maxTasks == tasks {
		maxTasks = c.maxTasks(task, tasks)
	}
	if maxTasks < tasks {
		return tooManyTasksReason(tasks, maxTasks)
	}
	return ""
}

// NeverFits implements Policy. It accepts any request while there are no targets.
// The check of the task size takes logarithmic time in the number of distinct
// capacities for each combination of accelerators and slots. For a gang, exceeding
// the total capacity of the cell is detected in constant time; otherwise the check
// takes at most linear time in the number of distinct capacities, and refusals are
// cached. The first call after the set of distinct capacities has changed sorts
// them.
func (p *Packer) NeverFits(r *descriptor.Request) string { return p.cell.neverFits(r) }
