package messenger

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Frame encodings, the first byte of the header.
const (
	plainFrame  = 0 // JSON
	packedFrame = 1 // JSON, deflated with packDictionary
)

// packDictionary holds what the small control messages have in common, the most
// frequent last, as deflate encodes near matches in fewer bits. Both sides need
// the same dictionary: a changed one gets a new frame encoding. Without it a
// heartbeat takes about twice the bytes, and heartbeats are most of an
// instance's control traffic.
const packDictionary = `{"code":-32000,"message":"","data":{"code":"","data":"error":{` +
	`"method":"rules.pull","params":{"have":"method":"rules.push","params":{"version":,"hash":"","author":"","appliedMs":17` +
	`"method":"lease.consent","params":{"method":"lease.promise","params":{` +
	`"dc":"","peer":"10.","http":"10.:7"},{"i":"","n":1,"p":"10.","h":"10.","r":,"t":17` +
	`,"method":"membership.digest","params":{"r":true,"g":{"d":"","c":"","i":1,"n":,"s":,"l":[[0,0,0,0,0,0],[0,0,1000,0,` +
	`"},"h":,"result":{"w":true,"g":{},"jsonrpc":"2.0"},"result":{},"jsonrpc":"2.0"}` +
	`,"result":{"b":[1,]},"jsonrpc":"2.0"}` +
	`{"id":1,"jsonrpc":"2.0","meta":{"f":"","ms":1000},"method":"membership.heartbeat","params":{"b":[1,`

// flushTail is the end of every flushed deflate stream. It is cut off and added
// again by the reader, as in RFC 7692.
var flushTail = []byte{0x00, 0x00, 0xff, 0xff}

// streamEnd is what the reader adds: the tail and an empty last block.
var streamEnd = append(bytes.Clone(flushTail), 0x01, 0x00, 0x00, 0xff, 0xff)

type packer struct {
	buf bytes.Buffer
	w   *flate.Writer
}

var packers = sync.Pool{New: func() any {
	p := &packer{}
	// The level is valid, so there is no error.
	p.w, _ = flate.NewWriterDict(&p.buf, flate.DefaultCompression, []byte(packDictionary))
	return p
}}

// appendPacked appends the deflated body to b.
func appendPacked(b, body []byte) ([]byte, error) {
	p := packers.Get().(*packer)
	defer packers.Put(p)
	p.buf.Reset()
	p.w.Reset(&p.buf)
	if _, err := p.w.Write(body); err != nil {
		return b, err
	}
	if err := p.w.Flush(); err != nil {
		return b, err
	}
	return append(b, bytes.TrimSuffix(p.buf.Bytes(), flushTail)...), nil
}

var unpackers = sync.Pool{New: func() any {
	return flate.NewReaderDict(bytes.NewReader(nil), []byte(packDictionary))
}}

// unpackBody inflates a body of at most limit bytes.
func unpackBody(packed []byte, limit int) ([]byte, error) {
	r := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(r)
	source := io.MultiReader(bytes.NewReader(packed), bytes.NewReader(streamEnd))
	if err := r.(flate.Resetter).Reset(source, []byte(packDictionary)); err != nil {
		return nil, fmt.Errorf("unpack frame: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("unpack frame: %w", err)
	}
	if len(body) > limit {
		return nil, fmt.Errorf("%w: unpacks to more than %d bytes", ErrFrameTooLarge, limit)
	}
	if len(body) == 0 {
		return nil, errors.New("empty frame")
	}
	return body, nil
}
