package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// member is an instance that makes the coordinator's calls to targets and to the advice
// service.
type member struct {
	id            w.InstanceID
	zone          string
	frame         *linker.Frame
	pendingStates []linker.JobState // state changes to send with the next frame
	sendStatesNow bool              // a caller of this instance waits for one of pendingStates
	pendingCounts []linker.Pending  // last counts sent to it
	limited       bool              // the last allowances sent to it limit a tenant
	adviceCalls   int               // advice calls that it was sent and has not answered
	freeAt        time.Time         // when its advice calls are expected to be answered
	assignmentKey string            // identifies the targets of its last assignment; "" forces a new one
	leaving       bool              // the instance is about to stop
}

// nextFrame returns the frame that will be sent to the member next.
func (m *member) nextFrame() *linker.Frame {
	if m.frame == nil {
		m.frame = new(linker.Frame)
	}
	return m.frame
}

// Join adds an instance and sends it the states of all jobs but those whose end is stored,
// which the instance reads when a caller asks for them. They are kept for minutes, and
// sending them to all instances takes a leader with a narrow link longer than the
// connections last.
func (c *Coordinator) Join(h *linker.Hello) {
	m := &member{id: h.Instance, zone: h.Zone}
	if old := c.members[h.Instance]; old != nil {
		c.removeMember(old)
	}
	c.members[h.Instance] = m
	c.sortMembers()
	f := m.nextFrame()
	f.Reset, f.NamesTenants = true, true
	for id, j := range c.jobs {
		if j.endStored {
			continue
		}
		s := linker.JobState{Job: id, State: j.visibleState(), Unsaved: c.endUnstored(j), Tenant: j.Tenant}
		s.Save = c.saver(&s) == m
		f.States = append(f.States, s)
	}
	c.assignmentsStale = true
	c.Log.Info("instance joined", "instance", h.Instance, "zone", h.Zone, "members", len(c.members), "states", len(f.States))
}

// sendStoredEnd sends the state of a job to the member if its end is stored, since the
// member may have joined after it.
func (m *member) sendStoredEnd(j *job) {
	if j.endStored {
		m.pendingStates = append(m.pendingStates, linker.JobState{Job: j.ID, State: j.state, Tenant: j.Tenant})
		m.sendStatesNow = true
	}
}

// visibleState returns the state that callers may see. A final state that was not
// published yet is reported as running.
func (j *job) visibleState() w.State {
	if j.state.Final() && !j.endPublished {
		return w.Running
	}
	return j.state
}

// Leave removes an instance whose connection was closed.
func (c *Coordinator) Leave(id w.InstanceID) {
	if m := c.members[id]; m != nil {
		c.removeMember(m)
		c.Log.Info("instance left", "instance", id, "members", len(c.members))
	}
}

func (c *Coordinator) removeMember(m *member) {
	delete(c.members, m.id)
	c.sortMembers()
	for _, t := range c.sortedTargets {
		if t.member == m {
			t.member = nil
		}
	}
	for id, a := range c.sentCalls {
		if a.member == m {
			c.closeAdviceCall(id, a)
		}
	}
	c.assignmentsStale = true
}

func (c *Coordinator) sortMembers() {
	c.sortedMembers = c.sortedMembers[:0]
	for _, m := range c.members {
		c.sortedMembers = append(c.sortedMembers, m)
	}
	slices.SortFunc(c.sortedMembers, func(a, b *member) int { return strings.Compare(string(a.id), string(b.id)) })
}

// assignTargets assigns each target to an instance, in the same data centre if
// possible, by rendezvous hashing. The coordinator's own instance calls targets only if
// there is no other.
func (c *Coordinator) assignTargets() {
	c.assignmentsStale = false
	if len(c.sortedMembers) == 0 {
		return
	}
	assigned := make(map[*member][]*target, len(c.sortedMembers))
	for _, t := range c.sortedTargets {
		best, bestScore := (*member)(nil), uint64(0)
		for _, sameZone := range [...]bool{true, false} {
			for _, m := range c.sortedMembers {
				if (sameZone && m.zone != t.Zone) || (m.id == c.Self && len(c.sortedMembers) > 1) || m.leaving {
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
			best = c.sortedMembers[0]
		}
		if t.member != best {
			t.member = best
			c.lastSession++
			t.session = c.lastSession
			t.answeredAtMember = 0
			c.generation++
			// Orders sent through the previous instance may be lost or still in
			// transit, so stop the runs that are starting and repeat the stop orders.
			for id, sl := range t.slots {
				sl.startedAtMember = 0
				if sl.step != nil && sl.step.tasks[sl.index].phase == starting && sl.step.tasks[sl.index].target == t {
					c.stopTask(sl.step, sl.index)
				} else if sl.stopping {
					c.sendStop(t, id, sl.run)
				}
			}
		}
		assigned[best] = append(assigned[best], t)
	}
	for _, m := range c.sortedMembers {
		a := &linker.Assign{Epoch: c.Epoch, Lease: c.Lease, Confirms: true}
		if c.suspended {
			a.Lease = 0
		}
		var key strings.Builder
		for _, t := range assigned[m] {
			a.Targets = append(a.Targets, linker.AssignedTarget{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation, Acked: t.ackedSeq, Session: t.session})
			fmt.Fprintf(&key, "%s@%s@%d@%d,", t.ID, t.Address, t.Incarnation, t.session)
		}
		if m.assignmentKey == key.String()+"." {
			continue
		}
		m.assignmentKey = key.String() + "."
		m.nextFrame().Assign = a
	}
}

// Receive processes a frame from an instance.
func (c *Coordinator) Receive(id w.InstanceID, f *linker.Frame, now time.Time) {
	c.now = now
	m := c.members[id]
	if m == nil {
		return
	}
	if f.Status != nil && f.Status.Leaving != m.leaving {
		m.leaving = f.Status.Leaving
		c.assignmentsStale = true
	}
	c.countRefusals(id, f.Status)
	for i := range f.Jobs {
		c.countArrival(id, &f.Jobs[i], f.Again)
		c.AddJob(&f.Jobs[i], !f.Again)
		if j := c.jobs[f.Jobs[i].ID]; j != nil {
			j.gateway = id
			m.sendStoredEnd(j)
		}
		m.nextFrame().Received = append(m.nextFrame().Received, f.Jobs[i].ID)
	}
	for _, e := range f.SavedEnds {
		c.RestoreStoredEnd(e.Job, e.State)
	}
	for _, e := range f.Ended {
		c.RestoreEnd(e)
		if j := c.jobs[e.Job]; j != nil {
			m.sendStoredEnd(j)
		}
	}
	for _, id := range f.Cancels {
		c.Cancel(id)
		m.nextFrame().Received = append(m.nextFrame().Received, id)
	}
	for _, e := range f.EarlyCancels {
		c.CancelEarly(e.Job, e.Tenant)
	}
	for i := range f.Results {
		if t := c.targets[f.Results[i].Target]; t == nil || t.member != m {
			f.Results[i].At = 0
		}
		c.HandleResult(&f.Results[i])
	}
	for i := range f.Reports {
		c.HandleReport(m, &f.Reports[i])
	}
	for i := range f.Advice {
		c.handleAdvice(m, &f.Advice[i])
	}
}
