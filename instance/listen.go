package instance

import (
	"bytes"
	"log"
	"log/slog"
	"net/http"
	"time"

	"github.com/masticlead/masticlead/reserver"
)

const (
	// maxHeaderBytes bounds the head of a request. net/http reads 4 KB more.
	maxHeaderBytes = 4 << 10
	// headTimeout is the time within which the head of a request has to arrive.
	headTimeout = 3 * time.Second
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = 60 * time.Second
	// probeTimeout is the time for the request of a probe, and for its reply.
	probeTimeout = 5 * time.Second
	// maxProbeConns is the number of connections to each of the addresses for readiness
	// checks and metrics.
	maxProbeConns = 32
)

// newFrontServer returns the server for client requests. Its handler bounds the times of
// bodies and replies.
func (in *Instance) newFrontServer() *http.Server {
	s := in.newServer(http.HandlerFunc(in.serveFront), &reserver.Conns{Max: in.MaxClientConns, DisplaceStalled: in.DisplaceStalled})
	s.ConnContext = reserver.WithConn
	return s
}

// newProbeServer returns a server for readiness checks or metrics.
func (in *Instance) newProbeServer(h http.Handler) *http.Server {
	s := in.newServer(h, &reserver.Conns{Max: maxProbeConns})
	s.ReadTimeout, s.WriteTimeout = probeTimeout, probeTimeout
	return s
}

func (in *Instance) newServer(h http.Handler, conns *reserver.Conns) *http.Server {
	conns.Refused = in.Refusals.Note
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: conns.Track, ErrorLog: log.New(errorWriter{in.Log}, "", 0),
	}
}

// errorWriter logs the errors of HTTP servers under one message, so that the rate of the
// lines is limited.
type errorWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (e errorWriter) Write(text []byte) (int, error) {
	e.log.Warn("HTTP server reports an error", "error", string(bytes.TrimSpace(text)))
	return len(text), nil
}
