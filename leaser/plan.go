package leaser

import (
	"slices"

	"github.com/masticlead/masticlead/descriptor"
)

// assignment names the instance that should own each slice. An empty name
// means that the slice is left as it is.
type assignment [descriptor.SliceCount]descriptor.InstanceID

// assign distributes slices so that the counts of the members differ by at most
// one and as few slices as possible move. owners names the present owners; an
// empty owner means that the slice is free, an owner that is not a member that
// the slice can't be moved. The result depends only on the arguments, so that
// instances that read the same rows agree.
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
	var pool []int
	for s, o := range owners {
		switch _, member := counts[o]; {
		case o == "":
			pool = append(pool, s)
		case !member:
			// Its owner may still hold a lease.
		case quota[o] > 0:
			quota[o]--
			to[s] = o
		default:
			pool = append(pool, s)
		}
	}
	receivers := sorted(quota)
	for _, s := range pool {
		for quota[receivers[0]] == 0 {
			receivers = receivers[1:]
		}
		to[s] = receivers[0]
		quota[receivers[0]]--
	}
	return to
}

// quotas returns how many of total slices each member should own. Members with
// more slices get the larger quotas, so that fewer slices move.
func quotas(counts map[descriptor.InstanceID]int, total int) map[descriptor.InstanceID]int {
	order := sorted(counts)
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

func sorted(m map[descriptor.InstanceID]int) []descriptor.InstanceID {
	keys := make([]descriptor.InstanceID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// plan assigns the slices to the live instances, without the given one. The
// caller holds mu.
func (l *Leaser) plan(without descriptor.InstanceID) assignment {
	var members []descriptor.InstanceID
	for i, m := range l.members {
		if i != without && (i == l.cfg.Instance || l.live(i, m)) {
			members = append(members, i)
		}
	}
	if without != l.cfg.Instance && !slices.Contains(members, l.cfg.Instance) {
		members = append(members, l.cfg.Instance)
	}
	var owners assignment
	for s := range l.slices {
		if row := l.slices[s].row; row.Owner != without && !l.orphaned(row) {
			owners[s] = row.Owner
		}
	}
	return assign(owners, members)
}

// live reports whether an instance renews its session and, by heartbeats, is
// alive. The caller holds mu.
func (l *Leaser) live(i descriptor.InstanceID, m *member) bool {
	if m.lastSeen.Sub(m.firstSeen) >= m.renewal.lease() {
		return false
	}
	return l.alive == nil || l.alive[i]
}

// orphaned reports whether the owner of a slice seems to have no session, by
// the last read. The caller holds mu.
func (l *Leaser) orphaned(row sliceRow) bool {
	if row.Owner == l.cfg.Instance {
		return l.current == nil || l.current.session.Incarnation != row.Incarnation
	}
	m := l.members[row.Owner]
	return m == nil || m.renewal.Incarnation != row.Incarnation
}
