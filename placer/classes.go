package placer

import (
	"math"
	"math/bits"

	"github.com/masticlead/masticlead/descriptor"
)

// The number of levels of free capacity by resource.
const (
	cpuLevels         = 32
	memoryLevels      = 32
	slotLevels        = 16
	acceleratorLevels = 8
)

// The amount at which level 1 begins. With two levels for each doubling, 32
// levels end at 362 cores and 362 GiB. All larger amounts share the last level.
const (
	cpuUnit    = 8 // thousandths of a core
	memoryUnit = 8 // MiB
)

// level returns the logarithmic level of an amount: 0 below unit, then two
// levels for each doubling, at most levels-1.
func level(amount, unit int64, levels int) int {
	if amount < unit {
		return 0
	}
	n := uint64(amount / unit)
	doublings := bits.Len64(n) - 1
	l := 1 + 2*doublings
	if doublings > 0 && n>>(doublings-1)&1 == 1 {
		l++ // the upper half of the doubling
	}
	return min(l, levels-1)
}

// lower returns the least amount of a level.
func lower(l int, unit int64) int64 {
	if l == 0 {
		return 0
	}
	base := unit << ((l - 1) / 2)
	switch {
	case l == 2:
		base *= 2 // level 1 is not divided, because level counts whole units
	case l%2 == 0:
		base += base / 2
	}
	return base
}

// upper returns the largest amount of a level.
func upper(l int, unit int64, levels int) int64 {
	if l >= levels-1 {
		return math.MaxInt64
	}
	return lower(l+1, unit) - 1
}

// class is a combination of levels.
type class struct{ accelerator, slot, cpu, memory uint8 }

func classOf(r descriptor.Resources) class {
	return class{
		accelerator: uint8(level(int64(r.Accelerators), 1, acceleratorLevels)),
		slot:        uint8(level(int64(r.Slots), 1, slotLevels)),
		cpu:         uint8(level(int64(r.CPU), cpuUnit, cpuLevels)),
		memory:      uint8(level(int64(r.Memory), memoryUnit, memoryLevels)),
	}
}

// lowerBounds holds the least amount of each level.
var lowerBounds = func() (b struct {
	cpu         [cpuLevels]float64
	memory      [memoryLevels]float64
	slot        [slotLevels]float64
	accelerator [acceleratorLevels]float64
},
) {
	fill := func(bounds []float64, unit int64) {
		for l := range bounds {
			bounds[l] = float64(lower(l, unit))
		}
	}
	fill(b.cpu[:], cpuUnit)
	fill(b.memory[:], memoryUnit)
	fill(b.slot[:], 1)
	fill(b.accelerator[:], 1)
	return b
}()

// row lists the targets of a shard with equal levels of accelerators, slots and
// processors, by their level of memory.
type row struct {
	mask  uint32 // levels of memory with a target
	lists [memoryLevels][]int32
}

// classes indexes the open targets of a shard by the levels of their free
// capacity. Changes take constant time. Bit masks name the levels that have a
// target, so a search visits only classes with targets.
type classes struct {
	slotMask [acceleratorLevels]uint32
	cpuMask  [acceleratorLevels][slotLevels]uint32
	rows     [acceleratorLevels][slotLevels][cpuLevels]*row
	// counts holds the number of targets at each level of each resource.
	counts struct {
		cpu         [cpuLevels]int32
		memory      [memoryLevels]int32
		slot        [slotLevels]int32
		accelerator [acceleratorLevels]int32
	}
	// levels holds the bit masks of the counts above zero.
	levels struct{ cpu, memory, slot, accelerator uint32 }
}

// insert adds the target at pos and returns its place in the list of its class.
func (x *classes) insert(c class, pos int32) int32 {
	at := &x.rows[c.accelerator][c.slot][c.cpu]
	if *at == nil {
		*at = &row{}
	}
	r := *at
	list := append(r.lists[c.memory], pos)
	r.lists[c.memory] = list
	r.mask |= 1 << c.memory
	x.cpuMask[c.accelerator][c.slot] |= 1 << c.cpu
	x.slotMask[c.accelerator] |= 1 << c.slot
	count(&x.counts.cpu[c.cpu], &x.levels.cpu, c.cpu)
	count(&x.counts.memory[c.memory], &x.levels.memory, c.memory)
	count(&x.counts.slot[c.slot], &x.levels.slot, c.slot)
	count(&x.counts.accelerator[c.accelerator], &x.levels.accelerator, c.accelerator)
	return int32(len(list) - 1)
}

// remove takes the target at the given place out of the list of its class. It
// returns the position of the target that has moved to that place, or -1.
func (x *classes) remove(c class, place int32) int32 {
	r := x.rows[c.accelerator][c.slot][c.cpu]
	list := r.lists[c.memory]
	last := len(list) - 1
	moved := int32(-1)
	if int(place) != last {
		moved = list[last]
		list[place] = moved
	}
	r.lists[c.memory] = list[:last]
	if last == 0 {
		x.clear(c, r)
	}
	uncount(&x.counts.cpu[c.cpu], &x.levels.cpu, c.cpu)
	uncount(&x.counts.memory[c.memory], &x.levels.memory, c.memory)
	uncount(&x.counts.slot[c.slot], &x.levels.slot, c.slot)
	uncount(&x.counts.accelerator[c.accelerator], &x.levels.accelerator, c.accelerator)
	return moved
}

// clear removes a class without targets from the masks.
func (x *classes) clear(c class, r *row) {
	if r.mask &^= 1 << c.memory; r.mask != 0 {
		return
	}
	cpus := &x.cpuMask[c.accelerator][c.slot]
	if *cpus &^= 1 << c.cpu; *cpus != 0 {
		return
	}
	x.slotMask[c.accelerator] &^= 1 << c.slot
}

func count(n *int32, mask *uint32, l uint8) {
	*n++
	*mask |= 1 << l
}

func uncount(n *int32, mask *uint32, l uint8) {
	if *n--; *n == 0 {
		*mask &^= 1 << l
	}
}

// largest returns an upper bound of the free amount of each resource.
func (x *classes) largest() descriptor.Resources {
	if x.levels.cpu == 0 {
		return closed
	}
	top := func(mask uint32) int { return bits.Len32(mask) - 1 }
	return descriptor.Resources{
		CPU:          descriptor.MilliCPU(upper(top(x.levels.cpu), cpuUnit, cpuLevels)),
		Memory:       descriptor.MiB(upper(top(x.levels.memory), memoryUnit, memoryLevels)),
		Slots:        int(upper(top(x.levels.slot), 1, slotLevels)),
		Accelerators: int(upper(top(x.levels.accelerator), 1, acceleratorLevels)),
	}
}

// from returns the bits of mask at and above l.
func from(mask uint32, l uint8) uint32 { return mask &^ (1<<l - 1) }
