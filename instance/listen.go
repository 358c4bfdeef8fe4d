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
	// maxProbeConns is the number of connections to each of the addresses for readiness
	// checks and metrics.
	maxProbeConns = 32
)

// newFrontServer returns the server for client requests. Its handler bounds the times of
// bodies.
func (in *Instance) newFrontServer() *http.Server {
	s := in.newServer(http.HandlerFunc(in.serveFront), &reserver.Conns{Max: in.MaxClientConns, DisplaceStalled: in.DisplaceStalled})
	s.ConnContext = reserver.WithConn
	return s
}

// newProbeServer returns a server for readiness checks or metrics.
func (in *Instance) newProbeServer(h http.Handler) *http.Server {
	s := in.newServer(h, &reserver.Conns{Max: maxProbeConns})
	return s
}

func (in *Instance) newServer(h http.Handler, conns *reserver.Conns) *http.Server {
	conns.Refused = in.Refusals.Note
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: conns.Track,
	}
}
