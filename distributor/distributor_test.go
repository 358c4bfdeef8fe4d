package distributor

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
)

// TestApplyReachesAll guards against a push that misses instances, and against
// instances that read the store although the push reached them.
func TestApplyReachesAll(t *testing.T) {
	c := newTestCell(t, 1, 3, "a", "b", "c")
	v, err := c.apply("a-1", 0, "anna", "one")
	require.NoError(t, err)
	require.Equal(t, descriptor.RulesVersion(1), v)
	c.waitIdle()
	c.requireInstalled(1, "one")
	require.Equal(t, 1, c.store.reads, "only Apply reads the head row")

	_, err = c.apply("b-0", 0, "bela", "other")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, ConflictError{Current: 1, Author: "anna"}, *conflict)

	_, err = c.apply("b-0", 1, "bela", "bad rules")
	require.ErrorContains(t, err, "unknown verb")
	c.waitIdle()
	c.requireInstalled(1, "one")
}

// TestRacingOperators guards against two operators committing the same version,
// against a lost version and against an instance that reverts to a lower one,
// with concurrent changes while commit responses of the store are lost.
func TestRacingOperators(t *testing.T) {
	c := newTestCell(t, 2, 3, "a", "b", "c")
	rng := rand.New(rand.NewPCG(2, 2))
	c.store.beforeCommit = func() (bool, error) { // called with the store's lock held
		if rng.IntN(5) == 0 {
			return rng.IntN(2) == 0, connector.ErrAmbiguous
		}
		return true, nil
	}
	const changes = 50
	accepted := map[descriptor.RulesVersion]string{}
	conflicts := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for operator, id := range map[string]descriptor.InstanceID{"anna": "a-0", "bela": "c-2"} {
		wg.Go(func() {
			expected := descriptor.RulesVersion(0)
			for n := 0; n < changes; {
				body := fmt.Sprintf("%s %d", operator, n)
				v, err := c.apply(id, expected, operator, body)
				var conflict *ConflictError
				mu.Lock()
				switch {
				case err == nil:
					require.Empty(t, accepted[v])
					accepted[v] = body
					expected = v
					n++
				default:
					require.ErrorAs(t, err, &conflict)
					expected = conflict.Current
					conflicts++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.waitIdle()
	require.Len(t, accepted, 2*changes)
	require.Positive(t, conflicts)
	c.advance(2 * time.Second) // pushes may arrive out of order; pulls repair that
	c.requireInstalled(2*changes, accepted[2*changes])
	history, err := c.nodes["b-0"].d.History(context.Background(), 1000)
	require.NoError(t, err)
	require.Len(t, history, 2*changes)
	for i, info := range history {
		require.Equal(t, descriptor.RulesVersion(2*changes-i), info.Version)
		require.Equal(t, hashOf([]byte(accepted[info.Version])), info.Hash)
	}
	last, err := c.nodes["b-0"].d.History(context.Background(), 3)
	require.NoError(t, err)
	require.Equal(t, history[:3], last)
}

// TestAmbiguousCommit guards against a committed version that is reported as
// failed, a version that is applied twice, and a false conflict on retry, when
// the response to a commit is lost.
func TestAmbiguousCommit(t *testing.T) {
	for _, committed := range []bool{true, false} {
		c := newTestCell(t, 3, 1, "a")
		lost := false
		c.store.beforeCommit = func() (bool, error) {
			if lost {
				return true, nil
			}
			lost = true
			return committed, connector.ErrAmbiguous
		}
		v, err := c.apply("a-0", 0, "anna", "one")
		require.NoError(t, err)
		require.Equal(t, descriptor.RulesVersion(1), v)
		v, err = c.apply("a-0", 0, "anna", "one") // the operator retries after losing the response as well
		require.NoError(t, err)
		require.Equal(t, descriptor.RulesVersion(1), v)
		_, err = c.apply("a-0", 1, "bela", "two")
		require.NoError(t, err)
		v, err = c.apply("a-0", 0, "anna", "one") // the operator retries after a later version
		require.NoError(t, err)
		require.Equal(t, descriptor.RulesVersion(1), v)
		c.waitIdle()
		c.requireInstalled(2, "two")
	}
}

// TestApplyDuringOutage guards against a change that is reported as not applied
// although it may have been, and the reverse.
func TestApplyDuringOutage(t *testing.T) {
	c := newTestCell(t, 4, 1, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.store.beforeCommit = func() (bool, error) { return true, connector.ErrAmbiguous }
	_, err := c.nodes["a-0"].d.commit(ctx, head{}, mustRuleset(t, 1, "one"))
	// The first attempt took effect. A retry that got a response would fail its
	// condition and get the outcome from the head row, so the outcome stays
	// ambiguous only because every response is lost.
	c.store.beforeCommit = func() (bool, error) { return false, connector.ErrAmbiguous }
	require.ErrorIs(t, err, connector.ErrAmbiguous)
	_, err = c.nodes["a-0"].d.Apply(ctx, 1, "anna", []byte("two"))
	require.ErrorIs(t, err, connector.ErrAmbiguous)

	c.partition(func(_, to descriptor.InstanceID) bool { return to == storeID })
	_, err = c.apply("a-0", 1, "anna", "two")
	require.ErrorIs(t, err, connector.ErrUnavailable)
	ok, _ := c.nodes["a-0"].d.StoreReachable()
	require.False(t, ok)
}

func mustRuleset(t *testing.T, v descriptor.RulesVersion, body string) *ruleset {
	t.Helper()
	s, err := newRuleset(VersionInfo{Version: v, Hash: hashOf([]byte(body)), Author: "anna"}, []byte(body))
	require.NoError(t, err)
	return s
}

// TestIsolatedDataCentre guards against a data centre that loses its rules, or a
// restarted instance that gets none, while the platform and the other data
// centres are unreachable, and against old rules that remain after the partition.
func TestIsolatedDataCentre(t *testing.T) {
	c := newTestCell(t, 5, 2, "a", "b")
	_, err := c.apply("a-0", 0, "anna", "one")
	require.NoError(t, err)
	c.waitIdle()
	inB := func(id descriptor.InstanceID) bool { return id[0] == 'b' }
	c.partition(func(from, to descriptor.InstanceID) bool { return inB(from) != inB(to) })
	c.kill("b-1")
	c.start("b-1", "b")
	c.advance(time.Second)
	c.requireInstalled(1, "one")

	_, err = c.apply("a-1", 1, "anna", "two")
	require.NoError(t, err)
	c.advance(20 * time.Second)
	require.Equal(t, descriptor.RulesVersion(1), c.nodes["b-0"].d.version())
	ok, since := c.nodes["b-0"].d.StoreReachable()
	require.False(t, ok)
	require.True(t, c.clock.Since(since) >= 20*time.Second)

	c.heal()
	c.advance(3 * time.Second)
	c.requireInstalled(2, "two")
}

// TestStoreFallback guards against rules that never arrive where pushes and pulls
// fail but the store is reachable, also on instances started before the first
// rules were applied.
func TestStoreFallback(t *testing.T) {
	c := newTestCell(t, 6, 2, "a", "b")
	c.advance(time.Second) // no rules have been applied yet
	c.partition(func(from, to descriptor.InstanceID) bool { return to != storeID && from != to })
	_, err := c.apply("a-0", 0, "anna", "one")
	require.NoError(t, err)
	c.advance(7 * time.Second) // the head row is read every 5 to 6 s
	c.requireInstalled(1, "one")
	_, err = c.apply("b-1", 1, "anna", "two")
	require.NoError(t, err)
	c.advance(7 * time.Second)
	c.requireInstalled(2, "two")
}

// TestStaleVersionIgnored guards against a stale version that replaces a newer
// one, by push, by pull or through a head row with a lower version.
func TestStaleVersionIgnored(t *testing.T) {
	c := newTestCell(t, 7, 1, "a")
	d := c.nodes["a-0"].d
	push := func(v descriptor.RulesVersion, body string) {
		s := mustRuleset(t, v, body)
		_, err := d.onPush(context.Background(), "x", rulesMessage{VersionInfo: s.VersionInfo, Packed: s.compressed})
		require.NoError(t, err)
	}
	push(5, "five")
	push(4, "four")
	push(5, "another five")
	c.requireInstalled(5, "five")
	_, _ = c.store.commit(connector.Transaction{Puts: []connector.Put{{Key: headKey, Value: []byte(`{"version":3,"hash":"x"}`)}}})
	require.NoError(t, d.refreshFromStore(context.Background()))
	d.ObserveVersion("x", 4)
	require.Zero(t, d.pending.version)
	c.requireInstalled(5, "five")
}

// TestInvalidPush guards against installing a push whose body does not match its
// hash, does not parse, is not gzip, or decompresses to more than MaxBody.
func TestInvalidPush(t *testing.T) {
	c := newTestCell(t, 8, 1, "a")
	d := c.nodes["a-0"].d
	good := mustRuleset(t, 1, "one")
	bad := mustRuleset(t, 1, "bad")
	oversized, err := compress([]byte(strings.Repeat("x", MaxBody+1)))
	require.NoError(t, err)
	for name, msg := range map[string]rulesMessage{
		"hash":      {VersionInfo: good.VersionInfo, Packed: bad.compressed},
		"parse":     {VersionInfo: bad.VersionInfo, Packed: bad.compressed},
		"oversized": {VersionInfo: good.VersionInfo, Packed: oversized},
		"gzip":      {VersionInfo: good.VersionInfo, Packed: []byte("x")},
	} {
		_, err := d.onPush(context.Background(), "x", msg)
		require.Error(t, err, name)
		require.Zero(t, d.version())
	}
}

// TestHeadReadRate guards against head row reads that exceed the limit of 60 per
// second, at the planned number of instances and beyond.
func TestHeadReadRate(t *testing.T) {
	cfg := Config{}
	cfg.setDefaults()
	d := &Distributor{cfg: cfg}
	require.Equal(t, 5*time.Second, d.headReadInterval(9))
	for _, n := range []int{9, 270, 300, 1000} {
		require.LessOrEqual(t, float64(n)/d.headReadInterval(n).Seconds(), 60.0)
	}
}

// TestDelta guards against a delta that does not reproduce the body it was made
// from, and against a receiver without the base that never gets the version.
func TestDelta(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	randomText := func() string { return strings.Repeat(string(rune('a'+rng.IntN(3))), rng.IntN(4)) }
	for range 1000 {
		base, body := randomText()+randomText()+randomText(), randomText()+randomText()+randomText()
		s := mustRuleset(t, 1, base)
		diff, middle := newDelta(s, []byte(body))
		got, err := diff.apply(s, middle)
		require.NoError(t, err)
		require.Equal(t, body, string(got), "base %q", base)
	}
	_, err := delta{Base: 1, Prefix: 3, Suffix: 3}.apply(mustRuleset(t, 1, "short"), nil)
	require.Error(t, err)

	c := newTestCell(t, 9, 2, "a")
	_, err = c.apply("a-0", 0, "anna", "one")
	require.NoError(t, err)
	c.waitIdle()
	c.partition(func(_, to descriptor.InstanceID) bool { return to == "a-1" })
	_, err = c.apply("a-0", 1, "anna", "two")
	require.NoError(t, err)
	c.heal()
	_, err = c.apply("a-0", 2, "anna", "three")
	require.NoError(t, err)
	c.waitIdle() // a-1 lacks version 2, so it gets the full body
	c.requireInstalled(3, "three")
}

// BenchmarkPush measures the encoded size of a push, as a delta and with the full
// body, for a change to one line of a large file.
func BenchmarkPush(b *testing.B) {
	var lines []string
	for i := range 220 {
		lines = append(lines, fmt.Sprintf("team  team-%03d   weight=%d quota=%d%%   # asked by Anna Kovacs: contract %d", i, 1+i%5, 1+i%9, 7919*i))
	}
	for i := range 300 {
		lines = append(lines, fmt.Sprintf("caller caller-%03d-*  team=team-%03d home=gyor maxQueued=%d   # asked by Bela Nagy: ticket %d", i, i%220, 100+i, 104729*i))
	}
	body := func(weight int) []byte {
		changed := append([]string{}, lines...)
		changed[100] = fmt.Sprintf("team  team-100  weight=%d quota=7%%  # asked by Eva Szabo: more vans", weight)
		return []byte(strings.Join(changed, "\n"))
	}
	d := New(Config{Parse: func(v descriptor.RulesVersion, _ []byte) (*descriptor.Rules, error) {
		return &descriptor.Rules{Version: v}, nil
	}, Log: slog.New(slog.DiscardHandler)})
	var s *ruleset
	v := descriptor.RulesVersion(0)
	for b.Loop() {
		v++
		next := body(int(v))
		s, _ = newRuleset(VersionInfo{Version: v, Hash: hashOf(next), Author: "eva"}, next)
		if _, err := d.install(s); err != nil {
			b.Fatal(err)
		}
	}
	if s.delta == nil {
		b.Skip("needs at least two iterations to build a delta")
	}
	for name, msg := range map[string]any{"whole": s.message(false), "delta": s.message(true)} {
		encoded, err := json.Marshal(msg)
		require.NoError(b, err)
		b.ReportMetric(float64(len(encoded)), name+"Bytes")
	}
	b.ReportMetric(float64(len(s.body)), "fileBytes")
}
