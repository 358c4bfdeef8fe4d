package linker

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReceiveHandlerPanic guards against a process crash caused by a single frame:
// a panic in the frame handler must close only its connection.
func TestReceiveHandlerPanic(t *testing.T) {
	local, remote := net.Pipe()
	sender, receiver := NewConn(local), NewConn(remote)
	defer sender.Close()
	sender.Send(&Frame{Retire: true})
	err := receiver.Receive(func(f *Frame) {
		if f.Retire {
			var nilFrame *Frame
			nilFrame.Retire = true
		}
	})
	require.ErrorContains(t, err, "panic")
	select {
	case <-receiver.Done():
	case <-time.After(time.Second):
		t.Fatal("connection still open 1 s after the handler panicked")
	}
}

// TestReceiveInvalidFrame guards against accepting input from a peer that uses
// another protocol or sends malformed gob data: Receive must return an error and
// not call the handler.
func TestReceiveInvalidFrame(t *testing.T) {
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", "\x03\xff\x82\x00", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"} {
		local, remote := net.Pipe()
		receiver := NewConn(remote)
		go func() {
			_, _ = local.Write([]byte(data))
			_ = local.Close()
		}()
		require.Error(t, receiver.Receive(func(*Frame) { t.Error("handler called for invalid data") }))
	}
}

// TestEmptyAllowances guards against the end of all allowances that gets lost because
// the encoding omits empty values.
func TestEmptyAllowances(t *testing.T) {
	local, remote := net.Pipe()
	sender, receiver := NewConn(local), NewConn(remote)
	defer sender.Close()
	sender.Send(&Frame{Allowances: &Allowances{}, Retire: true})
	require.Error(t, receiver.Receive(func(f *Frame) {
		if f.Retire {
			require.NotNil(t, f.Allowances)
			receiver.Close()
		}
	}))
}
