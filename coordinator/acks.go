package coordinator

import (
	"slices"

	w "github.com/masticlead/masticlead/workload"
)

// unackedEnd is an end of a run that was received and is not acknowledged yet. Its target
// forgets it once it is, so the job's progress must be stored before.
type unackedEnd struct {
	seq int64
	job w.JobID
}

// ackableSeq returns the highest sequence number, at most seq, up to which the ends of a
// target can be acknowledged.
func (c *Coordinator) ackableSeq(t *target, seq int64) int64 {
	for i := range t.orphans {
		seq = min(seq, t.orphans[i].end.Seq-1)
	}
	if len(c.unstored) == 0 {
		return seq
	}
	for _, e := range t.unackedEnds {
		if c.unstored[e.job] {
			return min(seq, e.seq-1)
		}
	}
	return seq
}

// acknowledge records that the ends up to seq are acknowledged.
func (t *target) acknowledge(seq int64) {
	t.ackedSeq = seq
	n := 0
	for n < len(t.unackedEnds) && t.unackedEnds[n].seq <= seq {
		n++
	}
	t.unackedEnds = slices.Delete(t.unackedEnds, 0, n)
}

// recordRefused records which jobs of a batch the store refused. They are saved again with
// the next batch, and hold up the acknowledgements of their targets until they are stored.
func (c *Coordinator) recordRefused(b *Batch) {
	for i := range b.Progress {
		id := b.Progress[i].ID
		switch j := c.jobs[id]; {
		case !b.refused[id] || j == nil:
			c.recordStored(id)
		default:
			if !c.unstored[id] {
				c.Log.Error("progress of a job is not stored; the ends of its runs are not acknowledged", "job", id, "state", j.state, "epoch", c.Epoch)
			}
			c.unstored[id] = true
			c.dirty[id] = j
		}
	}
}

// recordStored records that the progress of a job is stored. The ends that it held up can
// be acknowledged with the next batch.
func (c *Coordinator) recordStored(id w.JobID) {
	if !c.unstored[id] {
		return
	}
	delete(c.unstored, id)
	c.Log.Info("progress of a job is stored again", "job", id, "epoch", c.Epoch)
	for _, t := range c.sortedTargets {
		if slices.ContainsFunc(t.unackedEnds, func(e unackedEnd) bool { return e.job == id }) {
			c.endSeqs[t.ID] = endSeq{t.Incarnation, t.endSeq}
		}
	}
}
