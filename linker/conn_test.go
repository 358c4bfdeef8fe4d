package linker

import (
	"io"
	"net"
	"os"
	"strconv"
	"strings"
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

// TestConfirmationReachesIdlePeer guards against leases that end because no frame carries
// the confirmation of the reports.
func TestConfirmationReachesIdlePeer(t *testing.T) {
	local, remote := net.Pipe()
	leader, member := NewConn(local), NewConn(remote)
	defer leader.Close()
	go func() { _ = leader.Receive(func(f *Frame) { leader.Confirm(f.Seq) }) }()
	for _, seq := range []int64{1, 2} {
		member.Send(&Frame{Seq: seq})
	}
	seen := make(chan int64, 100)
	go func() { _ = member.Receive(func(f *Frame) { seen <- f.Seen }) }()
	deadline := time.After(HeartbeatTimeout)
	for {
		select {
		case n := <-seen:
			if n == 2 {
				return
			}
		case <-deadline:
			require.Fail(t, "not confirmed in time")
		}
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

// forwardSlowly copies what one connection receives to another at a limited speed.
func forwardSlowly(to, from net.Conn, bytesPerSec int) {
	buf := make([]byte, 512)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSec))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// TestLargeFrameOverSlowLink guards against a connection that is closed while a frame is
// on its way, because it takes longer than HeartbeatTimeout as a whole.
func TestLargeFrameOverSlowLink(t *testing.T) {
	const size = 60_000
	near, nearProxy := net.Pipe()
	farProxy, far := net.Pipe()
	go forwardSlowly(farProxy, nearProxy, 30_000)
	go forwardSlowly(nearProxy, farProxy, 30_000)
	sender, receiver := NewConn(near), NewConn(far)
	defer sender.Close()
	go func() { _ = sender.Receive(func(*Frame) {}) }()
	sender.Send(&Frame{Specs: []Spec{{Job: "j", Text: strings.Repeat("x", size)}}})
	var text string
	err := receiver.Receive(func(f *Frame) {
		if len(f.Specs) > 0 {
			text = f.Specs[0].Text
			receiver.Close()
		}
	})
	require.Len(t, text, size, err)
}

// TestSilentPeerEndsConnection guards against a connection that stays open although the
// peer sends nothing, not even the rest of a frame.
func TestSilentPeerEndsConnection(t *testing.T) {
	for _, sent := range []string{"", "\x20\xff"} {
		local, remote := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, remote) }()
		go func() { _, _ = remote.Write([]byte(sent)) }()
		c := NewConn(local)
		start := time.Now()
		err := c.Receive(func(*Frame) {})
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Less(t, time.Since(start), HeartbeatTimeout+time.Second)
	}
}

// TestLateFramesEndConnection guards against a connection that counts as alive although its
// frames are later and later, since the link carries less than is sent.
func TestLateFramesEndConnection(t *testing.T) {
	const bytesPerSec, period = 20_000, 25 * time.Millisecond
	near, nearProxy := net.Pipe()
	farProxy, far := net.Pipe()
	go forwardSlowly(farProxy, nearProxy, bytesPerSec)
	go forwardSlowly(nearProxy, farProxy, bytesPerSec)
	sender, receiver := NewConn(near), NewConn(far)
	defer sender.Close()
	go func() { _ = sender.Receive(func(*Frame) {}) }()
	go func() {
		for sender.SendErr() == nil {
			sender.Send(&Frame{Specs: []Spec{{Job: "j", Text: strconv.FormatInt(time.Now().UnixNano(), 10) + strings.Repeat("x", 1000)}}})
			time.Sleep(period)
		}
	}()
	var longest time.Duration
	err := receiver.Receive(func(f *Frame) {
		for _, s := range f.Specs {
			sent, err := strconv.ParseInt(s.Text[:19], 10, 64)
			require.NoError(t, err)
			if longest = max(longest, time.Since(time.Unix(0, sent))); longest > 2*maxFrameDelay {
				receiver.Close()
			}
		}
	})
	require.Less(t, longest, 2*maxFrameDelay, err)
}
