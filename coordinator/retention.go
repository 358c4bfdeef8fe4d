package coordinator

import (
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

const (
	// removalPeriod is the interval between removals of ended jobs and of their content.
	// Each takes a transaction for each partition of the store.
	removalPeriod = 5 * time.Second
	// maxRemovalsPerPeriod bounds the jobs that are removed at once, of which all instances
	// are told. Over time, all jobs that end have to be removed.
	maxRemovalsPerPeriod = 1000
)

// removeExpiredJobs removes ended jobs after the retention period, up to
// maxRemovalsPerPeriod of them.
func (c *Coordinator) removeExpiredJobs() {
	for id, j := range c.jobs {
		// The instances forget the state of a removed job, so it must be in the store.
		if j.state.Final() && j.endStored && c.now.Sub(j.endedAt) > c.Retention && !j.mayBeRunning() {
			delete(c.jobs, id)
			c.expireEndRow(id)
			delete(c.dirty, id)
			c.expiredJobs = append(c.expiredJobs, id)
			c.publish(linker.JobState{Job: id})
			if len(c.expiredJobs) >= maxRemovalsPerPeriod {
				return
			}
		}
	}
}

// dropContent has the content of completed jobs removed from the store, up to
// maxRemovalsPerPeriod of them. That of jobs with a tenant is needed to account for their
// last runs.
func (c *Coordinator) dropContent() {
	for id, j := range c.jobs {
		if j.state != w.Completed || !j.endStored || j.contentDropped || j.Tenant != "" {
			continue
		}
		j.contentDropped = true
		c.droppedContent = append(c.droppedContent, id)
		if len(c.droppedContent) >= maxRemovalsPerPeriod {
			return
		}
	}
}
