package placer

import (
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

var _ Policy = (*Packer)(nil)

// PackerConfig configures a Packer. The zero value is usable.
type PackerConfig struct{}

// Packer is a best-fit policy: each task goes to the target that has the least
// room left after it.
type Packer struct {
	FirstFit
	cfg PackerConfig
}

// NewPacker returns a Packer without targets.
func NewPacker(cfg PackerConfig) *Packer {
	return &Packer{FirstFit: *NewFirstFit(), cfg: cfg}
}

// Place implements Policy.
func (p *Packer) Place(_ time.Time, d Demand) ([]Assignment, Verdict) {
	task := d.Request.Resources
	if task.IsNegative() {
		return nil, NoRoom
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var placed []Assignment
	for len(placed) < taskCount(d.Request) {
		n := p.best(task, d.Avoid)
		if n == nil {
			p.undo(task, placed)
			return nil, NoRoom
		}
		n.used = n.used.Add(task)
		placed = append(placed, Assignment{Index: len(placed), Target: n.target.ID})
	}
	return placed, Placed
}

// best returns the target with the least room left after the task, or nil.
func (p *Packer) best(task descriptor.Resources, avoid []descriptor.TargetID) *node {
	var found *node
	least := 0.0
	for _, n := range p.nodes {
		if n.state != Placeable || !task.Fits(n.free()) || slices.Contains(avoid, n.target.ID) {
			continue
		}
		left := n.free().Sub(task).DominantShare(n.capacity)
		if found == nil || left < least {
			found, least = n, left
		}
	}
	return found
}

func (p *Packer) undo(task descriptor.Resources, placed []Assignment) {
	for _, a := range placed {
		n := p.byID[a.Target]
		n.used = n.used.Sub(task)
	}
}
