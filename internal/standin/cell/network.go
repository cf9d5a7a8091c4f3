package cell

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

// DialFunc opens a connection from a fixed host.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network connects the hosts of a cell.
type Network interface {
	// Listen listens on a host. Port zero selects any free port.
	Listen(host, region string, port int) (net.Listener, error)
	// Dialer returns the function with which a host connects to others.
	Dialer(host, region string) DialFunc
}

// Loopback is the loopback interface of the machine. It ignores hosts and
// regions.
type Loopback struct{}

// Listen listens on the port of 127.0.0.1.
func (Loopback) Listen(_, _ string, port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// Dialer returns the dial function of net.Dialer.
func (Loopback) Dialer(string, string) DialFunc {
	return (&net.Dialer{}).DialContext
}

// InMemory is a network in memory. Each host has its own IP address.
type InMemory struct {
	Net *memnet.Network

	mu    sync.Mutex
	hosts map[string]int
	ports int
}

func NewInMemory(n *memnet.Network) *InMemory {
	return &InMemory{Net: n, hosts: make(map[string]int), ports: firstPort}
}

// firstPort is the lower bound of the ports selected for port zero.
const firstPort = 40000

// Listen listens on the port of the host's address.
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

// Dialer returns the dial function of the host.
func (m *InMemory) Dialer(host, region string) DialFunc {
	return m.Net.Host(host, region).Dial
}
