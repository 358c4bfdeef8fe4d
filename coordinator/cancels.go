package coordinator

import (
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// earlyCancel is a cancellation that arrived before its job.
type earlyCancel struct {
	at       time.Time
	ofTenant bool // it applies to a job of this tenant only
	tenant   w.TenantName
}

// Cancel ends a job at its caller's request. The cancellation is already stored.
func (c *Coordinator) Cancel(id w.JobID) {
	j := c.jobs[id]
	if j == nil {
		// The job itself has not arrived from its instance yet.
		c.earlyCancels[id] = earlyCancel{at: c.now}
		return
	}
	if j.state.Final() {
		return
	}
	j.cancelled = true
	c.finish(j, w.Cancelled)
}

// CancelEarly cancels a job that was not stored when its client cancelled it. It has no
// effect on a job of another tenant.
func (c *Coordinator) CancelEarly(id w.JobID, tenant w.TenantName) {
	j := c.jobs[id]
	e, known := c.earlyCancels[id]
	switch {
	case j != nil && j.Tenant == tenant:
		c.Cancel(id)
	case j == nil && (!known || e.ofTenant):
		c.earlyCancels[id] = earlyCancel{at: c.now, ofTenant: true, tenant: tenant}
	}
}

// takeEarlyCancel reports whether a job that arrives was cancelled before, and forgets the
// cancellation.
func (c *Coordinator) takeEarlyCancel(j *w.Job) bool {
	e, ok := c.earlyCancels[j.ID]
	delete(c.earlyCancels, j.ID)
	return ok && (!e.ofTenant || e.tenant == j.Tenant)
}
