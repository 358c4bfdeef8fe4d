package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/masticlead/masticlead/descriptor"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	methodEcho      Method = "test.echo"
	methodBlock     Method = "test.block"
	methodHeartbeat Method = "test.beat"
)

type testMessage struct {
	Text string `json:"text"`
}

// startServer runs a server with handlers for methodEcho, methodHeartbeat and
// methodBlock. The last blocks until its context is cancelled or release is called.
func startServer(t testing.TB, s *Server) (address string, release func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.Listener = l
	unblock := make(chan struct{})
	Handle(s, methodEcho, func(_ context.Context, from descriptor.InstanceID, n testMessage) (testMessage, error) {
		return testMessage{string(from) + ":" + n.Text}, nil
	})
	Handle(s, methodBlock, func(ctx context.Context, _ descriptor.InstanceID, n testMessage) (testMessage, error) {
		select {
		case <-unblock:
			return n, nil
		case <-ctx.Done():
			return testMessage{}, ctx.Err()
		}
	})
	HandleControl(s, methodHeartbeat, func(context.Context, descriptor.InstanceID, testMessage) (testMessage, error) {
		return testMessage{"alive"}, nil
	})
	done := make(chan error, 1)
	go func() { done <- s.Run(context.Background()) }()
	var released atomic.Bool
	release = func() {
		if released.CompareAndSwap(false, true) {
			close(unblock)
		}
	}
	t.Cleanup(func() {
		release()
		require.NoError(t, s.Close())
		require.NoError(t, <-done)
	})
	return l.Addr().String(), release
}

func newPool(t testing.TB, p *Pool) *Pool {
	t.Helper()
	p.Self = "i1"
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// TestCall guards against a wrong sender, errors that lose their code or data, and
// bytes that are missing from the traffic counters.
func TestCall(t *testing.T) {
	s := &Server{ClassOf: func(descriptor.InstanceID) PeerClass { return OtherDataCentre }}
	Handle(s, "test.fail", func(context.Context, descriptor.InstanceID, testMessage) (testMessage, error) {
		return testMessage{}, &RemoteError{Code: "notOwner", Message: "not mine", Data: json.RawMessage(`{"owner":"i2"}`)}
	})
	Handle(s, "test.panic", func(context.Context, descriptor.InstanceID, testMessage) (testMessage, error) { panic("x") })
	Handle(s, "test.plain", func(context.Context, descriptor.InstanceID, testMessage) (testMessage, error) {
		return testMessage{}, errors.New("plain")
	})
	Handle(s, "test.large", func(context.Context, descriptor.InstanceID, testMessage) (testMessage, error) {
		return testMessage{strings.Repeat("x", MaxFrameSize)}, nil
	})
	address, _ := startServer(t, s)
	p := newPool(t, &Pool{ClassOf: func(string) PeerClass { return OtherDataCentre }})
	ctx := testContext(t)

	rep, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{"hello"})
	require.NoError(t, err)
	require.Equal(t, "i1:hello", rep.Text)

	codes := map[Method]string{
		"test.fail": "notOwner", "test.panic": CodeInternal, "test.plain": CodeInternal,
		"test.large": CodeReplyTooLarge, "test.none": CodeUnknownMethod,
	}
	for m, code := range codes {
		_, err := Call[testMessage, testMessage](ctx, p, address, m, testMessage{})
		var remote *RemoteError
		require.ErrorAs(t, err, &remote, m)
		require.Equal(t, code, remote.Code)
		if code == "notOwner" {
			require.JSONEq(t, `{"owner":"i2"}`, string(remote.Data))
		}
	}
	_, err = Call[int, testMessage](ctx, p, address, methodEcho, 5)
	var remote *RemoteError
	require.ErrorAs(t, err, &remote)
	require.Equal(t, CodeInvalidParams, remote.Code)

	require.Positive(t, p.Traffic.Out(OtherDataCentre))
	require.Eventually(t, func() bool {
		return p.Traffic.Out(OtherDataCentre) == s.Traffic.In(OtherDataCentre) &&
			p.Traffic.In(OtherDataCentre) == s.Traffic.Out(OtherDataCentre)
	}, time.Minute, time.Millisecond)
	require.Zero(t, p.Traffic.Out(SameDataCentre)+s.Traffic.In(SameDataCentre))
}

// TestDeadlinePropagation guards against a peer that continues to execute a call
// after the caller's deadline.
func TestDeadlinePropagation(t *testing.T) {
	s := &Server{}
	got := make(chan time.Duration, 2)
	Handle(s, "test.deadline", func(ctx context.Context, _ descriptor.InstanceID, _ testMessage) (testMessage, error) {
		d, _ := ctx.Deadline()
		got <- time.Until(d)
		return testMessage{}, nil
	})
	address, _ := startServer(t, s)
	p := newPool(t, &Pool{})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := Call[testMessage, testMessage](ctx, p, address, "test.deadline", testMessage{})
	require.NoError(t, err)
	require.LessOrEqual(t, <-got, 30*time.Second)
	_, err = Call[testMessage, testMessage](context.Background(), p, address, "test.deadline", testMessage{})
	require.NoError(t, err)
	require.LessOrEqual(t, <-got, DefaultTimeout)

	expired, cancel := context.WithTimeout(context.Background(), -time.Second)
	defer cancel()
	_, err = Call[testMessage, testMessage](expired, p, address, methodEcho, testMessage{})
	require.ErrorIs(t, err, ErrPeerUnreachable, "a call after its deadline must be reported as not executed")
}

// TestBusyPeer guards against an unbounded number of calls to a peer, and against
// heartbeats that are refused because requests exhaust the limits.
func TestBusyPeer(t *testing.T) {
	s := &Server{MaxCallsPerConn: 4}
	address, release := startServer(t, s)
	p := newPool(t, &Pool{MaxCallsPerPeer: 8})
	ctx := testContext(t)
	results := make(chan error, 8)
	for range 8 {
		go func() {
			_, err := Call[testMessage, testMessage](ctx, p, address, methodBlock, testMessage{})
			results <- err
		}()
	}
	for range 4 { // exceed the server's MaxCallsPerConn
		require.ErrorIs(t, <-results, ErrPeerBusy)
	}
	for range 4 {
		go func() {
			_, err := Call[testMessage, testMessage](ctx, p, address, methodBlock, testMessage{})
			results <- err
		}()
	}
	for range 4 {
		require.ErrorIs(t, <-results, ErrPeerBusy)
	}
	rep, err := CallControl[testMessage, testMessage](ctx, p, address, methodHeartbeat, testMessage{})
	require.NoError(t, err)
	require.Equal(t, "alive", rep.Text)
	release()
	for range 4 {
		require.NoError(t, <-results)
	}
}

// TestPoolQueueLimits guards against a pool that queues an unbounded number of calls
// or bytes for a peer that does not reply.
func TestPoolQueueLimits(t *testing.T) {
	address, _ := startServer(t, &Server{})
	ctx := testContext(t)
	t.Run("calls", func(t *testing.T) {
		p := newPool(t, &Pool{MaxCallsPerPeer: 2})
		fillQueue(ctx, t, p, address, testMessage{}, 2)
		_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{})
		require.ErrorIs(t, err, ErrPeerBusy)
	})
	t.Run("bytes", func(t *testing.T) {
		p := newPool(t, &Pool{MaxBytesPerPeer: 1000})
		fillQueue(ctx, t, p, address, testMessage{strings.Repeat("x", 800)}, 1)
		_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{strings.Repeat("x", 200)})
		require.ErrorIs(t, err, ErrPeerBusy)
		_, err = Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{"short"})
		require.NoError(t, err)
	})
	t.Run("frame", func(t *testing.T) {
		p := newPool(t, &Pool{})
		_, err := Call[testMessage, testMessage](ctx, p, address, methodEcho, testMessage{strings.Repeat("x", MaxFrameSize)})
		require.ErrorIs(t, err, ErrFrameTooLarge)
	})
}

// fillQueue starts n blocking calls and waits until they have their reservations.
func fillQueue(ctx context.Context, t *testing.T, p *Pool, address string, req testMessage, n int) {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{}, n)
	for range n {
		go func() {
			_, _ = Call[testMessage, testMessage](ctx, p, address, methodBlock, req)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range n {
			<-done
		}
	})
	require.Eventually(t, func() bool {
		pe := p.lookup(address)
		if pe == nil {
			return false
		}
		pe.mu.Lock()
		defer pe.mu.Unlock()
		return pe.queues[0].reserved == n
	}, time.Minute, time.Millisecond)
}
