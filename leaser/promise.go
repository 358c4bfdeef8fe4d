package leaser

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Peers sends requests to the leasers of the other instances of the data centre.
type Peers interface {
	Promise(ctx context.Context, to descriptor.InstanceID, r PromiseRequest) (PromiseReply, error)
	Consent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) (ConsentReply, error)
}

// PromiseRequest asks an instance for a vote to extend a lease: a promise neither
// to take over the holder's session nor to consent to its takeover for the given
// time.
type PromiseRequest struct {
	Holder      descriptor.InstanceID  `json:"holder"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	// Acknowledged is the sequence of the holder's last successful renewal.
	Acknowledged uint64 `json:"acknowledged"`
	// DurationMs is the duration of the promise from the receipt of the request.
	DurationMs int64 `json:"durationMs"`
}

// PromiseReply is the reply to a PromiseRequest.
type PromiseReply struct {
	Given bool `json:"given"`
}

// ConsentRequest asks an instance in the holder's member list to consent to the
// takeover of the holder's session by the requester.
type ConsentRequest struct {
	Requester   descriptor.InstanceID  `json:"taker"`
	Holder      descriptor.InstanceID  `json:"holder"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	// Sequence is the sequence of the holder's renewal row on which the takeover
	// is conditional.
	Sequence uint64 `json:"sequence"`
	// PromiseMs and MaxExtensionMs are the holder's durations from that row.
	PromiseMs      int64 `json:"promiseMs"`
	MaxExtensionMs int64 `json:"maxExtensionMs"`
}

// ConsentReply is the reply to a ConsentRequest. The takeover must be conditional
// on Session, the session of the instance that consented.
type ConsentReply struct {
	Given   bool    `json:"given"`
	Session Session `json:"session"`
}

// commitments records the promises and consents that this process has given. It
// outlives the sessions of the process, but not the process.
type commitments struct {
	processStart time.Time
	promises     map[sessionID]time.Time
	consents     map[sessionID]consent
}

// consent permits a takeover that is conditional on the renewal row with the given
// sequence.
type consent struct {
	sequence uint64
	// expiry is the time by which a holder that has not renewed has stopped using
	// its slices, even if it extended its lease for as long as possible.
	expiry time.Time
}

func newCommitments(now time.Time) commitments {
	return commitments{
		processStart: now,
		promises:     map[sessionID]time.Time{},
		consents:     map[sessionID]consent{},
	}
}

// prune removes expired promises and consents.
func (p *commitments) prune(now time.Time) {
	for id, until := range p.promises {
		if now.After(until) {
			delete(p.promises, id)
		}
	}
	for id, c := range p.consents {
		if now.After(c.expiry) {
			delete(p.consents, id)
		}
	}
}

// HandlePromise answers a promise request of another instance.
//
// It refuses if this process has consented to a takeover that may still take
// effect, which is one that is conditional on the holder's last successful renewal
// or a later one.
//
// After a restart the process has no record of earlier consents. Takeovers with
// these consents are conditional on its previous session, so they can't take
// effect once the new session is registered, and a read after the registration
// shows those that did before. HandlePromise therefore refuses until such a read
// has found the holder's session.
func (l *Leaser) HandlePromise(r PromiseRequest) PromiseReply {
	now := l.cfg.Clock.Now()
	id := sessionID{r.Holder, r.Incarnation}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commitments.prune(now)
	c, consented := l.commitments.consents[id]
	m := l.members[r.Holder]
	known := l.current != nil && l.current.membersScanned && m != nil && m.renewal.Incarnation == r.Incarnation
	if !known || consented && r.Acknowledged <= c.sequence {
		l.metrics.promiseRefused.Inc(1)
		return PromiseReply{}
	}
	until := now.Add(withClockMargin(milliseconds(r.DurationMs)))
	if until.After(l.commitments.promises[id]) {
		l.commitments.promises[id] = until
	}
	l.metrics.promiseGiven.Inc(1)
	return PromiseReply{Given: true}
}

// HandleConsent answers a consent request of another instance.
//
// It refuses while a promise to the holder is valid. It also refuses for the
// duration of a promise after the start of the process, because an earlier process
// of this instance may have given a promise that is still valid.
func (l *Leaser) HandleConsent(r ConsentRequest) ConsentReply {
	now := l.cfg.Clock.Now()
	id := sessionID{r.Holder, r.Incarnation}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commitments.prune(now)
	earlierPromisesEnd := l.commitments.processStart.Add(withClockMargin(max(l.cfg.PromiseDuration, milliseconds(r.PromiseMs))))
	_, promised := l.commitments.promises[id]
	if l.current == nil || promised || !now.After(earlierPromisesEnd) {
		l.metrics.consentRefused.Inc(1)
		return ConsentReply{}
	}
	c := l.commitments.consents[id]
	c.sequence = max(c.sequence, r.Sequence)
	c.expiry = now.Add(withClockMargin(max(l.cfg.MaxExtension, milliseconds(r.MaxExtensionMs))))
	l.commitments.consents[id] = c
	l.metrics.consentGiven.Inc(1)
	return ConsentReply{Given: true, Session: l.current.session}
}

// promiseLoop extends the lease by promises of other instances while the renewal
// is overdue.
func (l *Leaser) promiseLoop(ctx context.Context) {
	for l.sleep(ctx, l.jitter(l.cfg.PromiseDuration/3, 10)) {
		now := l.cfg.Clock.Now()
		c, request, promisers := l.overdueRenewal(now)
		if c == nil {
			continue
		}
		l.collectPromises(ctx, c, request, promisers)
		l.extendLease(c, l.cfg.Clock.Now())
	}
}

// overdueRenewal returns the session, the request to send and the instances to
// send it to if the renewal is overdue; otherwise the session is nil.
func (l *Leaser) overdueRenewal(now time.Time) (*sessionState, PromiseRequest, []descriptor.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil || l.closing || now.Sub(c.ackedSentAt) < l.cfg.RenewalInterval*5/4 {
		return nil, PromiseRequest{}, nil
	}
	return c, PromiseRequest{
		Holder:       l.cfg.Instance,
		Incarnation:  c.session.Incarnation,
		Acknowledged: c.ackedSequence,
		DurationMs:   ceilMilliseconds(l.cfg.PromiseDuration),
	}, l.requiredPromisers(c)
}

// requiredPromisers lists the instances whose promises are needed to extend the
// lease: all others in the member lists of the last successful renewal and of
// later ones that may have taken effect. A takeover needs the consent of one
// instance in one of these lists. The caller holds mu.
func (l *Leaser) requiredPromisers(c *sessionState) []descriptor.InstanceID {
	var list []descriptor.InstanceID
	for _, a := range c.attempts {
		for _, id := range a.members {
			if id != l.cfg.Instance && !slices.Contains(list, id) {
				list = append(list, id)
			}
		}
	}
	return list
}

// collectPromises requests promises from all given instances concurrently.
func (l *Leaser) collectPromises(ctx context.Context, c *sessionState, r PromiseRequest, promisers []descriptor.InstanceID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := l.cfg.Clock.AfterFunc(l.cfg.PromiseDuration/3, cancel)
	defer timer.Stop()
	var wg sync.WaitGroup
	for _, id := range promisers {
		wg.Go(func() {
			sent := l.cfg.Clock.Now()
			reply, err := l.cfg.Peers.Promise(ctx, id, r)
			if err != nil || !reply.Given {
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			c.promisedUntil[id] = sent.Add(l.cfg.PromiseDuration)
		})
	}
	wg.Wait()
}

// extendLease sets the end of the extension to the earliest end of the required
// promises, but at most MaxExtension after the last successful renewal was sent.
// An instance that is alone in its member list needs no promises and extends its
// lease by itself.
func (l *Leaser) extendLease(c *sessionState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != c {
		return
	}
	end := now.Add(l.cfg.PromiseDuration)
	for _, id := range l.requiredPromisers(c) {
		if p := c.promisedUntil[id]; p.Before(end) {
			end = p
		}
	}
	if limit := c.ackedSentAt.Add(l.cfg.MaxExtension); limit.Before(end) {
		end = limit
	}
	c.extendedUntil = end
	l.publishSnapshot()
}
