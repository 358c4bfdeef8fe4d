package placer

import (
	"math"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// shardSize is the maximum number of targets in a shard. A search has to visit each
// shard that may have room, so larger shards make searches cheaper when the cell is
// nearly full; smaller shards reduce lock contention between concurrent placements.
const shardSize = 16384

// timestamp is a time in nanoseconds since the Unix epoch. Unlike time.Time, it
// contains no pointer, so the garbage collector doesn't scan the tasks of a cell.
type timestamp int64

const (
	unknownEnd timestamp = 0
	noEnd      timestamp = math.MaxInt64 // for tasks of services
)

func timestampOf(t time.Time) timestamp { return timestamp(t.UnixNano()) }

// runningTask is a task whose resources are in use.
type runningTask struct {
	need descriptor.Resources
	// end is the estimated end.
	end timestamp
	// service is the service that the task belongs to, or zero.
	service serviceID
}

// targetEntry is a target in the index. It is guarded by the lock of its shard.
type targetEntry struct {
	shard *shard
	pos   int
	tasks []runningTask
	// reserved is the part of a reservation on this target, or nil. It changes
	// only under the write lock of the packer.
	reserved *reservedTarget
	// probesLeft is the number of tasks that a probing target still accepts.
	probesLeft int
	// lastProbeUnused is set if no task was placed during the last probe.
	lastProbeUnused bool
	// targetUsage comes last, so that the fields used by placements share cache
	// lines.
	targetUsage
}

// ordinal returns the position of the target among all shards.
func (e *targetEntry) ordinal() int { return e.shard.index*shardSize + e.pos }

// isAvailable reports whether the index offers the target to all tasks.
func (e *targetEntry) isAvailable() bool { return e.state == Placeable && e.reserved == nil }

func (e *targetEntry) addTask(task runningTask) {
	e.used = e.used.Add(task.need)
	e.tasks = append(e.tasks, task)
}

// removeTask removes one task of the given size and returns it. Of several such
// tasks, it removes the one that is expected to end first, since which of them has
// ended matters only for the forecast. It returns a zero task if there is none.
func (e *targetEntry) removeTask(need descriptor.Resources) runningTask {
	e.used = clampToZero(e.used.Sub(need))
	found := -1
	for i := range e.tasks {
		if e.tasks[i].need == need && (found < 0 || e.tasks[i].end < e.tasks[found].end) {
			found = i
		}
	}
	if found < 0 {
		return runningTask{}
	}
	task := e.tasks[found]
	last := len(e.tasks) - 1
	e.tasks[found] = e.tasks[last]
	e.tasks = e.tasks[:last]
	return task
}

// shard is a group of targets that share a lock.
type shard struct {
	mu    sync.Mutex
	index int
	// available holds the free capacity of each available target, and
	// unavailable for the others. It is separate from entries so that a search
	// reads less memory.
	available []descriptor.Resources
	entries   []*targetEntry
	// classPositions holds the index of each target in the list of its class.
	classPositions []int32
	// classes indexes the targets whose free capacity isn't negative.
	classes classIndex
	// maxFree is an upper bound of the amounts in available.
	maxFree descriptor.Resources
	// failedSizes holds recent task sizes for which a search failed, the latest
	// first. A size is removed when a change may have made room for it.
	failedSizes [maxFailedSizes]descriptor.Resources
}

const maxFailedSizes = 8

func newShard(index int) *shard {
	sh := &shard{index: index, maxFree: unavailable}
	for i := range sh.failedSizes {
		sh.failedSizes[i] = unsetSize
	}
	return sh
}

// unsetSize marks an empty element of failedSizes. No task has this size.
var unsetSize = descriptor.Resources{CPU: math.MaxInt64}

// addEntry adds a position and returns an entry for it.
func (sh *shard) addEntry() *targetEntry {
	e := &targetEntry{shard: sh, pos: len(sh.entries)}
	sh.entries = append(sh.entries, nil)
	sh.available = append(sh.available, unavailable)
	sh.classPositions = append(sh.classPositions, 0)
	return e
}

// update updates the shard after a change of the target at pos. It reports whether
// maxFree has changed.
func (sh *shard) update(pos int, e *targetEntry) bool {
	before, after := sh.available[pos], unavailable
	if e.isAvailable() && sh.entries[pos] != nil {
		after = e.free()
	}
	sh.available[pos] = after
	sh.reclassify(pos, before, after)
	if !after.Fits(before) {
		sh.clearFailedSizes(after)
	}
	largest := sh.classes.maxFree()
	changed := largest != sh.maxFree
	sh.maxFree = largest
	return changed
}

// reclassify moves the target at pos to the class of its new free capacity.
func (sh *shard) reclassify(pos int, before, after descriptor.Resources) {
	wasIndexed, isIndexed := !before.IsNegative(), !after.IsNegative()
	var old, next sizeClass
	if wasIndexed {
		old = sizeClassOf(before)
	}
	if isIndexed {
		next = sizeClassOf(after)
	}
	if wasIndexed && isIndexed && old == next {
		return
	}
	if wasIndexed {
		if moved := sh.classes.remove(old, sh.classPositions[pos]); moved >= 0 {
			sh.classPositions[moved] = sh.classPositions[pos]
		}
	}
	if isIndexed {
		sh.classPositions[pos] = sh.classes.insert(next, int32(pos))
	}
}

// clearFailedSizes removes the failed sizes that fit into free.
func (sh *shard) clearFailedSizes(free descriptor.Resources) {
	for i := range sh.failedSizes {
		if sh.failedSizes[i].Fits(free) {
			sh.failedSizes[i] = unsetSize
		}
	}
}

// hasFailedSize reports whether a search for a task of this size is known to fail,
// because a search for one that is no larger has failed.
func (sh *shard) hasFailedSize(need descriptor.Resources) bool {
	for i := range sh.failedSizes {
		if sh.failedSizes[i].Fits(need) {
			return true
		}
	}
	return false
}

// bestFit returns the target that fits the task best, or nil.
func (sh *shard) bestFit(need descriptor.Resources, avoid []descriptor.TargetID, w *weights) *targetEntry {
	return sh.find(search{need: need, avoid: avoid, weights: w, maxPerClass: maxChecksPerClass, budget: maxChecks})
}

// find runs a search in the shard. It records the size of a failed search, unless
// the search had to avoid targets.
func (sh *shard) find(q search) *targetEntry {
	if sh.hasFailedSize(q.need) {
		return nil
	}
	q.shard = sh
	e := q.run()
	if e == nil && len(q.avoid) == 0 {
		copy(sh.failedSizes[1:], sh.failedSizes[:])
		sh.failedSizes[0] = q.need
	}
	return e
}
