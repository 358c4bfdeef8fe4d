package leaser

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/faketable"
)

// pledging starts instances a and b and returns b and a request of a.
func pledging(t *testing.T) (*cell, *process, PromiseRequest, ConsentRequest) {
	c := newCell(t, 7)
	a, b := c.start("a"), c.start("b")
	c.run(10 * time.Second)
	session, ok := a.leaser.Session()
	require.True(t, ok)
	promise := PromiseRequest{Holder: "a", Incarnation: session.Incarnation, Acknowledged: 5, DurationMs: 3000}
	consent := ConsentRequest{Taker: "c", Holder: "a", Incarnation: session.Incarnation, Sequence: 5, PromiseMs: 3000}
	return c, b, promise, consent
}

// TestNoConsentDuringPromise guards against a takeover while the holder counts
// on a promise. The member's clock may be up to 1% faster than the holder's.
func TestNoConsentDuringPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, b, promise, consent := pledging(t)
		defer c.end()
		start := b.clock.Now()
		require.True(t, b.leaser.HandlePromise(promise).Given)
		for b.clock.Now().Sub(start) < 3*time.Second+30*time.Millisecond {
			require.False(t, b.leaser.HandleConsent(consent).Given)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
		require.True(t, b.leaser.HandleConsent(consent).Given)
	})
}

// TestNoPromiseAfterConsent guards against a lease that is extended while a
// takeover under an earlier consent may still take effect. Once the holder has
// renewed, the takeover can't.
func TestNoPromiseAfterConsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, b, promise, consent := pledging(t)
		defer c.end()
		require.True(t, b.leaser.HandleConsent(consent).Given)
		require.False(t, b.leaser.HandlePromise(promise).Given)
		time.Sleep(10 * time.Minute)
		require.False(t, b.leaser.HandlePromise(promise).Given, "a consent lasts as long as the holder may extend its lease")
		promise.Acknowledged = consent.Sequence + 1
		require.True(t, b.leaser.HandlePromise(promise).Given)
	})
}

// TestNoConsentAfterRestart guards against a member that forgot its promise by
// restarting.
func TestNoConsentAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, _, consent := pledging(t)
		defer c.end()
		c.kill("b")
		b := c.start("b")
		start := b.clock.Now()
		for b.clock.Now().Sub(start) < 3*time.Second+30*time.Millisecond {
			require.False(t, b.leaser.HandleConsent(consent).Given)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
		require.True(t, b.leaser.HandleConsent(consent).Given)
	})
}

// TestNoPromiseBeforeRead guards against a member that forgot its consent by
// restarting: it promises nothing before it has registered and read that the
// holder's session still exists.
func TestNoPromiseBeforeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, promise, _ := pledging(t)
		defer c.end()
		c.kill("b")
		c.faults = faketable.Faults{LostAnswer: 1}
		b := c.start("b")
		c.run(20 * time.Second)
		require.False(t, b.leaser.HandlePromise(promise).Given, "no session")
		b.client.Set(faketable.Faults{})
		for _, ok := b.leaser.Session(); !ok; _, ok = b.leaser.Session() {
			time.Sleep(time.Millisecond)
		}
		require.False(t, b.leaser.HandlePromise(promise).Given, "no read since the registration")
		c.run(10 * time.Second)
		require.True(t, b.leaser.HandlePromise(promise).Given)
		c.kill("a")
		dc, err := b.leaser.SessionIn(context.Background(), "a", []descriptor.DataCentreID{"sopron", "gyor"})
		require.NoError(t, err)
		require.EqualValues(t, "gyor", dc)
		require.NoError(t, b.leaser.Forget(context.Background(), "a"))
		require.False(t, b.leaser.HandlePromise(promise).Given, "the session of a is gone")
	})
}

// holdingPeers holds the first consent until it is released.
type holdingPeers struct {
	Peers
	given   chan struct{}
	release chan struct{}
	once    sync.Once
}

func (p *holdingPeers) Consent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) (ConsentReply, error) {
	reply, err := p.Peers.Consent(ctx, to, r)
	if reply.Given {
		p.once.Do(func() {
			close(p.given)
			<-p.release
		})
	}
	return reply, err
}

// TestConsentEndsWithSession guards against a takeover under the consent of a
// process that has ended. The restarted process has no record of the consent
// and may promise the opposite.
func TestConsentEndsWithSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 8)
		defer c.end()
		c.start("a")
		c.start("m")
		c.run(10 * time.Second)
		c.process("a").clock.pause()
		l := c.process("m").leaser
		l.mu.Lock()
		l.closing = true // it takes nothing over, but still answers
		l.mu.Unlock()
		hold := &holdingPeers{given: make(chan struct{}), release: make(chan struct{})}
		c.wrapPeers = func(p Peers) Peers {
			hold.Peers = p
			return hold
		}
		c.start("t") // not in the roster of a
		c.wrapPeers = nil
		<-hold.given
		c.kill("m")
		m := c.start("m")
		for _, ok := m.leaser.Session(); !ok; _, ok = m.leaser.Session() {
			time.Sleep(time.Millisecond)
		}
		close(hold.release)
		c.run(500 * time.Millisecond)
		_, err := c.table.Client().Get(t.Context(), "session/gyor/a")
		require.NoError(t, err, "the session of a was removed under a consent that had ended")
	})
}

// TestHolderWithoutStoreKeepsSlices guards against a takeover of an instance
// that can't reach the store although its peers can, and that they promised
// not to take over.
func TestHolderWithoutStoreKeepsSlices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 9)
		defer c.end()
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		c.run(10 * time.Second)
		c.process("a").client.Set(faketable.Faults{Hang: true})
		for range 300 {
			c.run(100 * time.Millisecond)
			require.Equal(t, descriptor.SliceCount, c.total())
		}
		require.NotZero(t, c.owned()["a"])
		c.setIsolated("a", true)
		c.run(DefaultPromise + time.Second)
		require.Zero(t, c.owned()["a"], "a lease without promises ends")
		c.awaitOwned(DefaultLease)
	})
}

// TestLoneInstance guards against an extension without end, and against a
// takeover of a lone instance before its extension has ended.
func TestLoneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 10)
		defer c.end()
		c.settings.MaxExtension = 40 * time.Second
		a := c.start("a")
		c.run(10 * time.Second)
		a.client.Set(faketable.Faults{Hang: true})
		c.start("b") // not in the roster of a, which can't read it
		start := time.Now()
		for time.Since(start) < 36*time.Second {
			c.run(100 * time.Millisecond)
			require.Equal(t, descriptor.SliceCount, c.owned()["a"])
			require.Zero(t, c.owned()["b"])
		}
		c.run(6 * time.Second)
		require.Zero(t, c.owned()["a"], "the extension has ended")
		c.awaitOwned(5 * time.Second)
		require.Equal(t, descriptor.SliceCount, c.owned()["b"])
	})
}

// idle returns a leaser with a session whose loops have ended, so that a test
// can carry out single steps.
func idle(c *cell, name descriptor.InstanceID) *process {
	p := c.start(name)
	c.run(3 * time.Second)
	p.cancel()
	<-p.ended
	p.leaser.closing = false
	return p
}

// TestAmbiguousRenewalWidensRoster guards against an extension that ignores an
// instance whose consent a taker may ask for: a renewal with a new roster may
// have taken effect although it was not acknowledged.
func TestAmbiguousRenewalWidensRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 11)
		defer c.end()
		a := idle(c, "a")
		l := a.leaser
		require.Empty(t, l.required(l.current))
		l.members["b"] = &member{}
		a.client.Set(faketable.Faults{LostAnswer: 1})
		require.Equal(t, renewalFailed, l.renew(t.Context()))
		require.Equal(t, []descriptor.InstanceID{"b"}, l.required(l.current))
		delete(l.members, "b")
		require.Equal(t, renewalFailed, l.renew(t.Context()))
		require.Equal(t, []descriptor.InstanceID{"b"}, l.required(l.current))

		// The conflict shows which attempt took effect; the next renewal replaces it.
		a.client.Set(faketable.Faults{})
		require.Equal(t, renewalAgain, l.renew(t.Context()))
		require.Equal(t, []descriptor.InstanceID{"b"}, l.required(l.current))
		require.Equal(t, renewalDone, l.renew(t.Context()))
		require.Empty(t, l.required(l.current))
	})
}

// TestLateRenewalHasNoEffect guards against a delayed renewal that replaces a
// later one and so brings back a roster that the holder no longer counts with.
func TestLateRenewalHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 12)
		defer c.end()
		a := idle(c, "a")
		a.client.Set(faketable.Faults{LateCommit: 1, LateBy: time.Minute})
		require.Equal(t, renewalFailed, a.leaser.renew(t.Context()))
		a.client.Set(faketable.Faults{})
		require.Equal(t, renewalDone, a.leaser.renew(t.Context()))
		last := a.leaser.current.acked
		c.table.Wait()
		row, err := a.client.Get(t.Context(), "renewal/gyor/a")
		require.NoError(t, err)
		r, err := decode[renewalRow](row)
		require.NoError(t, err)
		require.Equal(t, last, r.Sequence)
	})
}

// TestTakerWaitsForLeaseAndMargin guards against a taker whose clock is faster
// than the holder's.
func TestTakerWaitsForLeaseAndMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 13)
		defer c.end()
		l := idle(c, "a").leaser
		seen := time.Now()
		m := &member{renewal: renewalRow{LeaseMs: 6000}, firstSeen: seen, steadySince: seen, lastSeen: seen}
		require.GreaterOrEqual(t, l.takeoverTime("b", m).Sub(seen), 6060*time.Millisecond)

		// The end of a store outage must not cause takeovers of instances that
		// have not had the time to renew.
		later := seen.Add(time.Minute)
		l.observe("b", m.renewal, 1, seen)
		l.observe("b", m.renewal, 1, later)
		require.GreaterOrEqual(t, l.takeoverTime("b", l.members["b"]).Sub(later), 6060*time.Millisecond)
	})
}
