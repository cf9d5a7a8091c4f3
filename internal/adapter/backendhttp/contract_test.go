package backendhttp_test

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/adapter/backendhttp"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

const (
	address     = "b:80"
	connections = 4
)

// platform counts the open connections to the server.
type platform struct {
	contracttest.BackendPlatform
	mu         sync.Mutex
	open, most int
}

func (p *platform) count(_ net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.open++
		p.most = max(p.most, p.open)
	case http.StateClosed, http.StateHijacked:
		p.open--
	}
}

func (p *platform) mostOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}

func newPlatform(t *testing.T, o backendstandin.Options) contracttest.BackendPlatform {
	return newPlatformOn(t, memnet.New(), o).BackendPlatform
}

func newPlatformOn(t *testing.T, network *memnet.Network, o backendstandin.Options) *platform {
	network.SetLatencyBetween("gateway", "b", time.Millisecond)
	listener, err := network.Host("b", "north").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := backendstandin.New(o)
	p := &platform{}
	served := &http.Server{Handler: server.Handler(), ErrorLog: log.New(io.Discard, "", 0), ConnState: p.count}
	go func() { _ = served.Serve(listener) }()
	client := backendhttp.New(network.Host("gateway", "north").Dial, connections)
	vm := cluster.VM{Name: "b", Address: address}
	p.BackendPlatform = contracttest.BackendPlatform{
		Backends: client, VM: vm, Server: server,
		Refuse: func() { _ = listener.Close() },
		Close: func() {
			server.Close()
			client.CloseIdle(vm)
			_ = served.Close()
		},
	}
	return p
}

func TestClient_Contract(t *testing.T) { contracttest.Backends(t, newPlatform) }
