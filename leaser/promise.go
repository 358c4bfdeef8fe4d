package leaser

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Peers reaches the leasers of the other instances of the data centre.
type Peers interface {
	Promise(ctx context.Context, to descriptor.InstanceID, r PromiseRequest) (PromiseReply, error)
	Consent(ctx context.Context, to descriptor.InstanceID, r ConsentRequest) (ConsentReply, error)
}

// PromiseRequest asks an instance not to take over a session, and not to consent
// to its takeover, for the given time.
type PromiseRequest struct {
	Holder      descriptor.InstanceID  `json:"holder"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	// Acknowledged is the sequence of the holder's last successful renewal.
	Acknowledged uint64 `json:"acknowledged"`
	// DurationMs counts from the receipt of the request.
	DurationMs int64 `json:"durationMs"`
}

// PromiseReply is the answer to a PromiseRequest.
type PromiseReply struct {
	Given bool `json:"given"`
}

// ConsentRequest asks a member of a holder's roster to consent to its takeover.
type ConsentRequest struct {
	Taker       descriptor.InstanceID  `json:"taker"`
	Holder      descriptor.InstanceID  `json:"holder"`
	Incarnation descriptor.Incarnation `json:"incarnation"`
	// Sequence is that of the holder's renewal row on which the takeover is
	// conditional.
	Sequence uint64 `json:"sequence"`
	// PromiseMs and MaxExtensionMs are the holder's settings in that row.
	PromiseMs      int64 `json:"promiseMs"`
	MaxExtensionMs int64 `json:"maxExtensionMs"`
}

// ConsentReply is the answer to a ConsentRequest. The takeover must be
// conditional on the session of the instance that consented.
type ConsentReply struct {
	Given   bool    `json:"given"`
	Session Session `json:"session"`
}

// pledges records what this process has promised and consented to. It is kept
// across incarnations of the session, but not across restarts of the process.
type pledges struct {
	// since is when the process started.
	since     time.Time
	promised  map[sessionName]time.Time
	consented map[sessionName]consent
}

// consent allows a takeover that is conditional on a renewal row.
type consent struct {
	sequence uint64
	// until is when the holder has certainly stopped without a renewal.
	until time.Time
}

func newPledges(now time.Time) pledges {
	return pledges{
		since:     now,
		promised:  map[sessionName]time.Time{},
		consented: map[sessionName]consent{},
	}
}

// prune forgets pledges that no longer bind.
func (p *pledges) prune(now time.Time) {
	for name, until := range p.promised {
		if now.After(until) {
			delete(p.promised, name)
		}
	}
	for name, c := range p.consented {
		if now.After(c.until) {
			delete(p.consented, name)
		}
	}
}

// HandlePromise answers a promise request of another instance.
//
// A promise is refused if this process has consented to a takeover that may
// still take effect: one that is conditional on the holder's last renewal or a
// later one. A restarted process has lost its record of consents. Takeovers
// under these are conditional on its earlier session, so those that were not
// carried out before its registration never are, and a read after it shows the
// others.
func (l *Leaser) HandlePromise(r PromiseRequest) PromiseReply {
	now := l.cfg.Clock.Now()
	name := sessionName{r.Holder, r.Incarnation}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pledges.prune(now)
	c, consented := l.pledges.consented[name]
	m := l.members[r.Holder]
	known := l.current != nil && l.current.scanned && m != nil && m.renewal.Incarnation == r.Incarnation
	if !known || consented && r.Acknowledged <= c.sequence {
		l.metrics.promiseRefused.Inc(1)
		return PromiseReply{}
	}
	until := now.Add(withMargin(milliseconds(r.DurationMs)))
	if until.After(l.pledges.promised[name]) {
		l.pledges.promised[name] = until
	}
	l.metrics.promiseGiven.Inc(1)
	return PromiseReply{Given: true}
}

// HandleConsent answers a consent request of another instance.
//
// Consent is refused while a promise to the holder is outstanding, and for one
// promise period after the start of the process, because an earlier process of
// this name may have given one.
func (l *Leaser) HandleConsent(r ConsentRequest) ConsentReply {
	now := l.cfg.Clock.Now()
	name := sessionName{r.Holder, r.Incarnation}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pledges.prune(now)
	forgotten := l.pledges.since.Add(withMargin(max(l.cfg.Promise, milliseconds(r.PromiseMs))))
	_, promised := l.pledges.promised[name]
	if l.current == nil || promised || !now.After(forgotten) {
		l.metrics.consentRefused.Inc(1)
		return ConsentReply{}
	}
	c := l.pledges.consented[name]
	c.sequence = max(c.sequence, r.Sequence)
	c.until = now.Add(withMargin(max(l.cfg.MaxExtension, milliseconds(r.MaxExtensionMs))))
	l.pledges.consented[name] = c
	l.metrics.consentGiven.Inc(1)
	return ConsentReply{Given: true, Session: l.current.session}
}

// promiseLoop extends the lease by promises while the renewal is overdue.
func (l *Leaser) promiseLoop(ctx context.Context) {
	for l.sleep(ctx, l.jitter(l.cfg.Promise/3, 10)) {
		now := l.cfg.Clock.Now()
		c, request, roster := l.overdue(now)
		if c == nil {
			continue
		}
		l.collectPromises(ctx, c, request, roster)
		l.extend(c, l.cfg.Clock.Now())
	}
}

// overdue returns the session and its roster if the last renewal is late.
func (l *Leaser) overdue(now time.Time) (*incarnation, PromiseRequest, []descriptor.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	if c == nil || l.closing || now.Sub(c.ackedSent) < l.cfg.Renewal*5/4 {
		return nil, PromiseRequest{}, nil
	}
	return c, PromiseRequest{
		Holder:       l.cfg.Instance,
		Incarnation:  c.session.Incarnation,
		Acknowledged: c.acked,
		DurationMs:   ceilMilliseconds(l.cfg.Promise),
	}, l.required(c)
}

// required lists the instances whose promises the session needs: all others in
// the rosters of the last successful renewal and of the ones after it that may
// have taken effect. A taker asks a member of one of these rosters. The caller
// holds mu.
func (l *Leaser) required(c *incarnation) []descriptor.InstanceID {
	var list []descriptor.InstanceID
	for _, a := range c.attempts {
		for _, i := range a.roster {
			if i != l.cfg.Instance && !slices.Contains(list, i) {
				list = append(list, i)
			}
		}
	}
	return list
}

// collectPromises asks all instances at once.
func (l *Leaser) collectPromises(ctx context.Context, c *incarnation, r PromiseRequest, roster []descriptor.InstanceID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := l.cfg.Clock.AfterFunc(l.cfg.Promise/3, cancel)
	defer timer.Stop()
	var wg sync.WaitGroup
	for _, i := range roster {
		wg.Go(func() {
			sent := l.cfg.Clock.Now()
			reply, err := l.cfg.Peers.Promise(ctx, i, r)
			if err != nil || !reply.Given {
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			c.promised[i] = sent.Add(l.cfg.Promise)
		})
	}
	wg.Wait()
}

// extend sets the end of the extension: that of the first promise to end, and
// never more than MaxExtension after the last successful renewal. An instance
// that is alone in its roster promises itself.
func (l *Leaser) extend(c *incarnation, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != c {
		return
	}
	end := now.Add(l.cfg.Promise)
	for _, i := range l.required(c) {
		if p := c.promised[i]; p.Before(end) {
			end = p
		}
	}
	if limit := c.ackedSent.Add(l.cfg.MaxExtension); limit.Before(end) {
		end = limit
	}
	c.extended = end
	l.publish()
}
