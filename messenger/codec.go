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

// headerSize is the length of the frame header: one byte for the encoding and
// the length of the body as an unsigned 24-bit number, most significant byte
// first.
const headerSize = 4

// eagerRead is the largest body for which memory is reserved before its bytes
// arrive, so that a header alone can't claim a megabyte.
const eagerRead = 64 << 10

// appendFrame appends the frame of v to b. It leaves b unchanged on error.
func appendFrame(b []byte, v any, limit int, packed bool) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return b, fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > limit {
		return b, fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, len(body), limit)
	}
	encoding := uint32(plainFrame)
	start := len(b)
	frame := append(b, 0, 0, 0, 0)
	if packed {
		encoding = packedFrame
		if frame, err = appendPacked(frame, body); err != nil {
			return b, fmt.Errorf("pack frame: %w", err)
		}
	}
	if n := len(frame) - start - headerSize; !packed || n >= len(body) {
		encoding = plainFrame
		frame = append(frame[:start+headerSize], body...)
	}
	n := uint32(len(frame) - start - headerSize)
	binary.BigEndian.PutUint32(frame[start:], encoding<<24|n)
	return frame, nil
}

// readHeader returns the encoding and the length of the next frame's body.
func readHeader(r io.Reader, limit int) (encoding byte, n int, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	h := binary.BigEndian.Uint32(header[:])
	encoding, n = byte(h>>24), int(h&(1<<24-1))
	if encoding != plainFrame && encoding != packedFrame {
		return 0, 0, fmt.Errorf("unknown frame encoding %d", encoding)
	}
	if n == 0 {
		return 0, 0, errors.New("empty frame")
	}
	if n > limit {
		return 0, 0, fmt.Errorf("%w: header says %d bytes, limit %d", ErrFrameTooLarge, n, limit)
	}
	return encoding, n, nil
}

// readBody reads a body of n bytes and unpacks it.
func readBody(r io.Reader, encoding byte, n, limit int) ([]byte, error) {
	body, err := readBytes(r, n)
	if err != nil || encoding == plainFrame {
		return body, err
	}
	return unpackBody(body, limit)
}

func readBytes(r io.Reader, n int) ([]byte, error) {
	if n <= eagerRead {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var b bytes.Buffer
	b.Grow(eagerRead)
	if _, err := io.CopyN(&b, r, int64(n)); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return b.Bytes(), nil
}

// readFrame reads one frame and returns its body.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	encoding, n, err := readHeader(r, limit)
	if err != nil {
		return nil, err
	}
	return readBody(r, encoding, n, limit)
}

// frameStream is a jsonrpc2.ObjectStream of length-prefixed JSON bodies.
type frameStream struct {
	conn         net.Conn
	r            *bufio.Reader
	writeTimeout time.Duration
	frameTimeout time.Duration
	// packed says that frames are packed. The side that accepted the connection
	// does as the other does.
	packed atomic.Bool

	mu  sync.Mutex
	buf []byte // the frame being written, reused
}

func newFrameStream(conn net.Conn, writeTimeout, frameTimeout time.Duration) *frameStream {
	return &frameStream{
		conn: conn, r: bufio.NewReader(conn),
		writeTimeout: writeTimeout, frameTimeout: frameTimeout,
	}
}

// keepBuffer is the largest write buffer that a stream keeps between frames.
const keepBuffer = 16 << 10

// WriteObject implements jsonrpc2.ObjectStream. After ErrFrameTooLarge nothing
// has been written and the stream is usable; after any other error the frame is
// incomplete, so the peer can't have read it, and the connection is closed.
func (s *frameStream) WriteObject(obj any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	frame, err := appendFrame(s.buf[:0], obj, MaxFrame, s.packed.Load())
	if err != nil {
		return err
	}
	if cap(frame) <= keepBuffer {
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
// limit, since a connection may be idle, and for the body up to frameTimeout.
func (s *frameStream) ReadObject(v any) error {
	encoding, n, err := readHeader(s.r, MaxFrame)
	if err != nil {
		return err
	}
	if encoding == packedFrame {
		s.packed.Store(true)
	}
	if s.r.Buffered() < n {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.frameTimeout)); err != nil {
			return err
		}
		defer s.conn.SetReadDeadline(time.Time{})
	}
	body, err := readBody(s.r, encoding, n, MaxFrame)
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
