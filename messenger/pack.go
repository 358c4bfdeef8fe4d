package messenger

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Frame encodings, as in the first byte of the header.
const (
	encodingJSON    = 0 // JSON
	encodingDeflate = 1 // JSON, compressed by DEFLATE with compressionDictionary
)

// compressionDictionary is the preset DEFLATE dictionary. It contains the common
// parts of small control messages, the most frequent ones last, as DEFLATE
// encodes shorter match distances in fewer bits. Both sides need the same
// dictionary, so a changed dictionary requires a new frame encoding. Without a
// dictionary a heartbeat takes about twice the bytes, and heartbeats are most of
// an instance's control traffic.
const compressionDictionary = `{"code":-32000,"message":"","data":{"code":"","data":"error":{` +
	`"method":"rules.pull","params":{"have":"method":"rules.push","params":{"version":,"hash":"","author":"","appliedMs":17` +
	`"method":"lease.consent","params":{"method":"lease.promise","params":{` +
	`"dc":"","peer":"10.","http":"10.:7"},{"i":"","n":1,"p":"10.","h":"10.","r":,"t":17` +
	`,"method":"membership.digest","params":{"r":true,"g":{"d":"","c":"","i":1,"n":,"s":,"l":[[0,0,0,0,0,0],[0,0,1000,0,` +
	`"},"h":,"result":{"w":true,"g":{},"jsonrpc":"2.0"},"result":{},"jsonrpc":"2.0"}` +
	`,"result":{"b":[1,]},"jsonrpc":"2.0"}` +
	`{"id":1,"jsonrpc":"2.0","meta":{"f":"","ms":1000},"method":"membership.heartbeat","params":{"b":[1,`

// syncMarker ends every flushed DEFLATE stream. The writer removes it and the
// reader appends it again, as in RFC 7692.
var syncMarker = []byte{0x00, 0x00, 0xff, 0xff}

// streamTrailer is appended by the reader: the sync marker and an empty final
// block.
var streamTrailer = append(bytes.Clone(syncMarker), 0x01, 0x00, 0x00, 0xff, 0xff)

// compressor is a reusable DEFLATE writer with its output buffer.
type compressor struct {
	buf bytes.Buffer
	w   *flate.Writer
}

var compressors = sync.Pool{New: func() any {
	c := &compressor{}
	// NewWriterDict fails only for an invalid level.
	c.w, _ = flate.NewWriterDict(&c.buf, flate.DefaultCompression, []byte(compressionDictionary))
	return c
}}

// appendCompressed appends the compressed body to b.
func appendCompressed(b, body []byte) ([]byte, error) {
	c := compressors.Get().(*compressor)
	defer compressors.Put(c)
	c.buf.Reset()
	c.w.Reset(&c.buf)
	if _, err := c.w.Write(body); err != nil {
		return b, err
	}
	if err := c.w.Flush(); err != nil {
		return b, err
	}
	return append(b, bytes.TrimSuffix(c.buf.Bytes(), syncMarker)...), nil
}

var decompressors = sync.Pool{New: func() any {
	return flate.NewReaderDict(bytes.NewReader(nil), []byte(compressionDictionary))
}}

// decompressBody decompresses a body. It fails if the result is longer than limit
// bytes.
func decompressBody(compressed []byte, limit int) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	source := io.MultiReader(bytes.NewReader(compressed), bytes.NewReader(streamTrailer))
	if err := r.(flate.Resetter).Reset(source, []byte(compressionDictionary)); err != nil {
		return nil, fmt.Errorf("decompress frame: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("decompress frame: %w", err)
	}
	if len(body) > limit {
		return nil, fmt.Errorf("%w: decompressed body exceeds %d bytes", ErrFrameTooLarge, limit)
	}
	if len(body) == 0 {
		return nil, errors.New("empty frame")
	}
	return body, nil
}
