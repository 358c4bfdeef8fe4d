// Package messenger carries typed calls between instances: JSON-RPC 2.0 over
// TCP with bounded frames, bounded concurrency and a deadline in every call.
//
// A Server answers calls, a Pool makes them. Every failure of a call says
// whether the peer may have carried it out, since the callers of this package
// decide on that whether work can run elsewhere.
package messenger

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Method names a call, such as request.submit.
type Method string

// Limits that are used where a field is left at zero.
const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// MaxFrame is the largest frame in bytes, without its header.
	MaxFrame = 1 << 20
	// DefaultWriteTimeout bounds the write of one frame. A peer that reads
	// nothing for this long loses its connection.
	DefaultWriteTimeout = 2 * time.Second
	// DefaultFrameTimeout bounds the time from a frame's header to its end.
	DefaultFrameTimeout = 5 * time.Second
)

// Errors of a call.
var (
	// ErrPeerBusy means that a bound was reached here or at the peer. The call
	// was surely not carried out.
	ErrPeerBusy = errors.New("peer busy")
	// ErrPeerUnreachable means that the call was surely not carried out.
	ErrPeerUnreachable = errors.New("peer unreachable")
	// ErrPeerTimeout means that no answer came and that the call may have been
	// carried out.
	ErrPeerTimeout = errors.New("no answer from peer")
	// ErrFrameTooLarge means that a message is longer than MaxFrame. The call
	// was surely not carried out.
	ErrFrameTooLarge = errors.New("frame too large")
)

// Codes of remote errors that the messenger itself produces.
const (
	// CodeInternal stands for a handler's error that is no *RemoteError.
	CodeInternal = "internal"
	// CodeUnknownMethod means that the peer has no handler for the method.
	CodeUnknownMethod = "unknownMethod"
	// CodeInvalidParams means that the peer could not decode the request.
	CodeInvalidParams = "invalidParams"
	// CodeReplyTooLarge means that the call was carried out, but that its reply
	// is longer than MaxFrame.
	CodeReplyTooLarge = "replyTooLarge"
)

// RemoteError is a typed error that a handler returns to its caller.
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

// Codes of the JSON-RPC error object. They are in the range that JSON-RPC 2.0
// leaves to implementations.
const (
	wireRemote   = -32000 // a *RemoteError; data holds its code and data
	wireBusy     = -32001 // a bound was reached before the handler ran
	wireClosing  = -32002 // the server shuts down; the handler did not run
	wireDeadline = -32003 // the handler gave up at its deadline
)

// remoteData is the data of a wireRemote error.
type remoteData struct {
	Code string          `json:"code"`
	Data json.RawMessage `json:"data,omitempty"`
}

// callMeta travels with every request. Names are short because it is part of
// each heartbeat.
type callMeta struct {
	From        string `json:"f"`
	RemainingMs int64  `json:"ms"`
}
