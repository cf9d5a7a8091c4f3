package cell

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

// DialFunc opens a connection from one host.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network joins the hosts of a cell.
type Network interface {
	// Listen opens a door on a host. Port zero takes any.
	Listen(host, region string, port int) (net.Listener, error)
	// Dialer returns how a host reaches others.
	Dialer(host, region string) DialFunc
}

// Loopback is the machine's own network. Hosts and regions do not count.
type Loopback struct{}

// Listen opens 127.0.0.1 at the port.
func (Loopback) Listen(_, _ string, port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// Dialer returns the system's dialer.
func (Loopback) Dialer(string, string) DialFunc {
	return (&net.Dialer{}).DialContext
}

// InMemory is a network in memory. Each host has an address of its own.
type InMemory struct {
	Net *memnet.Network

	mu    sync.Mutex
	hosts map[string]int
	ports int
}

// NewInMemory returns a network over n.
func NewInMemory(n *memnet.Network) *InMemory {
	return &InMemory{Net: n, hosts: make(map[string]int), ports: firstPort}
}

const firstPort = 40000

// Listen opens the host's address at the port.
func (m *InMemory) Listen(host, region string, port int) (net.Listener, error) {
	return m.Net.Host(host, region).Listen(m.address(host, port))
}

func (m *InMemory) address(host string, port int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	number, ok := m.hosts[host]
	if !ok {
		number = len(m.hosts) + 1
		m.hosts[host] = number
	}
	if port == 0 {
		m.ports++
		port = m.ports
	}
	return fmt.Sprintf("10.0.%d.%d:%d", number/250, number%250+1, port)
}

// Dialer returns the host's own dialer.
func (m *InMemory) Dialer(host, region string) DialFunc {
	return m.Net.Host(host, region).Dial
}
