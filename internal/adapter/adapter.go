// Package adapter builds the daemon's clients of the platform's services: log,
// VM list, workers and backend servers, each over HTTP. Support for another
// protocol of a service is added as another adapter here, without changes
// elsewhere.
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
	"github.com/currantwinch/currantwinch/internal/intake"
)

const (
	// maxIdlePerHost limits the idle connections of one client to one host.
	maxIdlePerHost = 2
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute
	// connectionBuffer is the size of a connection's read buffer and of its
	// write buffer, in bytes. It is small because a daemon keeps a connection
	// to each worker, and most messages to workers are shorter than this.
	connectionBuffer = 1 << 10
)

// Options configure the addresses of the platform and how to connect to it.
type Options struct {
	// LogURL and VMListURL are the base URLs of the log and of the VM list.
	LogURL, VMListURL string
	// MaxBackendConnections is the maximum number of connections from this
	// daemon to one backend server.
	MaxBackendConnections int
	Dial                  func(ctx context.Context, network, address string) (net.Conn, error)
	Now                   func() time.Time
	// Answers, if not nil, bounds the answers of backend servers together.
	Answers *intake.Budget
}

// NewHTTP returns the platform's clients and a function that closes their idle
// connections to the log, the VM list and the workers.
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
	backendOptions := []backendhttp.Option{backendhttp.WithClock(o.Now)}
	if o.Answers != nil {
		backendOptions = append(backendOptions, backendhttp.WithAnswerBudget(o.Answers))
	}
	p = daemon.Platform{
		Log:      loghttp.New(o.LogURL, client()),
		VMs:      vmlisthttp.New(o.VMListURL, client()),
		Workers:  workerhttp.New(client()),
		Backends: backendhttp.New(o.Dial, o.MaxBackendConnections, backendOptions...),
	}
	return p, func() {
		for _, t := range transports {
			t.CloseIdleConnections()
		}
	}
}
