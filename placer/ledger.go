package placer

import (
	"fmt"

	"github.com/masticlead/masticlead/descriptor"
)

// node is a target with what is in use on it. Used may exceed the capacity
// after Take; Place then finds no room on it.
type node struct {
	state    TargetState
	used     descriptor.Resources
	capacity descriptor.Resources
	target   descriptor.Target
}

func (n *node) free() descriptor.Resources { return n.capacity.Sub(n.used) }

// clampZero returns r with every negative amount set to zero.
func clampZero(r descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{
		CPU: max(r.CPU, 0), Memory: max(r.Memory, 0),
		Accelerators: max(r.Accelerators, 0), Slots: max(r.Slots, 0),
	}
}

// taskCount returns the number of tasks of r, at least 1.
func taskCount(r *descriptor.Request) int { return max(r.Tasks, 1) }

// copies returns how many tasks of the given size fit into free, at most limit.
func copies(task, free descriptor.Resources, limit int) int {
	n := limit
	bound := func(need, have int64) {
		switch {
		case have < 0:
			n = 0
		case need > 0:
			n = min(n, int(min(have/need, int64(limit))))
		}
	}
	bound(int64(task.CPU), int64(free.CPU))
	bound(int64(task.Memory), int64(free.Memory))
	bound(int64(task.Accelerators), int64(free.Accelerators))
	bound(int64(task.Slots), int64(free.Slots))
	return n
}

// tooLarge names the resource of which no single target has enough. The largest
// amount of each resource may come from different targets.
func tooLarge(task, largest descriptor.Resources) string {
	switch {
	case task.Accelerators > 0 && largest.Accelerators == 0:
		return "no target has accelerators"
	case task.Accelerators > largest.Accelerators:
		return fmt.Sprintf("needs %d accelerators; the largest target has %d", task.Accelerators, largest.Accelerators)
	case task.CPU > largest.CPU:
		return fmt.Sprintf("needs %d cpuMilli; the largest target has %d", task.CPU, largest.CPU)
	case task.Memory > largest.Memory:
		return fmt.Sprintf("needs %d memoryMiB; the largest target has %d", task.Memory, largest.Memory)
	case task.Slots > largest.Slots:
		return fmt.Sprintf("needs %d slots; the largest target has %d", task.Slots, largest.Slots)
	}
	return "no single target has enough of all resources together"
}

// tooMany is the reason for a gang that the empty cell can't hold.
func tooMany(tasks, held int) string {
	return fmt.Sprintf("needs %d tasks at once; the whole cell holds at most %d", tasks, held)
}

// maxOf returns the larger amount of each resource.
func maxOf(a, b descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{
		CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}
