package placer

import (
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

// setProbing starts or ends the probes of a slot. The caller holds the packer's
// lock exclusively.
func (p *Packer) setProbing(s *slot, on bool) {
	p.probing = slices.DeleteFunc(p.probing, func(o *slot) bool { return o == s })
	if !on {
		s.unprobed = s.probes == ProbeTasks
	}
	s.probes = 0
	if on {
		s.probes = ProbeTasks
		p.probing = append(p.probing, s)
	}
}

// probeWork says how well a request serves as a probe.
type probeWork uint8

const (
	probeLast    probeWork = iota // not idempotent
	probeUrgent                   // idempotent and urgent
	probeSuited                   // idempotent and not urgent
	probeAnyWork = probeLast
)

// probeWorkOf returns how well the request serves as a probe.
func probeWorkOf(r *descriptor.Request) probeWork {
	switch {
	case !r.Idempotent:
		return probeLast
	case r.Priority == descriptor.Urgent:
		return probeUrgent
	}
	return probeSuited
}

// probe places a single task on a target that is being probed. Probes go first
// to idempotent work that isn't urgent, since it can run again elsewhere if the
// probe fails. A target that got no such work in its last probe takes urgent
// idempotent work too, or it would never return to a cell that runs only that.
// Other work is placed there only when there is no other room.
func (p *Packer) probe(least, work probeWork, task runningTask, avoid []descriptor.TargetID) (descriptor.TargetID, bool) {
	for _, s := range p.probing {
		suited := work >= least || (work == probeUrgent && s.unprobed)
		if suited && !avoided(s, avoid) && p.probeOn(s, task) {
			return s.target.ID, true
		}
	}
	return "", false
}

func (p *Packer) probeOn(s *slot, task runningTask) bool {
	s.shard.mu.Lock()
	defer s.shard.mu.Unlock()
	if s.probes == 0 || !task.need.Fits(s.free()) {
		return false
	}
	s.probes--
	p.take(s, task)
	return true
}
