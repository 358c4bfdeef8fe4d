package authenticator

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	w "github.com/masticlead/masticlead/workload"
)

func tenant(name w.TenantName, keys ...string) w.Tenant {
	t := w.Tenant{Name: name}
	for _, k := range keys {
		t.Keys = append(t.Keys, sha256.Sum256([]byte(k)))
	}
	return t
}

// TestTenant guards against a key that is assigned to the wrong tenant, and against keys
// that are accepted although no tenant has them.
func TestTenant(t *testing.T) {
	long := strings.Repeat("k", MaxKeyBytes)
	a := New([]w.Tenant{tenant("a", "ka", "both", long), tenant("b", "kb", "both", long+"k", ""), tenant("", "nameless")})
	for key, want := range map[string]w.TenantName{
		"ka": "a", "kb": "b", "both": "a", long: "a", long + "k": "", "": "", "nameless": "", "KA": "", " ka": "", "other": "",
	} {
		got, err := a.Tenant(NewCredential(key))
		require.Equal(t, want, got, "key %q", key)
		if want == "" {
			require.ErrorIs(t, err, ErrUnknownKey)
		} else {
			require.NoError(t, err)
		}
	}
	old := New([]w.Tenant{tenant("a", "kept", "removed", "moved")})
	require.Equal(t, 2, old.Removed(New([]w.Tenant{tenant("a", "kept", "added"), tenant("c", "moved")})))
}

// TestCredentialHidesKey guards against keys, or digests to compare them with, in logs.
func TestCredentialHidesKey(t *testing.T) {
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		require.Equal(t, "credential", fmt.Sprintf(format, NewCredential("secret")))
	}
}

const bound = 5 * time.Second

// newFreshness returns a Freshness whose clock is the variable that it also returns.
func newFreshness() (*Freshness, *time.Duration) {
	now := time.Hour
	f := &Freshness{Clock: func() (time.Duration, error) { return now, nil }, Bound: func() time.Duration { return bound }}
	return f, &now
}

func authenticate(f *Freshness, key string) error {
	_, err := f.Authenticate(f.Snapshot(), NewCredential(key))
	return err
}

// TestStaleConfigurationIsRefused guards against keys that are accepted by a configuration
// that was not confirmed within the bound: after a freeze or a suspension, after a
// restart, or because the clock is unavailable.
func TestStaleConfigurationIsRefused(t *testing.T) {
	f, now := newFreshness()
	cfg := &w.Config{Version: 1, RequiresKeys: true, Tenants: []w.Tenant{tenant("a", "ka")}}
	f.Apply(cfg, 0)
	require.ErrorIs(t, authenticate(f, "ka"), ErrStale, "never confirmed")

	f.Confirm(*now)
	require.NoError(t, authenticate(f, "ka"))
	require.ErrorIs(t, authenticate(f, "kb"), ErrUnknownKey)
	*now += bound - 1
	require.NoError(t, authenticate(f, "ka"))
	*now++
	require.ErrorIs(t, authenticate(f, "ka"), ErrStale, "frozen past the bound")
	require.ErrorIs(t, authenticate(f, "kb"), ErrUnknownKey, "the key is checked first")
	f.RefusalBound = func() time.Duration { return bound }
	require.ErrorIs(t, authenticate(f, "kb"), ErrStale, "may have been added since")
	f.RefusalBound = nil

	f.Confirm(*now)
	f.Confirm(*now - time.Second)
	*now += bound - 1
	require.NoError(t, authenticate(f, "ka"), "a late response to an earlier read does not reduce the confirmation time")
	*now -= bound
	require.ErrorIs(t, authenticate(f, "ka"), ErrStale, "the clock has gone back")

	f.Clock = func() (time.Duration, error) { return 0, errors.New("unavailable") }
	require.ErrorIs(t, authenticate(f, "ka"), ErrStale)
	require.Zero(t, f.Now())
	f.Bound = nil
	require.NoError(t, authenticate(f, "ka"), "without a bound the age does not matter")
}

// TestOlderConfigurationDoesNotConfirm guards against a stale read that replaces the
// configuration, or confirms one that it does not contain.
func TestOlderConfigurationDoesNotConfirm(t *testing.T) {
	f, now := newFreshness()
	first := &w.Config{Version: 1, Tenants: []w.Tenant{tenant("a", "ka", "kb")}}
	second := &w.Config{Version: 2, Tenants: []w.Tenant{tenant("a", "ka")}}
	require.True(t, f.Apply(second, *now))
	*now += bound
	require.False(t, f.Apply(first, *now))
	require.ErrorIs(t, authenticate(f, "kb"), ErrUnknownKey)
	require.ErrorIs(t, authenticate(f, "ka"), ErrStale)
	require.False(t, f.Apply(&w.Config{Version: 2}, *now))
	require.NoError(t, authenticate(f, "ka"), "a read of the same version confirms it")
	require.True(t, f.OlderThan(f.Snapshot(), -time.Millisecond))
	require.False(t, f.OlderThan(f.Snapshot(), 0))
}

// TestOldConfigurationDecidesNothing guards against a removed key that an instance accepts,
// and an added one that it refuses for good, later than the bounds, for any delays of reads
// on the way to the store and back.
func TestOldConfigurationDecidesNothing(t *testing.T) {
	const refusalBound = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		f, now := newFreshness()
		f.RefusalBound = func() time.Duration { return refusalBound }
		delay := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 9000).Draw(t, name)) * time.Millisecond
		}
		versions := [...]*w.Config{
			{Version: 1, RequiresKeys: true, Tenants: []w.Tenant{tenant("a", "ka")}},
			{Version: 2, RequiresKeys: true, Tenants: []w.Tenant{tenant("a", "kb")}},
		}
		f.Apply(versions[0], *now)
		changed := *now + delay("changed")
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			sent := f.Now()
			processed := sent + delay("to store")
			*now = processed + delay("from store")
			switch {
			case processed >= changed:
				f.Apply(versions[1], sent)
			case rapid.Bool().Draw(t, "watch"):
				f.Confirm(sent)
			default:
				f.Apply(versions[0], sent)
			}
			*now += delay("until request")
			if *now > changed+bound {
				require.Error(t, authenticate(f, "ka"))
			}
			if *now > changed+refusalBound {
				require.NotErrorIs(t, authenticate(f, "kb"), ErrUnknownKey)
			}
		}
	})
}
