package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/masticlead/masticlead/keeper"
	w "github.com/masticlead/masticlead/workload"
)

// maxClosedBytes bounds the total length of the step names in the roster, well below
// the size limit of a row. Closed targets beyond it get open entries.
const maxClosedBytes = 32 << 10

// rosterEntry is the roster's entry for one target. An entry that is not closed is open:
// the target may get starts and may be running anything.
type rosterEntry struct {
	closed bool   // gets no more starts
	steps  string // if closed: sorted names of the steps whose tasks it may run, each followed by a space
}

// roster maps targets to their entries.
type roster map[w.TargetID]rosterEntry

// allowsStarts reports whether a target has an open entry.
func (r roster) allowsStarts(id w.TargetID) bool {
	e, ok := r[id]
	return ok && !e.closed
}

// rosterAllowsStarts reports whether a target has an open entry both in the stored
// roster and in the one that is being stored, if any.
func (c *Coordinator) rosterAllowsStarts(id w.TargetID) bool {
	return c.roster.allowsStarts(id) && (c.inFlight == nil || !c.inFlight.RosterChanged || c.inFlight.roster.allowsStarts(id))
}

// requiredRoster returns the roster that must be stored: the targets on which tasks may
// be started, and those on which tasks may still be running. A target that has not answered
// for a lease since it was first listed is not in it, since the next coordinator waits for
// the leases of all that are.
func (c *Coordinator) requiredRoster() roster {
	r := make(roster, len(c.sortedTargets))
	bytes := 0
	for _, t := range c.sortedTargets {
		switch {
		case t.listed && t.mayAnswer():
			r[t.ID] = rosterEntry{}
		case len(t.slots) > 0:
			e := t.closedEntry()
			if old := c.roster[t.ID]; old.closed && old.includes(e) {
				// The old entry may name more steps than needed, which is safe and
				// saves a write.
				e = old
			}
			if bytes += len(e.steps); bytes > maxClosedBytes {
				e = rosterEntry{}
			}
			r[t.ID] = e
		}
	}
	for id, u := range c.unsynced {
		if _, ok := r[id]; !ok {
			r[id] = u.rosterEntry
		}
	}
	return r
}

// closedEntry returns the roster entry for a target that gets no more starts.
func (t *target) closedEntry() rosterEntry {
	var names []string
	for id := range t.slots {
		names = append(names, id.StepName()+" ")
	}
	slices.Sort(names)
	return rosterEntry{closed: true, steps: strings.Join(slices.Compact(names), "")}
}

// includes reports whether a closed entry names all steps that another one names.
func (e rosterEntry) includes(o rosterEntry) bool {
	for _, name := range strings.Fields(o.steps) {
		if !e.hasStep(name) {
			return false
		}
	}
	return true
}

// hasStep reports whether a closed entry names a step.
func (e rosterEntry) hasStep(step string) bool {
	return strings.HasPrefix(e.steps, step+" ") || strings.Contains(e.steps, " "+step+" ")
}

// toKeeper converts a roster to the form that is stored.
func (r roster) toKeeper() keeper.Roster {
	var k keeper.Roster
	for _, id := range slices.Sorted(maps.Keys(r)) {
		e := r[id]
		if !e.closed {
			k.Open = append(k.Open, id)
			continue
		}
		if k.Closed == nil {
			k.Closed = make(map[w.TargetID][]string)
		}
		k.Closed[id] = strings.Fields(e.steps)
	}
	return k
}

// unsyncedTarget is a target that was in the previous coordinator's roster, or restarted
// shortly after the handover, and is not synced yet.
type unsyncedTarget struct {
	rosterEntry
	leaseEnd time.Time // when its lease has certainly expired
}

// loadRoster initializes the roster from the one that the previous coordinator stored.
// All targets in it are unsynced.
func (c *Coordinator) loadRoster(k *keeper.Roster) {
	until := c.now.Add(c.maxLease() + handoverMargin)
	for _, id := range k.Open {
		c.roster[id] = rosterEntry{}
	}
	for id, steps := range k.Closed {
		slices.Sort(steps)
		e := rosterEntry{closed: true}
		if len(steps) > 0 {
			e.steps = strings.Join(steps, " ") + " "
		}
		c.roster[id] = e
	}
	for id, e := range c.roster {
		c.unsynced[id] = unsyncedTarget{e, until}
	}
}

// mayRunElsewhere reports whether tasks of a step may be running on an unsynced target,
// or may be started by a later coordinator.
func (c *Coordinator) mayRunElsewhere(s *step) bool {
	if s.job.fresh {
		return false
	}
	if s.job.missingFromSnapshot && !c.renewedAt.After(s.job.addedAt) {
		// A later coordinator may have received the job first. If the leadership is
		// confirmed after the job was added, any later coordinator loads the job from
		// the store and waits for all targets to be synced before it starts the job.
		return true
	}
	for _, u := range c.unsynced {
		if !u.closed || u.hasStep(s.name) {
			return true
		}
	}
	return false
}
