package placer

import (
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// serviceID is a hash of the caller and kind of a service; zero means no service.
// Services with colliding hashes are spread as one service.
type serviceID uint64

func serviceIDOf(r *descriptor.Request) serviceID {
	return serviceID(descriptor.Key{Caller: r.Caller, ID: descriptor.RequestID(r.Kind)}.Hash())
}

// rackPenalty is the score added for each task of the service on a rack. It
// outweighs any leftover capacity: the weighted capacity of a whole target is
// about 4.
const rackPenalty = 1e6

// serviceRacks counts the tasks of each service on each rack.
type serviceRacks struct {
	mu    sync.Mutex
	racks map[serviceID]map[descriptor.RackID]int
}

func newServiceRacks() serviceRacks {
	return serviceRacks{racks: make(map[serviceID]map[descriptor.RackID]int)}
}

// count returns the number of tasks of the service on the rack.
func (s *serviceRacks) count(id serviceID, rack descriptor.RackID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.racks[id][rack]
}

func (s *serviceRacks) addTask(id serviceID, rack descriptor.RackID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	racks := s.racks[id]
	if racks == nil {
		racks = make(map[descriptor.RackID]int)
		s.racks[id] = racks
	}
	racks[rack]++
}

func (s *serviceRacks) removeTask(id serviceID, rack descriptor.RackID) {
	if id == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	racks := s.racks[id]
	if racks[rack]--; racks[rack] > 0 {
		return
	}
	if delete(racks, rack); len(racks) == 0 {
		delete(s.racks, id)
	}
}

// placeService places the tasks of a service one by one, each on the rack with the
// fewest tasks of the same service. If some don't fit, it places none and tries to
// reserve targets.
func (p *Packer) placeService(now time.Time, d Demand) ([]Assignment, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := serviceIDOf(d.Request)
	task := runningTask{need: d.Request.Resources, end: noEnd, service: service}
	var placed []Assignment
	for i := range taskCount(d.Request) {
		e := p.bestSpreadTarget(service, task.need, d.Avoid)
		if e == nil {
			p.rollBack(placed, task)
			return p.reserve(now, d)
		}
		p.allocate(e, task)
		p.services.addTask(service, e.target.Rack)
		placed = append(placed, Assignment{Index: i, Target: e.target.ID})
	}
	p.removeWaiting(d.Request.Key)
	return placed, Placed
}

// bestSpreadTarget returns a target with enough free capacity on the rack with the
// fewest tasks of the service, and among those the best fit. It stops at the first
// shard with a target on a rack that has no task of the service.
func (p *Packer) bestSpreadTarget(service serviceID, need descriptor.Resources, avoid []descriptor.TargetID) *targetEntry {
	var best *targetEntry
	fewest := 0
	q := search{need: need, avoid: avoid, weights: p.weights.Load(), maxPerClass: maxSpreadChecks, budget: maxSpreadChecks}
	q.penalty = func(e *targetEntry) float64 { return rackPenalty * float64(p.services.count(service, e.target.Rack)) }
	for i := p.tree.next(0, need); i >= 0; i = p.tree.next(i+1, need) {
		e := p.shards[i].find(q)
		if e == nil {
			continue
		}
		count := p.services.count(service, e.target.Rack)
		if best == nil || count < fewest {
			best, fewest = e, count
		}
		if fewest == 0 {
			break
		}
	}
	return best
}
