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

// activeRules holds the rules in force, or nil before the first are installed.
type activeRules struct {
	current atomic.Pointer[descriptor.Rules]
}

// health implements the readiness and liveness checks.
type health struct {
	shuttingDown atomic.Bool
	rules        *activeRules
	dispatcher   *dispatcher.Dispatcher
	members      *heartbeater.Heartbeater
	dataCentres  []descriptor.DataCentreID
	// joinDeadline is the time from which the instance can be ready even if
	// another data centre is unreachable.
	joinDeadline time.Time
}

// joinTimeout limits how long a starting instance stays unready because it has not
// reached another data centre. Until it has, it would answer the callers of that
// data centre with homeUnreachable, while its peers can serve them. The wait is
// bounded so that instances of an isolated data centre become ready too.
const joinTimeout = 3 * time.Second

func newHealth(s *loader.Settings, rules *activeRules, d *dispatcher.Dispatcher, h *heartbeater.Heartbeater) *health {
	return &health{
		rules: rules, dispatcher: d, members: h, dataCentres: s.DataCentres, joinDeadline: time.Now().Add(joinTimeout),
	}
}

// Ready implements server.Health.
func (h *health) Ready() error {
	switch {
	case h.shuttingDown.Load():
		return errors.New("instance is shutting down")
	case h.rules.current.Load() == nil:
		return errors.New("no rules are in force yet")
	}
	if dc, ok := h.unreachableDataCentre(); ok && time.Now().Before(h.joinDeadline) {
		return fmt.Errorf("no contact with data centre %s yet", dc)
	}
	if recovered, owned := h.dispatcher.Recovered(); recovered < owned {
		return fmt.Errorf("%d of %d slices are recovering", owned-recovered, owned)
	}
	return nil
}

// unreachableDataCentre returns the first data centre that is unreachable, if any.
func (h *health) unreachableDataCentre() (descriptor.DataCentreID, bool) {
	for _, dc := range h.dataCentres {
		if !h.members.Reachable(dc) {
			return dc, true
		}
	}
	return "", false
}

// Live implements server.Health.
func (h *health) Live() error { return nil }

// describeOpenRequests states how many requests have no outcome.
func (h *health) describeOpenRequests() string {
	waiting, running := h.dispatcher.CountOpen()
	return fmt.Sprintf("%d requests waiting, %d running", waiting, running)
}

// operatorAPI implements the operators' part of the HTTP API.
type operatorAPI struct {
	settings     *loader.Settings
	distributor  *distributor.Distributor
	members      *heartbeater.Heartbeater
	dispatcher   *dispatcher.Dispatcher
	leaser       *leaser.Leaser
	targetPolicy *quarantinePolicy
	pool         *messenger.Pool
}

// Current implements server.Rules.
func (o *operatorAPI) Current() server.RulesInfo {
	version, body, since := o.distributor.Current()
	return server.RulesInfo{Version: version, Body: string(body), Applied: since}
}

// Check implements server.Rules.
func (o *operatorAPI) Check(body []byte) error {
	_, err := newRulesParser(o.settings.DataCentres)(0, body)
	return err
}

// Apply implements server.Rules.
func (o *operatorAPI) Apply(ctx context.Context, expected descriptor.RulesVersion, author string, body []byte) (descriptor.RulesVersion, error) {
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
func (o *operatorAPI) History(ctx context.Context, limit int) ([]server.RulesInfo, error) {
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
func (o *operatorAPI) Status(context.Context) ([]server.RulesStatus, error) {
	var statuses []server.RulesStatus
	for _, dc := range o.settings.DataCentres {
		reachable := dc == o.settings.Instance.DataCentre || o.members.Reachable(dc)
		for _, m := range o.members.Members(dc) {
			status := server.RulesStatus{
				Instance: m.ID, DataCentre: dc, Version: m.Rules, Since: m.RulesSince,
				Reachable: reachable && m.State != heartbeater.Suspect,
			}
			if m.ID == o.settings.Instance.Name {
				// The member list is updated with each heartbeat only, so it can lag
				// behind the rules that are installed here.
				status.Version, _, status.Since = o.distributor.Current()
			}
			statuses = append(statuses, status)
		}
	}
	return statuses, nil
}

// Instances implements server.Cell.
func (o *operatorAPI) Instances(context.Context) ([]server.InstanceInfo, error) {
	sliceCounts := map[descriptor.InstanceID]int{}
	for s := range descriptor.SliceID(descriptor.SliceCount) {
		if id, _, ok := o.leaser.Owner(s); ok {
			sliceCounts[id]++
		}
	}
	var infos []server.InstanceInfo
	for _, dc := range o.settings.DataCentres {
		for _, m := range o.members.Members(dc) {
			infos = append(infos, server.InstanceInfo{
				ID: m.ID, DataCentre: dc, Incarnation: m.Incarnation, State: m.State.String(), PeerAddress: m.PeerAddress,
				Version: m.Rules, Slices: sliceCounts[m.ID], Queued: m.Load.Queued, Running: m.Load.Running,
			})
		}
	}
	return infos, nil
}

// Forget implements server.Cell. An instance that is still a member is refused,
// since its session would end while it is running.
func (o *operatorAPI) Forget(ctx context.Context, instance descriptor.InstanceID) error {
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

const methodListTargets messenger.Method = "targets.list"

// listTargetsRequest requests the targets that the called instance owns.
type listTargetsRequest struct{}

// listTargetsReply contains the targets that the called instance owns.
type listTargetsReply struct {
	Targets []server.TargetInfo `json:"targets"`
}

// Targets implements server.Cell. It asks all members of this data centre, since
// each knows only its own targets.
func (o *operatorAPI) Targets(ctx context.Context) ([]server.TargetInfo, error) {
	infos := o.ownTargets()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var callErrs error
	for _, m := range o.members.Members(o.settings.Instance.DataCentre) {
		if m.ID == o.settings.Instance.Name {
			continue
		}
		reply, err := messenger.Call[listTargetsRequest, listTargetsReply](ctx, o.pool, m.PeerAddress, methodListTargets, listTargetsRequest{})
		if err != nil {
			callErrs = errors.Join(callErrs, fmt.Errorf("instance %s: %w", m.ID, err))
			continue
		}
		infos = append(infos, reply.Targets...)
	}
	if len(infos) == 0 && callErrs != nil {
		return nil, callErrs
	}
	return infos, nil
}

// ownTargets returns the targets that this instance owns.
func (o *operatorAPI) ownTargets() []server.TargetInfo {
	targets := o.dispatcher.Targets()
	infos := make([]server.TargetInfo, 0, len(targets))
	for _, t := range targets {
		state := "placeable"
		switch {
		case !t.Reached:
			state = "unreachable"
		case t.Leaving:
			state = "leaving"
		case o.targetPolicy.isQuarantined(t.ID):
			state = "quarantined"
		}
		infos = append(infos, server.TargetInfo{
			ID: t.ID, DataCentre: t.DataCentre, Rack: t.Rack, Owner: o.settings.Instance.Name, State: state, Capacity: t.Capacity, Used: t.Used,
		})
	}
	return infos
}

func newOperatorAPI(s *loader.Settings, dist *distributor.Distributor, h *heartbeater.Heartbeater, d *dispatcher.Dispatcher, l *leaser.Leaser, q *quarantinePolicy, pool *messenger.Pool, ms *messenger.Server) *operatorAPI {
	o := &operatorAPI{s, dist, h, d, l, q, pool}
	messenger.Handle(ms, methodListTargets, func(context.Context, descriptor.InstanceID, listTargetsRequest) (listTargetsReply, error) {
		return listTargetsReply{o.ownTargets()}, nil
	})
	return o
}

// closeAll calls all functions in order and joins their errors.
func closeAll(closers ...func() error) error {
	var errs []error
	for _, c := range closers {
		errs = append(errs, c())
	}
	return errors.Join(errs...)
}

// watchMembership returns a function that divides the store's read and write
// budgets by the number of live instances and, when the membership changes, has
// the leaser read its table rows without waiting for the next regular read.
func watchMembership(s *loader.Settings, h *heartbeater.Heartbeater, st *storer.Store, l *leaser.Leaser) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			st.SetInstanceCount(countLiveInstances(s, h))
			select {
			case <-ctx.Done():
				return nil
			case <-h.Changes():
				l.Wake()
			}
		}
	}
}
