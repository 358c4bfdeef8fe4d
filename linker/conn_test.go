package linker

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFrameThatPanics guards against a process that one frame ends: only the
// connection ends.
func TestFrameThatPanics(t *testing.T) {
	near, far := net.Pipe()
	from, to := NewConn(near), NewConn(far)
	defer from.Close()
	from.Send(&Frame{Retire: true})
	err := to.Receive(func(f *Frame) {
		if f.Retire {
			var none *Frame
			none.Retire = true
		}
	})
	require.ErrorContains(t, err, "panic")
	select {
	case <-to.Done():
	case <-time.After(time.Second):
		t.Fatal("the connection stays open")
	}
}

// TestBytesThatAreNoFrame guards against a peer that speaks something else.
func TestBytesThatAreNoFrame(t *testing.T) {
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x03\xff\x82\x00", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		near, far := net.Pipe()
		to := NewConn(far)
		go func() {
			_, _ = near.Write([]byte(text))
			_ = near.Close()
		}()
		require.Error(t, to.Receive(func(*Frame) { t.Error("a frame") }))
	}
}
