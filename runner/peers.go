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

// The RPC methods between the leasers and between the dispatchers of a data
// centre.
const (
	methodPromise    messenger.Method = "lease.promise"
	methodConsent    messenger.Method = "lease.consent"
	methodSliceTasks messenger.Method = "slice.tasks"
	methodOffer      messenger.Method = "place.offer"
	methodConfirm    messenger.Method = "place.confirm"
	methodReport     messenger.Method = "place.report"
	methodStop       messenger.Method = "place.stop"
)

// peerClient calls other instances by their IDs, at the addresses that the
// heartbeater knows.
type peerClient struct {
	pool    *messenger.Pool
	members *heartbeater.Heartbeater
}

// callPeer calls a method of the instance with the given ID.
func callPeer[Req, Rep any](ctx context.Context, p *peerClient, to descriptor.InstanceID, m messenger.Method, req Req) (Rep, error) {
	member, ok := p.members.Member(to)
	if !ok {
		var rep Rep
		return rep, fmt.Errorf("instance %s: %w", to, messenger.ErrPeerUnreachable)
	}
	return messenger.Call[Req, Rep](ctx, p.pool, member.PeerAddress, m, req)
}

// Promise implements leaser.Peers.
func (p *peerClient) Promise(ctx context.Context, to descriptor.InstanceID, req leaser.PromiseRequest) (leaser.PromiseReply, error) {
	return callPeer[leaser.PromiseRequest, leaser.PromiseReply](ctx, p, to, methodPromise, req)
}

// Consent implements leaser.Peers.
func (p *peerClient) Consent(ctx context.Context, to descriptor.InstanceID, req leaser.ConsentRequest) (leaser.ConsentReply, error) {
	return callPeer[leaser.ConsentRequest, leaser.ConsentReply](ctx, p, to, methodConsent, req)
}

// SliceTasks implements dispatcher.Peers.
func (p *peerClient) SliceTasks(ctx context.Context, to descriptor.InstanceID, req dispatcher.SliceTasksRequest) (dispatcher.SliceTasksReply, error) {
	return callPeer[dispatcher.SliceTasksRequest, dispatcher.SliceTasksReply](ctx, p, to, methodSliceTasks, req)
}

// Offer implements dispatcher.Peers.
func (p *peerClient) Offer(ctx context.Context, to descriptor.InstanceID, req dispatcher.OfferRequest) (dispatcher.OfferReply, error) {
	return callPeer[dispatcher.OfferRequest, dispatcher.OfferReply](ctx, p, to, methodOffer, req)
}

// Confirm implements dispatcher.Peers.
func (p *peerClient) Confirm(ctx context.Context, to descriptor.InstanceID, req dispatcher.ConfirmRequest) (dispatcher.ConfirmReply, error) {
	return callPeer[dispatcher.ConfirmRequest, dispatcher.ConfirmReply](ctx, p, to, methodConfirm, req)
}

// Report implements dispatcher.Peers.
func (p *peerClient) Report(ctx context.Context, to descriptor.InstanceID, req dispatcher.ReportRequest) (dispatcher.ReportReply, error) {
	return callPeer[dispatcher.ReportRequest, dispatcher.ReportReply](ctx, p, to, methodReport, req)
}

// Stop implements dispatcher.Peers.
func (p *peerClient) Stop(ctx context.Context, to descriptor.InstanceID, req dispatcher.StopRequest) (dispatcher.StopReply, error) {
	return callPeer[dispatcher.StopRequest, dispatcher.StopReply](ctx, p, to, methodStop, req)
}

// handle registers a handler that needs only the request, neither its context nor
// its sender.
func handle[Req, Rep any](s *messenger.Server, m messenger.Method, h func(Req) Rep) {
	messenger.Handle(s, m, func(_ context.Context, _ descriptor.InstanceID, req Req) (Rep, error) { return h(req), nil })
}

// registerPeerHandlers registers the handlers of the leaser and of the dispatcher.
func registerPeerHandlers(s *messenger.Server, l *leaser.Leaser, d *dispatcher.Dispatcher) {
	handle(s, methodPromise, l.HandlePromise)
	handle(s, methodConsent, l.HandleConsent)
	handle(s, methodSliceTasks, d.HandleSliceTasks)
	handle(s, methodOffer, d.HandleOffer)
	handle(s, methodConfirm, d.HandleConfirm)
	handle(s, methodReport, d.HandleReport)
	messenger.Handle(s, methodStop, func(ctx context.Context, _ descriptor.InstanceID, req dispatcher.StopRequest) (dispatcher.StopReply, error) {
		return d.HandleStop(ctx, req), nil
	})
}
