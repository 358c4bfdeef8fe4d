package coordinator

import (
	"maps"
	"time"

	w "github.com/masticlead/masticlead/workload"
)

// An instance whose advice calls fail is free again at once, so it would always be the one
// expected to answer the next call first. It gets none for a time that doubles with each
// failure, unless all instances fail.

const (
	// minAdviserPause and maxAdviserPause bound the time for which an instance gets no
	// advice calls after one has failed.
	minAdviserPause = 100 * time.Millisecond
	maxAdviserPause = 8 * time.Second
)

// adviserFailures are the successive failures of an instance's advice calls.
type adviserFailures struct {
	count       int
	pausedUntil time.Time
}

// recordAdviceFailure records that an advice call of an instance failed or got no answer.
func (c *Coordinator) recordAdviceFailure(m *member) {
	maps.DeleteFunc(c.adviserFailures, func(id w.InstanceID, _ adviserFailures) bool { return c.members[id] == nil })
	f := c.adviserFailures[m.id]
	pause := min(maxAdviserPause, minAdviserPause<<min(f.count, 16))
	f.count++
	f.pausedUntil = c.now.Add(pause)
	c.adviserFailures[m.id] = f
	c.Meter.Count("advice", "failed")
	if f.count&(f.count-1) == 0 {
		c.Log.Info("advice calls fail", "instance", m.id, "failures", f.count, "pause", pause)
	}
}

// updateAdvisers determines the instances that may make advice calls in this round.
func (c *Coordinator) updateAdvisers() {
	c.advisers = c.advisers[:0]
	for _, m := range c.sortedMembers {
		if f, ok := c.adviserFailures[m.id]; !ok || !c.now.Before(f.pausedUntil) {
			c.advisers = append(c.advisers, m)
		}
	}
	if len(c.advisers) == 0 {
		c.advisers = append(c.advisers, c.sortedMembers...)
	}
}
