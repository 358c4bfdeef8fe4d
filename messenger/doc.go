// Package messenger implements typed remote procedure calls between instances:
// JSON-RPC 2.0 over TCP with bounded frame sizes, bounded concurrency and a
// deadline for every call.
//
// A Server executes calls and a Pool makes them. The error of a failed call tells
// whether the peer may have executed it, since the users of this package decide
// from this whether the work can run elsewhere.
package messenger

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Method is the name of a remote method, such as request.submit.
type Method string

// Frame size limit and default timeouts.
const (
	// DefaultTimeout is the timeout of a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// MaxFrameSize is the maximum size of a frame in bytes, without its header.
	MaxFrameSize = 1 << 20
	// DefaultWriteTimeout is the time limit for writing one frame. The connection
	// to a peer that does not read for this long is closed.
	DefaultWriteTimeout = 2 * time.Second
	// DefaultFrameTimeout is the time limit for reading the body of a frame after
	// its header.
	DefaultFrameTimeout = 5 * time.Second
)

// Errors of a call.
var (
	// ErrPeerBusy means that a limit was reached locally or at the peer. The call
	// was definitely not executed.
	ErrPeerBusy = errors.New("peer busy")
	// ErrPeerUnreachable means that the call could not be sent or that the peer
	// was shutting down. The call was definitely not executed.
	ErrPeerUnreachable = errors.New("peer unreachable")
	// ErrPeerTimeout means that no usable reply arrived. The call may have been
	// executed.
	ErrPeerTimeout = errors.New("no reply from peer")
	// ErrFrameTooLarge means that a message is longer than MaxFrameSize. The call
	// was definitely not executed.
	ErrFrameTooLarge = errors.New("frame too large")
)

// Values of RemoteError.Code that this package produces itself.
const (
	// CodeInternal is the code of a handler error that is not a *RemoteError.
	CodeInternal = "internal"
	// CodeUnknownMethod means that the peer has no handler for the method.
	CodeUnknownMethod = "unknownMethod"
	// CodeInvalidParams means that the peer could not decode the parameters.
	CodeInvalidParams = "invalidParams"
	// CodeReplyTooLarge means that the call was executed but its reply is longer
	// than MaxFrameSize.
	CodeReplyTooLarge = "replyTooLarge"
)

// RemoteError is an error that a handler returns to the calling instance.
type RemoteError struct {
	Code    string
	Message string
	Data    json.RawMessage
}

// Error implements error.
func (e *RemoteError) Error() string {
	if e.Message == "" {
		return e.Code
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Codes of JSON-RPC error objects, from the range that JSON-RPC 2.0 reserves for
// implementation-defined server errors.
const (
	rpcRemoteError      = -32000 // a *RemoteError; the error object's data is a remoteErrorData
	rpcBusy             = -32001 // a limit was reached before the handler ran
	rpcShuttingDown     = -32002 // the server is shutting down; the handler did not run
	rpcDeadlineExceeded = -32003 // the handler stopped at its deadline or on cancellation
)

// remoteErrorData is the data of a JSON-RPC error with code rpcRemoteError.
type remoteErrorData struct {
	Code string          `json:"code"`
	Data json.RawMessage `json:"data,omitempty"`
}

// requestMeta is sent with every request. Its JSON names are short because it is
// part of each heartbeat.
type requestMeta struct {
	From        string `json:"f"`  // instance ID of the sender
	RemainingMs int64  `json:"ms"` // time until the deadline; 0 means absent
}
