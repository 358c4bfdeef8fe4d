package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// member is an instance that carries out calls for the coordinator.
type member struct {
	id      w.InstanceID
	zone    string
	frame   *linker.Frame
	states  []linker.JobState // to be sent with the next frame
	hurry   bool              // its callers wait for one of them
	pending []linker.Pending
	asks    int
	free    time.Time // when its lane to the advice service is expected to be free
	given   string    // the targets of its last assignment
	leaving bool      // it is about to stop
}

// due returns the frame that is sent to the member next.
func (m *member) due() *linker.Frame {
	if m.frame == nil {
		m.frame = new(linker.Frame)
	}
	return m.frame
}

// Join adds an instance and sends it all states.
func (c *Coordinator) Join(h *linker.Hello) {
	m := &member{id: h.Instance, zone: h.Zone}
	if old := c.members[h.Instance]; old != nil {
		c.dropMember(old)
	}
	c.members[h.Instance] = m
	c.sortMembers()
	f := m.due()
	f.Reset = true
	f.States = make([]linker.JobState, 0, len(c.jobs))
	for id, j := range c.jobs {
		f.States = append(f.States, linker.JobState{Job: id, State: j.shown(), Unsaved: j.unsavedEnd()})
	}
	c.assignDue = true
	c.Log.Info("instance joined", "instance", h.Instance, "zone", h.Zone, "members", len(c.members))
}

// shown returns the state that callers may see: an end that is not stored yet
// is not shown.
func (j *job) shown() w.State {
	if j.state.Final() && !j.published {
		return w.Running
	}
	return j.state
}

// unsavedEnd reports whether callers see an end that is not stored yet.
func (j *job) unsavedEnd() bool {
	return j.published && !j.saved && (j.state == w.Completed || j.state == w.Failed)
}

// Leave drops an instance whose connection has ended.
func (c *Coordinator) Leave(id w.InstanceID) {
	if m := c.members[id]; m != nil {
		c.dropMember(m)
		c.Log.Info("instance left", "instance", id, "members", len(c.members))
	}
}

func (c *Coordinator) dropMember(m *member) {
	delete(c.members, m.id)
	c.sortMembers()
	for _, t := range c.order {
		if t.member == m {
			t.member = nil
		}
	}
	for id, a := range c.asks {
		if a.member == m {
			c.closeAsk(id, a)
		}
	}
	c.assignDue = true
}

func (c *Coordinator) sortMembers() {
	c.ordered = c.ordered[:0]
	for _, m := range c.members {
		c.ordered = append(c.ordered, m)
	}
	slices.SortFunc(c.ordered, func(a, b *member) int { return strings.Compare(string(a.id), string(b.id)) })
}

// assign gives each target to an instance, in its data centre if there is one.
// The coordinator's own instance calls targets only if it is alone.
func (c *Coordinator) assign() {
	c.assignDue = false
	if len(c.ordered) == 0 {
		return
	}
	given := make(map[*member][]*target, len(c.ordered))
	for _, t := range c.order {
		best, bestScore := (*member)(nil), uint64(0)
		for _, near := range [...]bool{true, false} {
			for _, m := range c.ordered {
				if (near && m.zone != t.Zone) || (m.id == c.Self && len(c.ordered) > 1) || m.leaving {
					continue
				}
				if score := xxhash.Sum64String(string(m.id) + "/" + string(t.ID)); best == nil || score > bestScore {
					best, bestScore = m, score
				}
			}
			if best != nil {
				break
			}
		}
		if best == nil {
			best = c.ordered[0]
		}
		if t.member != best {
			t.member = best
			c.generation++
			// Orders of the earlier instance may be lost or still on their way.
			for id, sl := range t.slots {
				if sl.step != nil && sl.step.tasks[sl.i].phase == starting && sl.step.tasks[sl.i].target == t {
					c.stop(sl.step, sl.i)
				} else if sl.ending {
					c.sendStop(t, id, sl.run)
				}
			}
		}
		given[best] = append(given[best], t)
	}
	for _, m := range c.ordered {
		a := &linker.Assign{Epoch: c.Epoch, Lease: c.Lease}
		if c.suspended {
			a.Lease = 0
		}
		var key strings.Builder
		for _, t := range given[m] {
			a.Targets = append(a.Targets, linker.AssignedTarget{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation, Acked: t.acked})
			key.WriteString(string(t.ID) + "@" + t.Address + "@" + time.UnixMilli(int64(t.Incarnation)).String() + ",")
		}
		if m.given == key.String()+"." {
			continue
		}
		m.given = key.String() + "."
		m.due().Assign = a
	}
}

// Receive takes over a frame of an instance.
func (c *Coordinator) Receive(id w.InstanceID, f *linker.Frame, now time.Time) {
	c.now = now
	m := c.members[id]
	if m == nil {
		return
	}
	if f.Status != nil && f.Status.Leaving != m.leaving {
		m.leaving = f.Status.Leaving
		c.assignDue = true
	}
	for i := range f.Jobs {
		c.AddJob(&f.Jobs[i], !f.Again)
		if j := c.jobs[f.Jobs[i].ID]; j != nil {
			j.gateway = id
		}
		m.due().Received = append(m.due().Received, f.Jobs[i].ID)
	}
	for _, e := range f.Ended {
		c.Ended(e)
	}
	for _, id := range f.Cancels {
		c.Cancel(id)
		m.due().Received = append(m.due().Received, id)
	}
	for i := range f.Results {
		c.Result(&f.Results[i])
	}
	for i := range f.Reports {
		c.Report(m, &f.Reports[i])
	}
	for i := range f.Advice {
		c.advise(m, &f.Advice[i])
	}
}
