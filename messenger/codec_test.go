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
	f.Add(append(frame(`{"jsonrpc":"2.0","id":1,"result":1}`), frame(`{"jsonrpc":"2.0","id":2,"result":2}`)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 16
		body, err := readFrame(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(body), limit)
		require.Equal(t, data[headerSize:headerSize+len(body)], body)
		var req jsonrpc2.Request
		if json.Unmarshal(body, &req) != nil {
			return
		}
		again, err := appendFrame(nil, &req, MaxFrame)
		require.NoError(t, err)
		body, err = readFrame(bytes.NewReader(again), MaxFrame)
		require.NoError(t, err)
		var got jsonrpc2.Request
		require.NoError(t, json.Unmarshal(body, &got))
		require.Equal(t, req.Method, got.Method)
		require.Equal(t, req.ID, got.ID)
	})
}

// TestFrameLimits guards against frames beyond the limit, on either side.
func TestFrameLimits(t *testing.T) {
	atLimit := strings.Repeat("x", 100-2) // and two quotes
	b, err := appendFrame(nil, atLimit, 100)
	require.NoError(t, err)
	body, err := readFrame(bytes.NewReader(b), 100)
	require.NoError(t, err)
	require.Len(t, body, 100)

	_, err = readFrame(bytes.NewReader(b), 99)
	require.ErrorIs(t, err, ErrFrameTooLarge)
	got, err := appendFrame([]byte("kept"), atLimit, 99)
	require.ErrorIs(t, err, ErrFrameTooLarge)
	require.Equal(t, "kept", string(got))
}
