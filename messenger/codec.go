package messenger

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// headerSize is the size of the frame header in bytes: one byte for the encoding
// and the body length as an unsigned 24-bit big-endian integer.
const headerSize = 4

// maxPrealloc is the largest body in bytes for which a buffer is allocated before
// the body arrives, so that a header alone cannot make the reader allocate
// MaxFrameSize.
const maxPrealloc = 64 << 10

// appendFrame encodes v and appends its frame to b. It returns b unchanged on
// error. The body is sent uncompressed if compression does not make it shorter.
func appendFrame(b []byte, v any, limit int, compress bool) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return b, fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > limit {
		return b, fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, len(body), limit)
	}
	encoding := uint32(encodingJSON)
	start := len(b)
	frame := append(b, 0, 0, 0, 0)
	if compress {
		encoding = encodingDeflate
		if frame, err = appendCompressed(frame, body); err != nil {
			return b, fmt.Errorf("compress frame: %w", err)
		}
	}
	if n := len(frame) - start - headerSize; !compress || n >= len(body) {
		encoding = encodingJSON
		frame = append(frame[:start+headerSize], body...)
	}
	n := uint32(len(frame) - start - headerSize)
	binary.BigEndian.PutUint32(frame[start:], encoding<<24|n)
	return frame, nil
}

// readHeader reads a frame header and returns the encoding and the length of the
// body.
func readHeader(r io.Reader, limit int) (encoding byte, n int, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	h := binary.BigEndian.Uint32(header[:])
	encoding, n = byte(h>>24), int(h&(1<<24-1))
	if encoding != encodingJSON && encoding != encodingDeflate {
		return 0, 0, fmt.Errorf("unknown frame encoding %d", encoding)
	}
	if n == 0 {
		return 0, 0, errors.New("empty frame")
	}
	if n > limit {
		return 0, 0, fmt.Errorf("%w: body length %d in header, limit %d", ErrFrameTooLarge, n, limit)
	}
	return encoding, n, nil
}

// readBody reads a body of n bytes and decodes it. A decompressed body is at most
// limit bytes long.
func readBody(r io.Reader, encoding byte, n, limit int) ([]byte, error) {
	body, err := readBytes(r, n)
	if err != nil || encoding == encodingJSON {
		return body, err
	}
	return decompressBody(body, limit)
}

// readBytes reads n bytes. Above maxPrealloc its buffer grows as the bytes
// arrive.
func readBytes(r io.Reader, n int) ([]byte, error) {
	if n <= maxPrealloc {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var b bytes.Buffer
	b.Grow(maxPrealloc)
	if _, err := io.CopyN(&b, r, int64(n)); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return b.Bytes(), nil
}

// readFrame reads one frame and returns its decoded body.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	encoding, n, err := readHeader(r, limit)
	if err != nil {
		return nil, err
	}
	return readBody(r, encoding, n, limit)
}

// frameStream is a jsonrpc2.ObjectStream that encodes each object as a
// length-prefixed frame.
type frameStream struct {
	conn         net.Conn
	r            *bufio.Reader
	writeTimeout time.Duration
	frameTimeout time.Duration
	// compress enables compression of outgoing frames. The accepting side
	// enables it on receipt of the first compressed frame.
	compress atomic.Bool

	mu  sync.Mutex
	buf []byte // the frame being written, reused
}

func newFrameStream(conn net.Conn, writeTimeout, frameTimeout time.Duration) *frameStream {
	return &frameStream{
		conn: conn, r: bufio.NewReader(conn),
		writeTimeout: writeTimeout, frameTimeout: frameTimeout,
	}
}

// maxRetainedBuffer is the capacity in bytes of the largest write buffer that a
// stream retains between frames.
const maxRetainedBuffer = 16 << 10

// WriteObject implements jsonrpc2.ObjectStream. After ErrFrameTooLarge nothing
// has been written and the stream remains usable. If the write fails, the frame
// is incomplete, so the peer cannot have decoded it, and the connection is
// closed.
func (s *frameStream) WriteObject(obj any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	frame, err := appendFrame(s.buf[:0], obj, MaxFrameSize, s.compress.Load())
	if err != nil {
		return err
	}
	if cap(frame) <= maxRetainedBuffer {
		s.buf = frame
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		s.conn.Close()
		return err
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream. It waits for a header without a
// timeout, since a connection may be idle, and for the body up to frameTimeout.
func (s *frameStream) ReadObject(v any) error {
	encoding, n, err := readHeader(s.r, MaxFrameSize)
	if err != nil {
		return err
	}
	if encoding == encodingDeflate {
		s.compress.Store(true)
	}
	if s.r.Buffered() < n {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.frameTimeout)); err != nil {
			return err
		}
		defer s.conn.SetReadDeadline(time.Time{})
	}
	body, err := readBody(s.r, encoding, n, MaxFrameSize)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *frameStream) Close() error { return s.conn.Close() }
