package gateway

import (
	"net/http"
	"time"
)

// Limits bounds callers' requests and the memory that they take. Zero fields take
// their defaults.
type Limits struct {
	// MaxBodyBytes and MaxResponseBytes bound the bodies of requests and
	// responses of services whose document sets no bound.
	MaxBodyBytes     int64
	MaxResponseBytes int64
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxNameBytes bounds the caller's name, the idempotency key and the content
	// type.
	MaxNameBytes int
	// MaxCalls bounds the calls in flight.
	MaxCalls int
	// MaxBills bounds the pending bills, and the copies of other daemons' bills.
	MaxBills int
	// HeaderTimeout and BodyTimeout bound the time to read a request's header and
	// body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// IdleTimeout: a connection is closed after this long without a request.
	IdleTimeout time.Duration
	// DefaultDeadline is the time for a call of a kind that sets no deadline.
	DefaultDeadline time.Duration
}

func (l *Limits) setDefaults() {
	defaults := Limits{
		MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxNameBytes: 256,
		MaxCalls: 4096, MaxBills: 16384,
		HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute,
		DefaultDeadline: 30 * time.Second,
	}
	setDefault(&l.MaxBodyBytes, defaults.MaxBodyBytes)
	setDefault(&l.MaxResponseBytes, defaults.MaxResponseBytes)
	setDefault(&l.MaxHeaderBytes, defaults.MaxHeaderBytes)
	setDefault(&l.MaxNameBytes, defaults.MaxNameBytes)
	setDefault(&l.MaxCalls, defaults.MaxCalls)
	setDefault(&l.MaxBills, defaults.MaxBills)
	setDefault(&l.HeaderTimeout, defaults.HeaderTimeout)
	setDefault(&l.BodyTimeout, defaults.BodyTimeout)
	setDefault(&l.IdleTimeout, defaults.IdleTimeout)
	setDefault(&l.DefaultDeadline, defaults.DefaultDeadline)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server returns an HTTP server for callers with the timeouts and header bound of
// Limits. The number of connections must be bounded by its listener.
func (g *Gateway) Server() *http.Server {
	l := g.o.Limits
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
	}
}
