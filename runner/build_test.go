package runner

import (
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/masticlead/masticlead/heartbeater"
	"github.com/masticlead/masticlead/loader"
)

// assemble builds the components of an instance without running them.
func assemble(t *testing.T, s *loader.Settings, populate ...any) {
	t.Helper()
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }), fx.Supply(s, slog.New(slog.NewTextHandler(io.Discard, nil))),
		fx.Provide(newClock, newMetrics, newPlatform, newDirectory, newStore, newListeners, newAdvertisedAddresses, newMessengerServer, newPool, newHeartbeater, newPlacementPolicy, newScheduler),
		fx.Populate(populate...),
	)
	require.NoError(t, app.Err())
}

// TestInstanceAdvertisesListenAddressesByDefault guards against an instance that
// peers can't reach because its settings have listen addresses but no advertised
// addresses.
func TestInstanceAdvertisesListenAddressesByDefault(t *testing.T) {
	s, err := devSettings("127.0.0.1:1")
	require.NoError(t, err)
	s.Listen = loader.Addresses{HTTP: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	var l *listeners
	var h *heartbeater.Heartbeater
	assemble(t, s, &l, &h)
	defer func() { require.NoError(t, closeAll(l.http.Close, l.peer.Close)) }()
	self := h.Members(devDataCentre)[0]
	require.Equal(t, l.peer.Addr().String(), self.PeerAddress)
	require.Equal(t, l.http.Addr().String(), self.HTTPAddress)

	s.Advertise = loader.Addresses{HTTP: "192.0.2.1:80", Peer: "192.0.2.1:81"}
	require.Equal(t, &advertisedAddresses{"192.0.2.1:80", "192.0.2.1:81"}, newAdvertisedAddresses(s, l))
}
