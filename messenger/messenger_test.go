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
	echo  Method = "test.echo"
	block Method = "test.block"
	beat  Method = "test.beat"
)

type note struct {
	Text string `json:"text"`
}

// startServer runs a server with echo, beat and a handler that blocks until its
// context ends or the returned function is called.
func startServer(t testing.TB, s *Server) (address string, release func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.Listener = l
	free := make(chan struct{})
	Handle(s, echo, func(_ context.Context, from descriptor.InstanceID, n note) (note, error) {
		return note{string(from) + ":" + n.Text}, nil
	})
	Handle(s, block, func(ctx context.Context, _ descriptor.InstanceID, n note) (note, error) {
		select {
		case <-free:
			return n, nil
		case <-ctx.Done():
			return note{}, ctx.Err()
		}
	})
	HandleControl(s, beat, func(context.Context, descriptor.InstanceID, note) (note, error) { return note{"alive"}, nil })
	done := make(chan error, 1)
	go func() { done <- s.Run(context.Background()) }()
	var freed atomic.Bool
	release = func() {
		if freed.CompareAndSwap(false, true) {
			close(free)
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

func longContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// TestCall guards against a wrong sender, lost typed errors and bytes that the
// traffic counters miss.
func TestCall(t *testing.T) {
	s := &Server{ClassOf: func(descriptor.InstanceID) PeerClass { return OtherDataCentre }}
	Handle(s, "test.fail", func(context.Context, descriptor.InstanceID, note) (note, error) {
		return note{}, &RemoteError{Code: "notOwner", Message: "not mine", Data: json.RawMessage(`{"owner":"i2"}`)}
	})
	Handle(s, "test.panic", func(context.Context, descriptor.InstanceID, note) (note, error) { panic("x") })
	Handle(s, "test.plain", func(context.Context, descriptor.InstanceID, note) (note, error) { return note{}, errors.New("plain") })
	Handle(s, "test.large", func(context.Context, descriptor.InstanceID, note) (note, error) {
		return note{strings.Repeat("x", MaxFrame)}, nil
	})
	address, _ := startServer(t, s)
	p := newPool(t, &Pool{ClassOf: func(string) PeerClass { return OtherDataCentre }})
	ctx := longContext(t)

	rep, err := Call[note, note](ctx, p, address, echo, note{"hello"})
	require.NoError(t, err)
	require.Equal(t, "i1:hello", rep.Text)

	codes := map[Method]string{
		"test.fail": "notOwner", "test.panic": CodeInternal, "test.plain": CodeInternal,
		"test.large": CodeReplyTooLarge, "test.none": CodeUnknownMethod,
	}
	for m, code := range codes {
		_, err := Call[note, note](ctx, p, address, m, note{})
		var remote *RemoteError
		require.ErrorAs(t, err, &remote, m)
		require.Equal(t, code, remote.Code)
		if code == "notOwner" {
			require.JSONEq(t, `{"owner":"i2"}`, string(remote.Data))
		}
	}
	_, err = Call[int, note](ctx, p, address, echo, 5)
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

// TestDeadlineIsCarried guards against a peer that works on for a caller that
// has stopped waiting.
func TestDeadlineIsCarried(t *testing.T) {
	s := &Server{}
	got := make(chan time.Duration, 2)
	Handle(s, "test.deadline", func(ctx context.Context, _ descriptor.InstanceID, _ note) (note, error) {
		d, _ := ctx.Deadline()
		got <- time.Until(d)
		return note{}, nil
	})
	address, _ := startServer(t, s)
	p := newPool(t, &Pool{})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := Call[note, note](ctx, p, address, "test.deadline", note{})
	require.NoError(t, err)
	require.LessOrEqual(t, <-got, 30*time.Second)
	_, err = Call[note, note](context.Background(), p, address, "test.deadline", note{})
	require.NoError(t, err)
	require.LessOrEqual(t, <-got, DefaultTimeout)

	expired, cancel := context.WithTimeout(context.Background(), -time.Second)
	defer cancel()
	_, err = Call[note, note](expired, p, address, echo, note{})
	require.ErrorIs(t, err, ErrPeerUnreachable, "a call after its deadline is surely not carried out")
}

// TestBusyPeer guards against a queue without bound in front of a peer, and
// against heartbeats that are refused because requests fill the bounds.
func TestBusyPeer(t *testing.T) {
	s := &Server{MaxPerConn: 4}
	address, release := startServer(t, s)
	p := newPool(t, &Pool{MaxQueued: 8})
	ctx := longContext(t)
	results := make(chan error, 8)
	for range 8 {
		go func() {
			_, err := Call[note, note](ctx, p, address, block, note{})
			results <- err
		}()
	}
	for range 4 { // beyond the bound of the server
		require.ErrorIs(t, <-results, ErrPeerBusy)
	}
	for range 4 {
		go func() {
			_, err := Call[note, note](ctx, p, address, block, note{})
			results <- err
		}()
	}
	for range 4 {
		require.ErrorIs(t, <-results, ErrPeerBusy)
	}
	rep, err := CallControl[note, note](ctx, p, address, beat, note{})
	require.NoError(t, err)
	require.Equal(t, "alive", rep.Text)
	release()
	for range 4 {
		require.NoError(t, <-results)
	}
}

// TestPoolQueueBound guards against a pool that queues without bound, in calls
// and in bytes, for a peer that does not answer.
func TestPoolQueueBound(t *testing.T) {
	address, _ := startServer(t, &Server{})
	ctx := longContext(t)
	t.Run("calls", func(t *testing.T) {
		p := newPool(t, &Pool{MaxQueued: 2})
		fillQueue(ctx, t, p, address, note{}, 2)
		_, err := Call[note, note](ctx, p, address, echo, note{})
		require.ErrorIs(t, err, ErrPeerBusy)
	})
	t.Run("bytes", func(t *testing.T) {
		p := newPool(t, &Pool{MaxQueuedBytes: 1000})
		fillQueue(ctx, t, p, address, note{strings.Repeat("x", 800)}, 1)
		_, err := Call[note, note](ctx, p, address, echo, note{strings.Repeat("x", 200)})
		require.ErrorIs(t, err, ErrPeerBusy)
		_, err = Call[note, note](ctx, p, address, echo, note{"short"})
		require.NoError(t, err)
	})
	t.Run("frame", func(t *testing.T) {
		p := newPool(t, &Pool{})
		_, err := Call[note, note](ctx, p, address, echo, note{strings.Repeat("x", MaxFrame)})
		require.ErrorIs(t, err, ErrFrameTooLarge)
	})
}

// fillQueue starts n blocking calls and waits until they hold their places.
func fillQueue(ctx context.Context, t *testing.T, p *Pool, address string, req note, n int) {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{}, n)
	for range n {
		go func() {
			_, _ = Call[note, note](ctx, p, address, block, req)
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
		pe := p.existing(address)
		if pe == nil {
			return false
		}
		pe.mu.Lock()
		defer pe.mu.Unlock()
		return pe.lanes[0].held == n
	}, time.Minute, time.Millisecond)
}
