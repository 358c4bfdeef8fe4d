package placer

import (
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

// setProbing starts or stops probing a target. The caller must hold the write lock
// of the packer.
func (p *Packer) setProbing(e *targetEntry, on bool) {
	p.probing = slices.DeleteFunc(p.probing, func(o *targetEntry) bool { return o == e })
	if !on {
		e.lastProbeUnused = e.probesLeft == ProbeTasks
	}
	e.probesLeft = 0
	if on {
		e.probesLeft = ProbeTasks
		p.probing = append(p.probing, e)
	}
}

// probeSuitability rates how suitable a request is as a probe.
type probeSuitability uint8

const (
	probeLastResort probeSuitability = iota // not idempotent
	probeUrgent                             // idempotent and urgent
	probePreferred                          // idempotent and not urgent
	probeAny        = probeLastResort
)

func probeSuitabilityOf(r *descriptor.Request) probeSuitability {
	switch {
	case !r.Idempotent:
		return probeLastResort
	case r.Priority == descriptor.Urgent:
		return probeUrgent
	}
	return probePreferred
}

// placeProbe places a single task of at least the given suitability on a probing
// target. Idempotent tasks that aren't urgent are preferred as probes, since they
// can run again elsewhere if the probe fails. A target whose last probe ran no task
// accepts urgent idempotent tasks as well; otherwise it would never return to
// service in a cell that runs only such tasks. Other tasks are placed on probing
// targets only if no other target has room.
func (p *Packer) placeProbe(minSuitability, suitability probeSuitability, task runningTask, avoid []descriptor.TargetID) (descriptor.TargetID, bool) {
	for _, e := range p.probing {
		eligible := suitability >= minSuitability || (suitability == probeUrgent && e.lastProbeUnused)
		if eligible && !isAvoided(e, avoid) && p.placeProbeOn(e, task) {
			return e.target.ID, true
		}
	}
	return "", false
}

func (p *Packer) placeProbeOn(e *targetEntry, task runningTask) bool {
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	if e.probesLeft == 0 || !task.need.Fits(e.free()) {
		return false
	}
	e.probesLeft--
	p.allocate(e, task)
	return true
}
