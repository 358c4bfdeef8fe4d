package placer

import (
	"math"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// shardSize is the number of targets of a shard. A search has to look into each
// shard that may have room, so a larger shard costs less when the cell is nearly
// full; a smaller one makes parallel decisions wait less for its lock.
const shardSize = 16384

// moment is a time in nanoseconds since 1970. It holds no pointer, unlike
// time.Time, so that the garbage collector need not scan the tasks of a cell.
type moment int64

const (
	unknownEnd moment = 0
	endless    moment = math.MaxInt64 // the end of a task of a service
)

func momentOf(t time.Time) moment { return moment(t.UnixNano()) }

// runningTask is a task that counts as in use.
type runningTask struct {
	need descriptor.Resources
	// end is the estimated end.
	end moment
	// group is the service that the task belongs to.
	group groupID
}

// slot is a target in the index. It is guarded by the lock of its shard.
type slot struct {
	shard *shard
	pos   int
	tasks []runningTask
	// held is the reservation that names this target, or nil. It changes only
	// under the exclusive lock of the packer.
	held *hold
	// probes is the number of tasks that the slot takes while it is probed.
	probes int
	// unprobed says that the last probe ended without any task.
	unprobed bool
	// node comes last, so that the fields of a decision share cache lines.
	node
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
		if s.tasks[i].need == need && (found < 0 || s.tasks[i].end < s.tasks[found].end) {
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

// shard is a group of targets with one lock.
type shard struct {
	mu    sync.Mutex
	index int
	// avail is the free capacity of each open target, and closed for the
	// others. It is kept apart from the slots so that a search reads little
	// memory.
	avail []descriptor.Resources
	slots []*slot
	// places holds the place of each target in the list of its class.
	places []int32
	// classes indexes the targets whose avail isn't below zero.
	classes classes
	// largest is an upper bound of the amounts in avail.
	largest descriptor.Resources
	// full holds sizes that fit no target since the last change that could
	// have made room for them, the latest first.
	full [maxFull]descriptor.Resources
}

// maxFull is the number of sizes that a shard remembers to have no room for.
const maxFull = 8

func newShard(index int) *shard {
	sh := &shard{index: index, largest: closed}
	for i := range sh.full {
		sh.full[i] = unfit
	}
	return sh
}

// unfit is a size that is never asked for; it marks an empty entry.
var unfit = descriptor.Resources{CPU: math.MaxInt64}

// addSlot adds a position for a target.
func (sh *shard) addSlot() *slot {
	s := &slot{shard: sh, pos: len(sh.slots)}
	sh.slots = append(sh.slots, nil)
	sh.avail = append(sh.avail, closed)
	sh.places = append(sh.places, 0)
	return s
}

// refresh takes over a change of the slot at pos. It reports whether the upper
// bound has changed.
func (sh *shard) refresh(pos int, s *slot) bool {
	before, now := sh.avail[pos], closed
	if s.open() && sh.slots[pos] != nil {
		now = s.free()
	}
	sh.avail[pos] = now
	sh.move(pos, before, now)
	if !now.Fits(before) {
		sh.madeRoom(now)
	}
	largest := sh.classes.largest()
	changed := largest != sh.largest
	sh.largest = largest
	return changed
}

// move changes the class of a slot.
func (sh *shard) move(pos int, before, now descriptor.Resources) {
	was, is := !before.IsNegative(), !now.IsNegative()
	var old, next class
	if was {
		old = classOf(before)
	}
	if is {
		next = classOf(now)
	}
	if was && is && old == next {
		return
	}
	if was {
		if moved := sh.classes.remove(old, sh.places[pos]); moved >= 0 {
			sh.places[moved] = sh.places[pos]
		}
	}
	if is {
		sh.places[pos] = sh.classes.insert(next, int32(pos))
	}
}

// madeRoom forgets the sizes that fit free.
func (sh *shard) madeRoom(free descriptor.Resources) {
	for i := range sh.full {
		if sh.full[i].Fits(free) {
			sh.full[i] = unfit
		}
	}
}

// isFull reports whether a search for the size is known to find nothing.
func (sh *shard) isFull(need descriptor.Resources) bool {
	for i := range sh.full {
		if sh.full[i].Fits(need) {
			return true
		}
	}
	return false
}

// best returns the slot that fits the task best, or nil.
func (sh *shard) best(need descriptor.Resources, avoid []descriptor.TargetID, w *weights) *slot {
	return sh.find(search{need: need, avoid: avoid, weights: w, perClass: checksPerClass, budget: maxChecks})
}

// find runs a search in the shard and remembers a failure.
func (sh *shard) find(q search) *slot {
	if sh.isFull(q.need) {
		return nil
	}
	q.shard = sh
	s := q.run()
	if s == nil && len(q.avoid) == 0 {
		copy(sh.full[1:], sh.full[:])
		sh.full[0] = q.need
	}
	return s
}
