package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
)

// unresponsiveListener returns the address of a listener whose connections are
// established but never read or answered, like those of a paused process.
func unresponsiveListener(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l.Addr().String() // the kernel establishes connections up to the backlog
}

// TestPausedPeer guards against calls that each wait for their deadline while the
// peer is paused, and against an error which reports such a call as not executed.
func TestPausedPeer(t *testing.T) {
	address := unresponsiveListener(t)
	p := newPool(t, &Pool{ProbeInterval: time.Hour})
	for n := range 3 {
		require.Equal(t, n, p.ConsecutiveTimeouts(address))
		require.False(t, p.Suspected(address))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
		cancel()
		require.ErrorIs(t, err, ErrPeerTimeout)
		require.NotErrorIs(t, err, ErrPeerUnreachable)
	}
	require.True(t, p.Suspected(address))
	_, err := Call[testMessage, testMessage](testContext(t), p, address, methodEcho, testMessage{})
	require.ErrorIs(t, err, ErrPeerUnreachable)

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = CallControl[testMessage, testMessage](ctx, p, address, methodHeartbeat, testMessage{})
	require.ErrorIs(t, err, ErrPeerTimeout, "control calls must be sent to a suspected peer")
}

// TestConnectionRefused guards against an error which reports a call as possibly
// executed although its connection was refused, and against a dial for each call
// during the backoff.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	dials := 0
	p := newPool(t, &Pool{BackoffMin: time.Hour, BackoffMax: time.Hour, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	for range 10 {
		_, err := Call[testMessage, testMessage](testContext(t), p, address, methodEcho, testMessage{})
		require.ErrorIs(t, err, ErrPeerUnreachable)
	}
	require.Equal(t, 1, dials)
}

// TestReconnect guards against a pool that keeps using a closed connection after
// the peer was replaced at the same address.
func TestReconnect(t *testing.T) {
	s := &Server{}
	address, _ := startServer(t, s)
	p := newPool(t, &Pool{BackoffMin: time.Millisecond, BackoffMax: 10 * time.Millisecond})
	ctx := testContext(t)
	_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.Eventually(t, func() bool {
		_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
		return err != nil
	}, time.Minute, time.Millisecond)

	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	second := &Server{Listener: l}
	Handle(second, methodEcho, func(context.Context, descriptor.InstanceID, testMessage) (testMessage, error) {
		return testMessage{"second"}, nil
	})
	go second.Run(context.Background())
	defer second.Close()
	require.Eventually(t, func() bool {
		rep, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
		return err == nil && rep.Text == "second"
	}, time.Minute, time.Millisecond)
}

// TestConnectionLostAfterSend guards against an error which reports a call as not
// executed although its connection was lost after the request was sent.
func TestConnectionLostAfterSend(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = readFrame(bufio.NewReader(conn), MaxFrameSize)
		conn.Close()
	}()
	p := newPool(t, &Pool{})
	_, err = Call[testMessage, testMessage](testContext(t), p, l.Addr().String(), methodEcho, testMessage{})
	require.ErrorIs(t, err, ErrPeerTimeout)
	require.NotErrorIs(t, err, ErrPeerUnreachable)
}

// TestMalformedFrame guards against a malformed or oversized frame that affects
// other connections, or after which its own connection stays open.
func TestMalformedFrame(t *testing.T) {
	s := &Server{}
	address, _ := startServer(t, s)
	dials := 0
	p := newPool(t, &Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	ctx := testContext(t)
	_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
	require.NoError(t, err)
	malformed := map[string][]byte{
		"oversized frame":              binary.BigEndian.AppendUint32(nil, MaxFrameSize+1),
		"empty frame":                  {0, 0, 0, 0},
		"unknown encoding":             {7, 0, 0, 1, '1'},
		"corrupt compressed body":      {encodingDeflate, 0, 0, 2, 0xab, 0xcd},
		"invalid JSON":                 uncompressedFrame("{"),
		"neither request nor response": uncompressedFrame("{}"),
		"batch request":                uncompressedFrame(`[{"jsonrpc":"2.0","id":1,"method":"test.echo"}]`),
		"invalid meta":                 uncompressedFrame(`{"jsonrpc":"2.0","id":1,"method":"test.echo","meta":5}`),
	}
	for name, b := range malformed {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = conn.Write(b)
		require.NoError(t, err)
		t.Log(name)
		_, _ = io.ReadAll(conn) // returns when the server closes or resets the connection
		conn.Close()
	}
	_, err = Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
	require.NoError(t, err)
	require.Equal(t, 1, dials, "the valid connection must stay open")
}

// TestCloseWaitsForCalls guards against a shutdown that aborts a call in progress,
// and against calls during the shutdown that fail with anything but
// ErrPeerUnreachable.
func TestCloseWaitsForCalls(t *testing.T) {
	s := &Server{DrainTimeout: time.Minute}
	address, release := startServer(t, s)
	p := newPool(t, &Pool{})
	ctx := testContext(t)
	result := make(chan error, 1)
	go func() {
		_, err := Call[testMessage, testMessage](ctx, p, address, methodBlock, testMessage{})
		result <- err
	}()
	require.Eventually(t, func() bool { return s.activeCalls.Load() == 1 }, time.Minute, time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	require.Eventually(t, func() bool {
		_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
		if err == nil {
			return false
		}
		require.ErrorIs(t, err, ErrPeerUnreachable)
		return true
	}, time.Minute, time.Millisecond)
	require.Empty(t, closed)
	release()
	require.NoError(t, <-result)
	require.NoError(t, <-closed)
}

// TestIdlePeerIsRemoved guards against a leak of connections to replaced
// instances, of which there can be 6,000 per day.
func TestIdlePeerIsRemoved(t *testing.T) {
	address, _ := startServer(t, &Server{})
	p := newPool(t, &Pool{IdleTimeout: 5 * time.Millisecond})
	for range 3 {
		_, err := Call[testMessage, testMessage](testContext(t), p, address, methodEcho, testMessage{})
		require.NoError(t, err)
		require.Eventually(t, func() bool { return p.lookup(address) == nil }, time.Minute, time.Millisecond)
	}
}

// TestServerDropsCallsAfterPause guards against an instance that resumes after a
// pause and executes calls whose callers have timed out.
func TestServerDropsCallsAfterPause(t *testing.T) {
	s := &Server{MaxPause: time.Hour} // too long for the ticker to fire; calls run the check
	address, _ := startServer(t, s)
	p := newPool(t, &Pool{BackoffMin: time.Millisecond, BackoffMax: time.Millisecond})
	ctx := testContext(t)
	_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
	require.NoError(t, err)
	s.pauseDetector.lastCheckNs.Add(-int64(2 * time.Hour))
	_, err = Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
	require.ErrorIs(t, err, ErrPeerTimeout)
	_, err = Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
	require.NoError(t, err, "calls that arrive after the pause must be executed")
}

// TestPauseReportedOnce guards against a pause that is reported repeatedly, and
// against a check that returns before another check has reported the pause, so
// that its call would be executed.
func TestPauseReportedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var gaps []time.Duration
	d := &pauseDetector{maxPause: time.Second, now: clock.Now, start: clock.Now()}
	d.onPause = func(gap time.Duration) { gaps = append(gaps, gap) }
	for range 10 {
		clock.Advance(time.Second)
		d.check()
	}
	require.Empty(t, gaps)
	clock.Advance(time.Minute)
	d.check()
	d.check()
	require.Equal(t, []time.Duration{time.Minute}, gaps)

	// Calls of several connections are read concurrently after a pause. The
	// pause must have been reported when any of their checks returns.
	clock.Advance(time.Minute)
	var reported atomic.Int32
	d.onPause = func(time.Duration) {
		time.Sleep(5 * time.Millisecond)
		reported.Add(1)
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			d.check()
			assert.EqualValues(t, 1, reported.Load())
		})
	}
	wg.Wait()
}

// TestPeerThatDoesNotRead guards against callers that block and a queue that grows
// without limit when the socket buffers to a peer are full.
func TestPeerThatDoesNotRead(t *testing.T) {
	address := unresponsiveListener(t)
	p := newPool(t, &Pool{MaxCallsPerPeer: 8, MaxBytesPerPeer: 64 << 20, MaxBytes: 64 << 20, WriteTimeout: time.Hour, ProbeInterval: time.Millisecond})
	large := testMessage{strings.Repeat("x", MaxFrameSize-100)}
	busy := false
	for i := 0; i < 100 && !busy; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, large)
		cancel()
		require.Error(t, err)
		busy = errors.Is(err, ErrPeerBusy)
	}
	require.True(t, busy, "calls that cannot be written must keep their reservation")
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	_, err := CallControl[testMessage, testMessage](ctx, p, address, methodHeartbeat, testMessage{})
	require.ErrorIs(t, err, ErrPeerTimeout, "control calls must use a separate connection")
}
