package placer

import (
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// groupID is a service, the work of one caller and kind; zero is none.
type groupID struct {
	caller descriptor.CallerID
	kind   descriptor.KindName
}

// maxSpreadShards bounds the shards that a service task looks at for a rack
// without a task of the same service.
const maxSpreadShards = 16

// services counts the tasks of each service on each rack.
type services struct {
	mu    sync.Mutex
	racks map[groupID]map[descriptor.RackID]int
}

func newServices() services {
	return services{racks: make(map[groupID]map[descriptor.RackID]int)}
}

// count returns the number of tasks of the service on the rack.
func (s *services) count(g groupID, rack descriptor.RackID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.racks[g][rack]
}

func (s *services) started(g groupID, rack descriptor.RackID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	racks := s.racks[g]
	if racks == nil {
		racks = make(map[descriptor.RackID]int)
		s.racks[g] = racks
	}
	racks[rack]++
}

func (s *services) ended(g groupID, rack descriptor.RackID) {
	if g == (groupID{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	racks := s.racks[g]
	if racks[rack]--; racks[rack] > 0 {
		return
	}
	if delete(racks, rack); len(racks) == 0 {
		delete(s.racks, g)
	}
}

// placeService places the tasks of a service one by one, each on the rack that
// has the fewest tasks of the same service.
func (p *Packer) placeService(now time.Time, d Demand) ([]Assignment, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	group := groupID{d.Request.Caller, d.Request.Kind}
	task := runningTask{need: d.Request.Resources, endless: true, group: group}
	var placed []Assignment
	for i := range taskCount(d.Request) {
		s := p.bestRack(group, task.need, d.Avoid)
		if s == nil {
			p.undo(placed, task)
			return p.reserve(now, d)
		}
		p.take(s, task)
		p.services.started(group, s.target.Rack)
		placed = append(placed, Assignment{Index: i, Target: s.target.ID})
	}
	p.finish(d.Request.Key)
	return placed, Placed
}

// bestRack returns the slot with room whose rack has the fewest tasks of the
// service, and among those the best fit. It stops at the first shard that
// offers a rack without any.
func (p *Packer) bestRack(g groupID, need descriptor.Resources, avoid []descriptor.TargetID) *slot {
	var found *slot
	var fewest int
	var least float64
	seen := 0
	for i := p.tree.next(0, need); i >= 0 && seen < maxSpreadShards; i = p.tree.next(i+1, need) {
		sh := p.shards[i]
		for pos, s := range sh.slots {
			if !need.Fits(sh.avail[pos]) || avoided(s, avoid) {
				continue
			}
			count, score := p.services.count(g, s.target.Rack), p.weights.score(need, &sh.avail[pos])
			if found == nil || count < fewest || count == fewest && score < least {
				found, fewest, least = s, count, score
			}
		}
		if found != nil {
			if seen++; fewest == 0 {
				break
			}
		}
	}
	return found
}
