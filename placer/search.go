package placer

import (
	"math/bits"
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// checksPerClass bounds the targets of one class that a search scores. The
	// others have about the same room left.
	checksPerClass = 8
	// maxChecks bounds the targets that a search scores once it has found one.
	maxChecks = 64
	// maxSpreadChecks is the same for a service, which looks for a rack as well.
	maxSpreadChecks = 512
)

// search looks for the target of a shard that fits a task best: the one with
// the least weighted amount left after it. It visits classes in the order of
// their levels and leaves out those that can't be better than the best target
// found so far (branch and bound).
type search struct {
	shard   *shard
	need    descriptor.Resources
	avoid   []descriptor.TargetID
	weights *weights
	// penalty is added to the score of a target; nil means 0.
	penalty func(*slot) float64
	// perClass and budget bound the targets that are scored.
	perClass, budget int

	found     int
	least     float64
	checks    int
	truncated bool // a class had more than perClass targets
}

// run returns the best slot, or nil if no slot has room.
func (q *search) run() *slot {
	c := classOf(q.need)
	q.found = -1
	if q.pass(c); q.found < 0 && q.truncated {
		q.perClass = len(q.shard.slots)
		q.pass(c)
	}
	if q.found < 0 {
		return nil
	}
	return q.shard.slots[q.found]
}

// exceeded reports whether a class with the given least score can't improve the
// result.
func (q *search) exceeded(score float64) bool {
	return q.found >= 0 && (score >= q.least || q.checks >= q.budget)
}

// left returns the weighted amount that is certainly left at a level that
// begins with the given amount.
func left(weight, least, need float64) float64 {
	if least <= need {
		return 0
	}
	return weight * (least - need)
}

func (q *search) pass(c class) {
	x := &q.shard.classes
	for a := c.accelerator; a < acceleratorLevels; a++ {
		base := left(q.weights.accelerators, lowerBounds.accelerator[a], float64(q.need.Accelerators))
		if q.exceeded(base) {
			return
		}
		for m := from(x.slotMask[a], c.slot); m != 0; m &= m - 1 {
			s := bits.TrailingZeros32(m)
			score := base + left(q.weights.slots, lowerBounds.slot[s], float64(q.need.Slots))
			if q.exceeded(score) {
				break
			}
			q.rows(c, x.cpuMask[a][s], &x.rows[a][s], score)
		}
	}
}

// rows visits the classes of equal levels of accelerators and slots.
func (q *search) rows(c class, mask uint32, rows *[cpuLevels]*row, base float64) {
	for m := from(mask, c.cpu); m != 0; m &= m - 1 {
		l := bits.TrailingZeros32(m)
		score := base + left(q.weights.cpu, lowerBounds.cpu[l], float64(q.need.CPU))
		if q.exceeded(score) {
			return
		}
		r := rows[l]
		for lists := from(r.mask, c.memory); lists != 0; lists &= lists - 1 {
			l := bits.TrailingZeros32(lists)
			if q.exceeded(score + left(q.weights.memory, lowerBounds.memory[l], float64(q.need.Memory))) {
				break
			}
			q.scan(r.lists[l])
		}
	}
}

// scan scores the targets of one class.
func (q *search) scan(list []int32) {
	step := 1
	if len(list) > q.perClass {
		q.truncated = true
		if q.penalty != nil {
			step = (len(list) + q.perClass - 1) / q.perClass // targets of many racks
		} else {
			list = list[len(list)-q.perClass:]
		}
	}
	for i := 0; i < len(list); i += step {
		pos := list[i]
		q.checks++
		free := &q.shard.avail[pos]
		if !q.need.Fits(*free) {
			continue
		}
		score := q.weights.score(q.need, free)
		if q.found >= 0 && score >= q.least {
			continue
		}
		s := q.shard.slots[pos]
		if len(q.avoid) > 0 && slices.Contains(q.avoid, s.target.ID) {
			continue
		}
		if q.penalty != nil {
			score += q.penalty(s)
		}
		if q.found < 0 || score < q.least {
			q.found, q.least = int(pos), score
		}
	}
}

// weights makes amounts of different resources comparable.
type weights struct{ cpu, memory, accelerators, slots float64 }

// leastScarcity keeps a resource that is hardly used from having no weight.
const leastScarcity = 0.05

// newWeights returns the weights for n targets with the given sums. The weight
// of a resource is the inverse of its mean amount per target, times the square
// of its scarcity: the fraction in use over that of the resource most in use.
// What is left of an abundant resource matters little. Accelerators keep their
// full weight, so that other work leaves their targets free.
func newWeights(sum, used descriptor.Resources, n int) weights {
	inverse := func(amount float64) float64 {
		if amount <= 0 {
			return 0
		}
		return float64(n) / amount
	}
	fraction := func(part, whole float64) float64 {
		if whole <= 0 {
			return 0
		}
		return part / whole
	}
	cpu := fraction(float64(used.CPU), float64(sum.CPU))
	memory := fraction(float64(used.Memory), float64(sum.Memory))
	slots := fraction(float64(used.Slots), float64(sum.Slots))
	most := max(cpu, memory, slots)
	scarcity := func(used float64) float64 {
		if most <= 0 {
			return 1
		}
		return max(leastScarcity, used*used/(most*most))
	}
	return weights{
		cpu:          inverse(float64(sum.CPU)) * scarcity(cpu),
		memory:       inverse(float64(sum.Memory)) * scarcity(memory),
		slots:        inverse(float64(sum.Slots)) * scarcity(slots),
		accelerators: inverse(float64(sum.Accelerators)),
	}
}

// score rates what would be left of free after the task; the least is best.
func (w *weights) score(need descriptor.Resources, free *descriptor.Resources) float64 {
	return w.cpu*float64(free.CPU-need.CPU) + w.memory*float64(free.Memory-need.Memory) +
		w.accelerators*float64(free.Accelerators-need.Accelerators) + w.slots*float64(free.Slots-need.Slots)
}
