package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// maxClosedBytes bounds the names of steps in the roster, well below the size of
// a row. Further closed targets are listed as open.
const maxClosedBytes = 32 << 10

// listing is what the roster says of a target.
type listing struct {
	closed bool   // it gets no more starts
	steps  string // whose tasks it may run, if closed: sorted, each with a space after it
}

// roster is a roster by target.
type roster map[w.TargetID]listing

// open reports whether starts on a target are covered.
func (r roster) open(id w.TargetID) bool {
	l, ok := r[id]
	return ok && !l.closed
}

// covered reports whether the store lists a target as one that may get starts,
// and goes on to do so when the batch that is being stored is.
func (c *Coordinator) covered(id w.TargetID) bool {
	return c.roster.open(id) && (c.inFlight == nil || !c.inFlight.RosterChanged || c.inFlight.roster.open(id))
}

// neededRoster returns what the store must list: the targets that may be given
// work, and those that may still run something.
func (c *Coordinator) neededRoster() roster {
	r := make(roster, len(c.order))
	bytes := 0
	for _, t := range c.order {
		switch {
		case t.listed:
			r[t.ID] = listing{}
		case len(t.slots) > 0:
			l := t.closedListing()
			if old := c.roster[t.ID]; old.closed && old.includes(l) {
				// What it ran before is not worth another write.
				l = old
			}
			if bytes += len(l.steps); bytes > maxClosedBytes {
				l = listing{}
			}
			r[t.ID] = l
		}
	}
	for id, u := range c.unread {
		if _, ok := r[id]; !ok {
			r[id] = u.listing
		}
	}
	return r
}

// closedListing lists a target that gets no more starts.
func (t *target) closedListing() listing {
	var names []string
	for id := range t.slots {
		names = append(names, id.StepName()+" ")
	}
	slices.Sort(names)
	return listing{closed: true, steps: strings.Join(slices.Compact(names), "")}
}

// includes reports whether a closed listing names all steps of another one.
func (l listing) includes(o listing) bool {
	for _, name := range strings.Fields(o.steps) {
		if !l.names(name) {
			return false
		}
	}
	return true
}

// names reports whether a closed listing names a step.
func (l listing) names(step string) bool {
	return strings.HasPrefix(l.steps, step+" ") || strings.Contains(l.steps, " "+step+" ")
}

// stored returns the form in which the store keeps a roster.
func (r roster) stored() keeper.Roster {
	var k keeper.Roster
	for _, id := range slices.Sorted(maps.Keys(r)) {
		l := r[id]
		if !l.closed {
			k.Open = append(k.Open, id)
			continue
		}
		if k.Closed == nil {
			k.Closed = make(map[w.TargetID][]string)
		}
		k.Closed[id] = strings.Fields(l.steps)
	}
	return k
}

// unread is a target that the previous coordinator listed and that has not been
// read yet.
type unread struct {
	listing
	until time.Time // when its lease has surely ended
}

// loadRoster takes over the roster of the previous coordinator.
func (c *Coordinator) loadRoster(k *keeper.Roster) {
	until := c.now.Add(c.leaseBound() + officeSlack)
	for _, id := range k.Open {
		c.roster[id] = listing{}
	}
	for id, steps := range k.Closed {
		slices.Sort(steps)
		l := listing{closed: true}
		if len(steps) > 0 {
			l.steps = strings.Join(steps, " ") + " "
		}
		c.roster[id] = l
	}
	for id, l := range c.roster {
		c.unread[id] = unread{l, until}
	}
}

// mayRunElsewhere reports whether a target that has not been read yet, or a later
// coordinator, may run tasks of a step.
func (c *Coordinator) mayRunElsewhere(s *step) bool {
	if s.job.fresh {
		return false
	}
	if s.job.found && !c.renewed.After(s.job.took) {
		// A later coordinator may have got it first. If the leadership is confirmed
		// now, that coordinator will load the job and read all targets before it
		// starts it.
		return true
	}
	for _, u := range c.unread {
		if !u.closed || u.names(s.name) {
			return true
		}
	}
	return false
}
