package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// planPause is how long no reservation is planned after one was not possible, so
// that waiting gangs don't cost a search each time that they are asked about.
const planPause = 20 * time.Millisecond

// maxPlanned is the number of targets that the search for a reservation looks
// at before it settles for what it has found.
const maxPlanned = 128

// placeGang places all tasks of a request at once, or reserves targets for them.
func (p *Packer) placeGang(now time.Time, d Demand) ([]Assignment, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	task := runningTask{need: d.Request.Resources, end: momentOf(now.Add(d.Run))}
	tasks := taskCount(d.Request)
	var placed []Assignment
	put := func(s *slot, n int) {
		for range n {
			p.take(s, task)
			placed = append(placed, Assignment{Index: len(placed), Target: s.target.ID})
		}
	}
	if r := p.reservations[d.Request.Key]; r != nil {
		for _, h := range r.holds {
			put(h.slot, copies(task.need, h.slot.free(), tasks-len(placed)))
		}
	}
	for len(placed) < tasks {
		s := p.bestOpen(task.need, d.Avoid)
		if s == nil {
			p.undo(placed, task)
			return p.reserve(now, d)
		}
		put(s, copies(task.need, s.free(), tasks-len(placed)))
	}
	p.finish(d.Request.Key)
	return placed, Placed
}

// bestOpen returns the best target of the first shard that has room, or nil.
func (p *Packer) bestOpen(need descriptor.Resources, avoid []descriptor.TargetID) *slot {
	for i := p.tree.next(0, need); i >= 0; i = p.tree.next(i+1, need) {
		if s := p.shards[i].best(need, avoid, p.weights.Load()); s != nil {
			return s
		}
	}
	return nil
}

// undo gives back the tasks of a request that could not be placed as a whole.
// They were the last ones added to their slots.
func (p *Packer) undo(placed []Assignment, task runningTask) {
	for _, a := range placed {
		s := p.byID[a.Target]
		s.tasks = s.tasks[:len(s.tasks)-1]
		s.used = s.used.Sub(task.need)
		p.services.ended(task.group, s.target.Rack)
		p.cell.use(s, task.need.Scale(-1))
		p.refresh(s)
	}
}

// reserve returns the verdict for a request that finds no room now. It reserves
// targets for the request, unless it has a reservation or may not have one.
func (p *Packer) reserve(now time.Time, d Demand) ([]Assignment, Verdict) {
	key := d.Request.Key
	if p.reservations[key] != nil {
		return nil, Reserved
	}
	if now.Sub(d.Request.Arrived) < time.Duration(p.cfg.Patience*float64(d.Run)) {
		return nil, NoRoom
	}
	if p.blocked.key != key && now.Before(p.blocked.seen.Add(blockedFor)) {
		return nil, NoRoom
	}
	if now.Before(p.nextPlan) || now.Before(p.lapsed[key]) {
		return nil, NoRoom
	}
	r := p.plan(now, d)
	if r == nil || !p.mayHold(len(r.holds)) {
		p.block(now, key)
		p.nextPlan = now.Add(planPause)
		return nil, NoRoom
	}
	if p.blocked.key == key {
		p.blocked = blocked{}
	}
	p.reservations[key] = r
	for _, h := range r.holds {
		h.slot.held = h
		p.holds = append(p.holds, h.slot)
		p.refresh(h.slot)
	}
	p.limitAt(r.limit)
	return nil, Reserved
}

// mayHold reports whether n more targets may be reserved. A single reservation
// may name any number of targets.
func (p *Packer) mayHold(n int) bool {
	return len(p.holds) == 0 || float64(len(p.holds)+n) <= p.cfg.ReservedShare*float64(len(p.byID))
}

// block makes the request the next one to reserve. Without reservations of
// others there is nothing to wait for.
func (p *Packer) block(now time.Time, key descriptor.Key) {
	if len(p.holds) == 0 {
		p.blocked = blocked{}
		return
	}
	p.blocked = blocked{key: key, seen: now}
}

// opening says that from a time on, a number of tasks fit on a slot.
type opening struct {
	at     moment
	slot   *slot
	copies int
	// free is what is expected to be free on the slot at that time.
	free descriptor.Resources
}

// plan returns the reservation that is expected to start first, or nil if the
// targets that are not reserved can't hold the request. The forecast uses the
// estimated ends of the running tasks.
func (p *Packer) plan(now time.Time, d Demand) *reservation {
	tasks := taskCount(d.Request)
	openings := p.openings(now, d, tasks)
	slices.SortStableFunc(openings, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
	last := make(map[*slot]opening)
	total := 0
	for _, o := range openings {
		total += o.copies - last[o.slot].copies
		last[o.slot] = o
		if total >= tasks {
			return p.choose(now, d, last)
		}
	}
	return nil
}

// choose builds a reservation from openings that together hold all tasks. It
// names the targets that hold most of them, so that few targets are reserved.
func (p *Packer) choose(now time.Time, d Demand, last map[*slot]opening) *reservation {
	chosen := make([]opening, 0, len(last))
	for _, o := range last {
		chosen = append(chosen, o)
	}
	slices.SortFunc(chosen, func(a, b opening) int {
		if a.copies != b.copies {
			return b.copies - a.copies
		}
		if c := cmp.Compare(a.at, b.at); c != 0 {
			return c
		}
		return a.slot.order() - b.slot.order()
	})
	r := &reservation{key: d.Request.Key, start: now}
	left := taskCount(d.Request)
	for _, o := range chosen {
		n := min(o.copies, left)
		left -= n
		if at := time.Unix(0, int64(o.at)); at.After(r.start) {
			r.start = at
		}
		spare := o.free.Sub(d.Request.Resources.Scale(n))
		r.holds = append(r.holds, &hold{reservation: r, slot: o.slot, copies: n, spare: spare})
		if left == 0 {
			break
		}
	}
	r.limit = r.start.Add(max(p.cfg.Grace, r.start.Sub(now)/2))
	return r
}

// openings returns when and how often a task of the request will fit on the
// targets that may be reserved. It looks at maxPlanned targets, or at more if
// those can't hold all tasks. Each search begins where the last one has ended.
func (p *Packer) openings(now time.Time, d Demand, tasks int) []opening {
	var all []opening
	seen, total := 0, 0
	for range p.positions() {
		s := p.nextPosition()
		if s == nil || !s.open() || !d.Request.Resources.Fits(s.capacity) || avoided(s, d.Avoid) {
			continue
		}
		n := len(all)
		all = p.forecast(all, momentOf(now), s, d.Request.Resources, tasks)
		if len(all) > n {
			total += all[len(all)-1].copies
		}
		if seen++; seen >= maxPlanned && total >= tasks {
			break
		}
	}
	return all
}

// positions returns the number of positions of all shards.
func (p *Packer) positions() int {
	if len(p.shards) == 0 {
		return 0
	}
	last := len(p.shards) - 1
	return last*shardSize + len(p.shards[last].slots)
}

// nextPosition returns the slots in turn, nil for a vacant position.
func (p *Packer) nextPosition() *slot {
	if p.planFrom >= p.positions() {
		p.planFrom = 0
	}
	s := p.shards[p.planFrom/shardSize].slots[p.planFrom%shardSize]
	p.planFrom++
	return s
}

// ending is the expected end of a task.
type ending struct {
	at   moment
	need descriptor.Resources
}

// forecast appends the openings of one slot.
func (p *Packer) forecast(all []opening, now moment, s *slot, need descriptor.Resources, tasks int) []opening {
	free := s.free()
	fit := copies(need, free, tasks)
	if fit > 0 {
		all = append(all, opening{now, s, fit, free})
	}
	ends := p.ends[:0]
	for i := range s.tasks {
		if t := &s.tasks[i]; t.end != endless {
			ends = append(ends, ending{p.expectedEnd(now, t.end), t.need})
		}
	}
	p.ends = ends
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	for i := range ends {
		free = free.Add(ends[i].need)
		if n := copies(need, free, tasks); n > fit {
			fit = n
			all = append(all, opening{ends[i].at, s, n, free})
		}
	}
	return all
}

// expectedEnd returns when a task is expected to end. One that has overrun its
// estimate is expected to take as long again as it has overrun.
func (p *Packer) expectedEnd(now, end moment) moment {
	switch {
	case end == unknownEnd:
		return now + moment(p.cfg.UnknownRun)
	case end > now:
		return end
	}
	return now + max(now-end, moment(minOverrun))
}

// minOverrun is the remaining run time assumed for a task that is just due.
const minOverrun = 100 * time.Millisecond
