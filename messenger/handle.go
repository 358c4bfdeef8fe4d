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

// Handle registers the handler of a method. It is called before Run. The
// handler's context ends at the caller's deadline, when the connection breaks
// and when the server is closed. An error that is no *RemoteError reaches the
// caller with CodeInternal.
func Handle[Req, Rep any](s *Server, m Method, h func(ctx context.Context, from descriptor.InstanceID, req Req) (Rep, error)) {
	register(s, m, false, h)
}

// HandleControl registers a handler as Handle does. Its calls have a bound of
// their own, so that heartbeats are answered while requests fill the other
// bounds. The handler must not wait.
func HandleControl[Req, Rep any](s *Server, m Method, h func(ctx context.Context, from descriptor.InstanceID, req Req) (Rep, error)) {
	register(s, m, true, h)
}

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
	server  *Server
	counted *countedConn
	rpc     *jsonrpc2.Conn
	normal  chan struct{} // one element for each call in progress
	control chan struct{}
	stale   atomic.Bool // takes no more calls
}

// Handle implements jsonrpc2.Handler. It runs on the connection's reader, so it
// only checks the bounds and starts the call.
func (c *serverConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s := c.server
	if s.watch.check(); c.stale.Load() {
		return
	}
	var meta callMeta
	if req.Meta != nil {
		if err := json.Unmarshal(*req.Meta, &meta); err != nil {
			rpc.Close() // not one of our peers
			return
		}
	}
	from := descriptor.InstanceID(meta.From)
	if s.ClassOf != nil {
		c.counted.setClass(s.ClassOf(from))
	} else {
		c.counted.setClass(SameDataCentre)
	}
	s.mu.Lock()
	h, known := s.handlers[Method(req.Method)]
	s.mu.Unlock()
	if !known {
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

// admit takes the call's share of all bounds, or says which one is reached.
func (c *serverConn) admit(h handler, req *jsonrpc2.Request) (release func(), refusal *jsonrpc2.Error) {
	s := c.server
	lane := c.normal
	if h.control {
		lane = c.control
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil, &jsonrpc2.Error{Code: wireClosing, Message: "shuttingDown"}
	}
	size := int64(0)
	if req.Params != nil {
		size = int64(len(*req.Params))
	}
	if !h.control && s.active.Load() >= int64(s.MaxCalls) {
		return nil, &jsonrpc2.Error{Code: wireBusy, Message: "tooManyCalls"}
	}
	if !h.control && s.bytes.Load()+size > s.MaxBytes {
		return nil, &jsonrpc2.Error{Code: wireBusy, Message: "tooManyBytes"}
	}
	select {
	case lane <- struct{}{}:
	default:
		return nil, &jsonrpc2.Error{Code: wireBusy, Message: "tooManyCallsOnConnection"}
	}
	s.calls.Add(1)
	if !h.control {
		s.active.Add(1)
		s.bytes.Add(size)
	}
	return func() {
		<-lane
		if !h.control {
			s.active.Add(-1)
			s.bytes.Add(-size)
		}
		s.calls.Done()
	}, nil
}

// runHandler calls the handler. A panic ends the call, not the process, since
// one malformed request must not take down the work of all others.
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

// reply sends the answer to a call. If it fails the connection is closed, which
// tells the caller that there will be no answer.
func (c *serverConn) reply(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, rep any, err error) {
	if req.Notif {
		return
	}
	res := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = res.SetResult(rep)
	}
	if err != nil {
		res.Result, res.Error = nil, wireError(err)
	}
	err = rpc.SendResponse(ctx, res)
	if errors.Is(err, ErrFrameTooLarge) {
		c.server.Scope.Counter("replies_too_large").Inc(1)
		res.Result, res.Error = nil, wireError(&RemoteError{Code: CodeReplyTooLarge, Message: err.Error()})
		err = rpc.SendResponse(ctx, res)
	}
	if err != nil {
		rpc.Close()
	}
}

// wireError returns the JSON-RPC form of a handler's error.
func wireError(err error) *jsonrpc2.Error {
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		return wire
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &jsonrpc2.Error{Code: wireDeadline, Message: err.Error()}
	}
	var remote *RemoteError
	if !errors.As(err, &remote) {
		remote = &RemoteError{Code: CodeInternal, Message: err.Error()}
	}
	e := &jsonrpc2.Error{Code: wireRemote, Message: remote.Message}
	e.SetError(remoteData{Code: remote.Code, Data: remote.Data})
	return e
}
