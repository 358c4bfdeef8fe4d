package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/heartbeater"
)

// Home returns the data centre that decides on the requests of a caller. It is
// the home set in the rule of the caller, or else the one chosen by rendezvous
// hashing (Thaler and Ravishankar, 1998) over the configured data centres, which
// needs no coordination between instances.
func (r *Router) Home(rules *descriptor.Rules, caller descriptor.CallerID) descriptor.DataCentreID {
	if rule, ok := rules.CallerRule(caller); ok && rule.Home != "" {
		return rule.Home
	}
	return rendezvousHash(caller, r.cfg.DataCentres)
}

// rendezvousHash returns the data centre with the highest hash for the caller.
func rendezvousHash(caller descriptor.CallerID, dcs []descriptor.DataCentreID) descriptor.DataCentreID {
	var best descriptor.DataCentreID
	var highest uint64
	for _, dc := range dcs {
		if w := xxhash.Sum64String(string(dc) + "/" + string(caller)); best == "" || w > highest {
			best, highest = dc, w
		}
	}
	return best
}

// sliceKey identifies a slice of a data centre.
type sliceKey struct {
	dc    descriptor.DataCentreID
	slice descriptor.SliceID
}

// ownerCache caches the owners of slices as learned from the replies of other
// instances. It is used for slices of other data centres, and for slices of this
// data centre if the local view of ownership is stale.
type ownerCache struct {
	mu      sync.Mutex
	bySlice map[sliceKey]descriptor.InstanceID
}

func (c *ownerCache) get(k sliceKey) (descriptor.InstanceID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, ok := c.bySlice[k]
	return id, ok
}

func (c *ownerCache) set(k sliceKey, id descriptor.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bySlice[k] = id
}

// invalidate removes the cached owner of a slice if it is still id.
func (c *ownerCache) invalidate(k sliceKey, id descriptor.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bySlice[k] == id {
		delete(c.bySlice, k)
	}
}

// selectPeer returns the cached owner of the slice if it is a known member of the
// data centre, or else a random live member, which replies with the owner. It
// never returns this instance.
func (r *Router) selectPeer(k sliceKey) (heartbeater.Member, bool) {
	var alive []heartbeater.Member
	owner, known := r.owners.get(k)
	for _, m := range r.cfg.Membership.Members(k.dc) {
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
