// Package adapter joins what the platform gives, as a daemon reaches it over
// HTTP. Another protocol of one part is another adapter here and no other
// change.
package adapter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/currantwinch/currantwinch/internal/adapter/backendhttp"
	"github.com/currantwinch/currantwinch/internal/adapter/loghttp"
	"github.com/currantwinch/currantwinch/internal/adapter/vmlisthttp"
	"github.com/currantwinch/currantwinch/internal/adapter/workerhttp"
	"github.com/currantwinch/currantwinch/internal/daemon"
)

const (
	// maxIdlePerHost bounds the unused connections of one client to one host.
	maxIdlePerHost = 2
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = time.Minute
	// connectionBuffer is what a kept connection holds each way, in bytes.
	// There is one to each worker, for messages that are mostly shorter.
	connectionBuffer = 1 << 10
)

// Options say where the platform is and how it is reached.
type Options struct {
	// LogURL and VMListURL are where the log and the list of VMs are served.
	LogURL, VMListURL string
	// MaxBackendConnections is how many connections one daemon may open to one backend
	// server.
	MaxBackendConnections int
	Dial                  func(ctx context.Context, network, address string) (net.Conn, error)
	Now                   func() time.Time
}

// NewHTTP returns the platform and the function that closes its unused
// connections.
func NewHTTP(o Options) (p daemon.Platform, closeIdle func()) {
	var transports []*http.Transport
	client := func() *http.Client {
		t := &http.Transport{
			DialContext: o.Dial, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout,
			ReadBufferSize: connectionBuffer, WriteBufferSize: connectionBuffer,
		}
		transports = append(transports, t)
		return &http.Client{Transport: t}
	}
	p = daemon.Platform{
		Log:      loghttp.New(o.LogURL, client()),
		VMs:      vmlisthttp.New(o.VMListURL, client()),
		Workers:  workerhttp.New(client()),
		Backends: backendhttp.New(o.Dial, o.MaxBackendConnections, backendhttp.WithClock(o.Now)),
	}
	return p, func() {
		for _, t := range transports {
			t.CloseIdleConnections()
		}
	}
}
