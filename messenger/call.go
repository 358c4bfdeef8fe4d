package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Call makes a call and waits for its reply. The deadline of the context is
// carried to the peer; without one it is DefaultTimeout. Errors are
// ErrPeerBusy, ErrPeerUnreachable, ErrPeerTimeout, ErrFrameTooLarge or a
// *RemoteError.
func Call[Req, Rep any](ctx context.Context, p *Pool, address string, m Method, req Req) (Rep, error) {
	return typed[Req, Rep](ctx, p, address, m, req, false)
}

// CallControl makes a call as Call does, to a method that was registered with
// HandleControl. It is also sent to a suspected peer, and has a bound and a
// connection of its own, so that heartbeats don't compete with requests. Its
// frames are compressed.
func CallControl[Req, Rep any](ctx context.Context, p *Pool, address string, m Method, req Req) (Rep, error) {
	return typed[Req, Rep](ctx, p, address, m, req, true)
}

func typed[Req, Rep any](ctx context.Context, p *Pool, address string, m Method, req Req, control bool) (Rep, error) {
	var rep Rep
	params, err := json.Marshal(req)
	if err != nil {
		return rep, fmt.Errorf("encode %s: %w", m, err)
	}
	if len(params) > MaxFrame {
		return rep, fmt.Errorf("%w: %s has %d bytes of parameters", ErrFrameTooLarge, m, len(params))
	}
	result, err := p.call(ctx, address, &call{method: m, control: control, params: params})
	if err != nil {
		return rep, err
	}
	if err := json.Unmarshal(result, &rep); err != nil {
		// The peer has carried out the call, but its answer is of no use.
		return rep, fmt.Errorf("%w: decode reply of %s: %w", ErrPeerTimeout, m, err)
	}
	return rep, nil
}

// call queues c and waits for its answer.
func (p *Pool) call(ctx context.Context, address string, c *call) (json.RawMessage, error) {
	p.init()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrPeerUnreachable, address, ctx.Err())
	}
	c.ctx, c.sent = ctx, make(chan sending, 1)
	if err := p.enter(address, c); err != nil {
		return nil, err
	}
	c.lane.queue <- c
	select {
	case s := <-c.sent:
		return c.await(ctx, s)
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		p.Scope.Counter("abandoned_unsent").Inc(1)
		return nil, fmt.Errorf("%w: %s: not sent in time: %w", ErrPeerUnreachable, address, ctx.Err())
	}
	// The frame is being written, or its result is about to be reported. The
	// place is given back once that is known.
	go func() {
		s := <-c.sent
		c.giveUp(s, ctx.Err())
	}()
	p.Scope.Counter("timeouts").Inc(1)
	return nil, fmt.Errorf("%w: %s: %w", ErrPeerTimeout, address, ctx.Err())
}

// giveUp ends a call whose caller no longer waits. A call that its caller has
// cancelled says nothing about the peer.
func (c *call) giveUp(s sending, cause error) {
	pe := c.lane.peer
	if s.link != nil {
		s.link.end(true)
		if errors.Is(cause, context.DeadlineExceeded) {
			pe.health.timedOut(s.at, pe.pool.Clock.Now())
		}
	}
	c.leave()
}

// await waits for the answer to a call that was sent.
func (c *call) await(ctx context.Context, s sending) (json.RawMessage, error) {
	pe := c.lane.peer
	if s.err != nil {
		c.leave()
		return nil, s.err
	}
	var result json.RawMessage
	err := s.waiter.Wait(ctx, &result)
	if err != nil && ctx.Err() != nil && !isWireError(err) {
		pe.pool.Scope.Counter("timeouts").Inc(1)
		c.giveUp(s, ctx.Err())
		return nil, fmt.Errorf("%w: %s: %w", ErrPeerTimeout, pe.address, ctx.Err())
	}
	s.link.end(false)
	c.leave()
	if err != nil {
		return nil, pe.answerError(err)
	}
	return result, nil
}

func isWireError(err error) bool {
	var wire *jsonrpc2.Error
	return errors.As(err, &wire)
}

// answerError translates an error answer, or a connection that broke before the
// answer came.
func (pe *peer) answerError(err error) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		pe.pool.Scope.Counter("broken_connections").Inc(1)
		return fmt.Errorf("%w: %s: %w", ErrPeerTimeout, pe.address, err)
	}
	switch wire.Code {
	case wireBusy:
		return fmt.Errorf("%w: %s: %s", ErrPeerBusy, pe.address, wire.Message)
	case wireClosing:
		return fmt.Errorf("%w: %s: shutting down", ErrPeerUnreachable, pe.address)
	case wireDeadline:
		return fmt.Errorf("%w: %s: %s", ErrPeerTimeout, pe.address, wire.Message)
	}
	remote := &RemoteError{Code: CodeInternal, Message: wire.Message}
	if wire.Data != nil {
		var data remoteData
		if json.Unmarshal(*wire.Data, &data) == nil && data.Code != "" {
			remote.Code, remote.Data = data.Code, data.Data
		}
	}
	return remote
}
