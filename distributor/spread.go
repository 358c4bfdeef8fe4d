package distributor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/messenger"
)

// Methods handled by the distributor.
const (
	methodPush = "rules.push"
	methodPull = "rules.pull"
)

// maxPeerAttempts limits the members tried per remote data centre by a push, in
// total by a pull, and in the local data centre by a bootstrap.
const maxPeerAttempts = 3

// rulesMessage is the wire form of a rules version.
type rulesMessage struct {
	VersionInfo
	// Packed is the compressed body or, if Delta is set, the compressed bytes
	// between the common prefix and suffix. It is absent from a pull reply if the
	// receiver has no higher version than the caller.
	Packed []byte `json:"packed,omitempty"`
	Delta  *delta `json:"delta,omitempty"`
	// PassOn asks the receiver to push the version to its own data centre.
	PassOn bool `json:"passOn,omitempty"`
}

// pullRequest asks for a version higher than Have.
type pullRequest struct {
	Have descriptor.RulesVersion `json:"have"`
}

// versionReply is the reply to a push, with the receiver's installed version.
type versionReply struct {
	Version descriptor.RulesVersion `json:"version"`
	// NeedBody requests the full body because the delta's base is not the
	// receiver's installed version.
	NeedBody bool `json:"needBody,omitempty"`
}

// push sends a version to all members of the local data centre and, if
// allDataCentres is set, to one member of each other data centre, which forwards
// it within its own. Members that a push misses recover by pull or from the store.
func (d *Distributor) push(ctx context.Context, s *ruleset, allDataCentres bool) {
	var wg sync.WaitGroup
	for _, m := range d.cfg.Members(d.cfg.DataCentre) {
		if m.ID != d.cfg.Self {
			wg.Go(func() { _ = d.pushTo(ctx, m, s, false) })
		}
	}
	for _, dc := range d.cfg.DataCentres {
		if allDataCentres && dc != d.cfg.DataCentre {
			wg.Go(func() { d.pushToDataCentre(ctx, dc, s) })
		}
	}
	wg.Wait()
}

// pushToDataCentre tries random members of dc until one accepts the version.
func (d *Distributor) pushToDataCentre(ctx context.Context, dc descriptor.DataCentreID, s *ruleset) {
	members := d.shuffled(d.cfg.Members(dc))
	for _, m := range members[:min(maxPeerAttempts, len(members))] {
		if d.pushTo(ctx, m, s, true) == nil {
			return
		}
	}
	d.cfg.Scope.Counter("pushes_to_data_centre_failed").Inc(1)
}

// pushTo sends a version to one member, first as a delta and, if the member lacks
// the base, again with the full body.
func (d *Distributor) pushTo(ctx context.Context, m heartbeater.Member, s *ruleset, passOn bool) error {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
	defer cancel()
	for _, asDelta := range []bool{true, false} {
		msg := s.message(asDelta)
		msg.PassOn = passOn
		reply, err := messenger.CallControl[rulesMessage, versionReply](ctx, d.cfg.Pool, m.PeerAddress, methodPush, msg)
		if err != nil {
			d.cfg.Scope.Counter("pushes_failed").Inc(1)
			d.cfg.Log.Debug("distributor: push failed", "member", m.ID, "version", msg.Version, "error", err)
			return err
		}
		if !reply.NeedBody {
			return nil
		}
		d.cfg.Scope.Counter("pushes_repeated").Inc(1)
	}
	return nil
}

func (d *Distributor) shuffled(members []heartbeater.Member) []heartbeater.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// errBaseMismatch means that the base of a delta is not the installed version.
var errBaseMismatch = errors.New("base of the delta is not in force here")

// receive decodes a message and installs its version if it is higher than the
// installed one.
func (d *Distributor) receive(msg rulesMessage) (s *ruleset, installed bool, err error) {
	d.mu.Lock()
	base := d.current
	d.mu.Unlock()
	if base != nil && msg.Version <= base.Version || len(msg.Packed) == 0 {
		return nil, false, nil
	}
	body, err := decompress(msg.Packed)
	if err != nil {
		return nil, false, err
	}
	if msg.Delta != nil {
		if base == nil || base.Version != msg.Delta.Base {
			return nil, false, errBaseMismatch
		}
		if body, err = msg.Delta.apply(base, body); err != nil {
			return nil, false, err
		}
	}
	if s, err = newRuleset(msg.VersionInfo, body); err != nil {
		return nil, false, err
	}
	installed, err = d.install(s)
	return s, installed, err
}

// onPush handles rules.push.
func (d *Distributor) onPush(_ context.Context, from descriptor.InstanceID, msg rulesMessage) (versionReply, error) {
	s, installed, err := d.receive(msg)
	if errors.Is(err, errBaseMismatch) {
		return versionReply{Version: d.version(), NeedBody: true}, nil
	}
	if err != nil {
		d.cfg.Log.Warn("distributor: rejected pushed rules", "from", from, "version", msg.Version, "error", err)
		return versionReply{}, &messenger.RemoteError{Code: "rulesRejected", Message: err.Error()}
	}
	if installed && msg.PassOn {
		d.spawn(func(ctx context.Context) { d.push(ctx, s, false) })
	}
	return versionReply{Version: d.version()}, nil
}

// onPull handles rules.pull.
func (d *Distributor) onPull(_ context.Context, _ descriptor.InstanceID, req pullRequest) (rulesMessage, error) {
	d.mu.Lock()
	s := d.current
	d.mu.Unlock()
	switch {
	case s == nil:
		return rulesMessage{}, nil
	case s.Version <= req.Have:
		return rulesMessage{VersionInfo: VersionInfo{Version: s.Version}}, nil
	}
	return s.message(s.delta != nil && s.delta.Base == req.Have), nil
}

// errNoNewerVersion means that a pull returned no higher version.
var errNoNewerVersion = errors.New("peer has no newer version")

// pullFrom requests a higher version from one member and installs it.
func (d *Distributor) pullFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CallTimeout)
	defer cancel()
	req := pullRequest{Have: d.version()}
	msg, err := messenger.CallControl[pullRequest, rulesMessage](ctx, d.cfg.Pool, address, methodPull, req)
	if err != nil {
		return err
	}
	_, installed, err := d.receive(msg)
	if err == nil && !installed {
		return errNoNewerVersion
	}
	return err
}

// ObserveVersion records the rules version of a member. A version higher than the
// installed one is pulled later unless a push delivers it first. ObserveVersion
// does not block.
func (d *Distributor) ObserveVersion(from descriptor.InstanceID, v descriptor.RulesVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeVersionLocked(from, v)
}

func (d *Distributor) observeVersionLocked(from descriptor.InstanceID, v descriptor.RulesVersion) {
	if v <= d.pending.version || d.current != nil && v <= d.current.Version {
		return
	}
	at := d.pending.pullAt
	if at.IsZero() {
		// The delay is randomised so that members that missed the same push do
		// not pull simultaneously.
		half := d.cfg.PullDelay / 2
		at = d.cfg.Clock.Now().Add(half + time.Duration(d.cfg.Rand.Int64N(int64(half)+1)))
	}
	d.pending = pendingVersion{version: v, source: from, pullAt: at}
}

// pullPending gets a version seen at a peer: from that peer, from other members
// that have it, local data centre first, or from the store.
func (d *Distributor) pullPending(ctx context.Context, pending pendingVersion) {
	defer func() {
		d.mu.Lock()
		d.pulling = false
		d.mu.Unlock()
	}()
	for _, m := range d.pullSources(pending) {
		if d.version() >= pending.version {
			return
		}
		if err := d.pullFrom(ctx, m.PeerAddress); err != nil {
			d.cfg.Scope.Counter("pulls_failed").Inc(1)
			d.cfg.Log.Debug("distributor: pull failed", "member", m.ID, "error", err)
		}
	}
	if d.version() < pending.version {
		if err := d.refreshFromStore(ctx); err != nil {
			d.cfg.Log.Debug("distributor: failed to get an advertised version from peers or store", "version", pending.version, "error", err)
		}
	}
}

// pullSources returns the members to pull a version from, at most
// maxPeerAttempts, starting with the one that advertised it.
func (d *Distributor) pullSources(pending pendingVersion) []heartbeater.Member {
	var preferred, others []heartbeater.Member
	for _, dc := range d.dataCentresLocalFirst() {
		for _, m := range d.shuffled(d.cfg.Members(dc)) {
			switch {
			case m.ID == d.cfg.Self:
			case m.ID == pending.source:
				preferred = append(preferred, m)
			case m.Rules >= pending.version:
				others = append(others, m)
			}
		}
	}
	sources := append(preferred, others...)
	return sources[:min(maxPeerAttempts, len(sources))]
}

func (d *Distributor) dataCentresLocalFirst() []descriptor.DataCentreID {
	all := []descriptor.DataCentreID{d.cfg.DataCentre}
	for _, dc := range d.cfg.DataCentres {
		if dc != d.cfg.DataCentre {
			all = append(all, dc)
		}
	}
	return all
}

// refreshFromStore reads the head row, and fetches and installs its version if it
// is higher than the installed one.
func (d *Distributor) refreshFromStore(ctx context.Context) error {
	h, err := d.readHead(ctx)
	if err != nil {
		return err
	}
	current := d.version()
	if h.Version < current {
		// Rules never revert, so a head row with a lower version is a store fault.
		d.cfg.Scope.Counter("head_behind").Inc(1)
	}
	if h.Version <= current {
		return nil
	}
	s, err := d.fetchRuleset(ctx, h.VersionInfo)
	if err != nil {
		return fmt.Errorf("version %d: %w", h.Version, err)
	}
	_, err = d.install(s)
	return err
}
