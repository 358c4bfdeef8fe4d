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

// serve runs the server on loopback and returns its address. The server is
// closed at the end of the test.
func serve(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.Listener = l
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	return l.Addr().String()
}

// open connects to the server and sends raw bytes.
func open(t *testing.T, address, raw string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, raw)
	require.NoError(t, err)
	return conn
}

// answerOf reads one answer from the connection.
func answerOf(t *testing.T, conn net.Conn) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	_ = r.Body.Close()
	return r, string(body)
}

func post(body string) string {
	return fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// blocking returns a fake whose Submit waits for release, and a channel that
// gets the context of each call.
func blocking(release <-chan struct{}) (*fake, chan context.Context) {
	entered := make(chan context.Context, 16)
	return &fake{submit: func(ctx context.Context, _ Submission) (Answer, error) {
		entered <- ctx
		select {
		case <-release:
			return Answer{Pending: true}, nil
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}}, entered
}

// TestLongWaitOutlivesTheReadLimit guards against a caller whose wait is cut off
// because the limit on sending its request has passed.
func TestLongWaitOutlivesTheReadLimit(t *testing.T) {
	release := make(chan struct{})
	f, entered := blocking(release)
	s := newServer(f)
	s.Limits.Read = 50 * time.Millisecond
	conn := open(t, serve(t, s), post(valid))
	ctx := <-entered
	select {
	case <-ctx.Done():
		t.Fatal("the wait was cut off")
	case <-time.After(4 * s.Limits.Read):
	}
	close(release)
	r, _ := answerOf(t, conn)
	require.Equal(t, 202, r.StatusCode)
}

// TestSlowClientsHoldNothing guards against clients that send half a request and
// stop: others must be served meanwhile, and the connections must end.
func TestSlowClientsHoldNothing(t *testing.T) {
	s := newServer(&fake{answer: Answer{Pending: true}})
	s.Limits.RequestsInProgress = 1
	s.Limits.Read = 300 * time.Millisecond
	address := serve(t, s)
	half := post(valid)[:len(post(valid))-5]
	var slow []net.Conn
	for range 20 {
		slow = append(slow, open(t, address, half), open(t, address, "GET /v1/rules HTTP/1.1\r\nHost:"))
	}
	r, _ := answerOf(t, open(t, address, post(valid)))
	require.Equal(t, 202, r.StatusCode)
	for _, conn := range slow {
		// Ends only when the server has closed the connection.
		_, err := io.Copy(io.Discard, conn)
		require.NoError(t, err)
	}
}

// TestHeadersAreBounded guards against a client that fills the memory with
// header fields. The server closes the connection with unread input, so the
// client sees either the answer or a reset.
func TestHeadersAreBounded(t *testing.T) {
	s := newServer(&fake{submit: func(context.Context, Submission) (Answer, error) {
		t.Error("the request was passed on")
		return Answer{}, nil
	}})
	s.Limits.HeaderBytes = 1 << 10
	large := strings.Replace(post(valid), "Host: x", "Host: x\r\nA: "+strings.Repeat("x", 16<<10), 1)
	answer, err := io.ReadAll(open(t, serve(t, s), large))
	if err == nil {
		require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 431 "), "%s", answer)
	} else {
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// TestConnectionsAreBounded guards against more open connections than the limit,
// and against a limit that is never given back.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	f, entered := blocking(release)
	s := newServer(f)
	s.Limits.Connections = 2
	address := serve(t, s)
	var conns []net.Conn
	for range 5 {
		conns = append(conns, open(t, address, strings.Replace(post(valid), "Host: x", "Host: x\r\nConnection: close", 1)))
	}
	<-entered
	<-entered
	require.EqualValues(t, 2, s.open.Load())
	require.Empty(t, entered)
	close(release)
	for _, conn := range conns {
		r, _ := answerOf(t, conn)
		require.Equal(t, 202, r.StatusCode)
	}
}

// TestCloseWaitsForRequests guards against a planned stop that interrupts a
// request in progress, and against one that stops listening before the
// readiness check fails.
func TestCloseWaitsForRequests(t *testing.T) {
	release := make(chan struct{})
	f, entered := blocking(release)
	s := newServer(f)
	s.Limits.Drain = 100 * time.Millisecond
	address := serve(t, s)
	conn := open(t, address, post(valid))
	probe := open(t, address, "")
	<-entered
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	require.Eventually(t, s.draining.Load, time.Minute, time.Millisecond)
	_, err := io.WriteString(probe, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	r, body := answerOf(t, probe)
	require.Equal(t, 503, r.StatusCode)
	require.Contains(t, body, "shutting down")
	require.True(t, r.Close, "the client is asked to leave")
	require.Empty(t, closed)
	close(release)
	r, _ = answerOf(t, conn)
	require.Equal(t, 202, r.StatusCode)
	require.NoError(t, <-closed)
}

// TestWaitEndsWithPendingAtShutdown guards against a caller whose connection is
// cut because its request runs longer than the shutdown may take.
func TestWaitEndsWithPendingAtShutdown(t *testing.T) {
	f, entered := blocking(nil)
	s := newServer(f)
	s.Limits.Shutdown = 2 * time.Second
	conn := open(t, serve(t, s), post(valid))
	<-entered
	require.NoError(t, s.Close())
	r, body := answerOf(t, conn)
	require.Equal(t, 202, r.StatusCode)
	require.Contains(t, body, `"outcome":"pending"`)
}

// TestRequestThatEndsBeforeTheLimit guards against a shutdown that reports
// requests as left although all have ended: http.Server looks only every 500 ms,
// and the last look before a limit of 2 s is 0.25 to 0.5 s earlier.
func TestRequestThatEndsBeforeTheLimit(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	s := newServer(&fake{submit: func(context.Context, Submission) (Answer, error) {
		close(entered)
		<-release
		return Answer{Pending: true}, nil
	}})
	s.Limits.Shutdown = 2 * time.Second
	conn := open(t, serve(t, s), post(valid))
	<-entered
	time.AfterFunc(1850*time.Millisecond, func() { close(release) })
	require.NoError(t, s.Close())
	r, _ := answerOf(t, conn)
	require.Equal(t, 202, r.StatusCode)
}

// TestCloseNamesWhatIsLeft guards against a shutdown that hangs on a backend, or
// that hides what it cut off.
func TestCloseNamesWhatIsLeft(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	s := newServer(&fake{submit: func(context.Context, Submission) (Answer, error) {
		close(entered)
		<-release
		return Answer{Pending: true}, nil
	}})
	s.Limits.Shutdown = 100 * time.Millisecond
	open(t, serve(t, s), post(valid))
	<-entered
	err := s.Close()
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.ErrorContains(t, err, "POST /v1/requests r1")
	close(release)
}

// TestSlowReadersLoseTheirConnection guards against a client that asks for a
// large answer and does not read it.
func TestSlowReadersLoseTheirConnection(t *testing.T) {
	for _, path := range []string{"/v1/targets", "/metrics"} {
		t.Run(path, func(t *testing.T) {
			s := newServer(&fake{targets: make([]TargetInfo, 100_000)})
			s.Limits.Read = 200 * time.Millisecond
			s.Metrics = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 16<<20)) })
			address := serve(t, s)
			conn := open(t, address, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
			_, err := conn.Read(make([]byte, 1))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.open.Load() == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// TestLaterRequestsHaveTheirOwnWriteLimit guards against an answer that is lost
// because an earlier one on the same connection set a limit that has passed.
func TestLaterRequestsHaveTheirOwnWriteLimit(t *testing.T) {
	s := newServer(&fake{})
	s.Limits.Read = 50 * time.Millisecond
	s.Metrics = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics") })
	conn := open(t, serve(t, s), "GET /v1/rules HTTP/1.1\r\nHost: x\r\n\r\n")
	r, _ := answerOf(t, conn)
	require.Equal(t, 200, r.StatusCode)
	time.Sleep(2 * s.Limits.Read)
	_, err := io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	_, body := answerOf(t, conn)
	require.Equal(t, "metrics", body)
}

// TestPipelinedRequestsAreAnsweredInOrder guards against an answer that reaches
// the wrong request of a client that sends several at once.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := newServer(&fake{answer: Answer{Pending: true}})
	var all strings.Builder
	for i := range 50 {
		all.WriteString(post(strings.Replace(valid, "r1", fmt.Sprint("r", i), 1)))
	}
	reader := bufio.NewReader(open(t, serve(t, s), all.String()))
	for i := range 50 {
		r, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("r", i), decode[OutcomeBody](t, r.Body).ID)
		_, err = io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		_ = r.Body.Close()
	}
}
