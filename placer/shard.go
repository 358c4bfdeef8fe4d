package placer

import (
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// shardSize is the number of targets of a shard. A decision scores every target
// of one shard, so its cost doesn't depend on the number of targets; a larger
// shard packs more tightly and costs more.
const shardSize = 64

// runningTask is a task that counts as in use.
type runningTask struct {
	need descriptor.Resources
	// end is the estimated end; zero if it is unknown.
	end time.Time
	// endless marks a task of a service.
	endless bool
	// group is the service that the task belongs to.
	group groupID
}

// slot is a target in the index. It is guarded by the lock of its shard.
type slot struct {
	node
	shard *shard
	pos   int
	tasks []runningTask
	// held is the reservation that names this target, or nil. It changes only
	// under the exclusive lock of the packer.
	held *hold
}

// order numbers the slots.
func (s *slot) order() int { return s.shard.index*shardSize + s.pos }

// open reports whether the index may offer the slot to any work.
func (s *slot) open() bool { return s.state == Placeable && s.held == nil }

// add accounts for a task.
func (s *slot) add(task runningTask) {
	s.used = s.used.Add(task.need)
	s.tasks = append(s.tasks, task)
}

// drop gives back one task of the given size. Of several such tasks it takes
// the one that is expected to end first: which of them has ended only matters
// for the forecast.
func (s *slot) drop(need descriptor.Resources) runningTask {
	s.used = clampZero(s.used.Sub(need))
	found := -1
	for i := range s.tasks {
		if s.tasks[i].need == need && (found < 0 || endsBefore(&s.tasks[i], &s.tasks[found])) {
			found = i
		}
	}
	if found < 0 {
		return runningTask{}
	}
	task := s.tasks[found]
	last := len(s.tasks) - 1
	s.tasks[found] = s.tasks[last]
	s.tasks = s.tasks[:last]
	return task
}

// endsBefore orders tasks by their estimated end, services last.
func endsBefore(a, b *runningTask) bool {
	if a.endless != b.endless {
		return b.endless
	}
	return a.end.Before(b.end)
}

// shard is a group of targets with one lock.
type shard struct {
	mu    sync.Mutex
	index int
	// avail is the free capacity of each open target, and closed for the
	// others. It is kept apart from the slots so that a scan reads little memory.
	avail [shardSize]descriptor.Resources
	slots [shardSize]*slot
	// largest is the largest amount of each resource in avail.
	largest descriptor.Resources
}

func newShard(index int) *shard {
	sh := &shard{index: index, largest: closed}
	for i := range sh.avail {
		sh.avail[i] = closed
	}
	return sh
}

// refresh takes over a change of the slot at pos. It reports whether the
// largest amounts have changed.
func (sh *shard) refresh(pos int) bool {
	now := closed
	if s := sh.slots[pos]; s != nil && s.open() {
		now = s.free()
	}
	before := sh.avail[pos]
	sh.avail[pos] = now
	largest := maxOf(sh.largest, now)
	if touches(before, sh.largest) {
		largest = closed
		for i := range sh.avail {
			largest = maxOf(largest, sh.avail[i])
		}
	}
	changed := largest != sh.largest
	sh.largest = largest
	return changed
}

// touches reports whether r is the largest amount of any resource.
func touches(r, largest descriptor.Resources) bool {
	return r.CPU == largest.CPU || r.Memory == largest.Memory ||
		r.Accelerators == largest.Accelerators || r.Slots == largest.Slots
}

// best returns the slot that fits the task best, or nil.
func (sh *shard) best(need descriptor.Resources, avoid []descriptor.TargetID, w *weights) *slot {
	found, least := -1, 0.0
	for i := range sh.avail {
		free := &sh.avail[i]
		if need.CPU > free.CPU || need.Memory > free.Memory ||
			need.Slots > free.Slots || need.Accelerators > free.Accelerators {
			continue
		}
		score := w.score(need, free)
		if (found < 0 || score < least) && !slices.Contains(avoid, sh.slots[i].target.ID) {
			found, least = i, score
		}
	}
	if found < 0 {
		return nil
	}
	return sh.slots[found]
}

// weights makes amounts of different resources comparable: each is the inverse
// of the mean amount per target.
type weights struct{ cpu, memory, accelerators, slots float64 }

// newWeights returns the weights for n targets with the given sum.
func newWeights(sum descriptor.Resources, n int) weights {
	inverse := func(amount float64) float64 {
		if amount <= 0 {
			return 0
		}
		return float64(n) / amount
	}
	return weights{
		cpu: inverse(float64(sum.CPU)), memory: inverse(float64(sum.Memory)),
		accelerators: inverse(float64(sum.Accelerators)), slots: inverse(float64(sum.Slots)),
	}
}

// score rates what would be left of free after the task; the least is best.
func (w *weights) score(need descriptor.Resources, free *descriptor.Resources) float64 {
	return w.cpu*float64(free.CPU-need.CPU) + w.memory*float64(free.Memory-need.Memory) +
		w.accelerators*float64(free.Accelerators-need.Accelerators) + w.slots*float64(free.Slots-need.Slots)
}
