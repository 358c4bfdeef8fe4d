package placer

import (
	"fmt"

	"github.com/masticlead/masticlead/descriptor"
)

// targetUsage is a target with its resource usage. used may exceed capacity after
// AddRunning or a reduction of the capacity; Place then skips the target.
type targetUsage struct {
	state    TargetState
	used     descriptor.Resources
	capacity descriptor.Resources
	target   descriptor.Target
}

func (u *targetUsage) free() descriptor.Resources { return u.capacity.Sub(u.used) }

// clampToZero returns r with negative amounts set to zero.
func clampToZero(r descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{
		CPU: max(r.CPU, 0), Memory: max(r.Memory, 0),
		Accelerators: max(r.Accelerators, 0), Slots: max(r.Slots, 0),
	}
}

// taskCount returns the number of tasks of r, at least 1.
func taskCount(r *descriptor.Request) int { return max(r.Tasks, 1) }

// fitCount returns how many tasks of the given size fit into free, capped at limit.
func fitCount(task, free descriptor.Resources, limit int) int {
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

// tooLargeReason returns the reason why no single target can run the task. The
// amounts in largest may come from different targets.
func tooLargeReason(task, largest descriptor.Resources) string {
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

// tooManyTasksReason returns the reason why the empty cell can't run all tasks of a
// gang at once.
func tooManyTasksReason(tasks, maxTasks int) string {
	return fmt.Sprintf("needs %d tasks at once; the whole cell holds at most %d", tasks, maxTasks)
}

// maxResources returns the larger amount of each resource.
func maxResources(a, b descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{
		CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}
