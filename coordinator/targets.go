package coordinator

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// slot is a run that takes room on a target.
type slot struct {
	step   *step // nil for a run of an unknown job
	i      int
	run    w.RunID
	room   w.Resources
	seen   time.Time
	ending bool // its stop was ordered
}

type target struct {
	w.Target
	used     w.Resources
	slots    map[w.TaskID]*slot
	foreign  int // slots of unknown jobs
	fills    int // slots of tasks that use unused capacity
	serving  int // slots of tasks with a goal for their response times
	member   *member
	listed   bool // by the platform
	read     bool // a complete list was read by this coordinator
	lost     bool // its lease has lapsed without contact
	reported time.Time
	seen     int64 // highest end
	acked    int64
	health   health
	orphans  []orphan // ends of jobs that are not known yet
	held     *step    // room is reserved for this step
	heldTill time.Time
	bookings []booking
	coming   w.Resources // room of runs that are being stopped
	claimed  w.Resources // room for which earlier steps of this round ask for advice
	reserved bool        // for the most urgent work of its service
	open     bool        // usable in this round of placement
	// leastUrgent bounds the priorities of its runs from above.
	leastUrgent int
}

// free is the room that is left on a target.
func (t *target) free() w.Resources { return t.Capacity.Sub(t.used) }

// usable reports whether a target may be given new work.
func (c *Coordinator) usable(t *target) bool {
	return t.listed && t.State == w.TargetReady && t.read && t.member != nil && t.foreign == 0 &&
		!t.health.unreachable && c.covered(t.ID) && !c.now.Before(t.health.barred)
}

// SetTargets takes over the platform's list of targets. Targets that are missing
// from an incomplete list stay.
func (c *Coordinator) SetTargets(list []w.Target, complete bool, now time.Time) {
	c.now = now
	named := make(map[w.TargetID]bool, len(list))
	for i := range list {
		n := &list[i]
		named[n.ID] = true
		t := c.targets[n.ID]
		if t == nil {
			t = &target{Target: *n, slots: make(map[w.TaskID]*slot), reported: c.now}
			c.targets[n.ID] = t
			c.order = append(c.order, t)
			c.assignDue = true
			c.generation++
			c.Log.Info("target listed", "target", n.ID, "incarnation", n.Incarnation, "zone", n.Zone)
		}
		if n.Incarnation > t.Incarnation && t.Incarnation != 0 {
			c.reborn(t, n.Incarnation)
		}
		if t.Address != n.Address || t.Incarnation != n.Incarnation || !t.listed {
			c.assignDue = true
			c.generation++
		}
		if t.State != n.State {
			c.Log.Info("target state", "target", n.ID, "draining", n.State == w.TargetDraining, "remaining", n.Remaining)
			c.generation++
		}
		if n.Incarnation >= t.Incarnation {
			t.Target = *n
		}
		t.listed = true
		t.lost = false
	}
	for _, t := range c.order {
		if complete && t.listed && !named[t.ID] {
			t.listed = false
			c.Log.Info("target no longer listed", "target", t.ID, "slots", len(t.slots))
		}
	}
	slices.SortFunc(c.order, func(a, b *target) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// reborn drops all that an earlier incarnation of a target held.
func (c *Coordinator) reborn(t *target, incarnation w.Incarnation) {
	c.Log.Info("target has a new incarnation", "target", t.ID, "slots", len(t.slots))
	// An order that was sent about the time of the birth may have reached the
	// new incarnation: its slot stays until a list of runs tells.
	age := time.Duration(c.now.UnixMilli()-int64(incarnation))*time.Millisecond + birthSlack
	for id, sl := range t.slots {
		if sl.step != nil && c.now.Sub(sl.step.tasks[sl.i].since) < age {
			continue
		}
		c.lose(t, id, sl)
	}
	if c.Epoch > 1 && c.now.Sub(c.began) < officeSlack {
		// The new incarnation has seen no epoch, and an earlier coordinator that does
		// not know of this one may start something there before it is read.
		c.unread[t.ID] = unread{until: c.now.Add(c.leaseBound() + officeSlack)}
	} else {
		delete(c.unread, t.ID)
	}
	c.generation++
	t.Incarnation = incarnation
	t.seen, t.acked, t.orphans = 0, 0, nil
	delete(c.endsSeen, t.ID)
	t.read = false
	t.health = health{}
	t.reported = c.now
	c.assignDue = true
}

// birthSlack covers the differences between the clocks of instances and
// targets.
const birthSlack = 1500 * time.Millisecond

// vacate frees all slots of a target whose runs have surely ended.
func (c *Coordinator) vacate(t *target) {
	for id, sl := range t.slots {
		c.lose(t, id, sl)
	}
	delete(c.unread, t.ID)
	c.generation++
}

// lose frees a slot whose run ended without a known result.
func (c *Coordinator) lose(t *target, id w.TaskID, sl *slot) {
	c.free(t, id, sl)
	s := sl.step
	if s == nil {
		return
	}
	tk := &s.tasks[sl.i]
	if tk.target == t && tk.run == sl.run && tk.phase != finished {
		s.job.story.lost++
		c.setPhase(s, sl.i, waiting)
		if s.Gang {
			c.stopGang(s)
		}
	}
}

// occupy takes room on a target.
func (c *Coordinator) occupy(t *target, id w.TaskID, sl *slot) {
	if len(t.slots) == 0 {
		t.leastUrgent = math.MinInt
	}
	if sl.step != nil {
		t.leastUrgent = max(t.leastUrgent, c.priority(sl.step.job))
	}
	t.slots[id] = sl
	t.used = t.used.Add(sl.room)
	t.count(sl, 1)
}

// count notes that a slot of its kind comes or goes.
func (t *target) count(sl *slot, n int) {
	switch {
	case sl.step == nil:
		t.foreign += n
	case sl.step.Fills:
		t.fills += n
	case sl.step.TailMs > 0:
		t.serving += n
	}
}

func (c *Coordinator) free(t *target, id w.TaskID, sl *slot) {
	if t.slots[id] != sl {
		return
	}
	delete(t.slots, id)
	t.used = t.used.Sub(sl.room)
	t.count(sl, -1)
	if sl.ending {
		t.coming = t.coming.Sub(sl.room)
	}
	c.generation++
}

// expireTargets gives up targets whose leases have surely ended.
func (c *Coordinator) expireTargets() {
	for id, u := range c.unread {
		if c.now.After(u.until) {
			delete(c.unread, id)
			c.generation++
			c.Log.Warn("unread target of the earlier coordinator lapsed", "target", id)
		}
	}
	for _, t := range c.order {
		if t.lost || c.now.Sub(t.reported) < c.leaseBound()+reportSlack {
			continue
		}
		t.lost = true
		t.read = false
		if len(t.slots) > 0 {
			c.Log.Warn("target lapsed", "target", t.ID, "slots", len(t.slots), "silent", c.now.Sub(t.reported))
		}
		c.vacate(t)
	}
	kept := c.order[:0]
	for _, t := range c.order {
		if !t.listed && len(t.slots) == 0 && t.lost {
			delete(c.targets, t.ID)
			c.assignDue = true
			for len(t.bookings) > 0 {
				c.unbook(t.bookings[0].step)
			}
			continue
		}
		kept = append(kept, t)
	}
	c.order = kept
}

// reportSlack covers renewals that an instance has sent since its last report:
// one long poll and the silence after which it stops renewing.
const reportSlack = linker.Silence + 1200*time.Millisecond

// Report takes over what a target said.
func (c *Coordinator) Report(m *member, r *linker.Report) {
	t := c.targets[r.Target]
	if t == nil || t.member != m {
		return
	}
	if r.Gone || r.Incarnation > t.Incarnation {
		if r.Incarnation > t.Incarnation {
			c.reborn(t, r.Incarnation)
		}
		return
	}
	if r.Incarnation != t.Incarnation {
		return
	}
	if r.Unreachable {
		if !t.health.unreachable {
			t.health.unreachable = true
			c.Log.Warn("target unreachable", "target", t.ID, "slots", len(t.slots))
		}
		return
	}
	if t.health.unreachable {
		t.health.unreachable = false
		c.generation++
		c.Log.Info("target answers again", "target", t.ID)
	}
	t.reported = c.now
	t.lost = false
	for i := range r.Ends {
		c.end(t, &r.Ends[i])
	}
	if !r.Complete {
		return
	}
	c.list(t, r.Runs)
	if !t.read {
		t.read = true
		delete(c.unread, t.ID)
		c.generation++
	}
}
