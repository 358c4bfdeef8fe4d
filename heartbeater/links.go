package heartbeater

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/masticlead/masticlead/descriptor"
)

// linksPerPair is the number of links between two data centres. With two, one link
// remains when an instance fails.
const linksPerPair = 2

// hashStrings hashes the strings, each terminated by a NUL byte, which no ID
// contains.
func hashStrings(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// initiates reports whether a is the side that calls b. For each pair exactly one
// side initiates, and each side does so for about half of its pairs.
func initiates[T ~string](a, b T) bool {
	low, high := min(a, b), max(a, b)
	lowInitiates := hashStrings(string(low), string(high))&1 == 0
	return lowInitiates == (a == low)
}

// rankEndpoints ranks the members of one data centre as endpoints of its links to
// another, by rendezvous hashing. A member that joins or leaves moves only the
// links of which it is an endpoint.
func rankEndpoints(members []descriptor.InstanceID, local, remote descriptor.DataCentreID) []descriptor.InstanceID {
	type ranked struct {
		id    descriptor.InstanceID
		score uint64
	}
	all := make([]ranked, len(members))
	for i, id := range members {
		all[i] = ranked{id, hashStrings(string(id), string(local), string(remote))}
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
