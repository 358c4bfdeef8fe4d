package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/heartbeater"
)

// Home returns the data centre that decides on the requests of a caller: the one
// of its rule, or else the first by rendezvous hashing (Thaler and Ravishankar,
// 1998) over the configured data centres, which needs no agreement.
func (r *Router) Home(rules *descriptor.Rules, caller descriptor.CallerID) descriptor.DataCentreID {
	if rule, ok := rules.CallerRule(caller); ok && rule.Home != "" {
		return rule.Home
	}
	return rendezvous(caller, r.cfg.DataCentres)
}

func rendezvous(caller descriptor.CallerID, dcs []descriptor.DataCentreID) descriptor.DataCentreID {
	var best descriptor.DataCentreID
	var highest uint64
	for _, dc := range dcs {
		if w := xxhash.Sum64String(string(dc) + "/" + string(caller)); best == "" || w > highest {
			best, highest = dc, w
		}
	}
	return best
}

// homeSlice names a slice of a data centre.
type homeSlice struct {
	dc    descriptor.DataCentreID
	slice descriptor.SliceID
}

// ownerCache remembers the owners of slices of other data centres, as learned
// from the answers of their instances.
type ownerCache struct {
	mu      sync.Mutex
	byslice map[homeSlice]descriptor.InstanceID
}

func (c *ownerCache) get(h homeSlice) (descriptor.InstanceID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.byslice[h]
	return id, ok
}

func (c *ownerCache) set(h homeSlice, id descriptor.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byslice[h] = id
}

func (c *ownerCache) drop(h homeSlice, id descriptor.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byslice[h] == id {
		delete(c.byslice, h)
	}
}

// candidate returns the known owner of the slice, or any other live member of the
// data centre, which then names the owner.
func (r *Router) candidate(h homeSlice) (heartbeater.Member, bool) {
	var alive []heartbeater.Member
	owner, known := r.owners.get(h)
	for _, m := range r.cfg.Members.Members(h.dc) {
		if m.ID == r.cfg.Self {
			continue
		}
		if known && m.ID == owner {
			return m, true
		}
		if m.State == heartbeater.Alive {
			alive = append(alive, m)
		}
	}
	if len(alive) == 0 {
		return heartbeater.Member{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return alive[r.rand.IntN(len(alive))], true
}
