package heartbeater

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// testDigest returns a digest of an origin with the records of the given members.
func testDigest(origin descriptor.InstanceID, sequence uint64, ids ...descriptor.InstanceID) *digest {
	d := &digest{DataCentre: "b", Origin: origin, Incarnation: 1, Sequence: sequence}
	parts := []string{}
	for _, id := range ids {
		d.Records = append(d.Records, memberRecord{ID: id, Incarnation: 1})
		d.Loads = append(d.Loads, [6]int64{})
		parts = append(parts, string(id))
	}
	d.RecordsHash = uint32(hashStrings(parts...))
	return d
}

func idsOf(members []Member) []descriptor.InstanceID {
	ids := []descriptor.InstanceID{}
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// TestMergeDigests guards against an origin that is partitioned from its own data
// centre and hides the members that others list, and against a failed origin that
// stays listed because of its own last digest.
func TestMergeDigests(t *testing.T) {
	const freshness = 7500 * time.Millisecond
	clock := clockwork.NewFakeClock()
	r := &remoteDataCentre{}
	apply := func(d *digest) {
		needRecords, _, stored := r.applyDigest(d, clock.Now())
		require.False(t, needRecords)
		require.True(t, stored)
		clock.Advance(100 * time.Millisecond)
	}
	apply(testDigest("b1", 1, "b1", "b2", "b3"))
	apply(testDigest("b3", 1, "b3")) // partitioned from b1 and b2
	require.Equal(t, []descriptor.InstanceID{"b1", "b2", "b3"}, idsOf(r.mergedMembers(clock.Now(), freshness)))
	apply(testDigest("b1", 2, "b1", "b2")) // b3 was removed
	require.Equal(t, []descriptor.InstanceID{"b1", "b2"}, idsOf(r.mergedMembers(clock.Now(), freshness)))

	apply(testDigest("b2", 1, "b2")) // b1 has failed
	require.Equal(t, []descriptor.InstanceID{"b2"}, idsOf(r.mergedMembers(clock.Now(), freshness)))

	clock.Advance(time.Hour)
	require.Equal(t, []descriptor.InstanceID{"b2"}, idsOf(r.mergedMembers(clock.Now(), freshness)), "members as last reported")
}

// TestMergeRulesVersions guards against a rules version that decreases because the
// digest received later is from an origin with an older version of the member
// (property P8 of docs/design.md).
func TestMergeRulesVersions(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &remoteDataCentre{}
	mergedVersion := func(origin descriptor.InstanceID, incarnation descriptor.Incarnation, version int64) descriptor.RulesVersion {
		d := testDigest(origin, uint64(clock.Now().UnixMilli()), "b1", "b2", "b3")
		d.Records[2].Incarnation = incarnation
		d.Loads[2][4] = version
		d.RecordsHash = uint32(incarnation)
		_, _, stored := r.applyDigest(d, clock.Now())
		require.True(t, stored)
		clock.Advance(100 * time.Millisecond)
		return r.mergedMembers(clock.Now(), time.Second)[2].Rules
	}
	require.EqualValues(t, 46, mergedVersion("b1", 1, 46))
	require.EqualValues(t, 46, mergedVersion("b2", 1, 40))
	clock.Advance(time.Minute) // the digest of b1 is too old to be merged
	require.EqualValues(t, 46, mergedVersion("b2", 1, 41))
	require.EqualValues(t, 47, mergedVersion("b2", 1, 47))
	require.EqualValues(t, 0, mergedVersion("b2", 2, 0), "b3 restarted and has no rules yet")
}

// TestOutdatedDigest guards against a digest that arrives late and replaces a later
// one, and against loads that are matched with the wrong member records.
func TestOutdatedDigest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &remoteDataCentre{}
	_, changed, stored := r.applyDigest(testDigest("b1", 5, "b1", "b2"), clock.Now())
	require.True(t, changed)
	require.True(t, stored)
	_, _, stored = r.applyDigest(testDigest("b1", 4, "b1"), clock.Now())
	require.False(t, stored)

	withoutRecords := testDigest("b1", 6, "b1", "b2")
	withoutRecords.Records = nil
	withoutRecords.Loads[1][0] = 42
	needRecords, changed, stored := r.applyDigest(withoutRecords, clock.Now())
	require.False(t, needRecords)
	require.False(t, changed)
	require.True(t, stored)
	require.Equal(t, 42, r.mergedMembers(clock.Now(), time.Second)[1].Load.Queued)

	unknownRecords := testDigest("b1", 7, "b1", "b2", "b3")
	unknownRecords.Records = nil
	needRecords, _, stored = r.applyDigest(unknownRecords, clock.Now())
	require.True(t, needRecords, "member records with this hash are not known")
	require.False(t, stored)
	wrongLength := testDigest("b1", 8, "b1", "b2")
	wrongLength.Records, wrongLength.Loads = nil, wrongLength.Loads[:1]
	needRecords, _, stored = r.applyDigest(wrongLength, clock.Now())
	require.True(t, needRecords)
	require.False(t, stored)
}

// TestLinkEndpoints guards against a change of one member that moves the links of
// others, and against pairs that neither or both sides initiate.
func TestLinkEndpoints(t *testing.T) {
	ids := []descriptor.InstanceID{"a1", "a2", "a3", "a4", "a5"}
	before := rankEndpoints(ids, "a", "b")
	after := rankEndpoints(append([]descriptor.InstanceID{"a6"}, ids...), "a", "b")
	var kept []descriptor.InstanceID
	for _, id := range after {
		if id != "a6" {
			kept = append(kept, id)
		}
	}
	require.Equal(t, before, kept)
	calls := 0
	for _, a := range ids {
		for _, b := range ids {
			if a != b {
				require.NotEqual(t, initiates(a, b), initiates(b, a))
				if initiates("a1", b) {
					calls++
				}
			}
		}
	}
	require.Positive(t, calls)
}

// TestLaggingOrigin guards against a rules version that decreases in the view of
// another data centre because a later digest is from an origin that lags behind, or
// because members that pull from each other keep an old digest fresh.
func TestLaggingOrigin(t *testing.T) {
	const freshness = 7500 * time.Millisecond
	clock := clockwork.NewFakeClock()
	r := &remoteDataCentre{}
	ahead, behind := testDigest("b1", 1, "b1", "b2"), testDigest("b2", 1, "b1", "b2")
	ahead.Loads[0][4], behind.Loads[0][4] = 10, 2
	for _, d := range []*digest{ahead, behind} {
		_, _, stored := r.applyDigest(d, clock.Now())
		require.True(t, stored)
		clock.Advance(time.Second)
	}
	for range 3 {
		require.Equal(t, descriptor.RulesVersion(10), r.mergedMembers(clock.Now(), freshness)[0].Rules)
		clock.Advance(freshness)
		r.prune(clock.Now(), freshness)
	}

	aged := testDigest("b3", 1, "b1", "b2")
	aged.AgeMs = 20_000
	_, _, stored := r.applyDigest(aged, clock.Now())
	require.True(t, stored)
	require.Equal(t, clock.Now().Add(-20*time.Second), r.digests["b3"].receivedAt)
	require.True(t, r.latestReceived.Before(clock.Now().Add(-freshness)), "an old digest must not count as recently received")
}
