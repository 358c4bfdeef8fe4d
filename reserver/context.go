package reserver

import (
	"context"
	"net"
)

type connKey struct{}

// WithConn is the ConnContext hook of the server.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Conn returns the connection of a request, or nil if the server lacks the hook.
func Conn(ctx context.Context) net.Conn {
	nc, _ := ctx.Value(connKey{}).(net.Conn)
	return nc
}
