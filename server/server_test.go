package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer runs s on a loopback address and returns the address. The server is
// closed at the end of the test.
func startServer(t *testing.T, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.Listener = listener
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-runErr
	})
	return listener.Addr().String()
}

// dial connects to the server and sends raw bytes.
func dial(t *testing.T, address, raw string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, raw)
	require.NoError(t, err)
	return conn
}

// readResponse reads one response and its body from the connection.
func readResponse(t *testing.T, conn net.Conn) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	_ = r.Body.Close()
	return r, string(body)
}

// rawPost returns the bytes of an HTTP request that submits body.
func rawPost(body string) string {
	return fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// newBlockingFake returns a fake whose Submit blocks until release is closed or its
// context ends, and a channel that receives the context of each call.
func newBlockingFake(release <-chan struct{}) (*fake, chan context.Context) {
	calls := make(chan context.Context, 16)
	return &fake{submit: func(ctx context.Context, _ Submission) (RequestState, error) {
		calls <- ctx
		select {
		case <-release:
			return RequestState{Pending: true}, nil
		case <-ctx.Done():
			return RequestState{}, ctx.Err()
		}
	}}, calls
}

// TestWaitLongerThanIOTimeout guards against a wait that is cancelled because the
// read timeout of its request has expired.
func TestWaitLongerThanIOTimeout(t *testing.T) {
	release := make(chan struct{})
	f, calls := newBlockingFake(release)
	s := newServer(f)
	s.Limits.IOTimeout = 50 * time.Millisecond
	conn := dial(t, startServer(t, s), rawPost(validBody))
	ctx := <-calls
	select {
	case <-ctx.Done():
		t.Fatal("the wait was cancelled before its end")
	case <-time.After(4 * s.Limits.IOTimeout):
	}
	close(release)
	r, _ := readResponse(t, conn)
	require.Equal(t, 202, r.StatusCode)
}

// TestSlowClientsDoNotBlockOthers guards against clients that send half a request
// and stop: other clients must be served meanwhile, and the server must close the
// connections of the slow ones.
func TestSlowClientsDoNotBlockOthers(t *testing.T) {
	s := newServer(&fake{state: RequestState{Pending: true}})
	s.Limits.RequestsInProgress = 1
	s.Limits.IOTimeout = 300 * time.Millisecond
	address := startServer(t, s)
	half := rawPost(validBody)[:len(rawPost(validBody))-5]
	var slow []net.Conn
	for range 20 {
		slow = append(slow, dial(t, address, half), dial(t, address, "GET /v1/rules HTTP/1.1\r\nHost:"))
	}
	r, _ := readResponse(t, dial(t, address, rawPost(validBody)))
	require.Equal(t, 202, r.StatusCode)
	for _, conn := range slow {
		// Copy returns only after the server has closed the connection.
		_, err := io.Copy(io.Discard, conn)
		require.NoError(t, err)
	}
}

// TestHeadersAreBounded guards against a client that exhausts the memory with
// header fields. The server closes the connection with unread input, so the client
// gets either the response or a reset.
func TestHeadersAreBounded(t *testing.T) {
	s := newServer(&fake{submit: func(context.Context, Submission) (RequestState, error) {
		t.Error("the request was passed to Submit")
		return RequestState{}, nil
	}})
	s.Limits.HeaderBytes = 1 << 10
	large := strings.Replace(rawPost(validBody), "Host: x", "Host: x\r\nA: "+strings.Repeat("x", 16<<10), 1)
	raw, err := io.ReadAll(dial(t, startServer(t, s), large))
	if err == nil {
		require.True(t, strings.HasPrefix(string(raw), "HTTP/1.1 431 "), "%s", raw)
	} else {
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// TestConnectionsAreBounded guards against more open connections than the limit,
// and against slots that are not released when a connection is closed.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	f, calls := newBlockingFake(release)
	s := newServer(f)
	s.Limits.Connections = 2
	address := startServer(t, s)
	var conns []net.Conn
	for range 5 {
		conns = append(conns, dial(t, address, strings.Replace(rawPost(validBody), "Host: x", "Host: x\r\nConnection: close", 1)))
	}
	<-calls
	<-calls
	require.EqualValues(t, 2, s.openConns.Load())
	require.Empty(t, calls)
	close(release)
	for _, conn := range conns {
		r, _ := readResponse(t, conn)
		require.Equal(t, 202, r.StatusCode)
	}
}

// TestCloseWaitsForRequests guards against a shutdown that interrupts a request in
// progress, and against one that stops listening before the readiness check fails.
func TestCloseWaitsForRequests(t *testing.T) {
	release := make(chan struct{})
	f, calls := newBlockingFake(release)
	s := newServer(f)
	s.Limits.DrainDelay = 100 * time.Millisecond
	address := startServer(t, s)
	conn := dial(t, address, rawPost(validBody))
	probe := dial(t, address, "")
	<-calls
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	require.Eventually(t, s.draining.Load, time.Minute, time.Millisecond)
	_, err := io.WriteString(probe, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	r, body := readResponse(t, probe)
	require.Equal(t, 503, r.StatusCode)
	require.Contains(t, body, "shutting down")
	require.True(t, r.Close, "the response must ask the client to close the connection")
	require.Empty(t, closed)
	close(release)
	r, _ = readResponse(t, conn)
	require.Equal(t, 202, r.StatusCode)
	require.NoError(t, <-closed)
}

// TestWaitEndsWithPendingAtShutdown guards against a shutdown that closes the
// connection of a waiting caller whose request runs longer than the shutdown
// timeout.
func TestWaitEndsWithPendingAtShutdown(t *testing.T) {
	f, calls := newBlockingFake(nil)
	s := newServer(f)
	s.Limits.ShutdownTimeout = 2 * time.Second
	conn := dial(t, startServer(t, s), rawPost(validBody))
	<-calls
	require.NoError(t, s.Close())
	r, body := readResponse(t, conn)
	require.Equal(t, 202, r.StatusCode)
	require.Contains(t, body, `"outcome":"pending"`)
}

// TestCloseSucceedsWhenRequestEndsBeforeTimeout guards against a shutdown that
// reports requests in progress although all have ended: http.Server polls only
// every 500 ms, and its last poll before a timeout of 2 s is 0.25 to 0.5 s earlier.
func TestCloseSucceedsWhenRequestEndsBeforeTimeout(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	s := newServer(&fake{submit: func(context.Context, Submission) (RequestState, error) {
		close(entered)
		<-release
		return RequestState{Pending: true}, nil
	}})
	s.Limits.ShutdownTimeout = 2 * time.Second
	conn := dial(t, startServer(t, s), rawPost(validBody))
	<-entered
	time.AfterFunc(1850*time.Millisecond, func() { close(release) })
	require.NoError(t, s.Close())
	r, _ := readResponse(t, conn)
	require.Equal(t, 202, r.StatusCode)
}

// TestCloseReportsUnfinishedRequests guards against a shutdown that blocks on a
// hanging backend, or that does not report the requests that it interrupted.
func TestCloseReportsUnfinishedRequests(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	s := newServer(&fake{submit: func(context.Context, Submission) (RequestState, error) {
		close(entered)
		<-release
		return RequestState{Pending: true}, nil
	}})
	s.Limits.ShutdownTimeout = 100 * time.Millisecond
	dial(t, startServer(t, s), rawPost(validBody))
	<-entered
	err := s.Close()
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.ErrorContains(t, err, "POST /v1/requests r1")
	close(release)
}

// TestSlowReaderIsDisconnected guards against a connection that stays open although
// its client requested a large response and does not read it.
func TestSlowReaderIsDisconnected(t *testing.T) {
	for _, path := range []string{"/v1/targets", "/metrics"} {
		t.Run(path, func(t *testing.T) {
			s := newServer(&fake{targets: make([]TargetInfo, 100_000)})
			s.Limits.IOTimeout = 200 * time.Millisecond
			s.Metrics = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 16<<20)) })
			address := startServer(t, s)
			conn := dial(t, address, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
			_, err := conn.Read(make([]byte, 1))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.openConns.Load() == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// TestWriteDeadlineIsPerResponse guards against a response that is lost because the
// write deadline of an earlier one on the same connection has passed.
func TestWriteDeadlineIsPerResponse(t *testing.T) {
	s := newServer(&fake{})
	s.Limits.IOTimeout = 50 * time.Millisecond
	s.Metrics = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics") })
	conn := dial(t, startServer(t, s), "GET /v1/rules HTTP/1.1\r\nHost: x\r\n\r\n")
	r, _ := readResponse(t, conn)
	require.Equal(t, 200, r.StatusCode)
	time.Sleep(2 * s.Limits.IOTimeout)
	_, err := io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	_, body := readResponse(t, conn)
	require.Equal(t, "metrics", body)
}

// TestPipelinedRequestsAreAnsweredInOrder guards against responses in another order
// than the requests of a client that sends several at once.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := newServer(&fake{state: RequestState{Pending: true}})
	var all strings.Builder
	for i := range 50 {
		all.WriteString(rawPost(strings.Replace(validBody, "r1", fmt.Sprint("r", i), 1)))
	}
	reader := bufio.NewReader(dial(t, startServer(t, s), all.String()))
	for i := range 50 {
		r, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("r", i), decode[OutcomeBody](t, r.Body).ID)
		_, err = io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		_ = r.Body.Close()
	}
}
