package placer

import (
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

// setProbing starts or ends the probes of a slot. The caller holds the packer's
// lock exclusively.
func (p *Packer) setProbing(s *slot, on bool) {
	p.probing = slices.DeleteFunc(p.probing, func(o *slot) bool { return o == s })
	s.probes = 0
	if on {
		s.probes = ProbeTasks
		p.probing = append(p.probing, s)
	}
}

// probe places a single task on a target that is being probed. Probes go first
// to idempotent work that isn't urgent, since it can run again elsewhere if the
// probe fails; other work is placed there only when there is no other room.
func (p *Packer) probe(wanted bool, task runningTask, avoid []descriptor.TargetID) (descriptor.TargetID, bool) {
	if !wanted {
		return "", false
	}
	for _, s := range p.probing {
		if !avoided(s, avoid) && p.probeOn(s, task) {
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
