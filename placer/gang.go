package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// planRetryDelay is the delay after a failed reservation attempt before the next
// one is planned. It keeps waiting gangs from costing a search on every placement
// attempt.
const planRetryDelay = 20 * time.Millisecond

// maxPlanTargets is the number of targets after which the search for a reservation
// stops if the targets found can run the request.
const maxPlanTargets = 128

// placeGang places all tasks of a request at once or tries to reserve targets for
// them.
func (p *Packer) placeGang(now time.Time, d Demand) ([]Assignment, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	task := runningTask{need: d.Request.Resources, end: timestampOf(now.Add(d.RunTime))}
	tasks := taskCount(d.Request)
	var placed []Assignment
	assign := func(e *targetEntry, n int) {
		for range n {
			p.allocate(e, task)
			placed = append(placed, Assignment{Index: len(placed), Target: e.target.ID})
		}
	}
	if r := p.reservations[d.Request.Key]; r != nil {
		for _, t := range r.targets {
			assign(t.entry, fitCount(task.need, t.entry.free(), tasks-len(placed)))
		}
	}
	for len(placed) < tasks {
		e := p.bestTarget(task.need, d.Avoid)
		if e == nil {
			p.rollBack(placed, task)
			return p.reserve(now, d)
		}
		assign(e, fitCount(task.need, e.free(), tasks-len(placed)))
	}
	p.removeWaiting(d.Request.Key)
	return placed, Placed
}

// bestTarget returns the best fit in the first shard with a suitable target, or
// nil.
func (p *Packer) bestTarget(need descriptor.Resources, avoid []descriptor.TargetID) *targetEntry {
	for i := p.tree.next(0, need); i >= 0; i = p.tree.next(i+1, need) {
		if e := p.shards[i].bestFit(need, avoid, p.weights.Load()); e != nil {
			return e
		}
	}
	return nil
}

// rollBack releases the tasks of a request that could not be placed completely.
// They must be the last tasks added to their targets.
func (p *Packer) rollBack(placed []Assignment, task runningTask) {
	for _, a := range placed {
		e := p.byID[a.Target]
		e.tasks = e.tasks[:len(e.tasks)-1]
		e.used = e.used.Sub(task.need)
		p.services.removeTask(task.service, e.target.Rack)
		p.cell.addUsed(e, task.need.Scale(-1))
		p.updateIndex(e)
	}
}

// reserve reserves targets for a request that can't be placed now, if that is
// permitted and it has no reservation yet. It returns Reserved if the request has
// a reservation and NoRoom otherwise.
func (p *Packer) reserve(now time.Time, d Demand) ([]Assignment, Verdict) {
	key := d.Request.Key
	if p.reservations[key] != nil {
		return nil, Reserved
	}
	if now.Sub(d.Request.Arrived) < time.Duration(p.cfg.ReservationDelayFactor*float64(d.RunTime)) {
		return nil, NoRoom
	}
	if p.blocked.key != key && now.Before(p.blocked.lastAttempt.Add(blockedTTL)) {
		return nil, NoRoom
	}
	if now.Before(p.nextPlan) || now.Before(p.cooldowns[key]) {
		return nil, NoRoom
	}
	r := p.planReservation(now, d)
	if r == nil || !p.canReserve(len(r.targets)) {
		p.setBlocked(now, key)
		p.nextPlan = now.Add(planRetryDelay)
		return nil, NoRoom
	}
	if p.blocked.key == key {
		p.blocked = blockedRequest{}
	}
	p.reservations[key] = r
	for _, t := range r.targets {
		t.entry.reserved = t
		p.reservedTargets = append(p.reservedTargets, t.entry)
		p.updateIndex(t.entry)
	}
	p.scheduleExpiry(r.expiry)
	return nil, Reserved
}

// canReserve reports whether n more targets may be reserved. A reservation made
// while there is no other may hold any number of targets.
func (p *Packer) canReserve(n int) bool {
	return len(p.reservedTargets) == 0 || float64(len(p.reservedTargets)+n) <= p.cfg.MaxReservedFraction*float64(len(p.byID))
}

// setBlocked gives the request precedence for the next reservation. If no targets
// are reserved, there is nothing to wait for, so no request gets precedence.
func (p *Packer) setBlocked(now time.Time, key descriptor.Key) {
	if len(p.reservedTargets) == 0 {
		p.blocked = blockedRequest{}
		return
	}
	p.blocked = blockedRequest{key: key, lastAttempt: now}
}

// forecastPoint is a time from which a number of tasks is expected to fit on a
// target.
type forecastPoint struct {
	at    timestamp
	entry *targetEntry
	tasks int
	// free is the capacity of the target expected to be free at that time.
	free descriptor.Resources
}

// planReservation returns the reservation with the earliest expected start, or nil
// if the unreserved targets can't run the request. The forecast is based on the
// estimated ends of running tasks.
func (p *Packer) planReservation(now time.Time, d Demand) *reservation {
	tasks := taskCount(d.Request)
	points := p.forecastTargets(now, d, tasks)
	slices.SortStableFunc(points, func(a, b forecastPoint) int { return cmp.Compare(a.at, b.at) })
	latest := make(map[*targetEntry]forecastPoint)
	total := 0
	for _, point := range points {
		total += point.tasks - latest[point.entry].tasks
		latest[point.entry] = point
		if total >= tasks {
			return p.selectTargets(now, d, latest)
		}
	}
	return nil
}

// selectTargets builds a reservation from forecasts that together fit all tasks.
// It prefers targets that fit more tasks, to reserve as few targets as possible.
func (p *Packer) selectTargets(now time.Time, d Demand, latest map[*targetEntry]forecastPoint) *reservation {
	candidates := make([]forecastPoint, 0, len(latest))
	for _, point := range latest {
		candidates = append(candidates, point)
	}
	slices.SortFunc(candidates, func(a, b forecastPoint) int {
		if a.tasks != b.tasks {
			return b.tasks - a.tasks
		}
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return a.entry.ordinal() - b.entry.ordinal()
	})
	r := &reservation{key: d.Request.Key, start: now}
	remaining := taskCount(d.Request)
	for _, point := range candidates {
		n := min(point.tasks, remaining)
		remaining -= n
		if freeAt := time.Unix(0, int64(point.at)); freeAt.After(r.start) {
			r.start = freeAt
		}
		spare := point.free.Sub(d.Request.Resources.Scale(n))
		r.targets = append(r.targets, &reservedTarget{reservation: r, entry: point.entry, tasks: n, spare: spare})
		if remaining == 0 {
			break
		}
	}
	r.expiry = r.start.Add(max(p.cfg.GracePeriod, r.start.Sub(now)/2))
	return r
}

// forecastTargets returns when and how many tasks of the request are expected to
// fit on targets that may be reserved. It examines maxPlanTargets targets, or more
// if those can't run all tasks. Each search starts where the previous one ended.
func (p *Packer) forecastTargets(now time.Time, d Demand, tasks int) []forecastPoint {
	var points []forecastPoint
	examined, total := 0, 0
	for range p.positionCount() {
		e := p.nextPlanTarget()
		if e == nil || !e.isAvailable() || !d.Request.Resources.Fits(e.capacity) || isAvoided(e, d.Avoid) {
			continue
		}
		n := len(points)
		points = p.forecastTarget(points, timestampOf(now), e, d.Request.Resources, tasks)
		if len(points) > n {
			total += points[len(points)-1].tasks
		}
		if examined++; examined >= maxPlanTargets && total >= tasks {
			break
		}
	}
	return points
}

// positionCount returns the number of positions in all shards.
func (p *Packer) positionCount() int {
	if len(p.shards) == 0 {
		return 0
	}
	last := len(p.shards) - 1
	return last*shardSize + len(p.shards[last].entries)
}

// nextPlanTarget returns the targets in round-robin order, and nil for a vacant
// position.
func (p *Packer) nextPlanTarget() *targetEntry {
	if p.planCursor >= p.positionCount() {
		p.planCursor = 0
	}
	e := p.shards[p.planCursor/shardSize].entries[p.planCursor%shardSize]
	p.planCursor++
	return e
}

// taskEnd is the expected end of a task.
type taskEnd struct {
	at   timestamp
	need descriptor.Resources
}

// forecastTarget appends the forecast of one target to points.
func (p *Packer) forecastTarget(points []forecastPoint, now timestamp, e *targetEntry, need descriptor.Resources, tasks int) []forecastPoint {
	free := e.free()
	fit := fitCount(need, free, tasks)
	if fit > 0 {
		points = append(points, forecastPoint{now, e, fit, free})
	}
	ends := p.endsBuf[:0]
	for i := range e.tasks {
		if t := &e.tasks[i]; t.end != noEnd {
			ends = append(ends, taskEnd{p.expectedEnd(now, t.end), t.need})
		}
	}
	p.endsBuf = ends
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.at, b.at) })
	for i := range ends {
		free = free.Add(ends[i].need)
		if n := fitCount(need, free, tasks); n > fit {
			fit = n
			points = append(points, forecastPoint{ends[i].at, e, n, free})
		}
	}
	return points
}

// expectedEnd returns when a task with the estimated end is expected to end. A
// task that has exceeded its estimate is expected to run for as long again as the
// excess.
func (p *Packer) expectedEnd(now, end timestamp) timestamp {
	switch {
	case end == unknownEnd:
		return now + timestamp(p.cfg.DefaultRemainingRun)
	case end > now:
		return end
	}
	return now + max(now-end, timestamp(minRemainingRun))
}

// minRemainingRun is the minimum remaining run time assumed for a task that has
// reached its estimated end.
const minRemainingRun = 100 * time.Millisecond
