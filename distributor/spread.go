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

// Methods of the distributor.
const (
	methodPush = "rules.push"
	methodPull = "rules.pull"
)

// linkAttempts is how many members of another data centre a push tries.
const linkAttempts = 3

// rulesMessage carries a version between instances.
type rulesMessage struct {
	VersionInfo
	// Packed is the compressed body, or with Delta the part of it that differs.
	// It is absent from a pull's reply if the caller has the version already.
	Packed []byte `json:"packed,omitempty"`
	Delta  *delta `json:"delta,omitempty"`
	// PassOn asks the receiver to push the version within its data centre.
	PassOn bool `json:"passOn,omitempty"`
}

// pullRequest asks for a version higher than Have.
type pullRequest struct {
	Have descriptor.RulesVersion `json:"have"`
}

// versionReply answers a push with the version in force at the receiver.
type versionReply struct {
	Version descriptor.RulesVersion `json:"version"`
	// NeedBody says that the receiver lacks the base of the delta.
	NeedBody bool `json:"needBody,omitempty"`
}

// push sends a version to all members of the own data centre, and if everywhere
// is set to one member of each other data centre, which passes it on. What a
// push misses is repaired by pull.
func (d *Distributor) push(ctx context.Context, s *ruleset, everywhere bool) {
	var wg sync.WaitGroup
	for _, m := range d.cfg.Members(d.cfg.DataCentre) {
		if m.ID != d.cfg.Self {
			wg.Go(func() { _ = d.pushTo(ctx, m, s, false) })
		}
	}
	for _, dc := range d.cfg.DataCentres {
		if everywhere && dc != d.cfg.DataCentre {
			wg.Go(func() { d.pushToDataCentre(ctx, dc, s) })
		}
	}
	wg.Wait()
}

// pushToDataCentre sends a version to the first member that takes it.
func (d *Distributor) pushToDataCentre(ctx context.Context, dc descriptor.DataCentreID, s *ruleset) {
	members := d.shuffled(d.cfg.Members(dc))
	for _, m := range members[:min(linkAttempts, len(members))] {
		if d.pushTo(ctx, m, s, true) == nil {
			return
		}
	}
	d.cfg.Scope.Counter("pushes_to_data_centre_failed").Inc(1)
}

// pushTo sends a version to one member: as a delta, then whole if needed.
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

// errNeedBody means that a delta's base is not the version in force here.
var errNeedBody = errors.New("base of the delta is not in force here")

// receive unpacks a version and installs it if it is higher.
func (d *Distributor) receive(msg rulesMessage) (s *ruleset, installed bool, err error) {
	d.mu.Lock()
	base := d.current
	d.mu.Unlock()
	if base != nil && msg.Version <= base.Version || len(msg.Packed) == 0 {
		return nil, false, nil
	}
	body, err := unpack(msg.Packed)
	if err != nil {
		return nil, false, err
	}
	if msg.Delta != nil {
		if base == nil || base.Version != msg.Delta.Base {
			return nil, false, errNeedBody
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
	if errors.Is(err, errNeedBody) {
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

// errNothingNew means that a peer has no higher version.
var errNothingNew = errors.New("peer has no higher version")

// pullFrom asks one member for a higher version and installs it.
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
		return errNothingNew
	}
	return err
}

// SeeVersion notes the rules version of a member. A higher one than ours is
// pulled unless a push brings it first. It does not wait.
func (d *Distributor) SeeVersion(from descriptor.InstanceID, v descriptor.RulesVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.see(from, v)
}

func (d *Distributor) see(from descriptor.InstanceID, v descriptor.RulesVersion) {
	if v <= d.wanted.version || d.current != nil && v <= d.current.Version {
		return
	}
	at := d.wanted.at
	if at.IsZero() {
		// Part of the delay is random, so that members that missed the same
		// push don't ask together.
		half := d.cfg.PullDelay / 2
		at = d.cfg.Clock.Now().Add(half + time.Duration(d.cfg.Rand.Int64N(int64(half)+1)))
	}
	d.wanted = wanted{version: v, from: from, at: at}
}

// pullWanted gets a version that was seen at a peer: from that peer, from others
// of the own data centre, or from the store.
func (d *Distributor) pullWanted(ctx context.Context, w wanted) {
	defer func() {
		d.mu.Lock()
		d.pulling = false
		d.mu.Unlock()
	}()
	for _, m := range d.holders(w) {
		if d.version() >= w.version {
			return
		}
		if err := d.pullFrom(ctx, m.PeerAddress); err != nil {
			d.cfg.Scope.Counter("pulls_failed").Inc(1)
			d.cfg.Log.Debug("distributor: pull failed", "member", m.ID, "error", err)
		}
	}
	if d.version() < w.version {
		if err := d.refresh(ctx); err != nil {
			d.cfg.Log.Debug("distributor: no source for a version seen at a peer", "version", w.version, "error", err)
		}
	}
}

// holders returns the members to ask for a version, at most linkAttempts.
func (d *Distributor) holders(w wanted) []heartbeater.Member {
	var first, rest []heartbeater.Member
	for _, dc := range d.dataCentresOwnFirst() {
		for _, m := range d.shuffled(d.cfg.Members(dc)) {
			switch {
			case m.ID == d.cfg.Self:
			case m.ID == w.from:
				first = append(first, m)
			case m.Rules >= w.version:
				rest = append(rest, m)
			}
		}
	}
	all := append(first, rest...)
	return all[:min(linkAttempts, len(all))]
}

func (d *Distributor) dataCentresOwnFirst() []descriptor.DataCentreID {
	all := []descriptor.DataCentreID{d.cfg.DataCentre}
	for _, dc := range d.cfg.DataCentres {
		if dc != d.cfg.DataCentre {
			all = append(all, dc)
		}
	}
	return all
}

// refresh reads the head row, and gets the version that it names if it is higher
// than ours.
func (d *Distributor) refresh(ctx context.Context) error {
	h, err := d.readHead(ctx)
	if err != nil {
		return err
	}
	have := d.version()
	if h.Version < have {
		// A row that went back is a fault of the store; rules never revert.
		d.cfg.Scope.Counter("head_behind").Inc(1)
	}
	if h.Version <= have {
		return nil
	}
	s, err := d.fetch(ctx, h.VersionInfo)
	if err != nil {
		return fmt.Errorf("version %d: %w", h.Version, err)
	}
	_, err = d.install(s)
	return err
}
