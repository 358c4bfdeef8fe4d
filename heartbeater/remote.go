package heartbeater

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// remoteDataCentre is the state of another data centre as known to this instance.
// Like view, it has no clock. Each link delivers the digests of one origin. They are
// stored per origin, because the digest of an origin that is partitioned from its
// own data centre would otherwise replace that of one that is not.
type remoteDataCentre struct {
	digests map[descriptor.InstanceID]*receivedDigest
	// highestRules holds the highest rules version seen of each member, so that
	// a digest whose origin lags behind another never lowers a version.
	highestRules map[descriptor.InstanceID]highestRules
	// lastDirect is the time at which the last digest was received on a link of
	// this instance.
	lastDirect time.Time
	// lastRelay is the time at which this instance last relayed a digest or
	// stored one from a member of the local data centre.
	lastRelay time.Time
	// latestReceived is the latest receivedAt of all digests stored so far,
	// direct or relayed.
	latestReceived time.Time
	// nextPull is the earliest time of the next pull.
	nextPull time.Time
	// lastRecordsHash is the hash of the member records that were received
	// last, sentRecordsHash that of the local records that the other side has.
	lastRecordsHash, sentRecordsHash uint32
	// relayedRecordsHash is the hash of the member records that were relayed
	// last.
	relayedRecordsHash uint32
	seeds              []Member // from the platform's directory; used until a digest is received
}

// highestRules is the highest rules version seen of a member.
type highestRules struct {
	incarnation             descriptor.Incarnation
	version                 descriptor.RulesVersion
	installedAt, lastListed time.Time
}

// highestRulesRetention is how long the highest rules version of a member is kept
// after the last digest that lists the member.
const highestRulesRetention = 10 * time.Minute

// recordRules updates highestRules with the members of a digest.
func (r *remoteDataCentre) recordRules(members []Member, now time.Time) {
	if r.highestRules == nil {
		r.highestRules = map[descriptor.InstanceID]highestRules{}
	}
	for _, m := range members {
		highest := r.highestRules[m.ID]
		if m.Incarnation > highest.incarnation || m.Incarnation == highest.incarnation && m.Rules > highest.version {
			highest = highestRules{incarnation: m.Incarnation, version: m.Rules, installedAt: m.RulesSince}
		}
		highest.lastListed = now
		r.highestRules[m.ID] = highest
	}
}

// applyHighestRules raises lower rules versions of members to the highest ones seen.
func (r *remoteDataCentre) applyHighestRules(members []Member) {
	for i := range members {
		m := &members[i]
		if highest := r.highestRules[m.ID]; m.Incarnation <= highest.incarnation && m.Rules < highest.version {
			m.Rules, m.RulesSince = highest.version, highest.installedAt
		}
	}
}

// receivedDigest is the last digest received from an origin.
type receivedDigest struct {
	incarnation descriptor.Incarnation
	sequence    uint64
	recordsHash uint32
	records     []memberRecord
	digest      digest
	members     []Member
	receivedAt  time.Time
}

// applyDigest stores a digest unless it is outdated. needRecords reports that it
// cannot be stored without its member records, and changed that the records differ
// from those in the previous digest of the same origin.
func (r *remoteDataCentre) applyDigest(d *digest, now time.Time) (needRecords, changed, stored bool) {
	previous := r.digests[d.Origin]
	if previous != nil && (d.Incarnation < previous.incarnation || d.Incarnation == previous.incarnation && d.Sequence <= previous.sequence) {
		return false, false, false
	}
	records := d.Records
	if records == nil && len(d.Loads) > 0 {
		if records = r.recordsWithHash(d.RecordsHash); records == nil {
			return true, false, false
		}
	}
	if len(records) != len(d.Loads) {
		return true, false, false
	}
	changed = previous == nil || previous.recordsHash != d.RecordsHash
	full := *d
	full.Records, full.AgeMs = records, 0
	receivedAt := now.Add(-time.Duration(max(0, d.AgeMs)) * time.Millisecond)
	listed := full.membersAt(receivedAt)
	r.recordRules(listed, now)
	if r.digests == nil {
		r.digests = map[descriptor.InstanceID]*receivedDigest{}
	}
	r.digests[d.Origin] = &receivedDigest{
		incarnation: d.Incarnation, sequence: d.Sequence, recordsHash: d.RecordsHash, records: records,
		digest: full, members: listed, receivedAt: receivedAt,
	}
	r.lastRecordsHash = d.RecordsHash
	if receivedAt.After(r.latestReceived) {
		r.latestReceived = receivedAt
	}
	return false, changed, true
}

// latest returns the digest that was received last, or nil.
func (r *remoteDataCentre) latest() *receivedDigest {
	var latest *receivedDigest
	for _, d := range r.digests {
		if latest == nil || d.receivedAt.After(latest.receivedAt) {
			latest = d
		}
	}
	return latest
}

// recordsWithHash returns the member records with the given hash from any origin, or
// nil.
func (r *remoteDataCentre) recordsWithHash(hash uint32) []memberRecord {
	for _, d := range r.digests {
		if d.recordsHash == hash {
			return d.records
		}
	}
	return nil
}

// membersAt returns the members in a digest that has its member records.
func (d *digest) membersAt(receivedAt time.Time) []Member {
	members := make([]Member, len(d.Records))
	for i, rec := range d.Records {
		l := d.Loads[i]
		m := Member{
			ID: rec.ID, Incarnation: rec.Incarnation, DataCentre: d.DataCentre,
			PeerAddress: rec.PeerAddress, HTTPAddress: rec.HTTPAddress,
			Load: decodeLoad(l[:4]), Rules: descriptor.RulesVersion(l[4]), State: State(l[5]), LastHeard: receivedAt,
		}
		if m.Rules == rec.Rules {
			m.RulesSince = fromUnixMs(rec.RulesSinceMs)
		}
		members[i] = m
	}
	return members
}

// supersedes reports whether d contains all members of other except other's origin.
// In that case the origin has failed or is partitioned from its data centre.
func (d *receivedDigest) supersedes(other *receivedDigest, origin descriptor.InstanceID) bool {
	for _, m := range other.members {
		if m.ID != origin && !d.contains(m.ID) {
			return false
		}
	}
	return !d.contains(origin)
}

func (d *receivedDigest) contains(id descriptor.InstanceID) bool {
	_, found := slices.BinarySearchFunc(d.members, id, func(m Member, id descriptor.InstanceID) int { return cmp.Compare(m.ID, id) })
	return found
}

// mergedMembers returns the members in the digests that are at most maxAge old, or in
// the latest one if all are older.
func (r *remoteDataCentre) mergedMembers(now time.Time, maxAge time.Duration) []Member {
	if len(r.digests) == 0 {
		return slices.Clone(r.seeds)
	}
	latest := r.latest()
	merged := map[descriptor.InstanceID]Member{}
	for origin, d := range r.digests {
		if d != latest && (now.Sub(d.receivedAt) > maxAge || latest.supersedes(d, origin)) {
			continue
		}
		for _, m := range d.members {
			if existing, ok := merged[m.ID]; !ok || isNewer(m, existing) {
				merged[m.ID] = m
			}
		}
	}
	all := make([]Member, 0, len(merged))
	for _, m := range merged {
		all = append(all, m)
	}
	sortMembers(all)
	r.applyHighestRules(all)
	return all
}

// isNewer reports whether a is more recent than b.
func isNewer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.LastHeard.After(b.LastHeard)
}

// prune drops digests older than maxAge except the latest, and expired rules
// versions.
func (r *remoteDataCentre) prune(now time.Time, maxAge time.Duration) {
	for id, highest := range r.highestRules {
		if now.Sub(highest.lastListed) > highestRulesRetention {
			delete(r.highestRules, id)
		}
	}
	if len(r.digests) < 2 {
		return
	}
	latest := r.latest()
	for origin, d := range r.digests {
		if d != latest && now.Sub(d.receivedAt) > maxAge {
			delete(r.digests, origin)
		}
	}
}

func sortMembers(all []Member) {
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}
