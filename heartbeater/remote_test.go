package heartbeater

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// testDigest returns a complete digest that a carrier makes.
func testDigest(carrier descriptor.InstanceID, number uint64, ids ...descriptor.InstanceID) *digest {
	d := &digest{DataCentre: "b", Carrier: carrier, Incarnation: 1, Number: number}
	parts := []string{}
	for _, id := range ids {
		d.Fixed = append(d.Fixed, fixedPart{ID: id, Incarnation: 1})
		d.Loads = append(d.Loads, [6]int64{})
		parts = append(parts, string(id))
	}
	d.Static = uint32(hashStrings(parts...))
	return d
}

func idsOf(members []Member) []descriptor.InstanceID {
	ids := []descriptor.InstanceID{}
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// TestDigestsOfTwoCarriers guards against a carrier that is cut off from its own
// data centre and hides the others' members, and against a failed carrier that
// stays listed because of its own last digest.
func TestDigestsOfTwoCarriers(t *testing.T) {
	const fresh = 7500 * time.Millisecond
	clock := clockwork.NewFakeClock()
	r := &remote{}
	take := func(d *digest) {
		want, _, accepted := r.take(d, clock.Now())
		require.False(t, want)
		require.True(t, accepted)
		clock.Advance(100 * time.Millisecond)
	}
	take(testDigest("b1", 1, "b1", "b2", "b3"))
	take(testDigest("b3", 1, "b3")) // cut off from b1 and b2
	require.Equal(t, []descriptor.InstanceID{"b1", "b2", "b3"}, idsOf(r.current(clock.Now(), fresh)))
	take(testDigest("b1", 2, "b1", "b2")) // b3 was removed
	require.Equal(t, []descriptor.InstanceID{"b1", "b2"}, idsOf(r.current(clock.Now(), fresh)))

	take(testDigest("b2", 1, "b2")) // b1 has failed
	require.Equal(t, []descriptor.InstanceID{"b2"}, idsOf(r.current(clock.Now(), fresh)))

	clock.Advance(time.Hour)
	require.Equal(t, []descriptor.InstanceID{"b2"}, idsOf(r.current(clock.Now(), fresh)), "as last reported")
}

// TestRulesOfTwoCarriers guards against a rules version that goes back because a
// carrier that is heard later has heard of the member earlier (P8).
func TestRulesOfTwoCarriers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &remote{}
	reported := func(carrier descriptor.InstanceID, incarnation descriptor.Incarnation, version int64) descriptor.RulesVersion {
		d := testDigest(carrier, uint64(clock.Now().UnixMilli()), "b1", "b2", "b3")
		d.Fixed[2].Incarnation = incarnation
		d.Loads[2][4] = version
		d.Static = uint32(incarnation)
		_, _, accepted := r.take(d, clock.Now())
		require.True(t, accepted)
		clock.Advance(100 * time.Millisecond)
		return r.current(clock.Now(), time.Second)[2].Rules
	}
	require.EqualValues(t, 46, reported("b1", 1, 46))
	require.EqualValues(t, 46, reported("b2", 1, 40))
	clock.Advance(time.Minute) // the digest of b1 is no longer fresh
	require.EqualValues(t, 46, reported("b2", 1, 41))
	require.EqualValues(t, 47, reported("b2", 1, 47))
	require.EqualValues(t, 0, reported("b2", 2, 0), "b3 has restarted and has no rules yet")
}

// TestOldDigest guards against a digest that arrives late and overrides a later
// one, and against loads that are matched with the wrong members.
func TestOldDigest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := &remote{}
	_, changed, fresh := r.take(testDigest("b1", 5, "b1", "b2"), clock.Now())
	require.True(t, changed)
	require.True(t, fresh)
	_, _, fresh = r.take(testDigest("b1", 4, "b1"), clock.Now())
	require.False(t, fresh)

	short := testDigest("b1", 6, "b1", "b2")
	short.Fixed = nil
	short.Loads[1][0] = 42
	want, changed, fresh := r.take(short, clock.Now())
	require.False(t, want)
	require.False(t, changed)
	require.True(t, fresh)
	require.Equal(t, 42, r.current(clock.Now(), time.Second)[1].Load.Queued)

	other := testDigest("b1", 7, "b1", "b2", "b3")
	other.Fixed = nil
	want, _, fresh = r.take(other, clock.Now())
	require.True(t, want, "the fixed part is not known")
	require.False(t, fresh)
	wrong := testDigest("b1", 8, "b1", "b2")
	wrong.Fixed, wrong.Loads = nil, wrong.Loads[:1]
	want, _, fresh = r.take(wrong, clock.Now())
	require.True(t, want)
	require.False(t, fresh)
}

// TestCarriers guards against links that all move when one member joins or
// leaves, and against pairs that nobody or both sides call.
func TestCarriers(t *testing.T) {
	ids := []descriptor.InstanceID{"a1", "a2", "a3", "a4", "a5"}
	before := carriers(ids, "a", "b")
	after := carriers(append([]descriptor.InstanceID{"a6"}, ids...), "a", "b")
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

// TestLaggingCarrier guards against a rules version that goes back in the view
// of another data centre, because a digest came in later whose carrier lags
// behind, or because members keep an old digest fresh by asking each other.
func TestLaggingCarrier(t *testing.T) {
	const fresh = 7500 * time.Millisecond
	clock := clockwork.NewFakeClock()
	r := &remote{}
	ahead, behind := testDigest("b1", 1, "b1", "b2"), testDigest("b2", 1, "b1", "b2")
	ahead.Loads[0][4], behind.Loads[0][4] = 10, 2
	for _, d := range []*digest{ahead, behind} {
		_, _, accepted := r.take(d, clock.Now())
		require.True(t, accepted)
		clock.Advance(time.Second)
	}
	for range 3 {
		require.Equal(t, descriptor.RulesVersion(10), r.current(clock.Now(), fresh)[0].Rules)
		clock.Advance(fresh)
		r.prune(clock.Now(), fresh)
	}

	old := testDigest("b3", 1, "b1", "b2")
	old.AgeMs = 20_000
	_, _, accepted := r.take(old, clock.Now())
	require.True(t, accepted)
	require.Equal(t, clock.Now().Add(-20*time.Second), r.sources["b3"].at)
	require.True(t, r.heard.Before(clock.Now().Add(-fresh)), "an old digest is not fresh")
}
