package placer

import (
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

var _ Policy = (*FirstFit)(nil)

// FirstFit is a baseline policy: each task is placed on the first target with
// enough free capacity, in the order in which targets were added. It makes no
// reservations and treats probing targets as placeable. Operations that scan the
// targets take linear time.
type FirstFit struct {
	mu      sync.Mutex
	targets []*targetUsage
	byID    map[descriptor.TargetID]*targetUsage
}

// NewFirstFit returns a FirstFit without targets.
func NewFirstFit() *FirstFit {
	return &FirstFit{byID: make(map[descriptor.TargetID]*targetUsage)}
}

// AddTarget implements Policy.
func (f *FirstFit) AddTarget(t descriptor.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.byID[t.ID]
	if u == nil {
		u = &targetUsage{}
		f.byID[t.ID] = u
		f.targets = append(f.targets, u)
		if t.Leaving {
			u.state = Leaving
		}
	}
	u.target, u.capacity = t, t.Capacity
}

// RemoveTarget implements Policy.
func (f *FirstFit) RemoveTarget(id descriptor.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.byID[id]
	if u == nil {
		return
	}
	delete(f.byID, id)
	f.targets = slices.DeleteFunc(f.targets, func(o *targetUsage) bool { return o == u })
}

// SetState implements Policy.
func (f *FirstFit) SetState(id descriptor.TargetID, s TargetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.byID[id]; u != nil {
		u.state = s
	}
}

// Place implements Policy.
func (f *FirstFit) Place(_ time.Time, d Demand) ([]Assignment, Verdict) {
	task := d.Request.Resources
	if task.IsNegative() {
		return nil, NoRoom
	}
	tasks := taskCount(d.Request)
	f.mu.Lock()
	defer f.mu.Unlock()
	placed := make([]Assignment, 0, tasks)
	for _, u := range f.targets {
		if u.state != Placeable && u.state != Probing || slices.Contains(d.Avoid, u.target.ID) {
			continue
		}
		for range fitCount(task, u.free(), tasks-len(placed)) {
			placed = append(placed, Assignment{Index: len(placed), Target: u.target.ID})
		}
		if len(placed) == tasks {
			break
		}
	}
	if len(placed) < tasks {
		return nil, NoRoom
	}
	for _, a := range placed {
		u := f.byID[a.Target]
		u.used = u.used.Add(task)
	}
	return placed, Placed
}

// AddRunning implements Policy.
func (f *FirstFit) AddRunning(id descriptor.TargetID, r descriptor.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.byID[id]; u != nil {
		u.used = u.used.Add(r)
	}
}

// Release implements Policy. Resources beyond those in use are ignored.
func (f *FirstFit) Release(_ time.Time, id descriptor.TargetID, r descriptor.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.byID[id]; u != nil {
		u.used = clampToZero(u.used.Sub(r))
	}
}

// CancelReservation implements Policy. It does nothing, since FirstFit makes no
// reservations.
func (*FirstFit) CancelReservation(descriptor.Key) {}

// NeverFits implements Policy. It accepts any request while there are no targets.
func (f *FirstFit) NeverFits(r *descriptor.Request) string {
	if r.Resources.IsNegative() {
		return "needs a negative amount of a resource"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks, total := taskCount(r), 0
	var largest descriptor.Resources
	for _, u := range f.targets {
		largest = maxResources(largest, u.capacity)
		if total += fitCount(r.Resources, u.capacity, tasks); total >= tasks {
			return ""
		}
	}
	switch {
	case len(f.targets) == 0:
		return ""
	case total == 0:
		return tooLargeReason(r.Resources, largest)
	}
	return tooManyTasksReason(tasks, total)
}

// Totals implements Policy.
func (f *FirstFit) Totals() (capacity, used descriptor.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.targets {
		if u.state == Placeable {
			capacity = capacity.Add(u.capacity)
			used = used.Add(u.used)
		}
	}
	return capacity, used
}
