package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Call sends a request to the peer at the address and waits for the reply. The
// deadline of ctx is propagated to the peer; a context without one gets
// DefaultTimeout. Unless req cannot be encoded, the error is a *RemoteError or
// wraps ErrPeerBusy, ErrPeerUnreachable, ErrPeerTimeout or ErrFrameTooLarge.
func Call[Req, Rep any](ctx context.Context, p *Pool, address string, m Method, req Req) (Rep, error) {
	return callTyped[Req, Rep](ctx, p, address, m, req, false)
}

// CallControl is like Call, for methods that are registered with HandleControl.
// Control calls are also sent to suspected peers. They have a separate limit and
// a separate connection, so that heartbeats don't compete with requests. Their
// frames are compressed.
func CallControl[Req, Rep any](ctx context.Context, p *Pool, address string, m Method, req Req) (Rep, error) {
	return callTyped[Req, Rep](ctx, p, address, m, req, true)
}

func callTyped[Req, Rep any](ctx context.Context, p *Pool, address string, m Method, req Req, control bool) (Rep, error) {
	var rep Rep
	params, err := json.Marshal(req)
	if err != nil {
		return rep, fmt.Errorf("encode %s: %w", m, err)
	}
	if len(params) > MaxFrameSize {
		return rep, fmt.Errorf("%w: %s has %d bytes of parameters", ErrFrameTooLarge, m, len(params))
	}
	result, err := p.call(ctx, address, &call{method: m, control: control, params: params})
	if err != nil {
		return rep, err
	}
	if err := json.Unmarshal(result, &rep); err != nil {
		// The peer has executed the call, but its reply cannot be used.
		return rep, fmt.Errorf("%w: decode reply to %s: %w", ErrPeerTimeout, m, err)
	}
	return rep, nil
}

// call enqueues c and waits for its reply.
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
	c.ctx, c.result = ctx, make(chan sendResult, 1)
	if err := p.admit(address, c); err != nil {
		return nil, err
	}
	c.queue.calls <- c
	select {
	case sent := <-c.result:
		return c.awaitReply(ctx, sent)
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		p.Scope.Counter("abandoned_unsent").Inc(1)
		return nil, fmt.Errorf("%w: %s: call ended before it was sent: %w", ErrPeerUnreachable, address, ctx.Err())
	}
	// The frame is being written, or the result of the write is about to be
	// reported. The reservation is released once the result is known.
	go func() {
		sent := <-c.result
		c.abandon(sent, ctx.Err())
	}()
	p.Scope.Counter("timeouts").Inc(1)
	return nil, fmt.Errorf("%w: %s: %w", ErrPeerTimeout, address, ctx.Err())
}

// abandon ends a call whose caller has stopped waiting. Only an exceeded
// deadline counts as a timeout of the peer: a cancelled call gives no
// information about the peer.
func (c *call) abandon(sent sendResult, cause error) {
	pe := c.queue.peer
	if sent.conn != nil {
		sent.conn.finishCall(true)
		if errors.Is(cause, context.DeadlineExceeded) {
			pe.health.recordTimeout(sent.sentAt, pe.pool.Clock.Now())
		}
	}
	c.release()
}

// awaitReply waits for the reply to a call after the attempt to send it.
func (c *call) awaitReply(ctx context.Context, sent sendResult) (json.RawMessage, error) {
	pe := c.queue.peer
	if sent.err != nil {
		c.release()
		return nil, sent.err
	}
	var result json.RawMessage
	err := sent.waiter.Wait(ctx, &result)
	if err != nil && ctx.Err() != nil && !isRPCError(err) {
		pe.pool.Scope.Counter("timeouts").Inc(1)
		c.abandon(sent, ctx.Err())
		return nil, fmt.Errorf("%w: %s: %w", ErrPeerTimeout, pe.address, ctx.Err())
	}
	sent.conn.finishCall(false)
	c.release()
	if err != nil {
		return nil, pe.replyError(err)
	}
	return result, nil
}

// isRPCError reports whether err is an error reply, as opposed to a failure of
// the connection or the context.
func isRPCError(err error) bool {
	var rpcErr *jsonrpc2.Error
	return errors.As(err, &rpcErr)
}

// replyError converts an error reply, or the failure of the connection before
// the reply arrived, to an error of this package.
func (pe *peer) replyError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		pe.pool.Scope.Counter("broken_connections").Inc(1)
		return fmt.Errorf("%w: %s: %w", ErrPeerTimeout, pe.address, err)
	}
	switch rpcErr.Code {
	case rpcBusy:
		return fmt.Errorf("%w: %s: %s", ErrPeerBusy, pe.address, rpcErr.Message)
	case rpcShuttingDown:
		return fmt.Errorf("%w: %s: shutting down", ErrPeerUnreachable, pe.address)
	case rpcDeadlineExceeded:
		return fmt.Errorf("%w: %s: %s", ErrPeerTimeout, pe.address, rpcErr.Message)
	}
	remote := &RemoteError{Code: CodeInternal, Message: rpcErr.Message}
	if rpcErr.Data != nil {
		var data remoteErrorData
		if json.Unmarshal(*rpcErr.Data, &data) == nil && data.Code != "" {
			remote.Code, remote.Data = data.Code, data.Data
		}
	}
	return remote
}
