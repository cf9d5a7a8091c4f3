// Package gateway takes callers' requests, queues them fairly, sends each to
// a backend server that has a free slot for it, and returns the whole answer
// with a verdict.
package gateway

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// Request is one request on its way to a backend server.
type Request struct {
	// ID correlates the answer with the request. A backend server returns it
	// unchanged.
	ID      string
	Service string
	Kind    string
	Caller  string
	// Key is the idempotency key, empty for a repeatable request without one.
	Key string
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// SendBefore is when the right to use the slot ends. Nothing may be
	// written to the backend server after it.
	SendBefore time.Time
	// ContentType and Body are passed on unread.
	ContentType string
	Body        []byte
	// MaxResponseBytes bounds the answer's body.
	MaxResponseBytes int64
}

// Response is a backend server's whole answer.
type Response struct {
	// ID is the request ID that the backend server returned.
	ID          string
	Status      int
	ContentType string
	Body        []byte
	// Leaving is set when the backend server said that it is about to stop.
	Leaving bool
}

// BackendStatus is what a backend server says of itself.
type BackendStatus struct {
	Leaving bool `json:"leaving"`
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	// RequestIDs names the requests that run. It is empty where the backend
	// server does not say.
	RequestIDs []string `json:"requestIds,omitempty"`
}

// Backends sends requests to backend servers.
type Backends interface {
	// Send sends one request and reads the whole answer. An error's verdict
	// is NotRun only if no byte of the request may have reached the backend
	// server, or if the backend server itself says that it did not run.
	Send(ctx context.Context, vm cluster.VM, request Request) (Response, error)
	// Status asks a backend server for its state.
	Status(ctx context.Context, vm cluster.VM) (BackendStatus, error)
	// CloseIdle closes unused connections to a backend server.
	CloseIdle(vm cluster.VM)
}
