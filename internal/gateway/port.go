// Package gateway serves callers' requests. It queues them fairly, sends each to a
// backend server with a free slot, and returns the complete response with a
// verdict. A request with an idempotency key runs at most once.
//
// Every daemon has a Gateway. The gateways of a cluster lease each other the slots
// of the backend servers, by share, and hold the idempotency tables of the key
// shares that they own.
package gateway

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/intake"
)

// Request is a request to a backend server.
type Request struct {
	// ID correlates the response with the request. A backend server returns it
	// unchanged.
	ID      string
	Service string
	Kind    string
	Caller  string
	// Key is the idempotency key, empty for a repeatable request without one.
	Key string
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// SendBefore is when the lease of the slot ends. Nothing may be written to
	// the backend server from then on.
	SendBefore time.Time
	// ContentType and Body are passed on unchanged.
	ContentType string
	Body        []byte
	// MaxResponseBytes bounds the response's body.
	MaxResponseBytes int64
}

// Response is a backend server's complete response.
type Response struct {
	// ID is the request ID that the backend server returned.
	ID          string
	Status      int
	ContentType string
	Body        []byte
	// Leaving is set if the backend server reported that it is about to stop.
	Leaving bool
	// Memory is what Body takes of the budget of answers; nil if that is not bounded. Its
	// End must be called once the body is no longer needed.
	Memory *intake.Entry
}

// BackendStatus is the status that a backend server reports.
type BackendStatus struct {
	Leaving bool `json:"leaving"`
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	// RequestIDs lists the running requests. It is empty if the backend server
	// does not report them.
	RequestIDs []string `json:"requestIds,omitempty"`
}

// Backends sends requests to backend servers. Package backendhttp implements it.
type Backends interface {
	// Send sends one request and reads the complete response. An error's verdict
	// is NotRun only if no byte of the request may have reached the backend
	// server, or if the backend server reports that the request did not run.
	Send(ctx context.Context, vm cluster.VM, request Request) (Response, error)
	// Status requests a backend server's status.
	Status(ctx context.Context, vm cluster.VM) (BackendStatus, error)
	// CloseIdle closes unused connections to a backend server.
	CloseIdle(vm cluster.VM)
}
