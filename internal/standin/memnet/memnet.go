// Package memnet implements an in-memory network for tests. It makes no system
// calls, so that it runs in the virtual time of testing/synctest. Latency is set
// by host or region. Links can be blocked in one or both directions, connections
// reset, and hosts paused, crashed or made to refuse connections.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	hosts     map[string]*Host
	pipes     map[*pipe]struct{}
	latency   map[link]time.Duration
	blocked   map[link]bool
	paused    map[string]bool
	refusing  map[string]bool
	bytes     map[link]uint64
	changed   chan struct{}
}

// link is a direction between two endpoints, each a host or a region.
type link struct{ from, to string }

// New returns a network without hosts and without latency.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		hosts:     make(map[string]*Host),
		pipes:     make(map[*pipe]struct{}),
		latency:   make(map[link]time.Duration),
		blocked:   make(map[link]bool),
		paused:    make(map[string]bool),
		refusing:  make(map[string]bool),
		bytes:     make(map[link]uint64),
		changed:   make(chan struct{}),
	}
}

// Host is one VM on the network.
type Host struct {
	network *Network
	name    string
	region  string
}

// Host returns the host of that name. It creates the host on first use; later
// calls ignore the region.
func (n *Network) Host(name, region string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, ok := n.hosts[name]; ok {
		return h
	}
	h := &Host{network: n, name: name, region: region}
	n.hosts[name] = h
	return h
}

// SetLatency sets the one-way latency from one host or region to another.
// The most specific entry applies: hosts before regions.
func (n *Network) SetLatency(from, to string, oneWay time.Duration) {
	n.change(func() { n.latency[link{from, to}] = oneWay })
}

// SetLatencyBetween sets the one-way latency of both directions.
func (n *Network) SetLatencyBetween(a, b string, oneWay time.Duration) {
	n.change(func() { n.latency[link{a, b}], n.latency[link{b, a}] = oneWay, oneWay })
}

// Block silently stops all data from one host or region to another. Data sent
// meanwhile arrives after Heal, as TCP would retransmit it.
func (n *Network) Block(from, to string) { n.change(func() { n.blocked[link{from, to}] = true }) }

// Partition blocks both directions.
func (n *Network) Partition(a, b string) {
	n.change(func() { n.blocked[link{a, b}], n.blocked[link{b, a}] = true, true })
}

// Heal unblocks both directions.
func (n *Network) Heal(a, b string) {
	n.change(func() {
		delete(n.blocked, link{a, b})
		delete(n.blocked, link{b, a})
	})
}

// Pause holds all data to and from a host until Resume.
func (n *Network) Pause(host string) { n.change(func() { n.paused[host] = true }) }

// Resume ends a Pause.
func (n *Network) Resume(host string) { n.change(func() { delete(n.paused, host) }) }

// SetRefusing makes a host refuse new connections, or ends that.
func (n *Network) SetRefusing(host string, refuse bool) {
	n.change(func() { n.refusing[host] = refuse })
}

// ResetConnections resets all connections between two hosts.
func (n *Network) ResetConnections(a, b string) {
	n.resetPipes(func(p *pipe) bool {
		return p.from.name == a && p.to.name == b || p.from.name == b && p.to.name == a
	})
}

// Crash resets all connections of a host and closes its listeners.
func (n *Network) Crash(host string) {
	n.mu.Lock()
	var closing []*listener
	for _, l := range n.listeners {
		if l.host.name == host {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	n.resetPipes(func(p *pipe) bool { return p.from.name == host || p.to.name == host })
}

// Close crashes every host, so that no goroutine stays blocked on the network.
func (n *Network) Close() {
	n.mu.Lock()
	names := make([]string, 0, len(n.hosts))
	for name := range n.hosts {
		names = append(names, name)
	}
	n.mu.Unlock()
	for _, name := range names {
		n.Crash(name)
	}
}

// BytesSent returns the number of bytes written from one host or region to another.
func (n *Network) BytesSent(from, to string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[link{from, to}]
}

// OpenConnections returns the number of open connections. Connections that only
// one end has closed count as half each, and the sum is rounded up.
func (n *Network) OpenConnections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return (len(n.pipes) + 1) / 2
}

func (n *Network) resetPipes(match func(*pipe) bool) {
	n.mu.Lock()
	var hit []*pipe
	for p := range n.pipes {
		if match(p) {
			hit = append(hit, p)
			delete(n.pipes, p)
		}
	}
	n.mu.Unlock()
	for _, p := range hit {
		p.fail(syscall.ECONNRESET)
	}
}

// change applies a change to the links and wakes all waiting goroutines.
func (n *Network) change(apply func()) {
	n.mu.Lock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
	pipes := make([]*pipe, 0, len(n.pipes))
	for p := range n.pipes {
		pipes = append(pipes, p)
	}
	n.mu.Unlock()
	for _, p := range pipes {
		p.linkChanged()
	}
}

// path returns the latency from one host to another, and whether the path is
// open.
func (n *Network) path(from, to *Host) (latency time.Duration, open bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pathLocked(from, to)
}

func (n *Network) pathLocked(from, to *Host) (latency time.Duration, open bool) {
	open = !n.paused[from.name] && !n.paused[to.name]
	found := false
	for _, l := range links(from, to) {
		if n.blocked[l] {
			open = false
		}
		if d, ok := n.latency[l]; ok && !found {
			latency, found = d, true
		}
	}
	return latency, open
}

// links returns the links that apply between two hosts, the most specific first.
func links(from, to *Host) [4]link {
	return [4]link{
		{from.name, to.name},
		{from.name, to.region},
		{from.region, to.name},
		{from.region, to.region},
	}
}

func (n *Network) count(from, to *Host, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links(from, to) {
		n.bytes[l] += uint64(bytes)
	}
}

// Listen listens on an address of the host. It fails with EADDRINUSE if the
// address already has a listener.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[address]; taken {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, address: address, accept: make(chan *conn, backlog), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to an address. It fails with ECONNREFUSED if the address has no
// listener. If the path is blocked, it waits until the path opens or ctx ends.
func (h *Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: err}
	}
	l, err := h.handshake(ctx, address)
	if err != nil {
		return fail(err)
	}
	local, remote := h.network.pair(h, l)
	select {
	case l.accept <- remote:
		return local, nil
	case <-l.done:
	case <-ctx.Done():
		return fail(ctx.Err())
	}
	_ = local.Close()
	return fail(syscall.ECONNREFUSED)
}

// handshake waits for one round trip, and repeats it if the path was blocked
// or the listener replaced in the meantime.
func (h *Host) handshake(ctx context.Context, address string) (*listener, error) {
	for {
		l, roundTrip, open, changed := h.route(address)
		if l == nil || h.network.refuses(l.host.name) {
			if !sleep(ctx, roundTrip, nil) {
				return nil, ctx.Err()
			}
			return nil, syscall.ECONNREFUSED
		}
		if !open {
			if !sleep(ctx, never, changed) {
				return nil, ctx.Err()
			}
			continue
		}
		if !sleep(ctx, roundTrip, nil) {
			return nil, ctx.Err()
		}
		if l2, _, stillOpen, _ := h.route(address); l2 == l && stillOpen {
			return l, nil
		}
	}
}

func (h *Host) route(address string) (l *listener, roundTrip time.Duration, open bool, changed <-chan struct{}) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[address]
	if l == nil {
		return nil, 0, true, n.changed
	}
	out, outOpen := n.pathLocked(h, l.host)
	back, backOpen := n.pathLocked(l.host, h)
	return l, out + back, outOpen && backOpen, n.changed
}

func (n *Network) refuses(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refusing[host]
}

const never = time.Duration(1<<63 - 1)

// sleep waits for d or until wake is closed. It returns false if ctx ended.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	var timer <-chan time.Time
	if d != never {
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-timer:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}
