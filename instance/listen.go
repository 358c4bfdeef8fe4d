package instance

import (
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
)

// newFrontServer returns the server for client requests. Its handler bounds the times of
// bodies.
func (in *Instance) newFrontServer() *http.Server {
	s := newServer(http.HandlerFunc(in.serveFront))
	s.ConnContext = reserver.WithConn
	return s
}

// newProbeServer returns a server for readiness checks or metrics.
func (in *Instance) newProbeServer(h http.Handler) *http.Server {
	s := newServer(h)
	return s
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}
