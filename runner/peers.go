package runner

import (
	"context"
	"fmt"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/dispatcher"
	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/leaser"
	"github.com/masticlead/masticlead/messenger"
)

// The methods between the leasers and dispatchers of a data centre.
const (
	methodPromise    messenger.Method = "lease.promise"
	methodConsent    messenger.Method = "lease.consent"
	methodSliceTasks messenger.Method = "slice.tasks"
	methodOffer      messenger.Method = "place.offer"
	methodConfirm    messenger.Method = "place.confirm"
	methodReport     messenger.Method = "place.report"
	methodStop       messenger.Method = "place.stop"
)

// peers reaches the other instances by their ids.
type peers struct {
	pool    *messenger.Pool
	members *heartbeater.Heartbeater
}

// callPeer calls a method of the instance with the given id.
func callPeer[Req, Rep any](ctx context.Context, p *peers, to descriptor.InstanceID, m messenger.Method, req Req) (Rep, error) {
	member, ok := p.members.Member(to)
	if !ok {
		var rep Rep
		return rep, fmt.Errorf("instance %s: %w", to, messenger.ErrPeerUnreachable)
	}
	return messenger.Call[Req, Rep](ctx, p.pool, member.PeerAddress, m, req)
}

// Promise implements leaser.Peers.
func (p *peers) Promise(ctx context.Context, to descriptor.InstanceID, req leaser.PromiseRequest) (leaser.PromiseReply, error) {
	return callPeer[leaser.PromiseRequest, leaser.PromiseReply](ctx, p, to, methodPromise, req)
}

// Consent implements leaser.Peers.
func (p *peers) Consent(ctx context.Context, to descriptor.InstanceID, req leaser.ConsentRequest) (leaser.ConsentReply, error) {
	return callPeer[leaser.ConsentRequest, leaser.ConsentReply](ctx, p, to, methodConsent, req)
}

// SliceTasks implements dispatcher.Peers.
func (p *peers) SliceTasks(ctx context.Context, to descriptor.InstanceID, req dispatcher.SliceTasksRequest) (dispatcher.SliceTasksReply, error) {
	return callPeer[dispatcher.SliceTasksRequest, dispatcher.SliceTasksReply](ctx, p, to, methodSliceTasks, req)
}

// Offer implements dispatcher.Peers.
func (p *peers) Offer(ctx context.Context, to descriptor.InstanceID, req dispatcher.OfferRequest) (dispatcher.OfferReply, error) {
	return callPeer[dispatcher.OfferRequest, dispatcher.OfferReply](ctx, p, to, methodOffer, req)
}

// Confirm implements dispatcher.Peers.
func (p *peers) Confirm(ctx context.Context, to descriptor.InstanceID, req dispatcher.ConfirmRequest) (dispatcher.ConfirmReply, error) {
	return callPeer[dispatcher.ConfirmRequest, dispatcher.ConfirmReply](ctx, p, to, methodConfirm, req)
}

// Report implements dispatcher.Peers.
func (p *peers) Report(ctx context.Context, to descriptor.InstanceID, req dispatcher.ReportRequest) (dispatcher.ReportReply, error) {
	return callPeer[dispatcher.ReportRequest, dispatcher.ReportReply](ctx, p, to, methodReport, req)
}

// Stop implements dispatcher.Peers.
func (p *peers) Stop(ctx context.Context, to descriptor.InstanceID, req dispatcher.StopRequest) (dispatcher.StopReply, error) {
	return callPeer[dispatcher.StopRequest, dispatcher.StopReply](ctx, p, to, methodStop, req)
}

// serve registers a handler that needs no more than the request.
func serve[Req, Rep any](s *messenger.Server, m messenger.Method, h func(Req) Rep) {
	messenger.Handle(s, m, func(_ context.Context, _ descriptor.InstanceID, req Req) (Rep, error) { return h(req), nil })
}

// registerPeers adds the handlers of the leaser and the dispatcher.
func registerPeers(s *messenger.Server, l *leaser.Leaser, d *dispatcher.Dispatcher) {
	serve(s, methodPromise, l.HandlePromise)
	serve(s, methodConsent, l.HandleConsent)
	serve(s, methodSliceTasks, d.HandleSliceTasks)
	serve(s, methodOffer, d.HandleOffer)
	serve(s, methodConfirm, d.HandleConfirm)
	serve(s, methodReport, d.HandleReport)
	messenger.Handle(s, methodStop, func(ctx context.Context, _ descriptor.InstanceID, req dispatcher.StopRequest) (dispatcher.StopReply, error) {
		return d.HandleStop(ctx, req), nil
	})
}
