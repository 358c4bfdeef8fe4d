package heartbeater

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/descriptor"
)

// linksPerPair is the number of links between two data centres. With two, the
// failure of an instance leaves the other link in place.
const linksPerPair = 2

// hashStrings hashes its arguments with a separator that no id contains.
func hashStrings(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// initiates reports whether a calls b, where either could. Exactly one of a and
// b does, and each does for about half of all others.
func initiates[T ~string](a, b T) bool {
	low, high := min(a, b), max(a, b)
	lowCalls := hashStrings(string(low), string(high))&1 == 0
	return lowCalls == (a == low)
}

// carriers ranks the members of one data centre as carriers of its links to
// another, by rendezvous hashing. A member that joins or leaves moves only the
// links that it carries.
func carriers(members []descriptor.InstanceID, own, other descriptor.DataCentreID) []descriptor.InstanceID {
	type ranked struct {
		id    descriptor.InstanceID
		score uint64
	}
	all := make([]ranked, len(members))
	for i, id := range members {
		all[i] = ranked{id, hashStrings(string(id), string(own), string(other))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]descriptor.InstanceID, len(all))
	for i, r := range all {
		ids[i] = r.id
	}
	return ids
}
