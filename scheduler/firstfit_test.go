package scheduler

import (
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
)

// firstFit is the simplest placer: the first target with room.
type firstFit struct {
	order   []descriptor.TargetID
	targets map[descriptor.TargetID]*fitTarget
}

type fitTarget struct {
	capacity, used descriptor.Resources
	state          placer.TargetState
}

func newFirstFit() *firstFit {
	return &firstFit{targets: map[descriptor.TargetID]*fitTarget{}}
}

func (f *firstFit) AddTarget(t descriptor.Target) {
	if got, ok := f.targets[t.ID]; ok {
		got.capacity = t.Capacity
		return
	}
	f.targets[t.ID] = &fitTarget{capacity: t.Capacity}
	f.order = append(f.order, t.ID)
}

func (f *firstFit) RemoveTarget(id descriptor.TargetID) { delete(f.targets, id) }

func (f *firstFit) SetState(id descriptor.TargetID, s placer.TargetState) {
	if t, ok := f.targets[id]; ok {
		t.state = s
	}
}

func (f *firstFit) Place(_ time.Time, d placer.Demand) ([]placer.Assignment, placer.Verdict) {
	var out []placer.Assignment
	for i := range d.Request.Tasks {
		id, ok := f.find(d)
		if !ok {
			for _, a := range out {
				f.Release(time.Time{}, a.Target, d.Request.Resources)
			}
			return nil, placer.NoRoom
		}
		f.Take(id, d.Request.Resources)
		out = append(out, placer.Assignment{Index: i, Target: id})
	}
	return out, placer.Placed
}

func (f *firstFit) find(d placer.Demand) (descriptor.TargetID, bool) {
next:
	for _, id := range f.order {
		t, ok := f.targets[id]
		if !ok || t.state != placer.Placeable || !d.Request.Resources.Fits(t.capacity.Sub(t.used)) {
			continue
		}
		for _, avoid := range d.Avoid {
			if avoid == id {
				continue next
			}
		}
		return id, true
	}
	return "", false
}

func (f *firstFit) Take(id descriptor.TargetID, r descriptor.Resources) {
	if t, ok := f.targets[id]; ok {
		t.used = t.used.Add(r)
	}
}

func (f *firstFit) Release(_ time.Time, id descriptor.TargetID, r descriptor.Resources) {
	if t, ok := f.targets[id]; ok {
		t.used = t.used.Sub(r)
	}
}

func (f *firstFit) Withdraw(descriptor.Key) {}

func (f *firstFit) NeverFits(r *descriptor.Request) string {
	for _, t := range f.targets {
		if r.Resources.Fits(t.capacity) {
			return ""
		}
	}
	return "no target is large enough"
}

func (f *firstFit) Totals() (capacity, used descriptor.Resources) {
	for _, t := range f.targets {
		if t.state == placer.Placeable {
			capacity, used = capacity.Add(t.capacity), used.Add(t.used)
		}
	}
	return capacity, used
}
