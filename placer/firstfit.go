package placer

import (
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

var _ Policy = (*FirstFit)(nil)

// FirstFit is the plain baseline: each task goes to the first target, in the
// order in which targets were added, that has room for it. Gangs get no
// reservation, and a target that is being probed counts as placeable. Every operation on all targets takes time linear in their number.
type FirstFit struct {
	mu    sync.Mutex
	nodes []*node
	byID  map[descriptor.TargetID]*node
}

// NewFirstFit returns a FirstFit without targets.
func NewFirstFit() *FirstFit {
	return &FirstFit{byID: make(map[descriptor.TargetID]*node)}
}

// AddTarget implements Policy.
func (f *FirstFit) AddTarget(t descriptor.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.byID[t.ID]
	if n == nil {
		n = &node{}
		f.byID[t.ID] = n
		f.nodes = append(f.nodes, n)
		if t.Leaving {
			n.state = Leaving
		}
	}
	n.target, n.capacity = t, t.Capacity
}

// RemoveTarget implements Policy.
func (f *FirstFit) RemoveTarget(id descriptor.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.byID[id]
	if n == nil {
		return
	}
	delete(f.byID, id)
	f.nodes = slices.DeleteFunc(f.nodes, func(o *node) bool { return o == n })
}

// SetState implements Policy.
func (f *FirstFit) SetState(id descriptor.TargetID, s TargetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.byID[id]; n != nil {
		n.state = s
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
	for _, n := range f.nodes {
		if n.state != Placeable && n.state != Probing || slices.Contains(d.Avoid, n.target.ID) {
			continue
		}
		for range copies(task, n.free(), tasks-len(placed)) {
			placed = append(placed, Assignment{Index: len(placed), Target: n.target.ID})
		}
		if len(placed) == tasks {
			break
		}
	}
	if len(placed) < tasks {
		return nil, NoRoom
	}
	for _, a := range placed {
		n := f.byID[a.Target]
		n.used = n.used.Add(task)
	}
	return placed, Placed
}

// Take implements Policy.
func (f *FirstFit) Take(id descriptor.TargetID, r descriptor.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.byID[id]; n != nil {
		n.used = n.used.Add(r)
	}
}

// Release implements Policy. What exceeds the amount in use is ignored.
func (f *FirstFit) Release(_ time.Time, id descriptor.TargetID, r descriptor.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.byID[id]; n != nil {
		n.used = clampZero(n.used.Sub(r))
	}
}

// Withdraw implements Policy. There are no reservations.
func (*FirstFit) Withdraw(descriptor.Key) {}

// NeverFits implements Policy. Without any target nothing is known to be too
// large.
func (f *FirstFit) NeverFits(r *descriptor.Request) string {
	if r.Resources.IsNegative() {
		return "needs a negative amount of a resource"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks, held := taskCount(r), 0
	var largest descriptor.Resources
	for _, n := range f.nodes {
		largest = maxOf(largest, n.capacity)
		if held += copies(r.Resources, n.capacity, tasks); held >= tasks {
			return ""
		}
	}
	switch {
	case len(f.nodes) == 0:
		return ""
	case held == 0:
		return tooLarge(r.Resources, largest)
	}
	return tooMany(tasks, held)
}

// Totals implements Policy.
func (f *FirstFit) Totals() (capacity, used descriptor.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.state == Placeable {
			capacity = capacity.Add(n.capacity)
			used = used.Add(n.used)
		}
	}
	return capacity, used
}
