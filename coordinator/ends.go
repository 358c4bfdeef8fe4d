package coordinator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// earlyEnd is the end of a job that arrived before the job.
type earlyEnd struct {
	state w.State
	at    time.Time
}

// SetStoreSlow records whether the store is failing or slow. While it is, the ends of
// jobs are published before they are stored, marked as unsaved. The instances show such an
// end once one of them has written it to the store, and pass it to the next coordinator.
func (c *Coordinator) SetStoreSlow(slow bool) {
	c.storeSlow = slow
	if !slow {
		return
	}
	if c.inFlight != nil {
		c.publishUnstored(c.inFlight.states)
	}
	c.publishUnstored(c.unstoredStates)
}

// publishUnstored publishes those of the given states that are final and were not
// published yet.
func (c *Coordinator) publishUnstored(states []linker.JobState) {
	for _, s := range states {
		if j := c.jobs[s.Job]; j != nil && s.State.Final() && !j.endPublished {
			c.publish(linker.JobState{Job: s.Job, State: s.State, Unsaved: true})
		}
	}
}

// RestoreEnd applies the end of a job that an earlier coordinator published. The job
// does not run again, even if neither the store nor any target still has a record of
// the end.
func (c *Coordinator) RestoreEnd(e linker.JobState) {
	if j := c.adoptEnd(e); j != nil && !j.endPublished {
		// All members keep the end until it is stored, so that it does not depend on
		// the instance that sent it.
		c.publish(linker.JobState{Job: e.Job, State: e.State, Unsaved: true})
	}
}

// adoptEnd moves a job to the final state that an earlier coordinator published. It
// returns nil if the job is unknown or has ended already.
func (c *Coordinator) adoptEnd(e linker.JobState) *job {
	if e.State != w.Completed && e.State != w.Failed {
		return nil
	}
	j := c.jobs[e.Job]
	if j == nil {
		// The job itself has not arrived from its instance yet.
		c.earlyEnds[e.Job] = earlyEnd{e.State, c.now}
		return nil
	}
	if j.state.Final() {
		return nil
	}
	c.Log.Info("applied job end published by an earlier coordinator", "job", e.Job, "state", e.State, "epoch", c.Epoch)
	c.finish(j, e.State)
	return j
}

// RestoreStoredEnd applies the end of a job that an instance wrote to the store, see
// keeper.SaveEnds. The row is removed once the final state of the job is stored.
func (c *Coordinator) RestoreStoredEnd(id w.JobID, state w.State) {
	c.endRows[id] = true
	c.adoptEnd(linker.JobState{Job: id, State: state})
	j := c.jobs[id]
	switch {
	case j == nil || !j.state.Final():
	case j.endStored:
		c.expireEndRow(id)
	case j.state == state:
		c.publish(linker.JobState{Job: id, State: state})
	}
}

// expireEndRow has the row that an instance wrote about a job's end removed with the next
// batch.
func (c *Coordinator) expireEndRow(id w.JobID) {
	if c.endRows[id] {
		delete(c.endRows, id)
		c.expiredEnds = append(c.expiredEnds, id)
	}
}

// endUnstored reports whether a job's end was published but is not stored yet.
func (c *Coordinator) endUnstored(j *job) bool {
	return j.endPublished && !j.endStored && !c.endRows[j.ID] && (j.state == w.Completed || j.state == w.Failed)
}

// saver returns the member that is to write an unsaved end to the store: the one that
// handed the job over or, if that is gone, any other one. It returns nil for other states.
func (c *Coordinator) saver(s *linker.JobState) *member {
	if !s.Unsaved || len(c.sortedMembers) == 0 {
		return nil
	}
	if j := c.jobs[s.Job]; j != nil && c.members[j.gateway] != nil {
		return c.members[j.gateway]
	}
	return c.sortedMembers[xxhash.Sum64String(string(s.Job))%uint64(len(c.sortedMembers))]
}
