package messenger

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
)

// frame returns the frame of a body, valid or not.
func frame(body string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// FuzzReadFrame guards against a frame that makes an instance panic, reserve
// more memory than the limit, or read a message as a different one.
func FuzzReadFrame(f *testing.F) {
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"m","params":{"a":1},"meta":{"f":"i1","ms":5}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"result":null}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"x","data":{"code":"c"}}}`))
	f.Add(frame(`null`))
	f.Add(frame(`[]`))
	f.Add(frame(`[{"jsonrpc":"2.0","id":1,"method":"m"}]`))
	f.Add(frame(``))
	f.Add([]byte{0, 0, 0, 9, '{'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 1})
	f.Add([]byte{packedFrame, 0, 0, 2, 0xab, 0xcd})
	if b, err := appendFrame(nil, &jsonrpc2.Request{Method: "membership.heartbeat"}, MaxFrame, true); err == nil {
		f.Add(b)
	}
	f.Add(append(frame(`{"jsonrpc":"2.0","id":1,"result":1}`), frame(`{"jsonrpc":"2.0","id":2,"result":2}`)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 16
		body, err := readFrame(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(body), limit)
		if data[0] == plainFrame {
			require.Equal(t, data[headerSize:headerSize+len(body)], body)
		}
		var req jsonrpc2.Request
		if json.Unmarshal(body, &req) != nil {
			return
		}
		for _, packed := range []bool{false, true} {
			again, err := appendFrame(nil, &req, MaxFrame, packed)
			require.NoError(t, err)
			body, err = readFrame(bytes.NewReader(again), MaxFrame)
			require.NoError(t, err)
			var got jsonrpc2.Request
			require.NoError(t, json.Unmarshal(body, &got))
			require.Equal(t, req.Method, got.Method)
			require.Equal(t, req.ID, got.ID)
		}
	})
}

// TestFrameLimits guards against frames beyond the limit, on either side.
func TestFrameLimits(t *testing.T) {
	atLimit := strings.Repeat("x", 100-2) // and two quotes
	b, err := appendFrame(nil, atLimit, 100, false)
	require.NoError(t, err)
	body, err := readFrame(bytes.NewReader(b), 100)
	require.NoError(t, err)
	require.Len(t, body, 100)

	_, err = readFrame(bytes.NewReader(b), 99)
	require.ErrorIs(t, err, ErrFrameTooLarge)
	got, err := appendFrame([]byte("kept"), atLimit, 99, false)
	require.ErrorIs(t, err, ErrFrameTooLarge)
	require.Equal(t, "kept", string(got))
}

// TestPackedFrame guards against a packed frame that is longer than the plain
// one, and against a small frame that unpacks to more than the limit.
func TestPackedFrame(t *testing.T) {
	heartbeat := json.RawMessage(`{"id":654321,"jsonrpc":"2.0","meta":{"f":"gyor-11","ms":1000},"method":"membership.heartbeat","params":{"b":[7,1234567,4014321234]}}`)
	b, err := appendFrame(nil, heartbeat, MaxFrame, true)
	require.NoError(t, err)
	require.Less(t, len(b), len(heartbeat)/2)
	body, err := readFrame(bytes.NewReader(b), MaxFrame)
	require.NoError(t, err)
	require.Equal(t, string(heartbeat), string(body))

	b, err = appendFrame(nil, 7, MaxFrame, true)
	require.NoError(t, err)
	require.Equal(t, []byte{plainFrame, 0, 0, 1, '7'}, b)

	b, err = appendFrame(nil, strings.Repeat("x", 10_000), MaxFrame, true)
	require.NoError(t, err)
	require.Less(t, len(b), 1000)
	_, err = readFrame(bytes.NewReader(b), 1000)
	require.ErrorIs(t, err, ErrFrameTooLarge)
}
