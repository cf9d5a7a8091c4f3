package gateway

import (
	"net/http"
	"time"
)

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes and MaxAnswerBytes bound bodies where a document does not.
	MaxBodyBytes     int64
	MaxResponseBytes int64
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// MaxNameBytes bounds a caller's name.
	MaxNameBytes int
	// MaxCalls bounds the calls taken and not yet answered.
	MaxCalls int
	// MaxBills bounds the bills kept while the log takes none.
	MaxBills int
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// IdleTimeout closes unused connections.
	IdleTimeout time.Duration
	// DefaultDeadline bounds a call whose document sets none.
	DefaultDeadline time.Duration
}

func (l *Limits) setDefaults() {
	defaults := Limits{
		MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxNameBytes: 256,
		MaxCalls: 4096, MaxBills: 16384,
		HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute,
		DefaultDeadline: 30 * time.Second,
	}
	fill(&l.MaxBodyBytes, defaults.MaxBodyBytes)
	fill(&l.MaxResponseBytes, defaults.MaxResponseBytes)
	fill(&l.MaxHeaderBytes, defaults.MaxHeaderBytes)
	fill(&l.MaxNameBytes, defaults.MaxNameBytes)
	fill(&l.MaxCalls, defaults.MaxCalls)
	fill(&l.MaxBills, defaults.MaxBills)
	fill(&l.HeaderTimeout, defaults.HeaderTimeout)
	fill(&l.BodyTimeout, defaults.BodyTimeout)
	fill(&l.IdleTimeout, defaults.IdleTimeout)
	fill(&l.DefaultDeadline, defaults.DefaultDeadline)
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server returns an HTTP server for callers that keeps to the limits. Whoever
// serves it bounds the number of connections.
func (g *Gateway) Server() *http.Server {
	l := g.o.Limits
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
	}
}
