package gateway

import "time"

// Limits bounds callers' requests and the memory that they take. Zero fields take
// their defaults.
type Limits struct {
	// MaxBodyBytes and MaxResponseBytes bound the bodies of requests and
	// responses of services whose document sets no bound.
	MaxBodyBytes     int64
	MaxResponseBytes int64
	// MaxNameBytes bounds the caller's name, the idempotency key and the content
	// type.
	MaxNameBytes int
	// MaxCalls bounds the calls in flight.
	MaxCalls int
	// MaxBills bounds the pending bills, and the copies of other daemons' bills.
	MaxBills int
	// DefaultDeadline is the time for a call of a kind that sets no deadline.
	DefaultDeadline time.Duration
}

func (l *Limits) setDefaults() {
	defaults := Limits{
		MaxBodyBytes: 1 << 20, MaxResponseBytes: 1 << 20, MaxNameBytes: 256,
		MaxCalls: 4096, MaxBills: 16384,
		DefaultDeadline: 30 * time.Second,
	}
	setDefault(&l.MaxBodyBytes, defaults.MaxBodyBytes)
	setDefault(&l.MaxResponseBytes, defaults.MaxResponseBytes)
	setDefault(&l.MaxNameBytes, defaults.MaxNameBytes)
	setDefault(&l.MaxCalls, defaults.MaxCalls)
	setDefault(&l.MaxBills, defaults.MaxBills)
	setDefault(&l.DefaultDeadline, defaults.DefaultDeadline)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
