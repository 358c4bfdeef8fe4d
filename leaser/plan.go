package leaser

import (
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

// assignment maps each slice to an instance. In a plan, an empty name means that
// the owner of the slice doesn't change.
type assignment [descriptor.SliceCount]descriptor.InstanceID

// assign distributes the slices so that the numbers per member differ by at most
// one and as few slices as possible change their owner. owners maps the slices to
// their current owners: a slice with an empty owner is free, and one whose owner
// isn't a member can't be reassigned. The result is deterministic, so that
// instances that read the same rows compute the same plan.
func assign(owners assignment, members []descriptor.InstanceID) assignment {
	var to assignment
	if len(members) == 0 {
		return to
	}
	counts := make(map[descriptor.InstanceID]int, len(members))
	for _, m := range members {
		counts[m] = 0
	}
	total := 0
	for _, o := range owners {
		if _, member := counts[o]; member {
			counts[o]++
			total++
		} else if o == "" {
			total++
		}
	}
	quota := quotas(counts, total)
	var unassigned []int
	for s, o := range owners {
		switch _, member := counts[o]; {
		case o == "":
			unassigned = append(unassigned, s)
		case !member:
			// The owner may still hold a lease.
		case quota[o] > 0:
			quota[o]--
			to[s] = o
		default:
			unassigned = append(unassigned, s)
		}
	}
	receivers := sortedKeys(quota)
	for _, s := range unassigned {
		for quota[receivers[0]] == 0 {
			receivers = receivers[1:]
		}
		to[s] = receivers[0]
		quota[receivers[0]]--
	}
	return to
}

// quotas returns how many of total slices each member should own. The members
// that own the most slices get the larger quotas, so that fewer slices move.
func quotas(counts map[descriptor.InstanceID]int, total int) map[descriptor.InstanceID]int {
	order := sortedKeys(counts)
	slices.SortStableFunc(order, func(a, b descriptor.InstanceID) int { return counts[b] - counts[a] })
	quota := make(map[descriptor.InstanceID]int, len(order))
	for n, m := range order {
		quota[m] = total / len(order)
		if n < total%len(order) {
			quota[m]++
		}
	}
	return quota
}

func sortedKeys(m map[descriptor.InstanceID]int) []descriptor.InstanceID {
	keys := make([]descriptor.InstanceID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// plan assigns the slices to the live instances except the excluded one. The
// caller holds mu.
func (l *Leaser) plan(exclude descriptor.InstanceID) assignment {
	var members []descriptor.InstanceID
	for id, m := range l.members {
		if id != exclude && (id == l.cfg.Instance || l.isLive(id, m)) {
			members = append(members, id)
		}
	}
	if exclude != l.cfg.Instance && !slices.Contains(members, l.cfg.Instance) {
		members = append(members, l.cfg.Instance)
	}
	var owners assignment
	for s := range l.slices {
		if row := l.slices[s].row; row.Owner != exclude && !l.isOrphaned(row) {
			owners[s] = row.Owner
		}
	}
	return assign(owners, members)
}

// isLive reports whether an instance renews its session and the failure detector
// considers it alive. The caller holds mu.
func (l *Leaser) isLive(id descriptor.InstanceID, m *member) bool {
	if m.lastSeen.Sub(m.firstSeen) >= m.renewal.leaseDuration() {
		return false
	}
	return l.alive == nil || l.alive[id]
}

// isOrphaned reports whether, by the last read, the owner of a slice has no
// session. The caller holds mu.
func (l *Leaser) isOrphaned(row sliceRow) bool {
	if row.Owner == l.cfg.Instance {
		return l.current == nil || l.current.session.Incarnation != row.Incarnation
	}
	m := l.members[row.Owner]
	return m == nil || m.renewal.Incarnation != row.Incarnation
}
