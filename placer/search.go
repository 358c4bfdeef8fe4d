package placer

import (
	"math/bits"
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

const (
	// maxChecksPerClass bounds the targets that a search scores in one class. The
	// others have about the same free capacity.
	maxChecksPerClass = 8
	// maxChecks is the number of scored targets after which a search that has
	// found a target stops.
	maxChecks = 64
	// maxSpreadChecks replaces both limits for services. It is higher because the
	// search also has to find a rack with few tasks of the service.
	maxSpreadChecks = 512
)

// search finds the best fit for a task in a shard: the target with the least
// weighted capacity left after placement. It is a branch-and-bound search that
// visits classes in the order of their levels and skips those that can't improve
// on the best target found so far.
type search struct {
	shard   *shard
	need    descriptor.Resources
	avoid   []descriptor.TargetID
	weights *weights
	// penalty is added to the score of a target; nil means 0.
	penalty func(*targetEntry) float64
	// maxPerClass and budget bound the targets scored in one class and in total.
	maxPerClass, budget int

	bestPos   int
	bestScore float64
	checks    int
	truncated bool // a class had more than maxPerClass targets
}

// run returns the best-fitting target, or nil if no target has enough free
// capacity. If none of the scored targets fits and maxPerClass has excluded some, it
// searches again without that limit.
func (q *search) run() *targetEntry {
	c := sizeClassOf(q.need)
	q.bestPos = -1
	if q.visitLevels(c); q.bestPos < 0 && q.truncated {
		q.maxPerClass = len(q.shard.entries)
		q.visitLevels(c)
	}
	if q.bestPos < 0 {
		return nil
	}
	return q.shard.entries[q.bestPos]
}

// canSkip reports whether classes with the given minimum score can be skipped,
// because they can't improve the result or the budget is used up.
func (q *search) canSkip(score float64) bool {
	return q.bestPos >= 0 && (score >= q.bestScore || q.checks >= q.budget)
}

// minRemainder returns a lower bound of the weighted amount that a task leaves on a
// target with at least minFree.
func minRemainder(weight, minFree, need float64) float64 {
	if minFree <= need {
		return 0
	}
	return weight * (minFree - need)
}

// visitLevels visits the classes that may fit the task, whose own class is c.
func (q *search) visitLevels(c sizeClass) {
	x := &q.shard.classes
	for a := c.accelerator; a < acceleratorLevels; a++ {
		base := minRemainder(q.weights.accelerators, minAmounts.accelerator[a], float64(q.need.Accelerators))
		if q.canSkip(base) {
			return
		}
		for m := levelsFrom(x.slotMask[a], c.slot); m != 0; m &= m - 1 {
			s := bits.TrailingZeros32(m)
			score := base + minRemainder(q.weights.slots, minAmounts.slot[s], float64(q.need.Slots))
			if q.canSkip(score) {
				break
			}
			q.visitRows(c, x.cpuMask[a][s], &x.rows[a][s], score)
		}
	}
}

// visitRows visits the classes with equal levels of accelerators and slots.
func (q *search) visitRows(c sizeClass, mask uint32, rows *[cpuLevels]*memoryRow, base float64) {
	for m := levelsFrom(mask, c.cpu); m != 0; m &= m - 1 {
		l := bits.TrailingZeros32(m)
		score := base + minRemainder(q.weights.cpu, minAmounts.cpu[l], float64(q.need.CPU))
		if q.canSkip(score) {
			return
		}
		r := rows[l]
		for levels := levelsFrom(r.levelMask, c.memory); levels != 0; levels &= levels - 1 {
			l := bits.TrailingZeros32(levels)
			if q.canSkip(score + minRemainder(q.weights.memory, minAmounts.memory[l], float64(q.need.Memory))) {
				break
			}
			q.scoreClass(r.lists[l])
		}
	}
}

// scoreClass scores the targets of one class.
func (q *search) scoreClass(list []int32) {
	step := 1
	if len(list) > q.maxPerClass {
		q.truncated = true
		if q.penalty != nil {
			step = (len(list) + q.maxPerClass - 1) / q.maxPerClass // samples the whole list to cover many racks
		} else {
			list = list[len(list)-q.maxPerClass:]
		}
	}
	for i := 0; i < len(list); i += step {
		pos := list[i]
		q.checks++
		free := &q.shard.available[pos]
		if !q.need.Fits(*free) {
			continue
		}
		score := q.weights.score(q.need, free)
		if q.bestPos >= 0 && score >= q.bestScore {
			continue
		}
		e := q.shard.entries[pos]
		if len(q.avoid) > 0 && slices.Contains(q.avoid, e.target.ID) {
			continue
		}
		if q.penalty != nil {
			score += q.penalty(e)
		}
		if q.bestPos < 0 || score < q.bestScore {
			q.bestPos, q.bestScore = int(pos), score
		}
	}
}

// weights makes amounts of different resources comparable.
type weights struct{ cpu, memory, accelerators, slots float64 }

// minScarcity keeps the weight of a hardly used resource above zero.
const minScarcity = 0.05

// newWeights returns the weights for n targets with the given total capacity and
// usage. The weight of a resource is the inverse of its mean amount per target,
// multiplied by the square of its scarcity, which is its utilisation relative to
// that of the most utilised resource. The leftover of an abundant resource thus
// matters little. Accelerators keep their full weight, so that tasks without
// accelerators leave targets with accelerators free.
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
	maxUsed := max(cpu, memory, slots)
	scarcity := func(used float64) float64 {
		if maxUsed <= 0 {
			return 1
		}
		return max(minScarcity, used*used/(maxUsed*maxUsed))
	}
	return weights{
		cpu:          inverse(float64(sum.CPU)) * scarcity(cpu),
		memory:       inverse(float64(sum.Memory)) * scarcity(memory),
		slots:        inverse(float64(sum.Slots)) * scarcity(slots),
		accelerators: inverse(float64(sum.Accelerators)),
	}
}

// score returns the weighted capacity left of free after placing a task. Lower is
// better.
func (w *weights) score(need descriptor.Resources, free *descriptor.Resources) float64 {
	return w.cpu*float64(free.CPU-need.CPU) + w.memory*float64(free.Memory-need.Memory) +
		w.accelerators*float64(free.Accelerators-need.Accelerators) + w.slots*float64(free.Slots-need.Slots)
}
