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

// uncompressedFrame returns the uncompressed frame of a body, which may be invalid
// JSON.
func uncompressedFrame(body string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// FuzzReadFrame guards against frames that cause a panic, make the reader allocate
// more memory than the limit, or are decoded as a different message.
func FuzzReadFrame(f *testing.F) {
	f.Add(uncompressedFrame(`{"jsonrpc":"2.0","id":1,"method":"m","params":{"a":1},"meta":{"f":"i1","ms":5}}`))
	f.Add(uncompressedFrame(`{"jsonrpc":"2.0","id":1,"result":null}`))
	f.Add(uncompressedFrame(`{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"x","data":{"code":"c"}}}`))
	f.Add(uncompressedFrame(`null`))
	f.Add(uncompressedFrame(`[]`))
	f.Add(uncompressedFrame(`[{"jsonrpc":"2.0","id":1,"method":"m"}]`))
	f.Add(uncompressedFrame(``))
	f.Add([]byte{0, 0, 0, 9, '{'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 1})
	f.Add([]byte{encodingDeflate, 0, 0, 2, 0xab, 0xcd})
	if b, err := appendFrame(nil, &jsonrpc2.Request{Method: "membership.heartbeat"}, MaxFrameSize, true); err == nil {
		f.Add(b)
	}
	f.Add(append(uncompressedFrame(`{"jsonrpc":"2.0","id":1,"result":1}`), uncompressedFrame(`{"jsonrpc":"2.0","id":2,"result":2}`)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 16
		body, err := readFrame(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(body), limit)
		if data[0] == encodingJSON {
			require.Equal(t, data[headerSize:headerSize+len(body)], body)
		}
		var req jsonrpc2.Request
		if json.Unmarshal(body, &req) != nil {
			return
		}
		for _, compress := range []bool{false, true} {
			encoded, err := appendFrame(nil, &req, MaxFrameSize, compress)
			require.NoError(t, err)
			body, err = readFrame(bytes.NewReader(encoded), MaxFrameSize)
			require.NoError(t, err)
			var got jsonrpc2.Request
			require.NoError(t, json.Unmarshal(body, &got))
			require.Equal(t, req.Method, got.Method)
			require.Equal(t, req.ID, got.ID)
		}
	})
}

// TestFrameLimits guards against frames beyond the size limit that are written or
// read, and against a rejected frame that changes the write buffer.
func TestFrameLimits(t *testing.T) {
	atLimit := strings.Repeat("x", 100-2) // plus two quotes
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

// TestCompressedFrame guards against a compressed frame that is longer than the
// uncompressed one, and against a small frame that decompresses to more than the
// limit.
func TestCompressedFrame(t *testing.T) {
	heartbeat := json.RawMessage(`{"id":654321,"jsonrpc":"2.0","meta":{"f":"gyor-11","ms":1000},"method":"membership.heartbeat","params":{"b":[7,1234567,4014321234]}}`)
	b, err := appendFrame(nil, heartbeat, MaxFrameSize, true)
	require.NoError(t, err)
	require.Less(t, len(b), len(heartbeat)/2)
	body, err := readFrame(bytes.NewReader(b), MaxFrameSize)
	require.NoError(t, err)
	require.Equal(t, string(heartbeat), string(body))

	b, err = appendFrame(nil, 7, MaxFrameSize, true)
	require.NoError(t, err)
	require.Equal(t, []byte{encodingJSON, 0, 0, 1, '7'}, b)

	b, err = appendFrame(nil, strings.Repeat("x", 10_000), MaxFrameSize, true)
	require.NoError(t, err)
	require.Less(t, len(b), 1000)
	_, err = readFrame(bytes.NewReader(b), 1000)
	require.ErrorIs(t, err, ErrFrameTooLarge)
}
