package coordinator

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/masticlead/masticlead/linker"
	w "github.com/masticlead/masticlead/workload"
)

// slot is a run together with the resources that it occupies on a target.
type slot struct {
	step            *step // nil if the job is not known, or had ended when it was loaded
	index           int
	run             w.RunID
	resources       w.Resources
	account         *slotAccount  // what it counts for its tenant, or nil if the job is not known
	listedAt        time.Time     // last complete list of runs that contained the run
	missedSince     time.Time     // first list without it since, if its step is nil
	answered        bool          // the start order was answered at once, so that no copy of it is in transit
	stopping        bool          // a stop was ordered
	orderedAt       time.Time     // when its start was ordered or, for a run that was found, when it was found
	startedAt       time.Time     // when the target was first known to have started it, or an estimate for a run that was found
	startedAtMember time.Duration // time at the target's member at which it answered the start, or 0 if it is not known
}

type target struct {
	w.Target
	used              w.Resources
	slots             map[w.TaskID]*slot
	unknownSlots      int // slots of unknown jobs
	fillSlots         int // slots of tasks that run on idle CPU only
	servingSlots      int // slots of serving tasks, which have a tail latency goal
	member            *member
	session           int64         // numbers its assignments to members
	listed            bool          // on the platform's current list of targets
	listedIncarnation w.Incarnation // incarnation whose capacity and labels the list has shown
	synced            bool          // this coordinator has received a complete list of its runs
	replaced          bool          // its machine runs a later target
	reached           bool          // it has answered this coordinator, possibly in an earlier incarnation
	leaseExpired      bool          // its lease has certainly expired and its slots were released
	reportedAt        time.Time     // last report of a reachable target, or when the target was added or reset
	answeredAt        time.Time     // last answer of the target to any request
	answeredAtMember  time.Duration // time of that answer at its member, or 0 if it is not known
	closedAt          time.Time     // when it closed its connection, or its loss was noticed, if it has not answered since
	closed            bool          // it closed its connection and has not answered since
	absent            bool          // nobody or another target served its address, and it has not answered since
	probe             *slot         // run that started under suspicion, or nil, see probeOn
	lateLeaseEnd      time.Time     // when leases by late requests from before its restart have certainly expired
	endSeq            int64         // highest sequence number of a received end
	ackedSeq          int64         // highest acknowledged sequence number
	unackedEnds       []unackedEnd  // received ends after that, by sequence number
	health            health
	orphans           []orphanEnd // ends of jobs that are not known yet
	nominatedStep     *step       // step that preempted runs here and may use their resources first, until nominatedUntil
	nominatedUntil    time.Time
	bookings          []booking     // resources kept for the planned starts of gangs
	recentStarts      []recentStart // starts ordered within lateStartAge, by time
	stoppingResources w.Resources   // resources of runs that are being stopped
	claimed           w.Resources   // resources for which earlier steps of this placement round have requested advice
	reserved          bool          // only for the highest priority of its service, see reserve
	usableInRound     bool          // result of usable at the start of this placement round
	// leastUrgentPriority is an upper bound of the priority values of its runs.
	leastUrgentPriority int
	speedState
}

// recentStart is a start that was ordered a short time ago. A copy of the order that got
// no answer may still be carried out, also by the next incarnation of the target.
type recentStart struct {
	task w.TaskID
	run  w.RunID
	at   time.Time
}

// lateStartAge is the time after which a start order is no longer carried out.
const lateStartAge = 15 * time.Second

// forgetStarts removes the starts that are no longer recent.
func (t *target) forgetStarts(now time.Time) {
	for len(t.recentStarts) > 0 && now.Sub(t.recentStarts[0].at) > lateStartAge {
		t.recentStarts = t.recentStarts[1:]
	}
}

// free returns the resources that no run occupies.
func (t *target) free() w.Resources { return t.Capacity.Sub(t.used) }

// mayAnswer reports whether the target has answered this coordinator, or was first listed
// less than a lease ago. Other entries of the list may name a target that isn't there.
func (t *target) mayAnswer() bool { return t.reached || !t.leaseExpired }

// usable reports whether new tasks may be placed on a target.
func (c *Coordinator) usable(t *target) bool {
	return t.listed && !t.replaced && t.listedIncarnation == t.Incarnation && t.State == w.TargetReady && t.synced && t.member != nil && t.unknownSlots == 0 &&
		!t.health.unreachable && c.rosterAllowsStarts(t.ID) && !c.now.Before(t.health.quarantinedUntil)
}

// SetTargets applies the platform's list of targets. If the list is not complete,
// targets missing from it are kept.
func (c *Coordinator) SetTargets(list []w.Target, complete bool, now time.Time) {
	c.now = now
	listed := make(map[w.TargetID]bool, len(list))
	for i := range list {
		n := &list[i]
		listed[n.ID] = true
		t := c.targets[n.ID]
		if t == nil {
			t = &target{Target: *n, slots: make(map[w.TaskID]*slot), reportedAt: c.now}
			c.targets[n.ID] = t
			c.sortedTargets = append(c.sortedTargets, t)
			c.assignmentsStale = true
			c.generation++
			c.Log.Info("target listed", "target", n.ID, "incarnation", n.Incarnation, "zone", n.Zone)
		}
		if n.Incarnation > t.Incarnation && t.Incarnation != 0 {
			c.resetTarget(t, n.Incarnation)
		}
		if t.Address != n.Address || t.Incarnation != n.Incarnation || !t.listed {
			c.assignmentsStale = true
			c.generation++
		}
		if t.State != n.State {
			c.Log.Info("target state", "target", n.ID, "draining", n.State == w.TargetDraining, "remaining", n.Remaining)
			c.generation++
		}
		if n.Incarnation >= t.Incarnation {
			if t.listedIncarnation != n.Incarnation {
				t.listedIncarnation = n.Incarnation
				c.generation++
			}
			t.Target = *n
		}
		t.listed = true
		t.leaseExpired = false
	}
	c.releaseReplaced()
	for _, t := range c.sortedTargets {
		if complete && t.listed && !listed[t.ID] {
			t.listed = false
			c.Log.Info("target no longer listed", "target", t.ID, "slots", len(t.slots))
		}
	}
	slices.SortFunc(c.sortedTargets, func(a, b *target) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// releaseReplaced frees the slots of the targets that have ended and whose machines run a
// later target.
func (c *Coordinator) releaseReplaced() {
	latest := make(map[string]*target, len(c.sortedTargets))
	for _, t := range c.sortedTargets {
		if l := latest[t.Machine]; !t.answeredAt.IsZero() && (l == nil || t.Incarnation > l.Incarnation) {
			latest[t.Machine] = t
		}
	}
	for _, t := range c.sortedTargets {
		if l := latest[t.Machine]; l != nil {
			c.releaseIfReplaced(t, l)
		}
	}
}

// releaseIfReplaced frees the slots of a target whose address it no longer serves if a later
// one on its machine has answered since. Its row alone is no proof, as other writers leave
// rows, too, nor is a request without an answer.
func (c *Coordinator) releaseIfReplaced(t, by *target) {
	if t.Machine == "" || t.Machine != by.Machine || by.Incarnation <= t.Incarnation || !by.answeredAt.After(t.answeredAt) || !t.absent || t.replaced {
		return
	}
	t.replaced = true
	t.synced = false
	c.Log.Info("target replaced on its machine", "target", t.ID, "by", by.ID, "machine", t.Machine, "slots", len(t.slots), "silent", c.now.Sub(t.reportedAt))
	c.recordCrash(t, true)
	c.releaseSlots(t, "replaced")
}

// resetTarget discards the state that belongs to an earlier incarnation of a target.
func (c *Coordinator) resetTarget(t *target, incarnation w.Incarnation) {
	c.Log.Info("target has a new incarnation", "target", t.ID, "slots", len(t.slots))
	c.recordCrash(t, true)
	// The new incarnation may get requests with deadlines on the clock of the old one, and
	// carry out earlier ones that got no answer. It grants its longest lease for them.
	t.lateLeaseEnd = c.now.Add(lateStartAge + c.MaxLease*103/100)
	for id, sl := range t.slots {
		if sl.step != nil && (sl.listedAt.IsZero() || !sl.answered) {
			// Orders name the ID of a target only, so the new incarnation may still
			// carry out a start that got no answer. After it has answered the stop, it
			// rejects the start.
			sl.listedAt, sl.startedAt, sl.startedAtMember, sl.answered = time.Time{}, time.Time{}, 0, false
			if tk := &sl.step.tasks[sl.index]; tk.run == sl.run && tk.target == t && (tk.phase == starting || tk.phase == running) {
				c.stopTask(sl.step, sl.index)
			} else {
				c.stopSlot(t, id, sl)
			}
			continue
		}
		c.loseRun(t, id, sl, "restarted")
	}
	t.forgetStarts(c.now)
	for _, s := range t.recentStarts {
		// The new incarnation knows nothing of stops that the old one has answered.
		if sl := t.slots[s.task]; sl == nil || sl.run != s.run {
			c.sendStop(t, s.task, s.run)
		}
	}
	if c.Epoch > 1 && c.now.Sub(c.startedAt) < handoverMargin {
		// The new incarnation has not seen any epoch yet. Until this coordinator has
		// called it, an earlier coordinator that has not noticed its replacement may
		// start tasks there.
		c.tenants.uncertainStale = true
		c.unsynced[t.ID] = unsyncedTarget{leaseEnd: c.now.Add(c.maxLease() + handoverMargin)}
	} else {
		delete(c.unsynced, t.ID)
	}
	c.generation++
	t.Incarnation = incarnation
	t.endSeq, t.ackedSeq, t.orphans, t.unackedEnds = 0, 0, nil, nil
	delete(c.endSeqs, t.ID)
	t.synced = false
	t.closedAt, t.closed, t.absent, t.answeredAt, t.answeredAtMember = time.Time{}, false, false, time.Time{}, 0
	t.health = health{}
	t.speed.Restart()
	t.reportedAt = c.now
	c.assignmentsStale = true
}

// clockSkewMargin bounds the clock differences between instances and targets.
const clockSkewMargin = 1500 * time.Millisecond

// releaseSlots frees all slots of a target whose runs have certainly ended.
func (c *Coordinator) releaseSlots(t *target, reason string) {
	for id, sl := range t.slots {
		c.loseRun(t, id, sl, reason)
	}
	delete(c.unsynced, t.ID)
	c.generation++
}

// loseRun frees a slot whose run ended without a known result, and puts its task back
// into the waiting phase. The reason is logged and counted.
func (c *Coordinator) loseRun(t *target, id w.TaskID, sl *slot, reason string) {
	c.removeSlot(t, id, sl)
	s := sl.step
	if s == nil {
		return
	}
	s.job.survived = s.job.survived || t.survived(sl)
	tk := &s.tasks[sl.index]
	c.recordRelease(sl, t, reason)
	if tk.target == t && tk.run == sl.run && tk.phase != finished {
		s.job.stats.lostRuns++
		c.Meter.Count("lost", reason)
		c.Log.Info("run lost", "task", id, "run", sl.run, "target", t.ID, "incarnation", t.Incarnation, "reason", reason,
			"phase", tk.phase, "age", c.now.Sub(tk.phaseSince), "listed", !sl.listedAt.IsZero(), "epoch", c.Epoch)
		c.setPhase(s, sl.index, waiting)
		if s.Gang {
			c.stopGang(s)
		}
	}
}

// addSlot adds a slot to a target and accounts for its resources.
func (c *Coordinator) addSlot(t *target, id w.TaskID, sl *slot) {
	if old := t.slots[id]; old != nil {
		// A target runs a task at most once, so the new run replaces the old one.
		c.removeSlot(t, id, old)
	}
	if len(t.slots) == 0 {
		t.leastUrgentPriority = math.MinInt
	}
	if sl.step != nil {
		sl.step.tasks[sl.index].slots++
		t.leastUrgentPriority = max(t.leastUrgentPriority, c.priority(sl.step.job))
	}
	c.tenants.add(sl)
	t.slots[id] = sl
	t.used = t.used.Add(sl.resources)
	t.countSlot(sl, 1)
}

// countSlot adds n to the counter for the slot's kind of work.
func (t *target) countSlot(sl *slot, n int) {
	switch {
	case sl.step == nil:
		t.unknownSlots += n
	case sl.step.Fills:
		t.fillSlots += n
	case sl.step.TailMs > 0:
		t.servingSlots += n
	}
}

func (c *Coordinator) removeSlot(t *target, id w.TaskID, sl *slot) {
	if t.slots[id] != sl {
		return
	}
	delete(t.slots, id)
	if sl.step != nil {
		sl.step.tasks[sl.index].slots--
	}
	c.tenants.remove(sl)
	t.used = t.used.Sub(sl.resources)
	t.countSlot(sl, -1)
	if sl.stopping {
		t.stoppingResources = t.stoppingResources.Sub(sl.resources)
	}
	c.generation++
}

// expireTargets releases the slots of targets whose leases have certainly expired, and
// removes those of them that the platform no longer lists.
func (c *Coordinator) expireTargets() {
	for id, u := range c.unsynced {
		if c.now.After(u.leaseEnd) {
			delete(c.unsynced, id)
			c.generation++
			c.Log.Warn("lease expired on a target not synced since the handover", "target", id)
		}
	}
	for _, t := range c.sortedTargets {
		if t.leaseExpired || c.now.Sub(t.reportedAt) < c.maxLease()+renewalMargin ||
			(c.now.Before(t.lateLeaseEnd) && !t.absent) || c.waitsForHandover(t) {
			continue
		}
		t.leaseExpired = true
		t.synced = false
		if !t.replaced {
			c.recordCrash(t, false)
		}
		if len(t.slots) > 0 {
			c.Log.Warn("target lapsed", "target", t.ID, "slots", len(t.slots), "silent", c.now.Sub(t.reportedAt))
		}
		c.releaseSlots(t, "lapsed")
	}
	kept := c.sortedTargets[:0]
	for _, t := range c.sortedTargets {
		if !t.listed && len(t.slots) == 0 && t.leaseExpired {
			delete(c.targets, t.ID)
			t.usableInRound = false // steps may still refer to it
			c.assignmentsStale = true
			for len(t.bookings) > 0 {
				c.cancelBooking(t.bookings[0].step)
			}
			continue
		}
		kept = append(kept, t)
	}
	c.sortedTargets = kept
}

// waitsForHandover reports whether an earlier coordinator may have extended the lease of a
// target that this one has not reached. It may act for LeadershipGrace longer than the
// reports show that this one has received.
func (c *Coordinator) waitsForHandover(t *target) bool {
	u, waits := c.unsynced[t.ID]
	return waits && !c.now.After(u.leaseEnd) && !t.absent
}

// renewalMargin covers the lease renewals that an instance may have sent since the last
// report that was processed, with readings of the target's clock that are up to 2 s old.
const renewalMargin = linker.ReportValidity + 100*time.Millisecond

// HandleReport processes the report of a target.
func (c *Coordinator) HandleReport(m *member, r *linker.Report) {
	t := c.targets[r.Target]
	// Under an earlier assignment the member may have reported ends before that were
	// dropped. It extends leases until it receives the present one.
	current := t != nil && t.member == m && (r.Session == 0 || r.Session == t.session)
	if t != nil && !current && r.Incarnation == t.Incarnation && !r.Gone && !r.Unreachable {
		t.reportedAt = c.now
	}
	if !current {
		if len(r.Ends) > 0 {
			c.Meter.Count("endsDropped", "member")
			c.Log.Info("dropped ends reported by another instance", "target", r.Target, "instance", m.id, "ends", len(r.Ends), "first", r.Ends[0].Task)
		}
		return
	}
	if r.Gone || r.Incarnation > t.Incarnation {
		if r.Incarnation > t.Incarnation {
			c.resetTarget(t, r.Incarnation)
		}
		return
	}
	if r.Incarnation != t.Incarnation {
		if len(r.Ends) > 0 {
			c.Meter.Count("endsDropped", "incarnation")
			c.Log.Warn("dropped ends of an earlier incarnation", "target", t.ID, "incarnation", r.Incarnation, "current", t.Incarnation, "ends", len(r.Ends), "first", r.Ends[0].Task)
		}
		return
	}
	if r.Unreachable {
		if r.Closed {
			c.recordClosed(t)
		}
		t.absent = t.absent || r.Absent
		if !t.health.unreachable {
			t.health.unreachable = true
			c.Log.Warn("target unreachable", "target", t.ID, "slots", len(t.slots))
		}
		return
	}
	if t.health.unreachable {
		t.health.unreachable = false
		c.generation++
		c.Log.Info("target reachable again", "target", t.ID)
	}
	t.reportedAt, t.reached = c.now, true
	c.recordAnswer(t, r.At)
	t.leaseExpired = false
	for i := range r.Ends {
		c.handleEnd(t, &r.Ends[i])
	}
	if !r.Complete {
		return
	}
	c.reconcileRuns(t, r.Runs)
	if _, waits := c.unsynced[t.ID]; !t.synced && !(waits && r.Unsettled) {
		t.synced = true
		delete(c.unsynced, t.ID)
		c.generation++
		for _, o := range c.sortedTargets {
			c.releaseIfReplaced(o, t)
		}
	}
}
