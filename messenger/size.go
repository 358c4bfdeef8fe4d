package messenger

import (
	"encoding/json"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/masticlead/masticlead/descriptor"
)

// ExchangeSize returns the sizes in bytes of the frames, including headers, of a
// control call and its reply. It is used in measurements.
func ExchangeSize(from descriptor.InstanceID, m Method, req, rep any) (request, reply int, err error) {
	// Request ID after some days at ten calls per second.
	const requestID = 5_000_000
	params, err := json.Marshal(req)
	if err != nil {
		return 0, 0, fmt.Errorf("encode %s: %w", m, err)
	}
	r := &jsonrpc2.Request{Method: string(m), ID: jsonrpc2.ID{Num: requestID}, Params: (*json.RawMessage)(&params)}
	if err := r.SetMeta(requestMeta{From: string(from), RemainingMs: 1000}); err != nil {
		return 0, 0, err
	}
	frame, err := appendFrame(nil, r, MaxFrameSize, true)
	if err != nil {
		return 0, 0, err
	}
	request = len(frame)
	res := &jsonrpc2.Response{ID: r.ID}
	if err := res.SetResult(rep); err != nil {
		return 0, 0, err
	}
	if frame, err = appendFrame(nil, res, MaxFrameSize, true); err != nil {
		return 0, 0, err
	}
	return request, len(frame), nil
}
