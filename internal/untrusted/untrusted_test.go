package untrusted

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/platform/standin"
)

const (
	// clients is half the number of those that ended a process, and the memory of small is
	// half that of the smallest VM.
	clients = 200
	// manyConnections is more than the descriptors of scarce.
	manyConnections = 400
	// peerClients send messages of a million bytes.
	peerClients = 100
	// loadDuration is how long the clients send before the ordinary request.
	loadDuration = 6 * time.Second
)

var (
	small  = limits{memoryMB: 72, maxFDs: 1024}
	scarce = limits{memoryMB: 72, maxFDs: 256}
)

// descriptorBound leaves a quarter of the descriptors to the daemon's own calls.
func (l limits) descriptorBound() int { return l.maxFDs * 3 / 4 }

// load is what clients do to one listener.
type load struct {
	name    string
	limits  limits
	clients int
	each    client
}

// nextID gives each ordinary request an ID of its own.
var nextID atomic.Int64

// withstands checks that a daemon under a load lives, stays within the memory and the
// descriptors of its VM, and answers one ordinary request while the clients go on.
func withstands(t *testing.T, address func(*process) string, loads []load) {
	if testing.Short() {
		t.Skip("the process is not built with the race detector; the stage without it runs this test")
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			p := startProcess(t, l.limits)
			o := p.observe()
			stop := attack(address(p), l.clients, l.each)
			defer stop()
			time.Sleep(loadDuration)
			p.await("answering", func() bool {
				return do(http.MethodPost, p.callers, fmt.Sprintf("/q/%016x", 0xd0000+nextID.Add(1)), standin.GangAfterStep) == http.StatusOK
			})
			p.await("ready", func() bool { return p.get(p.ready, "/ready") == http.StatusOK })
			peak, err := o.end()
			if err != nil || !p.lives() {
				t.Fatalf("the process lives: %t; usage: %v", p.lives(), err)
			}
			t.Logf("peak: %.1f MB resident and %.1f MB queued, %d descriptors", float64(peak.resident)/megabyte, float64(peak.queued)/megabyte, peak.descriptors)
			if bound := l.limits.memoryMB * megabyte; peak.memory() > bound {
				t.Errorf("%.1f MB resident and %.1f MB queued in sockets, want at most %d MB", float64(peak.resident)/megabyte, float64(peak.queued)/megabyte, l.limits.memoryMB)
			}
			if peak.descriptors > l.limits.descriptorBound() {
				t.Errorf("%d open descriptors, want at most %d", peak.descriptors, l.limits.descriptorBound())
			}
		})
	}
}

// A process ran out of memory and ended when clients sent many large bodies at once, whole
// or stopping just short of the end, with declared lengths or in chunks, or kept
// connections busy in other ways.
func TestCallers_WithstandUntrustedClients(t *testing.T) {
	withstands(t, func(p *process) string { return p.callers }, []load{
		{"whole bodies", small, clients, wholeBodies(paddedBody())},
		{"whole bodies of many steps", small, clients, wholeBodies(manySteps())},
		{"bodies that stop short", small, clients, stopShort},
		{"large chunks", small, clients, chunks(10_000)},
		{"chunks of one byte", small, clients, chunks(1)},
		{"slow pieces", small, clients, slowPieces},
		{"endless headers", small, clients, endlessHeaders},
		{"answers that are not read", small, 32, unread("/q/", 4000)},
		{"connections without a request", scarce, manyConnections, idle},
	})
}

// The listener for readiness probes and metrics must not bring down the daemon either. Its
// metrics are the longest answers.
func TestReadiness_WithstandsUntrustedClients(t *testing.T) {
	withstands(t, func(p *process) string { return p.ready }, []load{
		{"bodies that stop short", small, clients, stopShort},
		{"large chunks", small, clients, chunks(10_000)},
		{"chunks of one byte", small, clients, chunks(1)},
		{"slow pieces", small, clients, slowPieces},
		{"endless headers", small, clients, endlessHeaders},
		{"answers that are not read", small, clients, unread("/metrics", 400)},
		{"connections without a request", scarce, manyConnections, idle},
	})
}

// The listener for other daemons must not bring down the daemon either: a message announces
// up to 4 MB, and a failed accept ended the process.
func TestPeers_WithstandUntrustedClients(t *testing.T) {
	withstands(t, func(p *process) string { return p.peers }, []load{
		{"messages that stop short", small, peerClients, messageStopsShort(true)},
		{"messages before a hello", small, peerClients, messageStopsShort(false)},
		{"slow pieces", small, peerClients, messageInSlowPieces},
		{"answers that are not read", small, 20, unreadCalls},
		{"connections without a request", scarce, manyConnections, idle},
	})
}

// One request of the largest legal size must be served on the smallest VM when there is no
// other load, or the limits against untrusted clients would refuse legal work.
func TestCallers_LargestRequestIsServedOnTheSmallestVM(t *testing.T) {
	if testing.Short() {
		t.Skip("the process is not built with the race detector; the stage without it runs this test")
	}
	p := startProcess(t, limits{memoryMB: 144, maxFDs: 3075})
	if status := do(http.MethodPost, p.callers, submissionPath(0), string(paddedBody())); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}
