package runner

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/dispatcher"
	"github.com/masticlead/masticlead/distributor"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/leaser"
	"github.com/masticlead/masticlead/loader"
	"github.com/masticlead/masticlead/messenger"
	"github.com/masticlead/masticlead/server"
	"github.com/masticlead/masticlead/storer"
)

// ruleSet holds the rules in force; nil until there are any.
type ruleSet struct {
	current atomic.Pointer[descriptor.Rules]
}

// health says whether the instance can serve callers.
type health struct {
	stopping    atomic.Bool
	rules       *ruleSet
	dispatcher  *dispatcher.Dispatcher
	members     *heartbeater.Heartbeater
	dataCentres []descriptor.DataCentreID
	// joinUntil ends the time in which the instance waits for contact with the
	// other data centres before it is ready.
	joinUntil time.Time
}

// joinLimit is how long an instance that starts waits for contact with the other
// data centres. Until then it answers their callers with homeUnreachable, while
// its peers can serve them. A data centre that is cut off must not wait for ever.
const joinLimit = 3 * time.Second

func newHealth(s *loader.Settings, rules *ruleSet, d *dispatcher.Dispatcher, h *heartbeater.Heartbeater) *health {
	return &health{
		rules: rules, dispatcher: d, members: h, dataCentres: s.DataCentres, joinUntil: time.Now().Add(joinLimit),
	}
}

// Ready implements server.Health.
func (h *health) Ready() error {
	switch {
	case h.stopping.Load():
		return errors.New("instance is shutting down")
	case h.rules.current.Load() == nil:
		return errors.New("no rules are in force yet")
	}
	if dc, ok := h.noContact(); ok && time.Now().Before(h.joinUntil) {
		return fmt.Errorf("no contact with data centre %s yet", dc)
	}
	if recovered, owned := h.dispatcher.Recovered(); recovered < owned {
		return fmt.Errorf("%d of %d slices are recovering", owned-recovered, owned)
	}
	return nil
}

// noContact returns a data centre that can't be reached.
func (h *health) noContact() (descriptor.DataCentreID, bool) {
	for _, dc := range h.dataCentres {
		if !h.members.Reachable(dc) {
			return dc, true
		}
	}
	return "", false
}

// Live implements server.Health.
func (h *health) Live() error { return nil }

// leftOver names the requests that have no outcome.
func (h *health) leftOver() string {
	waiting, running := h.dispatcher.CountOpen()
	return fmt.Sprintf("%d requests waiting, %d running", waiting, running)
}

// operator answers the operators' calls.
type operator struct {
	settings    *loader.Settings
	distributor *distributor.Distributor
	members     *heartbeater.Heartbeater
	dispatcher  *dispatcher.Dispatcher
	leaser      *leaser.Leaser
	quarantine  *quarantine
	pool        *messenger.Pool
}

// Current implements server.Rules.
func (o *operator) Current() server.RulesInfo {
	version, body, since := o.distributor.Current()
	return server.RulesInfo{Version: version, Body: string(body), Applied: since}
}

// Check implements server.Rules.
func (o *operator) Check(body []byte) error {
	_, err := parseRules(o.settings.DataCentres)(0, body)
	return err
}

// Apply implements server.Rules.
func (o *operator) Apply(ctx context.Context, expected descriptor.RulesVersion, author string, body []byte) (descriptor.RulesVersion, error) {
	if err := o.Check(body); err != nil {
		return 0, err
	}
	v, err := o.distributor.Apply(ctx, expected, author, body)
	var conflict *distributor.ConflictError
	if errors.As(err, &conflict) {
		return 0, &server.ConflictError{
			Expected: expected,
			Current:  server.RulesInfo{Version: conflict.Current, Author: conflict.Author},
		}
	}
	return v, err
}

// History implements server.Rules.
func (o *operator) History(ctx context.Context, limit int) ([]server.RulesInfo, error) {
	versions, err := o.distributor.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	infos := make([]server.RulesInfo, 0, len(versions))
	for _, v := range versions {
		infos = append(infos, server.RulesInfo{Version: v.Version, Hash: v.Hash, Author: v.Author, Applied: v.Applied()})
	}
	return infos, nil
}

// Status implements server.Rules.
func (o *operator) Status(context.Context) ([]server.RulesStatus, error) {
	var all []server.RulesStatus
	for _, dc := range o.settings.DataCentres {
		reachable := dc == o.settings.Instance.DataCentre || o.members.Reachable(dc)
		for _, m := range o.members.Members(dc) {
			status := server.RulesStatus{
				Instance: m.ID, DataCentre: dc, Version: m.Rules, Since: m.RulesSince,
				Reachable: reachable && m.State != heartbeater.Suspect,
			}
			if m.ID == o.settings.Instance.Name {
				// Heartbeats lag behind what is in force here.
				status.Version, _, status.Since = o.distributor.Current()
			}
			all = append(all, status)
		}
	}
	return all, nil
}

// Instances implements server.Cell.
func (o *operator) Instances(context.Context) ([]server.InstanceInfo, error) {
	slices := map[descriptor.InstanceID]int{}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if id, _, ok := o.leaser.Owner(s); ok {
			slices[id]++
		}
	}
	var all []server.InstanceInfo
	for _, dc := range o.settings.DataCentres {
		for _, m := range o.members.Members(dc) {
			all = append(all, server.InstanceInfo{
				ID: m.ID, DataCentre: dc, Incarnation: m.Incarnation, State: m.State.String(), PeerAddress: m.PeerAddress,
				Version: m.Rules, Slices: slices[m.ID], Queued: m.Load.Queued, Running: m.Load.Running,
			})
		}
	}
	return all, nil
}

// Forget implements server.Cell. A member that still sends heartbeats is not
// removed: its session would end while it works.
func (o *operator) Forget(ctx context.Context, instance descriptor.InstanceID) error {
	dc, err := o.leaser.FindSession(ctx, instance, o.settings.DataCentres)
	if errors.Is(err, connector.ErrNotFound) {
		return &server.ForgetError{Instance: instance}
	}
	if err != nil {
		return err
	}
	if dc != o.settings.Instance.DataCentre {
		return &server.ForgetError{Instance: instance, DataCentre: dc}
	}
	for _, m := range o.members.Members(dc) {
		if m.ID == instance {
			return &server.ForgetError{Instance: instance, State: m.State.String()}
		}
	}
	return o.leaser.Forget(ctx, instance)
}

const methodTargets messenger.Method = "targets.list"

// targetsRequest asks an instance for the targets that it owns.
type targetsRequest struct{}

// targetsReply lists them.
type targetsReply struct {
	Targets []server.TargetInfo `json:"targets"`
}

// Targets implements server.Cell. It asks the live instances of this data
// centre, since each knows only its own targets.
func (o *operator) Targets(ctx context.Context) ([]server.TargetInfo, error) {
	all := o.ownTargets()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var failed error
	for _, m := range o.members.Members(o.settings.Instance.DataCentre) {
		if m.ID == o.settings.Instance.Name {
			continue
		}
		reply, err := messenger.Call[targetsRequest, targetsReply](ctx, o.pool, m.PeerAddress, methodTargets, targetsRequest{})
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("instance %s: %w", m.ID, err))
			continue
		}
		all = append(all, reply.Targets...)
	}
	if len(all) == 0 && failed != nil {
		return nil, failed
	}
	return all, nil
}

// ownTargets describes the targets that this instance owns.
func (o *operator) ownTargets() []server.TargetInfo {
	targets := o.dispatcher.Targets()
	infos := make([]server.TargetInfo, 0, len(targets))
	for _, t := range targets {
		state := "placeable"
		switch {
		case !t.Reached:
			state = "unreachable"
		case t.Leaving:
			state = "leaving"
		case o.quarantine.setAside(t.ID):
			state = "quarantined"
		}
		infos = append(infos, server.TargetInfo{
			ID: t.ID, DataCentre: t.DataCentre, Rack: t.Rack, Owner: o.settings.Instance.Name, State: state, Capacity: t.Capacity, Used: t.Used,
		})
	}
	return infos
}

func newOperator(s *loader.Settings, dist *distributor.Distributor, h *heartbeater.Heartbeater, d *dispatcher.Dispatcher, l *leaser.Leaser, q *quarantine, pool *messenger.Pool, ms *messenger.Server) *operator {
	o := &operator{s, dist, h, d, l, q, pool}
	messenger.Handle(ms, methodTargets, func(context.Context, descriptor.InstanceID, targetsRequest) (targetsReply, error) {
		return targetsReply{o.ownTargets()}, nil
	})
	return o
}

// joinClose closes in order and returns all errors.
func joinClose(closers ...func() error) error {
	var errs []error
	for _, c := range closers {
		errs = append(errs, c())
	}
	return errors.Join(errs...)
}

// followMembers divides the store's budget by the number of live instances, and
// has the leaser look at the rows when membership changes.
func followMembers(s *loader.Settings, h *heartbeater.Heartbeater, st *storer.Store, l *leaser.Leaser) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			st.SetInstances(liveInstances(s, h))
			select {
			case <-ctx.Done():
				return nil
			case <-h.Changes():
				l.Wake()
			}
		}
	}
}
