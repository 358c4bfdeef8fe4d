package placer

import (
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// groupID is the hash of the caller and kind of a service; zero is none. If two
// services share a hash, they are spread as one.
type groupID uint64

func groupOf(r *descriptor.Request) groupID {
	return groupID(descriptor.Key{Caller: r.Caller, ID: descriptor.RequestID(r.Kind)}.Hash())
}

// rackPenalty outweighs any amount left on a target: the weighted amount of a
// whole target is about 4.
const rackPenalty = 1e6

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
	if g == 0 {
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
	group := groupOf(d.Request)
	task := runningTask{need: d.Request.Resources, end: endless, group: group}
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
	fewest := 0
	q := search{need: need, avoid: avoid, weights: p.weights.Load(), perClass: maxSpreadChecks, budget: maxSpreadChecks}
	q.penalty = func(s *slot) float64 { return rackPenalty * float64(p.services.count(g, s.target.Rack)) }
	for i := p.tree.next(0, need); i >= 0; i = p.tree.next(i+1, need) {
		s := p.shards[i].find(q)
		if s == nil {
			continue
		}
		count := p.services.count(g, s.target.Rack)
		if found == nil || count < fewest {
			found, fewest = s, count
		}
		if fewest == 0 {
			break
		}
	}
	return found
}
