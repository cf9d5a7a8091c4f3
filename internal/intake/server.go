package intake

import (
	"context"
	"net"
	"net/http"
)

// NewServer returns an HTTP server with the limits on headers and idle connections. Its
// handlers know the bounded connections of their requests.
func NewServer(handler http.Handler, l Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if bounded, ok := Bounded(c); ok {
				return context.WithValue(ctx, connKey{}, bounded)
			}
			return ctx
		},
	}
}
