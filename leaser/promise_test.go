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

// startHolderAndPeer starts instances a and b. It returns b, a promise request of a
// and a consent request for the takeover of a.
func startHolderAndPeer(t *testing.T) (*cell, *process, PromiseRequest, ConsentRequest) {
	c := newCell(t, 7)
	a, b := c.start("a"), c.start("b")
	c.advance(10 * time.Second)
	session, ok := a.leaser.Session()
	require.True(t, ok)
	promise := PromiseRequest{Holder: "a", Incarnation: session.Incarnation, Acknowledged: 5, DurationMs: 3000}
	consent := ConsentRequest{Requester: "c", Holder: "a", Incarnation: session.Incarnation, Sequence: 5, PromiseMs: 3000}
	return c, b, promise, consent
}

// TestNoConsentDuringPromise guards against a takeover while the holder relies on a
// promise. The clock of the promising instance may be up to 1% faster than the
// holder's.
func TestNoConsentDuringPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, b, promise, consent := startHolderAndPeer(t)
		defer c.shutdown()
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

// TestNoPromiseAfterConsent guards against the extension of a lease while a takeover
// under an earlier consent may still take effect. Once the holder has renewed, the
// takeover can no longer take effect.
func TestNoPromiseAfterConsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, b, promise, consent := startHolderAndPeer(t)
		defer c.shutdown()
		require.True(t, b.leaser.HandleConsent(consent).Given)
		require.False(t, b.leaser.HandlePromise(promise).Given)
		time.Sleep(10 * time.Minute)
		require.False(t, b.leaser.HandlePromise(promise).Given, "promise given while a consent is still valid")
		promise.Acknowledged = consent.Sequence + 1
		require.True(t, b.leaser.HandlePromise(promise).Given)
	})
}

// TestNoConsentAfterRestart guards against consent to a takeover from an instance
// that restarted and so lost its record of a promise that is still valid.
func TestNoConsentAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, _, consent := startHolderAndPeer(t)
		defer c.shutdown()
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

// TestNoPromiseBeforeRead guards against a promise from an instance that restarted
// and so lost its record of a consent. It must not promise before it has registered
// and then read that the holder's session still exists.
func TestNoPromiseBeforeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _, promise, _ := startHolderAndPeer(t)
		defer c.shutdown()
		c.kill("b")
		c.faults = faketable.Faults{LostResponseRate: 1}
		b := c.start("b")
		c.advance(20 * time.Second)
		require.False(t, b.leaser.HandlePromise(promise).Given, "promise given without a session")
		b.client.SetFaults(faketable.Faults{})
		for _, ok := b.leaser.Session(); !ok; _, ok = b.leaser.Session() {
			time.Sleep(time.Millisecond)
		}
		require.False(t, b.leaser.HandlePromise(promise).Given, "promise given without a read since the registration")
		c.advance(10 * time.Second)
		require.True(t, b.leaser.HandlePromise(promise).Given)
		c.kill("a")
		dc, err := b.leaser.FindSession(context.Background(), "a", []descriptor.DataCentreID{"sopron", "gyor"})
		require.NoError(t, err)
		require.EqualValues(t, "gyor", dc)
		require.NoError(t, b.leaser.Forget(context.Background(), "a"))
		require.False(t, b.leaser.HandlePromise(promise).Given, "promise given for a removed session")
	})
}

// blockingPeers delays the first reply that gives consent until release is closed.
type blockingPeers struct {
	Peers
	consented chan struct{}
	release   chan struct{}
	once      sync.Once
}

func (p *blockingPeers) Consent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) (ConsentReply, error) {
	reply, err := p.Peers.Consent(ctx, to, r)
	if reply.Given {
		p.once.Do(func() {
			close(p.consented)
			<-p.release
		})
	}
	return reply, err
}

// TestConsentEndsWithSession guards against a takeover under the consent of a
// process that has ended. The restarted process has no record of the consent and may
// give a promise that contradicts it.
func TestConsentEndsWithSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 8)
		defer c.shutdown()
		c.start("a")
		c.start("m")
		c.advance(10 * time.Second)
		c.process("a").clock.pause()
		l := c.process("m").leaser
		l.mu.Lock()
		l.closing = true // no takeovers, but requests are still answered
		l.mu.Unlock()
		blocking := &blockingPeers{consented: make(chan struct{}), release: make(chan struct{})}
		c.wrapPeers = func(p Peers) Peers {
			blocking.Peers = p
			return blocking
		}
		c.start("t") // not in the member list of a
		c.wrapPeers = nil
		<-blocking.consented
		c.kill("m")
		m := c.start("m")
		for _, ok := m.leaser.Session(); !ok; _, ok = m.leaser.Session() {
			time.Sleep(time.Millisecond)
		}
		close(blocking.release)
		c.advance(500 * time.Millisecond)
		_, err := c.table.Client().Get(t.Context(), "session/gyor/a")
		require.NoError(t, err, "the session of a was removed under the consent of a process that had ended")
	})
}

// TestHolderWithoutStoreKeepsSlices guards against the takeover of an instance that
// can't reach the store while its peers can, and that extends its lease by their
// promises.
func TestHolderWithoutStoreKeepsSlices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 9)
		defer c.shutdown()
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		c.advance(10 * time.Second)
		c.process("a").client.SetFaults(faketable.Faults{Hang: true})
		for range 300 {
			c.advance(100 * time.Millisecond)
			require.Equal(t, descriptor.SliceCount, c.totalOwned())
		}
		require.NotZero(t, c.owned()["a"])
		c.setIsolated("a", true)
		c.advance(DefaultPromiseDuration + time.Second)
		require.Zero(t, c.owned()["a"], "the lease did not end without promises")
		c.awaitOwned(DefaultLeaseDuration)
	})
}

// TestLoneInstance guards against an unlimited lease extension of an instance that
// is alone in its member list, and against its takeover before the extension has
// ended.
func TestLoneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 10)
		defer c.shutdown()
		c.config.MaxExtension = 40 * time.Second
		a := c.start("a")
		c.advance(10 * time.Second)
		a.client.SetFaults(faketable.Faults{Hang: true})
		c.start("b") // not in the member list of a, which can't read the store
		start := time.Now()
		for time.Since(start) < 36*time.Second {
			c.advance(100 * time.Millisecond)
			require.Equal(t, descriptor.SliceCount, c.owned()["a"])
			require.Zero(t, c.owned()["b"])
		}
		c.advance(6 * time.Second)
		require.Zero(t, c.owned()["a"], "the extension did not end")
		c.awaitOwned(5 * time.Second)
		require.Equal(t, descriptor.SliceCount, c.owned()["b"])
	})
}

// startIdle returns a process whose leaser has a session but whose loops have ended,
// so that a test can call single steps.
func startIdle(c *cell, name descriptor.InstanceID) *process {
	p := c.start(name)
	c.advance(3 * time.Second)
	p.cancel()
	<-p.done
	p.leaser.closing = false
	return p
}

// TestAmbiguousRenewalAddsPromisers guards against a lease extension without the
// promise of an instance that can consent to a takeover: a renewal with a new member
// list may have taken effect although its reply was lost.
func TestAmbiguousRenewalAddsPromisers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 11)
		defer c.shutdown()
		a := startIdle(c, "a")
		l := a.leaser
		require.Empty(t, l.requiredPromisers(l.current))
		l.members["b"] = &member{}
		a.client.SetFaults(faketable.Faults{LostResponseRate: 1})
		require.Equal(t, renewalFailed, l.renew(t.Context()))
		require.Equal(t, []descriptor.InstanceID{"b"}, l.requiredPromisers(l.current))
		delete(l.members, "b")
		require.Equal(t, renewalFailed, l.renew(t.Context()))
		require.Equal(t, []descriptor.InstanceID{"b"}, l.requiredPromisers(l.current))

		// The conflict shows which attempt took effect. The next renewal supersedes it.
		a.client.SetFaults(faketable.Faults{})
		require.Equal(t, renewalRetryNow, l.renew(t.Context()))
		require.Equal(t, []descriptor.InstanceID{"b"}, l.requiredPromisers(l.current))
		require.Equal(t, renewalSucceeded, l.renew(t.Context()))
		require.Empty(t, l.requiredPromisers(l.current))
	})
}

// TestLateRenewalHasNoEffect guards against a delayed renewal that overwrites a
// later one and so restores a member list that the holder no longer takes into
// account.
func TestLateRenewalHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 12)
		defer c.shutdown()
		a := startIdle(c, "a")
		a.client.SetFaults(faketable.Faults{DelayedCommitRate: 1, MaxCommitDelay: time.Minute})
		require.Equal(t, renewalFailed, a.leaser.renew(t.Context()))
		a.client.SetFaults(faketable.Faults{})
		require.Equal(t, renewalSucceeded, a.leaser.renew(t.Context()))
		last := a.leaser.current.ackedSequence
		c.table.WaitForDelayedCommits()
		row, err := a.client.Get(t.Context(), "renewal/gyor/a")
		require.NoError(t, err)
		r, err := decodeRow[renewalRow](row)
		require.NoError(t, err)
		require.Equal(t, last, r.Sequence)
	})
}

// TestTakeoverWaitsForLeaseAndMargin guards against an early takeover by an instance
// whose clock is faster than the holder's.
func TestTakeoverWaitsForLeaseAndMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 13)
		defer c.shutdown()
		l := startIdle(c, "a").leaser
		seen := time.Now()
		m := &member{renewal: renewalRow{LeaseMs: 6000}, firstSeen: seen, unchangedSince: seen, lastSeen: seen}
		require.GreaterOrEqual(t, l.takeoverTime("b", m).Sub(seen), 6060*time.Millisecond)

		// After a store outage, instances must get the time to renew before they
		// are taken over.
		later := seen.Add(time.Minute)
		l.recordMember("b", m.renewal, 1, seen)
		l.recordMember("b", m.renewal, 1, later)
		require.GreaterOrEqual(t, l.takeoverTime("b", l.members["b"]).Sub(later), 6060*time.Millisecond)
	})
}

// TestPausedPromiser guards against instances that stop for the rest of a store
// outage because one of their data centre was paused for the duration of a promise.
// Their leases end in the pause, since they need its promise, and must be extended
// again soon after it.
func TestPausedPromiser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 5)
		defer c.shutdown()
		c.config.LeaseDuration, c.config.RenewalInterval, c.config.PromiseDuration = 3*time.Second, time.Second, 1500*time.Millisecond
		for _, name := range []descriptor.InstanceID{"a", "b", "c"} {
			c.start(name)
		}
		c.advance(12 * time.Second)
		c.setFaults(faketable.Faults{Hang: true})
		c.advance(4500 * time.Millisecond)
		require.Equal(t, descriptor.SliceCount, c.totalOwned())
		c.process("b").clock.pause()
		c.advance(c.config.PromiseDuration)
		require.Zero(t, c.totalOwned())
		c.process("b").clock.resume()
		c.awaitOwned(c.config.PromiseDuration)
	})
}
