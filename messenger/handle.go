package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/masticlead/masticlead/descriptor"
)

// Handle registers the handler of a method. It must be called before Run. The
// handler's context is cancelled at the caller's deadline, when the connection is
// closed and when Close has waited for DrainTimeout. An error that is not a
// *RemoteError is sent to the caller with CodeInternal.
func Handle[Req, Rep any](s *Server, m Method, h func(ctx context.Context, from descriptor.InstanceID, req Req) (Rep, error)) {
	register(s, m, false, h)
}

// HandleControl is like Handle, for control calls. These have a separate limit, so
// that heartbeats are answered while requests exhaust the other limits. The
// handler must not block.
func HandleControl[Req, Rep any](s *Server, m Method, h func(ctx context.Context, from descriptor.InstanceID, req Req) (Rep, error)) {
	register(s, m, true, h)
}

// register adds a handler that decodes the parameters and calls h.
func register[Req, Rep any](s *Server, m Method, control bool, h func(ctx context.Context, from descriptor.InstanceID, req Req) (Rep, error)) {
	run := func(ctx context.Context, from descriptor.InstanceID, params []byte) (any, error) {
		var req Req
		if len(params) > 0 {
			if err := json.Unmarshal(params, &req); err != nil {
				return nil, &RemoteError{Code: CodeInvalidParams, Message: err.Error()}
			}
		}
		return h(ctx, from, req)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers == nil {
		s.handlers = map[Method]handler{}
	}
	s.handlers[m] = handler{control: control, run: run}
}

// serverConn is an accepted connection.
type serverConn struct {
	server       *Server
	conn         *countingConn
	rpc          *jsonrpc2.Conn
	normalSlots  chan struct{} // semaphore: one element for each call in progress
	controlSlots chan struct{} // the same for control calls
	closed       atomic.Bool   // set by closeConns; calls read afterwards are dropped
}

// Handle implements jsonrpc2.Handler. It runs on the goroutine that reads the
// connection, so it only checks the limits and starts the handler.
func (c *serverConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s := c.server
	if s.pauseDetector.check(); c.closed.Load() {
		return
	}
	var meta requestMeta
	if req.Meta != nil {
		if err := json.Unmarshal(*req.Meta, &meta); err != nil {
			rpc.Close() // malformed meta: the sender is not an instance
			return
		}
	}
	from := descriptor.InstanceID(meta.From)
	if s.ClassOf != nil {
		c.conn.setClass(s.ClassOf(from))
	} else {
		c.conn.setClass(SameDataCentre)
	}
	s.mu.Lock()
	h, ok := s.handlers[Method(req.Method)]
	s.mu.Unlock()
	if !ok {
		c.reply(ctx, rpc, req, nil, &RemoteError{Code: CodeUnknownMethod, Message: req.Method})
		return
	}
	release, refusal := c.admit(h, req)
	if refusal != nil {
		s.Scope.Tagged(map[string]string{"reason": refusal.Message}).Counter("calls_refused").Inc(1)
		c.reply(ctx, rpc, req, nil, refusal)
		return
	}
	timeout := time.Duration(meta.RemainingMs) * time.Millisecond
	timeout = min(orDefault(timeout, DefaultTimeout), s.MaxTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	go func() {
		defer release()
		defer cancel()
		rep, err := runHandler(ctx, s, h, from, req)
		c.reply(ctx, rpc, req, rep, err)
	}()
}

// admit reserves the call's share of all limits and returns the function that
// releases it. If a limit is reached or the server is closing, it returns an error
// reply with the reason instead.
func (c *serverConn) admit(h handler, req *jsonrpc2.Request) (release func(), refusal *jsonrpc2.Error) {
	s := c.server
	slots := c.normalSlots
	if h.control {
		slots = c.controlSlots
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil, &jsonrpc2.Error{Code: rpcShuttingDown, Message: "shuttingDown"}
	}
	size := int64(0)
	if req.Params != nil {
		size = int64(len(*req.Params))
	}
	if !h.control && s.activeCalls.Load() >= int64(s.MaxCalls) {
		return nil, &jsonrpc2.Error{Code: rpcBusy, Message: "tooManyCalls"}
	}
	if !h.control && s.activeBytes.Load()+size > s.MaxBytes {
		return nil, &jsonrpc2.Error{Code: rpcBusy, Message: "tooManyBytes"}
	}
	select {
	case slots <- struct{}{}:
	default:
		return nil, &jsonrpc2.Error{Code: rpcBusy, Message: "tooManyCallsOnConnection"}
	}
	s.callsWG.Add(1)
	if !h.control {
		s.activeCalls.Add(1)
		s.activeBytes.Add(size)
	}
	return func() {
		<-slots
		if !h.control {
			s.activeCalls.Add(-1)
			s.activeBytes.Add(-size)
		}
		s.callsWG.Done()
	}, nil
}

// runHandler calls the handler. A panic fails the call, not the process, since one
// malformed request must not abort all other calls.
func runHandler(ctx context.Context, s *Server, h handler, from descriptor.InstanceID, req *jsonrpc2.Request) (rep any, err error) {
	defer func() {
		if r := recover(); r != nil {
			s.Scope.Counter("handler_panics").Inc(1)
			s.Log.Error("messenger: handler panicked", "method", req.Method, "from", from, "panic", r, "stack", string(debug.Stack()))
			err = &RemoteError{Code: CodeInternal, Message: fmt.Sprintf("handler panicked: %v", r)}
		}
	}()
	var params []byte
	if req.Params != nil {
		params = *req.Params
	}
	return h.run(ctx, from, params)
}

// reply sends the reply to a call. If that fails, it closes the connection, so
// that the caller does not wait for the reply until its deadline.
func (c *serverConn) reply(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, rep any, err error) {
	if req.Notif {
		return
	}
	res := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = res.SetResult(rep)
	}
	if err != nil {
		res.Result, res.Error = nil, toRPCError(err)
	}
	err = rpc.SendResponse(ctx, res)
	if errors.Is(err, ErrFrameTooLarge) {
		c.server.Scope.Counter("replies_too_large").Inc(1)
		res.Result, res.Error = nil, toRPCError(&RemoteError{Code: CodeReplyTooLarge, Message: err.Error()})
		err = rpc.SendResponse(ctx, res)
	}
	if err != nil {
		rpc.Close()
	}
}

// toRPCError converts a handler's error to a JSON-RPC error object.
func toRPCError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &jsonrpc2.Error{Code: rpcDeadlineExceeded, Message: err.Error()}
	}
	var remote *RemoteError
	if !errors.As(err, &remote) {
		remote = &RemoteError{Code: CodeInternal, Message: err.Error()}
	}
	e := &jsonrpc2.Error{Code: rpcRemoteError, Message: remote.Message}
	e.SetError(remoteErrorData{Code: remote.Code, Data: remote.Data})
	return e
}
