package placer

import (
	"math"
	"math/bits"

	"github.com/masticlead/masticlead/descriptor"
)

// The number of levels of free capacity for each resource.
const (
	cpuLevels         = 32
	memoryLevels      = 32
	slotLevels        = 16
	acceleratorLevels = 8
)

// The amount at which level 1 begins. With two levels per power of two, 32 levels
// reach up to 362 cores and 362 GiB. All larger amounts share the last level.
const (
	cpuUnit    = 8 // thousandths of a core
	memoryUnit = 8 // MiB
)

// level returns the logarithmic level of an amount: 0 below unit, then two levels
// per power of two, at most levels-1.
func level(amount, unit int64, levels int) int {
	if amount < unit {
		return 0
	}
	n := uint64(amount / unit)
	doublings := bits.Len64(n) - 1
	l := 1 + 2*doublings
	if doublings > 0 && n>>(doublings-1)&1 == 1 {
		l++ // upper half of the power-of-two range
	}
	return min(l, levels-1)
}

// minAmount returns the smallest amount of a level.
func minAmount(l int, unit int64) int64 {
	if l == 0 {
		return 0
	}
	base := unit << ((l - 1) / 2)
	switch {
	case l == 2:
		base *= 2 // level 1 spans the whole range, because level counts whole units
	case l%2 == 0:
		base += base / 2
	}
	return base
}

// maxAmount returns the largest amount of a level.
func maxAmount(l int, unit int64, levels int) int64 {
	if l >= levels-1 {
		return math.MaxInt64
	}
	return minAmount(l+1, unit) - 1
}

// sizeClass holds the level of each resource.
type sizeClass struct{ accelerator, slot, cpu, memory uint8 }

func sizeClassOf(r descriptor.Resources) sizeClass {
	return sizeClass{
		accelerator: uint8(level(int64(r.Accelerators), 1, acceleratorLevels)),
		slot:        uint8(level(int64(r.Slots), 1, slotLevels)),
		cpu:         uint8(level(int64(r.CPU), cpuUnit, cpuLevels)),
		memory:      uint8(level(int64(r.Memory), memoryUnit, memoryLevels)),
	}
}

// minAmounts holds the smallest amount of each level.
var minAmounts = func() (b struct {
	cpu         [cpuLevels]float64
	memory      [memoryLevels]float64
	slot        [slotLevels]float64
	accelerator [acceleratorLevels]float64
},
) {
	fill := func(bounds []float64, unit int64) {
		for l := range bounds {
			bounds[l] = float64(minAmount(l, unit))
		}
	}
	fill(b.cpu[:], cpuUnit)
	fill(b.memory[:], memoryUnit)
	fill(b.slot[:], 1)
	fill(b.accelerator[:], 1)
	return b
}()

// memoryRow holds the targets of a shard with equal levels of accelerators, slots
// and CPU, grouped by their level of memory.
type memoryRow struct {
	levelMask uint32 // levels of memory with at least one target
	lists     [memoryLevels][]int32
}

// classIndex indexes the available targets of a shard by size class of their free
// capacity. Updates take constant time. Bit masks record the levels that have
// targets, so that a search skips empty classes.
type classIndex struct {
	slotMask [acceleratorLevels]uint32
	cpuMask  [acceleratorLevels][slotLevels]uint32
	rows     [acceleratorLevels][slotLevels][cpuLevels]*memoryRow
	// counts holds the number of targets at each level of each resource.
	counts struct {
		cpu         [cpuLevels]int32
		memory      [memoryLevels]int32
		slot        [slotLevels]int32
		accelerator [acceleratorLevels]int32
	}
	// countMasks has a bit set for each level with a non-zero count.
	countMasks struct{ cpu, memory, slot, accelerator uint32 }
}

// insert adds the target at pos and returns its index in the list of its class.
func (x *classIndex) insert(c sizeClass, pos int32) int32 {
	row := &x.rows[c.accelerator][c.slot][c.cpu]
	if *row == nil {
		*row = &memoryRow{}
	}
	r := *row
	list := append(r.lists[c.memory], pos)
	r.lists[c.memory] = list
	r.levelMask |= 1 << c.memory
	x.cpuMask[c.accelerator][c.slot] |= 1 << c.cpu
	x.slotMask[c.accelerator] |= 1 << c.slot
	incrementLevel(&x.counts.cpu[c.cpu], &x.countMasks.cpu, c.cpu)
	incrementLevel(&x.counts.memory[c.memory], &x.countMasks.memory, c.memory)
	incrementLevel(&x.counts.slot[c.slot], &x.countMasks.slot, c.slot)
	incrementLevel(&x.counts.accelerator[c.accelerator], &x.countMasks.accelerator, c.accelerator)
	return int32(len(list) - 1)
}

// remove removes the target at the given index from the list of its class. It
// returns the position of the target that was moved to that index, or -1.
func (x *classIndex) remove(c sizeClass, index int32) int32 {
	r := x.rows[c.accelerator][c.slot][c.cpu]
	list := r.lists[c.memory]
	last := len(list) - 1
	moved := int32(-1)
	if int(index) != last {
		moved = list[last]
		list[index] = moved
	}
	r.lists[c.memory] = list[:last]
	if last == 0 {
		x.removeEmptyClass(c, r)
	}
	decrementLevel(&x.counts.cpu[c.cpu], &x.countMasks.cpu, c.cpu)
	decrementLevel(&x.counts.memory[c.memory], &x.countMasks.memory, c.memory)
	decrementLevel(&x.counts.slot[c.slot], &x.countMasks.slot, c.slot)
	decrementLevel(&x.counts.accelerator[c.accelerator], &x.countMasks.accelerator, c.accelerator)
	return moved
}

// removeEmptyClass clears the mask bits of a class without targets.
func (x *classIndex) removeEmptyClass(c sizeClass, r *memoryRow) {
	if r.levelMask &^= 1 << c.memory; r.levelMask != 0 {
		return
	}
	cpus := &x.cpuMask[c.accelerator][c.slot]
	if *cpus &^= 1 << c.cpu; *cpus != 0 {
		return
	}
	x.slotMask[c.accelerator] &^= 1 << c.slot
}

func incrementLevel(n *int32, mask *uint32, l uint8) {
	*n++
	*mask |= 1 << l
}

func decrementLevel(n *int32, mask *uint32, l uint8) {
	if *n--; *n == 0 {
		*mask &^= 1 << l
	}
}

// maxFree returns an upper bound of the free amount of each resource.
func (x *classIndex) maxFree() descriptor.Resources {
	if x.countMasks.cpu == 0 {
		return unavailable
	}
	highest := func(mask uint32) int { return bits.Len32(mask) - 1 }
	return descriptor.Resources{
		CPU:          descriptor.MilliCPU(maxAmount(highest(x.countMasks.cpu), cpuUnit, cpuLevels)),
		Memory:       descriptor.MiB(maxAmount(highest(x.countMasks.memory), memoryUnit, memoryLevels)),
		Slots:        int(maxAmount(highest(x.countMasks.slot), 1, slotLevels)),
		Accelerators: int(maxAmount(highest(x.countMasks.accelerator), 1, acceleratorLevels)),
	}
}

// levelsFrom returns the bits of mask from l upwards.
func levelsFrom(mask uint32, l uint8) uint32 { return mask &^ (1<<l - 1) }
